//! Policies to compare with: whole simple balancers, and the shipped policy with
//! one part taken out.

use std::sync::atomic::{AtomicUsize, Ordering};

use jacinthhinge::prelude::*;
use jacinthhinge::systems::{Policies, Tuning};
use jacinthhinge::tables::{EndpointRow, Tables};
use rand::RngExt;

/// Most dispatches of one request in the simple balancers.
const TRIES: usize = 3;

/// A policy by its name.
pub struct Entry {
    pub name: &'static str,
    pub make: fn() -> Policies,
    /// False without slots held for short work.
    pub reserve: bool,
}

const fn entry(name: &'static str, make: fn() -> Policies) -> Entry {
    Entry {
        name,
        make,
        reserve: true,
    }
}

/// The shipped policy first, then the baselines.
pub const BASELINES: [Entry; 7] = [
    entry("shipped", Policies::with_defaults),
    entry("random", random),
    entry("round robin", round_robin),
    entry("least own", least),
    entry("best of two", best_of_two),
    entry("first come", first_come),
    entry("unlimited retries", stubborn),
];

/// The default policies, each with one part left out.
pub const ABLATIONS: [Entry; 9] = [
    entry("no classes", || Policies {
        next_request: Box::new(oldest),
        ..Policies::with_defaults()
    }),
    Entry {
        name: "no reserve",
        make: Policies::with_defaults,
        reserve: false,
    },
    entry("no admission", || Policies {
        admit: Box::new(|_, _, _| true),
        can_finish: Box::new(|_, _, _| true),
        ..Policies::with_defaults()
    }),
    entry("no retry budget", unlimited),
    entry("no silence", || {
        part(|tuning| tuning.answer_timeout = Duration::MAX / 4)
    }),
    entry("no ramp", || {
        part(|tuning| tuning.slow_start = Duration::ZERO)
    }),
    entry("no reports", || {
        part(|tuning| tuning.report_ttl = Duration::ZERO)
    }),
    entry("nothing ahead", || part(|tuning| tuning.overcommit = 0)),
    entry("sample of two", || part(|tuning| tuning.sample_size = 2)),
];

fn part(change: fn(&mut Tuning)) -> Policies {
    let mut tuning = Tuning::DEFAULT;
    change(&mut tuning);
    Policies::with_tuning(tuning)
}

/// A simple balancer: first come, first served, three tries, no admission.
fn simple(
    choose: impl Fn(&mut Tables, &[u32]) -> usize + Clone + Send + Sync + 'static,
) -> Policies {
    let choose_slot = choose.clone();
    Policies {
        place_flow: Box::new(move |tables, service, refused, now| {
            let fits = |row: &EndpointRow| {
                row.flow_count < row.spec.max_conns && !refused.contains(&row.spec.id)
            };
            pick(
                tables,
                service,
                now,
                fits,
                |row| row.flow_count + row.new_flows,
                &choose,
            )
        }),
        place_relayed: Policies::with_defaults().place_relayed,
        relay_limit: Policies::with_defaults().relay_limit,
        place_request: Box::new(move |tables, service, _, now| {
            let fits =
                |row: &EndpointRow| row.load.incarnation != 0 && row.own_requests < row.spec.slots;
            pick(
                tables,
                service,
                now,
                fits,
                |row| row.own_requests,
                &choose_slot,
            )
        }),
        next_request: Box::new(oldest),
        admit: Box::new(|_, _, _| true),
        can_finish: Box::new(|_, _, _| true),
        retry: Box::new(|tables, slot, now| {
            let row = tables.requests.row(slot);
            row.dispatches.len() < TRIES && now < row.deadline
        }),
    }
}

/// Chooses among the endpoints that fit and are reported healthy.
fn pick(
    tables: &mut Tables,
    service: Id,
    now: Duration,
    fits: impl Fn(&EndpointRow) -> bool,
    load: fn(&EndpointRow) -> u32,
    choose: impl Fn(&mut Tables, &[u32]) -> usize,
) -> Option<Id> {
    let (ids, loads): (Vec<Id>, Vec<u32>) = tables
        .endpoints
        .of_service(service)
        .filter(|row| row.accepts_work(now) && row.spec.healthy && fits(row))
        .map(|row| (row.spec.id, load(row)))
        .unzip();
    if ids.is_empty() {
        return None;
    }
    Some(ids[choose(tables, &loads)])
}

fn random() -> Policies {
    simple(|tables, loads| tables.rng.random_range(0..loads.len()))
}

fn round_robin() -> Policies {
    let next = Arc::new(AtomicUsize::new(0));
    simple(move |_, loads| next.fetch_add(1, Ordering::Relaxed) % loads.len())
}

fn least() -> Policies {
    simple(|_, loads| {
        (0..loads.len())
            .min_by_key(|index| loads[*index])
            .unwrap_or(0)
    })
}

fn best_of_two() -> Policies {
    simple(|tables, loads| {
        let one = tables.rng.random_range(0..loads.len());
        let two = tables.rng.random_range(0..loads.len());
        if loads[two] < loads[one] { two } else { one }
    })
}

/// One queue without classes before the shipped placement.
fn first_come() -> Policies {
    Policies {
        next_request: Box::new(oldest),
        admit: Box::new(|_, _, _| true),
        can_finish: Box::new(|_, _, _| true),
        ..Policies::with_defaults()
    }
}

/// The best of two with retries until the deadline.
fn stubborn() -> Policies {
    Policies {
        retry: unlimited().retry,
        ..best_of_two()
    }
}

/// The shipped policy with retries until the deadline.
fn unlimited() -> Policies {
    Policies {
        retry: Box::new(|tables, slot, now| now < tables.requests.row(slot).deadline),
        ..Policies::with_defaults()
    }
}

/// The request that came first, whatever its class.
fn oldest(tables: &Tables, service: Id, stuck: &[Class]) -> Option<usize> {
    let slot = Class::ALL
        .iter()
        .filter_map(|class| tables.requests.queued_slots(service, *class).next())
        .min_by_key(|slot| tables.requests.row(*slot).accepted_at)?;
    let class = tables.requests.row(slot).class;
    (!stuck.contains(&class)).then_some(slot)
}
