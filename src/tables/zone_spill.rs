//! Shares of each service's new flows that leave the zone of this host.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use crate::id::{Id, Name};

/// Weight of the latest measurement in the average times of a zone: a host sends a zone some
/// tens of requests a second, and a change has to show within one.
const TIME_WEIGHT: f64 = 0.1;

/// Age from which a measurement is too old to tell how a zone answers now.
const MAX_TIME_AGE: Duration = Duration::from_secs(10);

/// Where the new flows of a service go.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SpillPlan {
    /// Share of the flows that leaves the zone, from 0 to 1.
    pub share: f64,
    /// Zones that may take flows, with their weights; the share applies to them.
    pub zones: SmallVec<[(Name, f64); 4]>,
    /// Share at the last log line, in tenths.
    #[serde(rename = "logged")]
    pub logged_tenths: u32,
}

/// Plans by service, and what they depend on.
#[derive(Debug, Default, Serialize)]
pub struct ZoneSpill {
    plans: HashMap<Id, SpillPlan>,
    #[serde(rename = "open")]
    open_times: HashMap<Name, MeanTime>,
    #[serde(rename = "answer")]
    answer_times: HashMap<Id, HashMap<Name, MeanTime>>,
    /// Time of the last update of the plans.
    #[serde(rename = "updated")]
    pub last_update: Duration,
}

impl ZoneSpill {
    /// Returns the plan of a service; `None` before its answer times are known.
    #[must_use]
    pub fn plan(&self, service: Id) -> Option<&SpillPlan> {
        self.plans.get(&service)
    }

    /// Replaces the plan of a service.
    pub fn set_plan(&mut self, service: Id, plan: SpillPlan) {
        self.plans.insert(service, plan);
    }

    /// Removes the plan of a service.
    pub fn remove_plan(&mut self, service: Id) {
        self.plans.remove(&service);
    }

    /// Records how long it took to open a flow at an endpoint of a zone.
    pub fn note_open_time(&mut self, zone: &Name, time: Duration, now: Duration) {
        let mean = self.open_times.entry(zone.clone()).or_default();
        mean.add(time, now);
    }

    /// Records how long an endpoint of a service in a zone took to answer a request.
    pub fn note_answer_time(&mut self, service: Id, zone: &Name, time: Duration, now: Duration) {
        let zones = self.answer_times.entry(service).or_default();
        zones.entry(zone.clone()).or_default().add(time, now);
    }

    /// Returns the mean time to open a flow at the endpoints of a zone in seconds, if known.
    #[must_use]
    pub fn open_time(&self, zone: &Name, now: Duration) -> Option<f64> {
        self.open_times.get(zone).and_then(|mean| mean.get(now))
    }

    /// Returns the mean time in which the endpoints of a service in a zone answer a request in
    /// seconds, if known.
    #[must_use]
    pub fn answer_time(&self, service: Id, zone: &Name, now: Duration) -> Option<f64> {
        let mean = self.answer_times.get(&service)?.get(zone)?;
        mean.get(now)
    }
}

/// Moving average of measured times.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct MeanTime {
    seconds: f64,
    #[serde(rename = "at")]
    measured_at: Duration,
}

impl MeanTime {
    fn add(&mut self, time: Duration, now: Duration) {
        let time = time.as_secs_f64();
        self.seconds = match self.get(now) {
            Some(mean) => mean + TIME_WEIGHT * (time - mean),
            None => time,
        };
        self.measured_at = now;
    }

    fn get(self, now: Duration) -> Option<f64> {
        let is_known = self.seconds > 0.0 && now < self.measured_at + MAX_TIME_AGE;
        is_known.then_some(self.seconds)
    }
}

impl SpillPlan {
    /// Returns the zone for a flow, or `None` for the own zone. `draw` is a random number from 0
    /// to 1; `all_leave` is true if the own zone has no usable endpoint.
    #[must_use]
    pub fn choose(&self, draw: f64, all_leave: bool) -> Option<&Name> {
        let share = if all_leave { 1.0 } else { self.share };
        let total: f64 = self.zones.iter().map(|(_, weight)| weight).sum();
        if draw >= share || total <= 0.0 {
            return None;
        }
        // The draw is below the share, so it decides about the zone as well.
        let mut left = draw / share * total;
        for (zone, weight) in &self.zones {
            if left < *weight {
                return Some(zone);
            }
            left -= weight;
        }
        self.zones.last().map(|(zone, _)| zone)
    }
}
