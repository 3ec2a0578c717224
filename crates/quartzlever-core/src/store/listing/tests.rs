//! The order of pages, and the handling of pages of an earlier listing.

use super::*;
use crate::messages::{Effect, LogLevel};
use crate::testing::{NOW, partition_entry};

/// Accessors for tests.
impl Listing {
    /// Returns the number of the latest listing.
    pub(crate) fn latest_number(&self) -> u64 {
        self.latest_number
    }

    /// Ends the active listing without a result.
    pub(crate) fn abandon(&mut self) {
        self.active = None;
    }
}

/// Returns the prefix and the start key of each requested page.
fn requested_pages(outbox: &mut Outbox) -> Vec<(String, Option<String>)> {
    let call = |effect| match effect {
        Effect::Store { call: StoreCall::List { prefix, from }, .. } => Some((prefix, from)),
        _ => None,
    };
    outbox.take_effects().into_iter().filter_map(call).collect()
}

fn page(entries: Vec<KeyValue>, has_next: bool) -> Result<StoreReply, CallError> {
    Ok(StoreReply::Listed(ListPage { entries, has_next, revision: 20 }))
}

#[test]
fn all_sections_are_listed_page_by_page() {
    let (mut listing, mut outbox) = (Listing::default(), Outbox::new(LogLevel::Error, NOW));
    listing.begin(NOW, &mut outbox);
    listing.begin(NOW + SECOND, &mut outbox);
    assert_eq!(
        requested_pages(&mut outbox),
        [("parts/".to_owned(), None)],
        "only one listing is active at a time"
    );
    let entry = partition_entry("one", "one", 1, 5);
    let number = listing.latest_number();
    let first = listing.handle_page(NOW, number, Section::Partitions, page(vec![entry], true));
    let first = first.expect("the page belongs to the active listing");
    assert_eq!(
        (first.listing_revision, first.is_first_of_section, first.entries.len()),
        (Some(20), true, 1)
    );
    assert_eq!(listing.request_next(Section::Partitions, first.next, &mut outbox), None);
    assert_eq!(requested_pages(&mut outbox), [("parts/".to_owned(), Some("parts/one".to_owned()))]);
    for section in Section::ALL {
        let listed = listing.handle_page(NOW, number, section, page(Vec::new(), false));
        let listed = listed.expect("the page belongs to the active listing");
        assert_eq!(listed.listing_revision, None, "{section:?}");
        assert_eq!(listed.is_first_of_section, section != Section::Partitions, "{section:?}");
        let complete = listing.request_next(section, listed.next, &mut outbox);
        assert_eq!(complete, section.next().is_none().then_some(NOW), "{section:?}");
        let next = section.next().map(|next| (next.prefix().to_owned(), None));
        assert_eq!(
            requested_pages(&mut outbox),
            next.into_iter().collect::<Vec<_>>(),
            "{section:?}"
        );
    }
}

#[test]
fn a_failed_page_ends_the_listing_and_its_later_pages_are_ignored() {
    let (mut listing, mut outbox) = (Listing::default(), Outbox::new(LogLevel::Error, NOW));
    listing.begin(NOW, &mut outbox);
    let number = listing.latest_number();
    let failed = Err(CallError::Unknown);
    assert!(listing.handle_page(NOW, number, Section::Partitions, failed).is_none());
    requested_pages(&mut outbox);
    listing.begin(NOW + RETRY_DELAY - 1, &mut outbox);
    assert!(requested_pages(&mut outbox).is_empty(), "the retry delay has not passed");
    listing.begin(NOW + RETRY_DELAY, &mut outbox);
    assert_eq!(requested_pages(&mut outbox).len(), 1);
    assert!(
        listing.handle_page(NOW, number, Section::Cluster, page(Vec::new(), false)).is_none(),
        "the page belongs to the earlier listing"
    );
    let number = listing.latest_number();
    let first = listing.handle_page(NOW, number, Section::Partitions, page(Vec::new(), false));
    assert_eq!(first.and_then(|page| page.listing_revision), Some(20));
}
