//! Functions that process the tables of a simulated backend server.

use jacinthhinge::prelude::*;
use rand::RngExt;

use crate::content::{self, Assembly};
use crate::tables::{Dispatch, DispatchKey, DispatchState, Execution, Flow, Tables};

/// Factor by which a long request holds a slot longer than a short one.
const LONG_WORK_FACTOR: u32 = 50;

/// Processes one received packet.
pub fn handle_packet(tables: &mut Tables, now: Duration, from: SocketAddr, packet: &Packet) {
    if packet.service != tables.service {
        tables.counts.misrouted += 1;
        let reason = Reason::Reassigned;
        return send_reply(tables, packet, Body::Reset { reason });
    }
    if let Some(flow) = tables.flows.get_mut(&packet.key())
        && !packet.ticket.is_empty()
        && has_flow_ticket(&packet.body)
    {
        flow.ticket = packet.ticket.clone();
    }
    match &packet.body {
        Body::Open => open_flow(tables, now, packet),
        Body::Up { seq, data } => receive_line(tables, packet, *seq, data),
        Body::Probe => {
            let known = tables.flows.contains_key(&packet.key());
            let load = tables.load();
            send_reply(tables, packet, Body::Probed { known, load });
        }
        Body::Close => {
            tables.flows.remove(&packet.key());
        }
        Body::Work { dispatch, part, .. } => {
            receive_part(tables, now, (*dispatch, from), packet, part);
        }
        Body::Cancel { request, dispatch } => {
            cancel_dispatch(tables, now, (*dispatch, from), packet, *request);
        }
        _ => {}
    }
}

/// Queues a line on every stream whose next line is due.
pub fn send_due_lines(tables: &mut Tables, now: Duration) {
    for (key, flow) in &mut tables.flows {
        if now < flow.next_line {
            continue;
        }
        flow.next_line = now + tables.limits.line_interval;
        flow.seq += 1;
        let body = Body::Down {
            seq: flow.seq,
            data: content::line_content(tables.service, *key, flow.seq),
        };
        tables.outbox.push(Packet {
            service: tables.service,
            caller: key.caller,
            flow: key.flow,
            hops: 0,
            ticket: flow.ticket.clone(),
            body,
        });
    }
}

/// Answers the executions that have ended and starts queued dispatches in the free slots.
pub fn advance_runs(tables: &mut Tables, now: Duration) {
    let ended: Vec<DispatchKey> = tables
        .running
        .extract_if(.., |(end, _)| *end <= now)
        .map(|(_, key)| key)
        .collect();
    for key in ended {
        finish_run(tables, key);
    }
    while tables.running.len() < tables.limits.slots
        && let Some(key) = tables.queue.pop_front()
    {
        start_run(tables, now, key);
    }
}

/// Returns true for packets whose ticket belongs to the flow, not to a dispatch.
fn has_flow_ticket(body: &Body) -> bool {
    matches!(body, Body::Open | Body::Up { .. } | Body::Probe)
}

fn send_reply(tables: &mut Tables, packet: &Packet, body: Body) {
    tables
        .outbox
        .push(packet.reply(packet.ticket.clone(), body));
}

fn open_flow(tables: &mut Tables, now: Duration, packet: &Packet) {
    let key = packet.key();
    let known = tables.flows.contains_key(&key);
    if !known && (tables.draining || tables.flows.len() >= tables.limits.max_conns) {
        tables.counts.refused_flows += 1;
        let load = tables.load();
        return send_reply(tables, packet, Body::OpenRefused { load });
    }
    if !known {
        tables.counts.opened_flows += 1;
        let flow = Flow {
            ticket: packet.ticket.clone(),
            seq: 0,
            next_line: now + tables.limits.line_interval,
        };
        tables.flows.insert(key, flow);
    }
    let load = tables.load();
    send_reply(tables, packet, Body::Opened { load });
}

fn receive_line(tables: &mut Tables, packet: &Packet, seq: u64, data: &Bytes) {
    if !tables.flows.contains_key(&packet.key()) {
        let reason = Reason::FlowLost;
        return send_reply(tables, packet, Body::Reset { reason });
    }
    tables.counts.received_lines += 1;
    if *data != content::line_content(tables.service, packet.key(), seq) {
        tables.counts.wrong_content += 1;
    }
}

/// Processes one part of a dispatch. The first part decides whether the dispatch is accepted.
///
/// A part from a different flow under the key of a known dispatch is counted and ignored.
fn receive_part(
    tables: &mut Tables,
    now: Duration,
    key: DispatchKey,
    packet: &Packet,
    part: &Part,
) {
    match tables.dispatches.get_mut(&key) {
        None => {
            tables.counts.dispatches += 1;
            let Some(dispatch) = admit_dispatch(tables, now, packet, part) else {
                return;
            };
            tables.dispatches.insert(key, dispatch);
        }
        Some(dispatch) => {
            if dispatch.origin.key() != packet.key() {
                tables.counts.key_conflicts += 1;
                return;
            }
            dispatch.origin.ticket = packet.ticket.clone();
        }
    }
    let Some(dispatch) = tables.dispatches.get_mut(&key) else {
        return;
    };
    match &mut dispatch.state {
        DispatchState::Incomplete(assembly) => {
            if !assembly.add_part(part) {
                tables.counts.wrong_content += 1;
                return;
            }
            let content = assembly.complete_content();
            acknowledge_part(tables, key, part.index);
            if let Some(content) = content {
                enqueue(tables, now, key, content);
            }
        }
        DispatchState::Queued(_) | DispatchState::Running(_) => {
            tables.counts.repeated_parts += 1;
            acknowledge_part(tables, key, part.index);
        }
        DispatchState::Answered(_) | DispatchState::Refused(_) => {
            tables.counts.repeated_parts += 1;
            send_result(tables, key);
        }
    }
}

