//! Stand-in for the platform's store, with the configuration and the host list.
//!
//! It serves the read calls that `docs/PROTOCOL.md` names from an operators' file.
//! The `/bench` routes are for scripts: they publish a new file, move a host
//! through its states and take the service down, or make it slow or stale.

use std::collections::BTreeMap;
use std::time::Instant;

use axum::extract::{Query, State};
use axum::http::StatusCode;
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

/// Prefix of the keys of the operators' values.
const VALUES: &str = "config/";

/// Delay of each answer in slow mode.
const SLOW_DELAY: Duration = Duration::from_secs(2);

/// Longest time that a watch waits.
const WATCH_LIMIT: Duration = Duration::from_mins(1);

/// Stand-in for the platform's configuration service and host list.
#[derive(Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address to serve HTTP on
    listen: SocketAddr,
    /// Operators' file
    config: String,
    /// Host of the system as NAME,ZONE,IP:PORT; may be repeated
    #[bpaf(argument::<HostEntry>("NAME,ZONE,ADDR"), many)]
    host: Vec<HostEntry>,
    /// First revision, for a start after an earlier run
    #[bpaf(fallback(1))]
    revision: u64,
}

/// A host as the platform lists it.
#[derive(Clone, Serialize)]
struct HostEntry {
    name: Name,
    zone: Name,
    state: HostState,
    peer: SocketAddr,
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
            peer: peer.parse().map_err(|_| format!("no address: {peer}"))?,
        })
    }
}

/// One published value.
#[derive(Clone)]
struct Entry {
    value: Value,
    revision: u64,
    /// True for values of the operators' file, false for those set one by one.
    filed: bool,
}

/// All that is published.
#[derive(Clone, Default)]
struct Store {
    revision: u64,
    values: BTreeMap<String, Entry>,
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

/// Read calls, for comparison with the read budget.
#[derive(Clone, Copy, Default, Serialize)]
struct Calls {
    total: u64,
    second: u64,
    in_second: u64,
    max_in_second: u64,
}

struct World {
    store: Store,
    /// Copy from before the last publication, served in stale mode.
    older: Store,
    mode: Mode,
    calls: Calls,
    start: Instant,
}

#[derive(Clone)]
struct Platform {
    world: Shared<World>,
    changed: Arc<Notify>,
}

type Reply = Result<Json<Value>, (StatusCode, String)>;

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
    publish(&mut store, parse(&options.config, &text)?);
    let platform = Platform {
        world: Arc::new(std::sync::Mutex::new(World {
            older: store.clone(),
            store,
            mode: Mode::Up,
            calls: Calls::default(),
            start: Instant::now(),
        })),
        changed: Arc::new(Notify::new()),
    };
    let routes = Router::new()
        .route("/-/kv-range", get(get_range))
        .route("/-/kv-watch", get(get_watch))
        .route("/-/kv-key", get(get_key))
        .route("/bench/mode", post(set_mode))
        .route("/bench/publish", post(set_file))
        .route("/bench/value", post(set_value))
        .route("/bench/host", post(set_host))
        .route("/bench/calls", get(get_calls))
        .with_state(platform);
    ops::serve(options.listen, routes).await
}

/// Keys and values of an operators' file.
fn parse(file: &str, text: &str) -> Result<Vec<(String, Value)>> {
    Config::parse(file, text).map(|config| config.values())
}

/// Replaces the file's values; only the keys that differ get the new revision.
fn publish(store: &mut Store, values: Vec<(String, Value)>) {
    let revision = store.revision + 1;
    let values: BTreeMap<String, Value> = values.into_iter().collect();
    for (key, entry) in &mut store.values {
        if entry.filed && !entry.value.is_null() && !values.contains_key(key) {
            entry.value = Value::Null;
            entry.revision = revision;
        }
    }
    for (key, value) in values {
        put(store, revision, key, value, true);
    }
    store.revision = revision;
}

fn put(store: &mut Store, revision: u64, key: String, value: Value, filed: bool) {
    let same = |entry: &Entry| entry.value == value;
    if !store.values.get(&key).is_some_and(same) {
        let entry = Entry {
            value,
            revision,
            filed,
        };
        store.values.insert(key, entry);
    }
}

/// An item of the store, or its removal.
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
    fn of(key: &str, entry: &Entry) -> Self {
        let deleted = entry.value.is_null();
        Self {
            key: format!("{VALUES}{key}"),
            value: (!deleted).then(|| entry.value.to_string().into_bytes()),
            revision: entry.revision,
            deleted,
        }
    }
}

/// The items under a prefix that are newer than revision `after`, removals included.
fn newer(store: &Store, prefix: &str, after: u64) -> Vec<Item> {
    let items = store.values.iter().map(|(key, entry)| Item::of(key, entry));
    items
        .filter(|item| item.revision > after && item.key.starts_with(prefix))
        .collect()
}

impl World {
    fn count(&mut self) {
        let second = self.start.elapsed().as_secs();
        let calls = &mut self.calls;
        if calls.second != second {
            calls.second = second;
            calls.in_second = 0;
        }
        calls.total += 1;
        calls.in_second += 1;
        calls.max_in_second = calls.max_in_second.max(calls.in_second);
    }

