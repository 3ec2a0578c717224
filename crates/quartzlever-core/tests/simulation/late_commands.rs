//! Copies of direct commands that reach their machine again after they were executed and answered.

use quartzlever_wire::users::Priority;
use quartzlever_wire::workers::WorkerCommand;
use quartzlever_wire::{Micros, SECOND};

use crate::combination::{
    NODES, all_machines, rare_heartbeats, recover_and_check, set_hung, submit,
};
use crate::sim::{FaultRates, LEASE, Simulation};

/// Interval between two deliveries of all earlier commands.
const REPEAT_INTERVAL: u64 = SECOND / 2;
/// Number of deliveries in each situation of the commands' senders.
const REPEATS: usize = 16;

/// What becomes of the tasks that the repeated commands started.
type TaskEnd = fn(&mut Simulation, &[String]);

/// Hangs all machines for this long.
fn hang_all_machines(w: &mut Simulation, span: Micros) {
    let machines = all_machines(w);
    set_hung(w, &machines, true);
    w.run(span);
    set_hung(w, &machines, false);
}

/// Delivers all commands that were executed so far again and again, in either order, and returns the
/// tasks that this started.
fn repeat_commands(w: &mut Simulation) -> Vec<String> {
    let mut started = Vec::new();
    for n in 0..REPEATS {
        for reversed in [n % 2 == 0, n % 2 == 1] {
            started.extend(w.repeat_executed_commands(reversed));
        }
        w.run_with_lookups(REPEAT_INTERVAL);
    }
    started
}

/// A copy of a command that was answered must not start what has ended on the machine since.
#[test]
fn a_second_copy_of_a_direct_command_starts_nothing() {
    let cases: &[(&str, TaskEnd)] = &[
        ("the tasks finish", |_, _| {}),
        ("the tasks fail everywhere", |w, ids| {
            ids.iter().for_each(|id| w.set_fails_everywhere(id, true));
        }),
        ("the tasks fail on half of the machines and move", |w, _| {
            let machines = all_machines(w);
            for name in machines.iter().step_by(2) {
                let worker = w.workers.get_mut(name).expect("the machine exists");
                worker.fails_all_tasks = true;
            }
        }),
        ("the jobs are cancelled", |w, ids| {
            ids.iter().for_each(|id| _ = w.cancel_until_confirmed(0, id));
        }),
        ("the machines hang and resume within their lease", |w, _| {
            hang_all_machines(w, 3 * SECOND);
        }),
        ("the machines hang and resume in a new incarnation", |w, _| {
            hang_all_machines(w, LEASE + 2 * SECOND);
            // Before any controller has heard of the new incarnation.
            let started = w.repeat_executed_commands(false);
            assert!(started.is_empty(), "{started:?} started in a new incarnation");
        }),
        ("the tasks are preempted and stolen", |w, _| {
            submit(w, 50, 8, |_, spec| {
                (spec.priority, spec.due_s) = (Priority::Prod, Some(4.0));
            });
        }),
    ];
    let mut failures = Vec::new();
    for (n, (end, apply)) in cases.iter().enumerate() {
        let mut w = Simulation::with(7_300 + n as u64, NODES, |config| {
            rare_heartbeats(config);
            config.operator.max_idle_boot_times = 1_000.0;
        });
        w.cloud.max_machines = 8;
        w.run_time = 8 * SECOND;
        w.run(3 * SECOND);
        let ids = submit(&mut w, 0, 8, |_, spec| spec.priority = Priority::BestEffort);
        w.run(6 * SECOND);
        apply(&mut w, &ids);
        w.run_with_lookups(9 * SECOND);
        // The commands of later jobs carry the clears of earlier ones.
        submit(&mut w, 20, 8, |_, _| {});
        let mut started = vec![("live", repeat_commands(&mut w))];
        for node in 0..NODES.len() {
            w.kill(node);
        }
        started.push(("have ended", repeat_commands(&mut w)));
        for node in 0..NODES.len() {
            w.start(node);
        }
        started.push(("are back", repeat_commands(&mut w)));
        for (senders, started) in started {
            if !started.is_empty() {
                failures.push(format!("{end}, the senders {senders}: {started:?}"));
            }
        }
        let commands = w.executed_commands().iter().flat_map(|(_, sent)| &sent.commands);
        let runs = commands.filter(|command| matches!(command, WorkerCommand::Run { .. })).count();
        assert!(runs >= 8, "{end}: only {runs} tasks were started by direct commands");
        ids.iter().for_each(|id| w.set_fails_everywhere(id, false));
        w.workers.values_mut().for_each(|worker| worker.fails_all_tasks = false);
        if failures.is_empty() {
            recover_and_check(&mut w, end);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Copies come while jobs run and their leaders are back within a second.
#[test]
fn copies_of_executed_requests_break_no_rule_as_leaders_restart() {
    for seed in 0..8 {
        let mut w = Simulation::with(7_400 + seed, NODES, rare_heartbeats);
        w.cloud.max_machines = 8;
        w.fault_rates = FaultRates {
            request_copies: 30,
            request_copies_for_restart: 50,
            ..FaultRates::default()
        };
        w.run(3 * SECOND);
        for round in 0..6 {
            let ids = submit(&mut w, 10 * round, 4, |_, spec| spec.priority = Priority::Urgent);
            w.run_with_lookups(3 * SECOND);
            w.cancel_until_confirmed(0, &ids[0]);
            let (_, leader) = w.busiest_partition();
            let down = (1 + w.random_below(9)) as u64 * SECOND / 10;
            w.restart(leader, down);
            w.run_with_lookups(4 * SECOND);
        }
        assert!(w.counts.command_copies_refused > 0, "seed {seed}: {:?}", w.counts);
        recover_and_check(&mut w, &format!("copies as leaders restart, seed {seed}"));
    }
}
