//! Functions that process the tables of a simulated caller process.

use jacinthhinge::prelude::*;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::content::{self, Assembly};
use crate::tables::{EndStatus, Flow, FlowKind, Outcome, Request, Tables, Tickets};

/// Time after which an unanswered packet is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two pings of a flow.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a received line after which a stream counts as broken.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);

/// Period over which the initial streams are opened, so that their pings do not come in bursts.
const OPEN_SPREAD: Duration = Duration::from_secs(2);

/// Maximum number of unacknowledged parts of a request.
const SEND_WINDOW: usize = 16;

/// Flows used only for requests, per service.
const SESSIONS_PER_SERVICE: usize = 8;

/// Factor by which the deadline of a long request is longer than that of a short one.
const LONG_DEADLINE_FACTOR: u32 = 5;

/// Minimum and maximum size of a long request's content.
const LONG_CONTENT_BYTES: (usize, usize) = (8_000, 96_000);

/// Size of a short request's content.
const SHORT_CONTENT_BYTES: usize = 200;

/// Upper bound of the answer size that a request may ask for.
const MAX_ANSWER_BYTES: u16 = 4_000;

/// Adds the initial streams and sessions.
pub fn open_initial_flows(tables: &mut Tables) {
    let main_service = Id::of(&tables.workload.main_service);
    let upload_service = Id::of(&tables.workload.upload_service);
    for _ in 0..tables.workload.streams {
        let next_open = OPEN_SPREAD.mul_f64(tables.rng.random());
        add_flow(tables, main_service, FlowKind::Stream, next_open, false);
    }
    for service in [main_service, upload_service] {
        for _ in 0..SESSIONS_PER_SERVICE {
            add_flow(tables, service, FlowKind::Session, Duration::ZERO, false);
        }
    }
}

fn add_flow(
    tables: &mut Tables,
    service: Id,
    kind: FlowKind,
    next_open: Duration,
    is_replacement: bool,
) {
    tables.last_number += 1;
    let echoes_ticket = match tables.workload.tickets {
        Tickets::On => true,
        Tickets::Off => false,
        Tickets::Both => tables.last_number.is_multiple_of(2),
    };
    let flow = Flow {
        service,
        kind,
        echoes_ticket,
        ticket: Bytes::new(),
        is_open: kind == FlowKind::Session && !echoes_ticket,
        is_replacement,
        incarnation: 0,
        next_open,
        next_ping: next_open,
        last_line: next_open,
        seq: 0,
    };
    tables.flows.insert(tables.last_number, flow);
}

/// Opens flows, sends pings and lines, ends streams at random and replaces those that timed out.
pub fn run_flow_timers(tables: &mut Tables, now: Duration) {
    let tick = crate::TICK_INTERVAL.as_secs_f64();
    let end_chance = (tables.workload.churn * tick).clamp(0.0, 1.0);
    let numbers: Vec<u64> = tables.flows.keys().copied().collect();
    for number in numbers {
        let Some(flow) = tables.flows.get(&number) else {
            continue;
        };
        if !flow.is_open {
            send_open(tables, number, now);
        } else if flow.is_stream() && now > flow.last_line + STREAM_TIMEOUT {
            close_flow(tables, number);
            replace_stream(tables, number, now, "silent");
        } else if flow.is_stream() && tables.rng.random_bool(end_chance) {
            let service = flow.service;
            close_flow(tables, number);
            add_flow(tables, service, FlowKind::Stream, now, false);
        } else if now >= flow.next_ping {
            send_ping(tables, number, now);
        }
    }
}

fn send_open(tables: &mut Tables, number: u64, now: Duration) {
    let Some(flow) = tables.flows.get_mut(&number) else {
        return;
    };
    if now >= flow.next_open {
        flow.next_open = now + RESEND_INTERVAL;
        let body = if flow.is_stream() {
            Body::Open
        } else {
            Body::Greet
        };
        let service = flow.service;
        tables.queue_packet(service, number, Bytes::new(), body);
    }
}

