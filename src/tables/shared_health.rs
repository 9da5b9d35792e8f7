//! Evidence of a lane about endpoints, and how it combines with the reports of other hosts.
//!
//! Only endpoints with evidence, or about which another host reports evidence, have a row.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Serialize, Serializer};
use smallvec::SmallVec;

use crate::id::Id;
use crate::segment::FlowAddrs;

/// Maximum number of unanswered openings that are recorded for an endpoint; three suffice to
/// confirm that it is down.
const MAX_OPENS: usize = 8;

/// Evidence about one endpoint.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HealthRow {
    /// Start time of the incarnation that the evidence is about, in milliseconds.
    pub started_ms: u64,
    /// Openings that it has not answered.
    pub opens: SmallVec<[UnansweredOpen; 4]>,
    /// Answer that contradicts a suspicion, and the time at which it was found to do so.
    pub cleared: Option<Cleared>,
    /// Latest time at which another host knows that it was running.
    #[serde(rename = "elsewhere")]
    pub alive_elsewhere: Duration,
    /// Time since which several hosts have had enough evidence to reset flows.
    #[serde(rename = "quorum")]
    pub quorum_since: Option<Duration>,
    /// Time since which one other host alone has suspected it.
    #[serde(rename = "sole")]
    pub sole_since: Option<Duration>,
    /// Time of the oldest evidence on which it was declared down.
    #[serde(rename = "confirmed")]
    pub confirmed_evidence: Option<Duration>,
}

/// An opening segment that an endpoint has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct UnansweredOpen {
    /// Addresses of the flow.
    #[serde(rename = "ends")]
    pub addrs: FlowAddrs,
    /// Time at which it was sent.
    #[serde(rename = "sent")]
    pub sent_at: Duration,
}

/// An answer that contradicts a suspicion.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Cleared {
    /// Time at which the contradiction was found.
    pub at: Duration,
    /// Time for which the answer shows that the endpoint was running.
    #[serde(rename = "heard")]
    pub heard_at: Duration,
}

impl HealthRow {
    /// Returns true if nothing is known that others or this lane need.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.opens.is_empty()
            && self.cleared.is_none()
            && self.alive_elsewhere.is_zero()
            && self.quorum_since.is_none()
            && self.sole_since.is_none()
            && self.confirmed_evidence.is_none()
    }
}

/// Rows by endpoint, and the state of the reports that are made from them.
#[derive(Debug, Default)]
pub struct SharedHealth {
    rows: BTreeMap<Id, HealthRow>,
    /// True while an endpoint has a [`Suspicion`](super::Suspicion).
    pub any_suspected: bool,
    /// Time at which the report was last checked for changes.
    pub last_check: Duration,
    /// Time at which the evidence is to be evaluated again although nothing has changed; none if
    /// there is nothing to evaluate.
    pub next_evaluation: Option<Duration>,
}

impl SharedHealth {
    /// True without rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Has the evidence evaluated in the next timer tick, since some of it has changed.
    pub fn request_check(&mut self) {
        self.next_evaluation = Some(Duration::ZERO);
    }

    /// Returns the row of an endpoint.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&HealthRow> {
        self.rows.get(&id)
    }

    /// Returns the row of an endpoint, mutably.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut HealthRow> {
        self.rows.get_mut(&id)
    }

    /// Returns the row of an incarnation of an endpoint, and creates it if there is none. A row
    /// of another incarnation is emptied.
    pub fn row(&mut self, id: Id, started_ms: u64) -> &mut HealthRow {
        let row = self.rows.entry(id).or_default();
        if row.started_ms != started_ms {
            *row = HealthRow {
                started_ms,
                ..HealthRow::default()
            };
        }
        row
    }

    /// Records an opening that an incarnation of an endpoint has not answered.
    pub fn note_open(&mut self, id: Id, started_ms: u64, open: UnansweredOpen) {
        let opens = &mut self.row(id, started_ms).opens;
        opens.retain(|known| known.addrs != open.addrs);
        if opens.len() == MAX_OPENS {
            opens.remove(0);
        }
        opens.push(open);
        self.request_check();
    }

    /// Keeps the rows for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(Id, &mut HealthRow) -> bool) {
        self.rows.retain(|id, row| keep(*id, row));
    }

    /// Iterates over the rows.
    pub fn rows(&self) -> impl Iterator<Item = &HealthRow> + '_ {
        self.rows.values()
    }

    /// Iterates over the ids of the endpoints with a row.
    pub fn ids(&self) -> impl Iterator<Item = Id> + '_ {
        self.rows.keys().copied()
    }
}

impl Serialize for SharedHealth {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.rows.iter().map(|(id, row)| (format!("{id:?}"), row)))
    }
}
