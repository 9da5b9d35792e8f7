//! A simulated backend server.

use std::collections::{HashMap, HashSet, VecDeque};

use jacinthhinge::prelude::*;

/// Number of dispatches that may wait for a slot; the server refuses more.
const QUEUE_CAPACITY: usize = 2;

/// Factor by which requests take longer on a cold server.
const COLD_FACTOR: u32 = 3;

/// Result of handing a dispatch to a server.
pub enum Admission {
    /// It has started and will finish at the given time.
    Started(Duration),
    /// It waits for a slot.
    Queued,
    /// The server refused it and will not execute it.
    Refused(Reason),
    /// The server already knows it; the answer is sent again if there is one.
    Duplicate(Option<Body>),
}

/// A dispatch with its duration and its deadline.
pub struct Job {
    pub packet: Packet,
    pub dispatch: u64,
    pub work_time: Duration,
    pub deadline: Duration,
}

/// State of a simulated backend server.
pub struct Server {
    pub spec: Endpoint,
    pub alive: bool,
    pub cold_until: Duration,
    /// Share of dispatches that are refused although slots are free.
    pub shed_share: f64,
    /// True if the server always reports zero load.
    pub hides_load: bool,
    pub flows: HashSet<FlowKey>,
    pub queue: VecDeque<Job>,
    pub busy_slots: u32,
    /// Occupied slot time up to `accounted_at`, summed over all slots.
    pub slot_time: Duration,
    accounted_at: Duration,
    /// Answer to each known dispatch, or `None` while it has none.
    answers: HashMap<u64, Option<Body>>,
}

impl Server {
    pub fn new(spec: Endpoint) -> Self {
        Self {
            spec,
            alive: true,
            cold_until: Duration::ZERO,
            shed_share: 0.0,
            hides_load: false,
            flows: HashSet::new(),
            queue: VecDeque::new(),
            busy_slots: 0,
            slot_time: Duration::ZERO,
            accounted_at: Duration::ZERO,
            answers: HashMap::new(),
        }
    }

    pub fn load(&self) -> Load {
        let (active_requests, conns) = if self.hides_load {
            (0, 0)
        } else {
            (self.busy_slots, self.flows.len())
        };
        Load {
            incarnation: 1,
            active_requests,
            conns: u32::try_from(conns).unwrap_or(u32::MAX),
            draining: false,
        }
    }

    /// Admits, queues or refuses a dispatch. It is shed if `draw`, a random number between
    /// zero and one, lies below `shed_share`.
    pub fn admit(&mut self, job: Job, draw: f64, now: Duration) -> Admission {
        if let Some(answer) = self.answers.get(&job.dispatch) {
            return Admission::Duplicate(answer.clone());
        }
        if draw < self.shed_share || (self.is_full() && self.queue.len() >= QUEUE_CAPACITY) {
            return Admission::Refused(Reason::Overload);
        }
        self.answers.insert(job.dispatch, None);
        if self.is_full() {
            self.queue.push_back(job);
            return Admission::Queued;
        }
        Admission::Started(self.start_job(&job, now))
    }

    /// Starts a job and returns the time at which it finishes.
    pub fn start_job(&mut self, job: &Job, now: Duration) -> Duration {
        self.account_slot_time(now);
        self.busy_slots += 1;
        let factor = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1
        };
        now + job.work_time * factor
    }

    pub fn finish_job(&mut self, now: Duration) {
        self.account_slot_time(now);
        self.busy_slots -= 1;
    }

    pub fn record_answer(&mut self, dispatch: u64, answer: Body) {
        self.answers.insert(dispatch, Some(answer));
    }

    /// Updates the occupied slot time up to `now`.
    pub fn account_slot_time(&mut self, now: Duration) {
        self.slot_time += (now - self.accounted_at) * self.busy_slots;
        self.accounted_at = now;
    }

    pub fn is_full(&self) -> bool {
        self.busy_slots >= self.spec.slots
    }
}
