//! Answers to questions about jobs.

use crate::testing::*;

#[test]
fn questions_are_answered_from_a_copy_that_is_new_enough() {
    // (what the read of the revision brings, how far the cache has come; status of the answer, or
    // what is read instead, as soon as nothing better is to be hoped for)
    let read = |revision| Ok(StoreReply::Revision(revision));
    for (name, brings, copy, status, reads) in [
        ("as new as the revision", read(10), 10, Some(200), false),
        ("newer", read(10), 12, Some(200), false),
        ("behind", read(13), 12, None, true),
        ("no answer", Err(CallError::Refused), 12, Some(503), false),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.cache.set_revision(copy);
        reconcile_test_job(&mut core, &spec(4), 10, NOW);
        let asked = core.step(NOW, vec![Command::Lookup { id: 7, job: "req-1".into() }]);
        let call_id = asked.iter().find_map(|e| match e {
            Effect::Store { call_id, call: StoreCall::Revision, .. } => Some(*call_id),
            _ => None,
        });
        let Some(call_id) = call_id else { panic!("{name}: the revision is not read") };
        let mut effects = core.step(NOW, vec![Command::StoreReply { call_id, result: brings }]);
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let answer = effects.iter().find_map(|e| match e {
            Effect::Answer { id: 7, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, status, "{name}");
        let read = effects.iter().any(
            |e| matches!(e, Effect::Store { call: StoreCall::Get(key), .. } if key == "live/req-1"),
        );
        assert_eq!(read, reads, "{name}: read for itself");
    }
}
