//! HTTP port and shared state of the simulated processes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use axum::Router;
use jacinthhinge::prelude::*;
use tokio::net::TcpListener;

/// State shared by the socket loop and the HTTP handlers of one process.
pub type Shared<T> = Arc<Mutex<T>>;

/// Locks the shared state, even if a handler has panicked while holding the lock.
pub fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves the routes until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(addr: SocketAddr, routes: Router) -> Result<()> {
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|source| Error::io("bind the HTTP port", source))?;
    axum::serve(listener, routes)
        .await
        .map_err(|source| Error::io("serve the HTTP port", source))
}
