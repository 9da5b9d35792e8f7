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
    let mut places: SmallVec<[&Name; 8]> = SmallVec::new();
    let mut others = 0;
    let mut rank = None;
    for (id, place) in able(tables) {
        let is_me = id == tables.me.id;
        if places.contains(&place) {
            rank = rank.or(is_me.then_some(others));
            others += 1;
        } else if is_me {
            return true;
        } else {
            places.push(place);
        }
    }
    let left = tables
        .settings
        .read_pacing
        .max_readers
        .saturating_sub(places.len());
    rank.is_some_and(|rank| rank < left)
}

/// Hosts that can read, with their availability zones, in order of their ids; this one
/// counts even when the platform does not answer, so that it goes on trying.
fn able(tables: &Tables) -> Vec<(Id, &Name)> {
    let others = tables.live().filter(|member| is_able(member));
    let mut hosts: Vec<_> = others
        .map(|member| (member.id, &member.info.availability_zone))
        .chain([(tables.me.id, &tables.me.info.availability_zone)])
        .collect();
    hosts.sort_unstable();
    hosts
}

fn is_able(member: &Member) -> bool {
    member.status == Status::Alive && !member.leaving && member.read_failures == 0
}
