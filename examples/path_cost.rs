//! Measures what the traffic path costs: processor time a packet, memory a flow,
//! and the longest step of a lane that holds many flows.
//!
//! `cargo run --release --example path_cost`

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::unchecked_time_subtraction,
    reason = "figures of a measurement"
)]

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use jacinthhinge::prelude::*;
use jacinthhinge::systems::{self, BATCH_SIZE};
use jacinthhinge::tables::{Arrival, Flow, FlowState, Outbox, Tables};
use jacinthhinge::wire;
use smallvec::smallvec;

/// Flows that the lane holds.
const FLOWS: u64 = 250_000;

/// Batches that a figure is the mean of.
const ROUNDS: u32 = 2_000;

/// Snapshots published.
const SNAPSHOTS: u32 = 21;

/// Timer ticks run, twice round the table of flows.
const TICKS: u32 = 40;

/// Bytes of a page, as `/proc/self/statm` counts.
const PAGE: usize = 4_096;

/// Length of the content of a packet.
const CONTENT: usize = 512;

fn main() {
    println!("| what | endpoints | hosts | ns |");
    println!("| --- | ---: | ---: | ---: |");
    for (endpoints, hosts) in [(14, 4), (140, 4), (700, 4), (14, 108)] {
        packets(endpoints, hosts);
        print_row(
            "request, whole",
            endpoints,
            hosts,
            request(endpoints, hosts, 0),
        );
        print_row("flow opened", endpoints, hosts, open(endpoints, hosts));
    }
    print_row("request, 20,000 records", 14, 4, request(14, 4, 20_000));
    println!();
    held();
}

/// Cost of flow packets by the way they take.
fn packets(endpoints: usize, hosts: usize) {
    let mut tables = lane(endpoints, hosts);
    let ticketed: Vec<Packet> = (0..BATCH_SIZE as u64)
        .map(|flow| with_ticket(&tables, flow))
        .collect();
    let ns = per_packet(&mut tables, &ticketed, false);
    print_row("by ticket", endpoints, hosts, ns);
    let ns = per_packet(&mut tables, &ticketed, true);
    print_row("by ticket, with encoding", endpoints, hosts, ns);
    let homes: Vec<u64> = (0..)
        .filter(|flow| is_home(&tables, *flow))
        .take(BATCH_SIZE)
        .collect();
    for flow in &homes {
        hold(&mut tables, *flow);
    }
    let known: Vec<Packet> = homes.iter().map(|flow| up(*flow)).collect();
    let ns = per_packet(&mut tables, &known, false);
    print_row("known, without ticket", endpoints, hosts, ns);
    let others = (0..).filter(|flow| !is_home(&tables, *flow));
    let foreign: Vec<Packet> = others.take(BATCH_SIZE).map(up).collect();
    let ns = per_packet(&mut tables, &foreign, false);
    print_row("forwarded", endpoints, hosts, ns);
}

fn per_packet(tables: &mut Tables, packets: &[Packet], encoding: bool) -> f64 {
    let now = Duration::from_secs(1);
    let bytes: Vec<Bytes> = packets
        .iter()
        .map(|p| wire::encode_packet(p).into())
        .collect();
    let start = used();
    for _ in 0..ROUNDS {
        let mut out = Outbox::default();
        for (packet, bytes) in packets.iter().zip(&bytes) {
            let packet = if encoding {
                wire::decode_packet(bytes.clone()).expect("own encoding")
            } else {
                packet.clone()
            };
            tables.inbox.push(Arrival::new(packet.caller, packet));
        }
        systems::run(tables, now, &mut out);
        assert_eq!(out.datagrams.len(), packets.len());
        if encoding {
            for send in &out.datagrams {
                black_box(wire::encode_packet(&send.packet));
            }
        }
        black_box(out);
    }
    (used() - start).as_nanos() as f64 / (f64::from(ROUNDS) * packets.len() as f64)
}

