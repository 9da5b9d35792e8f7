//! Members of a zone: who is believed alive, and how fast.

mod zone;

use jacinthhinge::control::Event;
use jacinthhinge::control::message::Status;
use jacinthhinge::prelude::*;
use zone::{LATENCY, Zone, host_id, host_name, host_names};

const SECOND: Duration = Duration::from_secs(1);

fn started(count: usize) -> Zone {
    let mut zone = Zone::with_hosts(count);
    let met = zone.run_until_condition(5 * SECOND, |zone| sees(zone, 0..count));
    assert!(met.is_some(), "hosts have not met");
    zone.run_for(2 * SECOND);
    zone
}

fn sees(zone: &Zone, indices: impl IntoIterator<Item = usize>) -> bool {
    let expected = host_names(indices);
    zone.all_nodes(|node| node.hosts() == expected)
}

/// Bytes of control a second that a node may spend, sent and received together.
const BUDGET: u64 = 14_000;

#[test]
fn control_bytes_of_a_large_zone_stay_in_budget() {
    let mut zone = Zone::with_hosts(108);
    zone.run_for(Duration::from_secs(20));
    zone.network.count_traffic = true;
    for event in ["quiet", "a death"] {
        zone.network.sent_bytes = 0;
        zone.run_for(Duration::from_secs(5));
        let spent = 2 * zone.network.sent_bytes / 108 / 5;
        assert!(spent <= BUDGET, "{event}: {spent} bytes a second");
        zone.kill(0);
    }
}

#[test]
fn lone_host_goes_on() {
    let mut zone = Zone::with_hosts(1);
    zone.run_for(5 * SECOND);
    assert!(sees(&zone, [0]));
}

#[test]
fn dead_host_leaves_in_three_seconds() {
    for count in [2, 4, 16, 60] {
        let mut zone = started(count);
        zone.kill(1);
        let rest = (0..count).filter(|index| *index != 1);
        let noticed = zone.run_until_condition(10 * SECOND, |zone| sees(zone, rest.clone()));
        let noticed = noticed.expect("the dead host stays");
        assert!(noticed <= SECOND * 7 / 2, "{count} hosts: {noticed:?}");
    }
}

#[test]
fn loss_kills_nobody() {
    let mut zone = started(4);
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
fn one_broken_link_kills_nobody() {
    let mut zone = started(4);
    zone.network.link_model = Box::new(|_, from, to| {
        let broken = from + to == 1;
        if broken { vec![] } else { vec![LATENCY] }
    });
    zone.run_for(30 * SECOND);
    assert!(sees(&zone, 0..4));
    assert!(zone.all_nodes(|node| node.control.tables().counters.members_died == 0));
}

#[test]
fn paused_host_is_dropped_and_comes_back_in_the_same_life() {
    let mut zone = started(4);
    let life = zone.nodes[&2].incarnation;
    zone.pause(2, 10 * SECOND);
    zone.run_for(4 * SECOND);
    assert_eq!(zone.nodes[&0].hosts(), host_names([0, 1, 3]));
    zone.run_for(10 * SECOND);
    assert!(sees(&zone, 0..4));
    let member = &zone.nodes[&0].control.tables().members[&host_id(2)];
    assert_eq!(member.incarnation, life);
}

#[test]
fn paused_host_accuses_nobody() {
    let mut zone = started(4);
    zone.pause(2, 10 * SECOND);
    zone.run_for(12 * SECOND);
    let counters = zone.nodes[&2].control.tables().counters;
    assert_eq!(counters.stalls, 1);
    assert_eq!(counters.members_died, 0);
    assert_eq!(counters.suspicions, 0);
}

#[test]
fn restarted_host_has_a_new_life_that_old_news_cannot_kill() {
    let mut zone = started(4);
    zone.kill(1);
    zone.run_for(SECOND * 3 / 2);
    zone.start(1);
    zone.run_for(SECOND);
    let life = zone.nodes[&1].incarnation;
    let lives = |zone: &Zone| {
        let member = zone.nodes[&0].control.tables().members[&host_id(1)].clone();
        (member.incarnation, member.status)
    };
    assert_eq!(lives(&zone), (life, Status::Alive));
    zone.run_for(10 * SECOND);
    assert_eq!(lives(&zone), (life, Status::Alive));
}

#[test]
fn parts_of_a_split_zone_go_on_and_meet_again() {
    let mut zone = started(5);
    let heal = zone.now + 20 * SECOND;
    zone.network.link_model = Box::new(move |now, from, to| {
        let cut = now < heal && (from < 2) != (to < 2);
        if cut { vec![] } else { vec![LATENCY] }
    });
    zone.run_for(10 * SECOND);
    assert_eq!(zone.nodes[&0].hosts(), host_names([0, 1]));
    assert_eq!(zone.nodes[&4].hosts(), host_names([2, 3, 4]));
    zone.run_for(20 * SECOND);
    assert!(sees(&zone, 0..5));
}

#[test]
fn leaving_host_is_marked_at_once_and_exits_when_drained() {
    let mut zone = started(4);
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
    let mut zone = started(2);
    zone.deliver(1, Event::Leave);
    zone.run_for(6 * SECOND);
    assert!(zone.nodes[&1].exited);
}

#[test]
fn platform_list_marks_and_adds_but_never_kills() {
    let mut zone = started(3);
    zone.platform.up = true;
    zone.set_host_list([0, 1]);
    zone.platform.host_list.hosts[1].1.leaving = true;
    zone.run_for(20 * SECOND);
    assert!(sees(&zone, 0..3));
    let hosts = &zone.nodes[&0].snapshot.hosts;
    let leaving: Vec<&str> = hosts
        .iter()
        .filter(|host| host.leaving)
        .map(|host| &*host.name)
        .collect();
    assert_eq!(leaving, [host_name(1)]);
}

#[test]
fn listed_host_without_seeds_is_met() {
    let mut zone = Zone::new();
    zone.platform.up = true;
    zone.set_host_list(0..3);
    (0..3).for_each(|index| zone.start(index));
    zone.run_for(6 * SECOND);
    assert!(sees(&zone, 0..3));
}
