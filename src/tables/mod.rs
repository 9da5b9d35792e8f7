//! Entities of one traffic lane.
//!
//! A lane is a traffic thread with its own address and its own tables; no table
//! is shared between threads. Systems in [`systems`](crate::systems) run over
//! them. Rows are plain structs, keyed by small ids.

mod cookies;
mod counters;
mod ended_requests;
mod endpoints;
mod flows;
mod held_requests;
mod histograms;
mod inbox;
mod recent_counts;
mod requests;
mod retry_budgets;
mod tracked_flows;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

pub use self::cookies::{CookieEndpoint, Cookies, cookie_of};
pub use self::counters::Counters;
pub use self::ended_requests::ENDED_RETENTION;
pub use self::endpoints::{DownState, EndpointRow, Endpoints, StalledFlow};
pub use self::flows::{Flow, FlowState, Flows};
pub use self::held_requests::{HeldRequest, HeldRequests};
pub use self::histograms::{LatencyHistograms, observe};
pub use self::inbox::{Arrival, Stage, StageQueues};
pub use self::recent_counts::RecentCounts;
pub use self::requests::{Parts, Request, RequestId, RequestState, Requests};
pub use self::retry_budgets::{RETRY_BURST, RetryBudgets};
pub use self::tracked_flows::{TrackedFlow, TrackedFlows, TrackedState};

use crate::packet::{Body, Packet};
use crate::segment::{RelayAction, Segment};
use crate::snapshot::Snapshot;
use crate::systems::Policies;
use crate::ticket::{Home, Side, Target, Ticket};

/// All tables of a lane.
#[derive(Debug)]
pub struct Tables {
    /// This lane.
    pub home: Home,
    /// What the control thread last published.
    pub snapshot: Arc<Snapshot>,
    /// Packets of this tick that are not routed.
    pub inbox: Vec<Arrival>,
    /// Packets of this tick by the system they are for.
    pub stage_queues: StageQueues,
    /// Segments of this tick.
    pub segments: Vec<Segment>,
    /// Endpoints by the cookies of their flows.
    pub cookies: Cookies,
    /// Flows whose segments pass through this lane.
    pub tracked_flows: TrackedFlows,
    /// Requests of those flows that wait until there is room.
    pub held_requests: HeldRequests,
    /// Answers and repeats of those flows of late.
    pub recent_counts: RecentCounts,
    /// Flows this lane is home to.
    pub flows: Flows,
    /// Requests this lane is home to.
    pub requests: Requests,
    /// Endpoints, with this lane's own observations of them.
    pub endpoints: Endpoints,
    /// Retry budgets of services.
    pub retry_budgets: RetryBudgets,
    /// Decisions about load.
    pub policies: Arc<Policies>,
    /// Counters since the start.
    pub counters: Counters,
    /// Histograms since the start.
    pub histograms: LatencyHistograms,
    /// Seeded source of random choices.
    pub rng: SmallRng,
    /// Time of the last tick.
    pub last_tick: Duration,
    /// Time after which every packet of this tick arrived.
    pub last_drained: Duration,
    /// Longest time that a packet of this tick may have waited unread.
    pub max_wait: Duration,
    /// Time of the last tick after a pause.
    pub last_resume: Duration,
}

impl Tables {
    /// Creates empty tables for the lane `home`.
    #[must_use]
    pub fn new(home: Home, snapshot: Arc<Snapshot>, seed: u64) -> Self {
        let mut endpoints = Endpoints::default();
        endpoints.sync(&snapshot, Duration::ZERO);
        Self {
            home,
            snapshot,
            inbox: Vec::new(),
            stage_queues: StageQueues::default(),
            segments: Vec::new(),
            cookies: Cookies::default(),
            tracked_flows: TrackedFlows::default(),
            held_requests: HeldRequests::default(),
            recent_counts: RecentCounts::default(),
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

    /// Seals a ticket of `packet`'s flow for `side`.
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

    /// Packets and segments that wait for this tick.
    #[must_use]
    pub fn pending_input(&self) -> usize {
        self.inbox.len() + self.segments.len()
    }

    /// Requests that still run and flows that still open.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> usize {
        self.requests.in_flight(now)
            + self.flows.unopened_count()
            + usize::from(self.tracked_flows.is_active(now))
    }

    /// One table, or all of them, as JSON; `None` for an unknown name.
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
                "snapshot": self.dump_snapshot(),
            })),
            Some("counters") => Some(json!(self.counters)),
            Some("endpoints") => Some(json!(self.endpoints)),
            Some("flows") => Some(json!(self.flows)),
            Some("requests") => Some(json!(self.requests)),
            Some("tracks") => Some(json!(self.tracked_flows)),
            Some("held") => Some(json!(self.held_requests)),
            Some("snapshot") => Some(self.dump_snapshot()),
            Some(_) => None,
        }
    }

    fn dump_snapshot(&self) -> Value {
        json!({
            "revision": self.snapshot.revision,
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
    /// Where to.
    pub to: std::net::SocketAddr,
    /// What.
    pub packet: Packet,
}

/// Actions of a tick, in order.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Datagrams to send.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Segments to pass on, and resets.
    pub relay_actions: Vec<RelayAction>,
}

impl Outbox {
    /// Sends `packet` to `to`.
    pub fn send(&mut self, to: std::net::SocketAddr, packet: Packet) {
        self.datagrams.push(OutgoingDatagram { to, packet });
    }

    /// Answers the caller of `packet` without a ticket.
    pub fn reply(&mut self, packet: &Packet, body: Body) {
        self.send(packet.caller, packet.reply(bytes::Bytes::new(), body));
    }
}
