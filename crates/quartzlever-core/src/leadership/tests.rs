//! Records that are known already.

use crate::testing::*;

#[test]
fn what_is_known_by_its_stamp_is_not_read() {
    // An unreadable record shows whether it was read. (key, modification revision, whether it is)
    for (key, mod_revision, read) in [
        ("live/req-1", 10, false),
        ("live/req-1", 9, false),
        ("live/req-1", 11, true),
        ("live/req-2", 11, true),
        ("live/req-3", 11, false),
        ("over/req-3", 11, false),
    ] {
        let mut core = with_leaders(100);
        core.outbox.set_log_level(LogLevel::Error);
        core.reconcile_job(record_of(1, 4, "one"), 10);
        core.job_terminated("req-3", TerminalJobRecord { phase: JobPhase::Done, done: 4 });
        core.cache.set_revision(8);
        core.watch.set_number(1);
        let v = Json::of(&"no record");
        let log = vec![Event::Write { write: key.into(), v, mod_revision }];
        core.watched(1, NOW, Ok(StoreReply::Watched(WatchAnswer { revision: 12, log })));
        let noted = core.outbox.take_effects().iter().any(
            |e| matches!(e, Effect::Log(LogEvent::UnreadableRecord { key: named }) if named == key),
        );
        assert_eq!(noted, read, "{key} {mod_revision}");
        assert_eq!(core.cache.revision(), 12, "{key} {mod_revision}");
        assert!(core.cache.active_job("req-1").is_some(), "a job stays known");
    }
}
