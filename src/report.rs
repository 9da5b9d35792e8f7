//! Reports in which a host tells others what its lanes observe.
//!
//! Times in a report are ages at the moment it was made, so that hosts need no common clock.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::control::message::Timestamp;
use crate::id::{Id, Incarnation, Name};

/// Observations of one lane, or of all lanes of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LaneReport {
    /// When it was made; zero in a report of another host, whose clock differs.
    #[serde(rename = "taken")]
    pub taken_at: Duration,
    /// Endpoints that are suspected, or for which a suspicion was contradicted.
    pub endpoints: Vec<EndpointReport>,
    /// Load of each service.
    pub services: Vec<ServiceReport>,
    /// Number of endpoints that the lanes use.
    pub used_endpoints: u32,
    /// Number of endpoints that the lanes suspect, also if `endpoints` has fewer.
    pub suspected_endpoints: u32,
    /// True if this host's own link or processor is the likely cause of what it observes.
    pub is_impaired: bool,
}

/// Observations of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct EndpointReport {
    /// Id of the endpoint.
    pub endpoint: Id,
    /// Wall-clock time of its start, in milliseconds, which tells its incarnations apart.
    pub started_ms: u64,
    /// Number of openings that it has not answered before their first copy was sent.
    pub unanswered_opens: u32,
    /// Number of flows with two retransmissions or more that it has not answered.
    pub stalled_flows: u32,
    /// Time since the oldest of this evidence was sent.
    pub silent_for: Duration,
    /// Time since it last answered any flow, if it has done so.
    pub heard_ago: Option<Duration>,
}

/// Load of a service at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ServiceReport {
    /// Id of the service.
    pub service: Id,
    /// New requests a second, as a moving average.
    pub demand: f64,
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait for room.
    pub waiting: u32,
}

/// Newest report of another host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostReport {
    /// Id of the host.
    pub host: Id,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Availability zone of the host.
    pub zone: Name,
    /// When the host sent it, by the host's own clock.
    pub sent_at: Timestamp,
    /// When it was made, by the clock of this host; the ages in the report refer to it.
    pub taken_at: Duration,
    /// What the host reports.
    pub report: Arc<LaneReport>,
}
