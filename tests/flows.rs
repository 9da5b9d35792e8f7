//! Tests that established flows survive planned changes and failures of hosts, that silent
//! flows are reset, and that no packet reaches an endpoint of another service.

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

const FLOWS_PER_CALLER: u64 = 40;

/// Returns a world with four hosts, three endpoints, and open flows of a caller that echoes
/// tickets and of one that cannot.
fn world_with_streams(seed: u64) -> World {
    let mut world = World::new(seed, 4);
    world.add_service("adserve", 3, 3);
    world.converge();
    for (caller, echo) in [(0, true), (1, false)] {
        world.add_caller(echo);
        for flow in 1..=FLOWS_PER_CALLER {
            world.open_flow(caller, flow, "adserve", true);
        }
    }
    world.run_for(ms(7_000));
    assert_eq!(world.count_flows(|phase| phase == Phase::Open), 80);
    world
}

/// Counts the flows that were reset and the open flows that receive nothing, for the caller
/// with tickets and the one without.
fn broken_and_stalled(world: &mut World) -> [(usize, usize); 2] {
    world.run_for(ms(1_500));
    let seqs_before: Vec<Vec<u64>> = world.callers.iter().map(last_seqs).collect();
    world.run_for(ms(1_500));
    for row in &world.callers {
        let not_open = row
            .flows
            .iter()
            .filter(|(_, flow)| flow.phase != Phase::Open);
        let not_open = not_open.map(|(number, flow)| (number, flow.phase, flow.reset_at));
        println!(
            "echo={} {:?}",
            row.echoes_tickets,
            not_open.collect::<Vec<_>>()
        );
    }
    [0, 1].map(|caller| {
        let flows = world.callers[caller].flows.values();
        let stalled = flows.zip(&seqs_before[caller]).filter(|(flow, seq)| {
            flow.phase == Phase::Open && flow.received_seqs.last().is_none_or(|down| down <= seq)
        });
        let stalled = stalled.count();
        (reset_count(&world.callers[caller]), stalled)
    })
}

fn last_seqs(row: &CallerRow) -> Vec<u64> {
    row.flows.values().map(|flow| flow.last_seq).collect()
}

fn reset_count(row: &CallerRow) -> usize {
    let phases = row.flows.values().map(|flow| flow.phase);
    phases
        .filter(|phase| matches!(phase, Phase::Reset(_)))
        .count()
}

const NO_DAMAGE: [(usize, usize); 2] = [(0, 0), (0, 0)];

