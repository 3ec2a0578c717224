//! Finished tasks of large jobs, recorded in pages of fixed task ranges.
//!
//! A job's record under `live/` lists its finished tasks as ranges, which can exceed the size limit
//! of a value if tasks finish in an unfavourable order. Then the tasks that take the most text move
//! to pages, each under a key of its own. A finished task never becomes unfinished, so pages only
//! grow while the job is active, and any known content of pages may be joined with any revision of
//! the record: an outdated view lists fewer tasks, never wrong ones. Every page is written on
//! condition of the record's modification revision, so none can appear after the job is done or
//! cancelled. The leftover pages of such jobs are removed later.
//!
//! `Pages` caches all known pages, plans how progress is recorded, and removes leftover pages.

use std::collections::BTreeMap;

use quartzlever_wire::pages::{PageRecord, page_key, page_of_key, page_of_task, tasks_of_page};
use quartzlever_wire::store::{ActiveJobRecord, KeyValue, StoreCall, Txn};
use quartzlever_wire::{Json, Micros, Ranges, SECOND};

use crate::calls::{PageWrite, PendingStoreCall};
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::active_job_key;
use crate::store::parse;
use crate::store::write_budget::{WriteBudget, WriteKind};

/// Minimum interval between removals of leftover pages, so that the watch can deliver the previous
/// removal first.
const MIN_REMOVAL_INTERVAL: Micros = 2 * SECOND;

/// A page as last read from the store.
#[derive(Clone, Debug)]
struct Page {
    finished: Ranges,
    mod_revision: u64,
}

/// The known pages of all jobs.
#[derive(Debug, Default)]
pub(crate) struct Pages {
    jobs: BTreeMap<String, BTreeMap<u32, Page>>,
    remove_after: Micros,
}

/// Limits on one transaction that records a job's progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteLimits {
    /// The largest size of a value, in bytes.
    pub value_bytes: usize,
    /// How many pages may be written in addition to the record.
    pub pages: usize,
}

/// The next write of a job's progress.
#[derive(Debug, PartialEq)]
pub(crate) struct ProgressWrite {
    /// The record as it will be stored; `None` if it does not fit yet and only pages are written.
    pub record: Option<ActiveJobRecord>,
    /// The pages to write.
    pub pages: Vec<PageWrite>,
    /// The newly finished tasks that the write records.
    pub recorded: Ranges,
}

/// A parsed key and value under the key prefix of the pages.
#[derive(Debug)]
pub(crate) enum PageEntry<'a> {
    /// The key is not the key of a page.
    NotAPage,
    /// The value is not the record of that page.
    Unreadable,
    /// The finished tasks of a page.
    Page { job: &'a str, number: u32, finished: Ranges },
}

impl<'a> PageEntry<'a> {
    /// Parses the key and the value of an entry.
    pub fn read(entry: &'a KeyValue) -> Self {
        let Some((job, number)) = page_of_key(&entry.key) else { return PageEntry::NotAPage };
        match parse::<PageRecord>(entry).and_then(|record| record.tasks(number)) {
            Some(finished) => PageEntry::Page { job, number, finished },
            None => PageEntry::Unreadable,
        }
    }
}

impl Pages {
    /// Stores a page as of a modification revision, unless the same or a later one is known.
    pub fn insert(&mut self, job: &str, number: u32, finished: Ranges, mod_revision: u64) {
        let pages = self.jobs.entry(job.to_owned()).or_default();
        if pages.get(&number).is_none_or(|known| known.mod_revision < mod_revision) {
            pages.insert(number, Page { finished, mod_revision });
        }
    }

    /// Removes the page with this key, which was deleted at `mod_revision`, unless a later revision
    /// of the page is known.
    pub fn remove(&mut self, path: &str, mod_revision: u64) {
        let Some((job, number)) = page_of_key(path) else { return };
        let Some(pages) = self.jobs.get_mut(job) else { return };
        if pages.get(&number).is_some_and(|known| known.mod_revision <= mod_revision) {
            pages.remove(&number);
        }
        if pages.is_empty() {
            self.jobs.remove(job);
        }
    }

