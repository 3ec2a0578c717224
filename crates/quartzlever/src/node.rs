//! A node: the core's thread, the threads that execute its effects, and the servers.
//!
//! This module only starts them, in order. `core_thread` runs the core, `executors` call the
//! external systems, `peer_server` serves the other controllers, `pending` keeps the requests that
//! wait for an answer, and `startup` covers the time before the store may be used.

mod core_thread;
mod executors;
mod peer_server;
mod pending;
mod startup;

use std::io;

use quartzlever_clients::StoreClient;
use quartzlever_core::Core;

use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::log::ProgramEvent;
use crate::recovery::{GuardedStoreCell, Recovery, StoreService};
use crate::server::{ConnectionLimits, Port};
use crate::settings::Settings;
use core_thread::CoreThread;
use executors::Executors;

/// Runs a controller until the process is ended. Returns only with an error.
pub fn run(settings: Settings, recovery: Option<Recovery>, seed: u64) -> io::Result<()> {
    let clock = Clock::new();
    let (inbox, incoming) = Inbox::new();
    let log = GuardedStoreCell::default();
    peer_server::serve(settings.internal, inbox.clone(), log.clone())?;
    let limits = ConnectionLimits::for_machine(settings.limits);
    let port = Port::bind(settings.api, limits, inbox.clone(), clock)?;
    ProgramEvent::ApiServed { node: &settings.core.node, address: port.address()? }.log();
    let (store, port) = match recovery {
        None => (StoreService::Direct(StoreClient::new(&settings.state)), Some(port)),
        Some(recovery) => {
            port.open()?;
            (startup::open_store(&settings, recovery, &log, &incoming)?, None)
        }
    };
    let executors = Executors::start(&settings, &store, &inbox, clock)?;
    let core = Core::new(settings.core, seed, clock.now());
    CoreThread::new(core, incoming, executors, port, clock).run()
}
