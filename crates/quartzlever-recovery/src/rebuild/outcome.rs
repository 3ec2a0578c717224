//! What comes out of a rebuild, and how a single step of it can fail.
//!
//! Only [`RebuildError`] leaves the crate. An [`Interruption`] never does: the state machine looks at the
//! store again and decides anew.

use quartzlever_wire::CallError;

use crate::generation::Generation;
use crate::picture::Picture;

/// A store that may be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The generation that serves.
    pub generation: Generation,
    /// All records of the generation.
    pub picture: Picture,
    /// The store's own revision that the records were read at, at least.
    pub revision: u64,
    /// Other controllers may know of jobs that the records lack.
    pub lacks_jobs: bool,
}

/// Why a controller cannot continue without an operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RebuildError {
    /// The store and the controller's directory belong to different clusters.
    #[error("the state service has the records of another cluster than this directory")]
    ForeignCluster,
}

/// Why a step did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Interruption {
    /// The store did not answer, or not as the call asks.
    #[error("the call to the state service failed: {0}")]
    Call(#[from] CallError),
    /// A condition did not hold: another controller was first, or data was lost again.
    #[error("the store has changed since it was looked at")]
    Overtaken,
}

/// The result of a step.
pub(super) type Attempt<T> = Result<T, Interruption>;

/// Where a step leaves the process.
#[derive(Debug)]
pub(super) enum Progress {
    /// The store may be worked with.
    Opened(Opened),
    /// The store has to be looked at again.
    LookAgain,
}
