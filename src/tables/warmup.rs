//! Endpoints that warm up, and this lane's openings to them.
//!
//! A row exists for each endpoint of a service with a limit on new flows while the endpoint
//! warms up. All times are by this host's clock.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::id::{Id, rendezvous_weight};
use crate::snapshot::{Endpoint, Host, Service, Snapshot};
use crate::ticket::Home;

/// Span over which openings are limited.
const LIMIT_SPAN: Duration = Duration::from_secs(1);

/// Share of the allowed openings that one host sends. While hosts disagree about who is live,
/// two may consider themselves the holder of an endpoint.
const HOLDER_SHARE: f64 = 0.5;

/// An endpoint that warms up.
#[derive(Clone, Debug, Default)]
struct WarmupRow {
    /// Its incarnation.
    started_ms: u64,
    /// Remaining time that it last reported.
    reported: Duration,
    /// Time at which it counts as warm.
    until: Duration,
    /// Number of openings that this lane may send it in one second; zero if this host is not
    /// its holder.
    limit: f64,
    /// Times of this lane's openings to it in the last second.
    openings: VecDeque<Duration>,
}

/// Endpoints that warm up, by id.
#[derive(Debug, Default)]
pub struct Warmups {
    rows: HashMap<Id, WarmupRow>,
    /// Hosts for which the limits were computed.
    hosts: Option<Arc<[Host]>>,
}

impl Warmups {
    /// Applies the endpoints and hosts of a snapshot for the lane `home`.
    pub fn sync(&mut self, snapshot: &Snapshot, home: &Home, now: Duration) {
        // Rows of endpoints that are no longer listed stay, since they may be listed again.
        self.rows.retain(|_, row| {
            row.expire_openings(now);
            now < row.until || !row.openings.is_empty()
        });
        for service in snapshot.services.values() {
            let Some(limit) = service_limit(service) else {
                let ids = service.endpoints.iter().map(|endpoint| endpoint.id);
                ids.for_each(|id| drop(self.rows.remove(&id)));
                continue;
            };
            for endpoint in &service.endpoints {
                self.sync_endpoint(endpoint, now);
                if let Some(row) = self.rows.get_mut(&endpoint.id) {
                    row.limit = lane_limit(limit, &snapshot.hosts, home, endpoint);
                }
            }
        }
        self.hosts = Some(Arc::clone(&snapshot.hosts));
    }

    /// True if a snapshot with these hosts needs [`Warmups::sync`] although its services are
    /// unchanged.
    #[must_use]
    pub fn depends_on(&self, hosts: &Arc<[Host]>) -> bool {
        let known = self.hosts.as_ref();
        !self.rows.is_empty() && known.is_none_or(|known| !Arc::ptr_eq(known, hosts))
    }

    /// True while an endpoint warms up.
    #[must_use]
    pub fn is_cold(&self, id: Id, now: Duration) -> bool {
        self.rows.get(&id).is_some_and(|row| now < row.until)
    }

    /// True if no endpoint warms up, as without a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns how many openings this lane may send to an endpoint in one second as its holder.
    #[must_use]
    pub fn limit(&self, id: Id) -> f64 {
        self.rows.get(&id).map_or(0.0, |row| row.limit)
    }

    /// True if one more opening at `now` stays within the lane's limit for an endpoint.
    #[must_use]
    pub fn has_allowance(&self, id: Id, now: Duration) -> bool {
        self.rows.get(&id).is_none_or(|row| {
            let recent = row.openings.iter().filter(|at| now <= **at + LIMIT_SPAN);
            let count = u32::try_from(recent.count()).unwrap_or(u32::MAX);
            f64::from(count) + 1.0 <= row.limit
        })
    }

    /// Records an opening to an endpoint.
    pub fn note_opening(&mut self, id: Id, now: Duration) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.expire_openings(now);
            row.openings.push_back(now);
        }
    }

    /// Updates the time until which an endpoint counts as warming up.
    fn sync_endpoint(&mut self, endpoint: &Endpoint, now: Duration) {
        let left = endpoint.warmup_left;
        let until = now + left;
        let Some(row) = self.rows.get_mut(&endpoint.id) else {
            if !left.is_zero() {
                let row = WarmupRow {
                    started_ms: endpoint.started_ms,
                    reported: left,
                    until,
                    ..WarmupRow::default()
                };
                self.rows.insert(endpoint.id, row);
            }
            return;
        };
        if row.started_ms != endpoint.started_ms {
            row.until = until;
        } else if left < row.reported {
            row.until = row.until.min(until);
        } else if left > row.reported {
            row.until = row.until.max(until);
        }
        row.started_ms = endpoint.started_ms;
        row.reported = left;
    }
}

impl WarmupRow {
    fn expire_openings(&mut self, now: Duration) {
        while self
            .openings
            .front()
            .is_some_and(|at| now > *at + LIMIT_SPAN)
        {
            self.openings.pop_front();
        }
    }
}

/// Returns the number of openings a second that all hosts may send to a cold endpoint of a
/// service, if that is limited.
fn service_limit(service: &Service) -> Option<f64> {
    let limit = service.warmup_limit.filter(|limit| limit.rate > 0.0)?;
    Some(limit.flows_per_second())
}

/// Returns how many of `limit` openings the lane `home` may send to an endpoint; zero unless
/// its host is the endpoint's holder: the one of highest weight that is not leaving, of the
/// endpoint's own zone if one is left there. Hosts of other zones have endpoints of their own to
/// prefer, so that a cold one would stay idle.
fn lane_limit(limit: f64, hosts: &[Host], home: &Home, endpoint: &Endpoint) -> f64 {
    let staying = hosts.iter().filter(|host| !host.leaving);
    let holder = staying.max_by_key(|host| {
        let is_local = host.availability_zone == endpoint.zone;
        let weight = rendezvous_weight(endpoint.id.0, host.id);
        (is_local, weight, host.id)
    });
    let Some(holder) = holder.filter(|host| host.id == home.host) else {
        return 0.0;
    };
    let Some(lane) = holder.lanes.iter().position(|addr| *addr == home.addr) else {
        return 0.0;
    };
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let host_part = (limit * HOLDER_SHARE).floor();
    // The lanes' parts add up to the host's part; the first lanes get the remainder.
    let (lane, lanes) = (count(lane), count(holder.lanes.len()));
    ((host_part + lanes - 1.0 - lane) / lanes).floor()
}
