//! Stand-ins for the store, the routers, endpoints and clients, and the hosts as processes.
//!
//! Only the standard library is used, so that `review/build-2.sh` builds it with `rustc` alone.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SYN: u8 = 1;
pub const FIN: u8 = 4;
pub const RST: u8 = 8;
pub const ACK: u8 = 128;

const HEADER_BYTES: usize = 32;
const MAX_DATA: usize = 1_200;

/// Packets that an end may have in flight.
const WINDOW: usize = 16;

/// First and longest time until a packet is sent again.
const FIRST_RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_RETRANSMIT: Duration = Duration::from_millis(1_600);

/// Retransmissions after which an endpoint gives up.
const MAX_RETRANSMISSIONS: u32 = 8;

/// Times of the copies of an opening, and the time at which a client gives up.
const OPENING_TIMES: [u64; 4] = [0, 200, 600, 1_400];

/// Distance from the last acknowledgement within which a client accepts a system's reset.
const RESET_WINDOW: u32 = 76_800;

/// Period in which an endpoint writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const GRACE: Duration = Duration::from_secs(6);
const LANE_PORT: u16 = 8_172;
const READY_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
const PEER_PORTS: (u16, u16) = (7_720, 7_735);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Random numbers (xorshift).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let fold = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    let sum = bytes.iter().fold(0xcbf2_9ce4_8422_2325, fold);
    (sum ^ (sum >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ (sum >> 32)
}

/// The record of a run, and the broken rules.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    broken: Arc<AtomicU64>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            broken: Arc::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} {text}");
    }

    /// Prints a line too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn broken(&self, rule: &str, text: &str) {
        let count = self.broken.fetch_add(1, Ordering::Relaxed);
        self.line(&format!("BROKEN {rule}: {text}"));
        if count < 5 {
            println!(
                "{:8.3} BROKEN {rule}: {text}",
                self.start.elapsed().as_secs_f64()
            );
        }
    }

    pub fn broken_count(&self) -> u64 {
        self.broken.load(Ordering::Relaxed)
    }
}

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ends {
    pub client: SocketAddrV4,
    pub vip: SocketAddrV4,
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub ends: Ends,
    pub to_client: bool,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns the keyed sum over everything but the echo; never zero.
    fn sum(&self) -> u32 {
        let mut bytes = b"stand-in key".to_vec();
        bytes.extend_from_slice(format!("{:?}{}", self.ends, self.to_client).as_bytes());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(&self.ack.to_le_bytes());
        bytes.push(self.flags);
        bytes.extend_from_slice(&self.data);
        ((hash(&bytes) >> 32) as u32).max(1)
    }

    fn encode(&self) -> Vec<u8> {
        let (from, to) = match self.to_client {
            true => (self.ends.vip, self.ends.client),
            false => (self.ends.client, self.ends.vip),
        };
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        bytes.extend_from_slice(&self.ack.to_le_bytes());
        bytes.extend_from_slice(&self.echo.to_le_bytes());
        bytes.extend_from_slice(&self.sum().to_le_bytes());
        bytes.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        bytes.push(self.flags);
        bytes.push(0);
        bytes.extend_from_slice(&to.ip().to_bits().to_le_bytes());
        bytes.extend_from_slice(&to.port().to_le_bytes());
        bytes.extend_from_slice(&from.port().to_le_bytes());
        bytes.extend_from_slice(&from.ip().to_bits().to_le_bytes());
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a packet; returns it with its sum, and whether that is right.
    fn decode(bytes: &[u8], to_client: bool) -> Option<(Self, u32, bool)> {
        let number32 =
            |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let number16 =
            |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let to = SocketAddrV4::new(Ipv4Addr::from_bits(number32(20)?), number16(24)?);
        let from = SocketAddrV4::new(Ipv4Addr::from_bits(number32(28)?), number16(26)?);
        let (client, vip) = if to_client { (to, from) } else { (from, to) };
        let packet = Self {
            ends: Ends { client, vip },
            to_client,
            seq: number32(0)?,
            ack: number32(4)?,
            echo: number32(8)?,
            flags: *bytes.get(18)?,
            data: bytes[HEADER_BYTES..].to_vec(),
        };
        let sum = number32(12)?;
        let is_whole = usize::from(number16(16)?) == packet.data.len();
        let is_right = is_whole && sum == packet.sum();
        Some((packet, sum, is_right))
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<StoreData>, Condvar)>);

#[derive(Default)]
struct StoreData {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Key, revision, and the value unless it was deleted.
    history: Vec<(String, u64, Option<Vec<u8>>)>,
}

impl Store {
    pub fn start(addr: SocketAddrV4) -> std::io::Result<Self> {
        let store = Self(Arc::new((
            Mutex::new(StoreData {
                revision: 100,
                ..StoreData::default()
            }),
            Condvar::new(),
        )));
        let listener = TcpListener::bind(addr)?;
        let serving = store.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut data = lock(&self.0.0);
        data.revision += 1;
        let revision = data.revision;
        data.items
            .insert(key.to_owned(), (revision, value.to_vec()));
        data.history
            .push((key.to_owned(), revision, Some(value.to_vec())));
        self.0.1.notify_all();
        revision
    }

    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.0.0).items.get(key).map(|item| item.1.clone())
    }

    fn serve(&self, mut stream: TcpStream) {
        let Some(target) = read_request(&mut stream) else {
            return;
        };
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let mut fields: HashMap<String, String> = HashMap::new();
        for pair in query.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            fields.insert(name.to_owned(), unescape(value));
        }
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        let (status, body) = match path {
            "/-/kv-range" => (200, self.range(&field("Prefix"), &field("after"))),
            "/-/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
                (
                    200,
                    self.watch(&field("Prefix"), after, wait.min(Duration::from_secs(30))),
                )
            }
            "/-/kv-key" => {
                let data = lock(&self.0.0);
                match data.items.get(&field("Key")) {
                    Some((revision, value)) => {
                        let item = item_json(&field("Key"), *revision, value);
                        let item = &item[..item.len() - 1];
                        (200, format!("{item},\"StoreRevision\":{}}}", data.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        };
        let _ = write!(
            stream,
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let data = lock(&self.0.0);
        let listed = data.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let rows: Vec<String> = listed
            .map(|(key, (revision, value))| item_json(key, *revision, value))
            .collect();
        let (page, more) = (&rows[..rows.len().min(500)], rows.len() > 500);
        format!(
            "{{\"items\":[{}],\"HasMore\":{more},\"StoreRevision\":{}}}",
            page.join(","),
            data.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut data = lock(&self.0.0);
        loop {
            let events: Vec<String> = data
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix))
                .map(|(key, revision, value)| match value {
                    Some(value) => item_json(key, *revision, value),
                    None => {
                        format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = data.revision;
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
            }
            let waited = self.0.1.wait_timeout(data, left);
            data = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item_json(key: &str, revision: u64, value: &[u8]) -> String {
    let text = base64(value);
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{text}\",\"Revision\":{revision},\"Created\":{revision},\"Lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let number = (at(0) << 16) | (at(1) << 8) | at(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (number >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the head of an HTTP request and returns its target.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        head.extend_from_slice(&buffer[..count]);
    }
    let head = String::from_utf8_lossy(&head);
    head.split(' ').nth(1).map(str::to_owned)
}

/// A host: a machine with one process of the system.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    file: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn start_process(&mut self, bin: &Path) -> std::io::Result<()> {
        let log = self.file.with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(bin)
            .arg("relay")
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&&**name)))
            .env("JACINTHHINGE_CONFIG", &self.file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &id]).status();
        }
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Asks the process to stop, and kills it if it is still there after the grace time.
    pub fn stop(&mut self) -> Duration {
        let start = Instant::now();
        self.signal("TERM");
        while !self.has_ended() && start.elapsed() < GRACE {
            sleep(Duration::from_millis(20));
        }
        self.kill();
        start.elapsed()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses of a run, all of them loopback addresses.
#[derive(Clone)]
pub struct Net {
    prefix: [u8; 2],
    pub store: SocketAddrV4,
}

impl Net {
    /// Finds a part of the loopback network whose ports nothing uses.
    pub fn find() -> std::io::Result<Self> {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut rng = Rng::new(seed.as_nanos() as u64 ^ u64::from(std::process::id()));
        for _ in 0..50 {
            let prefix = [20 + rng.below(200) as u8, 1 + rng.below(250) as u8];
            let store = Ipv4Addr::new(127, prefix[0], prefix[1], 250);
            let net = Self {
                prefix,
                store: SocketAddrV4::new(store, 8_169),
            };
            let is_free = |port| TcpListener::bind(SocketAddrV4::new(net.ip(1), port)).is_ok();
            if [READY_PORT, PEER_PORTS.0, 9_464].into_iter().all(is_free)
                && TcpListener::bind(net.store).is_ok()
                && UdpSocket::bind(SocketAddrV4::new(net.ip(1), LANE_PORT)).is_ok()
            {
                return Ok(net);
            }
        }
        Err(std::io::Error::other("no free addresses"))
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], last)
    }
}

