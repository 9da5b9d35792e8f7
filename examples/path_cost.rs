//! Measures the cost of the traffic path: processor time per packet, memory per flow,
//! and the duration of snapshot updates and timer ticks in a lane with many flows.
//!
//! `cargo run --release --example path_cost`

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::unchecked_time_subtraction,
    reason = "measured figures need no exact conversion"
)]

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use jacinthhinge::prelude::*;
use jacinthhinge::systems::{self, BATCH_SIZE};
use jacinthhinge::tables::{Arrival, Flow, FlowState, Outbox, Tables};
use jacinthhinge::wire;
use smallvec::smallvec;

/// Number of flows in the lane when memory and tick durations are measured.
const HELD_FLOWS: u64 = 250_000;

/// Number of batches over which the time per packet is averaged.
const BATCHES: u32 = 2_000;

/// Number of snapshots published; the median is reported.
const PUBLISHED_SNAPSHOTS: u32 = 21;

/// Number of timer ticks run, which sweep the flow table twice.
const TIMER_TICKS: u32 = 40;

/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

/// Size of the content of a packet.
const CONTENT_BYTES: usize = 512;

fn main() {
    println!("| what | endpoints | hosts | ns |");
    println!("| --- | ---: | ---: | ---: |");
    for (endpoints, hosts) in [(14, 4), (140, 4), (700, 4), (14, 108)] {
        measure_packets(endpoints, hosts);
        print_row(
            "request, complete",
            endpoints,
            hosts,
            ns_per_request(endpoints, hosts, 0),
        );
        print_row(
            "flow opened",
            endpoints,
            hosts,
            ns_per_open(endpoints, hosts),
        );
    }
    print_row(
        "request, 20,000 records",
        14,
        4,
        ns_per_request(14, 4, 20_000),
    );
    println!();
    measure_held_flows();
}

/// Prints the time per packet of a flow, by how the packet is routed.
fn measure_packets(endpoints: usize, hosts: usize) {
    let mut tables = new_lane(endpoints, hosts);
    let ticketed: Vec<Packet> = (0..BATCH_SIZE as u64)
        .map(|flow| ticketed_packet(&tables, flow))
        .collect();
    let ns = ns_per_packet(&mut tables, &ticketed, false);
    print_row("by ticket", endpoints, hosts, ns);
    let ns = ns_per_packet(&mut tables, &ticketed, true);
    print_row("by ticket, with encoding", endpoints, hosts, ns);
    let homes: Vec<u64> = (0..)
        .filter(|flow| is_home(&tables, *flow))
        .take(BATCH_SIZE)
        .collect();
    for flow in &homes {
        insert_flow(&mut tables, *flow);
    }
    let tracked: Vec<Packet> = homes.iter().map(|flow| data_packet(*flow)).collect();
    let ns = ns_per_packet(&mut tables, &tracked, false);
    print_row("known, without ticket", endpoints, hosts, ns);
    let others = (0..).filter(|flow| !is_home(&tables, *flow));
    let forwarded: Vec<Packet> = others.take(BATCH_SIZE).map(data_packet).collect();
    let ns = ns_per_packet(&mut tables, &forwarded, false);
    print_row("forwarded", endpoints, hosts, ns);
}

fn ns_per_packet(tables: &mut Tables, packets: &[Packet], with_encoding: bool) -> f64 {
    let now = Duration::from_secs(1);
    let bytes: Vec<Bytes> = packets
        .iter()
        .map(|p| wire::encode_packet(p).into())
        .collect();
    let start = thread_cpu_time();
    for _ in 0..BATCHES {
        let mut out = Outbox::default();
        for (packet, bytes) in packets.iter().zip(&bytes) {
            let packet = if with_encoding {
                wire::decode_packet(bytes.clone()).expect("own encoding")
            } else {
                packet.clone()
            };
            tables.inbox.push(Arrival::new(packet.caller, packet));
        }
        systems::run(tables, now, &mut out);
        assert_eq!(out.datagrams.len(), packets.len());
        if with_encoding {
            for datagram in &out.datagrams {
                black_box(wire::encode_packet(&datagram.packet));
            }
        }
        black_box(out);
    }
    (thread_cpu_time() - start).as_nanos() as f64 / (f64::from(BATCHES) * packets.len() as f64)
}

