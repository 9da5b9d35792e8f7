//! Records what callers and endpoints observe and checks it against the guarantees of the
//! relay.
//!
//! Violations are reported under the name of the guarantee. A host or an endpoint that
//! is under a fault, or was until recently, is exempt from those that need it to work.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::history::FlowHistory;
use crate::packet::Flow;

/// Time after the end of a fault during which the affected host or endpoint is exempt
/// from checks: the users' limit for how long a machine that has lost contact may still
/// count as reachable.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time before its deadline from which on a copy of a request need not be answered: the 400 ms of
/// the longest requests at a normal endpoint and the target latency of 400 ms. The last copy of
/// a request on an open flow is sent 1 s before.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(800);

/// Time after an order to evacuate a zone from which on no new flow may reach it, and the time
/// that is added if the store was unstable: the users' limits.
const EVACUATION_TIME: Duration = Duration::from_secs(5);
const UNSTABLE_STORE_TIME: Duration = Duration::from_secs(15);

/// Exceeds the length of every run; a fault that is still active gets this end.
const MAX_RUN_TIME: Duration = Duration::from_hours(24);

/// Consecutive packets of an open flow at wrong endpoints that count as a violation.
const MISROUTED_LIMIT: u32 = 3;

/// Shared handle to the observations of a run.
#[derive(Clone, Default)]
pub struct Checker(Arc<Mutex<Observations>>);

/// Events seen so far and the violations found in them.
#[derive(Default)]
pub struct Observations {
    /// Start of the traffic, from which the times of printed events count.
    pub started_at: Option<Instant>,
    /// Number of the endpoint that holds each open flow.
    pub flow_owners: HashMap<Flow, u64>,
    /// End of the latest fault of each host and endpoint; in the future while it is active.
    fault_ends: HashMap<FaultTarget, Instant>,
    /// Number of executions of each request.
    executions: HashMap<u64, u32>,
    /// Consecutive packets of each flow at endpoints other than its own.
    misrouted_packets: HashMap<Flow, u32>,
    /// Time of the order to evacuate each zone.
    evacuations: HashMap<&'static str, Instant>,
    /// Requests whose callers were told that they have not run.
    not_run: HashSet<u64>,
    pub total_requests: u64,
    pub served_requests: u64,
    pub late_answers: u64,
    pub failed_requests: u64,
    pub host_resets: u64,
    /// Number of violations of each guarantee.
    pub violation_counts: BTreeMap<String, u32>,
    /// One message for each violation.
    pub violations: Vec<String>,
}

/// A copy of a request that its caller has sent.
pub struct RequestCopy {
    sent_at: Instant,
    host: Ipv4Addr,
}

impl RequestCopy {
    pub fn sent_to(host: Ipv4Addr) -> Self {
        Self {
            sent_at: Instant::now(),
            host,
        }
    }
}

/// Part of the system that faults are injected into.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FaultTarget {
    Host(Ipv4Addr),
    Endpoint(u64),
    Store,
}

impl Checker {
    pub fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a fault that lasts until [`Checker::end_fault`].
    pub fn begin_fault(&self, target: FaultTarget) {
        let end = Instant::now() + MAX_RUN_TIME;
        let mut observed = self.lock();
        observed.fault_ends.insert(target, end);
        println!(
            "{:6.1} s  {target:?} fails",
            observed.seconds_at(Instant::now())
        );
    }

    /// Records the end of a fault.
    pub fn end_fault(&self, target: FaultTarget) {
        let now = Instant::now();
        let mut observed = self.lock();
        observed.fault_ends.insert(target, now);
        println!("{:6.1} s  {target:?} is repaired", observed.seconds_at(now));
    }

    /// Records an order to evacuate a zone, or that it was given again.
    pub fn begin_evacuation(&self, zone: &'static str) {
        self.lock().evacuations.insert(zone, Instant::now());
    }

    /// Records the end of an order to evacuate a zone.
    pub fn end_evacuation(&self, zone: &str) {
        self.lock().evacuations.remove(zone);
    }
}

impl Observations {
    /// Returns true if the target has had no fault within [`RECOVERY_TIME`].
    pub fn is_recovered(&self, target: FaultTarget) -> bool {
        let end = self.fault_ends.get(&target);
        end.is_none_or(|end| end.elapsed() >= RECOVERY_TIME)
    }

