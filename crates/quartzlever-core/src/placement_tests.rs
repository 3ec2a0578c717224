//! Where tasks may go, as tables.

use quartzlever_wire::Ranges;
use quartzlever_wire::state::{HostRecord, LiveRecord, Share};
use quartzlever_wire::users::{JobSpec, Rank};
use quartzlever_wire::workers::Report;

use crate::engine::Core;
use crate::placement::Paces;
use crate::regressions::{NOW, core, spec};

/// Adds open machines of 8 processors: name, type, zone, spot.
fn machines(core: &mut Core, list: &[(&str, &str, &str, bool)]) {
    // The only part there is, so that limited teams are at home in it too.
    core.cfg.nodes = vec!["one".into()];
    let cfg = core.cfg.clone();
    if let Some(types) = core.types.as_mut().map(std::sync::Arc::make_mut) {
        let mut other = types["m"].clone();
        other.name = "x".into();
        types.insert("x".into(), other);
        types.values_mut().for_each(|t| t.zones = vec!["a".into(), "b".into()]);
    }
    let types = core.types.clone();
    let Some(part) = core.parts.get_mut("one") else { return };
    part.types = types;
    part.remove_machine("n-1");
    for (name, kind, zone, spot) in list {
        let record = HostRecord {
            part: "one".into(),
            address: "n:1".into(),
            kind: (*kind).into(),
            zone: (*zone).into(),
            spot: *spot,
        };
        part.add_machine(name, record, true, NOW);
        let report = Report {
            host: (*name).into(),
            address: "n:1".into(),
            kind: (*kind).into(),
            zone: (*zone).into(),
            spot: *spot,
            session: 1,
            tick: 1,
            baton: 5,
            warning_s: None,
            tasks: Vec::new(),
        };
        part.take_report(&cfg, &mut Paces::default(), &report, true, NOW);
    }
}

fn submit(core: &mut Core, spec: &JobSpec, stamp: u64) {
    let share = Share { part: "one".into(), term: 5, tasks: Ranges::first(spec.tasks) };
    let record = LiveRecord {
        job: spec.clone(),
        since: NOW,
        started: false,
        shares: vec![share],
        finished: Ranges::default(),
    };
    core.absorb(record, stamp);
    core.now += quartzlever_wire::SECOND / 20;
    core.place("one");
}

/// How many of a job's tasks went to each machine, by the machines' names.
fn placed(core: &Core, id: &str) -> Vec<(String, usize)> {
    let on = |m: &crate::machine::Machine| m.slots.keys().filter(|(t, _)| t.job == id).count();
    let part = &core.parts["one"];
    let counts = part.machines.values().map(|m| (m.name.clone(), on(m)));
    counts.filter(|(_, n)| *n > 0).collect()
}

#[test]
fn tasks_go_only_where_their_job_allows() {
    type Change = fn(&mut JobSpec);
    type Case<'a> = (&'a str, Change, &'a [(&'a str, usize)]);
    let fleet: &[(&str, &str, &str, bool)] =
        &[("n-1", "m", "a", false), ("n-2", "m", "b", true), ("n-3", "x", "b", false)];
    // (what the job asks, by machine what it gets of four processors a task)
    let cases: &[Case] = &[
        ("anything", |s| s.tasks = 6, &[("n-1", 2), ("n-2", 2), ("n-3", 2)]),
        ("no spot", |s| s.spot = false, &[("n-1", 2), ("n-3", 2)]),
        ("one type", |s| s.types = Some(vec!["x".into()]), &[("n-3", 2)]),
        ("one zone by name", |s| s.zone = Some("a".into()), &[("n-1", 2)]),
        ("no such zone", |s| s.zone = Some("c".into()), &[]),
        ("all in the same zone", |s| s.one_zone = true, &[("n-2", 2), ("n-3", 2)]),
        (
            "at most half, rounded up, in a zone",
            |s| (s.spread, s.tasks) = (true, 5),
            &[("n-1", 2), ("n-2", 2), ("n-3", 1)],
        ),
        ("apart, of one task", |s| (s.spread, s.tasks) = (true, 1), &[("n-2", 1)]),
        ("too much memory", |s| s.ram_gb = 65.0, &[]),
        ("a limited team", |s| s.team = "tight".into(), &[("n-2", 2)]),
    ];
    for (name, change, expected) in cases {
        let mut core = core();
        machines(&mut core, fleet);
        let mut job = spec(4);
        job.cpus = 4.0;
        change(&mut job);
        submit(&mut core, &job, 10);
        let expected: Vec<(String, usize)> =
            expected.iter().map(|(m, n)| ((*m).to_owned(), *n)).collect();
        assert_eq!(placed(&core, &job.id), expected, "{name}");
    }
}

