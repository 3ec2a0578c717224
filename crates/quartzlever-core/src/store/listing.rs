//! Reading all records of the store: at the start, and again when the watch has fallen so far
//! behind that the store no longer knows what it missed.
//!
//! Owns how far that has come. One listing is under way at a time, section by section and page by page; a
//! page that belongs to an earlier listing is ignored. Later pages may tell of changes after the first one,
//! and the watch, which begins at the revision of the first page, tells of these again.

use quartzlever_wire::store::{KeyValue, ListPage, StoreCall, StoreReply};
use quartzlever_wire::{CallError, Micros, SECOND};

use crate::calls::{PendingStoreCall, Section};
use crate::messages::CallPriority;
use crate::outbox::Outbox;

/// After a page that was not read.
const RETRY: Micros = SECOND / 2;

/// The listings of this process.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    under_way: Option<UnderWay>,
    begun: u64,
    retry_at: Micros,
}

/// The listing under way.
#[derive(Clone, Copy, Debug)]
struct UnderWay {
    number: u64,
    sent: Micros,
    /// The section of the last page that has come.
    section: Option<Section>,
}

/// A page that has come.
#[derive(Debug)]
pub(crate) struct ListedPage {
    pub entries: Vec<KeyValue>,
    /// The revision at which the listing begins, if this is its first page.
    pub begins_at: Option<u64>,
    /// Whether it is the first page of its section.
    pub begins_section: bool,
    pub next: NextPage,
}

/// What follows on a page.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum NextPage {
    /// More of the same section, from that key on.
    From(String),
    /// Another section.
    Section(Section),
    /// Nothing: the listing, which was begun at that moment, is complete.
    Complete { sent: Micros },
}

impl Listing {
    /// Begins to list all records, unless that is being done.
    pub fn begin(&mut self, now: Micros, outbox: &mut Outbox) {
        if self.under_way.is_some() || now < self.retry_at {
            return;
        }
        self.begun += 1;
        self.under_way = Some(UnderWay { number: self.begun, sent: now, section: None });
        list(self.begun, Section::Partitions, None, outbox);
    }

    /// A page was read, or not; `None` if there is nothing to take in.
    pub fn page_listed(
        &mut self,
        now: Micros,
        number: u64,
        section: Section,
        result: Result<StoreReply, CallError>,
    ) -> Option<ListedPage> {
        let listing = self.under_way.filter(|listing| listing.number == number)?;
        let Ok(StoreReply::Listed(page)) = result else {
            self.under_way = None;
            self.retry_at = now + RETRY;
            return None;
        };
        self.under_way = Some(UnderWay { section: Some(section), ..listing });
        let next = match (next_page(&page), section.next()) {
            (Some(from), _) => NextPage::From(from),
            (None, Some(next)) => NextPage::Section(next),
            (None, None) => NextPage::Complete { sent: listing.sent },
        };
        Some(ListedPage {
            begins_at: listing.section.is_none().then_some(page.revision),
            begins_section: listing.section != Some(section),
            entries: page.entries,
            next,
        })
    }

    /// Asks for what follows on a page of this section; gives when the listing was begun if that is
    /// nothing.
    pub fn proceed(
        &mut self,
        section: Section,
        next: NextPage,
        outbox: &mut Outbox,
    ) -> Option<Micros> {
        match next {
            NextPage::From(from) => list(self.begun, section, Some(from), outbox),
            NextPage::Section(next) => list(self.begun, next, None, outbox),
            NextPage::Complete { sent } => {
                self.under_way = None;
                return Some(sent);
            }
        }
        None
    }
}

fn list(listing: u64, section: Section, from: Option<String>, outbox: &mut Outbox) {
    let call = StoreCall::List { prefix: section.prefix().into(), from };
    outbox.call_store(CallPriority::Lease, call, PendingStoreCall::List { listing, section });
}

fn next_page(page: &ListPage) -> Option<String> {
    if page.has_next { page.entries.last().map(|entry| entry.key.clone()) } else { None }
}

#[cfg(test)]
mod tests;