/// Cost of requests from the first packet to the answer, with `records` of older
/// ones held.
fn request(endpoints: usize, hosts: usize, records: u64) -> f64 {
    const REQUESTS: u64 = 20_000;
    let mut tables = lane(endpoints, hosts);
    let mut out = Outbox::default();
    let now = Duration::from_millis(10);
    let flows: Vec<u64> = (0..)
        .filter(|flow| is_home(&tables, *flow))
        .take((REQUESTS + records) as usize)
        .collect();
    let (old, new) = flows.split_at(records as usize);
    for flow in old {
        ask(&mut tables, *flow, now, &mut out);
    }
    let start = used();
    for (count, flow) in new.iter().enumerate() {
        ask(&mut tables, *flow, now, &mut out);
        if count % 100 == 0 {
            systems::run_timers(&mut tables, now, &mut out);
        }
    }
    let taken = used() - start;
    assert_eq!(tables.counters.answered_requests, REQUESTS + records);
    taken.as_nanos() as f64 / REQUESTS as f64
}

/// One request with its dispatch, acknowledgement and answer.
fn ask(tables: &mut Tables, flow: u64, now: Duration, out: &mut Outbox) {
    out.datagrams.clear();
    let part = Part {
        index: 0,
        total: 1,
        data: Bytes::from_static(&[0; CONTENT]),
    };
    let body = Body::Ask {
        request: 1,
        class: Class::Lookup,
        time_left: Duration::from_millis(300),
        part: part.clone(),
    };
    feed(tables, packet(flow, body), now, out);
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
    feed(tables, work.reply(work.ticket.clone(), ack), now, out);
    let load = load();
    let answer = Body::Answer {
        request,
        dispatch,
        load,
        part,
    };
    feed(tables, work.reply(work.ticket.clone(), answer), now, out);
}

/// Cost of opening and closing a flow.
fn open(endpoints: usize, hosts: usize) -> f64 {
    let mut tables = lane(endpoints, hosts);
    let mut out = Outbox::default();
    let now = Duration::from_secs(10);
    let homes: Vec<u64> = (0..)
        .filter(|flow| is_home(&tables, *flow))
        .take(20_000)
        .collect();
    let start = used();
    for flow in &homes {
        out.datagrams.clear();
        feed(&mut tables, packet(*flow, Body::Open), now, &mut out);
        let open = out.datagrams.pop().expect("an endpoint is asked").packet;
        let load = load();
        feed(
            &mut tables,
            open.reply(open.ticket.clone(), Body::Opened { load }),
            now,
            &mut out,
        );
    }
    (used() - start).as_nanos() as f64 / homes.len() as f64
}

fn feed(tables: &mut Tables, packet: Packet, now: Duration, out: &mut Outbox) {
    tables.inbox.push(Arrival::new(packet.caller, packet));
    systems::run(tables, now, out);
}

/// Memory and longest steps with many flows held.
fn held() {
    let mut tables = lane(700, 4);
    let mut out = Outbox::default();
    let before = resident();
    for flow in 0..FLOWS {
        hold(&mut tables, flow);
    }
    let bytes = (resident() - before) as f64 / FLOWS as f64;
    println!("| with {FLOWS} flows | |");
    println!("| --- | ---: |");
    println!("| bytes a flow | {bytes:.0} |");
    let mut snapshot = (*tables.snapshot).clone();
    let now = Duration::from_secs(2);
    let published = timed(SNAPSHOTS, |_| {
        snapshot.services = Arc::new((*snapshot.services).clone());
        systems::apply_snapshot(&mut tables, Arc::new(snapshot.clone()), now, &mut out);
    });
    print_micros("publish a snapshot, median", median(&published));
    let ticks = timed(TICKS, |tick| {
        systems::run_timers(&mut tables, now + systems::TICK_INTERVAL * tick, &mut out);
    });
    print_micros("timer tick, median", median(&ticks));
    print_micros("timer tick, longest", ticks[ticks.len() - 1]);
}

