//! Adaptive work stealing: an idle partition asks a few random peers for their ready counts, steals
//! half the ready tasks of the most loaded, and doubles its wait after a failure.
//!
//! A task has one owner at every moment: it moves by one transaction of the store, and the thief is told
//! of it after that.
//!
//! - `thief`: when a partition looks for work, whom it asks, and from whom it takes.
//! - `victim`: what a partition tells of its queue, and what of it may go.
//! - `load`: how long queues are, and the room on machines.
//! - `cut`: which ranges are cut off the victim's queue.
//! - `commit`: the write of a move, and what its outcome does; roll-back.

mod commit;
mod cut;
mod load;
mod thief;
mod victim;

pub(crate) use thief::Stealing;

#[cfg(test)]
mod tests;
