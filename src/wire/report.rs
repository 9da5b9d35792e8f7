//! Encoding of reports about endpoints and load.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;

use crate::error::{Error, Result};
use crate::id::{Id, Name};
use crate::report::{EndpointReport, LaneReport, MAX_ROWS, ServiceReport, ZoneReport};

/// Maximum number of services in an encoded report.
pub const MAX_SERVICES: usize = 8;

/// Maximum number of hosts in the sum of a zone: several times the 650 hosts of the design target,
/// so that a wrong number costs its receivers little.
const MAX_HOSTS: u32 = 4_096;
/// Maximum number of silent zones in an encoded report. If more are silent, there is hardly one
/// left for new flows.
pub const MAX_SILENT_ZONES: usize = 2;

/// Maximum length of the name of a silent zone, in bytes; one with a longer name is left out.
const MAX_ZONE_BYTES: usize = 24;

/// Maximum number of pieces of evidence of one kind in a row, which fits into four bits.
const MAX_EVIDENCE: u32 = 15;

/// Maximum age in a row, in milliseconds, which takes two bytes.
const MAX_AGE_MS: u32 = 16_382;

/// Report about endpoints and services. The rows of endpoints are columns of equal length, which
/// take at most 19 bytes a row, so that a heartbeat has room for all of them.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireReport {
    /// Ids of the endpoints.
    #[prost(fixed64, repeated, tag = "1")]
    ids: Vec<u64>,
    #[prost(message, repeated, tag = "2")]
    services: Vec<WireService>,
    #[prost(uint32, tag = "3")]
    used: u32,
    #[prost(uint32, tag = "4")]
    suspected: u32,
    #[prost(bool, tag = "5")]
    impaired: bool,
    /// Lower 32 bits of the start times, in milliseconds.
    #[prost(fixed32, repeated, tag = "6")]
    started_ms: Vec<u32>,
    /// Unanswered openings in the lower four bits, stalled flows in the upper ones.
    #[prost(bytes = "vec", tag = "7")]
    evidence: Vec<u8>,
    /// Ages of the oldest evidence.
    #[prost(uint32, repeated, tag = "8")]
    silent_ms: Vec<u32>,
    /// Ages of the last answers plus one, zero without an answer.
    #[prost(uint32, repeated, tag = "9")]
    heard_ms: Vec<u32>,
    /// Names of the zones whose endpoints do not answer.
    #[prost(string, repeated, tag = "10")]
    silent_zones: Vec<String>,
    /// Requests answered in time, one byte a row; empty without overdue requests, and from hosts
    /// of earlier releases.
    #[prost(bytes = "vec", tag = "12")]
    answered: Vec<u8>,
    /// Overdue requests, in the same form.
    #[prost(bytes = "vec", tag = "13")]
    overdue: Vec<u8>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireService {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(float, tag = "2")]
    demand: f32,
    #[prost(float, tag = "3")]
    busy: f32,
    #[prost(uint32, tag = "4")]
    waiting: u32,
}

/// Sum of the load in a zone.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireZoneReport {
    #[prost(string, tag = "1")]
    zone: String,
    /// Number of hosts in the sum.
    #[prost(uint32, tag = "2")]
    hosts: u32,
    /// Number of these hosts with waiting requests.
    #[prost(uint32, tag = "3")]
    short_hosts: u32,
    #[prost(message, repeated, tag = "4")]
    services: Vec<WireService>,
    /// Milliseconds since the sum was made.
    #[prost(uint32, tag = "5")]
    pub(super) age_ms: u32,
}

/// Converts a report, without the rows beyond [`MAX_ROWS`] and [`MAX_SERVICES`].
pub(super) fn encode(report: &LaneReport) -> WireReport {
    let services = report.services.iter().take(MAX_SERVICES);
    let mut wire = WireReport {
        services: services.map(encode_service).collect(),
        used: report.used_endpoints,
        suspected: report.suspected_endpoints,
        impaired: report.is_impaired,
        silent_zones: encode_zones(&report.silent_zones),
        ..WireReport::default()
    };
    for row in report.endpoints.iter().take(MAX_ROWS) {
        wire.ids.push(row.endpoint.0);
        wire.started_ms.push(low_bits(row.started_ms));
        wire.evidence.push(encode_evidence(row));
        wire.silent_ms.push(encode_age(row.silent_for));
        wire.heard_ms
            .push(row.heard_ago.map_or(0, |age| encode_age(age) + 1));
        let (answered, overdue) = encode_outcomes(row);
        wire.answered.push(answered);
        wire.overdue.push(overdue);
    }
    if wire.overdue.iter().all(|overdue| *overdue == 0) {
        wire.answered.clear();
        wire.overdue.clear();
    }
    wire
}

fn encode_zones(zones: &[Name]) -> Vec<String> {
    let short = zones.iter().filter(|zone| zone.len() <= MAX_ZONE_BYTES);
    short
        .take(MAX_SILENT_ZONES)
        .map(ToString::to_string)
        .collect()
}

