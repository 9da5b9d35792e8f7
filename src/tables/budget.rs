//! Retry budgets of services.
//!
//! Each new request earns a fraction of a retry and each retry spends a whole one, so
//! retries never exceed that fraction of the new requests plus a small burst.

use std::collections::HashMap;

use serde::Serialize;

use crate::id::Id;

/// Most retries that a service can save up, and the number it starts with.
pub const RETRY_BURST: f64 = 10.0;

/// Retries that each service may still make.
#[derive(Debug, Default, Serialize)]
pub struct RetryBudgets {
    rows: HashMap<Id, f64>,
}

impl RetryBudgets {
    /// Credits a new request, which earns `share` of a retry.
    pub fn earn(&mut self, service: Id, share: f64) {
        let row = self.rows.entry(service).or_insert(RETRY_BURST);
        *row = (*row + share).min(RETRY_BURST);
    }

    /// Spends a retry and returns true, or returns false if that would leave less than
    /// `reserve`.
    pub fn spend(&mut self, service: Id, reserve: f64) -> bool {
        let row = self.rows.entry(service).or_insert(RETRY_BURST);
        if *row < reserve + 1.0 {
            return false;
        }
        *row -= 1.0;
        true
    }
}
