//! Requests that wait on this host until their service has room.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::id::Id;
use crate::segment::{FlowAddrs, Segment};

/// A request, or the opening of a flow, that waits.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// Latest copy of its first segment.
    pub segment: Segment,
    /// Service that it is for.
    pub service: Id,
}

/// Waiting requests in the order of their arrival, and the room of each service.
#[derive(Debug, Default)]
pub struct HeldRequests {
    rows: BTreeMap<(Duration, FlowAddrs), HeldRequest>,
    since: HashMap<FlowAddrs, Duration>,
    capacities: HashMap<Id, f64>,
}

impl HeldRequests {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True when nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// What waits on a flow.
    #[must_use]
    pub fn get(&self, ends: &FlowAddrs) -> Option<&HeldRequest> {
        let since = self.since.get(ends)?;
        self.rows.get(&(*since, *ends))
    }

    /// Adds what waits on a flow; a copy keeps the time of the first.
    pub fn put(&mut self, waiting: HeldRequest, now: Duration) {
        let ends = waiting.segment.addrs;
        let since = *self.since.entry(ends).or_insert(now);
        self.rows.insert((since, ends), waiting);
    }

    /// Takes out what waits on a flow, with the time since when it waits.
    pub fn remove(&mut self, ends: &FlowAddrs) -> Option<(Duration, HeldRequest)> {
        let since = self.since.remove(ends)?;
        let waiting = self.rows.remove(&(since, *ends))?;
        Some((since, waiting))
    }

    /// What waits, the newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &HeldRequest> + '_ {
        self.rows.values().rev()
    }

    /// Takes out what has waited since before a time.
    pub fn expire(&mut self, before: Duration) -> Vec<HeldRequest> {
        let mut gone = Vec::new();
        while let Some(((since, ends), _)) = self.rows.first_key_value() {
            if *since >= before {
                break;
            }
            let ends = *ends;
            gone.extend(self.remove(&ends).map(|(_, waiting)| waiting));
        }
        gone
    }

    /// Requests of this lane that a service may have in progress, where that is known.
    #[must_use]
    pub fn capacity(&self, service: Id) -> Option<f64> {
        self.capacities.get(&service).copied()
    }

    /// Replaces the rooms of all services.
    pub fn set_capacities(&mut self, rooms: impl Iterator<Item = (Id, f64)>) {
        self.capacities.clear();
        self.capacities.extend(rooms);
    }
}

impl Serialize for HeldRequests {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.rows.keys())
    }
}
