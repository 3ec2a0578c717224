//! Reading all records of the store: at the start, and again when the watch has fallen so far
//! behind that the store no longer knows what it missed.
//!
//! One listing is under way at a time, section by section and page by page; a page that belongs to an
//! earlier listing is ignored. Later pages may tell of changes after the first one, and the watch, which
//! begins at the revision of the first page, tells of these again.

use quartzlever_wire::store::{Row, Rows, StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::{PendingStoreCall, Section};
use crate::events::LogEvent;
use crate::messages::{CallPriority, LogLevel};
use crate::router::Core;
use crate::store::cache::Cache;
use crate::store::parse;

/// After a page that was not read.
const RETRY: Micros = SECOND / 2;

/// The listing under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Listing {
    number: u64,
    sent: Micros,
    /// The section of the last page that has come.
    section: Option<Section>,
}

impl Cache {
    fn clear(&mut self) {
        self.partitions.clear();
        self.ownership_groups.clear();
        self.group_of_machine.clear();
        self.active_jobs.clear();
        self.unreadable_jobs.clear();
    }
}

impl Core {
    /// Begins to list all records, unless that is being done.
    pub(crate) fn begin_listing(&mut self) {
        let now = self.now;
        if self.cache.listing.is_some() || now < self.cache.retry_at {
            return;
        }
        self.cache.listings_begun += 1;
        let number = self.cache.listings_begun;
        self.cache.listing = Some(Listing { number, sent: now, section: None });
        self.list(number, Section::Partitions, None);
    }

    fn list(&mut self, listing: u64, section: Section, from: Option<String>) {
        let call = StoreCall::List { prefix: section.prefix().into(), from };
        self.outbox.call_store(
            CallPriority::Lease,
            call,
            PendingStoreCall::List { listing, section },
        );
    }

    /// A page of the records was read, or not.
    pub(crate) fn page_listed(
        &mut self,
        number: u64,
        section: Section,
        result: Result<StoreReply, CallError>,
    ) {
        let Some(listing) = self.cache.listing.filter(|listing| listing.number == number) else {
            return;
        };
        let Ok(StoreReply::Rows(rows)) = result else {
            self.cache.listing = None;
            self.cache.retry_at = self.now + RETRY;
            return;
        };
        if listing.section.is_none() {
            self.reset_cache(&rows);
        }
        if section == Section::Cluster && listing.section != Some(section) {
            self.cluster.forget_nodes();
        }
        self.cache.listing = Some(Listing { section: Some(section), ..listing });
        for row in &rows.rows {
            self.apply_row(section, row);
        }
        if let Some(from) = next_page(&rows) {
            self.list(number, section, Some(from));
        } else if let Some(next) = section.next() {
            self.list(number, next, None);
        } else {
            self.listing_complete(listing);
        }
    }

    /// The first page has come: the watch will begin at its revision.
    fn reset_cache(&mut self, rows: &Rows) {
        self.cache.clear();
        self.pages.clear();
        self.cache.revision = rows.revision;
    }

    fn apply_row(&mut self, section: Section, row: &Row) {
        match section {
            Section::Partitions => {
                self.apply_partition_record(&row.path, parse(row), row.mod_revision)
            }
            Section::Machines => self.apply_group_row(row, false),
            Section::Jobs => self.apply_job_record(row),
            Section::Pages => self.apply_page_row(row),
            Section::Cluster => self.apply_cluster_row(row),
        }
    }

    fn listing_complete(&mut self, listing: Listing) {
        self.look_for_upgrade();
        self.cache.listing = None;
        self.cache.loaded = true;
        self.close_gap();
        self.cache.view_as_of = self.cache.view_as_of.max(listing.sent);
        self.cache.catch_up();
    }

    /// Partitions that are held here although their keys were gone when the listing began, or
    /// another's: that was among the changes that were missed.
    fn drop_lost_partitions(&mut self) {
        let revision = self.cache.revision;
        let keys = &self.cache.partitions;
        let is_lost = |name: &str, term: u64| {
            term <= revision && keys.get(name).is_none_or(|(_, mod_revision)| *mod_revision != term)
        };
        let lost: Vec<(String, u64)> = self
            .partitions
            .values()
            .filter(|partition| is_lost(&partition.name, partition.term))
            .map(|partition| (partition.name.clone(), partition.term))
            .collect();
        for (partition, term) in lost {
            self.partitions.remove(&partition);
            self.outbox
                .log(LogLevel::Info, || LogEvent::PartitionLostUnnoticed { partition, term });
        }
    }

    /// The cache was made anew: partitions that were held before may have missed changes.
    fn close_gap(&mut self) {
        let now = self.now;
        self.drop_lost_partitions();
        // What was there at the revision at which the listing began, and is not listed, is over:
        // its tasks end here and now, since the view counts as fresh from here on. Which end it
        // came to is read when somebody asks.
        let revision = self.cache.revision;
        for partition in self.partitions.values_mut().filter(|p| p.active()) {
            let over: Vec<String> = partition
                .jobs
                .iter()
                .filter(|(id, job)| job.mod_revision() <= revision && !self.cache.is_active_job(id))
                .map(|(id, _)| id.clone())
                .collect();
            for id in over {
                partition.drop_job(&id, now);
            }
            let name = partition.name.clone();
            for (host, record) in self.cache.machines_of(&name) {
                if !partition.machines.contains_key(host)
                    && !partition.autoscaling.terminated.contains(host)
                {
                    partition.add_machine(host, record.clone(), false, now);
                }
            }
        }
    }
}

fn next_page(rows: &Rows) -> Option<String> {
    if rows.has_next { rows.rows.last().map(|row| row.path.clone()) } else { None }
}

#[cfg(test)]
mod tests;
