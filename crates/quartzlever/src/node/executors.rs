//! The threads that execute effects: an executor for each external system.
//!
//! Each executor has a queue, a fixed number of threads and, where the system has a rate limit, a
//! budget. The core decides which calls are made. The result of every call, also of one that was
//! not made, goes to the inbox as a command. The threads are never joined: each lives as long as
//! the process and blocks while its system hangs, which must not keep the process from exiting.

mod cloud;
mod limit;
mod peers;
mod store;
mod thread;
mod workers;

use std::io;

use crate::clock::Clock;
use crate::inbox::Inbox;
use crate::recovery::StoreService;
use crate::settings::Settings;
use cloud::CloudExecutor;
use limit::{NODES_SHARE, SharedLimit};
use peers::PeerExecutor;
use store::StoreExecutor;
use workers::WorkerExecutor;

/// The executors of all external systems.
pub struct Executors {
    pub store: StoreExecutor,
    pub cloud: CloudExecutor,
    pub workers: WorkerExecutor,
    pub peers: PeerExecutor,
}

impl Executors {
    /// Starts the threads of all executors.
    pub fn start(
        settings: &Settings,
        client: &StoreService,
        inbox: &Inbox,
        clock: Clock,
    ) -> io::Result<Executors> {
        // An equal share, until the core knows which nodes share the limits.
        let share = NODES_SHARE / settings.core.nodes.len() as f64;
        let store_limit = SharedLimit::new(settings.core.store_rps, share);
        let cloud_limit = SharedLimit::new(settings.cloud_rps, share);
        Ok(Executors {
            store: StoreExecutor::start(client, store_limit, inbox)?,
            cloud: CloudExecutor::start(&settings.cloud, cloud_limit, inbox, clock)?,
            workers: WorkerExecutor::start(inbox, clock)?,
            peers: PeerExecutor::start(&settings.peers, inbox)?,
        })
    }

    /// Sets this node's share of the rate limits of the store and the cloud.
    pub fn set_share(&self, share: f64) {
        self.store.set_share(share);
        self.cloud.set_share(share);
    }
}
