//! Once-only work runs at most once, and "not run" is true: random interleavings of
//! faults of hosts, endpoints, network and views, for callers with and without ticket.

mod common;

use std::cell::Cell;
use std::collections::HashMap;

use common::{NetworkFaults, World, lane_addr, ms};
use jacinthhinge::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

const HOSTS: usize = 3;
const CASES: u32 = 10_000;

/// Time between two renewals of the lease, and the time it lasts.
const RENEW: Duration = Duration::from_millis(250);
const LEASE: Duration = Duration::from_secs(1);
/// Longest deadline and longest life of a packet.
const HOLD: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
enum Event {
    Ask {
        caller: usize,
        class: Class,
        budget: u64,
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
    See {
        host: usize,
        mask: usize,
    },
    Agree,
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
    Heal,
}

#[derive(Clone, Debug)]
struct Script {
    seed: u64,
    work: u64,
    steps: Vec<(u64, Event)>,
}

fn event() -> impl Strategy<Value = Event> {
    let class =
        prop_oneof![4 => Just(Class::Order), 4 => Just(Class::Confirm), 1 => Just(Class::Lookup)];
    let budget = prop_oneof![
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
    let ask = (0..2_usize, class, budget, 1..3_u32).prop_map(|(caller, class, budget, parts)| {
        Event::Ask {
            caller,
            class,
            budget,
            parts,
        }
    });
    prop_oneof![
        6 => ask,
        1 => (0..2_usize).prop_map(|caller| Event::Cancel { caller }),
        1 => (0..HOSTS).prop_map(Event::Kill),
        1 => (0..HOSTS).prop_map(Event::Restart),
        2 => (0..HOSTS, time, 0..3_usize).prop_map(|(host, time, read_ahead)| Event::Pause { host, time, read_ahead }),
        2 => (0..HOSTS, 1..8_usize).prop_map(|(host, mask)| Event::See { host, mask }),
        1 => Just(Event::Agree),
        1 => (0..HOSTS).prop_map(Event::Leave),
        1 => (0..2_usize).prop_map(Event::EndpointKill),
        1 => (0..2_usize).prop_map(Event::EndpointRestart),
        1 => (0..2_usize, 0.0..1.0).prop_map(|(endpoint, rate)| Event::Refuse(endpoint, rate)),
        1 => (0..2_usize).prop_map(Event::EndpointDrain),
        1 => (0..HOSTS, 0..2_usize).prop_map(|(host, endpoint)| Event::Cut { host, endpoint }),
        2 => faults.prop_map(Event::Faults),
        1 => Just(Event::Heal),
    ]
}

fn script() -> impl Strategy<Value = Script> {
    let steps = vec((0..900_u64, event()), 2..12);
    (any::<u64>(), 5..500_u64, steps).prop_map(|(seed, work, steps)| Script { seed, work, steps })
}

/// Who may hold the lease of each flow, as the control plane promises it.
#[derive(Default)]
struct Leases {
    holders: HashMap<FlowKey, (Home, Duration)>,
    /// True to let every host judge for itself.
    ablated: bool,
}

impl Leases {
    fn renew(&mut self, world: &mut World, flows: &[FlowKey]) {
        for host in 0..world.hosts.len() {
            let row = &world.hosts[host];
            if !row.up || row.paused_until.is_some() {
                continue;
            }
            let me = row.tables.home;
            let homed =
                |key: &&FlowKey| row.tables.snapshot.home(key).is_none_or(|home| home == me);
            let own: Vec<FlowKey> = flows.iter().filter(homed).copied().collect();
            let free = |key: &FlowKey| match self.holders.get(key) {
                Some((holder, until)) => *holder == me || world.now >= *until + HOLD,
                None => true,
            };
            if self.ablated || own.iter().all(free) {
                let until = world.now + LEASE;
                self.holders
                    .extend(own.into_iter().map(|key| (key, (me, until))));
                world.hosts[host].lease_until = until;
                world.publish_snapshot(host);
            }
        }
    }
}

struct Bench {
    world: World,
    leases: Leases,
    flows: Vec<FlowKey>,
    asked: u64,
    quiet: Duration,
}

impl Bench {
    fn new(script: &Script, echo: bool, ablated: bool) -> Self {
        let mut world = World::new(script.seed, HOSTS);
        world.tick_interval = ms(100);
        world.add_service("bestel", 2, 1);
        world.converge();
        for endpoint in &mut world.endpoints {
            endpoint.work_time = ms(script.work);
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
            ablated,
            ..Leases::default()
        };
        let quiet = world.now;
        let mut bench = Self {
            world,
            leases,
            flows,
            asked: 0,
            quiet,
        };
        bench.run(ms(600));
        bench
    }

    fn run(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.leases.renew(&mut self.world, &self.flows);
            self.world
                .run_for(RENEW.min(end.saturating_sub(self.world.now)));
        }
    }

    fn busy(&mut self, time: u64) {
        self.quiet = self.quiet.max(self.world.now + ms(time));
    }

    fn apply(&mut self, event: &Event) {
        let world = &mut self.world;
        match *event {
            Event::Ask {
                caller,
                class,
                budget,
                parts,
            } => {
                self.asked += 1;
                let flow = self.flows[caller].flow;
                world.send_request(caller, flow, self.asked, class, ms(budget), parts);
                self.busy(budget);
            }
            Event::Cancel { caller } => world.cancel_request(caller, self.asked),
            Event::Kill(host) => world.kill(host),
            Event::Restart(host) => world.restart(host),
            Event::Pause {
                host,
                time,
                read_ahead,
            } => {
                world.pause(host, ms(time), read_ahead);
                self.busy(time);
            }
            Event::See { host, mask } => {
                let mut alive: Vec<usize> = (0..HOSTS).filter(|h| mask >> h & 1 == 1).collect();
                alive.push(host);
                alive.sort_unstable();
                alive.dedup();
                world.set_live_hosts(host, &alive);
            }
            Event::Agree => world.converge(),
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
            Event::Heal => {
                world.faults = NetworkFaults::default();
                world.filter = Box::new(|_, _, _| true);
            }
        }
    }

    /// What was promised and not held.
    fn fault(&self) -> Option<String> {
        for (caller, row) in self.world.callers.iter().enumerate() {
            for (number, ask) in &row.requests {
                let ran = self.world.execution_count(caller, *number);
                let denied = ask
                    .outcomes
                    .iter()
                    .any(|(verdict, _)| *verdict == ExecutionStatus::NotRun);
                let class = ask.class;
                let mut told = ask.outcomes.clone();
                told.dedup();
                if class.is_at_most_once() && ran > 1 {
                    return Some(format!(
                        "request {number} {class:?} ran {ran} times, told {told:?}"
                    ));
                }
                if class.is_at_most_once() && denied && ran > 0 {
                    return Some(format!("request {number} {class:?} ran, told {told:?}"));
                }
                if let Some(parts) = &ask.answer {
                    let own = format!("bestel/{}/{number}/", ask.flow);
                    let whole = parts.len() == 2 && parts[0] == parts[1];
                    if !whole || !parts[0].starts_with(&own) {
                        return Some(format!("request {number} got {parts:?}"));
                    }
                }
            }
        }
        None
    }
}

fn play(script: &Script, echo: bool, ablated: bool) -> Bench {
    let mut bench = Bench::new(script, echo, ablated);
    for (wait, event) in &script.steps {
        bench.run(ms(*wait));
        bench.apply(event);
    }
    let rest = bench.quiet.saturating_sub(bench.world.now) + Duration::from_secs(2);
    bench.run(rest);
    bench
}

/// Seed of the run, from `ONCE_SEED` or fresh.
fn seed() -> u64 {
    let given = std::env::var("ONCE_SEED").ok();
    given.map_or_else(rand::random, |text| text.parse().expect("a number"))
}

/// How the once-only requests of a search ended.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    asked: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    silent: usize,
}

