//! Autoscaling: which machines are launched and terminated for each partition, and when.
//!
//! - `offer`: machine offers and their prices.
//! - `cloud`: the catalogue, the listing of machines, and the periodic autoscaling pass.
//! - `fleet`: the requests, refusals and terminated machines of each partition.
//! - `pending_instances`: launched machines without a heartbeat, and which of them are late.
//! - `demand`, `policy`, `warm_capacity`, `requests`: scaling out.
//! - `scale_in`: which machines are terminated, and why.

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

/// Delay before a call to the cloud is repeated after a failure or an unexpected reply.
const RETRY_DELAY: Micros = SECOND;
/// Maximum number of machines that one call terminates.
const MAX_MACHINES_PER_SCALE_IN: usize = 100;

#[cfg(test)]
mod tests;
