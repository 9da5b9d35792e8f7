//! Tests the lease: at most one host at a time may dispatch at-most-once requests of a flow.
//!
//! `LEASE_SEED` repeats the cases of a printed seed; `LEASE_CASES` sets the number of
//! cases per test.

mod zone;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::rc::Rc;

use jacinthhinge::control::Event;
use jacinthhinge::control::LeaseTiming;
use jacinthhinge::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use zone::{LATENCY, Node, Zone};

const SECOND: Duration = Duration::from_secs(1);

/// Shortest time between the last dispatch of one home and the first of the next.
const HANDOVER_GAP: Duration = Duration::from_millis(500);
const LEASE_TIME: Duration = Duration::from_millis(1_500);
const FLOW_COUNT: u64 = 12;
const HOST_COUNT: usize = 6;
const DEFAULT_CASES: u32 = 2_600;
const FIRST_FAULT_MS: u64 = 2_500;
const LAST_FAULT_MS: u64 = 12_000;
const END_TIME: Duration = Duration::from_secs(18);

/// A fault; `from` and `to` are bit masks of hosts.
#[derive(Clone, Debug)]
enum Fault {
    Cut { from: u8, to: u8, millis: u64 },
    Loss { percent: u8, millis: u64 },
    Delay { max_ms: u64, millis: u64 },
    Pause { host: usize, millis: u64 },
    Kill { host: usize },
    Restart { host: usize },
    Leave { host: usize },
    ToggleListing { host: usize },
    SetPlatformLink { host: usize, is_linked: bool },
}

#[derive(Clone, Debug)]
struct Case {
    hosts: usize,
    seed: u64,
    platform_up: bool,
    faults: Vec<(u64, Fault)>,
}

type LeaseHolder = (usize, Incarnation);
type DispatchSpans = BTreeMap<(u64, LeaseHolder), Vec<(Duration, Duration)>>;

/// Time spans in which each host could have dispatched requests of each flow.
#[derive(Default)]
struct DispatchRecord {
    spans: DispatchSpans,
    last_noted: BTreeMap<LeaseHolder, Duration>,
}

impl DispatchRecord {
    /// Adds the span since the last call in which the host could have dispatched.
    fn note(&mut self, now: Duration, node: &Node) {
        let holder = (node.index, node.incarnation);
        let since = self.last_noted.insert(holder, now).unwrap_or(now);
        let until = (node.started_at + node.snapshot.partial_lease.until).min(now);
        let local_since = since.saturating_sub(node.started_at);
        for flow in 0..FLOW_COUNT {
            if may_dispatch(node, flow, local_since) {
                self.extend(flow, holder, since, until);
            }
        }
    }

    fn extend(&mut self, flow: u64, holder: LeaseHolder, since: Duration, until: Duration) {
        let spans = self.spans.entry((flow, holder)).or_default();
        match spans.last_mut() {
            Some(last) if last.1 >= since => last.1 = last.1.max(until),
            _ => spans.push((since, until)),
        }
    }

    /// Fails if two hosts could dispatch for one flow less than `HANDOVER_GAP` apart.
    fn check_exclusive(&self) -> Result<(), TestCaseError> {
        for ((flow, holder), spans) in &self.spans {
            for ((_, other), others) in self.spans.range((*flow, (0, 0))..(*flow + 1, (0, 0))) {
                if holder < other {
                    check_disjoint(*flow, (*holder, spans), (*other, others))?;
                }
            }
        }
        Ok(())
    }
}

fn check_disjoint(
    flow: u64,
    (holder, spans): (LeaseHolder, &Vec<(Duration, Duration)>),
    (other, others): (LeaseHolder, &Vec<(Duration, Duration)>),
) -> Result<(), TestCaseError> {
    for (start, end) in spans {
        for (from, to) in others {
            prop_assert!(
                *end + HANDOVER_GAP <= *from || *to + HANDOVER_GAP <= *start,
                "flow {flow}: {holder:?} {start:?}..{end:?} and {other:?} {from:?}..{to:?}"
            );
        }
    }
    Ok(())
}

fn may_dispatch(node: &Node, flow: u64, now: Duration) -> bool {
    let key = FlowKey {
        caller: SocketAddr::from(([127, 0, 0, 9], 9)),
        flow,
    };
    let home = node.snapshot.home(&key);
    let home = home.filter(|home| home.incarnation == node.incarnation);
    home.is_some_and(|home| node.snapshot.may_dispatch(&key, &home, now))
}

