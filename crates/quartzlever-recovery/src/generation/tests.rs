//! Replies of the store as the rest of the program sees them.

use super::*;
use crate::identity::Phase;
use quartzlever_wire::Json;

fn generation() -> Generation {
    let identity = Identity {
        cluster: "00ff".into(),
        generation: 1,
        namespace: "generation/1/".into(),
        base: 100,
        phase: Phase::Serving,
    };
    Generation { identity, mod_revision: 3 }
}

/// The revision of a read is compared with those of the generation's records.
#[test]
fn the_revision_of_a_read_that_found_no_key_is_one_of_the_generation() {
    let outside = KeyValue {
        key: "hosts/n-~0".into(),
        value: Json::of(&"of another generation"),
        mod_revision: 7,
        lease_id: None,
    };
    for reply in [StoreReply::Absent { revision: 7 }, StoreReply::Read(outside)] {
        let translated = generation().reply_from_store(reply);
        assert_eq!(translated, StoreReply::Absent { revision: 107 });
    }
}
