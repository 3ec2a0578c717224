//! The controller's state machine: owns all state of the process and dispatches every command to
//! the component that it concerns.

mod heartbeats;
mod job_records;
mod leadership;
mod lookups;
mod ownership;
mod reachability;
mod store_changes;
mod unmet_conditions;
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
use crate::upgrade::ClusterVersions;
use crate::work::{Activity, WorkCounter};

/// Holds all state of a controller process; [`Core::step`] advances it.
pub struct Core {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    /// Distinguishes this process from earlier processes of the same node.
    pub(crate) process: u64,
    pub(crate) now: Micros,
    /// Time of day minus monotonic time; `None` until the first tick.
    pub(crate) wall_offset: Option<i64>,
    /// Calls in flight, answers, and all other effects.
    pub(crate) outbox: Outbox,
    pub(crate) lease: Lease,
    pub(crate) cache: Cache,
    pub(crate) listing: Listing,
    pub(crate) watch: Watch,
    pub(crate) partitions: BTreeMap<String, Partition>,
    pub(crate) store_connectivity: StoreConnectivity,
    pub(crate) cluster: ClusterVersions,
    pub(crate) pages: Pages,
    /// Known limits of the store on values and transactions.
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
    pub(crate) latest_revisions: LatestRevisions,
    user_requests: UserRequests,
    pub(crate) stealing: Stealing,
    pub(crate) run_times: RunTimes,
    /// This node's share of the rate limits of the store and the cloud.
    rate_share: f64,
    next_machine_check_at: Micros,
    next_job_write_at: Micros,
    next_group_write_at: Micros,
    /// Whether this process could act in the previous step.
    pub(crate) was_acting: bool,
    pub(crate) work: WorkCounter,
}

/// Minimum time between two checks of all machines.
const MACHINE_CHECK_INTERVAL: Micros = SECOND;
/// Minimum time between two scans of all jobs for due writes.
const JOB_WRITE_INTERVAL: Micros = SECOND / 5;
/// Minimum time between two scans of the machine groups for due writes.
const GROUP_WRITE_INTERVAL: Micros = SECOND / 10;
/// The reason for rejecting requests until the cache is loaded.
pub(crate) const STARTING: &str = "starting";

