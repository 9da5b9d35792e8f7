//! Simulated configuration store of the platform, with the host list.
//!
//! It serves the read calls of `docs/PROTOCOL.md` from an operators' configuration
//! file. Over the `/bench` routes, scripts can publish a new file, change the state
//! of a host, make the store unavailable, slow or stale, and restore it from a copy.

use std::collections::BTreeMap;
use std::time::Instant;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::middleware::map_response_with_state;
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use bpaf::Bpaf;
use jacinthhinge::config::Config;
use jacinthhinge::front::host_list;
use jacinthhinge::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::sync::Notify;

#[path = "../common/ops.rs"]
mod ops;

use ops::{Shared, lock};

/// Key prefix of the operators' values.
const VALUES_PREFIX: &str = "config/";

/// Delay of each response in slow mode.
const SLOW_DELAY: Duration = Duration::from_secs(2);

/// Maximum time for which a watch call waits.
const MAX_WATCH_WAIT: Duration = Duration::from_mins(1);

/// Simulated configuration store and host list of the platform.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address on which to serve HTTP
    listen: SocketAddr,
    /// Operators' configuration file
    config: String,
    /// Host of the balancer as NAME,ZONE,IP:PORT; may be repeated
    #[bpaf(argument::<HostEntry>("NAME,ZONE,ADDR"), many)]
    host: Vec<HostEntry>,
    /// First revision; set it higher than the last one of an earlier run
    #[bpaf(fallback(1))]
    revision: u64,
}

/// A host in the platform's host list.
#[derive(Clone, Serialize)]
struct HostEntry {
    name: Name,
    zone: Name,
    state: HostState,
    #[serde(rename = "peer")]
    peer_addr: SocketAddr,
}

#[derive(Clone, Copy, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HostState {
    Live,
    Leaving,
    Gone,
}

impl std::str::FromStr for HostEntry {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let [name, zone, peer] = text.split(',').collect::<Vec<_>>()[..] else {
            return Err("expected NAME,ZONE,IP:PORT".to_owned());
        };
        Ok(Self {
            name: name.into(),
            zone: zone.into(),
            state: HostState::Live,
            peer_addr: peer
                .parse()
                .map_err(|_| format!("invalid address {peer:?}: expected IP:PORT"))?,
        })
    }
}

/// A published value; null marks a removal.
#[derive(Clone)]
struct StoredValue {
    value: Value,
    revision: u64,
    /// True if the value comes from the operators' file, false if it was set by itself.
    from_file: bool,
}

/// Published values and hosts, with their revisions.
#[derive(Clone, Default)]
struct Store {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    host_revision: u64,
    hosts: Vec<HostEntry>,
}

#[derive(Clone, Copy, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Mode {
    Up,
    Down,
    Stale,
    Slow,
}

/// Number of read calls, for comparison with the read budget.
#[derive(Clone, Copy, Default, Serialize)]
struct CallCounts {
    total: u64,
    #[serde(rename = "second")]
    current_second: u64,
    in_second: u64,
    max_in_second: u64,
}

struct PlatformState {
    /// Number of restores.
    era: u64,
    store: Store,
    /// Store before the last publication, served in stale mode.
    previous_store: Store,
    mode: Mode,
    calls: CallCounts,
    start_time: Instant,
}

#[derive(Clone)]
struct Platform {
    state: Shared<PlatformState>,
    change_notify: Arc<Notify>,
}

type JsonResult = Result<Json<Value>, (StatusCode, String)>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options = options().run();
    let text = std::fs::read_to_string(&options.config)
        .map_err(|source| Error::io("read the operators' file", source))?;
    let mut store = Store {
        revision: options.revision - 1,
        host_revision: options.revision,
        hosts: options.host,
        ..Store::default()
    };
    publish_values(&mut store, parse_values(&options.config, &text)?);
    let platform = Platform {
        state: Arc::new(std::sync::Mutex::new(PlatformState {
            era: 0,
            previous_store: store.clone(),
            store,
            mode: Mode::Up,
            calls: CallCounts::default(),
            start_time: Instant::now(),
        })),
        change_notify: Arc::new(Notify::new()),
    };
    let routes = Router::new()
        .route("/-/kv-range", get(get_range))
        .route("/-/kv-watch", get(get_watch))
        .route("/-/kv-key", get(get_key))
        .route("/bench/mode", post(set_mode))
        .route("/bench/restore", post(restore))
        .route("/bench/publish", post(publish_file))
        .route("/bench/value", post(set_value))
        .route("/bench/host", post(set_host))
        .route("/bench/calls", get(get_calls))
        .layer(map_response_with_state(platform.clone(), add_era))
        .with_state(platform);
    ops::serve(options.listen, routes).await
}

