//! Voter sets: the hosts of the zone that vote on leases.
//!
//! The voters come from the platform's host list. Until the list has been read, they are
//! the seeds and all members known so far, a set that only grows. A newer voter set is used
//! together with the last agreed one until majorities of both have adopted it.

use std::net::{IpAddr, SocketAddr};

use xxhash_rust::xxh3::xxh3_64;

use super::message::{HostInfo, HostList, ListedHost, VoterSet};
use super::tables::{Tables, VoterSets};
use crate::id::Name;
use crate::revision::Revision;

impl VoterSet {
    /// Creates the voter set of one zone from the platform's host list.
    #[must_use]
    pub fn for_zone(list: &HostList, zone: &Name) -> Self {
        let hosts = list
            .hosts
            .iter()
            .filter(|(name, _)| name == zone)
            .map(|(_, host)| host.clone())
            .collect();
        Self::new(list.revision, hosts)
    }

    /// Creates a voter set of these hosts, sorted by address and without duplicates.
    #[must_use]
    pub fn new(revision: Revision, mut hosts: Vec<ListedHost>) -> Self {
        hosts.sort_by_key(|host| host.peer_addr);
        hosts.dedup_by_key(|host| host.peer_addr);
        let digest = addrs_digest(&hosts);
        Self {
            revision,
            hosts,
            digest,
        }
    }

    fn precedence(&self) -> (Revision, usize) {
        (self.revision, self.hosts.len())
    }
}

impl VoterSets {
    /// Returns true if the platform's host list marks a host as leaving, whether or not the
    /// host has announced its shutdown.
    #[must_use]
    pub fn is_listed_leaving(&self, info: &HostInfo) -> bool {
        let hosts = &self.latest.hosts;
        let found = hosts.binary_search_by_key(&info.peer_addr, |host| host.peer_addr);
        found.is_ok_and(|at| hosts[at].leaving && hosts[at].name == info.name)
    }

    /// Returns the addresses in both voter sets.
    pub(super) fn peer_addrs(&self) -> impl Iterator<Item = SocketAddr> {
        let agreed = self.agreed.iter().flat_map(|voters| &voters.hosts);
        self.latest
            .hosts
            .iter()
            .chain(agreed)
            .map(|host| host.peer_addr)
    }

    /// Returns the digest of the agreed voter set, zero if there is none.
    pub(super) fn agreed_digest(&self) -> u64 {
        self.agreed.as_ref().map_or(0, |voters| voters.digest)
    }
}

/// Replaces the latest voter set by one of a newer revision, unless that is empty.
pub(super) fn adopt_latest(voter_sets: &mut VoterSets, voters: VoterSet) {
    let is_newer = voters.revision > voter_sets.latest.revision;
    if is_newer && !voters.hosts.is_empty() {
        voter_sets.latest = voters;
    }
}

/// Replaces the agreed voter set by a newer one that other hosts have agreed on.
pub(super) fn adopt_agreed(voter_sets: &mut VoterSets, voters: VoterSet) {
    let known = voter_sets.agreed.as_ref().map(VoterSet::precedence);
    if known.is_none_or(|known| voters.precedence() > known) {
        voter_sets.agreed = Some(voters);
    }
}

/// Adds new members and seeds to the voter set until the platform's list is known.
pub(super) fn run(tables: &mut Tables) {
    if !tables.voter_sets.latest.revision.is_none() {
        return;
    }
    let listed = &tables.voter_sets.latest.hosts;
    let is_new = |peer: &SocketAddr| {
        listed
            .binary_search_by_key(peer, |host| host.peer_addr)
            .is_err()
    };
    let new: Vec<SocketAddr> = tables
        .members
        .values()
        .map(|member| member.info.peer_addr)
        .chain(tables.settings.seeds.iter().copied())
        .chain([tables.me.info.peer_addr])
        .filter(is_new)
        .collect();
    if new.is_empty() {
        return;
    }
    let hosts = listed.iter().cloned().chain(new.into_iter().map(seed_host));
    let hosts = hosts.collect();
    tables.voter_sets.latest = VoterSet::new(Revision::default(), hosts);
}

/// Returns the digest of the voters' addresses, which is never zero.
fn addrs_digest(hosts: &[ListedHost]) -> u64 {
    let mut bytes = Vec::new();
    for host in hosts {
        match host.peer_addr.ip() {
            IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
            IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
        }
        bytes.extend_from_slice(&host.peer_addr.port().to_be_bytes());
    }
    xxh3_64(&bytes).max(1)
}

fn seed_host(peer: SocketAddr) -> ListedHost {
    ListedHost {
        name: Name::default(),
        peer_addr: peer,
        leaving: false,
    }
}