/// Returns the time per request from its first packet to the answer, in nanoseconds, while
/// the lane holds the records of `records` earlier requests.
fn ns_per_request(endpoints: usize, hosts: usize, records: u64) -> f64 {
    const REQUESTS: u64 = 20_000;
    let mut tables = new_lane(endpoints, hosts);
    let mut out = Outbox::default();
    let now = Duration::from_millis(10);
    let flows: Vec<u64> = (0..)
        .filter(|flow| is_home(&tables, *flow))
        .take((REQUESTS + records) as usize)
        .collect();
    let (old, new) = flows.split_at(records as usize);
    for flow in old {
        run_request(&mut tables, *flow, now, &mut out);
    }
    let start = thread_cpu_time();
    for (count, flow) in new.iter().enumerate() {
        run_request(&mut tables, *flow, now, &mut out);
        if count % 100 == 0 {
            systems::run_timers(&mut tables, now, &mut out);
        }
    }
    let elapsed = thread_cpu_time() - start;
    assert_eq!(tables.counters.answered_requests, REQUESTS + records);
    elapsed.as_nanos() as f64 / REQUESTS as f64
}

/// Processes one request with its dispatch, acknowledgement and answer.
fn run_request(tables: &mut Tables, flow: u64, now: Duration, out: &mut Outbox) {
    out.datagrams.clear();
    let part = Part {
        index: 0,
        total: 1,
        data: Bytes::from_static(&[0; CONTENT_BYTES]),
    };
    let body = Body::Ask {
        request: 1,
        class: Class::Lookup,
        time_left: Duration::from_millis(300),
        part: part.clone(),
    };
    process_packet(tables, new_packet(flow, body), now, out);
    let work = out
        .datagrams
        .pop()
        .expect("the request is dispatched")
        .packet;
    let Body::Work {
        request, dispatch, ..
    } = work.body
    else {
        panic!("the last packet is the dispatch");
    };
    let ack = Body::PartAck {
        request: dispatch,
        index: 0,
    };
    process_packet(tables, work.reply(work.ticket.clone(), ack), now, out);
    let load = new_load();
    let answer = Body::Answer {
        request,
        dispatch,
        load,
        part,
    };
    process_packet(tables, work.reply(work.ticket.clone(), answer), now, out);
}

/// Returns the time to open a flow, in nanoseconds.
fn ns_per_open(endpoints: usize, hosts: usize) -> f64 {
    let mut tables = new_lane(endpoints, hosts);
    let mut out = Outbox::default();
    let now = Duration::from_secs(10);
    let homes: Vec<u64> = (0..)
        .filter(|flow| is_home(&tables, *flow))
        .take(20_000)
        .collect();
    let start = thread_cpu_time();
    for flow in &homes {
        out.datagrams.clear();
        process_packet(&mut tables, new_packet(*flow, Body::Open), now, &mut out);
        let open_packet = out
            .datagrams
            .pop()
            .expect("the open is forwarded to an endpoint")
            .packet;
        let load = new_load();
        process_packet(
            &mut tables,
            open_packet.reply(open_packet.ticket.clone(), Body::Opened { load }),
            now,
            &mut out,
        );
    }
    (thread_cpu_time() - start).as_nanos() as f64 / homes.len() as f64
}

fn process_packet(tables: &mut Tables, packet: Packet, now: Duration, out: &mut Outbox) {
    tables.inbox.push(Arrival::new(packet.caller, packet));
    systems::run(tables, now, out);
}

/// Prints the memory per flow, and the duration of updates and ticks with many flows.
fn measure_held_flows() {
    let mut tables = new_lane(700, 4);
    let mut out = Outbox::default();
    let before = resident_bytes();
    for flow in 0..HELD_FLOWS {
        insert_flow(&mut tables, flow);
    }
    let flow_bytes = (resident_bytes() - before) as f64 / HELD_FLOWS as f64;
    println!("| with {HELD_FLOWS} flows | |");
    println!("| --- | ---: |");
    println!("| bytes per flow | {flow_bytes:.0} |");
    let mut snapshot = (*tables.snapshot).clone();
    let now = Duration::from_secs(2);
    let publish_times = time_runs(PUBLISHED_SNAPSHOTS, |_| {
        snapshot.services = Arc::new((*snapshot.services).clone());
        systems::apply_snapshot(&mut tables, Arc::new(snapshot.clone()), now, &mut out);
    });
    print_micros("publish a snapshot, median", median(&publish_times));
    let tick_times = time_runs(TIMER_TICKS, |tick| {
        systems::run_timers(&mut tables, now + systems::TICK_INTERVAL * tick, &mut out);
    });
    print_micros("timer tick, median", median(&tick_times));
    print_micros("timer tick, longest", tick_times[tick_times.len() - 1]);
}

