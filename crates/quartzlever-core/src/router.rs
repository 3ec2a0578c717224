//! The one owner of all state of a process.

mod awaited;
mod heartbeats;
mod job_records;
mod leadership;
mod lookups;
mod ownership;
mod reachability;
mod store_changes;
mod user_requests;

use std::collections::BTreeMap;

use quartzlever_wire::cloud::CloudReply;
use quartzlever_wire::peers::PeerAnswer;
use quartzlever_wire::store::StoreReply;
use quartzlever_wire::workers::WorkerReply;
use quartzlever_wire::{CallError, Micros, SECOND};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::calls::{PendingCloudCall, PendingPeerCall, PendingStoreCall, PendingWorkerCall};
use crate::config::{Config, WorkerTimes};
use crate::events::LogEvent;
use crate::jobs::pages::Pages;
use crate::jobs::user_requests::UserRequests;
use crate::leadership::connectivity::StoreConnectivity;
use crate::leadership::lease::Lease;
use crate::leadership::partition_keys::PartitionKeys;
use crate::leadership::reachability::Reachability;
use crate::machines::ownership::Ownership;
use crate::machines::presence::PresenceChecks;
use crate::messages::{Answer, CallId, Command, Effect, LogLevel, RequestId};
use crate::outbox::Outbox;
use crate::partition::{Partition, Types};
use crate::scheduling::RunTimes;
use crate::stealing::Stealing;
use crate::store::cache::Cache;
use crate::store::limits::StoreLimits;
use crate::store::listing::Listing;
use crate::store::lookups::Lookups;
use crate::store::recent_jobs::{LatestRevisions, TerminalJobs};
use crate::store::watch::Watch;
use crate::store::write_budget::WriteBudget;
use crate::upgrade::Cluster;

/// All state of a controller.
pub struct Core {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    /// Tells this process from earlier ones of the same node.
    pub(crate) process: u64,
    pub(crate) now: Micros,
    /// Time of day minus steady time.
    pub(crate) wall_offset: Option<i64>,
    /// Calls under way, answers, and everything else that leaves.
    pub(crate) outbox: Outbox,
    pub(crate) lease: Lease,
    pub(crate) cache: Cache,
    pub(crate) listing: Listing,
    pub(crate) watch: Watch,
    pub(crate) partitions: BTreeMap<String, Partition>,
    pub(crate) store_connectivity: StoreConnectivity,
    pub(crate) cluster: Cluster,
    pub(crate) pages: Pages,
    /// What the store takes, as far as is known.
    pub(crate) limits: StoreLimits,
    pub(crate) reachability: Reachability,
    pub(crate) write_budget: WriteBudget,
    pub(crate) ownership: Ownership,
    lookups: Lookups,
    pub(crate) presence_checks: PresenceChecks,
    pub(crate) partition_keys: PartitionKeys,
    pub(crate) types: Option<Types>,
    pub(crate) cloud: crate::autoscaling::Cloud,
    pub(crate) terminal_jobs: TerminalJobs,
    pub(crate) mod_revisions: LatestRevisions,
    user_requests: UserRequests,
    pub(crate) stealing: Stealing,
    pub(crate) run_times: RunTimes,
    /// This node's part of the limits of the store and the cloud.
    share: f64,
    /// When all machines are looked at next, and all jobs for what is to be written.
    next_machine_check_at: Micros,
    next_job_write_at: Micros,
    next_group_write_at: Micros,
}

/// Shortest time between two looks at all machines, at all jobs for what is to be written, and at
/// the blocks of machines that are to change.
const CHECK_INTERVAL: Micros = SECOND;
const JOB_WRITE_INTERVAL: Micros = SECOND / 5;
const GROUP_WRITE_INTERVAL: Micros = SECOND / 10;
/// Why everybody is turned away until the cache is there.
pub(crate) const STARTING: &str = "starting";

impl Core {
    /// A controller that has just started. `seed` must differ between processes of one node.
    pub fn new(config: Config, seed: u64, now: Micros) -> Self {
        let mut core = Core {
            stealing: Stealing::new(&config),
            rng: SmallRng::seed_from_u64(seed),
            process: seed,
            now,
            wall_offset: None,
            outbox: Outbox::new(config.log_level, now),
            lease: Lease::default(),
            cache: Cache::default(),
            listing: Listing::default(),
            watch: Watch::default(),
            partitions: BTreeMap::new(),
            store_connectivity: StoreConnectivity::new(now),
            cluster: Cluster::default(),
            pages: Pages::default(),
            limits: StoreLimits::new(&config),
            reachability: Reachability::new(now),
            write_budget: WriteBudget::new(now),
            ownership: Ownership::default(),
            lookups: Lookups::default(),
            presence_checks: PresenceChecks::default(),
            partition_keys: PartitionKeys::new(&config.node, seed, now),
            types: None,
            cloud: crate::autoscaling::Cloud::default(),
            terminal_jobs: TerminalJobs::default(),
            mod_revisions: LatestRevisions::default(),
            user_requests: UserRequests::default(),
            run_times: RunTimes::default(),
            share: 0.0,
            next_machine_check_at: 0,
            next_job_write_at: 0,
            next_group_write_at: 0,
            config,
        };
        if !core.config.leases_meet_cancel() {
            let WorkerTimes { cancel, lease, .. } = core.config.workers;
            core.outbox.log(LogLevel::Error, || LogEvent::CancelTooShortForLease { cancel, lease });
        }
        core
    }

