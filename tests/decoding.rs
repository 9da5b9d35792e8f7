//! Whatever other writers leave in the store, in settings or on the wire, a host neither ends nor
//! stops following what is valid.
//!
//! `PROPTEST_CASES` sets the number of cases of each test, 256 by default.

mod relaying;

use jacinthhinge::control::message::{HostInfo, Timestamp, Vote};
use jacinthhinge::control::{Action, Control, Event, Heartbeat, Value, ValueChange, ValueUpdate};
use jacinthhinge::front::host_list;
use jacinthhinge::platform::{self, header, settings};
use jacinthhinge::prelude::*;
use jacinthhinge::report::{EndpointReport, LaneReport, ServiceReport};
use jacinthhinge::wire::{self, PeerKey};
use proptest::prelude::*;
use proptest::sample::Index;
use relaying::{LaneHarness, local_endpoints, ms, opening_segment, peer_heartbeat, relay_control};
use serde_json::{Value as Json, json};

const SECRET: &str = "secret";

/// Number of flows that a lane opens, within the limit of a service with three endpoints.
const FLOW_COUNT: u16 = 10;

/// Size of the authentication code of messages between hosts, in bytes.
const TAG_BYTES: usize = 12;

/// JSON text, not always valid, to put in place of a field's value.
fn odd_text() -> impl Strategy<Value = String> {
    let number = prop_oneof![
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        "-?[0-9]{1,60}(\\.[0-9]{1,20})?([eE][+-]?[0-9]{1,5})?",
    ];
    let nested = (0..3_000_usize, any::<bool>()).prop_map(|(depth, is_closed)| {
        let end = if is_closed { depth } else { 0 };
        "[".repeat(depth) + &"]".repeat(end)
    });
    let address = (any::<[u8; 4]>(), 0..200_000_u32)
        .prop_map(|(ip, port)| format!("\"{}:{port}\"", std::net::Ipv4Addr::from(ip)));
    prop_oneof![
        4 => number,
        2 => nested,
        2 => address,
        2 => "\\PC{0,60}".prop_map(|text| json!(text).to_string()),
        1 => "\\PC{0,60}",
        1 => Just("null".to_owned()),
        1 => Just("true".to_owned()),
        1 => (1_000..70_000_usize).prop_map(|size| json!("x".repeat(size)).to_string()),
    ]
}

/// A change to a JSON text.
#[derive(Clone, Debug)]
enum Edit {
    /// Replaces the value of a field, wherever it is nested, by a text.
    Replace(Index, String),
    /// Cuts the text off.
    Cut(Index),
    /// Replaces a character.
    Overwrite(Index, char),
}

fn edits() -> impl Strategy<Value = Vec<Edit>> {
    let edit = prop_oneof![
        6 => (any::<Index>(), odd_text()).prop_map(|(at, text)| Edit::Replace(at, text)),
        1 => any::<Index>().prop_map(Edit::Cut),
        2 => (any::<Index>(), any::<char>()).prop_map(|(at, char)| Edit::Overwrite(at, char)),
    ];
    proptest::collection::vec(edit, 1..4)
}

/// Returns the JSON pointers of all values inside `json`.
fn pointers(json: &Json, path: &str, found: &mut Vec<String>) {
    let inner: Vec<(String, &Json)> = match json {
        Json::Object(map) => map
            .iter()
            .map(|(key, value)| (key.clone(), value))
            .collect(),
        Json::Array(list) => (0..)
            .zip(list)
            .map(|(at, value): (u32, _)| (at.to_string(), value))
            .collect(),
        _ => vec![],
    };
    for (name, value) in inner {
        let path = format!("{path}/{}", name.replace('~', "~0").replace('/', "~1"));
        pointers(value, &path, found);
        found.push(path);
    }
}

/// Applies the edits: replacements first, in the tree, then those of the text.
fn edited(mut json: Json, edits: &[Edit]) -> String {
    let mut replaced = Vec::new();
    for edit in edits {
        let Edit::Replace(at, text) = edit else {
            continue;
        };
        let mut paths = Vec::new();
        pointers(&json, "", &mut paths);
        if paths.is_empty() {
            continue;
        }
        let mark = format!("REPLACED{}", replaced.len());
        let path = &paths[at.index(paths.len())];
        *json.pointer_mut(path).expect("a value") = json!(mark);
        replaced.push((json!(mark).to_string(), text));
    }
    let mut result = json.to_string();
    for (mark, text) in replaced {
        result = result.replace(&mark, text);
    }
    for edit in edits {
        let mut chars: Vec<char> = result.chars().collect();
        let size = chars.len();
        match edit {
            Edit::Cut(at) if size > 0 => chars.truncate(at.index(size)),
            Edit::Overwrite(at, char) if size > 0 => chars[at.index(size)] = *char,
            _ => {}
        }
        result = chars.into_iter().collect();
    }
    result
}

