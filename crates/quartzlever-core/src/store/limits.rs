//! What the store takes in one transaction, as far as is known.
//!
//! Owns the largest value and the most changes that a transaction may have. Both begin with the settings
//! and only ever sink: a transaction that is refused shows a limit lower than the settings say. Neither
//! is ever learned to be lower than the end of a job takes.

use quartzlever_wire::store::StoreReply;
use quartzlever_wire::{CallError, Micros};

use crate::calls::TransactionSize;
use crate::config::Config;
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::outbox::Outbox;
use crate::store::write_budget::WriteBudget;

/// Limits are never learned to be lower: the end of a job takes as much.
const LEAST_VALUE: usize = 512;
const LEAST_OPS: usize = 2;

/// What the store takes in one transaction.
#[derive(Debug)]
pub(crate) struct StoreLimits {
    value_bytes: usize,
    txn_ops: usize,
    learned_value_bytes: usize,
}

impl StoreLimits {
    /// The limits as the settings have them.
    pub fn new(config: &Config) -> Self {
        StoreLimits {
            value_bytes: config.value_bytes,
            txn_ops: config.txn_ops,
            learned_value_bytes: usize::MAX,
        }
    }

    /// The largest value.
    pub fn value_bytes(&self) -> usize {
        self.value_bytes
    }

    /// The most changes.
    pub fn txn_ops(&self) -> usize {
        self.txn_ops
    }

    /// The largest value by the store's own answers alone, whatever the settings say of limits to come.
    pub fn learned_value_bytes(&self) -> usize {
        self.learned_value_bytes
    }

    /// Takes in the answer to a transaction. One that is refused for its size, or for coming too
    /// often, shows a limit lower than the settings say: from then on less is written at once, or
    /// less often.
    pub fn learn(
        &mut self,
        now: Micros,
        size: TransactionSize,
        result: &Result<StoreReply, CallError>,
        write_budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        match result {
            Ok(StoreReply::TooLarge) => {
                let is_lower = self.lower(size);
                // Once for each limit that is learned.
                outbox.log(if is_lower { LogLevel::Error } else { LogLevel::Debug }, || {
                    LogEvent::TransactionTooLarge {
                        changes: size.ops,
                        value_bytes: size.value,
                        changes_limit: self.txn_ops,
                        value_bytes_limit: self.value_bytes,
                        lowered: is_lower,
                    }
                });
            }
            Err(CallError::Throttled) if write_budget.throttle(now) => {
                outbox.log(LogLevel::Error, || LogEvent::StoreThrottled);
            }
            _ => {}
        }
    }

    /// A transaction of that size is too large; whether that is news.
    fn lower(&mut self, size: TransactionSize) -> bool {
        let (value_bytes, txn_ops) = (self.value_bytes, self.txn_ops);
        // Which of the two it was is not said.
        if size.value > LEAST_VALUE {
            let lower = (size.value * 3 / 4).max(LEAST_VALUE);
            self.value_bytes = self.value_bytes.min(lower);
            self.learned_value_bytes = self.learned_value_bytes.min(lower);
        }
        if size.ops > LEAST_OPS {
            self.txn_ops = self.txn_ops.min(size.ops - 1);
        }
        self.value_bytes < value_bytes || self.txn_ops < txn_ops
    }
}

#[cfg(test)]
mod tests;
