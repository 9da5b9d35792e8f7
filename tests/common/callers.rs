//! Fake callers: they retransmit, send pings and record the outcomes of their requests.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhinge::prelude::*;
use jacinthhinge::tables::Parts;

use super::{World, addr, fabric_addr, ms};

const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// State of a flow as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    Opening,
    Open,
    Closed,
    Reset(Reason),
}

#[derive(Clone, Debug)]
pub struct FlowRow {
    pub service: Id,
    pub is_stream: bool,
    pub phase: Phase,
    pub ticket: Bytes,
    /// Incarnation of the endpoint that opened the flow.
    pub incarnation: u64,
    /// Time between two data packets; none for a flow that only sends pings.
    pub send_interval: Option<Duration>,
    pub sends_pings: bool,
    pub last_seq: u64,
    /// Sequence numbers of the data packets received.
    pub received_seqs: BTreeSet<u64>,
    /// Time at which the flow was reset.
    pub reset_at: Duration,
    next_send: Duration,
    next_ping: Duration,
}

#[derive(Clone, Debug)]
pub struct RequestRow {
    pub flow: u64,
    pub class: Class,
    pub deadline: Duration,
    pub request_parts: Vec<Part>,
    /// Packet with the service, flow and ticket of the request.
    pub template: Packet,
    pub acked_parts: BTreeSet<u32>,
    /// Answer parts received, by dispatch number.
    pub answer_parts: BTreeMap<u64, Parts>,
    /// Texts of the parts of the first complete answer.
    pub answer: Option<Vec<String>>,
    /// Outcomes reported without an answer, in order of arrival.
    pub outcomes: Vec<(ExecutionStatus, Reason)>,
    next_send: Duration,
}

pub struct CallerRow {
    pub addr: SocketAddr,
    pub echoes_tickets: bool,
    /// True to retransmit until the deadline, whatever outcome is reported.
    pub ignores_outcomes: bool,
    pub flows: BTreeMap<u64, FlowRow>,
    pub requests: BTreeMap<u64, RequestRow>,
}

impl World {
    /// Adds a caller, which sends tickets with its packets if `echo` is true; returns its
    /// index.
    pub fn add_caller(&mut self, echo: bool) -> usize {
        let index = self.callers.len();
        let port = u16::try_from(9_000 + index).expect("few callers");
        self.callers.push(CallerRow {
            addr: addr(&format!("10.2.0.1:{port}")),
            echoes_tickets: echo,
            ignores_outcomes: false,
            flows: BTreeMap::new(),
            requests: BTreeMap::new(),
        });
        index
    }

    /// Opens a stream, or only asks for a ticket if `stream` is false.
    pub fn open_flow(&mut self, caller: usize, flow: u64, service: &str, stream: bool) {
        let row = FlowRow {
            service: Id::of(service),
            is_stream: stream,
            phase: Phase::Opening,
            ticket: Bytes::new(),
            incarnation: 0,
            send_interval: Some(ms(500)),
            sends_pings: true,
            last_seq: 0,
            received_seqs: BTreeSet::new(),
            reset_at: Duration::ZERO,
            next_send: self.now,
            next_ping: self.now,
        };
        self.callers[caller].flows.insert(flow, row);
    }

    pub fn close_flow(&mut self, caller: usize, flow: u64) {
        let row = self.callers[caller].flows.get_mut(&flow).expect("a flow");
        row.phase = Phase::Closed;
        self.send_on_flow(caller, flow, Body::Close);
    }

