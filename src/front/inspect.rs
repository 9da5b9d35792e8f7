//! Explanations of where a flow would go, from running lanes or a saved dump, and their output.
//!
//! A lane explains between two ticks, and handles one query at a time. A dump contains the
//! explanations of all routes for a caller that has no flow yet, because its tables have other
//! forms than those of a lane and cannot be read back.

use std::fmt::Write as _;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use super::lane::{Lane, SharedState};
use super::ops::ExplainHandler;
use crate::error::{Error, Result};
use crate::id::Name;
use crate::segment::RequestKind;
use crate::snapshot::Snapshot;
use crate::systems::explain::{
    AdmissionExplanation, FORMAT, LeavingReason, Outcome, Query, Reason, RouteExplanation,
    ServiceExplanation,
};

/// Name of the table with the explanations of a lane in a dump.
pub const DUMP_TABLE: &str = "where";

/// Time within which a lane has to answer: 20 of its ticks.
pub const LANE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of known names in an error message.
const MAX_NAMES: usize = 8;

/// Release of this program.
const RELEASE: &str = env!("CARGO_PKG_VERSION");

/// Explanations of all lanes of a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Inspection {
    /// Version of the fields, [`FORMAT`].
    pub format: u32,
    /// Release of the host.
    pub release: Name,
    /// Explanations by lane.
    pub lanes: Vec<LaneExplanation>,
}

/// Explanations of one lane.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LaneExplanation {
    /// Number of the lane, from 1.
    pub lane: usize,
    /// Its routes.
    pub routes: Vec<RouteExplanation>,
}

/// Why a running host does not explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueryError {
    /// Another query is in progress.
    Busy,
    /// A lane does not answer; its number counts from 1.
    NoAnswer {
        /// Number of the lane.
        lane: usize,
    },
    /// There is no such route or service.
    UnknownFront {
        /// What was asked for.
        front: Name,
        /// Some of the routes, and the number of all.
        known: String,
    },
}

impl QueryError {
    /// Returns the fault and what to do about it.
    #[must_use]
    pub fn describe(&self) -> (String, &'static str) {
        match self {
            Self::Busy => (
                "another query is in progress".to_owned(),
                "try again in a second",
            ),
            Self::NoAnswer { lane } => (
                format!(
                    "lane {lane} did not answer within {} s",
                    LANE_TIMEOUT.as_secs()
                ),
                "try again; if it lasts, the host lacks processor time or hangs",
            ),
            Self::UnknownFront { front, known } => (
                format!("no route or service has the name or front address `{front}`; {known}"),
                "pass the front address of a route, or the name of a route or service",
            ),
        }
    }
}

/// Returns the handler of queries, which handles one at a time.
#[must_use]
pub fn explain_handler(lanes: &Arc<[Lane]>, shared: &Arc<SharedState>) -> ExplainHandler {
    let (lanes, shared) = (Arc::clone(lanes), Arc::clone(shared));
    let turn = Arc::new(Semaphore::new(1));
    Arc::new(move |query| {
        let (lanes, snapshot) = (Arc::clone(&lanes), shared.snapshot.load_full());
        let permit = Arc::clone(&turn).try_acquire_owned();
        async move {
            let _permit = permit.map_err(|_| QueryError::Busy)?;
            query_lanes(&lanes, &snapshot, &query).await
        }
        .boxed()
    })
}

/// Asks each lane where a flow would go.
///
/// # Errors
///
/// Returns an error when a lane does not answer in time, or no route matches.
pub async fn query_lanes(
    lanes: &[Lane],
    snapshot: &Snapshot,
    query: &Query,
) -> Result<Value, QueryError> {
    let mut explained = Vec::new();
    for (lane, number) in lanes.iter().zip(1..) {
        let answer = tokio::time::timeout(LANE_TIMEOUT, lane.explain(query.clone())).await;
        let no_answer = QueryError::NoAnswer { lane: number };
        let routes = answer.ok().flatten().ok_or(no_answer)?;
        explained.push(LaneExplanation {
            lane: number,
            routes,
        });
    }
    if explained.iter().all(|lane| lane.routes.is_empty()) {
        let names = snapshot.routes.values().map(|route| &route.name);
        return Err(QueryError::UnknownFront {
            front: query.front.clone(),
            known: known_routes(names.cloned().collect()),
        });
    }
    Ok(json!(Inspection {
        format: FORMAT,
        release: RELEASE.into(),
        lanes: explained,
    }))
}

