//! Fake endpoints: they keep only their open flows and the dispatches they were sent.

use std::collections::{BTreeMap, BTreeSet};

use jacinthhinge::prelude::*;
use jacinthhinge::tables::Parts;

use super::{World, fabric_addr, ms};

/// An execution of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Execution {
    pub flow: FlowKey,
    pub request: u64,
    pub endpoint: usize,
    pub started_at: Duration,
}

/// State of a dispatch; `Running` holds the time at which it ends.
enum JobState {
    Incomplete,
    Running(Duration),
    Answered,
    Refused(Reason),
}

/// A dispatch that the endpoint was sent.
struct Job {
    packet: Packet,
    request: u64,
    request_parts: Parts,
    state: JobState,
    /// Position in the executions of the world, which marks the parts of the answer.
    execution_index: usize,
}

pub struct EndpointRow {
    pub name: Name,
    /// Service that the configuration assigns it to.
    pub configured_service: Name,
    /// Service that it actually serves.
    pub service: Name,
    pub addr: SocketAddr,
    pub slots: u32,
    pub incarnation: u64,
    pub up: bool,
    /// True if the configuration drains it.
    pub config_draining: bool,
    /// True if it reports itself that it drains.
    pub reports_draining: bool,
    /// True if the configuration no longer contains it.
    pub removed: bool,
    /// Share of the requests that it refuses with `Overload`.
    pub refusal_rate: f64,
    pub work_time: Duration,
    /// Number of parts of each answer.
    pub answer_parts: u32,
    /// Open flows with their newest tickets.
    pub flows: BTreeMap<FlowKey, Bytes>,
    /// Flows whose packets it ignores.
    pub ignored_flows: BTreeSet<u64>,
    /// Number of flows that it has accepted.
    pub opened_flows: usize,
    /// Dispatches by number and sending host.
    jobs: BTreeMap<(u64, SocketAddr), Job>,
}

impl EndpointRow {
    pub fn new(
        service: &str,
        index: usize,
        addr: SocketAddr,
        slots: u32,
        incarnation: u64,
    ) -> Self {
        let name: Name = service.into();
        Self {
            name: format!("{service}-{index}").into(),
            configured_service: name.clone(),
            service: name,
            addr,
            slots,
            incarnation,
            up: true,
            config_draining: false,
            reports_draining: false,
            removed: false,
            refusal_rate: 0.0,
            work_time: ms(20),
            answer_parts: 2,
            flows: BTreeMap::new(),
            ignored_flows: BTreeSet::new(),
            opened_flows: 0,
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
            draining: self.config_draining,
            ..Endpoint::new(&self.name, self.addr)
        }
    }

    /// Restarts it without flows and jobs.
    pub fn restart(&mut self, incarnation: u64) {
        self.up = true;
        self.incarnation = incarnation;
        self.flows.clear();
        self.jobs.clear();
    }

    fn running_jobs(&self) -> u32 {
        let is_running = |job: &&Job| matches!(job.state, JobState::Running(_));
        u32::try_from(self.jobs.values().filter(is_running).count()).expect("few jobs")
    }

    fn load(&self) -> Load {
        Load {
            incarnation: self.incarnation,
            active_requests: self.running_jobs(),
            conns: u32::try_from(self.flows.len()).expect("few flows"),
            draining: self.reports_draining,
        }
    }
}

/// Handles a packet that reaches an endpoint.
pub fn receive(world: &mut World, endpoint: usize, from: SocketAddr, packet: &Packet) {
    let row = &mut world.endpoints[endpoint];
    if !row.up || row.ignored_flows.contains(&packet.flow) {
        return;
    }
    if packet.service != Id::of(&row.service) {
        world.misrouted_packets += 1;
        let reason = Reason::Reassigned;
        reply(world, endpoint, packet, Body::Reset { reason });
        return;
    }
    let key = packet.key();
    if let Some(ticket) = row.flows.get_mut(&key) {
        *ticket = packet.ticket.clone();
    }
    match &packet.body {
        Body::Open => open_flow(world, endpoint, packet),
        Body::Probe => {
            let known = row.flows.contains_key(&key);
            let load = row.load();
            reply(world, endpoint, packet, Body::Probed { known, load });
        }
        Body::Up { seq, data } if row.flows.contains_key(&key) => {
            let (seq, data) = (*seq, data.clone());
            reply(world, endpoint, packet, Body::Down { seq, data });
        }
        Body::Up { .. } => {
            let reason = Reason::FlowLost;
            reply(world, endpoint, packet, Body::Reset { reason });
        }
        Body::Close => drop(row.flows.remove(&key)),
        Body::Work { .. } => receive_work(world, endpoint, from, packet),
        Body::Cancel { dispatch, .. } => receive_cancel(world, endpoint, (*dispatch, from), packet),
        other => panic!("an endpoint got an unexpected packet: {other:?}"),
    }
}

