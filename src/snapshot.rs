//! State that the control thread publishes to the traffic lanes.
//!
//! A [`Snapshot`] is immutable. The control thread builds and publishes a new one
//! on each change; unchanged parts are shared between snapshots.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use crate::id::{FlowKey, Id, Incarnation, Name, rendezvous_weight};
use crate::packet::Class;
use crate::revision::Revision;
use crate::segment::Route;
use crate::ticket::{Home, TicketKeys};

/// Largest number of requests that an endpoint may execute at once.
pub const MAX_SLOTS: u32 = 100_000;

/// Configuration, membership and leases that a traffic lane decides from.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Services by id.
    pub services: Arc<HashMap<Id, Arc<Service>>>,
    /// Id of the service that each endpoint address belongs to.
    pub addresses: Arc<HashMap<SocketAddr, Id>>,
    /// Routes of segments, by the virtual address that callers connect to.
    pub routes: Arc<HashMap<SocketAddr, Route>>,
    /// Routes that were in force on this host and were removed lately.
    pub removed_routes: Arc<HashMap<SocketAddr, RemovedRoute>>,
    /// Latest time for which this configuration is known to contain all changes that the platform
    /// had accepted by then; zero if that is not known for any time.
    pub current_at: Duration,
    /// Hosts of the zone that are considered alive, including this one.
    pub hosts: Arc<[Host]>,
    /// Number of hosts that share the load: those alive, and half of the seed
    /// addresses whose host is not known yet.
    pub expected_hosts: u32,
    /// Time at which `hosts` last changed.
    pub hosts_changed: Duration,
    /// Sealing keys.
    pub keys: TicketKeys,
    /// Lease to dispatch at-most-once work of callers without a ticket.
    pub lease: Lease,
    /// The same lease, limited to flows whose home is the same in `hosts` and in
    /// `earlier_views`.
    pub partial_lease: Lease,
    /// Hosts of earlier membership views, which other hosts may still act on.
    pub earlier_views: Arc<[Arc<[Host]>]>,
    /// True while this host is shutting down.
    pub leaving: bool,
    /// Availability zones whose endpoints get no new flows, by order of the operators.
    pub evacuated_zones: Arc<BTreeSet<Name>>,
    /// True while this host sees more than half of the hosts that it has seen lately.
    pub has_majority: bool,
    /// Time at which this host last read a large configuration change, which keeps its
    /// link and its processor busy.
    pub large_update: Option<Duration>,
}

/// A route that operators removed while it was in force on this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct RemovedRoute {
    /// Revision of the configuration without it.
    pub revision: Revision,
    /// Time at which that came into force on this host.
    #[serde(rename = "gone")]
    pub removed_at: Duration,
}

/// A host that is considered alive.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Host {
    /// Id of its name.
    pub id: Id,
    /// Its name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    #[serde(rename = "place")]
    pub availability_zone: Name,
    /// Addresses of its traffic lanes.
    pub lanes: SmallVec<[SocketAddr; 4]>,
    /// True when it has announced that it shuts down; it becomes home to no new flow.
    pub leaving: bool,
}

impl Host {
    /// Returns the home lane of flows with this hash; `None` for a host without lanes.
    fn home_lane(&self, hash: u64) -> Option<Home> {
        let count = u64::try_from(self.lanes.len()).ok()?;
        let lane = usize::try_from(hash.checked_rem(count)?).ok()?;
        Some(Home {
            host: self.id,
            incarnation: self.incarnation,
            addr: self.lanes[lane],
        })
    }
}

/// Lease to dispatch at-most-once work of callers without a ticket.
///
/// A host holds it while a majority of the zone's hosts has agreed with its
/// membership view for so long that no host of an earlier view can still hold it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Time at which it expires.
    pub until: Duration,
}

