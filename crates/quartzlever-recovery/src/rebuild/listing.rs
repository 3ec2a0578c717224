//! Reading whole prefixes of the store, page by page.
//!
//! A listing of several pages is not a consistent snapshot. Where completeness up to a revision is
//! claimed, that is the revision of the first page ([`list_generation`]); where only the latest
//! state counts, it is the revision of the last page ([`observe`]).

use std::collections::BTreeMap;

use quartzlever_wire::CallError;
use quartzlever_wire::store::{ListPage, StoreCall, StoreReply};

use crate::access::StoreAccess;
use crate::generation::Generation;
use crate::identity::{RECOVERY_PREFIX, StoreObservation};
use crate::records::{Record, RecordSet};

/// Reads all keys under `recovery/`.
///
/// # Errors
/// Returns the error of the first call that fails, or [`CallError::Unknown`] if a reply is not a
/// listing.
pub fn observe(access: &mut impl StoreAccess) -> Result<StoreObservation, CallError> {
    let mut all = Vec::new();
    let mut from: Option<String> = None;
    loop {
        let page = read_page(access, RECOVERY_PREFIX, from)?;
        all.extend(page.entries);
        if !page.has_next {
            return Ok(StoreObservation::from_page(&ListPage {
                entries: all,
                has_next: false,
                revision: page.revision,
            }));
        }
        from = all.last().map(|entry| entry.key.clone());
    }
}

/// Reads all records of a generation. The set is complete up to the revision of the first page.
///
/// # Errors
/// Returns the error of the first call that fails, or [`CallError::Unknown`] if a reply is not a
/// listing.
pub fn list_generation(
    access: &mut impl StoreAccess,
    generation: &Generation,
) -> Result<RecordSet, CallError> {
    let mut records: BTreeMap<String, Record> = BTreeMap::new();
    let mut from: Option<String> = None;
    let mut revision = None;
    loop {
        let page = read_page(access, &generation.identity.namespace, from)?;
        let has_next = page.has_next;
        let last = page.entries.last().map(|entry| entry.key.clone());
        let StoreReply::Listed(own) = generation.reply_from_store(StoreReply::Listed(page)) else {
            return Err(CallError::Unknown);
        };
        revision.get_or_insert(own.revision);
        records.extend(records_of(own));
        match last.filter(|_| has_next) {
            Some(last) => from = Some(last),
            None => return Ok(RecordSet::new(revision.unwrap_or(0), records)),
        }
    }
}

fn read_page(
    access: &mut impl StoreAccess,
    prefix: &str,
    from: Option<String>,
) -> Result<ListPage, CallError> {
    match access.call(&StoreCall::List { prefix: prefix.to_owned(), from })? {
        StoreReply::Listed(page) => Ok(page),
        _ => Err(CallError::Unknown),
    }
}

fn records_of(page: ListPage) -> impl Iterator<Item = (String, Record)> {
    page.entries.into_iter().map(|entry| {
        let value = entry.value.text().to_owned();
        (entry.key, Record { value, mod_revision: entry.mod_revision })
    })
}
