//! Jobs of very many very small tasks, which all fit on a few machines: they run to their end although
//! a placement and a machine get a limited number of starts at a time, also across a change of
//! leader and after a cancellation.

use quartzlever_wire::SECOND;
use quartzlever_wire::users::{JobPhase, JobSpec};

use crate::sim::{Simulation, job};

const NODES: &[&str] = &["one", "two", "three"];
/// Tasks that take several placements to start on one machine.
const TASKS: u32 = 900;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    LeaderRestarts,
    /// The leader is down long enough for a peer to take over its partition.
    LeaderChanges,
    Cancelled,
}

fn tiny_tasks(one_zone: bool, spread: bool) -> JobSpec {
    JobSpec { cpus: 0.005, ram_gb: 0.001, one_zone, spread, ..job(1, TASKS) }
}

#[test]
fn jobs_of_many_tiny_tasks_run_to_their_end_or_are_cancelled() {
    use Fault::*;
    let mut seed = 700;
    for fault in [None, LeaderRestarts, LeaderChanges, Cancelled] {
        for (one_zone, spread) in [(false, false), (true, false), (false, true)] {
            let case = format!("{fault:?}, one zone {one_zone}, spread {spread}");
            seed += 1;
            let mut w = Simulation::new(seed, NODES);
            w.run_time = 3 * SECOND;
            w.run(5 * SECOND);
            let spec = tiny_tasks(one_zone, spread);
            assert_eq!(w.submit_until_accepted(0, &spec), 201, "{case}");
            w.run(6 * SECOND);
            let (_, leader) = w.busiest_partition();
            match fault {
                None => {}
                LeaderRestarts => w.restart(leader, SECOND / 2),
                LeaderChanges => w.restart(leader, 20 * SECOND),
                Cancelled => {
                    assert_eq!(w.cancel_until_confirmed(1, &spec.id).as_deref(), Some("aborted"));
                }
            }
            w.run_with_lookups(120 * SECOND);
            let expected = if fault == Cancelled { JobPhase::Cancelled } else { JobPhase::Done };
            assert_eq!(w.final_phase(&spec.id), Some(expected), "{case}");
            w.settle_and_check();
            assert!(w.rules.violations.is_empty(), "{case}: {:?}", &w.rules.violations[..1]);
        }
    }
}
