//! Tests that at-most-once requests never run twice and that a request reported as `NotRun`
//! did not run, for callers with and without tickets.
//!
//! Random scripts mix requests with faults of hosts, endpoints, the network and host lists.
//! Set `ONCE_SEED` to a printed seed to repeat a run.

mod common;

use std::cell::Cell;
use std::collections::HashMap;

use common::{NetworkFaults, World, lane_addr, ms};
use jacinthhinge::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

const HOST_COUNT: usize = 3;
const CASES: u32 = 10_000;

/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a renewed lease lasts.
const LEASE_TIME: Duration = Duration::from_secs(1);
/// Time from the end of a lease until another host may hold it: the longest deadline of an
/// at-most-once request (3 s) plus the longest lifetime of a packet (1 s).
const HOLD_TIME: Duration = Duration::from_secs(4);

/// One step of a script; times are in milliseconds, `mask` is a bit mask of hosts.
#[derive(Clone, Debug)]
enum Event {
    Request {
        caller: usize,
        class: Class,
        time_left: u64,
        parts: u32,
    },
    Cancel {
        caller: usize,
    },
    Kill(usize),
    Restart(usize),
    Pause {
        host: usize,
        time: u64,
        read_ahead: usize,
    },
    SetLiveHosts {
        host: usize,
        mask: usize,
    },
    Converge,
    Leave(usize),
    EndpointKill(usize),
    EndpointRestart(usize),
    Refuse(usize, f64),
    EndpointDrain(usize),
    Cut {
        host: usize,
        endpoint: usize,
    },
    Faults(NetworkFaults),
    ClearFaults,
}

/// A random run: each step waits its time in milliseconds before its event.
#[derive(Clone, Debug)]
struct Script {
    seed: u64,
    work_time: u64,
    steps: Vec<(u64, Event)>,
}

fn event_strategy() -> impl Strategy<Value = Event> {
    let class =
        prop_oneof![4 => Just(Class::Order), 4 => Just(Class::Confirm), 1 => Just(Class::Lookup)];
    let time_left = prop_oneof![
        Just(300_u64),
        Just(1_000),
        Just(2_900),
        Just(6_000),
        Just(20_000)
    ];
    let time = prop_oneof![
        Just(400_u64),
        Just(1_500),
        Just(3_500),
        Just(14_000),
        Just(40_000)
    ];
    let faults = (0.0..0.4, 0.0..0.5, 0.0..0.5, 3_u64..900).prop_map(
        |(loss_rate, duplicate_rate, delay_rate, max_delay)| NetworkFaults {
            loss_rate,
            duplicate_rate,
            delay_rate,
            max_delay,
            encode_packets: false,
        },
    );
    let request =
        (0..2_usize, class, time_left, 1..3_u32).prop_map(|(caller, class, time_left, parts)| {
            Event::Request {
                caller,
                class,
                time_left,
                parts,
            }
        });
    prop_oneof![
        6 => request,
        1 => (0..2_usize).prop_map(|caller| Event::Cancel { caller }),
        1 => (0..HOST_COUNT).prop_map(Event::Kill),
        1 => (0..HOST_COUNT).prop_map(Event::Restart),
        2 => (0..HOST_COUNT, time, 0..3_usize).prop_map(|(host, time, read_ahead)| Event::Pause { host, time, read_ahead }),
        2 => (0..HOST_COUNT, 1..8_usize).prop_map(|(host, mask)| Event::SetLiveHosts { host, mask }),
        1 => Just(Event::Converge),
        1 => (0..HOST_COUNT).prop_map(Event::Leave),
        1 => (0..2_usize).prop_map(Event::EndpointKill),
        1 => (0..2_usize).prop_map(Event::EndpointRestart),
        1 => (0..2_usize, 0.0..1.0).prop_map(|(endpoint, rate)| Event::Refuse(endpoint, rate)),
        1 => (0..2_usize).prop_map(Event::EndpointDrain),
        1 => (0..HOST_COUNT, 0..2_usize).prop_map(|(host, endpoint)| Event::Cut { host, endpoint }),
        2 => faults.prop_map(Event::Faults),
        1 => Just(Event::ClearFaults),
    ]
}

fn script_strategy() -> impl Strategy<Value = Script> {
    let steps = vec((0..900_u64, event_strategy()), 2..12);
    (any::<u64>(), 5..500_u64, steps).prop_map(|(seed, work_time, steps)| Script {
        seed,
        work_time,
        steps,
    })
}

/// Grants the lease of each flow to one host at a time, as the control plane does.
#[derive(Default)]
struct Leases {
    holders: HashMap<FlowKey, (Home, Duration)>,
    /// True to grant every host the lease of the flows it takes itself to be home of.
    ignores_holders: bool,
}

