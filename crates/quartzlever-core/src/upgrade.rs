//! The cluster version: what all controllers understand. Each process tells its own version on a
//! key that hangs on its lease; when all have told, and every partition is held by one of these
//! processes, one lasting key raises the cluster version. It never goes back. Before that nothing
//! is written or said that an earlier version could not read. After it a process of an earlier version
//! that comes back all the same holds no partition: the others take over what it acquires.

use std::collections::BTreeMap;

use quartzlever_wire::store::{
    CLUSTER_VERSION_KEY, ClusterRecord, GROUP_SIZE_KEY, GroupSizeRecord, KeyValue,
    NODE_VERSION_PREFIX, NodeRecord, PARTITION_PREFIX, PartitionRecord, StoreCall, StoreReply, Txn,
    group_size,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use crate::calls::{ClusterWrite, PendingStoreCall};
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel};
use crate::router::Core;
use crate::store::cache::Versioned;
use crate::store::parse;

/// The version of this program. Version 1 tells nothing of itself.
pub const VERSION: u32 = 2;
/// From this version on there are jobs that run until they are cancelled, and small blocks.
const SERVICES: u32 = 2;
/// From this version on finished tasks of large jobs are recorded in pages.
const PAGES: u32 = 2;
/// The first services are expected so long after an upgrade: after the cluster version was raised, or
/// after a process has found controllers of the first version.
const SERVICES_EXPECTED: Micros = 180 * SECOND;
/// After an announcement or a raising that was not answered, or came too early.
const RETRY: Micros = SECOND / 2;

/// What is known of the versions of all controllers.
#[derive(Debug)]
pub(crate) struct Cluster {
    version: u32,
    nodes: BTreeMap<String, (NodeRecord, u64)>,
    /// The size of the blocks of machines that was agreed on, with its modification revision.
    group_size: Option<(u64, u64)>,
    write_pending: bool,
    next_write_at: Micros,
    /// Controllers of the first version were up when the records were read.
    upgrading: bool,
    services_expected_until: Micros,
}

impl Default for Cluster {
    fn default() -> Self {
        Cluster {
            version: 1,
            nodes: BTreeMap::new(),
            group_size: None,
            write_pending: false,
            next_write_at: 0,
            upgrading: false,
            services_expected_until: 0,
        }
    }
}

impl Cluster {
    /// Whether every controller, now and from now on, knows services and small blocks.
    pub fn services(&self) -> bool {
        self.version >= SERVICES
    }

    /// The largest block of machines that was agreed on, if any was.
    pub fn agreed_group_size(&self) -> Option<u64> {
        self.group_size.map(|(size, _)| size)
    }

    /// The modification revision of that agreement, 0 if there is none. Each claim depends on it: two sizes in use at
    /// once could give a machine two owners.
    pub fn group_size_revision(&self) -> u64 {
        self.group_size.map_or(0, |(_, mod_revision)| mod_revision)
    }

    /// Whether the first services may come soon: their machines are to be up by then, since a boot
    /// takes longer than a service should wait.
    pub fn expects_services(&self, now: Micros) -> bool {
        now < self.services_expected_until
    }

    /// The records were read, and with them the cluster version and who holds partitions.
    fn records_read<'a>(
        &mut self,
        now: Micros,
        mut leaders: impl Iterator<Item = &'a PartitionRecord>,
    ) {
        let announced = |leader: &PartitionRecord| self.has_announced(&leader.node, leader.process);
        self.upgrading = !self.services() && leaders.any(|leader| !announced(leader));
        if self.upgrading {
            self.services_expected_until = now + SERVICES_EXPECTED;
        }
    }

    /// Whether every controller knows pages of finished tasks.
    pub fn pages(&self) -> bool {
        self.version >= PAGES
    }

    /// The announcements are read anew.
    pub fn forget_nodes(&mut self) {
        self.nodes.clear();
    }

    /// This node's announcement has gone with its lease.
    pub fn forget_node(&mut self, node: &str) {
        self.nodes.remove(node);
    }

    fn has_announced(&self, node: &str, process: u64) -> bool {
        self.nodes.get(node).is_some_and(|(record, _)| record.process == process)
    }

    fn insert_node(&mut self, node: &str, record: NodeRecord, mod_revision: u64) {
        if self.nodes.get(node).is_none_or(|(_, known)| *known <= mod_revision) {
            self.nodes.insert(node.to_owned(), (record, mod_revision));
        }
    }

    /// Whether a partition is held by a process of the first version although the cluster version
    /// is raised. Every later process announces itself before it acquires a partition, by a key on
    /// the same lease, so the announcement is older than the partition's key and is there as long.
    pub fn is_outdated_leader(&self, leader: &PartitionRecord, mod_revision: u64) -> bool {
        self.services()
            && self.nodes.get(&leader.node).is_none_or(|(record, announced)| {
                record.process != leader.process && *announced < mod_revision
            })
    }

    /// Whether a node may ask for its partition: not one that runs the first version after the
    /// cluster version is raised.
    pub fn may_lead(&self, node: &str) -> bool {
        !self.services() || self.nodes.contains_key(node)
    }
}

