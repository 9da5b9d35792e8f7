//! Stand-ins of the third review: the store, the router, endpoints and clients around processes of
//! the system.
//!
//! `stand-ins CASE FILE` plays a case and writes what was sent, answered and run to FILE. The exit
//! status is 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod client;
mod endpoint;
mod healed;
mod hosts;
mod packet;
mod readded;
mod record;
mod reloaded;
mod returned;
mod store;
mod world;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, file] = &args[..] else {
        eprintln!("usage: stand-ins CASE FILE");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = Record::create(file)
        .map_err(world::Failure::from)
        .and_then(|record| {
            let record = Arc::new(record);
            let broken = match case.as_str() {
                "readded" => readded::play(&record, has_trouble)?,
                "reloaded" => reloaded::play(&record, has_trouble)?,
                "returned" => returned::play(&record, has_trouble)?,
                "healed" => healed::play(&record, has_trouble)?,
                _ => return Err("no such case".into()),
            };
            record.say(&format!("{} breaks of the rule", broken.len()));
            broken.iter().for_each(|line| record.say(line));
            Ok(broken.is_empty())
        });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("the case couldn't run: {err}");
            ExitCode::from(2)
        }
    }
}
