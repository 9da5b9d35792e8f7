//! A fake backend server.

use std::collections::{HashMap, HashSet, VecDeque};

use jacinthhinge::prelude::*;

/// Dispatches that wait for a slot before the server refuses.
const QUEUE: usize = 2;

/// Times longer that work takes on a cold server.
const COLD_FACTOR: u32 = 3;

/// What a server does with a dispatch.
pub enum Taken {
    /// It runs until the time given.
    Started(Duration),
    /// It waits.
    Waiting,
    /// It does not run.
    Refused(Reason),
    /// It was seen before; the answer goes out again if there is one.
    Repeated(Option<Body>),
}

/// A dispatch that waits.
pub struct Job {
    pub packet: Packet,
    pub dispatch: u64,
    pub work: Duration,
    pub deadline: Duration,
}

/// A fake backend server.
pub struct Server {
    pub spec: Endpoint,
    pub alive: bool,
    pub cold: Duration,
    /// Share of work refused with slots free.
    pub shed: f64,
    /// True when it reports no load whatever it has.
    pub lies: bool,
    pub flows: HashSet<FlowKey>,
    pub waiting: VecDeque<Job>,
    pub busy: u32,
    /// Slot time used until `changed`.
    pub used: Duration,
    changed: Duration,
    seen: HashMap<u64, Option<Body>>,
}

impl Server {
    pub fn new(spec: Endpoint) -> Self {
        Self {
            spec,
            alive: true,
            cold: Duration::ZERO,
            shed: 0.0,
            lies: false,
            flows: HashSet::new(),
            waiting: VecDeque::new(),
            busy: 0,
            used: Duration::ZERO,
            changed: Duration::ZERO,
            seen: HashMap::new(),
        }
    }

    pub fn load(&self) -> Load {
        let (busy, conns) = if self.lies {
            (0, 0)
        } else {
            (self.busy, self.flows.len())
        };
        Load {
            incarnation: 1,
            active_requests: busy,
            conns: u32::try_from(conns).unwrap_or(u32::MAX),
            draining: false,
        }
    }

    /// Takes a dispatch; `draw` in zero to one decides whether it sheds it.
    pub fn take(&mut self, job: Job, draw: f64, now: Duration) -> Taken {
        if let Some(seen) = self.seen.get(&job.dispatch) {
            return Taken::Repeated(seen.clone());
        }
        if draw < self.shed || (self.is_full() && self.waiting.len() >= QUEUE) {
            return Taken::Refused(Reason::Overload);
        }
        self.seen.insert(job.dispatch, None);
        if self.is_full() {
            self.waiting.push_back(job);
            return Taken::Waiting;
        }
        Taken::Started(self.start(&job, now))
    }

    /// Starts a job and tells when it ends.
    pub fn start(&mut self, job: &Job, now: Duration) -> Duration {
        self.account(now);
        self.busy += 1;
        let factor = if now < self.cold { COLD_FACTOR } else { 1 };
        now + job.work * factor
    }

    pub fn finish(&mut self, now: Duration) {
        self.account(now);
        self.busy -= 1;
    }

    pub fn record(&mut self, dispatch: u64, body: Body) {
        self.seen.insert(dispatch, Some(body));
    }

    /// Adds up the slot time used until `now`.
    pub fn account(&mut self, now: Duration) {
        self.used += (now - self.changed) * self.busy;
        self.changed = now;
    }

    pub fn is_full(&self) -> bool {
        self.busy >= self.spec.slots
    }
}