impl Core {
    /// Tells this process's version, and raises the cluster version when all have told theirs.
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
            let next = self.raising().map(|txn| (txn, ClusterWrite::RaiseVersion));
            let next =
                next.or_else(|| self.smaller_group_size().map(|t| (t, ClusterWrite::SetGroupSize)));
            let Some(next) = next else { return };
            next
        } else {
            // At once, while the records are still being read: nothing is acquired before it.
            let key = format!("{NODE_VERSION_PREFIX}{}", self.config.node);
            let txn = Txn::default().write_with_lease(key, Json::of(&self.own_record()), lease);
            (txn, ClusterWrite::AnnounceVersion)
        };
        self.cluster.write_pending = true;
        self.cluster.next_write_at = now + RETRY;
        self.write_budget.spend(1);
        self.outbox.call_store(
            CallPriority::Lease,
            StoreCall::Txn(txn),
            PendingStoreCall::Cluster { write, lease },
        );
    }

    fn own_record(&self) -> NodeRecord {
        NodeRecord { version: VERSION, process: self.process }
    }

    /// Whether this process may acquire partitions: it has announced itself, unless it is of a
    /// version that does not.
    pub(crate) fn has_announced(&self) -> bool {
        self.config.version < VERSION || self.cluster.has_announced(&self.config.node, self.process)
    }

    /// The transaction that raises the cluster version, if that may be tried: on condition of
    /// every announcement and of every partition being held by a process that has announced
    /// itself, so that no write of an earlier version can come into force any more.
    fn raising(&self) -> Option<Txn> {
        if self.cluster.version >= VERSION || !self.cache.loaded() {
            return None;
        }
        let mut txn = Txn::default().if_mod_revision(CLUSTER_VERSION_KEY, 0);
        for node in &self.config.nodes {
            let (record, mod_revision) = self.cluster.nodes.get(node)?;
            if record.version < VERSION {
                return None;
            }
            txn = txn.if_mod_revision(format!("{NODE_VERSION_PREFIX}{node}"), *mod_revision);
            let partition = self.cache.partition(node);
            if let Some(Versioned { record: leader, .. }) = partition {
                let (announced, _) = self.cluster.nodes.get(&leader.node)?;
                if announced.process != leader.process {
                    return None;
                }
            }
            txn = txn.if_mod_revision(
                format!("{PARTITION_PREFIX}{node}"),
                partition.map_or(0, |held| held.mod_revision),
            );
        }
        Some(txn.write(CLUSTER_VERSION_KEY, Json::of(&ClusterRecord { version: VERSION })))
    }

    /// The transaction that makes blocks of machines smaller, if the store has turned out to
    /// take less than the settings say.
    fn smaller_group_size(&self) -> Option<Txn> {
        let size = group_size(self.limits.value_bytes());
        if !self.cluster.services() || size >= self.group_size() {
            return None;
        }
        let txn =
            Txn::default().if_mod_revision(GROUP_SIZE_KEY, self.cluster.group_size_revision());
        Some(txn.write(GROUP_SIZE_KEY, Json::of(&GroupSizeRecord { size })))
    }

    pub(crate) fn cluster_answered(
        &mut self,
        write: ClusterWrite,
        lease: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        self.cluster.write_pending = false;
        match (write, result) {
            // What was announced on an earlier lease has gone with it.
            (ClusterWrite::AnnounceVersion, Ok(StoreReply::Committed(mod_revision)))
                if self.lease.id() == Some(lease) =>
            {
                let (node, record) = (self.config.node.clone(), self.own_record());
                self.cluster.insert_node(&node, record, *mod_revision);
            }
            // The watch tells of what was written.
            (_, Ok(StoreReply::Committed(_))) => {}
            (_, Ok(StoreReply::NoLease)) => self.lease_ended(lease),
            _ => self.cluster.next_write_at = self.now + RETRY,
        }
    }

    /// The records were read, and with them the cluster version and who holds partitions.
    pub(crate) fn look_for_upgrade(&mut self) {
        let leaders = self.cache.partitions().values().map(|held| &held.record);
        self.cluster.records_read(self.now, leaders);
    }

    /// A record of versions, as the store has it.
    pub(crate) fn apply_cluster_record(&mut self, entry: &KeyValue) {
        if entry.key == CLUSTER_VERSION_KEY {
            match parse::<ClusterRecord>(entry) {
                Some(record) => self.cluster_raised(record.version),
                None => self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key)),
            }
        } else if entry.key == GROUP_SIZE_KEY {
            match parse::<GroupSizeRecord>(entry) {
                Some(record) if record.size > 0 => {
                    self.cluster.group_size = Some((record.size, entry.mod_revision));
                }
                _ => self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key)),
            }
        } else if let Some(node) = entry.key.strip_prefix(NODE_VERSION_PREFIX) {
            match parse::<NodeRecord>(entry) {
                Some(record) => self.cluster.insert_node(node, record, entry.mod_revision),
                None => self.outbox.log(LogLevel::Error, || LogEvent::unreadable(&entry.key)),
            }
        }
    }

    pub(crate) fn cluster_deleted(&mut self, path: &str, mod_revision: u64) {
        if let Some(node) = path.strip_prefix(NODE_VERSION_PREFIX)
            && self.cluster.nodes.get(node).is_some_and(|(_, s)| *s <= mod_revision)
        {
            self.cluster.nodes.remove(node);
        }
    }

    fn cluster_raised(&mut self, version: u32) {
        if version > VERSION {
            let reason = format!(
                "the cluster is at version {version}, and this program knows versions up to \
                 {VERSION} only: start a newer one"
            );
            self.outbox.terminate(reason);
        } else if version > self.cluster.version {
            self.cluster.version = version;
            if self.cluster.upgrading {
                self.cluster.services_expected_until = self.now + SERVICES_EXPECTED;
            }
            self.outbox.log(LogLevel::Info, || LogEvent::ClusterVersionRaised { version });
        }
    }
}

#[cfg(test)]
mod tests;
