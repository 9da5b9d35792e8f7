//! Membership of a zone: detection of dead, paused, restarted and leaving hosts.

mod zone;

use jacinthhinge::control::Event;
use jacinthhinge::control::message::Status;
use jacinthhinge::prelude::*;
use zone::{LATENCY, Zone, host_id, host_name, host_names};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a zone whose hosts have all discovered each other.
fn started_zone(count: usize) -> Zone {
    let mut zone = Zone::with_hosts(count);
    let elapsed = zone.run_until_condition(5 * SECOND, |zone| all_see(zone, 0..count));
    assert!(
        elapsed.is_some(),
        "the hosts have not discovered each other"
    );
    zone.run_for(2 * SECOND);
    zone
}

/// Returns true if every host lists exactly these hosts as alive.
fn all_see(zone: &Zone, indices: impl IntoIterator<Item = usize>) -> bool {
    let expected = host_names(indices);
    zone.all_nodes(|node| node.hosts() == expected)
}

/// Maximum control traffic of a host in bytes per second, sent and received together.
const TRAFFIC_BUDGET: u64 = 14_000;

#[test]
fn control_traffic_of_a_large_zone_stays_within_budget() {
    let mut zone = Zone::with_hosts(108);
    zone.run_for(Duration::from_secs(20));
    zone.network.count_traffic = true;
    for event in ["quiet", "after a death"] {
        zone.network.sent_bytes = 0;
        zone.run_for(Duration::from_secs(5));
        let traffic = 2 * zone.network.sent_bytes / 108 / 5;
        assert!(
            traffic <= TRAFFIC_BUDGET,
            "{event}: {traffic} bytes per second"
        );
        zone.kill(0);
    }
}

#[test]
fn single_host_keeps_running() {
    let mut zone = Zone::with_hosts(1);
    zone.run_for(5 * SECOND);
    assert!(all_see(&zone, [0]));
}

#[test]
fn dead_host_is_removed_in_time() {
    for count in [2, 4, 16, 60] {
        let mut zone = started_zone(count);
        zone.kill(1);
        let survivors = (0..count).filter(|index| *index != 1);
        let elapsed =
            zone.run_until_condition(10 * SECOND, |zone| all_see(zone, survivors.clone()));
        let elapsed = elapsed.expect("the dead host is still listed");
        assert!(elapsed <= SECOND * 7 / 2, "{count} hosts: {elapsed:?}");
    }
}

#[test]
fn packet_loss_marks_no_member_dead() {
    let mut zone = started_zone(4);
    let mut count = 0_u32;
    zone.network.link_model = Box::new(move |_, _, _| {
        count += 1;
        if count.is_multiple_of(5) {
            vec![]
        } else {
            vec![LATENCY]
        }
    });
    zone.run_for(60 * SECOND);
    assert!(zone.all_nodes(|node| node.control.tables().counters.members_died == 0));
}

#[test]
fn one_broken_link_marks_no_member_dead() {
    let mut zone = started_zone(4);
    zone.network.link_model = Box::new(|_, from, to| {
        let broken = from + to == 1;
        if broken { vec![] } else { vec![LATENCY] }
    });
    zone.run_for(30 * SECOND);
    assert!(all_see(&zone, 0..4));
    assert!(zone.all_nodes(|node| node.control.tables().counters.members_died == 0));
}

#[test]
fn paused_host_is_removed_and_rejoins_with_the_same_incarnation() {
    let mut zone = started_zone(4);
    let incarnation = zone.nodes[&2].incarnation;
    zone.pause(2, 10 * SECOND);
    zone.run_for(4 * SECOND);
    assert_eq!(zone.nodes[&0].hosts(), host_names([0, 1, 3]));
    zone.run_for(10 * SECOND);
    assert!(all_see(&zone, 0..4));
    let member = &zone.nodes[&0].control.tables().members[&host_id(2)];
    assert_eq!(member.incarnation, incarnation);
}

#[test]
fn paused_host_suspects_no_member() {
    let mut zone = started_zone(4);
    zone.pause(2, 10 * SECOND);
    zone.run_for(12 * SECOND);
    let counters = zone.nodes[&2].control.tables().counters;
    assert_eq!(counters.stalls, 1);
    assert_eq!(counters.members_died, 0);
    assert_eq!(counters.suspicions, 0);
}

#[test]
fn stale_updates_do_not_remove_a_restarted_host() {
    let mut zone = started_zone(4);
    zone.kill(1);
    zone.run_for(SECOND * 3 / 2);
    zone.start(1);
    zone.run_for(SECOND);
    let incarnation = zone.nodes[&1].incarnation;
    let member_state = |zone: &Zone| {
        let member = zone.nodes[&0].control.tables().members[&host_id(1)].clone();
        (member.incarnation, member.status)
    };
    assert_eq!(member_state(&zone), (incarnation, Status::Alive));
    zone.run_for(10 * SECOND);
    assert_eq!(member_state(&zone), (incarnation, Status::Alive));
}

#[test]
fn partitioned_zone_keeps_running_and_merges_again() {
    let mut zone = started_zone(5);
    let heal = zone.now + 20 * SECOND;
    zone.network.link_model = Box::new(move |now, from, to| {
        let cut = now < heal && (from < 2) != (to < 2);
        if cut { vec![] } else { vec![LATENCY] }
    });
    zone.run_for(10 * SECOND);
    assert_eq!(zone.nodes[&0].hosts(), host_names([0, 1]));
    assert_eq!(zone.nodes[&4].hosts(), host_names([2, 3, 4]));
    zone.run_for(20 * SECOND);
    assert!(all_see(&zone, 0..5));
}

#[test]
fn leaving_host_is_marked_at_once_and_exits_when_drained() {
    let mut zone = started_zone(4);
    zone.deliver(3, Event::Leave);
    zone.run_for(Duration::from_millis(50));
    let marked = |zone: &Zone| {
        let hosts = &zone.nodes[&0].snapshot.hosts;
        hosts
            .iter()
            .any(|host| host.id == host_id(3) && host.leaving)
    };
    assert!(marked(&zone));
    zone.run_for(2 * SECOND);
    assert!(marked(&zone) && !zone.nodes[&3].exited);
    zone.deliver(3, Event::Drained);
    zone.run_for(SECOND / 2);
    assert!(zone.nodes[&3].exited);
    assert_eq!(zone.nodes[&0].hosts(), host_names([0, 1, 2]));
}

#[test]
fn leaving_host_exits_at_the_drain_limit() {
    let mut zone = started_zone(2);
    zone.deliver(1, Event::Leave);
    zone.run_for(6 * SECOND);
    assert!(zone.nodes[&1].exited);
}

#[test]
fn host_list_marks_leaving_hosts_but_removes_none() {
    let mut zone = started_zone(3);
    zone.platform.up = true;
    zone.set_host_list([0, 1]);
    zone.platform.host_list.hosts[1].1.leaving = true;
    zone.run_for(20 * SECOND);
    assert!(all_see(&zone, 0..3));
    let hosts = &zone.nodes[&0].snapshot.hosts;
    let leaving: Vec<&str> = hosts
        .iter()
        .filter(|host| host.leaving)
        .map(|host| &*host.name)
        .collect();
    assert_eq!(leaving, [host_name(1)]);
}

#[test]
fn hosts_without_seeds_meet_through_the_host_list() {
    let mut zone = Zone::new();
    zone.platform.up = true;
    zone.set_host_list(0..3);
    (0..3).for_each(|index| zone.start(index));
    zone.run_for(6 * SECOND);
    assert!(all_see(&zone, 0..3));
}
