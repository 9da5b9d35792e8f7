//! Systems of a caller process: functions over its tables.

use jacinthhinge::prelude::*;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::content::{self, Assembly};
use crate::tables::{End, Flow, Kind, Outcome, Request, Tickets, World};

/// Time between two sendings of what was not answered.
const REPEAT: Duration = Duration::from_millis(200);

/// Time between two pings of a flow.
const PING: Duration = Duration::from_secs(1);

/// Time without a line after which a stream counts as broken.
const SILENCE: Duration = Duration::from_secs(3);

/// Time over which the first streams are opened, so that their pings do not come in bursts.
const OPENING: Duration = Duration::from_secs(2);

/// Parts of a request that are under way at once.
const WINDOW: usize = 16;

/// Sessions for requests, of each service.
const SESSIONS: usize = 8;

/// How many times longer the deadline of long work is.
const LONG_DEADLINE: u32 = 5;

/// Bytes of a long request's content, least and most.
const LONG_BYTES: (usize, usize) = (8_000, 96_000);

/// Bytes of a short request's content.
const SHORT_BYTES: usize = 200;

/// Most bytes of an answer that a request may ask for.
const ANSWER_BYTES: u16 = 4_000;

/// Opens the streams and sessions of a run.
pub fn begin(world: &mut World) {
    let main = Id::of(&world.mix.service);
    let side = Id::of(&world.mix.upload);
    for _ in 0..world.mix.streams {
        let hello = OPENING.mul_f64(world.rng.random());
        add_flow(world, main, Kind::Stream, hello, false);
    }
    for service in [main, side] {
        for _ in 0..SESSIONS {
            add_flow(world, service, Kind::Session, Duration::ZERO, false);
        }
    }
}

fn add_flow(world: &mut World, service: Id, kind: Kind, hello: Duration, again: bool) {
    world.serial += 1;
    let echoes = match world.mix.tickets {
        Tickets::On => true,
        Tickets::Off => false,
        Tickets::Both => world.serial.is_multiple_of(2),
    };
    let flow = Flow {
        service,
        kind,
        echoes,
        ticket: Bytes::new(),
        open: kind == Kind::Session && !echoes,
        again,
        peer: 0,
        hello,
        ping: hello,
        heard: hello,
        seq: 0,
    };
    world.flows.insert(world.serial, flow);
}

/// Opens, pings, writes, ends and gives up flows as they are due.
pub fn keep_flows(world: &mut World, now: Duration) {
    let tick = crate::TICK.as_secs_f64();
    let ending = (world.mix.churn * tick).clamp(0.0, 1.0);
    let numbers: Vec<u64> = world.flows.keys().copied().collect();
    for number in numbers {
        let Some(flow) = world.flows.get(&number) else {
            continue;
        };
        if !flow.open {
            greet(world, number, now);
        } else if flow.is_stream() && now > flow.heard + SILENCE {
            close(world, number);
            break_stream(world, number, now, "silent");
        } else if flow.is_stream() && world.rng.random_bool(ending) {
            let service = flow.service;
            close(world, number);
            add_flow(world, service, Kind::Stream, now, false);
        } else if now >= flow.ping {
            keep_alive(world, number, now);
        }
    }
}

fn greet(world: &mut World, number: u64, now: Duration) {
    let Some(flow) = world.flows.get_mut(&number) else {
        return;
    };
    if now >= flow.hello {
        flow.hello = now + REPEAT;
        let body = if flow.is_stream() {
            Body::Open
        } else {
            Body::Greet
        };
        let service = flow.service;
        world.send(service, number, Bytes::new(), body);
    }
}

/// Sends a ping and, on a stream, a line.
fn keep_alive(world: &mut World, number: u64, now: Duration) {
    let key = world.key(number);
    let Some(flow) = world.flows.get_mut(&number) else {
        return;
    };
    flow.ping = now + PING;
    flow.seq += 1;
    let (service, stream, seq) = (flow.service, flow.is_stream(), flow.seq);
    let ticket = flow.ticket.clone();
    if stream {
        let data = content::line(service, key, seq);
        world.send(service, number, ticket.clone(), Body::Up { seq, data });
    }
    if stream || !ticket.is_empty() {
        world.send(service, number, ticket, Body::Ping);
    }
}

fn close(world: &mut World, number: u64) {
    if let Some(flow) = world.flows.remove(&number)
        && flow.is_stream()
    {
        world.send(flow.service, number, flow.ticket, Body::Close);
    }
}

/// Closes every stream, which stays in the table.
pub fn close_all(world: &mut World) {
    let streams: Vec<(Id, u64, Bytes)> = world
        .flows
        .iter()
        .filter(|(_, flow)| flow.is_stream())
        .map(|(number, flow)| (flow.service, *number, flow.ticket.clone()))
        .collect();
    for (service, number, ticket) in streams {
        world.send(service, number, ticket, Body::Close);
    }
}

