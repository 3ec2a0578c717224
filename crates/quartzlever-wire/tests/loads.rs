//! Tests of the time until a queue is empty, by which partitions compare their loads.

use quartzlever_wire::peers::Load;

/// A partition with work but no machine must have the longest queue of all, in every build, because
/// only then do other partitions take its tasks. The sum over no machines is -0.0, and a division
/// by it would make the queue the shortest in some builds.
#[test]
fn a_queue_without_processors_never_drains() {
    let empty_sum: f64 = Vec::<f64>::new().into_iter().sum();
    // (work in processor-seconds, processors, seconds until the queue is empty)
    for (work, cpus, drain_s) in [
        (12.0, empty_sum, f64::INFINITY),
        (12.0, 0.0, f64::INFINITY),
        (12.0, -0.0, f64::INFINITY),
        (0.0, empty_sum, 0.0),
        (12.0, 4.0, 3.0),
    ] {
        assert_eq!(
            Load { work, cpus }.drain_s(),
            drain_s,
            "{work} processor-seconds on {cpus} processors"
        );
    }
}
