//! Tables of a simulated caller process.

use std::collections::{BTreeMap, HashMap};
use std::str::FromStr;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use jacinthhinge::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};

use crate::content::Assembly;

/// Maximum latency in the histogram, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Workload of the process.
#[derive(Bpaf, Clone)]
pub struct Workload {
    /// Service for streams and short requests
    #[bpaf(long("service"), fallback("adserve".to_owned()))]
    pub main_service: String,
    /// Service for long requests
    #[bpaf(long("upload"), fallback("creative-intake".to_owned()))]
    pub upload_service: String,
    /// Class of at-most-once requests: confirm or order
    #[bpaf(long("once"), argument::<ClassName>("CLASS"), map(|k| k.0), fallback(Class::Confirm))]
    pub once_class: Class,
    /// Class of long requests: upload or photo
    #[bpaf(long("heavy"), argument::<ClassName>("CLASS"), map(|k| k.0), fallback(Class::Upload))]
    pub long_class: Class,
    /// Number of open streams
    #[bpaf(fallback(50))]
    pub streams: usize,
    /// Share of streams that are closed and replaced each second
    #[bpaf(fallback(0.02))]
    pub churn: f64,
    /// Requests started per second
    #[bpaf(long("rate"), fallback(50.0))]
    pub request_rate: f64,
    /// Factor by which the request rate rises in the middle third of the run
    #[bpaf(long("crest"), fallback(1.0))]
    pub peak_factor: f64,
    /// Share of long requests
    #[bpaf(long("long"), fallback(0.03))]
    pub long_share: f64,
    /// Share of short requests sent to the service for long requests
    #[bpaf(long("side"), fallback(0.0))]
    pub lookup_share: f64,
    /// Share of long requests that are cancelled
    #[bpaf(long("cancel"), fallback(0.1))]
    pub cancel_share: f64,
    /// Milliseconds until the deadline of a short request; a long request has five times as long
    #[bpaf(fallback(2000))]
    pub deadline_ms: u64,
    /// Whether flows echo tickets: on, off or both
    #[bpaf(argument::<Tickets>("on|off|both"), fallback(Tickets::Both))]
    pub tickets: Tickets,
    /// Seed of the random choices
    #[bpaf(fallback(1))]
    pub seed: u64,
}

/// A request class given on the command line.
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
            _ => Err("expected on, off or both".to_owned()),
        }
    }
}

/// Use of a flow.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum FlowKind {
    /// Carries lines in both directions, and requests.
    Stream,
    /// Carries requests only.
    Session,
}

/// A flow from this process.
pub struct Flow {
    pub service: Id,
    pub kind: FlowKind,
    /// True if its packets carry the ticket that the balancer handed out.
    pub echoes_ticket: bool,
    pub ticket: Bytes,
    /// True once it may carry requests: opened or greeted, or a session without tickets.
    pub is_open: bool,
    /// True if it replaces a broken stream.
    pub is_replacement: bool,
    /// Incarnation of the endpoint that accepted it.
    pub incarnation: Incarnation,
    /// Time at which the next `Open` or `Greet` is due.
    pub next_open: Duration,
    /// Time at which the next `Ping` is due, and on streams the next line.
    pub next_ping: Duration,
    /// Time at which the last line arrived from the endpoint.
    pub last_line: Duration,
    /// Sequence number of the last line sent.
    pub seq: u64,
}

impl Flow {
    /// Returns true if the flow carries lines.
    pub fn is_stream(&self) -> bool {
        self.kind == FlowKind::Stream
    }
}

/// A request that has not ended.
pub struct Request {
    pub service: Id,
    pub class: Class,
    pub ticket: Bytes,
    pub parts: Vec<Part>,
    pub acked: Vec<bool>,
    /// Number of parts sent at least once.
    pub sent_parts: usize,
    pub start_time: Duration,
    pub deadline: Duration,
    /// Time at which unacknowledged parts are sent again.
    pub next_resend: Duration,
    pub cancel_at: Option<Duration>,
    pub expected_answer: Bytes,
    /// Answers received in part, by dispatch number.
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

/// A request that has ended.
#[derive(Serialize, Deserialize)]
pub struct Outcome {
    pub flow: u64,
    pub request: u64,
    pub class: Class,
    #[serde(rename = "end")]
    pub status: EndStatus,
    /// Reason of an end other than an answer, empty otherwise.
    pub reason: String,
    /// Time at which the request was first sent, in milliseconds since the start of the run.
    #[serde(rename = "start")]
    pub start_ms: u64,
    /// Time from the first sending to the end, in microseconds.
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
    /// Broken streams whose replacement was established.
    #[serde(rename = "reopened")]
    pub reopened_streams: u64,
    /// Flows reset before they were established, by reason.
    #[serde(rename = "turned_away")]
    pub refused_opens: BTreeMap<String, u64>,
    /// Opens answered by a second endpoint, or by a new incarnation of the first.
    #[serde(rename = "second_opens")]
    pub conflicting_opens: u64,
    pub requests: u64,
    #[serde(rename = "done")]
    pub answered_requests: u64,
    #[serde(rename = "not_run")]
    pub unexecuted_requests: u64,
    #[serde(rename = "unknown")]
    pub unknown_outcomes: u64,
    /// Requests that ended without an answer, by class and reason.
    #[serde(rename = "ends")]
    pub end_reasons: BTreeMap<String, u64>,
    /// Answers, parts and lines with unexpected content, and packets of an unexpected kind.
    #[serde(rename = "wrong")]
    pub wrong_content: u64,
    /// Answers that arrived after the request had ended.
    #[serde(rename = "late")]
    pub late_answers: u64,
    #[serde(rename = "lines")]
    pub received_lines: u64,
    pub p99_short_ms: f64,
}

/// Report of a run.
#[derive(Serialize, Deserialize)]
pub struct Report {
    pub caller: SocketAddr,
    pub counts: Counts,
    /// Streams that broke.
    #[serde(rename = "broken")]
    pub broken_streams: Vec<u64>,
    pub outcomes: Vec<Outcome>,
}

/// State of the process.
pub struct Tables {
    pub caller: SocketAddr,
    pub workload: Workload,
    pub flows: HashMap<u64, Flow>,
    /// Requests that have not ended, by flow and number.
    pub requests: HashMap<(u64, u64), Request>,
    pub outcomes: Vec<Outcome>,
    pub broken_streams: Vec<u64>,
    pub counts: Counts,
    /// Number of the last created flow or request.
    pub last_number: u64,
    /// Requests that are due by the request rate but not started; may be a fraction.
    pub due_requests: f64,
    /// Time at which due requests were last started.
    pub last_run: Duration,
    pub rng: StdRng,
    /// Packets to send to the fabric.
    pub outbox: Vec<Packet>,
}

impl Tables {
    /// Creates the state of a process without flows and requests.
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

    /// Returns the key of a flow of this process.
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

    /// Returns the report, with the 99th percentile of the latency.
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

/// Returns the 99th percentile of the latency of answered short requests, in milliseconds.
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