impl Leases {
    /// Renews the lease of each running host whose flows are held by no other host.
    fn renew(&mut self, world: &mut World, flows: &[FlowKey]) {
        for host in 0..world.hosts.len() {
            let row = &world.hosts[host];
            if !row.up || row.paused_until.is_some() {
                continue;
            }
            let own_home = row.tables.home;
            let is_home = |key: &&FlowKey| {
                row.tables
                    .snapshot
                    .home(key)
                    .is_none_or(|home| home == own_home)
            };
            let own_flows: Vec<FlowKey> = flows.iter().filter(is_home).copied().collect();
            let is_free = |key: &FlowKey| match self.holders.get(key) {
                Some((holder, until)) => *holder == own_home || world.now >= *until + HOLD_TIME,
                None => true,
            };
            if self.ignores_holders || own_flows.iter().all(is_free) {
                let until = world.now + LEASE_TIME;
                self.holders
                    .extend(own_flows.into_iter().map(|key| (key, (own_home, until))));
                world.hosts[host].lease_until = until;
                world.publish_snapshot(host);
            }
        }
    }
}

/// A world with two callers, one flow each, and renewed leases.
struct Simulation {
    world: World,
    leases: Leases,
    flows: Vec<FlowKey>,
    last_request: u64,
    busy_until: Duration,
}

impl Simulation {
    fn new(script: &Script, echo: bool, ignores_holders: bool) -> Self {
        let mut world = World::new(script.seed, HOST_COUNT);
        world.tick_interval = ms(100);
        world.add_service("bestel", 2, 1);
        world.converge();
        for endpoint in &mut world.endpoints {
            endpoint.work_time = ms(script.work_time);
        }
        let mut flows = Vec::new();
        for caller in 0..2 {
            world.add_caller(echo);
            world.open_flow(caller, script.seed % 97, "bestel", false);
            world.callers[caller].ignores_outcomes = true;
            let addr = world.callers[caller].addr;
            flows.push(FlowKey {
                caller: addr,
                flow: script.seed % 97,
            });
        }
        let leases = Leases {
            ignores_holders,
            ..Leases::default()
        };
        let busy_until = world.now;
        let mut simulation = Self {
            world,
            leases,
            flows,
            last_request: 0,
            busy_until,
        };
        simulation.run(ms(600));
        simulation
    }

    fn run(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.leases.renew(&mut self.world, &self.flows);
            self.world
                .run_for(RENEWAL_INTERVAL.min(end.saturating_sub(self.world.now)));
        }
    }

    /// Extends the run by `time` milliseconds from now, so that requests and pauses can end.
    fn mark_busy(&mut self, time: u64) {
        self.busy_until = self.busy_until.max(self.world.now + ms(time));
    }

    fn apply(&mut self, event: &Event) {
        let world = &mut self.world;
        match *event {
            Event::Request {
                caller,
                class,
                time_left,
                parts,
            } => {
                self.last_request += 1;
                let flow = self.flows[caller].flow;
                world.send_request(caller, flow, self.last_request, class, ms(time_left), parts);
                self.mark_busy(time_left);
            }
            Event::Cancel { caller } => world.cancel_request(caller, self.last_request),
            Event::Kill(host) => world.kill(host),
            Event::Restart(host) => world.restart(host),
            Event::Pause {
                host,
                time,
                read_ahead,
            } => {
                world.pause(host, ms(time), read_ahead);
                self.mark_busy(time);
            }
            Event::SetLiveHosts { host, mask } => {
                let mut live: Vec<usize> = (0..HOST_COUNT)
                    .filter(|other| mask >> other & 1 == 1)
                    .collect();
                live.push(host);
                live.sort_unstable();
                live.dedup();
                world.set_live_hosts(host, &live);
            }
            Event::Converge => world.converge(),
            Event::Leave(host) => {
                world.hosts[host].leaving = true;
                world.converge();
            }
            Event::EndpointKill(endpoint) => world.endpoints[endpoint].up = false,
            Event::EndpointRestart(endpoint) => {
                let incarnation = world.now_micros();
                world.endpoints[endpoint].restart(incarnation);
            }
            Event::Refuse(endpoint, rate) => world.endpoints[endpoint].refusal_rate = rate,
            Event::EndpointDrain(endpoint) => world.endpoints[endpoint].reports_draining = true,
            Event::Cut { host, endpoint } => {
                let (host_addr, endpoint_addr) = (lane_addr(host), world.endpoints[endpoint].addr);
                world.filter =
                    Box::new(move |from, to, _| !(from == host_addr && to == endpoint_addr));
            }
            Event::Faults(faults) => world.faults = faults,
            Event::ClearFaults => {
                world.faults = NetworkFaults::default();
                world.filter = Box::new(|_, _, _| true);
            }
        }
    }

    /// Describes the first broken guarantee: a second execution, an execution that was
    /// reported as `NotRun`, or an answer of another request or of two executions.
    fn violation(&self) -> Option<String> {
        for (caller, row) in self.world.callers.iter().enumerate() {
            for (number, request) in &row.requests {
                let ran = self.world.execution_count(caller, *number);
                let not_run = request
                    .outcomes
                    .iter()
                    .any(|(status, _)| *status == ExecutionStatus::NotRun);
                let class = request.class;
                let mut outcomes = request.outcomes.clone();
                outcomes.dedup();
                if class.is_at_most_once() && ran > 1 {
                    return Some(format!(
                        "request {number} {class:?} ran {ran} times, outcomes {outcomes:?}"
                    ));
                }
                if class.is_at_most_once() && not_run && ran > 0 {
                    return Some(format!(
                        "request {number} {class:?} ran, outcomes {outcomes:?}"
                    ));
                }
                if let Some(parts) = &request.answer {
                    let expected_prefix = format!("bestel/{}/{number}/", request.flow);
                    let is_consistent = parts.len() == 2 && parts[0] == parts[1];
                    if !is_consistent || !parts[0].starts_with(&expected_prefix) {
                        return Some(format!("request {number} got answer parts {parts:?}"));
                    }
                }
            }
        }
        None
    }
}

