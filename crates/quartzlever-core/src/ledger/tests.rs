//! What may be written.

use super::*;

#[test]
fn what_matters_more_finds_something_left() {
    // (changes a second for one, already spent, kind, count, whether it is allowed)
    for (rate, spent, kind, count, allowed) in [
        (10.0, 7, Change::Tidy, 1, true),
        (10.0, 7, Change::Progress, 1, false),
        (10.0, 7, Change::Claim, 1, true),
        (10.0, 9, Change::Claim, 1, false),
        (10.0, 8, Change::Finish, 2, true),
        (10.0, 9, Change::Finish, 2, false),
        (10.0, 0, Change::Move, 24, true),
        (10.0, 3, Change::Move, 24, false),
    ] {
        let mut ledger = Ledger::new(0);
        ledger.pass(100 * SECOND, rate / SAFE, 1);
        ledger.spend(spent);
        assert_eq!(ledger.allows(kind, count), allowed, "{spent} {kind:?} {count}");
    }
    let mut ledger = Ledger::new(0);
    ledger.pass(SECOND, 30.0, 3);
    assert!(!ledger.exhausted());
    ledger.spend(40);
    assert!(ledger.exhausted());
    ledger.pass(5 * SECOND, 30.0, 3);
    assert!(!ledger.exhausted());
}

/// Whatever was tried in vain, claims of machines are made again within seconds.
#[test]
fn what_is_owed_is_bounded() {
    // (changes that were tried one by one, whether a machine may be claimed after so many seconds)
    for (tried, after, allowed) in [(1, 1, true), (40, 1, false), (40, 4, true), (4_000, 4, true)] {
        let mut ledger = Ledger::new(0);
        ledger.pass(SECOND, 30.0, 3);
        (0..tried).for_each(|_| ledger.spend(1));
        ledger.pass((1 + after) * SECOND, 30.0, 3);
        assert_eq!(ledger.allows(Change::Claim, 1), allowed, "{tried} tried, after {after} s");
    }
}

/// Submissions wait for changes that go before them, but only while somebody still asks for these.
#[test]
fn submissions_wait_for_starved_changes() {
    // (kind, tenths of a second for which it is asked for in vain, tenths after that; whether submissions wait)
    for (kind, asked, after, wait) in [
        (Change::Claim, 12, 0, true),
        (Change::Finish, 12, 0, true),
        (Change::Claim, 5, 0, false),
        (Change::Claim, 12, 11, false),
        (Change::Move, 12, 0, false),
        (Change::Progress, 12, 0, false),
    ] {
        let mut ledger = Ledger::new(0);
        ledger.pass(SECOND, 30.0, 3);
        for tenth in 1..=asked {
            ledger.pass(SECOND + tenth * SECOND / 10, 30.0, 3);
            // Submissions take what there is, without exhausting the account.
            ledger.level = 0.0;
            assert!(!ledger.allows(kind, 1));
        }
        ledger.pass(SECOND + (asked + after) * SECOND / 10, 30.0, 3);
        assert_eq!(ledger.exhausted(), wait, "{kind:?} {asked} {after}");
        ledger.level = ledger.rate;
        assert!(ledger.allows(kind, 1) && !ledger.exhausted(), "{kind:?}: made");
    }
}
