//! What is learned from refused transactions.

use super::*;
use crate::messages::Effect;
use crate::testing::{NOW, config};

fn limits(value_bytes: usize, txn_ops: usize) -> StoreLimits {
    StoreLimits::new(&Config { value_bytes, txn_ops, ..config() })
}

/// The effects, all of which are events for the log.
fn events(effects: Vec<Effect>) -> Vec<LogEvent> {
    let event = |effect| match effect {
        Effect::Log(event) => event,
        other => panic!("{other:?}"),
    };
    effects.into_iter().map(event).collect()
}

/// Each refusal shows that both the largest value and the number of changes may be too high; neither
/// sinks below what the end of a job takes.
#[test]
fn refused_transactions_lower_the_limits_to_what_the_end_of_a_job_takes() {
    // (value and changes of the refused transaction; largest value, learned, and changes after it)
    for (value, ops, value_bytes, learned, txn_ops) in [
        (4_000, 10, 3_000, 3_000, 9),
        (600, 3, 512, 512, 2),
        (512, 2, 8_000, usize::MAX, 40),
        (100, 50, 8_000, usize::MAX, 40),
        (40_000, 2, 8_000, 30_000, 40),
    ] {
        let mut limits = limits(8_000, 40);
        let (mut write_budget, mut outbox) =
            (WriteBudget::new(NOW), Outbox::new(LogLevel::Error, NOW));
        let size = TransactionSize { value, ops };
        limits.learn(NOW, size, &Ok(StoreReply::TooLarge), &mut write_budget, &mut outbox);
        assert_eq!(limits.value_bytes(), value_bytes, "{size:?}");
        assert_eq!(limits.learned_value_bytes(), learned, "{size:?}");
        assert_eq!(limits.txn_ops(), txn_ops, "{size:?}");
        // A second refusal of the same size is no news.
        let event = LogEvent::TransactionTooLarge {
            changes: ops,
            value_bytes: value,
            changes_limit: txn_ops,
            value_bytes_limit: value_bytes,
            lowered: true,
        };
        let expected = (value_bytes < 8_000 || txn_ops < 40).then_some(event);
        assert_eq!(events(outbox.take_effects()), Vec::from_iter(expected), "{size:?}");
        limits.learn(NOW, size, &Ok(StoreReply::TooLarge), &mut write_budget, &mut outbox);
        assert!(outbox.take_effects().is_empty(), "{size:?}");
    }
}

/// Only a refusal for its size says anything of how large a transaction may be.
#[test]
fn other_answers_leave_the_limits_as_they_are() {
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
        let size = TransactionSize { value: 4_000, ops: 10 };
        limits.learn(NOW, size, &result, &mut write_budget, &mut outbox);
        let known = (limits.value_bytes(), limits.txn_ops(), limits.learned_value_bytes());
        assert_eq!(known, (8_000, 40, usize::MAX), "{result:?}");
        // A transaction that came too often makes all changes slower instead.
        let is_throttled = matches!(result, Err(CallError::Throttled));
        let expected = is_throttled.then_some(LogEvent::StoreThrottled);
        assert_eq!(events(outbox.take_effects()), Vec::from_iter(expected), "{result:?}");
    }
}
