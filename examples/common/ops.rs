//! HTTP port of a stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};

use axum::Router;
use jacinthhinge::prelude::*;
use tokio::net::TcpListener;

/// State that the socket loop and the HTTP handlers of one process share.
pub type Shared<T> = Arc<Mutex<T>>;

/// Locks the shared state, also after a handler panicked.
pub fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the routes until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(addr: SocketAddr, routes: Router) -> Result<()> {
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|source| Error::io("bind the HTTP port", source))?;
    axum::serve(listener, routes)
        .await
        .map_err(|source| Error::io("serve the HTTP port", source))
}