#[test]
fn flows_survive_the_rolling_replacement_of_all_hosts() {
    let mut world = world_with_streams(1);
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
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

#[test]
fn flows_survive_changes_of_endpoints_that_reach_hosts_unevenly() {
    let mut world = world_with_streams(2);
    world.endpoints[0].config_draining = true;
    world.add_service("adserve", 0, 3);
    let mut new_endpoint = EndpointRow::new("adserve", 9, addr("10.1.7.7:8000"), 3, 5);
    new_endpoint.incarnation = world.now_micros();
    world.endpoints.push(new_endpoint);
    world.configure();
    for host in 0..4 {
        world.hosts[host].config = world.config.clone();
        world.publish_snapshot(host);
        world.run_for(ms(700));
    }
    world.endpoints[0].removed = true;
    world.configure();
    world.converge();
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

/// Kills a host; the others remove it from their host lists three seconds later.
fn kill_and_detect(world: &mut World, host: usize) {
    world.kill(host);
    world.run_for(ms(3_000));
    world.converge();
}

#[test]
fn flows_survive_the_death_of_a_host() {
    let mut world = world_with_streams(3);
    kill_and_detect(&mut world, 2);
    world.run_for(ms(2_500));
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
    kill_and_detect(&mut world, 0);
    world.run_for(ms(2_500));
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

#[test]
fn flows_survive_a_host_that_crashes_and_comes_back() {
    let mut world = world_with_streams(4);
    world.kill(1);
    world.run_for(ms(1_000));
    world.restart(1);
    world.set_live_hosts(1, &[0, 1, 2, 3]);
    world.run_for(ms(2_000));
    world.converge();
    world.run_for(ms(2_500));
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

#[test]
fn a_host_without_configuration_resets_no_flow() {
    let mut world = world_with_streams(5);
    world.kill(1);
    world.restart(1);
    let empty = Snapshot::empty(TicketKeys::new("", ""));
    world.hosts[1].config = empty;
    world.hosts[1].tables.snapshot = Arc::new(Snapshot::empty(TicketKeys::new("", "")));
    world.run_for(ms(4_000));
    world.converge();
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

#[test]
fn flows_of_a_paused_host_survive_its_resumption() {
    let mut world = world_with_streams(6);
    world.pause(2, ms(9_000), 2);
    world.run_for(ms(11_000));
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

#[test]
fn flows_of_an_endpoint_that_restarts_are_reset_within_three_seconds() {
    let mut world = world_with_streams(7);
    let affected = world.endpoints[1].flows.len();
    let incarnation = world.now_micros();
    world.endpoints[1].restart(incarnation);
    world.run_for(ms(3_000));
    assert!(affected > 0);
    assert_eq!(world.reset_count(), affected);
}

#[test]
fn silent_flows_are_reset_and_idle_ones_stay_open() {
    let mut world = world_with_streams(8);
    for flow in 1..=FLOWS_PER_CALLER {
        // Odd flows only ping; without tickets, even flows send data but no pings.
        let [first, second] = [0, 1].map(|caller| (caller, flow));
        for (caller, flow) in [first, second] {
            let row = world.callers[caller].flows.get_mut(&flow).expect("a flow");
            row.send_interval = (flow % 2 == 0).then_some(ms(500));
            row.sends_pings = caller == 0 || flow % 2 == 1;
        }
    }
    world.run_for(ms(60_000));
    assert_eq!(world.reset_count(), 0);
    let ignored = [3, 4, 5, 6];
    for endpoint in &mut world.endpoints {
        endpoint.ignored_flows.extend(ignored);
    }
    world.run_for(ms(8_000));
    let reset: Vec<u64> = world.callers.iter().flat_map(reset_flow_numbers).collect();
    assert_eq!(reset, [3, 4, 5, 6, 3, 4, 5, 6]);
}

fn reset_flow_numbers(row: &CallerRow) -> Vec<u64> {
    let is_reset = |phase| matches!(phase, Phase::Reset(_));
    let flows = row.flows.iter().filter(|(_, flow)| is_reset(flow.phase));
    flows.map(|(number, _)| *number).collect()
}

#[test]
fn healthy_flows_survive_a_lossy_network() {
    let mut world = world_with_streams(9);
    world.faults.loss_rate = 0.03;
    world.faults.duplicate_rate = 0.05;
    world.run_for(ms(180_000));
    assert_eq!(world.reset_count(), 0);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_and_ends_at_the_drain_limit() {
    for by_config in [true, false] {
        let mut world = world_with_streams(10);
        world.drain_limit = ms(20_000);
        world.configure();
        world.converge();
        let affected = world.endpoints[0].flows.len();
        if by_config {
            world.endpoints[0].config_draining = true;
            world.configure();
            world.converge();
        } else {
            world.endpoints[0].reports_draining = true;
        }
        world.run_for(ms(2_000));
        let (opened_before, runs_before) =
            (world.endpoints[0].opened_flows, world.executions.len());
        for flow in 100..200 {
            world.open_flow(0, flow, "adserve", true);
            world.send_request(1, 1, flow, Class::Lookup, ms(2_000), 1);
            world.run_for(ms(50));
        }
        let runs_at_leaving = world.executions[runs_before..]
            .iter()
            .filter(|run| run.endpoint == 0);
        assert_eq!(runs_at_leaving.count(), 0, "by_config={by_config}");
        assert_eq!(
            world.endpoints[0].opened_flows, opened_before,
            "by_config={by_config}"
        );
        assert_eq!(world.reset_count(), 0);
        world.run_for(ms(18_000));
        assert_eq!(world.reset_count(), affected, "by_config={by_config}");
    }
}

#[test]
fn requests_of_a_leaving_host_are_answered() {
    for echo in [true, false] {
        let mut world = World::new(11, 4);
        world.add_service("bestel", 4, 60);
        world.converge();
        world.grant_leases(world.now + ms(60_000));
        world.add_caller(echo);
        for endpoint in &mut world.endpoints {
            endpoint.work_time = ms(900);
        }
        for flow in 1..=FLOWS_PER_CALLER {
            world.open_flow(0, flow, "bestel", false);
        }
        world.run_for(ms(300));
        for flow in 1..=FLOWS_PER_CALLER {
            world.send_request(0, flow, flow, Class::Order, ms(2_500), 2);
        }
        world.run_for(ms(300));
        world.hosts[1].leaving = true;
        world.converge();
        let before = world.hosts[1].tables.in_flight(world.now);
        assert!(before > 0);
        world.run_for(ms(3_500));
        assert_eq!(world.hosts[1].tables.in_flight(world.now), 0);
        let requests = world.callers[0].requests.values();
        let unanswered =
            requests.filter(|request| request.answer.is_none() || !request.outcomes.is_empty());
        assert_eq!(unanswered.count(), 0, "echo={echo}");
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
        let home = home.expect("the flow has a home").addr;
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
fn packets_with_a_bad_ticket_reach_no_service() {
    let mut world = world_with_streams(13);
    world.add_service("kleurmatch", 2, 2);
    world.converge();
    let ticket = world.flow(0, 1).ticket.clone();
    let other = world.flow(0, 2).ticket.clone();
    let mut bad_tickets = vec![
        (Id::of("kleurmatch"), ticket.clone()),
        (Id::of("adserve"), other),
    ];
    for index in 0..ticket.len() {
        let mut flipped = ticket.to_vec();
        flipped[index] ^= 4;
        bad_tickets.push((Id::of("adserve"), flipped.into()));
        bad_tickets.push((Id::of("adserve"), ticket.slice(..index.max(1))));
    }
    let (forwards, misrouted) = (
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
    let forwards = forwards.max(world.sum_counter(|c| c.ticket_forwards));
    for (service, ticket) in &bad_tickets {
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
    assert_eq!(
        world.sum_counter(|c| c.rejected_tickets),
        bad_tickets.len() as u64
    );
    assert_eq!(
        (
            world.sum_counter(|c| c.ticket_forwards),
            world.misrouted_packets
        ),
        (forwards, misrouted)
    );
}

#[test]
fn flows_survive_a_key_rotation_in_two_steps() {
    let mut world = world_with_streams(14);
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
    assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
}

#[test]
fn an_endpoint_that_changes_service_gets_no_packets_of_the_old_one() {
    let mut world = world_with_streams(15);
    world.add_service("kleurmatch", 1, 2);
    world.converge();
    world.run_for(ms(300));
    let affected = world.endpoints[0].flows.len();
    world.endpoints[0].configured_service = "kleurmatch".into();
    world.endpoints[0].service = "kleurmatch".into();
    let incarnation = world.now_micros();
    world.endpoints[0].restart(incarnation);
    world.configure();
    for host in 0..3 {
        world.hosts[host].config = world.config.clone();
        world.publish_snapshot(host);
    }
    // The fourth host still has the old configuration until the endpoint rejects its packets.
    world.run_for(ms(3_000));
    assert_eq!(world.reset_count(), affected);
    let misrouted = world.misrouted_packets;
    println!("packets rejected by the endpoint itself: {misrouted}");
    world.run_for(ms(5_000));
    assert_eq!(world.misrouted_packets, misrouted);
    world.converge();
    world.run_for(ms(15_000));
    assert_eq!(
        (world.misrouted_packets, world.reset_count()),
        (misrouted, affected)
    );
}

#[test]
fn uploads_and_answers_arrive_complete_through_a_lossy_network() {
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
            for (number, request) in &row.requests {
                let answer = request.answer.as_ref().expect("an answer");
                assert_eq!(answer.len(), 30, "seed={seed} request={number}");
                assert!(answer.iter().all(|part| *part == answer[0]));
            }
        }
    }
}

/// The two usual designs: a flow table on each host, or hashing over the endpoints.
#[derive(Clone, Copy)]
enum Design {
    Tables,
    Hashing,
}

/// Counts the flows that the changes of
/// [`fewer_flows_break_than_with_tables_or_hashing_alone`] would break if each host chose
/// endpoints from its own table or by hashing alone.
fn count_broken(design: Design) -> usize {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut views = vec![vec![0_u64, 1, 2]; 4];
    let mut tables = vec![HashMap::new(); 4];
    let mut broken_flows = BTreeSet::new();
    let mut choose = |views: &[Vec<u64>], tables: &mut [HashMap<u64, u64>], flow: u64| {
        let host = rng.random_range(0..4_usize);
        let view = &views[host];
        match design {
            Design::Hashing => *view
                .iter()
                .max_by_key(|endpoint| rendezvous_weight(flow, Id(**endpoint)))
                .expect("an endpoint"),
            Design::Tables => {
                let chosen = view[rng.random_range(0..view.len())];
                *tables[host].entry(flow).or_insert(chosen)
            }
        }
    };
    let first_choices: Vec<u64> = (0..2 * FLOWS_PER_CALLER)
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
        for (flow, first_choice) in (0..).zip(&first_choices) {
            if choose(&views, &mut tables, flow) != *first_choice {
                broken_flows.insert(flow);
            }
        }
    }
    broken_flows.len()
}

/// Restarts two hosts, adds an endpoint and drains another, with changes that reach the
/// hosts at different times.
#[test]
fn fewer_flows_break_than_with_tables_or_hashing_alone() {
    let mut world = world_with_streams(16);
    for step in 0..6 {
        match step {
            0 | 4 => {
                world.kill(step / 2);
                world.run_for(ms(3_000));
                world.restart(step / 2);
            }
            1 => {
                let incarnation = world.now_micros();
                let endpoint_addr = addr("10.1.1.9:8000");
                world.endpoints.push(EndpointRow::new(
                    "adserve",
                    9,
                    endpoint_addr,
                    3,
                    incarnation,
                ));
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
    let damage = broken_and_stalled(&mut world);
    let (tables, hashing) = (count_broken(Design::Tables), count_broken(Design::Hashing));
    println!("flows broken of 80, by the same changes:");
    println!("| per-host tables only | {tables} |");
    println!("| hashing only | {hashing} |");
    println!("| tickets and recovery | {} |", world.reset_count());
    assert_eq!(damage, NO_DAMAGE);
    assert!(tables > 0 && hashing > 0);
}

/// A random change; the second number of `SetLiveHosts` is a bit mask of hosts.
#[derive(Clone, Debug)]
enum Change {
    Restart(usize),
    KillAndDetect(usize),
    Leave(usize),
    Pause(usize, u64),
    SetLiveHosts(usize, usize),
    Configure(usize),
    EndpointDrain(usize),
    RotateKeys,
    Faults(f64, f64),
    Converge,
}

fn change_strategy() -> impl Strategy<Value = Change> {
    let host = 0..4_usize;
    prop_oneof![
        host.clone().prop_map(Change::Restart),
        host.clone().prop_map(Change::KillAndDetect),
        host.clone().prop_map(Change::Leave),
        (host.clone(), 100..6_000_u64).prop_map(|(host, time)| Change::Pause(host, time)),
        (host.clone(), 1..16_usize).prop_map(|(host, mask)| Change::SetLiveHosts(host, mask)),
        host.prop_map(Change::Configure),
        (0..3_usize).prop_map(Change::EndpointDrain),
        Just(Change::RotateKeys),
        (0.0..0.05, 0.0..0.2)
            .prop_map(|(loss_rate, duplicate_rate)| Change::Faults(loss_rate, duplicate_rate)),
        Just(Change::Converge),
    ]
}

fn apply(world: &mut World, change: &Change) {
    match *change {
        Change::Restart(host) => {
            world.restart(host);
            world.set_live_hosts(host, &[0, 1, 2, 3]);
        }
        Change::KillAndDetect(host) => {
            kill_and_detect(world, host);
            world.restart(host);
            world.converge();
        }
        Change::Leave(host) => {
            world.hosts[host].leaving = true;
            world.converge();
        }
        Change::Pause(host, time) => world.pause(host, ms(time), 2),
        Change::SetLiveHosts(host, mask) => {
            let live = (0..4).filter(|other| *other == host || mask >> other & 1 == 1);
            world.set_live_hosts(host, &live.collect::<Vec<_>>());
        }
        Change::Configure(host) => {
            world.hosts[host].config = world.config.clone();
            world.publish_snapshot(host);
        }
        Change::EndpointDrain(endpoint) => {
            world.endpoints[endpoint].config_draining ^= true;
            world.configure();
        }
        Change::RotateKeys => {
            // Every host gets the new key as the other key before it becomes the current one.
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
        Change::Converge => world.converge(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn flows_survive_random_changes(
        seed in any::<u64>(),
        changes in prop::collection::vec((0..2_500_u64, change_strategy()), 1..10),
    ) {
        let mut world = world_with_streams(seed);
        for (wait, change) in &changes {
            world.run_for(ms(*wait));
            apply(&mut world, change);
        }
        world.run_for(ms(7_000));
        world.faults = NetworkFaults::default();
        world.converge();
        world.run_for(ms(3_000));
        prop_assert_eq!(broken_and_stalled(&mut world), NO_DAMAGE);
    }
}
