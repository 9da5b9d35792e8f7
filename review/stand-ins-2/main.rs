//! Runs one case of the review against the program.
//!
//! usage: stand-ins-2 CASE RECORD
//!
//! The exit status is 1 if a rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the case runs without its disruption.

mod world;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use world::{ClientHost, Endpoint, Flow, Outcome, Record, Rng, World, desired, route};

const PROGRAM: &str = "target/release/jacinthhinge";
const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Addresses of routes.
const ORDERS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);
const CONFIRM: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8_443);
const PHOTOS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 8_443);

const DEADLINE: Duration = Duration::from_millis(2_500);

type Result<T> = std::io::Result<T>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: stand-ins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(record), has_trouble) {
        Ok(Some(0)) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Some(count)) => {
            println!("broken {count} times");
            ExitCode::from(1)
        }
        Ok(None) => ExitCode::from(2),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a case and returns how often a rule was broken; none if it could not run.
fn run(case: &str, record: &Path, has_trouble: bool) -> Result<Option<u64>> {
    let record = Record::create(record)?;
    record.say(&format!("case {case}, trouble {has_trouble}"));
    let world = World::new(Path::new(PROGRAM), record.clone(), &ZONES)?;
    let is_valid = match case {
        "service-retired" => service_retired(world, has_trouble),
        "service-unknown" => service_unknown(world, has_trouble),
        "field-missing" => field_missing(world, has_trouble),
        "port-used-again" => port_used_again(world, has_trouble),
        "endpoints-full" => endpoints_full(world, has_trouble),
        "route-new" => route_new(world, has_trouble),
        _ => Err(std::io::Error::other("unknown case")),
    }?;
    Ok(is_valid.then(|| record.broken_count()))
}

/// Starts the hosts of a small deployment: two in the first zone, one in each of the others.
fn start_hosts(world: &mut World) -> Result<bool> {
    for zone in ["z-a", "z-a", "z-b", "z-c"] {
        let index = world.add_host(zone)?;
        world.start_host(index)?;
    }
    let is_ready = world.wait_until_ready();
    world.record.say(if is_ready {
        "all hosts are in rotation"
    } else {
        "the hosts are not ready"
    });
    Ok(is_ready)
}

/// Adds endpoints of a service, some in each zone.
fn add_endpoints(world: &mut World, service: &str, in_zone: usize) -> Result<Vec<Arc<Endpoint>>> {
    let mut added = Vec::new();
    for zone in ZONES {
        for _ in 0..in_zone {
            added.push(world.add_endpoint(service, zone)?);
        }
    }
    Ok(added)
}

/// Flows that clients keep open, and the requests on them.
#[derive(Clone, Copy)]
struct Habit {
    vip: SocketAddrV4,
    /// Port of the first flow.
    port: u16,
    /// Flows of each machine of clients.
    count: u16,
    /// Services to which the route may go.
    route_of: &'static str,
    work_ms: u64,
    /// Shortest and longest pause between two requests of a flow, in milliseconds.
    pause_ms: (u64, u64),
}

/// Flows to `orders` with a request about once a second.
const FEED: Habit = Habit {
    vip: ORDERS,
    port: 20_000,
    count: 10,
    route_of: "orders",
    work_ms: 25,
    pause_ms: (700, 1_300),
};

/// Clients that keep flows open.
struct LongFlows {
    threads: Vec<JoinHandle<()>>,
    end: Arc<AtomicBool>,
    opened: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
}

