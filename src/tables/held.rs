//! Requests that wait on this host until their service has capacity.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::id::Id;
use crate::segment::{FlowAddrs, Segment};

/// A waiting request, or a flow that waits to be opened.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// Its first segment, as last received.
    pub segment: Segment,
    /// Service that it is addressed to.
    pub service: Id,
}

/// Waiting requests in order of arrival, and the capacity of each service.
#[derive(Debug, Default)]
pub struct HeldRequests {
    rows: BTreeMap<(Duration, FlowAddrs), HeldRequest>,
    arrival_times: HashMap<FlowAddrs, Duration>,
    capacities: HashMap<Id, f64>,
}

impl HeldRequests {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the request that waits on a flow.
    #[must_use]
    pub fn get(&self, addrs: &FlowAddrs) -> Option<&HeldRequest> {
        let since = self.arrival_times.get(addrs)?;
        self.rows.get(&(*since, *addrs))
    }

    /// Adds a waiting request; a retransmission replaces the segment and keeps the time of
    /// the first arrival.
    pub fn put(&mut self, waiting: HeldRequest, now: Duration) {
        let addrs = waiting.segment.addrs;
        let since = *self.arrival_times.entry(addrs).or_insert(now);
        self.rows.insert((since, addrs), waiting);
    }

    /// Removes the request that waits on a flow; returns it with its time of arrival.
    pub fn remove(&mut self, addrs: &FlowAddrs) -> Option<(Duration, HeldRequest)> {
        let since = self.arrival_times.remove(addrs)?;
        let waiting = self.rows.remove(&(since, *addrs))?;
        Some((since, waiting))
    }

    /// Iterates over the waiting requests, the newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &HeldRequest> + '_ {
        self.rows.values().rev()
    }

    /// Removes and returns the requests that arrived before a time.
    pub fn expire(&mut self, before: Duration) -> Vec<HeldRequest> {
        let mut expired = Vec::new();
        while let Some(((since, addrs), _)) = self.rows.first_key_value() {
            if *since >= before {
                break;
            }
            let addrs = *addrs;
            expired.extend(self.remove(&addrs).map(|(_, waiting)| waiting));
        }
        expired
    }

    /// Removes and returns all requests, the oldest first.
    pub fn take_all(&mut self) -> Vec<HeldRequest> {
        self.arrival_times.clear();
        std::mem::take(&mut self.rows).into_values().collect()
    }

    /// Returns how many requests of this lane a service may have in progress, if known.
    #[must_use]
    pub fn capacity(&self, service: Id) -> Option<f64> {
        self.capacities.get(&service).copied()
    }

    /// Replaces the capacities of all services.
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
