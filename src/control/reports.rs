//! Exchange of reports about endpoints and load between hosts.
//!
//! The lanes of this host publish what they observe. Their sum is sent to other hosts in
//! heartbeats, and the newest reports of other hosts go into the snapshot.

use std::sync::Arc;
use std::time::Duration;

use super::Outbox;
use super::message::Heartbeat;
use super::tables::Tables;
use crate::id::Id;
use crate::report::{HostReport, LaneReport};

/// Replaces the report of this host by the sum of its lanes' reports.
pub(super) fn update_own(tables: &mut Tables, lanes: &[Arc<LaneReport>]) {
    let own = sum(lanes);
    if own != tables.reports.own {
        tables.reports.own = own;
        tables.reports.own_changed = true;
    }
}

/// Records the report of a heartbeat unless a newer one of its sender is known.
///
/// The sender must be a known member in the same incarnation.
pub(super) fn receive(tables: &mut Tables, now: Duration, heartbeat: &Heartbeat) {
    let (Some(report), Some(member)) = (&heartbeat.report, tables.members.get(&heartbeat.from))
    else {
        return;
    };
    let others = &mut tables.reports.others;
    let known = others.get(&heartbeat.from);
    if known.is_some_and(|known| known.sent_at >= heartbeat.sent_at) {
        return;
    }
    others.insert(
        heartbeat.from,
        HostReport {
            host: heartbeat.from,
            incarnation: heartbeat.incarnation,
            zone: Arc::clone(&member.info.availability_zone),
            sent_at: heartbeat.sent_at,
            taken_at: now.saturating_sub(heartbeat.report_age),
            report: Arc::clone(report),
        },
    );
    tables.reports.others_changed = true;
}

/// Returns the report for a heartbeat to a member, if it should get one.
pub(super) fn for_member(tables: &Tables, to: Option<Id>) -> Option<Arc<LaneReport>> {
    let is_empty = tables.reports.own.endpoints.is_empty();
    (to.is_some() && !is_empty).then(|| Arc::clone(&tables.reports.own))
}

/// Removes reports of hosts that are not live and updates the snapshot.
pub(super) fn run(tables: &mut Tables, _now: Duration, _outbox: &mut Outbox) {
    let (members, reports) = (&tables.members, &mut tables.reports);
    let known = reports.others.len();
    reports.others.retain(|id, report| {
        let member = members.get(id);
        member.is_some_and(|member| member.is_live() && member.incarnation == report.incarnation)
    });
    if reports.others.len() < known {
        reports.others_changed = true;
    }
    if std::mem::take(&mut reports.others_changed) {
        tables.snapshot.reports = reports.others.values().cloned().collect();
        tables.output.snapshot_changed = true;
    }
}

fn sum(lanes: &[Arc<LaneReport>]) -> Arc<LaneReport> {
    if let [only] = lanes {
        return Arc::clone(only);
    }
    let mut sum = LaneReport::default();
    for lane in lanes {
        sum.endpoints.extend_from_slice(&lane.endpoints);
        sum.services.extend_from_slice(&lane.services);
        sum.used_endpoints += lane.used_endpoints;
        sum.suspected_endpoints += lane.suspected_endpoints;
        sum.is_impaired |= lane.is_impaired;
        sum.taken_at = sum.taken_at.max(lane.taken_at);
    }
    Arc::new(sum)
}