impl LongFlows {
    fn start(world: &World, clients: &[ClientHost], habit: Habit) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let (opened, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let endpoints = Arc::new(world.endpoints.clone());
        let mut threads = Vec::new();
        for (client, number) in clients.iter().zip(0_u64..) {
            for index in 0..habit.count {
                let (client, record) = (client.clone(), world.record.clone());
                let (end, endpoints) = (Arc::clone(&end), Arc::clone(&endpoints));
                let (opened, answered) = (Arc::clone(&opened), Arc::clone(&answered));
                threads.push(spawn(move || {
                    let port = habit.port + index;
                    let mut rng = Rng::new(number * 100_000 + u64::from(port));
                    sleep(Duration::from_millis(rng.below(1_000)));
                    let Some(mut flow) = client.open(port, habit.vip, &mut rng) else {
                        return;
                    };
                    opened.fetch_add(1, Ordering::Relaxed);
                    for request in 0.. {
                        if end.load(Ordering::Relaxed) {
                            break;
                        }
                        let id = format!("{}-{port}-{request}", client.zone);
                        let outcome = flow.request(&id, habit.route_of, habit.work_ms, 0, DEADLINE);
                        answered
                            .fetch_add(u64::from(outcome == Outcome::Answered), Ordering::Relaxed);
                        if judge(&record, &endpoints, &flow, &outcome) {
                            return;
                        }
                        let (least, most) = habit.pause_ms;
                        sleep(Duration::from_millis(least + rng.below(most - least)));
                    }
                    flow.close();
                }));
            }
        }
        Self {
            threads,
            end,
            opened,
            answered,
        }
    }

    fn counts(&self) -> (u64, u64) {
        (
            self.opened.load(Ordering::Relaxed),
            self.answered.load(Ordering::Relaxed),
        )
    }

    fn end(self) -> (u64, u64) {
        self.end.store(true, Ordering::Relaxed);
        let counts = self.counts();
        for thread in self.threads {
            let _ = thread.join();
        }
        counts
    }
}

/// Clients that open a flow for each request, which may run once at most and takes `work_ms`.
struct FreshFlows {
    threads: Vec<JoinHandle<()>>,
    end: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
}

impl FreshFlows {
    fn start(
        world: &World,
        clients: &[ClientHost],
        vip: SocketAddrV4,
        route_of: &'static str,
        work_ms: u64,
    ) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        let endpoints = Arc::new(world.endpoints.clone());
        let mut threads = Vec::new();
        for (client, number) in clients.iter().zip(0_u64..) {
            for index in 0..4_u16 {
                let (client, record) = (client.clone(), world.record.clone());
                let (end, answered) = (Arc::clone(&end), Arc::clone(&answered));
                let endpoints = Arc::clone(&endpoints);
                threads.push(spawn(move || {
                    let mut rng = Rng::new(number * 100 + u64::from(index) + 5);
                    let mut port = 40_000 + index * 2_000;
                    while !end.load(Ordering::Relaxed) {
                        port += 1;
                        let id = format!("{}-once-{port}", client.zone);
                        if let Some(mut flow) = client.open(port, vip, &mut rng) {
                            let outcome = flow.request(&id, route_of, work_ms, 0, DEADLINE);
                            answered.fetch_add(
                                u64::from(outcome == Outcome::Answered),
                                Ordering::Relaxed,
                            );
                            if !judge(&record, &endpoints, &flow, &outcome) {
                                flow.close();
                            }
                        }
                        sleep(Duration::from_millis(100 + rng.below(100)));
                    }
                }));
            }
        }
        Self {
            threads,
            end,
            answered,
        }
    }

    fn count(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    fn end(self) -> u64 {
        self.end.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.answered.load(Ordering::Relaxed)
    }
}

/// Judges the end of a request on an open flow by FLOW; returns true if the flow is over.
///
/// The flow is younger than `MaxFlowS`, idle for less than `IdleTimeoutMs`, and its route is in
/// each desired state. A reset that an endpoint sent counts only if it is not the flow's own.
fn judge(record: &Record, endpoints: &[Arc<Endpoint>], flow: &Flow, outcome: &Outcome) -> bool {
    let own = endpoints.iter().find(|endpoint| endpoint.holds(&flow.ends));
    let age = flow.opened.elapsed().as_secs_f64();
    match (outcome, own) {
        (Outcome::Answered, _) => return false,
        (Outcome::SystemReset | Outcome::EndpointReset, Some(own)) => record.broken(
            "FLOW",
            &format!(
                "flow {:?}, {age:.1} s old, got a reset ({outcome:?}) while its endpoint {} of {} lives and holds it",
                flow.ends, own.id, own.service
            ),
        ),
        _ => record.line(&format!("flow {:?} is over: {outcome:?}", flow.ends)),
    }
    true
}

