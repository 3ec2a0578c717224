//! Requests that wait for the core's answers.
//!
//! Each is kept until the core answers it. An HTTP request whose deadline passes gets a 503
//! instead.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use quartzlever_core::{Answer, RequestId};
use quartzlever_wire::Micros;
use quartzlever_wire::peers::PeerAnswer;

use crate::inbox::ReplyChannel;
use crate::responder::{BUSY, BUSY_BODY, Responder, ResponseHead};

/// The requests that wait for an answer.
#[derive(Default)]
pub struct PendingReplies {
    replies: HashMap<RequestId, ReplyChannel>,
    /// The deadline of each HTTP request, also of those that have been answered already.
    deadlines: BinaryHeap<Reverse<(Micros, RequestId)>>,
    /// Buffer for the body of an answer, reused.
    body: Vec<u8>,
    /// Buffer for a whole answer, reused.
    message: Vec<u8>,
}

impl PendingReplies {
    /// Registers a request that waits for an answer.
    pub fn insert(&mut self, id: RequestId, reply: ReplyChannel) {
        if let ReplyChannel::Http { deadline, .. } = reply {
            self.deadlines.push(Reverse((deadline, id)));
        }
        self.replies.insert(id, reply);
    }

    /// Answers the requests whose deadline has passed with a 503.
    pub fn expire(&mut self, now: Micros) {
        while let Some(Reverse((deadline, id))) = self.deadlines.peek().copied()
            && deadline <= now
        {
            self.deadlines.pop();
            self.refuse_busy(id);
        }
    }

    /// Answers an HTTP request, if it still waits.
    pub fn answer(&mut self, id: RequestId, head: &ResponseHead, body: &Answer) {
        if let Some(ReplyChannel::Http { responder, .. }) = self.replies.remove(&id) {
            self.body.clear();
            // Serializing an `Answer` into memory cannot fail.
            let _ = serde_json::to_writer(&mut self.body, body);
            responder.send(head, &self.body, &mut self.message);
        }
    }

    /// Answers an HTTP request with a 503, if it still waits.
    pub fn refuse_busy(&mut self, id: RequestId) {
        if let Some(ReplyChannel::Http { responder, .. }) = self.replies.remove(&id) {
            self.send_busy(responder);
        }
    }

    /// Sends a 503 for a request that is not passed to the core.
    pub fn send_busy(&mut self, responder: Responder) {
        responder.send(&BUSY, BUSY_BODY, &mut self.message);
    }

    /// Answers a peer, if it still waits.
    pub fn answer_peer(&mut self, id: RequestId, answer: PeerAnswer) {
        if let Some(ReplyChannel::Peer(sender)) = self.replies.remove(&id) {
            // Fails if the connection's thread has timed out.
            let _ = sender.send(answer);
        }
    }
}
