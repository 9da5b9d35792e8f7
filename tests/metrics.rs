//! What a statsd server gets.

use std::net::UdpSocket;
use std::time::Duration;

use jacinthhinge::front::metrics::Metrics;
use serde_json::json;

#[test]
fn counters_go_as_increases_and_gauges_as_they_are() {
    let server = UdpSocket::bind(("127.0.0.1", 0)).expect("a socket");
    server
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("a time limit");
    let mut metrics = Metrics::new(server.local_addr().ok()).expect("a client");
    metrics.count(json!({ "done": 3, "unknown": 0 }));
    metrics.count(json!({ "done": 5, "unknown": 0, "control.deaths": 1 }));
    metrics.gauge("flows", 7);
    let mut lines: Vec<String> = (0..4).map(|_| receive(&server)).collect();
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

fn receive(server: &UdpSocket) -> String {
    let mut buffer = [0; 256];
    let size = server.recv(&mut buffer).expect("a datagram");
    String::from_utf8_lossy(&buffer[..size]).into_owned()
}
