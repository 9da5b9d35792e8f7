//! Policies for comparison: complete simple balancers, and the shipped policies with
//! one part left out.

use std::sync::atomic::{AtomicUsize, Ordering};

use jacinthhinge::prelude::*;
use jacinthhinge::systems::{Policies, Tuning};
use jacinthhinge::tables::{EndpointRow, Tables};
use rand::RngExt;

/// Maximum number of dispatches of one request in the simple balancers.
const MAX_DISPATCHES: usize = 3;

/// A set of policies with its name in the table.
pub struct NamedPolicies {
    pub name: &'static str,
    pub build: fn() -> Policies,
    /// False if services run without slots reserved for short requests.
    pub has_reserve: bool,
}

const fn named(name: &'static str, build: fn() -> Policies) -> NamedPolicies {
    NamedPolicies {
        name,
        build,
        has_reserve: true,
    }
}

/// The shipped policies, followed by the simple balancers.
pub const BASELINES: [NamedPolicies; 7] = [
    named("shipped", Policies::with_defaults),
    named("random", random),
    named("round robin", round_robin),
    named("least own", least_own),
    named("best of two", best_of_two),
    named("first come", first_come),
    named("unlimited retries", unlimited_best_of_two),
];

/// The shipped policies with one part left out of each.
pub const ABLATIONS: [NamedPolicies; 9] = [
    named("no classes", || Policies {
        next_request: Box::new(oldest_request),
        ..Policies::with_defaults()
    }),
    NamedPolicies {
        name: "no reserve",
        build: Policies::with_defaults,
        has_reserve: false,
    },
    named("no admission", || Policies {
        admit: Box::new(|_, _, _| true),
        can_finish: Box::new(|_, _, _| true),
        ..Policies::with_defaults()
    }),
    named("no retry budget", unlimited_retries),
    named("no silence", || {
        with_tuning(|tuning| tuning.answer_timeout = Duration::MAX / 4)
    }),
    named("no ramp", || {
        with_tuning(|tuning| tuning.slow_start = Duration::ZERO)
    }),
    named("no reports", || {
        with_tuning(|tuning| tuning.report_ttl = Duration::ZERO)
    }),
    named("nothing ahead", || {
        with_tuning(|tuning| tuning.overcommit = 0)
    }),
    named("sample of two", || {
        with_tuning(|tuning| tuning.sample_size = 2)
    }),
];

fn with_tuning(change: fn(&mut Tuning)) -> Policies {
    let mut tuning = Tuning::DEFAULT;
    change(&mut tuning);
    Policies::with_tuning(tuning)
}

/// Returns a simple balancer: first come, first served, up to [`MAX_DISPATCHES`]
/// dispatches of a request, and no admission control. `choose` picks one of the given
/// loads by its index.
fn simple_policies(
    choose: impl Fn(&mut Tables, &[u32]) -> usize + Clone + Send + Sync + 'static,
) -> Policies {
    let choose_slot = choose.clone();
    Policies {
        place_flow: Box::new(move |tables, service, refused, now| {
            let is_candidate = |row: &EndpointRow| {
                row.flow_count < row.spec.max_conns && !refused.contains(&row.spec.id)
            };
            pick_endpoint(
                tables,
                service,
                now,
                is_candidate,
                |row| row.flow_count + row.unreported_flows,
                &choose,
            )
        }),
        place_relayed: Policies::with_defaults().place_relayed,
        explain_relayed: Policies::with_defaults().explain_relayed,
        relay_limit: Policies::with_defaults().relay_limit,
        zone_cost: Policies::with_defaults().zone_cost,
        place_request: Box::new(move |tables, service, _, now| {
            let is_candidate =
                |row: &EndpointRow| row.load.incarnation != 0 && row.own_requests < row.spec.slots;
            pick_endpoint(
                tables,
                service,
                now,
                is_candidate,
                |row| row.own_requests,
                &choose_slot,
            )
        }),
        next_request: Box::new(oldest_request),
        admit: Box::new(|_, _, _| true),
        can_finish: Box::new(|_, _, _| true),
        retry: Box::new(|tables, slot, now| {
            let row = tables.requests.row(slot);
            row.dispatches.len() < MAX_DISPATCHES && now < row.deadline
        }),
    }
}

/// Chooses among the candidates that accept work and are reported healthy.
fn pick_endpoint(
    tables: &mut Tables,
    service: Id,
    now: Duration,
    is_candidate: impl Fn(&EndpointRow) -> bool,
    load: fn(&EndpointRow) -> u32,
    choose: impl Fn(&mut Tables, &[u32]) -> usize,
) -> Option<Id> {
    let (ids, loads): (Vec<Id>, Vec<u32>) = tables
        .endpoints
        .of_service(service)
        .filter(|row| row.accepts_work(now) && row.spec.healthy && is_candidate(row))
        .map(|row| (row.spec.id, load(row)))
        .unzip();
    if ids.is_empty() {
        return None;
    }
    Some(ids[choose(tables, &loads)])
}

fn random() -> Policies {
    simple_policies(|tables, loads| tables.rng.random_range(0..loads.len()))
}

fn round_robin() -> Policies {
    let next = Arc::new(AtomicUsize::new(0));
    simple_policies(move |_, loads| next.fetch_add(1, Ordering::Relaxed) % loads.len())
}

fn least_own() -> Policies {
    simple_policies(|_, loads| {
        (0..loads.len())
            .min_by_key(|index| loads[*index])
            .unwrap_or(0)
    })
}

fn best_of_two() -> Policies {
    simple_policies(|tables, loads| {
        let first = tables.rng.random_range(0..loads.len());
        let second = tables.rng.random_range(0..loads.len());
        if loads[second] < loads[first] {
            second
        } else {
            first
        }
    })
}

/// The shipped placement behind a single queue for all classes, without admission control.
fn first_come() -> Policies {
    Policies {
        next_request: Box::new(oldest_request),
        admit: Box::new(|_, _, _| true),
        can_finish: Box::new(|_, _, _| true),
        ..Policies::with_defaults()
    }
}

/// The better of two random endpoints, with retries until the deadline.
fn unlimited_best_of_two() -> Policies {
    Policies {
        retry: unlimited_retries().retry,
        ..best_of_two()
    }
}

/// The shipped policies with retries until the deadline.
fn unlimited_retries() -> Policies {
    Policies {
        retry: Box::new(|tables, slot, now| now < tables.requests.row(slot).deadline),
        ..Policies::with_defaults()
    }
}

/// Returns the queued request that was accepted first, whatever its class. Returns `None`
/// if its class is blocked.
fn oldest_request(tables: &Tables, service: Id, blocked_classes: &[Class]) -> Option<usize> {
    let slot = Class::ALL
        .iter()
        .filter_map(|class| tables.requests.queued_slots(service, *class).next())
        .min_by_key(|slot| tables.requests.row(*slot).accepted_at)?;
    let class = tables.requests.row(slot).class;
    (!blocked_classes.contains(&class)).then_some(slot)
}
