//! The queue of commands of the core's thread, and the ways in.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded, unbounded};
use quartzlever_core::{Command, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

/// An answer to an HTTP request.
#[derive(Debug)]
pub struct HttpAnswer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    pub until: Option<Micros>,
}

/// Where an answer goes.
#[derive(Debug)]
pub enum Reply {
    Http(Sender<HttpAnswer>),
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
}

/// The core's end of the queues.
pub struct Outlet {
    pub first: Receiver<Item>,
    pub questions: Receiver<Item>,
    pub submissions: Receiver<Item>,
}

impl Inbox {
    pub fn new() -> (Inbox, Outlet) {
        let (first, first_out) = unbounded();
        let (questions, questions_out) = bounded(QUESTIONS_WAITING);
        let (submissions, submissions_out) = bounded(SUBMISSIONS_WAITING);
        let ids = Arc::new(AtomicU64::new(1));
        let outlet =
            Outlet { first: first_out, questions: questions_out, submissions: submissions_out };
        (Inbox { first, questions, submissions, ids }, outlet)
    }

    /// Hands in what a call has brought.
    pub fn tell(&self, command: Command) {
        // Fails only when the core's thread has ended, and then the process ends.
        let _ = self.first.send(Item { command, reply: None });
    }

    /// Asks the core for an HTTP answer; `None` if there is none in time or the queue is full.
    pub fn ask(
        &self,
        line: Line,
        patience: Duration,
        command: impl FnOnce(RequestId) -> Command,
    ) -> Option<HttpAnswer> {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = bounded(1);
        let item = Item { command: command(id), reply: Some((id, Reply::Http(sender))) };
        let queue = match line {
            Line::First => &self.first,
            Line::Questions => &self.questions,
            Line::Submissions => &self.submissions,
        };
        match queue.try_send(item) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => return None,
        }
        receiver.recv_timeout(patience).ok()
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
        receiver.recv_timeout(patience).ok()
    }
}
