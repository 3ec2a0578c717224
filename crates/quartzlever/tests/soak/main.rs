//! Soak test: the real program under overlapping troubles drawn from a seed, with users who cancel
//! all the time. The rules of the protocol are checked from outside the controllers.
//!
//! The short form runs with all tests. The long form is started by hand; README has the command.

mod schedule;
mod testbed;
mod users;

use std::fmt::Write as _;
use std::ops::RangeInclusive;
use std::panic::catch_unwind;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use schedule::{LinkKind, Schedule, ScheduledTrouble, Trouble};
use testbed::{ANSWERED_WITHIN, Affected, Testbed};
use users::Load;

/// Names of the controllers, which are also the names of the partitions.
pub const NODES: [&str; 3] = ["one", "two", "three"];
/// Lease of a worker, in seconds.
pub const LEASE_S: u64 = 8;
/// Time within which the tasks of a cancelled job must end, in seconds.
pub const CANCEL_S: u64 = 18;
/// A team with a quota.
pub const LIMITED_TEAM: &str = "tight";
pub const LIMITED_TEAM_CPUS: f64 = 6.0;

/// How long troubles begin in the short form, and in the long one.
const SHORT_LENGTH: Duration = Duration::from_secs(40);
const LONG_LENGTH: Duration = Duration::from_secs(52);
const SHORT_SEEDS: [u64; 2] = [1, 2];
/// Seeds of the long form without `QUARTZLEVER_SOAK_SEEDS`.
const LONG_SEEDS: RangeInclusive<u64> = 1..=50;
/// Number of runs of the long form at a time, without `QUARTZLEVER_SOAK_PARALLEL`.
const PARALLEL_RUNS: usize = 4;
const FEW_WORKERS: usize = 20;
const MANY_WORKERS: usize = 300;
/// Of this many seeds of the long form, one has many workers.
const SEEDS_PER_LARGE_RUN: u64 = 12;
/// Time from the first submission to the first trouble.
const WARM_UP: Duration = Duration::from_secs(6);
/// Interval at which the schedule is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Counts that a run must reach, so that it has tested anything.
const MIN_CANCELLATIONS: usize = 5;
const MIN_STARTED_TASKS: usize = 10;
/// Longest time that a job may wait once the troubles are over, while a machine has room for it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(90);
/// Maximum number of failures of a run that are printed. A task that runs too long is reported at
/// every look at its machine.
const MAX_PRINTED_FAILURES: usize = 12;

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
struct Run {
    seed: u64,
    workers: usize,
    length: Duration,
}

/// What happened in a run.
#[derive(Debug, Default)]
struct Outcome {
    failures: Vec<String>,
    report: String,
}

impl Run {
    /// Runs the schedule of the seed and checks the rules and the end state.
    fn execute(self) -> Outcome {
        let schedule = Schedule::draw(self.seed, self.length);
        let testbed = Testbed::start(self.seed, self.workers);
        let acquired_before = testbed.latest_acquisition();
        let tasks_scale = (self.workers / FEW_WORKERS).max(1) as u32;
        let load = Load::start(&testbed.users, &testbed.user_addresses(), self.seed, tasks_scale);
        // Troubles of workers need workers to concern.
        thread::sleep(WARM_UP);
        let cancelled_before = load.confirmed_cancellations();
        let begin = Instant::now();
        run_schedule(&testbed, &schedule, self.seed, begin);
        let cancelled = load.confirmed_cancellations() - cancelled_before;
        load.stop();
        let mut failures = check_end_state(&testbed);
        // A command that is still under way may start a task of a cancelled job.
        sleep_until(begin + schedule.last_late_call() + Duration::from_secs(LEASE_S));
        failures.extend(check_effects(&testbed, &schedule));
        let started = started_tasks(&testbed);
        failures.extend(below_minimum(
            "cancellations during troubles",
            cancelled,
            MIN_CANCELLATIONS,
        ));
        failures.extend(below_minimum("started tasks", started, MIN_STARTED_TASKS));
        if testbed.latest_acquisition() <= acquired_before {
            failures.push("no partition has changed hands".to_owned());
        }
        let ended = testbed.ended_processes();
        if !ended.is_empty() {
            failures.push(format!("processes have ended by themselves: {ended:?}"));
        }
        failures.extend(testbed.error_lines());
        let mut report = String::new();
        // Writing into memory cannot fail.
        let _ = write!(
            report,
            "seed {}: {} workers, {} troubles, {cancelled} cancellations during them, {started} \
             tasks started, {:?}, links {:?}, repeated {:?}",
            self.seed,
            self.workers,
            schedule.troubles.len(),
            testbed.fleet.fault_counts(),
            LinkKind::ALL.map(|kind| (kind, testbed.affected_on(kind))),
            LinkKind::ALL.map(|kind| (kind, testbed.repeated_on(kind))),
        );
        let directory = testbed.directory.clone();
        failures.splice(0..0, testbed.stop());
        if failures.is_empty() {
            // The logs are needed only for a failure.
            let _ = std::fs::remove_dir_all(&directory);
        } else {
            let _ = write!(
                report,
                "\nschedule:\n{schedule}logs: {}\nrepeat: QUARTZLEVER_SOAK_SEEDS={seed} \
                 QUARTZLEVER_SOAK_WORKERS={} QUARTZLEVER_SOAK_SECONDS={} cargo test --release -p \
                 quartzlever --test soak --locked -- --ignored --nocapture long_soak",
                directory.display(),
                self.workers,
                self.length.as_secs(),
                seed = self.seed,
            );
        }
        Outcome { failures, report }
    }
}

