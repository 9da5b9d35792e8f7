//! Selection of the hosts that read the platform.
//!
//! Reads cost money, so only a few hosts of a large group read: one in each availability
//! zone, and more if there are fewer zones than readers. Hosts are selected in order of
//! their ids, so that all of them agree without messages. If a reader fails or reports that
//! its reads fail, the next host replaces it. While views differ, a few extra reads occur.

use smallvec::SmallVec;

use super::message::Status;
use super::tables::{Member, Tables};
use crate::id::{Id, Name};

/// Returns true if this host reads the platform.
pub(super) fn is_reader(tables: &Tables) -> bool {
    if tables.values.revision.is_none() {
        return true;
    }
    let mut zones: SmallVec<[&Name; 8]> = SmallVec::new();
    let mut extra_hosts = 0;
    let mut rank = None;
    for (id, zone) in eligible_readers(tables) {
        let is_me = id == tables.me.id;
        if zones.contains(&zone) {
            rank = rank.or(is_me.then_some(extra_hosts));
            extra_hosts += 1;
        } else if is_me {
            return true;
        } else {
            zones.push(zone);
        }
    }
    let extra_readers = tables
        .settings
        .read_pacing
        .max_readers
        .saturating_sub(zones.len());
    rank.is_some_and(|rank| rank < extra_readers)
}

/// Returns the ids and availability zones of the hosts that can read, in order of the ids.
///
/// This host is included even while its reads fail, so that it keeps trying.
fn eligible_readers(tables: &Tables) -> Vec<(Id, &Name)> {
    let others = tables.live_members().filter(|member| can_read(member));
    let mut hosts: Vec<_> = others
        .map(|member| (member.id, &member.info.availability_zone))
        .chain([(tables.me.id, &tables.me.info.availability_zone)])
        .collect();
    hosts.sort_unstable();
    hosts
}

fn can_read(member: &Member) -> bool {
    member.status == Status::Alive && !member.leaving && member.read_failures == 0
}
