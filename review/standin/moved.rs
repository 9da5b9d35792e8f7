//! The settings files change: the platform's store has another address. Half of the hosts get
//! SIGHUP. Both addresses serve for a while, and then only the new one does. Later changes of the
//! desired state and of the endpoints must still be in force in time.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use crate::client::Habit;
use crate::hosts::Signal;
use crate::world::{STORE_PORT, World, config, route};

const VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// `ConfigApplyMs` and `DrainMs`.
const APPLY: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(3);

/// Time for which both addresses serve, and time from then on until the first change: longer
/// than `StableWindowMs`, `ConfigApplyMs` and `OuterMs` together.
const OVERLAP: Duration = Duration::from_secs(12);
const SETTLE: Duration = Duration::from_secs(20);

/// Time between two signals.
const SIGNAL_GAP: Duration = Duration::from_secs(2);

pub fn run(trouble: bool) -> std::io::Result<bool> {
    let vips = [8443, 8444, 8445].map(|port| SocketAddrV4::new(VIP, port));
    let mut routes = vec![
        route("stream", vips[0], "adserve", "safe", 250),
        route("confirm", vips[1], "adserve", "unsafe", 300),
    ];
    let services = ["adserve"];
    let mut world = World::start(
        &["sv-a", "sv-a", "sv-b", "sv-c"],
        &config(3, &routes, &services),
    )?;
    for zone in ["sv-a", "sv-a", "sv-b", "sv-b", "sv-c", "sv-c"] {
        world.add_endpoint("adserve", zone, 3)?;
    }
    world.start_hosts()?;
    let streams = Habit {
        name: "stream",
        vip: vips[0],
        work_ms: (20, 60),
        pause_ms: (100, 300),
        deadline: Duration::from_millis(2500),
        safe: true,
        keeps_flow: true,
        period: None,
    };
    let confirms = Habit {
        name: "confirm",
        vip: vips[1],
        pause_ms: (100, 300),
        safe: false,
        keeps_flow: false,
        ..streams.clone()
    };
    let added = Habit {
        name: "added",
        vip: vips[2],
        pause_ms: (200, 400),
        ..confirms.clone()
    };
    let now = Instant::now();
    let mut nodes = Vec::new();
    for (index, zone) in ["sv-a", "sv-b", "sv-c"].into_iter().enumerate() {
        let ip = world.at(2, index as u8 + 1);
        let node = world.clients.add_node(ip, zone)?;
        world.clients.add_users(node, 6, &streams, now);
        world.clients.add_users(node, 6, &confirms, now);
        nodes.push(node);
    }
    world.run_for(Duration::from_secs(5))?;
    if trouble {
        let moved = SocketAddrV4::new(world.at(0, 2), STORE_PORT);
        let listener = world.store.listen(moved)?;
        world.record.line(&format!(
            "the store also serves at {moved}; the settings files change"
        ));
        for index in 0..world.hosts.len() {
            world.hosts[index].move_store(moved)?;
        }
        for index in 0..world.hosts.len() / 2 {
            world.hosts[index].signal(Signal::Hangup);
            world.run_for(SIGNAL_GAP)?;
        }
        world.run_for(OVERLAP)?;
        world
            .record
            .line("the store no longer serves at its old address");
        if let Some(old) = world.listener.replace(listener) {
            old.close();
        }
        world.run_for(SETTLE)?;
    } else {
        world.run_for(OVERLAP + SETTLE)?;
    }

    routes.push(route("added", vips[2], "adserve", "unsafe", 300));
    world
        .store
        .put("op/config", Some(&config(7, &routes, &services)));
    let changed_at = Instant::now();
    world.record.line("ack of version 7, which adds a route");
    let leaving = 2;
    world.endpoints[leaving].draining = true;
    let store = world.store.clone();
    world.endpoints[leaving].report(&store);
    let drained_at = Instant::now();
    let leaver = world.endpoints[leaving].id.clone();
    world.record.line(&format!("ack of {leaver} as draining"));
    world.run_until(changed_at + APPLY + Duration::from_millis(100), |_| false)?;
    let probes_from = Instant::now();
    for node in nodes {
        world.clients.add_users(node, 3, &added, probes_from);
    }
    world.run_for(Duration::from_secs(5))?;

    for reset in std::mem::take(&mut world.clients.resets) {
        if reset.opened.is_none() && reset.flow.vip == vips[2] && reset.at > probes_from {
            let late = probes_from.duration_since(changed_at).as_millis();
            let text = format!(
                "host {} reset an opening to a route that was added {late} ms before the first client used it",
                reset.host
            );
            world.record.broken("CONFIG", &text);
        }
    }
    let late: Vec<String> = world
        .record
        .openings
        .iter()
        .filter(|opening| opening.endpoint == leaver && opening.at > drained_at + DRAIN)
        .map(|opening| {
            let late = opening.at.duration_since(drained_at).as_millis();
            format!(
                "opening {} reached {leaver} through {} {late} ms after its report as draining",
                opening.flow.client,
                opening.host.ip()
            )
        })
        .collect();
    for text in late {
        world.record.broken("DRAIN", &text);
    }
    world.finish(&[
        "settings_in_force",
        "settings_unchanged",
        "store_lost",
        "desired_in_force",
    ]);
    Ok(!world.record.broken.is_empty())
}