fn entry(number: u64) -> Json {
    json!({"Service": "adserve", "Address": format!("10.128.0.{number}:8080"), "Zone": "sv-a",
           "Version": "v1", "Concurrency": 2, "State": "ready", "WarmupLeftMs": 0, "SeqNo": 4,
           "born": 1_786_210_826_193_u64 + number})
}

fn desired_state(version: u64) -> Json {
    json!({"Version": version, "Limits": {"IdleTimeoutMs": 15_000},
           "Routes": [{"Name": "r", "Host": "198.18.0.1", "Prefix": "/443/", "Type": "safe",
                       "TargetLatencyMs": 250, "Priority": 2, "Service": "adserve",
                       "Backends": [{"Service": "adserve", "Weight": 3}]}],
           "Services": [{"Name": "adserve", "MaxConns": 2_000}]})
}

fn settings_json() -> Json {
    json!({"NodeName": "n", "Ip": "10.1.0.10", "Zone": "sv-a", "Region": "is-sudvestur",
           "Listen": {"DatagramAddr": "10.1.0.10:8172", "ReadyAddr": "10.1.0.10:8167"},
           "InternalPorts": [7720, 7735], "Seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
           "Bounds": {"GraceS": 6}, "platform": {"Address": "10.200.1.7:8169"}})
}

fn host() -> Control {
    let mut host = relay_control();
    deliver(&mut host, 1, "op/config", &desired_state(1).to_string());
    for number in 1..=3 {
        let key = format!("servers/i-{number:08x}");
        deliver(&mut host, 1 + number, &key, &entry(number).to_string());
    }
    host
}

/// Returns a host that waits for values from another host, and the number of its fetch.
fn fetching_host() -> (Control, u64) {
    let mut host = host();
    host.handle(ms(2_000), Event::Values(Err(Error::platform("down"))));
    let heartbeat = Heartbeat {
        revision: 9.into(),
        ..peer_heartbeat(ms(2_100))
    };
    host.handle(ms(2_100), Event::Heartbeat(Box::new(heartbeat)));
    let actions = host.handle(ms(2_200), Event::Tick);
    let number = actions.iter().find_map(|action| match action {
        Action::Fetch {
            number, request, ..
        } if request.known_revision == 4.into() => Some(*number),
        _ => None,
    });
    (host, number.expect("a fetch of values"))
}

/// Delivers a value to a host; returns the snapshot that it publishes.
fn deliver(host: &mut Control, revision: u64, key: &str, text: &str) -> Option<Arc<Snapshot>> {
    let value = Value {
        revision: revision.into(),
        version: platform::writer_version(key, text),
        json: Some(text.into()),
    };
    let update = ValueUpdate {
        revision: revision.into(),
        values: vec![ValueChange {
            key: key.into(),
            value,
        }],
        is_full: false,
    };
    let actions = host.handle(ms(1_000 + revision), Event::Values(Ok(update)));
    let published = actions.into_iter().filter_map(|action| match action {
        Action::Publish(snapshot) => Some(snapshot),
        _ => None,
    });
    published.last()
}

/// Opens flows on a lane with a snapshot, lets time pass and returns how many were passed on.
fn open_flows(snapshot: &Arc<Snapshot>) -> usize {
    let mut harness = LaneHarness::new(&[]);
    harness.publish(snapshot);
    harness.advance(ms(200));
    let sent = (1..=FLOW_COUNT).map(|port| harness.receive(opening_segment(port, 0)).len());
    let sent: usize = sent.sum();
    harness.advance(ms(2_000));
    sent
}

/// Appends the authentication code of messages between hosts.
fn signed(mut content: Vec<u8>) -> Vec<u8> {
    let key = blake3::derive_key("jacinthhinge peer", SECRET.as_bytes());
    let hash = blake3::keyed_hash(&key, &content);
    content.extend_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    content
}

