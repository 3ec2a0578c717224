//! A machine as its part knows it: its session, its reports, and the attempts that may be on it.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::Micros;
use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::state::HostRecord;
use quartzlever_wire::users::{JobSpec, Rank};
use quartzlever_wire::workers::{Cause, Order, Report, TaskId, TaskPhase, TaskReport};

use crate::failures::MachineFailures;
use crate::fleet::ReturnReason;
use crate::messages::Token;

/// Amounts of a machine, or what a task takes of one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amounts {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

impl Amounts {
    pub fn of_job(spec: &JobSpec) -> Self {
        Amounts { cpus: spec.cpus, gpus: spec.gpus, ram_gb: spec.ram_gb }
    }

    pub fn of_type(kind: &MachineType) -> Self {
        Amounts { cpus: kind.cpus, gpus: kind.gpus, ram_gb: kind.ram_gb }
    }

    pub fn fits(&self, need: &Amounts) -> bool {
        const SLACK: f64 = 1e-9;
        self.cpus + SLACK >= need.cpus
            && self.gpus + SLACK >= need.gpus
            && self.ram_gb + SLACK >= need.ram_gb
    }

    pub fn take(&mut self, need: &Amounts) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.ram_gb -= need.ram_gb;
    }

    pub fn give(&mut self, need: &Amounts) {
        self.cpus += need.cpus;
        self.gpus += need.gpus;
        self.ram_gb += need.ram_gb;
    }

    /// How many tasks of `need` fit.
    pub fn count(&self, need: &Amounts) -> u32 {
        let by = |have: f64, want: f64| if want > 0.0 { have / want + 1e-9 } else { 1e6 };
        let most = by(self.cpus, need.cpus)
            .min(by(self.gpus, need.gpus))
            .min(by(self.ram_gb, need.ram_gb));
        most.max(0.0) as u32
    }
}

/// What became of the last direct call that carried an attempt's `run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direct {
    /// None was made, or it was answered.
    Settled,
    InFlight,
    /// It was given up and may still arrive, minutes late. Such an attempt is never cleared in
    /// this session: a cleared attempt would be started again by the late command.
    Doubtful,
}

/// So many reports in a row without a sign of what answers said show a machine that hears nothing.
const DEAF_REPORTS: u32 = 2;

/// An attempt that is on a machine, or may be.
#[derive(Clone, Debug)]
pub struct Slot {
    pub need: Amounts,
    pub rank: Rank,
    /// Team and class of the job; empty for an attempt of a job that is not known here.
    pub team: String,
    pub class: String,
    pub image: String,
    pub expect: Micros,
    /// When the command was first given, or the attempt first seen.
    pub since: Micros,
    /// When it was first reported running.
    pub running_since: Option<Micros>,
    pub phase: Option<TaskPhase>,
    pub cause: Option<Cause>,
    pub wanted: bool,
    pub leeway_s: f64,
    pub direct: Direct,
    /// The answer to a report carries its `run`, and no later report has come: the answer may
    /// still be under way. Answers and direct commands go by different connections, so that a
    /// late answer would start the attempt again if it were killed and cleared meanwhile.
    pub in_answer: bool,
    /// Its end has been taken account of.
    pub settled: bool,
    /// The command was handed to the worker's address at least once.
    pub sent: bool,
    /// It is idle-time work that saves its progress when it is stopped, so that it loses next to nothing.
    pub yields: bool,
    /// It is a replica of a service.
    pub service: bool,
    /// Since when its job may have been over, at the earliest.
    pub over_since: Option<Micros>,
    /// Its start need not be told by a call: the answer to the next report is soon enough.
    pub patient: bool,
    pub kill_sent: Option<Micros>,
}

impl Slot {
    pub fn exited(&self) -> bool {
        self.phase == Some(TaskPhase::Exited)
    }
}

/// Room that is being made on a machine for work of a rank: work of lower rank stays out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomInTheMaking {
    pub rank: Rank,
    pub until: Micros,
}

