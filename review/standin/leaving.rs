//! Planned work: one endpoint of a zone drains and leaves. Two others there, of another service, work
//! on longer requests meanwhile, which a page of three pictures asks for at once. Their flows must
//! not be reset.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use crate::client::Habit;
use crate::neighbour::judge;
use crate::world::{World, config, route};

const VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// Time between the report as draining and the end of the endpoint: `DrainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(3500);

pub fn run(trouble: bool) -> std::io::Result<bool> {
    let vips = [8443, 8444, 8445].map(|port| SocketAddrV4::new(VIP, port));
    let routes = [
        route("stream", vips[0], "adserve", "safe", 250),
        route("proof", vips[1], "proofing", "safe", 1000),
        route("confirm", vips[2], "booking", "unsafe", 300),
    ];
    let services = ["adserve", "proofing", "booking"];
    let mut world = World::start(
        &["sv-a", "sv-a", "sv-b", "sv-c"],
        &config(1, &routes, &services),
    )?;
    let leaving = world.add_endpoint("adserve", "sv-c", 3)?;
    for (service, zone, count) in [
        ("proofing", "sv-c", 2),
        ("adserve", "sv-a", 4),
        ("adserve", "sv-b", 3),
        ("proofing", "sv-a", 1),
        ("booking", "sv-a", 2),
        ("booking", "sv-b", 2),
    ] {
        for _ in 0..count {
            world.add_endpoint(service, zone, 3)?;
        }
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
    let proofs = Habit {
        name: "proof",
        vip: vips[1],
        work_ms: (400, 500),
        deadline: Duration::from_secs(5),
        period: Some(Duration::from_millis(900)),
        ..streams.clone()
    };
    let confirms = Habit {
        name: "confirm",
        vip: vips[2],
        pause_ms: (200, 400),
        safe: false,
        keeps_flow: false,
        ..streams.clone()
    };
    let now = Instant::now();
    for (index, zone) in ["sv-a", "sv-b", "sv-c"].into_iter().enumerate() {
        let ip = world.at(2, index as u8 + 1);
        let node = world.clients.add_node(ip, zone)?;
        world.clients.add_users(node, 14, &streams, now);
        world.clients.add_users(node, 10, &confirms, now);
        if zone == "sv-c" {
            world.clients.add_users(node, 3, &proofs, now);
        }
    }
    world.run_for(Duration::from_secs(12))?;
    if trouble {
        let id = world.endpoints[leaving].id.clone();
        world.record.line(&format!("DRAIN {id}"));
        world.endpoints[leaving].draining = true;
        let store = world.store.clone();
        world.endpoints[leaving].report(&store);
    }
    world.run_for(DRAIN)?;
    if trouble {
        let key = world.endpoints[leaving].key();
        world.endpoints[leaving].crash(Instant::now());
        world.store.put(&key, None);
        world.record.line(&format!("{key} has left"));
    }
    world.run_for(Duration::from_secs(6))?;
    judge(&mut world);
    world.finish(&["zone_down", "zone_up", "endpoint_down", "reset"]);
    Ok(!world.record.broken.is_empty())
}