    /// Works through a batch and says what is to be done.
    pub fn step(&mut self, now: Micros, mut commands: Vec<Command>) -> Vec<Effect> {
        self.now = self.now.max(now);
        // A node without a partition changes little, and those with partitions share what there is.
        let leaders = self.cache.leaders();
        let sharers =
            leaders.max(if self.partitions.is_empty() { self.config.nodes.len() } else { 1 });
        self.write_budget.refill(self.now, self.config.store_write_rps, sharers);
        let share = self.config.rate_limit_share(leaders, !self.partitions.is_empty());
        if share != self.share {
            self.share = share;
            self.outbox.set_rate_share(share);
        }
        // What workers and users say concerns no partition's leader.
        let concerns_leaders = commands.is_empty()
            || commands.iter().any(|c| {
                !matches!(
                    c,
                    Command::Heartbeat { .. }
                        | Command::WorkerReply { .. }
                        | Command::Lookup { .. }
                        | Command::Submit { .. }
                )
            });
        commands.sort_by_key(Command::class);
        for command in commands {
            self.dispatch(command);
        }
        self.lease.poll(self.now, &self.config, &mut self.outbox);
        self.store_connectivity.poll(self.now, &self.config, &mut self.outbox);
        self.poll_cache();
        self.poll_cluster_version();
        self.poll_reachability();
        if concerns_leaders {
            self.poll_leadership();
        }
        self.decide();
        self.poll_lookups();
        self.outbox.take_effects()
    }

    fn dispatch(&mut self, command: Command) {
        match command {
            Command::Submit { id, spec } => self.submit(id, spec),
            Command::Lookup { id, job } => self.lookup(id, job),
            Command::Cancel { id, job } => self.cancel(id, job),
            Command::Ready { id } => self.ready(id),
            Command::Heartbeat { id, heartbeat } => self.handle_heartbeat(id, heartbeat),
            Command::PeerRequest { id, request } => self.peer_request(id, request),
            Command::StoreReply { call_id, result } => {
                if result.is_ok() {
                    self.store_connectivity.store_replied(self.now, &mut self.outbox);
                }
                if let Some(size) = self.outbox.take_transaction_size(call_id) {
                    let (budget, outbox) = (&mut self.write_budget, &mut self.outbox);
                    self.limits.learn(self.now, size, &result, budget, outbox);
                }
                if let Some(waiting) = self.outbox.take_store_call(call_id) {
                    self.dispatch_store_reply(waiting, result);
                }
            }
            Command::CloudReply { call_id, result } => {
                if let Some(work) = self.outbox.take_cloud_call(call_id) {
                    self.dispatch_cloud_reply(work, result);
                }
            }
            Command::WorkerReply { call_id, result } => {
                if let Some(wait) = self.outbox.take_worker_call(call_id) {
                    self.dispatch_worker_reply(call_id, wait, result);
                }
            }
            Command::PeerReply { call_id, result } => {
                if let Some(work) = self.outbox.take_peer_call(call_id) {
                    self.dispatch_peer_reply(work, result);
                }
            }
            Command::Tick { wall, behind } => {
                if behind {
                    self.reachability.restart_listening(self.now);
                }
                self.wall_offset = Some(wall as i64 - self.now as i64);
            }
        }
    }

    /// Shortest time between two calls of a kind that may use this share of all requests.
    pub(crate) fn min_interval_for(&self, share: f64) -> Micros {
        let rate = self.config.store_rps * share * self.share;
        quartzlever_wire::micros_from_secs(1.0 / rate.max(0.1))
    }

    /// The present time of day.
    pub(crate) fn wall(&self) -> Micros {
        (self.now as i64 + self.wall_offset.unwrap_or(0)).max(0) as Micros
    }

    /// Whether nothing of the service is known yet, so that every worker and every health check is
    /// turned away.
    pub fn starting(&self) -> bool {
        !self.cache.loaded() && self.partitions.is_empty()
    }

    /// Whether something is to be placed at a certain time, or as soon as may be.
    pub fn awaits_time(&self) -> bool {
        self.partitions.values().any(|p| p.placement_wanted || p.placement_due_at.is_some())
    }

    /// So many were turned away for that reason without asking.
    pub fn count_rejected(&mut self, count: u32) {
        self.outbox.count_rejected(503, STARTING, count);
    }

    fn ready(&mut self, id: RequestId) {
        if self.is_ready() {
            self.outbox.answer(id, 200, Answer::Ready { ready: true });
        } else {
            self.outbox.reject_retryable(id, 503, STARTING);
        }
    }

