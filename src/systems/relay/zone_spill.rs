//! Decides which share of a service's new flows leaves the zone of this host.
//!
//! Flows leave only while the own zone lacks capacity and another zone has some and is expected
//! to answer sooner, the cost of the crossing included. All hosts of a zone see the same
//! shortage, so each moves its share in small steps, and counts only on its part of half of the
//! free capacity that the other zone reports.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::busy_slots::slot_time;
use crate::clock::millis;
use crate::id::{Id, Name};
use crate::snapshot::Host;
use crate::tables::{EndpointRow, Tables};

/// Interval between two updates of the shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Largest rise of a share in 100 ms.
pub const MAX_RISE: f64 = 0.1;

/// Largest fall of a share in 100 ms.
pub const MAX_FALL: f64 = 0.05;

/// Largest share: the rest of the flows measures how the own zone answers.
const MAX_SHARE: f64 = 0.9;

/// Fall of a share in [`UPDATE_INTERVAL`] while the own zone is neither short nor clearly free. It
/// is slow, so that the share does not swing around the point at which the shortage ends.
const SLOW_FALL: f64 = 0.01;

/// Share of the target latency within which requests should be answered; the own zone lacks
/// capacity if they take longer.
const LATENCY_SHARE: f64 = 0.6;

/// Share of that time, and of the slots, below which the own zone has free capacity again.
const FREE_SHARE: f64 = 0.8;

/// Part of the own zone's slots that is in use when it lacks capacity. Slow answers of a zone with
/// fewer busy slots have another cause, which sending flows away does not mend.
const MIN_USED_SHARE: f64 = 0.5;

/// Part of a zone's free capacity that hosts of other zones count on. The rest is for its own
/// callers, whose demand may rise before this is reported.
const SPARE_SHARE: f64 = 0.5;

/// Share of a zone's hosts with waiting requests from which on the zone counts as full. Requests
/// wait at single hosts now and then although their zone has free slots.
const MIN_WAITING_SHARE: f64 = 1.0 / 3.0;

/// Time for which the own zone counts as short after a request had to wait.
const SHORTAGE_PERIOD: Duration = Duration::from_millis(500);

/// Part of the expected time that a crossing must save at least, since answer times vary.
const MIN_GAIN: f64 = 0.1;

/// Expected answer time of a zone without measurements, as a part of the own zone's, so that a
/// few flows are sent there to measure it.
const UNKNOWN_TIME_SHARE: f64 = 0.5;

/// Load and speed of a service's endpoints in one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneState {
    /// Slots of the endpoints that may get flows.
    pub slots: f64,
    /// Slots that the requests of the hosts there keep busy, whatever the zone of their endpoints.
    pub running: f64,
    /// True if requests wait for capacity there.
    pub is_short: bool,
    /// Mean time to answer a request in seconds, if known.
    pub answer_time: Option<f64>,
    /// Mean time to open a flow in seconds, if known.
    pub open_time: Option<f64>,
}

/// What the decision for a service depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpillInput {
    /// State of the own zone.
    pub own: ZoneState,
    /// States of the other zones.
    pub others: Vec<(Name, ZoneState)>,
    /// Time for which a new request waits on this host, in seconds.
    pub queue_time: f64,
    /// Target latency in seconds.
    pub target: f64,
    /// New flows that this host sends to endpoints in a second.
    pub placed: f64,
    /// Number of hosts that send flows to other zones, this one included.
    pub spilling_hosts: f64,
    /// Delay in seconds that a crossing must save.
    pub crossing_cost: f64,
}

/// Outcome of a decision, with the times behind it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpillDecision {
    /// Share of the flows that leaves the zone.
    pub share: f64,
    /// Zones that may take flows, with their weights.
    pub zones: SmallVec<[(Name, f64); 4]>,
    /// True if the own zone lacks capacity.
    pub is_short: bool,
    /// Expected time in the own zone, in seconds.
    pub time_here: f64,
    /// Expected time in the best of the other zones, in seconds.
    pub time_there: Option<f64>,
}

/// Updates the plans of all services.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    if now < tables.zone_spill.last_update + UPDATE_INTERVAL {
        return;
    }
    tables.zone_spill.last_update = now;
    let services: Vec<Id> = tables.snapshot.services.keys().copied().collect();
    for service in services {
        update_plan(tables, service, now);
    }
}

