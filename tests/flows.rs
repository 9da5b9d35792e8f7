//! Established flows survive planned changes and deaths of balancers, silent ones
//! are reset, and no packet reaches another service.

mod common;

use std::collections::{BTreeSet, HashMap};

use common::callers::{CallerRow, Phase};
use common::endpoints::EndpointRow;
use common::{NetworkFaults, World, addr, fabric_addr, lane_addr, ms};
use jacinthhinge::id::rendezvous_weight;
use jacinthhinge::prelude::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const FLOWS: u64 = 40;

/// Four hosts before three endpoints, and open flows of a caller that echoes
/// tickets and of one that cannot.
fn streams(seed: u64) -> World {
    let mut world = World::new(seed, 4);
    world.add_service("adserve", 3, 3);
    world.converge();
    for (caller, echo) in [(0, true), (1, false)] {
        world.add_caller(echo);
        for flow in 1..=FLOWS {
            world.open_flow(caller, flow, "adserve", true);
        }
    }
    world.run_for(ms(7_000));
    assert_eq!(world.count_flows(|phase| phase == Phase::Open), 80);
    world
}

/// Flows broken and flows that bring nothing down, with and without ticket.
fn harm(world: &mut World) -> [(usize, usize); 2] {
    world.run_for(ms(1_500));
    let last: Vec<Vec<u64>> = world.callers.iter().map(seqs).collect();
    world.run_for(ms(1_500));
    for row in &world.callers {
        let ends = row
            .flows
            .iter()
            .filter(|(_, flow)| flow.phase != Phase::Open);
        let ends = ends.map(|(number, flow)| (number, flow.phase, flow.reset_at));
        println!("echo={} {:?}", row.echoes_tickets, ends.collect::<Vec<_>>());
    }
    [0, 1].map(|caller| {
        let flows = world.callers[caller].flows.values();
        let mute = flows.zip(&last[caller]).filter(|(flow, seq)| {
            flow.phase == Phase::Open && flow.received_seqs.last().is_none_or(|down| down <= seq)
        });
        let mute = mute.count();
        (broken(&world.callers[caller]), mute)
    })
}

fn seqs(row: &CallerRow) -> Vec<u64> {
    row.flows.values().map(|flow| flow.last_seq).collect()
}

fn broken(row: &CallerRow) -> usize {
    let phases = row.flows.values().map(|flow| flow.phase);
    phases
        .filter(|phase| matches!(phase, Phase::Reset(_)))
        .count()
}

const UNHARMED: [(usize, usize); 2] = [(0, 0), (0, 0)];

#[test]
fn flows_survive_the_rolling_replacement_of_all_hosts() {
    let mut world = streams(1);
    for host in 0..4 {
        world.hosts[host].leaving = true;
        world.converge();
        world.run_for(ms(2_500));
        world.kill(host);
        world.converge();
        world.run_for(ms(1_000));
        world.restart(host);
        world.converge();
        world.run_for(ms(1_000));
    }
    assert_eq!(harm(&mut world), UNHARMED);
}

#[test]
fn flows_survive_changes_of_endpoints_that_reach_hosts_unevenly() {
    let mut world = streams(2);
    world.endpoints[0].config_draining = true;
    world.add_service("adserve", 0, 3);
    let mut fresh = EndpointRow::new("adserve", 9, addr("10.1.7.7:8000"), 3, 5);
    fresh.incarnation = world.now_micros();
    world.endpoints.push(fresh);
    world.configure();
    for host in 0..4 {
        world.hosts[host].config = world.config.clone();
        world.publish_snapshot(host);
        world.run_for(ms(700));
    }
    world.endpoints[0].removed = true;
    world.configure();
    world.converge();
    assert_eq!(harm(&mut world), UNHARMED);
}

/// The host dies; the others learn it three seconds later.
fn death(world: &mut World, host: usize) {
    world.kill(host);
    world.run_for(ms(3_000));
    world.converge();
}

#[test]
fn flows_survive_the_death_of_a_host() {
    let mut world = streams(3);
    death(&mut world, 2);
    world.run_for(ms(2_500));
    assert_eq!(harm(&mut world), UNHARMED);
    death(&mut world, 0);
    world.run_for(ms(2_500));
    assert_eq!(harm(&mut world), UNHARMED);
}