impl Lease {
    /// Returns true while the lease is valid.
    #[must_use]
    pub fn is_held(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// A service of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Id of its name.
    pub id: Id,
    /// Its name.
    pub name: Name,
    /// Its endpoints in the zones that this host may use.
    pub endpoints: Vec<Endpoint>,
    /// True while operators do not list it, although endpoints register for it. Their open flows
    /// stay, and nothing else follows from their entries.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub retired: bool,
    /// Policy of each class, indexed by [`Class::index`].
    pub classes: [Policy; Class::ALL.len()],
    /// Time for which an established flow may continue after its endpoint starts to drain.
    #[serde(rename = "drain")]
    pub drain_limit: Duration,
    /// Time without traffic after which a flow is removed.
    #[serde(rename = "idle")]
    pub idle_limit: Duration,
    /// Allowed retries, as a fraction of new requests.
    #[serde(rename = "retries")]
    pub retry_share: f64,
    /// Slots of each endpoint that long-running work may not use.
    #[serde(rename = "reserve")]
    pub reserved_slots: u32,
    /// Limit on the new flows of an endpoint that warms up, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub warmup_limit: Option<WarmupLimit>,
}

/// Limit on the new flows that all hosts together send to an endpoint while it warms up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmupLimit {
    /// Requests a second that the endpoint bears.
    pub rate: f64,
    /// Multiple of `rate` that is tolerated.
    pub excess: f64,
    /// Number of flows a second that is tolerated beyond that.
    pub slack: f64,
}

impl WarmupLimit {
    /// Creates a limit that tolerates nothing beyond its rate.
    #[must_use]
    pub fn exact(rate: f64) -> Self {
        Self {
            rate,
            excess: 1.0,
            slack: 0.0,
        }
    }

    /// Returns the largest number of new flows in any span of one second.
    #[must_use]
    pub fn flows_per_second(&self) -> f64 {
        self.rate * self.excess + self.slack
    }
}

/// Policy of one class of work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Policy {
    /// Rank under overload; work of the lowest rank is refused first.
    pub rank: u32,
    /// Longest deadline that a caller may set.
    pub deadline: Duration,
    /// Expected time for which a request holds a slot.
    pub service_time: Duration,
}

/// An endpoint of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Endpoint {
    /// Id of its name.
    pub id: Id,
    /// Its name.
    pub name: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Name,
    /// Region of its zone, empty if it is not known.
    pub region: Name,
    /// Maximum number of requests executed at once.
    pub slots: u32,
    /// Maximum number of open flows.
    #[serde(rename = "conns")]
    pub max_conns: u32,
    /// Share of the work relative to other endpoints; 1 by default.
    pub weight: f64,
    /// True when it is draining and accepts no new work.
    pub draining: bool,
    /// False when the platform reports it unhealthy; the report may be late or wrong.
    pub healthy: bool,
    /// True when it is in the zone of this host.
    pub local: bool,
    /// Number that segments for it are addressed to; zero for endpoints of typed packets.
    #[serde(rename = "number")]
    pub relay_number: u64,
    /// Wall-clock time of its start, in milliseconds; zero when its load reports give it.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Remaining warm-up time that it reports, during which it is slow after its start.
    #[serde(rename = "warmup")]
    pub warmup_left: Duration,
}

impl Service {
    /// Creates a service with the built-in defaults and no endpoint.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            id: Id::of(name),
            name: name.into(),
            endpoints: Vec::new(),
            retired: false,
            classes: Class::ALL.map(Policy::of),
            drain_limit: Duration::from_mins(10),
            idle_limit: Duration::from_mins(5),
            retry_share: 0.1,
            reserved_slots: 1,
            warmup_limit: None,
        }
    }

    /// Adds an endpoint.
    #[must_use]
    pub fn with_endpoint(mut self, endpoint: Endpoint) -> Self {
        self.endpoints.push(endpoint);
        self
    }
}

impl Policy {
    /// Returns the built-in default of a class.
    #[must_use]
    pub fn of(class: Class) -> Self {
        let (rank, deadline, service_time) = match class {
            Class::Confirm | Class::Order => (50, 2_000, 10),
            Class::Lookup => (40, 2_000, 10),
            Class::Stream => (30, 5_000, 10),
            Class::Upload => (20, 30_000, 500),
            Class::Photo => (10, 30_000, 500),
        };
        Self {
            rank,
            deadline: Duration::from_millis(deadline),
            service_time: Duration::from_millis(service_time),
        }
    }
}

impl Endpoint {
    /// Creates a live endpoint of 3 slots and 2,000 connections in the zone of this host.
    #[must_use]
    pub fn new(name: &str, addr: SocketAddr) -> Self {
        Self {
            id: Id::of(name),
            name: name.into(),
            addr,
            zone: "".into(),
            region: "".into(),
            slots: 3,
            max_conns: 2_000,
            weight: 1.0,
            draining: false,
            healthy: true,
            local: true,
            relay_number: 0,
            started_ms: 0,
            warmup_left: Duration::ZERO,
        }
    }
}

