//! Tests of the shares of rate limits.

use super::*;

#[test]
fn leaders_divide_the_rate_limits_and_idle_nodes_use_little() {
    let config = crate::testing::core().config;
    let three = Config { nodes: ["a", "b", "c"].map(String::from).to_vec(), ..config };
    // (nodes with partitions, whether this node is one of them, its share of a limit of 100)
    for (leaders, is_leader, expected) in
        [(0, false, 33), (3, true, 33), (2, true, 41), (1, true, 66), (2, false, 16)]
    {
        let share = three.rate_limit_share(leaders, is_leader);
        assert_eq!((share * 100.0) as u32, expected, "{leaders} {is_leader}");
    }
    // The shares of all nodes together never exceed the limit.
    for leaders in 1..=3 {
        let all = three.rate_limit_share(leaders, true) * leaders as f64
            + three.rate_limit_share(leaders, false) * (3 - leaders) as f64;
        assert!(all < 1.0 + 1e-9, "{leaders}: {all}");
    }
}