#[test]
fn flows_survive_a_host_that_crashes_and_comes_back() {
    let mut world = streams(4);
    world.kill(1);
    world.run_for(ms(1_000));
    world.restart(1);
    world.set_live_hosts(1, &[0, 1, 2, 3]);
    world.run_for(ms(2_000));
    world.converge();
    world.run_for(ms(2_500));
    assert_eq!(harm(&mut world), UNHARMED);
}

#[test]
fn a_host_without_configuration_turns_no_flow_away() {
    let mut world = streams(5);
    world.kill(1);
    world.restart(1);
    let empty = Snapshot::empty(TicketKeys::new("", ""));
    world.hosts[1].config = empty;
    world.hosts[1].tables.snapshot = Arc::new(Snapshot::empty(TicketKeys::new("", "")));
    world.run_for(ms(4_000));
    world.converge();
    assert_eq!(harm(&mut world), UNHARMED);
}

#[test]
fn flows_of_a_paused_host_survive_its_wake() {
    let mut world = streams(6);
    world.pause(2, ms(9_000), 2);
    world.run_for(ms(11_000));
    assert_eq!(harm(&mut world), UNHARMED);
}

#[test]
fn flows_of_an_endpoint_that_restarts_are_reset_in_seconds() {
    let mut world = streams(7);
    let held = world.endpoints[1].flows.len();
    let incarnation = world.now_micros();
    world.endpoints[1].restart(incarnation);
    world.run_for(ms(3_000));
    assert!(held > 0);
    assert_eq!(world.reset_count(), held);
}

#[test]
fn silent_flows_are_reset_and_idle_ones_left_alone() {
    let mut world = streams(8);
    for flow in 1..=FLOWS {
        // Some flows only ping, and of those without ticket some only send.
        let [first, second] = [0, 1].map(|caller| (caller, flow));
        for (caller, flow) in [first, second] {
            let row = world.callers[caller].flows.get_mut(&flow).expect("a flow");
            row.send_interval = (flow % 2 == 0).then_some(ms(500));
            row.sends_pings = caller == 0 || flow % 2 == 1;
        }
    }
    world.run_for(ms(60_000));
    assert_eq!(world.reset_count(), 0);
    let deaf = [3, 4, 5, 6];
    for endpoint in &mut world.endpoints {
        endpoint.ignored_flows.extend(deaf);
    }
    world.run_for(ms(8_000));
    let broken: Vec<u64> = world.callers.iter().flat_map(lost).collect();
    assert_eq!(broken, [3, 4, 5, 6, 3, 4, 5, 6]);
}

fn lost(row: &CallerRow) -> Vec<u64> {
    let broken = |phase| matches!(phase, Phase::Reset(_));
    let flows = row.flows.iter().filter(|(_, flow)| broken(flow.phase));
    flows.map(|(number, _)| *number).collect()
}

