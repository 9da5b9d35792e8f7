//! Configuration values: in force everywhere, and never back.

mod zone;

use jacinthhinge::control::{Event, ReadPacing, ValueUpdate};
use jacinthhinge::prelude::*;
use zone::{Node, Zone};

const SECOND: Duration = Duration::from_secs(1);
const FORCE_LIMIT: Duration = Duration::from_secs(6);

fn started(count: usize) -> Zone {
    let mut zone = Zone::with_hosts(count);
    zone.platform.up = true;
    zone.set_host_list(0..count);
    zone.set_value("fleet", Some("1"));
    zone.run_for(8 * SECOND);
    assert!(in_force(&zone, 1));
    zone
}

fn in_force(zone: &Zone, revision: u64) -> bool {
    zone.all_nodes(|node| node.snapshot.revision == revision)
}

fn value(node: &Node, key: &str) -> Option<Name> {
    let values = &node.control.tables().values.values;
    values.get(key).and_then(|value| value.json.clone())
}

#[test]
fn change_is_in_force_everywhere() {
    let mut zone = started(4);
    zone.set_value("service/adserve", Some("2"));
    let took = zone.run_until_condition(FORCE_LIMIT, |zone| in_force(zone, 2));
    assert!(took.is_some());
}

#[test]
fn change_spreads_from_the_only_host_that_hears_of_it() {
    let mut zone = started(40);
    for node in zone.nodes.values_mut().skip(1) {
        node.reaches_platform = false;
    }
    zone.run_for(40 * SECOND);
    zone.set_value("service/adserve", Some("2"));
    let took = zone.run_until_condition(FORCE_LIMIT, |zone| in_force(zone, 2));
    assert!(took.is_some());
    assert!(zone.all_nodes(|node| value(node, "service/adserve").as_deref() == Some("2")));
}

#[test]
fn host_that_starts_while_the_platform_is_down_boots_from_others() {
    let mut zone = started(3);
    zone.platform.up = false;
    zone.start(3);
    let took = zone.run_until_condition(FORCE_LIMIT, |zone| in_force(zone, 1));
    assert!(took.is_some());
}

#[test]
fn stale_replica_is_not_obeyed() {
    let mut zone = started(2);
    zone.set_value("fleet", Some("2"));
    zone.run_for(3 * SECOND);
    zone.platform.update = ValueUpdate::default();
    zone.run_for(40 * SECOND);
    assert!(in_force(&zone, 2));
    assert!(zone.all_nodes(|node| value(node, "fleet").as_deref() == Some("2")));
    assert!(zone.all_nodes(|node| node.control.tables().counters.stale_reads > 0));
}

#[test]
fn bad_set_is_refused_whole_and_not_spread() {
    let mut zone = started(3);
    zone.set_value("service/adserve", Some("\"bad\""));
    zone.run_for(5 * SECOND);
    assert!(in_force(&zone, 1));
    assert!(zone.all_nodes(|node| node.control.tables().counters.refused_values == 1));
    zone.set_value("service/bestel", Some("3"));
    zone.run_for(5 * SECOND);
    assert!(in_force(&zone, 1), "the bad value still stands");
    zone.set_value("service/adserve", Some("4"));
    let took = zone.run_until_condition(FORCE_LIMIT, |zone| in_force(zone, 4));
    assert!(took.is_some());
    assert!(zone.all_nodes(|node| value(node, "service/bestel").as_deref() == Some("3")));
}

#[test]
fn removed_value_is_removed_everywhere() {
    let mut zone = started(3);
    zone.nodes.get_mut(&2).expect("host").reaches_platform = false;
    zone.set_value("fleet", None);
    zone.run_for(FORCE_LIMIT);
    assert!(zone.all_nodes(|node| value(node, "fleet").is_none()));
}

#[test]
fn watch_of_nothing_new_waits() {
    let mut zone = started(1);
    zone.platform.read_times.clear();
    zone.run_for(60 * SECOND);
    let reads = zone.platform.read_times.len();
    assert!(reads <= 20, "{reads} reads in a minute");
}

#[test]
fn reads_of_the_fleet_stay_in_budget_through_an_outage() {
    let mut zone = Zone::new();
    zone.platform.up = true;
    zone.set_value("fleet", Some("1"));
    (0..650).for_each(|index| zone.start(index));
    zone.run_for(10 * SECOND);
    zone.platform.up = false;
    zone.run_for(40 * SECOND);
    zone.platform.up = true;
    zone.set_value("fleet", Some("2"));
    zone.run_for(15 * SECOND);
    let most = busiest_second(&zone.platform.read_times);
    assert!(most < 2_000, "{most} reads in one second");
    assert!(in_force(&zone, 2));
}

