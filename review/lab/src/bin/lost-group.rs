//! The claim of the first machine is carried out late and the read after it is answered slowly; then
//! the controller stands still, and its partition is handed over and back.

use std::process::exit;
use std::thread;
use std::time::Duration;

use quartzlever_wire::SECOND;
use review_lab::{Outcome, Record, Site, SlowClaim, World, batch, from_environment, wait_until};

const PLAN: &str = "req-000001";
/// Transactions without an answer are carried out 2 to 12 s later.
const CLAIM_LATE_BY: Duration = Duration::from_millis(2000);
/// Answers of the state service take a few hundred milliseconds at times.
const READ_TAKES: Duration = Duration::from_millis(600);
/// Controllers stand still for up to 40 s.
const STANDS_STILL: Duration = Duration::from_secs(25);

fn main() {
    let outcome = run().unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        Outcome::CouldNotRun
    });
    println!("{outcome:?}");
    exit(outcome as i32);
}

fn run() -> Result<Outcome, String> {
    let (trouble, program, scratch, record) = from_environment();
    let record = Record::create(&record).map_err(|e| e.to_string())?;
    record.line(&format!("scenario lost-group, trouble: {trouble}"));
    let mut world =
        World::start(record.clone(), &Site::audeklis(), &scratch, &program, 60 * SECOND, 8)
            .map_err(|e| e.to_string())?;
    let outcome = play(&mut world, trouble);
    world.stop();
    if let Ok(outcome) = &outcome {
        record.line(&format!("outcome: {outcome:?}"));
    }
    outcome
}

fn play(world: &mut World, trouble: bool) -> Result<Outcome, String> {
    let machines = world.machines.clone();
    let need = |held: bool, what: &str| if held { Ok(()) } else { Err(what.to_owned()) };
    if trouble {
        world.state_link.slow_down(SlowClaim { late_by: CLAIM_LATE_BY, read_takes: READ_TAKES });
    }
    // The plan needs one machine, the first of all, whose claim is the first write of its group.
    machines.run_without_end(PLAN);
    let plan = batch(PLAN, "loom-plan", "standard", 4, 8.0, 31.0, 80.0, 200.0);
    need(world.submit(0, &plan), "the plan is not accepted")?;
    let started = wait_until(Duration::from_secs(20), || {
        machines.machines_of(PLAN).values().sum::<usize>() == 4
    });
    need(started, "the plan has not started")?;
    thread::sleep(Duration::from_secs(4));
    if trouble {
        need(world.state_link.counts().0 > 0, "no claim was held up")?;
        world.record.line("drone-0 stands still");
        world.controllers[0].signal("-STOP");
        thread::sleep(STANDS_STILL);
        world.controllers[0].signal("-CONT");
        world.record.line("drone-0 goes on");
    } else {
        thread::sleep(STANDS_STILL);
    }
    for _ in 0..8 {
        thread::sleep(Duration::from_secs(5));
        machines.look();
        world.phase(1, PLAN);
        if !machines.broken().is_empty() {
            break;
        }
    }
    thread::sleep(Duration::from_secs(2));
    Ok(if machines.broken().is_empty() { Outcome::Held } else { Outcome::Broken })
}
