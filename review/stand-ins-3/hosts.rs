//! Machines of the system as separate processes, and the platform's router before them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::packet::Flow;
use crate::record::Record;

/// The command of the deploy file.
const RUN: [&str; 2] = ["target/release/jacinthhinge", "relay"];

/// The router asks each node this often, and takes it out of rotation after this many misses.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const MAX_MISSES: u32 = 2;

/// Ports of all machines of a run.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub inner: u16,
}

#[derive(Clone, Debug)]
pub struct HostSpec {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
}

pub struct Host {
    pub spec: HostSpec,
    file: PathBuf,
    child: Option<Child>,
}

pub struct Site<'a> {
    pub dir: &'a Path,
    pub ports: Ports,
    pub seeds: Vec<Ipv4Addr>,
    pub zones: &'a [&'static str],
    pub store: SocketAddr,
}

impl Host {
    /// Writes the settings file as `DEPLOY.md` shows it.
    pub fn new(spec: HostSpec, site: &Site<'_>) -> std::io::Result<Self> {
        let (ip, ports) = (spec.ip, site.ports);
        let seeds: Vec<String> = site
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:{}\"", ports.control))
            .collect();
        let zones: Vec<String> = site
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"vlaanderen\""))
            .collect();
        let text = format!(
            r#"{{"NodeName":"{}","Role":"relay","MachineClass":"edge","Serves":["edge","control_plane"],"Ip":"{ip}","Zone":"{}","Region":"vlaanderen","Zones":{{{}}},"Listen":{{"DatagramAddr":"{ip}:{}","ReadyAddr":"{ip}:{}","Control":"{ip}:{}"}},"InternalPorts":[{},{}],"Seeds":[{}],"Bootstrap":true,"InFaultBudget":false,"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"announce","HeartbeatMs":1200,"Contracts":["base","drain","config","cost","recover","flows","platform"],"FaultTolerance":{{"Machines":2,"Zones":1,"Regions":0}},"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"StableWindowMs":4000,"AckMs":5000,"CatchUpS":4,"DrainMs":3000,"GraceS":6,"LossSlackMs":200,"ConfigApplyMs":3000,"RollbackSlackMs":250,"OuterMs":12000,"RecoveryS":12,"MisrouteMs":2000,"MaxFlowS":60}},"Hash":"steady","ForwardingMode":"echo","platform":{{"Address":"{}","ForwardingMode":"read","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"MinTtlMs":1000}}}}"#,
            spec.name,
            spec.zone,
            zones.join(","),
            ports.packets,
            ports.ready,
            ports.control,
            ports.inner,
            ports.inner + 15,
            seeds.join(","),
            site.store,
        );
        let file = site.dir.join(format!("{}.json", spec.name));
        std::fs::write(&file, text)?;
        Ok(Self {
            spec,
            file,
            child: None,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"))?;
        let mut command = Command::new(RUN[0]);
        command
            .args(&RUN[1..])
            .env_clear()
            .env("JACINTHHINGE_CONFIG", &self.file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Adds a zone of the same region to `Zones` in the settings file.
    pub fn add_zone(&self, zone: &str) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.file)?;
        let added = text.replace(
            "\"Zones\":{",
            &format!("\"Zones\":{{\"{zone}\":\"vlaanderen\","),
        );
        std::fs::write(&self.file, added)
    }

    /// Sends a signal by its name, by the id of the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// True if a process that should run has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Node {
    spec: HostSpec,
    misses: u32,
}

/// The router: flows go to a node in rotation of the client's zone, by a hash of the four addresses
/// and ports (`Hash` = `steady`).
#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Node>>>,
    ports: Ports,
}

impl Router {
    pub fn start(specs: &[HostSpec], ports: Ports, record: &Arc<Record>) -> Self {
        let nodes = specs.iter().map(|spec| Node {
            spec: spec.clone(),
            misses: MAX_MISSES,
        });
        let router = Self {
            nodes: Arc::new(Mutex::new(nodes.collect())),
            ports,
        };
        for spec in specs {
            let (router, spec, record) = (router.clone(), spec.clone(), Arc::clone(record));
            thread::spawn(move || {
                loop {
                    let ready = is_ready(SocketAddr::from((spec.ip, ports.ready)));
                    let mut nodes = router.nodes.lock().unwrap_or_else(|err| err.into_inner());
                    if let Some(node) = nodes.iter_mut().find(|node| node.spec.ip == spec.ip) {
                        let was_in = node.misses < MAX_MISSES;
                        node.misses = if ready { 0 } else { node.misses + 1 };
                        if was_in != (node.misses < MAX_MISSES) {
                            record.line(&format!("router: {} in rotation: {}", spec.name, !was_in));
                        }
                    }
                    drop(nodes);
                    thread::sleep(PROBE_PERIOD);
                }
            });
        }
        router
    }

    pub fn in_rotation(&self) -> usize {
        let nodes = self.nodes.lock().unwrap_or_else(|err| err.into_inner());
        nodes.iter().filter(|node| node.misses < MAX_MISSES).count()
    }

    /// Returns the name and the address of the node that gets a packet of a client in `zone`.
    pub fn pick(&self, flow: &Flow, zone: &str) -> (String, SocketAddrV4) {
        let nodes = self.nodes.lock().unwrap_or_else(|err| err.into_inner());
        let of_zone: Vec<&Node> = nodes.iter().filter(|node| node.spec.zone == zone).collect();
        let is_in = |node: &&&Node| node.misses < MAX_MISSES;
        let ready = of_zone.iter().filter(is_in).count();
        let all = ready * 2 < of_zone.len();
        let usable: Vec<&&Node> = of_zone.iter().filter(|node| all || is_in(node)).collect();
        let weight = |node: &&&&Node| hash(&format!("{flow:?}{}", node.spec.ip));
        let node = usable
            .iter()
            .max_by_key(weight)
            .expect("a node in the zone");
        (
            node.spec.name.clone(),
            SocketAddrV4::new(node.spec.ip, self.ports.packets),
        )
    }
}

/// FNV-1a with a final mix.
pub fn hash(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ hash >> 32
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, PROBE_PERIOD) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(PROBE_PERIOD));
    let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    let mut answer = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b" 200")
}
