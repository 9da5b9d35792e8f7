//! The daemon: one control thread and one traffic thread per lane.
//!
//! On SIGTERM or SIGINT the host leaves: it announces its leave, completes the work in
//! flight and exits. A second signal ends the process immediately.

use std::collections::BTreeMap;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, pending};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use super::control::{self, ControlChannels, ControlSettings, PlatformSource};
use super::exposition::Exposition;
use super::inspect::explain_handler;
use super::lane::{Codec, Lane, RankStats, SharedState};
use super::logs;
use super::ops::{self, OpsHandlers, ReadyCheck};
use super::settings::Settings;
use super::statsd::StatsdReporter;
use crate::clock::Clock;
use crate::config::Config;
use crate::control::message::HostInfo;
use crate::control::{
    self as control_plane, BuiltConfig, ConfigBuilder, DEFAULT_SUMMED_FROM, LiveSettings,
    ReadPacing, Values,
};
use crate::error::{Error, Result};
use crate::id::{Id, Incarnation, Name};
use crate::platform::store::Store;
use crate::report::LaneReport;
use crate::report::PeerReports;
use crate::snapshot::Snapshot;
use crate::systems::{Policies, Tuning};
use crate::ticket::Home;

/// Prefix of the keys under which operators publish configuration values.
const CONFIG_PREFIX: &str = "config/";

/// Interval between two reports of metrics to the statsd server.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Exit status of a process ended by a second signal.
const FORCED_EXIT_STATUS: i32 = 130;

type DumpSender = mpsc::Sender<oneshot::Sender<Value>>;

/// Runs a host with this project's own packets until it has left.
///
/// # Errors
///
/// Returns an error when a socket cannot be opened or a thread cannot be started.
pub fn run(settings: &Settings) -> Result<(), Report<Error>> {
    logs::start(&settings.log_level, &settings.name)?;
    run_with(settings, FrontEnd::for_packets(settings))
}

/// Runs a host with the given front end until it has left.
///
/// # Errors
///
/// Returns an error when a socket cannot be opened or a thread cannot be started.
pub fn run_with(settings: &Settings, front_end: FrontEnd) -> Result<(), Report<Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::io("start the control thread", source))?;
    runtime.block_on(serve(settings, front_end))?;
    Ok(())
}

async fn serve(settings: &Settings, front_end: FrontEnd) -> Result<()> {
    let clock = Clock::monotonic();
    let incarnation = incarnation();
    let tuning = Tuning {
        zone_cost: settings.zone_cost,
        ..Tuning::DEFAULT
    };
    let shared = Arc::new(SharedState {
        policies: Arc::new(Policies::with_tuning(tuning)),
        snapshot: ArcSwap::from_pointee(Snapshot::empty(settings.ticket_keys.clone())),
        reports: ArcSwap::default(),
    });
    let lanes = start_lanes(settings, incarnation, &shared, &clock, &front_end.codec)?;
    let (dump_sender, dump_requests) = ControlChannels::dump_channel();
    let (leave, leaving) = watch::channel(false);
    let channels = ControlChannels {
        publish_snapshot: snapshot_publisher(&shared),
        publish_reports: reports_publisher(&shared),
        count_in_flight: in_flight_counter(&lanes),
        leave: leaving.clone(),
        lane_reports: lane_reports(&lanes),
        dump_requests,
        settings: front_end.settings,
    };
    let control_settings = ControlSettings {
        control: control_plane::Settings {
            incarnation,
            rng_seed: incarnation,
            ..front_end.control
        },
        peer_key: settings.peer_key.clone(),
        source: front_end.source,
    };
    let reporter = StatsdReporter::new(settings.statsd_addr)?;
    log::info!(
        zone:% = settings.zone, region:% = settings.region,
        lanes:? = settings.lanes, peers:? = settings.seeds, platform:% = settings.platform_addr;
        "started"
    );
    let ops = ops_handlers(&lanes, dump_sender.clone(), &shared, &leaving);
    let probes = (front_end.serve_probes)(Arc::clone(&ops.ready));
    tokio::select! {
        result = control::run(control_settings, clock, channels) => result?,
        result = probes => result?,
        result = front_end.reload => result?,
        result = ops::run(settings.ops_addr, ops, pending()) => result?,
        () = report_metrics(reporter, &lanes, &dump_sender), if settings.statsd_addr.is_some() => {},
        result = handle_signals(leave) => result?,
    }
    stop_lanes(lanes).await;
    log::info!("ended");
    logs::flush();
    Ok(())
}

