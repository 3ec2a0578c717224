//! A late copy of a direct command arrives at a machine while the controller that sent it is being
//! restarted: the tasks that it starts run on another machine by then.

use std::process::exit;
use std::thread;
use std::time::Duration;

use quartzlever_wire::SECOND;
use review_lab::{Outcome, Record, Site, World, batch, from_environment, lock, wait_until};

const WARM_UP: &str = "req-000001";
const PLAN: &str = "req-000002";
const RUSH: &str = "req-000003";
/// Run time of the tasks of the rush jobs.
const RUN_TIME_S: u64 = 12;
/// The controllers of the site are back about 5 s after an end.
const RESTART_AFTER: Duration = Duration::from_secs(5);

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
    record.line(&format!("scenario late-copy, trouble: {trouble}"));
    let site = Site::audeklis();
    // One machine at first: "the cloud has fewer machines to give".
    let mut world =
        World::start(record.clone(), &site, &scratch, &program, RUN_TIME_S * SECOND, 1)
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
    // A first job brings up a machine of the partition drone-0.
    let warm_up = batch(WARM_UP, "rush-dye", "urgent", 1, 4.0, 30.0, 10.0, 60.0);
    need(world.submit(0, &warm_up), "the first job is not accepted")?;
    let done = wait_until(Duration::from_secs(30), || {
        thread::sleep(Duration::from_secs(1));
        world.phase(0, WARM_UP) == "done"
    });
    need(done, "the first job is not done")?;
    // The plan fills the machine; its start command is a direct one.
    machines.run_without_end(PLAN);
    let plan = batch(PLAN, "loom-plan", "standard", 4, 8.0, 31.0, 80.0, 200.0);
    need(world.submit(0, &plan), "the plan is not accepted")?;
    let started = wait_until(Duration::from_secs(10), || {
        machines.machines_of(PLAN).values().sum::<usize>() == 4
    });
    need(started, "the plan has not started")?;
    thread::sleep(Duration::from_secs(4));
    let start_command = machines.executed().into_iter().find(|command| command.starts(PLAN));
    let start_command = start_command.ok_or("the plan was not started by a direct command")?;
    let first_machine = start_command.machine.clone();
    // An urgent job stops the plan's tasks there, and they start again on a second machine.
    let rush = batch(RUSH, "rush-dye", "urgent", 8, 4.0, 30.0, 20.0, 50.0);
    need(world.submit(0, &rush), "the rush job is not accepted")?;
    let stopped = wait_until(Duration::from_secs(10), || {
        machines.machines_of(RUSH).get(&first_machine) == Some(&8)
    });
    need(stopped, "the rush job has not taken the place of the plan")?;
    lock(&world.cloud).max_machines = 2;
    let moved = wait_until(Duration::from_secs(25), || {
        let on = machines.machines_of(PLAN);
        on.len() == 1 && !on.contains_key(&first_machine) && on.values().sum::<usize>() == 4
    });
    need(moved, "the plan has not moved to a second machine")?;
    // The first machine has room again once the rush job is done and its tasks are cleared.
    let done = wait_until(Duration::from_secs(30), || {
        thread::sleep(Duration::from_millis(500));
        world.phase(0, RUSH) == "done"
    });
    need(done, "the rush job is not done")?;
    thread::sleep(Duration::from_secs(4));
    let on = machines.machines_of(PLAN);
    need(on.len() == 1 && !on.contains_key(&first_machine), "the plan has moved again")?;
    world.record.line(&format!("the plan runs on {on:?}; {first_machine} runs nothing"));
    if trouble {
        world.record.line("drone-0 is killed");
        world.controllers[0].kill();
        thread::sleep(Duration::from_secs(1));
        let status = machines.deliver_again(&start_command);
        world.record.line(&format!("the late copy was answered with {status}, to nobody"));
        thread::sleep(RESTART_AFTER - Duration::from_secs(1));
        world.record.line("drone-0 is started again");
        world.controllers[0].start().map_err(|e| e.to_string())?;
    }
    thread::sleep(Duration::from_secs(15));
    machines.look();
    Ok(if machines.broken().is_empty() { Outcome::Held } else { Outcome::Broken })
}
