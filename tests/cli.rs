//! The program's exit codes and messages, and the operations server.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::thread;

use futures_util::FutureExt;
use jacinthhinge::control::{self, Action, Control, Event, ValueChange, ValueUpdate};
use jacinthhinge::front::inspect::QueryError;
use jacinthhinge::front::ops::{self, OpsHandlers};
use jacinthhinge::front::serve;
use jacinthhinge::front::settings::{Flags, Settings};
use jacinthhinge::prelude::*;
use jacinthhinge::wire::PeerKey;
use serde_json::{Value, json};
use tokio::sync::oneshot;

const SECRET: &str = "sesame-0123456789";

struct ProgramOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs the program in the root of the package.
fn run_program(arguments: &[&str]) -> ProgramOutput {
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthhinge"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    ProgramOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a copy of the sample file in which `from` is replaced, and returns its path.
fn write_config(name: &str, from: &str, to: &str) -> String {
    let sample = std::fs::read_to_string("config/hraunvik.toml").unwrap();
    assert!(sample.contains(from));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, sample.replace(from, to)).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn check_accepts_the_sample_files() {
    for file in ["config/hraunvik.toml", "config/verhaeghe.toml"] {
        let output = run_program(&["check", file]);
        assert_eq!(output.code, 0, "{}", output.stderr);
    }
}

#[test]
fn check_reports_file_line_field_and_remedy() {
    let file = write_config("wrong.toml", "reserve = 1", "reserv = 1");
    let output = run_program(&["check", &file]);
    assert_eq!(output.code, 2);
    assert_eq!(
        output.stderr,
        format!(
            "error: {file}:10: fleet.reserv: unknown field `reserv`; did you mean `reserve`?\n"
        )
    );
    let output = run_program(&["check", "nowhere.toml"]);
    assert_eq!(output.code, 2);
    assert!(
        output
            .stderr
            .contains("nowhere.toml: the file cannot be read")
    );
}

#[test]
fn check_explains_and_prints_values() {
    let output = run_program(&["check", "config/hraunvik.toml", "--explain", "endpoint/a-3"]);
    assert_eq!(output.code, 0);
    assert!(
        output
            .stdout
            .contains("weight = 0.5  (exception endpoint/a-3")
    );
    let output = run_program(&["check", "config/hraunvik.toml", "--explain", "endpoint/z-9"]);
    assert_eq!(output.code, 2);
    let output = run_program(&["check", "config/hraunvik.toml", "--values"]);
    let values: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(values["service/adserve"]["slots"], 3);
}

#[test]
fn check_prints_no_secret() {
    let secrets = format!("[keys]\ncurrent = \"{SECRET}\"\nother = \"{SECRET}-2\"\n\n[fleet]");
    let file = write_config("secrets.toml", "[fleet]", &secrets);
    assert_eq!(run_program(&["check", &file, "--values"]).code, 0);
    for flags in [&["--values"][..], &["--diff", "config/hraunvik.toml"]] {
        let mut args = vec!["check", &*file];
        args.extend(flags);
        let output = run_program(&args);
        assert!(!output.stdout.contains(SECRET), "{flags:?}");
        assert!(!output.stderr.contains(SECRET), "{flags:?}");
    }
}

#[test]
fn check_shows_differences_and_refuses_unsafe_changes() {
    let old = "config/hraunvik.toml";
    let safe_file = write_config("safe.toml", "retry_share = 0.1", "retry_share = 0.2");
    let output = run_program(&["check", &safe_file, "--diff", old]);
    assert_eq!(output.code, 0);
    assert_eq!(output.stdout, "fleet.retry_share: 0.1 -> 0.2\n");
    let unsafe_file = write_config("unsafe.toml", "name = \"a-14\"", "name = \"a-15\"");
    let output = run_program(&["check", &unsafe_file, "--diff", old]);
    assert_eq!(output.code, 2);
    assert!(output.stderr.contains("live endpoint `a-14` is removed"));
}

/// Guards against an evacuation that operators cannot check, explain, compare or publish.
#[test]
fn check_shows_evacuations() {
    let order = "[evacuate.sv-b]\nreason = \"the power is switched over\"\nauthor = \"eva\"\n\
                 date = 2026-11-03\n\n[fleet]";
    let file = write_config("evacuated.toml", "[fleet]", order);
    let output = run_program(&["check", &file, "--explain", "zone/sv-b", "--values"]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    assert!(output.stderr.contains("1 evacuated zones"));
    assert!(output.stdout.contains(
        "evacuated = true  (evacuate sv-b by eva, 2026-11-03: the power is switched over)"
    ));
    assert!(output.stdout.contains("\"evacuate/sv-b\": {"));
    let output = run_program(&["check", &file, "--diff", "config/hraunvik.toml"]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    assert!(
        output
            .stdout
            .contains("evacuate/sv-b.author: (none) -> eva")
    );
    let file = write_config("unexplained.toml", "[fleet]", "[evacuate.sv-b]\n\n[fleet]");
    let output = run_program(&["check", &file]);
    assert_eq!(output.code, 2);
    assert!(
        output
            .stderr
            .contains("evacuate.sv-b: `reason` is missing; add `reason`")
    );
}

#[test]
fn invalid_arguments_exit_with_status_two() {
    let cases: [(&[&str], &str); 13] = [
        (&[], "expected `COMMAND ...`"),
        (&["chekc"], "did you mean `check`?"),
        (&["check"], "expected `FILE`"),
        (&["serve", "--nam", "x"], "did you mean `--name`?"),
        (&["serve"], "--name: missing; pass --name sv-a-1"),
        (&["dump", "here"], "`here` is not an address"),
        (&["dump", "127.0.0.1:9", "--table", "a b"], "omit --table"),
        (&["where"], "expected `FRONT`"),
        (&["where", "r"], "pass --from"),
        (
            &["where", "r", "--from", "here"],
            "`here` is not an address",
        ),
        (
            &["where", "r", "--from", "127.0.0.1:9", "--dump", "d"],
            "not both",
        ),
        (
            &["where", "r", "--dump", "d", "--caller", "a"],
            "`a` is not an address",
        ),
        (
            &["where", "r", "--dump", "nowhere.json"],
            "the file cannot be read",
        ),
    ];
    for (arguments, expected) in cases {
        let output = run_program(arguments);
        assert_eq!(output.code, 2, "{arguments:?}");
        assert!(output.stderr.contains(expected), "{}", output.stderr);
    }
}

#[test]
fn closed_output_pipe_is_no_error() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthhinge"))
        .args(["check", "config/hraunvik.toml", "--values"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdout(writer)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn help_and_version_succeed() {
    for (arguments, expected) in [
        (
            ["--help"].as_slice(),
            "jacinthhinge check config/hraunvik.toml",
        ),
        (&["serve", "--help"], "JACINTHHINGE_KEY=..."),
        (&["where", "--help"], "streams --dump saved.json"),
        (&["--version"], env!("CARGO_PKG_VERSION")),
    ] {
        let output = run_program(arguments);
        assert_eq!(output.code, 0);
        assert!(output.stdout.contains(expected), "{}", output.stdout);
    }
}

/// Parses valid settings with one environment variable replaced, or unset if `value` is
/// empty.
fn parse_settings(variable: &str, value: &str) -> Result<Settings> {
    Settings::new(Flags::default(), |name| {
        if name == format!("JACINTHHINGE_{variable}") {
            return (!value.is_empty()).then(|| value.to_owned());
        }
        let value = match name {
            "JACINTHHINGE_NAME" => "sv-a-1",
            "JACINTHHINGE_ZONE" => "sv-a",
            "JACINTHHINGE_REGION" => "is-sudvestur",
            "JACINTHHINGE_PEER_ADDR" => "127.0.0.1:9000",
            "JACINTHHINGE_LANE" => "127.0.0.1:9100,127.0.0.1:9101",
            "JACINTHHINGE_PLATFORM" => "http://127.0.0.1:8500",
            "JACINTHHINGE_PEER" => "127.0.0.1:9000, 127.0.0.1:9001",
            "JACINTHHINGE_KEY" => SECRET,
            _ => return None,
        };
        Some(value.to_owned())
    })
}

#[test]
fn settings_are_read_from_the_environment() {
    let settings = parse_settings("LOG", "debug").unwrap();
    assert_eq!(settings.lanes.len(), 2);
    assert_eq!(settings.seeds, ["127.0.0.1:9001".parse().unwrap()]);
    assert_eq!(settings.ops_addr, "127.0.0.1:9080".parse().unwrap());
    assert!(settings.ticket_keys == TicketKeys::new(SECRET, SECRET));
    assert!(settings.peer_key == PeerKey::new(SECRET));
    assert!(!format!("{settings:?}").contains(SECRET));
}

#[test]
fn zone_cost_is_in_milliseconds() {
    let default = parse_settings("LOG", "info").unwrap().zone_cost;
    assert_eq!(default, Duration::from_millis(20));
    let set = parse_settings("ZONE_COST", "35").unwrap().zone_cost;
    assert_eq!(set, Duration::from_millis(35));
}

#[test]
fn flags_override_the_environment() {
    let flags = Flags {
        name: Some("sv-a-9".to_owned()),
        ..Flags::default()
    };
    let error = Settings::new(flags, |_| None).unwrap_err().to_string();
    assert!(error.starts_with("--zone: missing"), "{error}");
}

#[test]
fn settings_errors_name_flag_and_remedy() {
    let cases = [
        ("NAME", ""),
        ("NAME", "sv a"),
        ("PEER_ADDR", "0.0.0.0:9000"),
        ("PEER_ADDR", "sv-a-1:9000"),
        ("LANE", ""),
        ("LANE", "127.0.0.1:0"),
        ("LANE", "127.0.0.1:9100,127.0.0.1:9100"),
        ("OPS", "127.0.0.1:9000"),
        ("PLATFORM", "127.0.0.1:8500"),
        ("PLATFORM", "https://127.0.0.1:8500"),
        ("PLATFORM", "http://127.0.0.1:8500/v1"),
        ("PEER", "127.0.0.1"),
        ("KEY", ""),
        ("KEY", "open-sesame"),
        ("OTHER_KEY", "open-sesame"),
        ("STATSD", "localhost"),
        ("ZONE_COST", "20ms"),
        ("ZONE_COST", "60001"),
        ("LOG", "loud"),
        ("LOG", "info,control=loud"),
    ];
    let errors = cases.map(|(variable, value)| {
        let error = parse_settings(variable, value).unwrap_err();
        assert_eq!(error.classify(), Category::Setting);
        assert!(!error.to_string().contains("open-sesame"));
        error.to_string()
    });
    insta::assert_snapshot!(errors.join("\n"), @r#"
    --name: missing; pass --name sv-a-1 or set JACINTHHINGE_NAME
    --name: `sv a` is not a valid name; use letters, digits, `-` and `_`, as in sv-a-1
    --peer-addr: other hosts cannot reach `0.0.0.0:9000`; use an IP address of this host
    --peer-addr: `sv-a-1:9000` is not an address; use an IP address and a port, as in 127.0.0.1:9000
    --lane: missing; pass --lane 10.1.0.3:9100 or set JACINTHHINGE_LANE
    --lane: `127.0.0.1:0` has no port; use an IP address and a port, as in 127.0.0.1:9000
    --lane: 127.0.0.1:9100 is used twice; use a different port for each address
    --ops: 127.0.0.1:9000 is also the --peer-addr; use a different port for each address
    --platform: `127.0.0.1:8500` is not a platform address; use the form http://IP:PORT without a path
    --platform: `https://127.0.0.1:8500` is not a platform address; use the form http://IP:PORT without a path
    --platform: `http://127.0.0.1:8500/v1` is not a platform address; use the form http://IP:PORT without a path
    --peer: `127.0.0.1` is not an address; use an IP address and a port, as in 127.0.0.1:9000
    --key: missing; pass --key SECRET or set JACINTHHINGE_KEY
    --key: the secret has fewer than 16 characters; generate one with `openssl rand -hex 32` and use it on all hosts
    --other-key: the secret has fewer than 16 characters; generate one with `openssl rand -hex 32` and use it on all hosts
    --statsd: `localhost` is not an address; use an IP address and a port, as in 127.0.0.1:9000
    --zone-cost: `20ms` is not a number of milliseconds; use a whole number up to 60000, as in 20
    --zone-cost: `60001` is not a number of milliseconds; use a whole number up to 60000, as in 20
    --log: `loud` is not a log level; use error, warn, info, debug or trace
    --log: `info,control=loud` is not a log level; use error, warn, info, debug or trace
    "#);
}

/// Returns settings whose addresses can all be bound.
fn bindable_settings() -> Settings {
    let any = "127.0.0.1:0".parse().unwrap();
    let mut settings = parse_settings("LOG", "info").unwrap();
    settings.lanes = vec![any].into();
    settings.peer_addr = any;
    settings.ops_addr = any;
    settings
}

#[test]
fn bind_errors_name_the_flag() {
    let udp_socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let udp_addr = udp_socket.local_addr().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp_addr = listener.local_addr().unwrap();
    let bind_error = |change: fn(&mut Settings, SocketAddr), addr: SocketAddr| {
        let mut settings = bindable_settings();
        change(&mut settings, addr);
        let text = settings.check_bind().unwrap_err().to_string();
        text.replace(&addr.to_string(), "ADDR")
    };
    let errors = [
        bind_error(|settings, addr| settings.lanes.push(addr), udp_addr),
        bind_error(|settings, addr| settings.peer_addr = addr, udp_addr),
        bind_error(|settings, addr| settings.peer_addr = addr, tcp_addr),
        bind_error(|settings, addr| settings.ops_addr = addr, tcp_addr),
        bind_error(
            |settings, addr| settings.ops_addr = addr,
            "192.0.2.1:9080".parse().unwrap(),
        ),
    ];
    insta::assert_snapshot!(errors.join("\n"), @r"
    --lane: ADDR cannot be bound: Address already in use (os error 98); use an address of this machine that no other process uses
    --peer-addr: ADDR cannot be bound: Address already in use (os error 98); use an address of this machine that no other process uses
    --peer-addr: ADDR cannot be bound: Address already in use (os error 98); use an address of this machine that no other process uses
    --ops: ADDR cannot be bound: Address already in use (os error 98); use an address of this machine that no other process uses
    --ops: ADDR cannot be bound: Cannot assign requested address (os error 99); use an address of this machine that no other process uses
    ");
    assert!(bindable_settings().check_bind().is_ok());
}

/// Runs an operations server while `test` runs.
fn with_ops_server(ops: OpsHandlers, test: impl FnOnce(SocketAddr)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let server = thread::spawn(move || {
        block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            ops::serve(listener, ops, stopped.map(drop)).await
        })
    });
    test(addr);
    stop.send(()).unwrap();
    server.join().unwrap().unwrap();
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().unwrap().block_on(future)
}

/// Returns handlers that serve fixed tables and metrics.
fn ops_handlers(ready: bool) -> OpsHandlers {
    let dump = |name: Option<Name>| {
        let table = match name.as_deref() {
            None => Some(json!({"flows": [1, 2], "hosts": []})),
            Some("flows") => Some(json!([1, 2])),
            Some(_) => None,
        };
        async move { table }.boxed()
    };
    OpsHandlers {
        metrics: Arc::new(|| std::future::ready(Some("jacinthhinge_flows 1\n".to_owned())).boxed()),
        dump: Arc::new(dump),
        explain: Arc::new(|_| std::future::ready(Err(QueryError::Busy)).boxed()),
        ready: Arc::new(move || ready),
    }
}

/// Sends a raw HTTP request and returns the raw response.
fn send_request(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    stream.write_all(request).unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn get(addr: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    send_request(addr, request.as_bytes())
}

#[test]
fn dump_prints_the_tables_of_a_process() {
    with_ops_server(ops_handlers(true), |addr| {
        let addr = addr.to_string();
        let all = run_program(&["dump", &addr]);
        assert_eq!(all.code, 0, "{}", all.stderr);
        let all: Value = serde_json::from_str(&all.stdout).unwrap();
        assert_eq!(all["flows"], json!([1, 2]));
        let one = run_program(&["dump", &addr, "--table", "flows"]);
        assert_eq!(
            serde_json::from_str::<Value>(&one.stdout).unwrap(),
            json!([1, 2])
        );
        let none = run_program(&["dump", &addr, "--table", "flaws"]);
        assert_eq!(none.code, 2);
        assert!(none.stderr.contains("omit --table"), "{}", none.stderr);
    });
}

/// Guards against an error of a host that the command hides, and against an old host whose missing
/// path looks like an unknown route.
#[test]
fn where_reports_why_a_host_does_not_explain() {
    let cases = [
        (
            QueryError::Busy,
            1,
            "another query is in progress; try again",
        ),
        (
            QueryError::NoAnswer { lane: 2 },
            1,
            "lane 2 did not answer within 1 s",
        ),
        (
            QueryError::UnknownFront {
                front: "r".into(),
                known: "the routes are streams".to_owned(),
            },
            2,
            "`r`; the routes are streams",
        ),
    ];
    for (error, code, expected) in cases {
        let ops = OpsHandlers {
            explain: Arc::new(move |_| std::future::ready(Err(error.clone())).boxed()),
            ..ops_handlers(true)
        };
        with_ops_server(ops, |addr| {
            let output = run_program(&["where", "r", "--from", &addr.to_string()]);
            assert_eq!(output.code, code, "{}", output.stderr);
            assert!(output.stderr.contains(expected), "{}", output.stderr);
        });
    }
    let newer = OpsHandlers {
        explain: Arc::new(|_| {
            let answer = json!({"format": 2, "release": "9.0.0", "lanes": []});
            std::future::ready(Ok(answer)).boxed()
        }),
        ..ops_handlers(true)
    };
    with_ops_server(newer, |addr| {
        let output = run_program(&["where", "r", "--from", &addr.to_string()]);
        assert_eq!(output.code, 1);
        assert!(output.stderr.contains("release 9.0.0"), "{}", output.stderr);
        let response = get(addr, "/where");
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
        let response = get(addr, "/where?front=r&caller=x");
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    });
    let output = run_program(&["where", "r", "--from", "127.0.0.1:1"]);
    assert_eq!(output.code, 1);
    assert!(
        output.stderr.contains("check that it runs"),
        "{}",
        output.stderr
    );
}

#[test]
fn dump_of_an_unreachable_address_exits_with_status_one() {
    let output = run_program(&["dump", "127.0.0.1:1"]);
    assert_eq!(output.code, 1);
    assert!(
        output.stderr.contains("check that it runs"),
        "{}",
        output.stderr
    );
}

#[test]
fn probes_distinguish_live_from_ready() {
    with_ops_server(ops_handlers(false), |addr| {
        assert!(get(addr, "/live").starts_with("HTTP/1.1 200"));
        assert!(get(addr, "/ready").starts_with("HTTP/1.1 503"));
    });
    with_ops_server(ops_handlers(true), |addr| {
        assert!(get(addr, "/ready").starts_with("HTTP/1.1 200"));
    });
}

#[test]
fn malformed_requests_get_an_error_response() {
    let large = format!(
        "GET /live HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5000\r\n\r\n{}",
        "x".repeat(5_000)
    );
    let cases: [(&[u8], &str); 6] = [
        (b"GET /dump/flaws HTTP/1.0\r\n\r\n", "404"),
        (b"GET /dump/%FF HTTP/1.0\r\n\r\n", "404"),
        (b"GET /dmp HTTP/1.0\r\n\r\n", "404"),
        (b"POST /dump HTTP/1.0\r\n\r\n", "405"),
        (large.as_bytes(), "413"),
        (b"\x00\xff\r\n\r\n", "400"),
    ];
    with_ops_server(ops_handlers(true), |addr| {
        for (request, status) in cases {
            let response = send_request(addr, request);
            assert_eq!(response.split(' ').nth(1), Some(status), "{response}");
            assert!(
                status == "400" || response.contains("\"remedy\""),
                "{response}"
            );
        }
        assert!(get(addr, "/live").starts_with("HTTP/1.1 200"));
    });
}

#[test]
fn metrics_are_served_as_text() {
    with_ops_server(ops_handlers(true), |addr| {
        let response = get(addr, "/metrics");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("jacinthhinge_flows 1\n"), "{response}");
    });
}

#[test]
fn slow_dump_times_out() {
    let ops = OpsHandlers {
        metrics: Arc::new(|| std::future::ready(None).boxed()),
        dump: Arc::new(|_| futures_util::future::pending().boxed()),
        explain: Arc::new(|_| futures_util::future::pending().boxed()),
        ready: Arc::new(|| true),
    };
    with_ops_server(ops, |addr| {
        let response = get(addr, "/dump");
        assert!(response.contains("took too long"), "{response}");
    });
}

#[test]
fn ops_address_in_use_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let error = block_on(ops::run(addr, ops_handlers(true), std::future::pending())).unwrap_err();
    assert_eq!(error.classify(), Category::Io);
}

/// Guards against an order of the project's own configuration that does not reach the lanes, and
/// against one that is refused together with its body.
#[test]
fn evacuation_of_the_configuration_reaches_the_snapshot() {
    let settings = serve::control_settings(&bindable_settings());
    let mut host = Control::new(settings, Duration::ZERO);
    let value = |key: &str, json: &str| ValueChange {
        key: key.into(),
        value: control::Value {
            revision: 1.into(),
            json: Some(json.into()),
            ..control::Value::default()
        },
    };
    let update = ValueUpdate {
        revision: 1.into(),
        values: vec![
            value("service/bestel", r#"{"zones":["sv-a"]}"#),
            value("evacuate/sv-b", "not JSON"),
        ],
        is_full: true,
    };
    let actions = host.handle(Duration::from_secs(1), Event::Values(Ok(update)));
    let snapshots = actions.into_iter().filter_map(|action| match action {
        Action::Publish(snapshot) => Some(snapshot),
        _ => None,
    });
    let snapshot = snapshots.last().unwrap();
    assert_eq!(snapshot.evacuated_zones.len(), 1);
    assert!(snapshot.evacuated_zones.contains("sv-b"));
    assert_eq!(snapshot.services.len(), 1);
}