/// Returns the table of a lane's explanations in a dump.
#[must_use]
pub fn dump_table(routes: &[RouteExplanation]) -> Value {
    json!({ "format": FORMAT, "release": RELEASE, "routes": routes })
}

fn known_routes(mut names: Vec<Name>) -> String {
    names.sort_unstable();
    names.dedup();
    let count = names.len();
    names.truncate(MAX_NAMES);
    match count {
        0 => "there are no routes, and only relayed flows are explained".to_owned(),
        _ if count > MAX_NAMES => format!("some of {count} routes are {}", names.join(", ")),
        _ => format!("the routes are {}", names.join(", ")),
    }
}

/// Reads the address of a caller: an IP address, with or without a port.
///
/// # Errors
///
/// Returns an error for any other text.
pub fn parse_caller(text: &str) -> Result<SocketAddr> {
    let with_port = text.parse::<SocketAddr>().ok();
    let without_port = || Some(SocketAddr::new(text.parse::<IpAddr>().ok()?, 0));
    with_port.or_else(without_port).ok_or_else(|| {
        let remedy = "pass the caller's IP or IP:PORT, as in 192.0.2.7:40001";
        Error::setting("--caller", format!("`{text}` is not an address"), remedy)
    })
}

/// Reads the answer of the host at `addr`.
///
/// # Errors
///
/// Returns an error when it is incomplete or of another release.
pub fn parse_answer(addr: SocketAddr, body: &[u8]) -> Result<Inspection> {
    let value: Value =
        serde_json::from_slice(body).map_err(|_| Error::peer(addr, "the response is not JSON"))?;
    let other_release = || {
        let fault = format!("{}, and this program cannot read it", release_of(&value));
        Error::peer(addr, fault)
    };
    if value["format"] != FORMAT {
        return Err(other_release());
    }
    Inspection::deserialize(&value).map_err(|_| other_release())
}

/// Reads the explanations of a route or service in a saved dump.
///
/// # Errors
///
/// Returns an error when the dump is truncated, lacks a part or is of another release, or when it
/// has no such route.
pub fn read_dump(path: &Path, front: &str) -> Result<Inspection> {
    let file = path.display().to_string();
    let text = std::fs::read(path).map_err(|source| {
        let fault = format!("the file cannot be read: {source}");
        Error::config(&*file, fault, "check the path and the permissions")
    })?;
    parse_dump(&file, &text, front)
}

/// Reads the explanations of a route or service in the text of a dump; `file` is its name.
///
/// # Errors
///
/// As for [`read_dump`].
pub fn parse_dump(file: &str, text: &[u8], front: &str) -> Result<Inspection> {
    let remedy = "save the output of `jacinthhinge dump ADDR` again";
    let refuse = |fault: String| Error::config(file, fault, remedy);
    let dump: Value = serde_json::from_slice(text).map_err(|error| {
        if error.is_eof() {
            refuse(format!("the dump is truncated at line {}", error.line()))
        } else {
            refuse(format!("the file is not a dump: {error}"))
        }
    })?;
    // With `--table where`, a dump is the list of these tables.
    let (lanes, prefix) = match (&dump, &dump["lanes"]) {
        (Value::Array(tables), _) => (tables.iter().collect(), "table"),
        (_, Value::Array(lanes)) => {
            let tables = lanes.iter().map(|lane| &lane[DUMP_TABLE]);
            (tables.collect::<Vec<_>>(), "`where` of lane")
        }
        _ => return Err(refuse("the part `lanes` is missing".to_owned())),
    };
    if lanes.is_empty() {
        return Err(refuse("the part `lanes` has no lane".to_owned()));
    }
    let mut inspection = Inspection {
        format: FORMAT,
        release: RELEASE.into(),
        lanes: Vec::new(),
    };
    for (table, number) in lanes.into_iter().zip(1..) {
        if !table.is_object() || table["routes"].is_null() {
            return Err(refuse(format!("the part {prefix} {number} is missing")));
        }
        let other_release = || {
            let fault = format!("{}, and this program cannot read it", release_of(table));
            Error::config(file, fault, "use the program of that release")
        };
        if table["format"] != FORMAT {
            return Err(other_release());
        }
        let routes = Vec::<RouteExplanation>::deserialize(&table["routes"]);
        let lane = LaneExplanation {
            lane: number,
            routes: routes.map_err(|_| other_release())?,
        };
        inspection.release = table["release"].as_str().unwrap_or_default().into();
        inspection.lanes.push(lane);
    }
    select(inspection, front)
}

