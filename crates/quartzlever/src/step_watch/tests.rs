//! Tests of when a slow step is reported.

use super::*;

/// Guards against a log that says nothing while a step hangs, and against one line for each health
/// check.
#[test]
fn a_running_step_is_reported_each_time_its_running_time_has_doubled() {
    let watch = StepWatch::new();
    let start = 50 * SLOW_STEP;
    watch.check(start + 9 * SLOW_STEP);
    assert_eq!(watch.next_report_after(), SLOW_STEP, "no step runs");
    watch.begin(start);
    // (seconds since the start of the step, seconds at which it is reported next)
    for (elapsed, next) in [(1, 1), (2, 4), (3, 4), (4, 4), (5, 10), (30, 60)] {
        watch.check(start + elapsed * SLOW_STEP);
        assert_eq!(watch.next_report_after(), next * SLOW_STEP, "after {elapsed} s");
    }
    watch.end(start + 61 * SLOW_STEP);
    watch.begin(start + 62 * SLOW_STEP);
    assert_eq!(watch.next_report_after(), SLOW_STEP, "a new step");
}