/// Decides about the flows of a service whose present share is `share`.
#[must_use]
pub fn decide(input: &SpillInput, share: f64) -> SpillDecision {
    let own = &input.own;
    let answer_time = own.answer_time.unwrap_or_default();
    let own_time = own.open_time.unwrap_or_default() + answer_time + input.queue_time;
    let aim = LATENCY_SHARE * input.target;
    let is_loaded = own.running >= MIN_USED_SHARE * own.slots;
    let is_short = own.is_short || (is_loaded && own_time > aim);
    let has_room = own.running < FREE_SHARE * own.slots;
    let is_free = !own.is_short && has_room && own_time < FREE_SHARE * aim;
    let mut decision = SpillDecision {
        is_short,
        time_here: own_time,
        ..SpillDecision::default()
    };
    let mut slower = SmallVec::new();
    let (mut max_share, mut max_slower) = (0.0, 0.0);
    for (zone, state) in &input.others {
        let free = free_slots(state);
        if free <= 0.0 {
            continue;
        }
        let answer_there = state
            .answer_time
            .unwrap_or(answer_time * UNKNOWN_TIME_SHARE);
        let open_there = state.open_time.or(own.open_time).unwrap_or_default();
        let their_time = open_there + answer_there + input.crossing_cost;
        let best = decision.time_there.get_or_insert(their_time);
        *best = best.min(their_time);
        let allowed = free * SPARE_SHARE / input.spilling_hosts.max(1.0);
        let slot_time = slot_time(answer_there, open_there);
        let part = allowed / (input.placed * slot_time).max(f64::MIN_POSITIVE);
        if own.slots > 0.0 && their_time > own_time * (1.0 - MIN_GAIN) {
            slower.push((zone.clone(), allowed));
            max_slower += part;
        } else {
            decision.zones.push((zone.clone(), allowed));
            max_share += part;
        }
    }
    let is_gain = !decision.zones.is_empty();
    if !is_gain {
        // The share ends step by step. All flows coming back at once would fill the own zone.
        decision.zones = slower;
        max_share = max_slower;
    }
    // The excess over the aim tells how many of the flows are too many here.
    let excess = (1.0 - aim / own_time.max(aim)).max(MAX_RISE / 4.0);
    let wanted = if is_short && is_gain {
        share + excess.min(MAX_RISE)
    } else if is_free || (!is_gain && decision.time_there.is_none_or(|time| time > aim)) {
        share - MAX_FALL
    } else {
        share - SLOW_FALL
    };
    decision.share = wanted
        .min(max_share)
        .max(share - MAX_FALL)
        .clamp(0.0, MAX_SHARE);
    decision
}

/// Returns true if an endpoint may get flows of another zone.
fn is_usable(tables: &Tables, row: &EndpointRow, now: Duration) -> bool {
    row.accepts_work(now)
        && row.down.is_none()
        && row.spec.warmup_left.is_zero()
        && !tables.snapshot.evacuated_zones.contains(&row.spec.zone)
}

/// Returns the number of slots of a zone that are not in use.
fn free_slots(state: &ZoneState) -> f64 {
    if state.is_short {
        0.0
    } else {
        state.slots - state.running
    }
}

fn update_plan(tables: &mut Tables, service: Id, now: Duration) {
    let input = input_of(tables, service, now);
    if input.own.answer_time.is_none() && input.own.slots > 0.0 {
        tables.zone_spill.remove_plan(service);
        return;
    }
    let mut plan = tables.zone_spill.plan(service).cloned().unwrap_or_default();
    let decision = decide(&input, plan.share);
    if decision.is_short || decision.share > 0.0 {
        tables.demand.note_shortage(service, now);
    }
    plan.share = decision.share;
    plan.zones = decision.zones;
    // At most ten tenths.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tenths = (plan.share * 10.0).ceil() as u32;
    if tenths != plan.logged_tenths {
        plan.logged_tenths = tenths;
        let loads = tables.peer_reports.loads(service, now);
        let newest = loads.map(|load| load.taken_at).max();
        let seconds = |time: f64| millis(Duration::from_secs_f64(time.max(0.0)));
        log::info!(
            service:? = service, share = f64::from(tenths) / 10.0,
            cause = if decision.is_short { "no_capacity" } else { "capacity_returned" },
            here_ms = seconds(decision.time_here),
            there_ms = decision.time_there.map(seconds), zones = plan.zones.len(),
            placed = input.placed.round(), running = input.own.running, slots = input.own.slots,
            report_ms = newest.map(|at| millis(now.saturating_sub(at)));
            "zone_spill"
        );
    }
    tables.zone_spill.set_plan(service, plan);
}

