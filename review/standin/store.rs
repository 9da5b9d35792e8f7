//! The platform's store: items, watches and one revision counter.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Data>, Condvar)>);

/// A listener of the store, which can be closed.
pub struct Listener {
    addr: SocketAddrV4,
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Store {
    /// Writes or removes an item and returns the revision.
    pub fn put(&self, key: &str, value: Option<&str>) -> u64 {
        let mut data = self.0.0.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        let created = data.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            key: key.to_owned(),
            value: value.map(|text| text.as_bytes().to_vec()),
            revision,
            created,
        };
        if value.is_some() {
            data.items.insert(key.to_owned(), item.clone());
        } else {
            data.items.remove(key);
        }
        data.history.push(item);
        self.0.1.notify_all();
        revision
    }

    /// Serves the store at an address until the listener is closed.
    pub fn listen(&self, addr: SocketAddrV4) -> std::io::Result<Listener> {
        let socket = TcpListener::bind(addr)?;
        let listener = Listener {
            addr,
            closed: Arc::default(),
            connections: Arc::default(),
        };
        let (store, closed) = (self.clone(), Arc::clone(&listener.closed));
        let connections = Arc::clone(&listener.connections);
        std::thread::spawn(move || {
            for stream in socket.incoming().flatten() {
                if closed.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    let mut open = connections.lock().unwrap();
                    open.retain(|other| other.peer_addr().is_ok());
                    open.push(copy);
                }
                let store = store.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(listener)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut lines = BufReader::new(stream.try_clone().ok()?);
        let mut out = stream;
        loop {
            let mut first = String::new();
            if lines.read_line(&mut first).ok()? == 0 {
                return None;
            }
            let mut line = String::new();
            while lines.read_line(&mut line).ok()? > 2 {
                line.clear();
            }
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(first.split(' ').nth(1)?);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            out.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found
                .next()
                .map(|(_, value)| unescape(value))
                .unwrap_or_default()
        };
        match path {
            "/-/kv-range" => ("200 OK", self.range(&field("Prefix"), &field("after"))),
            "/-/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
                ("200 OK", self.watch(&field("Prefix"), after, wait))
            }
            "/-/kv-key" => self.key(&field("Key")),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let data = self.0.0.lock().unwrap();
        match data.items.get(key) {
            None => ("404 Not Found", "{}".to_owned()),
            Some(item) => {
                let text = item.json();
                let fields = text.trim_end_matches('}');
                (
                    "200 OK",
                    format!("{fields},\"StoreRevision\":{}}}", data.revision),
                )
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let data = self.0.0.lock().unwrap();
        let items = data.items.values();
        let mut found: Vec<String> = items
            .filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after)
            .map(Item::json)
            .collect();
        let more = found.len() > 500;
        found.truncate(500);
        let items = found.join(",");
        format!(
            "{{\"items\":[{items}],\"HasMore\":{more},\"StoreRevision\":{}}}",
            data.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut data = self.0.0.lock().unwrap();
        loop {
            let news = data.history.iter().filter(|item| item.revision > after);
            let news: Vec<String> = news
                .filter(|item| item.key.starts_with(prefix))
                .map(Item::json)
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let events = news.join(",");
                let revision = data.revision;
                return format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
            }
            data = self.0.1.wait_timeout(data, left).unwrap().0;
        }
    }
}

impl Listener {
    /// Stops serving at this address: open connections are closed and new ones are refused.
    pub fn close(self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Item {
    fn json(&self) -> String {
        let (key, revision) = (&self.key, self.revision);
        match &self.value {
            None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
            Some(value) => format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{revision},\"Created\":{},\"Lease\":0}}",
                base64(value),
                self.created
            ),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 4];
        word[1..=group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes(word);
        for place in 0..4 {
            if place <= group.len() {
                out.push(DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
            let digits = std::str::from_utf8(&digits).unwrap_or("00");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(0));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
