//! The threads that carry out effects: an executor for each outside system.
//!
//! Owns the queues to these threads, their number, budgets and deadlines. Never decides what is to be
//! done: that is the core's. Every result, also that of a call that was not made, goes to the inbox as a
//! command. No thread of an executor is joined: each lives as long as the process, and while its system
//! hangs it does too, which must not keep the process from ending.

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

/// One executor for each outside system.
pub struct Executors {
    pub store: StoreExecutor,
    pub cloud: CloudExecutor,
    pub workers: WorkerExecutor,
    pub peers: PeerExecutor,
}

impl Executors {
    /// Starts all threads.
    pub fn start(
        settings: &Settings,
        client: &StoreService,
        inbox: &Inbox,
        clock: Clock,
    ) -> io::Result<Executors> {
        // Until the core knows who shares the limits.
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

    /// Sets this node's share of what the store and the cloud allow to all.
    pub fn set_share(&self, share: f64) {
        self.store.set_share(share);
        self.cloud.set_share(share);
    }
}
