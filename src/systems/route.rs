//! Routes each packet to a system of this lane or to another host.
//!
//! A packet with a valid ticket is routed by the ticket, regardless of the tables. A
//! packet without a ticket goes to the home that rendezvous hashing selects for its flow.
//! A packet with an invalid ticket is rejected with a reason and never forwarded.

use std::net::SocketAddr;
use std::time::Duration;

use super::{forward, outcome};
use crate::packet::{Body, MAX_HOPS, Packet, Reason};
use crate::tables::{Arrival, Outbox, RequestId, Stage, Tables};
use crate::ticket::{Home, Side, Ticket};

pub(super) fn run(tables: &mut Tables, now: Duration, out: &mut Outbox) {
    let mut inbox = std::mem::take(&mut tables.inbox);
    if tables.snapshot.services.is_empty() {
        // A host that has just started has neither keys nor services yet. It would
        // reset the flows of other hosts.
        inbox.clear();
    }
    for mut arrival in inbox.drain(..) {
        tables.counters.received_packets += 1;
        arrival.stage = route(tables, &mut arrival, now, out);
        tables.stage_queues.push(arrival);
    }
    // Reuse the allocation for the next batch.
    tables.inbox = inbox;
}

/// Result of checking a packet's ticket.
enum TicketCheck {
    None,
    Valid(Ticket),
    Invalid,
}

fn route(tables: &mut Tables, arrival: &mut Arrival, now: Duration, out: &mut Outbox) -> Stage {
    let Some(side) = sender_side(&arrival.packet.body) else {
        tables.counters.disallowed_packets += 1;
        return Stage::Handled;
    };
    let check = check_ticket(tables, &arrival.packet, side);
    match (side, check) {
        (_, TicketCheck::Valid(ticket)) => {
            arrival.ticket = Some(ticket);
            match side {
                Side::Caller => route_ticketed(tables, &arrival.packet, &ticket, out),
                Side::Endpoint => route_endpoint(tables, &arrival.packet, &ticket, now, out),
            }
        }
        (Side::Caller, TicketCheck::None) => route_unticketed(tables, &arrival.packet, out),
        (Side::Caller, TicketCheck::Invalid) => reject_ticket(tables, &arrival.packet, out),
        (Side::Endpoint, _) => {
            tables.counters.rejected_tickets += 1;
            Stage::Handled
        }
    }
}

/// Returns which side sends packets of this kind to hosts, or `None` if neither does.
///
/// Either side may close a flow. A close counts as the caller's unless its ticket was
/// issued to an endpoint.
fn sender_side(body: &Body) -> Option<Side> {
    match body {
        Body::Greet
        | Body::Open
        | Body::Up { .. }
        | Body::Ping
        | Body::Close
        | Body::Ask { .. }
        | Body::Cancel { .. } => Some(Side::Caller),
        Body::Opened { .. }
        | Body::OpenRefused { .. }
        | Body::Down { .. }
        | Body::Probed { .. }
        | Body::Reset { .. }
        | Body::PartAck { .. }
        | Body::Refused { .. }
        | Body::Answer { .. } => Some(Side::Endpoint),
        Body::Greeted | Body::Pong | Body::Probe | Body::Work { .. } | Body::Ended { .. } => None,
    }
}

fn check_ticket(tables: &Tables, packet: &Packet, side: Side) -> TicketCheck {
    if packet.ticket.is_empty() {
        return TicketCheck::None;
    }
    let Ok(ticket) = tables.snapshot.keys.open(&packet.ticket) else {
        return TicketCheck::Invalid;
    };
    let is_close = packet.body == Body::Close;
    let is_own = ticket.service == packet.service && ticket.flow == packet.key();
    if is_own && (ticket.side == side || is_close) {
        TicketCheck::Valid(ticket)
    } else {
        TicketCheck::Invalid
    }
}

