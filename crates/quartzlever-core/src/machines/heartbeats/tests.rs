//! Routing of heartbeats and choice of the claimant, as tables.

use super::{Claimant, HeartbeatRoute, OwnershipView};
use crate::machines::ownership::PartitionTerm;
use crate::testing::*;

fn view(core: &Core) -> OwnershipView<'_> {
    OwnershipView { node: "one", cache: &core.cache, partitions: &core.partitions }
}

#[test]
fn a_heartbeat_is_routed_to_the_owner_or_to_the_partition_that_launched_the_machine() {
    // n-1 is a machine of partition "one", which is led here; n-7 is claimed for partition "two".
    let owned = |partition: &str| HeartbeatRoute::Owned { partition: partition.into() };
    let unclaimed = |launched_for: Option<&str>| HeartbeatRoute::Unclaimed {
        launched_for: launched_for.map(str::to_owned),
    };
    let launched_elsewhere = HeartbeatRoute::LaunchedElsewhere { partition: "two".into() };
    // (machine, partition that launched it, whether the cache is loaded, leader of "two"; route)
    for (machine, launched_for, loaded, leader, route) in [
        ("n-1", None, true, "two", HeartbeatRoute::Own { partition: "one".into() }),
        ("n-1", Some("two"), false, "two", HeartbeatRoute::Own { partition: "one".into() }),
        ("n-7", None, false, "two", HeartbeatRoute::CacheNotLoaded),
        ("n-7", None, true, "two", owned("two")),
        ("n-7", Some("one"), true, "two", owned("two")),
        ("n-9", None, true, "two", unclaimed(None)),
        ("n-9", Some("one"), true, "two", unclaimed(Some("one"))),
        ("n-9", Some("two"), true, "two", launched_elsewhere),
        ("n-9", Some("two"), true, "one", unclaimed(Some("two"))),
        ("n-9", Some("three"), true, "two", unclaimed(Some("three"))),
    ] {
        let mut core = core_with_cache(&[("one", "one", 5), ("two", leader, 6)]);
        let records = [("n-7".into(), machine_record_of("n-7", "two"))].into();
        core.apply_group_change(&large_group_key("n-7"), records, 9);
        core.cache.set_loaded(loaded);
        let launched_for = launched_for.map(str::to_owned);
        let found = view(&core).route(machine, |_| launched_for.as_ref());
        assert_eq!(found, route, "{machine} {launched_for:?} {loaded} {leader}");
    }
}

#[test]
fn a_machine_is_claimed_only_for_a_partition_that_is_led_here() {
    let owner = PartitionTerm { partition: "one".into(), term: 5 };
    let (expected, unexpected) = (Claimant::Expected(owner.clone()), Claimant::Unexpected(owner));
    // (partition that launched it, whether this leader may act, whether its partition is loaded,
    // whether the machine was terminated, whether it is a pending instance; claimant)
    for (launched_for, may_act, loaded, terminated, pending, claimant) in [
        (None, true, true, false, false, &unexpected),
        (None, true, true, false, true, &expected),
        (Some("one"), true, true, false, true, &expected),
        // No leader of "two" is known: this node's own partition claims the machine.
        (Some("two"), true, true, false, false, &unexpected),
        (None, false, true, false, true, &Claimant::NotEntitled),
        (None, true, false, false, true, &Claimant::NotEntitled),
        (None, true, true, true, true, &Claimant::NotEntitled),
    ] {
        let mut core = core();
        if let Some(partition) = core.partitions.get_mut("one") {
            partition.loaded = loaded;
            if terminated {
                partition.fleet.terminated.record("n-9", NOW);
            }
            if pending {
                let machine =
                    PendingInstance { offer: MachineOffer::new("m", "a", true), requested_at: NOW };
                partition.fleet.pending_instances.add("n-9", machine);
            }
        }
        let found = view(&core).claimant_of("n-9", launched_for, may_act);
        assert_eq!(&found, claimant, "{launched_for:?} {may_act} {loaded} {terminated} {pending}");
    }
}
