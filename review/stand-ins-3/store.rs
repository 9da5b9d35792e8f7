//! The platform's store: items, a history of changes and the three reads, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Items in one page of a range.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(String, Item)>,
}

#[derive(Clone, Default)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn serve(&self, addr: SocketAddr) -> std::io::Result<()> {
        self.lock().revision = 100;
        let listener = TcpListener::bind(addr)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.answer(&stream));
            }
        });
        Ok(())
    }

    /// Writes a value, or removes it; the return is the ack.
    pub fn put(&self, key: &str, value: Option<String>) -> u64 {
        let mut data = self.lock();
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |known| known.created);
        let item = Item {
            value: value.map(String::into_bytes),
            revision,
            created,
        };
        if item.value.is_some() {
            data.items.insert(key.to_owned(), item.clone());
        } else {
            data.items.remove(key);
        }
        data.history.push((key.to_owned(), item));
        self.data.1.notify_all();
        revision
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn answer(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream).lines();
        let Some(Ok(request)) = lines.next() else {
            return;
        };
        // The headers are read before the connection is closed; otherwise it would be reset.
        while lines
            .next()
            .is_some_and(|line| line.is_ok_and(|line| !line.is_empty()))
        {}
        let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| unescape(value))
        };
        let (status, body) = match path {
            "/-/kv-range" => (
                "200 OK",
                self.range(
                    &field("Prefix").unwrap_or_default(),
                    &field("after").unwrap_or_default(),
                ),
            ),
            "/-/kv-watch" => {
                let number =
                    |name: &str| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                (
                    "200 OK",
                    self.watch(
                        &field("Prefix").unwrap_or_default(),
                        number("after"),
                        number("WaitMs"),
                    ),
                )
            }
            "/-/kv-key" => match self.item(&field("Key").unwrap_or_default()) {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", "{}".to_owned()),
            },
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let mut stream = stream;
        let _ = write!(
            stream,
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
    }

    fn item(&self, key: &str) -> Option<String> {
        let data = self.lock();
        let text = encode(key, data.items.get(key)?);
        Some(format!(
            "{},\"StoreRevision\":{}}}",
            text.strip_suffix('}')?,
            data.revision
        ))
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let data = self.lock();
        let mut rows = data.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> = rows
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| encode(key, item))
            .collect();
        let has_more = rows.next().is_some();
        format!(
            "{{\"items\":[{}],\"HasMore\":{has_more},\"StoreRevision\":{}}}",
            items.join(","),
            data.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut data = self.lock();
        loop {
            let new = data
                .history
                .iter()
                .filter(|(key, item)| item.revision > after && key.starts_with(prefix));
            let events: Vec<String> = new.map(|(key, item)| encode(key, item)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    data.revision
                );
            }
            data = self
                .data
                .1
                .wait_timeout(data, left)
                .unwrap_or_else(|err| err.into_inner())
                .0;
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    match &item.value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":0}}",
            base64(value),
            item.revision,
            item.created
        ),
        None => format!(
            "{{\"Key\":\"{key}\",\"Revision\":{},\"Deleted\":true}}",
            item.revision
        ),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8(digits).unwrap_or_default();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8(out).unwrap_or_default()
}
