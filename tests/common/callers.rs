//! Fake callers: they repeat, keep alive and note what they are told.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhinge::prelude::*;
use jacinthhinge::tables::Parts;

use super::{World, addr, fabric_addr, ms};

const REPEAT_EVERY: Duration = Duration::from_millis(200);
const PING_EVERY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    Opening,
    Open,
    Closed,
    Broken(Reason),
}

#[derive(Clone, Debug)]
pub struct FlowRow {
    pub service: Id,
    pub stream: bool,
    pub phase: Phase,
    pub ticket: Bytes,
    pub life: u64,
    /// Time between two packets up, none for a flow that only pings.
    pub every: Option<Duration>,
    pub pings: bool,
    pub seq: u64,
    pub downs: BTreeSet<u64>,
    pub ended: Duration,
    next: Duration,
    ping: Duration,
}

#[derive(Clone, Debug)]
pub struct AskRow {
    pub flow: u64,
    pub class: Class,
    pub until: Duration,
    pub parts: Vec<Part>,
    pub packet: Packet,
    pub acked: BTreeSet<u32>,
    pub answers: BTreeMap<u64, Parts>,
    pub answer: Option<Vec<String>>,
    pub told: Vec<(ExecutionStatus, Reason)>,
    next: Duration,
}

pub struct CallerRow {
    pub addr: SocketAddr,
    pub echo: bool,
    /// True to go on asking until the deadline, whatever the verdict.
    pub stubborn: bool,
    pub flows: BTreeMap<u64, FlowRow>,
    pub asks: BTreeMap<u64, AskRow>,
}

impl World {
    pub fn add_caller(&mut self, echo: bool) -> usize {
        let index = self.callers.len();
        let port = u16::try_from(9_000 + index).expect("few callers");
        self.callers.push(CallerRow {
            addr: addr(&format!("10.2.0.1:{port}")),
            echo,
            stubborn: false,
            flows: BTreeMap::new(),
            asks: BTreeMap::new(),
        });
        index
    }

    /// Opens a stream, or greets for a ticket only.
    pub fn open(&mut self, caller: usize, flow: u64, service: &str, stream: bool) {
        let row = FlowRow {
            service: Id::of(service),
            stream,
            phase: Phase::Opening,
            ticket: Bytes::new(),
            life: 0,
            every: Some(ms(500)),
            pings: true,
            seq: 0,
            downs: BTreeSet::new(),
            ended: Duration::ZERO,
            next: self.now,
            ping: self.now,
        };
        self.callers[caller].flows.insert(flow, row);
    }

    pub fn close(&mut self, caller: usize, flow: u64) {
        let row = self.callers[caller].flows.get_mut(&flow).expect("a flow");
        row.phase = Phase::Closed;
        self.up(caller, flow, Body::Close);
    }