#[test]
fn healthy_flows_survive_a_lossy_network() {
    let mut world = streams(9);
    world.faults.loss_rate = 0.03;
    world.faults.duplicate_rate = 0.05;
    world.run_for(ms(180_000));
    assert_eq!(world.reset_count(), 0);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_and_ends_at_the_drain_limit() {
    for told in [true, false] {
        let mut world = streams(10);
        world.drain_limit = ms(20_000);
        world.configure();
        world.converge();
        let held = world.endpoints[0].flows.len();
        if told {
            world.endpoints[0].config_draining = true;
            world.configure();
            world.converge();
        } else {
            world.endpoints[0].reports_draining = true;
        }
        world.run_for(ms(2_000));
        let (placed, runs) = (world.endpoints[0].opened_flows, world.executions.len());
        for flow in 100..200 {
            world.open_flow(0, flow, "adserve", true);
            world.send_request(1, 1, flow, Class::Lookup, ms(2_000), 1);
            world.run_for(ms(50));
        }
        let late = world.executions[runs..]
            .iter()
            .filter(|run| run.endpoint == 0);
        assert_eq!(late.count(), 0, "told={told}");
        assert_eq!(world.endpoints[0].opened_flows, placed, "told={told}");
        assert_eq!(world.reset_count(), 0);
        world.run_for(ms(18_000));
        assert_eq!(world.reset_count(), held, "told={told}");
    }
}

#[test]
fn a_leaving_host_cuts_no_request() {
    for echo in [true, false] {
        let mut world = World::new(11, 4);
        world.add_service("bestel", 4, 60);
        world.converge();
        world.grant_leases(world.now + ms(60_000));
        world.add_caller(echo);
        for endpoint in &mut world.endpoints {
            endpoint.work_time = ms(900);
        }
        for flow in 1..=FLOWS {
            world.open_flow(0, flow, "bestel", false);
        }
        world.run_for(ms(300));
        for flow in 1..=FLOWS {
            world.send_request(0, flow, flow, Class::Order, ms(2_500), 2);
        }
        world.run_for(ms(300));
        world.hosts[1].leaving = true;
        world.converge();
        let before = world.hosts[1].tables.in_flight(world.now);
        assert!(before > 0);
        world.run_for(ms(3_500));
        assert_eq!(world.hosts[1].tables.in_flight(world.now), 0);
        let asks = world.callers[0].requests.values();
        let cut = asks.filter(|ask| ask.answer.is_none() || !ask.outcomes.is_empty());
        assert_eq!(cut.count(), 0, "echo={echo}");
        assert_eq!(world.executions.len(), 40, "echo={echo}");
    }
}

#[test]
fn answers_reach_callers_whose_home_died() {
    for echo in [true, false] {
        let mut world = World::new(12, 4);
        world.add_service("bestel", 4, 60);
        world.converge();
        world.grant_leases(world.now + ms(60_000));
        world.add_caller(echo);
        world.open_flow(0, 1, "bestel", false);
        world.run_for(ms(300));
        world.endpoints[0].answer_parts = 5;
        world.send_request(0, 1, 1, Class::Order, ms(2_500), 1);
        for _ in 0..3 {
            world.run_for(ms(8));
        }
        assert_eq!(
            (
                world.execution_count(0, 1),
                world.request(0, 1).answer.is_some()
            ),
            (1, false)
        );
        let home = world.hosts[0].tables.snapshot.home(&FlowKey {
            caller: world.callers[0].addr,
            flow: 1,
        });
        let home = home.expect("a home").addr;
        let dead = (0..4)
            .find(|host| lane_addr(*host) == home)
            .expect("a host");
        world.kill(dead);
        world.hosts[dead].in_rotation = false;
        world.run_for(ms(500));
        assert!(world.request(0, 1).answer.is_some(), "echo={echo}");
    }
}

#[test]
fn a_bad_ticket_reaches_no_service() {
    let mut world = streams(13);
    world.add_service("kleurmatch", 2, 2);
    world.converge();
    let ticket = world.flow(0, 1).ticket.clone();
    let other = world.flow(0, 2).ticket.clone();
    let mut bad = vec![
        (Id::of("kleurmatch"), ticket.clone()),
        (Id::of("adserve"), other),
    ];
    for cut in 0..ticket.len() {
        let mut flipped = ticket.to_vec();
        flipped[cut] ^= 4;
        bad.push((Id::of("adserve"), flipped.into()));
        bad.push((Id::of("adserve"), ticket.slice(..cut.max(1))));
    }
    let (ups, strays) = (
        world.sum_counter(|c| c.ticket_forwards),
        world.misrouted_packets,
    );
    for row in &mut world.callers {
        row.flows
            .values_mut()
            .for_each(|flow| flow.send_interval = None);
        row.flows
            .values_mut()
            .for_each(|flow| flow.sends_pings = false);
    }
    world.run_for(ms(100));
    let ups = ups.max(world.sum_counter(|c| c.ticket_forwards));
    for (service, ticket) in &bad {
        let body = Body::Up {
            seq: 1,
            data: Bytes::new(),
        };
        let from = world.callers[0].addr;
        let packet = Packet {
            service: *service,
            caller: from,
            flow: 1,
            hops: 0,
            ticket: ticket.clone(),
            body,
        };
        world.send(from, fabric_addr(), &packet);
    }
    world.run_for(ms(500));
    assert_eq!(world.sum_counter(|c| c.rejected_tickets), bad.len() as u64);
    assert_eq!(
        (
            world.sum_counter(|c| c.ticket_forwards),
            world.misrouted_packets
        ),
        (ups, strays)
    );
}

#[test]
fn flows_survive_a_rotation_of_keys_in_two_steps() {
    let mut world = streams(14);
    for keys in [
        TicketKeys::new("one", "three"),
        TicketKeys::new("three", "one"),
    ] {
        world.config.keys = keys;
        for host in 0..4 {
            world.hosts[host].config = world.config.clone();
            world.publish_snapshot(host);
            world.run_for(ms(1_300));
        }
        world.run_for(ms(2_500));
    }
    world.config.keys = TicketKeys::new("three", "four");
    world.converge();
    assert_eq!(harm(&mut world), UNHARMED);
}

#[test]
fn an_address_that_changes_service_gets_nothing_of_the_old_one() {
    let mut world = streams(15);
    world.add_service("kleurmatch", 1, 2);
    world.converge();
    world.run_for(ms(300));
    let held = world.endpoints[0].flows.len();
    world.endpoints[0].configured_service = "kleurmatch".into();
    world.endpoints[0].service = "kleurmatch".into();
    let incarnation = world.now_micros();
    world.endpoints[0].restart(incarnation);
    world.configure();
    for host in 0..3 {
        world.hosts[host].config = world.config.clone();
        world.publish_snapshot(host);
    }
    // One host still has the old configuration; the endpoint's answer stops it.
    world.run_for(ms(3_000));
    assert_eq!(world.reset_count(), held);
    let strays = world.misrouted_packets;
    println!("packets refused by the endpoint itself: {strays}");
    world.run_for(ms(5_000));
    assert_eq!(world.misrouted_packets, strays);
    world.converge();
    world.run_for(ms(15_000));
    assert_eq!(
        (world.misrouted_packets, world.reset_count()),
        (strays, held)
    );
}

#[test]
fn uploads_and_answers_arrive_whole_through_a_lossy_network() {
    for seed in 0..20 {
        let mut world = World::new(seed, 4);
        world.add_service("creative-intake", 2, 30);
        world.converge();
        world.grant_leases(world.now + ms(60_000));
        world.faults = NetworkFaults {
            loss_rate: 0.1,
            duplicate_rate: 0.2,
            delay_rate: 0.3,
            max_delay: 200,
            encode_packets: seed % 2 == 0,
        };
        for endpoint in &mut world.endpoints {
            endpoint.answer_parts = 30;
        }
        for (caller, echo) in [(0, true), (1, false)] {
            world.add_caller(echo);
            world.open_flow(caller, 1, "creative-intake", false);
        }
        world.run_for(ms(1_500));
        for (caller, request) in [(0, 1), (1, 1), (0, 2), (1, 2)] {
            world.send_request(caller, 1, request, Class::Upload, ms(3_000), 150);
            world.send_request(caller, 1, request + 10, Class::Order, ms(3_000), 10);
        }
        world.run_for(ms(4_000));
        for row in &world.callers {
            for (request, ask) in &row.requests {
                let answer = ask.answer.as_ref().expect("an answer");
                assert_eq!(answer.len(), 30, "seed={seed} request={request}");
                assert!(answer.iter().all(|part| *part == answer[0]));
            }
        }
    }
}

/// What the two usual designs do with a packet.
#[derive(Clone, Copy)]
enum Design {
    Tables,
    Hashing,
}

/// Flows broken under the script of [`survival_table`], when each host decides by
/// its own table or by hashing alone.
fn broken_by(design: Design) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut views = vec![vec![0_u64, 1, 2]; 4];
    let mut tables = vec![HashMap::new(); 4];
    let mut broken = BTreeSet::new();
    let mut choose = |views: &[Vec<u64>], tables: &mut [HashMap<u64, u64>], flow: u64| {
        let host = rng.random_range(0..4_usize);
        let view = &views[host];
        match design {
            Design::Hashing => *view
                .iter()
                .max_by_key(|endpoint| rendezvous_weight(flow, Id(**endpoint)))
                .expect("an endpoint"),
            Design::Tables => {
                let own = view[rng.random_range(0..view.len())];
                *tables[host].entry(flow).or_insert(own)
            }
        }
    };
    let holders: Vec<u64> = (0..2 * FLOWS)
        .map(|flow| choose(&views, &mut tables, flow))
        .collect();
    for step in 0..6 {
        match step {
            0 | 4 => tables[step / 2].clear(),
            1 => views[..2].fill(vec![0, 1, 2, 3]),
            2 => views.fill(vec![0, 1, 2, 3]),
            3 => views[1..].fill(vec![1, 2, 3]),
            _ => views.fill(vec![1, 2, 3]),
        }
        for (flow, holder) in (0..).zip(&holders) {
            if choose(&views, &mut tables, flow) != *holder {
                broken.insert(flow);
            }
        }
    }
    broken.len()
}