impl Ends {
    fn add(&mut self, bench: &Bench) {
        let asks = bench
            .world
            .callers
            .iter()
            .flat_map(|row| row.requests.values());
        for ask in asks.filter(|ask| ask.class.is_at_most_once()) {
            self.asked += 1;
            match ask.outcomes.last() {
                _ if ask.answer.is_some() => self.answered += 1,
                Some((ExecutionStatus::NotRun, _)) => self.not_run += 1,
                Some((ExecutionStatus::Unknown, _)) => self.unknown += 1,
                None => self.silent += 1,
            }
        }
    }
}

fn runner(seed: u64, cases: u32) -> TestRunner {
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

fn search(echo: bool) {
    let seed = seed();
    let ends = Cell::new(Ends::default());
    let result = runner(seed, CASES).run(&script(), |script| {
        let bench = play(&script, echo, false);
        let mut sum = ends.get();
        sum.add(&bench);
        ends.set(sum);
        bench
            .fault()
            .map_or(Ok(()), |fault| Err(TestCaseError::fail(fault)))
    });
    println!(
        "ONCE_SEED={seed} cases={CASES} echo={echo} {:?}",
        ends.get()
    );
    if let Err(TestError::Fail(fault, script)) = result {
        panic!("ONCE_SEED={seed}: {fault}: {script:?}");
    }
}

#[test]
fn ticketed_work_runs_at_most_once() {
    search(true);
}

#[test]
fn work_without_ticket_runs_at_most_once() {
    search(false);
}

/// Hosts that each trust their own view, without a lease, run orders twice.
#[test]
fn without_the_lease_orders_run_twice() {
    let twice = Cell::new(0);
    let result = runner(1, 1_000).run(&script(), |script| {
        let fault = play(&script, false, true).fault();
        twice.set(twice.get() + u32::from(fault.is_some()));
        Ok(())
    });
    println!("cases=1000 broken={} without the lease", twice.get());
    assert!(result.is_ok() && twice.get() > 0);
}

#[test]
fn without_faults_every_order_runs_once() {
    for echo in [true, false] {
        let step = |caller| Event::Ask {
            caller,
            class: Class::Order,
            budget: 2_900,
            parts: 2,
        };
        let script = Script {
            seed: 5,
            work: 20,
            steps: (0..20).map(|turn| (100, step(turn % 2))).collect(),
        };
        let mut ends = Ends::default();
        ends.add(&play(&script, echo, false));
        assert_eq!(
            (ends.asked, ends.answered),
            (20, 20),
            "echo={echo}: {ends:?}"
        );
    }
}