    /// Asks for work of `parts` parts, with the flow's newest ticket.
    pub fn ask(
        &mut self,
        caller: usize,
        flow: u64,
        request: u64,
        class: Class,
        budget: Duration,
        parts: u32,
    ) {
        let row = &self.callers[caller];
        let ticket = if row.echo {
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
        let ask = AskRow {
            flow,
            class,
            until: self.now + budget,
            parts: (0..parts).map(part).collect(),
            packet,
            acked: BTreeSet::new(),
            answers: BTreeMap::new(),
            answer: None,
            told: Vec::new(),
            next: self.now,
        };
        self.callers[caller].asks.insert(request, ask);
    }

    pub fn cancel(&mut self, caller: usize, request: u64) {
        let row = &self.callers[caller];
        let Some(ask) = row.asks.get(&request) else {
            return;
        };
        let dispatch = 0;
        let body = Body::Cancel { request, dispatch };
        let packet = ask.packet.reply(ask.packet.ticket.clone(), body);
        self.send(row.addr, fabric_addr(), &packet);
    }

    /// Sends a body on a flow, with its ticket if the caller echoes.
    pub fn up(&mut self, caller: usize, flow: u64, body: Body) {
        let row = &self.callers[caller];
        let state = &row.flows[&flow];
        let ticket = if row.echo {
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

    /// Flows in a phase, over all callers.
    pub fn phases(&self, want: fn(Phase) -> bool) -> usize {
        let flows = self.callers.iter().flat_map(|row| row.flows.values());
        flows.filter(|flow| want(flow.phase)).count()
    }

    pub fn broken(&self) -> usize {
        self.phases(|phase| matches!(phase, Phase::Broken(_)))
    }

    pub fn flow(&self, caller: usize, flow: u64) -> &FlowRow {
        &self.callers[caller].flows[&flow]
    }

    pub fn asked(&self, caller: usize, request: u64) -> &AskRow {
        &self.callers[caller].asks[&request]
    }

    /// Times that a request ran.
    pub fn ran(&self, caller: usize, request: u64) -> usize {
        let addr = self.callers[caller].addr;
        let same = |run: &&super::Execution| run.flow.caller == addr && run.request == request;
        self.executions.iter().filter(same).count()
    }
}

/// A caller takes a packet.
pub fn take(world: &mut World, caller: usize, packet: &Packet) {
    let now = world.now;
    let row = &mut world.callers[caller];
    match &packet.body {
        Body::Ended {
            request,
            status: verdict,
            reason,
        } => {
            if let Some(ask) = row.asks.get_mut(request) {
                ask.told.push((*verdict, *reason));
            }
            return;
        }
        Body::Answer {
            request,
            dispatch,
            part,
            ..
        } => return answer(row, packet, *request, *dispatch, part),
        Body::PartAck { request, index } => {
            if let Some(ask) = row.asks.get_mut(request) {
                ask.acked.insert(*index);
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
                flow.life = load.incarnation;
                flow.ticket = packet.ticket.clone();
            }
            Phase::Open if flow.life != load.incarnation => {
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
        Body::Down { seq, .. } => drop(flow.downs.insert(*seq)),
        Body::Close => flow.phase = Phase::Closed,
        Body::Reset { reason } if matches!(flow.phase, Phase::Open | Phase::Opening) => {
            flow.phase = Phase::Broken(*reason);
            flow.ended = now;
        }
        Body::Pong | Body::Reset { .. } => {}
        other => panic!("no packet for a caller: {other:?}"),
    }
}

fn answer(row: &mut CallerRow, packet: &Packet, request: u64, dispatch: u64, part: &Part) {
    let Some(ask) = row.asks.get_mut(&request) else {
        return;
    };
    assert_eq!(ask.packet.key(), packet.key(), "an answer of another flow");
    let parts = ask.answers.entry(dispatch).or_default();
    parts.insert(part);
    if parts.is_complete() && ask.answer.is_none() {
        let text = |part: Part| String::from_utf8_lossy(&part.data).into_owned();
        ask.answer = Some(parts.iter().map(text).collect());
    }
}

/// Sends what is due.
pub fn drive(world: &mut World) {
    for caller in 0..world.callers.len() {
        drive_flows(world, caller);
        drive_asks(world, caller);
    }
}

fn drive_flows(world: &mut World, caller: usize) {
    let now = world.now;
    let mut due = Vec::new();
    for (number, flow) in &mut world.callers[caller].flows {
        match flow.phase {
            Phase::Opening if now >= flow.next => {
                flow.next = now + REPEAT_EVERY;
                due.push((*number, if flow.stream { Body::Open } else { Body::Greet }));
            }
            Phase::Open => {
                if flow.pings && now >= flow.ping {
                    flow.ping = now + PING_EVERY;
                    due.push((*number, Body::Ping));
                }
                if let Some(every) = flow.every.filter(|_| flow.stream && now >= flow.next) {
                    flow.next = now + every;
                    flow.seq += 1;
                    let data = Bytes::from_static(b"line");
                    due.push((
                        *number,
                        Body::Up {
                            seq: flow.seq,
                            data,
                        },
                    ));
                }
            }
            _ => {}
        }
    }
    for (number, body) in due {
        world.up(caller, number, body);
    }
}

fn drive_asks(world: &mut World, caller: usize) {
    let now = world.now;
    let row = &mut world.callers[caller];
    let mut due = Vec::new();
    for (request, ask) in &mut row.asks {
        let over = ask.answer.is_some() || (!row.stubborn && !ask.told.is_empty());
        if over || now >= ask.until || now < ask.next {
            continue;
        }
        ask.next = now + REPEAT_EVERY;
        let open = |part: &&Part| !ask.acked.contains(&part.index);
        let mut parts: Vec<&Part> = ask.parts.iter().filter(open).collect();
        if parts.is_empty() {
            parts.push(&ask.parts[0]);
        }
        for part in parts {
            let body = Body::Ask {
                request: *request,
                class: ask.class,
                time_left: ask.until.saturating_sub(now),
                part: part.clone(),
            };
            due.push(ask.packet.reply(ask.packet.ticket.clone(), body));
        }
    }
    let from = row.addr;
    for packet in due {
        world.send(from, fabric_addr(), &packet);
    }
}