/// Creates a dispatch that either awaits its remaining parts or is refused.
fn admit_dispatch(
    tables: &mut Tables,
    now: Duration,
    packet: &Packet,
    part: &Part,
) -> Option<Dispatch> {
    let Body::Work {
        request,
        expected_incarnation,
        class,
        time_left,
        ..
    } = packet.body
    else {
        return None;
    };
    let refusal = if expected_incarnation != tables.incarnation {
        Some(Reason::EndpointLost)
    } else if tables.draining {
        Some(Reason::Draining)
    } else if time_left.is_zero() {
        Some(Reason::Late)
    } else if tables.rng.random_bool(tables.shed_share) {
        Some(Reason::Overload)
    } else {
        None
    };
    let state = match refusal {
        Some(reason) => {
            tables.counts.refused_dispatches += 1;
            DispatchState::Refused(reason)
        }
        None => DispatchState::Incomplete(Assembly::new(part.total)),
    };
    Some(Dispatch {
        origin: packet.clone(),
        request,
        class,
        deadline: now + time_left,
        state,
    })
}

/// Queues a dispatch that has all its parts, or refuses it if the queue is full.
fn enqueue(tables: &mut Tables, now: Duration, key: DispatchKey, content: Bytes) {
    let max_waiting = tables.limits.max_queued + tables.limits.slots - tables.running.len();
    if tables.queue.len() >= max_waiting {
        return refuse_dispatch(tables, key, Reason::Overload);
    }
    if let Some(dispatch) = tables.dispatches.get_mut(&key) {
        dispatch.state = DispatchState::Queued(content);
        tables.queue.push_back(key);
    }
    advance_runs(tables, now);
}

fn start_run(tables: &mut Tables, now: Duration, key: DispatchKey) {
    let Some(dispatch) = tables.dispatches.get_mut(&key) else {
        return;
    };
    let DispatchState::Queued(content) = &mut dispatch.state else {
        return;
    };
    if now >= dispatch.deadline {
        return refuse_dispatch(tables, key, Reason::Late);
    }
    dispatch.state = DispatchState::Running(std::mem::take(content));
    let class = dispatch.class;
    let id = (dispatch.origin.key(), dispatch.request);
    let execution = tables.executions.entry(id);
    execution.or_insert(Execution { class, count: 0 }).count += 1;
    let (until, factor) = tables.cold_period;
    let cold_factor = if now < until { factor } else { 1 };
    let class_factor = if class.is_long_running() {
        LONG_WORK_FACTOR
    } else {
        1
    };
    tables.running.push((
        now + tables.limits.work_time * cold_factor * class_factor,
        key,
    ));
}

fn finish_run(tables: &mut Tables, key: DispatchKey) {
    let Some(dispatch) = tables.dispatches.get_mut(&key) else {
        return;
    };
    if let DispatchState::Running(content) = &dispatch.state {
        let origin = &dispatch.origin;
        let answer =
            content::answer_content(origin.service, origin.key(), dispatch.request, content);
        dispatch.state = DispatchState::Answered(content::split_parts(&answer));
        tables.counts.answered_dispatches += 1;
        send_result(tables, key);
    }
}

fn refuse_dispatch(tables: &mut Tables, key: DispatchKey, reason: Reason) {
    if let Some(dispatch) = tables.dispatches.get_mut(&key) {
        dispatch.state = DispatchState::Refused(reason);
        tables.counts.refused_dispatches += 1;
        send_result(tables, key);
    }
}

fn acknowledge_part(tables: &mut Tables, key: DispatchKey, index: u32) {
    let Some(dispatch) = tables.dispatches.get(&key) else {
        return;
    };
    let body = Body::PartAck {
        request: key.0,
        index,
    };
    let origin = &dispatch.origin;
    tables
        .outbox
        .push(origin.reply(origin.ticket.clone(), body));
}

/// Sends the answer or the refusal of a dispatch, if it has ended.
fn send_result(tables: &mut Tables, key: DispatchKey) {
    let load = tables.load();
    let Some(dispatch) = tables.dispatches.get(&key) else {
        return;
    };
    let (origin, request) = (&dispatch.origin, dispatch.request);
    let bodies = match &dispatch.state {
        DispatchState::Answered(parts) => parts
            .iter()
            .map(|part| Body::Answer {
                request,
                dispatch: key.0,
                load,
                part: part.clone(),
            })
            .collect(),
        DispatchState::Refused(reason) => vec![Body::Refused {
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
    tables.outbox.extend(packets);
}

/// Cancels a dispatch that has not started.
///
/// A cancellation that arrives before the first part is recorded as a refusal, so that
/// the parts that follow are not executed.
fn cancel_dispatch(
    tables: &mut Tables,
    now: Duration,
    key: DispatchKey,
    packet: &Packet,
    request: u64,
) {
    let state = tables.dispatches.get(&key).map(|dispatch| &dispatch.state);
    match state {
        Some(DispatchState::Running(_) | DispatchState::Answered(_)) => {}
        Some(DispatchState::Refused(_)) => send_result(tables, key),
        Some(DispatchState::Incomplete(_) | DispatchState::Queued(_)) => {
            tables.queue.retain(|queued| *queued != key);
            refuse_dispatch(tables, key, Reason::Cancelled);
        }
        None => {
            let dispatch = Dispatch {
                origin: packet.clone(),
                request,
                class: Class::default(),
                deadline: now,
                state: DispatchState::Queued(Bytes::new()),
            };
            tables.dispatches.insert(key, dispatch);
            refuse_dispatch(tables, key, Reason::Cancelled);
        }
    }
}