/// Collects what the decision for a service depends on.
pub(super) fn input_of(tables: &Tables, service: Id, now: Duration) -> SpillInput {
    let demand = tables.demand.get(service);
    let held = &tables.held_requests;
    let limit = held.limit(service).unwrap_or_default();
    let waiting = held.iter().filter(|row| row.service == service).count();
    // Far below 2^52.
    #[allow(clippy::cast_precision_loss)]
    let queue_time = waiting as f64 * limit.answer_time / limit.requests.max(1.0);
    let routes = tables.snapshot.routes.values();
    let routes = routes.filter(|route| route.targets.iter().any(|(id, _)| *id == service));
    let target = routes.map(|route| route.target_latency).min();
    let mut input = SpillInput {
        queue_time,
        target: target.unwrap_or_default().as_secs_f64(),
        placed: demand.placed_rate(now),
        crossing_cost: tables.policies.zone_cost.as_secs_f64(),
        spilling_hosts: 1.0,
        ..SpillInput::default()
    };
    let own_host = tables.snapshot.hosts.iter();
    let mut own_host = own_host.filter(|host| host.id == tables.home.host);
    let own_zone = own_host.next().map(|host| &host.availability_zone);
    let mut zones: BTreeMap<&Name, ZoneState> = BTreeMap::new();
    let mut local_zone = None;
    for row in tables.endpoints.of_service(service) {
        let state = if row.spec.local {
            local_zone = Some(&row.spec.zone);
            &mut input.own
        } else {
            zones.entry(&row.spec.zone).or_default()
        };
        if is_usable(tables, row, now) {
            state.slots += f64::from(row.spec.slots);
        }
    }
    let spill = &tables.zone_spill;
    let add_times = |zone: &Name, state: &mut ZoneState| {
        state.open_time = spill.open_time(zone, now);
        state.answer_time = spill.answer_time(service, zone, now);
    };
    if let Some(zone) = local_zone {
        add_times(zone, &mut input.own);
    }
    input.own.running = f64::from(tables.endpoints.own_requests(service));
    input.own.is_short = waiting > 0
        || demand
            .last_wait
            .is_some_and(|time| now < time + SHORTAGE_PERIOD);
    for (zone, mut state) in zones {
        add_times(zone, &mut state);
        input.others.push((zone.clone(), state));
    }
    add_reports(tables, service, own_zone, &mut input, now);
    input
}

/// What the hosts of a zone report about a service.
#[derive(Default)]
struct ZoneLoad {
    busy_slots: f64,
    hosts: u32,
    waiting_hosts: u32,
}

impl ZoneLoad {
    fn is_short(&self) -> bool {
        f64::from(self.waiting_hosts) >= MIN_WAITING_SHARE * f64::from(self.hosts)
    }
}

/// Adds what other hosts report about the service.
///
/// A zone with live hosts of which none has reported, while others have, may be cut off and
/// counts as full. Without any report, this host's own observations have to do: the hosts of
/// a zone are assumed to have as many requests in progress each as this one.
fn add_reports(
    tables: &Tables,
    service: Id,
    own_zone: Option<&Name>,
    input: &mut SpillInput,
    now: Duration,
) {
    let hosts_in = |zone: &Name| {
        let hosts = tables.snapshot.hosts.iter();
        hosts
            .filter(|host: &&Host| host.availability_zone == *zone)
            .count()
    };
    let mut reported: BTreeMap<&Name, ZoneLoad> = BTreeMap::new();
    for load in tables.peer_reports.loads(service, now) {
        let zone = reported.entry(load.zone).or_default();
        zone.busy_slots += load.row.busy_slots;
        zone.hosts += load.hosts;
        zone.waiting_hosts += load.short_hosts;
        input.spilling_hosts += f64::from(load.short_hosts);
    }
    let zone_hosts = own_zone.map_or(1, hosts_in).max(1);
    if reported.is_empty() {
        // Far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let zone_hosts = zone_hosts as f64;
        input.own.running *= zone_hosts;
        input.spilling_hosts = zone_hosts;
        return;
    }
    if let Some(report) = own_zone.and_then(|zone| reported.get(zone)) {
        input.own.running += report.busy_slots;
    }
    for (zone, state) in &mut input.others {
        match reported.get(zone) {
            Some(report) => {
                state.running += report.busy_slots;
                state.is_short = report.is_short();
            }
            None if hosts_in(zone) > 0 => state.is_short = true,
            None => {}
        }
    }
}
