//! A small deployment on loopback: store, hosts, endpoints and clients.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::client::Clients;
use crate::endpoint::Endpoint;
use crate::hosts::{Host, Router};
use crate::record::Record;
use crate::store::{Listener, Store};

pub const STORE_PORT: u16 = 28_169;
pub const ZONES: [&str; 3] = ["sv-a", "sv-b", "sv-c"];
const ENDPOINT_PORT: u16 = 28_080;

/// Longest time until all hosts are in rotation.
const START_TIME: Duration = Duration::from_secs(10);

/// Longest time of a whole case.
const MAX_TIME: Duration = Duration::from_secs(110);

pub struct World {
    pub store: Store,
    pub listener: Option<Listener>,
    pub hosts: Vec<Host>,
    pub router: Router,
    pub endpoints: Vec<Endpoint>,
    pub clients: Clients,
    pub record: Record,
    started: Instant,
    subnet: (u8, u8),
    dir: PathBuf,
    next_number: u64,
}

impl World {
    /// Starts the store and one host for each zone that is named.
    pub fn start(host_zones: &[&'static str], config: &str) -> std::io::Result<Self> {
        let id = std::process::id();
        let record = Record::create(&std::env::var("RECORD").unwrap_or("record.txt".to_owned()))?;
        let dir = std::env::temp_dir().join(format!("jacinthhinge-review-{id}"));
        std::fs::create_dir_all(&dir)?;
        let store = Store::default();
        store.put("op/config", Some(config));
        let (subnet, listener) = free_subnet(id, &store)?;
        let router = Router::default();
        let mut world = Self {
            store,
            listener: Some(listener),
            hosts: Vec::new(),
            clients: Clients::new(router.clone(), u64::from(id)),
            router,
            endpoints: Vec::new(),
            record,
            started: Instant::now(),
            subnet,
            dir,
            next_number: 0x7f3a_0000 + u64::from(id % 1000),
        };
        let count = host_zones.len() as u8;
        let seeds: Vec<_> = (1..=count.min(3)).map(|last| world.at(1, last)).collect();
        for (index, zone) in host_zones.iter().enumerate() {
            let ip = world.at(1, index as u8 + 1);
            let name = format!("edge-{zone}-{}", index + 1);
            let store = SocketAddrV4::new(world.at(0, 1), STORE_PORT);
            let host = Host::new(&name, zone, ip, store, &seeds, &ZONES, &world.dir);
            host.write_settings(true)?;
            world.hosts.push(host);
        }
        Ok(world)
    }

    /// Address of a machine: hosts have group 1, clients 2, endpoints 3.
    pub fn at(&self, group: u8, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1 | group, last)
    }

    pub fn add_endpoint(
        &mut self,
        service: &'static str,
        zone: &'static str,
        slots: usize,
    ) -> std::io::Result<usize> {
        let addr = SocketAddrV4::new(self.at(3, self.endpoints.len() as u8 + 1), ENDPOINT_PORT);
        self.next_number = self.next_number.wrapping_mul(48_271) % 0x7fff_ffff;
        let mut endpoint = Endpoint::start(self.next_number, service, zone, addr, slots)?;
        endpoint.report(&self.store);
        self.record.line(&format!(
            "endpoint {} of {service} in {zone} at {addr}",
            endpoint.id
        ));
        self.endpoints.push(endpoint);
        Ok(self.endpoints.len() - 1)
    }

    /// Starts an endpoint of another service at the address of one that is gone.
    pub fn reuse_address(&mut self, gone: usize, service: &'static str) -> std::io::Result<()> {
        let old = self.endpoints.swap_remove(gone);
        let (zone, addr, slots) = (old.zone, old.addr, old.slots);
        drop(old);
        self.next_number = self.next_number.wrapping_mul(48_271) % 0x7fff_ffff;
        let mut endpoint = Endpoint::start(self.next_number, service, zone, addr, slots)?;
        endpoint.report(&self.store);
        self.record.line(&format!(
            "endpoint {} of {service} in {zone} at {addr}",
            endpoint.id
        ));
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Starts the hosts and waits until they are in rotation.
    pub fn start_hosts(&mut self) -> std::io::Result<()> {
        for host in &mut self.hosts {
            host.start()?;
            self.router.add(host.ip, host.zone);
        }
        let start = Instant::now();
        while !self.router.all_ready() {
            if start.elapsed() > START_TIME {
                return Err(std::io::Error::other("the hosts are not ready"));
            }
            self.run_for(Duration::from_millis(50))?;
        }
        self.record.line("all hosts are in rotation");
        Ok(())
    }

    pub fn run_for(&mut self, time: Duration) -> std::io::Result<()> {
        self.run_until(Instant::now() + time, |_| false).map(|_| ())
    }

    /// Runs endpoints and clients until a time, or until `done` returns true.
    pub fn run_until(
        &mut self,
        end: Instant,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> std::io::Result<bool> {
        loop {
            let now = Instant::now();
            for endpoint in &mut self.endpoints {
                endpoint.run(now, &self.store, &mut self.record);
            }
            self.clients.run(now, &mut self.record);
            if done(self) {
                return Ok(true);
            }
            if now >= end {
                return Ok(false);
            }
            if now >= self.started + MAX_TIME {
                return Err(std::io::Error::other("the case takes too long"));
            }
            std::thread::sleep(Duration::from_micros(400));
        }
    }

    /// Writes the tally and the hosts' own lines of the given events to the record.
    pub fn finish(&mut self, events: &[&str]) {
        for host in &mut self.hosts {
            let ended = host.has_ended();
            self.record
                .line(&format!("{} has ended by itself: {ended}", host.name));
            for line in host.log().lines() {
                if events
                    .iter()
                    .any(|event| line.contains(&format!("\"event\":\"{event}\"")))
                {
                    self.record.line(&format!("log {line}"));
                }
            }
        }
        let mut tally: Vec<_> = self.clients.tally.iter().collect();
        tally.sort_by_key(|(name, _)| **name);
        for (name, tally) in tally {
            let (answered, failed, retried) = (tally.answered, tally.failed, tally.retried);
            let text = format!("{name}: {answered} answered, {failed} failed, {retried} retried");
            self.record.line(&text);
            println!("{text}");
        }
        for text in &self.record.broken {
            println!("BROKEN {text}");
        }
        self.record.finish();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Finds a part of 127.0.0.0/8 in which the store's address is free, and listens there.
fn free_subnet(id: u32, store: &Store) -> std::io::Result<((u8, u8), Listener)> {
    let mut last_error = std::io::Error::other("no free subnet");
    for attempt in 0..40 {
        let place = id.wrapping_add(attempt * 97);
        let subnet = (64 + (place % 128) as u8, ((place / 128) % 64) as u8 * 4);
        let ip = Ipv4Addr::new(127, subnet.0, subnet.1, 1);
        match store.listen(SocketAddrV4::new(ip, STORE_PORT)) {
            Ok(listener) => return Ok((subnet, listener)),
            Err(err) => last_error = err,
        }
    }
    Err(last_error)
}

/// A route of the desired state.
pub fn route(name: &str, vip: SocketAddrV4, service: &str, kind: &str, aim_ms: u64) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"Type\":\"{kind}\",\
         \"TimeoutMs\":{},\"TargetLatencyMs\":{aim_ms},\"Priority\":2,\"Service\":\"{service}\",\
         \"MaxAttempts\":2}}",
        vip.ip(),
        vip.port(),
        aim_ms * 10
    )
}

/// A desired state.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConns\":2000,\
                 \"Protocol\":\"h1\",\"Tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\
         \"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
