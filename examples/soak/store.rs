//! A simulated store of the users' platform behind a proxy that disrupts connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
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
use tokio::time::{sleep, timeout};

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
}

/// Current items and the history of all changes.
#[derive(Default)]
struct StoreData {
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
    /// Serves the store at `store_addr` and a proxy to it at `proxy_addr`.
    ///
    /// # Errors
    ///
    /// Fails if one of the addresses cannot be bound.
    pub async fn start(store_addr: SocketAddr, proxy_addr: SocketAddr) -> std::io::Result<Self> {
        let store = Self {
            data: Arc::default(),
            changed: Arc::default(),
            mode: watch::Sender::new(StoreMode::Up),
        };
        let router = Router::new()
            .route("/-/kv-range", get(list_items))
            .route("/-/kv-watch", get(watch_values))
            .with_state(store.clone());
        let listener = TcpListener::bind(store_addr).await?;
        tokio::spawn(async move { axum::serve(listener, router).await });
        let proxy_listener = TcpListener::bind(proxy_addr).await?;
        tokio::spawn(proxy(proxy_listener, store_addr, store.mode.subscribe()));
        Ok(store)
    }

    pub fn set(&self, key: &str, value: &Value) {
        self.write(key, Some(value.to_string().into_bytes()));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut data = self.lock_data();
        data.revision += 1;
        let item = Item {
            key: key.to_owned(),
            deleted: value.is_none(),
            value: value.unwrap_or_default(),
            revision: data.revision,
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
    if mode == StoreMode::Compacted {
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
