//! Sets of task numbers against a plain set, for random operations.

use std::collections::BTreeSet;

use quartzlever_wire::Ranges;

/// Tasks in a set: few enough that ranges meet, overlap and split often.
const TASKS: u64 = 40;
const OPERATIONS: u32 = 20_000;

/// Returns the next number below `limit` of a fixed sequence.
fn next_below(state: &mut u64, limit: u64) -> u32 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    ((*state >> 33) % limit) as u32
}

fn plain(ranges: &Ranges) -> BTreeSet<u32> {
    ranges.iter().collect()
}

/// Guards the stored number of tasks, by which a job counts as finished.
#[test]
fn a_set_of_ranges_equals_a_plain_set_after_any_operations() {
    let mut state = 1;
    let (mut ranges, mut expected) = (Ranges::default(), BTreeSet::new());
    for operation in 0..OPERATIONS {
        let first = next_below(&mut state, TASKS);
        let range = first..first + next_below(&mut state, 6);
        let other = Ranges::from_range(range.clone());
        match next_below(&mut state, 6) {
            0 => {
                ranges.insert(first);
                expected.insert(first);
            }
            1 => {
                ranges.remove(first);
                expected.remove(&first);
            }
            2 => {
                ranges.insert_all(&other);
                expected.extend(range.clone());
            }
            3 => {
                ranges.remove_all(&other);
                expected.retain(|task| !range.contains(task));
            }
            4 => {
                let cut = ranges.split_off_last(2);
                let last: BTreeSet<u32> = expected.iter().rev().take(2).copied().collect();
                assert_eq!(plain(&cut), last, "operation {operation}");
                expected.retain(|task| !last.contains(task));
            }
            _ => ranges = expected.iter().copied().collect(),
        }
        assert_eq!(plain(&ranges), expected, "operation {operation}");
        assert_eq!(ranges.len() as usize, expected.len(), "operation {operation}");
        let is_subset = plain(&other).is_subset(&expected);
        assert_eq!(ranges.contains_all(&other), is_subset, "operation {operation}");
        let within: BTreeSet<u32> = expected.intersection(&plain(&other)).copied().collect();
        let restricted = ranges.restricted_to(range);
        assert_eq!(plain(&restricted), within, "operation {operation}");
        assert_eq!(restricted.len() as usize, within.len(), "operation {operation}");
        let mut retained = ranges.clone();
        retained.retain_all(&other);
        assert_eq!(retained, restricted, "operation {operation}");
        assert_eq!(ranges.intersection(&other), restricted, "operation {operation}");
        let outside: BTreeSet<u32> = expected.difference(&plain(&other)).copied().collect();
        assert_eq!(plain(&ranges.difference(&other)), outside, "operation {operation}");
        let stripes: Ranges = (0..TASKS as u32).filter(|task| task % 3 == 0).collect();
        let common: BTreeSet<u32> = expected.intersection(&plain(&stripes)).copied().collect();
        assert_eq!(plain(&ranges.intersection(&stripes)), common, "operation {operation}");
        let rest: BTreeSet<u32> = expected.difference(&plain(&stripes)).copied().collect();
        assert_eq!(plain(&ranges.difference(&stripes)), rest, "operation {operation}");
        assert_eq!(ranges.to_string().parse(), Ok(ranges.clone()), "operation {operation}");
    }
}
