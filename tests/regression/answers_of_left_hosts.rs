//! Two hosts that have left answer each other's messages without end, and a network that copies
//! messages multiplies them.

use jacinthhinge::control::Event;
use jacinthhinge::prelude::*;

use crate::zone::{LATENCY, Zone};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn hosts_that_have_left_do_not_answer_each_other() {
    let mut zone = Zone::with_hosts(3);
    zone.run_for(5 * SECOND);
    zone.network.link_model = Box::new(|_, _, _| vec![LATENCY, LATENCY + SECOND]);
    zone.deliver(0, Event::Leave);
    zone.deliver(0, Event::Drained);
    zone.run_for(2 * SECOND);
    assert!(zone.nodes[&0].exited);
    zone.deliver(1, Event::Leave);
    zone.deliver(1, Event::Drained);
    zone.run_for(2 * SECOND);
    assert!(zone.nodes[&1].exited);
    zone.network.link_model = Box::new(|_, _, _| vec![LATENCY, LATENCY]);
    zone.network.count_traffic = true;
    for _ in 0..100 {
        zone.run_for(SECOND / 50);
        let sent = zone.network.sent_messages;
        // The host that is left contacts both twice a second.
        assert!(sent <= 100, "{sent} messages until {:?}", zone.now);
    }
}
