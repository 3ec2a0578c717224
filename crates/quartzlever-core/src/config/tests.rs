//! Shares and bounds.

use super::*;

#[test]
fn limits_are_shared_by_those_with_work() {
    let cfg = crate::testing::core().cfg;
    let three = Config { nodes: ["a", "b", "c"].map(String::from).to_vec(), ..cfg };
    // (nodes with parts, whether this is one of them, its part of a limit of 100)
    for (holders, holds, part) in
        [(0, false, 33), (3, true, 33), (2, true, 41), (1, true, 66), (2, false, 16)]
    {
        let share = three.share_of_limits(holders, holds);
        assert_eq!((share * 100.0) as u32, part, "{holders} {holds}");
    }
    // Whoever holds parts, all together never have more than the limit.
    for holders in 1..=3 {
        let all = three.share_of_limits(holders, true) * holders as f64
            + three.share_of_limits(holders, false) * (3 - holders) as f64;
        assert!(all < 1.0 + 1e-9, "{holders}: {all}");
    }
}
