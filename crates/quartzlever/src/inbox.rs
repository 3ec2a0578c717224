//! The queue of commands of the core's thread, and the ways in.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread::{self, Thread};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use quartzlever_core::{Command, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

use crate::server::Responder;

/// Where an answer goes.
#[derive(Debug)]
pub enum Reply {
    /// To its connection; a 503 takes its place if there is none by then.
    Http(Responder, Micros),
    Peer(Sender<PeerAnswer>),
}

/// A command with the place for its answer, if somebody waits for one.
#[derive(Debug)]
pub struct Item {
    pub command: Command,
    pub reply: Option<(RequestId, Reply)>,
}

/// How many submissions may wait for the core, and how many lookups and cancellations; more are
/// shed at once. Those who ask about accepted jobs come first, and many are answered together, so
/// that no job stays without an answer.
const SUBMISSIONS_WAITING: usize = 64;
const QUESTIONS_WAITING: usize = 1024;

/// Whose request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// Workers, services, health checks.
    First,
    /// Users who ask about a job or cancel it.
    Questions,
    Submissions,
}

/// The ways into the core's thread. What workers and services say has a queue of its own, ahead
/// of users'. It needs no bound: each connection and each call has at most one item in it.
#[derive(Clone)]
pub struct Inbox {
    first: Sender<Item>,
    questions: Sender<Item>,
    submissions: Sender<Item>,
    ids: Arc<AtomicU64>,
    core: Thread,
    gate: Arc<Gate>,
}

/// What connections may know without asking the core.
#[derive(Debug)]
struct Gate {
    /// The core knows nothing yet: it would turn away every worker and health check.
    starting: AtomicBool,
    turned_away: AtomicU32,
    /// Until then the node can take requests, as far as the core has said.
    ready_until: AtomicU64,
}

/// The core's end of the queues.
pub struct InboxReceiver {
    pub first: Receiver<Item>,
    pub questions: Receiver<Item>,
    pub submissions: Receiver<Item>,
    gate: Arc<Gate>,
}

impl InboxReceiver {
    /// Tells connections whether the core is still starting and until when the node can take
    /// requests; how many they have turned away since.
    pub fn tell_state(&self, starting: bool, ready_until: Micros) -> u32 {
        self.gate.starting.store(starting, Ordering::Relaxed);
        self.gate.ready_until.store(ready_until, Ordering::Relaxed);
        self.gate.turned_away.swap(0, Ordering::Relaxed)
    }

    /// Whether nothing waits in any queue.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty() && self.questions.is_empty() && self.submissions.is_empty()
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
        let (first, first_out) = unbounded();
        let (questions, questions_out) = bounded(QUESTIONS_WAITING);
        let (submissions, submissions_out) = bounded(SUBMISSIONS_WAITING);
        let ids = Arc::new(AtomicU64::new(1));
        let gate = Arc::new(Gate {
            starting: AtomicBool::new(false),
            turned_away: AtomicU32::new(0),
            ready_until: AtomicU64::new(0),
        });
        let incoming = InboxReceiver {
            first: first_out,
            questions: questions_out,
            submissions: submissions_out,
            gate: gate.clone(),
        };
        (Inbox { first, questions, submissions, ids, core: thread::current(), gate }, incoming)
    }

    /// Whether workers and health checks are to be turned away without asking the core.
    pub fn starting(&self) -> bool {
        let starting = self.gate.starting.load(Ordering::Relaxed);
        if starting {
            self.gate.turned_away.fetch_add(1, Ordering::Relaxed);
        }
        starting
    }

    /// Whether the core has said of late that the node can take requests.
    pub fn ready(&self, now: Micros) -> bool {
        now < self.gate.ready_until.load(Ordering::Relaxed)
    }

    /// Hands in the result of a call.
    pub fn tell(&self, command: Command) {
        // Fails only when the core's thread has ended, and then the process ends.
        let _ = self.first.send(Item { command, reply: None });
        self.core.unpark();
    }

    /// Asks the core for an HTTP answer, to be given by `until`; the responder comes back if the queue
    /// is full.
    pub fn ask(
        &self,
        line: Line,
        responder: Responder,
        until: Micros,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Result<(), Responder> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let item = Item { command: command(id), reply: Some((id, Reply::Http(responder, until))) };
        let queue = match line {
            Line::First => &self.first,
            Line::Questions => &self.questions,
            Line::Submissions => &self.submissions,
        };
        match queue.try_send(item) {
            Ok(()) => {
                self.core.unpark();
                Ok(())
            }
            Err(refused) => match refused.into_inner().reply {
                Some((_, Reply::Http(responder, _))) => Err(responder),
                _ => Ok(()),
            },
        }
    }

    /// Asks the core for a peer's answer.
    pub fn ask_for_peer(
        &self,
        patience: Duration,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Option<PeerAnswer> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let item = Item { command: command(id), reply: Some((id, Reply::Peer(sender))) };
        self.first.send(item).ok()?;
        self.core.unpark();
        receiver.recv_timeout(patience).ok()
    }
}