/// The routers of the platform: they hash flows over the ready hosts of the client's zone, so
/// that only the flows of a host move when it joins or leaves.
#[derive(Clone, Default)]
pub struct Router(Arc<Mutex<Vec<(Ipv4Addr, String, u32)>>>);

impl Router {
    pub fn add(&self, ip: Ipv4Addr, zone: &str) {
        lock(&self.0).push((ip, zone.to_owned(), 2));
        let router = self.clone();
        spawn(move || {
            loop {
                let ready = is_ready(ip);
                for row in lock(&router.0).iter_mut().filter(|row| row.0 == ip) {
                    row.2 = if ready { 0 } else { row.2 + 1 };
                }
                sleep(Duration::from_millis(500));
            }
        });
    }

    pub fn is_in_rotation(&self, ip: Ipv4Addr) -> bool {
        lock(&self.0).iter().any(|row| row.0 == ip && row.2 < 2)
    }

    fn pick(&self, ends: &Ends, zone: &str) -> SocketAddrV4 {
        let rows = lock(&self.0);
        let ready = |row: &&(Ipv4Addr, String, u32)| row.2 < 2;
        let near: Vec<_> = rows.iter().filter(|row| row.1 == zone).collect();
        let ready_near: Vec<_> = near.iter().copied().filter(ready).collect();
        let chosen = if ready_near.is_empty() {
            rows.iter().filter(ready).collect()
        } else if ready_near.len() * 2 < near.len() {
            near
        } else {
            ready_near
        };
        let weight = |row: &&(Ipv4Addr, String, u32)| hash(format!("{ends:?}{}", row.0).as_bytes());
        let ip = chosen.into_iter().max_by_key(weight).map(|row| row.0);
        SocketAddrV4::new(ip.unwrap_or(rows[0].0), LANE_PORT)
    }
}

