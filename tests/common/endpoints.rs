//! Fake endpoints: they know their flows and dispatch numbers, nothing else.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhinge::prelude::*;
use jacinthhinge::tables::Parts;

use super::{World, fabric_addr, ms};

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub struct Execution {
    pub flow: FlowKey,
    pub request: u64,
    pub end: usize,
    pub at: Duration,
}

enum Stage {
    Gathering,
    Running(Duration),
    Answered,
    Refused(Reason),
}

struct Job {
    packet: Packet,
    request: u64,
    parts: Parts,
    stage: Stage,
    serial: usize,
}

pub struct EndpointRow {
    pub name: Name,
    /// Service it belongs to by configuration.
    pub owner: Name,
    /// Service it serves in truth.
    pub service: Name,
    pub addr: SocketAddr,
    pub slots: u32,
    pub incarnation: u64,
    pub up: bool,
    /// True when the configuration lets it drain.
    pub leaving: bool,
    /// True when it says itself that it drains.
    pub draining: bool,
    /// True when the configuration has dropped it.
    pub removed: bool,
    /// Share of the work it sheds.
    pub shed: f64,
    pub work: Duration,
    /// Parts of its answers.
    pub parts: u32,
    pub flows: BTreeMap<FlowKey, Bytes>,
    /// Flows whose packets it no longer sees.
    pub deaf: BTreeSet<u64>,
    pub placed: usize,
    jobs: BTreeMap<(u64, SocketAddr), Job>,
}

impl EndpointRow {
    pub fn new(service: &str, index: usize, addr: SocketAddr, slots: u32, life: u64) -> Self {
        let name: Name = service.into();
        Self {
            name: format!("{service}-{index}").into(),
            owner: name.clone(),
            service: name,
            addr,
            slots,
            incarnation: life,
            up: true,
            leaving: false,
            draining: false,
            removed: false,
            shed: 0.0,
            work: ms(20),
            parts: 2,
            flows: BTreeMap::new(),
            deaf: BTreeSet::new(),
            placed: 0,
            jobs: BTreeMap::new(),
        }
    }

    pub fn spec(&self) -> Endpoint {
        Endpoint {
            id: Id::of(&self.name),
            name: self.name.clone(),
            addr: self.addr,
            zone: "sv-a".into(),
            slots: self.slots,
            max_conns: 2_000,
            weight: 1.0,
            draining: self.leaving,
            ..Endpoint::new(&self.name, self.addr)
        }
    }

    /// Starts anew with no memory.
    pub fn restart(&mut self, life: u64) {
        self.up = true;
        self.incarnation = life;
        self.flows.clear();
        self.jobs.clear();
    }

    fn busy(&self) -> u32 {
        let running = |job: &&Job| matches!(job.stage, Stage::Running(_));
        u32::try_from(self.jobs.values().filter(running).count()).expect("few jobs")
    }

    fn load(&self) -> Load {
        Load {
            incarnation: self.incarnation,
            active_requests: self.busy(),
            conns: u32::try_from(self.flows.len()).expect("few flows"),
            draining: self.draining,
        }
    }
}

/// An endpoint takes a packet.
pub fn take(world: &mut World, end: usize, from: SocketAddr, packet: &Packet) {
    let row = &mut world.endpoints[end];
    if !row.up || row.deaf.contains(&packet.flow) {
        return;
    }
    if packet.service != Id::of(&row.service) {
        world.misrouted_packets += 1;
        let reason = Reason::Reassigned;
        say(world, end, packet, Body::Reset { reason });
        return;
    }
    let key = packet.key();
    if let Some(ticket) = row.flows.get_mut(&key) {
        *ticket = packet.ticket.clone();
    }
    match &packet.body {
        Body::Open => open(world, end, packet),
        Body::Probe => {
            let known = row.flows.contains_key(&key);
            let load = row.load();
            say(world, end, packet, Body::Probed { known, load });
        }
        Body::Up { seq, data } if row.flows.contains_key(&key) => {
            let (seq, data) = (*seq, data.clone());
            say(world, end, packet, Body::Down { seq, data });
        }
        Body::Up { .. } => {
            let reason = Reason::FlowLost;
            say(world, end, packet, Body::Reset { reason });
        }
        Body::Close => drop(row.flows.remove(&key)),
        Body::Work { .. } => work(world, end, from, packet),
        Body::Cancel { dispatch, .. } => cancel(world, end, (*dispatch, from), packet),
        other => panic!("no packet for an endpoint: {other:?}"),
    }
}

