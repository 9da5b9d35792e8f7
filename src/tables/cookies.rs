//! Endpoints by cookie.
//!
//! Segments carry the cookie of their flow's endpoint. It is a function of the endpoint's
//! id that every host computes in the same way, so a host that has just started finds the
//! endpoint of every flow. An endpoint that is no longer listed keeps its row as long as
//! flows to it may exist, so that they are reset and not forwarded to another endpoint
//! that received its address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

use super::Endpoints;
use crate::id::{Id, Name};
use crate::snapshot::Endpoint;

/// Time for which the row of an endpoint that is no longer listed is kept: the longest
/// lifetime of a flow.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

/// An endpoint that a cookie can refer to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CookieEndpoint {
    /// Id of the endpoint.
    pub id: Id,
    /// Its name.
    pub name: Name,
    /// Its service.
    pub service: Id,
    /// Its address.
    pub addr: SocketAddr,
    /// Number in the destination of segments to it.
    pub number: u64,
    /// Start time in milliseconds of wall-clock time.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Time at which it was no longer listed.
    #[serde(rename = "gone")]
    pub removed_at: Option<Duration>,
}

/// Endpoints by cookie; those that share one are ordered by their start time.
#[derive(Debug, Default)]
pub struct Cookies {
    rows: HashMap<u32, SmallVec<[CookieEndpoint; 1]>>,
}

/// Returns the cookie of an endpoint, never zero: opening segments carry zero.
#[must_use]
pub fn cookie_of(id: Id) -> u32 {
    let low = u32::try_from(id.0 & u64::from(u32::MAX)).unwrap_or(u32::MAX);
    low.max(1)
}

impl Cookies {
    /// Returns the endpoint that a cookie refers to.
    ///
    /// If two endpoints have the same cookie, it refers to the one that started first as
    /// long as that one is listed; the other gets new flows only after its removal.
    #[must_use]
    pub fn find(&self, cookie: u32) -> Option<&CookieEndpoint> {
        let rows = self.rows.get(&cookie)?;
        rows.iter()
            .find(|row| row.removed_at.is_none())
            .or_else(|| rows.last())
    }

    /// Returns the cookie for a new flow to an endpoint, or `None` while that cookie
    /// refers to another endpoint.
    #[must_use]
    pub fn assignable_cookie(&self, id: Id) -> Option<u32> {
        let cookie = cookie_of(id);
        let is_own = self.find(cookie).is_some_and(|row| row.id == id);
        is_own.then_some(cookie)
    }

    /// Updates the table from the listed endpoints; returns the names of those that are no
    /// longer listed.
    pub fn sync(&mut self, endpoints: &Endpoints, now: Duration) -> Vec<Name> {
        let mut removed = Vec::new();
        // An endpoint may be listed under two ids, since other writers may copy its entry.
        let is_running = |row: &CookieEndpoint| {
            let mut listed = endpoints.iter().map(|listed| &listed.spec);
            listed.any(|spec| spec.addr == row.addr && spec.relay_number == row.number)
        };
        for row in self.rows.values_mut().flatten() {
            let is_known = row.removed_at.is_some() || endpoints.get(row.id).is_some();
            if !is_known && !is_running(row) {
                row.removed_at = Some(now);
                removed.push(Name::clone(&row.name));
            }
        }
        for row in endpoints.iter() {
            self.add(row.service, &row.spec);
        }
        self.expire(now);
        removed
    }

    fn add(&mut self, service: Id, endpoint: &Endpoint) {
        let rows = self.rows.entry(cookie_of(endpoint.id)).or_default();
        let is_current = |row: &CookieEndpoint| {
            row.id == endpoint.id
                && row.service == service
                && row.addr == endpoint.addr
                && row.number == endpoint.relay_number
                && row.started_ms == endpoint.started_ms
                && row.removed_at.is_none()
        };
        if rows.iter().any(is_current) {
            return;
        }
        let holder = CookieEndpoint {
            id: endpoint.id,
            name: endpoint.name.clone(),
            service,
            addr: endpoint.addr,
            number: endpoint.relay_number,
            started_ms: endpoint.started_ms,
            removed_at: None,
        };
        rows.retain(|row| row.id != endpoint.id);
        rows.push(holder);
        rows.sort_unstable_by_key(|row| (row.started_ms, row.id));
    }

    fn expire(&mut self, now: Duration) {
        let is_kept =
            |row: &mut CookieEndpoint| row.removed_at.is_none_or(|at| now < at + REMOVED_RETENTION);
        self.rows.retain(|_, rows| {
            rows.retain(is_kept);
            !rows.is_empty()
        });
    }
}
