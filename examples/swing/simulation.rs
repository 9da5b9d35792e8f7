//! Discrete-event simulation around the decision systems: the network fabric, callers
//! and backend servers on one virtual clock.

mod backends;
mod callers;

use std::collections::{BTreeMap, HashMap, HashSet};

use jacinthhinge::prelude::*;
use jacinthhinge::systems::{self, Policies};
use jacinthhinge::tables::{Arrival, Outbox, Tables};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::smallvec;

use crate::scenario::{self, HOST_COUNT, SERVICES};
use crate::server::{Job, Server};

/// One-way delay through the fabric or between zones.
const HOP_DELAY: Duration = Duration::from_micros(500);

/// One-way delay between a caller and the fabric.
const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Time after which a caller retransmits a request or an opening packet.
const RETRANSMIT_PAUSE: Duration = Duration::from_millis(200);

/// Time between two pings of a flow.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which the fabric stops sending packets to a lost host.
const FABRIC_DETECTION_TIME: Duration = Duration::from_millis(200);

/// Time between two samples of the backend servers.
pub const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a cold server is slow.
const COLD_TIME: Duration = Duration::from_secs(3);

/// A request as seen by its caller.
pub struct Request {
    pub service: usize,
    pub class: Class,
    pub created_at: Duration,
    pub deadline: Duration,
    pub work_time: Duration,
    pub answered_at: Option<Duration>,
    pub end_status: Option<(ExecutionStatus, Reason)>,
    /// True if the home host was lost before the request was answered.
    pub home_lost: bool,
}

/// A flow as seen by its caller.
pub struct Flow {
    pub service: usize,
    pub created_at: Duration,
    pub closes_at: Duration,
    pub opened_at: Option<Duration>,
    pub closed: bool,
    /// True if the home host was already lost when the flow was created.
    pub home_lost: bool,
    ticket: Bytes,
}

/// Measurements of a service's live backend servers at one time.
pub struct Sample {
    pub service: usize,
    pub taken_at: Duration,
    /// Slot time in seconds since the previous sample, for each live server.
    pub slot_seconds: Vec<f64>,
    /// Number of open flows, for each live server.
    pub flow_counts: Vec<f64>,
}

/// Number of flows that were reset while open.
#[derive(Clone, Copy, Default)]
pub struct BrokenFlows {
    /// Flows that a live server held.
    pub live: u64,
    /// Flows that a lost server held.
    pub lost: u64,
}

enum Event {
    Packet(SocketAddr, SocketAddr, Box<Packet>),
    HostTick(usize),
    FinishJob(usize, Box<Job>),
    NewRequest(usize, usize),
    NewFlow(usize),
    ResendRequest(usize),
    ResendOpen(usize),
    Ping(usize),
    CloseFlow(usize),
    LoseHost,
    DropFabricRoute,
    DetectHostLoss,
    LoseEndpoints,
    DetectEndpointLoss,
    Sample,
}

struct Host {
    tables: Tables,
    alive: bool,
}

/// State of the simulation.
pub struct Simulation {
    now: Duration,
    rng: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    hosts: Vec<Host>,
    /// Indexes of the hosts to which the fabric sends packets.
    fabric_hosts: Vec<usize>,
    pub servers: Vec<Server>,
    server_indexes: HashMap<SocketAddr, usize>,
    pub requests: Vec<Request>,
    pub flows: Vec<Flow>,
    pub samples: Vec<Sample>,
    pub broken_flows: Vec<BrokenFlows>,
    /// Slot time of each server at the previous sample.
    sampled_time: Vec<Duration>,
    services: Vec<Service>,
    ticket_keys: TicketKeys,
    lost_servers: HashSet<usize>,
}

/// First flow number of requests; those of long-lived flows start at zero.
const FIRST_REQUEST_FLOW: u64 = 1 << 40;

