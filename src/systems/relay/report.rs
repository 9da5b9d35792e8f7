//! Builds the report of this lane for other hosts: the endpoints that it suspects, and its load.

use std::sync::Arc;
use std::time::Duration;

use super::{evidence, failure_detector, findings, outliers, shared_health, silent_zone};
use crate::id::Name;
use crate::report::{EndpointReport, LaneReport};
use crate::tables::{EndpointRow, HealthRow, Tables};

/// Minimum time between two reports: the interval at which the control thread reads them.
const REPORT_PERIOD: Duration = Duration::from_millis(100);

/// Time after which a report is made again although nothing has changed: a third of the age at
/// which other hosts ignore it.
const REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Time for which this lane reports evidence after several hosts have found the endpoint down, so
/// that all of them do: three regular heartbeats. After it, only the host that sends the trials
/// reports the endpoint.
const DOWN_REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Replaces the report of this lane if its content has changed or it is old.
pub(super) fn run(tables: &mut Tables, now: Duration) {
    if now < tables.shared_health.last_check + REPORT_PERIOD {
        return;
    }
    tables.shared_health.last_check = now;
    let has_evidence = tables.shared_health.next_evaluation.is_some();
    let mut rows = if has_evidence {
        endpoint_rows(tables, now)
    } else {
        Vec::new()
    };
    outliers::add_rows(tables, &mut rows, now);
    let has_rows = !rows.is_empty();
    let services = tables.demand.reported.clone();
    let silent_zones = silent_zone::reported_zones(tables);
    let is_impaired =
        (has_rows || !silent_zones.is_empty()) && failure_detector::is_host_impaired(tables, now);
    let is_empty = rows.is_empty() && services.is_empty() && silent_zones.is_empty();
    let used_zones = used_zones(tables);
    let known = &tables.report;
    if is_empty && known.is_empty() && known.used_zones == used_zones {
        return;
    }
    let (used_endpoints, suspected_endpoints) = evidence::count_endpoints(tables, now);
    let report = LaneReport {
        taken_at: now,
        endpoints: rows,
        services,
        used_endpoints,
        suspected_endpoints,
        is_impaired,
        silent_zones,
        used_zones,
    };
    let is_old = !is_empty && now >= tables.report.taken_at + REFRESH_PERIOD;
    if is_old || !report.has_same_content(&tables.report) {
        tables.report = Arc::new(report);
    }
}

/// Returns the names of the zones where this lane has flows, in order. Only a host with several
/// lanes needs them, for the sum of their reports.
fn used_zones(tables: &Tables) -> Vec<Name> {
    let mut zones: Vec<Name> = Vec::new();
    if findings::own_host(tables).is_none_or(|host| host.lanes.len() < 2) {
        return zones;
    }
    for row in tables.endpoints.iter().filter(|row| row.flow_count > 0) {
        if !zones.contains(&row.spec.zone) {
            zones.push(row.spec.zone.clone());
        }
    }
    zones.sort_unstable();
    zones
}

fn endpoint_rows(tables: &Tables, now: Duration) -> Vec<EndpointReport> {
    let mut rows = Vec::new();
    for row in tables.endpoints.iter() {
        let health = tables.shared_health.get(row.spec.id);
        if health.is_some() || evidence::has_stalls(row) {
            let is_left = is_left_to_others(tables, row, now);
            rows.extend(
                endpoint_row(row, health, now).filter(|row| !is_left || row.evidence() == 0),
            );
        }
    }
    rows
}

/// Returns true if another host reports an endpoint for all.
fn is_left_to_others(tables: &Tables, row: &EndpointRow, now: Duration) -> bool {
    let down = row.down.filter(|down| down.from_reports);
    down.is_some_and(|down| now >= down.since + DOWN_REPORT_TIME)
        && !shared_health::may_try(tables, row)
}

/// Returns the observations of an endpoint; none if there is no evidence against it and none was
/// contradicted.
fn endpoint_row(
    row: &EndpointRow,
    health: Option<&HealthRow>,
    now: Duration,
) -> Option<EndpointReport> {
    let own = evidence::collect(row, health, now);
    let cleared = health.and_then(|health| health.cleared);
    if own.count() == 0 && cleared.is_none() {
        return None;
    }
    let heard_at = match cleared {
        Some(cleared) if own.count() == 0 => cleared.heard_at,
        _ => row.last_alive,
    };
    let silent_for = match own.count() {
        0 => Duration::ZERO,
        _ => now.saturating_sub(own.oldest),
    };
    Some(EndpointReport {
        endpoint: row.spec.id,
        started_ms: row.spec.started_ms,
        unanswered_opens: own.opens,
        stalled_flows: own.stalled,
        silent_for,
        heard_ago: (!heard_at.is_zero()).then(|| now.saturating_sub(heard_at)),
        ..EndpointReport::default()
    })
}