/// Replaces two hosts, adds an endpoint and lets one leave, unevenly over the hosts.
#[test]
fn survival_table() {
    let mut world = streams(16);
    for step in 0..6 {
        match step {
            0 | 4 => {
                world.kill(step / 2);
                world.run_for(ms(3_000));
                world.restart(step / 2);
            }
            1 => {
                let incarnation = world.now_micros();
                let place = addr("10.1.1.9:8000");
                world
                    .endpoints
                    .push(EndpointRow::new("adserve", 9, place, 3, incarnation));
            }
            3 => world.endpoints[0].config_draining = true,
            _ => {}
        }
        world.configure();
        if matches!(step, 1 | 3) {
            for host in 0..2 {
                world.hosts[host].config = world.config.clone();
                world.publish_snapshot(host);
            }
        } else {
            world.converge();
        }
        world.run_for(ms(2_500));
    }
    let chosen = harm(&mut world);
    let (tables, hashing) = (broken_by(Design::Tables), broken_by(Design::Hashing));
    println!("broken flows of 80, under one script:");
    println!("| per-host tables only | {tables} |");
    println!("| hashing only | {hashing} |");
    println!("| tickets and recovery | {} |", world.reset_count());
    assert_eq!(chosen, UNHARMED);
    assert!(tables > 0 && hashing > 0);
}

