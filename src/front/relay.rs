//! The `relay` command: a host on the platform.
//!
//! It runs the same daemon with other formats. Lanes relay segments, configuration
//! values come from the platform's store, and all hosts of a region exchange them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use error_stack::Report;
use futures_util::FutureExt;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::control::PlatformSource;
use super::lane::Codec;
use super::logs;
use super::serve::{self, FrontEnd};
use super::settings::{DEFAULT_LOG_LEVEL, Settings};
use crate::clock::millis;
use crate::control::message::HostInfo;
use crate::control::{self as control_plane, ConfigBuilder, LiveSettings, ReadPacing};
use crate::error::{Error, Result};
use crate::platform::settings::{self, HostSettings, ReloadedSettings, SettingsChange};
use crate::platform::store::Store;
use crate::platform::{self, ZoneRegions, header, readiness};
use crate::systems::Tuning;
use crate::ticket::TicketKeys;
use crate::wire::PeerKey;

/// Part of the platform's grace period for a stop that is not used for draining.
const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Interval between reads of the settings file, which may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// Prefix that matches all keys, so that one watch covers entries and the desired state.
const ALL_KEYS: &str = "";

/// Secret for messages between hosts and for tickets. It is fixed because the platform
/// provides none; only its hosts can reach each other's internal ports.
const SHARED_SECRET: &str = "jacinthhinge hosts of one region";

/// Runs a host on the platform until it has left.
///
/// # Errors
///
/// Returns an error when the settings cannot be read, a socket cannot be opened or a
/// thread cannot be started.
pub fn run(
    file: Option<PathBuf>,
    ops_port: u16,
    zone_cost: Duration,
    log_level: &str,
) -> Result<(), Report<Error>> {
    ignore_early_sighup()?;
    let env_path = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    let path = file.or(env_path).ok_or_else(missing_path)?;
    let host_settings = settings::read(&path)?;
    logs::start(log_level, &host_settings.name)?;
    let settings = Settings {
        zone_cost,
        ..daemon_settings(&host_settings, ops_port)
    };
    let front_end = front_end(&host_settings, &settings, path);
    serve::run_with(&settings, front_end)
}

/// Registers a handler for SIGHUP, which would otherwise end the process when it arrives
/// before the reload is set up. The next periodic read of the settings file finds the
/// change.
fn ignore_early_sighup() -> Result<()> {
    let hangup_flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, hangup_flag)
        .map_err(|source| Error::io("listen for signals", source))?;
    Ok(())
}

#[cold]
fn missing_path() -> Error {
    let remedy = "set it to the path of the settings file, or pass --settings FILE";
    Error::setting(settings::PATH_VARIABLE, "missing", remedy)
}

fn daemon_settings(host_settings: &HostSettings, ops_port: u16) -> Settings {
    Settings {
        name: host_settings.name.clone(),
        zone: host_settings.zone.clone(),
        region: host_settings.region.clone(),
        peer_addr: host_settings.peer_addr,
        lanes: std::iter::once(host_settings.datagram_addr).collect(),
        ops_addr: SocketAddr::new(host_settings.peer_addr.ip(), ops_port),
        platform_addr: host_settings.store_addr,
        seeds: host_settings.seeds.clone(),
        ticket_keys: TicketKeys::new(SHARED_SECRET, SHARED_SECRET),
        peer_key: PeerKey::new(SHARED_SECRET),
        statsd_addr: None,
        zone_cost: Tuning::DEFAULT.zone_cost,
        log_level: DEFAULT_LOG_LEVEL.to_owned(),
    }
}

fn front_end(host_settings: &HostSettings, settings: &Settings, path: PathBuf) -> FrontEnd {
    let (updates, live_settings) = watch::channel(live_settings(host_settings));
    let ready_addr = host_settings.ready_addr;
    FrontEnd {
        codec: Arc::new(codec(host_settings.datagram_addr.port())),
        source: PlatformSource::from_store(&Store::new(host_settings.store_addr, ALL_KEYS)),
        control: control_settings(host_settings, settings),
        settings: live_settings,
        serve_probes: Box::new(move |is_ready| readiness::run(ready_addr, is_ready).boxed()),
        reload: reload(path, host_settings.clone(), updates).boxed(),
    }
}