/// Returns the keys and values of an operators' configuration file.
fn parse_values(file: &str, text: &str) -> Result<Vec<(String, Value)>> {
    Config::parse(file, text).map(|config| config.values())
}

/// Replaces the values of the file. Only the keys that differ get the new revision.
fn publish_values(store: &mut Store, values: Vec<(String, Value)>) {
    let revision = store.revision + 1;
    let values: BTreeMap<String, Value> = values.into_iter().collect();
    for (key, entry) in &mut store.values {
        if entry.from_file && !entry.value.is_null() && !values.contains_key(key) {
            entry.value = Value::Null;
            entry.revision = revision;
        }
    }
    for (key, value) in values {
        put_value(store, revision, key, value, true);
    }
    store.revision = revision;
}

fn put_value(store: &mut Store, revision: u64, key: String, value: Value, from_file: bool) {
    let is_unchanged = |entry: &StoredValue| entry.value == value;
    if !store.values.get(&key).is_some_and(is_unchanged) {
        let entry = StoredValue {
            value,
            revision,
            from_file,
        };
        store.values.insert(key, entry);
    }
}

/// An item of the store or its removal, as the read calls return it.
#[serde_as]
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Item {
    key: String,
    #[serde_as(as = "Option<Base64>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<Vec<u8>>,
    revision: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

impl Item {
    fn from_entry(key: &str, entry: &StoredValue) -> Self {
        let deleted = entry.value.is_null();
        Self {
            key: format!("{VALUES_PREFIX}{key}"),
            value: (!deleted).then(|| entry.value.to_string().into_bytes()),
            revision: entry.revision,
            deleted,
        }
    }
}

/// Returns the items under a prefix that are newer than revision `after`, including removals.
fn items_after(store: &Store, prefix: &str, after: u64) -> Vec<Item> {
    let items = store
        .values
        .iter()
        .map(|(key, entry)| Item::from_entry(key, entry));
    items
        .filter(|item| item.revision > after && item.key.starts_with(prefix))
        .collect()
}

impl PlatformState {
    fn count_call(&mut self) {
        let second = self.start_time.elapsed().as_secs();
        let calls = &mut self.calls;
        if calls.current_second != second {
            calls.current_second = second;
            calls.in_second = 0;
        }
        calls.total += 1;
        calls.in_second += 1;
        calls.max_in_second = calls.max_in_second.max(calls.in_second);
    }

    /// Returns the store that read calls see, or an error if the service is down.
    fn visible_store(&self) -> Result<&Store, (StatusCode, String)> {
        match self.mode {
            Mode::Down => Err((StatusCode::SERVICE_UNAVAILABLE, "down".to_owned())),
            Mode::Stale => Ok(&self.previous_store),
            Mode::Up | Mode::Slow => Ok(&self.store),
        }
    }
}

impl Platform {
    /// Counts a read call, and delays it in slow mode.
    async fn admit_read(&self) {
        let mode = {
            let mut state = lock(&self.state);
            state.count_call();
            state.mode
        };
        if mode == Mode::Slow {
            tokio::time::sleep(SLOW_DELAY).await;
        }
    }

    /// Applies a change to the store, wakes the waiting watch calls and returns the revision.
    fn apply_change(&self, apply: impl FnOnce(&mut Store)) -> u64 {
        let mut state = lock(&self.state);
        let before = state.store.clone();
        apply(&mut state.store);
        if state.mode != Mode::Stale && state.store.revision != before.revision {
            state.previous_store = before;
        }
        self.change_notify.notify_waiters();
        state.store.revision
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    #[serde(rename = "Prefix", default)]
    prefix: String,
    /// Last key of the previous page. The first page always holds all items.
    #[serde(default)]
    after: String,
}

async fn get_range(
    State(platform): State<Platform>,
    Query(query): Query<RangeQuery>,
) -> JsonResult {
    platform.admit_read().await;
    let state = lock(&platform.state);
    let store = state.visible_store()?;
    let mut items = items_after(store, &query.prefix, 0);
    items.retain(|item| !item.deleted && item.key > query.after);
    Ok(Json(
        json!({"items": items, "HasMore": false, "StoreRevision": store.revision}),
    ))
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(rename = "Prefix", default)]
    prefix: String,
    /// Latest revision known to the reader.
    #[serde(default)]
    after: u64,
    #[serde(rename = "WaitMs", default)]
    wait_ms: u64,
}

async fn get_watch(
    State(platform): State<Platform>,
    Query(query): Query<WatchQuery>,
) -> JsonResult {
    platform.admit_read().await;
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WATCH_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = platform.change_notify.notified();
        let (events, revision) = {
            let state = lock(&platform.state);
            let store = state.visible_store()?;
            if query.after > store.revision && state.mode != Mode::Stale {
                let cause = format!("no revision {}", query.after);
                return Err((StatusCode::GONE, cause));
            }
            (
                items_after(store, &query.prefix, query.after),
                store.revision,
            )
        };
        if !events.is_empty() || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return Ok(Json(json!({"events": events, "StoreRevision": revision})));
        }
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    #[serde(rename = "Key")]
    key: String,
}

