//! Whole controllers, several at once, in a simulated world: its store, cloud, network,
//! workers and users go wrong as those of the protocol may, and a checker looks for broken rules.

mod combination;
mod fault_combinations;
mod large_fleet;
mod large_jobs;
mod limits;
mod liveness;
mod mistaken_jobs;
mod on_call;
mod safety;
mod services;
mod sim;
mod upgrade;
