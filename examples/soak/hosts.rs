//! Hosts as separate processes, and the routers that hand them callers' packets.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::checker::{Checker, FaultTarget};
use crate::packet::Flow;

/// Ports of each host on its own address.
pub const LANE: u16 = 27_000;
const READY: u16 = 27_001;
const CONTROL: u16 = 27_002;
const PEERS: (u16, u16) = (27_010, 27_020);
const OPS: u16 = 27_030;

/// Time between two probes of a host's readiness, and the misses that take it out.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

/// Age from which a process takes signals, on a busy machine.
const BEGUN: Duration = Duration::from_secs(1);

/// Time that a host has to leave after SIGTERM.
pub const GRACE: Duration = Duration::from_secs(6);

/// Where a host runs.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
}

/// A host's process.
pub struct Host {
    pub place: Place,
    child: Option<Child>,
    leaving: Option<JoinHandle<()>>,
    started: Instant,
    file: PathBuf,
    bin: PathBuf,
    checker: Checker,
}

impl Host {
    /// Writes a host's settings; it does not run yet.
    pub fn new(
        place: Place,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        dir: &Path,
        bin: &Path,
        checker: Checker,
    ) -> std::io::Result<Self> {
        let host = Self {
            file: dir.join(format!("{}.json", place.name)),
            place,
            child: None,
            leaving: None,
            started: Instant::now(),
            bin: bin.to_owned(),
            checker,
        };
        host.write(seeds, store)?;
        Ok(host)
    }

    pub fn write(&self, seeds: &[Ipv4Addr], store: SocketAddr) -> std::io::Result<()> {
        let at = |port| SocketAddr::from((self.place.ip, port));
        let seeds: Vec<_> = seeds
            .iter()
            .map(|ip| SocketAddr::from((*ip, CONTROL)))
            .collect();
        let settings: Value = json!({
            "NodeName": self.place.name, "Ip": self.place.ip, "Zone": self.place.zone,
            "Region": "loop", "Seeds": seeds, "InternalPorts": [PEERS.0, PEERS.1],
            "Listen": {"DatagramAddr": at(LANE), "ReadyAddr": at(READY), "Control": at(CONTROL)},
            "Bounds": {"GraceS": GRACE.as_secs()}, "platform": {"Address": store},
        });
        std::fs::write(&self.file, settings.to_string())
    }

    /// Leaves half of the settings, as a writer does that is cut short.
    pub fn spoil(&self) -> std::io::Result<()> {
        std::fs::write(&self.file, "{\"NodeName\": ")
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        self.checker.end_fault(FaultTarget::Host(self.place.ip));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"))?;
        let child = Command::new(&self.bin)
            .arg("relay")
            .arg("--settings")
            .arg(&self.file)
            .args(["--ops-port", &OPS.to_string()])
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // The process may have ended by itself, which `has_ended` finds.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) {
        self.checker.begin_fault(FaultTarget::Host(self.place.ip));
        if let Some(leaving) = self.leaving.take() {
            // It ends within the time that it has.
            let _ = leaving.await;
        }
        if let Some(mut child) = self.child.take() {
            // An error means that it has ended already.
            let _ = child.kill().await;
        }
    }

    /// Asks the process to leave; it owes that in time and with success.
    pub fn leave(&mut self) {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return;
        };
        let (checker, name) = (self.checker.clone(), self.place.name.clone());
        // The kernel ends a process that has not begun to take signals.
        let begun = self.started.elapsed() >= BEGUN;
        self.leaving = Some(tokio::spawn(async move {
            let status = timeout(GRACE, child.wait()).await;
            let left = status.is_ok_and(|status| status.is_ok_and(|s| s.success() || !begun));
            if !left {
                let details = format!("{name} did not leave in time");
                checker.lock().report_violation("stop", &details);
            }
        }));
    }

    /// True when a process that should run has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Last lines of its log.
    pub fn log(&self) -> PathBuf {
        self.file.with_extension("log")
    }
}

struct Member {
    ip: Ipv4Addr,
    misses: u32,
}

/// Picks a host for each flow among those in rotation.
#[derive(Clone, Default)]
pub struct Router(Arc<Mutex<Vec<Member>>>);

impl Router {
    /// Adds a host and probes it from now on.
    pub fn add(&self, ip: Ipv4Addr) {
        self.members().push(Member { ip, misses: MISSES });
        let router = self.clone();
        tokio::spawn(async move {
            loop {
                let answer = timeout(PROBE_PERIOD, is_ready(ip)).await;
                let ready = matches!(answer, Ok(Ok(true)));
                if let Some(member) = router.members().iter_mut().find(|m| m.ip == ip) {
                    member.misses = if ready { 0 } else { member.misses + 1 };
                }
                sleep(PROBE_PERIOD).await;
            }
        });
    }

    fn members(&self) -> MutexGuard<'_, Vec<Member>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of the host that gets a flow's packets.
    pub fn pick(&self, flow: &Flow) -> SocketAddr {
        let members = self.members();
        let in_rotation = members.iter().filter(|m| m.misses < MISSES);
        let few = in_rotation.count() * 2 < members.len();
        let usable = members.iter().filter(|m| few || m.misses < MISSES);
        let weight = |m: &&Member| xxh3_64(format!("{flow:?}{}", m.ip).as_bytes());
        let host = usable.max_by_key(weight);
        let ip = host.map_or(Ipv4Addr::LOCALHOST, |member| member.ip);
        SocketAddr::from((ip, LANE))
    }
}

async fn is_ready(ip: Ipv4Addr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect((ip, READY)).await?;
    let ask = format!("GET /-/readiness HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
    stream.write_all(ask.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}