async fn get_key(State(platform): State<Platform>, Query(query): Query<KeyQuery>) -> JsonResult {
    platform.admit_read().await;
    let state = lock(&platform.state);
    let store = state.visible_store()?;
    if query.key != host_list::KEY {
        return Err((StatusCode::NOT_FOUND, format!("no item {}", query.key)));
    }
    let is_listed = |host: &&HostEntry| host.state != HostState::Gone;
    let hosts: Vec<&HostEntry> = store.hosts.iter().filter(is_listed).collect();
    let item = Item {
        key: query.key,
        value: Some(json!(hosts).to_string().into_bytes()),
        revision: store.host_revision,
        deleted: false,
    };
    let mut answer = json!(item);
    answer["StoreRevision"] = json!(store.revision);
    Ok(Json(answer))
}

#[derive(Deserialize)]
struct ModeChange {
    mode: Mode,
}

async fn set_mode(State(platform): State<Platform>, Json(change): Json<ModeChange>) {
    lock(&platform.state).mode = change.mode;
    platform.change_notify.notify_waiters();
}

/// Returns to the store before the last publication, in a new era.
async fn restore(State(platform): State<Platform>) -> Json<Value> {
    let mut state = lock(&platform.state);
    state.store = state.previous_store.clone();
    state.era += 1;
    platform.change_notify.notify_waiters();
    Json(json!({"era": state.era, "revision": state.store.revision}))
}

/// Adds the number of restores to a response.
async fn add_era(State(platform): State<Platform>, mut response: Response) -> Response {
    let era = lock(&platform.state).era;
    response.headers_mut().insert("Store-Era", era.into());
    response
}

async fn publish_file(State(platform): State<Platform>, text: String) -> JsonResult {
    let values = parse_values("publication", &text)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))?;
    let revision = platform.apply_change(|store| publish_values(store, values));
    Ok(Json(json!({"revision": revision})))
}

#[derive(Deserialize)]
struct ValueChange {
    key: String,
    value: Value,
}

async fn set_value(
    State(platform): State<Platform>,
    Json(change): Json<ValueChange>,
) -> JsonResult {
    let revision = platform.apply_change(|store| {
        store.revision += 1;
        put_value(store, store.revision, change.key, change.value, false);
    });
    Ok(Json(json!({"revision": revision})))
}

#[derive(Deserialize)]
struct HostChange {
    name: Name,
    state: HostState,
}

async fn set_host(State(platform): State<Platform>, Json(change): Json<HostChange>) -> JsonResult {
    let mut is_known = false;
    platform.apply_change(|store| {
        store.host_revision += 1;
        for host in store.hosts.iter_mut().filter(|h| h.name == change.name) {
            host.state = change.state;
            is_known = true;
        }
    });
    if is_known {
        Ok(Json(json!({})))
    } else {
        Err((
            StatusCode::NOT_FOUND,
            format!("no host {}; see the item `hosts`", change.name),
        ))
    }
}

async fn get_calls(State(platform): State<Platform>) -> Json<CallCounts> {
    Json(lock(&platform.state).calls)
}
