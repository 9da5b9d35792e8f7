//! A host on the users' platform.
//!
//! It is the same daemon with other formats: lanes carry segments, values come
//! from the platform's store, and all hosts of a region tell each other of them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
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
use super::settings::{DEFAULT_LOG, Settings};
use crate::control::message::HostInfo;
use crate::control::{self as decisions, ReadPacing};
use crate::error::{Error, Result};
use crate::platform::settings::{self, HostSettings};
use crate::platform::store::Store;
use crate::platform::{self, header, readiness};
use crate::ticket::TicketKeys;
use crate::wire::PeerKey;

/// How the store is read: a change has to be in force within 3 s, also after an
/// answer was lost, and what lapsed while the store was away is back 2 s after its
/// return. A start does not wait, since a host is of no use before its first read and
/// even the start of all hosts is one read of each.
const PACE: ReadPacing = ReadPacing {
    min_wait: Duration::from_millis(2_500),
    wait_jitter: Duration::from_millis(500),
    start_jitter: Duration::ZERO,
    max_pause: Duration::from_millis(500),
    max_readers: 3,
    fetch_delay: Duration::from_secs(1),
    initial_backoff: Duration::from_millis(200),
    max_backoff: Duration::from_millis(1_500),
    removal_hold: Duration::from_millis(2_200),
    has_list: false,
};

/// Time kept back from the time that the platform grants for a stop.
const STOP_MARGIN: Duration = Duration::from_millis(800);

/// Time between two looks at the settings file, which may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// Prefix of all keys: one watch tells of entries and of the desired state.
const ALL: &str = "";

/// Secret of messages between hosts; the platform gives none, and only its hosts
/// reach each other's internal ports.
const SECRET: &str = "jacinthhinge hosts of one region";

/// Runs a host until it has left.
///
/// # Errors
///
/// Fails when the settings cannot be read, a socket cannot be opened or a thread
/// cannot be started.
pub fn run(file: Option<PathBuf>, ops_port: u16, log: &str) -> Result<(), Report<Error>> {
    outlive_hangups()?;
    let named = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    let path = file.or(named).ok_or_else(no_file)?;
    let given = settings::read(&path)?;
    logs::start(log, &given.name)?;
    let own = own_settings(&given, ops_port);
    let front_end = front_end(&given, &own, path);
    serve::run_with(&own, front_end)
}

/// Takes SIGHUP from now on, which would end a process that has not set up its reload.
/// What it tells of is found by the next look at the settings file.
fn outlive_hangups() -> Result<()> {
    let noted = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, noted)
        .map_err(|source| Error::io("listen for signals", source))?;
    Ok(())
}

#[cold]
fn no_file() -> Error {
    let remedy = "set it to the settings file, or pass --settings FILE";
    Error::setting(settings::PATH_VARIABLE, "missing", remedy)
}

fn own_settings(given: &HostSettings, ops_port: u16) -> Settings {
    Settings {
        name: given.name.clone(),
        zone: given.zone.clone(),
        region: given.region.clone(),
        peer_addr: given.peer_addr,
        lanes: std::iter::once(given.datagram_addr).collect(),
        ops_addr: SocketAddr::new(given.peer_addr.ip(), ops_port),
        platform_addr: given.store_addr,
        seeds: given.seeds.clone(),
        ticket_keys: TicketKeys::new(SECRET, SECRET),
        peer_key: PeerKey::new(SECRET),
        statsd_addr: None,
        log_level: DEFAULT_LOG.to_owned(),
    }
}

fn front_end(given: &HostSettings, own: &Settings, path: PathBuf) -> FrontEnd {
    let (told, seeds) = watch::channel(given.seeds.clone());
    let probed = given.ready_addr;
    FrontEnd {
        codec: Arc::new(codec(given.datagram_addr.port())),
        source: PlatformSource::from_store(&Store::new(given.store_addr, ALL)),
        control: control_settings(given, own),
        seeds,
        serve_probes: Box::new(move |is_ready| readiness::run(probed, is_ready).boxed()),
        reload: reload(path, given.clone(), told).boxed(),
    }
}

/// Segments, with callers reached at the port `client`.
fn codec(client: u16) -> Codec {
    Codec {
        decode: Box::new(|bytes, _, tables| {
            tables.segments.push(header::decode(bytes)?);
            Ok(())
        }),
        encode: Box::new(move |relay| header::encode(relay, client)),
        max_bytes: header::MAX_PACKET_BYTES,
    }
}

/// Settings of the control thread: all hosts of a region are one group.
fn control_settings(given: &HostSettings, own: &Settings) -> decisions::Settings {
    let base = serve::control_settings(own);
    decisions::Settings {
        info: HostInfo {
            zone: given.region.clone(),
            availability_zone: given.zone.clone(),
            ..base.info
        },
        drain_limit: given.grace_period.saturating_sub(STOP_MARGIN),
        config_builder: platform::service_builder(given.zone.clone()),
        read_pacing: PACE,
        ..base
    }
}

/// Reads the settings file again on SIGHUP, and now and then.
async fn reload(
    path: PathBuf,
    mut given: HostSettings,
    seeds: watch::Sender<Vec<SocketAddr>>,
) -> Result<()> {
    let listen = |source| Error::io("listen for signals", source);
    let mut hangup = signal(SignalKind::hangup()).map_err(listen)?;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(RELOAD_PERIOD) => false,
        };
        given = renew(&path, given, signalled, &seeds);
    }
}

fn renew(
    path: &Path,
    given: HostSettings,
    signalled: bool,
    seeds: &watch::Sender<Vec<SocketAddr>>,
) -> HostSettings {
    match settings::read(path) {
        Err(err) => {
            log::warn!(cause:% = err; "settings_refused");
            given
        }
        Ok(renewed) if renewed == given => {
            if signalled {
                log::info!("settings_unchanged");
            }
            given
        }
        Ok(renewed) => {
            log::info!(seeds:? = renewed.seeds; "settings_in_force");
            // The receiver ends with the process only.
            let _ = seeds.send(renewed.seeds.clone());
            renewed
        }
    }
}