    /// Whether this node can take requests.
    pub fn is_ready(&self) -> bool {
        // A node without a partition can still look up, cancel and accept into another's partition; it is
        // of no use only while it has no picture of the service at all.
        // One that alone is refused by the store can do nothing for users whom others
        // could serve; in an outage all go on, since nobody could do better.
        let alone = self.store_connectivity.is_isolated(self.now);
        self.cache.loaded() && self.wall_offset.is_some() && !alone
    }

    fn dispatch_store_reply(
        &mut self,
        waiting: PendingStoreCall,
        result: Result<StoreReply, CallError>,
    ) {
        match waiting {
            PendingStoreCall::Ignored => {}
            PendingStoreCall::Grant { sent } => self.lease_granted(sent, &result),
            PendingStoreCall::Renew { sent, lease } => self.lease_renewed(sent, lease, &result),
            PendingStoreCall::Acquire { partition, lease } => {
                self.acquired(&partition, lease, &result)
            }
            PendingStoreCall::Release { partition, mod_revision } => {
                self.released(&partition, mod_revision, &result)
            }
            PendingStoreCall::List { listing, section } => {
                self.page_listed(listing, section, result)
            }
            PendingStoreCall::Cluster { write, lease } => {
                self.cluster_answered(write, lease, &result)
            }
            PendingStoreCall::SplitGroup { key, small, is_complete } => {
                self.group_split(&key, small, is_complete, &result);
            }
            PendingStoreCall::Watch { number, sent } => self.watched(number, sent, result),
            PendingStoreCall::Revision { asked, sent } => self.revision_read(asked, sent, result),
            PendingStoreCall::ReadCatalogue => self.catalogue_read(result),
            PendingStoreCall::ReadActiveJob { purpose } => self.active_job_read(purpose, result),
            PendingStoreCall::ReadTerminalJob { purpose } => {
                self.terminal_job_read(purpose, result)
            }
            PendingStoreCall::Accept { id, record } => self.accept_answered(id, *record, &result),
            PendingStoreCall::Cancel { id, job, done, tries } => {
                self.cancel_answered(id, job, done, tries, &result);
            }
            PendingStoreCall::JobWrite(write) => self.job_written(*write, result),
            PendingStoreCall::Reread { partition, term, job } => {
                self.active_job_reread(&partition, term, &job, result)
            }
            PendingStoreCall::RereadTerminalJob { partition, term, job } => {
                self.terminal_job_reread(&partition, term, &job, result)
            }
            PendingStoreCall::StealWrite { partition, term, request, moved } => {
                self.steal_written(&partition, term, request, moved, result);
            }
            PendingStoreCall::WriteGroup(write) => self.group_written(write, &result),
            PendingStoreCall::ReadGroup { key } => self.group_read(&key, result),
        }
    }

    fn dispatch_cloud_reply(
        &mut self,
        work: PendingCloudCall,
        result: Result<CloudReply, CallError>,
    ) {
        self.cloud_replied(work, result);
    }

    fn dispatch_worker_reply(
        &mut self,
        call_id: CallId,
        wait: PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        self.worker_replied(call_id, wait, result);
    }

    fn dispatch_peer_reply(
        &mut self,
        work: PendingPeerCall,
        result: Result<PeerAnswer, CallError>,
    ) {
        self.peer_replied(work, result);
    }

    /// Ends a partition's recovery once every machine is proven.
    pub(crate) fn complete_recovery(&mut self, name: &str) {
        if let Some(partition) = self.partitions.get_mut(name)
            && partition.try_complete_recovery()
        {
            let duration = self.now - partition.acquired;
            self.outbox.log(LogLevel::Info, || LogEvent::RecoveryCompleted {
                partition: name.to_owned(),
                duration,
            });
        }
    }

    /// All decisions of this moment.
    fn decide(&mut self) {
        let names: Vec<String> = self.partitions.keys().cloned().collect();
        let look = self.now >= self.next_machine_check_at;
        if look {
            self.next_machine_check_at = self.now + CHECK_INTERVAL;
        }
        for name in &names {
            if look {
                self.check_machines(name);
            }
            self.complete_recovery(name);
            let events = self.partitions.get_mut(name).map(|p| std::mem::take(&mut p.log_events));
            for event in events.into_iter().flatten() {
                self.outbox.log(event.level(), || event);
            }
            if self.may_act() {
                self.place(name);
                self.call_workers(name);
            }
        }
        if self.now >= self.next_job_write_at {
            self.next_job_write_at = self.now + JOB_WRITE_INTERVAL;
            self.write_jobs();
            self.remove_leftover_pages();
        }
        if self.now >= self.next_group_write_at {
            self.next_group_write_at = self.now + GROUP_WRITE_INTERVAL;
            self.write_groups();
        }
        self.poll_autoscaling();
        self.notify_saturated();
        self.poll_stealing();
        self.outbox.log_rejected(self.now);
    }

    pub(crate) fn partition_at_term(&mut self, name: &str, term: u64) -> Option<&mut Partition> {
        self.partitions.get_mut(name).filter(|p| p.term == term)
    }
}

#[cfg(test)]
mod tests;
