//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::cloud::{Cloud, Type};
use crate::lab::{AUDEKLIS, LAPIS, Lab, Site};

pub enum Failure {
    Broken(String),
    CannotRun(String),
}

type Outcome = Result<(), Failure>;

pub fn site(case: &str) -> &'static Site {
    if case == "other-part" { &LAPIS } else { &AUDEKLIS }
}

pub fn run(case: &str, lab: &Arc<Lab>) -> Outcome {
    match case {
        "zone-array" => zone_array(lab),
        "small-tasks" => small_tasks(lab),
        "other-part" => other_part(lab),
        "queue-elsewhere" => queue_elsewhere(lab),
        other => Err(Failure::CannotRun(format!("no case {other}"))),
    }
}

/// How long a job may wait beside a machine that fits and has room, in seconds ("left waiting for 90 s").
const WAIT_S: f64 = 90.0;

fn spindle(lab: &Lab, ready_s: f64) -> Type {
    Type {
        name: "spindle-32",
        cpus: 32.0,
        ram_gb: 256.0,
        ready_s,
        zones: lab.site.zones.to_vec(),
        hourly: 1.69,
        market_price: 0.5,
    }
}

fn cannot(what: &str) -> Failure {
    Failure::CannotRun(what.to_owned())
}

/// The stand-ins around the controllers.
struct World {
    cloud: Arc<Cloud>,
    state: String,
    cloud_address: String,
}

/// Starts the state service, the cloud and the three controllers, and waits until they serve.
fn start(
    lab: &Arc<Lab>,
    types: Vec<Type>,
    capacity: &[(&str, &str, bool, usize)],
) -> Result<World, Failure> {
    let (_store, state) = lab.start_store();
    let (cloud, cloud_address) = Cloud::start(lab.clone(), types, capacity);
    for node in 0..3 {
        lab.start_node(node, &state, &cloud_address);
    }
    if !lab.until("all controllers ready", 20.0, || (0..3).all(|n| lab.ready(n))) {
        return Err(cannot("the controllers are not ready"));
    }
    // Every controller has its own part soon after.
    thread::sleep(Duration::from_secs(2));
    Ok(World { cloud, state, cloud_address })
}

impl World {
    /// How many tasks of a job run now.
    fn running(&self, job: &str) -> usize {
        self.cloud.workers().iter().map(|w| w.running(job)).sum()
    }

    /// The machine with the most free CPUs, of those whose reports are answered.
    fn most_room(&self) -> (String, f64) {
        let rooms = self.cloud.workers().into_iter().map(|w| (w.name.clone(), w.room()));
        rooms.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or_default()
    }
}