#[cold]
fn reject_ticket(tables: &mut Tables, packet: &Packet, out: &mut Outbox) -> Stage {
    tables.counters.rejected_tickets += 1;
    let reason = Reason::BadTicket;
    match packet.body {
        Body::Ask { request, class, .. } if class.is_at_most_once() => {
            outcome::report_unknown(tables, packet, request, reason, out);
        }
        _ => out.reply(packet, Body::Reset { reason }),
    }
    Stage::Handled
}

fn route_unticketed(tables: &mut Tables, packet: &Packet, out: &mut Outbox) -> Stage {
    if !tables.snapshot.services.contains_key(&packet.service) {
        let reason = Reason::NoService;
        out.reply(packet, Body::Reset { reason });
        return Stage::Handled;
    }
    let stage = match packet.body {
        Body::Greet => return Stage::Greeting,
        Body::Open => Stage::Open,
        Body::Ask { request, .. } | Body::Cancel { request, .. } => {
            return route_request(tables, packet, request, out);
        }
        _ => Stage::Flow,
    };
    let home = tables.snapshot.home(&packet.key());
    forward_home(tables, home, stage, packet, out)
}

/// Routes a request without a ticket.
///
/// While the previous home of the flow is leaving, requests go there first, since it may
/// hold their records. It forwards those that it has no record of to the new home.
fn route_request(tables: &mut Tables, packet: &Packet, number: u64, out: &mut Outbox) -> Stage {
    let flow = packet.key();
    if tables.requests.find(&RequestId { flow, number }).is_some() {
        return Stage::Request;
    }
    let earlier_home = tables.snapshot.previous_home(&flow);
    if packet.hops == 0
        && let Some(addr) = remote_addr(tables, earlier_home)
    {
        forward(tables, addr, packet, out);
        return Stage::Handled;
    }
    let home = tables.snapshot.home(&flow);
    forward_home(tables, home, Stage::Request, packet, out)
}

fn route_ticketed(
    tables: &mut Tables,
    packet: &Packet,
    ticket: &Ticket,
    out: &mut Outbox,
) -> Stage {
    match packet.body {
        Body::Greet | Body::Open => route_unticketed(tables, packet, out),
        Body::Up { .. } => Stage::Forward,
        Body::Close if ticket.side == Side::Endpoint => route_close(tables, packet, ticket, out),
        Body::Ask { .. } | Body::Cancel { .. } => route_ask(tables, packet, ticket, out),
        _ => {
            let home = current_home(tables, ticket);
            forward_home(tables, home, Stage::Flow, packet, out)
        }
    }
}

/// Returns the home that a ticket names, or the flow's new home if that one is leaving or
/// gone.
fn current_home(tables: &Tables, ticket: &Ticket) -> Option<Home> {
    if tables.snapshot.is_active(&ticket.home) {
        return Some(ticket.home);
    }
    tables.snapshot.home(&ticket.flow)
}

/// Routes a request with a ticket to the home that the ticket names, since no other lane
/// may dispatch it. If that home is gone, the flow's new home handles the request unless
/// it must run at most once.
fn route_ask(tables: &mut Tables, packet: &Packet, ticket: &Ticket, out: &mut Outbox) -> Stage {
    if ticket.home == tables.home {
        return Stage::Request;
    }
    if tables.snapshot.is_live(&ticket.home) {
        return forward_home(tables, Some(ticket.home), Stage::Request, packet, out);
    }
    match packet.body {
        Body::Ask { request, class, .. } if class.is_at_most_once() => {
            outcome::report_unknown(tables, packet, request, Reason::HomeLost, out);
            Stage::Handled
        }
        _ => {
            let home = tables.snapshot.home(&ticket.flow);
            forward_home(tables, home, Stage::Request, packet, out)
        }
    }
}

/// Routes an endpoint's close to the caller, and to the home so that it removes the flow.
fn route_close(tables: &mut Tables, packet: &Packet, ticket: &Ticket, out: &mut Outbox) -> Stage {
    if ticket.home == tables.home {
        return Stage::EndpointPacket;
    }
    if packet.hops < MAX_HOPS {
        forward(tables, ticket.home.addr, packet, out);
    }
    Stage::Forward
}

