//! How long queues last, as partitions compare them.

use quartzlever_wire::peers::Load;

/// A partition with work and no machine must look like the longest queue of all, in every build: others
/// take its tasks for that.
#[test]
fn work_without_machines_lasts_for_ever() {
    let none: f64 = Vec::<f64>::new().into_iter().sum();
    // (work in processor-seconds, processors, seconds until it is gone)
    for (work, cpus, drain_s) in [
        (12.0, none, f64::INFINITY),
        (12.0, 0.0, f64::INFINITY),
        (12.0, -0.0, f64::INFINITY),
        (0.0, none, 0.0),
        (12.0, 4.0, 3.0),
    ] {
        assert_eq!(Load { work, cpus }.drain_s(), drain_s, "{work} over {cpus}");
    }
}
