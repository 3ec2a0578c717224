use std::collections::BTreeMap;

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::{Micros, SECOND};

use super::{MachineOffer, PendingInstance, PendingInstances};

const NOW: Micros = 1_000 * SECOND;

fn types() -> BTreeMap<String, MachineType> {
    let machine_type = MachineType {
        name: "m".into(),
        cpus: 8.0,
        gpus: 0.0,
        ram_gb: 64.0,
        pull_gb_per_s: 1.0,
        cache_gb: 10.0,
        hourly: 1.0,
        market_price: Some(0.4),
        ready_s: 10.0,
        zones: vec!["a".into()],
    };
    BTreeMap::from([("m".to_owned(), machine_type)])
}

fn rented(since: Micros) -> PendingInstance {
    PendingInstance { offer: MachineOffer::new("m", "a", true), since }
}

/// (seconds since it was rented; a service waits for it no longer, it is late, it is returned)
#[test]
fn a_machine_is_waited_for_by_the_boot_of_its_type() {
    for (waited, expected) in [
        (10, [false, false, false]),
        (13, [true, false, false]),
        (20, [true, false, false]),
        (22, [true, true, false]),
        (50, [true, true, false]),
        (51, [true, true, true]),
    ] {
        let machine = rented(NOW - waited * SECOND);
        let types = types();
        let found = [
            machine.is_too_late_for_services(&types, NOW),
            machine.is_late(&types, NOW),
            machine.is_given_up(&types, NOW),
        ];
        assert_eq!(found, expected, "{waited} s");
    }
}

/// (late machines of a kind, machines of it that came up: when they were rented and when they came;
/// whether it is still asked for)
#[test]
fn a_kind_that_comes_late_is_not_asked_for_until_one_comes_in_time() {
    type Came = &'static [(Micros, Micros)];
    let cases: [(usize, Came, bool); 6] = [
        (2, &[], true),
        (3, &[], false),
        (9, &[], false),
        (9, &[(5, 40)], false),
        (9, &[(5, 12)], false),
        (9, &[(30, 38)], true),
    ];
    for (late, came, asked) in cases {
        let types = types();
        let mut pending_instances = PendingInstances::default();
        for n in 0..late {
            pending_instances.expect(&format!("late-{n}"), rented(NOW + 10 * SECOND));
        }
        for (n, (since, at)) in came.iter().enumerate() {
            let machine = format!("came-{n}");
            pending_instances.expect(&machine, rented(NOW + since * SECOND));
            pending_instances.arrived(&machine, Some(&types), NOW + at * SECOND);
        }
        let offers = pending_instances.late_offers(&types, NOW + 40 * SECOND);
        assert_eq!(offers.is_empty(), asked, "{late} late, {came:?}");
    }
}

/// The log tells of late machines once, again when there are many more, and when there are none.
#[test]
fn late_machines_are_told_of_once() {
    let types = types();
    let mut pending_instances = PendingInstances::default();
    pending_instances.expect("n-1", rented(NOW));
    for (after, told) in [(5, None), (25, Some((1, 1))), (26, None)] {
        assert_eq!(
            pending_instances.late_count_change(&types, NOW + after * SECOND),
            told,
            "{after} s"
        );
    }
    for n in 2..5 {
        pending_instances.expect(&format!("n-{n}"), rented(NOW));
    }
    assert_eq!(pending_instances.late_count_change(&types, NOW + 27 * SECOND), Some((4, 4)));
    // No more than a request may name; the others go with the next.
    for most in [3, 1, 0] {
        assert_eq!(pending_instances.take_given_up(&types, NOW + 60 * SECOND, 3).len(), most);
    }
    assert_eq!(pending_instances.late_count_change(&types, NOW + 60 * SECOND), Some((0, 0)));
    assert!(pending_instances.is_empty());
}
