//! A randomized soak of the relay: real hosts as separate processes on loopback, with
//! faults injected from outside them.
//!
//! `cargo run --release --example soak -- --seed N --seconds S`
//!
//! Hosts run under addresses of their own in 127.0.0.0/8. Callers, endpoints, routers,
//! the store and a proxy before it live in this process. Faults come in series and
//! overlap; callers go on using open flows all the while. The ledger checks what callers
//! and endpoints see as it happens, and the last seconds are calm, so that the system
//! has to come back. Only processes started here are signalled, by their ids.

mod caller;
mod checker;
mod endpoint;
mod faults;
mod hosts;
mod packet;
mod store;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use caller::{CallerNode, Vip};
use checker::{Checker, FaultTarget};
use endpoint::{EndpointSpec, RunningEndpoint};
use faults::{Fault, PlannedFault};
use hosts::{Host, HostSpec, LANE_PORT, Router};
use store::{Store, StoreMode};

const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Time for hosts to start and be in rotation.
const START: Duration = Duration::from_secs(3);

/// Calm at the end: what hosts need after the last fault, and time to measure.
const CALM: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(3);

/// Time that a process needs to begin, on a busy machine.
const BORN: Duration = Duration::from_millis(100);

/// Time for which a host has settings that it cannot read.
const RELOAD: Duration = Duration::from_millis(200);

/// Least share of the requests in the last seconds that has to be served.
const SERVED: f64 = 0.98;

/// Soak of the relay.
#[derive(Bpaf, Clone)]
#[bpaf(options)]
struct Options {
    /// Seed of the faults and of the traffic
    #[bpaf(fallback(1))]
    seed: u64,
    /// Seconds with faults
    #[bpaf(fallback(20))]
    seconds: u64,
    /// Hosts, by turns in three zones
    #[bpaf(fallback(4))]
    hosts: u8,
    /// Endpoints of the larger service; the smaller has a third
    #[bpaf(fallback(9))]
    endpoints: u8,
    /// Machines of callers, each with four callers
    #[bpaf(fallback(6))]
    callers: u8,
    /// Program to run as host
    #[bpaf(fallback(PathBuf::from("target/release/jacinthhinge")))]
    bin: PathBuf,
    /// Keep settings and logs of the hosts
    keep: bool,
}

struct World {
    options: Options,
    rng: SmallRng,
    net: u8,
    checker: Checker,
    store: Store,
    proxy_addr: SocketAddr,
    router: Router,
    hosts: Vec<Host>,
    endpoints: Vec<RunningEndpoint>,
    version: u64,
    next: u64,
    dir: PathBuf,
}

/// What ends when a fault is over.
enum Ending {
    Start(usize),
    Resume(usize),
    Unmute(u64),
    Quicken(u64),
    Replace(u64),
    Publish(u64),
    Cheer,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let options = options().run();
    let mut world = World::start(options).await?;
    let clean = world.play().await?;
    world.end().await?;
    Ok(if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn vips() -> [Vip; 3] {
    let addr = |last, port| SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, last), port);
    [
        Vip {
            addr: addr(1, 443),
            service_tag: 1,
            run_once: false,
        },
        Vip {
            addr: addr(1, 444),
            service_tag: 1,
            run_once: true,
        },
        Vip {
            addr: addr(2, 443),
            service_tag: 2,
            run_once: true,
        },
    ]
}

impl World {
    async fn start(options: Options) -> std::io::Result<Self> {
        // Runs with other seeds may go on beside this one.
        let net = 64 + u8::try_from(options.seed % 128).unwrap_or(0);
        let at = |group, last, port| SocketAddr::from(([127, net, group, last], port));
        let proxy_addr = at(0, 2, 27_100);
        let checker = Checker::default();
        let dir = std::env::temp_dir().join(format!(
            "jacinthhinge-soak-{}-{}",
            options.seed,
            std::process::id()
        ));
        std::fs::create_dir_all(&dir)?;
        let mut world = Self {
            rng: SmallRng::seed_from_u64(options.seed),
            net,
            store: Store::start(at(0, 1, 27_100), proxy_addr).await?,
            checker,
            proxy_addr,
            router: Router::default(),
            hosts: Vec::new(),
            endpoints: Vec::new(),
            version: 0,
            next: 1,
            dir,
            options,
        };
        world.publish_config();
        for index in 0..world.options.endpoints {
            world
                .add_endpoint("main", index, world.address(3, index))
                .await?;
        }
        for index in 0..world.options.endpoints.div_ceil(3) {
            world
                .add_endpoint("small", index, world.address(4, index))
                .await?;
        }
        for index in 0..world.options.hosts {
            world.add_host(index)?;
        }
        Ok(world)
    }

