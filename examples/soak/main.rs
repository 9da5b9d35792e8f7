//! Soak test of the relay with random faults.
//!
//! Hosts run as separate processes on loopback; faults are injected from outside.
//!
//! `cargo run --release --example soak -- --seed N --seconds S`
//!
//! Every host has its own address in 127.0.0.0/8. Callers, endpoints, the router, the
//! store and the proxy to it run in this process. Faults overlap while callers keep using
//! their open flows. The checker verifies the guarantees as events happen. The run ends
//! with a period without faults, in which the system has to recover. Signals are sent
//! only to processes that this program started, by their process ids.

mod caller;
mod endpoint;
mod faults;
mod history;
mod hosts;
mod ledger;
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
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use caller::{CallerNode, Vip};
use endpoint::{EndpointSpec, RunningEndpoint};
use faults::{Fault, PlannedFault};
use hosts::{Host, HostSpec, LANE_PORT, Router};
use ledger::{Checker, FaultTarget};
use store::{Store, StoreMode};

/// Availability zones of hosts and endpoints.
pub const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Key prefix of orders to evacuate a zone.
const EVACUATION_PREFIX: &str = "op/evacuate/";

/// Time for hosts to start and enter rotation.
const STARTUP_TIME: Duration = Duration::from_secs(3);

/// Period without planned faults at the end: time for the last ones to end and for hosts to
/// recover from them, for the check of a change, and the final part in which the share of
/// served requests is measured.
const FAULT_FREE_TIME: Duration = Duration::from_secs(17);
const MEASURED_TIME: Duration = Duration::from_secs(3);

/// Exceeds the length of every run.
const MAX_RUN_TIME: Duration = Duration::from_hours(24);

/// Time without faults after which a change must be in force within [`APPLY_TIME`] on all
/// hosts, and the users' limit for that.
const SETTLING_TIME: Duration = Duration::from_secs(4);
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Times after the restore of the store at which its writers have written again what was
/// lost, and at which the entries of endpoints that are gone expire.
const REWRITE_TIME: Duration = Duration::from_millis(1_200);
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);

/// Time that a new process needs until its program runs, on a busy machine.
const EXEC_TIME: Duration = Duration::from_millis(100);

/// Time for which a host's settings file is left invalid.
const INVALID_SETTINGS_TIME: Duration = Duration::from_millis(200);

/// Interval at which the soak checks whether it stood still, and the delay above which it reports
/// that: callers retransmit after 200 ms.
const PAUSE_CHECK_PERIOD: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Minimum share of requests that must be served in the measured period.
const MIN_SERVED_SHARE: f64 = 0.98;

/// Runs a soak test of the relay with random faults.
#[derive(Bpaf, Clone)]
#[bpaf(options)]
struct Options {
    /// Seed for faults and traffic
    #[bpaf(fallback(1))]
    seed: u64,
    /// Duration of the period with faults, in seconds
    #[bpaf(fallback(20))]
    seconds: u64,
    /// Number of hosts, spread over three zones
    #[bpaf(fallback(4))]
    hosts: u8,
    /// Number of endpoints of the larger service; the smaller one has a third of it
    #[bpaf(fallback(9))]
    endpoints: u8,
    /// Number of machines with four callers each
    #[bpaf(fallback(6))]
    callers: u8,
    /// Path of the program to run as a host
    #[bpaf(fallback(PathBuf::from("target/release/jacinthhinge")))]
    bin: PathBuf,
    /// Keep the settings and logs of the hosts
    keep: bool,
    /// Leave out evacuations, as for seeds that failed before these were added
    no_evacuations: bool,
}

/// State of a run.
struct Soak {
    options: Options,
    rng: SmallRng,
    subnet: u8,
    checker: Checker,
    store: Store,
    /// Addresses at which hosts reach the store; they start with the first one.
    proxy_addrs: [SocketAddr; 2],
    router: Router,
    hosts: Vec<Host>,
    endpoints: Vec<RunningEndpoint>,
    config_version: u64,
    /// The newest configuration.
    config: serde_json::Value,
    next_endpoint: u64,
    evacuated_zone: Option<&'static str>,
    work_dir: PathBuf,
}