    /// Forgets the pages before they are listed again, but for those written after `revision`, at
    /// which the listing begins.
    pub fn reset(&mut self, revision: u64) {
        for pages in self.jobs.values_mut() {
            pages.retain(|_, page| page.mod_revision > revision);
        }
        self.jobs.retain(|_, pages| !pages.is_empty());
    }

    /// Returns the finished tasks of a job that are recorded in pages.
    pub fn finished_of(&self, job: &str) -> Ranges {
        let mut finished = Ranges::default();
        for page in self.jobs.get(job).into_iter().flat_map(BTreeMap::values) {
            finished.insert_all(&page.finished);
        }
        finished
    }

    /// Adds to a record all tasks of its job that are known to have finished: those in pages and
    /// those listed in the known record. Does nothing for a job without pages.
    pub fn join_finished(&self, record: &mut ActiveJobRecord, known: Option<&ActiveJobRecord>) {
        let job = &record.job.id;
        if !record.paged && !self.has(job) {
            return;
        }
        record.paged = true;
        record.finished.insert_all(&self.finished_of(job));
        if let Some(known) = known {
            record.finished.insert_all(&known.finished);
        }
    }

    /// Reports whether any pages are known and the minimum interval since the last removal has
    /// passed.
    pub fn may_remove(&self, now: Micros) -> bool {
        now >= self.remove_after && !self.jobs.is_empty()
    }

    /// Removes pages of one job that has ended, if the write budget allows, on condition that the
    /// job has no active record. `leader` is a transaction conditional on the term of the first
    /// partition by name, so that a single node, its leader, can commit it.
    pub fn remove_leftovers(
        &mut self,
        now: Micros,
        is_active_job: impl Fn(&str) -> bool,
        leader: Txn,
        txn_ops: usize,
        budget: &mut WriteBudget,
        outbox: &mut Outbox,
    ) {
        let Some((job, pages)) = self.jobs.iter().find(|(job, _)| !is_active_job(job)) else {
            return;
        };
        let mut txn = leader.if_mod_revision(active_job_key(job), 0);
        let removed = pages.len().min(txn_ops);
        for (number, page) in pages.iter().take(removed) {
            let key = page_key(job, *number);
            txn = txn.if_mod_revision(key.clone(), page.mod_revision).delete(key);
        }
        if !budget.try_spend(WriteKind::GarbageCollection, removed) {
            return;
        }
        self.remove_after = now + MIN_REMOVAL_INTERVAL;
        outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), PendingStoreCall::Ignored);
    }

    fn has(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the modification revision of a page, or 0 if it does not exist.
    fn mod_revision(&self, job: &str, number: u32) -> u64 {
        self.jobs.get(job).and_then(|pages| pages.get(&number)).map_or(0, |page| page.mod_revision)
    }

    /// Returns a record as it is stored: without the finished tasks that pages hold.
    pub fn stored_form(&self, record: &ActiveJobRecord) -> ActiveJobRecord {
        let mut stored = record.clone();
        if self.has(&record.job.id) {
            stored.finished.remove_all(&self.finished_of(&record.job.id));
            stored.paged = true;
        }
        stored
    }

    /// Plans how newly finished tasks of a job are recorded; `record` lists those recorded already.
    /// Returns `None` if no write fits the limits.
    pub fn plan(
        &self,
        record: &ActiveJobRecord,
        new: &Ranges,
        limits: WriteLimits,
    ) -> Option<ProgressWrite> {
        let stored = self.stored_form(record);
        let unpaged = stored.finished.clone();
        // The record without finished tasks; the rest of the value is available for their ranges.
        let mut bare = ActiveJobRecord { finished: Ranges::default(), ..stored };
        let ranges_limit =
            |bare: &ActiveJobRecord| limits.value_bytes.checked_sub(Json::of(bare).text().len());
        let all = unpaged.union(new);
        if text_bytes(&all) <= ranges_limit(&bare)? {
            let record = Some(ActiveJobRecord { finished: all, ..bare });
            return Some(ProgressWrite { record, pages: Vec::new(), recorded: new.clone() });
        }
        bare.paged = true;
        let max_bytes = ranges_limit(&bare)?;
        let chosen = longest_pages(&all, max_bytes / 2, limits.pages);
        let (rest, recorded) = if text_bytes(&without(&all, &chosen)) <= max_bytes {
            (without(&all, &chosen), new.clone())
        } else {
            (without(&unpaged, &chosen), new.difference(&without(new, &chosen)))
        };
        if !chosen.is_empty() && text_bytes(&rest) <= max_bytes {
            let pages = self.page_writes(&bare.job.id, &chosen, &all);
            return Some(ProgressWrite {
                record: Some(ActiveJobRecord { finished: rest, ..bare }),
                pages,
                recorded,
            });
        }
        // The stored record itself exceeds the limit. The tasks that it lists go to pages first,
        // and no others, so that no task counts as recorded without a new modification revision of
        // the record.
        let chosen = longest_pages(&unpaged, max_bytes / 2, limits.pages + 1);
        let pages = self.page_writes(&bare.job.id, &chosen, &unpaged);
        let write = ProgressWrite { record: None, pages, recorded: Ranges::default() };
        (limits.pages > 0 && !chosen.is_empty()).then_some(write)
    }

    /// Returns writes of the numbered pages with their known tasks and those of `added`.
    fn page_writes(&self, job: &str, numbers: &[u32], added: &Ranges) -> Vec<PageWrite> {
        let known = self.jobs.get(job);
        let content = |number: &u32| {
            let mut finished = tasks_of_page(added, *number);
            if let Some(page) = known.and_then(|pages| pages.get(number)) {
                finished.insert_all(&page.finished);
            }
            PageWrite { number: *number, finished }
        };
        numbers.iter().map(content).collect()
    }

    /// Adds page writes to a transaction, each on condition of the page's known modification
    /// revision.
    pub fn add_to(&self, mut txn: Txn, job: &str, pages: &[PageWrite]) -> Txn {
        for PageWrite { number, finished } in pages {
            let key = page_key(job, *number);
            let value = Json::of(&PageRecord::new(*number, finished));
            txn =
                txn.if_mod_revision(key.clone(), self.mod_revision(job, *number)).write(key, value);
        }
        txn
    }
}

