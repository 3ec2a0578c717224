//! Requests that wait for the core's answers.
//!
//! Owns the way to each asker until it was answered, or told to come back. Never decides an answer.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use quartzlever_core::{Answer, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

use crate::inbox::Reply;
use crate::responder::{BUSY, BUSY_BODY, Responder, Status};

/// Requests that wait for their answers.
#[derive(Default)]
pub struct PendingReplies {
    replies: HashMap<RequestId, Reply>,
    /// When each is given up; some were answered long before.
    deadlines: BinaryHeap<Reverse<(Micros, RequestId)>>,
    /// Where answers are written, to be reused.
    body: Vec<u8>,
    message: Vec<u8>,
}

impl PendingReplies {
    /// Keeps the way to an asker.
    pub fn insert(&mut self, id: RequestId, reply: Reply) {
        if let Reply::Http { until, .. } = reply {
            self.deadlines.push(Reverse((until, id)));
        }
        self.replies.insert(id, reply);
    }

    /// Tells those whose time is over to come back.
    pub fn give_up(&mut self, now: Micros) {
        while let Some(Reverse((until, id))) = self.deadlines.peek().copied()
            && until <= now
        {
            self.deadlines.pop();
            self.refuse_busy(id);
        }
    }

    /// Answers a user, a worker or a health check, if it still waits.
    pub fn answer(&mut self, id: RequestId, status: &Status, body: &Answer) {
        if let Some(Reply::Http { responder, .. }) = self.replies.remove(&id) {
            self.body.clear();
            // Our own types can always be written, and into memory.
            let _ = serde_json::to_writer(&mut self.body, body);
            responder.send(status, &self.body, &mut self.message);
        }
    }

    /// Tells an asker to come back, if it still waits.
    pub fn refuse_busy(&mut self, id: RequestId) {
        if let Some(Reply::Http { responder, .. }) = self.replies.remove(&id) {
            self.send_busy(responder);
        }
    }

    /// Tells an asker to come back whose request the core does not get.
    pub fn send_busy(&mut self, responder: Responder) {
        responder.send(&BUSY, BUSY_BODY, &mut self.message);
    }

    /// Answers a peer, if it still waits.
    pub fn answer_peer(&mut self, id: RequestId, answer: PeerAnswer) {
        if let Some(Reply::Peer(sender)) = self.replies.remove(&id) {
            // Its thread may have given up.
            let _ = sender.send(answer);
        }
    }
}
