//! Zones whose endpoints do not answer this lane.

use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use crate::id::{Id, Name};

/// Zones that are silent for this lane; a lane has flows in a few zones.
pub type SilentZones = SmallVec<[SilentZone; 2]>;

/// A zone whose endpoints do not answer this lane.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SilentZone {
    /// Name of the zone.
    pub zone: Name,
    /// Time of the last answer from the zone.
    pub since: Duration,
    /// Time at which this lane found it silent.
    #[serde(rename = "noticed")]
    pub noticed_at: Duration,
    /// Time of the latest evidence that an endpoint there does not answer.
    #[serde(rename = "evidence")]
    pub last_evidence: Duration,
    /// Number of endpoints that owed an answer when it was found silent.
    #[serde(rename = "overdue")]
    pub overdue_endpoints: usize,
    /// Number of endpoints that were in use then.
    #[serde(rename = "used")]
    pub used_endpoints: usize,
    /// Time since which several hosts agree, so that new flows go to other zones.
    #[serde(rename = "down")]
    pub down_since: Option<Duration>,
    /// Endpoints that have answered another host since then.
    pub answering: SmallVec<[Id; 4]>,
}