fn open_flow(world: &mut World, endpoint: usize, packet: &Packet) {
    let row = &mut world.endpoints[endpoint];
    let known = row.flows.contains_key(&packet.key());
    let body = if row.reports_draining && !known {
        Body::OpenRefused { load: row.load() }
    } else {
        row.opened_flows += usize::from(!known);
        row.flows.insert(packet.key(), packet.ticket.clone());
        Body::Opened { load: row.load() }
    };
    reply(world, endpoint, packet, body);
}

fn receive_work(world: &mut World, endpoint: usize, from: SocketAddr, packet: &Packet) {
    let Body::Work {
        request,
        dispatch,
        expected_incarnation: expected,
        time_left,
        ref part,
        ..
    } = packet.body
    else {
        return;
    };
    let id = (dispatch, from);
    let execution_index = world.executions.len();
    let refusal_rate = world.endpoints[endpoint].refusal_rate;
    let is_refused = rand::RngExt::random_bool(&mut world.rng, refusal_rate);
    let row = &mut world.endpoints[endpoint];
    let is_full = row.running_jobs() >= row.slots;
    let (incarnation, draining, time) = (row.incarnation, row.reports_draining, row.work_time);
    let job = row.jobs.entry(id).or_insert_with(|| Job {
        packet: packet.clone(),
        request,
        request_parts: Parts::default(),
        state: JobState::Incomplete,
        execution_index: 0,
    });
    job.packet.ticket = packet.ticket.clone();
    job.request_parts.insert(part);
    if matches!(job.state, JobState::Incomplete) {
        let refusal = match () {
            () if expected != incarnation => Some(Reason::EndpointLost),
            () if time_left.is_zero() => Some(Reason::Late),
            () if draining => Some(Reason::Draining),
            () if job.request_parts.is_complete() && (is_full || is_refused) => {
                Some(Reason::Overload)
            }
            () => None,
        };
        if let Some(reason) = refusal {
            job.state = JobState::Refused(reason);
        } else if job.request_parts.is_complete() {
            for part in job.request_parts.iter() {
                assert_eq!(
                    part.data,
                    format!("{request}.{}", part.index),
                    "parts of different requests are mixed"
                );
            }
            job.state = JobState::Running(world.now + time);
            job.execution_index = execution_index;
            world.executions.push(Execution {
                flow: packet.key(),
                request,
                endpoint,
                started_at: world.now,
            });
        }
    }
    let ack = Body::PartAck {
        request: dispatch,
        index: part.index,
    };
    reply(world, endpoint, packet, ack);
    send_result(world, endpoint, id);
}

fn receive_cancel(world: &mut World, endpoint: usize, id: (u64, SocketAddr), packet: &Packet) {
    let Body::Cancel { request, .. } = packet.body else {
        return;
    };
    let refused = JobState::Refused(Reason::Cancelled);
    let job = world.endpoints[endpoint]
        .jobs
        .entry(id)
        .or_insert_with(|| Job {
            packet: packet.clone(),
            request,
            request_parts: Parts::default(),
            state: JobState::Incomplete,
            execution_index: 0,
        });
    if matches!(job.state, JobState::Incomplete) {
        job.state = refused;
    }
    send_result(world, endpoint, id);
}

/// Sends the refusal or the answer of a dispatch, if it has one.
fn send_result(world: &mut World, endpoint: usize, id: (u64, SocketAddr)) {
    let row = &world.endpoints[endpoint];
    let (load, total, dispatch) = (row.load(), row.answer_parts, id.0);
    let job = &row.jobs[&id];
    let (packet, request, execution_index) = (job.packet.clone(), job.request, job.execution_index);
    match job.state {
        JobState::Refused(reason) => {
            let body = Body::Refused {
                request,
                dispatch,
                reason,
                load,
            };
            reply(world, endpoint, &packet, body);
        }
        JobState::Answered => {
            for index in 0..total {
                let text = format!(
                    "{}/{}/{request}/{execution_index}",
                    service_name(world, endpoint),
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
                reply(world, endpoint, &packet, body);
            }
        }
        _ => {}
    }
}

fn service_name(world: &World, endpoint: usize) -> &str {
    &world.endpoints[endpoint].service
}

fn reply(world: &mut World, endpoint: usize, packet: &Packet, body: Body) {
    let answer = packet.reply(packet.ticket.clone(), body);
    let from = world.endpoints[endpoint].addr;
    world.send(from, fabric_addr(), &answer);
}

/// Completes the jobs whose work time has passed and sends their answers.
pub fn finish_due_jobs(world: &mut World) {
    let now = world.now;
    for endpoint in 0..world.endpoints.len() {
        let row = &mut world.endpoints[endpoint];
        if !row.up {
            continue;
        }
        let is_due = |job: &Job| matches!(job.state, JobState::Running(at) if now >= at);
        let jobs = row.jobs.iter_mut().filter(|(_, job)| is_due(job));
        let mut finished = Vec::new();
        for (id, job) in jobs {
            job.state = JobState::Answered;
            finished.push(*id);
        }
        for id in finished {
            send_result(world, endpoint, id);
        }
    }
}
