//! Tables of a caller process.

use std::collections::{BTreeMap, HashMap};
use std::str::FromStr;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use jacinthhinge::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use crate::content::Assembly;

/// Longest latency that the histogram tells apart, in microseconds.
const LATENCY_LIMIT: u64 = 60_000_000;

/// What the process does.
#[derive(Bpaf, Clone)]
pub struct Mix {
    /// Service of streams and short work
    #[bpaf(fallback("adserve".to_owned()))]
    pub service: String,
    /// Service of long work
    #[bpaf(fallback("creative-intake".to_owned()))]
    pub upload: String,
    /// Class of once-only work: confirm or order
    #[bpaf(argument::<ClassName>("CLASS"), map(|k| k.0), fallback(Class::Confirm))]
    pub once: Class,
    /// Class of long work: upload or photo
    #[bpaf(argument::<ClassName>("CLASS"), map(|k| k.0), fallback(Class::Upload))]
    pub heavy: Class,
    /// Streams held open
    #[bpaf(fallback(50))]
    pub streams: usize,
    /// Share of streams that end in a second and are replaced
    #[bpaf(fallback(0.02))]
    pub churn: f64,
    /// Requests begun in a second
    #[bpaf(fallback(50.0))]
    pub rate: f64,
    /// Factor on the rate in the middle third of the run
    #[bpaf(fallback(1.0))]
    pub crest: f64,
    /// Share of requests that are long
    #[bpaf(fallback(0.03))]
    pub long: f64,
    /// Share of requests that ask the service of long work for short work
    #[bpaf(fallback(0.0))]
    pub side: f64,
    /// Share of long requests that are cancelled
    #[bpaf(fallback(0.1))]
    pub cancel: f64,
    /// Milliseconds until the deadline of short work; long work has five times that
    #[bpaf(fallback(2000))]
    pub deadline_ms: u64,
    /// Whether flows echo tickets: on, off or both
    #[bpaf(argument::<Tickets>("on|off|both"), fallback(Tickets::Both))]
    pub tickets: Tickets,
    /// Seed of the draws
    #[bpaf(fallback(1))]
    pub seed: u64,
}

/// A class on the command line.
pub struct ClassName(Class);

impl FromStr for ClassName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let class = serde_json::from_value(text.into());
        class.map(Self).map_err(|fault| fault.to_string())
    }
}

/// Which flows echo tickets.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Tickets {
    On,
    Off,
    Both,
}

impl FromStr for Tickets {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "on" => Ok(Self::On),
            "off" => Ok(Self::Off),
            "both" => Ok(Self::Both),
            _ => Err("give on, off or both".to_owned()),
        }
    }
}

/// What a flow is for.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Kind {
    /// Lines both ways, and requests.
    Stream,
    /// Requests only.
    Session,
}

/// A flow of the process.
pub struct Flow {
    pub service: Id,
    pub kind: Kind,
    /// True when it echoes tickets.
    pub echoes: bool,
    pub ticket: Bytes,
    /// True once it was answered.
    pub open: bool,
    /// True when it replaces a broken stream.
    pub again: bool,
    /// Life of the endpoint that opened it.
    pub peer: Incarnation,
    /// Time of the next `Open` or `Greet`.
    pub hello: Duration,
    /// Time of the next `Ping` and, on streams, line.
    pub ping: Duration,
    /// Time of the last line from the endpoint.
    pub heard: Duration,
    /// Last line sent.
    pub seq: u64,
}

impl Flow {
    /// True when lines run on it.
    pub fn is_stream(&self) -> bool {
        self.kind == Kind::Stream
    }
}

/// A request without an outcome.
pub struct Request {
    pub service: Id,
    pub class: Class,
    pub ticket: Bytes,
    pub parts: Vec<Part>,
    pub acked: Vec<bool>,
    /// Parts sent at least once.
    pub sent: usize,
    pub start: Duration,
    pub deadline: Duration,
    /// Time of the next repeat.
    pub repeat: Duration,
    pub cancel: Option<Duration>,
    pub expected: Bytes,
    /// Answers that are coming in, by dispatch.
    pub answers: Vec<(u64, Assembly)>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum End {
    Done,
    NotRun,
    Unknown,
}

/// A request that ended.
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    pub flow: u64,
    pub request: u64,
    pub class: Class,
    pub end: End,
    /// Reason with a verdict, empty otherwise.
    pub reason: String,
    /// Time of the first sending since the run began, in milliseconds.
    pub start: u64,
    /// Time until it ended, in microseconds.
    pub micros: u64,
}

