//! Closes the flows that outlast the drain limit of a draining endpoint.

use std::time::Duration;

use super::{open, recover};
use crate::id::FlowKey;
use crate::packet::{Body, Reason};
use crate::tables::{Outbox, Tables};

pub(super) fn run(tables: &mut Tables, due_flows: &[FlowKey], now: Duration, out: &mut Outbox) {
    if tables
        .endpoints
        .iter()
        .all(|row| row.draining_since.is_none())
    {
        return;
    }
    for key in due_flows {
        if is_overdue(tables, key, now) {
            close_flow(tables, key, out);
        }
    }
}

fn is_overdue(tables: &Tables, key: &FlowKey, now: Duration) -> bool {
    let Some(flow) = tables.flows.get(key) else {
        return false;
    };
    let draining_since = flow
        .target
        .and_then(|target| tables.endpoints.get(target.endpoint))
        .and_then(|row| row.draining_since);
    let limit = tables
        .snapshot
        .services
        .get(&flow.service)
        .map(|service| service.drain_limit);
    match (draining_since, limit) {
        (Some(since), Some(limit)) => now >= since + limit,
        _ => false,
    }
}

fn close_flow(tables: &mut Tables, key: &FlowKey, out: &mut Outbox) {
    if let Some(flow) = tables.flows.get(key) {
        let (packet, target) = (open::packet_of(flow), flow.target);
        open::send_to_endpoint(tables, &packet, target, Body::Close, out);
    }
    recover::reset_flow(tables, key, Reason::Draining, out);
}
