//! Forwards packets by their ticket, without looking up the flow.

use std::time::Duration;

use bytes::Bytes;

use crate::packet::{Body, Packet, Reason};
use crate::tables::{Arrival, Outbox, Stage, Tables};
use crate::ticket::{Side, Target, Ticket};

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    for arrival in tables.stage_queues.take(Stage::Forward) {
        let Some(ticket) = arrival.ticket else {
            continue;
        };
        tables.counters.ticket_forwards += 1;
        match ticket.side {
            Side::Caller => forward_to_endpoint(tables, &arrival, &ticket, now, out),
            Side::Endpoint => out.send(
                ticket.flow.caller,
                arrival
                    .packet
                    .reply(Bytes::new(), arrival.packet.body.clone()),
            ),
        }
    }
}

fn forward_to_endpoint(
    tables: &mut Tables,
    arrival: &Arrival,
    ticket: &Ticket,
    now: Duration,
    out: &mut Outbox,
) {
    let packet = &arrival.packet;
    let Some(target) = ticket.target else {
        reset_flow(tables, packet, Reason::BadTicket, out);
        return;
    };
    if is_reassigned(tables, packet, &target, now) {
        reset_flow(tables, packet, Reason::Reassigned, out);
        return;
    }
    let sealed = tables.seal_ticket(Side::Endpoint, packet, ticket.home, Some(target));
    out.send(target.addr, packet.reply(sealed, packet.body.clone()));
}

/// Returns true if the target's address now belongs to another service, according to
/// the configuration or to the endpoint itself.
pub(super) fn is_reassigned(
    tables: &Tables,
    packet: &Packet,
    target: &Target,
    now: Duration,
) -> bool {
    let is_blocked = tables
        .endpoints
        .get(target.endpoint)
        .is_some_and(|row| now < row.blocked_until);
    is_other_service(tables, packet, target) || is_blocked
}

/// Returns true if the target's address is configured for another service than the
/// packet's.
pub(super) fn is_other_service(tables: &Tables, packet: &Packet, target: &Target) -> bool {
    let owner = tables.snapshot.addresses.get(&target.addr);
    owner.is_some_and(|owner| *owner != packet.service)
}

/// Resets a caller's flow.
pub(super) fn reset_flow(tables: &mut Tables, packet: &Packet, reason: Reason, out: &mut Outbox) {
    tables.counters.flow_resets += 1;
    out.reply(packet, Body::Reset { reason });
}
