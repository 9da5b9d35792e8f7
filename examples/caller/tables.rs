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
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// What the process does.
#[derive(Bpaf, Clone)]
pub struct Workload {
    /// Service of streams and short work
    #[bpaf(long("service"), fallback("adserve".to_owned()))]
    pub main_service: String,
    /// Service of long work
    #[bpaf(long("upload"), fallback("creative-intake".to_owned()))]
    pub upload_service: String,
    /// Class of once-only work: confirm or order
    #[bpaf(long("once"), argument::<ClassName>("CLASS"), map(|k| k.0), fallback(Class::Confirm))]
    pub once_class: Class,
    /// Class of long work: upload or photo
    #[bpaf(long("heavy"), argument::<ClassName>("CLASS"), map(|k| k.0), fallback(Class::Upload))]
    pub long_class: Class,
    /// Streams held open
    #[bpaf(fallback(50))]
    pub streams: usize,
    /// Share of streams that end in a second and are replaced
    #[bpaf(fallback(0.02))]
    pub churn: f64,
    /// Requests begun in a second
    #[bpaf(long("rate"), fallback(50.0))]
    pub request_rate: f64,
    /// Factor on the rate in the middle third of the run
    #[bpaf(long("crest"), fallback(1.0))]
    pub peak_factor: f64,
    /// Share of requests that are long
    #[bpaf(long("long"), fallback(0.03))]
    pub long_share: f64,
    /// Share of requests that ask the service of long work for short work
    #[bpaf(long("side"), fallback(0.0))]
    pub lookup_share: f64,
    /// Share of long requests that are cancelled
    #[bpaf(long("cancel"), fallback(0.1))]
    pub cancel_share: f64,
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
        class.map(Self).map_err(|error| error.to_string())
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
pub enum FlowKind {
    /// Lines both ways, and requests.
    Stream,
    /// Requests only.
    Session,
}

/// A flow of the process.
pub struct Flow {
    pub service: Id,
    pub kind: FlowKind,
    /// True when it echoes tickets.
    pub echoes_ticket: bool,
    pub ticket: Bytes,
    /// True once it was answered.
    pub is_open: bool,
    /// True when it replaces a broken stream.
    pub is_replacement: bool,
    /// Life of the endpoint that opened it.
    pub incarnation: Incarnation,
    /// Time of the next `Open` or `Greet`.
    pub next_open: Duration,
    /// Time of the next `Ping` and, on streams, line.
    pub next_ping: Duration,
    /// Time of the last line from the endpoint.
    pub last_line: Duration,
    /// Last line sent.
    pub seq: u64,
}

impl Flow {
    /// True when lines run on it.
    pub fn is_stream(&self) -> bool {
        self.kind == FlowKind::Stream
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
    pub sent_parts: usize,
    pub start_time: Duration,
    pub deadline: Duration,
    /// Time of the next repeat.
    pub next_resend: Duration,
    pub cancel_at: Option<Duration>,
    pub expected_answer: Bytes,
    /// Answers that are coming in, by dispatch.
    pub partial_answers: Vec<(u64, Assembly)>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum EndStatus {
    #[serde(rename = "Done")]
    Answered,
    NotRun,
    Unknown,
}

/// A request that ended.
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    pub flow: u64,
    pub request: u64,
    pub class: Class,
    #[serde(rename = "end")]
    pub status: EndStatus,
    /// Reason with a verdict, empty otherwise.
    pub reason: String,
    /// Time of the first sending since the run began, in milliseconds.
    #[serde(rename = "start")]
    pub start_ms: u64,
    /// Time until it ended, in microseconds.
    #[serde(rename = "micros")]
    pub elapsed_micros: u64,
}

/// Counters of a run.
#[derive(Default, Serialize, Deserialize)]
pub struct Counts {
    /// Streams established.
    #[serde(rename = "flows")]
    pub opened_streams: u64,
    /// Established streams that broke.
    #[serde(rename = "broken")]
    pub broken_streams: u64,
    #[serde(rename = "broken_by")]
    pub break_reasons: BTreeMap<String, u64>,
    /// Broken streams whose successor was established.
    #[serde(rename = "reopened")]
    pub reopened_streams: u64,
    /// Opens and greetings that were turned away.
    #[serde(rename = "turned_away")]
    pub refused_opens: BTreeMap<String, u64>,
    /// Opens answered by a second endpoint.
    #[serde(rename = "second_opens")]
    pub conflicting_opens: u64,
    pub requests: u64,
    #[serde(rename = "done")]
    pub answered_requests: u64,
    #[serde(rename = "not_run")]
    pub unexecuted_requests: u64,
    #[serde(rename = "unknown")]
    pub unknown_outcomes: u64,
    /// Ends other than answers, by class and reason.
    #[serde(rename = "ends")]
    pub end_reasons: BTreeMap<String, u64>,
    /// Answers, parts and lines that are not what they must be.
    #[serde(rename = "wrong")]
    pub wrong_content: u64,
    /// Answers after a verdict or the deadline.
    #[serde(rename = "late")]
    pub late_answers: u64,
    #[serde(rename = "lines")]
    pub received_lines: u64,
    pub p99_short_ms: f64,
}

/// What a run leaves behind.
#[derive(Serialize, Deserialize)]
pub struct Report {
    pub caller: SocketAddr,
    pub counts: Counts,
    /// Streams that broke.
    #[serde(rename = "broken")]
    pub broken_streams: Vec<u64>,
    pub outcomes: Vec<Outcome>,
}

/// Everything the process knows.
pub struct Tables {
    pub caller: SocketAddr,
    pub workload: Workload,
    pub flows: HashMap<u64, Flow>,
    /// Open requests, by flow and number.
    pub requests: HashMap<(u64, u64), Request>,
    pub outcomes: Vec<Outcome>,
    pub broken_streams: Vec<u64>,
    pub counts: Counts,
    /// Number of the newest flow and request.
    pub last_number: u64,
    /// Requests that are due by the rate, as a fraction.
    pub due_requests: f64,
    /// Time of the last run of the request source.
    pub last_run: Duration,
    pub rng: StdRng,
    /// Packets for the fabric.
    pub outbox: Vec<Packet>,
}

impl Tables {
    /// A process with nothing open.
    pub fn new(caller: SocketAddr, workload: Workload) -> Self {
        Self {
            caller,
            flows: HashMap::new(),
            requests: HashMap::new(),
            outcomes: Vec::new(),
            broken_streams: Vec::new(),
            counts: Counts::default(),
            last_number: 0,
            due_requests: 0.0,
            last_run: Duration::ZERO,
            rng: StdRng::seed_from_u64(workload.seed),
            workload,
            outbox: Vec::new(),
        }
    }

    /// Name of one of the process's flows.
    pub fn flow_key(&self, flow: u64) -> FlowKey {
        FlowKey {
            caller: self.caller,
            flow,
        }
    }

    /// Queues a packet for the fabric.
    pub fn queue_packet(&mut self, service: Id, flow: u64, ticket: Bytes, body: Body) {
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
        self.counts.p99_short_ms = p99_short_latency(&self.outcomes);
        Report {
            caller: self.caller,
            counts: self.counts,
            broken_streams: self.broken_streams,
            outcomes: self.outcomes,
        }
    }
}

/// Latency of answered short work that 99 of 100 stay under, in milliseconds.
pub fn p99_short_latency<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> f64 {
    let Ok(mut latencies) = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3) else {
        return f64::NAN;
    };
    for outcome in outcomes {
        if outcome.status == EndStatus::Answered && !outcome.class.is_long_running() {
            latencies.saturating_record(outcome.elapsed_micros);
        }
    }
    let p99 = Duration::from_micros(latencies.value_at_quantile(0.99));
    p99.as_secs_f64() * 1_000.0
}
