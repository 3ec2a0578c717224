//! What may be written.

use super::*;

#[test]
fn what_matters_more_finds_something_left() {
    // (changes a second for one, already spent, kind, count, whether it is allowed)
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
    assert!(!write_budget.exhausted());
    write_budget.spend(40);
    assert!(write_budget.exhausted());
    write_budget.refill(5 * SECOND, 30.0, 3);
    assert!(!write_budget.exhausted());
}

/// Whatever was tried in vain, claims of machines are made again within seconds.
#[test]
fn what_is_owed_is_bounded() {
    // (changes that were tried one by one, whether a machine may be claimed after so many seconds)
    for (tried, after, allowed) in [(1, 1, true), (40, 1, false), (40, 4, true), (4_000, 4, true)] {
        let mut write_budget = WriteBudget::new(0);
        write_budget.refill(SECOND, 30.0, 3);
        (0..tried).for_each(|_| write_budget.spend(1));
        write_budget.refill((1 + after) * SECOND, 30.0, 3);
        assert_eq!(
            write_budget.try_spend(WriteKind::Claim, 1),
            allowed,
            "{tried} tried, after {after} s"
        );
    }
}

/// Submissions wait for changes that go before them, but only while somebody still asks for these.
#[test]
fn submissions_wait_for_starved_changes() {
    // (kind, tenths of a second for which it is asked for in vain, tenths after that; whether submissions wait)
    for (write_kind, asked, after, wait) in [
        (WriteKind::Claim, 12, 0, true),
        (WriteKind::Finish, 12, 0, true),
        (WriteKind::Claim, 5, 0, false),
        (WriteKind::Claim, 12, 11, false),
        (WriteKind::Move, 12, 0, false),
        (WriteKind::Progress, 12, 0, false),
    ] {
        let mut write_budget = WriteBudget::new(0);
        write_budget.refill(SECOND, 30.0, 3);
        for tenth in 1..=asked {
            write_budget.refill(SECOND + tenth * SECOND / 10, 30.0, 3);
            // Submissions take what there is, without exhausting the account.
            write_budget.level = 0.0;
            assert!(!write_budget.try_spend(write_kind, 1));
        }
        write_budget.refill(SECOND + (asked + after) * SECOND / 10, 30.0, 3);
        assert_eq!(write_budget.exhausted(), wait, "{write_kind:?} {asked} {after}");
        write_budget.level = write_budget.rate;
        assert!(
            write_budget.try_spend(write_kind, 1) && !write_budget.exhausted(),
            "{write_kind:?}: made"
        );
    }
}

/// Changes that are refused for coming too often come more slowly, and back to the limit by and by. What is
/// refused within a second counts once.
#[test]
fn refused_changes_come_more_slowly_for_a_time() {
    // (refusals, one each so many tenths of a second; changes that half a second brings after them,
    // and after minutes)
    for (refusals, apart, soon, later) in
        [(0, 10, 13, 13), (1, 10, 10, 13), (5, 0, 10, 13), (2, 10, 8, 13), (50, 10, 1, 13)]
    {
        let mut write_budget = WriteBudget::new(0);
        let mut now = 100 * SECOND;
        write_budget.refill(now, 30.0, 1);
        let mut news = 0;
        for _ in 0..refusals {
            now += apart * SECOND / 10;
            write_budget.refill(now, 30.0, 1);
            news += u32::from(write_budget.throttle(now));
        }
        let counted = if apart < 10 { 1 } else { refusals };
        assert_eq!(news, counted, "{refusals} refusals");
        for (wait, changes) in [(0, soon), (400 * SECOND, later)] {
            now += wait;
            write_budget.refill(now, 30.0, 1);
            // Whatever is there is taken, and nothing is owed.
            while write_budget.try_spend(WriteKind::Finish, 1) {}
            let before = write_budget.has(WriteKind::Finish, 1);
            write_budget.refill(now + SECOND / 2, 30.0, 1);
            now += SECOND / 2;
            let mut left = 0;
            while write_budget.try_spend(WriteKind::Finish, 1) {
                left += 1;
            }
            assert!(!before && left == changes, "{refusals} refusals, {wait}: {left}");
        }
    }
}
