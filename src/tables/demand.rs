//! Demand for each service at this lane, and the share of the capacity that follows from it.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::id::Id;
use crate::report::ServiceReport;

/// Time constant of the moving average of arrivals: short enough to follow a flash crowd, and long
/// enough that a few arrivals more or less do not matter.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);

/// A number of events that decays with [`ARRIVAL_DECAY`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct DecayingCount {
    count: f64,
    #[serde(rename = "faded")]
    last_decay: Duration,
}

impl DecayingCount {
    pub(super) fn add(&mut self, now: Duration) {
        self.count = self.rate(now) * ARRIVAL_DECAY.as_secs_f64() + 1.0;
        self.last_decay = now;
    }

    /// Returns the number of events in a second.
    pub(super) fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let span = ARRIVAL_DECAY.as_secs_f64();
        self.count * (-age / span).exp() / span
    }
}

/// Demand for a service at this lane.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServiceDemand {
    /// Requests that arrived, with retries of refused ones.
    arrivals: DecayingCount,
    /// New flows sent to an endpoint.
    #[serde(rename = "placed")]
    placements: DecayingCount,
    /// Time at which a request last had to wait, was refused or left the zone for lack of capacity.
    #[serde(rename = "short")]
    pub last_shortage: Option<Duration>,
    /// Time at which a request last had to wait or was refused.
    #[serde(rename = "waited")]
    pub last_wait: Option<Duration>,
    /// Share of the capacity relative to an even split among hosts.
    #[serde(rename = "share")]
    pub share_factor: f64,
    /// The same for the endpoints of the own zone, among the hosts of the zone.
    #[serde(rename = "zone_share")]
    pub zone_factor: f64,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            arrivals: DecayingCount::default(),
            placements: DecayingCount::default(),
            last_shortage: None,
            last_wait: None,
            share_factor: 1.0,
            zone_factor: 1.0,
        }
    }
}

impl ServiceDemand {
    /// Returns the number of requests that arrive in a second.
    #[must_use]
    pub fn rate(&self, now: Duration) -> f64 {
        self.arrivals.rate(now)
    }

    /// Returns the number of new flows sent to an endpoint in a second.
    #[must_use]
    pub fn placed_rate(&self, now: Duration) -> f64 {
        self.placements.rate(now)
    }
}

/// Demand by service.
#[derive(Debug, Default, Serialize)]
pub struct Demand {
    rows: HashMap<Id, ServiceDemand>,
    /// Load that this lane reports to other hosts.
    pub reported: Vec<ServiceReport>,
    /// Time at which `reported` was last replaced.
    #[serde(skip)]
    pub last_report: Duration,
    /// Time at which the shares were last updated.
    #[serde(rename = "updated")]
    pub last_update: Duration,
}

impl Demand {
    /// Returns the demand for a service.
    #[must_use]
    pub fn get(&self, service: Id) -> ServiceDemand {
        self.rows.get(&service).copied().unwrap_or_default()
    }

    /// Returns the demand for a service, mutably.
    pub fn get_mut(&mut self, service: Id) -> &mut ServiceDemand {
        self.rows.entry(service).or_default()
    }

    /// Counts a request that arrives.
    pub fn note_arrival(&mut self, service: Id, now: Duration) {
        self.get_mut(service).arrivals.add(now);
    }

    /// Counts a new flow that is sent to an endpoint.
    pub fn note_placement(&mut self, service: Id, now: Duration) {
        self.get_mut(service).placements.add(now);
    }

    /// Records that a request had to wait or was refused.
    pub fn note_wait(&mut self, service: Id, now: Duration) {
        self.get_mut(service).last_wait = Some(now);
        self.note_shortage(service, now);
    }

    /// Records that a service lacks capacity.
    pub fn note_shortage(&mut self, service: Id, now: Duration) {
        self.get_mut(service).last_shortage = Some(now);
    }
}
