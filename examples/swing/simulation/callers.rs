//! Callers of the world.

use jacinthhinge::prelude::*;
use rand::RngExt;

use super::{
    CALLER_HOP, Event, Flow, PING, REPEAT, REQUESTS, Request, Simulation, caller, number, packet,
};
use crate::scenario::{self, Demand, SERVICES};

impl Simulation {
    pub(super) fn new_request(&mut self, service: usize, demand: usize) {
        let spec = SERVICES[service];
        let Demand { class, slot_share } = spec.demands[demand];
        let policy = scenario::class_policy(class);
        let slots = spec.endpoints as f64 * f64::from(spec.slots);
        let calm = slot_share * slots / policy.service_time.as_secs_f64();
        let rate = calm * scenario::demand_factor(class.is_long_running(), self.now);
        let gap = scenario::draw_gap(&mut self.rng, rate);
        self.after(gap, Event::NewRequest(service, demand));
        let index = self.requests.len();
        self.requests.push(Request {
            service,
            class,
            created_at: self.now,
            deadline: self.now + policy.deadline,
            work_time: scenario::draw_work_time(&mut self.rng, class),
            answered_at: None,
            end_status: None,
            home_lost: self.is_home_lost(REQUESTS + index as u64),
        });
        self.ask(index);
    }

    pub(super) fn ask(&mut self, index: usize) {
        let now = self.now;
        let request = &self.requests[index];
        if request.answered_at.is_some() || request.end_status.is_some() || now >= request.deadline
        {
            return;
        }
        let body = Body::Ask {
            request: 1,
            class: request.class,
            time_left: request.deadline - now,
            part: Part {
                index: 0,
                total: 1,
                data: Bytes::new(),
            },
        };
        let packet = packet(request.service, REQUESTS + index as u64, body);
        self.spray(CALLER_HOP, caller(), packet);
        self.after(REPEAT, Event::Repeat(index));
    }

    pub(super) fn new_flow(&mut self, service: usize) {
        let rate = SERVICES[service].flow_rate * scenario::demand_factor(false, self.now);
        let gap = scenario::draw_gap(&mut self.rng, rate);
        self.after(gap, Event::NewFlow(service));
        let life = self.rng.random_range(0.0..1.0) * scenario::MAX_FLOW_LIFETIME.as_secs_f64();
        self.add_flow(service, self.now + Duration::from_secs_f64(life));
    }

    pub(super) fn add_flow(&mut self, service: usize, closes_at: Duration) {
        let index = self.flows.len();
        self.flows.push(Flow {
            service,
            created_at: self.now,
            closes_at,
            opened_at: None,
            closed: false,
            home_lost: self.is_home_lost(index as u64),
            ticket: Bytes::new(),
        });
        self.open(index);
        self.after(PING, Event::Ping(index));
        self.after(closes_at - self.now, Event::Hangup(index));
    }

    pub(super) fn open(&mut self, index: usize) {
        let flow = &self.flows[index];
        if flow.opened_at.is_some() || flow.closed {
            return;
        }
        let packet = packet(flow.service, index as u64, Body::Open);
        self.spray(CALLER_HOP, caller(), packet);
        self.after(REPEAT, Event::Reopen(index));
    }

    pub(super) fn ping(&mut self, index: usize) {
        if self.flows[index].closed {
            return;
        }
        self.after(PING, Event::Ping(index));
        self.send_on(index, Body::Ping);
    }

    pub(super) fn hangup(&mut self, index: usize) {
        if self.flows[index].closed {
            return;
        }
        self.send_on(index, Body::Close);
        self.flows[index].closed = true;
    }

    pub(super) fn send_on(&mut self, index: usize, body: Body) {
        let flow = &self.flows[index];
        let mut packet = packet(flow.service, index as u64, body);
        packet.ticket = flow.ticket.clone();
        self.spray(CALLER_HOP, caller(), packet);
    }

    pub(super) fn tell_caller(&mut self, packet: &Packet) {
        if packet.flow >= REQUESTS {
            let request = &mut self.requests[number(packet.flow - REQUESTS)];
            match packet.body {
                Body::Answer { .. } => {
                    request.answered_at.get_or_insert(self.now);
                }
                Body::Ended { status, reason, .. } => {
                    request.end_status.get_or_insert((status, reason));
                }
                _ => {}
            }
            return;
        }
        let index = number(packet.flow);
        match packet.body {
            Body::Opened { .. } => {
                let flow = &mut self.flows[index];
                flow.opened_at.get_or_insert(self.now);
                flow.ticket = packet.ticket.clone();
            }
            Body::Pong if !packet.ticket.is_empty() => {
                self.flows[index].ticket = packet.ticket.clone();
            }
            Body::Reset { .. } => self.reset(index, packet),
            _ => {}
        }
    }

    /// A flow was reset: it is opened anew under another number.
    pub(super) fn reset(&mut self, index: usize, packet: &Packet) {
        let flow = &mut self.flows[index];
        if flow.closed {
            return;
        }
        flow.closed = true;
        let (service, closes_at) = (flow.service, flow.closes_at);
        if flow.opened_at.is_some() {
            let key = packet.key();
            let on_live = self
                .servers
                .iter()
                .any(|s| s.alive && s.flows.contains(&key));
            let broken = &mut self.broken_flows[service];
            broken.on_live += u64::from(on_live);
            broken.on_lost += u64::from(!on_live);
        }
        if closes_at > self.now + REPEAT && self.flows[index].opened_at.is_some() {
            self.add_flow(service, closes_at);
        }
    }
}
