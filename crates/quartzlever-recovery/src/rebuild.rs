//! Rebuilds the records of a store that has lost data, from the start of a process to a usable
//! store.
//!
//! [`open`] runs the whole procedure. A controller that finds the store intact, or already rebuilt
//! by another controller, continues at once. Otherwise every controller announces itself as a
//! candidate, with the revisions of the records that it could rebuild from. The candidate with the
//! latest records acquires a lock that is attached to its lease, writes the records, and makes them
//! the next generation by one conditional write.
//!
//! Invariant: only that write creates a generation, on condition of the lock and of the identity
//! that was read before. A controller that dies at any earlier step leaves no generation behind,
//! and the next candidate starts over: in a new namespace, unless the store's revisions continue
//! those known so far.
//!
//! - `state_machine`: the states of the process and the transitions between them.
//! - `election`: the stages of a candidate, up to the acquisition of the lock.
//! - `writer`: writing the next generation while holding the lock.
//! - `successor`: the identity of the next generation, and the surviving records of the store.
//! - `acceptance`: opening the store with a generation that is already serving.
//! - `contribution`: adding the jobs that only a controller absent from the rebuild knows.
//! - `extras`: the exchange of the last changes between candidates.
//! - `final_states`: final states that are written after the next generation serves.
//! - `session`: lease, commits and progress events of the process.
//! - `batches`: splitting changes into transactions within the store's limits.
//! - `listing`: reading whole prefixes of the store.
//! - `settings`, `outcome`: the inputs and the results of a rebuild.

mod acceptance;
mod batches;
mod contribution;
mod election;
mod extras;
mod final_states;
mod listing;
mod outcome;
mod session;
mod settings;
mod state_machine;
mod successor;
mod writer;

pub use final_states::restore_final_states;
pub use listing::{list_generation, observe};
pub use outcome::{OpenedStore, RebuildError};
pub use settings::{LocalState, RebuildSettings};
pub use state_machine::open;