/// Action that ends a fault.
enum Recovery {
    StartHost(usize),
    ResumeHost(usize),
    UnmuteEndpoint(u64),
    RestoreSpeed(u64),
    ReplaceEndpoint(u64),
    PublishEntry(u64),
    RestoreStore,
    RestoreCopy(Duration),
    RewriteStore,
    ExpireEntries,
    ReturnZone(&'static str),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<ExitCode> {
    let options = options().run();
    let mut soak = Soak::start(options).await?;
    let passed = soak.run().await?;
    soak.shut_down().await?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Prints when the soak itself stood still: callers, endpoints and the store run in this process,
/// so requests fail then without a fault of the hosts.
async fn report_pauses() {
    let started_at = Instant::now();
    loop {
        let due = Instant::now() + PAUSE_CHECK_PERIOD;
        sleep_until(due).await;
        let late = due.elapsed();
        if late > MAX_PAUSE {
            let at = started_at.elapsed().saturating_sub(STARTUP_TIME);
            println!(
                "{:6.1} s  the soak itself stood still for {late:?}",
                at.as_secs_f64()
            );
        }
    }
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

impl Soak {
    async fn start(options: Options) -> std::io::Result<Self> {
        // Each seed has its own subnet, so that runs with other seeds can share the machine.
        let subnet = 64 + u8::try_from(options.seed % 128).unwrap_or(0);
        let at = |group, last, port| SocketAddr::from(([127, subnet, group, last], port));
        let proxy_addrs = [at(0, 2, 27_100), at(0, 3, 27_100)];
        let checker = Checker::default();
        let work_dir = std::env::temp_dir().join(format!(
            "jacinthhinge-soak-{}-{}",
            options.seed,
            std::process::id()
        ));
        std::fs::create_dir_all(&work_dir)?;
        let mut soak = Self {
            rng: SmallRng::seed_from_u64(options.seed),
            subnet,
            store: Store::start(at(0, 1, 27_100), &proxy_addrs).await?,
            checker,
            proxy_addrs,
            router: Router::default(),
            hosts: Vec::new(),
            endpoints: Vec::new(),
            config_version: 0,
            config: serde_json::Value::Null,
            next_endpoint: 1,
            evacuated_zone: None,
            work_dir,
            options,
        };
        soak.publish_config();
        for index in 0..soak.options.endpoints {
            soak.add_endpoint("main", index, soak.endpoint_addr(3, index))
                .await?;
        }
        for index in 0..soak.options.endpoints.div_ceil(3) {
            soak.add_endpoint("small", index, soak.endpoint_addr(4, index))
                .await?;
        }
        for index in 0..soak.options.hosts {
            soak.add_host(index)?;
        }
        Ok(soak)
    }

    fn endpoint_addr(&self, group: u8, index: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, group, index + 1), 27_200)
    }

    fn seed_ips(&self) -> Vec<Ipv4Addr> {
        let count = self.options.hosts.min(3);
        (1..=count)
            .map(|last| Ipv4Addr::new(127, self.subnet, 1, last))
            .collect()
    }

    fn add_host(&mut self, index: u8) -> std::io::Result<()> {
        let spec = HostSpec {
            name: format!("host-{index}"),
            ip: Ipv4Addr::new(127, self.subnet, 1, index + 1),
            zone: ZONES[usize::from(index) % ZONES.len()],
        };
        self.router.add(spec.ip);
        let seeds = self.seed_ips();
        let (proxy_addr, work_dir, bin) = (self.proxy_addrs[0], &self.work_dir, &self.options.bin);
        let mut host = Host::new(
            spec,
            &seeds,
            proxy_addr,
            work_dir,
            bin,
            self.checker.clone(),
        )?;
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
            number: self.next_endpoint,
            service,
            service_tag: if service == "main" { 1 } else { 2 },
            zone: ZONES[usize::from(index) % ZONES.len()],
            addr,
            slots: 3,
            caller_port: LANE_PORT,
        };
        self.next_endpoint += 1;
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let (store, checker) = (self.store.clone(), self.checker.clone());
        self.endpoints
            .push(RunningEndpoint::start(spec, store, checker, rng).await?);
        Ok(())
    }