/// A change of the desired state moves the routes to another service and no longer names the
/// earlier one, whose endpoints go on running.
fn service_retired(mut world: World, has_trouble: bool) -> Result<bool> {
    add_endpoints(&mut world, "orders-1", 2)?;
    add_endpoints(&mut world, "orders-2", 2)?;
    let config = |version, service, services: &[&str]| {
        let routes = [
            route("orders", ORDERS, "safe", service),
            route("confirm", CONFIRM, "unsafe", service),
        ];
        desired(version, &routes, services)
    };
    let first = config(3, "orders-1", &["orders-1", "orders-2"]);
    world.store.put("op/config", first.as_bytes());
    if !start_hosts(&mut world)? {
        world.end();
        return Ok(false);
    }
    let mut clients = Vec::new();
    for (zone, number) in ZONES.iter().zip(0..) {
        clients.push(ClientHost::start(&world, number, zone)?);
    }
    let route_of = "orders-1 orders-2";
    let flows = LongFlows::start(&world, &clients, Habit { route_of, ..FEED });
    let once = FreshFlows::start(&world, &clients, CONFIRM, route_of, 600);
    sleep(Duration::from_secs(8));
    let before = flows.counts();
    world.record.say(&format!(
        "{} long flows open, {} of their requests and {} others answered",
        before.0,
        before.1,
        once.count()
    ));
    if has_trouble {
        // `KEEP=1` shows that the same change breaks no flow if it still names the service.
        let is_kept = std::env::var("KEEP").as_deref() == Ok("1");
        let services: &[&str] = if is_kept {
            &["orders-1", "orders-2"]
        } else {
            &["orders-2"]
        };
        world
            .store
            .put("op/config", config(7, "orders-2", services).as_bytes());
        world.record.say(&format!(
            "desired state 7: both routes go to orders-2; services {services:?}"
        ));
    }
    sleep(Duration::from_secs(6));
    // The route serves new flows, by the newest desired state.
    let mut rng = Rng::new(99);
    let newly_served = clients.iter().zip(0..).filter(|(client, index)| {
        let flow = client.open(30_000 + index, ORDERS, &mut rng);
        flow.is_some_and(|mut flow| {
            let id = format!("{}-new", client.zone);
            flow.request(&id, route_of, 25, 0, DEADLINE) == Outcome::Answered
        })
    });
    let newly_served = newly_served.count();
    sleep(Duration::from_secs(6));
    let (after, once) = (flows.end(), once.end());
    world.record.say(&format!(
        "{newly_served} of 3 new flows served; {} requests of long flows and {once} others answered in all",
        after.1
    ));
    world.end();
    Ok(before.0 >= 25 && newly_served == 3)
}

/// Another writer replaces the entry of an endpoint by one whose service no desired state names.
/// The endpoint lives and writes its own entry again with its next status report.
fn service_unknown(mut world: World, has_trouble: bool) -> Result<bool> {
    let endpoints = add_endpoints(&mut world, "orders", 1)?;
    let config = desired(3, &[route("orders", ORDERS, "safe", "orders")], &["orders"]);
    world.store.put("op/config", config.as_bytes());
    if !start_hosts(&mut world)? {
        world.end();
        return Ok(false);
    }
    let mut clients = Vec::new();
    for (zone, number) in ZONES.iter().zip(0..) {
        clients.push(ClientHost::start(&world, number, zone)?);
    }
    let flows = LongFlows::start(&world, &clients, FEED);
    sleep(Duration::from_secs(8));
    let before = flows.counts();
    world.record.say(&format!(
        "{} flows open, {} requests answered",
        before.0, before.1
    ));
    let odd = &endpoints[0];
    for _ in 0..3 {
        if has_trouble {
            let entry = odd
                .entry()
                .replace("\"Service\":\"orders\"", "\"Service\":\"archive\"");
            world.store.put(&odd.key(), entry.as_bytes());
            world.record.say(&format!(
                "another writer replaces the entry of {}: {entry}",
                odd.id
            ));
        }
        sleep(Duration::from_secs(3));
    }
    let after = flows.end();
    world
        .record
        .say(&format!("{} requests answered in all", after.1));
    world.end();
    Ok(before.0 >= 25)
}

