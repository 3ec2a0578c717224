//! Which changes the budget allows.

use super::*;

#[test]
fn less_urgent_changes_leave_budget_for_more_urgent_ones() {
    // (changes per second of one controller, already spent, kind, count, whether it is allowed)
    for (rate, spent, write_kind, count, allowed) in [
        (10.0, 7, WriteKind::GarbageCollection, 1, true),
        (10.0, 7, WriteKind::Progress, 1, false),
        (10.0, 7, WriteKind::Claim, 1, true),
        (10.0, 9, WriteKind::Claim, 1, false),
        (10.0, 8, WriteKind::Finish, 2, true),
        (10.0, 9, WriteKind::Finish, 2, false),
        (10.0, 0, WriteKind::Move, 24, true),
        (10.0, 3, WriteKind::Move, 24, false),
    ] {
        let mut write_budget = WriteBudget::new(0);
        write_budget.refill(100 * SECOND, rate / USABLE_SHARE, 1);
        write_budget.spend(spent);
        assert_eq!(
            write_budget.try_spend(write_kind, count),
            allowed,
            "{spent} {write_kind:?} {count}"
        );
    }
    let mut write_budget = WriteBudget::new(0);
    write_budget.refill(SECOND, 30.0, 3);
    assert!(!write_budget.is_exhausted());
    write_budget.spend(40);
    assert!(write_budget.is_exhausted());
    write_budget.refill(5 * SECOND, 30.0, 3);
    assert!(!write_budget.is_exhausted());
}

/// Claims of machines are possible again within seconds, no matter how many changes were attempted.
#[test]
fn the_debt_is_bounded() {
    // (changes attempted one by one, seconds after them, whether a machine may then be claimed)
    for (attempted, after, allowed) in
        [(1, 1, true), (40, 1, false), (40, 4, true), (4_000, 4, true)]
    {
        let mut write_budget = WriteBudget::new(0);
        write_budget.refill(SECOND, 30.0, 3);
        (0..attempted).for_each(|_| write_budget.spend(1));
        write_budget.refill((1 + after) * SECOND, 30.0, 3);
        assert_eq!(
            write_budget.try_spend(WriteKind::Claim, 1),
            allowed,
            "{attempted} attempted, after {after} s"
        );
    }
}

/// Submissions wait for starved changes with priority over them, but only while these are still
/// attempted.
#[test]
fn submissions_wait_for_starved_changes_with_priority() {
    // (kind, tenths of a second for which it is denied, tenths without an attempt after that,
    // whether submissions wait)
    for (write_kind, denied_for, after, wait) in [
        (WriteKind::Claim, 12, 0, true),
        (WriteKind::Finish, 12, 0, true),
        (WriteKind::Claim, 5, 0, false),
        (WriteKind::Claim, 12, 11, false),
        (WriteKind::Move, 12, 0, false),
        (WriteKind::Progress, 12, 0, false),
    ] {
        let mut write_budget = WriteBudget::new(0);
        write_budget.refill(SECOND, 30.0, 3);
        for tenth in 1..=denied_for {
            write_budget.refill(SECOND + tenth * SECOND / 10, 30.0, 3);
            // Submissions use up the available changes without causing debt.
            write_budget.balance = 0.0;
            assert!(!write_budget.try_spend(write_kind, 1));
        }
        write_budget.refill(SECOND + (denied_for + after) * SECOND / 10, 30.0, 3);
        assert_eq!(write_budget.is_exhausted(), wait, "{write_kind:?} {denied_for} {after}");
        write_budget.balance = write_budget.rate;
        assert!(
            write_budget.try_spend(write_kind, 1) && !write_budget.is_exhausted(),
            "{write_kind:?}: allowed, and no longer starved"
        );
    }
}

/// Throttling lowers the rate of changes, which then gradually recovers to the limit. Rejections
/// within a second count once.
#[test]
fn throttling_lowers_the_rate_temporarily() {
    // (rejections, tenths of a second between them, changes that become available in half a second
    // right after them, and minutes later)
    for (rejections, apart, soon, later) in
        [(0, 10, 13, 13), (1, 10, 10, 13), (5, 0, 10, 13), (2, 10, 8, 13), (50, 10, 1, 13)]
    {
        let mut write_budget = WriteBudget::new(0);
        let mut now = 100 * SECOND;
        write_budget.refill(now, 30.0, 1);
        let mut counted = 0;
        for _ in 0..rejections {
            now += apart * SECOND / 10;
            write_budget.refill(now, 30.0, 1);
            counted += u32::from(write_budget.record_throttling(now));
        }
        let expected = if apart < 10 { 1 } else { rejections };
        assert_eq!(counted, expected, "{rejections} rejections");
        for (wait, changes) in [(0, soon), (400 * SECOND, later)] {
            now += wait;
            write_budget.refill(now, 30.0, 1);
            // Uses up the available changes without causing debt.
            while write_budget.try_spend(WriteKind::Finish, 1) {}
            let has_rest = write_budget.allows(WriteKind::Finish, 1);
            write_budget.refill(now + SECOND / 2, 30.0, 1);
            now += SECOND / 2;
            let mut available = 0;
            while write_budget.try_spend(WriteKind::Finish, 1) {
                available += 1;
            }
            assert!(
                !has_rest && available == changes,
                "{rejections} rejections, {wait}: {available}"
            );
        }
    }
}
