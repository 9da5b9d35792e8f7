//! Demand for each service at this lane, and the share of the capacity that follows from it.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::id::Id;

/// Time constant of the moving average of arrivals: short enough to follow a flash crowd, and long
/// enough that a few arrivals more or less do not matter.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);

/// Demand for a service at this lane.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ServiceDemand {
    /// Decaying number of requests that arrived, with retries of refused ones.
    arrivals: f64,
    #[serde(rename = "faded")]
    last_decay: Duration,
    /// Time at which a request last had to wait, was refused or left the zone for lack of capacity.
    #[serde(rename = "short")]
    pub last_shortage: Option<Duration>,
    /// Share of the capacity relative to an even split among hosts.
    #[serde(rename = "share")]
    pub share_factor: f64,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            arrivals: 0.0,
            last_decay: Duration::ZERO,
            last_shortage: None,
            share_factor: 1.0,
        }
    }
}

impl ServiceDemand {
    /// Returns the number of requests that arrive in a second.
    #[must_use]
    pub fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.last_decay).as_secs_f64();
        let span = ARRIVAL_DECAY.as_secs_f64();
        self.arrivals * (-age / span).exp() / span
    }
}

/// Demand by service.
#[derive(Debug, Default, Serialize)]
pub struct Demand {
    rows: HashMap<Id, ServiceDemand>,
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
        let row = self.get_mut(service);
        row.arrivals = row.rate(now) * ARRIVAL_DECAY.as_secs_f64() + 1.0;
        row.last_decay = now;
    }

    /// Records that a service lacks capacity.
    pub fn note_shortage(&mut self, service: Id, now: Duration) {
        self.get_mut(service).last_shortage = Some(now);
    }
}