#[derive(Clone, Debug)]
enum Change {
    Restart(usize),
    Death(usize),
    Leave(usize),
    Pause(usize, u64),
    See(usize, usize),
    Configure(usize),
    EndpointDrain(usize),
    Rotate,
    Faults(f64, f64),
    Agree,
}

fn change() -> impl Strategy<Value = Change> {
    let host = 0..4_usize;
    prop_oneof![
        host.clone().prop_map(Change::Restart),
        host.clone().prop_map(Change::Death),
        host.clone().prop_map(Change::Leave),
        (host.clone(), 100..6_000_u64).prop_map(|(host, time)| Change::Pause(host, time)),
        (host.clone(), 1..16_usize).prop_map(|(host, mask)| Change::See(host, mask)),
        host.prop_map(Change::Configure),
        (0..3_usize).prop_map(Change::EndpointDrain),
        Just(Change::Rotate),
        (0.0..0.05, 0.0..0.2)
            .prop_map(|(loss_rate, duplicate_rate)| Change::Faults(loss_rate, duplicate_rate)),
        Just(Change::Agree),
    ]
}

fn apply(world: &mut World, change: &Change) {
    match *change {
        Change::Restart(host) => {
            world.restart(host);
            world.set_live_hosts(host, &[0, 1, 2, 3]);
        }
        Change::Death(host) => {
            death(world, host);
            world.restart(host);
            world.converge();
        }
        Change::Leave(host) => {
            world.hosts[host].leaving = true;
            world.converge();
        }
        Change::Pause(host, time) => world.pause(host, ms(time), 2),
        Change::See(host, mask) => {
            let alive = (0..4).filter(|other| *other == host || mask >> other & 1 == 1);
            world.set_live_hosts(host, &alive.collect::<Vec<_>>());
        }
        Change::Configure(host) => {
            world.hosts[host].config = world.config.clone();
            world.publish_snapshot(host);
        }
        Change::EndpointDrain(endpoint) => {
            world.endpoints[endpoint].config_draining ^= true;
            world.configure();
        }
        Change::Rotate => {
            // Every host has the other key before it becomes the current one.
            if world.config.keys == TicketKeys::new("one", "two") {
                world.config.keys = TicketKeys::new("one", "three");
                world.converge();
                world.config.keys = TicketKeys::new("three", "one");
            }
        }
        Change::Faults(loss_rate, duplicate_rate) => {
            world.faults.loss_rate = loss_rate;
            world.faults.duplicate_rate = duplicate_rate;
        }
        Change::Agree => world.converge(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn flows_survive_random_changes(
        seed in any::<u64>(),
        changes in prop::collection::vec((0..2_500_u64, change()), 1..10),
    ) {
        let mut world = streams(seed);
        for (wait, change) in &changes {
            world.run_for(ms(*wait));
            apply(&mut world, change);
        }
        world.run_for(ms(7_000));
        world.faults = NetworkFaults::default();
        world.converge();
        world.run_for(ms(3_000));
        prop_assert_eq!(harm(&mut world), UNHARMED);
    }
}
