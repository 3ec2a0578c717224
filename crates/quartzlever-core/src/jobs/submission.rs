//! Submissions: which partition a new job enters, whether it is accepted, and the transaction that
//! accepts it.
//!
//! Pure functions; the router sends what is planned here. One transaction accepts a job. Its
//! conditions are that the job has neither an active record nor a final state, which makes a
//! repeated submission idempotent, and that the partition that it enters still has the expected
//! term, so that the leader of that term learns of the job.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, Share, StoreReply, TERMINAL_JOB_PREFIX, Txn,
};
use quartzlever_wire::users::JobSpec;
use quartzlever_wire::{CallError, Json, Micros, Ranges};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::config::Config;
use crate::jobs::feasibility::Feasibility;
use crate::jobs::records::terminal_job_key;
use crate::store::active_job_key;
use crate::store::cache::Cache;
use crate::store::partition_key;

/// Why a new job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The job can never run.
    Permanent,
    /// Whether the job can run cannot be decided yet.
    Temporary,
}

/// Returns why a job is refused, or `None` if it is accepted. `services` tells whether all
/// controllers support services.
pub(crate) fn refusal(feasibility: Feasibility, spec: &JobSpec, services: bool) -> Option<Refusal> {
    match feasibility {
        // A controller of an earlier version could not read the record of a service.
        Feasibility::Fits if spec.is_service() && !services => Some(Refusal::Temporary),
        Feasibility::Fits => None,
        Feasibility::Never => Some(Refusal::Permanent),
        Feasibility::Unknown => Some(Refusal::Temporary),
    }
}

/// The partition that a new job enters, and its term, which is 0 if the partition has no leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntryPartition {
    pub partition: String,
    pub term: u64,
}

/// A partition that this process leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedPartition<'a> {
    pub name: &'a str,
    pub term: u64,
}

/// The inputs for choosing the partition that a new job enters.
pub(crate) struct EntryChoice<'a, Leads> {
    pub config: &'a Config,
    pub cache: &'a Cache,
    /// The preferred partition of this process; `None` if it may not act for any.
    pub own: Option<LedPartition<'a>>,
    /// Reports whether this process leads the named partition.
    pub leads: Leads,
}

impl<Leads: Fn(&str) -> bool> EntryChoice<'_, Leads> {
    /// Returns the partition that a job enters, or `None` if no partition is known to have a
    /// leader.
    ///
    /// All jobs of a limited team enter the same partition, so that one leader enforces the limit.
    pub fn choose(&self, spec: &JobSpec, rng: &mut SmallRng) -> Option<EntryPartition> {
        if self.config.is_team_limited(&spec.team) {
            let partition = self.config.partition_of_team(&spec.team);
            let term = self.cache.partition(partition).map_or(0, |leader| leader.mod_revision);
            return Some(EntryPartition { partition: partition.to_owned(), term });
        }
        if let Some(LedPartition { name, term }) = self.own {
            return Some(
                self.less_loaded(name)
                    .unwrap_or_else(|| EntryPartition { partition: name.to_owned(), term }),
            );
        }
        // A node without a partition, such as a restarted one that waits to get its own back,
        // accepts jobs into the partition of another node: the write is conditional on that
        // partition's term, and its leader learns of the job by the watch.
        let led: Vec<_> = self.cache.partitions().iter().collect();
        led.choose(rng).map(|(name, leader)| EntryPartition {
            partition: (*name).clone(),
            term: leader.mod_revision,
        })
    }

    /// Returns the partition of another node that a new job enters instead of `own`: the one with
    /// the fewest tasks, if `own` has more tasks than its controller can serve machines
    /// (`machine_capacity`) and the other has less than half as many.
    ///
    /// Each task brings at most one machine, and machines are never transferred to another
    /// partition. Without this rule one of three controllers had two thirds of the machines and was
    /// overloaded while the others were at a quarter of their share.
    fn less_loaded(&self, own: &str) -> Option<EntryPartition> {
        let others = || {
            self.cache.partitions().iter().filter(|(name, leader)| {
                // Only partitions led by their own node, which has the same name as the partition.
                *name != own && leader.record.node == **name && !(self.leads)(name)
            })
        };
        others().next()?;
        let mut tasks: BTreeMap<&str, usize> = BTreeMap::new();
        for job in self.cache.active_jobs().values() {
            for share in &job.record.shares {
                // Finished tasks count until the job ends; this estimate need not be exact.
                *tasks.entry(share.partition.as_str()).or_default() += share.tasks.len() as usize;
            }
        }
        let tasks_of = |partition: &str| tasks.get(partition).copied().unwrap_or(0);
        if tasks_of(own) <= self.config.machine_capacity {
            return None;
        }
        let (name, leader) = others().min_by_key(|(name, _)| tasks_of(name))?;
        (tasks_of(name) < tasks_of(own) / 2)
            .then(|| EntryPartition { partition: name.clone(), term: leader.mod_revision })
    }
}

/// The transaction that accepts a job, with the record that it writes.
#[derive(Debug)]
pub(crate) struct Acceptance {
    pub txn: Txn,
    pub record: Box<ActiveJobRecord>,
}

/// Plans the acceptance of a job into a partition. Returns `None` if its record exceeds
/// `value_bytes`, the store's limit for a value.
pub(crate) fn plan_acceptance(
    spec: &JobSpec,
    entry: EntryPartition,
    wall: Micros,
    value_bytes: usize,
) -> Option<Acceptance> {
    let EntryPartition { partition, term } = entry;
    let fence = (term > 0).then(|| partition_key(&partition));
    let share = Share { partition, term, tasks: Ranges::up_to(spec.tasks) };
    let record = ActiveJobRecord::new(spec.clone(), wall, vec![share]);
    let value = Json::of(&record);
    if value.text().len() > value_bytes {
        return None;
    }
    let active_key = active_job_key(&spec.id);
    let mut txn = Txn::default()
        .if_mod_revision(active_key.clone(), 0)
        .if_mod_revision(terminal_job_key(&spec.id), 0);
    if let Some(partition_key) = fence {
        txn = txn.if_mod_revision(partition_key, term);
    }
    Some(Acceptance { txn: txn.write(active_key, value), record: Box::new(record) })
}

/// The outcome of the transaction that accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    Committed {
        mod_revision: u64,
    },
    /// The job has an active record or a final state: the submission is a repeated one.
    AlreadyExists,
    /// The term of the partition has changed since it was chosen.
    PartitionChanged,
    /// The transaction was not carried out, or its outcome is unknown.
    Failed,
}

impl AcceptOutcome {
    /// Derives the outcome from the store's reply.
    pub fn of(result: &Result<StoreReply, CallError>) -> Self {
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                AcceptOutcome::Committed { mod_revision: *mod_revision }
            }
            Ok(StoreReply::Conflict(failed)) => {
                let known = failed.iter().any(|k| {
                    k.starts_with(ACTIVE_JOB_PREFIX) || k.starts_with(TERMINAL_JOB_PREFIX)
                });
                if known { AcceptOutcome::AlreadyExists } else { AcceptOutcome::PartitionChanged }
            }
            _ => AcceptOutcome::Failed,
        }
    }
}

#[cfg(test)]
mod tests;
