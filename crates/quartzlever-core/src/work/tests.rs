//! Tests of the counts of a step's work.

mod largest_job;

use super::*;

/// Guards the explanation of a slow step: work counts for the activity that does it, also when one
/// activity interrupts another.
#[test]
fn work_counts_for_the_innermost_activity() {
    let counter = WorkCounter::default();
    counter.begin_step();
    let shared = counter.clone();
    {
        let _heartbeats = counter.begin(Activity::Heartbeats);
        counter.add(2);
        {
            let _placement = counter.begin(Activity::Placement);
            shared.add(30);
            assert_eq!(counter.summary().current, Activity::Placement);
        }
        counter.add(1);
    }
    let summary = counter.summary();
    assert_eq!(summary.current, Activity::Other);
    assert_eq!(summary.to_string(), "heartbeats:3,placement:30");
    counter.begin_step();
    assert_eq!(counter.summary().to_string(), "-");
}

#[test]
fn each_activity_has_its_own_place_and_name() {
    let names: std::collections::BTreeSet<&str> = Activity::ALL.iter().map(|a| a.name()).collect();
    assert_eq!(names.len(), Activity::ALL.len());
    for (place, activity) in Activity::ALL.into_iter().enumerate() {
        assert_eq!(activity as usize, place, "{activity}");
    }
}
