//! The `relay` command as a process: its settings file and its signals.

mod process;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use axum::routing::get;
use axum::{Json, Router};
use process::store::Store;
use process::{Host, settings_path, settings_text, write_file};
use rustix::process::Signal;
use serde_json::{Value, json};

#[test]
fn settings_are_reloaded_and_invalid_ones_refused() {
    let file = settings_path("settings");
    write_file(&file, &settings_text("127.90.1.1", &["127.90.1.2:7002"]));
    let mut host = Host::start("127.90.1.1", file);
    host.wait_for_event("started");
    write_file(&host.file, "{\"NodeName\": ");
    host.send_signal(Signal::HUP);
    let refused = host.wait_for_event("settings_refused");
    let cause = refused["cause"].as_str().expect("a cause");
    assert!(cause.contains("write the file again"), "{cause}");
    // A changed file is also detected without a signal.
    write_file(&host.file, &settings_text(host.ip, &["127.90.1.3:7002"]));
    let applied = host.wait_for_event("settings_in_force");
    assert_eq!(applied["seeds"], "[127.90.1.3:7010]");
    host.send_signal(Signal::HUP);
    host.wait_for_event("settings_unchanged");
    host.send_signal(Signal::TERM);
    host.wait_for_event("ended");
    assert!(host.child.wait().expect("its status").success());
}

#[test]
fn sighup_during_startup_does_not_stop_the_host() {
    let file = settings_path("pipe");
    let mode = rustix::fs::Mode::from_raw_mode(0o600);
    rustix::fs::mknodat(rustix::fs::CWD, &file, rustix::fs::FileType::Fifo, mode, 0)
        .expect("a pipe");
    let mut host = Host::start("127.90.2.1", file);
    // Blocks until the host opens the pipe to read its settings.
    let mut pipe = std::fs::File::options()
        .write(true)
        .open(&host.file)
        .expect("the pipe");
    host.send_signal(Signal::HUP);
    pipe.write_all(settings_text(host.ip, &[]).as_bytes())
        .expect("the host runs");
    drop(pipe);
    host.wait_for_event("started");
}

/// Returns all items of a store with an empty desired state and an evacuation of one zone.
async fn evacuated_items() -> Json<Value> {
    let state = "eyJWZXJzaW9uIjoxLCJSb3V0ZXMiOltdLCJTZXJ2aWNlcyI6W10sIkxpbWl0cyI6eyJJZGxlVGltZW91dE1zIjoxNTAwMH19";
    let items = json!([
        {"Key": "op/config", "Value": state, "Revision": 1},
        {"Key": "op/evacuate/zb", "Value": "e30=", "Revision": 2},
    ]);
    Json(json!({"items": items, "HasMore": false, "StoreRevision": 2}))
}

/// Guards against a log line or a metric of an evacuation that has another name or unit than
/// the tables of a host.
#[tokio::test]
async fn evacuation_is_logged_and_measured() {
    let ip = "127.90.30.1";
    let listener = tokio::net::TcpListener::bind((ip, 7100)).await;
    let listener = listener.expect("a free address");
    let routes = Router::new().route("/-/kv-range", get(evacuated_items));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let file = settings_path("evacuated");
    write_file(&file, &settings_text(ip, &[]));
    let metrics = tokio::task::spawn_blocking(move || {
        let mut host = Host::start(ip, file);
        let line = host.wait_for_event("zone_evacuated");
        assert_eq!(
            (&line["zone"], &line["revision"]),
            (&json!("zb"), &json!(2))
        );
        assert_eq!(line["age_ms"], 0);
        std::thread::sleep(std::time::Duration::from_millis(1_200));
        let mut stream = TcpStream::connect((ip, 7030)).expect("the operators' server");
        let request = "GET /metrics HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("a request");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        response
    });
    let metrics = metrics.await.expect("no panic");
    let gauge = |name: &str| {
        let name = format!("jacinthhinge_{name} ");
        let value = metrics.lines().find_map(|line| line.strip_prefix(&name));
        value
            .and_then(|value| value.parse::<f64>().ok())
            .expect("a gauge")
    };
    assert!((gauge("evacuated_zones") - 1.0).abs() < 0.1);
    let age = gauge("oldest_evacuation_seconds");
    assert!((1.0..5.0).contains(&age), "{age} s");
}

/// Time after its acknowledgement within which a change is in force.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// A host whose settings name another address of the store kept reading from the old one, and
/// followed no change once that was closed.
#[test]
fn store_is_read_at_its_new_address() {
    let ip = "127.90.3.1";
    let at = |port: u16| SocketAddr::new(ip.parse().expect("an IP address"), port);
    let store = Store::new();
    let old_address = store.serve(at(7100));
    let file = settings_path("moved-store");
    write_file(&file, &settings_text(ip, &[]));
    let mut host = Host::start(ip, file);
    assert_eq!(host.wait_for_event("values_in_force")["revision"], 1);
    let _new_address = store.serve(at(7101));
    let text = settings_text(ip, &[]).replace(":7100", ":7101");
    write_file(&host.file, &text);
    host.send_signal(Signal::HUP);
    let applied = host.wait_for_event("settings_in_force");
    assert_eq!(applied["fields"], "platform.Address");
    old_address.close();
    let written = Instant::now();
    let revision = store.write();
    assert_eq!(host.wait_for_event("values_in_force")["revision"], revision);
    assert!(written.elapsed() < APPLY_LIMIT, "{:?}", written.elapsed());
    host.send_signal(Signal::TERM);
    host.wait_for_event("ended");
}

/// A changed name was logged as in force, although the host kept its old one.
#[test]
fn field_that_needs_a_restart_is_named_once() {
    let file = settings_path("fixed");
    let ip = "127.90.4.1";
    write_file(&file, &settings_text(ip, &[]));
    let mut host = Host::start(ip, file);
    host.wait_for_event("started");
    let renamed = settings_text(ip, &[]).replace("\"host\"", "\"renamed\"");
    write_file(&host.file, &renamed);
    host.send_signal(Signal::HUP);
    let reported = host.wait_for_event("settings_need_restart");
    assert_eq!(reported["fields"], "NodeName");
    host.send_signal(Signal::HUP);
    host.wait_for_event("settings_unchanged");
    let with_seed = settings_text(ip, &["127.90.4.2:7002"]).replace("\"host\"", "\"renamed\"");
    write_file(&host.file, &with_seed);
    host.send_signal(Signal::HUP);
    let applied = host.wait_for_event_but("settings_in_force", "settings_need_restart");
    assert_eq!(applied["fields"], "Seeds");
}
