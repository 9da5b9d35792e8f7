//! The lease: at most one host may dispatch once-only work for a flow.
//!
//! Set `LEASE_SEED` to a printed seed to run its cases again, and `LEASE_CASES`
//! to run more of them.

mod zone;

use std::cell::RefCell;
use std::collections::BTreeMap;
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

/// Time between the last dispatch of one home and the first of the next.
const GAP: Duration = Duration::from_millis(500);
const LEASE: Duration = Duration::from_millis(1_500);
const FLOWS: u64 = 12;
const HOSTS: usize = 6;
const CASES: u32 = 2_600;
const FAULTS_FROM: u64 = 2_500;
const FAULTS_TO: u64 = 12_000;
const END: Duration = Duration::from_secs(18);

#[derive(Clone, Debug)]
enum Fault {
    Cut { from: u8, to: u8, millis: u64 },
    Loss { percent: u8, millis: u64 },
    Delay { most: u64, millis: u64 },
    Pause { host: usize, millis: u64 },
    Kill { host: usize },
    Start { host: usize },
    Leave { host: usize },
    Relist { host: usize },
    Unlink { host: usize, linked: bool },
}

#[derive(Clone, Debug)]
struct Case {
    hosts: usize,
    seed: u64,
    platform: bool,
    faults: Vec<(u64, Fault)>,
}

type Holder = (usize, Incarnation);
type Spans = BTreeMap<(u64, Holder), Vec<(Duration, Duration)>>;

/// When each host could have dispatched for each flow.
#[derive(Default)]
struct Record {
    spans: Spans,
    seen: BTreeMap<Holder, Duration>,
}

impl Record {
    /// Notes what a host could have dispatched since it was last seen.
    fn note(&mut self, now: Duration, node: &Node) {
        let holder = (node.index, node.incarnation);
        let since = self.seen.insert(holder, now).unwrap_or(now);
        let until = (node.started_at + node.snapshot.partial_lease.until).min(now);
        let started = since.saturating_sub(node.started_at);
        for flow in 0..FLOWS {
            if may_dispatch(node, flow, started) {
                self.extend(flow, holder, since, until);
            }
        }
    }

