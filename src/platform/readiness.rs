//! Readiness probe, by which routers learn whether a host accepts traffic.

use std::net::SocketAddr;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;

use crate::error::{Error, Result};
use crate::front::ops::ReadyCheck;

/// URL path of the probe.
const PATH: &str = "/-/readiness";

/// Serves the readiness probe on `addr` until an error occurs.
///
/// # Errors
///
/// Returns an error when the listener cannot be bound to the address, or when serving fails.
pub async fn run(addr: SocketAddr, ready: ReadyCheck) -> Result<()> {
    let failed = |source| Error::io("listen for readiness probes", source);
    let listener = TcpListener::bind(addr).await.map_err(failed)?;
    let routes = Router::new().route(PATH, get(answer)).with_state(ready);
    axum::serve(listener, routes).await.map_err(failed)
}

async fn answer(State(ready): State<ReadyCheck>) -> StatusCode {
    if ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