/// Another writer replaces the entry of an endpoint by one without a version and with another
/// service.
fn field_missing(mut world: World, has_trouble: bool) -> Result<bool> {
    add_endpoints(&mut world, "orders", 1)?;
    let photos = add_endpoints(&mut world, "photos", 1)?;
    let routes = [
        route("orders", ORDERS, "unsafe", "orders"),
        route("photos", PHOTOS, "upload", "photos"),
    ];
    let config = desired(3, &routes, &["orders", "photos"]);
    world.store.put("op/config", config.as_bytes());
    if !start_hosts(&mut world)? {
        world.end();
        return Ok(false);
    }
    let mut clients = Vec::new();
    for (zone, number) in ZONES.iter().zip(0..) {
        clients.push(ClientHost::start(&world, number, zone)?);
    }
    let flows = FreshFlows::start(&world, &clients, ORDERS, "orders", 25);
    sleep(Duration::from_secs(5));
    let before = flows.count();
    let odd = &photos[0];
    for _ in 0..3 {
        if has_trouble {
            let entry = odd.entry().replace("\"Version\":\"v1\",", "");
            let entry = entry.replace("\"Service\":\"photos\"", "\"Service\":\"orders\"");
            world.store.put(&odd.key(), entry.as_bytes());
            world.record.say(&format!(
                "another writer replaces the entry of {}: {entry}",
                odd.id
            ));
        }
        sleep(Duration::from_secs(3));
    }
    let after = flows.end();
    world.record.say(&format!(
        "{before} requests answered before, {after} in all"
    ));
    world.end();
    Ok(before >= 50)
}

/// A host joins and is stopped again, while clients use the ports of closed flows again.
fn port_used_again(mut world: World, has_trouble: bool) -> Result<bool> {
    add_endpoints(&mut world, "orders", 2)?;
    let config = desired(3, &[route("orders", ORDERS, "safe", "orders")], &["orders"]);
    world.store.put("op/config", config.as_bytes());
    for zone in ["z-a", "z-a", "z-b", "z-c"] {
        world.add_host(zone)?;
    }
    for index in [0, 2, 3] {
        world.start_host(index)?;
    }
    if !world.wait_until_ready() {
        world.end();
        return Ok(false);
    }
    let client = ClientHost::start(&world, 0, "z-a")?;
    let mut rng = Rng::new(5);
    let mut answered = 0;
    let use_port = |port: u16, rng: &mut Rng| {
        let flow = client.open(port, ORDERS, rng);
        flow.is_some_and(|mut flow| {
            let is_answered = flow.request(&format!("first-{port}"), "orders", 5, 0, DEADLINE)
                == Outcome::Answered;
            flow.close();
            is_answered
        })
    };
    // Short flows from 60 ports.
    for port in 21_000..21_060 {
        answered += u32::from(use_port(port, &mut rng));
    }
    world
        .record
        .say(&format!("{answered} short flows served and closed"));
    sleep(Duration::from_secs(10));
    world.start_host(1)?;
    if !world.wait_until_ready() {
        world.end();
        return Ok(false);
    }
    world.record.say("a second host of the zone is in rotation");
    let endpoints = world.endpoints.clone();
    let mut flows: Vec<Flow> = Vec::new();
    for port in 21_000..21_060 {
        if let Some(mut flow) = client.open(port, ORDERS, &mut rng)
            && flow.request(&format!("second-{port}"), "orders", 5, 0, DEADLINE)
                == Outcome::Answered
        {
            flows.push(flow);
        }
    }
    let open = flows.len();
    world
        .record
        .say(&format!("{open} long flows open from the same ports"));
    let start = Instant::now();
    if has_trouble {
        world.record.say("the second host is stopped");
        let time = world.hosts[1].stop();
        world
            .record
            .say(&format!("it ended after {:.1} s", time.as_secs_f64()));
    }
    sleep(Duration::from_secs(3).saturating_sub(start.elapsed()));
    for (flow, number) in flows.iter_mut().zip(0..) {
        let outcome = flow.request(&format!("third-{number}"), "orders", 5, 0, DEADLINE);
        judge(&world.record, &endpoints, flow, &outcome);
    }
    world.end();
    Ok(open >= 50)
}

