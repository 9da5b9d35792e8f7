//! Measures the processor time that a host needs to apply one changed entry.
//!
//! Prints, for each number of endpoints, the time in the control state (merging values and
//! building the configuration) and in a lane (updating its tables). One kind of change begins or ends
//! the draining of an endpoint, the other one adds an endpoint.

#[path = "../tests/relaying/mod.rs"]
mod relaying;

use std::fmt::Write as _;
use std::time::Instant;

use jacinthhinge::control::message::{Value, ValueChange, ValueUpdate};
use jacinthhinge::control::{Action, Event};
use jacinthhinge::prelude::*;
use relaying::{LaneHarness, relay_control};

/// Numbers of endpoints to measure, up to the number that the design aims at.
const ENDPOINT_COUNTS: [u32; 4] = [150, 1_000, 3_000, 4_100];

/// Number of changes over which the time is averaged.
const CHANGES: u32 = 200;

const DESIRED: &str = r#"{"Version":1,"Limits":{"IdleTimeoutMs":15000},
    "Routes":[{"Name":"r","Host":"198.18.0.1","Prefix":"/443/","Type":"safe",
               "TargetLatencyMs":250,"Priority":2,"Service":"adserve"}],
    "Services":[{"Name":"adserve","MaxConns":2000}]}"#;

fn main() {
    println!("endpoints  change  control us  lane us");
    for count in ENDPOINT_COUNTS {
        measure(count);
    }
}

fn measure(count: u32) {
    let mut control = relay_control();
    let mut lane = LaneHarness::new(&[]);
    let mut changes = vec![change("op/config", 1, DESIRED.to_owned())];
    changes.extend((0..count).map(|number| entry(number, 1, false)));
    apply(&mut control, &mut lane, 1, changes);
    let mut revision = 1;
    for kind in ["drain", "add"] {
        let (mut control_time, mut lane_time) = (Duration::ZERO, Duration::ZERO);
        for number in 0..CHANGES {
            revision += 1;
            let update = match kind {
                "add" => entry(count + number, revision, false),
                _ => entry(number % count, revision, number % 2 == 0),
            };
            let times = apply(&mut control, &mut lane, revision, vec![update]);
            control_time += times.0;
            lane_time += times.1;
        }
        let mean = |time: Duration| (time / CHANGES).as_micros();
        let (control_us, lane_us) = (mean(control_time), mean(lane_time));
        println!("{count:9}  {kind:>6}  {control_us:10}  {lane_us:7}");
    }
}

/// Applies changes; returns the times that the control state and the lane took.
fn apply(
    control: &mut jacinthhinge::control::Control,
    lane: &mut LaneHarness,
    revision: u64,
    values: Vec<ValueChange>,
) -> (Duration, Duration) {
    let update = ValueUpdate {
        revision: revision.into(),
        values,
        is_full: revision == 1,
    };
    let now = Duration::from_secs(revision);
    let started = Instant::now();
    let actions = control.handle(now, Event::Values(Ok(update)));
    let control_time = started.elapsed();
    let published = actions.into_iter().find_map(|action| match action {
        Action::Publish(snapshot) => Some(snapshot),
        _ => None,
    });
    let snapshot = published.expect("a snapshot");
    let started = Instant::now();
    lane.now = now;
    lane.publish(&snapshot);
    (control_time, started.elapsed())
}

fn change(key: &str, revision: u64, json: String) -> ValueChange {
    ValueChange {
        key: key.into(),
        value: Value {
            revision: revision.into(),
            json: Some(json.into()),
            ..Value::default()
        },
    }
}

fn entry(number: u32, revision: u64, draining: bool) -> ValueChange {
    let state = if draining { "draining" } else { "ready" };
    let mut json = String::new();
    let address = number + 1;
    let _ = write!(
        json,
        r#"{{"Service":"adserve","Address":"10.{}.{}.1:80","Zone":"sv-a","Concurrency":2,
            "State":"{state}","WarmupLeftMs":0,"SeqNo":{revision},"born":1000}}"#,
        address / 256,
        address % 256
    );
    change(&format!("servers/i-{address:010x}"), revision, json)
}