    /// Returns the seconds from the start of the traffic to `at`.
    pub fn seconds_at(&self, at: Instant) -> f64 {
        let since_start = |start: Instant| at.saturating_duration_since(start);
        self.started_at
            .map_or(0.0, |start| since_start(start).as_secs_f64())
    }

    pub fn report_violation(&mut self, rule: &str, details: &str) {
        *self.violation_counts.entry(rule.to_owned()).or_default() += 1;
        let at = self.seconds_at(Instant::now());
        self.violations
            .push(format!("{rule} at {at:.3} s: {details}"));
    }

    /// Records the execution of a request at an endpoint. A request that is not safe to
    /// repeat may execute only once.
    pub fn record_execution(&mut self, request: u64, run_once: bool, endpoint: u64) {
        let executions = self.executions.entry(request).or_default();
        *executions += 1;
        if run_once && *executions > 1 {
            self.report_violation(
                "once",
                &format!("request {request:x} executed again at endpoint {endpoint:x}"),
            );
        }
        if self.not_run.contains(&request) {
            self.report_violation(
                "not-run guarantee",
                &format!("request {request:x} executed after it was reported as not run"),
            );
        }
    }

    /// Records that an endpoint of a zone accepted a new flow through a host.
    pub fn record_new_flow(&mut self, flow: &Flow, endpoint: u64, zone: &str, host: Ipv4Addr) {
        let Some(ordered_at) = self.evacuations.get(zone) else {
            return;
        };
        let store_fault = self.fault_ends.get(&FaultTarget::Store);
        let was_unstable = store_fault.is_some_and(|end| *end + RECOVERY_TIME > *ordered_at);
        let limit = if was_unstable {
            EVACUATION_TIME + UNSTABLE_STORE_TIME
        } else {
            EVACUATION_TIME
        };
        let age = ordered_at.elapsed();
        if age >= limit && self.is_recovered(FaultTarget::Host(host)) {
            let details = format!(
                "{flow:?} opened at endpoint {endpoint:x} of {zone} through {host}, {} ms after the order",
                age.as_millis()
            );
            self.report_violation("evacuated", &details);
        }
    }

    /// Records that a caller was told that a request has not run.
    pub fn record_not_run(&mut self, request: u64) {
        self.not_run.insert(request);
        if self.executions.contains_key(&request) {
            self.report_violation(
                "not-run guarantee",
                &format!("request {request:x} was executed but reported as not run"),
            );
        }
    }

    /// Records the arrival of a packet of an open flow at an endpoint, its own or another.
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
            let details = format!(
                "{flow:?} of endpoint {owner:x} was sent to endpoint {endpoint:x} through {host}"
            );
            self.report_violation("misrouted", &details);
        }
    }

    /// Records a request that had no answer by its deadline, which is now. Only copies that were
    /// sent [`MIN_ANSWER_TIME`] before to a host without a fault since [`RECOVERY_TIME`] before
    /// that had to be answered.
    pub fn record_stall(&mut self, flow: &Flow, copies: &[RequestCopy], history: &FlowHistory) {
        let Some(owner) = self.flow_owners.get(flow).copied() else {
            return;
        };
        let had_to_be_answered = |copy: &&RequestCopy| {
            let end = self.fault_ends.get(&FaultTarget::Host(copy.host));
            copy.sent_at.elapsed() >= MIN_ANSWER_TIME
                && end.is_none_or(|end| *end + RECOVERY_TIME <= copy.sent_at)
        };
        let Some(copy) = copies.iter().find(had_to_be_answered) else {
            return;
        };
        if self.is_recovered(FaultTarget::Endpoint(owner)) {
            let details = format!(
                "no answer on {flow:?} of endpoint {owner:x} through {}\n{}",
                copy.host,
                history.describe(self)
            );
            self.report_violation("stalled", &details);
        }
    }

    /// Records the reset of a flow by a host.
    pub fn record_reset(&mut self, flow: &Flow, host: Ipv4Addr, history: &FlowHistory) {
        self.host_resets += 1;
        let Some(owner) = self.flow_owners.get(flow).copied() else {
            return;
        };
        if self.is_recovered(FaultTarget::Endpoint(owner))
            && self.is_recovered(FaultTarget::Host(host))
        {
            let details = format!(
                "{flow:?} of endpoint {owner:x} was reset by {host}\n{}",
                history.describe(self)
            );
            self.report_violation("flow", &details);
        }
    }
}