impl Core {
    /// Creates a controller that has just started. `seed` must differ between processes of one
    /// node.
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
            cluster: ClusterVersions::default(),
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
            latest_revisions: LatestRevisions::default(),
            user_requests: UserRequests::default(),
            run_times: RunTimes::default(),
            rate_share: 0.0,
            next_machine_check_at: 0,
            next_job_write_at: 0,
            next_group_write_at: 0,
            was_acting: false,
            work: WorkCounter::default(),
            config,
        };
        if !core.config.leases_meet_cancel() {
            let WorkerTimes { cancel, lease, .. } = core.config.workers;
            core.outbox.log(LogLevel::Error, || LogEvent::CancelTooShortForLease { cancel, lease });
        }
        core
    }

    /// Processes a batch of commands and returns the effects to carry out.
    pub fn step(&mut self, now: Micros, mut commands: Vec<Command>) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.work.begin_step();
        // Leaders divide the write limit among themselves. A node without a partition writes little
        // and takes an equal share among all nodes.
        let leaders = self.cache.leader_count();
        let sharers =
            leaders.max(if self.partitions.is_empty() { self.config.nodes.len() } else { 1 });
        self.write_budget.refill(self.now, self.config.store_write_rps, sharers);
        let share = self.config.rate_limit_share(leaders, !self.partitions.is_empty());
        if share != self.rate_share {
            self.rate_share = share;
            self.outbox.set_rate_share(share);
        }
        // Commands from workers and users do not change which process leads a partition.
        let affects_leadership = commands.is_empty()
            || commands.iter().any(|c| {
                !matches!(
                    c,
                    Command::Heartbeat { .. }
                        | Command::WorkerReply { .. }
                        | Command::Lookup { .. }
                        | Command::Submit { .. }
                )
            });
        commands.sort_by_key(Command::processing_rank);
        for command in commands {
            let _activity = self.work.begin(activity_of(&command));
            self.work.add(1);
            self.dispatch(command);
        }
        self.lease.poll(self.now, &self.config, &mut self.outbox);
        self.store_connectivity.poll(self.now, &self.config, &mut self.outbox);
        self.poll_cache();
        self.poll_cluster_version();
        self.poll_reachability();
        if affects_leadership {
            self.poll_leadership();
        }
        self.log_authority_change();
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
            Command::PeerRequest { id, request } => self.handle_peer_request(id, request),
            Command::StoreReply { call_id, result } => {
                if result.is_ok() {
                    self.store_connectivity.record_store_reply(self.now, &mut self.outbox);
                }
                if let Some(size) = self.outbox.take_transaction_size(call_id) {
                    let (budget, outbox) = (&mut self.write_budget, &mut self.outbox);
                    self.limits.adapt_to_result(self.now, size, &result, budget, outbox);
                }
                if let Some(pending) = self.outbox.take_store_call(call_id) {
                    self.dispatch_store_reply(pending, result);
                }
            }
            Command::CloudReply { call_id, result } => {
                if let Some(pending) = self.outbox.take_cloud_call(call_id) {
                    self.dispatch_cloud_reply(pending, result);
                }
            }
            Command::WorkerReply { call_id, result } => {
                if let Some(pending) = self.outbox.take_worker_call(call_id) {
                    self.dispatch_worker_reply(call_id, pending, result);
                }
            }
            Command::PeerReply { call_id, result } => {
                if let Some(pending) = self.outbox.take_peer_call(call_id) {
                    self.dispatch_peer_reply(pending, result);
                }
            }
            Command::Tick { wall, was_stalled } => {
                if was_stalled {
                    self.reachability.restart_listening(self.now);
                }
                self.wall_offset = Some(wall as i64 - self.now as i64);
            }
        }
    }

    /// Returns the minimum time between two store calls of a kind that may use `share` of this
    /// node's requests.
    pub(crate) fn min_interval_for(&self, share: f64) -> Micros {
        let rate = self.config.store_rps * share * self.rate_share;
        quartzlever_wire::micros_from_secs(1.0 / rate.max(0.1))
    }

    /// Returns the current time of day, in microseconds since 1970.
    pub(crate) fn wall(&self) -> Micros {
        (self.now as i64 + self.wall_offset.unwrap_or(0)).max(0) as Micros
    }

    /// Returns the counter of the work of each step.
    pub fn work(&self) -> &WorkCounter {
        &self.work
    }

    /// Reports whether the cache is not loaded and no partition is led yet, so that all heartbeats
    /// and health checks are rejected.
    pub fn is_starting(&self) -> bool {
        !self.cache.is_loaded() && self.partitions.is_empty()
    }

    /// Reports whether any partition has a placement requested or scheduled for a certain time.
    pub fn has_pending_placement(&self) -> bool {
        self.partitions.values().any(|p| p.placement_wanted || p.placement_due_at.is_some())
    }

    /// Counts requests that were rejected with `STARTING` before they reached the core.
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

    /// Reports whether this node can serve users' requests.
    pub fn is_ready(&self) -> bool {
        // A node without a partition still looks up jobs, cancels them, and accepts them into
        // another node's partition, so it is ready once its cache is loaded. A node that alone is
        // cut off from the store is not ready, because its peers can serve the users instead. In an
        // outage for all nodes every node stays ready, since no other could do better.
        let is_isolated = self.store_connectivity.is_isolated(self.now);
        self.cache.is_loaded() && self.wall_offset.is_some() && !is_isolated
    }

    fn dispatch_store_reply(
        &mut self,
        pending: PendingStoreCall,
        result: Result<StoreReply, CallError>,
    ) {
        match pending {
            PendingStoreCall::Ignored => {}
            PendingStoreCall::Grant { sent } => self.lease_granted(sent, &result),
            PendingStoreCall::Renew { sent, lease } => self.lease_renewed(sent, lease, &result),
            PendingStoreCall::Acquire { partition, lease } => {
                self.acquire_replied(&partition, lease, &result)
            }
            PendingStoreCall::Release { partition, mod_revision } => {
                self.release_replied(&partition, mod_revision, &result)
            }
            PendingStoreCall::List { listing, section } => {
                self.page_listed(listing, section, result)
            }
            PendingStoreCall::Cluster { write, lease } => {
                self.cluster_write_replied(write, lease, &result)
            }
            PendingStoreCall::SplitGroup { key, small_groups, is_complete } => {
                self.group_split(&key, small_groups, is_complete, &result);
            }
            PendingStoreCall::Watch { number, sent } => self.watch_replied(number, sent, result),
            PendingStoreCall::Revision { lookups, sent } => {
                self.revision_read(lookups, sent, result)
            }
            PendingStoreCall::StoredCatalogue => self.stored_catalogue_replied(result),
            PendingStoreCall::ReadActiveJob { purpose } => self.active_job_read(purpose, result),
            PendingStoreCall::ReadTerminalJob { purpose } => {
                self.terminal_job_read(purpose, result)
            }
            PendingStoreCall::Accept { id, record } => self.accept_replied(id, *record, &result),
            PendingStoreCall::Cancel { id, job, done, attempts } => {
                self.cancel_replied(id, job, done, attempts, &result);
            }
            PendingStoreCall::JobWrite(write) => self.job_written(*write, result),
            PendingStoreCall::RereadActiveJob { partition, term, job } => {
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
        pending: PendingCloudCall,
        result: Result<CloudReply, CallError>,
    ) {
        self.cloud_replied(pending, result);
    }

    fn dispatch_worker_reply(
        &mut self,
        call_id: CallId,
        pending: PendingWorkerCall,
        result: Result<WorkerReply, CallError>,
    ) {
        self.worker_replied(call_id, pending, result);
    }

    fn dispatch_peer_reply(
        &mut self,
        pending: PendingPeerCall,
        result: Result<PeerAnswer, CallError>,
    ) {
        self.peer_replied(pending, result);
    }

    /// Ends a partition's recovery once every one of its machines is verified.
    pub(crate) fn complete_recovery(&mut self, name: &str) {
        if let Some(partition) = self.partitions.get_mut(name)
            && partition.try_complete_recovery()
        {
            let duration = self.now - partition.acquired_at;
            self.outbox.log(LogLevel::Info, || LogEvent::RecoveryCompleted {
                partition: name.to_owned(),
                duration,
            });
        }
    }

    /// Makes all decisions that are due: checks, placements, calls to workers, writes, scaling and
    /// stealing.
    fn decide(&mut self) {
        let names: Vec<String> = self.partitions.keys().cloned().collect();
        let machine_check_due = self.now >= self.next_machine_check_at;
        if machine_check_due {
            self.next_machine_check_at = self.now + MACHINE_CHECK_INTERVAL;
        }
        for name in &names {
            if machine_check_due {
                self.check_machines(name);
            }
            self.complete_recovery(name);
            let events = self.partitions.get_mut(name).map(|p| std::mem::take(&mut p.log_events));
            for event in events.into_iter().flatten() {
                self.outbox.log(event.level(), || event);
            }
            if self.may_act() {
                self.place_ready_tasks(name);
                self.call_workers(name);
            }
        }
        if self.now >= self.next_job_write_at {
            let _activity = self.work.begin(Activity::JobWrites);
            self.next_job_write_at = self.now + JOB_WRITE_INTERVAL;
            self.write_jobs();
            self.remove_leftover_pages();
        }
        if self.now >= self.next_group_write_at {
            self.next_group_write_at = self.now + GROUP_WRITE_INTERVAL;
            self.write_groups();
        }
        {
            let _activity = self.work.begin(Activity::Autoscaling);
            self.poll_autoscaling();
        }
        {
            let _activity = self.work.begin(Activity::Stealing);
            self.notify_saturated();
            self.poll_stealing();
        }
        self.outbox.log_rejected(self.now);
    }

    /// Returns the partition if this process leads it under `term`.
    pub(crate) fn partition_at_term(&mut self, name: &str, term: u64) -> Option<&mut Partition> {
        self.partitions.get_mut(name).filter(|p| p.term == term)
    }
}

/// Returns the activity that handling a command begins with.
fn activity_of(command: &Command) -> Activity {
    match command {
        Command::Heartbeat { .. } | Command::WorkerReply { .. } => Activity::Heartbeats,
        Command::Submit { .. } | Command::Lookup { .. } | Command::Cancel { .. } => {
            Activity::UserRequests
        }
        Command::StoreReply { .. } => Activity::Records,
        Command::PeerRequest { .. } | Command::PeerReply { .. } => Activity::Stealing,
        Command::CloudReply { .. } => Activity::Autoscaling,
        Command::Ready { .. } | Command::Tick { .. } => Activity::Other,
    }
}

#[cfg(test)]
mod tests;