/// Sends a line on a stream, and a ping on a stream or a flow with a ticket.
fn send_ping(tables: &mut Tables, number: u64, now: Duration) {
    let key = tables.flow_key(number);
    let Some(flow) = tables.flows.get_mut(&number) else {
        return;
    };
    flow.next_ping = now + PING_INTERVAL;
    flow.seq += 1;
    let (service, stream, seq) = (flow.service, flow.is_stream(), flow.seq);
    let ticket = flow.ticket.clone();
    if stream {
        let data = content::line_content(service, key, seq);
        tables.queue_packet(service, number, ticket.clone(), Body::Up { seq, data });
    }
    if stream || !ticket.is_empty() {
        tables.queue_packet(service, number, ticket, Body::Ping);
    }
}

fn close_flow(tables: &mut Tables, number: u64) {
    if let Some(flow) = tables.flows.remove(&number)
        && flow.is_stream()
    {
        tables.queue_packet(flow.service, number, flow.ticket, Body::Close);
    }
}

/// Sends `Close` on every stream; the streams stay in the table, so that it can be repeated.
pub fn close_streams(tables: &mut Tables) {
    let streams: Vec<(Id, u64, Bytes)> = tables
        .flows
        .iter()
        .filter(|(_, flow)| flow.is_stream())
        .map(|(number, flow)| (flow.service, *number, flow.ticket.clone()))
        .collect();
    for (service, number, ticket) in streams {
        tables.queue_packet(service, number, ticket, Body::Close);
    }
}

/// Counts an established stream as broken and adds a replacement.
fn replace_stream(tables: &mut Tables, number: u64, now: Duration, reason: &str) {
    tables.flows.remove(&number);
    tables.counts.broken_streams += 1;
    *tables
        .counts
        .break_reasons
        .entry(reason.to_owned())
        .or_default() += 1;
    tables.broken_streams.push(number);
    let service = Id::of(&tables.workload.main_service);
    add_flow(tables, service, FlowKind::Stream, now, true);
}

/// Starts the requests that are due by the request rate, which peaks in the middle third.
pub fn start_due_requests(tables: &mut Tables, now: Duration, end: Duration) {
    let is_peak = now > end / 3 && now < end * 2 / 3;
    let factor = if is_peak {
        tables.workload.peak_factor
    } else {
        1.0
    };
    tables.due_requests +=
        tables.workload.request_rate * factor * now.saturating_sub(tables.last_run).as_secs_f64();
    tables.last_run = now;
    while tables.due_requests >= 1.0 {
        tables.due_requests -= 1.0;
        start_request(tables, now);
    }
}

fn start_request(tables: &mut Tables, now: Duration) {
    let draw: f64 = tables.rng.random();
    let workload = &tables.workload;
    let (service, class) = if draw < workload.long_share {
        (Id::of(&workload.upload_service), workload.long_class)
    } else if draw < workload.long_share + workload.lookup_share {
        (Id::of(&workload.upload_service), Class::Lookup)
    } else if tables.rng.random_bool(0.5) {
        (Id::of(&workload.main_service), workload.once_class)
    } else {
        (Id::of(&workload.main_service), Class::Lookup)
    };
    let mut candidates: Vec<u64> = tables
        .flows
        .iter()
        .filter(|(_, flow)| flow.is_open && flow.service == service)
        .map(|(number, _)| *number)
        .collect();
    candidates.sort_unstable();
    let Some(number) = candidates.choose(&mut tables.rng).copied() else {
        return;
    };
    tables.counts.requests += 1;
    tables.last_number += 1;
    let id = (number, tables.last_number);
    let request = new_request(tables, id, class, now);
    tables.requests.insert(id, request);
    send_parts(tables, id, now, false);
}

/// Creates a request with random content on a flow.
fn new_request(tables: &mut Tables, id: (u64, u64), class: Class, now: Duration) -> Request {
    let is_long = class.is_long_running();
    let size = if is_long {
        tables
            .rng
            .random_range(LONG_CONTENT_BYTES.0..LONG_CONTENT_BYTES.1)
    } else {
        SHORT_CONTENT_BYTES
    };
    let answer_bytes = tables.rng.random_range(0..MAX_ANSWER_BYTES);
    let mut content = content::seeded_bytes(tables.rng.random(), size).to_vec();
    content[..2].copy_from_slice(&answer_bytes.to_le_bytes());
    let time_limit = Duration::from_millis(tables.workload.deadline_ms);
    let time_limit = time_limit * if is_long { LONG_DEADLINE_FACTOR } else { 1 };
    let will_cancel = is_long && tables.rng.random_bool(tables.workload.cancel_share);
    let cancel_delay = time_limit.mul_f64(tables.rng.random_range(0.0..0.1));
    let flow = &tables.flows[&id.0];
    let parts = content::split_parts(&content.clone().into());
    Request {
        service: flow.service,
        class,
        ticket: flow.ticket.clone(),
        acked: vec![false; parts.len()],
        parts,
        sent_parts: 0,
        start_time: now,
        deadline: now + time_limit,
        next_resend: now + RESEND_INTERVAL,
        cancel_at: will_cancel.then(|| now + cancel_delay),
        expected_answer: content::answer_content(
            flow.service,
            tables.flow_key(id.0),
            id.1,
            &content,
        ),
        partial_answers: Vec::new(),
    }
}