/// Begins and ends the troubles at their times. A trouble that takes long to begin, as a series of
/// crashes does, runs on a thread of its own.
fn run_schedule(testbed: &Testbed, schedule: &Schedule, seed: u64, begin: Instant) {
    thread::scope(|scope| {
        for (n, scheduled) in schedule.troubles.iter().enumerate() {
            scope.spawn(move || {
                let ScheduledTrouble { begins, ends, trouble } = *scheduled;
                sleep_until(begin + begins);
                let mut rng = StdRng::seed_from_u64(seed ^ n as u64);
                let affected: Affected =
                    testbed.begin(trouble, |percent| rng.random_range(0..100) < percent);
                sleep_until(begin + ends);
                testbed.end(trouble, &affected);
            });
        }
    });
}

fn sleep_until(deadline: Instant) {
    while Instant::now() < deadline {
        thread::sleep(POLL_INTERVAL.min(deadline - Instant::now()));
    }
}

fn below_minimum(what: &str, count: usize, minimum: usize) -> Option<String> {
    (count < minimum).then(|| format!("{count} {what}, fewer than {minimum}"))
}

/// Checks that the troubles took place: that each kind in the schedule has affected something.
fn check_effects(testbed: &Testbed, schedule: &Schedule) -> Vec<String> {
    let mut failures = Vec::new();
    for kind in [LinkKind::Store, LinkKind::Cloud, LinkKind::Heartbeats, LinkKind::Users] {
        let is_scheduled = schedule.troubles.iter().any(
            |scheduled| matches!(scheduled.trouble, Trouble::Link { kind: k, .. } if k == kind),
        );
        if is_scheduled && testbed.affected_on(kind) == 0 {
            failures.push(format!("no fault of the links {kind:?} has affected anything"));
        }
    }
    for kind in LinkKind::ALL {
        if testbed.repeated_on(kind) == 0 {
            failures.push(format!("no request was repeated on the links {kind:?}"));
        }
    }
    let counts = testbed.fleet.fault_counts();
    failures.extend(below_minimum(
        "repeated commands that reached a worker",
        counts.copies_executed + counts.copies_refused,
        1,
    ));
    failures.extend(below_minimum(
        "late calls that reached a worker",
        counts.executed_late + counts.refused_late,
        1,
    ));
    failures
}

