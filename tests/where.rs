//! The `where` command with a running host, and queries that a lane does not answer.

mod process;

use std::net::UdpSocket;
use std::process::{Command, Output};
use std::time::Instant;

use arc_swap::ArcSwap;
use axum::routing::get;
use axum::{Json, Router};
use jacinthhinge::front::inspect::{self, QueryError};
use jacinthhinge::front::lane::{Codec, Lane, SharedState};
use jacinthhinge::prelude::*;
use jacinthhinge::systems::Policies;
use jacinthhinge::systems::explain::Query;
use process::{Host, settings_path, settings_text, write_file};
use serde_json::{Value, json};
use serde_with::base64::Base64;
use serde_with::{SerializeAs, serde_as};

/// An opening packet for the front address of [`items`].
const OPENING_PACKET: [u8; 32] = [
    0x44, 0x33, 0x22, 0x11, 0, 0, 0, 0, 0, 0, 0, 0, 0xd5, 0xc3, 0xb2, 0xa1, 0, 0, 1, 0, 1, 0, 0x12,
    0xc6, 0xbb, 0x01, 0x41, 0x9c, 0x07, 0, 0x40, 0x64,
];

/// Time within which a host has its values.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A value in the encoding of the store.
#[serde_as]
#[derive(serde::Serialize)]
struct Encoded(#[serde_as(as = "Text")] Value);

struct Text;

impl SerializeAs<Value> for Text {
    fn serialize_as<S: serde::Serializer>(
        value: &Value,
        to: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        Base64::<serde_with::base64::Standard>::serialize_as(&value.to_string(), to)
    }
}

/// Returns all items of a store with one route and three endpoints, one of which drains.
async fn items() -> Json<Value> {
    let state = json!({
        "Version": 1, "Limits": {"IdleTimeoutMs": 15_000},
        "Routes": [{"Name": "streams", "Host": "198.18.0.1", "Prefix": "/443/", "Type": "safe",
                    "TargetLatencyMs": 250, "Priority": 2, "Service": "adserve"}],
        "Services": [{"Name": "adserve", "MaxConns": 2_000}]});
    let entry = |number: u8, state: &str| {
        let value = json!({
            "Service": "adserve", "Address": format!("127.90.31.1:{number}"), "Zone": "za",
            "Version": "v1", "Concurrency": 2, "State": state, "WarmupLeftMs": 0, "SeqNo": 4,
            "born": number});
        json!({"Key": format!("servers/i-{number:02x}"), "Value": Encoded(value), "Revision": 1})
    };
    let items = [
        json!({"Key": "op/config", "Value": Encoded(state), "Revision": 1}),
        entry(1, "ready"),
        entry(2, "ready"),
        entry(3, "draining"),
    ];
    Json(json!({"items": items, "HasMore": false, "StoreRevision": 1}))
}

fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthhinge"));
    command.args(arguments).output().expect("the program")
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the explanation of the only route once the host knows its endpoints.
fn wait_for_explanation(from: &str) -> Value {
    let deadline = Instant::now() + START_LIMIT;
    loop {
        let output = run_program(&["where", "streams", "--from", from, "--json"]);
        let explained: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let route = &explained["lanes"][0]["routes"][0];
        let candidates = route["services"][0]["candidates"].as_array();
        if candidates.is_some_and(|rows| rows.len() == 3) {
            return route.clone();
        }
        assert!(Instant::now() < deadline, "{}", error_text(&output));
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a command that explains something else than a host does, and against a saved dump
/// that gives another answer than the host.
#[tokio::test]
async fn next_opening_of_a_running_host_is_explained() {
    let ip = "127.90.31.1";
    let listener = tokio::net::TcpListener::bind((ip, 7100)).await;
    let listener = listener.expect("a free address");
    let routes = Router::new().route("/-/kv-range", get(items));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let test = tokio::task::spawn_blocking(move || check_running_host(ip));
    test.await.expect("no panic");
}

fn check_running_host(ip: &'static str) {
    let file = settings_path("where");
    write_file(&file, &settings_text(ip, &[]));
    let mut host = Host::start(ip, file);
    host.wait_for_event("values_in_force");
    let from = format!("http://{ip}:7030");
    let route = wait_for_explanation(&from);
    let chosen = route["services"][0]["choices"][0]["chosen"].clone();
    assert_eq!(chosen, json!(["i-01", "i-02"]));
    let draining = &route["services"][0]["candidates"][2];
    assert_eq!(draining["reasons"], json!([{"cause": "draining"}]));
    assert_eq!(route["admission"]["outcome"], "starts");

    let saved = settings_path("where-dump");
    let dump = run_program(&["dump", &format!("{ip}:7030")]);
    std::fs::write(&saved, &dump.stdout).expect("a file");
    let path = saved.to_str().expect("a path");
    let of_dump = run_program(&["where", "198.18.0.1:443", "--dump", path, "--json"]);
    let of_dump: Value = serde_json::from_slice(&of_dump.stdout).expect("JSON");
    let of_dump = &of_dump["lanes"][0]["routes"][0];
    assert_eq!(of_dump["services"][0]["choices"][0]["chosen"], chosen);
    std::fs::write(&saved, &dump.stdout[..dump.stdout.len() / 2]).expect("a file");
    let truncated = run_program(&["where", "streams", "--dump", path]);
    assert_eq!(truncated.status.code(), Some(2));
    assert!(error_text(&truncated).contains("the dump is truncated"));
    std::fs::remove_file(&saved).expect("the file");

    let unknown = run_program(&["where", "stream", "--from", &from]);
    assert_eq!(unknown.status.code(), Some(2));
    let text = error_text(&unknown);
    assert!(text.contains("the routes are streams"), "{text}");
    let table = run_program(&["where", "adserve", "--caller", "192.0.2.7", "--from", &from]);
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(
        table.starts_with("route streams at 198.18.0.1:443"),
        "{table}"
    );

    let caller = UdpSocket::bind((ip, 0)).expect("a socket");
    caller.send_to(&OPENING_PACKET, (ip, 7000)).expect("sent");
    let placed = host.wait_for_event("placed")["endpoint"].clone();
    assert!(chosen.as_array().expect("names").contains(&placed));
}

/// Failure: a lane hangs for longer than a query may take. Guards against a command that waits with
/// it, and against queries that add up.
#[tokio::test]
async fn lane_that_hangs_is_named_and_only_one_query_waits() {
    let addr: SocketAddr = "127.90.31.2:7000".parse().expect("an address");
    let home = Home {
        host: Id::of("sv-a-1"),
        incarnation: 1,
        addr,
    };
    let shared = Arc::new(SharedState {
        policies: Arc::new(Policies::with_defaults()),
        snapshot: ArcSwap::from_pointee(Snapshot::empty(TicketKeys::new("one", "two"))),
        reports: ArcSwap::default(),
    });
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let codec = Codec {
        decode: Box::new(move |_, _, _| {
            let _ = released.lock().expect("not poisoned").recv();
            Ok(())
        }),
        encode: Box::new(|_| None),
        max_bytes: 64,
    };
    let clock = Clock::monotonic();
    let lane = Lane::start(home, Arc::clone(&shared), clock, 1, Arc::new(codec));
    let lanes: Arc<[Lane]> = Arc::from([lane.expect("a free address")]);
    let explain = inspect::explain_handler(&lanes, &shared);
    let query = || Query {
        front: "streams".into(),
        caller: None,
    };
    let unknown = explain(query()).await.expect_err("no route");
    assert!(matches!(unknown, QueryError::UnknownFront { .. }));
    let caller = UdpSocket::bind("127.90.31.2:0").expect("a socket");
    caller.send_to(b"x", addr).expect("sent");
    // The lane reads the datagram before the query, or within its next tick.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let first = explain(query());
    let second = explain(query());
    assert_eq!(second.await, Err(QueryError::Busy));
    assert_eq!(first.await, Err(QueryError::NoAnswer { lane: 1 }));
    drop(release);
    let after = explain(query()).await.expect_err("no route");
    assert!(matches!(after, QueryError::UnknownFront { .. }));
    lanes[0].stop().await;
}
