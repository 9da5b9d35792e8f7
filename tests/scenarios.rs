//! Runs the scripts of tests/scenarios against the decision core.
//!
//! Each script runs twice, once with packets passed as values and once with every packet
//! encoded and decoded; both runs must give the same output.

mod common;

use std::fmt::Write;
use std::str::FromStr;

use common::callers::Phase;
use common::{World, fabric_addr, ms};
use datadriven::TestCase;
use jacinthhinge::prelude::*;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut worlds = [false, true].map(|encoded| {
            let mut world = World::new(1, 0);
            world.faults.encode_packets = encoded;
            world
        });
        file.run(|case| {
            let [plain, encoded] = worlds
                .each_mut()
                .map(|world| run_directive(world, &mut case.clone()));
            assert_eq!(
                plain, encoded,
                "the output differs when packets are encoded"
            );
            plain
        });
    });
}

fn arg_or<T: FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let value = case.try_take_arg(name);
    value.expect("a well-formed argument").unwrap_or(default)
}

fn name_arg(case: &mut TestCase, name: &str) -> String {
    case.take_arg(name).expect("a name")
}

fn duration_arg(case: &mut TestCase, name: &str, default: Duration) -> Duration {
    let text: Option<String> = case.try_take_arg(name).expect("a duration");
    text.map_or(default, |text| {
        humantime::parse_duration(&text).expect("a duration")
    })
}

fn class_arg(case: &mut TestCase) -> Class {
    let text = arg_or(case, "class", String::from("order"));
    serde_json::from_value(text.into()).expect("a class")
}

/// Runs one directive of a script and returns its output.
fn run_directive(world: &mut World, case: &mut TestCase) -> String {
    let mut text = String::new();
    match case.directive.as_str() {
        "show" => text = report(world, &name_arg(case, "what")),
        "run" => world.run_for(duration_arg(case, "for", ms(1_000))),
        "endpoint" => endpoint_directive(world, case),
        "open" | "greet" | "ask" | "cancel" | "forge" => caller_directive(world, case),
        _ => host_directive(world, case),
    }
    case.expect_empty().expect("no further arguments");
    text
}

/// Runs a directive about hosts, their configuration, the network or callers.
fn host_directive(world: &mut World, case: &mut TestCase) {
    let host: usize = arg_or(case, "host", 0);
    match case.directive.as_str() {
        "hosts" => {
            let encoded = world.faults.encode_packets;
            *world = World::new(arg_or(case, "seed", 1), arg_or(case, "n", 4));
            world.faults.encode_packets = encoded;
        }
        "service" => {
            let (endpoints, slots) = (arg_or(case, "endpoints", 3), arg_or(case, "slots", 3));
            world.drain_limit = duration_arg(case, "drain", world.drain_limit);
            world.add_service(&name_arg(case, "name"), endpoints, slots);
            world.converge();
        }
        "caller" => {
            let echo = name_arg(case, "ticket") == "yes";
            world.add_caller(echo);
        }
        "converge" => world.converge(),
        "configure" => {
            world.hosts[host].config = world.config.clone();
            world.publish_snapshot(host);
        }
        "set_hosts" => {
            let live: Vec<usize> = case.take_args("alive").expect("hosts");
            world.set_live_hosts(host, &live);
        }
        "lease" => {
            let until = world.now + duration_arg(case, "for", ms(60_000));
            world.grant_leases(until);
        }
        "kill" => world.kill(host),
        "restart" => world.restart(host),
        "leave" => world.hosts[host].leaving = true,
        "pause" => {
            let time = duration_arg(case, "for", ms(5_000));
            world.pause(host, time, arg_or(case, "read_ahead", 0));
        }
        "rotate" => {
            world.config.keys =
                TicketKeys::new(&name_arg(case, "current"), &name_arg(case, "other"));
        }
        "net" => {
            world.faults.loss_rate = arg_or(case, "loss", 0.0);
            world.faults.duplicate_rate = arg_or(case, "duplicate", 0.0);
            world.faults.delay_rate = arg_or(case, "delay", 0.0);
            world.faults.max_delay = arg_or(case, "max_delay", 500);
        }
        "cut" => {
            let (from, to) = (name_arg(case, "from"), name_arg(case, "to"));
            world.filter = Box::new(move |source, target, _| {
                !(has_prefix(source, &from) && has_prefix(target, &to))
            });
        }
        "heal" => world.filter = Box::new(|_, _, _| true),
        other => panic!("unknown directive `{other}`"),
    }
}

fn has_prefix(addr: SocketAddr, prefix: &str) -> bool {
    addr.to_string().starts_with(prefix)
}

