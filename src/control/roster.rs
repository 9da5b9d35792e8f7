//! Rosters: the hosts of the zone that have a vote.
//!
//! The platform's list gives the roster. Until it was read, the seeds and every
//! host met so far make one that only grows. A newer roster counts together with
//! the one agreed on before, until a majority of both has settled on it.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::Xxh3;

use super::message::{Card, Hosts, Listed, Roster};
use super::tables::{Rosters, Tables};
use crate::id::Name;

impl Roster {
    /// Digest of the addresses that have a vote; never zero.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for host in &self.hosts {
            hash_addr(&mut hasher, host.peer);
        }
        hasher.digest().max(1)
    }

    /// Roster of one zone out of the platform's list.
    #[must_use]
    pub fn of_zone(list: &Hosts, zone: &Name) -> Self {
        let hosts = list
            .hosts
            .iter()
            .filter(|(name, _)| name == zone)
            .map(|(_, host)| host.clone())
            .collect();
        Self::new(list.revision, hosts)
    }

    /// Roster of these hosts, in order of their addresses.
    #[must_use]
    pub fn new(revision: u64, mut hosts: Vec<Listed>) -> Self {
        hosts.sort_by_key(|host| host.peer);
        hosts.dedup_by_key(|host| host.peer);
        Self { revision, hosts }
    }

    fn weight(&self) -> (u64, usize) {
        (self.revision, self.hosts.len())
    }
}

impl Rosters {
    /// True if the list marks this host as leaving.
    #[must_use]
    pub fn is_leaving(&self, card: &Card) -> bool {
        let hosts = &self.pending.hosts;
        let found = hosts.binary_search_by_key(&card.peer, |host| host.peer);
        found.is_ok_and(|at| hosts[at].leaving && hosts[at].name == card.name)
    }

    /// Addresses on both rosters.
    pub(super) fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        let base = self.base.iter().flat_map(|roster| &roster.hosts);
        self.pending.hosts.iter().chain(base).map(|host| host.peer)
    }

    /// Digest of the roster agreed on, zero if none.
    pub(super) fn base_digest(&self) -> u64 {
        self.base.as_ref().map_or(0, Roster::digest)
    }
}

/// Takes a roster if it is newer.
pub(super) fn offer(rosters: &mut Rosters, roster: Roster) {
    let newer = roster.revision > rosters.pending.revision;
    if newer && !roster.hosts.is_empty() {
        rosters.pending = roster;
    }
}

/// Takes a roster that other hosts have agreed on, if it is newer.
pub(super) fn offer_base(rosters: &mut Rosters, roster: Roster) {
    let known = rosters.base.as_ref().map(Roster::weight);
    if known.is_none_or(|known| roster.weight() > known) {
        rosters.base = Some(roster);
    }
}

/// Extends the roster made from seeds, until the platform gives one.
pub(super) fn run(tables: &mut Tables) {
    if tables.rosters.pending.revision > 0 {
        return;
    }
    let members = tables.members.values().map(|member| member.card.peer);
    let known = tables.rosters.pending.hosts.iter().map(|host| host.peer);
    let hosts = members
        .chain(known)
        .chain(tables.settings.seeds.iter().copied())
        .chain([tables.me.card.peer])
        .map(seed)
        .collect();
    tables.rosters.pending = Roster::new(0, hosts);
}

fn hash_addr(hasher: &mut Xxh3, addr: SocketAddr) {
    match addr.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&addr.port().to_be_bytes());
}

fn seed(peer: SocketAddr) -> Listed {
    Listed {
        name: Name::default(),
        peer,
        leaving: false,
    }
}