/// Returns how many pages the write budget and the limit of changes per transaction allow in
/// addition to a record.
pub(crate) fn affordable_pages(budget: &WriteBudget, txn_ops: usize) -> usize {
    let affordable = |pages: &usize| budget.allows(WriteKind::Progress, *pages);
    (1..txn_ops).rev().find(affordable).unwrap_or(0)
}

/// Returns the length of a set in its text form, in bytes.
fn text_bytes(tasks: &Ranges) -> usize {
    tasks.to_string().len()
}

/// Returns a set without the tasks of the given pages.
fn without(tasks: &Ranges, pages: &[u32]) -> Ranges {
    let mut rest = tasks.clone();
    for page in pages {
        rest.remove_all(&tasks_of_page(tasks, *page));
    }
    rest
}

/// Returns the pages whose tasks take the most text: as many as are needed to bring the text of the
/// remaining tasks down to `target_bytes` bytes, but at most `max_pages`.
fn longest_pages(tasks: &Ranges, target_bytes: usize, max_pages: usize) -> Vec<u32> {
    let mut lengths: BTreeMap<u32, usize> = BTreeMap::new();
    for range in tasks.ranges() {
        for page in page_of_task(range.start)..=page_of_task(range.end - 1) {
            lengths.entry(page).or_insert_with(|| text_bytes(&tasks_of_page(tasks, page)) + 1);
        }
    }
    let mut total: usize = lengths.values().sum();
    let mut by_length: Vec<(u32, usize)> = lengths.into_iter().collect();
    by_length.sort_by_key(|(page, length)| (std::cmp::Reverse(*length), *page));
    let mut chosen = Vec::new();
    for (page, length) in by_length.into_iter().take(max_pages) {
        if total <= target_bytes {
            break;
        }
        total -= length;
        chosen.push(page);
    }
    chosen
}

#[cfg(test)]
mod tests;
