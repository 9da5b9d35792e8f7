//! Retry budgets of services.
//!
//! Each fresh request earns a share of a retry and each retry spends a whole one,
//! so retries can never be more than that share of fresh work and a small burst.

use std::collections::HashMap;

use serde::Serialize;

use crate::id::Id;

/// Most retries that can be saved up, and what a service starts with.
pub const RETRY_BURST: f64 = 10.0;

/// Retry budgets by service.
#[derive(Debug, Default, Serialize)]
pub struct RetryBudgets {
    rows: HashMap<Id, f64>,
}

impl RetryBudgets {
    /// Counts a fresh request that allows `share` of a retry.
    pub fn earn(&mut self, service: Id, share: f64) {
        let row = self.rows.entry(service).or_insert(RETRY_BURST);
        *row = (*row + share).min(RETRY_BURST);
    }

    /// Spends a retry; false when none is left above `kept`.
    pub fn spend(&mut self, service: Id, kept: f64) -> bool {
        let row = self.rows.entry(service).or_insert(RETRY_BURST);
        if *row < kept + 1.0 {
            return false;
        }
        *row -= 1.0;
        true
    }
}