/// Returns the codec for segments; `client_port` is the port on which callers are reached.
fn codec(client_port: u16) -> Codec {
    Codec {
        decode: Box::new(|bytes, _, tables| {
            tables.segments.push(header::decode(bytes)?);
            Ok(())
        }),
        encode: Box::new(move |action| header::encode(action, client_port)),
        max_bytes: header::MAX_PACKET_BYTES,
    }
}

/// Returns the settings of the control thread, in which all hosts of a region form one
/// group.
fn control_settings(host_settings: &HostSettings, settings: &Settings) -> control_plane::Settings {
    let defaults = serve::control_settings(settings);
    control_plane::Settings {
        info: HostInfo {
            zone: host_settings.region.clone(),
            availability_zone: host_settings.zone.clone(),
            ..defaults.info
        },
        drain_limit: drain_limit(host_settings),
        config_builder: config_builder(host_settings),
        read_pacing: ReadPacing::frequent(),
        ..defaults
    }
}

/// Returns the function that builds services and routes with these settings.
fn config_builder(host_settings: &HostSettings) -> ConfigBuilder {
    let regions = ZoneRegions {
        zone: host_settings.zone.clone(),
        region: host_settings.region.clone(),
        table: host_settings.zone_regions.clone(),
    };
    let (excess, slack) = (host_settings.warmup_excess, host_settings.warmup_slack);
    platform::service_builder(regions)
        .and_then(platform::warmup_tolerance(excess, slack))
        .and_then(control_plane::cap_slots)
}

/// Returns the settings of the control thread that can change while it runs.
fn live_settings(host_settings: &HostSettings) -> LiveSettings {
    LiveSettings {
        store_addr: host_settings.store_addr,
        seeds: host_settings.seeds.clone(),
        drain_limit: drain_limit(host_settings),
        config_builder: None,
    }
}

fn drain_limit(host_settings: &HostSettings) -> Duration {
    host_settings.grace_period.saturating_sub(STOP_MARGIN)
}

/// Reads the settings file again on SIGHUP and every [`RELOAD_PERIOD`].
async fn reload(
    path: PathBuf,
    host_settings: HostSettings,
    updates: watch::Sender<LiveSettings>,
) -> Result<()> {
    let signal_error = |source| Error::io("listen for signals", source);
    let mut hangup = signal(SignalKind::hangup()).map_err(signal_error)?;
    let mut settings = ReloadedSettings::new(host_settings);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_PERIOD) => false,
        };
        match settings::read(&path) {
            Ok(read) => update_settings(&mut settings, read, signalled, &updates),
            Err(err) => log::warn!(cause:% = err; "settings_refused"),
        }
    }
}

fn update_settings(
    settings: &mut ReloadedSettings,
    read: HostSettings,
    signalled: bool,
    updates: &watch::Sender<LiveSettings>,
) {
    let change = settings.update(read);
    if change == SettingsChange::default() && signalled {
        log::info!("settings_unchanged");
    }
    if !change.need_restart.is_empty() {
        log::warn!(fields:% = change.need_restart.join(", "); "settings_need_restart");
    }
    if !change.applied.is_empty() {
        let used = &settings.in_force;
        log::info!(
            fields:% = change.applied.join(", "), seeds:? = used.seeds,
            store:% = used.store_addr, grace_ms = millis(used.grace_period);
            "settings_in_force"
        );
        updates.send_modify(|live| {
            // An earlier builder stays, since the control thread may not have received it yet.
            let builder = if change.affects_services() {
                Some(config_builder(used))
            } else {
                live.config_builder.take()
            };
            *live = live_settings(used);
            live.config_builder = builder;
        });
    }
}