impl Simulation {
    pub fn new(seed: u64, build_policies: fn() -> Policies, has_reserve: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let services: Vec<Service> = (0..SERVICES.len())
            .map(|service| build_service(service, has_reserve))
            .collect();
        let specs = services
            .iter()
            .flat_map(|service| service.endpoints.clone());
        let servers: Vec<Server> = specs.map(Server::new).collect();
        let server_indexes = servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.spec.addr, i))
            .collect();
        let mut simulation = Self {
            now: Duration::ZERO,
            events: BTreeMap::new(),
            event_count: 0,
            hosts: Vec::new(),
            fabric_hosts: (0..HOST_COUNT).collect(),
            sampled_time: vec![Duration::ZERO; servers.len()],
            servers,
            server_indexes,
            requests: Vec::new(),
            flows: Vec::new(),
            samples: Vec::new(),
            broken_flows: vec![BrokenFlows::default(); SERVICES.len()],
            services,
            ticket_keys: TicketKeys::new("one", "two"),
            lost_servers: HashSet::new(),
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        simulation.add_server_faults();
        simulation.start(seed, build_policies);
        simulation
    }

    /// Runs all events up to the end of the scenario.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > scenario::RUN_TIME {
                return;
            }
            self.now = at;
            self.handle_event(event);
        }
    }

    pub fn counters(&self) -> Vec<jacinthhinge::tables::Counters> {
        self.hosts.iter().map(|host| host.tables.counters).collect()
    }

    /// Sets up faulty servers. In each service one server sheds load and one is reported
    /// unhealthy although it works; in the large services one more is cold and one reports
    /// zero load.
    fn add_server_faults(&mut self) {
        let mut first_server = 0;
        for (index, service) in SERVICES.iter().enumerate() {
            let last = first_server + service.endpoints - 1;
            self.servers[first_server].shed_share = 0.1;
            self.services[index].endpoints[1].healthy = false;
            if service.lost_endpoints > 0 {
                self.servers[last].cold_until = COLD_TIME;
                self.servers[last - 1].hides_load = true;
            }
            first_server += service.endpoints;
        }
    }

    fn start(&mut self, seed: u64, build_policies: fn() -> Policies) {
        for index in 0..HOST_COUNT {
            let host = host_info(index);
            let me = Home {
                host: host.id,
                incarnation: host.incarnation,
                addr: host.lanes[0],
            };
            let empty = Arc::new(Snapshot::empty(self.ticket_keys.clone()));
            let mut tables = Tables::new(me, empty, seed + index as u64);
            tables.policies = Arc::new(build_policies());
            self.hosts.push(Host {
                tables,
                alive: true,
            });
        }
        self.publish();
        for index in 0..HOST_COUNT {
            self.schedule(
                systems::TICK_INTERVAL * index as u32 / HOST_COUNT as u32,
                Event::HostTick(index),
            );
        }
        for (service, spec) in SERVICES.iter().enumerate() {
            for demand in 0..spec.demands.len() {
                self.schedule(Duration::ZERO, Event::NewRequest(service, demand));
            }
            self.schedule(Duration::ZERO, Event::NewFlow(service));
        }
        self.schedule(scenario::HOST_LOSS_TIME, Event::LoseHost);
        self.schedule(
            scenario::HOST_LOSS_TIME + FABRIC_DETECTION_TIME,
            Event::DropFabricRoute,
        );
        self.schedule(
            scenario::HOST_LOSS_TIME + scenario::DETECTION_TIME,
            Event::DetectHostLoss,
        );
        self.schedule(scenario::ENDPOINT_LOSS_TIME, Event::LoseEndpoints);
        self.schedule(
            scenario::ENDPOINT_LOSS_TIME + scenario::HEALTH_LAG,
            Event::DetectEndpointLoss,
        );
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Packet(from, to, packet) => self.deliver(from, to, *packet),
            Event::HostTick(index) => self.tick(index),
            Event::FinishJob(server, job) => self.finish_job(server, &job),
            Event::NewRequest(service, demand) => self.new_request(service, demand),
            Event::NewFlow(service) => self.new_flow(service),
            Event::ResendRequest(index) => self.send_request(index),
            Event::ResendOpen(index) => self.send_open(index),
            Event::Ping(index) => self.send_ping(index),
            Event::CloseFlow(index) => self.close_flow(index),
            Event::LoseHost => self.lose_host(),
            Event::DropFabricRoute => self.fabric_hosts.retain(|index| *index != 0),
            Event::DetectHostLoss => self.publish(),
            Event::LoseEndpoints => self.lose_endpoints(),
            Event::DetectEndpointLoss => self.detect_endpoint_loss(),
            Event::Sample => self.sample(),
        }
    }

    fn publish(&mut self) {
        let mut snapshot =
            Snapshot::empty(self.ticket_keys.clone()).with_services(self.services.clone());
        let alive = (0..HOST_COUNT).filter(|index| self.hosts[*index].alive);
        snapshot.hosts = alive.map(host_info).collect();
        snapshot.hosts_changed = self.now;
        snapshot.lease.until = scenario::RUN_TIME * 2;
        let snapshot = Arc::new(snapshot);
        for index in 0..HOST_COUNT {
            let mut out = Outbox::default();
            let tables = &mut self.hosts[index].tables;
            systems::apply_snapshot(tables, Arc::clone(&snapshot), self.now, &mut out);
            self.send_all(index, out);
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule(systems::TICK_INTERVAL, Event::HostTick(index));
        let mut out = Outbox::default();
        let tables = &mut self.hosts[index].tables;
        systems::run_timers(tables, self.now, &mut out);
        systems::run(tables, self.now, &mut out);
        self.send_all(index, out);
    }

    fn receive(&mut self, index: usize, from: SocketAddr, packet: Packet) {
        if !self.hosts[index].alive {
            return;
        }
        let mut out = Outbox::default();
        let tables = &mut self.hosts[index].tables;
        tables.inbox.push(Arrival::new(from, packet));
        systems::run(tables, self.now, &mut out);
        self.send_all(index, out);
    }

    fn send_all(&mut self, index: usize, out: Outbox) {
        if !self.hosts[index].alive {
            return;
        }
        let from = host_info(index).lanes[0];
        for send in out.datagrams {
            let is_caller = send.to.port() == CALLER_PORT;
            let delay = if is_caller { CALLER_DELAY } else { HOP_DELAY };
            self.schedule(delay, Event::Packet(from, send.to, Box::new(send.packet)));
        }
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, packet: Packet) {
        if to.port() == CALLER_PORT {
            self.deliver_to_caller(&packet);
        } else if let Some(server) = self.server_indexes.get(&to) {
            self.deliver_to_server(*server, &packet);
        } else if let Some(index) = (0..HOST_COUNT).find(|index| host_info(*index).lanes[0] == to) {
            self.receive(index, from, packet);
        }
    }

    /// Sends a packet to a random host that the fabric knows.
    fn send_to_any(&mut self, delay: Duration, from: SocketAddr, packet: Packet) {
        let index = self.rng.random_range(0..self.fabric_hosts.len());
        let to = host_info(self.fabric_hosts[index]).lanes[0];
        self.schedule(delay, Event::Packet(from, to, Box::new(packet)));
    }

    fn lose_host(&mut self) {
        self.hosts[0].alive = false;
        let lost_host = host_info(0).id;
        for index in 0..self.requests.len() {
            if self.requests[index].answered_at.is_none()
                && self.home_host(FIRST_REQUEST_FLOW + index as u64) == Some(lost_host)
            {
                self.requests[index].home_lost = true;
            }
        }
    }

    /// Returns true if the home of a flow is lost and the other hosts have not detected it.
    fn is_home_lost(&self, flow: u64) -> bool {
        !self.hosts[0].alive && self.home_host(flow) == Some(host_info(0).id)
    }

    fn home_host(&self, flow: u64) -> Option<Id> {
        let caller = caller_addr();
        let home = self.hosts[1]
            .tables
            .snapshot
            .home(&FlowKey { caller, flow });
        home.map(|home| home.host)
    }
}