    fn address(&self, group: u8, index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, group, index + 1), 27_200)
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        let count = self.options.hosts.min(3);
        (1..=count)
            .map(|last| Ipv4Addr::new(127, self.net, 1, last))
            .collect()
    }

    fn add_host(&mut self, index: u8) -> std::io::Result<()> {
        let spec = HostSpec {
            name: format!("host-{index}"),
            ip: Ipv4Addr::new(127, self.net, 1, index + 1),
            zone: ZONES[usize::from(index) % ZONES.len()],
        };
        self.router.add(spec.ip);
        let seeds = self.seeds();
        let (proxy_addr, dir, bin) = (self.proxy_addr, &self.dir, &self.options.bin);
        let mut host = Host::new(spec, &seeds, proxy_addr, dir, bin, self.checker.clone())?;
        host.start()?;
        self.hosts.push(host);
        Ok(())
    }

    async fn add_endpoint(
        &mut self,
        service: &'static str,
        index: u8,
        addr: SocketAddrV4,
    ) -> std::io::Result<()> {
        let spec = EndpointSpec {
            number: self.next,
            service,
            service_tag: if service == "main" { 1 } else { 2 },
            zone: ZONES[usize::from(index) % ZONES.len()],
            addr,
            slots: 3,
            caller_port: LANE_PORT,
        };
        self.next += 1;
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let (store, checker) = (self.store.clone(), self.checker.clone());
        self.endpoints
            .push(RunningEndpoint::start(spec, store, checker, rng).await?);
        Ok(())
    }

    /// Publishes the next version, with some idle routes.
    fn publish_config(&mut self) {
        self.version += self.rng.random_range(1..4);
        let served = vips().map(|vip| {
            let service = if vip.service_tag == 1 {
                "main"
            } else {
                "small"
            };
            route(vip.addr, service, vip.run_once)
        });
        let idle = (0..self.rng.random_range(0..200_u8)).map(|last| {
            let addr = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, last), 443);
            route(addr, "main", false)
        });
        let routes: Vec<_> = served.into_iter().chain(idle).collect();
        self.store.set(
            "op/config",
            &json!({
                "Version": self.version, "Routes": routes,
                "Services": [{"Name": "main", "MaxConns": 2000}, {"Name": "small", "MaxConns": 2000}],
                "Limits": {"IdleTimeoutMs": 30_000},
            }),
        );
    }

    /// Plays the faults; true when nothing was broken.
    async fn play(&mut self) -> std::io::Result<bool> {
        sleep(START).await;
        let length = Duration::from_secs(self.options.seconds);
        let begin = Instant::now();
        let end = begin + length + CALM;
        let callers = self.call(end).await?;
        let mut plan = faults::plan_faults(&mut self.rng, length);
        plan.reverse();
        let mut endings: Vec<(Instant, Ending)> = Vec::new();
        while !plan.is_empty() || !endings.is_empty() {
            let next = plan.last().map(|planned| begin + planned.start_time);
            let over = endings.iter().map(|(at, _)| *at).min();
            let Some(due) = next.into_iter().chain(over).min() else {
                break;
            };
            sleep_until(due).await;
            self.watch_hosts();
            let now = Instant::now();
            let (ended, left) = endings.into_iter().partition(|(at, _)| *at <= now);
            endings = left;
            let ended: Vec<(Instant, Ending)> = ended;
            for (_, ending) in ended {
                self.finish(ending).await?;
            }
            while plan
                .last()
                .is_some_and(|planned| begin + planned.start_time <= now)
            {
                if let Some(planned) = plan.pop() {
                    let over = now + planned.time_to_recovery();
                    let ending = self.inject(&planned).await;
                    endings.extend(ending.into_iter().map(|ending| (over, ending)));
                }
            }
        }
        sleep_until(end - MEASURED).await;
        let before = self.counts();
        callers.join_all().await;
        self.watch_hosts();
        Ok(self.report(before))
    }

    async fn call(&mut self, end: Instant) -> std::io::Result<JoinSet<()>> {
        let mut callers = JoinSet::new();
        for index in 0..self.options.callers {
            let addr = SocketAddrV4::new(Ipv4Addr::new(127, self.net, 2, index + 1), LANE_PORT);
            let node = CallerNode::start(addr, self.router.clone(), self.checker.clone()).await?;
            for vip in [vips()[0], vips()[0], vips()[1], vips()[2]] {
                let seed = self.rng.random();
                let node = node.clone();
                callers.spawn(async move { node.run_caller(vip, seed, end).await });
            }
        }
        Ok(callers)
    }

    async fn inject(&mut self, planned: &PlannedFault) -> Vec<Ending> {
        println!(
            "{:6.1} s  {:?} for {:?}",
            planned.start_time.as_secs_f64(),
            planned.fault,
            planned.duration
        );
        match planned.fault {
            Fault::KillHost => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.hosts[host].kill().await;
                vec![Ending::Start(host)]
            }
            Fault::KillAllHosts => {
                for host in &mut self.hosts {
                    host.kill().await;
                }
                (0..self.hosts.len()).map(Ending::Start).collect()
            }
            Fault::PauseHost => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.checker
                    .begin_fault(FaultTarget::Host(self.hosts[host].spec.ip));
                self.hosts[host].signal(Signal::STOP);
                vec![Ending::Resume(host)]
            }
            Fault::RestartHost => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.hosts[host].signal(Signal::CONT);
                self.hosts[host].terminate();
                vec![Ending::Start(host)]
            }
            Fault::ReloadSettings => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.reload(host).await;
                Vec::new()
            }
            Fault::StoreMode(mode) => {
                self.store.mode.send_replace(mode);
                vec![Ending::Cheer]
            }
            Fault::PublishConfig => {
                self.publish_config();
                Vec::new()
            }
            fault => self.harm_endpoint(fault),
        }
    }

    /// Gives a host settings that it has to refuse, and then others with other seeds.
    async fn reload(&mut self, host: usize) {
        let mut seeds = self.seeds();
        seeds.truncate(self.rng.random_range(1..=3));
        let host = &self.hosts[host];
        // The kernel ends a process that gets a signal before its program has begun.
        sleep(BORN).await;
        if let Err(err) = host.truncate_settings() {
            println!("settings not written: {err}");
        }
        host.signal(Signal::HUP);
        sleep(RELOAD).await;
        if let Err(err) = host.write_settings(&seeds, self.proxy_addr) {
            println!("settings not written: {err}");
        }
        host.signal(Signal::HUP);
    }

    fn harm_endpoint(&mut self, fault: Fault) -> Vec<Ending> {
        let Some(running) = self.endpoints.choose(&mut self.rng) else {
            return Vec::new();
        };
        let endpoint = Arc::clone(&running.endpoint);
        let number = endpoint.spec.number;
        match fault {
            Fault::MuteEndpoint => {
                endpoint.set_muted(true);
                vec![Ending::Unmute(number)]
            }
            Fault::SlowEndpoint => {
                endpoint.set_slow(true);
                vec![Ending::Quicken(number)]
            }
            Fault::CrashEndpoint => {
                endpoint.restart();
                Vec::new()
            }
            Fault::ReuseAddress => {
                endpoint.drain();
                vec![Ending::Replace(number)]
            }
            _ => {
                endpoint.mark_fault(true);
                endpoint.remove_entry();
                vec![Ending::Publish(number)]
            }
        }
    }

    async fn finish(&mut self, ending: Ending) -> std::io::Result<()> {
        let found = |number| {
            let mut all = self.endpoints.iter();
            all.find(|running| running.endpoint.spec.number == number)
        };
        match ending {
            Ending::Start(host) => {
                // Another fault may have started it meanwhile.
                self.hosts[host].kill().await;
                self.hosts[host].start()?;
            }
            Ending::Resume(host) => {
                self.checker
                    .end_fault(FaultTarget::Host(self.hosts[host].spec.ip));
                self.hosts[host].signal(Signal::CONT);
            }
            Ending::Unmute(number) => {
                if let Some(running) = found(number) {
                    running.endpoint.set_muted(false);
                }
            }
            Ending::Quicken(number) => {
                if let Some(running) = found(number) {
                    running.endpoint.set_slow(false);
                }
            }
            Ending::Publish(number) => {
                if let Some(running) = found(number) {
                    running.endpoint.mark_fault(false);
                    running.endpoint.publish();
                }
            }
            Ending::Cheer => {
                self.store.mode.send_replace(StoreMode::Up);
            }
            Ending::Replace(number) => self.replace(number).await?,
        }
        Ok(())
    }

    /// Ends an endpoint that has drained, and gives its address to the other service.
    async fn replace(&mut self, number: u64) -> std::io::Result<()> {
        let found = self.endpoints.iter();
        let mut found = found.map(|running| running.endpoint.spec.number);
        let Some(at) = found.position(|known| known == number) else {
            return Ok(());
        };
        let old = self.endpoints.swap_remove(at);
        let spec = old.endpoint.spec.clone();
        old.endpoint.remove_entry();
        old.endpoint.restart();
        old.endpoint.remove_entry();
        drop(old);
        // The socket closes when the last task that uses it has ended.
        sleep(Duration::from_millis(100)).await;
        let service = if spec.service == "main" {
            "small"
        } else {
            "main"
        };
        let zone = ZONES
            .iter()
            .position(|zone| *zone == spec.zone)
            .unwrap_or(0);
        let index = u8::try_from(zone).unwrap_or(0);
        let same = u8::try_from(self.endpoints.len()).unwrap_or(0);
        // Its successor keeps the service in strength, at another address.
        let successor = self.address(5 + u8::try_from(self.next % 64).unwrap_or(0), same);
        self.add_endpoint(spec.service, index, successor).await?;
        if let Err(err) = self.add_endpoint(service, index, spec.addr).await {
            println!("address {} is still in use: {err}", spec.addr);
        }
        Ok(())
    }

    /// Looks for processes that have ended by themselves.
    fn watch_hosts(&mut self) {
        for host in &mut self.hosts {
            if host.has_exited() {
                let details = format!("{} ended by itself", host.spec.name);
                self.checker.lock().report_violation("exit", &details);
            }
        }
    }

    fn counts(&self) -> (u64, u64) {
        let observed = self.checker.lock();
        (observed.total_requests, observed.served_requests)
    }

    fn report(&self, before: (u64, u64)) -> bool {
        let mut observed = self.checker.lock();
        let (asked, served) = (
            observed.total_requests - before.0,
            observed.served_requests - before.1,
        );
        let share = ratio(served, asked);
        if share < SERVED {
            let details = format!("{served} of {asked} requests in the calm at the end");
            observed.report_violation("served", &details);
        }
        for line in &observed.violations {
            println!("broken  {line}");
        }
        println!(
            "seed={} asked={} served={} late={} refused={} resets={} calm={share:.3} broken={}",
            self.options.seed,
            observed.total_requests,
            observed.served_requests,
            observed.late_answers,
            observed.failed_requests,
            observed.host_resets,
            observed.violation_counts.values().sum::<u32>(),
        );
        observed.violation_counts.is_empty()
    }

    async fn end(mut self) -> std::io::Result<()> {
        for host in &mut self.hosts {
            host.kill().await;
        }
        if self.options.keep {
            let logs = self.hosts.iter().map(Host::log_path);
            println!("logs: {:?}", logs.collect::<Vec<_>>());
            return Ok(());
        }
        std::fs::remove_dir_all(&self.dir)
    }
}

fn route(addr: SocketAddrV4, service: &str, run_once: bool) -> serde_json::Value {
    json!({
        "Name": format!("r-{addr}"), "Host": addr.ip(), "Prefix": format!("/{}/", addr.port()),
        "Type": if run_once { "unsafe" } else { "safe" }, "TimeoutMs": 4_000,
        "TargetLatencyMs": 400, "Priority": 1, "Service": service, "MaxAttempts": 3,
    })
}

fn ratio(part: u64, whole: u64) -> f64 {
    let count = |number| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    count(part) / count(whole).max(1.0)
}
