//! Configuration values: they reach all hosts and are never replaced by older ones.

mod zone;

use jacinthhinge::control::{Event, ReadPacing, ValueUpdate};
use jacinthhinge::prelude::*;
use zone::{Node, Zone};

const SECOND: Duration = Duration::from_secs(1);
/// Maximum time until a change is applied by all hosts.
const APPLY_LIMIT: Duration = Duration::from_secs(6);

/// Returns a zone that has read revision 1 from the platform.
fn started_zone(count: usize) -> Zone {
    let mut zone = Zone::with_hosts(count);
    zone.platform.up = true;
    zone.set_host_list(0..count);
    zone.set_value("fleet", Some("1"));
    zone.run_for(8 * SECOND);
    assert!(is_applied(&zone, 1));
    zone
}

/// Returns true if every host has published this revision.
fn is_applied(zone: &Zone, revision: u64) -> bool {
    zone.all_nodes(|node| node.snapshot.revision == revision.into())
}

fn stored_value(node: &Node, key: &str) -> Option<Name> {
    let values = &node.control.tables().values.values;
    values.get(key).and_then(|value| value.json.clone())
}

#[test]
fn change_is_applied_by_all_hosts() {
    let mut zone = started_zone(4);
    zone.set_value("service/adserve", Some("2"));
    let elapsed = zone.run_until_condition(APPLY_LIMIT, |zone| is_applied(zone, 2));
    assert!(elapsed.is_some());
}

#[test]
fn change_spreads_from_the_only_host_that_reads_the_platform() {
    let mut zone = started_zone(40);
    for node in zone.nodes.values_mut().skip(1) {
        node.reaches_platform = false;
    }
    zone.run_for(40 * SECOND);
    zone.set_value("service/adserve", Some("2"));
    let elapsed = zone.run_until_condition(APPLY_LIMIT, |zone| is_applied(zone, 2));
    assert!(elapsed.is_some());
    assert!(zone.all_nodes(|node| stored_value(node, "service/adserve").as_deref() == Some("2")));
}

#[test]
fn host_that_starts_while_the_platform_is_down_fetches_values_from_peers() {
    let mut zone = started_zone(3);
    zone.platform.up = false;
    zone.start(3);
    let elapsed = zone.run_until_condition(APPLY_LIMIT, |zone| is_applied(zone, 1));
    assert!(elapsed.is_some());
}

#[test]
fn stale_replica_is_ignored() {
    let mut zone = started_zone(2);
    zone.set_value("fleet", Some("2"));
    zone.run_for(3 * SECOND);
    zone.platform.update = ValueUpdate::default();
    zone.run_for(40 * SECOND);
    assert!(is_applied(&zone, 2));
    assert!(zone.all_nodes(|node| stored_value(node, "fleet").as_deref() == Some("2")));
    assert!(zone.all_nodes(|node| node.control.tables().counters.stale_reads > 0));
}

#[test]
fn update_with_a_bad_value_is_refused_and_not_spread() {
    let mut zone = started_zone(3);
    zone.set_value("service/adserve", Some("\"bad\""));
    zone.run_for(5 * SECOND);
    assert!(is_applied(&zone, 1));
    assert!(zone.all_nodes(|node| node.control.tables().counters.refused_values == 1));
    zone.set_value("service/bestel", Some("3"));
    zone.run_for(5 * SECOND);
    assert!(is_applied(&zone, 1), "the bad value is still set");
    zone.set_value("service/adserve", Some("4"));
    let elapsed = zone.run_until_condition(APPLY_LIMIT, |zone| is_applied(zone, 4));
    assert!(elapsed.is_some());
    assert!(zone.all_nodes(|node| stored_value(node, "service/bestel").as_deref() == Some("3")));
}

#[test]
fn deleted_value_is_removed_from_all_hosts() {
    let mut zone = started_zone(3);
    zone.nodes.get_mut(&2).expect("host").reaches_platform = false;
    zone.set_value("fleet", None);
    zone.run_for(APPLY_LIMIT);
    assert!(zone.all_nodes(|node| stored_value(node, "fleet").is_none()));
}

#[test]
fn watch_without_changes_waits() {
    let mut zone = started_zone(1);
    zone.platform.read_times.clear();
    zone.run_for(60 * SECOND);
    let reads = zone.platform.read_times.len();
    assert!(reads <= 20, "{reads} reads in a minute");
}

#[test]
fn platform_reads_stay_within_budget_through_an_outage() {
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
    let max = max_reads_per_second(&zone.platform.read_times);
    assert!(max < 2_000, "{max} reads in one second");
    assert!(is_applied(&zone, 2));
}

/// At the target size of 108 hosts per zone the host list has 58 KB, so one read per
/// minute costs a host 1 KB/s. With 40 hosts per zone the list is 108/40 times smaller and
/// may be read that much more often. A watch waits up to 20 s, which makes three reads per
/// minute.
#[test]
fn larger_zone_reads_the_host_list_less_often() {
    let hosts = 40;
    let mut zone = started_zone(hosts);
    zone.run_for(30 * SECOND);
    zone.platform.read_times.clear();
    zone.run_for(60 * SECOND);
    let reads = zone.platform.read_times.len();
    let limit = hosts * 108 / hosts + hosts * 3;
    assert!(reads <= limit, "{reads} reads in a minute");
}

