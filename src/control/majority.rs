//! Whether this host sees most of the hosts that it has seen lately.
//!
//! A host that is cut off together with a minority must not act alone on what the majority also
//! decides. Hosts that have not been seen for a minute count as gone.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::tables::Tables;

/// Time for which hosts count that have been seen.
const MEMORY: Duration = Duration::from_mins(1);

/// Largest numbers of live hosts seen lately.
#[derive(Clone, Debug, Default)]
pub struct Majority {
    /// Numbers of live hosts with the last times at which they were seen, oldest first. Each
    /// number is smaller than the one before it.
    seen: VecDeque<(Duration, usize)>,
}

impl Majority {
    /// Records the number of live hosts, this one included, and returns true if it is more than
    /// half of the largest number seen in the last minute.
    pub fn update(&mut self, live: usize, now: Duration) -> bool {
        while self.seen.front().is_some_and(|(at, _)| now > *at + MEMORY) {
            self.seen.pop_front();
        }
        while self.seen.back().is_some_and(|(_, count)| *count <= live) {
            self.seen.pop_back();
        }
        self.seen.push_back((now, live));
        let largest = self.seen.front().map_or(live, |(_, count)| *count);
        live * 2 > largest
    }
}

/// Updates the majority in the snapshot.
///
/// Seeds that this host has never met, or that are gone for long, count as hosts that it should
/// see. Otherwise each host that starts while it is cut off would consider itself the majority.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    let live = tables.live_members().count() + 1;
    let seeds = &tables.settings.seeds;
    let is_known = |seed: &SocketAddr| tables.members.values().any(|m| m.info.peer_addr == *seed);
    // The seeds are compared with the members only where their number can matter.
    let exceeds_seeds =
        live > seeds.len() || live > seeds.iter().filter(|seed| !is_known(seed)).count();
    let has_majority = tables.majority.update(live, now) && exceeds_seeds;
    if has_majority != tables.snapshot.has_majority {
        log::info!(has_majority, live; "majority_changed");
        tables.snapshot.has_majority = has_majority;
        tables.output.snapshot_changed = true;
    }
}
