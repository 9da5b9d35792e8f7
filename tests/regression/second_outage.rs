//! Entries that expired in an outage of the store were removed at the first answer after a second
//! outage that began within the 2.2 s for which removals are held back: the host counted the
//! second outage as part of that time, and endpoints could not register again in it.

use jacinthhinge::control::{Control, Event, Heartbeat, Value, ValueChange, ValueUpdate};
use jacinthhinge::prelude::*;

use crate::relaying::{ms, peer_heartbeat, relay_control};
use crate::zone::{Node, Zone};

const SECOND: Duration = Duration::from_secs(1);

/// Time in which an endpoint registers again after the store's return.
const REGISTER_TIME: Duration = Duration::from_secs(2);

/// Time that a removal may take to be in force once the store answers steadily.
const REMOVAL_LIMIT: Duration = Duration::from_secs(5);

/// Time between the start of the first outage and its end.
const FIRST_OUTAGE: Duration = Duration::from_secs(2);

/// Time for which the store answers between the two outages.
const RETURN_TIME: Duration = Duration::from_millis(600);

fn has_value(node: &Node) -> bool {
    let value = node.control.tables().values.values.get("gone");
    value.is_some_and(|value| value.json.is_some())
}

/// Runs in small steps, in which the value must stay on all hosts.
fn assert_kept(zone: &mut Zone, time: Duration, case: &str) {
    let end = zone.now + time;
    while zone.now < end {
        zone.run_for(ms(20).min(end.saturating_sub(zone.now)));
        assert!(zone.all_nodes(has_value), "{case}: {:?}", zone.now);
    }
}

/// Returns a zone after a first outage, in which a value was removed.
fn zone_after_outage(hosts: usize, delay: Duration) -> Zone {
    let mut zone = Zone::with_frequent_reads(hosts);
    zone.set_value("gone", Some("1"));
    zone.run_for(3 * SECOND + delay);
    zone.platform.up = false;
    zone.run_for(FIRST_OUTAGE);
    zone.set_value("gone", None);
    zone.platform.up = true;
    zone
}

fn assert_removed_in_time(zone: &mut Zone, case: &str) {
    let is_removed = |zone: &Zone| zone.all_nodes(|node| !has_value(node));
    let elapsed = zone.run_until_condition(2 * REMOVAL_LIMIT, is_removed);
    assert!(
        elapsed.is_some_and(|elapsed| elapsed < REMOVAL_LIMIT),
        "{case}: {elapsed:?}"
    );
}

/// Plays a second outage of this length, after which only some hosts reach the store at once.
fn play_second_outage(hosts: usize, length: Duration, late: impl Fn(usize) -> bool + Copy) {
    for delay_ms in (0..1_500).step_by(50) {
        for is_registered in [true, false] {
            let case = format!("{hosts} hosts, {length:?}, {delay_ms} ms, {is_registered}");
            let mut zone = zone_after_outage(hosts, ms(delay_ms));
            assert_kept(&mut zone, RETURN_TIME, &case);
            zone.platform.up = false;
            assert_kept(&mut zone, length, &case);
            zone.platform.up = true;
            for node in zone.nodes.values_mut() {
                node.reaches_platform = !late(node.index);
            }
            assert_kept(&mut zone, SECOND, &case);
            for node in zone.nodes.values_mut() {
                node.reaches_platform = true;
            }
            assert_kept(&mut zone, REGISTER_TIME.saturating_sub(SECOND), &case);
            if is_registered {
                zone.set_value("gone", Some("1"));
                assert_kept(&mut zone, 3 * REMOVAL_LIMIT, &case);
            } else {
                assert_removed_in_time(&mut zone, &case);
            }
        }
    }
}

#[test]
fn removals_wait_for_the_whole_time_after_a_second_outage() {
    for hosts in [1, 3, 8] {
        play_second_outage(hosts, ms(4_500), |_| false);
    }
}

#[test]
fn removals_wait_for_the_whole_time_after_a_short_second_outage() {
    for hosts in [1, 8] {
        play_second_outage(hosts, ms(1_600), |_| false);
    }
}

#[test]
fn first_answer_of_another_host_does_not_end_the_wait() {
    play_second_outage(8, ms(4_500), |index| index % 2 == 0);
    play_second_outage(8, ms(4_500), |index| index != 7);
}

#[test]
fn hosts_that_do_not_read_learn_of_the_outage_from_heartbeats() {
    // Only one host reaches the store, before and after the outage.
    for delay_ms in (0..1_500).step_by(50) {
        let case = format!("{delay_ms} ms");
        let mut zone = zone_after_outage(4, ms(delay_ms));
        assert_kept(&mut zone, RETURN_TIME, &case);
        for node in zone.nodes.values_mut() {
            node.reaches_platform = node.index == 0;
        }
        zone.platform.up = false;
        assert_kept(&mut zone, ms(4_500), &case);
        zone.platform.up = true;
        assert_kept(&mut zone, REGISTER_TIME, &case);
        assert_removed_in_time(&mut zone, &case);
    }
}

#[test]
fn restore_between_the_outages_does_not_shorten_the_wait() {
    for delay_ms in (0..1_500).step_by(100) {
        for is_in_copy in [true, false] {
            let case = format!("{delay_ms} ms, {is_in_copy}");
            let mut zone = Zone::with_frequent_reads(8);
            let before = zone.platform.update.clone();
            zone.set_value("gone", Some("1"));
            let copy = if is_in_copy {
                zone.platform.update.clone()
            } else {
                before
            };
            zone.run_for(3 * SECOND + ms(delay_ms));
            zone.platform.up = false;
            zone.run_for(FIRST_OUTAGE);
            zone.set_value("gone", None);
            zone.platform.up = true;
            assert_kept(&mut zone, RETURN_TIME, &case);
            zone.platform.up = false;
            zone.restore_platform(copy);
            assert_kept(&mut zone, ms(4_500), &case);
            zone.platform.up = true;
            assert_kept(&mut zone, REGISTER_TIME, &case);
            if is_in_copy {
                assert_kept(&mut zone, 3 * REMOVAL_LIMIT, &case);
            } else {
                assert_removed_in_time(&mut zone, &case);
            }
        }
    }
}

