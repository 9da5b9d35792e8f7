//! Tables of a simulated backend server.

use std::collections::{HashMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use jacinthhinge::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::content::Assembly;

/// Time to sleep when no request is running.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// Capacity and speed of the server.
pub struct Limits {
    /// Requests executed at the same time.
    pub slots: usize,
    /// Open flows.
    pub max_conns: usize,
    /// Dispatches that wait for a slot.
    pub max_queued: usize,
    /// Time for which a short request holds a slot.
    pub work_time: Duration,
    /// Time between two lines sent on a stream.
    pub line_interval: Duration,
}

/// An open flow from a caller.
pub struct Flow {
    pub ticket: Bytes,
    /// Sequence number of the last line sent to the caller.
    pub seq: u64,
    /// Time at which the next line is due.
    pub next_line: Duration,
}

/// Identifies a dispatch: its number and the address of the host that sent it.
pub type DispatchKey = (u64, SocketAddr);

/// A dispatch, kept until the process ends so that repeated parts are recognized.
pub struct Dispatch {
    /// First packet of the dispatch, with the latest ticket; replies copy its addresses.
    pub origin: Packet,
    pub request: u64,
    pub class: Class,
    pub deadline: Duration,
    pub state: DispatchState,
}

/// Progress of a dispatch.
pub enum DispatchState {
    /// Some parts have not arrived.
    Incomplete(Assembly),
    /// Waits for a free slot; holds the request's content.
    Queued(Bytes),
    /// Is executed in a slot; holds the request's content.
    Running(Bytes),
    /// Was executed; holds the parts of the answer.
    Answered(Vec<Part>),
    /// Was refused and will not be executed.
    Refused(Reason),
}

/// Number of times that a request was started.
pub struct Execution {
    pub class: Class,
    pub count: u32,
}

/// Counters since the process started.
#[derive(Default, Serialize)]
pub struct Counts {
    /// Packets for a different service.
    pub misrouted: u64,
    /// Parts whose dispatch number and sender are already in use by a different flow.
    #[serde(rename = "clashes")]
    pub key_conflicts: u64,
    /// Lines or parts with unexpected content.
    #[serde(rename = "garbled")]
    pub wrong_content: u64,
    /// Flows opened.
    #[serde(rename = "opened")]
    pub opened_flows: u64,
    /// Flows refused.
    #[serde(rename = "closed_door")]
    pub refused_flows: u64,
    /// Lines received from callers.
    #[serde(rename = "lines")]
    pub received_lines: u64,
    /// Dispatches whose first part has arrived.
    pub dispatches: u64,
    /// Parts received again after the dispatch was complete or refused.
    #[serde(rename = "repeats")]
    pub repeated_parts: u64,
    /// Dispatches refused.
    #[serde(rename = "refused")]
    pub refused_dispatches: u64,
    /// Dispatches executed and answered.
    #[serde(rename = "answered")]
    pub answered_dispatches: u64,
}

/// State of the server.
pub struct Tables {
    pub service: Id,
    pub name: Name,
    pub limits: Limits,
    pub incarnation: Incarnation,
    pub flows: HashMap<FlowKey, Flow>,
    pub dispatches: HashMap<DispatchKey, Dispatch>,
    pub queue: VecDeque<DispatchKey>,
    /// Dispatches in execution, with the time at which each frees its slot.
    pub running: Vec<(Duration, DispatchKey)>,
    pub executions: HashMap<(FlowKey, u64), Execution>,
    pub draining: bool,
    /// Share of dispatches to refuse, from 0 to 1.
    pub shed_share: f64,
    /// End of the cold start, and the factor on execution times until then.
    pub cold_period: (Duration, u32),
    pub counts: Counts,
    pub rng: StdRng,
    /// Packets to send to the fabric.
    pub outbox: Vec<Packet>,
}

impl Tables {
    /// Creates the state of a server that has just started.
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

    /// Returns the load that replies report.
    pub fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            incarnation: self.incarnation,
            active_requests: count(self.running.len()),
            conns: count(self.flows.len()),
            draining: self.draining,
        }
    }

    /// Returns the time until the next slot is free.
    pub fn time_until_free(&self, now: Duration) -> Duration {
        let ends = self.running.iter().map(|(end, _)| *end);
        ends.min().map_or(IDLE_SLEEP, |end| end.saturating_sub(now))
    }
}
