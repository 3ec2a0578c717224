//! Holding partitions: the lease, taking a partition, losing it, handing it back.

pub(crate) mod authority;
pub(crate) mod awaited;
pub(crate) mod connectivity;
pub(crate) mod lease;
pub(crate) mod partition_keys;
pub(crate) mod reachability;

use crate::router::Core;

impl Core {
    /// Partitions whose acquisition the cache has come to begin their work from it: what an earlier
    /// leader wrote is in it, and it can write no more.
    pub(crate) fn load_partitions(&mut self) {
        if !self.cache.loaded {
            return;
        }
        let (now, wall, revision) = (self.now, self.wall(), self.cache.revision);
        for partition in self.partitions.values_mut().filter(|p| !p.loaded && p.term <= revision) {
            for (record, mod_revision) in self.cache.active_jobs.values() {
                partition.reconcile_job(&self.config, record.clone(), *mod_revision, now, wall);
            }
            let name = partition.name.clone();
            for (host, record) in self.cache.machines_of(&name) {
                partition.add_machine(host, record.clone(), false, now);
            }
            partition.loaded = true;
        }
    }
}

#[cfg(test)]
mod tests;
