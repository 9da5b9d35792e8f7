//! HTTP client for the platform's key-value store.
//!
//! Each read uses a connection of its own. On a connection that is used again, a second copy
//! of an earlier response would be taken for the answer to the next read.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, Request, Response, StatusCode, Uri};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::Deserialize;
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::time::{Instant, timeout, timeout_at};
use tower::ServiceExt;
use tower::timeout::Timeout;

use super::entry;
use super::version::writer_version;
use crate::control::message::ValueUpdate;
use crate::control::{Value, ValueChange};
use crate::error::{Error, Result};
use crate::id::Name;
use crate::revision::Revision;

/// Maximum time until the response to a read that does not wait for changes begins.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum time from the beginning of a response to its end: at 10 Mbit/s, a page with one
/// value of the largest size and many small ones takes two seconds.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time without any bytes of a response that has begun, once the time in which it had
/// to begin has passed. A lost packet is retransmitted well within it.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between keep-alive probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Header with the number of times that the store has returned from a copy.
const ERA_HEADER: &str = "Store-Era";

/// Maximum number of pages read for one range.
const MAX_PAGES: usize = 1_000;

/// Characters of a key that are escaped in a query.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePage {
    #[serde(rename = "items")]
    items: Vec<WireItem>,
    has_more: bool,
    store_revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEvents {
    #[serde(rename = "events")]
    events: Vec<WireItem>,
    store_revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireKey {
    #[serde(flatten)]
    item: WireItem,
    #[serde(default)]
    store_revision: u64,
}

/// Key-value item, or an event that reports its write or deletion.
#[serde_as]
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireItem {
    key: Name,
    #[serde_as(as = "Option<Base64>")]
    #[serde(default)]
    value: Option<Vec<u8>>,
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

/// Response of the store, its body not yet decoded.
struct Answer {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

/// Client for the values in the store whose keys begin with a prefix.
#[derive(Clone, Debug)]
pub struct Store {
    addr: SocketAddr,
    prefix: Name,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Store {
    /// Creates a client of the store at `addr`, for values whose keys begin with `prefix`.
    #[must_use]
    pub fn new(addr: SocketAddr, prefix: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_nodelay(true);
        Self {
            addr,
            prefix: prefix.into(),
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build(connector),
        }
    }

    /// Returns a client of the same store at another address.
    #[must_use]
    pub fn at(&self, addr: SocketAddr) -> Self {
        Self {
            addr,
            ..self.clone()
        }
    }

    /// Waits up to `wait` for values with a revision above `after`.
    ///
    /// Reads all values when `after` is 0, or when the store no longer has the changes since
    /// that revision, which is so after each restore. Each response must begin within
    /// `response_time`, which for the watch starts after `wait`. One that has begun and then
    /// stops ends the read at that time too, or up to half a second later.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or times out, or when the response is
    /// invalid.
    pub async fn watch(
        &self,
        after: Revision,
        wait: Duration,
        response_time: Duration,
    ) -> Result<ValueUpdate> {
        if after.is_none() {
            return self.read_all(response_time).await;
        }
        let millis = wait.as_millis();
        let prefix = escape(&self.prefix);
        let path = format!(
            "/-/kv-watch?Prefix={prefix}&after={}&WaitMs={millis}",
            after.number
        );
        let response = self.get(&path, wait + response_time).await?;
        match response.status {
            StatusCode::OK if response.era == after.era => self.parse_events(&response),
            StatusCode::OK | StatusCode::GONE => self.read_all(response_time).await,
            status => Err(unexpected_status(status)),
        }
    }

    async fn read_all(&self, response_time: Duration) -> Result<ValueUpdate> {
        let mut update = ValueUpdate {
            is_full: true,
            ..ValueUpdate::default()
        };
        let mut after = None::<Name>;
        for _ in 0..MAX_PAGES {
            let from = escape(after.as_deref().unwrap_or_default());
            let prefix = escape(&self.prefix);
            let path = format!("/-/kv-range?Prefix={prefix}&after={from}");
            let response = self.get(&path, response_time).await?;
            if response.status != StatusCode::OK {
                return Err(unexpected_status(response.status));
            }
            let page: WirePage =
                serde_json::from_slice(&response.body).map_err(invalid_response)?;
            let era = response.era;
            if after.is_none() {
                // The pages are not an atomic snapshot. Changes made while they are read
                // are received by the watch, which starts at the first page's revision.
                update.revision = Revision::new(era, page.store_revision);
            } else if update.revision.era != era {
                return Err(Error::platform(
                    "store was restored while its values were read",
                ));
            }
            let last = page.items.last().map(|item| item.key.clone());
            if last.is_some() && last == after {
                return Err(Error::platform("store sent the same page twice"));
            }
            after = last;
            let items = page.items.into_iter();
            update
                .values
                .extend(items.map(|item| self.value_change(era, item)));
            if !page.has_more || after.is_none() {
                return Ok(update);
            }
        }
        Err(Error::platform("range has too many pages"))
    }

    /// Reads the value at a key and the revision of the store; returns `None` when the key does
    /// not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or times out, or when the response is
    /// invalid.
    pub async fn read_value(&self, key: &str) -> Result<Option<(Value, Revision)>> {
        let path = format!("/-/kv-key?Key={}", escape(key));
        let response = self.get(&path, RESPONSE_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => {
                let wire: WireKey =
                    serde_json::from_slice(&response.body).map_err(invalid_response)?;
                let revision = Revision::new(response.era, wire.store_revision);
                Ok(Some((decode_value(response.era, wire.item), revision)))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    fn parse_events(&self, response: &Answer) -> Result<ValueUpdate> {
        let wire: WireEvents = serde_json::from_slice(&response.body).map_err(invalid_response)?;
        let era = response.era;
        let events = wire.events.into_iter();
        Ok(ValueUpdate {
            revision: Revision::new(era, wire.store_revision),
            values: events.map(|item| self.value_change(era, item)).collect(),
            is_full: false,
        })
    }

    fn value_change(&self, era: u64, item: WireItem) -> ValueChange {
        let key = item.key.strip_prefix(&*self.prefix).map(Name::from);
        ValueChange {
            key: key.unwrap_or_else(|| item.key.clone()),
            value: decode_value(era, item),
        }
    }

    /// Reads `path`; the response must begin within `limit`, and must not stop after that.
    async fn get(&self, path: &str, limit: Duration) -> Result<Answer> {
        let uri: Uri = format!("http://{}{path}", self.addr).parse().map_err(|_| {
            Error::setting("platform", "not a valid address", "use the form IP:PORT")
        })?;
        let begin_by = Instant::now() + limit;
        let request = tower::service_fn(|uri| send_request(&self.client, uri));
        let response = Timeout::new(request, limit)
            .oneshot(uri)
            .await
            .map_err(failed_request)?;
        let status = response.status();
        let era = decode_era(response.headers())?;
        let body = timeout(BODY_TIMEOUT, read_body(response.into_body(), begin_by));
        let body = body.await.unwrap_or_else(|_| Err(stalled_response()))?;
        Ok(Answer { status, era, body })
    }
}

/// Returns the era of a response: zero if the store names none.
fn decode_era(headers: &HeaderMap) -> Result<u64> {
    let Some(header) = headers.get(ERA_HEADER) else {
        return Ok(0);
    };
    let era = header
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    era.ok_or_else(|| Error::platform(format!("store sent an invalid era {header:?}")))
}

/// Converts an item to a value.
fn decode_value(era: u64, item: WireItem) -> Value {
    let value = item.value.filter(|_| !item.deleted);
    let json = value.map(|bytes| decode_text(&item.key, bytes));
    let version = json.as_deref().map(|json| writer_version(&item.key, json));
    Value {
        revision: Revision::new(era, item.revision),
        version: version.unwrap_or_default(),
        json,
    }
}

/// Returns the text of a value.
///
/// Instead of bytes that are no text, and of an entry that is too long, a JSON string with the
/// reason is returned. It is refused where the value is decoded, and other hosts need not copy
/// the original.
fn decode_text(key: &str, bytes: Vec<u8>) -> Name {
    let size = bytes.len();
    if key.starts_with(entry::PREFIX) && size > entry::MAX_ENTRY_BYTES {
        return format!("\"entry of {size} bytes\"").into();
    }
    match String::from_utf8(bytes) {
        Ok(text) => text.into(),
        Err(_) => format!("\"{size} bytes that are not UTF-8\"").into(),
    }
}

fn escape(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, ESCAPED)
}

async fn send_request(
    client: &Client<HttpConnector, Empty<Bytes>>,
    uri: Uri,
) -> Result<Response<Body>, tower::BoxError> {
    let request = Request::get(uri).body(Empty::new())?;
    Ok(client.request(request).await?.map(Body::new))
}

/// Reads a body, which may stop for [`STALL_TIMEOUT`] at most after `begin_by`.
async fn read_body(mut body: Body, begin_by: Instant) -> Result<Bytes> {
    let mut bytes = BytesMut::new();
    loop {
        let next_by = begin_by.max(Instant::now() + STALL_TIMEOUT);
        let Ok(frame) = timeout_at(next_by, body.frame()).await else {
            return Err(stalled_response());
        };
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        if let Ok(data) = frame.map_err(|err| failed_request(err.into()))?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(Error::oversized(bytes.len(), MAX_RESPONSE_BYTES));
        }
    }
}

#[cold]
fn stalled_response() -> Error {
    Error::platform("the store's response stopped before its end")
}

#[cold]
#[allow(clippy::needless_pass_by_value, reason = "made for map_err")]
fn failed_request(err: tower::BoxError) -> Error {
    Error::platform(err.to_string())
}

#[cold]
fn unexpected_status(status: StatusCode) -> Error {
    Error::platform(format!("store returned status {status}"))
}

#[allow(clippy::needless_pass_by_value, reason = "made for map_err")]
fn invalid_response(err: serde_json::Error) -> Error {
    Error::platform(format!("cannot decode the store's response: {err}"))
}