fn max_reads_per_second(reads: &[Duration]) -> usize {
    let ends = reads.iter().enumerate();
    let counts = ends.map(|(end, time)| {
        let start = reads.partition_point(|read| *read + SECOND <= *time);
        end + 1 - start
    });
    counts.max().unwrap_or_default()
}

#[test]
fn failed_read_is_counted_and_changes_nothing() {
    let mut zone = started_zone(1);
    zone.deliver(0, Event::Values(Err(Error::platform("status 500"))));
    zone.run_for(SECOND);
    assert!(is_applied(&zone, 1));
    assert_eq!(zone.nodes[&0].control.tables().counters.read_failures, 1);
}

/// Returns a zone over three availability zones in which few hosts read the platform.
fn zone_with_few_readers(count: usize) -> Zone {
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
    assert!(is_applied(&zone, 1));
    zone
}

/// Changes a value ten times, checks that each change is applied in time, and returns
/// the number of platform reads.
fn count_reads_of_ten_changes(zone: &mut Zone) -> usize {
    zone.platform.read_times.clear();
    let before = zone.platform.update.revision.number;
    for change in 1..=10 {
        zone.set_value("fleet", Some(&format!("{change}0")));
        let revision = before + change;
        let elapsed = zone.run_until_condition(3 * SECOND, |zone| is_applied(zone, revision));
        assert!(elapsed.is_some(), "change {change}");
        zone.run_for(SECOND);
    }
    zone.platform.read_times.len()
}

#[test]
fn few_hosts_of_a_large_group_read_the_platform() {
    let mut zone = zone_with_few_readers(30);
    let reads = count_reads_of_ten_changes(&mut zone);
    assert!(
        reads <= 100,
        "{reads} reads; three readers read once per change and once per wait"
    );
}

/// Returns the number of fetches between hosts of different availability zones.
fn far_fetches(zone: &Zone) -> usize {
    let fetches = zone.network.fetches.iter();
    let is_far = |(from, to): &&(usize, usize)| from % zone.az_count != to % zone.az_count;
    fetches.filter(is_far).count()
}

/// Guards against a change that crosses availability zones once for each host of a large group.
#[test]
fn change_crosses_zones_a_few_times() {
    let mut zone = zone_with_few_readers(60);
    zone.network.fetches.clear();
    count_reads_of_ten_changes(&mut zone);
    let far = far_fetches(&zone);
    let limit = 10 * 3 * 3;
    assert!(
        far <= limit,
        "{far} fetches; three hosts of each zone fetch each change"
    );
}

/// Guards against a large zone that waits for its own hosts although none of them can fetch from
/// other zones.
#[test]
fn change_reaches_a_zone_whose_forwarders_have_died() {
    let mut zone = zone_with_few_readers(60);
    let mut ids: Vec<usize> = (0..60).filter(|index| index % 3 == 0).collect();
    ids.sort_by_key(|index| zone::host_id(*index));
    for index in ids.into_iter().take(5) {
        zone.kill(index);
    }
    let survivors = zone.nodes.keys().copied().filter(|index| index % 3 == 0);
    for index in survivors.collect::<Vec<_>>() {
        zone.nodes.get_mut(&index).expect("host").reaches_platform = false;
    }
    zone.set_value("fleet", Some("2"));
    let elapsed = zone.run_until_condition(5 * SECOND, |zone| is_applied(zone, 2));
    assert!(elapsed.is_some());
}

#[test]
fn other_hosts_read_when_the_readers_die() {
    let mut zone = zone_with_few_readers(12);
    let mut ids: Vec<usize> = (0..12).collect();
    ids.sort_by_key(|index| zone::host_id(*index));
    for index in ids.into_iter().take(6) {
        zone.kill(index);
    }
    zone.set_value("fleet", Some("2"));
    let elapsed = zone.run_until_condition(3 * SECOND, |zone| is_applied(zone, 2));
    assert!(elapsed.is_some());
}

#[test]
fn other_hosts_read_when_the_readers_cannot() {
    let mut zone = zone_with_few_readers(12);
    let mut ids: Vec<usize> = (0..12).collect();
    ids.sort_by_key(|index| zone::host_id(*index));
    for index in ids.into_iter().take(6) {
        zone.nodes.get_mut(&index).expect("host").reaches_platform = false;
    }
    zone.run_for(5 * SECOND);
    zone.set_value("fleet", Some("2"));
    let elapsed = zone.run_until_condition(3 * SECOND, |zone| is_applied(zone, 2));
    assert!(elapsed.is_some());
}

#[test]
fn new_reader_delays_removals() {
    let mut zone = zone_with_few_readers(12);
    zone.set_value("service/adserve", Some("2"));
    zone.run_for(5 * SECOND);
    zone.read_pacing.removal_hold = 3 * SECOND;
    let new_reader = (12..100).max_by_key(|index| zone::host_id(*index));
    let new_reader = new_reader.expect("an index");
    zone.start(new_reader);
    zone.run_for(5 * SECOND);
    let has_value =
        |zone: &Zone| stored_value(&zone.nodes[&new_reader], "service/adserve").is_some();
    assert!(has_value(&zone));
    for (index, node) in &mut zone.nodes {
        node.reaches_platform = *index == new_reader;
    }
    zone.set_value("service/adserve", None);
    let elapsed = zone.run_until_condition(10 * SECOND, |zone| !has_value(zone));
    assert!(
        elapsed.is_some_and(|elapsed| elapsed >= 3 * SECOND),
        "{elapsed:?}"
    );
}
