//! Tracing of a failed flow to its cause by the log lines of all hosts.

use jacinthhinge::front::trace::{Subject, build_report, parse};

/// Log lines of two hosts, partly out of order, each after a time and the host name.
const LOGS: &str = r#"
  10.1 sv-a-1 {"time":"T10.100","host":"sv-a-1","event":"placed","caller":"192.0.2.7:1","front":"198.18.0.1:443","endpoint":"i-1","copies":0}
  10.3 sv-a-1 {"time":"T10.300","host":"sv-a-1","event":"placed","caller":"192.0.2.7:1","front":"198.18.0.1:443","endpoint":"i-2","copies":1}
  10.7 sv-a-2 {"time":"T10.700","host":"sv-a-2","event":"placed","caller":"192.0.2.7:1","front":"198.18.0.1:443","endpoint":"i-3","copies":2}
  10.8 sv-a-1 {"time":"T10.800","host":"sv-a-1","event":"endpoint_down","endpoint":"i-2","zone":"sv-a","heard_ms":620}
  10.8 sv-a-1 {"time":"T10.801","host":"sv-a-1","event":"reset","cause":"endpoint_down","caller":"192.0.2.8:1","front":"198.18.0.1:443","endpoint":"i-2","repeats":1,"waited_ms":412}
  10.2 sv-a-1 {"time":"T10.200","host":"sv-a-1","event":"placed","caller":"192.0.2.8:1","front":"198.18.0.1:443","endpoint":"i-2","copies":0}
  10.9 sv-a-1 {"time":"T10.900","host":"sv-a-1","event":"reset","cause":"no_endpoint","caller":"192.0.2.9:1","front":"198.18.0.2:443","copies":0}
  11.1 sv-a-2 {"time":"T11.100","host":"sv-a-2","event":"endpoint_suspected","endpoint":"i-4","zone":"sv-a","observers":"sv-a-1","evidence":1,"oldest_ms":310}
  11.2 sv-a-2 {"time":"T11.200","host":"sv-a-2","event":"reset","cause":"endpoint_down","reports":true,"caller":"192.0.2.11:1","front":"198.18.0.1:443","endpoint":"i-4","repeats":0,"waited_ms":180}
  11.0 sv-a-1 {"time":"T11.000","host":"sv-a-1","event":"held","caller":"192.0.2.14:1","front":"198.18.0.1:443","running":6,"waiting":4}
  11.0 sv-a-1 {"time":"T11.000","host":"sv-a-1","event":"held","caller":"192.0.2.12:1","front":"198.18.0.1:443","running":6,"waiting":5}
  11.1 sv-a-1 {"time":"T11.100","host":"sv-a-1","event":"released","caller":"192.0.2.12:1","front":"198.18.0.1:443","waited_ms":100}
  11.0 sv-a-1 {"time":"T11.000","host":"sv-a-1","event":"held","caller":"192.0.2.13:1","front":"198.18.0.1:443","running":6,"waiting":6}
  11.2 sv-a-1 {"time":"T11.200","host":"sv-a-1","event":"refused","cause":"no_capacity","caller":"192.0.2.13:1","front":"198.18.0.1:443","ahead":31,"waited_ms":200}
  11.3 sv-a-1 {"time":"T11.300","host":"sv-a-1","event":"placed","caller":"192.0.2.15:1","front":"198.18.0.1:443","endpoint":"i-5","copies":0}
  11.4 sv-a-1 {"time":"T11.400","host":"sv-a-1","event":"endpoint_ejected","endpoint":"i-5","zone":"sv-a","overdue":4,"answered":9.0,"hosts":3,"oldest_ms":120,"ejected_ms":3000}
  11.4 sv-a-2 {"time":"T11.410","host":"sv-a-2","event":"endpoint_ejected","endpoint":"i-5","zone":"sv-a","overdue":4,"answered":9.0,"hosts":3,"oldest_ms":130,"ejected_ms":3000}
  14.4 sv-a-1 {"time":"T14.400","host":"sv-a-1","event":"endpoint_readmitted","endpoint":"i-5","zone":"sv-a","ejected_ms":3000}
  not a log line, and { not one either
"#;

fn trace_flow(caller: &str) -> (Vec<String>, String) {
    let report = build_report(parse(LOGS), &Subject::Flow(caller.to_owned()));
    (report.lines, report.summary)
}

#[test]
fn flow_that_did_not_open() {
    let (lines, summary) = trace_flow("192.0.2.7:1");
    assert_eq!(
        lines.len(),
        4,
        "the line of event endpoint_down of i-2 is included"
    );
    assert_eq!(
        summary,
        "The flow did not open on the first try: 3 endpoints were tried, i-3 last."
    );
}

#[test]
fn flow_that_opened_and_stalled() {
    let (lines, summary) = trace_flow("192.0.2.8:1");
    assert!(lines[0].contains("placed") && lines[1].contains("heard_ms"));
    assert_eq!(
        summary,
        "The flow opened and stalled: sv-a-1 reset it after 412 ms, because i-2 did not respond."
    );
}

/// The summary tells that the evidence was not this host's alone.
#[test]
fn flow_that_was_reset_by_reports() {
    let (lines, summary) = trace_flow("192.0.2.11:1");
    assert!(lines[0].contains("endpoint_suspected"), "{lines:?}");
    assert_eq!(
        summary,
        "The flow opened and stalled: sv-a-2 reset it after 180 ms, because i-4 did not respond to several hosts."
    );
    let report = build_report(parse(LOGS), &Subject::Endpoint("i-4".to_owned()));
    assert_eq!(
        report.summary,
        "i-4 received 0 new flows; 0 hosts considered it down, and 1 of its flows were reset, 1 of them by the reports of several hosts."
    );
}

#[test]
fn flow_that_was_refused() {
    assert_eq!(
        trace_flow("192.0.2.9:1").1,
        "The flow was refused by sv-a-1: no endpoint of 198.18.0.2:443 could accept it."
    );
}

#[test]
fn flow_that_waited_for_capacity() {
    assert_eq!(
        trace_flow("192.0.2.14:1").1,
        "The flow waits on sv-a-1: its service has 6 requests of this host in progress, and 4 others wait."
    );
    assert_eq!(
        trace_flow("192.0.2.12:1").1,
        "A request of the flow waited 100 ms on sv-a-1 for capacity and was then forwarded."
    );
    assert_eq!(
        trace_flow("192.0.2.13:1").1,
        "The flow was refused by sv-a-1 after 200 ms for lack of capacity: 31 requests were ahead of it."
    );
}

#[test]
fn flow_without_log_lines() {
    assert_eq!(
        trace_flow("192.0.2.10:1").1,
        "No host has logged this flow."
    );
}

#[test]
fn endpoint_report_counts_its_flows() {
    let report = build_report(parse(LOGS), &Subject::Endpoint("i-2".to_owned()));
    assert_eq!(
        report.summary,
        "i-2 received 2 new flows; 1 hosts considered it down, and 1 of its flows were reset."
    );
}

/// A failed flow in a zone that was silent is explained by the silence, whose lines name the zone and
/// no endpoint.
#[test]
fn silent_zone_is_part_of_the_trace() {
    let silence = r#"
  10.4 sv-a-1 {"time":"T10.400","host":"sv-a-1","event":"zone_silent","zone":"sv-a","hosts":4,"live_hosts":4,"heard_ms":450}
  10.6 sv-a-1 {"time":"T10.600","host":"sv-a-1","event":"zone_answers","zone":"sv-a","cause":"answer","down_ms":200}
"#;
    let logs = format!("{LOGS}{silence}");
    let report = build_report(parse(&logs), &Subject::Flow("192.0.2.7:1".to_owned()));
    for event in ["zone_silent", "zone_answers"] {
        assert!(report.lines.iter().any(|line| line.contains(event)));
    }
}

/// The trace of a flow shows the ejection of its endpoint, and that of the endpoint counts the hosts.
#[test]
fn ejected_endpoint() {
    let (lines, _) = trace_flow("192.0.2.15:1");
    assert_eq!(lines.len(), 4, "{lines:?}");
    let report = build_report(parse(LOGS), &Subject::Endpoint("i-5".to_owned()));
    assert_eq!(
        report.summary,
        "i-5 received 1 new flows; 0 hosts considered it down, and 0 of its flows were reset. \
         2 hosts sent it no new flows for some seconds, because a part of its requests was not answered."
    );
}
