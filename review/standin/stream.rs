//! One end of an open flow: retransmission, acknowledgement and reassembly.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::packet::{MAX_DATA, after};

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_millis(1600);
const MAX_IN_FLIGHT: usize = 16;

struct Sent {
    seq: u32,
    data: Vec<u8>,
    due: Instant,
    pause: Duration,
    repeats: u32,
}

/// A segment to send: sequence number and data.
pub type Segment = (u32, Vec<u8>);

pub struct Stream {
    pub send_next: u32,
    pub recv_next: u32,
    waiting: VecDeque<Vec<u8>>,
    in_flight: VecDeque<Sent>,
    early: BTreeMap<u32, Vec<u8>>,
    pub received: Vec<u8>,
    unacked: u32,
}

impl Stream {
    pub fn new(send_next: u32, recv_next: u32) -> Self {
        Self {
            send_next,
            recv_next,
            waiting: VecDeque::new(),
            in_flight: VecDeque::new(),
            early: BTreeMap::new(),
            received: Vec::new(),
            unacked: 0,
        }
    }

    pub fn write(&mut self, data: &[u8]) {
        self.waiting
            .extend(data.chunks(MAX_DATA).map(<[u8]>::to_vec));
    }

    /// Takes in the acknowledgement and the data of a packet; true if an acknowledgement is due.
    pub fn receive(&mut self, seq: u32, ack: u32, data: &[u8]) -> bool {
        while let Some(first) = self.in_flight.front() {
            if after(first.seq.wrapping_add(first.data.len() as u32), ack) {
                break;
            }
            self.in_flight.pop_front();
        }
        if data.is_empty() {
            return false;
        }
        if !after(self.recv_next, seq) {
            self.early.insert(seq, data.to_vec());
        }
        while let Some(next) = self.early.remove(&self.recv_next) {
            self.recv_next = self.recv_next.wrapping_add(next.len() as u32);
            self.received.extend(next);
        }
        // Every second packet is acknowledged.
        self.unacked += 1;
        if self.unacked >= 2 {
            self.unacked = 0;
            return true;
        }
        false
    }

    /// Returns the segments to send now; `None` after more than `limit` retransmissions.
    pub fn due(&mut self, now: Instant, limit: u32) -> Option<Vec<Segment>> {
        let mut out = Vec::new();
        for sent in &mut self.in_flight {
            if now >= sent.due {
                sent.repeats += 1;
                if sent.repeats > limit {
                    return None;
                }
                sent.pause = (sent.pause * 2).min(LONGEST_PAUSE);
                sent.due = now + sent.pause;
                out.push((sent.seq, sent.data.clone()));
            }
        }
        while self.in_flight.len() < MAX_IN_FLIGHT {
            let Some(data) = self.waiting.pop_front() else {
                break;
            };
            out.push((self.send_next, data.clone()));
            let seq = self.send_next;
            self.send_next = seq.wrapping_add(data.len() as u32);
            self.in_flight.push_back(Sent {
                seq,
                data,
                due: now + FIRST_PAUSE,
                pause: FIRST_PAUSE,
                repeats: 0,
            });
        }
        Some(out)
    }

    pub fn is_sent(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }
}