fn run_script(script: &Script, echo: bool, ignores_holders: bool) -> Simulation {
    let mut simulation = Simulation::new(script, echo, ignores_holders);
    for (wait, event) in &script.steps {
        simulation.run(ms(*wait));
        simulation.apply(event);
    }
    let remaining =
        simulation.busy_until.saturating_sub(simulation.world.now) + Duration::from_secs(2);
    simulation.run(remaining);
    simulation
}

/// Returns the seed from `ONCE_SEED`, or a random one.
fn run_seed() -> u64 {
    let seed = std::env::var("ONCE_SEED").ok();
    seed.map_or_else(rand::random, |text| {
        text.parse().expect("ONCE_SEED is a number")
    })
}

/// Final outcomes of the at-most-once requests of all cases.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    asked: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    silent: usize,
}

impl OutcomeCounts {
    fn add(&mut self, simulation: &Simulation) {
        let requests = simulation
            .world
            .callers
            .iter()
            .flat_map(|row| row.requests.values());
        for request in requests.filter(|request| request.class.is_at_most_once()) {
            self.asked += 1;
            match request.outcomes.last() {
                _ if request.answer.is_some() => self.answered += 1,
                Some((ExecutionStatus::NotRun, _)) => self.not_run += 1,
                Some((ExecutionStatus::Unknown, _)) => self.unknown += 1,
                None => self.silent += 1,
            }
        }
    }
}

fn new_runner(seed: u64, cases: u32) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

/// Runs random scripts and fails with the first one that breaks a guarantee.
fn run_search(echo: bool) {
    let seed = run_seed();
    let counts = Cell::new(OutcomeCounts::default());
    let result = new_runner(seed, CASES).run(&script_strategy(), |script| {
        let simulation = run_script(&script, echo, false);
        let mut total = counts.get();
        total.add(&simulation);
        counts.set(total);
        simulation
            .violation()
            .map_or(Ok(()), |violation| Err(TestCaseError::fail(violation)))
    });
    println!(
        "ONCE_SEED={seed} cases={CASES} echo={echo} {:?}",
        counts.get()
    );
    if let Err(TestError::Fail(violation, script)) = result {
        panic!("ONCE_SEED={seed}: {violation}: {script:?}");
    }
}

#[test]
fn requests_with_ticket_run_at_most_once() {
    run_search(true);
}

#[test]
fn requests_without_ticket_run_at_most_once() {
    run_search(false);
}

/// Checks that the search finds orders that run twice when hosts rely on their own host
/// lists without a lease.
#[test]
fn without_the_lease_orders_run_twice() {
    let violations = Cell::new(0);
    let result = new_runner(1, 1_000).run(&script_strategy(), |script| {
        let violation = run_script(&script, false, true).violation();
        violations.set(violations.get() + u32::from(violation.is_some()));
        Ok(())
    });
    println!("cases=1000 broken={} without the lease", violations.get());
    assert!(result.is_ok() && violations.get() > 0);
}

#[test]
fn without_faults_every_order_runs_once() {
    for echo in [true, false] {
        let request = |caller| Event::Request {
            caller,
            class: Class::Order,
            time_left: 2_900,
            parts: 2,
        };
        let script = Script {
            seed: 5,
            work_time: 20,
            steps: (0..20).map(|turn| (100, request(turn % 2))).collect(),
        };
        let mut counts = OutcomeCounts::default();
        counts.add(&run_script(&script, echo, false));
        assert_eq!(
            (counts.asked, counts.answered),
            (20, 20),
            "echo={echo}: {counts:?}"
        );
    }
}