/// Counts an established stream as broken and opens another at once.
fn break_stream(world: &mut World, number: u64, now: Duration, why: &str) {
    world.flows.remove(&number);
    world.counts.broken += 1;
    *world.counts.broken_by.entry(why.to_owned()).or_default() += 1;
    world.broken.push(number);
    let service = Id::of(&world.mix.service);
    add_flow(world, service, Kind::Stream, now, true);
}

/// Begins the requests that are due by the rate.
pub fn ask(world: &mut World, now: Duration, end: Duration) {
    let crest = now > end / 3 && now < end * 2 / 3;
    let factor = if crest { world.mix.crest } else { 1.0 };
    world.owed += world.mix.rate * factor * now.saturating_sub(world.asked).as_secs_f64();
    world.asked = now;
    while world.owed >= 1.0 {
        world.owed -= 1.0;
        ask_one(world, now);
    }
}

fn ask_one(world: &mut World, now: Duration) {
    let draw: f64 = world.rng.random();
    let mix = &world.mix;
    let (service, class) = if draw < mix.long {
        (Id::of(&mix.upload), mix.heavy)
    } else if draw < mix.long + mix.side {
        (Id::of(&mix.upload), Class::Lookup)
    } else if world.rng.random_bool(0.5) {
        (Id::of(&mix.service), mix.once)
    } else {
        (Id::of(&mix.service), Class::Lookup)
    };
    let mut ready: Vec<u64> = world
        .flows
        .iter()
        .filter(|(_, flow)| flow.open && flow.service == service)
        .map(|(number, _)| *number)
        .collect();
    ready.sort_unstable();
    let Some(number) = ready.choose(&mut world.rng).copied() else {
        return;
    };
    world.counts.requests += 1;
    world.serial += 1;
    let id = (number, world.serial);
    let request = new_request(world, id, class, now);
    world.requests.insert(id, request);
    send_parts(world, id, now, false);
}

/// A request on a flow, with the flow's ticket.
fn new_request(world: &mut World, id: (u64, u64), class: Class, now: Duration) -> Request {
    let long = class.is_long_running();
    let size = if long {
        world.rng.random_range(LONG_BYTES.0..LONG_BYTES.1)
    } else {
        SHORT_BYTES
    };
    let wanted = world.rng.random_range(0..ANSWER_BYTES);
    let mut content = content::fill(world.rng.random(), size).to_vec();
    content[..2].copy_from_slice(&wanted.to_le_bytes());
    let patience = Duration::from_millis(world.mix.deadline_ms);
    let patience = patience * if long { LONG_DEADLINE } else { 1 };
    let cancel = long && world.rng.random_bool(world.mix.cancel);
    let wait = patience.mul_f64(world.rng.random_range(0.0..0.1));
    let flow = &world.flows[&id.0];
    let parts = content::split(&content.clone().into());
    Request {
        service: flow.service,
        class,
        ticket: flow.ticket.clone(),
        acked: vec![false; parts.len()],
        parts,
        sent: 0,
        start: now,
        deadline: now + patience,
        repeat: now + REPEAT,
        cancel: cancel.then(|| now + wait),
        expected: content::answer(flow.service, world.key(id.0), id.1, &content),
        answers: Vec::new(),
    }
}

/// Sends parts that the window has room for, and with `again` those not acknowledged.
fn send_parts(world: &mut World, id: (u64, u64), now: Duration, again: bool) {
    let Some(request) = world.requests.get_mut(&id) else {
        return;
    };
    let pending = |index: &usize| !request.acked[*index];
    let mut indices: Vec<usize> = (0..request.sent).filter(pending).collect();
    let room = WINDOW.saturating_sub(indices.len());
    if !again {
        indices.clear();
    }
    let fresh = request.parts.len().min(request.sent + room);
    indices.extend(request.sent..fresh);
    request.sent = fresh;
    if again && indices.is_empty() {
        indices.push(0);
    }
    let budget = request.deadline.saturating_sub(now);
    let bodies: Vec<Body> = indices
        .into_iter()
        .map(|index| Body::Ask {
            request: id.1,
            class: request.class,
            time_left: budget,
            part: request.parts[index].clone(),
        })
        .collect();
    let (service, ticket) = (request.service, request.ticket.clone());
    for body in bodies {
        world.send(service, id.0, ticket.clone(), body);
    }
}

/// Repeats, cancels and gives up requests as they are due.
pub fn keep_requests(world: &mut World, now: Duration) {
    let due: Vec<(u64, u64)> = world
        .requests
        .iter()
        .filter(|(_, request)| now >= request.repeat.min(request.deadline))
        .map(|(id, _)| *id)
        .collect();
    for id in due {
        let Some(request) = world.requests.get_mut(&id) else {
            continue;
        };
        request.repeat = now + REPEAT;
        if now >= request.deadline {
            end(world, id, now, End::Unknown, "deadline".to_owned());
        } else if request.cancel.is_some_and(|time| now >= time) {
            let (service, ticket) = (request.service, request.ticket.clone());
            let body = Body::Cancel {
                request: id.1,
                dispatch: 0,
            };
            world.send(service, id.0, ticket, body);
        } else {
            send_parts(world, id, now, true);
        }
    }
}

