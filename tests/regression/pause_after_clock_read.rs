//! Guards against stale requests: a traffic thread read its clock before its socket, so it did
//! not notice a pause between the two reads, and forwarded requests that had waited in the
//! socket as fresh ones.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use jacinthhinge::front::lane::{Codec, Lane, SharedState};
use jacinthhinge::prelude::*;
use jacinthhinge::wire;

use super::common::{World, addr, ms};

/// Returns an encoded order of a caller without a ticket.
fn encoded_request(world: &World, flow: u64) -> Vec<u8> {
    let part = Part {
        index: 0,
        total: 1,
        data: Bytes::new(),
    };
    wire::encode_packet(&Packet {
        service: *world.config.services.keys().next().expect("a service"),
        caller: addr("10.2.0.1:9000"),
        flow,
        hops: 0,
        ticket: Bytes::new(),
        body: Body::Ask {
            request: 1,
            class: Class::Order,
            time_left: ms(2_000),
            part,
        },
    })
}

fn local_socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").expect("a socket")
}

#[test]
fn a_pause_between_the_clock_and_socket_reads_is_detected() {
    let mut world = World::new(1, 2);
    world.add_service("bestel", 1, 1);
    let (home_socket, free_addr, sender) =
        (local_socket(), local_socket().local_addr(), local_socket());
    let lane_addr = free_addr.expect("an address");
    let mut snapshot = world.config.clone();
    let mut hosts = [world.host_entry(0), world.host_entry(1)];
    hosts[0].lanes = [lane_addr].into_iter().collect();
    hosts[1].lanes = [home_socket.local_addr().expect("an address")]
        .into_iter()
        .collect();
    let mut lane_home = world.hosts[0].tables.home;
    lane_home.addr = lane_addr;
    snapshot.hosts = hosts.into();
    let caller = addr("10.2.0.1:9000");
    let is_remote = |flow: &u64| {
        let key = FlowKey {
            caller,
            flow: *flow,
        };
        snapshot
            .home(&key)
            .is_some_and(|home| home.addr != lane_addr)
    };
    let flow = (1..100).find(is_remote).expect("a flow of the other host");
    let (is_armed, start) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let (trigger, clock_offset) = (Arc::clone(&is_armed), AtomicU64::new(0));
    let stale_request = encoded_request(&world, flow);
    let stale_sender = sender.try_clone().expect("a socket");
    let clock = Clock::new(move || {
        let now = start.elapsed() + ms(clock_offset.load(Ordering::SeqCst));
        if trigger.swap(false, Ordering::SeqCst) {
            stale_sender
                .send_to(&stale_request, lane_addr)
                .expect("a datagram");
            std::thread::sleep(ms(20));
            clock_offset.store(60_000, Ordering::SeqCst);
        }
        now
    });
    let shared = Arc::new(SharedState {
        policies: Arc::new(jacinthhinge::systems::Policies::with_defaults()),
        snapshot: Arc::new(snapshot).into(),
        reports: arc_swap::ArcSwap::default(),
    });
    let running_lane =
        Lane::start(lane_home, shared, clock, 1, Arc::new(Codec::for_packets())).expect("a lane");
    home_socket
        .set_read_timeout(Some(ms(600)))
        .expect("a timeout");
    std::thread::sleep(ms(200));
    is_armed.store(true, Ordering::SeqCst);
    sender.send_to(b"junk", lane_addr).expect("a datagram");
    let mut buffer = [0; 1_500];
    assert!(
        home_socket.recv_from(&mut buffer).is_err(),
        "a stale request was forwarded"
    );
    sender
        .send_to(&encoded_request(&world, flow), lane_addr)
        .expect("a datagram");
    assert!(
        home_socket.recv_from(&mut buffer).is_ok(),
        "the fresh request was not forwarded"
    );
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.expect("a runtime").block_on(running_lane.stop());
}