pub(super) fn decode(wire: &WireReport) -> Result<Arc<LaneReport>> {
    let count = wire.ids.len();
    let columns = [
        wire.started_ms.len(),
        wire.evidence.len(),
        wire.silent_ms.len(),
        wire.heard_ms.len(),
    ];
    let has_outcomes = !wire.answered.is_empty() || !wire.overdue.is_empty();
    let is_even = columns.iter().all(|length| *length == count)
        && (!has_outcomes || (wire.answered.len() == count && wire.overdue.len() == count));
    if !is_even || count > MAX_ROWS || wire.services.len() > MAX_SERVICES {
        return Err(Error::malformed("number of rows in a report"));
    }
    let zones = &wire.silent_zones;
    if zones.len() > MAX_SILENT_ZONES || zones.iter().any(|zone| zone.len() > MAX_ZONE_BYTES) {
        return Err(Error::malformed("silent zones in a report"));
    }
    let services: Result<Vec<_>> = wire.services.iter().map(decode_service).collect();
    Ok(Arc::new(LaneReport {
        taken_at: Duration::ZERO,
        endpoints: (0..count).map(|at| decode_endpoint(wire, at)).collect(),
        services: services?,
        used_endpoints: wire.used,
        suspected_endpoints: wire.suspected,
        is_impaired: wire.impaired,
        silent_zones: zones.iter().map(|zone| zone.as_str().into()).collect(),
        used_zones: Vec::new(),
    }))
}

/// Converts the sum of a zone, without the services beyond [`MAX_SERVICES`].
pub(super) fn encode_zone(report: &ZoneReport, age_ms: u32) -> WireZoneReport {
    let services = report.services.iter().take(MAX_SERVICES);
    WireZoneReport {
        zone: report.zone.to_string(),
        hosts: report.hosts,
        short_hosts: report.short_hosts,
        services: services.map(encode_service).collect(),
        age_ms,
    }
}

pub(super) fn decode_zone(wire: WireZoneReport) -> Result<Arc<ZoneReport>> {
    let is_valid = (1..=MAX_HOSTS).contains(&wire.hosts) && wire.short_hosts <= wire.hosts;
    if !is_valid || wire.services.len() > MAX_SERVICES {
        return Err(Error::malformed("sum of a zone's reports"));
    }
    let services: Result<Vec<_>> = wire.services.iter().map(decode_service).collect();
    Ok(Arc::new(ZoneReport {
        zone: wire.zone.into(),
        hosts: wire.hosts,
        short_hosts: wire.short_hosts,
        services: services?,
    }))
}

fn decode_endpoint(wire: &WireReport, at: usize) -> EndpointReport {
    let heard_ms = wire.heard_ms[at].checked_sub(1);
    EndpointReport {
        endpoint: Id(wire.ids[at]),
        started_ms: wire.started_ms[at].into(),
        unanswered_opens: u32::from(wire.evidence[at]) & MAX_EVIDENCE,
        stalled_flows: u32::from(wire.evidence[at]) >> MAX_EVIDENCE.count_ones(),
        silent_for: Duration::from_millis(wire.silent_ms[at].into()),
        heard_ago: heard_ms.map(|ms| Duration::from_millis(ms.into())),
        answered: wire.answered.get(at).copied().unwrap_or_default().into(),
        overdue: wire.overdue.get(at).copied().unwrap_or_default().into(),
    }
}

/// Returns the numbers of answered and of overdue requests. Large numbers are divided by the same
/// factor, so that the share of overdue requests stays about the same.
fn encode_outcomes(row: &EndpointReport) -> (u8, u8) {
    if row.overdue == 0 {
        return (0, 0);
    }
    let divisor = row
        .answered
        .max(row.overdue)
        .div_ceil(u8::MAX.into())
        .max(1);
    let encode = |count: u32| u8::try_from(count / divisor).unwrap_or(u8::MAX);
    (encode(row.answered), encode(row.overdue).max(1))
}

fn encode_evidence(row: &EndpointReport) -> u8 {
    let stalled = row.stalled_flows.min(MAX_EVIDENCE) << MAX_EVIDENCE.count_ones();
    let evidence = stalled | row.unanswered_opens.min(MAX_EVIDENCE);
    u8::try_from(evidence).unwrap_or(u8::MAX)
}

/// Returns the lower 32 bits of a time, which tell the starts of one endpoint apart.
fn low_bits(time_ms: u64) -> u32 {
    u32::try_from(time_ms & u64::from(u32::MAX)).unwrap_or_default()
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "a moving average needs no more than the precision of f32"
)]
fn encode_service(row: &ServiceReport) -> WireService {
    WireService {
        id: row.service.0,
        demand: row.demand as f32,
        busy: row.busy_slots as f32,
        waiting: row.waiting,
    }
}

fn decode_service(wire: &WireService) -> Result<ServiceReport> {
    let is_valid = |number: f32| number.is_finite() && number >= 0.0;
    if !is_valid(wire.demand) || !is_valid(wire.busy) {
        return Err(Error::malformed("load in a report"));
    }
    Ok(ServiceReport {
        service: Id(wire.id),
        demand: wire.demand.into(),
        busy_slots: wire.busy.into(),
        waiting: wire.waiting,
    })
}

fn encode_age(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).map_or(MAX_AGE_MS, |ms| ms.min(MAX_AGE_MS))
}