/// Keeps the routes with a front address, a name, or a service of this name.
fn select(mut inspection: Inspection, front: &str) -> Result<Inspection> {
    let addr: Option<SocketAddr> = front.parse().ok();
    let is_wanted = |route: &RouteExplanation| {
        let mut services = route.services.iter();
        Some(route.front) == addr
            || *route.route == *front
            || *route.admission.service == *front
            || services.any(|service| *service.service == *front)
    };
    let routes = inspection.lanes.iter().flat_map(|lane| &lane.routes);
    let names = routes.map(|route| route.route.clone()).collect();
    for lane in &mut inspection.lanes {
        lane.routes.retain(is_wanted);
    }
    if inspection.lanes.iter().all(|lane| lane.routes.is_empty()) {
        let unknown = QueryError::UnknownFront {
            front: front.into(),
            known: known_routes(names),
        };
        let (fault, remedy) = unknown.describe();
        return Err(Error::setting("FRONT", fault, remedy));
    }
    Ok(inspection)
}

/// Describes the release that wrote a value.
fn release_of(value: &Value) -> String {
    let release = value["release"].as_str().unwrap_or("an unknown one");
    format!("it is of release {release}, format {}", value["format"])
}

/// Returns explanations as text, with a table of the candidates.
#[must_use]
pub fn render(inspection: &Inspection) -> String {
    let mut text = String::new();
    for lane in &inspection.lanes {
        if inspection.lanes.len() > 1 {
            push_line(&mut text, &format!("lane {}", lane.lane));
        }
        for route in &lane.routes {
            render_route(&mut text, route);
        }
    }
    text.truncate(text.trim_end().len());
    text
}

fn push_line(text: &mut String, line: &str) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "{}", line.trim_end());
}

fn render_route(text: &mut String, route: &RouteExplanation) {
    let kind = match route.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Once => "at most once",
    };
    let heading = format!(
        "route {} at {}: priority {}, target {} ms, deadline {} ms, {kind}",
        route.route,
        route.front,
        route.priority,
        route.target_latency.as_millis(),
        route.deadline.as_millis(),
    );
    push_line(text, &heading);
    if let Some(flow) = &route.flow {
        let endpoint = flow.endpoint.as_deref().map(|name| format!(" at {name}"));
        let line = format!(
            "  the caller has a flow that is {}{}",
            flow.state,
            endpoint.unwrap_or_default()
        );
        push_line(text, &line);
    }
    push_line(text, &format!("  {}", describe_admission(&route.admission)));
    for service in &route.services {
        render_service(text, service);
    }
    text.push('\n');
}

fn describe_admission(admission: &AdmissionExplanation) -> String {
    let outcome = match (admission.outcome, &admission.cause) {
        (Outcome::Starts, None) => "starts at once".to_owned(),
        (Outcome::Starts, Some(cause)) => {
            let share = percent(admission.refused_share);
            format!("starts at once, but {share} are refused, cause {cause}")
        }
        (Outcome::Waits, _) => match (admission.ahead, admission.wait_ms) {
            (Some(0), _) => "waits for the next free place".to_owned(),
            (Some(ahead), Some(wait)) => {
                format!("waits, about {wait:.0} ms for the {ahead} ahead of it")
            }
            _ => "waits, for an unknown time".to_owned(),
        },
        (Outcome::Refused, None) => "is refused".to_owned(),
        (Outcome::Refused, Some(cause)) => format!("is refused, cause {cause}"),
    };
    let limit = admission.limit;
    let limit = limit.map_or_else(
        || "no limit known".to_owned(),
        |limit| format!("limit {limit:.1}"),
    );
    format!(
        "{outcome}; requests in progress at {}: {}, {limit}, waiting: {}",
        admission.service, admission.in_progress, admission.waiting
    )
}

