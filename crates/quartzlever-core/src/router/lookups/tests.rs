//! Tests the answers to lookups of jobs.

use crate::testing::*;

#[test]
fn a_lookup_is_answered_from_a_sufficiently_recent_cache() {
    // (reply to the read of the revision, revision of the cache, status of the answer if there is
    // one, whether the job is read instead)
    let read = |revision| Ok(StoreReply::Revision(revision));
    for (name, reply, cache_revision, status, reads_job) in [
        ("at the revision", read(10), 10, Some(200), false),
        ("newer", read(10), 12, Some(200), false),
        ("behind", read(13), 12, None, true),
        ("no reply", Err(CallError::Refused), 12, Some(503), false),
    ] {
        let mut core = core();
        core.cache.set_loaded(true);
        core.cache.set_revision(cache_revision);
        reconcile_test_job(&mut core, &spec(4), 10, NOW);
        let requested = core.step(NOW, vec![Command::Lookup { id: 7, job: "req-1".into() }]);
        let call_id = requested.iter().find_map(|e| match e {
            Effect::Store { call_id, call: StoreCall::Revision, .. } => Some(*call_id),
            _ => None,
        });
        let Some(call_id) = call_id else { panic!("{name}: the revision is not read") };
        let mut effects = core.step(NOW, vec![Command::StoreReply { call_id, result: reply }]);
        effects.extend(core.step(NOW + SECOND, Vec::new()));
        let answer = effects.iter().find_map(|e| match e {
            Effect::Answer { id: 7, status, .. } => Some(*status),
            _ => None,
        });
        assert_eq!(answer, status, "{name}");
        let job_read = effects.iter().any(
            |e| matches!(e, Effect::Store { call: StoreCall::Get(key), .. } if key == "live/req-1"),
        );
        assert_eq!(job_read, reads_job, "{name}: reads the job");
    }
}