    fn extend(&mut self, flow: u64, holder: Holder, since: Duration, until: Duration) {
        let spans = self.spans.entry((flow, holder)).or_default();
        match spans.last_mut() {
            Some(last) if last.1 >= since => last.1 = last.1.max(until),
            _ => spans.push((since, until)),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for ((flow, holder), spans) in &self.spans {
            for ((_, other), others) in self.spans.range((*flow, (0, 0))..(*flow + 1, (0, 0))) {
                if holder < other {
                    check_apart(*flow, (*holder, spans), (*other, others))?;
                }
            }
        }
        Ok(())
    }
}

fn check_apart(
    flow: u64,
    (holder, spans): (Holder, &Vec<(Duration, Duration)>),
    (other, others): (Holder, &Vec<(Duration, Duration)>),
) -> Result<(), TestCaseError> {
    for (start, end) in spans {
        for (from, to) in others {
            prop_assert!(
                *end + GAP <= *from || *to + GAP <= *start,
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

/// What the network does at the moment.
#[derive(Default)]
struct Weather {
    cuts: Vec<(u8, u8, Duration)>,
    loss: (u8, Duration),
    delay: (u64, Duration),
}

impl Weather {
    fn deliver(&self, rng: &mut SmallRng, now: Duration, from: usize, to: usize) -> Vec<Duration> {
        let cut = self.cuts.iter().any(|(froms, tos, until)| {
            now < *until && froms >> from & 1 == 1 && tos >> to & 1 == 1
        });
        let lost = now < self.loss.1 && rng.random_range(0..100) < self.loss.0;
        if cut || lost {
            return vec![];
        }
        if now >= self.delay.1 {
            return vec![LATENCY];
        }
        let copies = rng.random_range(1..=2);
        let mut late = || Duration::from_millis(rng.random_range(0..=self.delay.0));
        (0..copies).map(|_| LATENCY + late()).collect()
    }
}

fn scaled(hold: Duration) -> LeaseTiming {
    LeaseTiming {
        lease_time: LEASE,
        hold_time: hold,
        needs_majority: true,
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let host = 0..HOSTS;
    let millis = 200..8_000_u64;
    prop_oneof![
        3 => (any::<u8>(), any::<u8>(), millis.clone())
            .prop_map(|(from, to, millis)| Fault::Cut { from, to, millis }),
        3 => (any::<u8>(), millis.clone())
            .prop_map(|(side, millis)| Fault::Cut { from: side, to: !side, millis }),
        2 => (10..70_u8, millis.clone())
            .prop_map(|(percent, millis)| Fault::Loss { percent, millis }),
        2 => (1..3_000_u64, millis.clone())
            .prop_map(|(most, millis)| Fault::Delay { most, millis }),
        3 => (host.clone(), millis).prop_map(|(host, millis)| Fault::Pause { host, millis }),
        2 => host.clone().prop_map(|host| Fault::Kill { host }),
        3 => host.clone().prop_map(|host| Fault::Start { host }),
        1 => host.clone().prop_map(|host| Fault::Leave { host }),
        2 => host.clone().prop_map(|host| Fault::Relist { host }),
        2 => (host, any::<bool>()).prop_map(|(host, linked)| Fault::Unlink { host, linked }),
    ]
}

fn case(hosts: usize) -> impl Strategy<Value = Case> {
    let faults = vec((FAULTS_FROM..FAULTS_TO, fault()), 1..8);
    (any::<u64>(), any::<bool>(), faults).prop_map(move |(seed, platform, mut faults)| {
        faults.sort_by_key(|(at, _)| *at);
        Case {
            hosts,
            seed,
            platform,
            faults,
        }
    })
}

fn play(case: &Case, timing: LeaseTiming) -> Record {
    let weather = Rc::new(RefCell::new(Weather::default()));
    let record = Rc::new(RefCell::new(Record::default()));
    let mut zone = staged(case, timing, &weather, &record);
    for (at, fault) in &case.faults {
        zone.run_until(Duration::from_millis(*at));
        strike(&mut zone, &weather, fault);
    }
    zone.run_until(END);
    drop(zone);
    Rc::into_inner(record).expect("one owner").into_inner()
}

fn staged(
    case: &Case,
    timing: LeaseTiming,
    weather: &Rc<RefCell<Weather>>,
    record: &Rc<RefCell<Record>>,
) -> Zone {
    let mut zone = Zone::new();
    zone.lease_timing = timing;
    zone.seeds = (0..case.hosts).map(zone::peer_addr).collect();
    zone.platform.up = case.platform;
    zone.set_host_list(0..case.hosts);
    let mut rng = SmallRng::seed_from_u64(case.seed);
    let sky = Rc::clone(weather);
    zone.network.link_model =
        Box::new(move |now, from, to| sky.borrow().deliver(&mut rng, now, from, to));
    let notes = Rc::clone(record);
    zone.observer = Box::new(move |now, node| notes.borrow_mut().note(now, node));
    (0..case.hosts).for_each(|index| zone.start(index));
    zone
}

fn strike(zone: &mut Zone, weather: &RefCell<Weather>, fault: &Fault) {
    let after = |millis: u64| zone.now + Duration::from_millis(millis);
    match *fault {
        Fault::Cut { from, to, millis } => {
            let mut weather = weather.borrow_mut();
            weather.cuts.push((from, to, after(millis)));
        }
        Fault::Loss { percent, millis } => weather.borrow_mut().loss = (percent, after(millis)),
        Fault::Delay { most, millis } => weather.borrow_mut().delay = (most, after(millis)),
        Fault::Pause { host, millis } => zone.pause(host, Duration::from_millis(millis)),
        Fault::Kill { host } => zone.kill(host),
        Fault::Start { host } => {
            zone.kill(host);
            zone.start(host);
        }
        Fault::Leave { host } => {
            zone.deliver(host, Event::Leave);
            zone.deliver(host, Event::Drained);
        }
        Fault::Relist { host } => relist(zone, host),
        Fault::Unlink { host, linked } => {
            if let Some(node) = zone.nodes.get_mut(&host) {
                node.reaches_platform = linked;
            }
        }
    }
}

/// Adds a host to the platform's list, or takes it off once it has stopped.
fn relist(zone: &mut Zone, host: usize) {
    let hosts = &zone.platform.host_list.hosts;
    let mut listed: Vec<usize> = (0..HOSTS)
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
    let more = std::env::var("LEASE_CASES")
        .ok()
        .and_then(|count| count.parse().ok());
    let cases = more.unwrap_or(CASES);
    println!("{name}: {cases} cases, LEASE_SEED={seed}");
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
    runner.run(&case(hosts), |case| play(&case, timing).check())
}

fn one_home_dispatches(hosts: usize) {
    let timing = scaled(LEASE + GAP);
    if let Err(err) = run_cases("one home dispatches", hosts, timing) {
        panic!("{err}");
    }
}

fn ablated_rule_fails(name: &str, timing: LeaseTiming) {
    let outcome = run_cases(name, 4, timing);
    let Err(TestError::Fail(reason, _)) = outcome else {
        panic!("{name}: no counterexample");
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
fn without_hold_two_homes_dispatch() {
    ablated_rule_fails("without hold", scaled(Duration::ZERO));
}

#[test]
fn without_the_lease_time_in_the_hold_two_homes_dispatch() {
    ablated_rule_fails("hold without the lease time", scaled(GAP));
}

#[test]
fn without_majority_two_homes_dispatch() {
    let timing = LeaseTiming {
        needs_majority: false,
        ..scaled(LEASE + GAP)
    };
    ablated_rule_fails("without majority", timing);
}

/// Flows that some host may dispatch for.
fn served(zone: &Zone) -> Vec<u64> {
    let may =
        |node: &Node, flow| may_dispatch(node, flow, zone.now.saturating_sub(node.started_at));
    (0..FLOWS)
        .filter(|flow| zone.nodes.values().any(|node| may(node, *flow)))
        .collect()
}

fn leased(zone: &Zone) -> Vec<usize> {
    let nodes = zone.nodes.values();
    nodes
        .filter(|node| node.is_leased(zone.now))
        .map(|node| node.index)
        .collect()
}

#[test]
fn all_hosts_of_a_quiet_zone_hold_leases() {
    for count in [1, 2, 4, 40] {
        let mut zone = Zone::with_hosts(count);
        zone.run_for(12 * SECOND);
        let all: Vec<usize> = (0..count).collect();
        assert_eq!(leased(&zone), all, "{count} hosts");
        for _ in 0..100 {
            zone.run_for(SECOND / 10);
            assert_eq!(leased(&zone), all, "{count} hosts");
        }
    }
}

#[test]
fn all_hosts_of_a_large_zone_hold_leases_all_the_time() {
    let mut zone = Zone::with_hosts(108);
    zone.run_for(14 * SECOND);
    for _ in 0..30 {
        zone.run_for(SECOND / 10);
        assert_eq!(leased(&zone).len(), 108);
    }
}

#[test]
fn survivors_hold_leases_again_after_a_death() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(12 * SECOND);
    zone.kill(0);
    zone.run_for(3 * SECOND);
    assert!(leased(&zone).is_empty());
    let limit = LeaseTiming::default().hold_time + SECOND * 3 / 2;
    let again = zone.run_until_condition(limit, |zone| leased(zone) == [1, 2, 3]);
    assert!(again.is_some());
}

#[test]
fn minority_holds_no_lease() {
    let mut zone = Zone::with_hosts(5);
    zone.run_for(12 * SECOND);
    zone.network.link_model = Box::new(|_, from, to| {
        let cut = (from < 2) != (to < 2);
        if cut { vec![] } else { vec![LATENCY] }
    });
    zone.run_for(20 * SECOND);
    assert_eq!(leased(&zone), [2, 3, 4]);
}

#[test]
fn new_host_joins_the_roster_and_holds_a_lease() {
    let mut zone = Zone::with_hosts(3);
    zone.platform.up = true;
    zone.set_host_list(0..3);
    zone.run_for(20 * SECOND);
    zone.set_host_list(0..4);
    zone.start(3);
    zone.run_for(20 * SECOND);
    assert_eq!(leased(&zone), [0, 1, 2, 3]);
    let dump = serde_json::to_value(zone.nodes[&3].control.tables()).expect("dump");
    assert_eq!(
        dump["rosters"]["base"]["hosts"].as_array().map(Vec::len),
        Some(4)
    );
}

#[test]
fn death_stops_only_the_flows_whose_home_it_moves() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(12 * SECOND);
    assert_eq!(served(&zone).len(), 12);
    zone.kill(0);
    let kept = served(&zone);
    assert!(!kept.is_empty() && kept.len() < 12, "{kept:?}");
    for _ in 0..200 {
        zone.run_for(SECOND / 10);
        let served = served(&zone);
        assert!(
            kept.iter().all(|flow| served.contains(flow)),
            "{kept:?} {served:?}"
        );
    }
    assert_eq!(served(&zone).len(), 12);
}

#[test]
fn join_and_leave_stop_only_the_flows_whose_home_they_move() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(12 * SECOND);
    zone.start(4);
    let mut least = 12;
    for _ in 0..150 {
        zone.run_for(SECOND / 10);
        least = least.min(served(&zone).len());
    }
    assert_eq!(served(&zone).len(), 12);
    assert!((6..12).contains(&least), "{least} flows served");
    zone.deliver(4, Event::Leave);
    zone.run_for(2 * SECOND);
    zone.deliver(4, Event::Drained);
    for _ in 0..150 {
        zone.run_for(SECOND / 10);
        assert!(served(&zone).len() >= least);
    }
    assert_eq!(served(&zone).len(), 12);
}