/// Routes a reset to the home, which knows whether it came from the flow's current
/// endpoint.
fn route_reset(tables: &mut Tables, packet: &Packet, ticket: &Ticket, out: &mut Outbox) -> Stage {
    if tables.snapshot.is_live(&ticket.home) {
        return forward_home(
            tables,
            Some(ticket.home),
            Stage::EndpointPacket,
            packet,
            out,
        );
    }
    Stage::Forward
}

fn route_endpoint(
    tables: &mut Tables,
    packet: &Packet,
    ticket: &Ticket,
    now: Duration,
    out: &mut Outbox,
) -> Stage {
    if let Body::Reset { reason } = packet.body {
        block_reassigned(tables, ticket, reason, now);
        return route_reset(tables, packet, ticket, out);
    }
    match packet.body {
        Body::Down { .. } => Stage::Forward,
        _ if ticket.home == tables.home => Stage::EndpointPacket,
        Body::Answer { .. } => route_answer(tables, packet, ticket, out),
        Body::Opened { .. } => route_opened(tables, packet, ticket, out),
        _ => forward_home(
            tables,
            Some(ticket.home),
            Stage::EndpointPacket,
            packet,
            out,
        ),
    }
}

/// Routes the confirmation of an opened flow to its home. If that home is not listed, it
/// may be gone or too new to be known, so this lane takes the flow over as well.
fn route_opened(tables: &mut Tables, packet: &Packet, ticket: &Ticket, out: &mut Outbox) -> Stage {
    let stage = forward_home(
        tables,
        Some(ticket.home),
        Stage::EndpointPacket,
        packet,
        out,
    );
    if tables.snapshot.is_live(&ticket.home) || packet.hops > 0 {
        stage
    } else {
        Stage::EndpointPacket
    }
}

/// Routes an answer to the caller directly, so that it arrives even if the home is gone,
/// and to the home, which records it.
fn route_answer(tables: &mut Tables, packet: &Packet, ticket: &Ticket, out: &mut Outbox) -> Stage {
    if packet.hops > 0 {
        tables.counters.orphan_answers += 1;
        return Stage::Handled;
    }
    forward(tables, ticket.home.addr, packet, out);
    Stage::Forward
}

/// Stops all traffic to an endpoint that reports that it serves another service.
fn block_reassigned(tables: &mut Tables, ticket: &Ticket, reason: Reason, now: Duration) {
    const BLOCK_TIME: Duration = Duration::from_secs(10);
    let Some(target) = ticket.target else {
        return;
    };
    if reason != Reason::Reassigned {
        return;
    }
    tables.counters.reassigned_endpoints += 1;
    if let Some(row) = tables.endpoints.get_mut(target.endpoint) {
        row.blocked_until = now + BLOCK_TIME;
    }
}

/// Forwards a packet to its home, or returns `stage` if the home is this lane.
///
/// At the hop limit the packet is not forwarded: it is handled here where any lane can do
/// that, and dropped otherwise.
fn forward_home(
    tables: &mut Tables,
    home: Option<Home>,
    stage: Stage,
    packet: &Packet,
    out: &mut Outbox,
) -> Stage {
    let Some(addr) = remote_addr(tables, home) else {
        return stage;
    };
    if packet.hops < MAX_HOPS {
        forward(tables, addr, packet, out);
        return Stage::Handled;
    }
    tables.counters.looped_packets += 1;
    match stage {
        Stage::Request | Stage::EndpointPacket => Stage::Handled,
        _ => stage,
    }
}

/// Returns the address of a home, or `None` if it is this lane.
fn remote_addr(tables: &Tables, home: Option<Home>) -> Option<SocketAddr> {
    home.filter(|home| home.addr != tables.home.addr || home.host != tables.home.host)
        .map(|home| home.addr)
}
