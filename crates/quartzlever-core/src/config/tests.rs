//! Shares and bounds.

use super::*;

#[test]
fn limits_are_shared_by_those_with_work() {
    let config = crate::testing::core().config;
    let three = Config { nodes: ["a", "b", "c"].map(String::from).to_vec(), ..config };
    // (nodes with partitions, whether this is one of them, its part of a limit of 100)
    for (leaders, holds_lease, partition) in
        [(0, false, 33), (3, true, 33), (2, true, 41), (1, true, 66), (2, false, 16)]
    {
        let share = three.rate_limit_share(leaders, holds_lease);
        assert_eq!((share * 100.0) as u32, partition, "{leaders} {holds_lease}");
    }
    // Whoever holds partitions, all together never have more than the limit.
    for leaders in 1..=3 {
        let all = three.rate_limit_share(leaders, true) * leaders as f64
            + three.rate_limit_share(leaders, false) * (3 - leaders) as f64;
        assert!(all < 1.0 + 1e-9, "{leaders}: {all}");
    }
}
