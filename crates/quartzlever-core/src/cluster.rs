//! The cluster version: what all controllers understand. Each process tells its own version on a
//! key that hangs on its lease; when all have told, and every partition is held by one of these
//! processes, one lasting key raises the cluster version. It never goes back. Before that nothing
//! is written or said that an earlier version could not read.

use std::collections::BTreeMap;

use quartzlever_wire::state::{
    CLUSTER_NODES, CLUSTER_VERSION, ClusterRecord, NodeRecord, PARTS, Row, StateCall, StateReply,
    Txn,
};
use quartzlever_wire::{CallError, Json, Micros, SECOND};

use crate::engine::{Core, Waiting};
use crate::leases::parse;
use crate::messages::{Effect, Lane, Weight};

/// The version of this program. Version 1 tells nothing of itself.
pub const VERSION: u32 = 2;
/// From this version on there are jobs that run until they are cancelled, and small blocks.
const SERVICES: u32 = 2;
/// After an announcement or a raising that was not answered, or came too early.
const RETRY: Micros = SECOND;

/// What is known of the versions of all controllers.
#[derive(Debug)]
pub(crate) struct Cluster {
    version: u32,
    nodes: BTreeMap<String, (NodeRecord, u64)>,
    waiting: bool,
    next: Micros,
}

impl Default for Cluster {
    fn default() -> Self {
        Cluster { version: 1, nodes: BTreeMap::new(), waiting: false, next: 0 }
    }
}

impl Cluster {
    /// Whether every controller, now and from now on, knows services and small blocks.
    pub fn services(&self) -> bool {
        self.version >= SERVICES
    }

    /// The announcements are read anew.
    pub fn forget_nodes(&mut self) {
        self.nodes.clear();
    }
}

impl Core {
    /// Tells this process's version, and raises the cluster version when all have told theirs.
    pub(crate) fn keep_cluster(&mut self) {
        let now = self.now;
        let Some(lease) = self.lease.id.filter(|_| self.cache.loaded() && self.holds()) else {
            return;
        };
        if self.cfg.version < VERSION || self.cluster.waiting || now < self.cluster.next {
            return;
        }
        let told = self.cluster.nodes.get(&self.cfg.node);
        let txn = if told.is_none_or(|(r, _)| r.process != self.process) {
            let record = NodeRecord { version: VERSION, process: self.process };
            let key = format!("{CLUSTER_NODES}{}", self.cfg.node);
            Txn::default().write_held(key, Json::of(&record), lease)
        } else {
            match self.raising() {
                Some(txn) => txn,
                None => return,
            }
        };
        self.cluster.waiting = true;
        self.cluster.next = now + RETRY;
        self.ledger.spend(1);
        self.state(Lane::Lease, StateCall::Txn(txn), Waiting::Cluster);
    }

    /// The transaction that raises the cluster version, if that may be tried: on condition of
    /// every announcement and of every partition being held by a process that has announced
    /// itself, so that no write of an earlier version can come into force any more.
    fn raising(&self) -> Option<Txn> {
        if self.cluster.version >= VERSION {
            return None;
        }
        let mut txn = Txn::default().when(CLUSTER_VERSION, 0);
        for node in &self.cfg.nodes {
            let (record, stamp) = self.cluster.nodes.get(node)?;
            if record.version < VERSION {
                return None;
            }
            txn = txn.when(format!("{CLUSTER_NODES}{node}"), *stamp);
            let part = self.cache.parts.get(node);
            if let Some((holder, _)) = part {
                let (told, _) = self.cluster.nodes.get(&holder.node)?;
                if told.process != holder.process {
                    return None;
                }
            }
            txn = txn.when(format!("{PARTS}{node}"), part.map_or(0, |(_, stamp)| *stamp));
        }
        Some(txn.write(CLUSTER_VERSION, Json::of(&ClusterRecord { version: VERSION })))
    }

    pub(crate) fn cluster_answered(&mut self, result: &Result<StateReply, CallError>) {
        self.cluster.waiting = false;
        match result {
            // The watch tells of what was written.
            Ok(StateReply::Committed(_)) => {}
            Ok(StateReply::NoLease) => self.lose_all(),
            _ => self.cluster.next = self.now + RETRY,
        }
    }

    /// A record of versions, as the state service has it.
    pub(crate) fn cluster_row(&mut self, row: &Row) {
        if row.path == CLUSTER_VERSION {
            match parse::<ClusterRecord>(row) {
                Some(record) => self.cluster_raised(record.version),
                None => {
                    self.note(Weight::Error, || format!("unreadable record: {CLUSTER_VERSION}"))
                }
            }
        } else if let Some(node) = row.path.strip_prefix(CLUSTER_NODES) {
            match parse::<NodeRecord>(row) {
                Some(record) => {
                    self.cluster.nodes.insert(node.to_owned(), (record, row.stamp));
                }
                None => self.note(Weight::Error, || format!("unreadable record: {}", row.path)),
            }
        }
    }

    pub(crate) fn cluster_deleted(&mut self, path: &str, stamp: u64) {
        if let Some(node) = path.strip_prefix(CLUSTER_NODES)
            && self.cluster.nodes.get(node).is_some_and(|(_, s)| *s <= stamp)
        {
            self.cluster.nodes.remove(node);
        }
    }

    fn cluster_raised(&mut self, version: u32) {
        if version > VERSION {
            let why = format!(
                "the cluster is at version {version}, and this program knows versions up to \
                 {VERSION} only: start a newer one"
            );
            self.out.push(Effect::End { why });
        } else if version > self.cluster.version {
            self.cluster.version = version;
            self.note(Weight::Info, || {
                format!("cluster version {version}: all controllers know it")
            });
        }
    }
}

#[cfg(test)]
mod tests;
