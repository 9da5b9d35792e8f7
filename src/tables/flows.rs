//! Flows that a lane is the home of.
//!
//! A row is soft state. If it is lost, the flow is restored from its ticket or by asking
//! the service's endpoints, which know their flows.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Serialize, Serializer};
use slab::Slab;
use smallvec::SmallVec;

use crate::id::{FlowKey, Id};
use crate::packet::Packet;
use crate::ticket::Target;

/// Most packets held for a flow that is not open yet.
const MAX_HELD: usize = 8;

/// State of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum FlowState {
    /// Endpoints have been asked whether they hold it.
    Recovering,
    /// An endpoint has been asked to take it.
    Opening,
    /// An endpoint holds it.
    Open,
}

/// A flow.
#[derive(Clone, Debug, Serialize)]
pub struct Flow {
    /// Its key.
    pub key: FlowKey,
    /// Its service.
    pub service: Id,
    /// State of the flow.
    pub state: FlowState,
    /// Endpoint that holds it or has been asked to take it.
    pub target: Option<Target>,
    /// Time at which it entered this state.
    #[serde(rename = "since")]
    pub state_since: Duration,
    /// Time of the caller's last packet.
    #[serde(rename = "heard")]
    pub last_heard: Duration,
    /// Time of the last packet to its endpoint that expects an answer.
    #[serde(rename = "sent")]
    pub last_sent: Duration,
    /// Time of the first probe that is not answered yet.
    #[serde(rename = "probed")]
    pub unanswered_probe: Option<Duration>,
    /// Endpoints that have not answered yet whether they hold it.
    #[serde(skip)]
    pub unanswered_endpoints: Vec<Id>,
    /// Endpoints that refused it.
    #[serde(rename = "refused")]
    pub refused_by: SmallVec<[Id; 4]>,
    /// True if an `Open` of the caller waits for an answer.
    #[serde(rename = "wanted")]
    pub open_requested: bool,
    /// Packets to forward once it is open.
    #[serde(skip)]
    pub held_packets: Vec<Packet>,
}

impl Flow {
    /// Creates a flow for `packet` without an endpoint.
    #[must_use]
    pub fn new(packet: &Packet, state: FlowState, now: Duration) -> Self {
        Self {
            key: packet.key(),
            service: packet.service,
            state,
            target: None,
            state_since: now,
            last_heard: now,
            last_sent: now,
            unanswered_probe: None,
            unanswered_endpoints: Vec::new(),
            refused_by: SmallVec::new(),
            open_requested: false,
            held_packets: Vec::new(),
        }
    }

    /// Holds a packet until the flow is open; drops it if too many are held.
    pub fn hold_packet(&mut self, packet: Packet) {
        if self.held_packets.len() < MAX_HELD {
            self.held_packets.push(packet);
        }
    }
}

/// Flows by key.
#[derive(Debug, Default)]
pub struct Flows {
    rows: Slab<Flow>,
    index: HashMap<FlowKey, usize>,
    unopened: Vec<FlowKey>,
    awaiting_probe: Vec<FlowKey>,
    cursor: usize,
}

impl Flows {
    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True without flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the flow of `key`.
    #[must_use]
    pub fn get(&self, key: &FlowKey) -> Option<&Flow> {
        self.index.get(key).map(|slot| &self.rows[*slot])
    }

    /// Returns the flow of `key`, mutably.
    pub fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        self.index.get(key).map(|slot| &mut self.rows[*slot])
    }

    /// True if the packet names another service than the flow with its key.
    #[must_use]
    pub fn names_other_service(&self, packet: &Packet) -> bool {
        let flow = self.get(&packet.key());
        flow.is_some_and(|flow| flow.service != packet.service)
    }

    /// Adds or replaces a flow.
    pub fn insert(&mut self, flow: Flow) {
        self.remove(&flow.key);
        let key = flow.key;
        if flow.state != FlowState::Open {
            self.unopened.push(key);
        }
        let slot = self.rows.insert(flow);
        self.index.insert(key, slot);
    }

    /// Removes and returns a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        let slot = self.index.remove(key)?;
        Some(self.rows.remove(slot))
    }

    /// Returns the number of flows that are not open yet.
    #[must_use]
    pub fn unopened_count(&self) -> usize {
        self.unopened.len()
    }

    /// Returns the keys of the flows that are not open yet.
    pub fn unopened_keys(&mut self) -> Vec<FlowKey> {
        let mut keys = std::mem::take(&mut self.unopened);
        self.retain_matching(&mut keys, |flow| flow.state != FlowState::Open);
        self.unopened.clone_from(&keys);
        keys
    }

    /// Records that a flow was probed and waits for the answer.
    pub fn mark_probed(&mut self, key: &FlowKey) {
        self.awaiting_probe.push(*key);
    }

    /// Returns the keys of the flows that wait for the answer to a probe.
    pub fn probed_keys(&mut self) -> Vec<FlowKey> {
        let mut keys = std::mem::take(&mut self.awaiting_probe);
        self.retain_matching(&mut keys, |flow| flow.unanswered_probe.is_some());
        self.awaiting_probe.clone_from(&keys);
        keys
    }

    /// Examines the next part of the table, one of `share` parts but at least 64 slots, and
    /// returns the keys of the flows that are due. Later calls continue from there and start
    /// over at the end.
    pub fn sweep_due(&mut self, share: usize, is_due: impl Fn(&Flow) -> bool) -> Vec<FlowKey> {
        let size = self.rows.capacity();
        let count = (size / share.max(1)).max(64).min(size);
        let keys = (0..count)
            .filter_map(|step| self.rows.get((self.cursor + step) % size))
            .filter(|flow| is_due(flow))
            .map(|flow| flow.key)
            .collect();
        if size > 0 {
            self.cursor = (self.cursor + count) % size;
        }
        keys
    }

    /// Retains the keys of flows that exist and satisfy the predicate.
    fn retain_matching(&self, keys: &mut Vec<FlowKey>, predicate: impl Fn(&Flow) -> bool) {
        keys.retain(|key| self.get(key).is_some_and(&predicate));
    }
}

impl Serialize for Flows {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.rows.iter().map(|(_, flow)| flow))
    }
}
