//! A host that waits for the answer to a read of the store for as long as a watch may last
//! learns too late that the store is back, and serves an older configuration meanwhile.

use std::sync::Mutex;
use std::time::Instant;

use axum::extract::{Query, State};
use axum::routing::get;
use axum::{Json, Router};
use jacinthhinge::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::sync::Notify;

use crate::process::{self, Host};

/// Time after the return of the store within which a change made at the return is in force.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// A store that holds only the desired state and leaves some reads unanswered.
#[derive(Default)]
struct Store {
    data: Mutex<Data>,
    changed: Notify,
}

#[derive(Default)]
struct Data {
    /// Version of the desired state, which is also the revision of the store.
    version: u64,
    /// Number of reads that will not be answered; a change follows the last of them.
    unanswered: u32,
    /// When the last change was made.
    changed_at: Option<Instant>,
}

impl Store {
    fn write(&self) {
        let mut data = self.data.lock().expect("a lock");
        data.version += 1;
        data.changed_at = Some(Instant::now());
        self.changed.notify_waiters();
    }

    /// Returns true for a read that gets no answer, and makes a change after the last one.
    fn is_silent(&self) -> bool {
        let mut data = self.data.lock().expect("a lock");
        if data.unanswered == 0 {
            return false;
        }
        data.unanswered -= 1;
        let is_last = data.unanswered == 0;
        drop(data);
        if is_last {
            self.write();
        }
        true
    }

    fn version(&self) -> u64 {
        self.data.lock().expect("a lock").version
    }
}

#[serde_as]
#[derive(serde::Serialize)]
struct Encoded(#[serde_as(as = "Base64")] Vec<u8>);

fn desired_state(version: u64) -> Value {
    let state = json!({"Version": version, "Routes": [], "Services": [],
                       "Limits": {"IdleTimeoutMs": 15_000}});
    json!({"Key": "op/config", "Value": Encoded(state.to_string().into()), "Revision": version})
}

async fn range(State(store): State<Arc<Store>>) -> Json<Value> {
    if store.is_silent() {
        std::future::pending::<()>().await;
    }
    let version = store.version();
    Json(json!({"items": [desired_state(version)], "HasMore": false, "StoreRevision": version}))
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    #[serde(rename = "WaitMs")]
    wait_ms: u64,
}

async fn watch(State(store): State<Arc<Store>>, Query(query): Query<WatchQuery>) -> Json<Value> {
    if store.is_silent() {
        std::future::pending::<()>().await;
    }
    let has_changed = async {
        loop {
            let changed = store.changed.notified();
            if store.version() > query.after {
                return;
            }
            changed.await;
        }
    };
    let wait = Duration::from_millis(query.wait_ms);
    let events = match tokio::time::timeout(wait, has_changed).await {
        Ok(()) => vec![desired_state(store.version())],
        Err(_) => vec![],
    };
    Json(json!({"events": events, "StoreRevision": store.version()}))
}

/// Returns how long after its acknowledgement a change is in force, if it is made when the
/// last of `unanswered` reads arrives.
async fn time_to_apply(ip: &'static str, unanswered: u32) -> Duration {
    let store = Arc::new(Store::default());
    store.write();
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
        store.data.lock().expect("a lock").unanswered = unanswered;
        let line = host.wait_for_event("desired_in_force");
        let data = store.data.lock().expect("a lock");
        assert_eq!(line["version"], data.version);
        data.changed_at.expect("a change").elapsed()
    });
    test.await.expect("no panic")
}

#[tokio::test]
async fn unanswered_read_does_not_delay_a_change() {
    for (ip, unanswered) in [("127.90.3.1", 1), ("127.90.3.2", 2), ("127.90.3.3", 3)] {
        let elapsed = time_to_apply(ip, unanswered).await;
        assert!(
            elapsed <= STABLE_WINDOW,
            "{unanswered} unanswered: {elapsed:?}"
        );
    }
}
