//! Metrics as they are sent to a statsd server and rendered as text.

use std::net::UdpSocket;
use std::time::Duration;

use jacinthhinge::front::exposition::Exposition;
use jacinthhinge::front::statsd::StatsdReporter;
use jacinthhinge::tables::{Counters, LatencyHistograms, observe};
use serde_json::json;

#[test]
fn counters_are_sent_as_increments_and_gauges_as_values() {
    let server = UdpSocket::bind(("127.0.0.1", 0)).expect("a socket");
    server
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a time limit");
    let mut reporter = StatsdReporter::new(server.local_addr().ok()).expect("a client");
    reporter.report_counters(json!({ "done": 3, "unknown": 0 }));
    reporter.report_counters(json!({ "done": 5, "unknown": 0, "control.deaths": 1 }));
    reporter.report_gauge("flows", 7);
    let mut lines: Vec<String> = (0..4).map(|_| receive_line(&server)).collect();
    lines.sort();
    assert_eq!(
        lines,
        [
            "jacinthhinge.control.deaths:1|c",
            "jacinthhinge.done:2|c",
            "jacinthhinge.done:3|c",
            "jacinthhinge.flows:7|g",
        ]
    );
}

fn receive_line(server: &UdpSocket) -> String {
    let mut buffer = [0; 256];
    let size = server.recv(&mut buffer).expect("a datagram");
    String::from_utf8_lossy(&buffer[..size]).into_owned()
}

#[test]
fn metrics_are_rendered_as_text() {
    let histograms = LatencyHistograms::default();
    observe(&histograms.answer_time, Duration::from_millis(40));
    let counters = json!({ "placed": 5, "control.deaths": 1 });
    let exposition = Exposition {
        counters: counters.as_object().expect("an object").clone(),
        gauges: vec![("endpoints_down", 2.0)],
        rank_gauges: vec![("rank_requests_waiting", vec![(0, 0.0), (3, 12.0)])],
        histograms: vec![("10.0.0.1:7000".to_owned(), histograms)],
    };
    let text = exposition.render().expect("a text");
    for line in [
        "jacinthhinge_placed_total 5",
        "jacinthhinge_control_deaths_total 1",
        "jacinthhinge_endpoints_down 2.0",
        r#"jacinthhinge_rank_requests_waiting{rank="0"} 0.0"#,
        r#"jacinthhinge_rank_requests_waiting{rank="3"} 12.0"#,
        r#"jacinthhinge_answer_seconds_bucket{lane="10.0.0.1:7000",le="0.025"} 0"#,
        r#"jacinthhinge_answer_seconds_bucket{lane="10.0.0.1:7000",le="0.05"} 1"#,
        r#"jacinthhinge_open_seconds_count{lane="10.0.0.1:7000"} 0"#,
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in\n{text}");
    }
}

#[test]
fn every_counter_is_documented() {
    let page = include_str!("../docs/OPERATIONS.md");
    let lane = json!(Counters::default());
    let control = json!(jacinthhinge::control::Counters::default());
    for counters in [lane, control] {
        for name in counters.as_object().expect("an object").keys() {
            assert!(page.contains(&format!("`{name}`")), "{name}");
        }
    }
}
