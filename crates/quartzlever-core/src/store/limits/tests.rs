//! How results of transactions change the limits.

use super::*;
use crate::messages::Effect;
use crate::testing::{NOW, config};

fn limits(value_bytes: usize, txn_ops: usize) -> StoreLimits {
    StoreLimits::new(&Config { value_bytes, txn_ops, ..config() })
}

/// Returns the log events in `effects`; panics on any other effect.
fn events(effects: Vec<Effect>) -> Vec<LogEvent> {
    let event = |effect| match effect {
        Effect::Log(event) => event,
        other => panic!("not a log event: {other:?}"),
    };
    effects.into_iter().map(event).collect()
}

/// A rejection for size may be due to the largest value or to the number of changes, so both limits
/// are lowered; neither falls below what the end of a job needs.
#[test]
fn a_rejected_transaction_lowers_the_limits_to_no_less_than_the_end_of_a_job_needs() {
    // (value bytes and changes of the rejected transaction; after it: the limit on values, the
    // limit according to the store alone, and the limit on changes)
    for (largest_value_bytes, changes, value_bytes, learned, txn_ops) in [
        (4_000, 10, 3_000, 3_000, 9),
        (600, 3, 512, 512, 2),
        (512, 2, 8_000, usize::MAX, 40),
        (100, 50, 8_000, usize::MAX, 40),
        (40_000, 2, 8_000, 30_000, 40),
    ] {
        let mut limits = limits(8_000, 40);
        let (mut write_budget, mut outbox) =
            (WriteBudget::new(NOW), Outbox::new(LogLevel::Error, NOW));
        let size = TransactionSize { largest_value_bytes, changes };
        limits.adapt_to_result(
            NOW,
            size,
            &Ok(StoreReply::TooLarge),
            &mut write_budget,
            &mut outbox,
        );
        assert_eq!(limits.value_bytes(), value_bytes, "{size:?}");
        assert_eq!(limits.learned_value_bytes(), learned, "{size:?}");
        assert_eq!(limits.txn_ops(), txn_ops, "{size:?}");
        // A second rejection of the same size changes nothing and is not logged as an error.
        let event = LogEvent::TransactionTooLarge {
            changes,
            value_bytes: largest_value_bytes,
            changes_limit: txn_ops,
            value_bytes_limit: value_bytes,
            lowered: true,
        };
        let expected = (value_bytes < 8_000 || txn_ops < 40).then_some(event);
        assert_eq!(events(outbox.take_effects()), Vec::from_iter(expected), "{size:?}");
        limits.adapt_to_result(
            NOW,
            size,
            &Ok(StoreReply::TooLarge),
            &mut write_budget,
            &mut outbox,
        );
        assert!(outbox.take_effects().is_empty(), "{size:?}");
    }
}

/// Only a rejection for size changes the limits on the size.
#[test]
fn other_results_do_not_change_the_limits() {
    for result in [
        Ok(StoreReply::Committed(7)),
        Ok(StoreReply::NoLease),
        Err(CallError::Throttled),
        Err(CallError::Refused),
        Err(CallError::Unknown),
    ] {
        let mut limits = limits(8_000, 40);
        let (mut write_budget, mut outbox) =
            (WriteBudget::new(NOW), Outbox::new(LogLevel::Error, NOW));
        let size = TransactionSize { largest_value_bytes: 4_000, changes: 10 };
        limits.adapt_to_result(NOW, size, &result, &mut write_budget, &mut outbox);
        let actual = (limits.value_bytes(), limits.txn_ops(), limits.learned_value_bytes());
        assert_eq!(actual, (8_000, 40, usize::MAX), "{result:?}");
        // Throttling lowers the rate of changes instead.
        let is_throttled = matches!(result, Err(CallError::Throttled));
        let expected = is_throttled.then_some(LogEvent::StoreThrottled);
        assert_eq!(events(outbox.take_effects()), Vec::from_iter(expected), "{result:?}");
    }
}
