//! The command queues of the core's thread.
//!
//! Also holds the state that the core's thread publishes for connections, so that they can answer
//! some requests without it. Commands pass through without being inspected.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{self, Thread};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use quartzlever_core::{Command, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

use crate::responder::Responder;
use crate::step_watch::StepWatch;

/// The destination of the answer to a request.
#[derive(Debug)]
pub enum ReplyChannel {
    /// An HTTP connection, which gets a 503 if there is no answer by `deadline`.
    Http { responder: Responder, deadline: Micros },
    /// The thread of a peer's connection, which blocks until the answer arrives.
    Peer(Sender<PeerAnswer>),
}

/// A command, and the requester that waits for its answer, if there is one.
#[derive(Debug)]
pub struct QueuedCommand {
    pub command: Command,
    pub requester: Option<Requester>,
}

/// A request that waits for an answer.
#[derive(Debug)]
pub struct Requester {
    pub id: RequestId,
    pub reply: ReplyChannel,
}

// Requests beyond these limits are rejected at once. The queue of lookups and cancellations is
// longer and is served first, in larger batches, so that requests about accepted jobs are answered
// also while submissions are being rejected.
/// Most submissions that may wait for the core.
const MAX_SUBMISSIONS: usize = 64;
/// Most lookups and cancellations that may wait for the core.
const MAX_LOOKUPS: usize = 1024;

/// The queue of a request, by kind of requester.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestQueue {
    /// Heartbeats of workers and health checks.
    Priority,
    /// Lookups and cancellations of jobs.
    Lookups,
    /// Submissions of jobs.
    Submissions,
}

/// The sending side of the core's queues. Requests of workers and peers and results of calls have
/// a queue of their own, ahead of those of users. It needs no bound: each connection and each call
/// has at most one command in it.
#[derive(Clone)]
pub struct Inbox {
    priority: Sender<QueuedCommand>,
    lookups: Sender<QueuedCommand>,
    submissions: Sender<QueuedCommand>,
    ids: Arc<AtomicU64>,
    core: Thread,
    published: Arc<PublishedState>,
}

/// State of the core that connections read without a request to the core.
#[derive(Debug)]
struct PublishedState {
    /// The core is still starting and would reject every heartbeat and health check.
    is_starting: AtomicBool,
    /// Number of requests rejected by connections since the core's thread last published.
    rejected: AtomicU32,
    /// The time until which the node counts as ready.
    ready_until: AtomicU64,
    /// The core's step in progress.
    step_watch: StepWatch,
}

/// The receiving side of the core's queues, used by the core's thread.
pub struct InboxReceiver {
    pub priority: Receiver<QueuedCommand>,
    pub lookups: Receiver<QueuedCommand>,
    pub submissions: Receiver<QueuedCommand>,
    published: Arc<PublishedState>,
}

impl InboxReceiver {
    /// Publishes whether the core is still starting and until when the node counts as ready.
    /// Returns how many requests connections have rejected since the last call.
    pub fn publish(&self, starting: bool, ready_until: Micros) -> u32 {
        self.published.is_starting.store(starting, Ordering::Relaxed);
        self.published.ready_until.store(ready_until, Ordering::Relaxed);
        self.published.rejected.swap(0, Ordering::Relaxed)
    }

    /// Returns the watch over the core's steps.
    pub fn step_watch(&self) -> &StepWatch {
        &self.published.step_watch
    }

    /// Reports whether all queues are empty.
    pub fn is_empty(&self) -> bool {
        self.priority.is_empty() && self.lookups.is_empty() && self.submissions.is_empty()
    }

    /// Parks the calling thread until a command arrives, for at most `timeout`. Blocking on a
    /// channel would spin first, which is useless where the process has the share of a single CPU:
    /// no sender runs meanwhile. So the core's thread parks, and each sender unparks it.
    pub fn sleep(&self, timeout: Duration) {
        if self.is_empty() {
            thread::park_timeout(timeout);
        }
    }
}

impl Inbox {
    /// Creates the queues, with the calling thread as the one that receives.
    pub fn new() -> (Inbox, InboxReceiver) {
        let (priority, priority_receiver) = unbounded();
        let (lookups, lookup_receiver) = bounded(MAX_LOOKUPS);
        let (submissions, submission_receiver) = bounded(MAX_SUBMISSIONS);
        let published = Arc::new(PublishedState {
            is_starting: AtomicBool::new(false),
            rejected: AtomicU32::new(0),
            ready_until: AtomicU64::new(0),
            step_watch: StepWatch::new(),
        });
        let receiver = InboxReceiver {
            priority: priority_receiver,
            lookups: lookup_receiver,
            submissions: submission_receiver,
            published: published.clone(),
        };
        let ids = Arc::new(AtomicU64::new(1));
        let core = thread::current();
        (Inbox { priority, lookups, submissions, ids, core, published }, receiver)
    }

    /// Reports whether heartbeats and health checks are to be rejected without asking the core,
    /// and if so counts a rejected request.
    pub fn rejects_requests(&self) -> bool {
        let starting = self.published.is_starting.load(Ordering::Relaxed);
        if starting {
            self.published.rejected.fetch_add(1, Ordering::Relaxed);
        }
        starting
    }

    /// Reports whether the node is ready, as last published by the core's thread. The published
    /// state expires, so that a node whose core's thread stalls is no longer ready.
    pub fn is_ready(&self, now: Micros) -> bool {
        now < self.published.ready_until.load(Ordering::Relaxed)
    }

    /// Reports the core's present step if it takes too long.
    pub fn check_step(&self, now: Micros) {
        self.published.step_watch.check(now);
    }

    /// Enqueues the result of a call.
    pub fn deliver(&self, command: Command) {
        // Fails only when the core's thread has ended, and then the process ends.
        let _ = self.priority.send(QueuedCommand { command, requester: None });
        self.core.unpark();
    }

    /// Enqueues an HTTP request that must be answered by `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the responder if the queue is full.
    pub fn request(
        &self,
        queue: RequestQueue,
        responder: Responder,
        deadline: Micros,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Result<(), Responder> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let reply = ReplyChannel::Http { responder, deadline };
        let queued =
            QueuedCommand { command: command(id), requester: Some(Requester { id, reply }) };
        let queue = match queue {
            RequestQueue::Priority => &self.priority,
            RequestQueue::Lookups => &self.lookups,
            RequestQueue::Submissions => &self.submissions,
        };
        match queue.try_send(queued) {
            Ok(()) => {
                self.core.unpark();
                Ok(())
            }
            Err(error) => match error.into_inner().requester {
                Some(Requester { reply: ReplyChannel::Http { responder, .. }, .. }) => {
                    Err(responder)
                }
                _ => Ok(()),
            },
        }
    }

    /// Enqueues a peer's request and waits for the answer. Returns `None` if there is none within
    /// `timeout`.
    pub fn request_for_peer(
        &self,
        timeout: Duration,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Option<PeerAnswer> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let queued = QueuedCommand {
            command: command(id),
            requester: Some(Requester { id, reply: ReplyChannel::Peer(sender) }),
        };
        self.priority.send(queued).ok()?;
        self.core.unpark();
        receiver.recv_timeout(timeout).ok()
    }
}
