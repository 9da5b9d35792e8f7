//! Hosts as separate processes, and the router that distributes flows over them.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
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

use crate::ZONES;
use crate::ledger::{Checker, FaultTarget};
use crate::packet::Flow;

/// Ports that every host uses on its own address.
pub const LANE_PORT: u16 = 27_000;
const READY_PORT: u16 = 27_001;
const CONTROL_PORT: u16 = 27_002;
const PEER_PORTS: (u16, u16) = (27_010, 27_020);
const OPS_PORT: u16 = 27_030;

/// Time between two readiness probes of a host, which is also their timeout, and the
/// number of consecutive failures that take the host out of rotation.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const MAX_FAILED_PROBES: u32 = 2;

/// Age from which a process has its signal handlers installed, even on a busy machine.
const SIGNAL_HANDLING_AGE: Duration = Duration::from_secs(1);

/// Time from which a write of a settings file is reported: it delays the faults planned after it.
const SLOW_WRITE_TIME: Duration = Duration::from_millis(200);

/// Region of all zones.
const REGION: &str = "loop";

/// Time within which a host must exit after SIGTERM.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Name, address and availability zone of a host.
#[derive(Clone, Debug)]
pub struct HostSpec {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
}

/// A host and its process, if that is running.
pub struct Host {
    pub spec: HostSpec,
    child: Option<Child>,
    exit_check: Option<JoinHandle<()>>,
    started: Instant,
    settings_file: PathBuf,
    bin: PathBuf,
    checker: Checker,
}

impl Host {
    /// Creates a host and writes its settings without starting the process.
    ///
    /// # Errors
    ///
    /// Fails if the settings file cannot be written.
    pub fn new(
        spec: HostSpec,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        dir: &Path,
        bin: &Path,
        checker: Checker,
    ) -> std::io::Result<Self> {
        let host = Self {
            settings_file: dir.join(format!("{}.json", spec.name)),
            spec,
            child: None,
            exit_check: None,
            started: Instant::now(),
            bin: bin.to_owned(),
            checker,
        };
        std::fs::write(&host.settings_file, host.settings_text(seeds, store))?;
        Ok(host)
    }

    /// Replaces the settings by valid ones.
    pub async fn write_settings(
        &self,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> std::io::Result<()> {
        self.write_file(self.settings_text(seeds, store)).await
    }

    /// Replaces the settings by an incomplete file, as an interrupted writer leaves it.
    pub async fn truncate_settings(&self) -> std::io::Result<()> {
        self.write_file("{\"NodeName\": ".to_owned()).await
    }

    /// Writes the settings file in another thread: closing a file that was truncated can wait for
    /// the disk. That took 9.5 s beside running builds, in which the soak itself stood still.
    async fn write_file(&self, text: String) -> std::io::Result<()> {
        let (file, started_at) = (self.settings_file.clone(), Instant::now());
        let written = tokio::task::spawn_blocking(move || std::fs::write(file, text));
        let result = written.await.map_err(std::io::Error::other)?;
        let elapsed = started_at.elapsed();
        if elapsed > SLOW_WRITE_TIME {
            println!("          writing the settings took {elapsed:?} and delays the faults");
        }
        result
    }

    fn settings_text(&self, seeds: &[Ipv4Addr], store: SocketAddr) -> String {
        let at = |port| SocketAddr::from((self.spec.ip, port));
        let seeds: Vec<_> = seeds
            .iter()
            .map(|ip| SocketAddr::from((*ip, CONTROL_PORT)))
            .collect();
        let zones = ZONES.map(|zone| (zone.to_owned(), Value::from(REGION)));
        let zones = Value::Object(zones.into_iter().collect());
        let settings: Value = json!({
            "NodeName": self.spec.name, "Ip": self.spec.ip, "Zone": self.spec.zone,
            "Region": REGION, "Zones": zones, "Seeds": seeds, "InternalPorts": [PEER_PORTS.0, PEER_PORTS.1],
            "Listen": {"DatagramAddr": at(LANE_PORT), "ReadyAddr": at(READY_PORT), "Control": at(CONTROL_PORT)},
            "Bounds": {"GraceS": GRACE_PERIOD.as_secs()}, "platform": {"Address": store},
        });
        settings.to_string()
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        self.checker.end_fault(FaultTarget::Host(self.spec.ip));
        let log_file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings_file.with_extension("log"))?;
        let child = Command::new(&self.bin)
            .arg("relay")
            .arg("--settings")
            .arg(&self.settings_file)
            .args(["--ops-port", &OPS_PORT.to_string()])
            .stdout(Stdio::from(log_file.try_clone()?))
            .stderr(Stdio::from(log_file))
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
            // The process may already have exited, which `has_exited` detects.
            let _ = kill_process(pid, signal);
        }
    }

    /// Continues the process after a pause. A host that was killed meanwhile stays down.
    pub fn resume(&self) {
        if self.child.is_some() {
            self.checker.end_fault(FaultTarget::Host(self.spec.ip));
            self.signal(Signal::CONT);
        }
    }

    /// Kills the process and waits for its exit.
    pub async fn kill(&mut self) {
        self.checker.begin_fault(FaultTarget::Host(self.spec.ip));
        if let Some(exit_check) = self.exit_check.take() {
            // The task ends within the grace period; it reports failures itself.
            let _ = exit_check.await;
        }
        if let Some(mut child) = self.child.take() {
            // An error means that the process has already exited.
            let _ = child.kill().await;
        }
    }

    /// Sends SIGTERM to the process, which must exit successfully within the grace period.
    pub fn terminate(&mut self) {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return;
        };
        let (checker, name) = (self.checker.clone(), self.spec.name.clone());
        let ip = self.spec.ip;
        // SIGTERM ends a process that has not installed its handler yet, with an exit
        // status that is no success.
        let handles_signals = self.started.elapsed() >= SIGNAL_HANDLING_AGE;
        self.exit_check = Some(tokio::spawn(async move {
            let status = timeout(GRACE_PERIOD, child.wait()).await;
            // From its exit on, packets to the host are lost.
            checker.begin_fault(FaultTarget::Host(ip));
            let stopped_cleanly =
                status.is_ok_and(|status| status.is_ok_and(|s| s.success() || !handles_signals));
            if !stopped_cleanly {
                let details = format!("{name} did not exit successfully within the grace period");
                checker.lock().report_violation("stop", &details);
            }
        }));
    }

    /// Returns true if a process that should be running has exited.
    pub fn has_exited(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the path of the log file.
    pub fn log_path(&self) -> PathBuf {
        self.settings_file.with_extension("log")
    }
}

