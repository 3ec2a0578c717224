//! Tests of the replies of the cloud that meet a cache which is being listed again.

use quartzlever_wire::cloud::{
    CloudCall, CloudReply, Instance, InstancePage, InstancePhase, ScaleOutRequest,
};

use crate::testing::*;

/// Returns a controller that knows machine "n-9" to be claimed for the partition of a peer.
fn core_with_claim_of_peer() -> Core {
    let mut core = core_with_cache(&[("one", "one", 5), ("two", "two", 6)]);
    let records = [("n-9".into(), machine_record_of("n-9", "two"))].into();
    core.cache.record_group(&large_group_key("n-9"), records, 9);
    core
}

/// The list of instances is answered while all records are listed again. A controller that took the
/// machines of its peers for orphaned, because the cache did not show their claims yet, terminated
/// them with everything on them.
#[test]
fn a_machine_is_not_orphaned_while_its_claim_may_still_be_listed() {
    for (listing, name, terminated) in
        [(false, "n-9", false), (false, "n-10", true), (true, "n-9", false), (true, "n-10", false)]
    {
        let mut core = core_with_claim_of_peer();
        if listing {
            begin_listing(&mut core, 20);
        }
        core.outbox.take_effects();
        let instance = Instance {
            name: name.into(),
            address: String::new(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: true,
            phase: InstancePhase::Failed,
            held_s: 3_600.0,
        };
        let page = InstancePage { instances: vec![instance], has_next: false };
        core.list_replied(Vec::new(), Ok(CloudReply::Listed(page)));
        let effects = core.outbox.take_effects();
        let found = effects.iter().any(|effect| {
            matches!(effect, Effect::Cloud { call: CloudCall::ScaleIn(names), .. } if names[0] == name)
        });
        assert_eq!(found, terminated, "{listing} {name}: {effects:?}");
    }
}

/// A machine comes up and is claimed before the answer to its launch arrives, and the answer meets
/// a cache that is being listed again. A partition that took its own machine for one that is still
/// to come up gave it up as late, and terminated it with its tasks.
#[test]
fn a_machine_of_the_partition_does_not_become_pending() {
    for listing in [false, true] {
        let mut core = core_with_claim_of_peer();
        let own = [("n-1".into(), machine_record_of("n-1", "one"))].into();
        core.cache.record_group(&large_group_key("n-1"), own, 10);
        if listing {
            begin_listing(&mut core, 20);
        }
        let request = ScaleOutRequest {
            name: "one.5.1".into(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: true,
            count: 2,
        };
        let machines = vec!["n-1".to_owned(), "n-2".to_owned()];
        core.scale_out_replied("one", 5, request, Ok(CloudReply::ScaledOut(machines)));
        let pending = &core.partitions["one"].fleet.pending_instances;
        assert!(!pending.contains("n-1") && pending.contains("n-2"), "listing: {listing}");
    }
}
