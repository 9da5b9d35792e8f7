//! Removes idle flows.
//!
//! Only the row is removed, and the flow is not closed at its endpoint: another host
//! may have become its home and still use it. Endpoints time out flows that no host
//! asks about.

use std::time::Duration;

use super::recover;
use crate::id::FlowKey;
use crate::tables::{FlowState, Tables};

/// Idle timeout of flows to a service that is not configured.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(5);

pub(super) fn run(tables: &mut Tables, due_flows: &[FlowKey], now: Duration) {
    for key in due_flows {
        remove_if_idle(tables, key, now);
    }
}

fn remove_if_idle(tables: &mut Tables, key: &FlowKey, now: Duration) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let timeout = tables
        .snapshot
        .services
        .get(&flow.service)
        .map_or(DEFAULT_TIMEOUT, |service| service.idle_limit);
    if flow.state != FlowState::Open || now < flow.last_heard + timeout {
        return;
    }
    if let Some(flow) = tables.flows.remove(key) {
        recover::release_endpoint(tables, &flow);
    }
}