impl Snapshot {
    /// Creates a snapshot with no service and no host.
    #[must_use]
    pub fn empty(keys: TicketKeys) -> Self {
        Self {
            revision: Revision::default(),
            services: Arc::default(),
            addresses: Arc::default(),
            routes: Arc::default(),
            removed_routes: Arc::default(),
            current_at: Duration::ZERO,
            hosts: Arc::from([]),
            expected_hosts: 1,
            hosts_changed: Duration::ZERO,
            keys,
            lease: Lease::default(),
            partial_lease: Lease::default(),
            earlier_views: Arc::from([]),
            leaving: false,
            evacuated_zones: Arc::default(),
            has_majority: true,
            large_update: None,
        }
    }

    /// Replaces the services and indexes their addresses.
    #[must_use]
    pub fn with_services(mut self, services: impl IntoIterator<Item = Service>) -> Self {
        let services: HashMap<Id, Arc<Service>> = services
            .into_iter()
            .map(|service| (service.id, Arc::new(service)))
            .collect();
        let count = services.values().map(|service| service.endpoints.len());
        let mut addresses = HashMap::with_capacity(count.sum());
        for service in services.values() {
            addresses.extend(service.endpoints.iter().map(|e| (e.addr, service.id)));
        }
        self.services = Arc::new(services);
        self.addresses = Arc::new(addresses);
        self
    }

    /// Returns true when `me` may dispatch at-most-once work of a flow without a ticket.
    #[must_use]
    pub fn may_dispatch(&self, key: &FlowKey, me: &Home, now: Duration) -> bool {
        let is_home = |hosts: &Arc<[Host]>| home_of(hosts, key).is_none_or(|home| home == *me);
        let home_unchanged = || self.earlier_views.iter().all(is_home);
        let leased =
            self.lease.is_held(now) || (self.partial_lease.is_held(now) && home_unchanged());
        leased && is_home(&self.hosts)
    }

    /// Returns the home of a flow: the host of highest rendezvous weight that is not leaving.
    ///
    /// When every host is leaving, the leaving ones are used. `None` without hosts.
    #[must_use]
    pub fn home(&self, key: &FlowKey) -> Option<Home> {
        home_of(&self.hosts, key)
    }

    /// Returns the home that a flow had before its host began to leave; `None` when the
    /// home is unchanged.
    #[must_use]
    pub fn previous_home(&self, key: &FlowKey) -> Option<Home> {
        let hash = key.hash();
        let host = self
            .hosts
            .iter()
            .max_by_key(|host| rendezvous_weight(hash, host.id))?;
        host.leaving.then(|| host.home_lane(hash)).flatten()
    }

    /// Returns the availability zone of a host and the number of live hosts there; an empty name
    /// and 1 if the host is not listed.
    #[must_use]
    pub fn zone_of(&self, id: Id) -> (Name, u32) {
        let Some(host) = self.hosts.iter().find(|host| host.id == id) else {
            return ("".into(), 1);
        };
        let zone = &host.availability_zone;
        let neighbours = self.hosts.iter();
        let neighbours = neighbours.filter(|other| other.availability_zone == *zone);
        let count = u32::try_from(neighbours.count()).unwrap_or(u32::MAX);
        (zone.clone(), count)
    }

    /// Returns true when the host of `home` is alive in the incarnation that it names.
    #[must_use]
    pub fn is_live(&self, home: &Home) -> bool {
        self.hosts
            .iter()
            .any(|host| host.id == home.host && host.incarnation == home.incarnation)
    }

    /// Returns true when the host of `home` is alive and not leaving.
    #[must_use]
    pub fn is_active(&self, home: &Home) -> bool {
        self.hosts.iter().any(|host| {
            host.id == home.host && host.incarnation == home.incarnation && !host.leaving
        })
    }
}

fn home_of(hosts: &[Host], key: &FlowKey) -> Option<Home> {
    let hash = key.hash();
    let host = hosts
        .iter()
        .max_by_key(|host| (!host.leaving, rendezvous_weight(hash, host.id)))?;
    host.home_lane(hash)
}