/// Changes an endpoint and builds a configuration that hosts do not have yet.
fn endpoint_directive(world: &mut World, case: &mut TestCase) {
    let name = name_arg(case, "name");
    let incarnation = world.now_micros();
    let endpoint = world
        .endpoints
        .iter_mut()
        .find(|endpoint| *endpoint.name == name);
    let endpoint = endpoint.expect("an endpoint");
    endpoint.work_time = duration_arg(case, "work", endpoint.work_time);
    endpoint.refusal_rate = arg_or(case, "refuse", endpoint.refusal_rate);
    endpoint.answer_parts = arg_or(case, "parts", endpoint.answer_parts);
    endpoint.ignored_flows.extend(
        case.try_take_args::<u64>("ignore")
            .expect("flows")
            .unwrap_or_default(),
    );
    if let Some(service) = case.try_take_arg::<String>("service").expect("a service") {
        endpoint.configured_service = service.as_str().into();
        endpoint.service = service.as_str().into();
        endpoint.restart(incarnation);
    }
    let is_set = |case: &mut TestCase, flag| case.take_flag(flag).expect("a flag");
    endpoint.reports_draining |= is_set(case, "drain");
    endpoint.config_draining |= is_set(case, "leave");
    endpoint.config_draining &= !is_set(case, "stay");
    endpoint.removed |= is_set(case, "remove");
    endpoint.up &= !is_set(case, "kill");
    if is_set(case, "restart") {
        endpoint.restart(incarnation);
    }
    world.configure();
}

/// Runs a directive that sends packets of a caller.
fn caller_directive(world: &mut World, case: &mut TestCase) {
    let caller = arg_or(case, "caller", 0);
    let flow: u64 = arg_or(case, "flow", 1);
    let to: u64 = arg_or(case, "to", flow);
    let request = arg_or(case, "request", flow);
    match case.directive.as_str() {
        "open" | "greet" => {
            let (service, stream) = (name_arg(case, "service"), case.directive == "open");
            for flow in flow..=to {
                world.open_flow(caller, flow, &service, stream);
            }
        }
        "ask" => {
            let (time_limit, parts) = (
                duration_arg(case, "budget", ms(2_000)),
                arg_or(case, "parts", 1),
            );
            let class = class_arg(case);
            for step in 0..=(to - flow) {
                world.send_request(
                    caller,
                    flow + step,
                    request + step,
                    class,
                    time_limit,
                    parts,
                );
            }
        }
        "cancel" => world.cancel_request(caller, request),
        _ => {
            let service = Id::of(&name_arg(case, "service"));
            let mut ticket = world.flow(caller, flow).ticket.to_vec();
            if let Some(byte) = ticket.get_mut(arg_or(case, "byte", usize::MAX)) {
                *byte ^= 1;
            }
            ticket.truncate(arg_or(case, "length", ticket.len()));
            let from = world.callers[caller].addr;
            let body = Body::Up {
                seq: 1_000,
                data: Bytes::new(),
            };
            let packet = Packet {
                service,
                caller: from,
                flow: arg_or(case, "as", flow),
                hops: 0,
                ticket: ticket.into(),
                body,
            };
            world.send(from, fabric_addr(), &packet);
        }
    }
}

/// Returns the state or counters that a `show` directive names.
fn report(world: &World, what: &str) -> String {
    let mut text = String::new();
    match what {
        "flows" => {
            for row in &world.callers {
                let count = |want: fn(Phase) -> bool| {
                    row.flows.values().filter(|flow| want(flow.phase)).count()
                };
                let open = count(|phase| phase == Phase::Open);
                let opening = count(|phase| phase == Phase::Opening);
                let echo = if row.echoes_tickets {
                    "ticket"
                } else {
                    "no ticket"
                };
                write!(text, "{echo}: open={open} opening={opening}").expect("text");
                for (flow, state) in &row.flows {
                    if let Phase::Reset(reason) = state.phase {
                        write!(text, " {flow}={reason:?}").expect("text");
                    }
                }
                text.push('\n');
            }
        }
        "outcomes" => {
            for (caller, row) in world.callers.iter().enumerate() {
                for (number, request) in &row.requests {
                    let answer = request.answer.is_some();
                    let (ran, outcome) = (
                        world.execution_count(caller, *number),
                        request.outcomes.last(),
                    );
                    writeln!(
                        text,
                        "{caller}/{number}: ran={ran} answered={answer} outcome={outcome:?}"
                    )
                    .expect("text");
                }
            }
        }
        "executed" => writeln!(text, "{}", world.executions.len()).expect("text"),
        "misrouted" => writeln!(text, "{}", world.misrouted_packets).expect("text"),
        "endpoints" => {
            for endpoint in &world.endpoints {
                writeln!(
                    text,
                    "{}: flows={} placed={}",
                    endpoint.name,
                    endpoint.flows.len(),
                    endpoint.opened_flows
                )
                .expect("text");
            }
        }
        "inflight" => {
            for (host, row) in world.hosts.iter().enumerate() {
                writeln!(text, "host-{host}: {}", row.tables.in_flight(world.now)).expect("text");
            }
        }
        "counters" => {
            let forged = world.sum_counter(|counters| counters.rejected_tickets);
            let resets = world.sum_counter(|counters| counters.flow_resets);
            let recovered = world.sum_counter(|counters| counters.recovered_flows);
            let pauses = world.sum_counter(|counters| counters.process_pauses);
            writeln!(
                text,
                "forged={forged} resets={resets} recovered={recovered} pauses={pauses}"
            )
            .expect("text");
        }
        other => panic!("unknown value `{other}` of `what`"),
    }
    text
}
