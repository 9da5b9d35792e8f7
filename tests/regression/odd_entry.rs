//! An entry of another writer among those of the endpoints, deeply nested, too long, with a number
//! or a port out of range, or under an odd key, ends the hosts that read it, stops them from
//! following the list, or draws the flows of its service.

use std::sync::Mutex;

use axum::extract::{Query, State};
use axum::routing::get;
use axum::{Json, Router};
use jacinthhinge::control::{Action, Control, Event, Value, ValueChange, ValueUpdate};
use jacinthhinge::prelude::*;
use jacinthhinge::segment::{RelayAction, SegmentKind};
use serde::Deserialize;
use serde_json::{Value as JsonValue, json};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::process::{self, Host};
use crate::relaying::{
    LaneHarness, cookie_segment, data_segment, endpoint, is_reset, local_endpoints, ms,
    opening_segment, relay_control, snapshot,
};

/// Depth of nesting that overflows the stack of a recursive parser.
const DEPTH: usize = 100_000;

/// Largest size of a value in the store, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Number of endpoints in the tests' service, besides those of odd entries.
const ENDPOINT_COUNT: u64 = 14;

fn entry(number: u64) -> JsonValue {
    json!({"Service": "adserve", "Address": format!("10.128.0.{number}:8080"), "Zone": "sv-a",
           "Version": "v1", "Concurrency": 2, "State": "ready", "WarmupLeftMs": 0, "SeqNo": 4,
           "born": 1_786_210_826_193_u64 + number})
}

fn desired_state(version: u64) -> JsonValue {
    json!({"Version": version, "Limits": {"IdleTimeoutMs": 15_000},
           "Routes": [{"Name": "r", "Host": "198.18.0.1", "Prefix": "/443/", "Type": "safe",
                       "TargetLatencyMs": 250, "Priority": 2, "Service": "adserve"}],
           "Services": [{"Name": "adserve", "MaxConns": 2_000}]})
}

/// Returns the text of a valid entry in which the JSON text of one field is replaced.
fn with_field(name: &str, text: &str) -> String {
    let mut entry = entry(99);
    entry[name] = json!("REPLACED");
    entry.to_string().replace("\"REPLACED\"", text)
}

fn nested(open: &str, inner: &str, close: &str) -> String {
    open.repeat(DEPTH) + inner + &close.repeat(DEPTH)
}

/// Returns the texts of entries that name no endpoint.
fn odd_texts() -> Vec<String> {
    let deep = nested("[", "", "]");
    let mut texts = vec![
        deep.clone(),
        nested("{\"a\":", "1", "}"),
        "[".repeat(DEPTH),
        with_field("Address", &deep),
        with_field("State", &deep),
        with_field("Service", &nested("{\"Service\":", "1", "}")),
        "x".repeat(MAX_VALUE_BYTES),
        with_field("State", &json!("x".repeat(MAX_VALUE_BYTES)).to_string()),
        with_field("Version", &json!("x".repeat(MAX_VALUE_BYTES)).to_string()),
        String::new(),
        "null".to_owned(),
    ];
    let numbers = [
        "18446744073709551616",
        "-1",
        "1e400",
        "-1e400",
        "1.5",
        "99999999999999999999999999999999999999999",
    ];
    for name in ["Concurrency", "WarmupLeftMs", "SeqNo", "born"] {
        texts.extend(numbers.map(|number| with_field(name, number)));
    }
    texts.extend(["0", "4294967295", "4294967296"].map(|text| with_field("Concurrency", text)));
    texts.extend(["18446744073709551615"].map(|text| with_field("born", text)));
    texts.extend(["18446744073709551615"].map(|text| with_field("WarmupLeftMs", text)));
    let addresses = [
        "10.128.0.99:0",
        "10.128.0.99:65536",
        "10.128.0.99:99999999999999999999",
        "10.128.0.99:-1",
        "10.128.0.99",
        "0.0.0.0:8080",
        "255.255.255.255:8080",
        "224.0.0.1:8080",
        "10.128.0.256:8080",
        "[::1]:8080",
        "server:8080",
    ];
    texts.extend(addresses.map(|addr| with_field("Address", &json!(addr).to_string())));
    texts
}

fn odd_keys() -> Vec<String> {
    vec![
        "servers/".to_owned(),
        "servers/i-".to_owned(),
        "servers/i-0".to_owned(),
        "servers/i-+1f".to_owned(),
        "servers/i-10000000000000000".to_owned(),
        "servers/i- 1f".to_owned(),
        format!("servers/{}", "k".repeat(192)),
        "servers/\u{fffd}".to_owned(),
        "servers/a&b=c#d?e%zz f\"\n".to_owned(),
    ]
}

fn change(key: &str, revision: u64, text: Option<String>) -> ValueChange {
    ValueChange {
        key: key.into(),
        value: Value {
            revision: revision.into(),
            json: text.map(Name::from),
            ..Value::default()
        },
    }
}