/// Sorted times on the clock of `count` runs.
fn timed(count: u32, mut run: impl FnMut(u32)) -> Vec<Duration> {
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

fn print_micros(name: &str, taken: Duration) {
    println!("| {name}, us | {:.0} |", taken.as_secs_f64() * 1e6);
}

/// Processor time that this thread has used; other load on the machine does not
/// count.
fn used() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("schedstat is readable");
    let nanos = text
        .split_whitespace()
        .next()
        .expect("schedstat has fields");
    Duration::from_nanos(nanos.parse().expect("time is a number"))
}

/// Resident bytes of this process.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages = text
        .split_whitespace()
        .nth(1)
        .expect("statm has two fields");
    pages.parse::<usize>().expect("pages are a number") * PAGE
}

/// A lane that has heard all its endpoints.
fn lane(endpoints: usize, hosts: usize) -> Tables {
    let keys = TicketKeys::new("one", "two");
    let mut snapshot = Snapshot::empty(keys).with_services([service(endpoints)]);
    snapshot.hosts = (0..hosts).map(host).collect();
    snapshot.lease.until = Duration::from_hours(1);
    let own = host(0);
    let me = Home {
        host: own.id,
        incarnation: own.incarnation,
        addr: own.lanes[0],
    };
    let empty = Arc::new(Snapshot::empty(TicketKeys::new("one", "two")));
    let mut tables = Tables::new(me, empty, 1);
    let mut out = Outbox::default();
    systems::apply_snapshot(&mut tables, Arc::new(snapshot), Duration::ZERO, &mut out);
    for send in std::mem::take(&mut out.datagrams) {
        let body = Body::Probed {
            known: false,
            load: load(),
        };
        let packet = send.packet.reply(send.packet.ticket.clone(), body);
        feed(&mut tables, packet, Duration::from_millis(1), &mut out);
    }
    tables
}

fn hold(tables: &mut Tables, flow: u64) {
    let mut row = Flow::new(&up(flow), FlowState::Open, Duration::from_secs(1));
    row.target = Some(target(tables));
    tables.flows.insert(row);
}

fn with_ticket(tables: &Tables, flow: u64) -> Packet {
    let mut packet = up(flow);
    packet.ticket = tables.seal_ticket(Side::Caller, &packet, tables.home, Some(target(tables)));
    packet
}

fn target(tables: &Tables) -> Target {
    let row = tables
        .endpoints
        .iter()
        .next()
        .expect("a service has endpoints");
    row.ticket_target()
}

fn is_home(tables: &Tables, flow: u64) -> bool {
    let home = tables.snapshot.home(&up(flow).key());
    home.is_none_or(|home| home == tables.home)
}

fn up(flow: u64) -> Packet {
    let data = Bytes::from_static(&[0; CONTENT]);
    packet(flow, Body::Up { seq: 1, data })
}

fn packet(flow: u64, body: Body) -> Packet {
    Packet {
        service: Id::of("adserve"),
        caller: SocketAddr::from(([10, 9, 0, 1], 9)),
        flow,
        hops: 0,
        ticket: Bytes::new(),
        body,
    }
}

fn load() -> Load {
    Load {
        incarnation: 1,
        ..Load::default()
    }
}

fn host(index: usize) -> Host {
    let name: Name = format!("host-{index}").into();
    Host {
        id: Id::of(&name),
        name,
        incarnation: 1,
        lanes: smallvec![SocketAddr::from(([10, 0, 0, index as u8], 1))],
        leaving: false,
    }
}

fn service(endpoints: usize) -> Service {
    let policy = Policy {
        rank: 1,
        deadline: Duration::from_millis(300),
        service_time: Duration::from_millis(10),
    };
    Service {
        id: Id::of("adserve"),
        name: "adserve".into(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        classes: [policy; Class::ALL.len()],
        drain_limit: Duration::from_mins(1),
        idle_limit: Duration::from_mins(1),
        retry_share: 0.1,
        reserved_slots: 1,
    }
}

fn endpoint(index: usize) -> Endpoint {
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
