//! Listing of all records in the store: at startup, and again when the watch has fallen so far
//! behind that the store no longer has the changes that it missed.
//!
//! [`Listing`] owns the progress. Only one listing is active at a time. It reads section by section
//! and page by page; pages of earlier listings are ignored. Later pages may contain changes made
//! after the first page was read; the watch, which starts at the revision of the first page,
//! delivers these changes again.

use quartzlever_wire::store::{KeyValue, ListPage, StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::{PendingStoreCall, Section};
use crate::messages::CallPriority;
use crate::outbox::Outbox;

/// Delay before a new listing after a page could not be read.
const RETRY_DELAY: Micros = SECOND / 2;

/// The listings of this process, of which at most one is active.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    active: Option<ActiveListing>,
    /// The number of the latest listing; listings count from 1.
    latest_number: u64,
    retry_at: Micros,
}

/// The state of the active listing.
#[derive(Clone, Copy, Debug)]
struct ActiveListing {
    number: u64,
    /// When the first page was requested.
    sent: Micros,
    /// The section of the latest page received, if any.
    section: Option<Section>,
}

/// A page of the active listing.
#[derive(Debug)]
pub(crate) struct ListedPage {
    pub entries: Vec<KeyValue>,
    /// The revision at which the listing begins, if this is its first page.
    pub listing_revision: Option<u64>,
    /// Whether this is the first page of its section.
    pub is_first_of_section: bool,
    pub next: NextPage,
}

/// What to read after a page.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NextPage {
    /// The page of the same section that starts after this key.
    After(String),
    /// The first page of another section.
    Section(Section),
    /// Nothing: the listing is complete. Its first page was requested at `sent`.
    Complete { sent: Micros },
}

impl Listing {
    /// Begins a listing, unless one is active or the last one failed less than `RETRY_DELAY` ago.
    pub fn begin(&mut self, now: Micros, outbox: &mut Outbox) {
        if self.active.is_some() || now < self.retry_at {
            return;
        }
        self.latest_number += 1;
        self.active = Some(ActiveListing { number: self.latest_number, sent: now, section: None });
        request_page(self.latest_number, Section::Partitions, None, outbox);
    }

    /// Handles the reply to the request for a page, or its failure, which ends the listing. Returns
    /// `None` if it failed or does not belong to the active listing.
    pub fn handle_page(
        &mut self,
        now: Micros,
        number: u64,
        section: Section,
        result: Result<StoreReply, CallError>,
    ) -> Option<ListedPage> {
        let listing = self.active.filter(|listing| listing.number == number)?;
        let Ok(StoreReply::Listed(page)) = result else {
            self.active = None;
            self.retry_at = now + RETRY_DELAY;
            return None;
        };
        self.active = Some(ActiveListing { section: Some(section), ..listing });
        let next = match (continuation_key(&page), section.next()) {
            (Some(key), _) => NextPage::After(key),
            (None, Some(next)) => NextPage::Section(next),
            (None, None) => NextPage::Complete { sent: listing.sent },
        };
        Some(ListedPage {
            listing_revision: listing.section.is_none().then_some(page.revision),
            is_first_of_section: listing.section != Some(section),
            entries: page.entries,
            next,
        })
    }

    /// Requests `next` after a page of `section`. If the listing is complete, ends it and returns
    /// the time at which its first page was requested.
    pub fn request_next(
        &mut self,
        section: Section,
        next: NextPage,
        outbox: &mut Outbox,
    ) -> Option<Micros> {
        match next {
            NextPage::After(key) => request_page(self.latest_number, section, Some(key), outbox),
            NextPage::Section(next) => request_page(self.latest_number, next, None, outbox),
            NextPage::Complete { sent } => {
                self.active = None;
                return Some(sent);
            }
        }
        None
    }
}

/// Requests the page of a section that starts after the key `from`, or the first page.
fn request_page(listing: u64, section: Section, from: Option<String>, outbox: &mut Outbox) {
    let call = StoreCall::List { prefix: section.prefix().into(), from };
    outbox.call_store(CallPriority::Lease, call, PendingStoreCall::List { listing, section });
}

/// Returns the last key of a page that is not the last one of its section.
fn continuation_key(page: &ListPage) -> Option<String> {
    if page.has_next { page.entries.last().map(|entry| entry.key.clone()) } else { None }
}

#[cfg(test)]
mod tests;