    /// Publishes the next version of the configuration with a random number of routes that
    /// get no traffic.
    fn publish_config(&mut self) {
        self.config_version += self.rng.random_range(1..4);
        let served_routes = vips().map(|vip| {
            let service = if vip.service_tag == 1 {
                "main"
            } else {
                "small"
            };
            route(vip.addr, service, vip.run_once)
        });
        let version_route = route(version_vip(self.config_version), "main", false);
        let idle_routes = (0..self.rng.random_range(0..200_u8)).map(|last| {
            let addr = SocketAddrV4::new(Ipv4Addr::new(198, 18, 1, last), 443);
            route(addr, "main", false)
        });
        let routes = served_routes.into_iter().chain([version_route]);
        let routes: Vec<_> = routes.chain(idle_routes).collect();
        self.config = json!({
            "Version": self.config_version, "Routes": routes,
            "Services": [{"Name": "main", "MaxConns": 2000}, {"Name": "small", "MaxConns": 2000}],
            "Limits": {"IdleTimeoutMs": 30_000},
        });
        self.store.set("op/config", &self.config);
    }

    /// Writes again what the operator and the endpoints have written.
    fn rewrite_store(&self) {
        self.store.set("op/config", &self.config);
        self.publish_evacuation();
        for running in &self.endpoints {
            running.endpoint.publish();
        }
    }

    /// Publishes the evacuation that stands, if there is one, and removes all others.
    fn publish_evacuation(&self) {
        let keys: Vec<String> = self
            .evacuated_zone
            .map(evacuation_key)
            .into_iter()
            .collect();
        self.store.retain(EVACUATION_PREFIX, &keys);
        if let Some(zone) = self.evacuated_zone {
            self.store.set(&evacuation_key(zone), &json!({}));
            self.checker.begin_evacuation(zone);
        }
    }