/// Delivers values to a host and returns the endpoints in the snapshot that it publishes.
fn deliver(host: &mut Control, revision: u64, values: Vec<ValueChange>) -> Vec<Endpoint> {
    let update = ValueUpdate {
        revision: revision.into(),
        values,
        is_full: false,
    };
    let actions = host.handle(ms(1_000 + revision), Event::Values(Ok(update)));
    let published = actions.into_iter().filter_map(|action| match action {
        Action::Publish(snapshot) => Some(snapshot),
        _ => None,
    });
    let snapshot = published.last().expect("a snapshot");
    let mut endpoints = snapshot.services[&Id::of("adserve")].endpoints.clone();
    endpoints.sort_unstable_by_key(|endpoint| endpoint.relay_number);
    endpoints
}

fn endpoint_key(number: u64) -> String {
    format!("servers/i-{number:08x}")
}

/// Returns a host with the tests' endpoints, at revision 1.
fn host_with_endpoints() -> Control {
    let mut host = relay_control();
    let mut values = vec![change("op/config", 1, Some(desired_state(1).to_string()))];
    for number in 1..=ENDPOINT_COUNT {
        let text = entry(number).to_string();
        values.push(change(&endpoint_key(number), 1, Some(text)));
    }
    deliver(&mut host, 1, values);
    host
}

fn numbers(endpoints: &[Endpoint]) -> Vec<u64> {
    endpoints.iter().map(|row| row.relay_number).collect()
}

#[test]
fn odd_entries_name_no_endpoint_and_the_others_hold() {
    let regular: Vec<u64> = (1..=ENDPOINT_COUNT).collect();
    for text in odd_texts() {
        let mut host = host_with_endpoints();
        let shown: String = text.chars().take(80).collect();
        let found = deliver(&mut host, 2, vec![change("servers/i-63", 2, Some(text))]);
        assert_eq!(numbers(&found), regular, "{shown}");
        assert_eq!(host.tables().counters.refused_entries, 1, "{shown}");
        // The list is still followed, and the entry is not refused again at each change.
        let added = change("servers/i-77", 3, Some(entry(0x77).to_string()));
        let found = deliver(&mut host, 3, vec![added]);
        assert_eq!(found.len(), regular.len() + 1, "{shown}");
        assert_eq!(host.tables().counters.refused_entries, 1, "{shown}");
    }
}

#[test]
fn entries_under_odd_keys_name_no_endpoint() {
    let mut host = host_with_endpoints();
    let keys = odd_keys();
    let values = keys.iter();
    let values = values.map(|key| change(key, 2, Some(entry(99).to_string())));
    let found = deliver(&mut host, 2, values.collect());
    assert_eq!(numbers(&found), (1..=ENDPOINT_COUNT).collect::<Vec<_>>());
    let refused = host.tables().counters.refused_entries;
    assert_eq!(refused, keys.len() as u64);
}

#[test]
fn endpoint_whose_entry_was_overwritten_keeps_its_flows() {
    let mut host = host_with_endpoints();
    let found = deliver(
        &mut host,
        2,
        vec![change(&endpoint_key(1), 2, Some("[".into()))],
    );
    assert_eq!(found.len() as u64, ENDPOINT_COUNT);
    assert!(found[0].draining && !found[1].draining);
    let restored = change(&endpoint_key(1), 3, Some(entry(1).to_string()));
    let found = deliver(&mut host, 3, vec![restored]);
    assert!(!found[0].draining);
    deliver(
        &mut host,
        4,
        vec![change(&endpoint_key(1), 4, Some("[".into()))],
    );
    let found = deliver(&mut host, 5, vec![change(&endpoint_key(1), 5, None)]);
    assert_eq!(found.len() as u64, ENDPOINT_COUNT - 1);
}

#[test]
fn claim_of_many_slots_draws_few_flows() {
    let mut host = host_with_endpoints();
    let mut odd = entry(99);
    odd["Concurrency"] = json!(100_000);
    let found = deliver(
        &mut host,
        2,
        vec![change("servers/i-63", 2, Some(odd.to_string()))],
    );
    let mut harness = LaneHarness::new(&[]);
    harness.publish(&snapshot(&found));
    let flows = 300;
    let drawn = (0..flows).filter(|port| harness.open_flow(*port) == 0x63);
    let drawn = drawn.count();
    assert!(drawn <= 120, "{drawn} of {flows} flows");
}

#[test]
fn sums_of_slots_do_not_overflow() {
    let mut endpoints = local_endpoints(4);
    for endpoint in &mut endpoints[..3] {
        endpoint.slots = u32::MAX;
    }
    let mut harness = LaneHarness::new(&endpoints);
    harness.advance(ms(100));
    // Without a limit that wrapped around, all flows are placed and none waits.
    for port in 0..200 {
        let actions = harness.receive(opening_segment(port, 0));
        assert!(
            matches!(actions[..], [RelayAction::Forward { .. }]),
            "{port}"
        );
    }
}