#[test]
fn only_lower_ranks_give_way_and_only_in_need() {
    // (rank that runs, rank that comes, how many give way)
    for (runs, comes, stopped) in [
        (Rank::Standard, Rank::Urgent, 1),
        (Rank::BestEffort, Rank::Standard, 1),
        (Rank::Urgent, Rank::Prod, 1),
        (Rank::Standard, Rank::Standard, 0),
        (Rank::Urgent, Rank::Standard, 0),
    ] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut first = spec(2);
        (first.cpus, first.rank) = (4.0, runs);
        submit(&mut core, &first, 10);
        let mut second = spec(1);
        (second.id, second.cpus, second.rank) = ("req-2".into(), 4.0, comes);
        second.due_s = Some(4.0);
        submit(&mut core, &second, 11);
        let unwanted = |core: &Core| {
            core.parts["one"].machines["n-1"].slots.values().filter(|s| !s.wanted).count()
        };
        assert_eq!(unwanted(&core), 0, "{runs:?} {comes:?}: at once");
        core.now = NOW + quartzlever_wire::SECOND;
        if let Some(part) = core.parts.get_mut("one") {
            part.place_wanted = true;
        }
        core.place("one");
        assert_eq!(unwanted(&core), stopped, "{runs:?} {comes:?}: when it presses");
    }
}

#[test]
fn a_team_stays_within_its_limit_whatever_may_be_on_machines() {
    // (barrier open, an attempt of a forgotten job about, how many of eight tasks start that take
    // 2 processors each of the 8 allowed)
    for (open, stranger, starts) in [(true, false, 4), (false, false, 0), (true, true, 0)] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false), ("n-2", "m", "a", false)]);
        if let Some(part) = core.parts.get_mut("one") {
            part.barrier_open = open;
            if stranger {
                let mut slot = crate::machine::Slot::new(&spec(1), NOW);
                slot.team = String::new();
                let task = quartzlever_wire::workers::TaskId { job: "req-9".into(), index: 0 };
                if let Some(machine) = part.machines.get_mut("n-1") {
                    machine.slots.insert((task, 1), slot);
                }
            }
        }
        let mut job = spec(8);
        job.team = "tight".into();
        submit(&mut core, &job, 10);
        let count: usize = placed(&core, &job.id).iter().map(|(_, n)| n).sum();
        assert_eq!(count, starts, "open {open} stranger {stranger}");
    }
}

#[test]
fn a_failed_steal_doubles_the_wait_and_a_success_resets_it() {
    use quartzlever_wire::SECOND;
    // (steals that fail one after the other, seconds until the next)
    for (failures, wait) in [(1, 1), (2, 2), (3, 4), (5, 16), (9, 16)] {
        let mut core = core();
        for _ in 0..failures {
            core.steal_failed();
        }
        assert_eq!(core.steal_wait(), wait * SECOND, "{failures} failures");
        core.steal_succeeded();
        core.steal_failed();
        assert_eq!(core.steal_wait(), SECOND, "after a success");
    }
}

#[test]
fn the_first_tasks_of_a_job_that_begins_late_are_left_alone() {
    use quartzlever_wire::SECOND;
    // (seconds that the standard job has waited, tasks of it on the machine, whether one of it is
    // done; how many give way to an urgent task)
    for (age, tasks, done, stopped) in
        [(10, 2, false, 1), (160, 2, false, 0), (160, 2, true, 1), (160, 5, false, 1)]
    {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut first = spec(tasks + u32::from(done));
        (first.cpus, first.rank) = (8.0 / f64::from(tasks), Rank::Standard);
        submit(&mut core, &first, 10);
        if let Some(job) = core.parts.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.since = NOW - age * SECOND;
            if done {
                job.ready = Ranges::default();
                job.finished.insert(tasks);
            }
        }
        let mut second = spec(1);
        (second.id, second.cpus, second.rank) = ("req-2".into(), 1.0, Rank::Urgent);
        second.due_s = Some(4.0);
        submit(&mut core, &second, 11);
        core.now = NOW + SECOND;
        if let Some(part) = core.parts.get_mut("one") {
            part.place_wanted = true;
        }
        core.place("one");
        let slots = core.parts["one"].machines["n-1"].slots.values();
        assert_eq!(slots.filter(|s| !s.wanted).count(), stopped, "{age} {tasks} {done}");
    }
}

#[test]
fn a_machine_is_kept_for_a_job_that_waits_too_long() {
    use quartzlever_wire::SECOND;
    // (seconds that a job of 8 processors a task has waited while 4 are free; what a later urgent
    // one of 4 gets, and what the old one gets when the machine is free)
    for (age, small, large) in [(10, 1, 0), (160, 0, 1)] {
        let mut core = core();
        machines(&mut core, &[("n-1", "m", "a", false)]);
        let mut running = spec(1);
        (running.id, running.cpus, running.rank) = ("req-7".into(), 4.0, Rank::Prod);
        submit(&mut core, &running, 10);
        let mut old = spec(2);
        old.cpus = 8.0;
        submit(&mut core, &old, 11);
        if let Some(job) = core.parts.get_mut("one").and_then(|p| p.jobs.get_mut("req-1")) {
            job.since = NOW - age * SECOND;
        }
        let mut fresh = spec(1);
        (fresh.id, fresh.cpus, fresh.rank) = ("req-2".into(), 4.0, Rank::Urgent);
        submit(&mut core, &fresh, 12);
        assert_eq!(placed(&core, "req-2").len(), small, "{age}: takes the room");
        // The first task ends.
        if let Some(part) = core.parts.get_mut("one") {
            part.drop_job("req-7", NOW);
            part.empty_machine("n-1");
            part.place_wanted = true;
        }
        core.now += SECOND;
        core.place("one");
        assert_eq!(placed(&core, "req-1").len(), large, "{age}: begins");
    }
}
