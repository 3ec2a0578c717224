//! The cluster version: the version that all controllers understand.
//!
//! Each process announces its own version under a key attached to its lease. When all have
//! announced theirs, and every partition with a leader is held by one of these processes, one
//! permanent key raises the cluster version. It never goes back. Before the raise nothing is
//! written or sent that an earlier version could not read. After it, a process of an earlier
//! version that starts nevertheless keeps no partition: the other controllers take over what it
//! acquires.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    CLUSTER_VERSION_KEY, ClusterVersionRecord, GROUP_SIZE_KEY, GroupSizeRecord, KeyValue,
    NODE_PREFIX, NodeRecord, PartitionRecord, StoreCall, StoreReply, Txn, group_size,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use crate::calls::{ClusterWrite, PendingStoreCall};
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel};
use crate::router::Core;
use crate::store::cache::Versioned;
use crate::store::parse;
use crate::store::partition_key;

/// The version of this program. Processes of version 1 do not announce themselves.
pub const VERSION: u32 = 2;
/// First version with services, which are jobs that run until they are cancelled, and with small
/// machine groups.
const SERVICES_MIN_VERSION: u32 = 2;
/// First version that records the finished tasks of large jobs in pages.
const PAGES_MIN_VERSION: u32 = 2;
/// How long the first services are expected after an upgrade: after the cluster version was raised,
/// or after a process has found controllers of version 1.
const SERVICES_EXPECTED_FOR: Micros = 180 * SECOND;
/// Shortest time between two writes of an announcement, the cluster version or the group size, and
/// the delay after one that failed.
const RETRY_INTERVAL: Micros = SECOND / 2;

/// The cluster version, the announced versions of all controllers, and the agreed group size.
#[derive(Debug)]
pub(crate) struct ClusterVersions {
    version: u32,
    /// The announcements with their modification revisions, by node.
    announcements: BTreeMap<String, (NodeRecord, u64)>,
    /// The agreed size of machine groups, with the modification revision of its key.
    group_size: Option<(u64, u64)>,
    write_pending: bool,
    next_write_at: Micros,
    /// Whether controllers of version 1 held partitions when the records were read.
    upgrading: bool,
    services_expected_until: Micros,
}

impl Default for ClusterVersions {
    fn default() -> Self {
        ClusterVersions {
            version: 1,
            announcements: BTreeMap::new(),
            group_size: None,
            write_pending: false,
            next_write_at: 0,
            upgrading: false,
            services_expected_until: 0,
        }
    }
}

impl ClusterVersions {
    /// Reports whether every controller, now and in the future, supports services and small machine
    /// groups.
    pub fn supports_services(&self) -> bool {
        self.version >= SERVICES_MIN_VERSION
    }

    /// Returns the agreed maximum size of a machine group, if there is one.
    pub fn agreed_group_size(&self) -> Option<u64> {
        self.group_size.map(|(size, _)| size)
    }

    /// Returns the modification revision of the agreed group size, 0 if there is none. Each claim
    /// is conditional on it: two sizes in use at once could give a machine two owners.
    pub fn group_size_revision(&self) -> u64 {
        self.group_size.map_or(0, |(_, mod_revision)| mod_revision)
    }

    /// Reports whether the first services may be submitted soon. Machines for them are started in
    /// advance, since a boot takes longer than a service should wait.
    pub fn expects_services(&self, now: Micros) -> bool {
        now < self.services_expected_until
    }