/// Returns the sorted wall-clock times of `count` runs.
fn time_runs(count: u32, mut run: impl FnMut(u32)) -> Vec<Duration> {
    let mut times: Vec<Duration> = (0..count)
        .map(|index| {
            let start = Instant::now();
            run(index);
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times
}

fn median(times: &[Duration]) -> Duration {
    times[times.len() / 2]
}

fn print_row(name: &str, endpoints: usize, hosts: usize, ns: f64) {
    println!("| {name} | {endpoints} | {hosts} | {ns:.0} |");
}

fn print_micros(name: &str, elapsed: Duration) {
    println!("| {name}, us | {:.0} |", elapsed.as_secs_f64() * 1e6);
}

/// Returns the processor time used by this thread, which excludes other load on the machine.
fn thread_cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat is readable");
    let nanos = text
        .split_whitespace()
        .next()
        .expect("schedstat has fields");
    Duration::from_nanos(nanos.parse().expect("time is a number"))
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages = text
        .split_whitespace()
        .nth(1)
        .expect("statm has two fields");
    pages.parse::<usize>().expect("pages are a number") * PAGE_BYTES
}

/// Creates a lane in which every endpoint has answered its probe.
fn new_lane(endpoints: usize, hosts: usize) -> Tables {
    let keys = TicketKeys::new("one", "two");
    let mut snapshot = Snapshot::empty(keys).with_services([new_service(endpoints)]);
    snapshot.hosts = (0..hosts).map(new_host).collect();
    snapshot.lease.until = Duration::from_hours(1);
    let own = new_host(0);
    let home = Home {
        host: own.id,
        incarnation: own.incarnation,
        addr: own.lanes[0],
    };
    let empty = Arc::new(Snapshot::empty(TicketKeys::new("one", "two")));
    let mut tables = Tables::new(home, empty, 1);
    let mut out = Outbox::default();
    systems::apply_snapshot(&mut tables, Arc::new(snapshot), Duration::ZERO, &mut out);
    for datagram in std::mem::take(&mut out.datagrams) {
        let body = Body::Probed {
            known: false,
            load: new_load(),
        };
        let packet = datagram.packet.reply(datagram.packet.ticket.clone(), body);
        process_packet(&mut tables, packet, Duration::from_millis(1), &mut out);
    }
    tables
}

fn insert_flow(tables: &mut Tables, flow: u64) {
    let mut row = Flow::new(&data_packet(flow), FlowState::Open, Duration::from_secs(1));
    row.target = Some(first_target(tables));
    tables.flows.insert(row);
}

fn ticketed_packet(tables: &Tables, flow: u64) -> Packet {
    let mut packet = data_packet(flow);
    packet.ticket = tables.seal_ticket(
        Side::Caller,
        &packet,
        tables.home,
        Some(first_target(tables)),
    );
    packet
}

fn first_target(tables: &Tables) -> Target {
    let row = tables
        .endpoints
        .iter()
        .next()
        .expect("a service has endpoints");
    row.ticket_target()
}

fn is_home(tables: &Tables, flow: u64) -> bool {
    let home = tables.snapshot.home(&data_packet(flow).key());
    home.is_none_or(|home| home == tables.home)
}

fn data_packet(flow: u64) -> Packet {
    let data = Bytes::from_static(&[0; CONTENT_BYTES]);
    new_packet(flow, Body::Up { seq: 1, data })
}

fn new_packet(flow: u64, body: Body) -> Packet {
    Packet {
        service: Id::of("adserve"),
        caller: SocketAddr::from(([10, 9, 0, 1], 9)),
        flow,
        hops: 0,
        ticket: Bytes::new(),
        body,
    }
}

fn new_load() -> Load {
    Load {
        incarnation: 1,
        ..Load::default()
    }
}

fn new_host(index: usize) -> Host {
    let name: Name = format!("host-{index}").into();
    Host {
        availability_zone: "".into(),
        id: Id::of(&name),
        name,
        incarnation: 1,
        lanes: smallvec![SocketAddr::from(([10, 0, 0, index as u8], 1))],
        leaving: false,
    }
}

fn new_service(endpoints: usize) -> Service {
    let policy = Policy {
        rank: 1,
        deadline: Duration::from_millis(300),
        service_time: Duration::from_millis(10),
    };
    Service {
        retired: false,
        warmup_limit: None,
        id: Id::of("adserve"),
        name: "adserve".into(),
        endpoints: (0..endpoints).map(new_endpoint).collect(),
        classes: [policy; Class::ALL.len()],
        drain_limit: Duration::from_mins(1),
        idle_limit: Duration::from_mins(1),
        retry_share: 0.1,
        reserved_slots: 1,
    }
}

fn new_endpoint(index: usize) -> Endpoint {
    let name: Name = format!("adserve-{index}").into();
    let (high, low) = ((index / 250) as u8, (index % 250) as u8);
    Endpoint {
        id: Id::of(&name),
        name,
        addr: SocketAddr::from(([10, 1, high, low], 1)),
        zone: "sv-a".into(),
        slots: 3,
        max_conns: 2_000,
        weight: 1.0,
        draining: false,
        ..Endpoint::new("", SocketAddr::from(([10, 1, high, low], 1)))
    }
}