fn is_ready(ip: Ipv4Addr) -> bool {
    let addr = SocketAddr::from((ip, READY_PORT));
    let wait = Duration::from_millis(450);
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, wait) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(wait));
    let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == *b"HTTP/1.1 200"
}

/// Everything of a run.
pub struct World {
    pub record: Record,
    pub net: Net,
    pub store: Store,
    pub router: Router,
    pub hosts: Vec<Host>,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub zones: Vec<String>,
    dir: PathBuf,
    bin: PathBuf,
}

impl World {
    pub fn new(bin: &Path, record: Record, zones: &[&str]) -> std::io::Result<Self> {
        let net = Net::find()?;
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let store = Store::start(net.store)?;
        record.line(&format!(
            "store at {}, temporary folder {}",
            net.store,
            dir.display()
        ));
        Ok(Self {
            record,
            store,
            net,
            router: Router::default(),
            hosts: Vec::new(),
            endpoints: Vec::new(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            dir,
            bin: bin.to_owned(),
        })
    }

    /// Adds a host with its settings; its process is not started yet.
    pub fn add_host(&mut self, zone: &str) -> std::io::Result<usize> {
        let number = self.hosts.len() as u8 + 1;
        let ip = self.net.ip(number);
        let name = format!("edge-{zone}-{number}");
        let file = self.dir.join(format!("{name}.json"));
        let mut zones = String::new();
        for zone in &self.zones {
            let _ = write!(
                zones,
                "{}\"{zone}\":\"region-1\"",
                if zones.is_empty() { "" } else { "," }
            );
        }
        let seeds: Vec<String> = (1..=3)
            .map(|last| format!("\"{}:{CONTROL_PORT}\"", self.net.ip(last)))
            .collect();
        let settings = format!(
            r#"{{"NodeName":"{name}","Role":"relay","MachineClass":"edge","Serves":["edge","control_plane"],
"Ip":"{ip}","Zone":"{zone}","Region":"region-1","Zones":{{{zones}}},
"Listen":{{"DatagramAddr":"{ip}:{LANE_PORT}","ReadyAddr":"{ip}:{READY_PORT}","Control":"{ip}:{CONTROL_PORT}"}},
"InternalPorts":[{},{}],"Seeds":[{}],"Bootstrap":true,"InFaultBudget":false,
"Limits":{{"CpuShare":0.5,"Cores":1,"MemoryMb":520,"MaxFds":8200,"LinkMbps":2000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"platform","Entry":"announce","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","recover","flows","platform"],
"FaultTolerance":{{"Machines":2,"Zones":1,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"StableWindowMs":4000,"AckMs":5000,"CatchUpS":4,"DrainMs":3000,"GraceS":6,
"LossSlackMs":200,"ConfigApplyMs":3000,"RollbackSlackMs":250,"OuterMs":12000,"RecoveryS":12,"MisrouteMs":2000,"MaxFlowS":60}},
"Hash":"steady","ForwardingMode":"echo",
"platform":{{"Address":"{}","ForwardingMode":"read","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"MinTtlMs":1000}}}}"#,
            PEER_PORTS.0,
            PEER_PORTS.1,
            seeds.join(","),
            self.net.store,
        );
        std::fs::write(&file, settings)?;
        self.hosts.push(Host {
            name,
            ip,
            zone: zone.to_owned(),
            file,
            child: None,
        });
        Ok(self.hosts.len() - 1)
    }

    /// Starts the process of a host and has routers probe it.
    pub fn start_host(&mut self, index: usize) -> std::io::Result<()> {
        let (bin, router) = (self.bin.clone(), self.router.clone());
        let host = &mut self.hosts[index];
        host.start_process(&bin)?;
        router.add(host.ip, &host.zone);
        self.record
            .line(&format!("host {} starts at {}", host.name, host.ip));
        Ok(())
    }

    /// Starts the process of a host again.
    pub fn restart_host(&mut self, index: usize) -> std::io::Result<()> {
        let bin = self.bin.clone();
        self.record
            .line(&format!("host {} starts again", self.hosts[index].name));
        self.hosts[index].start_process(&bin)
    }

    /// Waits until all hosts with a process are in rotation; returns false after ten seconds.
    pub fn wait_until_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let router = &self.router;
            let mut running = self.hosts.iter().filter(|host| host.child.is_some());
            if running.all(|host| router.is_in_rotation(host.ip)) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn add_endpoint(&mut self, service: &str, zone: &str) -> std::io::Result<Arc<Endpoint>> {
        let number = self.endpoints.len() as u8;
        let ip = self.net.ip(20 + number);
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut rng = Rng::new(seed.as_nanos() as u64 ^ (u64::from(number) << 40));
        let id = (rng.next() as u32) | 0x1000_0000;
        let socket = UdpSocket::bind(SocketAddrV4::new(ip, 8_080))?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let endpoint = Arc::new(Endpoint {
            id: format!("i-{id:08x}"),
            number: u64::from(id),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: SocketAddrV4::new(ip, 8_080),
            born: seed.as_millis() as u64,
            state: Mutex::new(EndpointState {
                rng,
                ..EndpointState::default()
            }),
            draining: AtomicBool::new(false),
            socket,
            store: self.store.clone(),
            record: self.record.clone(),
        });
        endpoint.write_entry();
        let (serving, writing) = (Arc::clone(&endpoint), Arc::clone(&endpoint));
        spawn(move || serving.run());
        spawn(move || {
            loop {
                sleep(HEARTBEAT);
                writing.write_entry();
            }
        });
        self.record.line(&format!(
            "endpoint {} of {service} in {zone} at {}",
            endpoint.id, endpoint.addr
        ));
        self.endpoints.push(Arc::clone(&endpoint));
        Ok(endpoint)
    }

    /// Ends all processes and removes the temporary folder. With `KEEP_LOGS` set, the logs of the
    /// hosts are copied there first.
    pub fn end(mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            for host in &self.hosts {
                let _ = std::fs::write(
                    Path::new(&kept).join(format!("{}.log", host.name)),
                    host.log(),
                );
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// An endpoint: slots, a queue, and the flows that it has accepted.
pub struct Endpoint {
    pub id: String,
    pub number: u64,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddrV4,
    pub born: u64,
    state: Mutex<EndpointState>,
    draining: AtomicBool,
    socket: UdpSocket,
    store: Store,
    record: Record,
}

struct EndpointState {
    flows: HashMap<Ends, ServerFlow>,
    waiting: VecDeque<(Ends, String, Vec<u8>)>,
    working: Vec<(Instant, Ends, String, Vec<u8>)>,
    rng: Rng,
    /// Requests that have run, by id.
    runs: HashMap<String, u32>,
    /// Flows that both ends have closed, with the time of that.
    ended: HashMap<Ends, Instant>,
    /// Openings that it ignored because it was full.
    refused: u64,
}

impl Default for EndpointState {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            waiting: VecDeque::new(),
            working: Vec::new(),
            rng: Rng::new(1),
            runs: HashMap::new(),
            ended: HashMap::new(),
            refused: 0,
        }
    }
}

struct ServerFlow {
    is_open: bool,
    recv_next: u32,
    /// Sequence number of the next byte to send.
    send_next: u32,
    /// Data that the client has not acknowledged, with its sequence number.
    unacked: VecDeque<(u32, Vec<u8>)>,
    next_retransmit: Instant,
    retransmissions: u32,
    received: Vec<u8>,
    unacked_packets: u32,
    echo: u32,
    client_closed: bool,
    own_fin: Option<u32>,
}

/// Requests that an endpoint executes at once, and flows that it holds (`MaxConns`).
const SLOTS: usize = 2;
pub const MAX_CONNS: usize = 2_000;

impl Endpoint {
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn entry(&self) -> String {
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Concurrency":{SLOTS},"State":"{state}","WarmupLeftMs":0,"SeqNo":1,"born":{}}}"#,
            self.service, self.addr, self.zone, self.born
        )
    }

    /// Writes the entry. The store's entry changes only if more than `SeqNo` does.
    fn write_entry(&self) {
        let entry = self.entry().into_bytes();
        if self.store.get(&self.key()).as_ref() != Some(&entry) {
            self.store.put(&self.key(), &entry);
            self.record
                .line(&format!("endpoint {} writes its entry", self.id));
        }
    }

    /// Returns true if the endpoint has this flow open.
    pub fn holds(&self, ends: &Ends) -> bool {
        lock(&self.state)
            .flows
            .get(ends)
            .is_some_and(|flow| flow.is_open)
    }

    /// Returns the number of its flows, and of the openings that it ignored because it was full.
    pub fn fill(&self) -> (usize, u64) {
        let state = lock(&self.state);
        (state.flows.len(), state.refused)
    }

    fn run(&self) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((size, from)) = self.socket.recv_from(&mut buffer) {
                self.receive(&buffer[..size], from);
            }
            self.work();
            self.retransmit();
        }
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        let Some((number, bytes)) = bytes.split_first_chunk::<8>() else {
            return;
        };
        let number = u64::from_be_bytes(*number);
        let Some((packet, _, is_right)) = Packet::decode(bytes, false) else {
            self.record.broken(
                "UNASKED",
                &format!("endpoint {} got an odd packet", self.id),
            );
            return;
        };
        if !is_right {
            let text = format!(
                "endpoint {} got a forged packet of {:?}",
                self.id, packet.ends
            );
            self.record.broken("UNASKED", &text);
            return;
        }
        if number != 0 && number != self.number {
            return;
        }
        let mut state = lock(&self.state);
        let ends = packet.ends;
        if packet.has(RST) {
            state.flows.remove(&ends);
            return;
        }
        if packet.has(SYN) {
            let start = state.rng.next() as u32;
            if state.flows.len() >= MAX_CONNS && !state.flows.contains_key(&ends) {
                // A full endpoint sends nothing.
                state.refused += 1;
                return;
            }
            state.ended.remove(&ends);
            let flow = state.flows.entry(ends).or_insert_with(|| ServerFlow {
                is_open: false,
                recv_next: packet.seq.wrapping_add(1),
                send_next: start,
                unacked: VecDeque::new(),
                next_retransmit: Instant::now(),
                retransmissions: 0,
                received: Vec::new(),
                unacked_packets: 0,
                echo: packet.echo,
                client_closed: false,
                own_fin: None,
            });
            if flow.recv_next != packet.seq.wrapping_add(1) {
                // A new flow from a port whose earlier flow this endpoint still knows.
                *flow = ServerFlow {
                    is_open: false,
                    recv_next: packet.seq.wrapping_add(1),
                    send_next: start,
                    unacked: VecDeque::new(),
                    received: Vec::new(),
                    retransmissions: 0,
                    unacked_packets: 0,
                    client_closed: false,
                    own_fin: None,
                    next_retransmit: Instant::now(),
                    echo: packet.echo,
                };
            }
            flow.echo = packet.echo;
            let seq = match flow.is_open {
                true => flow.send_next.wrapping_sub(1),
                false => flow.send_next,
            };
            let (ack, echo) = (flow.recv_next, flow.echo);
            self.send(ends, SYN | ACK, seq, ack, echo, Vec::new());
            return;
        }
        let flow = state.flows.get_mut(&ends);
        let is_known =
            |flow: &&mut ServerFlow| flow.is_open || packet.ack == flow.send_next.wrapping_add(1);
        let Some(flow) = flow.filter(is_known) else {
            let has_ended = state
                .ended
                .get(&ends)
                .is_some_and(|at| at.elapsed() < GRACE);
            if has_ended && packet.data.is_empty() {
                if packet.has(FIN) {
                    let ack = packet.seq.wrapping_add(1);
                    self.send(ends, ACK, packet.ack, ack, packet.echo, Vec::new());
                }
                return;
            }
            drop(state);
            self.record.line(&format!(
                "endpoint {} does not hold {:?} (packet through {from}) and resets it",
                self.id, ends
            ));
            self.send(ends, RST, packet.ack, packet.seq, packet.echo, Vec::new());
            return;
        };
        if !flow.is_open {
            flow.is_open = true;
            flow.send_next = flow.send_next.wrapping_add(1);
            self.record.line(&format!(
                "flow {ends:?} opens at endpoint {} of {}",
                self.id, self.service
            ));
        }
        flow.echo = packet.echo;
        while let Some((seq, data)) = flow.unacked.front() {
            let end = seq.wrapping_add(data.len() as u32);
            if packet.ack.wrapping_sub(end) >= 1 << 31 {
                break;
            }
            flow.unacked.pop_front();
            flow.retransmissions = 0;
            flow.next_retransmit = Instant::now() + FIRST_RETRANSMIT;
        }
        let mut must_ack = false;
        if !packet.data.is_empty() {
            flow.unacked_packets += 1;
            if packet.seq == flow.recv_next {
                flow.recv_next = flow.recv_next.wrapping_add(packet.data.len() as u32);
                flow.received.extend_from_slice(&packet.data);
            }
            must_ack = flow.unacked_packets.is_multiple_of(2);
        }
        if packet.has(FIN) {
            flow.client_closed = true;
            must_ack = true;
        }
        let whole = take_message(&mut flow.received);
        let (seq, ack, echo) = (flow.send_next, flow.recv_next, flow.echo);
        let closes = flow.client_closed && flow.own_fin.is_none();
        if closes {
            flow.own_fin = Some(seq);
        }
        if let Some((head, body)) = whole {
            state.waiting.push_back((ends, head, body));
        }
        if closes {
            self.send(ends, FIN | ACK, seq, ack, echo, Vec::new());
            state.flows.remove(&ends);
            state.ended.insert(ends, Instant::now());
        } else if must_ack {
            self.send(ends, ACK, seq, ack, echo, Vec::new());
        }
    }

    /// Starts and ends requests.
    fn work(&self) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        while state.working.len() < SLOTS {
            let Some((ends, head, body)) = state.waiting.pop_front() else {
                break;
            };
            if !state.flows.contains_key(&ends) {
                continue;
            }
            let id = header(&head, "X-Request-Id").unwrap_or_default();
            *state.runs.entry(id.clone()).or_default() += 1;
            let line = head.lines().next().unwrap_or_default().to_owned();
            self.record.line(&format!(
                "run {id} ({line}) at {} of {}",
                self.id, self.service
            ));
            let route = header(&head, "X-Route-Of").unwrap_or_default();
            if route != self.service && !route.split(' ').any(|one| one == self.service) {
                self.record.broken(
                    "ROUTE",
                    &format!(
                        "request {id} of a route to {route} was run by endpoint {} of {}",
                        self.id, self.service
                    ),
                );
            }
            let work = header(&head, "X-Work-Ms")
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(25);
            state
                .working
                .push((now + Duration::from_millis(work), ends, id, body));
        }
        let (done, left): (Vec<_>, Vec<_>) = std::mem::take(&mut state.working)
            .into_iter()
            .partition(|row| row.0 <= now);
        state.working = left;
        for (_, ends, id, body) in done {
            let Some(flow) = state.flows.get_mut(&ends) else {
                continue;
            };
            let text = format!("{id} {}", body.len());
            let signature = signature(&text);
            let data = format!(
                "HTTP/1.1 200 OK\r\nX-Response-Signature: {signature}\r\nX-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            let seq = flow.send_next;
            flow.send_next = seq.wrapping_add(data.len() as u32);
            flow.unacked.push_back((seq, data.clone().into_bytes()));
            flow.next_retransmit = now + FIRST_RETRANSMIT;
            flow.retransmissions = 0;
            let (ack, echo) = (flow.recv_next, flow.echo);
            self.record.line(&format!("answer {id} from {}", self.id));
            self.send(ends, ACK, seq, ack, echo, data.into_bytes());
        }
    }

    fn retransmit(&self) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let mut given_up = Vec::new();
        for (ends, flow) in &mut state.flows {
            let Some((seq, data)) = flow.unacked.front().cloned() else {
                continue;
            };
            if now < flow.next_retransmit {
                continue;
            }
            flow.retransmissions += 1;
            if flow.retransmissions > MAX_RETRANSMISSIONS {
                given_up.push(*ends);
                continue;
            }
            let pause = FIRST_RETRANSMIT * (1 << flow.retransmissions.min(3));
            flow.next_retransmit = now + pause.min(MAX_RETRANSMIT);
            self.send(*ends, ACK, seq, flow.recv_next, flow.echo, data);
        }
        for ends in given_up {
            state.flows.remove(&ends);
        }
    }

    fn send(&self, ends: Ends, flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>) {
        let packet = Packet {
            ends,
            to_client: true,
            seq,
            ack,
            echo,
            flags,
            data,
        };
        let to = SocketAddrV4::new(*ends.client.ip(), LANE_PORT);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn signature(text: &str) -> String {
    format!("{:016x}", hash(format!("endpoint key {text}").as_bytes()))
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(field, _)| *field == name);
    found.map(|(_, value)| value.to_owned())
}

/// Takes a whole HTTP message from the start of the buffer: its head and its body.
fn take_message(buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let end = buffer.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length: usize =
        header(&head, "Content-Length").map_or(Some(0), |text| text.parse().ok())?;
    if buffer.len() < end + length {
        return None;
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some((head, body))
}

type Inboxes = Arc<Mutex<HashMap<Ends, Sender<(Packet, u32, bool)>>>>;

/// A machine of clients.
#[derive(Clone)]
pub struct ClientHost {
    pub zone: String,
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    inboxes: Inboxes,
    router: Router,
    record: Record,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    Answered,
    /// The system reset the open flow.
    SystemReset,
    /// An endpoint reset the flow.
    EndpointReset,
    /// No answer before the deadline.
    Deadline,
}

/// An open flow.
pub struct Flow {
    pub ends: Ends,
    pub opened: Instant,
    host: ClientHost,
    inbox: Receiver<(Packet, u32, bool)>,
    seq: u32,
    ack: u32,
    echo: u32,
    received: Vec<u8>,
    /// Set once the flow has ended.
    pub over: Option<Outcome>,
}

impl ClientHost {
    pub fn start(world: &World, number: u8, zone: &str) -> std::io::Result<Self> {
        let ip = world.net.ip(150 + number);
        let host = Self {
            zone: zone.to_owned(),
            ip,
            socket: Arc::new(UdpSocket::bind(SocketAddrV4::new(ip, LANE_PORT))?),
            inboxes: Inboxes::default(),
            router: world.router.clone(),
            record: world.record.clone(),
        };
        let receiving = host.clone();
        spawn(move || receiving.receive());
        Ok(host)
    }

    fn receive(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((size, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some((packet, sum, is_right)) = Packet::decode(&buffer[..size], true) else {
                self.record.broken("MIXED", "a client got an odd packet");
                continue;
            };
            let is_system_reset = packet.has(RST) && sum == 0 && packet.data.is_empty();
            if !is_right && !is_system_reset {
                let text = format!("a client got a forged packet of {:?}", packet.ends);
                self.record.broken("MIXED", &text);
                continue;
            }
            if let Some(flow) = lock(&self.inboxes).get(&packet.ends) {
                let _ = flow.send((packet, sum, is_right));
            }
        }
    }

    fn send(&self, packet: &Packet) {
        let to = self.router.pick(&packet.ends, &self.zone);
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    /// Opens a flow from a port.
    pub fn open(&self, port: u16, vip: SocketAddrV4, rng: &mut Rng) -> Option<Flow> {
        let ends = Ends {
            client: SocketAddrV4::new(self.ip, port),
            vip,
        };
        let (sender, inbox) = channel();
        lock(&self.inboxes).insert(ends, sender);
        let mut flow = Flow {
            ends,
            opened: Instant::now(),
            host: self.clone(),
            inbox,
            seq: rng.next() as u32,
            ack: 0,
            echo: 0,
            received: Vec::new(),
            over: None,
        };
        let start = Instant::now();
        for (copies, window) in OPENING_TIMES.windows(2).enumerate() {
            flow.send(SYN, flow.seq, copies as u32, Vec::new());
            let until = start + Duration::from_millis(window[1]);
            loop {
                let left = until.saturating_duration_since(Instant::now());
                let Ok((packet, ..)) = flow.inbox.recv_timeout(left) else {
                    break;
                };
                if packet.has(RST) {
                    return None;
                }
                if packet.has(SYN) && packet.ack == flow.seq.wrapping_add(1) {
                    flow.seq = packet.ack;
                    flow.ack = packet.seq.wrapping_add(1);
                    flow.echo = packet.echo;
                    flow.opened = Instant::now();
                    flow.send(ACK, flow.seq, flow.ack, Vec::new());
                    return Some(flow);
                }
            }
        }
        None
    }
}

impl Flow {
    fn send(&self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let echo = if flags == SYN { 0 } else { self.echo };
        self.host.send(&Packet {
            ends: self.ends,
            to_client: false,
            seq,
            ack,
            echo,
            flags,
            data,
        });
    }

    /// Takes a packet; returns true if it acknowledges more data or brings some.
    fn take(&mut self, packet: &Packet, sum: u32, acked: &mut u32) -> bool {
        if packet.has(RST) {
            if sum != 0 {
                self.over = Some(Outcome::EndpointReset);
            } else if packet.seq.wrapping_sub(self.ack).wrapping_add(RESET_WINDOW)
                <= 2 * RESET_WINDOW
            {
                self.over = Some(Outcome::SystemReset);
            }
            return true;
        }
        if packet.has(SYN) {
            // The answer of another endpoint to a copy of the opening.
            return false;
        }
        self.echo = packet.echo;
        let mut is_news = false;
        if packet.ack.wrapping_sub(*acked) < 1 << 31 && packet.ack != *acked {
            *acked = packet.ack;
            is_news = true;
        }
        if !packet.data.is_empty() {
            if packet.seq == self.ack {
                self.ack = self.ack.wrapping_add(packet.data.len() as u32);
                self.received.extend_from_slice(&packet.data);
            }
            is_news = true;
        }
        is_news
    }

    /// Makes a request on the flow. `route_of` names the services to which its route may go.
    pub fn request(
        &mut self,
        id: &str,
        route_of: &str,
        work_ms: u64,
        body: usize,
        deadline: Duration,
    ) -> Outcome {
        let until = Instant::now() + deadline;
        let text = format!(
            "POST /work HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Route-Of: {route_of}\r\nX-Work-Ms: {work_ms}\r\nContent-Length: {body}\r\n\r\n{}",
            self.ends.vip,
            "x".repeat(body)
        );
        self.host
            .record
            .line(&format!("send {id} on {:?}", self.ends));
        let outcome = self.exchange(text.as_bytes(), id, until);
        self.host.record.line(&format!("ended {id}: {outcome:?}"));
        outcome
    }

    fn exchange(&mut self, data: &[u8], id: &str, until: Instant) -> Outcome {
        let start = self.seq;
        let end = start.wrapping_add(data.len() as u32);
        let mut acked = start;
        let mut sent = start;
        let mut pause = FIRST_RETRANSMIT;
        let mut resend_at = Instant::now() + pause;
        loop {
            if let Some(over) = &self.over {
                return over.clone();
            }
            while sent != end && (sent.wrapping_sub(acked) as usize) < WINDOW * MAX_DATA {
                let from = sent.wrapping_sub(start) as usize;
                let chunk = &data[from..data.len().min(from + MAX_DATA)];
                self.send(ACK, sent, self.ack, chunk.to_vec());
                sent = sent.wrapping_add(chunk.len() as u32);
            }
            let wait = resend_at
                .min(until)
                .saturating_duration_since(Instant::now());
            match self.inbox.recv_timeout(wait) {
                Ok((packet, sum, _)) => {
                    if self.take(&packet, sum, &mut acked) {
                        pause = FIRST_RETRANSMIT;
                        resend_at = Instant::now() + pause;
                    }
                    if let Some(over) = &self.over {
                        return over.clone();
                    }
                    if let Some((head, body)) = take_message(&mut self.received) {
                        self.seq = end;
                        self.send(ACK, end, self.ack, Vec::new());
                        let body = String::from_utf8_lossy(&body).into_owned();
                        let is_own = header(&head, "X-Request-Id").as_deref() == Some(id);
                        let is_signed =
                            header(&head, "X-Response-Signature") == Some(signature(&body));
                        if !is_own || !is_signed {
                            self.host
                                .record
                                .broken("MIXED", &format!("{id} got another answer: {head}"));
                        }
                        return Outcome::Answered;
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return Outcome::Deadline,
                Err(RecvTimeoutError::Timeout) => {
                    if Instant::now() >= until {
                        self.over = Some(Outcome::Deadline);
                        return Outcome::Deadline;
                    }
                    if acked != end {
                        sent = acked;
                    }
                    pause = (pause * 2).min(MAX_RETRANSMIT);
                    resend_at = Instant::now() + pause;
                }
            }
        }
    }

    /// Closes the flow: both ends send a FIN.
    pub fn close(&mut self) {
        for _ in 0..5 {
            self.send(FIN | ACK, self.seq, self.ack, Vec::new());
            let until = Instant::now() + FIRST_RETRANSMIT;
            loop {
                let left = until.saturating_duration_since(Instant::now());
                let Ok((packet, ..)) = self.inbox.recv_timeout(left) else {
                    break;
                };
                if packet.has(FIN) || packet.has(RST) {
                    self.send(
                        ACK,
                        self.seq.wrapping_add(1),
                        packet.seq.wrapping_add(1),
                        Vec::new(),
                    );
                    return;
                }
            }
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        lock(&self.host.inboxes).remove(&self.ends);
    }
}

/// Returns a route of a desired state.
pub fn route(name: &str, vip: SocketAddrV4, kind: &str, service: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Host":"{}","Prefix":"/{}/","Type":"{kind}","TimeoutMs":2500,"TargetLatencyMs":250,"Priority":1,"Service":"{service}","MaxAttempts":2}}"#,
        vip.ip(),
        vip.port()
    )
}

/// Returns a desired state.
pub fn desired(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
