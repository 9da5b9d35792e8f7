//! Tables of one traffic lane.
//!
//! A lane is a traffic thread with its own address and its own tables; threads share
//! no table. The systems in [`systems`](crate::systems) run over the tables each tick.
//! Rows are plain structs, keyed by small ids.

mod budget;
mod cookies;
mod counters;
mod demand;
mod ended_requests;
mod endpoints;
mod flows;
mod held;
mod inbox;
mod outcomes;
mod rank_load;
mod recent;
mod requests;
mod shared_health;
mod silent_zones;
mod timings;
mod tracks;
mod warmup;
mod zone_spill;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

pub use self::budget::{RETRY_BURST, RetryBudgets};
pub use self::cookies::{CookieEndpoint, Cookies, cookie_of};
pub use self::counters::Counters;
pub use self::demand::{Demand, ServiceDemand};
pub use self::ended_requests::ENDED_RETENTION;
pub use self::endpoints::{DownState, EndpointRow, Endpoints, StalledFlow, Suspicion};
pub use self::flows::{Flow, FlowState, Flows};
pub use self::held::{HeldRequest, HeldRequests, Refusal, ReleaseHistory, ServiceLimit};
pub use self::inbox::{Arrival, Stage, StageQueues};
pub use self::outcomes::{Ejection, OutcomeCounts, Outcomes};
pub use self::rank_load::{RankDemand, RankLoad};
pub use self::recent::RecentCounts;
pub use self::requests::{Parts, Request, RequestId, RequestState, Requests};
pub use self::shared_health::{Cleared, HealthRow, SharedHealth, UnansweredOpen};
pub use self::silent_zones::{SilentZone, SilentZones};
pub use self::timings::{LatencyHistograms, observe};
pub use self::tracks::{TrackedFlow, TrackedFlows, TrackedState, WatchedRequest};
pub use self::warmup::Warmups;
pub use self::zone_spill::{SpillPlan, ZoneSpill};

use crate::packet::{Body, Packet};
use crate::report::{LaneReport, PeerReports};
use crate::segment::{RelayAction, Segment};
use crate::snapshot::Snapshot;
use crate::systems::Policies;
use crate::ticket::{Home, Side, Target, Ticket};

/// All tables of a lane.
#[derive(Debug)]
pub struct Tables {
    /// Address and incarnation of this lane.
    pub home: Home,
    /// Latest snapshot that the control thread published.
    pub snapshot: Arc<Snapshot>,
    /// Packets of this tick that are not routed yet.
    pub inbox: Vec<Arrival>,
    /// Routed packets of this tick, queued for the system that handles them.
    pub stage_queues: StageQueues,
    /// Segments received in this tick.
    pub segments: Vec<Segment>,
    /// Endpoints by the cookie that segments of their flows carry.
    pub cookies: Cookies,
    /// Flows whose segments pass through this lane.
    pub tracked_flows: TrackedFlows,
    /// Requests of those flows that wait until their service has capacity.
    pub held_requests: HeldRequests,
    /// Endpoints that warm up, if their service limits new flows to them.
    pub warmups: Warmups,
    /// Demand for each service, and this lane's share of its capacity.
    pub demand: Demand,
    /// Shares of the new flows that leave the zone.
    pub zone_spill: ZoneSpill,
    /// Recent answers and retransmissions of those flows.
    pub recent_counts: RecentCounts,
    /// Evidence of this lane about endpoints, for reports to other hosts.
    pub shared_health: SharedHealth,
    /// Latest reports of other hosts that the control thread published.
    pub peer_reports: Arc<PeerReports>,
    /// Zones whose endpoints do not answer this lane.
    pub silent_zones: SilentZones,
    /// Results of recent requests at each endpoint, and ejections of endpoints.
    pub outcomes: Outcomes,
    /// What this lane last reported about endpoints and load.
    pub report: Arc<LaneReport>,
    /// Flows that this lane is the home of.
    pub flows: Flows,
    /// Requests that this lane is the home of.
    pub requests: Requests,
    /// Endpoints and this lane's own observations of them.
    pub endpoints: Endpoints,
    /// Retry budgets of services.
    pub retry_budgets: RetryBudgets,
    /// Policies that decide about load.
    pub policies: Arc<Policies>,
    /// Event counters since the lane started.
    pub counters: Counters,
    /// Latency histograms since the lane started.
    pub histograms: LatencyHistograms,
    /// Seeded random number generator.
    pub rng: SmallRng,
    /// Time of the last tick.
    pub last_tick: Duration,
    /// Time after which the socket was last read until it was empty; every packet of the
    /// current tick arrived after it.
    pub last_drained: Duration,
    /// Longest time that a packet of this tick may have waited to be read after the
    /// process was paused; zero without a pause.
    pub max_wait: Duration,
    /// Time of the last tick that followed a pause of the process.
    pub last_resume: Duration,
}

