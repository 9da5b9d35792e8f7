//! HTTP server for operators: dumps of the process state, metrics and health probes.
//!
//! | path | response |
//! | --- | --- |
//! | `/dump` | all tables, as JSON |
//! | `/dump/NAME` | one table, as JSON |
//! | `/where?front=FRONT&caller=ADDR` | where a flow would go, as JSON; `caller` is optional |
//! | `/metrics` | counters, gauges and histograms as text |
//! | `/live` | 200 while the process runs |
//! | `/ready` | 200 while the process accepts traffic, otherwise 503 |

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, to_bytes};
use axum::error_handling::HandleErrorLayer;
use axum::extract::rejection::{PathRejection, QueryRejection};
use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{BoxError, Json, Router};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::TcpListener;
use tower::ServiceBuilder;

use super::inspect::{self, QueryError};
use crate::error::{Error, Result};
use crate::id::Name;
use crate::systems::explain;

/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that open connections may take to finish after the stop.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1_024;

/// Maximum number of requests served at once.
const MAX_REQUESTS: usize = 8;

/// Returns whether the process accepts traffic.
pub type ReadyCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Returns where a flow would go, or why this cannot be explained.
pub type ExplainHandler =
    Arc<dyn Fn(explain::Query) -> BoxFuture<'static, Result<Value, QueryError>> + Send + Sync>;

/// Callbacks that produce the contents of the operators' server.
#[derive(Clone)]
pub struct OpsHandlers {
    /// Returns one table, or all tables without a name; `None` for an unknown name.
    pub dump: Arc<dyn Fn(Option<Name>) -> BoxFuture<'static, Option<Value>> + Send + Sync>,
    /// Explains where a flow would go.
    pub explain: ExplainHandler,
    /// Returns all metrics as text, or `None` if they cannot be rendered.
    pub metrics: Arc<dyn Fn() -> BoxFuture<'static, Option<String>> + Send + Sync>,
    /// Returns true while the process accepts traffic.
    pub ready: ReadyCheck,
}

impl fmt::Debug for OpsHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OpsHandlers(..)")
    }
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
    remedy: &'static str,
}

/// Runs the operators' server on `addr` until `stop` completes.
///
/// # Errors
///
/// Returns an error when the server cannot listen on the address or fails.
pub async fn run(
    addr: SocketAddr,
    ops: OpsHandlers,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|source| Error::io("listen for operator requests", source))?;
    serve(listener, ops, stop).await
}

/// Runs the operators' server on a listening socket until `stop` completes.
///
/// # Errors
///
/// Returns an error when the server fails.
pub async fn serve(
    listener: TcpListener,
    ops: OpsHandlers,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<()> {
    let stop = stop.shared();
    let server = axum::serve(listener, router(ops)).with_graceful_shutdown(stop.clone());
    let shutdown_deadline = async {
        stop.await;
        tokio::time::sleep(SHUTDOWN_TIMEOUT).await;
    };
    tokio::select! {
        result = server => result.map_err(|source| Error::io("serve operator requests", source)),
        () = shutdown_deadline => Ok(()),
    }
}

fn router(ops: OpsHandlers) -> Router {
    let limits = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(on_timeout))
        .concurrency_limit(MAX_REQUESTS)
        .timeout(RESPONSE_TIMEOUT);
    Router::new()
        .route("/dump", get(dump_all))
        .route("/dump/{name}", get(dump_one))
        .route("/where", get(explain_flow))
        .route("/metrics", get(metrics))
        .route("/live", get(live))
        .route("/ready", get(ready))
        .fallback(path_not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .layer(from_fn(limit_body))
        .layer(limits)
        .with_state(ops)
}

async fn dump_all(State(ops): State<OpsHandlers>) -> Response {
    match (ops.dump)(None).await {
        Some(tables) => Json(tables).into_response(),
        None => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the tables cannot be read",
            "try again, and restart the process if the error persists",
        ),
    }
}

async fn dump_one(
    State(ops): State<OpsHandlers>,
    path: Result<Path<String>, PathRejection>,
) -> Response {
    let Ok(Path(name)) = path else {
        return path_not_found().await;
    };
    match (ops.dump)(Some(Name::from(&*name))).await {
        Some(table) => Json(table).into_response(),
        None => error_response(
            StatusCode::NOT_FOUND,
            format!("unknown table `{name}`"),
            "request /dump for all tables",
        ),
    }
}

/// Parameters of a query.
#[derive(Debug, Deserialize)]
struct WhereParams {
    front: String,
    caller: Option<String>,
}

async fn explain_flow(
    State(ops): State<OpsHandlers>,
    params: Result<Query<WhereParams>, QueryRejection>,
) -> Response {
    let Ok(Query(params)) = params else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "the parameter `front` is missing",
            "use /where?front=FRONT",
        );
    };
    let caller = match params.caller.as_deref().map(inspect::parse_caller) {
        Some(Err(error)) => {
            let remedy = "pass the caller as IP or IP:PORT";
            return error_response(StatusCode::BAD_REQUEST, error.to_string(), remedy);
        }
        Some(Ok(caller)) => Some(caller),
        None => None,
    };
    let query = explain::Query {
        front: params.front.into(),
        caller,
    };
    match (ops.explain)(query).await {
        Ok(explanation) => Json(explanation).into_response(),
        Err(error) => {
            let status = match error {
                QueryError::Busy => StatusCode::TOO_MANY_REQUESTS,
                QueryError::NoAnswer { .. } => StatusCode::SERVICE_UNAVAILABLE,
                QueryError::UnknownFront { .. } => StatusCode::NOT_FOUND,
            };
            let (fault, remedy) = error.describe();
            error_response(status, fault, remedy)
        }
    }
}

async fn metrics(State(ops): State<OpsHandlers>) -> Response {
    match (ops.metrics)().await {
        Some(text) => text.into_response(),
        None => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the metrics cannot be rendered",
            "try again, and restart the process if the error persists",
        ),
    }
}

async fn live() -> &'static str {
    "live\n"
}

async fn ready(State(ops): State<OpsHandlers>) -> Response {
    if (ops.ready)() {
        return "ready\n".into_response();
    }
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "the process does not accept traffic now",
        "see /dump for the reason",
    )
}

async fn path_not_found() -> Response {
    error_response(
        StatusCode::NOT_FOUND,
        "unknown path",
        "use /dump, /dump/NAME, /where, /metrics, /live or /ready",
    )
}

async fn method_not_allowed() -> Response {
    error_response(
        StatusCode::METHOD_NOT_ALLOWED,
        "the server is read-only",
        "use GET",
    )
}

async fn on_timeout(_error: BoxError) -> Response {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "the response took too long",
        "try again, or request one table",
    )
}

/// Rejects requests with a large body, and discards smaller bodies, which are not used.
async fn limit_body(request: Request, next: Next) -> Response {
    let (parts, body) = request.into_parts();
    if to_bytes(body, MAX_BODY_BYTES).await.is_err() {
        return error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request body is too large",
            "send no body",
        );
    }
    next.run(Request::from_parts(parts, Body::empty())).await
}

fn error_response(status: StatusCode, error: impl Into<String>, remedy: &'static str) -> Response {
    let body = ErrorBody {
        error: error.into(),
        remedy,
    };
    (status, Json(body)).into_response()
}