/// Returns a heartbeat of another host of the zone with a report about two endpoints.
fn reporting_heartbeat() -> Heartbeat {
    let row = |number: u8| EndpointReport {
        endpoint: Id::of(&format!("i-{number:02x}")),
        started_ms: number.into(),
        unanswered_opens: 2,
        stalled_flows: 1,
        silent_for: ms(300),
        heard_ago: Some(ms(400)),
        answered: 5,
        overdue: 2,
    };
    Heartbeat {
        from: Id::of("sv-a-2"),
        incarnation: 5,
        version: 0,
        leaving: false,
        read_failures: 0,
        read_age: None,
        info: Some(HostInfo {
            name: "sv-a-2".into(),
            zone: "is-sudvestur".into(),
            availability_zone: "sv-a".into(),
            peer_addr: SocketAddr::from(([10, 1, 0, 11], 7720)),
            lanes: std::iter::once(SocketAddr::from(([10, 1, 0, 11], 8172))).collect(),
        }),
        revision: Revision::default(),
        list_revision: Revision::default(),
        sent_at: Timestamp(77),
        echo: None,
        ping: false,
        vote: Vote::default(),
        updates: smallvec::smallvec![],
        report: Some(Arc::new(LaneReport {
            endpoints: vec![row(1), row(2)],
            services: vec![ServiceReport {
                service: Id::of("adserve"),
                demand: 1.5,
                busy_slots: 2.0,
                waiting: 3,
            }],
            used_endpoints: 150,
            suspected_endpoints: 2,
            ..LaneReport::default()
        })),
        report_age: ms(20),
        zone_report: None,
        zone_report_age: Duration::ZERO,
    }
}

/// Hands a heartbeat to a control thread and the reports that it publishes to a lane.
fn evaluate_report(heartbeat: Heartbeat) {
    let mut host = relay_control();
    let mut harness = LaneHarness::new(&local_endpoints(3));
    let mut outbox = host.handle(harness.now, Event::Heartbeat(Box::new(heartbeat)));
    outbox.extend(host.handle(harness.now + ms(100), Event::Tick));
    for action in outbox {
        match action {
            Action::Publish(published) => {
                let mut snapshot = (*harness.tables.snapshot).clone();
                snapshot.hosts = published.hosts.clone();
                harness.publish(&Arc::new(snapshot));
            }
            Action::PublishReports(reports) => harness.publish_reports(reports.hosts.clone()),
            _ => {}
        }
    }
    for port in 1..4 {
        harness.receive(opening_segment(port, 0));
        harness.advance(ms(200));
    }
}

