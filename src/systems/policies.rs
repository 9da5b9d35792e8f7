//! Load balancing policies, which can be replaced one by one.
//!
//! [`Policies`] is a plain struct of closures that the systems call. [`Tuning`] holds
//! the parameters of the default closures.

use std::fmt;
use std::time::Duration;

use super::relay::explain::ServiceChoice;
use super::{admit, dispatch, placement, relay, retry};
use crate::id::Id;
use crate::packet::Class;
use crate::segment::Route;
use crate::tables::{ServiceLimit, Tables, TrackedFlow};

/// Chooses the endpoint of a new flow among those that have not refused it.
///
/// The arguments are the service, the endpoints that refused the flow, and the time.
pub type PlaceFlow = Box<dyn Fn(&mut Tables, Id, &[Id], Duration) -> Option<Id> + Send + Sync>;

/// Chooses the endpoint of a relayed flow so that its requests are answered within a
/// target latency.
///
/// The arguments are the service, the route, the endpoints that have not answered the flow and
/// are excluded, and the time.
pub type PlaceRelayed =
    Box<dyn Fn(&mut Tables, Id, &Route, &[Id], Duration) -> Option<Id> + Send + Sync>;

/// Explains what [`PlaceRelayed`] would choose.
///
/// The arguments are the same, with the known flow that the opening replaces or is a copy of
/// before the endpoints that are excluded.
pub type ExplainRelayed = Box<
    dyn Fn(&Tables, Id, &Route, Option<&TrackedFlow>, &[Id], Duration) -> ServiceChoice
        + Send
        + Sync,
>;

/// Returns how many requests of relayed flows this lane may have in progress at a
/// service.
pub type RelayLimit = Box<dyn Fn(&Tables, Id, Duration) -> ServiceLimit + Send + Sync>;

/// Chooses the endpoint of a request by its service and class.
pub type PlaceRequest = Box<dyn Fn(&mut Tables, Id, Class, Duration) -> Option<Id> + Send + Sync>;

/// Chooses the next queued request of a service, ignoring the classes for which no
/// endpoint was found in this tick.
pub type NextRequest = Box<dyn Fn(&Tables, Id, &[Class]) -> Option<usize> + Send + Sync>;

/// Decides whether a request can run before its deadline.
pub type Admit = Box<dyn Fn(&Tables, usize, Duration) -> bool + Send + Sync>;

/// Decides whether a request whose dispatch failed may be dispatched again.
pub type Retry = Box<dyn Fn(&mut Tables, usize, Duration) -> bool + Send + Sync>;

/// The policies of a lane.
pub struct Policies {
    /// Chooses the endpoint of a new flow.
    pub place_flow: PlaceFlow,
    /// Chooses the endpoint of a relayed flow.
    pub place_relayed: PlaceRelayed,
    /// Explains the choice of `place_relayed`; both are replaced together.
    pub explain_relayed: ExplainRelayed,
    /// Delay that sending a flow to another zone must save.
    pub zone_cost: Duration,
    /// Limits the requests of relayed flows in progress.
    pub relay_limit: RelayLimit,
    /// Chooses the endpoint of a request.
    pub place_request: PlaceRequest,
    /// Chooses the next queued request.
    pub next_request: NextRequest,
    /// Decides whether a request is admitted when it arrives.
    pub admit: Admit,
    /// Decides right before dispatch whether a request can still finish in time.
    pub can_finish: Admit,
    /// Decides whether a request is retried.
    pub retry: Retry,
}

/// Parameters of the default policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Number of endpoints compared for one choice.
    pub sample_size: usize,
    /// Time over which the share of a new or restarted endpoint grows to its full value.
    pub slow_start: Duration,
    /// Time without any answer after which an endpoint counts as unresponsive.
    pub answer_timeout: Duration,
    /// Time for which a report of other lanes' requests is used.
    pub report_ttl: Duration,
    /// Requests sent to an endpoint beyond its number of slots, to queue there.
    pub overcommit: u32,
    /// Weight of the slots that this lane has recently kept busy on an endpoint,
    /// relative to those that are busy now.
    pub recent_weight: f64,
    /// Time for which long requests wait after a short request found no free slot.
    pub yield_time: Duration,
    /// Share of its connections up to which a local endpoint is preferred to those in other
    /// zones.
    pub preferred_share: f64,
    /// Share of the target latency within which a request of a relayed flow should be
    /// answered. Until answer times are known to plan with, a local endpoint that would take
    /// longer loses its preference to those in other zones. Requests beyond what the endpoints
    /// can answer within it wait.
    pub latency_share: f64,
    /// Requests in progress per slot above which requests of relayed flows wait, unless
    /// the target latency allows for more.
    pub relay_depth: f64,
    /// Delay that sending a relayed flow to another zone must save.
    pub zone_cost: Duration,
    /// Number of endpoints compared for a relayed flow.
    pub relay_sample: usize,
    /// Longest accepted wait in the queue, as a share of the slack before the deadline.
    pub slack_share: f64,
}

impl Tuning {
    /// The values that lanes use.
    pub const DEFAULT: Self = Self {
        sample_size: 16,
        slow_start: Duration::from_secs(5),
        answer_timeout: Duration::from_millis(150),
        report_ttl: Duration::from_millis(150),
        overcommit: 1,
        recent_weight: 1.0,
        yield_time: Duration::from_millis(300),
        preferred_share: 0.8,
        latency_share: 0.6,
        relay_depth: 3.0,
        zone_cost: Duration::from_millis(20),
        relay_sample: 256,
        slack_share: 0.5,
    };
}

impl Policies {
    /// Creates the default policies with [`Tuning::DEFAULT`].
    #[must_use]
    pub fn with_defaults() -> Self {
        Self::with_tuning(Tuning::DEFAULT)
    }

    /// Creates the default policies with the given parameters.
    #[must_use]
    pub fn with_tuning(tuning: Tuning) -> Self {
        Self {
            place_flow: Box::new(move |tables, service, refused, now| {
                placement::place_flow(tables, &tuning, service, refused, now)
            }),
            place_relayed: Box::new(move |tables, service, route, tried, now| {
                relay::placement::place_relayed(tables, &tuning, service, route, tried, now)
            }),
            explain_relayed: Box::new(move |tables, service, route, known, tried, now| {
                relay::explain::explain_choice(tables, &tuning, service, route, known, tried, now)
            }),
            zone_cost: tuning.zone_cost,
            relay_limit: Box::new(move |tables, service, now| {
                relay::placement::relay_limit(tables, &tuning, service, now)
            }),
            place_request: Box::new(move |tables, service, class, now| {
                placement::place_request(tables, &tuning, service, class, now)
            }),
            next_request: Box::new(dispatch::next_request),
            admit: Box::new(move |tables, slot, now| admit::admit(tables, &tuning, slot, now)),
            can_finish: Box::new(admit::can_finish),
            retry: Box::new(retry::may_retry),
        }
    }
}

impl fmt::Debug for Policies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Policies(..)")
    }
}