/// The endpoints of a service hold as many flows as they may, most of them of clients of another
/// zone, and more clients try to open flows.
fn endpoints_full(mut world: World, has_trouble: bool) -> Result<bool> {
    add_endpoints(&mut world, "orders", 2)?;
    let feeds = [
        world.add_endpoint("feeds", "z-a")?,
        world.add_endpoint("feeds", "z-a")?,
    ];
    let routes = [
        route("feeds", ORDERS, "safe", "feeds"),
        route("confirm", CONFIRM, "unsafe", "orders"),
    ];
    let config = desired(3, &routes, &["feeds", "orders"]);
    world.store.put("op/config", config.as_bytes());
    if !start_hosts(&mut world)? {
        world.end();
        return Ok(false);
    }
    let mut clients = Vec::new();
    for (zone, number) in ZONES.iter().zip(0..) {
        clients.push(ClientHost::start(&world, number, zone)?);
    }
    let near = &clients[..1];
    let own = Habit {
        route_of: "feeds",
        count: 8,
        work_ms: 2,
        pause_ms: (2_500, 3_500),
        ..FEED
    };
    let own = LongFlows::start(&world, near, own);
    // Other requests of the zone, to another service.
    let busy = Habit {
        vip: CONFIRM,
        port: 25_000,
        count: 8,
        work_ms: 20,
        pause_ms: (90, 110),
        ..FEED
    };
    let busy = LongFlows::start(&world, near, busy);
    let end = Arc::new(AtomicBool::new(false));
    let endpoints = Arc::new(world.endpoints.clone());
    let mut threads = Vec::new();
    // Flows of another zone, which fill the endpoints.
    let wanted = if has_trouble { 4_000 } else { 400 };
    let filled = Arc::new(AtomicU64::new(0));
    for index in 0..4_u16 {
        let (client, record) = (clients[1].clone(), world.record.clone());
        let (end, endpoints) = (Arc::clone(&end), Arc::clone(&endpoints));
        let filled = Arc::clone(&filled);
        threads.push(spawn(move || {
            let mut rng = Rng::new(u64::from(index) + 50);
            let mut flows: Vec<Flow> = Vec::new();
            let mut failed = 0;
            for number in 0..wanted / 4 {
                match client.open(10_000 + index * 2_000 + number, ORDERS, &mut rng) {
                    Some(mut flow) => {
                        let id = format!("first-{}", flow.ends.client.port());
                        let outcome = flow.request(&id, "feeds", 1, 0, DEADLINE);
                        judge(&record, &endpoints, &flow, &outcome);
                        filled.fetch_add(1, Ordering::Relaxed);
                        flows.push(flow);
                    }
                    None => failed += 1,
                }
                if failed >= 2 {
                    break;
                }
            }
            while !end.load(Ordering::Relaxed) {
                for flow in &mut flows {
                    if end.load(Ordering::Relaxed) {
                        break;
                    }
                    if flow.over.is_none() {
                        let id = format!("other-{}", flow.ends.client.port());
                        let outcome = flow.request(&id, "feeds", 1, 0, DEADLINE);
                        judge(&record, &endpoints, flow, &outcome);
                    }
                }
            }
        }));
    }
    let until = Instant::now() + Duration::from_secs(40);
    let is_full = |row: &Arc<Endpoint>| row.fill().0 >= world::MAX_CONNS;
    while has_trouble && !feeds.iter().all(is_full) && Instant::now() < until {
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(4));
    let fill: Vec<_> = feeds.iter().map(|row| row.fill()).collect();
    world.record.say(&format!(
        "{} flows of the own zone, {} of another; flows and ignored openings of the endpoints {fill:?}",
        own.counts().0,
        filled.load(Ordering::Relaxed)
    ));
    world.record.say("more clients of the own zone open flows");
    let opened = Arc::new(AtomicU64::new(0));
    for index in 0..12_u16 {
        let (client, end, opened) = (clients[0].clone(), Arc::clone(&end), Arc::clone(&opened));
        threads.push(spawn(move || {
            let mut rng = Rng::new(u64::from(index) + 900);
            let mut port = 30_000 + index * 200;
            while !end.load(Ordering::Relaxed) {
                port += 1;
                if let Some(mut flow) = client.open(port, ORDERS, &mut rng) {
                    opened.fetch_add(1, Ordering::Relaxed);
                    let _ = flow.request(&format!("new-{port}"), "feeds", 2, 0, DEADLINE);
                    flow.close();
                }
                sleep(Duration::from_millis(200));
            }
        }));
    }
    sleep(Duration::from_secs(20));
    end.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let fill: Vec<_> = feeds.iter().map(|row| row.fill()).collect();
    let (own, busy) = (own.end(), busy.end());
    world.record.say(&format!(
        "{} more flows opened; flows and ignored openings of the endpoints {fill:?}; {} requests of \
         the own zone's flows and {} to the other service answered",
        opened.load(Ordering::Relaxed),
        own.1,
        busy.1
    ));
    world.end();
    Ok(own.0 == 8 && (!has_trouble || fill.iter().all(|row| row.1 > 0)))
}

