//! What a controller has committed goes to the others' logs before anybody is told of it.
//!
//! A controller may end in the same moment as the store loses data, and be away while the records are rebuilt.
//! What it has told users just before must be known to another one then. One acknowledgement is enough; where no
//! other controller gives one in time, the program goes on without.
//!
//! Owns a queue and a thread for each other controller. Never waits for more than one acknowledgement.

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

/// A controller that gave none is not asked again for this time.
const PAUSE: Duration = Duration::from_secs(2);
/// Changes that wait for one controller; more are not told to it.
const MAX_WAITING: usize = 64;

/// The changes of a transaction, for one controller.
struct Entry {
    changes: Arc<LoggedChanges>,
    acknowledged: Sender<()>,
}

/// The ways to the other controllers' logs.
pub struct Replication {
    identity: Identity,
    peers: Vec<Sender<Entry>>,
    /// How long an acknowledgement is waited for.
    timeout: Duration,
}

impl Replication {
    /// Starts a thread for each of the other controllers. Each lives as long as the process.
    pub fn start(identity: Identity, peers: &[Peer], timeout: Duration) -> io::Result<Replication> {
        let mut queues = Vec::new();
        for Peer { node, address } in peers {
            let (sender, receiver) = bounded(MAX_WAITING);
            let address = *address;
            thread::Builder::new()
                .name(format!("log-{node}"))
                .spawn(move || send_changes(address, &receiver))?;
            queues.push(sender);
        }
        Ok(Replication { identity, peers: queues, timeout })
    }

    /// Comes back when another controller has the changes of a transaction in its log, or when none is to be
    /// waited for.
    pub fn share(&self, update: &Update) {
        let Some(mod_revision) = update.changes.first().map(|change| change.mod_revision) else {
            return;
        };
        let changes = update.changes.iter().map(|c| (c.key.clone(), c.value.clone())).collect();
        let Identity { cluster, generation, .. } = &self.identity;
        let (cluster, generation) = (cluster.clone(), *generation);
        let changes = Arc::new(LoggedChanges { cluster, generation, mod_revision, changes });
        let (acknowledged, first) = bounded(self.peers.len());
        for peer in &self.peers {
            let entry = Entry { changes: changes.clone(), acknowledged: acknowledged.clone() };
            // One that has fallen behind learns of the changes by its watch.
            let _ = peer.try_send(entry);
        }
        drop(acknowledged);
        // It ends at once when every one of them has been given up.
        let _ = first.recv_timeout(self.timeout);
    }
}

/// Sends changes to one controller, one after the other.
fn send_changes(address: SocketAddr, entries: &Receiver<Entry>) {
    let client = PeerClient::default();
    let mut silent_until = Instant::now();
    for Entry { changes, acknowledged } in entries {
        if Instant::now() < silent_until {
            continue;
        }
        match client.call(address, &PeerRequest::Logged((*changes).clone())) {
            Ok(PeerAnswer::Logged) => {
                let _ = acknowledged.send(());
            }
            _ => silent_until = Instant::now() + PAUSE,
        }
    }
}
