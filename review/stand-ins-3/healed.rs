//! An endpoint is cut off from the machines for 5.5 s. Clients whose flows to it were idle all the
//! while send their next request 5 s after the cut has healed.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{End, Machine, SystemReset};
use crate::record::Record;
use crate::world::{Failure, IDLE_TIMEOUT, MAX_FLOW, RouteSpec, STABLE_WINDOW, World};

const CUT_AT: Duration = Duration::from_millis(11_000);
const CUT_FOR: Duration = Duration::from_millis(5_500);
/// Next requests on the idle flows.
const NEXT_AT: Duration = Duration::from_millis(21_500);
const END_AT: Duration = Duration::from_millis(25_000);
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Routes of the ordering service: long flows for its feed, and a flow for each order.
const FEED: RouteSpec = RouteSpec {
    name: "r-feed",
    addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443),
    service: "bestel",
    kind: "safe",
    priority: 2,
};
const ORDER: RouteSpec = RouteSpec {
    name: "r-order",
    addr: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080),
    service: "bestel",
    kind: "unsafe",
    priority: 1,
};

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let zones = ["kortrijk", "gent", "roeselare"];
    let mut world = World::new(record, &zones, &machines(zones))?;
    world.set_desired(&[FEED, ORDER], &[("bestel", 2_000)]);
    world.add_site_endpoints(zones, Duration::from_millis(20))?;
    world.start_hosts()?;
    let resets: Arc<Mutex<Vec<SystemReset>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let (ready, counts) = channel();
    for machine_index in 0..3 {
        let machine = world.add_machine(zones[0])?;
        for index in 0..8 {
            let index = 3 * index + machine_index;
            threads.push(thread::spawn({
                let (machine, record, resets, ready) = (
                    Arc::clone(&machine),
                    Arc::clone(record),
                    Arc::clone(&resets),
                    ready.clone(),
                );
                move || idle_client(&machine, index, &record, &resets, &ready)
            }));
        }
        for index in 0..6 {
            threads.push(busy_client(&machine, FEED, index, &is_over, &resets));
        }
        for index in 0..3 {
            threads.push(busy_client(&machine, ORDER, index, &is_over, &resets));
        }
    }
    for zone in &zones[1..] {
        let machine = world.add_machine(zone)?;
        for index in 0..4 {
            threads.push(busy_client(&machine, FEED, index, &is_over, &resets));
        }
    }
    drop(ready);
    let opened = counts.iter().take(24).filter(|is_open| *is_open).count();
    record.say(&format!("{opened} idle flows"));
    record.sleep_until(CUT_AT);
    // The endpoint of the zone with the most idle flows.
    let of_zone = world
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.spec.zone == zones[0]);
    let cut = Arc::clone(
        of_zone
            .max_by_key(|endpoint| endpoint.open_flows().len())
            .ok_or("no endpoint")?,
    );
    if has_trouble {
        record.say(&format!(
            "{} is cut off with {} open flows",
            cut.spec.id,
            cut.open_flows().len()
        ));
        cut.set_cut(true);
    }
    record.sleep_until(CUT_AT + CUT_FOR);
    if has_trouble {
        cut.set_cut(false);
        record.say(&format!(
            "{} is reached again, with {} open flows",
            cut.spec.id,
            cut.open_flows().len()
        ));
    }
    record.sleep_until(END_AT);
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| "a client has ended early")?;
    }
    let calm_from = CUT_AT + CUT_FOR + STABLE_WINDOW;
    let resets = resets.lock().map_err(|_| "a client has ended early")?;
    let mut broken = Vec::new();
    for reset in resets.iter() {
        let is_calm = !has_trouble || reset.at < CUT_AT || reset.at >= calm_from;
        let counts = is_calm && reset.idle < IDLE_TIMEOUT && reset.age < MAX_FLOW;
        // The endpoint still holds the flow: it has not reset it.
        if let Some(owner) = world.owner(reset).filter(|_| counts) {
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

/// Opens a flow, makes two requests and the next one after a pause.
fn idle_client(
    machine: &Arc<Machine>,
    index: u64,
    record: &Record,
    resets: &Mutex<Vec<SystemReset>>,
    ready: &std::sync::mpsc::Sender<bool>,
) {
    thread::sleep(Duration::from_millis(200 + 120 * index));
    let Some(mut flow) = machine.open(FEED.addr) else {
        let _ = ready.send(false);
        return;
    };
    let _ = ready.send(matches!(flow.request(DEADLINE), End::Answered));
    let times = [
        Duration::from_millis(7_300 + 60 * index),
        NEXT_AT + Duration::from_millis(20 * index),
    ];
    for time in times {
        let ended = flow.idle(time.saturating_sub(record.now()));
        match ended.unwrap_or_else(|| flow.request(DEADLINE)) {
            End::Answered | End::NotRun => {}
            End::SystemReset(reset) => {
                resets
                    .lock()
                    .unwrap_or_else(|err| err.into_inner())
                    .push(reset);
                return;
            }
            _ => return,
        }
    }
    flow.idle(END_AT.saturating_sub(record.now()));
    flow.close();
}

/// Makes one request after the other: on one flow for the feed, on a flow each for orders.
fn busy_client(
    machine: &Arc<Machine>,
    route: RouteSpec,
    index: u64,
    is_over: &Arc<AtomicBool>,
    resets: &Arc<Mutex<Vec<SystemReset>>>,
) -> thread::JoinHandle<()> {
    let (machine, is_over, resets) = (Arc::clone(machine), Arc::clone(is_over), Arc::clone(resets));
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(230 * index));
        let mut open = None;
        while !is_over.load(Ordering::Relaxed) {
            if open.is_none() {
                open = machine.open(route.addr);
            }
            let Some(flow) = &mut open else { continue };
            let end = flow.request(DEADLINE);
            if let End::SystemReset(reset) = &end {
                resets
                    .lock()
                    .unwrap_or_else(|err| err.into_inner())
                    .push(reset.clone());
            }
            let is_open = matches!(end, End::Answered | End::NotRun);
            if route.kind == "unsafe"
                || !is_open
                || flow.idle(Duration::from_millis(600 + 11 * index)).is_some()
            {
                flow.close();
                open = None;
                thread::sleep(Duration::from_millis(300));
            }
        }
        if let Some(flow) = &mut open {
            flow.close();
        }
    })
}

/// The machines of the site, the spare ones included, by name and zone.
pub fn machines(zones: [&'static str; 3]) -> [(&'static str, &'static str); 7] {
    [
        ("edge-kortrijk-1", zones[0]),
        ("edge-kortrijk-2", zones[0]),
        ("edge-kortrijk-3", zones[0]),
        ("edge-gent-1", zones[1]),
        ("edge-gent-2", zones[1]),
        ("edge-roeselare-1", zones[2]),
        ("edge-roeselare-2", zones[2]),
    ]
}
