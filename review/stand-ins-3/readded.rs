//! Routes that were dropped are added back one after the other, while machines are stopped and
//! started in turn. Clients open flows on each route as soon as it is back.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{End, Machine, SystemReset};
use crate::record::Record;
use crate::world::{Failure, RouteSpec, World};

const ROUNDS: usize = 22;
const ROUTES: usize = 5;
const CLIENTS: u64 = 24;

/// Machines of the zone that are stopped, in this order.
const STOPPED: [usize; 4] = [1, 0, 1, 2];

/// `gap_s` of the site's `config_storm`.
const STORM_GAP: Duration = Duration::from_millis(330);
const DEADLINE: Duration = Duration::from_millis(1_500);

const BASE: RouteSpec = RouteSpec {
    name: "r-base",
    addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443),
    service: "bestel",
    kind: "safe",
    priority: 2,
};

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let zones = ["kortrijk", "gent", "roeselare"];
    let mut world = World::new(record, &zones, &crate::healed::machines(zones))?;
    let services = [("bestel", 2_000)];
    world.set_desired(&routes(ROUTES), &services);
    world.add_site_endpoints(zones, Duration::from_millis(5))?;
    world.start_hosts()?;
    let machines = [world.add_machine(zones[0])?, world.add_machine(zones[0])?];
    thread::sleep(Duration::from_secs(2));
    let resets: Arc<Mutex<Vec<SystemReset>>> = Arc::default();
    for round in 0..ROUNDS {
        world.set_desired(&routes(0), &services);
        thread::sleep(Duration::from_millis(1_000));
        let stopped = STOPPED[round % STOPPED.len()];
        if has_trouble {
            record.line(&format!("{} is stopped", world.hosts[stopped].spec.name));
            world.hosts[stopped].signal("TERM");
        }
        // Differs, as the routers' probes and the machines' messages have a period of 500 ms.
        thread::sleep(Duration::from_millis(150 + 67 * round as u64 % 330));
        let is_over = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for count in 1..=ROUTES {
            world.set_desired(&routes(count), &services);
            for index in 0..CLIENTS {
                let machine = Arc::clone(&machines[index as usize % machines.len()]);
                let (is_over, resets) = (Arc::clone(&is_over), Arc::clone(&resets));
                clients.push(thread::spawn(move || {
                    client(&machine, added(count).addr, index, &is_over, &resets);
                }));
            }
            thread::sleep(STORM_GAP);
        }
        thread::sleep(Duration::from_millis(700));
        is_over.store(true, Ordering::Relaxed);
        for client in clients {
            client.join().map_err(|_| "a client has ended early")?;
        }
        if has_trouble {
            world.restart(stopped)?;
        }
    }
    let resets = resets.lock().map_err(|_| "a client has ended early")?;
    let mut broken = Vec::new();
    for reset in resets.iter() {
        // The endpoint still holds the flow: it has not reset it.
        if let Some(owner) = world.owner(reset) {
            broken.push(format!(
                "FLOW: {} on {} is reset by {} at {:.3}, open for {:.3} s; {} holds it",
                reset.flow.client,
                reset.flow.route,
                reset.from,
                reset.at.as_secs_f64(),
                reset.age.as_secs_f64(),
                owner.spec.id
            ));
        }
    }
    world.end()?;
    Ok(broken)
}

/// Returns the route that is always in force, and the first `count` of the others.
fn routes(count: usize) -> Vec<RouteSpec> {
    std::iter::once(BASE)
        .chain((1..=count).map(added))
        .collect()
}

fn added(index: usize) -> RouteSpec {
    let names = [
        "r-added-1",
        "r-added-2",
        "r-added-3",
        "r-added-4",
        "r-added-5",
    ];
    RouteSpec {
        name: names[index - 1],
        addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 9_000 + index as u16),
        ..BASE
    }
}

/// Opens a flow on a route that was acknowledged, again until it opens, and uses it.
fn client(
    machine: &Arc<Machine>,
    route: SocketAddrV4,
    index: u64,
    is_over: &AtomicBool,
    resets: &Mutex<Vec<SystemReset>>,
) {
    thread::sleep(Duration::from_millis(2 * index));
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut flow) = machine.open(route) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        while !is_over.load(Ordering::Relaxed) {
            match flow.request(DEADLINE) {
                End::Answered | End::NotRun => {}
                End::SystemReset(reset) => {
                    resets
                        .lock()
                        .unwrap_or_else(|err| err.into_inner())
                        .push(reset);
                    break;
                }
                _ => break,
            }
            if flow.idle(Duration::from_millis(100)).is_some() {
                break;
            }
        }
        flow.close();
    }
}
