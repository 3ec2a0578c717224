//! The machines of a partition: what is known of the cloud, and who decides about renting and
//! returning.
//!
//! - `offer`: kinds of machines, and what they cost.
//! - `cloud`: the catalogue, the list of machines, and when all this is looked at.
//! - `fleet`: what each partition keeps of requests, refusals, and returned machines.
//! - `pending_instances`: machines on their way, and which count as late.
//! - `demand`, `policy`, `warm_capacity`, `requests`: scaling out.
//! - `scale_in`: which machines are returned, and why.

mod cloud;
mod demand;
mod fleet;
mod offer;
mod pending_instances;
mod policy;
mod requests;
mod scale_in;
mod warm_capacity;

use quartzlever_wire::{Micros, SECOND};

pub(crate) use cloud::Cloud;
pub use fleet::{Fleet, TerminatedMachines};
pub use offer::MachineOffer;
pub use pending_instances::{PendingInstance, PendingInstances};
pub use scale_in::ScaleInReason;

/// After a call to the cloud that was not answered, or not with what was asked for.
const RETRY: Micros = SECOND;
/// The most machines that one call returns.
const MAX_MACHINES_PER_SCALE_IN: usize = 100;

#[cfg(test)]
mod tests;
