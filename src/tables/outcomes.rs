//! Results of this lane's recent requests at each endpoint, and the ejections that follow from them.
//!
//! A request counts once, in the span in which its result is known: as answered in time, or as
//! overdue. The spans slide, so that what an endpoint did some seconds ago no longer counts.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::id::Id;

/// Length of a span.
const SPAN: Duration = Duration::from_millis(500);

/// Number of spans that count: 2 s, in which a host sends about two requests to each endpoint. With
/// 3 s, answers from before a failure delayed its detection by half a second.
const SPANS: usize = 4;

/// Time after the end of an ejection within which the next one is longer.
const STREAK_TIME: Duration = Duration::from_secs(30);

/// Numbers of requests by their result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// Requests that were answered in time.
    pub answered: u32,
    /// Requests that were not, whether they were answered later or not.
    pub overdue: u32,
}

/// Results at one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeRow {
    started_ms: u64,
    /// Number of the newest span since the lane's clock began.
    newest: usize,
    spans: [OutcomeCounts; SPANS],
}

/// An ejection of an endpoint, running or ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Ejection {
    /// Start time of the incarnation that was ejected, in milliseconds.
    pub started_ms: u64,
    /// Time at which it began.
    pub since: Duration,
    /// Its length.
    pub time: Duration,
    /// Time at which it ended.
    #[serde(rename = "ended")]
    pub ended_at: Option<Duration>,
}

/// Results by endpoint, and recent ejections.
#[derive(Debug, Default)]
pub struct Outcomes {
    rows: HashMap<Id, OutcomeRow>,
    /// Endpoints with overdue requests, the only ones that are evaluated.
    overdue_ids: BTreeSet<Id>,
    ejections: BTreeMap<Id, Ejection>,
    /// Time of the last evaluation.
    pub last_check: Duration,
    /// True if the cause of the overdue requests may be single endpoints, as of the last
    /// evaluation; only then are they reported.
    pub may_report: bool,
    /// Time from which the results of requests count that were sent then or later.
    pub valid_since: Duration,
}

impl OutcomeRow {
    /// Empties the spans between the newest one and that of `now`, and returns the latter.
    fn current(&mut self, now: Duration) -> &mut OutcomeCounts {
        let number = span_number(now);
        let passed = number.saturating_sub(self.newest).min(SPANS);
        for step in 0..passed {
            self.spans[(number - step) % SPANS] = OutcomeCounts::default();
        }
        self.newest = self.newest.max(number);
        &mut self.spans[self.newest % SPANS]
    }

    fn counts(&self, now: Duration) -> OutcomeCounts {
        let passed = span_number(now).saturating_sub(self.newest);
        let mut sum = OutcomeCounts::default();
        for age in passed..SPANS {
            let span = self.spans[(self.newest + SPANS - (age - passed)) % SPANS];
            sum.answered += span.answered;
            sum.overdue += span.overdue;
        }
        sum
    }
}

impl Outcomes {
    /// Records the result of a request to an incarnation of an endpoint. Results of another
    /// incarnation are dropped.
    pub fn note(&mut self, id: Id, started_ms: u64, is_overdue: bool, now: Duration) {
        let row = self.rows.entry(id).or_default();
        if row.started_ms != started_ms {
            *row = OutcomeRow {
                started_ms,
                ..OutcomeRow::default()
            };
            self.overdue_ids.remove(&id);
        }
        let span = row.current(now);
        if is_overdue {
            span.overdue += 1;
            self.overdue_ids.insert(id);
        } else {
            span.answered += 1;
        }
    }

    /// Returns the recent results at an incarnation of an endpoint.
    #[must_use]
    pub fn counts(&self, id: Id, started_ms: u64, now: Duration) -> OutcomeCounts {
        let row = self.rows.get(&id);
        let row = row.filter(|row| row.started_ms == started_ms);
        row.map_or_else(OutcomeCounts::default, |row| row.counts(now))
    }

    /// Iterates over the endpoints that had overdue requests at the last call of
    /// [`Outcomes::expire`], or since then.
    pub fn overdue_ids(&self) -> impl Iterator<Item = Id> + '_ {
        self.overdue_ids.iter().copied()
    }

    /// Returns the number of these endpoints.
    #[must_use]
    pub fn overdue_count(&self) -> usize {
        self.overdue_ids.len()
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Duration) {
        let rows = &self.rows;
        self.overdue_ids.retain(|id| {
            let row = rows.get(id);
            row.is_some_and(|row| row.counts(now).overdue > 0)
        });
        self.ejections.retain(|_, ejection| {
            let ended_at = ejection.ended_at;
            ended_at.is_none_or(|ended_at| now < ended_at + STREAK_TIME)
        });
    }

    /// Drops the results at an endpoint.
    pub fn forget(&mut self, id: Id) {
        self.rows.remove(&id);
        self.overdue_ids.remove(&id);
    }

    /// Drops all results, and those of requests that were sent before `now`.
    pub fn forget_all(&mut self, now: Duration) {
        self.rows.clear();
        self.overdue_ids.clear();
        self.valid_since = now;
    }

    /// Keeps the endpoints for which `keep` returns true for their id and start time.
    pub fn retain(&mut self, keep: impl Fn(Id, u64) -> bool) {
        self.rows.retain(|id, row| keep(*id, row.started_ms));
        let rows = &self.rows;
        self.overdue_ids.retain(|id| rows.contains_key(id));
        self.ejections
            .retain(|id, ejection| keep(*id, ejection.started_ms));
    }

    /// Returns the running or last ejection of an incarnation of an endpoint, if it is recent.
    #[must_use]
    pub fn ejection(&self, id: Id, started_ms: u64) -> Option<&Ejection> {
        let ejection = self.ejections.get(&id);
        ejection.filter(|ejection| ejection.started_ms == started_ms)
    }

    /// Iterates over the endpoints with a running ejection.
    pub fn ejected(&self) -> impl Iterator<Item = (Id, &Ejection)> + '_ {
        let ejections = self.ejections.iter();
        let running = ejections.filter(|(_, ejection)| ejection.ended_at.is_none());
        running.map(|(id, ejection)| (*id, ejection))
    }

    /// Records the beginning of an ejection.
    pub fn begin_ejection(&mut self, id: Id, ejection: Ejection) {
        self.ejections.insert(id, ejection);
    }

    /// Records the end of an ejection, and drops the results at the endpoint.
    pub fn end_ejection(&mut self, id: Id, now: Duration) {
        self.forget(id);
        if let Some(ejection) = self.ejections.get_mut(&id) {
            ejection.ended_at = Some(now);
        }
    }
}

impl Serialize for Outcomes {
    /// Writes the endpoints with overdue requests, with their results as of the last evaluation,
    /// and the ejections.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let key = |id: &Id| format!("{id:?}");
        let overdue = self.overdue_ids.iter();
        let overdue = overdue.filter_map(|id| Some((key(id), self.rows.get(id)?)));
        let counts: BTreeMap<_, _> = overdue
            .map(|(key, row)| (key, row.counts(self.last_check)))
            .collect();
        let ejections = self.ejections.iter();
        let ejections: BTreeMap<_, _> = ejections.map(|(id, row)| (key(id), row)).collect();
        let tables = serde_json::json!({
            "endpoints": counts,
            "ejections": ejections,
            "may_report": self.may_report,
        });
        tables.serialize(serializer)
    }
}

/// Returns the number of the span that contains a time.
fn span_number(time: Duration) -> usize {
    let number = time.as_millis() / SPAN.as_millis();
    usize::try_from(number).unwrap_or(usize::MAX)
}
