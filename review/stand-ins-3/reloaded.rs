//! Another writer replaces the entry of an endpoint until its next status report. Meanwhile the
//! settings files of two machines change.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{End, Machine, SystemReset};
use crate::record::Record;
use crate::world::{Failure, RouteSpec, World};

const CLIENTS: u64 = 60;
const DEADLINE: Duration = Duration::from_millis(1_500);

const FEED: RouteSpec = RouteSpec {
    name: "r-feed",
    addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443),
    service: "bestel",
    kind: "safe",
    priority: 2,
};

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let zones = ["kortrijk", "gent", "roeselare"];
    let mut world = World::new(record, &zones, &crate::healed::machines(zones))?;
    world.set_desired(&[FEED], &[("bestel", 2_000)]);
    world.add_site_endpoints(zones, Duration::from_millis(20))?;
    world.start_hosts()?;
    let machine = world.add_machine(zones[0])?;
    let resets: Arc<Mutex<Vec<SystemReset>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (machine, is_over, resets) = (
                Arc::clone(&machine),
                Arc::clone(&is_over),
                Arc::clone(&resets),
            );
            thread::spawn(move || client(&machine, index, &is_over, &resets))
        })
        .collect();
    thread::sleep(Duration::from_secs(7));
    if has_trouble {
        let of_zone = world
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.spec.zone == zones[0]);
        let most_used = of_zone.max_by_key(|endpoint| endpoint.open_flows().len());
        let endpoint = Arc::clone(most_used.ok_or("no endpoint")?);
        record.say(&format!(
            "another writer replaces the entry of {}, with {} open flows",
            endpoint.spec.id,
            endpoint.open_flows().len()
        ));
        world
            .store
            .put(&endpoint.spec.key(), Some("{\"Service\":".to_owned()));
        thread::sleep(Duration::from_millis(550));
        for host in &world.hosts[..2] {
            record.line(&format!("the settings of {} change", host.spec.name));
            host.add_zone("brugge")?;
            host.signal("HUP");
        }
        thread::sleep(Duration::from_millis(600));
        world
            .store
            .put(&endpoint.spec.key(), Some(endpoint.entry("ready")));
        record.line(&format!("{} reports its status", endpoint.spec.id));
    }
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| "a client has ended early")?;
    }
    let resets = resets.lock().map_err(|_| "a client has ended early")?;
    let mut broken = Vec::new();
    for reset in resets.iter() {
        // The endpoint still holds the flow: it has not reset it.
        if let Some(owner) = world.owner(reset) {
            broken.push(format!(
                "FLOW: {} on {} is reset by {} at {:.3}; {} holds it",
                reset.flow.client,
                reset.flow.route,
                reset.from,
                reset.at.as_secs_f64(),
                owner.spec.id
            ));
        }
    }
    world.end()?;
    Ok(broken)
}

/// Makes one request after the other on a flow.
fn client(
    machine: &Arc<Machine>,
    index: u64,
    is_over: &AtomicBool,
    resets: &Mutex<Vec<SystemReset>>,
) {
    thread::sleep(Duration::from_millis(41 * index));
    while !is_over.load(Ordering::Relaxed) {
        let Some(mut flow) = machine.open(FEED.addr) else {
            thread::sleep(Duration::from_millis(100));
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
            if flow.idle(Duration::from_millis(500)).is_some() {
                break;
            }
        }
        flow.close();
    }
}