fn end(world: &mut World, id: (u64, u64), now: Duration, end: End, reason: String) {
    let Some(request) = world.requests.remove(&id) else {
        return;
    };
    match end {
        End::Done => world.counts.done += 1,
        End::NotRun => world.counts.not_run += 1,
        End::Unknown => world.counts.unknown += 1,
    }
    if end != End::Done {
        let label = format!("{:?} {end:?} {reason}", request.class);
        *world.counts.ends.entry(label).or_default() += 1;
    }
    let count = |units: u128| u64::try_from(units).unwrap_or(u64::MAX);
    world.outcomes.push(Outcome {
        flow: id.0,
        request: id.1,
        class: request.class,
        end,
        reason,
        start: count(request.start.as_millis()),
        micros: count(now.saturating_sub(request.start).as_micros()),
    });
}

/// Acts on one packet.
pub fn handle(world: &mut World, now: Duration, packet: &Packet) {
    if packet.caller != world.caller {
        world.counts.wrong += 1;
        return;
    }
    let id = |request: &u64| (packet.flow, *request);
    match &packet.body {
        Body::Greeted | Body::Pong => renew(world, packet),
        Body::Opened { load } => opened(world, now, packet, load.incarnation),
        Body::Down { seq, data } => take_line(world, now, packet, *seq, data),
        Body::Reset { reason } => reset(world, now, packet, *reason),
        Body::PartAck { request, index } => {
            if let Some(asked) = world.requests.get_mut(&id(request))
                && let Some(acked) = asked.acked.get_mut(*index as usize)
            {
                *acked = true;
                send_parts(world, id(request), now, false);
            }
        }
        Body::Answer {
            request,
            dispatch,
            part,
            ..
        } => take_answer(world, id(request), now, *dispatch, part),
        Body::Ended {
            request,
            status: verdict,
            reason,
        } => {
            let known = match verdict {
                ExecutionStatus::NotRun => End::NotRun,
                ExecutionStatus::Unknown => End::Unknown,
            };
            end(world, id(request), now, known, format!("{reason:?}"));
        }
        _ => world.counts.wrong += 1,
    }
}

/// Takes a ticket for new packets.
fn renew(world: &mut World, packet: &Packet) {
    if let Some(flow) = world.flows.get_mut(&packet.flow) {
        flow.open |= packet.body == Body::Greeted;
        if flow.echoes && !packet.ticket.is_empty() {
            flow.ticket = packet.ticket.clone();
        }
    }
}

fn opened(world: &mut World, now: Duration, packet: &Packet, peer: Incarnation) {
    let reply = packet.reply(packet.ticket.clone(), Body::Close);
    let Some(flow) = world.flows.get_mut(&packet.flow) else {
        return world.outbox.push(reply);
    };
    if flow.open && flow.peer != peer {
        world.counts.second_opens += 1;
        return world.outbox.push(reply);
    }
    if !flow.open {
        flow.open = true;
        flow.peer = peer;
        flow.heard = now;
        world.counts.flows += 1;
        world.counts.reopened += u64::from(flow.again);
    }
    renew(world, packet);
}

fn take_line(world: &mut World, now: Duration, packet: &Packet, seq: u64, data: &Bytes) {
    if *data != content::line(packet.service, packet.key(), seq) {
        world.counts.wrong += 1;
        return;
    }
    world.counts.lines += 1;
    match world.flows.get_mut(&packet.flow) {
        Some(flow) => flow.heard = now,
        None => world
            .outbox
            .push(packet.reply(packet.ticket.clone(), Body::Close)),
    }
}

fn reset(world: &mut World, now: Duration, packet: &Packet, reason: Reason) {
    let Some(flow) = world.flows.get(&packet.flow) else {
        return;
    };
    let (service, kind) = (flow.service, flow.kind);
    let why = format!("{reason:?}");
    if flow.is_stream() && flow.open {
        return break_stream(world, packet.flow, now, &why);
    }
    let (again, hello) = (flow.again, now + REPEAT);
    world.flows.remove(&packet.flow);
    *world.counts.turned_away.entry(why).or_default() += 1;
    add_flow(world, service, kind, hello, again);
}

fn take_answer(world: &mut World, id: (u64, u64), now: Duration, dispatch: u64, part: &Part) {
    let Some(request) = world.requests.get_mut(&id) else {
        world.counts.late += 1;
        return;
    };
    let answers = &mut request.answers;
    let known = answers.iter().position(|(of, _)| *of == dispatch);
    let index = known.unwrap_or(answers.len());
    if known.is_none() {
        answers.push((dispatch, Assembly::new(part.total)));
    }
    let fits = answers[index].1.add(part);
    let whole = answers[index].1.whole();
    let right = whole.as_ref().is_none_or(|got| *got == request.expected);
    if !fits || !right {
        world.counts.wrong += 1;
    }
    if right && whole.is_some() {
        end(world, id, now, End::Done, String::new());
    }
}
