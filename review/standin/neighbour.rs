//! One endpoint of a zone crashes for good, and its address goes to another service later. The
//! other endpoint there, of a third service, works on a longer request meanwhile. Its flows must not
//! be reset.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use crate::client::Habit;
use crate::world::{World, config, route};

const VIP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// Age up to which a flow counts (`MaxFlowS`).
const MAX_FLOW: Duration = Duration::from_secs(60);

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
    let crashing = world.add_endpoint("adserve", "sv-c", 3)?;
    world.add_endpoint("proofing", "sv-c", 3)?;
    for (service, zone, count) in [
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
        pause_ms: (50, 150),
        deadline: Duration::from_secs(5),
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
            world.clients.add_users(node, 1, &proofs, now);
        }
    }
    world.run_for(Duration::from_secs(12))?;
    let crashed_at = Instant::now();
    if trouble {
        let id = world.endpoints[crashing].id.clone();
        world.record.line(&format!("CRASH {id}"));
        world.endpoints[crashing].crash(crashed_at);
    }
    let expiry = crashed_at + 3 * crate::endpoint::REPORT_PERIOD;
    world.run_until(expiry, |_| false)?;
    if trouble {
        let key = world.endpoints[crashing].key();
        world.store.put(&key, None);
        world.record.line(&format!("{key} has expired"));
        world.run_for(Duration::from_secs(1))?;
        world.reuse_address(crashing, "booking")?;
    }
    world.run_for(Duration::from_secs(6))?;
    judge(&mut world);
    world.finish(&["zone_down", "zone_up", "endpoint_down", "reset"]);
    Ok(!world.record.broken.is_empty())
}

/// FLOW (a): a host reset an open flow whose endpoint lives and has not been disturbed.
///
/// No machine of the system is disturbed, and no endpoint but the one that crashes or leaves, so all
/// others are in touch all the while.
pub fn judge(world: &mut World) {
    for reset in std::mem::take(&mut world.clients.resets) {
        let Some(opened) = reset.opened else { continue };
        let holder = world
            .endpoints
            .iter()
            .find(|endpoint| endpoint.holds_open(&reset.flow));
        let Some(holder) = holder else { continue };
        let is_calm = holder.crashed.is_none() && !holder.draining;
        if is_calm && reset.at.duration_since(opened) < MAX_FLOW {
            let asked = reset.asked.as_deref().unwrap_or("no request");
            let text = format!(
                "host {} reset {}, open at {} of {}, which lives undisturbed and worked on {asked}",
                reset.host, reset.flow.client, holder.id, holder.service
            );
            world.record.broken("FLOW", &text);
        }
    }
}
