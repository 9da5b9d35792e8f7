//! Callers of the simulation.

use jacinthhinge::prelude::*;
use rand::RngExt;

use super::{
    CALLER_DELAY, Event, FIRST_REQUEST_FLOW, Flow, PING_INTERVAL, RETRANSMIT_PAUSE, Request,
    Simulation, caller_addr, caller_packet, to_index,
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
        self.schedule(gap, Event::NewRequest(service, demand));
        let index = self.requests.len();
        self.requests.push(Request {
            service,
            class,
            created_at: self.now,
            deadline: self.now + policy.deadline,
            work_time: scenario::draw_work_time(&mut self.rng, class),
            answered_at: None,
            end_status: None,
            home_lost: self.is_home_lost(FIRST_REQUEST_FLOW + index as u64),
        });
        self.send_request(index);
    }

    pub(super) fn send_request(&mut self, index: usize) {
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
        let packet = caller_packet(request.service, FIRST_REQUEST_FLOW + index as u64, body);
        self.send_to_any(CALLER_DELAY, caller_addr(), packet);
        self.schedule(RETRANSMIT_PAUSE, Event::ResendRequest(index));
    }

    pub(super) fn new_flow(&mut self, service: usize) {
        let rate = SERVICES[service].flow_rate * scenario::demand_factor(false, self.now);
        let gap = scenario::draw_gap(&mut self.rng, rate);
        self.schedule(gap, Event::NewFlow(service));
        let lifetime = self.rng.random_range(0.0..1.0) * scenario::MAX_FLOW_LIFETIME.as_secs_f64();
        self.add_flow(service, self.now + Duration::from_secs_f64(lifetime));
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
        self.send_open(index);
        self.schedule(PING_INTERVAL, Event::Ping(index));
        self.schedule(closes_at - self.now, Event::CloseFlow(index));
    }

    pub(super) fn send_open(&mut self, index: usize) {
        let flow = &self.flows[index];
        if flow.opened_at.is_some() || flow.closed {
            return;
        }
        let packet = caller_packet(flow.service, index as u64, Body::Open);
        self.send_to_any(CALLER_DELAY, caller_addr(), packet);
        self.schedule(RETRANSMIT_PAUSE, Event::ResendOpen(index));
    }

    pub(super) fn send_ping(&mut self, index: usize) {
        if self.flows[index].closed {
            return;
        }
        self.schedule(PING_INTERVAL, Event::Ping(index));
        self.send_on_flow(index, Body::Ping);
    }

    pub(super) fn close_flow(&mut self, index: usize) {
        if self.flows[index].closed {
            return;
        }
        self.send_on_flow(index, Body::Close);
        self.flows[index].closed = true;
    }

    pub(super) fn send_on_flow(&mut self, index: usize, body: Body) {
        let flow = &self.flows[index];
        let mut packet = caller_packet(flow.service, index as u64, body);
        packet.ticket = flow.ticket.clone();
        self.send_to_any(CALLER_DELAY, caller_addr(), packet);
    }

    pub(super) fn deliver_to_caller(&mut self, packet: &Packet) {
        if packet.flow >= FIRST_REQUEST_FLOW {
            let request = &mut self.requests[to_index(packet.flow - FIRST_REQUEST_FLOW)];
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
        let index = to_index(packet.flow);
        match packet.body {
            Body::Opened { .. } => {
                let flow = &mut self.flows[index];
                flow.opened_at.get_or_insert(self.now);
                flow.ticket = packet.ticket.clone();
            }
            Body::Pong if !packet.ticket.is_empty() => {
                self.flows[index].ticket = packet.ticket.clone();
            }
            Body::Reset { .. } => self.reopen_flow(index, packet),
            _ => {}
        }
    }

    /// Records the reset of a flow and opens a new flow in its place if it was open.
    pub(super) fn reopen_flow(&mut self, index: usize, packet: &Packet) {
        let flow = &mut self.flows[index];
        if flow.closed {
            return;
        }
        flow.closed = true;
        let (service, closes_at) = (flow.service, flow.closes_at);
        if flow.opened_at.is_some() {
            let key = packet.key();
            let live = self
                .servers
                .iter()
                .any(|s| s.alive && s.flows.contains(&key));
            let broken = &mut self.broken_flows[service];
            broken.live += u64::from(live);
            broken.lost += u64::from(!live);
        }
        if closes_at > self.now + RETRANSMIT_PAUSE && self.flows[index].opened_at.is_some() {
            self.add_flow(service, closes_at);
        }
    }
}