/// Network faults in force, each with its end time; cuts hold bit masks of hosts.
#[derive(Default)]
struct NetworkFaults {
    cuts: Vec<(u8, u8, Duration)>,
    loss: (u8, Duration),
    delay: (u64, Duration),
}

impl NetworkFaults {
    /// Returns the delay of each copy that is delivered; none if the message is lost.
    fn delivery_delays(
        &self,
        rng: &mut SmallRng,
        now: Duration,
        from: usize,
        to: usize,
    ) -> Vec<Duration> {
        let is_cut = self.cuts.iter().any(|(from_mask, to_mask, until)| {
            now < *until && from_mask >> from & 1 == 1 && to_mask >> to & 1 == 1
        });
        let is_lost = now < self.loss.1 && rng.random_range(0..100) < self.loss.0;
        if is_cut || is_lost {
            return vec![];
        }
        if now >= self.delay.1 {
            return vec![LATENCY];
        }
        let copies = rng.random_range(1..=2);
        let mut extra_delay = || Duration::from_millis(rng.random_range(0..=self.delay.0));
        (0..copies).map(|_| LATENCY + extra_delay()).collect()
    }
}

fn lease_timing(hold_time: Duration) -> LeaseTiming {
    LeaseTiming {
        lease_time: LEASE_TIME,
        hold_time,
        needs_majority: true,
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0..HOST_COUNT;
    let millis = 200..8_000_u64;
    prop_oneof![
        3 => (any::<u8>(), any::<u8>(), millis.clone())
            .prop_map(|(from, to, millis)| Fault::Cut { from, to, millis }),
        3 => (any::<u8>(), millis.clone())
            .prop_map(|(side, millis)| Fault::Cut { from: side, to: !side, millis }),
        2 => (10..70_u8, millis.clone())
            .prop_map(|(percent, millis)| Fault::Loss { percent, millis }),
        2 => (1..3_000_u64, millis.clone())
            .prop_map(|(max_ms, millis)| Fault::Delay { max_ms, millis }),
        3 => (host.clone(), millis).prop_map(|(host, millis)| Fault::Pause { host, millis }),
        2 => host.clone().prop_map(|host| Fault::Kill { host }),
        3 => host.clone().prop_map(|host| Fault::Restart { host }),
        1 => host.clone().prop_map(|host| Fault::Leave { host }),
        2 => host.clone().prop_map(|host| Fault::ToggleListing { host }),
        2 => (host, any::<bool>()).prop_map(|(host, is_linked)| Fault::SetPlatformLink { host, is_linked }),
    ]
}

fn case(hosts: usize) -> impl Strategy<Value = Case> {
    let faults = vec((FIRST_FAULT_MS..LAST_FAULT_MS, fault()), 1..8);
    (any::<u64>(), any::<bool>(), faults).prop_map(move |(seed, platform_up, mut faults)| {
        faults.sort_by_key(|(at, _)| *at);
        Case {
            hosts,
            seed,
            platform_up,
            faults,
        }
    })
}

fn run_case(case: &Case, timing: LeaseTiming) -> DispatchRecord {
    let faults = Rc::new(RefCell::new(NetworkFaults::default()));
    let record = Rc::new(RefCell::new(DispatchRecord::default()));
    let mut zone = new_zone(case, timing, &faults, &record);
    for (at, fault) in &case.faults {
        zone.run_until(Duration::from_millis(*at));
        inject(&mut zone, &faults, fault);
    }
    zone.run_until(END_TIME);
    drop(zone);
    Rc::into_inner(record)
        .expect("the zone is dropped")
        .into_inner()
}

fn new_zone(
    case: &Case,
    timing: LeaseTiming,
    faults: &Rc<RefCell<NetworkFaults>>,
    record: &Rc<RefCell<DispatchRecord>>,
) -> Zone {
    let mut zone = Zone::new();
    zone.lease_timing = timing;
    zone.seeds = (0..case.hosts).map(zone::peer_addr).collect();
    zone.platform.up = case.platform_up;
    zone.set_host_list(0..case.hosts);
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let link_faults = Rc::clone(faults);
    zone.network.link_model = Box::new(move |now, from, to| {
        link_faults
            .borrow()
            .delivery_delays(&mut rng, now, from, to)
    });
    let observed = Rc::clone(record);
    zone.observer = Box::new(move |now, node| observed.borrow_mut().note(now, node));
    (0..case.hosts).for_each(|index| zone.start(index));
    zone
}

fn inject(zone: &mut Zone, faults: &RefCell<NetworkFaults>, fault: &Fault) {
    let after = |millis: u64| zone.now + Duration::from_millis(millis);
    match *fault {
        Fault::Cut { from, to, millis } => {
            let mut faults = faults.borrow_mut();
            faults.cuts.push((from, to, after(millis)));
        }
        Fault::Loss { percent, millis } => faults.borrow_mut().loss = (percent, after(millis)),
        Fault::Delay { max_ms, millis } => faults.borrow_mut().delay = (max_ms, after(millis)),
        Fault::Pause { host, millis } => zone.pause(host, Duration::from_millis(millis)),
        Fault::Kill { host } => zone.kill(host),
        Fault::Restart { host } => {
            zone.kill(host);
            zone.start(host);
        }
        Fault::Leave { host } => {
            zone.deliver(host, Event::Leave);
            zone.deliver(host, Event::Drained);
        }
        Fault::ToggleListing { host } => toggle_listing(zone, host),
        Fault::SetPlatformLink { host, is_linked } => {
            if let Some(node) = zone.nodes.get_mut(&host) {
                node.reaches_platform = is_linked;
            }
        }
    }
}

/// Adds a host to the platform's host list, or removes it if it has stopped.
fn toggle_listing(zone: &mut Zone, host: usize) {
    let hosts = &zone.platform.host_list.hosts;
    let mut listed: Vec<usize> = (0..HOST_COUNT)
        .filter(|index| {
            hosts
                .iter()
                .any(|(_, host)| *host.name == zone::host_name(*index))
        })
        .collect();
    if !listed.contains(&host) {
        listed.push(host);
    } else if zone.nodes.get(&host).is_none_or(|node| node.exited) {
        listed.retain(|index| *index != host);
    }
    zone.set_host_list(listed);
}

fn run_cases(name: &str, hosts: usize, timing: LeaseTiming) -> Result<(), TestError<Case>> {
    let seed = std::env::var("LEASE_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seed: u64 = seed.unwrap_or_else(|| rand::rng().random());
    let case_count = std::env::var("LEASE_CASES")
        .ok()
        .and_then(|count| count.parse().ok());
    let cases = case_count.unwrap_or(DEFAULT_CASES);
    // The test harness shows what `println` writes only after the end of the test.
    let _ = writeln!(
        std::io::stderr(),
        "{name}, {hosts} hosts: {cases} cases, LEASE_SEED={seed}"
    );
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner.run(&case(hosts), |case| {
        run_case(&case, timing).check_exclusive()
    })
}

fn one_home_dispatches(hosts: usize) {
    let timing = lease_timing(LEASE_TIME + HANDOVER_GAP);
    if let Err(err) = run_cases("one home dispatches", hosts, timing) {
        panic!("{err}");
    }
}

/// Fails unless the cases violate the lease under this timing.
fn expect_counterexample(name: &str, timing: LeaseTiming) {
    let outcome = run_cases(name, 4, timing);
    let Err(TestError::Fail(reason, _)) = outcome else {
        panic!("{name}: no case violated the lease");
    };
    assert!(reason.message().starts_with("flow"), "{reason}");
}

#[test]
fn one_home_dispatches_among_two() {
    one_home_dispatches(2);
}

#[test]
fn one_home_dispatches_among_three() {
    one_home_dispatches(3);
}

#[test]
fn one_home_dispatches_among_four() {
    one_home_dispatches(4);
}

#[test]
fn one_home_dispatches_among_five() {
    one_home_dispatches(5);
}

#[test]
fn without_hold_time_two_homes_dispatch() {
    expect_counterexample("no hold time", lease_timing(Duration::ZERO));
}

#[test]
fn with_hold_time_shorter_than_the_lease_two_homes_dispatch() {
    expect_counterexample(
        "hold time without the lease time",
        lease_timing(HANDOVER_GAP),
    );
}

#[test]
fn without_majority_two_homes_dispatch() {
    let timing = LeaseTiming {
        needs_majority: false,
        ..lease_timing(LEASE_TIME + HANDOVER_GAP)
    };
    expect_counterexample("no majority required", timing);
}

/// Returns the flows for which some host may dispatch.
fn dispatchable_flows(zone: &Zone) -> Vec<u64> {
    let may =
        |node: &Node, flow| may_dispatch(node, flow, zone.now.saturating_sub(node.started_at));
    (0..FLOW_COUNT)
        .filter(|flow| zone.nodes.values().any(|node| may(node, *flow)))
        .collect()
}

/// Returns the hosts that hold a lease now.
fn lease_holders(zone: &Zone) -> Vec<usize> {
    let nodes = zone.nodes.values();
    nodes
        .filter(|node| node.is_leased(zone.now))
        .map(|node| node.index)
        .collect()
}

#[test]
fn all_hosts_of_a_zone_without_faults_hold_leases() {
    for count in [1, 2, 4, 40] {
        let mut zone = Zone::with_hosts(count);
        zone.run_for(12 * SECOND);
        let all: Vec<usize> = (0..count).collect();
        assert_eq!(lease_holders(&zone), all, "{count} hosts");
        for _ in 0..100 {
            zone.run_for(SECOND / 10);
            assert_eq!(lease_holders(&zone), all, "{count} hosts");
        }
    }
}

#[test]
fn all_hosts_of_a_large_zone_hold_leases_all_the_time() {
    let mut zone = Zone::with_hosts(108);
    zone.run_for(14 * SECOND);
    for _ in 0..30 {
        zone.run_for(SECOND / 10);
        assert_eq!(lease_holders(&zone).len(), 108);
    }
}

#[test]
fn survivors_hold_leases_again_after_a_death() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(12 * SECOND);
    zone.kill(0);
    zone.run_for(3 * SECOND);
    assert!(lease_holders(&zone).is_empty());
    let limit = LeaseTiming::default().hold_time + SECOND * 3 / 2;
    let regained = zone.run_until_condition(limit, |zone| lease_holders(zone) == [1, 2, 3]);
    assert!(regained.is_some());
}

#[test]
fn a_minority_holds_no_lease() {
    let mut zone = Zone::with_hosts(5);
    zone.run_for(12 * SECOND);
    zone.network.link_model = Box::new(|_, from, to| {
        let is_cut = (from < 2) != (to < 2);
        if is_cut { vec![] } else { vec![LATENCY] }
    });
    zone.run_for(20 * SECOND);
    assert_eq!(lease_holders(&zone), [2, 3, 4]);
}

#[test]
fn a_new_host_joins_the_voter_set_and_holds_a_lease() {
    let mut zone = Zone::with_hosts(3);
    zone.platform.up = true;
    zone.set_host_list(0..3);
    zone.run_for(20 * SECOND);
    zone.set_host_list(0..4);
    zone.start(3);
    zone.run_for(20 * SECOND);
    assert_eq!(lease_holders(&zone), [0, 1, 2, 3]);
    let dump = serde_json::to_value(zone.nodes[&3].control.tables()).expect("dump");
    assert_eq!(
        dump["rosters"]["base"]["hosts"].as_array().map(Vec::len),
        Some(4)
    );
}

#[test]
fn a_death_stops_only_the_flows_whose_home_it_moves() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(12 * SECOND);
    assert_eq!(dispatchable_flows(&zone).len(), 12);
    zone.kill(0);
    let kept = dispatchable_flows(&zone);
    assert!(!kept.is_empty() && kept.len() < 12, "{kept:?}");
    for _ in 0..200 {
        zone.run_for(SECOND / 10);
        let flows = dispatchable_flows(&zone);
        assert!(
            kept.iter().all(|flow| flows.contains(flow)),
            "kept {kept:?}, dispatchable {flows:?}"
        );
    }
    assert_eq!(dispatchable_flows(&zone).len(), 12);
}

#[test]
fn join_and_leave_stop_only_the_flows_whose_home_they_move() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(12 * SECOND);
    zone.start(4);
    let mut least = 12;
    for _ in 0..150 {
        zone.run_for(SECOND / 10);
        least = least.min(dispatchable_flows(&zone).len());
    }
    assert_eq!(dispatchable_flows(&zone).len(), 12);
    assert!(
        (6..12).contains(&least),
        "fewest dispatchable flows: {least}"
    );
    zone.deliver(4, Event::Leave);
    zone.run_for(2 * SECOND);
    zone.deliver(4, Event::Drained);
    for _ in 0..150 {
        zone.run_for(SECOND / 10);
        assert!(dispatchable_flows(&zone).len() >= least);
    }
    assert_eq!(dispatchable_flows(&zone).len(), 12);
}
