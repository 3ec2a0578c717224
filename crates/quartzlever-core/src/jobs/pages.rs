//! Finished tasks of large jobs, recorded in pages of fixed task ranges.
//!
//! A job's record under `live/` lists its finished tasks as ranges, which outgrow a value where
//! tasks end in a bad order. Then the worst of them move to pages, each a key of its own. That a
//! task has finished stays true for good, so pages only grow while the job lives, and whatever has
//! been seen of them may be joined with any view of the record: a late view knows less, never
//! anything wrong. Every page is written on condition of the record's modification revision, so none can appear
//! after the job is done or cancelled; what is left of such jobs is removed later.
//!
//! `Pages` owns what is known of all pages, plans how progress is recorded, and removes leftovers.

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

/// Leftover pages are removed no more often, so that the watch can tell of the last removal.
const REMOVE_PAUSE: Micros = 2 * SECOND;

/// A page as the store has it.
#[derive(Clone, Debug)]
struct Page {
    finished: Ranges,
    mod_revision: u64,
}

/// The pages of all jobs, as far as they are known.
#[derive(Debug, Default)]
pub(crate) struct Pages {
    jobs: BTreeMap<String, BTreeMap<u32, Page>>,
    remove_after: Micros,
}

/// What one transaction may take of a job's progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteLimits {
    /// The largest value.
    pub value_bytes: usize,
    /// How many pages may be written beside the record.
    pub pages: usize,
}

/// How a job's progress is written next.
#[derive(Debug, PartialEq)]
pub(crate) struct ProgressWrite {
    /// The record as it will be stored; none if only pages are written since it does not fit yet.
    pub record: Option<ActiveJobRecord>,
    /// Pages that are written.
    pub pages: Vec<PageWrite>,
    /// The newly finished tasks that are recorded by this.
    pub recorded: Ranges,
}

/// A row under the prefix of the pages.
#[derive(Debug)]
pub(crate) enum PageEntry<'a> {
    /// Its key is not the key of a page.
    NoPage,
    Unreadable,
    Page {
        job: &'a str,
        number: u32,
        finished: Ranges,
    },
}

impl<'a> PageEntry<'a> {
    /// Reads the key and the value of a row.
    pub fn read(entry: &'a KeyValue) -> Self {
        let Some((job, number)) = page_of_key(&entry.key) else { return PageEntry::NoPage };
        match parse::<PageRecord>(entry).and_then(|record| record.tasks(number)) {
            Some(finished) => PageEntry::Page { job, number, finished },
            None => PageEntry::Unreadable,
        }
    }
}

impl Pages {
    /// Takes in a page as it is at a revision; a later one may be known already.
    pub fn insert(&mut self, job: &str, number: u32, finished: Ranges, mod_revision: u64) {
        let pages = self.jobs.entry(job.to_owned()).or_default();
        if pages.get(&number).is_none_or(|known| known.mod_revision < mod_revision) {
            pages.insert(number, Page { finished, mod_revision });
        }
    }

    /// The page with this key was removed at a revision.
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

    /// All pages are read anew.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// The finished tasks of a job that are recorded in pages.
    pub fn finished_of(&self, job: &str) -> Ranges {
        let mut finished = Ranges::default();
        for page in self.jobs.get(job).into_iter().flat_map(BTreeMap::values) {
            finished.add(&page.finished);
        }
        finished
    }

    /// Joins a record with all that is known to have finished of its job: the pages, and what the
    /// known record lists.
    pub fn join_finished(&self, record: &mut ActiveJobRecord, known: Option<&ActiveJobRecord>) {
        let job = &record.job.id;
        if !record.paged && !self.has(job) {
            return;
        }
        record.paged = true;
        record.finished.add(&self.finished_of(job));
        if let Some(known) = known {
            record.finished.add(&known.finished);
        }
    }

    /// Whether there are pages, and leftover ones may be removed by now.
    pub fn may_remove(&self, now: Micros) -> bool {
        now >= self.remove_after && !self.jobs.is_empty()
    }