proptest! {
    #[test]
    fn entries_leave_the_other_endpoints_in_use(
        edits in edits(),
        key in "servers/(i-[0-9a-f]{1,17}|\\PC{0,190})",
    ) {
        let mut host = host();
        let text = edited(entry(99), &edits);
        let snapshot = deliver(&mut host, 9, &key, &text).expect("a snapshot");
        let names: Vec<Name> = snapshot.services[&Id::of("adserve")]
            .endpoints
            .iter()
            .filter(|endpoint| !endpoint.draining)
            .map(|endpoint| endpoint.name.clone())
            .collect();
        for number in 1..=3 {
            let name = format!("i-{number:08x}");
            let is_overwritten = key.strip_prefix("servers/") == Some(&*name);
            prop_assert!(is_overwritten || names.iter().any(|known| **known == *name));
        }
        prop_assert!(open_flows(&snapshot) > 0);
        let later = deliver(&mut host, 10, "op/config", &desired_state(2).to_string());
        prop_assert!(later.is_some());
    }

    #[test]
    fn desired_states_are_applied_or_refused(edits in edits()) {
        let mut host = host();
        let text = edited(desired_state(2), &edits);
        let snapshot = deliver(&mut host, 9, "op/config", &text).expect("a snapshot");
        open_flows(&snapshot);
        if host.tables().counters.refused_entries > 0 {
            prop_assert_eq!(snapshot.routes.len(), 1);
            prop_assert_eq!(snapshot.services[&Id::of("adserve")].endpoints.len(), 3);
        }
        let newest = desired_state(u64::MAX).to_string();
        let snapshot = deliver(&mut host, 10, "op/config", &newest).expect("a snapshot");
        prop_assert_eq!(open_flows(&snapshot), usize::from(FLOW_COUNT));
    }

    #[test]
    fn settings_are_parsed_or_refused(edits in edits()) {
        let _ = settings::parse(&edited(settings_json(), &edits));
    }

    #[test]
    fn host_lists_keep_their_valid_entries(edits in edits()) {
        let valid = json!({"name": "h", "zone": "sv-a", "state": "live", "peer": "127.0.0.1:7"});
        let odd = edited(valid.clone(), &edits);
        let is_json = serde_json::from_str::<serde::de::IgnoredAny>(&odd).is_ok();
        let list = host_list::parse(9.into(), &format!("[{valid},{odd},{valid}]"));
        if is_json {
            prop_assert!(list.expect("the valid entries").hosts.len() >= 2);
        }
    }

    #[test]
    fn operators_values_are_read_or_refused(
        key in "(fleet|keys|exceptions|service/[a-z]{1,8}|health/[a-z]{1,8}|\\PC{0,40})",
        edits in edits(),
    ) {
        let service = json!({"zones": ["sv-a"], "slots": 3, "endpoint": [{"name": "a-1",
            "addr": "10.1.1.1:80", "zone": "sv-a"}]});
        let text = edited(service, &edits);
        let _ = Config::check_value(&key, &text);
        if let Ok(config) = Config::from_values([(&*key, &*text)]) {
            let _ = config.services("sv-a-1", "sv-a");
        }
    }

    #[test]
    fn packets_do_not_harm_a_lane(
        packets in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 32..80), 1..30),
    ) {
        let mut host = host();
        let snapshot = deliver(&mut host, 9, "op/config", &desired_state(2).to_string());
        let mut harness = LaneHarness::new(&[]);
        harness.publish(&snapshot.expect("a snapshot"));
        for mut bytes in packets {
            // Most packets have a valid length and go to the route's address.
            let size = u16::try_from(bytes.len() - header::HEADER_BYTES).expect("short");
            bytes[16..18].copy_from_slice(&size.to_le_bytes());
            bytes[20..24].copy_from_slice(&[1, 0, 18, 198]);
            bytes[24..26].copy_from_slice(&443_u16.to_le_bytes());
            let segment = header::decode(Bytes::from(bytes)).expect("a segment");
            for action in harness.receive(segment) {
                let _ = header::encode(&action, 8172);
            }
            harness.advance(ms(100));
        }
    }

    #[test]
    fn altered_reports_are_evaluated_or_refused(
        flips in proptest::collection::vec((any::<Index>(), any::<u8>()), 0..5),
        cut in proptest::option::of(any::<Index>()),
    ) {
        let key = PeerKey::new(SECRET);
        let encoded = wire::encode_heartbeat(&reporting_heartbeat(), &key);
        let mut inner = encoded[..encoded.len() - TAG_BYTES].to_vec();
        for (at, byte) in flips {
            let at = at.index(inner.len());
            inner[at] = byte;
        }
        if let Some(cut) = cut {
            inner.truncate(cut.index(inner.len()));
        }
        if let Ok(heartbeat) = wire::decode_heartbeat(&signed(inner), &key) {
            evaluate_report(heartbeat);
        }
    }

    #[test]
    fn messages_between_hosts_are_decoded_or_refused(
        content in proptest::collection::vec(any::<u8>(), 0..300),
        flips in proptest::collection::vec((any::<Index>(), any::<u8>()), 0..4),
    ) {
        let key = PeerKey::new(SECRET);
        let bytes = signed(content.clone());
        let _ = wire::decode_heartbeat(&bytes, &key);
        let _ = wire::decode_fetch_request(&bytes, &key);
        let _ = wire::decode_fetch_response(&bytes, &key);
        let response = host().answer_fetch(&jacinthhinge::control::FetchRequest::default());
        let encoded = wire::encode_fetch_response(&response, &key);
        let mut inner = encoded[..encoded.len() - TAG_BYTES].to_vec();
        for (at, byte) in flips {
            let at = at.index(inner.len());
            inner[at] = byte;
        }
        if let Ok(response) = wire::decode_fetch_response(&signed(inner), &key) {
            let (mut host, number) = fetching_host();
            let result = Ok(response);
            host.handle(ms(2_300), Event::Fetched { number, result });
            prop_assert_eq!(host.tables().counters.stale_fetches, 0);
        }
    }
}
