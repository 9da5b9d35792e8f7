//! HTTP client of the platform's configuration service and host list.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::{Request, StatusCode, Uri};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use tower::ServiceExt;
use tower::timeout::Timeout;

use crate::control::message::{Hosts, Listed, Update};
use crate::control::{Change, Value};
use crate::error::{Error, Result};
use crate::id::Name;

/// Time that an answer may take beyond the wait that was asked for.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Most bytes of an answer.
const ANSWER_BYTES: usize = 32 << 20;

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    base: Name,
    client: Client<HttpConnector, Empty<Bytes>>,
}

#[derive(Deserialize)]
struct JsonValues {
    revision: u64,
    values: Vec<JsonValue>,
}

#[derive(Deserialize)]
struct JsonValue {
    key: Name,
    revision: u64,
    value: serde_json::Value,
}

#[derive(Deserialize)]
struct JsonHosts {
    revision: u64,
    hosts: Vec<JsonHost>,
}

#[derive(Deserialize)]
struct JsonHost {
    name: Name,
    zone: Name,
    state: JsonState,
    peer: SocketAddr,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum JsonState {
    Live,
    Leaving,
}

impl Platform {
    /// Client of the platform at `base`, such as `http://127.0.0.1:7000`.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            base: base.trim_end_matches('/').into(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Waits for values above a revision.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or answers nonsense.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Update> {
        let path = format!("/v1/watch?after={after}&wait={}", wait.as_millis());
        let bytes = self.get(&path, wait + ANSWER_LIMIT).await?;
        parse_values(&bytes)
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer in time, or answers nonsense.
    pub async fn hosts(&self) -> Result<Hosts> {
        let bytes = self.get("/v1/hosts", ANSWER_LIMIT).await?;
        parse_hosts(&bytes)
    }

    async fn get(&self, path: &str, limit: Duration) -> Result<Bytes> {
        let uri: Uri = format!("{}{path}", self.base)
            .parse()
            .map_err(|_| Error::setting("platform", "no URL", "give http://IP:PORT"))?;
        let read = tower::service_fn(|uri| read(&self.client, uri));
        Timeout::new(read, limit)
            .oneshot(uri)
            .await
            .map_err(|err| Error::platform(err.to_string()))
    }
}

/// Parses the answer to a read or a watch of values.
///
/// # Errors
///
/// Fails when it is no such answer.
pub fn parse_values(bytes: &[u8]) -> Result<Update> {
    let json: JsonValues = serde_json::from_slice(bytes).map_err(nonsense)?;
    let values = json.values.into_iter().map(|value| Change {
        key: value.key,
        value: Value {
            revision: value.revision,
            json: (!value.value.is_null()).then(|| value.value.to_string().into()),
        },
    });
    Ok(Update {
        revision: json.revision,
        values: values.collect(),
        whole: false,
    })
}

/// Parses the host list.
///
/// # Errors
///
/// Fails when it is no such list.
pub fn parse_hosts(bytes: &[u8]) -> Result<Hosts> {
    let json: JsonHosts = serde_json::from_slice(bytes).map_err(nonsense)?;
    let hosts = json.hosts.into_iter().map(|host| {
        let listed = Listed {
            name: host.name,
            peer: host.peer,
            leaving: host.state == JsonState::Leaving,
        };
        (host.zone, listed)
    });
    Ok(Hosts {
        revision: json.revision,
        hosts: hosts.collect(),
    })
}

async fn read(
    client: &Client<HttpConnector, Empty<Bytes>>,
    uri: Uri,
) -> Result<Bytes, tower::BoxError> {
    let request = Request::get(uri).body(Empty::new())?;
    let response = client.request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()).into());
    }
    let body = Limited::new(response.into_body(), ANSWER_BYTES);
    Ok(body.collect().await?.to_bytes())
}

#[allow(clippy::needless_pass_by_value, reason = "made for map_err")]
fn nonsense(err: serde_json::Error) -> Error {
    Error::platform(format!("unreadable answer: {err}"))
}
