//! Sums of the load that the hosts of an availability zone report, for the other zones.
//!
//! The load of single hosts stays in their zone, since its bytes would grow with the square of the
//! number of hosts. Two hosts of each zone send its sum to all hosts of the other zones, so that one
//! of them may fail. Hosts that disagree about who is live may send a third one; sums of one zone
//! are never added together, the newest counts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::message::Heartbeat;
use super::tables::{Member, Tables};
use super::{heartbeat, reports};
use crate::id::{Id, Name, rendezvous_weight};
use crate::report::{
    HostReport, ReceivedZoneReport, ServiceReport, ZoneReport, add_service, is_short,
};

/// Number of hosts of a zone that send its sum, so that one of them may fail.
const SENDER_COUNT: usize = 2;

/// Minimum time for which a sum counts: the age at which the load of a host does not count any
/// more.
const MIN_SUM_AGE: Duration = Duration::from_secs(3);

/// Number of heartbeat cycles for which a sum counts, so that one may be lost.
const SUM_CYCLES: u32 = 2;

/// Returns the time for which a sum counts.
pub(super) fn max_age(tables: &Tables) -> Duration {
    MIN_SUM_AGE.max(heartbeat::cycle_time(tables) * SUM_CYCLES)
}

/// Updates the sum of the own zone if this host sends it, and removes those of other zones that
/// are too old or whose senders are not live.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    let is_sent = !reports::are_direct(tables) && is_sender(tables);
    let sum = sum_own_zone(tables, now).filter(|_| is_sent);
    let was_sender = tables.reports.zone_sum.is_some();
    if was_sender != sum.is_some() {
        log::info!(
            zone:% = tables.me.info.availability_zone, sending = !was_sender,
            hosts = sum.as_ref().map_or(0, |(sum, _)| sum.hosts);
            "zone_report_sender"
        );
    }
    tables.reports.zone_sum = sum;
    let age = max_age(tables);
    let (members, reports) = (&tables.members, &mut tables.reports);
    let known = reports.zone_sums.len();
    reports.zone_sums.retain(|sender, sum| {
        let is_live = members.get(sender).is_some_and(Member::is_live);
        is_live && now < sum.taken_at + age
    });
    reports.others_changed |= reports.zone_sums.len() < known;
}

/// Records the sum in a heartbeat unless a newer one of its sender is known.
///
/// The sender must be a known member, in the same incarnation, of the zone whose sum it sends.
pub(super) fn receive(tables: &mut Tables, now: Duration, heartbeat: &Heartbeat) {
    let (Some(report), Some(member)) =
        (&heartbeat.zone_report, tables.members.get(&heartbeat.from))
    else {
        return;
    };
    let zone = &member.info.availability_zone;
    let sums = &mut tables.reports.zone_sums;
    let known = sums.get(&heartbeat.from);
    if *zone != report.zone
        || *zone == tables.me.info.availability_zone
        || known.is_some_and(|known| known.sent_at >= heartbeat.sent_at)
    {
        return;
    }
    sums.insert(
        heartbeat.from,
        ReceivedZoneReport {
            sent_at: heartbeat.sent_at,
            taken_at: now.saturating_sub(heartbeat.zone_report_age),
            report: Arc::clone(report),
        },
    );
    tables.reports.others_changed = true;
    tables.counters.zone_reports_received += 1;
}

/// Returns the sum for a heartbeat to a member, if it should get one, and its age.
pub(super) fn for_member(
    tables: &Tables,
    to: Id,
    now: Duration,
) -> Option<(Arc<ZoneReport>, Duration)> {
    let member = tables.members.get(&to)?;
    let (sum, taken_at) = tables.reports.zone_sum.as_ref()?;
    let is_other = member.info.availability_zone != tables.me.info.availability_zone;
    is_other.then(|| (Arc::clone(sum), now.saturating_sub(*taken_at)))
}

/// Returns the newest sum of each other zone.
pub(super) fn newest(tables: &Tables) -> Vec<ReceivedZoneReport> {
    let mut newest: BTreeMap<&Name, &ReceivedZoneReport> = BTreeMap::new();
    for sum in tables.reports.zone_sums.values() {
        let known = newest.entry(&sum.report.zone).or_insert(sum);
        if sum.taken_at > known.taken_at {
            *known = sum;
        }
    }
    newest.into_values().cloned().collect()
}

/// Returns true if this host is one of the live hosts of its zone that send the zone's sum.
fn is_sender(tables: &Tables) -> bool {
    let zone = &tables.me.info.availability_zone;
    let key = Id::of(zone).0;
    let own_weight = rendezvous_weight(key, tables.me.id);
    let members = tables.live_members();
    let ahead = members.filter(|member| {
        member.info.availability_zone == *zone && rendezvous_weight(key, member.id) > own_weight
    });
    !tables.me.has_left && ahead.count() < SENDER_COUNT
}

/// Returns the sum of what this host and the others of its zone report, also those of older
/// releases, and the mean time at which they did; none without any load.
fn sum_own_zone(tables: &Tables, now: Duration) -> Option<(Arc<ZoneReport>, Duration)> {
    let zone = &tables.me.info.availability_zone;
    let own = &tables.reports.own;
    let age = reports::max_service_age(tables);
    let is_current = |host: &&HostReport| host.zone == *zone && now < host.taken_at + age;
    let others = tables.reports.others.values().filter(is_current);
    let others = others.map(|host| (&host.report.services, host.taken_at));
    let rows = others.chain(std::iter::once((&own.services, own.taken_at)));
    let mut services: Vec<ServiceReport> = Vec::new();
    let (mut hosts, mut short_hosts, mut times) = (0_u32, 0, Duration::ZERO);
    for (reported, taken_at) in rows.filter(|(services, _)| !services.is_empty()) {
        hosts += 1;
        short_hosts += u32::from(reported.iter().any(is_short));
        times += taken_at;
        for row in reported {
            add_service(&mut services, row);
        }
    }
    let taken_at = times.checked_div(hosts)?;
    services.sort_unstable_by_key(|row| row.service);
    let sum = ZoneReport {
        zone: zone.clone(),
        hosts,
        short_hosts,
        services,
    };
    Some((Arc::new(sum), taken_at))
}
