//! Submissions: which partition a new job enters, whether it is accepted, and the transaction that
//! accepts it.
//!
//! Pure: the steps of the router send what is planned here. A job is accepted by one transaction, on
//! condition that it is neither live nor over, so that a repeated submission is an idempotent request,
//! and on condition of the term of the partition that it enters, so that whoever leads it then hears
//! of it.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    ACTIVE_JOB_PREFIX, ActiveJobRecord, PARTITION_PREFIX, Share, StoreReply, TERMINAL_JOB_PREFIX,
    Txn,
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

/// Why a job is not accepted, unless it is known already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// It can never run.
    Permanent,
    /// That cannot be decided yet.
    Temporary,
}

/// Whether a job is refused; `services` says whether all controllers know services.
pub(crate) fn refusal(feasibility: Feasibility, spec: &JobSpec, services: bool) -> Option<Refusal> {
    match feasibility {
        // An earlier version could not read its record.
        Feasibility::Fits if spec.is_service() && !services => Some(Refusal::Temporary),
        Feasibility::Fits => None,
        Feasibility::Never => Some(Refusal::Permanent),
        Feasibility::Unsure => Some(Refusal::Temporary),
    }
}

/// The partition that a new job enters, with its term; 0 if nobody leads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub partition: String,
    pub term: u64,
}

/// A partition that this process leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LedPartition<'a> {
    pub name: &'a str,
    pub term: u64,
}

/// What the choice of the partition that a new job enters rests on.
pub(crate) struct EntryChoice<'a, Leads> {
    pub config: &'a Config,
    pub cache: &'a Cache,
    /// The partition here that new jobs enter first; none if this process may not act for any.
    pub own: Option<LedPartition<'a>>,
    /// Whether this process leads a partition.
    pub leads: Leads,
}

impl<Leads: Fn(&str) -> bool> EntryChoice<'_, Leads> {
    /// The partition that a job enters. None if no partition is known to have a leader.
    pub fn choose(&self, spec: &JobSpec, rng: &mut SmallRng) -> Option<Entry> {
        if self.config.is_team_limited(&spec.team) {
            let partition = self.config.partition_of_team(&spec.team);
            let term = self.cache.partition(partition).map_or(0, |held| held.mod_revision);
            return Some(Entry { partition: partition.to_owned(), term });
        }
        if let Some(LedPartition { name, term }) = self.own {
            return Some(
                self.less_loaded(name)
                    .unwrap_or_else(|| Entry { partition: name.to_owned(), term }),
            );
        }
        // A node without a partition, such as one that is back and waits for its own, accepts into
        // another's: the write has that partition's term as its condition, and the watch tells the leader.
        let held: Vec<_> = self.cache.partitions().iter().collect();
        held.choose(rng)
            .map(|(name, held)| Entry { partition: (*name).clone(), term: held.mod_revision })
    }

    /// A partition of another node that a new job enters instead of this one, which has more tasks than
    /// its processor could serve machines for, while the other has less than half. Each task
    /// brings a machine at the most, and a partition never gives machines away: of three controllers one
    /// had two thirds of them and went under, with the others at a quarter of their share.
    fn less_loaded(&self, own: &str) -> Option<Entry> {
        let others = || {
            self.cache.partitions().iter().filter(|(name, held)| {
                *name != own && held.record.node == **name && !(self.leads)(name)
            })
        };
        others().next()?;
        let mut tasks: BTreeMap<&str, usize> = BTreeMap::new();
        for known in self.cache.active_jobs().values() {
            for share in &known.record.shares {
                // What is finished counts until the job is over: nothing hangs on it.
                *tasks.entry(share.partition.as_str()).or_default() += share.tasks.len() as usize;
            }
        }
        let of = |partition: &str| tasks.get(partition).copied().unwrap_or(0);
        if of(own) <= self.config.machine_capacity {
            return None;
        }
        let (name, held) = others().min_by_key(|(name, _)| of(name))?;
        (of(name) < of(own) / 2).then(|| Entry { partition: name.clone(), term: held.mod_revision })
    }
}

/// The transaction that accepts a job, and the record that it writes.
#[derive(Debug)]
pub(crate) struct Acceptance {
    pub txn: Txn,
    pub record: Box<ActiveJobRecord>,
}

/// Plans the acceptance of a job into a partition. None if its record is larger than a value may be.
pub(crate) fn plan_acceptance(
    spec: &JobSpec,
    entry: Entry,
    wall: Micros,
    value_bytes: usize,
) -> Option<Acceptance> {
    let Entry { partition, term } = entry;
    let fence = (term > 0).then(|| format!("{PARTITION_PREFIX}{partition}"));
    let share = Share { partition, term, tasks: Ranges::first(spec.tasks) };
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

/// What became of the acceptance of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    Committed {
        mod_revision: u64,
    },
    /// The job is live or over: the submission is a repeated one.
    Known,
    /// The partition has another leader than at the choice.
    PartitionChanged,
    /// It was not carried out, or may not have been.
    Failed,
}

impl AcceptOutcome {
    /// The outcome by the store's answer.
    pub fn of(result: &Result<StoreReply, CallError>) -> Self {
        match result {
            Ok(StoreReply::Committed(mod_revision)) => {
                AcceptOutcome::Committed { mod_revision: *mod_revision }
            }
            Ok(StoreReply::Conflict(failed)) => {
                let known = failed.iter().any(|k| {
                    k.starts_with(ACTIVE_JOB_PREFIX) || k.starts_with(TERMINAL_JOB_PREFIX)
                });
                if known { AcceptOutcome::Known } else { AcceptOutcome::PartitionChanged }
            }
            _ => AcceptOutcome::Failed,
        }
    }
}

#[cfg(test)]
mod tests;
