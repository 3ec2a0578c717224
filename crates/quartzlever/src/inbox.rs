//! The queues of commands of the core's thread, and the ways in.
//!
//! Owns the queues and their bounds, and what connections may know without asking. Never looks into a
//! command.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{self, Thread};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use quartzlever_core::{Command, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

use crate::responder::Responder;

/// Where an answer goes.
#[derive(Debug)]
pub enum Reply {
    /// To its connection; a 503 takes its place if there is none by then.
    Http { responder: Responder, until: Micros },
    /// To the thread of the peer's connection, which waits for it.
    Peer(Sender<PeerAnswer>),
}

/// A command with the place for its answer, if somebody waits for one.
#[derive(Debug)]
pub struct Item {
    pub command: Command,
    pub waiter: Option<Waiter>,
}

/// Somebody who waits for an answer.
#[derive(Debug)]
pub struct Waiter {
    pub id: RequestId,
    pub reply: Reply,
}

// How many submissions may wait for the core, and how many lookups and cancellations; more are
// shed at once. Those who ask about accepted jobs come first, and many are answered together, so
// that no job stays without an answer.
const MAX_SUBMISSIONS: usize = 64;
const MAX_QUESTIONS: usize = 1024;

/// The queue of a request, by who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// Workers, services, health checks.
    Priority,
    /// Users who ask about a job or cancel it.
    Questions,
    /// Users who submit a job.
    Submissions,
}

/// The ways into the core's thread. What workers and services say has a queue of its own, ahead
/// of users'. It needs no bound: each connection and each call has at most one item in it.
#[derive(Clone)]
pub struct Inbox {
    priority: Sender<Item>,
    questions: Sender<Item>,
    submissions: Sender<Item>,
    ids: Arc<AtomicU64>,
    core: Thread,
    published: Arc<Published>,
}

/// What connections may know without asking the core.
#[derive(Debug)]
struct Published {
    /// The core knows nothing yet: it would turn away every worker and health check.
    rejects_requests: AtomicBool,
    /// Requests that were turned away since the core last asked.
    rejected: AtomicU32,
    /// Until then the node can take requests, as far as the core has said.
    ready_until: AtomicU64,
}

/// The core's end of the queues.
pub struct InboxReceiver {
    pub priority: Receiver<Item>,
    pub questions: Receiver<Item>,
    pub submissions: Receiver<Item>,
    published: Arc<Published>,
}

impl InboxReceiver {
    /// Tells connections whether the core is still starting and until when the node can take
    /// requests; how many they have turned away since.
    pub fn publish(&self, starting: bool, ready_until: Micros) -> u32 {
        self.published.rejects_requests.store(starting, Ordering::Relaxed);
        self.published.ready_until.store(ready_until, Ordering::Relaxed);
        self.published.rejected.swap(0, Ordering::Relaxed)
    }

    /// Whether nothing waits in any queue.
    pub fn is_empty(&self) -> bool {
        self.priority.is_empty() && self.questions.is_empty() && self.submissions.is_empty()
    }

    /// Waits until something comes, at most for this time. A receiver of a channel that waits
    /// by itself spins first, in vain: nobody else runs meanwhile where a process has one core's
    /// share. So the core's thread sleeps, and whoever hands something in wakes it.
    pub fn sleep(&self, most: Duration) {
        if self.is_empty() {
            thread::park_timeout(most);
        }
    }
}

impl Inbox {
    /// The queues of the calling thread.
    pub fn new() -> (Inbox, InboxReceiver) {
        let (priority, priority_receiver) = unbounded();
        let (questions, questions_receiver) = bounded(MAX_QUESTIONS);
        let (submissions, submissions_receiver) = bounded(MAX_SUBMISSIONS);
        let published = Arc::new(Published {
            rejects_requests: AtomicBool::new(false),
            rejected: AtomicU32::new(0),
            ready_until: AtomicU64::new(0),
        });
        let receiver = InboxReceiver {
            priority: priority_receiver,
            questions: questions_receiver,
            submissions: submissions_receiver,
            published: published.clone(),
        };
        let ids = Arc::new(AtomicU64::new(1));
        let core = thread::current();
        (Inbox { priority, questions, submissions, ids, core, published }, receiver)
    }

    /// Whether workers and health checks are to be turned away without asking the core.
    pub fn rejects_requests(&self) -> bool {
        let starting = self.published.rejects_requests.load(Ordering::Relaxed);
        if starting {
            self.published.rejected.fetch_add(1, Ordering::Relaxed);
        }
        starting
    }

    /// Whether the core has said of late that the node can take requests.
    pub fn is_ready(&self, now: Micros) -> bool {
        now < self.published.ready_until.load(Ordering::Relaxed)
    }

    /// Hands in the result of a call.
    pub fn deliver(&self, command: Command) {
        // Fails only when the core's thread has ended, and then the process ends.
        let _ = self.priority.send(Item { command, waiter: None });
        self.core.unpark();
    }

    /// Asks the core for an HTTP answer, to be given by `until`; the responder comes back if the queue
    /// is full.
    pub fn ask(
        &self,
        queue: Queue,
        responder: Responder,
        until: Micros,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Result<(), Responder> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let reply = Reply::Http { responder, until };
        let item = Item { command: command(id), waiter: Some(Waiter { id, reply }) };
        let queue = match queue {
            Queue::Priority => &self.priority,
            Queue::Questions => &self.questions,
            Queue::Submissions => &self.submissions,
        };
        match queue.try_send(item) {
            Ok(()) => {
                self.core.unpark();
                Ok(())
            }
            Err(refused) => match refused.into_inner().waiter {
                Some(Waiter { reply: Reply::Http { responder, .. }, .. }) => Err(responder),
                _ => Ok(()),
            },
        }
    }

    /// Asks the core for a peer's answer.
    pub fn ask_for_peer(
        &self,
        timeout: Duration,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Option<PeerAnswer> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let item =
            Item { command: command(id), waiter: Some(Waiter { id, reply: Reply::Peer(sender) }) };
        self.priority.send(item).ok()?;
        self.core.unpark();
        receiver.recv_timeout(timeout).ok()
    }
}
