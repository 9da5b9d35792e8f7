//! Endpoints by the cookies of their flows.
//!
//! A cookie is a function of an endpoint's id that all hosts compute alike, so
//! that a host that has just started finds the endpoint of every flow. An endpoint
//! that is no longer listed keeps its row while flows to it may live, so that they
//! are ended and not passed to whoever got its address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use crate::id::{Id, Name};
use crate::snapshot::{Endpoint, Snapshot};

/// Time for which an endpoint that is no longer listed is remembered; the longest
/// life of a flow.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

/// An endpoint as cookies name it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CookieEndpoint {
    /// Endpoint.
    pub id: Id,
    /// Its name.
    pub name: Name,
    /// Its service.
    pub service: Id,
    /// Its address.
    pub addr: SocketAddr,
    /// Number that its segments are addressed to.
    pub number: u64,
    /// Wall-clock millisecond of its start.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Time since when it is no longer listed.
    #[serde(rename = "gone")]
    pub removed_at: Option<Duration>,
}

/// Endpoints by cookie, the first in order of their starts first.
#[derive(Debug, Default)]
pub struct Cookies {
    rows: HashMap<u32, SmallVec<[CookieEndpoint; 1]>>,
}

/// Cookie of an endpoint; never zero, which an opening segment carries.
#[must_use]
pub fn cookie_of(id: Id) -> u32 {
    let low = u32::try_from(id.0 & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    low.max(1)
}

impl Cookies {
    /// Endpoint that a cookie names.
    ///
    /// Of two endpoints with one cookie it names the one that started first, as long
    /// as that is listed; new flows go to the other only when this one is gone.
    #[must_use]
    pub fn find(&self, cookie: u32) -> Option<&CookieEndpoint> {
        let rows = self.rows.get(&cookie)?;
        rows.iter()
            .find(|row| row.removed_at.is_none())
            .or_else(|| rows.last())
    }

    /// Cookie for a new flow to an endpoint; `None` while it would name another.
    #[must_use]
    pub fn assignable_cookie(&self, id: Id) -> Option<u32> {
        let cookie = cookie_of(id);
        let is_own = self.find(cookie).is_some_and(|row| row.id == id);
        is_own.then_some(cookie)
    }

    /// Takes over the endpoints of a snapshot; returns those that have gone.
    pub fn sync(&mut self, snapshot: &Snapshot, now: Duration) -> Vec<Name> {
        let mut gone = Vec::new();
        let listed: HashMap<Id, (Id, &Endpoint)> = snapshot
            .services
            .values()
            .flat_map(|service| service.endpoints.iter().map(|e| (e.id, (service.id, e))))
            .collect();
        for row in self.rows.values_mut().flatten() {
            if row.removed_at.is_none() && !listed.contains_key(&row.id) {
                row.removed_at = Some(now);
                gone.push(Name::clone(&row.name));
            }
        }
        for (service, endpoint) in listed.values() {
            self.add(*service, endpoint);
        }
        self.expire(now);
        gone
    }

    fn add(&mut self, service: Id, endpoint: &Endpoint) {
        let rows = self.rows.entry(cookie_of(endpoint.id)).or_default();
        let holder = CookieEndpoint {
            id: endpoint.id,
            name: endpoint.name.clone(),
            service,
            addr: endpoint.addr,
            number: endpoint.number,
            started_ms: endpoint.started_ms,
            removed_at: None,
        };
        rows.retain(|row| row.id != endpoint.id);
        rows.push(holder);
        rows.sort_unstable_by_key(|row| (row.started_ms, row.id));
    }

    fn expire(&mut self, now: Duration) {
        let is_kept = |row: &mut CookieEndpoint| {
            row.removed_at
                .is_none_or(|gone| now < gone + REMOVED_RETENTION)
        };
        self.rows.retain(|_, rows| {
            rows.retain(is_kept);
            !rows.is_empty()
        });
    }
}
