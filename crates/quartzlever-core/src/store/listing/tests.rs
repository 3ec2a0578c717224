//! The order of pages, and pages that belong to an earlier listing.

use super::*;
use crate::messages::{Effect, LogLevel};
use crate::testing::{NOW, partition_entry};

/// States that tests begin with.
impl Listing {
    /// The number of the listing that was begun last.
    pub(crate) fn latest(&self) -> u64 {
        self.begun
    }

    pub(crate) fn abandon(&mut self) {
        self.under_way = None;
    }
}

/// Prefixes and first keys of the pages that are asked for.
fn asked(outbox: &mut Outbox) -> Vec<(String, Option<String>)> {
    let call = |effect| match effect {
        Effect::Store { call: StoreCall::List { prefix, from }, .. } => Some((prefix, from)),
        _ => None,
    };
    outbox.take_effects().into_iter().filter_map(call).collect()
}

fn page(rows: Vec<KeyValue>, has_next: bool) -> Result<StoreReply, CallError> {
    Ok(StoreReply::Listed(ListPage { entries: rows, has_next, revision: 20 }))
}

#[test]
fn all_sections_are_listed_page_by_page() {
    let (mut listing, mut outbox) = (Listing::default(), Outbox::new(LogLevel::Error, NOW));
    listing.begin(NOW, &mut outbox);
    listing.begin(NOW + SECOND, &mut outbox);
    assert_eq!(asked(&mut outbox), [("parts/".to_owned(), None)], "one at a time");
    let entry = partition_entry("one", "one", 1, 5);
    let number = listing.latest();
    let first = listing.page_listed(NOW, number, Section::Partitions, page(vec![entry], true));
    let first = first.expect("it is of the listing under way");
    assert_eq!((first.begins_at, first.begins_section, first.entries.len()), (Some(20), true, 1));
    assert_eq!(listing.proceed(Section::Partitions, first.next, &mut outbox), None);
    assert_eq!(asked(&mut outbox), [("parts/".to_owned(), Some("parts/one".to_owned()))]);
    for section in Section::ALL {
        let listed = listing.page_listed(NOW, number, section, page(Vec::new(), false));
        let listed = listed.expect("it is of the listing under way");
        assert_eq!(listed.begins_at, None, "{section:?}");
        assert_eq!(listed.begins_section, section != Section::Partitions, "{section:?}");
        let complete = listing.proceed(section, listed.next, &mut outbox);
        assert_eq!(complete, section.next().is_none().then_some(NOW), "{section:?}");
        let next = section.next().map(|next| (next.prefix().to_owned(), None));
        assert_eq!(asked(&mut outbox), next.into_iter().collect::<Vec<_>>(), "{section:?}");
    }
}

#[test]
fn a_page_that_was_not_read_ends_the_listing_and_what_comes_of_it_later_is_ignored() {
    let (mut listing, mut outbox) = (Listing::default(), Outbox::new(LogLevel::Error, NOW));
    listing.begin(NOW, &mut outbox);
    let number = listing.latest();
    let failed = Err(CallError::Unknown);
    assert!(listing.page_listed(NOW, number, Section::Partitions, failed).is_none());
    asked(&mut outbox);
    listing.begin(NOW + RETRY - 1, &mut outbox);
    assert!(asked(&mut outbox).is_empty(), "a pause");
    listing.begin(NOW + RETRY, &mut outbox);
    assert_eq!(asked(&mut outbox).len(), 1);
    assert!(
        listing.page_listed(NOW, number, Section::Cluster, page(Vec::new(), false)).is_none(),
        "it is of the earlier listing"
    );
    let number = listing.latest();
    let first = listing.page_listed(NOW, number, Section::Partitions, page(Vec::new(), false));
    assert_eq!(first.and_then(|page| page.begins_at), Some(20));
}
