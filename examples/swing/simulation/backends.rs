//! Backend servers of the simulation.

use jacinthhinge::prelude::*;
use rand::RngExt;

use super::{Event, FIRST_REQUEST_FLOW, HOP_DELAY, SAMPLE_INTERVAL, Sample, Simulation, to_index};
use crate::scenario::SERVICES;
use crate::server::{Admission, Job};

impl Simulation {
    pub(super) fn deliver_to_server(&mut self, index: usize, packet: &Packet) {
        if !self.servers[index].alive {
            return;
        }
        let key = packet.key();
        match packet.body {
            Body::Open => {
                let server = &mut self.servers[index];
                let has_room = server.flows.len() < server.spec.max_conns as usize;
                let accepted = has_room || server.flows.contains(&key);
                if accepted {
                    server.flows.insert(key);
                }
                let load = server.load();
                let body = if accepted {
                    Body::Opened { load }
                } else {
                    Body::OpenRefused { load }
                };
                self.reply(index, packet, body);
            }
            Body::Close => {
                self.servers[index].flows.remove(&key);
            }
            Body::Probe => {
                let server = &self.servers[index];
                let (known, load) = (server.flows.contains(&key), server.load());
                self.reply(index, packet, Body::Probed { known, load });
            }
            Body::Work {
                dispatch,
                time_left,
                ..
            } => self.handle_dispatch(index, packet, dispatch, time_left),
            Body::Cancel { dispatch, .. } => {
                let server = &mut self.servers[index];
                server.queue.retain(|job| job.dispatch != dispatch);
            }
            _ => {}
        }
    }

    pub(super) fn handle_dispatch(
        &mut self,
        index: usize,
        packet: &Packet,
        dispatch: u64,
        time_left: Duration,
    ) {
        let (now, draw) = (self.now, self.rng.random());
        let job = Job {
            dispatch,
            work_time: self.requests[to_index(packet.flow - FIRST_REQUEST_FLOW)].work_time,
            deadline: now + time_left,
            packet: packet.clone(),
        };
        let copy = Job {
            packet: packet.clone(),
            ..job
        };
        match self.servers[index].admit(job, draw, now) {
            Admission::Started(end) => {
                self.schedule(end - now, Event::FinishJob(index, Box::new(copy)));
            }
            Admission::Queued | Admission::Duplicate(None) => {}
            Admission::Duplicate(Some(body)) => return self.reply(index, packet, body),
            Admission::Refused(reason) => return self.refuse(index, packet, dispatch, reason),
        }
        let body = Body::PartAck {
            request: dispatch,
            index: 0,
        };
        self.reply(index, packet, body);
    }

    pub(super) fn refuse(&mut self, index: usize, packet: &Packet, dispatch: u64, reason: Reason) {
        let load = self.servers[index].load();
        let body = Body::Refused {
            request: packet.flow,
            dispatch,
            reason,
            load,
        };
        self.servers[index].record_answer(dispatch, body.clone());
        self.reply(index, packet, body);
    }

    pub(super) fn finish_job(&mut self, index: usize, job: &Job) {
        let now = self.now;
        if !self.servers[index].alive {
            return;
        }
        self.servers[index].finish_job(now);
        while let Some(next) = self.servers[index].queue.pop_front() {
            if next.deadline <= now {
                self.refuse(index, &next.packet, next.dispatch, Reason::Late);
                continue;
            }
            let end = self.servers[index].start_job(&next, now);
            self.schedule(end - now, Event::FinishJob(index, Box::new(next)));
            break;
        }
        let part = Part {
            index: 0,
            total: 1,
            data: Bytes::new(),
        };
        let body = Body::Answer {
            request: job.packet.flow,
            dispatch: job.dispatch,
            load: self.servers[index].load(),
            part,
        };
        self.servers[index].record_answer(job.dispatch, body.clone());
        self.reply(index, &job.packet, body);
    }

    pub(super) fn reply(&mut self, index: usize, packet: &Packet, body: Body) {
        let from = self.servers[index].spec.addr;
        self.send_to_any(HOP_DELAY, from, packet.reply(packet.ticket.clone(), body));
    }

    pub(super) fn lose_endpoints(&mut self) {
        let mut first_server = 0;
        for service in SERVICES {
            for index in 2..2 + service.lost_endpoints {
                let server = &mut self.servers[first_server + index];
                server.account_slot_time(self.now);
                server.alive = false;
                server.busy_slots = 0;
                self.lost_servers.insert(first_server + index);
            }
            first_server += service.endpoints;
        }
    }

    pub(super) fn detect_endpoint_loss(&mut self) {
        let lost = &self.lost_servers;
        let specs = self
            .services
            .iter_mut()
            .flat_map(|service| &mut service.endpoints);
        for (_, spec) in specs.enumerate().filter(|(index, _)| lost.contains(index)) {
            spec.healthy = false;
        }
        self.publish();
    }

    pub(super) fn sample(&mut self) {
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        let mut first_server = 0;
        for (service, spec) in SERVICES.iter().enumerate() {
            let (mut slot_seconds, mut flow_counts) = (Vec::new(), Vec::new());
            for index in first_server..first_server + spec.endpoints {
                let server = &mut self.servers[index];
                server.account_slot_time(self.now);
                let used = server.slot_time - self.sampled_time[index];
                self.sampled_time[index] = server.slot_time;
                if server.alive {
                    slot_seconds.push(used.as_secs_f64());
                    flow_counts.push(server.flows.len() as f64);
                }
            }
            first_server += spec.endpoints;
            self.samples.push(Sample {
                service,
                taken_at: self.now,
                slot_seconds,
                flow_counts,
            });
        }
    }
}
