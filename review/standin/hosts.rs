//! Processes of the relay, and the platform's routers before them.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::packet::Flow;

pub const LANE_PORT: u16 = 28_172;
const READY_PORT: u16 = 28_167;
const CONTROL_PORT: u16 = 28_166;
const INTERNAL_PORTS: (u16, u16) = (27_720, 27_735);
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const MAX_MISSES: u32 = 2;

#[derive(Clone, Copy)]
pub enum Signal {
    Hangup = 1,
}

pub struct Host {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    store: SocketAddrV4,
    seeds: Vec<Ipv4Addr>,
    zones: Vec<&'static str>,
    settings: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn new(
        name: &str,
        zone: &'static str,
        ip: Ipv4Addr,
        store: SocketAddrV4,
        seeds: &[Ipv4Addr],
        zones: &[&'static str],
        dir: &Path,
    ) -> Self {
        Self {
            name: name.to_owned(),
            zone,
            ip,
            store,
            seeds: seeds.to_vec(),
            zones: zones.to_vec(),
            settings: dir.join(format!("{name}.json")),
            child: None,
        }
    }

    /// Writes the settings file, under another name first, as the platform replaces it.
    pub fn write_settings(&self, bootstrap: bool) -> std::io::Result<()> {
        let ip = self.ip;
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
            .collect();
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"is-sudvestur\""))
            .collect();
        let text = format!(
            "{{\"NodeName\":\"{}\",\"Role\":\"relay\",\"MachineClass\":\"edge\",\
             \"Serves\":[\"edge\",\"control_plane\"],\"Ip\":\"{ip}\",\"Zone\":\"{}\",\
             \"Region\":\"is-sudvestur\",\"Zones\":{{{}}},\
             \"Listen\":{{\"DatagramAddr\":\"{ip}:{LANE_PORT}\",\"ReadyAddr\":\"{ip}:{READY_PORT}\",\
             \"Control\":\"{ip}:{CONTROL_PORT}\"}},\"InternalPorts\":[{},{}],\"Seeds\":[{}],\
             \"Bootstrap\":{bootstrap},\"InFaultBudget\":false,\
             \"Limits\":{{\"CpuShare\":0.5,\"Cores\":1,\"MemoryMb\":520,\"MaxFds\":8200,\
             \"LinkMbps\":2000.0,\"DiskMb\":0}},\"DataDir\":null,\"Discovery\":\"platform\",\
             \"Entry\":\"announce\",\"HeartbeatMs\":1200,\
             \"Contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"],\
             \"FaultTolerance\":{{\"Machines\":2,\"Zones\":1,\"Regions\":0}},\
             \"Bounds\":{{\"SeedLagS\":3,\"ReuseAfterS\":2,\"StableWindowMs\":4000,\"AckMs\":5000,\
             \"CatchUpS\":4,\"DrainMs\":3000,\"GraceS\":6,\"LossSlackMs\":200,\"ConfigApplyMs\":3000,\
             \"RollbackSlackMs\":250,\"OuterMs\":12000,\"RecoveryS\":12,\"MisrouteMs\":2000,\
             \"MaxFlowS\":60}},\"Hash\":\"steady\",\"ForwardingMode\":\"echo\",\
             \"platform\":{{\"Address\":\"{}\",\"ForwardingMode\":\"read\",\"WritesPerS\":400,\
             \"ReadsPerS\":2000,\"HistoryS\":20,\"ValueBytes\":1048576,\"MinTtlMs\":1000}}}}",
            self.name,
            self.zone,
            zones.join(","),
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            seeds.join(","),
            self.store,
        );
        let draft = self.settings.with_extension("new");
        std::fs::write(&draft, text)?;
        std::fs::rename(&draft, &self.settings)
    }

    /// Changes the address of the store in the settings file.
    pub fn move_store(&mut self, store: SocketAddrV4) -> std::io::Result<()> {
        self.store = store;
        self.write_settings(false)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new("target/release/jacinthhinge")
            .arg("relay")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("JACINTHHINGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        if let Some(child) = &self.child {
            // The process was started here and has not been waited for, so the id is its own.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// True if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Probed {
    ip: Ipv4Addr,
    zone: &'static str,
    misses: u32,
}

/// Routers of all zones: they probe the hosts and hash flows over those in rotation.
#[derive(Clone, Default)]
pub struct Router(Arc<Mutex<Vec<Probed>>>);

impl Router {
    pub fn add(&self, ip: Ipv4Addr, zone: &'static str) {
        let misses = MAX_MISSES;
        self.0.lock().unwrap().push(Probed { ip, zone, misses });
        let router = self.clone();
        std::thread::spawn(move || {
            loop {
                let ready = is_ready(ip).unwrap_or(false);
                if let Some(probed) = router
                    .0
                    .lock()
                    .unwrap()
                    .iter_mut()
                    .find(|host| host.ip == ip)
                {
                    probed.misses = if ready { 0 } else { probed.misses + 1 };
                }
                std::thread::sleep(PROBE_PERIOD);
            }
        });
    }

    pub fn all_ready(&self) -> bool {
        self.0
            .lock()
            .unwrap()
            .iter()
            .all(|host| host.misses < MAX_MISSES)
    }

    /// Returns the host that gets a flow's packets. All hosts of a zone are used while fewer
    /// than half of them are in rotation, and other zones' hosts if none is.
    pub fn pick(&self, flow: &Flow, zone: &str) -> Option<SocketAddrV4> {
        let hosts = self.0.lock().unwrap();
        let own: Vec<&Probed> = hosts.iter().filter(|host| host.zone == zone).collect();
        let ready = |host: &&Probed| host.misses < MAX_MISSES;
        let in_rotation: Vec<&Probed> = own.iter().copied().filter(ready).collect();
        let usable = if in_rotation.is_empty() {
            hosts.iter().filter(ready).collect()
        } else if in_rotation.len() * 2 < own.len() {
            own
        } else {
            in_rotation
        };
        let weight = |host: &&Probed| hash(flow, host.ip);
        let best = usable.into_iter().max_by_key(weight)?;
        Some(SocketAddrV4::new(best.ip, LANE_PORT))
    }
}

/// Steady hash: only the flows of a host that joins or leaves move.
fn hash(flow: &Flow, host: Ipv4Addr) -> u64 {
    let text = format!("{}|{}|{host}", flow.client, flow.vip);
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    let sum = text.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    (sum ^ (sum >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 3
}

fn is_ready(ip: Ipv4Addr) -> std::io::Result<bool> {
    let addr = SocketAddr::from((ip, READY_PORT));
    let mut stream = TcpStream::connect_timeout(&addr, PROBE_PERIOD)?;
    stream.set_read_timeout(Some(PROBE_PERIOD))?;
    let request = format!("GET /-/readiness HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut answer = [0; 64];
    let size = stream.read(&mut answer)?;
    Ok(answer[..size].starts_with(b"HTTP/1.1 200"))
}