/// Sends the new parts that fit into the window, and if `resend` is set the unacknowledged ones.
///
/// If all parts are acknowledged, `resend` repeats the first one to ask for the answer again.
fn send_parts(tables: &mut Tables, id: (u64, u64), now: Duration, resend: bool) {
    let Some(request) = tables.requests.get_mut(&id) else {
        return;
    };
    let is_unacked = |index: &usize| !request.acked[*index];
    let mut indices: Vec<usize> = (0..request.sent_parts).filter(is_unacked).collect();
    let window_left = SEND_WINDOW.saturating_sub(indices.len());
    if !resend {
        indices.clear();
    }
    let sent_end = request.parts.len().min(request.sent_parts + window_left);
    indices.extend(request.sent_parts..sent_end);
    request.sent_parts = sent_end;
    if resend && indices.is_empty() {
        indices.push(0);
    }
    let time_left = request.deadline.saturating_sub(now);
    let bodies: Vec<Body> = indices
        .into_iter()
        .map(|index| Body::Ask {
            request: id.1,
            class: request.class,
            time_left,
            part: request.parts[index].clone(),
        })
        .collect();
    let (service, ticket) = (request.service, request.ticket.clone());
    for body in bodies {
        tables.queue_packet(service, id.0, ticket.clone(), body);
    }
}

/// Resends, cancels or ends requests whose timer has expired.
pub fn run_request_timers(tables: &mut Tables, now: Duration) {
    let due: Vec<(u64, u64)> = tables
        .requests
        .iter()
        .filter(|(_, request)| now >= request.next_resend.min(request.deadline))
        .map(|(id, _)| *id)
        .collect();
    for id in due {
        let Some(request) = tables.requests.get_mut(&id) else {
            continue;
        };
        request.next_resend = now + RESEND_INTERVAL;
        if now >= request.deadline {
            end_request(tables, id, now, EndStatus::Unknown, "deadline".to_owned());
        } else if request.cancel_at.is_some_and(|time| now >= time) {
            let (service, ticket) = (request.service, request.ticket.clone());
            let body = Body::Cancel {
                request: id.1,
                dispatch: 0,
            };
            tables.queue_packet(service, id.0, ticket, body);
        } else {
            send_parts(tables, id, now, true);
        }
    }
}

fn end_request(
    tables: &mut Tables,
    id: (u64, u64),
    now: Duration,
    status: EndStatus,
    reason: String,
) {
    let Some(request) = tables.requests.remove(&id) else {
        return;
    };
    match status {
        EndStatus::Answered => tables.counts.answered_requests += 1,
        EndStatus::NotRun => tables.counts.unexecuted_requests += 1,
        EndStatus::Unknown => tables.counts.unknown_outcomes += 1,
    }
    if status != EndStatus::Answered {
        let label = format!("{:?} {status:?} {reason}", request.class);
        *tables.counts.end_reasons.entry(label).or_default() += 1;
    }
    let count = |units: u128| u64::try_from(units).unwrap_or(u64::MAX);
    tables.outcomes.push(Outcome {
        flow: id.0,
        request: id.1,
        class: request.class,
        status,
        reason,
        start_ms: count(request.start_time.as_millis()),
        elapsed_micros: count(now.saturating_sub(request.start_time).as_micros()),
    });
}

