//! The inputs of a rebuild: the operator's settings, and what the process has read from its own
//! files.
//!
//! Plain values that do not change while the rebuild runs.

use quartzlever_wire::Micros;

use crate::detection::Loss;
use crate::history::History;

/// The operator's settings for a rebuild.
#[derive(Clone, Debug)]
pub struct RebuildSettings {
    /// Name of this controller.
    pub node: String,
    /// Names of all controllers, including this one.
    pub nodes: Vec<String>,
    /// Random number that distinguishes this process from earlier ones of the same name.
    pub process: u64,
    /// How long to wait for other controllers that might have later records, in microseconds.
    pub gather_timeout: Micros,
    /// Lifetime of the lease that candidates and the lock are attached to, in microseconds.
    pub lease_lifetime: Micros,
    /// Lifetime of a worker's lease, in microseconds.
    pub worker_lease_lifetime: Micros,
    /// Maximum number of changes in one transaction.
    pub max_txn_changes: usize,
    /// Maximum number of changes per second.
    pub max_changes_per_second: f64,
    /// Maximum size of one value of the store, in bytes.
    pub max_value_bytes: usize,
}

/// What a controller can rebuild the records from.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// The records in the controller's own files; `None` if there is no readable snapshot.
    pub history: Option<History>,
    /// Whether the recovery directory has the mark that the log is written before any action.
    pub is_marked: bool,
    /// A loss that was detected earlier although the store otherwise looks intact.
    pub known_loss: Option<Loss>,
}