impl Tables {
    /// Creates empty tables for the lane `home`.
    #[must_use]
    pub fn new(home: Home, snapshot: Arc<Snapshot>, seed: u64) -> Self {
        let mut endpoints = Endpoints::default();
        endpoints.sync(&snapshot, Duration::ZERO);
        endpoints.mark_replaced();
        let mut cookies = Cookies::default();
        cookies.sync(&endpoints, Duration::ZERO);
        Self {
            home,
            snapshot,
            inbox: Vec::new(),
            stage_queues: StageQueues::default(),
            segments: Vec::new(),
            cookies,
            tracked_flows: TrackedFlows::default(),
            held_requests: HeldRequests::default(),
            warmups: Warmups::default(),
            demand: Demand::default(),
            zone_spill: ZoneSpill::default(),
            recent_counts: RecentCounts::default(),
            shared_health: SharedHealth::default(),
            peer_reports: Arc::default(),
            silent_zones: SilentZones::new(),
            outcomes: Outcomes::default(),
            report: Arc::default(),
            flows: Flows::default(),
            requests: Requests::new(&home),
            retry_budgets: RetryBudgets::default(),
            policies: Arc::new(Policies::with_defaults()),
            endpoints,
            counters: Counters::default(),
            histograms: LatencyHistograms::default(),
            rng: SmallRng::seed_from_u64(seed),
            last_tick: Duration::ZERO,
            last_drained: Duration::ZERO,
            max_wait: Duration::ZERO,
            last_resume: Duration::ZERO,
        }
    }

    /// Creates the sealed ticket of `packet`'s flow for `side`.
    #[must_use]
    pub fn seal_ticket(
        &self,
        side: Side,
        packet: &Packet,
        home: Home,
        target: Option<Target>,
    ) -> bytes::Bytes {
        self.snapshot.keys.seal(&Ticket {
            side,
            service: packet.service,
            flow: packet.key(),
            home,
            target,
        })
    }

    /// Returns the number of packets and segments not processed in this tick yet.
    #[must_use]
    pub fn pending_input(&self) -> usize {
        self.inbox.len() + self.segments.len()
    }

    /// Returns the number of unfinished requests, unopened flows and waiting segments; a lane
    /// that passed a segment lately counts as one more.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> usize {
        self.requests.in_flight(now)
            + self.flows.unopened_count()
            + self.held_requests.len()
            + usize::from(self.tracked_flows.is_active(now))
    }

    /// Returns one table, or all of them, as JSON; `None` for an unknown name.
    #[must_use]
    pub fn dump(&self, name: Option<&str>) -> Option<Value> {
        match name {
            None => Some(json!({
                "lane": self.home,
                "counters": self.counters,
                "endpoints": self.endpoints,
                "flows": self.flows,
                "requests": self.requests,
                "tracks": self.tracked_flows,
                "held": self.held_requests,
                "health": self.shared_health,
                "silent": self.silent_zones,
                "outcomes": self.outcomes,
                "report": self.report,
                "demand": self.demand,
                "spill": self.zone_spill,
                "snapshot": self.dump_snapshot(),
            })),
            Some("counters") => Some(json!(self.counters)),
            Some("endpoints") => Some(json!(self.endpoints)),
            Some("flows") => Some(json!(self.flows)),
            Some("requests") => Some(json!(self.requests)),
            Some("tracks") => Some(json!(self.tracked_flows)),
            Some("held") => Some(json!(self.held_requests)),
            Some("health") => Some(json!(self.shared_health)),
            Some("silent") => Some(json!(self.silent_zones)),
            Some("outcomes") => Some(json!(self.outcomes)),
            Some("report") => Some(json!(self.report)),
            Some("demand") => Some(json!(self.demand)),
            Some("spill") => Some(json!(self.zone_spill)),
            Some("snapshot") => Some(self.dump_snapshot()),
            Some(_) => None,
        }
    }

    fn dump_snapshot(&self) -> Value {
        json!({
            "era": self.snapshot.revision.era,
            "revision": self.snapshot.revision.number,
            "hosts": self.snapshot.hosts,
            "lease": self.snapshot.lease,
            "leaving": self.snapshot.leaving,
            "services": self.snapshot.services.values().collect::<Vec<_>>(),
        })
    }
}

/// A datagram to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingDatagram {
    /// Destination address.
    pub to: std::net::SocketAddr,
    /// Packet to encode and send.
    pub packet: Packet,
}

/// Actions that a tick produced, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Datagrams to send.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Segments to forward and flows to reset.
    pub relay_actions: Vec<RelayAction>,
}

impl Outbox {
    /// Queues `packet` for sending to `to`.
    pub fn send(&mut self, to: std::net::SocketAddr, packet: Packet) {
        self.datagrams.push(OutgoingDatagram { to, packet });
    }

    /// Queues a reply without a ticket to the caller of `packet`.
    pub fn reply(&mut self, packet: &Packet, body: Body) {
        self.send(packet.caller, packet.reply(bytes::Bytes::new(), body));
    }
}
