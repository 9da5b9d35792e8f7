//! What callers and endpoints have seen, and the promises that it breaks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::packet::Flow;

/// Time after a disturbance in which a host or an endpoint owes less: the users'
/// window for machines that count as in touch.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Longer than any run.
const MAX_RUN_TIME: Duration = Duration::from_hours(24);

/// Packets of an open flow at other endpoints, with none at its own, that break it.
const MISROUTED_LIMIT: u32 = 3;

#[derive(Clone, Default)]
pub struct Checker(Arc<Mutex<Observations>>);

#[derive(Default)]
pub struct Observations {
    /// Endpoint that holds each open flow, by its number.
    pub flow_owners: HashMap<Flow, u64>,
    /// Times at which hosts and endpoints were last disturbed.
    fault_ends: HashMap<FaultTarget, Instant>,
    executions: HashMap<u64, u32>,
    misrouted_packets: HashMap<Flow, u32>,
    not_run: HashSet<u64>,
    pub total_requests: u64,
    pub served_requests: u64,
    pub late_answers: u64,
    pub failed_requests: u64,
    pub host_resets: u64,
    pub violation_counts: BTreeMap<String, u32>,
    pub violations: Vec<String>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FaultTarget {
    Host(Ipv4Addr),
    Endpoint(u64),
}

impl Checker {
    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a fault begins, which lasts until [`Ledger::settle`].
    pub fn begin_fault(&self, target: FaultTarget) {
        let end = Instant::now() + MAX_RUN_TIME;
        self.lock().fault_ends.insert(target, end);
    }

    /// Notes that a fault is over.
    pub fn end_fault(&self, target: FaultTarget) {
        self.lock().fault_ends.insert(target, Instant::now());
    }
}

impl Observations {
    pub fn is_recovered(&self, target: FaultTarget) -> bool {
        let end = self.fault_ends.get(&target);
        end.is_none_or(|end| end.elapsed() >= RECOVERY_TIME)
    }

    pub fn report_violation(&mut self, rule: &str, details: &str) {
        *self.violation_counts.entry(rule.to_owned()).or_default() += 1;
        self.violations.push(format!("{rule}: {details}"));
    }

    /// Notes that an endpoint runs a request; once-only work may run once.
    pub fn record_execution(&mut self, request: u64, run_once: bool, endpoint: u64) {
        let executions = self.executions.entry(request).or_default();
        *executions += 1;
        if run_once && *executions > 1 {
            self.report_violation(
                "once",
                &format!("request {request:x} again at {endpoint:x}"),
            );
        }
        if self.not_run.contains(&request) {
            self.report_violation(
                "true refusal",
                &format!("request {request:x} ran after all"),
            );
        }
    }

    /// Notes that a caller was told that a request has not run.
    pub fn record_not_run(&mut self, request: u64) {
        self.not_run.insert(request);
        if self.executions.contains_key(&request) {
            self.report_violation("true refusal", &format!("request {request:x} had run"));
        }
    }

    /// Notes a packet of an open flow at its endpoint, or at another one.
    pub fn record_packet(&mut self, flow: &Flow, endpoint: u64, host: Ipv4Addr) {
        let Some(owner) = self.flow_owners.get(flow).copied() else {
            return;
        };
        if owner == endpoint {
            self.misrouted_packets.remove(flow);
            return;
        }
        let recovered = self.is_recovered(FaultTarget::Endpoint(owner))
            && self.is_recovered(FaultTarget::Host(host));
        let misrouted_packets = self.misrouted_packets.entry(*flow).or_default();
        *misrouted_packets += u32::from(recovered);
        if *misrouted_packets == MISROUTED_LIMIT {
            let details = format!("{flow:?} of {owner:x} goes to {endpoint:x} through {host}");
            self.report_violation("misrouted", &details);
        }
    }

    /// Notes a request that had no answer until its deadline, though its latest copy went
    /// to `host` a while before.
    pub fn record_stall(&mut self, flow: &Flow, host: Ipv4Addr) {
        let Some(owner) = self.flow_owners.get(flow).copied() else {
            return;
        };
        if self.is_recovered(FaultTarget::Endpoint(owner))
            && self.is_recovered(FaultTarget::Host(host))
        {
            let details = format!("{flow:?} of {owner:x} through {host}");
            self.report_violation("stalled", &details);
        }
    }

    /// Notes a reset by a host.
    pub fn record_reset(&mut self, flow: &Flow, host: Ipv4Addr) {
        self.host_resets += 1;
        let Some(owner) = self.flow_owners.get(flow).copied() else {
            return;
        };
        if self.is_recovered(FaultTarget::Endpoint(owner))
            && self.is_recovered(FaultTarget::Host(host))
        {
            let details = format!("{flow:?} of {owner:x} reset by {host}");
            self.report_violation("flow", &details);
        }
    }
}