    /// Checks the leaders of all partitions, after the records were read, for controllers of
    /// version 1.
    fn detect_upgrade<'a>(
        &mut self,
        now: Micros,
        mut leaders: impl Iterator<Item = &'a PartitionRecord>,
    ) {
        let announced = |leader: &PartitionRecord| self.has_announced(&leader.node, leader.process);
        self.upgrading = !self.supports_services() && leaders.any(|leader| !announced(leader));
        if self.upgrading {
            self.services_expected_until = now + SERVICES_EXPECTED_FOR;
        }
    }

    /// Reports whether every controller supports pages of finished tasks.
    pub fn supports_pages(&self) -> bool {
        self.version >= PAGES_MIN_VERSION
    }

    /// Forgets all announcements before they are read again.
    pub fn clear_announcements(&mut self) {
        self.announcements.clear();
    }

    /// Forgets a node's announcement, which has ended with its lease.
    pub fn remove_announcement(&mut self, node: &str) {
        self.announcements.remove(node);
    }

    fn has_announced(&self, node: &str, process: u64) -> bool {
        self.announcements.get(node).is_some_and(|(record, _)| record.process == process)
    }

    fn insert_announcement(&mut self, node: &str, record: NodeRecord, mod_revision: u64) {
        if self.announcements.get(node).is_none_or(|(_, known)| *known <= mod_revision) {
            self.announcements.insert(node.to_owned(), (record, mod_revision));
        }
    }

    /// Reports whether a partition is held by a process of version 1 although the cluster version
    /// is raised. Every process of a later version announces itself before it acquires a partition,
    /// under a key on the same lease, so the announcement is older than the partition's key and
    /// exists as long.
    pub fn is_outdated_leader(&self, leader: &PartitionRecord, mod_revision: u64) -> bool {
        self.supports_services()
            && self.announcements.get(&leader.node).is_none_or(|(record, announced)| {
                record.process != leader.process && *announced < mod_revision
            })
    }

    /// Reports whether a node's request for its partition is accepted. After the cluster version is
    /// raised, the node must have announced itself, which processes of version 1 do not.
    pub fn may_lead(&self, node: &str) -> bool {
        !self.supports_services() || self.announcements.contains_key(node)
    }
}

impl Core {
    /// Announces this process's version. Afterwards raises the cluster version when all controllers
    /// have announced theirs, or reduces the group size when the store's limit requires it.
    pub(crate) fn poll_cluster_version(&mut self) {
        let now = self.now;
        let Some(lease) = self.lease.id().filter(|_| self.holds_lease()) else { return };
        if self.config.version < VERSION
            || self.cluster.write_pending
            || now < self.cluster.next_write_at
        {
            return;
        }
        let (txn, write) = if self.has_announced() {
            let next = self.version_raise_txn().map(|txn| (txn, ClusterWrite::RaiseVersion));
            let next = next.or_else(|| {
                self.group_size_reduction_txn().map(|t| (t, ClusterWrite::SetGroupSize))
            });
            let Some(next) = next else { return };
            next
        } else {
            // Immediately, also while the records are still being read: no partition is acquired
            // before the announcement.
            let key = format!("{NODE_PREFIX}{}", self.config.node);
            let txn =
                Txn::default().write_with_lease(key, Json::of(&self.own_announcement()), lease);
            (txn, ClusterWrite::AnnounceVersion)
        };
        self.cluster.write_pending = true;
        self.cluster.next_write_at = now + RETRY_INTERVAL;
        self.write_budget.spend(1);
        self.outbox.call_store(
            CallPriority::Lease,
            StoreCall::Txn(txn),
            PendingStoreCall::Cluster { write, lease },
        );
    }

    fn own_announcement(&self) -> NodeRecord {
        NodeRecord { version: VERSION, process: self.process }
    }

    /// Reports whether this process may acquire partitions: it has announced itself, or runs a
    /// version that does not announce itself.
    pub(crate) fn has_announced(&self) -> bool {
        self.config.version < VERSION || self.cluster.has_announced(&self.config.node, self.process)
    }

    /// Returns the transaction that raises the cluster version, if that may be attempted. It is
    /// conditional on every announcement and on every partition key, and each partition must have
    /// no leader or one that has announced itself, so that no write of an earlier version can take
    /// effect any more.
    fn version_raise_txn(&self) -> Option<Txn> {
        if self.cluster.version >= VERSION || !self.cache.is_loaded() {
            return None;
        }
        let mut txn = Txn::default().if_mod_revision(CLUSTER_VERSION_KEY, 0);
        for node in &self.config.nodes {
            let (record, mod_revision) = self.cluster.announcements.get(node)?;
            if record.version < VERSION {
                return None;
            }
            txn = txn.if_mod_revision(format!("{NODE_PREFIX}{node}"), *mod_revision);
            let partition = self.cache.partition(node);
            if let Some(Versioned { record: leader, .. }) = partition {
                let (announced, _) = self.cluster.announcements.get(&leader.node)?;
                if announced.process != leader.process {
                    return None;
                }
            }
            txn = txn.if_mod_revision(
                partition_key(node),
                partition.map_or(0, |held| held.mod_revision),
            );
        }
        Some(txn.write(CLUSTER_VERSION_KEY, Json::of(&ClusterVersionRecord { version: VERSION })))
    }

