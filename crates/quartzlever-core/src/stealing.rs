//! Adaptive work stealing: an idle partition asks a few random peers for their ready counts, steals
//! up to half the ready tasks of the most loaded one, and doubles its wait after each failure.
//!
//! A task has one owner at all times: one transaction of the store moves it, and the thief receives
//! the answer after that.
//!
//! - `thief`: when a partition looks for work, which peers it asks, and from which it steals.
//! - `victim`: the counts that a node reports, and the tasks that may be stolen.
//! - `load`: the lengths of queues, and the free capacity of machines.
//! - `selection`: the ranges of tasks that are removed from the victim's queue.
//! - `commit`: the write of a move and the handling of its outcome, including the roll-back.

mod commit;
mod load;
mod selection;
mod thief;
mod victim;

pub(crate) use thief::Stealing;

#[cfg(test)]
mod tests;
