//! Decisions about load that may be swapped one by one.
//!
//! [`Policies`] is a plain struct of closures which the systems call;
//! [`Tuning`] holds the parameters of the default closures.

use std::fmt;
use std::time::Duration;

use super::{admit, dispatch, placement, retry};
use crate::id::Id;
use crate::packet::Class;
use crate::tables::Tables;

/// Chooses the endpoint of a new flow among those that have not refused it.
pub type PlaceFlow = Box<dyn Fn(&mut Tables, Id, &[Id], Duration) -> Option<Id> + Send + Sync>;

/// Chooses the endpoint of a flow that is passed on unread, among those that have
/// not left it without an answer, so that its requests are answered within a time.
pub type PlaceRelayed =
    Box<dyn Fn(&mut Tables, Id, Duration, &[Id], Duration) -> Option<Id> + Send + Sync>;

/// Tells how many requests of this lane a service may have in progress on flows that
/// are passed on unread.
pub type RelayLimit = Box<dyn Fn(&Tables, Id, Duration) -> f64 + Send + Sync>;

/// Chooses the endpoint of a request.
pub type PlaceRequest = Box<dyn Fn(&mut Tables, Id, Class, Duration) -> Option<Id> + Send + Sync>;

/// Chooses the queued request of a service that goes next, without the classes
/// that found no endpoint in this tick.
pub type NextRequest = Box<dyn Fn(&Tables, Id, &[Class]) -> Option<usize> + Send + Sync>;

/// Tells whether a queued request can still be run in time.
pub type Admit = Box<dyn Fn(&Tables, usize, Duration) -> bool + Send + Sync>;

/// Tells whether a request whose dispatch failed may be dispatched again.
pub type Retry = Box<dyn Fn(&mut Tables, usize, Duration) -> bool + Send + Sync>;

/// The decisions about load.
pub struct Policies {
    /// Endpoint of a flow.
    pub place_flow: PlaceFlow,
    /// Endpoint of a flow that is passed on unread.
    pub place_relayed: PlaceRelayed,
    /// Room for requests of flows that are passed on unread.
    pub relay_limit: RelayLimit,
    /// Endpoint of a request.
    pub place_request: PlaceRequest,
    /// Request that goes next.
    pub next_request: NextRequest,
    /// Admission of a request, when it arrives.
    pub admit: Admit,
    /// Check of a request right before its dispatch.
    pub can_finish: Admit,
    /// Retry of a request.
    pub retry: Retry,
}

/// Parameters of the default policies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Endpoints looked at for one choice.
    pub sample_size: usize,
    /// Time over which a new or restarted endpoint gets its full share.
    pub slow_start: Duration,
    /// Time without any answer after which an endpoint is passed over.
    pub answer_timeout: Duration,
    /// Time for which a report of others' work is believed.
    pub report_ttl: Duration,
    /// Requests sent ahead to an endpoint whose slots are all taken.
    pub overcommit: u32,
    /// Weight of the slots this lane has lately kept busy on an endpoint, against
    /// those that are busy now.
    pub recent_weight: f64,
    /// Time for which long work yields after short work found no slot.
    pub yield_time: Duration,
    /// Share of the connections of the own zone above which flows spill over.
    pub spill_share: f64,
    /// Share of the aim that a request may take at an endpoint before flows that are
    /// passed on unread spill over to other zones.
    pub relay_spill: f64,
    /// Requests in progress for each slot above which requests of flows that are passed
    /// on unread wait, where the aim does not allow for more.
    pub relay_depth: f64,
    /// Endpoints looked at for a flow that is passed on unread.
    pub relay_sample: usize,
    /// Largest wait in the queue, as a share of the slack until the deadline.
    pub slack_share: f64,
}

impl Tuning {
    /// The values that a lane runs with.
    pub const DEFAULT: Self = Self {
        sample_size: 16,
        slow_start: Duration::from_secs(5),
        answer_timeout: Duration::from_millis(150),
        report_ttl: Duration::from_millis(150),
        overcommit: 1,
        recent_weight: 1.0,
        yield_time: Duration::from_millis(300),
        spill_share: 0.8,
        relay_spill: 0.6,
        relay_depth: 3.0,
        relay_sample: 256,
        slack_share: 0.5,
    };
}

impl Policies {
    /// The default policies with [`Tuning::DEFAULT`].
    #[must_use]
    pub fn with_defaults() -> Self {
        Self::with_tuning(Tuning::DEFAULT)
    }

    /// The default policies with other parameters.
    #[must_use]
    pub fn with_tuning(tuning: Tuning) -> Self {
        Self {
            place_flow: Box::new(move |tables, service, refused, now| {
                placement::place_flow(tables, &tuning, service, refused, now)
            }),
            place_relayed: Box::new(move |tables, service, target_latency, tried, now| {
                placement::place_relayed(tables, &tuning, service, target_latency, tried, now)
            }),
            relay_limit: Box::new(move |tables, service, now| {
                placement::relay_limit(tables, &tuning, service, now)
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
