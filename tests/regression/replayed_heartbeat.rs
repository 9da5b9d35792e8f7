//! Guards against replayed heartbeats: copies of an old heartbeat must not keep a dead host
//! alive.

use jacinthhinge::control::{Action, Event, Heartbeat};
use jacinthhinge::prelude::*;

use crate::zone::{Zone, host_names};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn repeated_old_heartbeats_do_not_keep_a_dead_host_alive() {
    let mut zone = Zone::with_hosts(3);
    zone.run_for(6 * SECOND);
    let old = capture_heartbeat(&mut zone, 1);
    zone.kill(1);
    for _ in 0..40 {
        zone.deliver(0, Event::Heartbeat(old.clone()));
        zone.deliver(2, Event::Heartbeat(old.clone()));
        zone.run_for(SECOND / 10);
    }
    assert_eq!(zone.nodes[&0].hosts(), host_names([0, 2]));
}

/// Returns a heartbeat that a host sends now.
fn capture_heartbeat(zone: &mut Zone, index: usize) -> Box<Heartbeat> {
    zone.run_for(SECOND);
    let node = zone.nodes.get_mut(&index).expect("the host runs");
    let now = zone.now.saturating_sub(node.started_at);
    let actions = node.control.handle(now + SECOND, Event::Tick);
    let heartbeats = actions.into_iter().filter_map(|action| match action {
        Action::Send { heartbeat, .. } => Some(heartbeat),
        _ => None,
    });
    heartbeats.last().expect("the host sends a heartbeat")
}