/// Desired states in quick succession add routes, which clients use at once, while the machines of a
/// zone are stopped and started in turn.
fn route_new(mut world: World, has_trouble: bool) -> Result<bool> {
    add_endpoints(&mut world, "orders", 2)?;
    let vip = |number: u16| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 9_000 + number);
    let state = |count: u16| {
        let routes: Vec<String> = (0..count)
            .map(|number| route(&format!("r-{number}"), vip(number), "safe", "orders"))
            .collect();
        desired(u64::from(count) * 3, &routes, &["orders"])
    };
    let mut routes = 1;
    world.store.put("op/config", state(routes).as_bytes());
    for zone in ["z-a", "z-a", "z-a", "z-b", "z-b", "z-c", "z-c"] {
        let index = world.add_host(zone)?;
        world.start_host(index)?;
    }
    if !world.wait_until_ready() {
        world.end();
        return Ok(false);
    }
    world.record.say("all hosts are in rotation");
    let client = ClientHost::start(&world, 0, "z-a")?;
    let endpoints = Arc::new(world.endpoints.clone());
    let opened = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    sleep(Duration::from_secs(4));
    for round in 0..40 {
        let stopped = round % 3;
        if has_trouble {
            world.hosts[stopped].signal("TERM");
            let name = world.hosts[stopped].name.clone();
            world.record.line(&format!("{name} is asked to stop"));
        }
        for _ in 0..5 {
            let (number, target) = (routes, vip(routes));
            routes += 1;
            world.store.put("op/config", state(routes).as_bytes());
            world.record.line(&format!(
                "a desired state with the new route r-{number} is acknowledged"
            ));
            for index in 0..8 {
                let (client, record) = (client.clone(), world.record.clone());
                let (endpoints, opened) = (Arc::clone(&endpoints), Arc::clone(&opened));
                threads.push(spawn(move || {
                    let port = 10_000 + number * 240 + index * 30;
                    if use_route(&client, target, port, &record, &endpoints) {
                        opened.fetch_add(1, Ordering::Relaxed);
                    }
                }));
            }
            sleep(Duration::from_millis(330));
        }
        if has_trouble {
            world.hosts[stopped].stop();
            world.restart_host(stopped)?;
        }
        sleep(Duration::from_millis(700));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let opened = opened.load(Ordering::Relaxed);
    world.record.say(&format!(
        "{opened} flows opened on {} new routes",
        routes - 1
    ));
    world.end();
    Ok(opened >= 1_000)
}

/// Opens a flow on a new route, again after each reset as long as hosts do not know it yet, and makes
/// requests on it for about a second. Returns true if a flow was opened.
fn use_route(
    client: &ClientHost,
    vip: SocketAddrV4,
    first_port: u16,
    record: &Record,
    endpoints: &[Arc<Endpoint>],
) -> bool {
    let mut rng = Rng::new(u64::from(first_port));
    for port in first_port..first_port + 30 {
        let Some(mut flow) = client.open(port, vip, &mut rng) else {
            sleep(Duration::from_millis(50));
            continue;
        };
        for request in 0..20 {
            let id = format!("{}-{port}-{request}", vip.port());
            let outcome = flow.request(&id, "orders", 5, 0, DEADLINE);
            if judge(record, endpoints, &flow, &outcome) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        flow.close();
        return true;
    }
    false
}
