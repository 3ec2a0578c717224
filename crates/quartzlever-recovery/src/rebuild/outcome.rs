//! The results of a rebuild and of its single steps.
//!
//! Of the two errors, only [`RebuildError`] leaves the crate. After an [`Interruption`], the state
//! machine observes the store again and determines its state from that.

use quartzlever_wire::CallError;

use crate::generation::Generation;
use crate::records::RecordSet;

/// A store that may be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedStore {
    /// The generation that is serving.
    pub generation: Generation,
    /// All records of the generation.
    pub records: RecordSet,
    /// The store's own revision, not the generation's, at or after the reading of the records.
    pub revision: u64,
    /// Whether other controllers may know jobs that the records lack.
    pub may_lack_jobs: bool,
}

/// Why a controller cannot continue without an operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RebuildError {
    /// The store and the controller's recovery directory belong to different clusters.
    #[error(
        "the state service has the records of another cluster than the recovery directory of this \
         controller: check the settings external.state and recovery.directory"
    )]
    ForeignCluster,
}

/// Why a step was not completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Interruption {
    /// The store did not reply, or its reply does not match the call.
    #[error("call to the store failed: {0}")]
    Call(#[from] CallError),
    /// A condition did not hold, because another controller was faster or data was lost again.
    #[error("the store has changed since it was observed")]
    Conflict,
}

/// The result of a step.
pub(super) type StepResult<T> = Result<T, Interruption>;

/// What a completed step means for the process.
#[derive(Debug)]
pub(super) enum StepOutcome {
    /// The store may be used.
    Opened(OpenedStore),
    /// The store must be observed again.
    ObserveAgain,
}