/// A store that refuses some hosts for long is there for the others, and must not hold back
/// removals on them.
#[test]
fn store_that_refuses_a_third_of_the_hosts_does_not_hold_back_removals() {
    for hosts in [3, 8] {
        for delay_ms in (0..1_500).step_by(100) {
            for refused in 0..3 {
                for answered_first in [Duration::ZERO, RETURN_TIME] {
                    let case = format!("{hosts}, {delay_ms} ms, {refused}, {answered_first:?}");
                    let mut zone = zone_after_outage(hosts, ms(delay_ms));
                    let recovered = zone.now;
                    zone.run_for(answered_first);
                    for node in zone.nodes.values_mut() {
                        node.reaches_platform = node.index % 3 != refused;
                    }
                    assert_removed_in_time(&mut zone, &case);
                    assert!(zone.now > recovered + REGISTER_TIME, "{case}");
                    // The end of the refusals is not the end of an outage.
                    zone.run_until(recovered + 9 * SECOND);
                    for node in zone.nodes.values_mut() {
                        node.reaches_platform = true;
                    }
                    zone.run_for(SECOND);
                    zone.set_value("fleet", None);
                    let is_removed = |node: &Node| {
                        let value = node.control.tables().values.values.get("fleet");
                        value.is_some_and(|value| value.json.is_none())
                    };
                    let elapsed =
                        zone.run_until_condition(REMOVAL_LIMIT, |zone| zone.all_nodes(is_removed));
                    assert!(
                        elapsed.is_some_and(|elapsed| elapsed < 3 * SECOND),
                        "{case}: {elapsed:?}"
                    );
                }
            }
        }
    }
}

/// A host whose clock shows `now`, and the heartbeats of another one.
struct HostPair {
    control: Control,
    now: Duration,
}

impl HostPair {
    /// Starts with a removal that is held back since the end of an outage at 2 s.
    fn with_held_removal() -> Self {
        let mut pair = Self {
            control: relay_control(),
            now: Duration::ZERO,
        };
        pair.tick_to(ms(100));
        pair.read(Ok(update(1, Some("1"))));
        pair.hear(0, Some(Duration::ZERO));
        pair.tick_to(ms(1_000));
        pair.read(Err(Error::platform("down")));
        pair.hear(1, Some(ms(900)));
        pair.tick_to(ms(2_000));
        pair.read(Ok(update(2, None)));
        pair.hear(0, Some(Duration::ZERO));
        pair
    }

    fn tick_to(&mut self, time: Duration) {
        while self.now < time {
            self.now += ms(100);
            self.control.handle(self.now, Event::Tick);
        }
    }

    fn read(&mut self, result: Result<ValueUpdate>) {
        self.control.handle(self.now, Event::Values(result));
    }

    fn hear(&mut self, read_failures: u32, read_age: Option<Duration>) {
        let heartbeat = Heartbeat {
            read_failures,
            read_age,
            ..peer_heartbeat(self.now)
        };
        let event = Event::Heartbeat(Box::new(heartbeat));
        self.control.handle(self.now, event);
    }

    fn has_value(&self) -> bool {
        let value = self.control.tables().values.values.get("gone");
        value.is_some_and(|value| value.json.is_some())
    }
}

/// Returns an update of the only value.
pub fn update(revision: u64, json: Option<&str>) -> ValueUpdate {
    let value = Value {
        revision: revision.into(),
        json: json.map(Name::from),
        ..Value::default()
    };
    let change = ValueChange {
        key: "gone".into(),
        value,
    };
    ValueUpdate {
        revision: revision.into(),
        values: vec![change],
        is_full: revision == 1,
    }
}

/// The failures of this host's own reads show the second outage; the other host's are not heard.
#[test]
fn own_failed_reads_show_the_second_outage() {
    let mut pair = HostPair::with_held_removal();
    pair.tick_to(ms(2_600));
    pair.read(Err(Error::platform("down")));
    pair.tick_to(ms(4_300));
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(6_300));
    assert!(pair.has_value());
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(6_600));
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(7_000));
    assert!(!pair.has_value());
}

/// This host makes no read in the second outage; the other one reports its failure.
#[test]
fn failures_in_heartbeats_show_the_second_outage() {
    let mut pair = HostPair::with_held_removal();
    pair.tick_to(ms(2_600));
    pair.hear(1, Some(ms(600)));
    pair.tick_to(ms(4_300));
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(6_300));
    assert!(pair.has_value());
    pair.tick_to(ms(6_600));
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(7_000));
    assert!(!pair.has_value());
}

/// No failure is heard of; the age of the answers alone shows the second outage.
#[test]
fn gap_in_the_answers_of_all_hosts_shows_the_second_outage() {
    let mut pair = HostPair::with_held_removal();
    for at in (2_500..7_000).step_by(500) {
        pair.tick_to(ms(at));
        pair.hear(0, Some(ms(at - 2_000)));
    }
    pair.tick_to(ms(7_000));
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(9_000));
    assert!(pair.has_value());
    pair.tick_to(ms(9_300));
    pair.hear(0, Some(ms(50)));
    pair.tick_to(ms(9_500));
    assert!(!pair.has_value());
}