/// Returns the wall-clock time in microseconds, which differs from the incarnation of any
/// earlier run of this host.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    u64::try_from(micros).unwrap_or(u64::MAX)
}

fn start_lanes(
    settings: &Settings,
    incarnation: Incarnation,
    shared: &Arc<SharedState>,
    clock: &Clock,
    codec: &Arc<Codec>,
) -> Result<Arc<[Lane]>> {
    settings
        .lanes
        .iter()
        .map(|addr| {
            let home = Home {
                host: Id::of(&settings.name),
                incarnation,
                addr: *addr,
            };
            let seed = incarnation ^ u64::from(addr.port());
            let (shared, codec) = (Arc::clone(shared), Arc::clone(codec));
            Lane::start(home, shared, clock.clone(), seed, codec)
        })
        .collect()
}

async fn stop_lanes(lanes: Arc<[Lane]>) {
    for lane in lanes.iter() {
        lane.stop().await;
    }
}

fn reports_publisher(shared: &Arc<SharedState>) -> Arc<dyn Fn(Arc<PeerReports>) + Send + Sync> {
    let shared = Arc::clone(shared);
    Arc::new(move |reports| shared.reports.store(reports))
}

fn snapshot_publisher(shared: &Arc<SharedState>) -> Arc<dyn Fn(Arc<Snapshot>) + Send + Sync> {
    let shared = Arc::clone(shared);
    Arc::new(move |snapshot| shared.snapshot.store(snapshot))
}

fn in_flight_counter(lanes: &Arc<[Lane]>) -> Arc<dyn Fn() -> usize + Send + Sync> {
    let lanes = Arc::clone(lanes);
    Arc::new(move || {
        let count = |lane: &Lane| lane.stats.in_flight.load(Ordering::Relaxed);
        lanes.iter().map(count).sum()
    })
}

fn lane_reports(lanes: &Arc<[Lane]>) -> Arc<dyn Fn() -> Vec<Arc<LaneReport>> + Send + Sync> {
    let lanes = Arc::clone(lanes);
    Arc::new(move || {
        let reports = lanes.iter().map(|lane| lane.stats.report.load_full());
        reports.collect()
    })
}

/// Parts of the daemon that depend on its front end.
pub struct FrontEnd {
    /// Datagram format of the lanes.
    pub codec: Arc<Codec>,
    /// Source of values and hosts on the platform.
    pub source: PlatformSource,
    /// Settings of the control thread. The daemon replaces the incarnation and the seed of
    /// the random numbers.
    pub control: control_plane::Settings,
    /// Settings of the control thread that can change while it runs.
    pub settings: watch::Receiver<LiveSettings>,
    /// Serves readiness probes until an error occurs.
    pub serve_probes: Box<dyn FnOnce(ReadyCheck) -> BoxFuture<'static, Result<()>>>,
    /// Reloads the settings when they change, until an error occurs.
    pub reload: BoxFuture<'static, Result<()>>,
}

impl FrontEnd {
    /// Returns the front end for this project's own packets.
    #[must_use]
    pub fn for_packets(settings: &Settings) -> Self {
        let control = control_settings(settings);
        let (_, live_settings) = watch::channel(control.live(settings.platform_addr));
        let store = Store::new(settings.platform_addr, CONFIG_PREFIX);
        Self {
            codec: Arc::new(Codec::for_packets()),
            source: PlatformSource::from_store(&store),
            control,
            settings: live_settings,
            serve_probes: Box::new(|_| pending().boxed()),
            reload: pending().boxed(),
        }
    }
}

impl std::fmt::Debug for FrontEnd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FrontEnd(..)")
    }
}

