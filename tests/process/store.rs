//! A store of one value, which it serves over HTTP at any number of addresses.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The store; its value is its revision.
#[derive(Clone, Default)]
pub struct Store {
    revision: Arc<Mutex<u64>>,
    written: Arc<Condvar>,
}

/// An address at which a store is served until it is closed.
pub struct Address {
    open_streams: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Store {
    /// Returns a store with a first value.
    pub fn new() -> Self {
        let store = Self::default();
        store.write();
        store
    }

    /// Writes the next value and returns its revision.
    pub fn write(&self) -> u64 {
        let mut revision = lock(&self.revision);
        *revision += 1;
        self.written.notify_all();
        *revision
    }

    /// Serves the store at `addr`.
    pub fn serve(&self, addr: SocketAddr) -> Address {
        let listener = TcpListener::bind(addr).expect("a free address");
        let open_streams = Arc::new(Mutex::new(Some(Vec::new())));
        let (store, streams) = (self.clone(), Arc::clone(&open_streams));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(open) = &mut *lock(&streams) else {
                    return;
                };
                open.push(stream.try_clone().expect("a socket"));
                let store = store.clone();
                thread::spawn(move || store.answer(stream));
            }
        });
        Address { open_streams }
    }

    fn answer(&self, mut stream: TcpStream) {
        let mut lines = BufReader::new(&stream).lines();
        let Some(Ok(request)) = lines.next() else {
            return;
        };
        // The connection is closed with unread headers otherwise, which resets it.
        lines.find(|line| !matches!(line, Ok(line) if !line.is_empty()));
        let body = self.respond(&request);
        let head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length";
        // A client that no longer waits has closed the connection.
        let _ = write!(stream, "{head}: {}\r\n\r\n{body}", body.len());
    }

    /// Answers a range at once, and a watch when its time has passed or a value is newer than
    /// it knows.
    fn respond(&self, request: &str) -> String {
        let Some(after) = number_after(request, "&after=") else {
            return self.page("items");
        };
        let wait = number_after(request, "WaitMs=").unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut revision = lock(&self.revision);
        while *revision <= after && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let waited = self.written.wait_timeout(revision, left);
            revision = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        drop(revision);
        self.page("events")
    }

    fn page(&self, field: &str) -> String {
        let revision = *lock(&self.revision);
        // The value is `{}` in base64.
        format!(
            r#"{{"{field}":[{{"Key":"other","Value":"e30=","Revision":{revision}}}],"HasMore":false,"StoreRevision":{revision}}}"#
        )
    }
}

impl Address {
    /// Ends all connections; new ones are closed at once.
    pub fn close(&self) {
        for stream in lock(&self.open_streams).take().into_iter().flatten() {
            // The client may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Returns the number that follows `name` in a request.
fn number_after(request: &str, name: &str) -> Option<u64> {
    let (_, rest) = request.split_once(name)?;
    let digits = rest.split(|digit: char| !digit.is_ascii_digit()).next()?;
    digits.parse().ok()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