fn open(world: &mut World, end: usize, packet: &Packet) {
    let row = &mut world.endpoints[end];
    let known = row.flows.contains_key(&packet.key());
    let body = if row.draining && !known {
        Body::OpenRefused { load: row.load() }
    } else {
        row.placed += usize::from(!known);
        row.flows.insert(packet.key(), packet.ticket.clone());
        Body::Opened { load: row.load() }
    };
    say(world, end, packet, body);
}

fn work(world: &mut World, end: usize, from: SocketAddr, packet: &Packet) {
    let Body::Work {
        request,
        dispatch,
        expected_incarnation: expect,
        time_left: budget,
        ref part,
        ..
    } = packet.body
    else {
        return;
    };
    let id = (dispatch, from);
    let serial = world.executions.len();
    let shed = world.endpoints[end].shed;
    let sheds = rand::RngExt::random_bool(&mut world.rng, shed);
    let row = &mut world.endpoints[end];
    let full = row.busy() >= row.slots;
    let (life, draining, time) = (row.incarnation, row.draining, row.work);
    let job = row.jobs.entry(id).or_insert_with(|| Job {
        packet: packet.clone(),
        request,
        parts: Parts::default(),
        stage: Stage::Gathering,
        serial: 0,
    });
    job.packet.ticket = packet.ticket.clone();
    job.parts.insert(part);
    if matches!(job.stage, Stage::Gathering) {
        let refusal = match () {
            () if expect != life => Some(Reason::EndpointLost),
            () if budget.is_zero() => Some(Reason::Late),
            () if draining => Some(Reason::Draining),
            () if job.parts.is_complete() && (full || sheds) => Some(Reason::Overload),
            () => None,
        };
        if let Some(reason) = refusal {
            job.stage = Stage::Refused(reason);
        } else if job.parts.is_complete() {
            for part in job.parts.iter() {
                assert_eq!(
                    part.data,
                    format!("{request}.{}", part.index),
                    "mixed parts"
                );
            }
            job.stage = Stage::Running(world.now + time);
            job.serial = serial;
            world.executions.push(Execution {
                flow: packet.key(),
                request,
                end,
                at: world.now,
            });
        }
    }
    let ack = Body::PartAck {
        request: dispatch,
        index: part.index,
    };
    say(world, end, packet, ack);
    conclude(world, end, id);
}

fn cancel(world: &mut World, end: usize, id: (u64, SocketAddr), packet: &Packet) {
    let Body::Cancel { request, .. } = packet.body else {
        return;
    };
    let refused = Stage::Refused(Reason::Cancelled);
    let job = world.endpoints[end].jobs.entry(id).or_insert_with(|| Job {
        packet: packet.clone(),
        request,
        parts: Parts::default(),
        stage: Stage::Gathering,
        serial: 0,
    });
    if matches!(job.stage, Stage::Gathering) {
        job.stage = refused;
    }
    conclude(world, end, id);
}

/// Sends what is known of a dispatch that ended.
fn conclude(world: &mut World, end: usize, id: (u64, SocketAddr)) {
    let row = &world.endpoints[end];
    let (load, total, dispatch) = (row.load(), row.parts, id.0);
    let job = &row.jobs[&id];
    let (packet, request, serial) = (job.packet.clone(), job.request, job.serial);
    match job.stage {
        Stage::Refused(reason) => {
            let body = Body::Refused {
                request,
                dispatch,
                reason,
                load,
            };
            say(world, end, &packet, body);
        }
        Stage::Answered => {
            for index in 0..total {
                let text = format!(
                    "{}/{}/{request}/{serial}",
                    row_name(world, end),
                    packet.flow
                );
                let data = text.into();
                let part = Part { index, total, data };
                let body = Body::Answer {
                    request,
                    dispatch,
                    load,
                    part,
                };
                say(world, end, &packet, body);
            }
        }
        _ => {}
    }
}

fn row_name(world: &World, end: usize) -> &str {
    &world.endpoints[end].service
}

fn say(world: &mut World, end: usize, packet: &Packet, body: Body) {
    let reply = packet.reply(packet.ticket.clone(), body);
    let from = world.endpoints[end].addr;
    world.send(from, fabric_addr(), &reply);
}

/// Ends the work whose time is up.
pub fn drive(world: &mut World) {
    let now = world.now;
    for end in 0..world.endpoints.len() {
        let row = &mut world.endpoints[end];
        if !row.up {
            continue;
        }
        let due = |job: &Job| matches!(job.stage, Stage::Running(at) if now >= at);
        let jobs = row.jobs.iter_mut().filter(|(_, job)| due(job));
        let mut ended = Vec::new();
        for (id, job) in jobs {
            job.stage = Stage::Answered;
            ended.push(*id);
        }
        for id in ended {
            conclude(world, end, id);
        }
    }
}
