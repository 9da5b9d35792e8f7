//! Endpoints, with what this lane has itself seen of them.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Serialize, Serializer};

use crate::id::Id;
use crate::packet::{Class, Load};
use crate::snapshot::{Endpoint, Snapshot};
use crate::ticket::Target;

/// Time for which an address that changed its service gets no traffic.
const QUARANTINE: Duration = Duration::from_secs(10);

/// An endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointRow {
    /// As configured.
    pub spec: Endpoint,
    /// Its service.
    pub service: Id,
    /// Load it last reported; incarnation zero until it has spoken.
    pub load: Load,
    /// Time it was last heard.
    pub heard: Duration,
    /// Time of the last probe that asked for its load.
    pub probed: Duration,
    /// Flows of this lane on it.
    pub flows: u32,
    /// Flows this lane opened since it last reported.
    pub fresh: u32,
    /// Requests of this lane on it.
    pub running: u32,
    /// Long requests of this lane on it.
    pub long: u32,
    /// Time of its last refusal.
    pub refused: Option<Duration>,
    /// Failures in a row.
    pub failures: u32,
    /// Time it was first seen, or restarted.
    pub since: Duration,
    /// Time it began to leave.
    pub leaving: Option<Duration>,
    /// Time until which it gets no traffic.
    pub barred: Duration,
}

impl EndpointRow {
    /// True when it may take new flows and requests.
    #[must_use]
    pub fn is_open(&self, now: Duration) -> bool {
        self.leaving.is_none() && now >= self.barred
    }

    /// How tickets name it.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            endpoint: self.spec.id,
            addr: self.spec.addr,
            incarnation: self.load.incarnation,
        }
    }
}

/// Endpoints by id and by service.
#[derive(Debug, Default)]
pub struct Endpoints {
    rows: Vec<EndpointRow>,
    index: HashMap<Id, usize>,
    services: HashMap<Id, Vec<usize>>,
}

impl Endpoints {
    /// Takes over a snapshot's endpoints, keeping what was seen of those that stay.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Duration) {
        let mut old = std::mem::take(self);
        let owners: HashMap<_, _> = old.rows.iter().map(|r| (r.spec.addr, r.service)).collect();
        let mut services: Vec<_> = snapshot.services.values().collect();
        services.sort_unstable_by_key(|service| service.id);
        for service in services {
            for spec in &service.endpoints {
                let mut row = old.take(spec, service.id, now);
                if owners
                    .get(&spec.addr)
                    .is_some_and(|owner| *owner != service.id)
                {
                    row.barred = now + QUARANTINE;
                }
                self.push(row);
            }
        }
    }

    /// Row of an endpoint.
    #[must_use]
    pub fn get(&self, id: Id) -> Option<&EndpointRow> {
        self.index.get(&id).map(|slot| &self.rows[*slot])
    }

    /// Row of an endpoint, to change.
    pub fn get_mut(&mut self, id: Id) -> Option<&mut EndpointRow> {
        self.index.get(&id).map(|slot| &mut self.rows[*slot])
    }

    /// Endpoints of a service.
    pub fn of(&self, service: Id) -> impl Iterator<Item = &EndpointRow> + '_ {
        let slots = self.services.get(&service).map_or(&[][..], Vec::as_slice);
        slots.iter().map(|slot| &self.rows[*slot])
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRow> + '_ {
        self.rows.iter()
    }

    /// Takes in what an endpoint says of itself; true when it has restarted.
    pub fn report(&mut self, id: Id, load: Load, now: Duration) -> bool {
        let Some(row) = self.get_mut(id) else {
            return false;
        };
        let known = row.load.incarnation;
        if load.incarnation < known {
            return false;
        }
        let restarted = known != 0 && load.incarnation > known;
        if restarted {
            row.since = now;
        }
        if load.draining {
            row.leaving.get_or_insert(now);
        } else if !row.spec.draining {
            row.leaving = None;
        }
        row.load = load;
        row.heard = now;
        row.fresh = 0;
        row.failures = 0;
        restarted
    }

    /// Counts a request on an endpoint.
    pub fn acquire(&mut self, id: Id, class: Class) {
        if let Some(row) = self.get_mut(id) {
            row.running += 1;
            row.long += u32::from(class.is_long());
        }
    }

    /// Stops counting a request on an endpoint.
    pub fn release(&mut self, id: Id, class: Class) {
        if let Some(row) = self.get_mut(id) {
            row.running = row.running.saturating_sub(1);
            row.long = row.long.saturating_sub(u32::from(class.is_long()));
        }
    }

    fn take(&mut self, spec: &Endpoint, service: Id, now: Duration) -> EndpointRow {
        let kept = self
            .get(spec.id)
            .filter(|row| row.service == service && row.spec.addr == spec.addr)
            .cloned();
        let mut row = kept.unwrap_or_else(|| EndpointRow::new(spec.clone(), service, now));
        row.spec = spec.clone();
        if !spec.draining && !row.load.draining {
            row.leaving = None;
        }
        if spec.draining {
            row.leaving.get_or_insert(now);
        }
        row
    }

    fn push(&mut self, row: EndpointRow) {
        let slot = self.rows.len();
        self.index.insert(row.spec.id, slot);
        self.services.entry(row.service).or_default().push(slot);
        self.rows.push(row);
    }
}

impl EndpointRow {
    fn new(spec: Endpoint, service: Id, now: Duration) -> Self {
        Self {
            spec,
            service,
            load: Load::default(),
            heard: Duration::ZERO,
            probed: Duration::ZERO,
            flows: 0,
            fresh: 0,
            running: 0,
            long: 0,
            refused: None,
            failures: 0,
            since: now,
            leaving: None,
            barred: Duration::ZERO,
        }
    }
}

impl Serialize for Endpoints {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(&self.rows)
    }
}