/// Names an attempt on a machine.
pub type SlotKey = (TaskId, u64);

/// A claimed machine of a part.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub record: HostRecord,
    pub session: u64,
    pub tick: u64,
    /// It has shown or accepted this term's baton: no command of an earlier holder has any
    /// effect on it now.
    pub fenced: bool,
    /// Nothing that an earlier holder started is on it without our knowing.
    pub proven: bool,
    /// Last newer report of any kind.
    pub heard: Micros,
    /// Last time a report was answered 200; the worker's lease counts from before that.
    pub answered: Micros,
    pub idle_since: Option<Micros>,
    /// The cloud takes it away at about this time.
    pub warned_until: Option<Micros>,
    pub slots: BTreeMap<SlotKey, Slot>,
    /// What is free, kept by `Partition::refresh`.
    pub room: Amounts,
    /// Direct calls in a row that brought nothing, with nothing heard since.
    pub failed_calls: u32,
    /// Reports in a row that show no sign of what earlier answers said, and since when.
    pub unheeded: u32,
    pub unheeded_since: Micros,
    /// When something came that may be a late copy: a report without this term's baton.
    pub hinted: Micros,
    /// Images that tasks have run from, so that the machine has them.
    pub images: BTreeSet<String>,
    /// A direct call in flight.
    pub call: Option<Token>,
    pub no_call_before: Micros,
    pub returning: bool,
    pub return_wanted: Option<ReturnReason>,
    /// Tasks that failed here since the last one that was done.
    pub failures: MachineFailures,
    /// Room that is being made here by stopping others.
    pub making_room: Option<RoomInTheMaking>,
    /// Run times of its last tasks against what their class usually takes, in thousandths.
    pub pace: Vec<u32>,
}

impl Machine {
    pub fn new(name: &str, record: HostRecord, now: Micros) -> Self {
        Machine {
            name: name.to_owned(),
            record,
            session: 0,
            tick: 0,
            fenced: false,
            proven: false,
            heard: now,
            answered: now,
            idle_since: Some(now),
            warned_until: None,
            slots: BTreeMap::new(),
            room: Amounts::default(),
            failed_calls: 0,
            unheeded: 0,
            unheeded_since: 0,
            hinted: 0,
            images: BTreeSet::new(),
            call: None,
            no_call_before: 0,
            returning: false,
            return_wanted: None,
            failures: MachineFailures::default(),
            making_room: None,
            pace: Vec::new(),
        }
    }

    /// Whether the machine may get new tasks, as long as it is heard of.
    pub fn usable(&self) -> bool {
        self.fenced
            && self.session > 0
            && !self.returning
            && self.return_wanted.is_none()
            && self.warned_until.is_none()
            && self.failed_calls == 0
            && self.unheeded == 0
    }

    /// Whether replicas of services are to run here.
    pub fn serves(&self) -> bool {
        self.slots.values().any(|s| s.service && s.wanted && !s.exited())
    }

    /// Whether an attempt that must not be here is not proven gone although it has had that long:
    /// its job is over, or its `run` may still arrive and nothing will ever tell.
    pub fn outlasts_job(&self, now: Micros, within: Micros) -> bool {
        self.slots.values().filter(|s| !s.wanted && !s.exited()).any(|s| {
            let lost = s.phase.is_none() && s.direct == Direct::Doubtful;
            let since = s.over_since.or(lost.then_some(s.since));
            since.is_some_and(|t| now.saturating_sub(t) > within)
        })
    }

    /// Whether it reports but heeds nothing that it is told.
    pub fn deaf(&self, now: Micros, report: Micros) -> bool {
        self.unheeded >= DEAF_REPORTS && now.saturating_sub(self.unheeded_since) >= report
    }