    /// What readers see.
    fn visible(&self) -> Result<&Store, (StatusCode, String)> {
        match self.mode {
            Mode::Down => Err((StatusCode::SERVICE_UNAVAILABLE, "down".to_owned())),
            Mode::Stale => Ok(&self.older),
            Mode::Up | Mode::Slow => Ok(&self.store),
        }
    }
}

impl Platform {
    /// Counts a read call and delays it in slow mode.
    async fn admit(&self) {
        let mode = {
            let mut world = lock(&self.world);
            world.count();
            world.mode
        };
        if mode == Mode::Slow {
            tokio::time::sleep(SLOW_DELAY).await;
        }
    }

    /// Applies a change to the store and wakes the watches.
    fn change(&self, apply: impl FnOnce(&mut Store)) -> u64 {
        let mut world = lock(&self.world);
        let before = world.store.clone();
        apply(&mut world.store);
        if world.mode != Mode::Stale && world.store.revision != before.revision {
            world.older = before;
        }
        self.changed.notify_waiters();
        world.store.revision
    }
}

#[derive(Deserialize)]
struct Range {
    #[serde(rename = "Prefix", default)]
    prefix: String,
    /// The key that the page before ended with; there is one page only.
    #[serde(default)]
    after: String,
}

async fn get_range(State(platform): State<Platform>, Query(range): Query<Range>) -> Reply {
    platform.admit().await;
    let world = lock(&platform.world);
    let store = world.visible()?;
    let mut items = newer(store, &range.prefix, 0);
    items.retain(|item| !item.deleted && item.key > range.after);
    Ok(Json(
        json!({"items": items, "HasMore": false, "StoreRevision": store.revision}),
    ))
}

#[derive(Deserialize)]
struct Watch {
    #[serde(rename = "Prefix", default)]
    prefix: String,
    /// The revision that the reader knows.
    #[serde(default)]
    after: u64,
    #[serde(rename = "WaitMs", default)]
    wait: u64,
}

async fn get_watch(State(platform): State<Platform>, Query(watch): Query<Watch>) -> Reply {
    platform.admit().await;
    let wait = Duration::from_millis(watch.wait).min(WATCH_LIMIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = platform.changed.notified();
        let (events, revision) = {
            let world = lock(&platform.world);
            let store = world.visible()?;
            (newer(store, &watch.prefix, watch.after), store.revision)
        };
        if !events.is_empty() || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return Ok(Json(json!({"events": events, "StoreRevision": revision})));
        }
    }
}

#[derive(Deserialize)]
struct Wanted {
    #[serde(rename = "Key")]
    key: String,
}

async fn get_key(State(platform): State<Platform>, Query(wanted): Query<Wanted>) -> Reply {
    platform.admit().await;
    let world = lock(&platform.world);
    let store = world.visible()?;
    if wanted.key != host_list::KEY {
        return Err((StatusCode::NOT_FOUND, format!("no item {}", wanted.key)));
    }
    let listed = |host: &&HostEntry| host.state != HostState::Gone;
    let hosts: Vec<&HostEntry> = store.hosts.iter().filter(listed).collect();
    let item = Item {
        key: wanted.key,
        value: Some(json!(hosts).to_string().into_bytes()),
        revision: store.host_revision,
        deleted: false,
    };
    Ok(Json(json!(item)))
}

#[derive(Deserialize)]
struct ModeChange {
    mode: Mode,
}

async fn set_mode(State(platform): State<Platform>, Json(change): Json<ModeChange>) {
    lock(&platform.world).mode = change.mode;
    platform.changed.notify_waiters();
}

async fn set_file(State(platform): State<Platform>, text: String) -> Reply {
    let values = parse("publication", &text)
        .map_err(|fault| (StatusCode::BAD_REQUEST, fault.to_string()))?;
    let revision = platform.change(|store| publish(store, values));
    Ok(Json(json!({"revision": revision})))
}

#[derive(Deserialize)]
struct ValueChange {
    key: String,
    value: Value,
}

async fn set_value(State(platform): State<Platform>, Json(change): Json<ValueChange>) -> Reply {
    let revision = platform.change(|store| {
        store.revision += 1;
        put(store, store.revision, change.key, change.value, false);
    });
    Ok(Json(json!({"revision": revision})))
}

#[derive(Deserialize)]
struct HostChange {
    name: Name,
    state: HostState,
}

async fn set_host(State(platform): State<Platform>, Json(change): Json<HostChange>) -> Reply {
    let mut found = false;
    platform.change(|store| {
        store.host_revision += 1;
        for host in store.hosts.iter_mut().filter(|h| h.name == change.name) {
            host.state = change.state;
            found = true;
        }
    });
    if found {
        Ok(Json(json!({})))
    } else {
        Err((
            StatusCode::NOT_FOUND,
            format!("no host {}; see the item `hosts`", change.name),
        ))
    }
}

async fn get_calls(State(platform): State<Platform>) -> Json<Calls> {
    Json(lock(&platform.world).calls)
}