/// Processes one received packet.
pub fn handle_packet(tables: &mut Tables, now: Duration, packet: &Packet) {
    if packet.caller != tables.caller {
        tables.counts.wrong_content += 1;
        return;
    }
    let id = |request: &u64| (packet.flow, *request);
    match &packet.body {
        Body::Greeted | Body::Pong => store_ticket(tables, packet),
        Body::Opened { load } => handle_opened(tables, now, packet, load.incarnation),
        Body::Down { seq, data } => receive_line(tables, now, packet, *seq, data),
        Body::Reset { reason } => handle_reset(tables, now, packet, *reason),
        Body::PartAck { request, index } => {
            if let Some(pending) = tables.requests.get_mut(&id(request))
                && let Some(acked) = pending.acked.get_mut(*index as usize)
            {
                *acked = true;
                send_parts(tables, id(request), now, false);
            }
        }
        Body::Answer {
            request,
            dispatch,
            part,
            ..
        } => receive_answer_part(tables, id(request), now, *dispatch, part),
        Body::Ended {
            request,
            status,
            reason,
        } => {
            let end_status = match status {
                ExecutionStatus::NotRun => EndStatus::NotRun,
                ExecutionStatus::Unknown => EndStatus::Unknown,
            };
            end_request(tables, id(request), now, end_status, format!("{reason:?}"));
        }
        _ => tables.counts.wrong_content += 1,
    }
}

/// Stores the ticket that later packets of the flow echo.
fn store_ticket(tables: &mut Tables, packet: &Packet) {
    if let Some(flow) = tables.flows.get_mut(&packet.flow) {
        flow.is_open |= packet.body == Body::Greeted;
        if flow.echoes_ticket && !packet.ticket.is_empty() {
            flow.ticket = packet.ticket.clone();
        }
    }
}

fn handle_opened(tables: &mut Tables, now: Duration, packet: &Packet, incarnation: Incarnation) {
    let reply = packet.reply(packet.ticket.clone(), Body::Close);
    let Some(flow) = tables.flows.get_mut(&packet.flow) else {
        return tables.outbox.push(reply);
    };
    if flow.is_open && flow.incarnation != incarnation {
        tables.counts.conflicting_opens += 1;
        return tables.outbox.push(reply);
    }
    if !flow.is_open {
        flow.is_open = true;
        flow.incarnation = incarnation;
        flow.last_line = now;
        tables.counts.opened_streams += 1;
        tables.counts.reopened_streams += u64::from(flow.is_replacement);
    }
    store_ticket(tables, packet);
}

fn receive_line(tables: &mut Tables, now: Duration, packet: &Packet, seq: u64, data: &Bytes) {
    if *data != content::line_content(packet.service, packet.key(), seq) {
        tables.counts.wrong_content += 1;
        return;
    }
    tables.counts.received_lines += 1;
    match tables.flows.get_mut(&packet.flow) {
        Some(flow) => flow.last_line = now,
        None => tables
            .outbox
            .push(packet.reply(packet.ticket.clone(), Body::Close)),
    }
}

fn handle_reset(tables: &mut Tables, now: Duration, packet: &Packet, reason: Reason) {
    let Some(flow) = tables.flows.get(&packet.flow) else {
        return;
    };
    let (service, kind) = (flow.service, flow.kind);
    let reason_name = format!("{reason:?}");
    if flow.is_stream() && flow.is_open {
        return replace_stream(tables, packet.flow, now, &reason_name);
    }
    let (is_replacement, next_open) = (flow.is_replacement, now + RESEND_INTERVAL);
    tables.flows.remove(&packet.flow);
    *tables.counts.refused_opens.entry(reason_name).or_default() += 1;
    add_flow(tables, service, kind, next_open, is_replacement);
}

fn receive_answer_part(
    tables: &mut Tables,
    id: (u64, u64),
    now: Duration,
    dispatch: u64,
    part: &Part,
) {
    let Some(request) = tables.requests.get_mut(&id) else {
        tables.counts.late_answers += 1;
        return;
    };
    let answers = &mut request.partial_answers;
    let known = answers.iter().position(|(number, _)| *number == dispatch);
    let index = known.unwrap_or(answers.len());
    if known.is_none() {
        answers.push((dispatch, Assembly::new(part.total)));
    }
    let fits = answers[index].1.add_part(part);
    let content = answers[index].1.complete_content();
    let is_correct = content
        .as_ref()
        .is_none_or(|got| *got == request.expected_answer);
    if !fits || !is_correct {
        tables.counts.wrong_content += 1;
    }
    if is_correct && content.is_some() {
        end_request(tables, id, now, EndStatus::Answered, String::new());
    }
}
