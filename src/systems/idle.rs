//! Forgets flows without traffic.
//!
//! Only the row is dropped. A host that was home to a flow for a while cannot tell
//! whether the flow lives on with another, so it closes nothing at the endpoint,
//! which forgets by itself the flows that no host has asked it for.

use std::time::Duration;

use super::recover;
use crate::id::FlowKey;
use crate::tables::{FlowState, Tables};

/// Idle limit of a service that is not configured.
const DEFAULT_IDLE: Duration = Duration::from_mins(5);

pub(super) fn run(tables: &mut Tables, swept: &[FlowKey], now: Duration) {
    for key in swept {
        drop_idle(tables, key, now);
    }
}

fn drop_idle(tables: &mut Tables, key: &FlowKey, now: Duration) {
    let Some(flow) = tables.flows.get(key) else {
        return;
    };
    let idle = tables
        .snapshot
        .services
        .get(&flow.service)
        .map_or(DEFAULT_IDLE, |service| service.idle);
    if flow.state != FlowState::Open || now < flow.last_heard + idle {
        return;
    }
    if let Some(flow) = tables.flows.remove(key) {
        recover::release_endpoint(tables, &flow);
    }
}
