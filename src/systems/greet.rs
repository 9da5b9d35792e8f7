//! Issues the tickets with which callers send requests.
//!
//! This needs no state, so any host can do it: the ticket names the home that
//! rendezvous hashing selects.

use crate::packet::Body;
use crate::tables::{Outbox, Stage, Tables};
use crate::ticket::Side;

pub(super) fn run(tables: &mut Tables, out: &mut Outbox) {
    for arrival in tables.stage_queues.take(Stage::Greeting) {
        let packet = &arrival.packet;
        let home = tables.snapshot.home(&packet.key()).unwrap_or(tables.home);
        let ticket = tables.seal_ticket(Side::Caller, packet, home, None);
        out.send(packet.caller, packet.reply(ticket, Body::Greeted));
    }
}