fn render_service(text: &mut String, service: &ServiceExplanation) {
    let leaving = &service.leaving;
    let reason = match leaving.reason {
        LeavingReason::NotPlanned => {
            "no answer time is known yet; only if the own zone would take too long"
        }
        LeavingReason::NoLocalEndpoint => "the own zone has no usable endpoint",
        LeavingReason::NoCapacity => "the own zone lacks capacity",
        LeavingReason::CapacityReturned => "the own zone has capacity again, the share falls",
        LeavingReason::NoGain => "the own zone lacks capacity, no other zone would answer sooner",
        LeavingReason::NotNeeded => "the own zone has capacity",
    };
    let time = |ms: Option<f64>, place: &str| {
        ms.map_or_else(String::new, |ms| format!("; {ms:.0} ms {place}"))
    };
    let heading = format!(
        "  service {}, {} of the openings; {} leave the zone: {reason}{}{}",
        service.service,
        percent(service.share),
        percent(leaving.share),
        time(leaving.here_ms, "here"),
        time(leaving.there_ms, "there"),
    );
    push_line(text, &heading);
    if let Some(trial) = &service.trial {
        let line = format!("    {trial} gets the next opening, as a trial of whether it answers");
        push_line(text, &line);
    }
    for choice in &service.choice.choices {
        let zone = choice.zone.as_deref();
        let zone = zone.map_or_else(|| "own zone".to_owned(), |zone| format!("zone {zone}"));
        let chosen = if choice.chosen.is_empty() {
            "no endpoint".to_owned()
        } else {
            choice.chosen.join(" or ")
        };
        let may_fail = choice.may_miss && !choice.chosen.is_empty();
        let suffix = if may_fail { ", or none" } else { "" };
        let share = percent(choice.share);
        push_line(
            text,
            &format!("    {zone} first, {share}: {chosen}{suffix}"),
        );
    }
    render_candidates(text, service);
}

fn percent(share: f64) -> String {
    format!("{:.0}%", share * 100.0)
}

fn render_candidates(text: &mut String, service: &ServiceExplanation) {
    let heading = [
        "", "endpoint", "zone", "tier", "score", "running", "flows", "answer", "against",
    ];
    let mut rows = vec![heading.map(str::to_owned)];
    for candidate in &service.choice.candidates {
        let tiers: Vec<String> = candidate.tiers.iter().map(u8::to_string).collect();
        let reasons: Vec<String> = candidate.reasons.iter().map(describe_reason).collect();
        let is_trial = service.trial.as_ref() == Some(&candidate.endpoint);
        let mark = match (candidate.chosen, is_trial) {
            (_, true) => "t",
            (true, false) => "*",
            (false, false) => "",
        };
        let score = candidate.score.map(|score| format!("{score:.3}"));
        let answer = candidate.answer_ms.map(|time| format!("{time:.0} ms"));
        rows.push([
            mark.to_owned(),
            candidate.endpoint.to_string(),
            candidate.zone.to_string(),
            tiers.join("/"),
            score.unwrap_or_default(),
            candidate.in_progress.to_string(),
            candidate.flows.to_string(),
            answer.unwrap_or_default(),
            reasons.join(", "),
        ]);
    }
    let widths: [usize; 9] = std::array::from_fn(|column| {
        let lengths = rows.iter().map(|row| row[column].chars().count());
        lengths.max().unwrap_or_default()
    });
    for row in &rows {
        let cells = row.iter().zip(widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        push_line(text, &format!("    {}", cells.join("  ")));
    }
}

fn describe_reason(reason: &Reason) -> String {
    let text = match reason {
        Reason::Draining => "draining",
        Reason::Evacuated => "evacuated",
        Reason::Replaced => "replaced",
        Reason::Blocked => "blocked",
        Reason::RegionNotAllowed => "region not allowed",
        Reason::Unresponsive => "does not answer",
        Reason::Ejected => "ejected, answers only a part of its requests",
        Reason::ReportedUnhealthy => "reported unhealthy",
        Reason::Cold => "cold without allowance",
        Reason::AtFlowLimit => "at its maximum of flows",
        Reason::AlreadyTried => "already tried",
        Reason::CookieInUse => "cookie in use",
        Reason::Full => "full",
        Reason::Down {
            confirmed,
            whole_zone,
        } => {
            let what = if *whole_zone { "zone down" } else { "down" };
            let suffix = if *confirmed { "" } else { ", not confirmed" };
            return format!("{what}{suffix}");
        }
        Reason::Suspected { observers, .. } => {
            return format!("suspected by {}", observers.join(" and "));
        }
    };
    text.to_owned()
}