/// Returns the settings of the control thread for a host that uses this project's own
/// packets.
#[must_use]
pub fn control_settings(settings: &Settings) -> control_plane::Settings {
    let info = HostInfo {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        availability_zone: settings.zone.clone(),
        peer_addr: settings.peer_addr,
        lanes: settings.lanes.clone(),
    };
    control_plane::Settings {
        info,
        incarnation: 0,
        seeds: settings.seeds.clone(),
        keys: settings.ticket_keys.clone(),
        lease_timing: control_plane::LeaseTiming::default(),
        drain_limit: DEFAULT_DRAIN_LIMIT,
        config_builder: config_builder(settings),
        read_pacing: ReadPacing::default(),
        summed_from: DEFAULT_SUMMED_FROM,
        rng_seed: 0,
    }
}

/// Maximum time that a leaving host waits for work in flight.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_mins(1);

/// Returns the function that builds this host's services from configuration values.
fn config_builder(settings: &Settings) -> ConfigBuilder {
    let (host, zone) = (settings.name.clone(), settings.zone.clone());
    ConfigBuilder::new(move |values: &Values| {
        let texts = values
            .iter()
            .filter_map(|(key, value)| Some((&**key, value.json.as_deref()?)));
        let config = Config::from_values(texts)?;
        Ok(BuiltConfig {
            services: config.services(&host, &zone),
            evacuated_zones: config.evacuated_zones(),
            keys: config.keys(),
            ..BuiltConfig::default()
        })
    })
    .with_check(Config::check_value)
}

/// Reports counters and gauges to the statsd server, forever.
async fn report_metrics(mut reporter: StatsdReporter, lanes: &[Lane], dump_sender: &DumpSender) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let flows = lanes
            .iter()
            .map(|lane| lane.stats.flows.load(Ordering::Relaxed));
        reporter.report_gauge("flows", flows.sum());
        let mut counters = sum_counters(lanes);
        let tables = dump_control(dump_sender).await.unwrap_or_default();
        counters.extend(control_counters(&tables));
        reporter.report_counters(Value::Object(counters));
    }
}

/// Returns the counters among the control tables, named `control.NAME`.
fn control_counters(tables: &Value) -> Map<String, Value> {
    let counters = tables["counters"].as_object().cloned().unwrap_or_default();
    counters
        .into_iter()
        .map(|(name, total)| (format!("control.{name}"), total))
        .collect()
}

/// Returns the sums of the counters of all lanes.
fn sum_counters(lanes: &[Lane]) -> Map<String, Value> {
    let mut sums = Map::new();
    for lane in lanes {
        let Value::Object(counters) = json!(**lane.stats.counters.load()) else {
            continue;
        };
        for (name, count) in counters {
            let sum = sums.entry(name).or_insert(json!(0));
            *sum = json!(sum.as_u64().unwrap_or(0) + count.as_u64().unwrap_or(0));
        }
    }
    sums
}

/// Makes the host leave at the first signal and ends the process at the second.
async fn handle_signals(leave: watch::Sender<bool>) -> Result<()> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let mut next_signal = async || {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    next_signal().await;
    log::info!(cause = "signal"; "stopping");
    let _ = leave.send(true);
    next_signal().await;
    log::warn!(cause = "second_signal"; "ended");
    logs::flush();
    process::exit(FORCED_EXIT_STATUS)
}

fn signal_stream(kind: SignalKind) -> Result<Signal> {
    signal(kind).map_err(|source| Error::io("listen for signals", source))
}

fn ops_handlers(
    lanes: &Arc<[Lane]>,
    dump_sender: DumpSender,
    shared: &Arc<SharedState>,
    leaving: &watch::Receiver<bool>,
) -> OpsHandlers {
    let lanes = Arc::clone(lanes);
    let shared = Arc::clone(shared);
    let leaving = leaving.clone();
    let (metrics_lanes, metrics_sender) = (Arc::clone(&lanes), dump_sender.clone());
    let metrics_shared = Arc::clone(&shared);
    OpsHandlers {
        metrics: Arc::new(move || {
            let (lanes, dump_sender) = (Arc::clone(&metrics_lanes), metrics_sender.clone());
            let snapshot = metrics_shared.snapshot.load_full();
            async move { render_metrics(&lanes, &dump_sender, &snapshot).await }.boxed()
        }),
        explain: explain_handler(&lanes, &shared),
        dump: Arc::new(move |name| dump_tables(Arc::clone(&lanes), dump_sender.clone(), name)),
        ready: Arc::new(move || {
            let snapshot = shared.snapshot.load();
            !snapshot.services.is_empty() && !snapshot.hosts.is_empty() && !*leaving.borrow()
        }),
    }
}

