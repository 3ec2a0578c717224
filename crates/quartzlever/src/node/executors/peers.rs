//! Calls to the other controllers.
//!
//! Only nodes named in the settings are called.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, unbounded};
use quartzlever_clients::PeerClient;
use quartzlever_core::{CallId, Command};
use quartzlever_wire::CallError;
use quartzlever_wire::peers::PeerRequest;

use super::thread::spawn;
use crate::inbox::Inbox;
use crate::settings::Peer;

const THREADS: usize = 3;

struct QueuedCall {
    call_id: CallId,
    node: String,
    request: PeerRequest,
}

/// Makes calls to the other controllers.
pub struct PeerExecutor {
    queue: Sender<QueuedCall>,
}

impl PeerExecutor {
    /// Starts the threads.
    pub fn start(peers: &[Peer], inbox: &Inbox) -> io::Result<PeerExecutor> {
        let (queue, receiver) = unbounded();
        let client = Arc::new(PeerClient::default());
        let addresses = peers.iter().map(|peer| (peer.node.clone(), peer.address));
        let addresses: Arc<HashMap<String, SocketAddr>> = Arc::new(addresses.collect());
        for _ in 0..THREADS {
            let thread = PeerThread {
                calls: receiver.clone(),
                client: client.clone(),
                addresses: addresses.clone(),
                inbox: inbox.clone(),
            };
            spawn("peer", move || thread.run())?;
        }
        Ok(PeerExecutor { queue })
    }

    /// Enqueues a request to a node. A request to a node that the settings do not name is refused.
    pub fn submit(&self, call_id: CallId, node: String, request: PeerRequest) {
        // Fails only if the executor's threads have ended, and then the result is not needed.
        let _ = self.queue.send(QueuedCall { call_id, node, request });
    }
}

/// A thread that makes calls to other controllers; lives as long as the process.
struct PeerThread {
    calls: Receiver<QueuedCall>,
    client: Arc<PeerClient>,
    addresses: Arc<HashMap<String, SocketAddr>>,
    inbox: Inbox,
}

impl PeerThread {
    fn run(self) {
        for QueuedCall { call_id, node, request } in &self.calls {
            let result = match self.addresses.get(&node) {
                Some(address) => self.client.call(*address, &request),
                None => Err(CallError::Refused),
            };
            self.inbox.deliver(Command::PeerReply { call_id, result });
        }
    }
}

#[cfg(test)]
mod tests;
