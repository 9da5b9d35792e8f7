//! Which hosts read the platform.
//!
//! Every read is paid for, so a large group needs few readers: one in each
//! availability zone, and more where there are few zones. The rank of a host by its
//! id decides, so that hosts agree without a message. One that dies or says that the
//! platform does not answer it gives its turn to the next; views that differ for a
//! while cost a few reads more.

use smallvec::SmallVec;

use super::message::Status;
use super::tables::{Member, Tables};
use crate::id::{Id, Name};

/// True when this host reads the platform.
pub(super) fn is_reader(tables: &Tables) -> bool {
    if tables.values.revision == 0 {
        return true;
    }
    let mut zones: SmallVec<[&Name; 8]> = SmallVec::new();
    let mut others = 0;
    let mut rank = None;
    for (id, zone) in eligible_readers(tables) {
        let is_me = id == tables.me.id;
        if zones.contains(&zone) {
            rank = rank.or(is_me.then_some(others));
            others += 1;
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

/// Hosts that can read, with their availability zones, in order of their ids; this one
/// counts even when the platform does not answer, so that it goes on trying.
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
