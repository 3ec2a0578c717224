//! Table-driven tests of the distribution of tasks over machines.

use std::collections::BTreeMap;

use super::*;

fn room(machine: &str, zone: &str, fitting: u32, start_slots: u32) -> MachineRoom {
    MachineRoom { machine: machine.into(), zone: zone.into(), fitting, start_slots }
}

fn in_zones(one_zone: bool, remaining: &[(&str, u32)]) -> ZoneCapacity {
    let by_zone: BTreeMap<String, u32> =
        remaining.iter().map(|(zone, tasks)| ((*zone).to_owned(), *tasks)).collect();
    ZoneCapacity::limited(by_zone, one_zone)
}

#[test]
fn tasks_start_within_room_slots_and_zones_and_the_rest_with_room_is_held_back() {
    use Spreading::{FillEach, OnePerRound};
    type Starts<'a> = &'a [(usize, u32)];
    let free = ZoneCapacity::unlimited;
    let two = || vec![room("n-1", "a", 3, 9), room("n-2", "b", 2, 9)];
    // (case, rooms, zones, wanted, most starts, spreading, starts, held back)
    type Case<'a> = (&'a str, Vec<MachineRoom>, ZoneCapacity, u32, u32, Spreading, Starts<'a>, u32);
    let cases: Vec<Case> = vec![
        ("fills one after the other", two(), free(), 4, 9, FillEach, &[(0, 3), (1, 1)], 0),
        ("all full", two(), free(), 9, 9, FillEach, &[(0, 3), (1, 2)], 0),
        (
            "one for each machine in a round",
            two(),
            free(),
            9,
            9,
            OnePerRound,
            &[(0, 1), (1, 1), (0, 1), (1, 1), (0, 1)],
            0,
        ),
        ("most starts", two(), free(), 9, 2, FillEach, &[(0, 2)], 3),
        ("most starts, in rounds", two(), free(), 9, 3, OnePerRound, &[(0, 1), (1, 1), (0, 1)], 2),
        ("start slots", vec![room("n-1", "a", 50, 4)], free(), 60, 99, FillEach, &[(0, 4)], 46),
        ("no start slots", vec![room("n-1", "a", 50, 0)], free(), 60, 99, OnePerRound, &[], 50),
        (
            "spread over zones",
            two(),
            in_zones(false, &[("a", 1), ("b", 1)]),
            4,
            9,
            FillEach,
            &[(0, 1), (1, 1)],
            0,
        ),
        (
            "the first start chooses the zone",
            two(),
            in_zones(true, &[("a", 9), ("b", 9)]),
            5,
            9,
            FillEach,
            &[(0, 3)],
            0,
        ),
        (
            "only the chosen zone holds tasks back",
            vec![room("n-1", "a", 5, 2), room("n-2", "b", 5, 2)],
            in_zones(true, &[("a", 9), ("b", 9)]),
            9,
            9,
            FillEach,
            &[(0, 2)],
            3,
        ),
    ];
    for (case, mut rooms, zones, wanted, most, spreading, starts, held_back) in cases {
        let result = distribute(&mut rooms, zones, wanted, most, spreading);
        let found: Vec<(usize, u32)> = result.starts.iter().map(|s| (s.room, s.tasks)).collect();
        assert_eq!((found.as_slice(), result.held_back), (starts, held_back), "{case}");
    }
}