    /// Sends a request of `parts` parts with the flow's newest ticket.
    pub fn send_request(
        &mut self,
        caller: usize,
        flow: u64,
        request: u64,
        class: Class,
        time_limit: Duration,
        parts: u32,
    ) {
        let row = &self.callers[caller];
        let ticket = if row.echoes_tickets {
            row.flows[&flow].ticket.clone()
        } else {
            Bytes::new()
        };
        let packet = Packet {
            service: row.flows[&flow].service,
            caller: row.addr,
            flow,
            hops: 0,
            ticket,
            body: Body::Greet,
        };
        let part = |index| Part {
            index,
            total: parts,
            data: Bytes::from(format!("{request}.{index}")),
        };
        let request_row = RequestRow {
            flow,
            class,
            deadline: self.now + time_limit,
            request_parts: (0..parts).map(part).collect(),
            template: packet,
            acked_parts: BTreeSet::new(),
            answer_parts: BTreeMap::new(),
            answer: None,
            outcomes: Vec::new(),
            next_send: self.now,
        };
        self.callers[caller].requests.insert(request, request_row);
    }

    pub fn cancel_request(&mut self, caller: usize, request: u64) {
        let row = &self.callers[caller];
        let Some(request_row) = row.requests.get(&request) else {
            return;
        };
        let dispatch = 0;
        let body = Body::Cancel { request, dispatch };
        let packet = request_row
            .template
            .reply(request_row.template.ticket.clone(), body);
        self.send(row.addr, fabric_addr(), &packet);
    }

    /// Sends a packet on a flow, with its ticket if the caller echoes tickets.
    pub fn send_on_flow(&mut self, caller: usize, flow: u64, body: Body) {
        let row = &self.callers[caller];
        let state = &row.flows[&flow];
        let ticket = if row.echoes_tickets {
            state.ticket.clone()
        } else {
            Bytes::new()
        };
        let packet = Packet {
            service: state.service,
            caller: row.addr,
            flow,
            hops: 0,
            ticket,
            body,
        };
        self.send(row.addr, fabric_addr(), &packet);
    }

    /// Counts the flows of all callers in a phase.
    pub fn count_flows(&self, matches: fn(Phase) -> bool) -> usize {
        let flows = self.callers.iter().flat_map(|row| row.flows.values());
        flows.filter(|flow| matches(flow.phase)).count()
    }

    /// Counts the flows of all callers that were reset.
    pub fn reset_count(&self) -> usize {
        self.count_flows(|phase| matches!(phase, Phase::Reset(_)))
    }

    pub fn flow(&self, caller: usize, flow: u64) -> &FlowRow {
        &self.callers[caller].flows[&flow]
    }

    pub fn request(&self, caller: usize, request: u64) -> &RequestRow {
        &self.callers[caller].requests[&request]
    }

    /// Counts the executions of a request.
    pub fn execution_count(&self, caller: usize, request: u64) -> usize {
        let addr = self.callers[caller].addr;
        let is_same = |run: &&super::Execution| run.flow.caller == addr && run.request == request;
        self.executions.iter().filter(is_same).count()
    }
}

/// Handles a packet that reaches a caller.
pub fn receive(world: &mut World, caller: usize, packet: &Packet) {
    let now = world.now;
    let row = &mut world.callers[caller];
    match &packet.body {
        Body::Ended {
            request,
            status,
            reason,
        } => {
            if let Some(request_row) = row.requests.get_mut(request) {
                request_row.outcomes.push((*status, *reason));
            }
            return;
        }
        Body::Answer {
            request,
            dispatch,
            part,
            ..
        } => return receive_answer(row, packet, *request, *dispatch, part),
        Body::PartAck { request, index } => {
            if let Some(request_row) = row.requests.get_mut(request) {
                request_row.acked_parts.insert(*index);
            }
            return;
        }
        _ => {}
    }
    let Some(flow) = row.flows.get_mut(&packet.flow) else {
        return;
    };
    match &packet.body {
        Body::Opened { load } => match flow.phase {
            Phase::Opening => {
                flow.phase = Phase::Open;
                flow.incarnation = load.incarnation;
                flow.ticket = packet.ticket.clone();
            }
            Phase::Open if flow.incarnation != load.incarnation => {
                let reply = packet.reply(packet.ticket.clone(), Body::Close);
                let from = row.addr;
                world.send(from, fabric_addr(), &reply);
            }
            _ => {}
        },
        Body::Greeted => {
            flow.phase = Phase::Open;
            flow.ticket = packet.ticket.clone();
        }
        Body::Pong if !packet.ticket.is_empty() => flow.ticket = packet.ticket.clone(),
        Body::Down { seq, .. } => drop(flow.received_seqs.insert(*seq)),
        Body::Close => flow.phase = Phase::Closed,
        Body::Reset { reason } if matches!(flow.phase, Phase::Open | Phase::Opening) => {
            flow.phase = Phase::Reset(*reason);
            flow.reset_at = now;
        }
        Body::Pong | Body::Reset { .. } => {}
        other => panic!("a caller got an unexpected packet: {other:?}"),
    }
}

