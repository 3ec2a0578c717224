//! Tests of the token bucket.

use super::*;

#[test]
fn a_bucket_keeps_its_reserve_and_follows_changes_of_its_rate() {
    let budget = Budget::new(10.0);
    // (tokens, reserve, whether they are taken), in this order from one bucket.
    for (n, (count, reserve, taken)) in
        [(6.0, 0.0, true), (1.0, 0.9, false), (3.0, 0.0, true), (9.0, 0.0, false)]
            .into_iter()
            .enumerate()
    {
        assert_eq!(budget.take(count, reserve).is_ok(), taken, "case {n}");
    }
    // A lower rate discards the tokens above the new capacity; a higher rate adds none at once.
    let budget = Budget::new(30.0);
    budget.set_rate(2.0);
    assert!(budget.take(2.0, 0.0).is_ok());
    budget.set_rate(1000.0);
    assert!(budget.take(900.0, 0.0).is_err());
}