/// Renders all metrics of the process as text.
async fn render_metrics(
    lanes: &[Lane],
    dump_sender: &DumpSender,
    snapshot: &Snapshot,
) -> Option<String> {
    let mut counters = sum_counters(lanes);
    let control = dump_control(dump_sender).await.unwrap_or_default();
    counters.extend(control_counters(&control));
    let sum = |gauge: fn(&Lane) -> &AtomicUsize| {
        let values = lanes.iter().map(|lane| gauge(lane).load(Ordering::Relaxed));
        gauge_value(values.sum())
    };
    let endpoints = snapshot
        .services
        .values()
        .map(|service| service.endpoints.len());
    let loads = || lanes.iter().map(|lane| **lane.stats.load.load());
    let gauges = vec![
        ("requests_waiting", sum(|lane| &lane.stats.waiting)),
        ("demand", loads().map(|load| load.0).sum()),
        ("capacity", loads().map(|load| load.1).sum()),
        ("flows", sum(|lane| &lane.stats.flows)),
        ("tracked_flows", sum(|lane| &lane.stats.tracked_flows)),
        ("endpoints_down", sum(|lane| &lane.stats.down_endpoints)),
        (
            "ejected_endpoints",
            sum(|lane| &lane.stats.ejected_endpoints),
        ),
        ("endpoints", gauge_value(endpoints.sum())),
        ("routes", gauge_value(snapshot.routes.len())),
        ("hosts", gauge_value(snapshot.hosts.len())),
        ("leaving", gauge_value(usize::from(snapshot.leaving))),
        (
            "evacuated_zones",
            gauge_value(snapshot.evacuated_zones.len()),
        ),
        (
            "oldest_evacuation_seconds",
            oldest_evacuation_seconds(&control),
        ),
    ];
    let histograms = lanes
        .iter()
        .map(|lane| (lane.home.addr.to_string(), lane.histograms.clone()));
    let exposition = Exposition {
        counters,
        gauges,
        rank_gauges: rank_gauges(lanes),
        histograms: histograms.collect(),
    };
    match exposition.render() {
        Ok(text) => Some(text),
        Err(err) => {
            log::warn!(cause:% = err; "metrics_failed");
            None
        }
    }
}

/// Returns the requests of each rank, over all lanes.
fn rank_gauges(lanes: &[Lane]) -> Vec<(&'static str, Vec<(u32, f64)>)> {
    let sum = |value: fn(&RankStats) -> f64| {
        let mut sums: BTreeMap<u32, f64> = BTreeMap::new();
        for lane in lanes {
            for row in lane.stats.ranks.load().iter() {
                *sums.entry(row.rank).or_default() += value(row);
            }
        }
        sums.into_iter().collect()
    };
    vec![
        ("rank_requests_running", sum(|row| row.running)),
        ("rank_requests_waiting", sum(|row| row.waiting)),
        ("rank_requests_expected", sum(|row| row.expected)),
    ]
}

/// Returns the age of the oldest evacuation order among the control tables.
fn oldest_evacuation_seconds(tables: &Value) -> f64 {
    let oldest = Duration::deserialize(&tables["evacuations"]["oldest"]);
    oldest.unwrap_or_default().as_secs_f64()
}

fn gauge_value(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns one table of each lane, the control tables, or, without a name, all of them.
fn dump_tables(
    lanes: Arc<[Lane]>,
    dump_sender: DumpSender,
    name: Option<Name>,
) -> BoxFuture<'static, Option<Value>> {
    async move {
        if name.as_deref() == Some("control") {
            return dump_control(&dump_sender).await;
        }
        let mut tables = Vec::new();
        for lane in lanes.iter() {
            tables.push(lane.dump(name.clone()).await?);
        }
        if name.is_some() {
            return Some(Value::Array(tables));
        }
        let control = dump_control(&dump_sender).await?;
        Some(json!({ "control": control, "lanes": tables }))
    }
    .boxed()
}

async fn dump_control(dump_sender: &DumpSender) -> Option<Value> {
    let (reply, response) = oneshot::channel();
    dump_sender.send(reply).await.ok()?;
    response.await.ok()
}