/// A host with its number of consecutive failed probes.
struct ProbedHost {
    ip: Ipv4Addr,
    failed_probes: u32,
}

/// Assigns flows to the hosts in rotation by rendezvous hashing.
#[derive(Clone, Default)]
pub struct Router(Arc<Mutex<Vec<ProbedHost>>>);

impl Router {
    /// Adds a host and starts probing it.
    pub fn add(&self, ip: Ipv4Addr) {
        self.probed_hosts().push(ProbedHost {
            ip,
            failed_probes: MAX_FAILED_PROBES,
        });
        let router = self.clone();
        tokio::spawn(async move {
            loop {
                let answer = timeout(PROBE_PERIOD, is_ready(ip)).await;
                let ready = matches!(answer, Ok(Ok(true)));
                if let Some(probed) = router.probed_hosts().iter_mut().find(|m| m.ip == ip) {
                    probed.failed_probes = if ready { 0 } else { probed.failed_probes + 1 };
                }
                sleep(PROBE_PERIOD).await;
            }
        });
    }

    fn probed_hosts(&self) -> MutexGuard<'_, Vec<ProbedHost>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of the host that receives a flow's packets. All hosts are used
    /// while more than half of them are out of rotation.
    pub fn pick_host(&self, flow: &Flow) -> SocketAddrV4 {
        let probed_hosts = self.probed_hosts();
        let ready_hosts = probed_hosts
            .iter()
            .filter(|m| m.failed_probes < MAX_FAILED_PROBES);
        let mostly_down = ready_hosts.count() * 2 < probed_hosts.len();
        let usable = probed_hosts
            .iter()
            .filter(|m| mostly_down || m.failed_probes < MAX_FAILED_PROBES);
        let weight = |m: &&ProbedHost| xxh3_64(format!("{flow:?}{}", m.ip).as_bytes());
        let host = usable.max_by_key(weight);
        let ip = host.map_or(Ipv4Addr::LOCALHOST, |probed| probed.ip);
        SocketAddrV4::new(ip, LANE_PORT)
    }
}

async fn is_ready(ip: Ipv4Addr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect((ip, READY_PORT)).await?;
    let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}
