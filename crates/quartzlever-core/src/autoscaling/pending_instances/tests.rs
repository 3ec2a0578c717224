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

fn instance_requested_at(requested_at: Micros) -> PendingInstance {
    PendingInstance { offer: MachineOffer::new("m", "a", true), requested_at }
}

/// (seconds since the request; services no longer wait, the machine is late, it is terminated)
#[test]
fn the_wait_for_a_machine_depends_on_the_boot_time_of_its_type() {
    for (waited, expected) in [
        (10, [false, false, false]),
        (13, [true, false, false]),
        (20, [true, false, false]),
        (22, [true, true, false]),
        (50, [true, true, false]),
        (51, [true, true, true]),
    ] {
        let machine = instance_requested_at(NOW - waited * SECOND);
        let types = types();
        let found = [
            machine.is_too_late_for_services(&types, NOW),
            machine.is_late(&types, NOW),
            machine.is_abandoned(&types, NOW),
        ];
        assert_eq!(found, expected, "{waited} s");
    }
}

/// (late machines of an offer; machines of it that arrived, with the seconds of request and
/// arrival; whether the offer is still requested as usual)
#[test]
fn an_offer_with_late_machines_is_avoided_until_one_arrives_on_time() {
    type Arrivals = &'static [(Micros, Micros)];
    let cases: [(usize, Arrivals, bool); 6] = [
        (2, &[], true),
        (3, &[], false),
        (9, &[], false),
        (9, &[(5, 40)], false),
        (9, &[(5, 12)], false),
        (9, &[(30, 38)], true),
    ];
    for (late, arrived, is_requested) in cases {
        let types = types();
        let mut pending_instances = PendingInstances::default();
        for n in 0..late {
            pending_instances.add(&format!("late-{n}"), instance_requested_at(NOW + 10 * SECOND));
        }
        for (n, (since, at)) in arrived.iter().enumerate() {
            let machine = format!("arrived-{n}");
            pending_instances.add(&machine, instance_requested_at(NOW + since * SECOND));
            pending_instances.record_arrival(&machine, Some(&types), NOW + at * SECOND);
        }
        let offers = pending_instances.late_offers(&types, NOW + 40 * SECOND);
        assert_eq!(offers.is_empty(), is_requested, "{late} late, {arrived:?}");
    }
}

/// Late machines are logged once, again when there are many more, and when there are none any
/// longer.
#[test]
fn late_machines_are_logged_once() {
    let types = types();
    let mut pending_instances = PendingInstances::default();
    pending_instances.add("n-1", instance_requested_at(NOW));
    for (after, logged) in [(5, None), (25, Some((1, 1))), (26, None)] {
        assert_eq!(
            pending_instances.late_count_change(&types, NOW + after * SECOND),
            logged,
            "{after} s"
        );
    }
    for n in 2..5 {
        pending_instances.add(&format!("n-{n}"), instance_requested_at(NOW));
    }
    assert_eq!(pending_instances.late_count_change(&types, NOW + 27 * SECOND), Some((4, 4)));
    // At most as many as one call may name; the others follow with the next call.
    for limit in [3, 1, 0] {
        assert_eq!(pending_instances.take_abandoned(&types, NOW + 60 * SECOND, 3).len(), limit);
    }
    assert_eq!(pending_instances.late_count_change(&types, NOW + 60 * SECOND), Some((0, 0)));
    assert!(pending_instances.is_empty());
}