    /// Whether a newer report of this machine's own accord tells nothing that is not known: most
    /// do, and cost no more than to be heard.
    pub fn shows_nothing_new(&self, report: &Report) -> bool {
        let known = |t: &TaskReport| {
            let slot = self.slots.iter().find(|(key, _)| key.1 == t.attempt && key.0 == t.task);
            slot.is_some_and(|(_, s)| {
                s.phase == Some(t.phase)
                    && s.cause == t.cause
                    && (t.phase != TaskPhase::Exited || s.settled)
                    && (t.phase != TaskPhase::Running || s.running_since.is_some())
            })
        };
        self.usable()
            && self.proven
            && report.session == self.session
            && report.warning_s.is_none()
            && report.address == self.record.address
            && report.tasks.len() == self.slots.len()
            && report.tasks.iter().all(known)
            && !self.urgent_orders()
    }

    /// Takes account of whether a newer report shows that answers arrive: a worker has one report
    /// under way at a time, so it has seen the answer to the one before, or never will.
    pub fn heed(&mut self, report: &Report, now: Micros) {
        let missing =
            self.slots.iter().any(|(key, s)| s.in_answer && s.wanted && !report.lists(key));
        // A session that ran out although it was answered all the time.
        let lapsed = report.session > self.session && self.session > 0 && self.unheeded > 0;
        if missing || lapsed {
            if self.unheeded == 0 {
                self.unheeded_since = now;
            }
            self.unheeded += 1;
        } else {
            self.unheeded = 0;
        }
    }

    /// Whether the machine may get new tasks.
    pub fn open(&self, now: Micros, quiet: Micros) -> bool {
        self.usable() && now.saturating_sub(self.heard) < quiet
    }

    /// Whether room is being made here for more urgent work than of this rank.
    pub fn keeps_room_from(&self, rank: Rank, now: Micros) -> bool {
        self.making_room.is_some_and(|room| now < room.until && rank > room.rank)
    }

    /// What is free, counting everything that may be on the machine as taken.
    pub fn free(&self, total: Amounts) -> Amounts {
        let mut free = total;
        for slot in self.slots.values().filter(|s| !s.exited()) {
            free.take(&slot.need);
        }
        free
    }

    /// Whether an image is being fetched for a task.
    pub fn pulls(&self, image: &str) -> bool {
        let waits = |s: &Slot| matches!(s.phase, None | Some(TaskPhase::Pulling));
        self.slots.values().any(|s| waits(s) && s.image == image)
    }

    pub fn busy(&self) -> bool {
        self.slots.values().any(|s| !s.exited())
    }

    /// Whether anything waits to be said to the worker that is worth a call of its own.
    pub fn urgent_orders(&self) -> bool {
        self.slots
            .values()
            .filter(|s| !s.exited())
            .any(|s| if s.wanted { !s.sent && !s.patient } else { s.kill_sent.is_none() })
    }

    /// The commands that bring the worker to what is wanted. `clearable` says whether an
    /// exited attempt is accounted for.
    pub fn orders(&self, clearable: impl Fn(&SlotKey, &Slot) -> bool) -> Vec<Order> {
        const MOST: usize = 200;
        let mut orders = Vec::new();
        for (key, slot) in &self.slots {
            let (task, attempt) = (key.0.clone(), key.1);
            if slot.exited() {
                let spent = slot.direct == Direct::Settled && !slot.in_answer;
                if slot.settled && spent && clearable(key, slot) {
                    orders.push(Order::Clear { task, attempt });
                }
            } else if !slot.wanted && slot.phase.is_some() {
                let saving = slot.phase == Some(TaskPhase::Saving) && slot.leeway_s > 0.0;
                if !saving {
                    orders.push(Order::Kill { task, attempt, leeway_s: slot.leeway_s });
                }
            }
        }
        for (key, slot) in &self.slots {
            // A `run` without effect may be repeated. An unwanted attempt that was never reported
            // is not: it leaves the table once a later report proves that it is not there.
            if slot.wanted && !slot.exited() && slot.phase.is_none() {
                orders.push(Order::Run { task: key.0.clone(), attempt: key.1 });
            }
        }
        // Whatever does not fit, what has to end goes first.
        orders.sort_by_key(|o| !matches!(o, Order::Kill { .. }));
        orders.truncate(MOST);
        orders
    }
}