/// At the target a host list is 58 KB, so that a read a minute costs a host 1 KB/s.
/// With 40 hosts a zone it is 108/40 times shorter and may be read as much more often.
/// A watch that waits its 20 s is three reads a minute.
#[test]
fn a_larger_zone_reads_the_host_list_less_often() {
    let hosts = 40;
    let mut zone = started(hosts);
    zone.run_for(30 * SECOND);
    zone.platform.read_times.clear();
    zone.run_for(60 * SECOND);
    let reads = zone.platform.read_times.len();
    let limit = hosts * 108 / hosts + hosts * 3;
    assert!(reads <= limit, "{reads} reads in a minute");
}

fn busiest_second(reads: &[Duration]) -> usize {
    let ends = reads.iter().enumerate();
    let counts = ends.map(|(end, time)| {
        let start = reads.partition_point(|read| *read + SECOND <= *time);
        end + 1 - start
    });
    counts.max().unwrap_or_default()
}

#[test]
fn failed_read_is_counted_and_changes_nothing() {
    let mut zone = started(1);
    zone.deliver(0, Event::Values(Err(Error::platform("status 500"))));
    zone.run_for(SECOND);
    assert!(in_force(&zone, 1));
    assert_eq!(zone.nodes[&0].control.tables().counters.read_failures, 1);
}

/// Hosts of three places in one group, of which few read the platform.
fn with_readers(count: usize) -> Zone {
    let mut zone = Zone::new();
    zone.read_pacing = ReadPacing {
        min_wait: SECOND,
        wait_jitter: SECOND,
        max_pause: Duration::from_millis(500),
        fetch_delay: SECOND,
        max_readers: 3,
        ..ReadPacing::default()
    };
    zone.az_count = 3;
    zone.seeds = (0..count).map(zone::peer_addr).collect();
    (0..count).for_each(|index| zone.start(index));
    zone.platform.up = true;
    zone.set_value("fleet", Some("1"));
    zone.run_for(10 * SECOND);
    assert!(in_force(&zone, 1));
    zone
}

/// Reads of the platform while a value changes ten times, each in force in time.
fn reads_of_ten_changes(zone: &mut Zone) -> usize {
    zone.platform.read_times.clear();
    let before = zone.platform.update.revision;
    for change in 1..=10 {
        zone.set_value("fleet", Some(&format!("{change}0")));
        let revision = before + change;
        let took = zone.run_until_condition(3 * SECOND, |zone| in_force(zone, revision));
        assert!(took.is_some(), "change {change}");
        zone.run_for(SECOND);
    }
    zone.platform.read_times.len()
}

#[test]
fn few_hosts_of_a_large_group_read_the_platform() {
    let mut zone = with_readers(30);
    let reads = reads_of_ten_changes(&mut zone);
    assert!(
        reads <= 100,
        "{reads} reads, three for each change and wait"
    );
}

#[test]
fn others_read_when_the_readers_die() {
    let mut zone = with_readers(12);
    let mut ids: Vec<usize> = (0..12).collect();
    ids.sort_by_key(|index| zone::host_id(*index));
    for index in ids.into_iter().take(6) {
        zone.kill(index);
    }
    zone.set_value("fleet", Some("2"));
    let took = zone.run_until_condition(3 * SECOND, |zone| in_force(zone, 2));
    assert!(took.is_some());
}

#[test]
fn others_read_when_the_platform_turns_the_readers_away() {
    let mut zone = with_readers(12);
    let mut ids: Vec<usize> = (0..12).collect();
    ids.sort_by_key(|index| zone::host_id(*index));
    for index in ids.into_iter().take(6) {
        zone.nodes.get_mut(&index).expect("host").reaches_platform = false;
    }
    zone.run_for(5 * SECOND);
    zone.set_value("fleet", Some("2"));
    let took = zone.run_until_condition(3 * SECOND, |zone| in_force(zone, 2));
    assert!(took.is_some());
}

#[test]
fn reader_that_takes_over_waits_with_removals() {
    let mut zone = with_readers(12);
    zone.set_value("service/adserve", Some("2"));
    zone.run_for(5 * SECOND);
    zone.read_pacing.removal_hold = 3 * SECOND;
    let last = (12..100).max_by_key(|index| zone::host_id(*index));
    let last = last.expect("an index");
    zone.start(last);
    zone.run_for(5 * SECOND);
    let holds = |zone: &Zone| value(&zone.nodes[&last], "service/adserve").is_some();
    assert!(holds(&zone));
    for (index, node) in &mut zone.nodes {
        node.reaches_platform = *index == last;
    }
    zone.set_value("service/adserve", None);
    let took = zone.run_until_condition(10 * SECOND, |zone| !holds(zone));
    assert!(took.is_some_and(|took| took >= 3 * SECOND), "{took:?}");
}
