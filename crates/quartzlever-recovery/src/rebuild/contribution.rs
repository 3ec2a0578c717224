//! What a controller that had no part in a rebuild still knows: jobs that were accepted, done or cancelled
//! in the last moments before the loss.

use quartzlever_wire::Json;
use quartzlever_wire::pages::{PAGES, page_of_key};
use quartzlever_wire::state::{LIVE, OVER, StateCall, Txn};

use crate::generation::Generation;
use crate::history::History;
use crate::picture::Picture;

/// Jobs that the records lack, or show as live though they are over, each as a transaction. Where the
/// generation has a new line of revisions, final states are inherited instead, but for those of jobs that
/// the records show as live.
pub(super) fn contribution(
    history: &History,
    records: &Picture,
    generation: &Generation,
) -> Vec<StateCall> {
    let known = &history.picture;
    let inherits = generation.identity.base != history.identity.base;
    let over = known.rows().iter().filter_map(|(key, record)| {
        let job = key.strip_prefix(OVER).filter(|_| records.get(key).is_none())?;
        let live_key = format!("{LIVE}{job}");
        let live = records.get(&live_key);
        if inherits && live.is_none() {
            return None;
        }
        let txn = Txn::default()
            .when(key, 0)
            .when(&live_key, live.map_or(0, |record| record.stamp))
            .write(key, Json::from_text(&record.value)?);
        Some(if live.is_some() { txn.delete(live_key) } else { txn })
    });
    let live = known.rows().iter().filter_map(|(key, record)| {
        let job = key.strip_prefix(LIVE)?;
        let over_key = format!("{OVER}{job}");
        let is_known = [key.as_str(), &over_key].iter().any(|k| records.get(k).is_some());
        if is_known || known.get(&over_key).is_some() {
            return None;
        }
        let txn = Txn::default().when(key, 0).when(over_key, 0);
        Some(with_pages(txn.write(key, Json::from_text(&record.value)?), job, known))
    });
    over.chain(live).map(StateCall::Txn).collect()
}

/// A job's pages of finished tasks go with its record.
fn with_pages(txn: Txn, job: &str, known: &Picture) -> Txn {
    let prefix = format!("{PAGES}{job}/");
    let pages =
        known.rows().range(prefix.clone()..).take_while(|(key, _)| key.starts_with(&prefix));
    let of_job = pages.filter(|(key, _)| page_of_key(key).is_some_and(|(owner, _)| owner == job));
    of_job.fold(txn, |txn, (key, record)| match Json::from_text(&record.value) {
        Some(value) => txn.write(key, value),
        None => txn,
    })
}
