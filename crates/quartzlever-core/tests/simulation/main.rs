//! Scenarios of several whole controllers in a deterministic simulation: its store, cloud, network,
//! workers and users fail in every way that the protocol allows, and a checker looks for broken
//! rules.

mod cancellations;
mod combination;
mod fault_combinations;
mod large_fleet;
mod large_jobs;
mod late_commands;
mod limits;
mod liveness;
mod mistaken_jobs;
mod on_call;
mod safety;
mod services;
mod sim;
mod tiny_tasks;
mod upgrade;