/// Checks that, once the troubles are over, each accepted job is known at all controllers within the
/// time after which it would count as forgotten, and that it then reaches its final state. The jobs
/// may have to wait for each other, but some task has to start at least every [`MAX_IDLE_TIME`].
fn check_end_state(testbed: &Testbed) -> Vec<String> {
    let answered_by = Instant::now() + ANSWERED_WITHIN;
    let mut failures = Vec::new();
    let jobs = testbed.fleet.rules(|rules, _| rules.accepted_jobs());
    for job in &jobs {
        for (name, address) in NODES.iter().zip(testbed.user_addresses()) {
            while testbed.users.look_up(address, job).status != 200 {
                if Instant::now() >= answered_by {
                    failures.push(format!("{job} at {name}: no answer"));
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
    }
    let mut progress = Progress::new(testbed);
    for job in jobs {
        for (name, address) in NODES.iter().zip(testbed.user_addresses()) {
            let phase = await_final_phase(testbed, address, &job, &mut progress);
            let (cancelled, requested) = testbed.fleet.rules(|rules, _| {
                (rules.cancellation_reported_at(&job).is_some(), rules.is_cancel_requested(&job))
            });
            // A requested cancellation may have been committed although its answer was lost.
            let expected = match phase.as_deref() {
                Some("aborted") => requested,
                Some("done") => !cancelled,
                _ => false,
            };
            if !expected {
                failures.push(format!("{job} at {name}: final phase {phase:?}"));
            }
        }
    }
    failures
}

/// Watches whether tasks keep starting.
struct Progress {
    started_tasks: usize,
    last_start_at: Instant,
}

impl Progress {
    fn new(testbed: &Testbed) -> Progress {
        Progress { started_tasks: started_tasks(testbed), last_start_at: Instant::now() }
    }

    /// Reports whether no task has started for longer than [`MAX_IDLE_TIME`].
    fn has_stopped(&mut self, testbed: &Testbed) -> bool {
        let started = started_tasks(testbed);
        if started > self.started_tasks {
            (self.started_tasks, self.last_start_at) = (started, Instant::now());
        }
        self.last_start_at.elapsed() > MAX_IDLE_TIME
    }
}

fn started_tasks(testbed: &Testbed) -> usize {
    testbed.fleet.rules(|rules, _| rules.started_tasks)
}

/// Asks for a job until it has a final phase, and returns the last phase that was answered.
fn await_final_phase(
    testbed: &Testbed,
    address: std::net::SocketAddr,
    job: &str,
    progress: &mut Progress,
) -> Option<String> {
    let mut last = None;
    loop {
        let reply = testbed.users.look_up(address, job);
        if reply.status == 200 {
            let is_final = matches!(reply.phase.as_str(), "done" | "aborted");
            last = Some(reply.phase);
            if is_final {
                return last;
            }
        }
        if progress.has_stopped(testbed) {
            return last;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Executes runs, a few at a time, and panics with the reports of those that failed.
fn execute_all(runs: Vec<Run>, parallel: usize) {
    let begin = Instant::now();
    let count = runs.len();
    let waiting = Mutex::new(runs);
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..parallel {
            scope.spawn(|| {
                loop {
                    let next = waiting.lock().expect("no run panics with the lock").pop();
                    let Some(run) = next else { return };
                    let outcome = catch_unwind(|| run.execute()).unwrap_or_else(|_| Outcome {
                        failures: vec!["the run panicked".to_owned()],
                        report: format!("{run:?}"),
                    });
                    println!("{}", outcome.report);
                    if !outcome.failures.is_empty() {
                        let count = outcome.failures.len();
                        let first = &outcome.failures[..count.min(MAX_PRINTED_FAILURES)];
                        println!("FAILED seed {}, {count} failures: {first:#?}", run.seed);
                        failed.lock().expect("no run panics with the lock").push(run.seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no run panics with the lock");
    println!("{count} runs in {:.0} s, failed seeds: {failed:?}", begin.elapsed().as_secs_f64());
    assert!(failed.is_empty(), "seeds {failed:?} failed, see the reports above");
}

/// No rule is broken while troubles overlap, leaders change in series and users cancel.
#[test]
fn overlapping_troubles_break_no_rule() {
    let run = |seed| Run { seed, workers: FEW_WORKERS, length: SHORT_LENGTH };
    execute_all(SHORT_SEEDS.map(run).to_vec(), SHORT_SEEDS.len());
}

/// The same over many seeds, some with hundreds of workers.
#[test]
#[ignore = "takes a quarter of an hour; started by hand"]
fn long_soak() {
    let seeds = setting("QUARTZLEVER_SOAK_SEEDS").map_or(LONG_SEEDS, |text| {
        parse_seeds(&text).unwrap_or_else(|error| panic!("QUARTZLEVER_SOAK_SEEDS: {error}"))
    });
    let workers = positive_setting("QUARTZLEVER_SOAK_WORKERS");
    let parallel = positive_setting("QUARTZLEVER_SOAK_PARALLEL").unwrap_or(PARALLEL_RUNS);
    let length = positive_setting("QUARTZLEVER_SOAK_SECONDS")
        .map_or(LONG_LENGTH, |seconds| Duration::from_secs(seconds as u64));
    let run = |seed: u64| Run {
        seed,
        workers: workers.unwrap_or(if seed.is_multiple_of(SEEDS_PER_LARGE_RUN) {
            MANY_WORKERS
        } else {
            FEW_WORKERS
        }),
        length,
    };
    execute_all(seeds.map(run).collect(), parallel);
}

/// Returns an environment variable, if it is set.
fn setting(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Returns a number above 0 from an environment variable, if it is set.
///
/// # Panics
///
/// Panics with the name of the variable if it holds anything else.
fn positive_setting(name: &str) -> Option<usize> {
    let parse = |text: String| parse_positive(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
    setting(name).map(parse)
}

/// Parses a seed such as `7`, or a range of seeds such as `1-50`.
fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let parse = |number: &str| {
        let error = |_| format!("{text:?} is neither a seed nor a range such as 1-50");
        number.trim().parse::<u64>().map_err(error)
    };
    let (first, last) = (parse(first)?, parse(last)?);
    if first > last {
        return Err(format!("the range {text:?} is empty"));
    }
    Ok(first..=last)
}

fn parse_positive(text: &str) -> Result<usize, String> {
    match text.trim().parse::<usize>() {
        Ok(number @ 1..) => Ok(number),
        _ => Err(format!("{text:?} is not a number above 0")),
    }
}

#[test]
fn malformed_settings_of_the_long_form_are_refused() {
    for (text, expected) in [("7", Some(7..=7)), ("1-50", Some(1..=50)), (" 3 - 4 ", Some(3..=4))]
        .into_iter()
        .chain(["", "-", "x", "1-", "-5", "5-1", "1-2-3", "1.5"].map(|text| (text, None)))
    {
        assert_eq!(parse_seeds(text).ok(), expected, "{text:?}");
    }
    for (text, expected) in
        [("1", Some(1)), ("300", Some(300)), ("0", None), ("", None), ("-1", None)]
    {
        assert_eq!(parse_positive(text).ok(), expected, "{text:?}");
    }
}
