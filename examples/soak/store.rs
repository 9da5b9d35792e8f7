//! A simulated store of the users' platform behind a proxy that disrupts connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// How the store and its proxy behave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    Up,
    /// Every call is answered with status 503.
    Down,
    /// Every call is answered with status 429.
    Throttled,
    /// Every answer is delayed by one second.
    Slow,
    /// Answers carry the store revision of some changes ago.
    RolledBack,
    /// The change history is gone; every watch is answered with status 410.
    Compacted,
    /// The proxy closes all connections.
    Reset,
    /// The proxy accepts connections and transfers nothing.
    Silent,
}

#[serde_as]
#[derive(Clone, serde::Serialize)]
#[serde(rename_all = "PascalCase")]
struct Item {
    key: String,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    revision: u64,
    deleted: bool,
    #[serde(skip)]
    written_at: Instant,
}

/// Current items and the history of all changes.
#[derive(Default)]
struct StoreData {
    /// Number of restores.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    change_log: Vec<Item>,
}

/// Shared handle to the store.
#[derive(Clone)]
pub struct Store {
    data: Arc<Mutex<StoreData>>,
    changed: Arc<Notify>,
    pub mode: watch::Sender<StoreMode>,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    #[serde(rename = "WaitMs")]
    wait_ms: u64,
}

impl Store {
    /// Serves the store at `store_addr` and a proxy to it at each of `proxy_addrs`.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses cannot be bound.
    pub async fn start(
        store_addr: SocketAddr,
        proxy_addrs: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let store = Self {
            data: Arc::default(),
            changed: Arc::default(),
            mode: watch::Sender::new(StoreMode::Up),
        };
        let router = Router::new()
            .route("/-/kv-range", get(list_items))
            .route("/-/kv-watch", get(watch_values))
            .layer(map_response_with_state(store.clone(), add_era))
            .with_state(store.clone());
        let listener = TcpListener::bind(store_addr).await?;
        tokio::spawn(async move { axum::serve(listener, router).await });
        for proxy_addr in proxy_addrs {
            let proxy_listener = TcpListener::bind(proxy_addr).await?;
            tokio::spawn(proxy(proxy_listener, store_addr, store.mode.subscribe()));
        }
        Ok(store)
    }

    /// Writes a value, unless the store has it already.
    pub fn set(&self, key: &str, value: &Value) {
        let bytes = value.to_string().into_bytes();
        let is_known = |item: &Item| item.value == bytes;
        if !self.lock_data().items.get(key).is_some_and(is_known) {
            self.write(key, Some(bytes));
        }
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Loses all changes that are not older than `copy_age`, and begins a new era.
    pub fn restore(&self, copy_age: Duration) {
        let mut data = self.lock_data();
        data.change_log
            .retain(|item| item.written_at.elapsed() > copy_age);
        data.items.clear();
        for item in data.change_log.clone() {
            if item.deleted {
                data.items.remove(&item.key);
            } else {
                data.items.insert(item.key.clone(), item);
            }
        }
        data.revision = data.change_log.last().map_or(1, |item| item.revision);
        data.era += 1;
        drop(data);
        self.changed.notify_waiters();
    }

    /// Removes the items under a prefix whose keys are not among `keys`.
    pub fn retain(&self, prefix: &str, keys: &[String]) {
        let is_stray = |key: &&String| key.starts_with(prefix) && !keys.contains(key);
        let stray: Vec<String> = self
            .lock_data()
            .items
            .keys()
            .filter(is_stray)
            .cloned()
            .collect();
        for key in stray {
            self.remove(&key);
        }
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut data = self.lock_data();
        data.revision += 1;
        let item = Item {
            key: key.to_owned(),
            deleted: value.is_none(),
            value: value.unwrap_or_default(),
            revision: data.revision,
            written_at: Instant::now(),
        };
        if item.deleted {
            data.items.remove(key);
        } else {
            data.items.insert(key.to_owned(), item.clone());
        }
        data.change_log.push(item);
        drop(data);
        self.changed.notify_waiters();
    }

    fn lock_data(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the error response of the current mode, or `None` if calls are answered
    /// normally, in the slow mode after its delay.
    async fn fault_response(&self) -> Option<Response> {
        let mode = *self.mode.borrow();
        match mode {
            StoreMode::Down => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            StoreMode::Throttled => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
            StoreMode::Slow => {
                sleep(Duration::from_secs(1)).await;
                None
            }
            _ => None,
        }
    }
}

/// Adds the number of restores to a response.
async fn add_era(State(store): State<Store>, mut response: Response) -> Response {
    let era = store.lock_data().era;
    response.headers_mut().insert("Store-Era", era.into());
    response
}

async fn list_items(State(store): State<Store>) -> Response {
    if let Some(answer) = store.fault_response().await {
        return answer;
    }
    let rolled_back = *store.mode.borrow() == StoreMode::RolledBack;
    let data = store.lock_data();
    let items: Vec<&Item> = data.items.values().collect();
    let revision = data
        .revision
        .saturating_sub(if rolled_back { 5 } else { 0 });
    Json(json!({"items": items, "HasMore": false, "StoreRevision": revision})).into_response()
}

async fn watch_values(State(store): State<Store>, Query(query): Query<WatchQuery>) -> Response {
    if let Some(answer) = store.fault_response().await {
        return answer;
    }
    let mode = *store.mode.borrow();
    if mode == StoreMode::Compacted || query.after > store.lock_data().revision {
        return StatusCode::GONE.into_response();
    }
    if mode == StoreMode::RolledBack {
        let revision = query.after.saturating_sub(5);
        return Json(json!({"events": [], "StoreRevision": revision})).into_response();
    }
    let next_events = async {
        loop {
            let changed = store.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let data = store.lock_data();
                let events: Vec<&Item> = data
                    .change_log
                    .iter()
                    .filter(|item| item.revision > query.after)
                    .collect();
                if !events.is_empty() {
                    return json!({"events": events, "StoreRevision": data.revision});
                }
            }
            changed.await;
        }
    };
    let answer = timeout(Duration::from_millis(query.wait_ms), next_events).await;
    let revision = store.lock_data().revision;
    Json(answer.unwrap_or_else(|_| json!({"events": [], "StoreRevision": revision})))
        .into_response()
}

async fn proxy(listener: TcpListener, store_addr: SocketAddr, mode: watch::Receiver<StoreMode>) {
    loop {
        let Ok((mut client, _)) = listener.accept().await else {
            continue;
        };
        let mut mode = mode.clone();
        tokio::spawn(async move {
            if *mode.borrow() == StoreMode::Reset {
                return;
            }
            let Ok(mut server) = TcpStream::connect(store_addr).await else {
                return;
            };
            let breaks_connections =
                |mode: &StoreMode| matches!(mode, StoreMode::Reset | StoreMode::Silent);
            let outage = mode.wait_for(breaks_connections);
            let silent = tokio::select! {
                _ = copy_bidirectional(&mut client, &mut server) => return,
                mode = outage => mode.is_ok_and(|mode| *mode == StoreMode::Silent),
            };
            if silent {
                // Keeps the connection open without traffic for longer than any client waits.
                sleep(Duration::from_secs(30)).await;
            }
        });
    }
}
