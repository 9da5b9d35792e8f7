//! Systems of a backend server: functions over its tables.

use jacinthhinge::prelude::*;
use rand::RngExt;

use crate::content::{self, Assembly};
use crate::tables::{Dispatch, DispatchKey, Execution, Flow, Stage, World};

/// How many times longer than short work long work holds a slot.
const LONG_FACTOR: u32 = 50;

/// Acts on one packet.
pub fn handle(world: &mut World, now: Duration, from: SocketAddr, packet: &Packet) {
    if packet.service != world.service {
        world.counts.misrouted += 1;
        let reason = Reason::Reassigned;
        return reply(world, packet, Body::Reset { reason });
    }
    if let Some(flow) = world.flows.get_mut(&packet.key())
        && !packet.ticket.is_empty()
        && is_of_flow(&packet.body)
    {
        flow.ticket = packet.ticket.clone();
    }
    match &packet.body {
        Body::Open => open(world, now, packet),
        Body::Up { seq, data } => take_line(world, packet, *seq, data),
        Body::Probe => {
            let known = world.flows.contains_key(&packet.key());
            let load = world.load();
            reply(world, packet, Body::Probed { known, load });
        }
        Body::Close => {
            world.flows.remove(&packet.key());
        }
        Body::Work { dispatch, part, .. } => {
            take_part(world, now, (*dispatch, from), packet, part);
        }
        Body::Cancel { request, dispatch } => {
            cancel(world, now, (*dispatch, from), packet, *request);
        }
        _ => {}
    }
}

/// Sends the lines that are due.
pub fn feed(world: &mut World, now: Duration) {
    for (key, flow) in &mut world.flows {
        if now < flow.due {
            continue;
        }
        flow.due = now + world.limits.feed;
        flow.seq += 1;
        let body = Body::Down {
            seq: flow.seq,
            data: content::line(world.service, *key, flow.seq),
        };
        world.outbox.push(Packet {
            service: world.service,
            caller: key.caller,
            flow: key.flow,
            hops: 0,
            ticket: flow.ticket.clone(),
            body,
        });
    }
}

/// Answers the runs that have ended and gives their slots to waiting dispatches.
pub fn finish(world: &mut World, now: Duration) {
    let ended: Vec<DispatchKey> = world
        .running
        .extract_if(.., |(end, _)| *end <= now)
        .map(|(_, key)| key)
        .collect();
    for key in ended {
        finish_run(world, key);
    }
    while world.running.len() < world.limits.slots
        && let Some(key) = world.waiting.pop_front()
    {
        start_run(world, now, key);
    }
}

/// True for packets that carry the ticket of a flow and not of a dispatch.
fn is_of_flow(body: &Body) -> bool {
    matches!(body, Body::Open | Body::Up { .. } | Body::Probe)
}

fn reply(world: &mut World, packet: &Packet, body: Body) {
    world.outbox.push(packet.reply(packet.ticket.clone(), body));
}

fn open(world: &mut World, now: Duration, packet: &Packet) {
    let key = packet.key();
    let known = world.flows.contains_key(&key);
    if !known && (world.draining || world.flows.len() >= world.limits.conns) {
        world.counts.closed_door += 1;
        let load = world.load();
        return reply(world, packet, Body::OpenRefused { load });
    }
    if !known {
        world.counts.opened += 1;
        let flow = Flow {
            ticket: packet.ticket.clone(),
            seq: 0,
            due: now + world.limits.feed,
        };
        world.flows.insert(key, flow);
    }
    let load = world.load();
    reply(world, packet, Body::Opened { load });
}

fn take_line(world: &mut World, packet: &Packet, seq: u64, data: &Bytes) {
    if !world.flows.contains_key(&packet.key()) {
        let reason = Reason::FlowLost;
        return reply(world, packet, Body::Reset { reason });
    }
    world.counts.lines += 1;
    if *data != content::line(world.service, packet.key(), seq) {
        world.counts.garbled += 1;
    }
}

/// Takes one part of a dispatch, the first of which decides whether to take it at all.
fn take_part(world: &mut World, now: Duration, key: DispatchKey, packet: &Packet, part: &Part) {
    match world.dispatches.get_mut(&key) {
        None => {
            world.counts.dispatches += 1;
            let Some(dispatch) = admit(world, now, packet, part) else {
                return;
            };
            world.dispatches.insert(key, dispatch);
        }
        Some(dispatch) => {
            if dispatch.origin.key() != packet.key() {
                world.counts.clashes += 1;
                return;
            }
            dispatch.origin.ticket = packet.ticket.clone();
        }
    }
    let Some(dispatch) = world.dispatches.get_mut(&key) else {
        return;
    };
    match &mut dispatch.stage {
        Stage::Gathering(assembly) => {
            if !assembly.add(part) {
                world.counts.garbled += 1;
                return;
            }
            let whole = assembly.whole();
            acknowledge(world, key, part.index);
            if let Some(content) = whole {
                enqueue(world, now, key, content);
            }
        }
        Stage::Waiting(_) | Stage::Running(_) => {
            world.counts.repeats += 1;
            acknowledge(world, key, part.index);
        }
        Stage::Answered(_) | Stage::Refused(_) => {
            world.counts.repeats += 1;
            report(world, key);
        }
    }
}

