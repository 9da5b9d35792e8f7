//! Summarizes what happened to a flow or an endpoint from the logs of all hosts.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

/// Flow or endpoint to trace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// The flow of a caller, identified by the caller's address and port.
    Flow(String),
    /// An endpoint, identified by its name.
    Endpoint(String),
}

/// Relevant log lines in time order, and a summary of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceReport {
    /// The relevant lines, as JSON.
    pub lines: Vec<String>,
    /// One-sentence summary of the events.
    pub summary: String,
}

/// Fields of a log line.
pub type LogLine = Map<String, Value>;

/// Parses the log lines in a text, and skips all other lines.
#[must_use]
pub fn parse(text: &str) -> Vec<LogLine> {
    let objects = text
        .lines()
        .filter_map(|line| line.find('{').map(|start| &line[start..]));
    objects
        .filter_map(|json| serde_json::from_str::<LogLine>(json).ok())
        .filter(|line| line.contains_key("event"))
        .collect()
}

/// Sorts the log lines by time, selects those relevant to the subject and summarizes them.
///
/// ```
/// use jacinthhinge::front::trace::{Subject, parse, build_report};
///
/// let log = r#"{"time":"12:00:01","host":"sv-a-1","event":"reset","caller":"192.0.2.7:4000","cause":"no_route","front":"198.18.0.1:443"}"#;
/// let report = build_report(parse(log), &Subject::Flow("192.0.2.7:4000".to_owned()));
/// assert_eq!(
///     report.summary,
///     "The flow was refused by sv-a-1: the desired state has no route for 198.18.0.1:443."
/// );
/// ```
#[must_use]
pub fn build_report(mut lines: Vec<LogLine>, subject: &Subject) -> TraceReport {
    lines.sort_by(|a, b| text_field(a, "time").cmp(text_field(b, "time")));
    let matching: Vec<LogLine> = lines
        .iter()
        .filter(|line| is_about(line, subject))
        .cloned()
        .collect();
    let endpoints: BTreeSet<&str> = matching
        .iter()
        .map(|line| text_field(line, "endpoint"))
        .collect();
    let is_relevant =
        |line: &&LogLine| is_about(line, subject) || is_health_event(line, &endpoints);
    TraceReport {
        lines: lines
            .iter()
            .filter(is_relevant)
            .map(|line| Value::Object(line.clone()).to_string())
            .collect(),
        summary: match subject {
            Subject::Flow(_) => summarize_flow(&matching),
            Subject::Endpoint(name) => summarize_endpoint(&matching, name),
        },
    }
}

fn text_field<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn number_field(line: &LogLine, field: &str) -> u64 {
    line.get(field).and_then(Value::as_u64).unwrap_or_default()
}

fn is_about(line: &LogLine, subject: &Subject) -> bool {
    match subject {
        Subject::Flow(caller) => text_field(line, "caller") == caller,
        Subject::Endpoint(name) => text_field(line, "endpoint") == name,
    }
}

/// Returns true if reports of other hosts were part of the evidence for the event.
fn is_reported(line: &LogLine) -> bool {
    line.get("reports").and_then(Value::as_bool) == Some(true)
}

/// Returns true for an event that reports one of the endpoints or a whole zone as up, suspected,
/// down, ejected, readmitted, removed, evacuated or returned.
fn is_health_event(line: &LogLine, endpoints: &BTreeSet<&str>) -> bool {
    match text_field(line, "event") {
        "endpoint_suspected"
        | "endpoint_down"
        | "endpoint_up"
        | "endpoint_gone"
        | "endpoint_ejected"
        | "endpoint_readmitted" => endpoints.contains(text_field(line, "endpoint")),
        "zone_down" | "zone_up" | "zone_silent" | "zone_answers" | "zone_evacuated"
        | "zone_returned" => true,
        _ => false,
    }
}

fn summarize_flow(matching: &[LogLine]) -> String {
    let Some(last) = matching.last() else {
        return "No host has logged this flow.".to_owned();
    };
    let (host, vip) = (text_field(last, "host"), text_field(last, "front"));
    let endpoint = text_field(last, "endpoint");
    match (text_field(last, "event"), text_field(last, "cause")) {
        ("reset", "no_route") => {
            format!("The flow was refused by {host}: the desired state has no route for {vip}.")
        }
        ("reset", "no_endpoint") => {
            format!("The flow was refused by {host}: no endpoint of {vip} could accept it.")
        }
        ("reset", "evacuated") => {
            format!("The flow was refused by {host}: all endpoints of {vip} are evacuated.")
        }
        ("reset", "route_removed") => {
            format!("The flow was reset by {host}: the route of {vip} was removed.")
        }
        ("reset", "route_missing") => format!(
            "The flow was reset by {host}: the route of {vip} had been removed before the host knew of it."
        ),
        ("reset", "endpoint_gone") => {
            format!("The flow was reset by {host}: its endpoint is no longer listed.")
        }
        ("reset", "endpoint_down") => format!(
            "The flow opened and stalled: {host} reset it after {} ms, because {endpoint} did not respond{}.",
            number_field(last, "waited_ms"),
            if is_reported(last) {
                " to several hosts"
            } else {
                ""
            }
        ),
        ("refused", _) => format!(
            "The flow was refused by {host} after {} ms for lack of capacity: {} requests were ahead of it.",
            number_field(last, "waited_ms"),
            number_field(last, "ahead"),
        ),
        ("held", _) => format!(
            "The flow waits on {host}: its service has {} requests of this host in progress, and {} others wait.",
            number_field(last, "running"),
            number_field(last, "waiting"),
        ),
        ("released", _) => format!(
            "A request of the flow waited {} ms on {host} for capacity and was then forwarded.",
            number_field(last, "waited_ms"),
        ),
        ("placed", _) if number_field(last, "copies") > 0 => format!(
            "The flow did not open on the first try: {} endpoints were tried, {endpoint} last.",
            matching
                .iter()
                .filter(|line| text_field(line, "event") == "placed")
                .count()
        ),
        ("placed", _) => {
            format!("The flow was forwarded to {endpoint} by {host}; no later event was logged.")
        }
        ("cookie_unknown", _) => format!("{host} does not know the endpoint of the flow."),
        (event, _) => format!("The last logged event of the flow is {event}, on {host}."),
    }
}

fn summarize_endpoint(matching: &[LogLine], name: &str) -> String {
    let count = |event: &str| {
        matching
            .iter()
            .filter(|line| text_field(line, "event") == event)
            .count()
    };
    let hosts_with = |event: &str| {
        let lines = matching.iter();
        let lines = lines.filter(|line| text_field(line, "event") == event);
        let hosts: BTreeSet<&str> = lines.map(|line| text_field(line, "host")).collect();
        hosts.len()
    };
    let resets = matching
        .iter()
        .filter(|line| text_field(line, "event") == "reset");
    let reported = resets.filter(|line| is_reported(line)).count();
    format!(
        "{name} received {} new flows; {} hosts considered it down, and {} of its flows were reset{}.{}",
        count("placed"),
        hosts_with("endpoint_down"),
        count("reset"),
        match reported {
            0 => String::new(),
            reported => format!(", {reported} of them by the reports of several hosts"),
        },
        match hosts_with("endpoint_ejected") {
            0 => String::new(),
            ejecting => format!(
                " {ejecting} hosts sent it no new flows for some seconds, because a part of its requests was not answered."
            ),
        }
    )
}