    /// Removes pages of one job that is over, as far as the account of changes allows, on condition
    /// that the job is not live. `leader` is a transaction that only the leader of the first partition
    /// gets into force.
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
        self.remove_after = now + REMOVE_PAUSE;
        outbox.call_store(CallPriority::Work, StoreCall::Txn(txn), PendingStoreCall::Ignored);
    }

    fn has(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// The modification revision of a page, 0 if it does not exist.
    fn mod_revision(&self, job: &str, number: u32) -> u64 {
        self.jobs.get(job).and_then(|pages| pages.get(&number)).map_or(0, |page| page.mod_revision)
    }

    /// A record as it is stored: without the finished tasks that pages hold.
    pub fn stored_form(&self, record: &ActiveJobRecord) -> ActiveJobRecord {
        let mut stored = record.clone();
        if self.has(&record.job.id) {
            stored.finished.subtract(&self.finished_of(&record.job.id));
            stored.paged = true;
        }
        stored
    }

    /// Decides how newly finished tasks of a job are recorded, `record` being what is recorded
    /// already. None if nothing can be written that fits.
    pub fn plan(
        &self,
        record: &ActiveJobRecord,
        new: &Ranges,
        room: WriteLimits,
    ) -> Option<ProgressWrite> {
        let stored = self.stored_form(record);
        let unpaged = stored.finished.clone();
        let mut bare = ActiveJobRecord { finished: Ranges::default(), ..stored };
        let text_room =
            |bare: &ActiveJobRecord| room.value_bytes.checked_sub(Json::of(bare).text().len());
        let all = unpaged.union(new);
        if text_length(&all) <= text_room(&bare)? {
            let record = Some(ActiveJobRecord { finished: all, ..bare });
            return Some(ProgressWrite { record, pages: Vec::new(), recorded: new.clone() });
        }
        bare.paged = true;
        let most = text_room(&bare)?;
        let chosen = longest_pages(&all, most / 2, room.pages);
        let (rest, recorded) = if text_length(&without(&all, &chosen)) <= most {
            (without(&all, &chosen), new.clone())
        } else {
            (without(&unpaged, &chosen), new.minus(&without(new, &chosen)))
        };
        if !chosen.is_empty() && text_length(&rest) <= most {
            let pages = self.with_content(&bare.job.id, &chosen, &all);
            return Some(ProgressWrite {
                record: Some(ActiveJobRecord { finished: rest, ..bare }),
                pages,
                recorded,
            });
        }
        // The stored record itself has outgrown the limit. What it lists goes to pages first; only
        // that, so that no task counts as recorded without a new modification revision of the record.
        let chosen = longest_pages(&unpaged, most / 2, room.pages + 1);
        let pages = self.with_content(&bare.job.id, &chosen, &unpaged);
        let write = ProgressWrite { record: None, pages, recorded: Ranges::default() };
        (room.pages > 0 && !chosen.is_empty()).then_some(write)
    }

    /// Pages with what they hold already and what comes to it.
    fn with_content(&self, job: &str, numbers: &[u32], more: &Ranges) -> Vec<PageWrite> {
        let known = self.jobs.get(job);
        let content = |number: &u32| {
            let mut finished = tasks_of_page(more, *number);
            if let Some(page) = known.and_then(|pages| pages.get(number)) {
                finished.add(&page.finished);
            }
            PageWrite { number: *number, finished }
        };
        numbers.iter().map(content).collect()
    }

    /// Adds the writes of pages to a transaction, on condition of what is known of them.
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

/// How many pages may be written beside a record now.
pub(crate) fn affordable_pages(budget: &WriteBudget, txn_ops: usize) -> usize {
    let affordable = |pages: &usize| budget.has(WriteKind::Progress, *pages);
    (1..txn_ops).rev().find(affordable).unwrap_or(0)
}

/// How long a set is as text.
fn text_length(tasks: &Ranges) -> usize {
    tasks.to_string().len()
}

/// A set without the tasks of these pages.
fn without(tasks: &Ranges, pages: &[u32]) -> Ranges {
    let mut rest = tasks.clone();
    for page in pages {
        rest.subtract(&tasks_of_page(tasks, *page));
    }
    rest
}

/// The pages whose tasks take the most text, as many as bring the rest within `wanted` bytes, if
/// that many may be chosen.
fn longest_pages(tasks: &Ranges, wanted: usize, most: usize) -> Vec<u32> {
    let mut lengths: BTreeMap<u32, usize> = BTreeMap::new();
    for range in tasks.ranges() {
        for page in page_of_task(range.start)..=page_of_task(range.end - 1) {
            lengths.entry(page).or_insert_with(|| text_length(&tasks_of_page(tasks, page)) + 1);
        }
    }
    let mut total: usize = lengths.values().sum();
    let mut by_length: Vec<(u32, usize)> = lengths.into_iter().collect();
    by_length.sort_by_key(|(page, length)| (std::cmp::Reverse(*length), *page));
    let mut chosen = Vec::new();
    for (page, length) in by_length.into_iter().take(most) {
        if total <= wanted {
            break;
        }
        total -= length;
        chosen.push(page);
    }
    chosen
}

#[cfg(test)]
mod tests;
