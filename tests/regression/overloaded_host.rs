//! Pattern: gray failure. A host that turned slow cannot keep up with its traffic and loses that of
//! all its callers, although it answers probes and the others have capacity.

use jacinthhinge::control::Event;
use jacinthhinge::prelude::*;
use jacinthhinge::systems::{self, BATCH_SIZE};
use jacinthhinge::tables::Outbox;

use crate::relaying::{LaneHarness, local_endpoints, ms, opening_segment};
use crate::zone::Zone;

const SECOND: Duration = Duration::from_secs(1);

/// Time in which an overloaded host has withdrawn.
const REACTION_LIMIT: Duration = Duration::from_secs(2);

fn withdrawn(zone: &Zone) -> Vec<usize> {
    let nodes = zone.nodes.values();
    nodes
        .filter(|node| node.snapshot.withdrawn)
        .map(|node| node.index)
        .collect()
}

/// Runs a zone in which the lanes of some hosts have not read all that waits for a long time.
fn run_overloaded(zone: &mut Zone, time: Duration, hosts: &[usize]) {
    for _ in 0..time.as_millis() / 100 {
        for host in 0..zone.nodes.len() {
            let backlog = if hosts.contains(&host) {
                2 * SECOND
            } else {
                ms(0)
            };
            zone.deliver(host, Event::Backlog(backlog));
        }
        zone.run_for(ms(100));
    }
}

#[test]
fn overloaded_host_withdraws_and_returns() {
    let mut zone = Zone::with_hosts(4);
    run_overloaded(&mut zone, 3 * SECOND, &[]);
    assert!(withdrawn(&zone).is_empty());
    let sharing = zone.nodes[&0].snapshot.expected_hosts;
    run_overloaded(&mut zone, REACTION_LIMIT, &[2]);
    assert_eq!(withdrawn(&zone), [2]);
    // The others share the load without it.
    assert_eq!(zone.nodes[&0].snapshot.expected_hosts, sharing - 1);
    run_overloaded(&mut zone, 6 * SECOND, &[]);
    assert!(withdrawn(&zone).is_empty());
    assert_eq!(zone.nodes[&2].control.tables().counters.withdrawals, 1);
}

#[test]
fn short_backlog_withdraws_no_host() {
    let mut zone = Zone::with_hosts(4);
    zone.run_for(3 * SECOND);
    for _ in 0..50 {
        zone.deliver(1, Event::Backlog(ms(900)));
        zone.run_for(ms(100));
        assert!(withdrawn(&zone).is_empty());
    }
}

#[test]
fn few_hosts_withdraw_when_all_are_overloaded() {
    for count in [1, 2, 3, 4, 9, 30] {
        let mut zone = Zone::with_hosts(count);
        zone.run_for(3 * SECOND);
        let all: Vec<usize> = (0..count).collect();
        // Hosts do not know of each other's withdrawal at once.
        run_overloaded(&mut zone, REACTION_LIMIT, &all);
        for _ in 0..20 {
            run_overloaded(&mut zone, SECOND / 2, &all);
            let found = withdrawn(&zone).len();
            assert!(found <= count / 3, "{found} of {count}");
        }
    }
}

#[test]
fn backlog_time_counts_while_batches_are_full() {
    let mut harness = LaneHarness::new(&local_endpoints(4));
    harness.advance(ms(500));
    let mut port = 0;
    let mut full_batch = |harness: &mut LaneHarness, size: usize| {
        for _ in 0..size {
            port += 1;
            harness.tables.segments.push(opening_segment(port, 0));
        }
        harness.now += ms(20);
        systems::run(&mut harness.tables, harness.now, &mut Outbox::default());
        harness.tables.backlog_time(harness.now)
    };
    for batch in 0..50 {
        let time = full_batch(&mut harness, BATCH_SIZE);
        assert_eq!(time, ms(20 * batch));
    }
    assert_eq!(full_batch(&mut harness, BATCH_SIZE - 1), ms(0));
}

#[test]
fn backlog_time_counts_while_ticks_are_late_and_not_after_a_single_pause() {
    let mut harness = LaneHarness::new(&local_endpoints(4));
    harness.advance(ms(500));
    let mut tick_after = |gap: Duration| {
        harness.now += gap;
        systems::run(&mut harness.tables, harness.now, &mut Outbox::default());
        harness.tables.backlog_time(harness.now)
    };
    for tick in 0..10 {
        assert_eq!(tick_after(ms(700)), ms(700 * tick));
    }
    assert_eq!(tick_after(ms(20)), ms(0));
    assert_eq!(tick_after(5 * SECOND), ms(0), "a pause");
    assert_eq!(tick_after(ms(20)), ms(0));
}