fn receive_answer(row: &mut CallerRow, packet: &Packet, request: u64, dispatch: u64, part: &Part) {
    let Some(request_row) = row.requests.get_mut(&request) else {
        return;
    };
    assert_eq!(
        request_row.template.key(),
        packet.key(),
        "the answer belongs to another flow"
    );
    let parts = request_row.answer_parts.entry(dispatch).or_default();
    parts.insert(part);
    if parts.is_complete() && request_row.answer.is_none() {
        let text = |part: Part| String::from_utf8_lossy(&part.data).into_owned();
        request_row.answer = Some(parts.iter().map(text).collect());
    }
}

/// Sends all packets that are due.
pub fn send_due(world: &mut World) {
    for caller in 0..world.callers.len() {
        send_flow_packets(world, caller);
        send_request_packets(world, caller);
    }
}

fn send_flow_packets(world: &mut World, caller: usize) {
    let now = world.now;
    let mut due = Vec::new();
    for (number, flow) in &mut world.callers[caller].flows {
        match flow.phase {
            Phase::Opening if now >= flow.next_send => {
                flow.next_send = now + RETRY_INTERVAL;
                due.push((
                    *number,
                    if flow.is_stream {
                        Body::Open
                    } else {
                        Body::Greet
                    },
                ));
            }
            Phase::Open => {
                if flow.sends_pings && now >= flow.next_ping {
                    flow.next_ping = now + PING_INTERVAL;
                    due.push((*number, Body::Ping));
                }
                if let Some(interval) = flow
                    .send_interval
                    .filter(|_| flow.is_stream && now >= flow.next_send)
                {
                    flow.next_send = now + interval;
                    flow.last_seq += 1;
                    let data = Bytes::from_static(b"line");
                    due.push((
                        *number,
                        Body::Up {
                            seq: flow.last_seq,
                            data,
                        },
                    ));
                }
            }
            _ => {}
        }
    }
    for (number, body) in due {
        world.send_on_flow(caller, number, body);
    }
}

fn send_request_packets(world: &mut World, caller: usize) {
    let now = world.now;
    let row = &mut world.callers[caller];
    let mut due = Vec::new();
    for (request, request_row) in &mut row.requests {
        let is_done = request_row.answer.is_some()
            || (!row.ignores_outcomes && !request_row.outcomes.is_empty());
        if is_done || now >= request_row.deadline || now < request_row.next_send {
            continue;
        }
        request_row.next_send = now + RETRY_INTERVAL;
        let is_unacked = |part: &&Part| !request_row.acked_parts.contains(&part.index);
        let mut parts: Vec<&Part> = request_row
            .request_parts
            .iter()
            .filter(is_unacked)
            .collect();
        if parts.is_empty() {
            parts.push(&request_row.request_parts[0]);
        }
        for part in parts {
            let body = Body::Ask {
                request: *request,
                class: request_row.class,
                time_left: request_row.deadline.saturating_sub(now),
                part: part.clone(),
            };
            due.push(
                request_row
                    .template
                    .reply(request_row.template.ticket.clone(), body),
            );
        }
    }
    let from = row.addr;
    for packet in due {
        world.send(from, fabric_addr(), &packet);
    }
}