/// Counters of a run.
#[derive(Default, Serialize, Deserialize)]
pub struct Counts {
    /// Streams established.
    pub flows: u64,
    /// Established streams that broke.
    pub broken: u64,
    pub broken_by: BTreeMap<String, u64>,
    /// Broken streams whose successor was established.
    pub reopened: u64,
    /// Opens and greetings that were turned away.
    pub turned_away: BTreeMap<String, u64>,
    /// Opens answered by a second endpoint.
    pub second_opens: u64,
    pub requests: u64,
    pub done: u64,
    pub not_run: u64,
    pub unknown: u64,
    /// Ends other than answers, by class and reason.
    pub ends: BTreeMap<String, u64>,
    /// Answers, parts and lines that are not what they must be.
    pub wrong: u64,
    /// Answers after a verdict or the deadline.
    pub late: u64,
    pub lines: u64,
    pub p99_short_ms: f64,
}

/// What a run leaves behind.
#[derive(Serialize, Deserialize)]
pub struct Report {
    pub caller: SocketAddr,
    pub counts: Counts,
    /// Streams that broke.
    pub broken: Vec<u64>,
    pub outcomes: Vec<Outcome>,
}

/// Everything the process knows.
pub struct World {
    pub caller: SocketAddr,
    pub mix: Mix,
    pub flows: HashMap<u64, Flow>,
    /// Open requests, by flow and number.
    pub requests: HashMap<(u64, u64), Request>,
    pub outcomes: Vec<Outcome>,
    pub broken: Vec<u64>,
    pub counts: Counts,
    /// Number of the newest flow and request.
    pub serial: u64,
    /// Requests that are due by the rate, as a fraction.
    pub owed: f64,
    /// Time of the last run of the request source.
    pub asked: Duration,
    pub rng: StdRng,
    /// Packets for the fabric.
    pub outbox: Vec<Packet>,
}

impl World {
    /// A process with nothing open.
    pub fn new(caller: SocketAddr, mix: Mix) -> Self {
        Self {
            caller,
            flows: HashMap::new(),
            requests: HashMap::new(),
            outcomes: Vec::new(),
            broken: Vec::new(),
            counts: Counts::default(),
            serial: 0,
            owed: 0.0,
            asked: Duration::ZERO,
            rng: StdRng::seed_from_u64(mix.seed),
            mix,
            outbox: Vec::new(),
        }
    }

    /// Name of one of the process's flows.
    pub fn key(&self, flow: u64) -> FlowKey {
        FlowKey {
            caller: self.caller,
            flow,
        }
    }

    /// Queues a packet for the fabric.
    pub fn send(&mut self, service: Id, flow: u64, ticket: Bytes, body: Body) {
        self.outbox.push(Packet {
            service,
            caller: self.caller,
            flow,
            hops: 0,
            ticket,
            body,
        });
    }

    /// The counts and outcomes.
    pub fn into_report(mut self) -> Report {
        self.counts.p99_short_ms = p99_short(&self.outcomes);
        Report {
            caller: self.caller,
            counts: self.counts,
            broken: self.broken,
            outcomes: self.outcomes,
        }
    }
}

/// Latency of answered short work that 99 of 100 stay under, in milliseconds.
pub fn p99_short<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> f64 {
    let Ok(mut latencies) = Histogram::<u64>::new_with_max(LATENCY_LIMIT, 3) else {
        return f64::NAN;
    };
    for outcome in outcomes {
        if outcome.end == End::Done && !outcome.class.is_long_running() {
            latencies.saturating_record(outcome.micros);
        }
    }
    let p99 = Duration::from_micros(latencies.value_at_quantile(0.99));
    p99.as_secs_f64() * 1_000.0
}
