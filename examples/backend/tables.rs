//! Tables of a backend server.

use std::collections::{HashMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use jacinthhinge::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::content::Assembly;

/// Longest pause when nothing runs.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// What the server can take.
pub struct Limits {
    pub slots: usize,
    pub max_conns: usize,
    pub max_queued: usize,
    pub work_time: Duration,
    pub line_interval: Duration,
}

/// An open flow.
pub struct Flow {
    pub ticket: Bytes,
    /// Next line to the caller.
    pub seq: u64,
    /// Time of the next line.
    pub next_line: Duration,
}

/// Names a dispatch as a transport would: its number and the sender's address.
pub type DispatchKey = (u64, SocketAddr);

/// A dispatch, kept for as long as the server lives.
pub struct Dispatch {
    /// Addressing of its replies, with the newest ticket.
    pub origin: Packet,
    pub request: u64,
    pub class: Class,
    pub deadline: Duration,
    pub state: DispatchState,
}

/// How far a dispatch has come.
pub enum DispatchState {
    /// Parts are missing.
    Incomplete(Assembly),
    /// Waits for a slot.
    Queued(Bytes),
    /// Holds a slot.
    Running(Bytes),
    /// Ran; the answer's parts.
    Answered(Vec<Part>),
    /// Did not run and never will.
    Refused(Reason),
}

/// How often a request was started.
pub struct Execution {
    pub class: Class,
    pub count: u32,
}

/// Counters since the start.
#[derive(Default, Serialize)]
pub struct Counts {
    /// Packets of another service.
    pub misrouted: u64,
    /// Dispatches under the number and sender of another request's.
    #[serde(rename = "clashes")]
    pub key_conflicts: u64,
    /// Lines or parts whose content is not what it must be.
    #[serde(rename = "garbled")]
    pub wrong_content: u64,
    /// Flows opened.
    #[serde(rename = "opened")]
    pub opened_flows: u64,
    /// Flows refused.
    #[serde(rename = "closed_door")]
    pub refused_flows: u64,
    /// Lines from callers.
    #[serde(rename = "lines")]
    pub received_lines: u64,
    /// Dispatches begun.
    pub dispatches: u64,
    /// Parts or whole dispatches that came again.
    #[serde(rename = "repeats")]
    pub repeated_parts: u64,
    /// Dispatches refused.
    #[serde(rename = "refused")]
    pub refused_dispatches: u64,
    /// Runs that ended.
    #[serde(rename = "answered")]
    pub answered_dispatches: u64,
}

/// Everything the server knows.
pub struct Tables {
    pub service: Id,
    pub name: Name,
    pub limits: Limits,
    pub incarnation: Incarnation,
    pub flows: HashMap<FlowKey, Flow>,
    pub dispatches: HashMap<DispatchKey, Dispatch>,
    pub queue: VecDeque<DispatchKey>,
    /// Slots in use, with the time at which each is free again.
    pub running: Vec<(Duration, DispatchKey)>,
    pub executions: HashMap<(FlowKey, u64), Execution>,
    pub draining: bool,
    /// Share of dispatches that is refused.
    pub shed_share: f64,
    /// End of the cold start and the factor on service times until then.
    pub cold_period: (Duration, u32),
    pub counts: Counts,
    pub rng: StdRng,
    /// Packets for the fabric.
    pub outbox: Vec<Packet>,
}

impl Tables {
    /// A server that has just started.
    pub fn new(service: &str, name: Name, limits: Limits, seed: u64) -> Self {
        let micros = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |time| time.as_micros());
        Self {
            service: Id::of(service),
            name,
            limits,
            incarnation: u64::try_from(micros).unwrap_or(1),
            flows: HashMap::new(),
            dispatches: HashMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            executions: HashMap::new(),
            draining: false,
            shed_share: 0.0,
            cold_period: (Duration::ZERO, 1),
            counts: Counts::default(),
            rng: StdRng::seed_from_u64(seed),
            outbox: Vec::new(),
        }
    }

    /// Load as the answers report it.
    pub fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            incarnation: self.incarnation,
            active_requests: count(self.running.len()),
            conns: count(self.flows.len()),
            draining: self.draining,
        }
    }

    /// Time until the next slot is free.
    pub fn time_until_free(&self, now: Duration) -> Duration {
        let ends = self.running.iter().map(|(end, _)| *end);
        ends.min().map_or(IDLE_SLEEP, |end| end.saturating_sub(now))
    }
}