/// A new dispatch, gathering or refused.
fn admit(world: &mut World, now: Duration, packet: &Packet, part: &Part) -> Option<Dispatch> {
    let Body::Work {
        request,
        expected_incarnation: expect,
        class,
        time_left: budget,
        ..
    } = packet.body
    else {
        return None;
    };
    let refusal = if expect != world.incarnation {
        Some(Reason::EndpointLost)
    } else if world.draining {
        Some(Reason::Draining)
    } else if budget.is_zero() {
        Some(Reason::Late)
    } else if world.rng.random_bool(world.shed) {
        Some(Reason::Overload)
    } else {
        None
    };
    let stage = match refusal {
        Some(reason) => {
            world.counts.refused += 1;
            Stage::Refused(reason)
        }
        None => Stage::Gathering(Assembly::new(part.total)),
    };
    Some(Dispatch {
        origin: packet.clone(),
        request,
        class,
        deadline: now + budget,
        stage,
    })
}

/// Puts a whole dispatch in the queue, or refuses it when that is full.
fn enqueue(world: &mut World, now: Duration, key: DispatchKey, content: Bytes) {
    let room = world.limits.queue + world.limits.slots - world.running.len();
    if world.waiting.len() >= room {
        return refuse(world, key, Reason::Overload);
    }
    if let Some(dispatch) = world.dispatches.get_mut(&key) {
        dispatch.stage = Stage::Waiting(content);
        world.waiting.push_back(key);
    }
    finish(world, now);
}

fn start_run(world: &mut World, now: Duration, key: DispatchKey) {
    let Some(dispatch) = world.dispatches.get_mut(&key) else {
        return;
    };
    let Stage::Waiting(content) = &mut dispatch.stage else {
        return;
    };
    if now >= dispatch.deadline {
        return refuse(world, key, Reason::Late);
    }
    dispatch.stage = Stage::Running(std::mem::take(content));
    let class = dispatch.class;
    let id = (dispatch.origin.key(), dispatch.request);
    let run = world.executed.entry(id);
    run.or_insert(Execution { class, count: 0 }).count += 1;
    let (until, factor) = world.cold;
    let cold = if now < until { factor } else { 1 };
    let long = if class.is_long_running() {
        LONG_FACTOR
    } else {
        1
    };
    world
        .running
        .push((now + world.limits.work * cold * long, key));
}

fn finish_run(world: &mut World, key: DispatchKey) {
    let Some(dispatch) = world.dispatches.get_mut(&key) else {
        return;
    };
    if let Stage::Running(content) = &dispatch.stage {
        let origin = &dispatch.origin;
        let answer = content::answer(origin.service, origin.key(), dispatch.request, content);
        dispatch.stage = Stage::Answered(content::split(&answer));
        world.counts.answered += 1;
        report(world, key);
    }
}

fn refuse(world: &mut World, key: DispatchKey, reason: Reason) {
    if let Some(dispatch) = world.dispatches.get_mut(&key) {
        dispatch.stage = Stage::Refused(reason);
        world.counts.refused += 1;
        report(world, key);
    }
}

fn acknowledge(world: &mut World, key: DispatchKey, index: u32) {
    let Some(dispatch) = world.dispatches.get(&key) else {
        return;
    };
    let body = Body::PartAck {
        request: key.0,
        index,
    };
    let origin = &dispatch.origin;
    world.outbox.push(origin.reply(origin.ticket.clone(), body));
}

/// Sends how a dispatch ended.
fn report(world: &mut World, key: DispatchKey) {
    let load = world.load();
    let Some(dispatch) = world.dispatches.get(&key) else {
        return;
    };
    let (origin, request) = (&dispatch.origin, dispatch.request);
    let bodies = match &dispatch.stage {
        Stage::Answered(parts) => parts
            .iter()
            .map(|part| Body::Answer {
                request,
                dispatch: key.0,
                load,
                part: part.clone(),
            })
            .collect(),
        Stage::Refused(reason) => vec![Body::Refused {
            request,
            dispatch: key.0,
            reason: *reason,
            load,
        }],
        _ => Vec::new(),
    };
    let packets = bodies
        .into_iter()
        .map(|body| origin.reply(origin.ticket.clone(), body));
    world.outbox.extend(packets);
}

/// Cancels a dispatch that has not started, also one whose parts are still to come.
fn cancel(world: &mut World, now: Duration, key: DispatchKey, packet: &Packet, request: u64) {
    let stage = world.dispatches.get(&key).map(|dispatch| &dispatch.stage);
    match stage {
        Some(Stage::Running(_) | Stage::Answered(_)) => {}
        Some(Stage::Refused(_)) => report(world, key),
        Some(Stage::Gathering(_) | Stage::Waiting(_)) => {
            world.waiting.retain(|waiting| *waiting != key);
            refuse(world, key, Reason::Cancelled);
        }
        None => {
            let dispatch = Dispatch {
                origin: packet.clone(),
                request,
                class: Class::default(),
                deadline: now,
                stage: Stage::Waiting(Bytes::new()),
            };
            world.dispatches.insert(key, dispatch);
            refuse(world, key, Reason::Cancelled);
        }
    }
}
