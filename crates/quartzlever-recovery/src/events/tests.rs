//! Tests of the names and fields of the log events.

use super::*;

/// Operators search the log for these names and fields, so they must not change by accident.
#[test]
fn every_event_is_logged_with_a_fixed_name_and_fixed_fields() {
    let controller = "two".to_owned();
    let controllers = vec!["two".to_owned(), "three".to_owned()];
    for (event, line) in [
        (RebuildEvent::StoreAwaited, "store_awaited "),
        (
            RebuildEvent::ControllersAwaited { loss: None, controllers: controllers.clone() },
            "controllers_awaited reason=\"the first start\" controllers=two,three",
        ),
        (
            RebuildEvent::ControllersAwaited {
                loss: Some(Loss::IdentityGone),
                controllers: controllers.clone(),
            },
            "controllers_awaited reason=\"the identity of the records is gone\" \
             controllers=two,three",
        ),
        (
            RebuildEvent::RebuildLeftTo { controller: controller.clone() },
            "rebuild_left_to controller=two",
        ),
        (RebuildEvent::RebuildLockAwaited { controller }, "rebuild_lock_awaited controller=two"),
        (
            RebuildEvent::LastChangesAwaited { controllers },
            "last_changes_awaited controllers=two,three",
        ),
        (
            RebuildEvent::WorkerLeasesAwaited { duration: 39_500_000 },
            "worker_leases_awaited duration_ms=39500",
        ),
        (
            RebuildEvent::RebuildProgress { generation: 2, written: 3, total: 7 },
            "rebuild_progress generation=2 written=3 total=7",
        ),
        (
            RebuildEvent::GenerationRebuilt {
                generation: 2,
                duration: 1_500,
                summary: Summary::default(),
            },
            "generation_rebuilt generation=2 duration_ms=1 active_jobs=0 ended_jobs=0 machines=0 \
             restored=0 only_in_store=0 superseded=0",
        ),
        (
            RebuildEvent::GenerationFounded { cluster: "00ff".into(), generation: 0 },
            "generation_founded cluster=00ff generation=0",
        ),
        (
            RebuildEvent::GenerationGivenUp { generation: 2, loss: Loss::GivenUp },
            "generation_given_up generation=2 \
             reason=\"another controller has given the generation up\"",
        ),
        (RebuildEvent::FinalStatesAwaited, "final_states_awaited "),
        (RebuildEvent::JobsContributed { count: 4 }, "jobs_contributed count=4"),
        (
            RebuildEvent::ContributionRefused { call: StoreCall::Get("live/req-1".into()) },
            "contribution_refused call=\"Get(\\\"live/req-1\\\")\"",
        ),
    ] {
        assert_eq!(format!("{} {event}", event.name()), line);
    }
}