    /// Returns the transaction that reduces the size of machine groups, if the store has turned out
    /// to accept smaller values than the settings say.
    fn group_size_reduction_txn(&self) -> Option<Txn> {
        let size = group_size(self.limits.value_bytes());
        if !self.cluster.supports_services() || size >= self.group_size() {
            return None;
        }
        let txn =
            Txn::default().if_mod_revision(GROUP_SIZE_KEY, self.cluster.group_size_revision());
        Some(txn.write(GROUP_SIZE_KEY, Json::of(&GroupSizeRecord { size })))
    }

    /// Handles the store's reply to a write of an announcement, the cluster version or the group
    /// size.
    pub(crate) fn cluster_write_replied(
        &mut self,
        write: ClusterWrite,
        lease: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        self.cluster.write_pending = false;
        match (write, result) {
            // An announcement under an earlier lease has ended with that lease.
            (ClusterWrite::AnnounceVersion, Ok(StoreReply::Committed(mod_revision)))
                if self.lease.id() == Some(lease) =>
            {
                let (node, record) = (self.config.node.clone(), self.own_announcement());
                self.cluster.insert_announcement(&node, record, *mod_revision);
            }
            // The watch delivers what was written.
            (_, Ok(StoreReply::Committed(_))) => {}
            (_, Ok(StoreReply::NoLease)) => self.lease_ended(lease),
            _ => self.cluster.next_write_at = self.now + RETRY_INTERVAL,
        }
    }

    /// Checks, after the records were read, whether an upgrade from version 1 is in progress.
    pub(crate) fn detect_upgrade(&mut self) {
        let leaders = self.cache.partitions().values().map(|held| &held.record);
        self.cluster.detect_upgrade(self.now, leaders);
    }

    /// Applies a record of the cluster version, the group size or an announcement from the store.
    pub(crate) fn apply_cluster_record(&mut self, entry: &KeyValue) {
        if entry.key == CLUSTER_VERSION_KEY {
            match parse::<ClusterVersionRecord>(entry) {
                Some(record) => self.apply_cluster_version(record.version),
                None => self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key)),
            }
        } else if entry.key == GROUP_SIZE_KEY {
            match parse::<GroupSizeRecord>(entry) {
                Some(record) if record.size > 0 => {
                    self.cluster.group_size = Some((record.size, entry.mod_revision));
                }
                _ => self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key)),
            }
        } else if let Some(node) = entry.key.strip_prefix(NODE_PREFIX) {
            match parse::<NodeRecord>(entry) {
                Some(record) => self.cluster.insert_announcement(node, record, entry.mod_revision),
                None => self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key)),
            }
        }
    }

    /// Forgets a node's announcement whose key was deleted at this revision.
    pub(crate) fn apply_cluster_deletion(&mut self, path: &str, mod_revision: u64) {
        if let Some(node) = path.strip_prefix(NODE_PREFIX)
            && self
                .cluster
                .announcements
                .get(node)
                .is_some_and(|(_, announced)| *announced <= mod_revision)
        {
            self.cluster.announcements.remove(node);
        }
    }

    /// Applies a raised cluster version. Terminates the process if it does not know the version.
    fn apply_cluster_version(&mut self, version: u32) {
        if version > VERSION {
            let reason = format!(
                "the cluster is at version {version}, and this program knows versions up to \
                 {VERSION} only: start a newer one"
            );
            self.outbox.terminate(reason);
        } else if version > self.cluster.version {
            self.cluster.version = version;
            if self.cluster.upgrading {
                self.cluster.services_expected_until = self.now + SERVICES_EXPECTED_FOR;
            }
            self.outbox.log(LogLevel::Info, || LogEvent::ClusterVersionRaised { version });
        }
    }
}

#[cfg(test)]
mod tests;
