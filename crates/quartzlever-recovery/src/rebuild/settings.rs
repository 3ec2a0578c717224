//! What goes into a rebuild: the operator's settings, and what the process itself brings.
//!
//! Plain values; nothing here changes while the rebuild runs.

use quartzlever_wire::Micros;

use crate::detection::Loss;
use crate::history::History;

/// The operator's settings for a rebuild.
#[derive(Clone, Debug)]
pub struct RebuildSettings {
    /// Name of this controller.
    pub node: String,
    /// Names of all controllers, this one among them.
    pub nodes: Vec<String>,
    /// Random number that tells this process from an earlier one of the same name.
    pub process: u64,
    /// How long to wait for other controllers that might know more, in microseconds.
    pub gather: Micros,
    /// Life of the lease that candidates and the lock are bound to, in microseconds.
    pub lease_life: Micros,
    /// Life of a worker's lease, in microseconds.
    pub worker_lease: Micros,
    /// Changes in one transaction, at most.
    pub txn_ops: usize,
    /// Changes per second, at most.
    pub write_rps: f64,
    /// Bytes in one value of the store, at most.
    pub value_bytes: usize,
}

/// What a controller has to rebuild from.
#[derive(Clone, Debug, Default)]
pub struct Local {
    /// The records as the controller's own files have them; `None` if there is no readable snapshot.
    pub history: Option<History>,
    /// The mark was found that says that the log is written before anything is done.
    pub marked: bool,
    /// A loss that was found earlier, while the store looks intact otherwise.
    pub found: Option<Loss>,
}
