//! A small deployment: the store, machines, endpoints and client machines on loopback addresses.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::client::{Machine, SystemReset};
use crate::endpoint::{Endpoint, EndpointSpec};
use crate::hosts::{Host, HostSpec, Ports, Router, Site};
use crate::record::Record;
use crate::store::Store;

pub const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
pub const MAX_FLOW: Duration = Duration::from_secs(60);

pub type Failure = Box<dyn std::error::Error>;

#[derive(Clone, Copy, Debug)]
pub struct RouteSpec {
    pub name: &'static str,
    pub addr: SocketAddrV4,
    pub service: &'static str,
    pub kind: &'static str,
    pub priority: u32,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Store,
    pub hosts: Vec<Host>,
    pub router: Router,
    pub ports: Ports,
    pub endpoints: Vec<Arc<Endpoint>>,
    pub machines: Vec<Arc<Machine>>,
    net: [u8; 2],
    dir: PathBuf,
    version: u64,
}

impl World {
    /// Starts the store and writes the settings of the machines, given as (name, zone).
    pub fn new(
        record: &Arc<Record>,
        zones: &[&'static str],
        hosts: &[(&str, &'static str)],
    ) -> Result<Self, Failure> {
        let (net, ports) = free_net()?;
        let dir = std::env::temp_dir().join(format!("jacinthhinge-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let store = Store::default();
        let store_addr = SocketAddr::from((ip(net, 5), ports.packets + 50));
        store.serve(store_addr)?;
        let specs: Vec<HostSpec> = (10..)
            .zip(hosts)
            .map(|(last, (name, zone))| HostSpec {
                name: (*name).to_owned(),
                zone,
                ip: ip(net, last),
            })
            .collect();
        let mut seeds: Vec<Ipv4Addr> = Vec::new();
        for zone in zones {
            seeds.extend(
                specs
                    .iter()
                    .find(|spec| spec.zone == *zone)
                    .map(|spec| spec.ip),
            );
        }
        seeds.truncate(3);
        let site = Site {
            dir: &dir,
            ports,
            seeds,
            zones,
            store: store_addr,
        };
        let hosts = specs
            .iter()
            .map(|spec| Host::new(spec.clone(), &site))
            .collect::<Result<Vec<_>, _>>()?;
        let router = Router::start(&specs, ports, record);
        Ok(Self {
            record: Arc::clone(record),
            store,
            hosts,
            router,
            ports,
            endpoints: Vec::new(),
            machines: Vec::new(),
            net,
            dir,
            version: 0,
        })
    }

    pub fn add_endpoint(
        &mut self,
        index: u8,
        service: &'static str,
        zone: &'static str,
        slots: usize,
        max_conns: usize,
        work: Duration,
    ) -> Result<(), Failure> {
        let spec = EndpointSpec {
            id: format!("i-7f3a{:04x}", 0x1100 + u32::from(index)),
            service,
            zone,
            addr: SocketAddrV4::new(ip(self.net, 100 + index), self.ports.packets + 60),
            slots,
            max_conns,
            work,
            answer_bytes: 2_000,
            client_port: self.ports.packets,
        };
        let endpoint = Endpoint::start(spec, &self.record)?;
        self.store
            .put(&endpoint.spec.key(), Some(endpoint.entry("ready")));
        self.endpoints.push(endpoint);
        Ok(())
    }

    /// Adds the 14 endpoints of `bestel`, in the zones of the site.
    pub fn add_site_endpoints(
        &mut self,
        zones: [&'static str; 3],
        work: Duration,
    ) -> Result<(), Failure> {
        for (index, zone) in (0..).zip([0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 2, 2, 2, 2]) {
            self.add_endpoint(index, "bestel", zones[zone], 2, 2_000, work)?;
        }
        Ok(())
    }

    /// An endpoint reports that it is draining.
    pub fn drain(&self, index: usize) {
        let endpoint = &self.endpoints[index];
        endpoint.set_draining();
        self.store
            .put(&endpoint.spec.key(), Some(endpoint.entry("draining")));
        self.record.line(&format!("{} drains", endpoint.spec.id));
    }

    /// An endpoint that has drained exits, and its entry is removed.
    pub fn leave(&self, index: usize) {
        let endpoint = &self.endpoints[index];
        endpoint.exit();
        self.store.put(&endpoint.spec.key(), None);
        self.record.line(&format!("{} has left", endpoint.spec.id));
    }

    /// An endpoint starts again under its id.
    pub fn start_again(&self, index: usize) {
        let endpoint = &self.endpoints[index];
        endpoint.start_again();
        self.store
            .put(&endpoint.spec.key(), Some(endpoint.entry("ready")));
        self.record
            .line(&format!("{} has started again", endpoint.spec.id));
    }

    /// Waits until a machine that was stopped has ended, starts it again and waits until all are in
    /// rotation.
    pub fn restart(&mut self, index: usize) -> Result<(), Failure> {
        let deadline = self.record.now() + Duration::from_millis(6_000);
        while !self.hosts[index].has_ended() {
            if self.record.now() > deadline {
                return Err("a machine has not stopped within GraceS".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.hosts[index].kill();
        self.hosts[index].start()?;
        self.wait_for_rotation()
    }

    pub fn add_machine(&mut self, zone: &'static str) -> Result<Arc<Machine>, Failure> {
        let last = 60 + u8::try_from(self.machines.len())?;
        let machine = Machine::start(
            ip(self.net, last),
            zone,
            self.ports.packets,
            &self.router,
            &self.record,
        )?;
        self.machines.push(Arc::clone(&machine));
        Ok(machine)
    }

    /// Writes a desired state; the return is its ack.
    pub fn set_desired(&mut self, routes: &[RouteSpec], services: &[(&str, usize)]) {
        self.version += 7;
        let routes: Vec<String> = routes.iter().map(|route| format!(
            r#"{{"Name":"{}","Host":"{}","Prefix":"/{}/","Type":"{}","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":{},"Service":"{}","MaxAttempts":2}}"#,
            route.name, route.addr.ip(), route.addr.port(), route.kind, route.priority, route.service
        )).collect();
        let services: Vec<String> = services.iter().map(|(name, max_conns)| format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":{max_conns},"Protocol":"h1","Tls":false}}"#
        )).collect();
        let text = format!(
            r#"{{"Version":{},"Routes":[{}],"Services":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
            self.version,
            routes.join(","),
            services.join(",")
        );
        self.store.put("op/config", Some(text));
        self.record
            .line(&format!("operator: version {} acknowledged", self.version));
    }

    /// Starts all machines and waits until they are in rotation.
    pub fn start_hosts(&mut self) -> Result<(), Failure> {
        for host in &mut self.hosts {
            host.start()?;
        }
        self.wait_for_rotation()
    }

    fn wait_for_rotation(&self) -> Result<(), Failure> {
        let deadline = self.record.now() + Duration::from_secs(15);
        while self.router.in_rotation() < self.hosts.len() {
            if self.record.now() > deadline {
                return Err("the machines are not in rotation".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Ends the processes and removes their files; returns an error if one has ended by itself.
    pub fn end(&mut self) -> Result<(), Failure> {
        let mut ended = Vec::new();
        for host in &mut self.hosts {
            if host.has_ended() {
                ended.push(host.spec.name.clone());
            }
        }
        for host in &mut self.hosts {
            host.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs: {}", self.dir.display());
        } else {
            std::fs::remove_dir_all(&self.dir)?;
        }
        if ended.is_empty() {
            Ok(())
        } else {
            Err(format!("ended by itself: {ended:?}").into())
        }
    }

    /// Returns the endpoint that holds a flow.
    pub fn owner(&self, reset: &SystemReset) -> Option<&Arc<Endpoint>> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.holds(&reset.flow))
    }
}

/// Returns the id and the first octets of an unused part of 127.0.0.0/8, and unused ports.
fn free_net() -> Result<([u8; 2], Ports), Failure> {
    let start = std::process::id();
    for step in 0..50 {
        let number = start.wrapping_add(step * 7);
        let net = [
            u8::try_from(number / 200 % 200 + 20)?,
            u8::try_from(number % 200 + 20)?,
        ];
        let base = 20_000 + u16::try_from(number % 150)? * 80;
        let is_free = [5, 10, 60, 100]
            .into_iter()
            .all(|last| UdpSocket::bind((ip(net, last), base)).is_ok());
        if is_free {
            return Ok((
                net,
                Ports {
                    packets: base,
                    ready: base + 1,
                    control: base + 2,
                    inner: base + 10,
                },
            ));
        }
    }
    Err("no free addresses".into())
}

fn ip(net: [u8; 2], last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], last)
}
