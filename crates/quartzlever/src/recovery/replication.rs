//! Sends each committed transaction to the other controllers' logs before its outcome is reported
//! to anyone.
//!
//! A controller may fail at the same moment as the store loses data, and be down while the records
//! are rebuilt. Another controller must then know what it reported to users just before. One
//! acknowledgement is enough; if no other controller sends one in time, the program continues
//! without one.
//!
//! Owns a queue and a thread for each other controller. Never waits for more than one
//! acknowledgement.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};
use quartzlever_clients::PeerClient;
use quartzlever_recovery::identity::Identity;
use quartzlever_recovery::records::Update;
use quartzlever_wire::peers::{LoggedChanges, PeerAnswer, PeerRequest};

use crate::settings::Peer;

/// How long nothing is sent to a controller that did not acknowledge.
const UNACKNOWLEDGED_PAUSE: Duration = Duration::from_secs(2);
/// Maximum transactions queued for one controller; further ones are not sent to it.
const MAX_QUEUED: usize = 64;

/// The changes of a transaction, queued for one controller.
struct QueuedChanges {
    changes: Arc<LoggedChanges>,
    acknowledged: Sender<()>,
}

/// Sends changes to the other controllers' logs.
pub struct Replication {
    identity: Identity,
    queues: Vec<Sender<QueuedChanges>>,
    /// How long an acknowledgement is awaited.
    acknowledgement_timeout: Duration,
}

impl Replication {
    /// Starts a thread for each other controller. Each runs until the process ends.
    pub fn start(
        identity: Identity,
        peers: &[Peer],
        acknowledgement_timeout: Duration,
    ) -> io::Result<Replication> {
        let mut queues = Vec::new();
        for Peer { node, address } in peers {
            let (sender, receiver) = bounded(MAX_QUEUED);
            let address = *address;
            thread::Builder::new()
                .name(format!("log-{node}"))
                .spawn(move || send_changes(address, &receiver))?;
            queues.push(sender);
        }
        Ok(Replication { identity, queues, acknowledgement_timeout })
    }

    /// Sends the changes of a transaction to all other controllers. Returns once one of them has
    /// acknowledged them, after the timeout, or when no controller is left that may acknowledge.
    pub fn replicate(&self, update: &Update) {
        let Some(mod_revision) = update.changes.first().map(|change| change.mod_revision) else {
            return;
        };
        let changes = update.changes.iter().map(|c| (c.key.clone(), c.value.clone())).collect();
        let Identity { cluster, generation, .. } = &self.identity;
        let (cluster, generation) = (cluster.clone(), *generation);
        let changes = Arc::new(LoggedChanges { cluster, generation, mod_revision, changes });
        let (acknowledged, first_acknowledgement) = bounded(self.queues.len());
        for queue in &self.queues {
            let queued =
                QueuedChanges { changes: changes.clone(), acknowledged: acknowledged.clone() };
            // If the queue is full, that controller learns of the changes by its watch.
            let _ = queue.try_send(queued);
        }
        drop(acknowledged);
        // Returns at once if every sender was dropped: no controller will acknowledge.
        let _ = first_acknowledgement.recv_timeout(self.acknowledgement_timeout);
    }
}

/// Sends the queued changes to one controller, one transaction after the other.
fn send_changes(address: SocketAddr, queue: &Receiver<QueuedChanges>) {
    let client = PeerClient::default();
    let mut paused_until = Instant::now();
    for QueuedChanges { changes, acknowledged } in queue {
        if Instant::now() < paused_until {
            continue;
        }
        match client.call(address, &PeerRequest::LogChanges((*changes).clone())) {
            Ok(PeerAnswer::Logged) => {
                let _ = acknowledged.send(());
            }
            _ => paused_until = Instant::now() + UNACKNOWLEDGED_PAUSE,
        }
    }
}