#[test]
fn removal_of_a_copied_entry_resets_no_flow_of_its_endpoint() {
    let original = endpoint(1, "a");
    let mut copy = Endpoint {
        id: Id::of("copy-01"),
        name: "copy-01".into(),
        ..original.clone()
    };
    copy.started_ms += 1;
    let mut harness = LaneHarness::new(&[original.clone(), copy]);
    let names = ["i-01", "copy-01"];
    for (port, name) in (1..).zip(names) {
        harness.receive(cookie_segment(port, name, SegmentKind::Data, 0, 0, 500));
    }
    harness.publish(&snapshot(&[original]));
    for (port, name) in (1..).zip(names) {
        let actions = harness.receive(cookie_segment(port, name, SegmentKind::Data, 1, 100, 500));
        assert!(
            !actions.iter().any(|action| is_reset(action, port)),
            "{name}"
        );
        assert_eq!(actions.len(), 1, "{name}");
    }
    harness.publish(&snapshot(&[endpoint(2, "a")]));
    let actions = harness.receive(data_segment(1, 1, 101, 100, 600));
    assert!(is_reset(&actions[0], 1), "the endpoint itself is gone");
}

/// A store whose first page ends with an odd key.
struct Store {
    /// Items by key, as the store sends them.
    items: Mutex<Vec<(String, JsonValue)>>,
    page_size: usize,
}

#[serde_as]
#[derive(serde::Serialize)]
struct Encoded(#[serde_as(as = "Base64")] Vec<u8>);

impl Store {
    fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let mut items = self.items.lock().expect("a lock");
        let revision = items
            .iter()
            .map(|(_, item)| item["Revision"].as_u64().max(Some(0)));
        let revision = revision.flatten().max().unwrap_or(0) + 1;
        let item = json!({"Key": key, "Value": Encoded(value.into()), "Revision": revision});
        items.retain(|(known, _)| known != key);
        items.push((key.to_owned(), item));
        items.sort_by(|a, b| a.0.cmp(&b.0));
    }

    fn revision(&self) -> u64 {
        let items = self.items.lock().expect("a lock");
        let revisions = items
            .iter()
            .filter_map(|(_, item)| item["Revision"].as_u64());
        revisions.max().unwrap_or(0)
    }

    /// Returns the items after a key, and those after a revision.
    fn items_after(&self, key: &str, revision: u64) -> Vec<JsonValue> {
        let items = self.items.lock().expect("a lock");
        let later = items
            .iter()
            .filter(|(known, item)| **known > *key && item["Revision"].as_u64() > Some(revision));
        later.map(|(_, item)| item.clone()).collect()
    }
}

#[derive(Deserialize)]
struct StoreQuery {
    #[serde(default)]
    after: String,
}

async fn range(
    State(store): State<Arc<Store>>,
    Query(query): Query<StoreQuery>,
) -> Json<JsonValue> {
    let mut items = store.items_after(&query.after, 0);
    let has_more = items.len() > store.page_size;
    items.truncate(store.page_size);
    Json(json!({"items": items, "HasMore": has_more, "StoreRevision": store.revision()}))
}

async fn watch(
    State(store): State<Arc<Store>>,
    Query(query): Query<StoreQuery>,
) -> Json<JsonValue> {
    tokio::time::sleep(ms(100)).await;
    let after = query.after.parse().expect("a revision");
    let events = store.items_after("", after);
    Json(json!({"events": events, "StoreRevision": store.revision()}))
}

/// Plays a host whose store holds odd entries from the start and gets more of them later.
#[tokio::test]
async fn host_follows_a_list_with_odd_entries() {
    let ip = "127.90.7.1";
    let store = Arc::new(Store {
        items: Mutex::default(),
        page_size: 5,
    });
    store.put("op/config", desired_state(1).to_string());
    for number in 1..=ENDPOINT_COUNT {
        store.put(&endpoint_key(number), entry(number).to_string());
    }
    for key in odd_keys() {
        store.put(&key, entry(99).to_string());
    }
    // Keys that sort between those of the endpoints, so that pages end with them.
    for at in 0..20 {
        store.put(
            &format!("servers/i-0000000{at:x}&x=\u{e9} #%"),
            "[".repeat(DEPTH),
        );
    }
    store.put("servers/i-bytes", vec![0xff, 0xfe, 0]);
    let routes = Router::new()
        .route("/-/kv-range", get(range))
        .route("/-/kv-watch", get(watch))
        .with_state(Arc::clone(&store));
    let listener = tokio::net::TcpListener::bind((ip, 7100)).await;
    let listener = listener.expect("a free address");
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let file = process::settings_path(ip);
    process::write_file(&file, &process::settings_text(ip, &[]));
    let mut host = Host::start(ip, file);
    let test = tokio::task::spawn_blocking(move || {
        host.wait_for_event("desired_in_force");
        let mut version = 1;
        for (at, text) in odd_texts().into_iter().enumerate() {
            store.put(&format!("servers/odd-{at:x}"), text);
            if at % 10 == 0 {
                version += 1;
                store.put("op/config", desired_state(version).to_string());
                let line = host.wait_for_event("desired_in_force");
                assert_eq!(line["version"], version);
            }
        }
        assert!(
            host.child.try_wait().expect("a status").is_none(),
            "it ended"
        );
    });
    test.await.expect("no panic");
}
