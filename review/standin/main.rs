//! Stand-ins for the platform, the endpoints and the clients of a small deployment, with the
//! processes of the relay between them. `standin CASE` plays one case; with `TROUBLE=0` it plays
//! the same without the disruption.
//!
//! The exit status is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod endpoint;
mod hosts;
mod leaving;
mod moved;
mod neighbour;
mod packet;
mod record;
mod store;
mod stream;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = match case.as_str() {
        "leaving" => leaving::run(trouble),
        "moved" => moved::run(trouble),
        "neighbour" => neighbour::run(trouble),
        _ => Err(std::io::Error::other(format!("unknown case {case:?}"))),
    };
    match result {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(err) => {
            eprintln!("cannot run: {err}");
            ExitCode::from(2)
        }
    }
}
