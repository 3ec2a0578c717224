//! How often calls are let through.

use super::*;

#[test]
fn a_bucket_keeps_its_reserve() {
    let budget = Budget::new(10.0);
    // (count, share kept, whether it passes), one after the other on a fresh bucket.
    for (n, (count, keep, passes)) in
        [(6.0, 0.0, true), (1.0, 0.9, false), (3.0, 0.0, true), (9.0, 0.0, false)]
            .into_iter()
            .enumerate()
    {
        assert_eq!(budget.take(count, keep).is_ok(), passes, "case {n}");
    }
    // A smaller share empties the bucket as far as it is too full, a larger one does not fill it.
    let budget = Budget::new(30.0);
    budget.set_rate(2.0);
    assert!(budget.take(2.0, 0.0).is_ok());
    budget.set_rate(1000.0);
    assert!(budget.take(900.0, 0.0).is_err());
}
