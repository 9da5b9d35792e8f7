//! Endpoints are emptied, leave and start again under their ids, one at a time, while machines are stopped and
//! started in turn.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Machine};
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::world::{Failure, RouteSpec, World};

const ROUNDS: usize = 23;
const CLIENTS: u64 = 45;

/// `DrainMs`, and a little longer.
const DRAIN: Duration = Duration::from_millis(3_200);
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Requests on a flow.
const REQUESTS: usize = 6;

/// Time between two requests on a flow.
const PAUSE: Duration = Duration::from_millis(20);

/// Machines of the zone that are stopped, in this order.
const STOPPED: [usize; 4] = [1, 0, 1, 2];

const FEED: RouteSpec = RouteSpec {
    name: "r-feed",
    addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443),
    service: "bestel",
    kind: "safe",
    priority: 2,
};

type Broken = Arc<Mutex<Vec<String>>>;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let zones = ["kortrijk", "gent", "roeselare"];
    let mut world = World::new(record, &zones, &crate::healed::machines(zones))?;
    world.set_desired(&[FEED], &[("bestel", 2_000)]);
    world.add_site_endpoints(zones, Duration::from_millis(5))?;
    world.start_hosts()?;
    let machines = [world.add_machine(zones[0])?, world.add_machine(zones[0])?];
    let broken = Broken::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let machine = Arc::clone(&machines[index as usize % machines.len()]);
            let (is_over, broken) = (Arc::clone(&is_over), Arc::clone(&broken));
            let endpoints = world.endpoints.clone();
            thread::spawn(move || client(&machine, index, &endpoints, &is_over, &broken))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let mut last_stopped = None;
    for round in 0..ROUNDS {
        // One of the five endpoints of the zone.
        let leaving = round % 5;
        let drained = Instant::now() + DRAIN;
        if has_trouble {
            world.drain(leaving);
        }
        if let Some(last) = last_stopped.take() {
            thread::sleep(Duration::from_millis(700));
            world.restart(last)?;
        }
        thread::sleep(drained.saturating_duration_since(Instant::now()));
        if has_trouble {
            world.leave(leaving);
        }
        thread::sleep(Duration::from_millis(400));
        if has_trouble {
            let stopped = STOPPED[round % STOPPED.len()];
            record.line(&format!("{} is stopped", world.hosts[stopped].spec.name));
            world.hosts[stopped].signal("TERM");
            last_stopped = Some(stopped);
        }
        // Differs, as the routers' probes and the machines' messages have a period of 500 ms.
        thread::sleep(Duration::from_millis(560 + 53 * round as u64 % 300));
        if has_trouble {
            world.start_again(leaving);
        }
    }
    thread::sleep(Duration::from_millis(700));
    if let Some(last) = last_stopped {
        world.restart(last)?;
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client has ended early")?;
    }
    world.end()?;
    let broken = broken.lock().map_err(|_| "a client has ended early")?;
    Ok(broken.clone())
}

/// Opens one flow after the other and makes some requests on each.
fn client(
    machine: &Arc<Machine>,
    index: u64,
    endpoints: &[Arc<Endpoint>],
    is_over: &AtomicBool,
    broken: &Mutex<Vec<String>>,
) {
    thread::sleep(Duration::from_millis(7 * index));
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut flow) = machine.open(FEED.addr) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        for _ in 0..REQUESTS {
            match flow.request(DEADLINE) {
                End::Answered | End::NotRun => {}
                End::SystemReset(reset) => {
                    // The endpoint still holds the flow: it has not reset it.
                    let owner = endpoints
                        .iter()
                        .find(|endpoint| endpoint.holds(&reset.flow));
                    if let Some(owner) = owner {
                        let line = format!(
                            "FLOW: {} on {} is reset by {} at {:.3}, open for {:.3} s; {} holds it",
                            reset.flow.client,
                            reset.flow.route,
                            reset.from,
                            reset.at.as_secs_f64(),
                            reset.age.as_secs_f64(),
                            owner.spec.id
                        );
                        broken
                            .lock()
                            .unwrap_or_else(|err| err.into_inner())
                            .push(line);
                    }
                    break;
                }
                _ => break,
            }
            if flow.idle(PAUSE).is_some() {
                break;
            }
        }
        flow.close();
    }
}
