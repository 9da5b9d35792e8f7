//! Forgets flows without traffic.

use std::time::Duration;

use super::{open, recover};
use crate::id::FlowKey;
use crate::packet::Body;
use crate::tables::{FlowState, Outbox, Tables};

/// Idle limit of a service that is not configured.
const IDLE: Duration = Duration::from_mins(5);

pub(super) fn run(tables: &mut Tables, swept: &[FlowKey], now: Duration, out: &mut Outbox) {
    for key in swept {
        expire(tables, key, now, out);
    }
}

fn expire(tables: &mut Tables, key: &FlowKey, now: Duration, out: &mut Outbox) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let idle = tables
        .snapshot
        .services
        .get(&flow.service)
        .map_or(IDLE, |service| service.idle);
    if flow.state != FlowState::Open || now < flow.heard + idle {
        return;
    }
    let (packet, target) = (open::packet_of(flow), flow.target);
    open::send_endpoint(tables, &packet, target, Body::Close, out);
    if let Some(flow) = tables.flows.remove(key) {
        recover::forget(tables, &flow);
    }
}