/// Waits until a task of the job runs, and fails once the job has waited for `WAIT_S` while some machine had `cpus` free
/// all the time.
fn begins_beside_room(lab: &Lab, world: &World, job: &str, cpus: f64) -> Outcome {
    let mut since = Instant::now();
    let mut noted = String::new();
    loop {
        if world.running(job) > 0 {
            lab.note(&format!("{job} has begun"));
            return Ok(());
        }
        let (machine, room) = world.most_room();
        if room < cpus {
            since = Instant::now();
        }
        let line = format!("{job} waits; {machine} has {room:.1} CPUs free");
        if line != noted {
            lab.note(&line);
            noted = line;
        }
        if since.elapsed().as_secs_f64() >= WAIT_S {
            for node in 0..3 {
                lab.note(&format!("look up {job} at drone-{node}: {:?}", lab.look_up(node, job)));
            }
            return Err(Failure::Broken(format!(
                "{job} has waited for 90 s beside {machine}, which has {room:.1} CPUs free"
            )));
        }
        if lab.seconds() > 117.0 {
            return Err(cannot("no 90 s with room on one machine"));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// An array of many small tasks fills a machine, and an ordinary task shares it.
fn small_tasks(lab: &Arc<Lab>) -> Outcome {
    let world = start(lab, vec![spindle(lab, 2.0)], &[("spindle-32", "riga-floor", false, 1)])?;
    let shards = if lab.trouble { 3000 } else { 600 };
    let ordinary = lab.describe(
        "req-000001",
        json!({"jobclass": "loom-plan", "cpus": 8.0, "ram_gb": 31.0, "bundle": "img-01"}),
        0.5,
        Some(20.0),
    );
    let small = lab.describe(
        "req-000002",
        json!({"jobclass": "bolt-check", "shards": shards, "cpus": 0.015, "ram_gb": 0.1, "bundle": "img-02"}),
        0.5,
        Some(10.0),
    );
    if lab.submit(0, &ordinary) != 201 || lab.submit(0, &small) != 201 {
        return Err(cannot("not accepted"));
    }
    let accepted = Instant::now();
    let is_done = |job: &str| lab.look_up(0, job).1["phase"] == "done";
    let mut done = (false, false);
    while accepted.elapsed().as_secs_f64() < WAIT_S + 5.0 && done != (true, true) {
        done = (is_done("req-000001"), is_done("req-000002"));
        thread::sleep(Duration::from_millis(500));
    }
    lab.note(&format!(
        "after {:.1} s: req-000001 done {}, req-000002 done {}",
        accepted.elapsed().as_secs_f64(),
        done.0,
        done.1
    ));
    for job in ["req-000001", "req-000002"] {
        lab.note(&format!("look up {job}: {:?}", lab.look_up(0, job)));
    }
    let counts = lab.counts.lock().unwrap();
    let of = |job: &str, shards: &std::collections::BTreeMap<String, usize>| {
        let counted = shards.iter().filter(|(s, _)| s.starts_with(job)).map(|(_, n)| *n);
        (counted.clone().count(), counted.sum::<usize>())
    };
    for job in ["req-000001", "req-000002"] {
        let ((tasks, starts), (completed, _)) =
            (of(job, &counts.started), of(job, &counts.completed));
        lab.note(&format!(
            "{job}: {tasks} different tasks started, {starts} starts, {completed} tasks completed"
        ));
    }
    let reports: usize = counts.long_reports.values().sum();
    lab.note(&format!(
        "reports over 64 KiB: {reports}; tasks killed by leases: {}",
        counts.killed_by_lease
    ));
    drop(counts);
    let ended = lab.ended_nodes();
    if !ended.is_empty() {
        return Err(cannot(&format!("{ended:?} ended")));
    }
    let _ = world;
    if done == (true, true) {
        return Ok(());
    }
    Err(Failure::Broken("accepted jobs of 10 s and 20 s are not done, and their machines were returned while they ran".into()))
}

/// A job that is bound to the part that it entered, beside the machine of another part.
fn other_part(lab: &Arc<Lab>) -> Outcome {
    let octavo = Type {
        name: "octavo-16",
        cpus: 16.0,
        ram_gb: 32.0,
        ready_s: 1.0,
        zones: vec!["sofia-south", "plovdiv-campus"],
        hourly: 0.64,
        market_price: 0.27,
    };
    let world = start(lab, vec![octavo], &[("octavo-16", "plovdiv-campus", false, 1)])?;
    let job = |tasks: u32| {
        json!({"jobclass": "licence-renewal", "owner": "licensing-team", "shards": tasks, "cpus": 4.0, "ram_gb": 7.1,
            "chassis": ["octavo-16"], "bay": "plovdiv-campus", "together": true, "size_gb": 0.6})
    };
    let long = lab.describe("req-000001", job(1), 0.5, Some(300.0));
    lab.submit_balanced(&long);
    if !lab.until("req-000001 runs", 20.0, || world.running("req-000001") == 1) {
        return Err(cannot("the first job does not run"));
    }
    let bound = lab.describe("req-000002", job(2), 0.5, Some(15.0));
    if lab.trouble {
        lab.kill_node("drone-0");
        lab.submit_balanced(&bound);
        thread::sleep(Duration::from_secs(4));
        lab.start_node(0, &world.state, &world.cloud_address);
        lab.until("all controllers ready again", 20.0, || (0..3).all(|n| lab.ready(n)));
    } else {
        lab.submit_balanced(&bound);
    }
    begins_beside_room(lab, &world, "req-000002", 4.0)
}

/// A batch job in a part without room, while another part has room and a queue that cannot use it.
fn queue_elsewhere(lab: &Arc<Lab>) -> Outcome {
    let capacity = [("spindle-32", "riga-floor", false, 2), ("spindle-32", "ogre-floor", false, 1)];
    let world = start(lab, vec![spindle(lab, 2.0)], &capacity)?;
    let job = |bay: Option<&str>, shards: u32, cpus: f64, expect_s: f64| {
        json!({"jobclass": "loom-plan", "bay": bay, "shards": shards, "cpus": cpus, "ram_gb": 31.0,
            "expect_s": expect_s, "due_s": expect_s * 1.5 + 80.0})
    };
    let long = [
        ("req-000001", 0, "ogre-floor", 32.0),
        ("req-000002", 0, "riga-floor", 8.0),
        ("req-000003", 1, "riga-floor", 32.0),
    ];
    for (id, node, bay, cpus) in long {
        let body = lab.describe(id, job(Some(bay), 1, cpus, 300.0), 0.5, Some(300.0));
        lab.submit(node, &body);
        if !lab.until(&format!("{id} runs"), 20.0, || world.running(id) == 1) {
            return Err(cannot("a long task does not run"));
        }
    }
    if lab.trouble {
        let queued =
            lab.describe("req-000004", job(Some("ogre-floor"), 8, 8.0, 80.0), 0.5, Some(80.0));
        lab.submit(0, &queued);
        thread::sleep(Duration::from_secs(1));
    }
    let waiting = lab.describe("req-000005", job(None, 1, 8.0, 80.0), 0.5, Some(80.0));
    lab.submit(1, &waiting);
    begins_beside_room(lab, &world, "req-000005", 8.0)
}

/// An array of tiny tasks that is bound to one zone, and whose tasks all fit on one machine.
fn zone_array(lab: &Arc<Lab>) -> Outcome {
    let world = start(lab, vec![spindle(lab, 2.0)], &[("spindle-32", "riga-floor", false, 2)])?;
    let ordinary = lab.describe(
        "req-000001",
        json!({"jobclass": "loom-plan", "cpus": 32.0, "ram_gb": 31.0, "bundle": "img-01"}),
        0.5,
        Some(80.0),
    );
    lab.submit(0, &ordinary);
    if !lab.until("req-000001 runs", 20.0, || world.running("req-000001") == 1) {
        return Err(cannot("the first job does not run"));
    }
    let tiny = lab.describe(
        "req-000002",
        json!({"jobclass": "bolt-check", "shards": 100_000, "cpus": 0.0003, "ram_gb": 0.002, "bundle": "img-02",
            "together": lab.trouble}),
        0.5,
        Some(10.0),
    );
    if lab.submit(0, &tiny) != 201 {
        return Err(cannot("not accepted"));
    }
    // Since when each controller has answered nothing, the longest such time of each, and of all at once.
    let mut last = vec![Instant::now(); 3];
    let mut longest = [0.0_f64; 3];
    let mut all_silent = 0.0_f64;
    while lab.seconds() < 104.0 {
        let ready: Vec<bool> = (0..3).map(|n| lab.ready(n)).collect();
        let polls: Vec<u16> = (0..3).map(|n| lab.look_up(n, "req-000001").0).collect();
        for n in 0..3 {
            if ready[n] || polls[n] != 0 {
                last[n] = Instant::now();
            }
            longest[n] = longest[n].max(last[n].elapsed().as_secs_f64());
        }
        all_silent =
            all_silent.max(last.iter().map(|l| l.elapsed().as_secs_f64()).fold(f64::MAX, f64::min));
        let runs = world.running("req-000001");
        lab.note(&format!(
            "/ready answers 200: {ready:?}; polls of req-000001: {polls:?}; its task runs: {runs}"
        ));
        thread::sleep(Duration::from_millis(500));
    }
    let silent: Vec<String> = longest.iter().map(|s| format!("{s:.0} s")).collect();
    let done = lab.counts.lock().unwrap().completed.contains_key("req-000001/0");
    let ended = lab.ended_nodes();
    lab.note(&format!("longest time without any answer, of each controller: {silent:?}; of all three at once: {all_silent:.0} s"));
    lab.note(&format!("the task of req-000001 completed: {done}; processes that ended: {ended:?}"));
    if longest.iter().any(|s| *s > lab.site.lease_s) {
        return Err(Failure::Broken(format!(
            "controllers hang: without any answer for {silent:?}, all at once for {all_silent:.0} s"
        )));
    }
    Ok(())
}
