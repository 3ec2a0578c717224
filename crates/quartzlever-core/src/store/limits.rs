//! Known limits on the size of a transaction.
//!
//! [`StoreLimits`] owns the largest value and the highest number of changes in a transaction. Both
//! start at the settings and only decrease: a transaction that the store rejects as too large shows
//! that a limit is lower than the setting. Neither is lowered below what the transaction that ends
//! a job needs.

use quartzlever_wire::store::StoreReply;
use quartzlever_wire::{CallError, Micros};

use crate::calls::TransactionSize;
use crate::config::Config;
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::outbox::Outbox;
use crate::store::write_budget::WriteBudget;

/// Lower bound of the limit on values, in bytes: the transaction that ends a job needs it.
const MIN_VALUE_BYTES: usize = 512;
/// Lower bound of the limit on changes: the transaction that ends a job needs it.
const MIN_TXN_OPS: usize = 2;

/// Limits on the size of a transaction.
#[derive(Debug)]
pub(crate) struct StoreLimits {
    value_bytes: usize,
    txn_ops: usize,
    learned_value_bytes: usize,
}

impl StoreLimits {
    /// Creates limits from the settings.
    pub fn new(config: &Config) -> Self {
        StoreLimits {
            value_bytes: config.value_bytes,
            txn_ops: config.txn_ops,
            learned_value_bytes: usize::MAX,
        }
    }

    /// Returns the largest allowed value, in bytes.
    pub fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// Returns the highest allowed number of changes.
    pub fn txn_ops(&self) -> usize {
        self.txn_ops
    }

    /// Returns the largest allowed value in bytes according to the store's replies alone,
    /// `usize::MAX` before the first rejection. The settings, which may contain announced future
    /// limits, have no influence on it.
    pub fn learned_value_bytes(&self) -> usize {
        self.learned_value_bytes
    }

    /// Adapts to the result of a transaction of this size. A rejection for size lowers the limits,
    /// and throttling by the store lowers the rate of `write_budget`: in both cases the store
    /// allows less than the settings.
    pub fn adapt_to_result(
        &mut self,
        now: Micros,
        size: TransactionSize,
        result: &Result<StoreReply, CallError>,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        match result {
            Ok(StoreReply::TooLarge) => {
                let is_lowered = self.lower(size);
                // An error only once for each lowered limit.
                outbox.log(if is_lowered { LogLevel::Error } else { LogLevel::Debug }, || {
                    LogEvent::TransactionTooLarge {
                        changes: size.changes,
                        value_bytes: size.largest_value_bytes,
                        changes_limit: self.txn_ops,
                        value_bytes_limit: self.value_bytes,
                        lowered: is_lowered,
                    }
                });
            }
            Err(CallError::Throttled) if write_budget.record_throttling(now) => {
                outbox.log(LogLevel::Error, || LogEvent::StoreThrottled);
            }
            _ => {}
        }
    }

    /// Lowers the limits after a transaction of this size was too large; reports whether a limit
    /// changed.
    fn lower(&mut self, size: TransactionSize) -> bool {
        let (previous_value_bytes, previous_txn_ops) = (self.value_bytes, self.txn_ops);
        // The reply does not say which of the two limits was exceeded.
        if size.largest_value_bytes > MIN_VALUE_BYTES {
            let lowered = (size.largest_value_bytes * 3 / 4).max(MIN_VALUE_BYTES);
            self.value_bytes = self.value_bytes.min(lowered);
            self.learned_value_bytes = self.learned_value_bytes.min(lowered);
        }
        if size.changes > MIN_TXN_OPS {
            self.txn_ops = self.txn_ops.min(size.changes - 1);
        }
        self.value_bytes < previous_value_bytes || self.txn_ops < previous_txn_ops
    }
}

#[cfg(test)]
mod tests;