/// UDP port of all callers.
const CALLER_PORT: u16 = 9;

fn caller_addr() -> SocketAddr {
    SocketAddr::from(([10, 9, 0, 1], CALLER_PORT))
}

fn to_index(flow: u64) -> usize {
    usize::try_from(flow).unwrap_or(usize::MAX)
}

fn caller_packet(service: usize, flow: u64, body: Body) -> Packet {
    Packet {
        service: Id::of(SERVICES[service].name),
        caller: caller_addr(),
        flow,
        hops: 0,
        ticket: Bytes::new(),
        body,
    }
}

fn host_info(index: usize) -> jacinthhinge::snapshot::Host {
    let name: Name = format!("host-{index}").into();
    let last = u8::try_from(index).unwrap_or(u8::MAX);
    jacinthhinge::snapshot::Host {
        availability_zone: "".into(),
        id: Id::of(&name),
        name,
        incarnation: (index as u64 + 1) << 40,
        lanes: smallvec![SocketAddr::from(([10, 0, 0, last], 1))],
        leaving: false,
    }
}

fn build_service(service: usize, has_reserve: bool) -> Service {
    let spec = SERVICES[service];
    Service {
        retired: false,
        warmup_limit: None,
        id: Id::of(spec.name),
        name: spec.name.into(),
        endpoints: (0..spec.endpoints)
            .map(|index| build_endpoint(service, index))
            .collect(),
        classes: Class::ALL.map(scenario::class_policy),
        drain_limit: Duration::from_mins(1),
        idle_limit: Duration::from_mins(1),
        retry_share: 0.1,
        reserved_slots: u32::from(has_reserve),
    }
}

fn build_endpoint(service: usize, index: usize) -> Endpoint {
    let spec = SERVICES[service];
    let name: Name = format!("{}-{index}", spec.name).into();
    let (net, last) = (service as u8 + 1, index as u8);
    Endpoint {
        id: Id::of(&name),
        name,
        addr: SocketAddr::from(([10, 1, net, last], 1)),
        zone: "zone".into(),
        slots: spec.slots,
        max_conns: 2_000,
        weight: 1.0,
        draining: false,
        ..Endpoint::new("", SocketAddr::from(([10, 1, net, last], 1)))
    }
}