    /// Publishes a change after the last fault and checks that all hosts apply it in time.
    async fn check_config(&mut self, faults_ended: Instant) -> std::io::Result<()> {
        sleep_until(faults_ended + SETTLING_TIME).await;
        self.publish_config();
        sleep_until(faults_ended + SETTLING_TIME + APPLY_TIME).await;
        let vip = version_vip(self.config_version);
        for (index, host) in self.hosts.iter().enumerate() {
            let router = Router::default();
            router.add(host.spec.ip);
            let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
            let addr = SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 6, last), LANE_PORT);
            let prober = CallerNode::start(addr, router, self.checker.clone()).await?;
            if !prober.can_open(vip, &mut self.rng).await {
                let details = format!("{} lacks version {}", host.spec.name, self.config_version);
                self.checker.lock().report_violation("config", &details);
            }
        }
        Ok(())
    }

    /// Injects the faults and returns true if no guarantee was violated.
    async fn run(&mut self) -> std::io::Result<bool> {
        tokio::spawn(report_pauses());
        sleep(STARTUP_TIME).await;
        let fault_time = Duration::from_secs(self.options.seconds);
        let started_at = Instant::now();
        self.checker.lock().started_at = Some(started_at.into_std());
        let (callers_end, end) = watch::channel(started_at + MAX_RUN_TIME);
        let callers = self.start_callers(&end).await?;
        let mut plan = faults::plan_faults(&mut self.rng, fault_time);
        if !self.options.no_evacuations {
            faults::add_evacuations(&mut plan, self.options.seed, fault_time);
        }
        plan.reverse();
        let mut recoveries: Vec<(Instant, Recovery)> = Vec::new();
        while !plan.is_empty() || !recoveries.is_empty() {
            let next = plan.last().map(|planned| started_at + planned.start_time);
            let recovers_at = recoveries.iter().map(|(at, _)| *at).min();
            let Some(due) = next.into_iter().chain(recovers_at).min() else {
                break;
            };
            sleep_until(due).await;
            self.check_host_exits();
            let now = Instant::now();
            let (expired, pending) = recoveries.into_iter().partition(|(at, _)| *at <= now);
            recoveries = pending;
            let expired: Vec<(Instant, Recovery)> = expired;
            for (_, recovery) in expired {
                let next = self.recover(recovery).await?;
                recoveries.extend(next.map(|(delay, recovery)| (now + delay, recovery)));
            }
            while plan
                .last()
                .is_some_and(|planned| started_at + planned.start_time <= now)
            {
                if let Some(planned) = plan.pop() {
                    let recovers_at = now + planned.time_to_recovery();
                    let recovery = self.inject(&planned).await;
                    recoveries.extend(recovery.into_iter().map(|recovery| (recovers_at, recovery)));
                }
            }
        }
        self.check_config(Instant::now()).await?;
        // A write of a settings file that waits for the disk delays the faults after it.
        let planned_end = started_at + fault_time + FAULT_FREE_TIME;
        let end = planned_end.max(Instant::now() + MEASURED_TIME);
        callers_end.send_replace(end);
        sleep_until(end - MEASURED_TIME).await;
        let counts_before = self.request_counts();
        callers.join_all().await;
        self.check_host_exits();
        Ok(self.print_report(counts_before))
    }

    async fn start_callers(
        &mut self,
        end: &watch::Receiver<Instant>,
    ) -> std::io::Result<JoinSet<()>> {
        let mut callers = JoinSet::new();
        for index in 0..self.options.callers {
            let addr = SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 2, index + 1), LANE_PORT);
            let node = CallerNode::start(addr, self.router.clone(), self.checker.clone()).await?;
            for vip in [vips()[0], vips()[0], vips()[1], vips()[2]] {
                let seed = self.rng.random();
                let (node, end) = (node.clone(), end.clone());
                callers.spawn(async move { node.run_caller(vip, seed, end).await });
            }
        }
        Ok(callers)
    }

    async fn inject(&mut self, planned: &PlannedFault) -> Vec<Recovery> {
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
                vec![Recovery::StartHost(host)]
            }
            Fault::KillAllHosts => {
                for host in &mut self.hosts {
                    host.kill().await;
                }
                (0..self.hosts.len()).map(Recovery::StartHost).collect()
            }
            Fault::PauseHost => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.checker
                    .begin_fault(FaultTarget::Host(self.hosts[host].spec.ip));
                self.hosts[host].signal(Signal::STOP);
                vec![Recovery::ResumeHost(host)]
            }
            Fault::RestartHost => {
                let host = self.rng.random_range(0..self.hosts.len());
                println!("          {}", self.hosts[host].spec.name);
                self.hosts[host].signal(Signal::CONT);
                self.hosts[host].terminate();
                vec![Recovery::StartHost(host)]
            }
            Fault::ReloadSettings => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.reload_settings(host).await;
                Vec::new()
            }
            Fault::StoreMode(mode) => {
                self.checker.begin_fault(FaultTarget::Store);
                self.store.mode.send_replace(mode);
                vec![Recovery::RestoreStore]
            }
            Fault::RestoreStore(copy_age) => {
                self.checker.begin_fault(FaultTarget::Store);
                self.store.mode.send_replace(StoreMode::Reset);
                vec![Recovery::RestoreCopy(copy_age)]
            }
            Fault::PublishConfig => {
                self.publish_config();
                Vec::new()
            }
            Fault::EvacuateZone(zone) => {
                if let Some(earlier) = self.evacuated_zone.replace(zone) {
                    self.checker.end_evacuation(earlier);
                }
                self.publish_evacuation();
                vec![Recovery::ReturnZone(zone)]
            }
            fault => self.inject_endpoint_fault(fault),
        }
    }

    /// Gives a host invalid settings, which it must reject, and then valid ones with other
    /// seeds, in one of three cases also with the second address of the store.
    async fn reload_settings(&mut self, host: usize) {
        let mut seeds = self.seed_ips();
        let seed_count = self.rng.random_range(1..=3);
        seeds.truncate(seed_count);
        // Not a draw of its own, so that the other faults of a seed stay the same.
        let proxy_addr = self.proxy_addrs[usize::from(seed_count == 1)];
        let host = &self.hosts[host];
        // A signal ends a process whose program has not installed its handlers yet.
        sleep(EXEC_TIME).await;
        if let Err(err) = host.truncate_settings().await {
            println!("cannot write the settings of a host: {err}");
        }
        host.signal(Signal::HUP);
        sleep(INVALID_SETTINGS_TIME).await;
        if let Err(err) = host.write_settings(&seeds, proxy_addr).await {
            println!("cannot write the settings of a host: {err}");
        }
        host.signal(Signal::HUP);
    }

    fn inject_endpoint_fault(&mut self, fault: Fault) -> Vec<Recovery> {
        let Some(running) = self.endpoints.choose(&mut self.rng) else {
            return Vec::new();
        };
        let endpoint = Arc::clone(&running.endpoint);
        let number = endpoint.spec.number;
        println!("          endpoint {number:x} of {}", endpoint.spec.service);
        match fault {
            Fault::MuteEndpoint => {
                endpoint.set_muted(true);
                vec![Recovery::UnmuteEndpoint(number)]
            }
            Fault::SlowEndpoint => {
                endpoint.set_slow(true);
                vec![Recovery::RestoreSpeed(number)]
            }
            Fault::CrashEndpoint => {
                endpoint.restart();
                Vec::new()
            }
            Fault::ReuseAddress => {
                endpoint.drain();
                vec![Recovery::ReplaceEndpoint(number)]
            }
            _ => {
                endpoint.set_expired(true);
                endpoint.remove_entry();
                vec![Recovery::PublishEntry(number)]
            }
        }
    }

    /// Ends a fault, or one of its steps. Returns the next step and its delay.
    async fn recover(
        &mut self,
        recovery: Recovery,
    ) -> std::io::Result<Option<(Duration, Recovery)>> {
        let find_endpoint = |number| {
            let mut all = self.endpoints.iter();
            all.find(|running| running.endpoint.spec.number == number)
        };
        match recovery {
            Recovery::StartHost(host) => {
                // The recovery from another fault may have started it already.
                self.hosts[host].kill().await;
                self.hosts[host].start()?;
            }
            Recovery::ResumeHost(host) => {
                self.hosts[host].resume();
            }
            Recovery::UnmuteEndpoint(number) => {
                if let Some(running) = find_endpoint(number) {
                    running.endpoint.set_muted(false);
                }
            }
            Recovery::RestoreSpeed(number) => {
                if let Some(running) = find_endpoint(number) {
                    running.endpoint.set_slow(false);
                }
            }
            Recovery::PublishEntry(number) => {
                if let Some(running) = find_endpoint(number) {
                    running.endpoint.set_expired(false);
                    running.endpoint.publish();
                }
            }
            Recovery::RestoreStore => {
                self.checker.end_fault(FaultTarget::Store);
                self.store.mode.send_replace(StoreMode::Up);
            }
            Recovery::RestoreCopy(copy_age) => {
                self.store.restore(copy_age);
                self.checker.end_fault(FaultTarget::Store);
                self.store.mode.send_replace(StoreMode::Up);
                return Ok(Some((REWRITE_TIME, Recovery::RewriteStore)));
            }
            Recovery::RewriteStore => {
                self.rewrite_store();
                let delay = EXPIRY_TIME.saturating_sub(REWRITE_TIME);
                return Ok(Some((delay, Recovery::ExpireEntries)));
            }
            Recovery::ExpireEntries => {
                let endpoints = self.endpoints.iter();
                let keys: Vec<String> = endpoints.map(|row| row.endpoint.store_key()).collect();
                self.store.retain("servers/", &keys);
            }
            Recovery::ReplaceEndpoint(number) => self.replace_endpoint(number).await?,
            Recovery::ReturnZone(zone) => {
                if self.evacuated_zone == Some(zone) {
                    self.evacuated_zone = None;
                    self.checker.end_evacuation(zone);
                    self.store.remove(&evacuation_key(zone));
                }
            }
        }
        Ok(None)
    }

    /// Removes an endpoint that has drained and gives its address to the other service.
    async fn replace_endpoint(&mut self, number: u64) -> std::io::Result<()> {
        let numbers = self.endpoints.iter();
        let mut numbers = numbers.map(|running| running.endpoint.spec.number);
        let Some(position) = numbers.position(|known| known == number) else {
            return Ok(());
        };
        let old = self.endpoints.swap_remove(position);
        let spec = old.endpoint.spec.clone();
        old.endpoint.remove_entry();
        old.endpoint.restart();
        old.endpoint.remove_entry();
        drop(old);
        // The socket closes when the last task that uses it has ended, shortly after the
        // abort.
        sleep(Duration::from_millis(100)).await;
        let service = if spec.service == "main" {
            "small"
        } else {
            "main"
        };
        let zone_index = ZONES
            .iter()
            .position(|zone| *zone == spec.zone)
            .unwrap_or(0);
        let index = u8::try_from(zone_index).unwrap_or(0);
        let addr_index = u8::try_from(self.endpoints.len()).unwrap_or(0);
        // A successor at another address keeps the number of the service's endpoints.
        let successor = self.endpoint_addr(
            5 + u8::try_from(self.next_endpoint % 64).unwrap_or(0),
            addr_index,
        );
        self.add_endpoint(spec.service, index, successor).await?;
        if let Err(err) = self.add_endpoint(service, index, spec.addr).await {
            println!("address {} cannot be reused: {err}", spec.addr);
        }
        Ok(())
    }

    /// Reports hosts whose process has exited although nothing stopped it.
    fn check_host_exits(&mut self) {
        for host in &mut self.hosts {
            if host.has_exited() {
                let details = format!("{} exited unexpectedly", host.spec.name);
                self.checker.lock().report_violation("exit", &details);
            }
        }
    }

    fn request_counts(&self) -> (u64, u64) {
        let observed = self.checker.lock();
        (observed.total_requests, observed.served_requests)
    }

    fn print_report(&self, counts_before: (u64, u64)) -> bool {
        let mut observed = self.checker.lock();
        let (asked, served) = (
            observed.total_requests - counts_before.0,
            observed.served_requests - counts_before.1,
        );
        let share = ratio(served, asked);
        if share < MIN_SERVED_SHARE {
            let details = format!("{served} of {asked} requests in the measured period");
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

    async fn shut_down(mut self) -> std::io::Result<()> {
        for host in &mut self.hosts {
            host.kill().await;
        }
        if self.options.keep {
            let logs = self.hosts.iter().map(Host::log_path);
            println!("logs: {:?}", logs.collect::<Vec<_>>());
            return Ok(());
        }
        std::fs::remove_dir_all(&self.work_dir)
    }
}

/// Returns the key of the order to evacuate a zone.
fn evacuation_key(zone: &str) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// Returns the address of the route that only this version of the configuration has.
fn version_vip(version: u64) -> SocketAddrV4 {
    let last = u8::try_from(version % 250).unwrap_or(0);
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 2, last), 444)
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
