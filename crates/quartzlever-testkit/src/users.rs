//! Users of a test, who submit, look up and cancel jobs at a given controller. Each request and its
//! reply is passed to the rule checker of the fleet. Tests repeat requests with [`retry_until`], as
//! the protocol asks of users.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::users::JobSpec;
use serde_json::Value;

use crate::fleet::Fleet;
use crate::rules::UserRequest;

/// Time after which a user gives up on a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts of [`retry_until`].
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which [`retry_until`] fails the test. Far longer than any takeover, so reaching it
/// means a fault.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// The reply to a request of a user.
#[derive(Clone, Debug)]
pub struct UserReply {
    /// HTTP status of the response; 0 without a response.
    pub status: u16,
    /// Phase of the job; empty if the response names none.
    pub phase: String,
}

/// Sends requests to controllers as users do.
#[derive(Clone)]
pub struct Users {
    fleet: Arc<Fleet>,
}

impl Users {
    /// Creates users whose requests and replies go to the checker of this fleet.
    pub fn new(fleet: Arc<Fleet>) -> Users {
        Users { fleet }
    }

    /// Submits a job at a controller, and passes the request and the reply to the checker.
    pub fn submit(&self, controller: SocketAddr, spec: &JobSpec) -> UserReply {
        let body = serde_json::to_string(spec).expect("a job specification serializes to JSON");
        self.send_and_record(controller, UserRequest::Submit, &spec.id, Some(spec), Some(&body))
    }

    /// Looks up a job at a controller, and passes the request and the reply to the checker.
    pub fn look_up(&self, controller: SocketAddr, job: &str) -> UserReply {
        self.send_and_record(controller, UserRequest::Lookup, job, None, None)
    }

    /// Cancels a job at a controller, and passes the request and the reply to the checker.
    pub fn cancel(&self, controller: SocketAddr, job: &str) -> UserReply {
        self.send_and_record(controller, UserRequest::Cancel, job, None, Some(""))
    }

    /// Sends a request and passes it and its reply to the checker.
    fn send_and_record(
        &self,
        controller: SocketAddr,
        request_kind: UserRequest,
        job: &str,
        spec: Option<&JobSpec>,
        body: Option<&str>,
    ) -> UserReply {
        let sent = self.fleet.rules(|rules, now| {
            rules.record_request(request_kind, job, spec);
            now
        });
        let base = format!("http://{controller}/v2/runs");
        let request = match request_kind {
            UserRequest::Submit => ureq::post(&base),
            UserRequest::Lookup => ureq::get(&format!("{base}/{job}")),
            UserRequest::Cancel => ureq::post(&format!("{base}/{job}/abort")),
        };
        let reply = send(request, body);
        self.fleet.rules(|rules, now| {
            rules.record_answer(now, sent, request_kind, job, reply.status, &reply.phase);
        });
        reply
    }
}

/// Sends a request, with `body` if there is one, and reads the reply.
fn send(request: ureq::Request, body: Option<&str>) -> UserReply {
    let request = request.timeout(REQUEST_TIMEOUT);
    let result = match body {
        Some(body) => request.send_string(body),
        None => request.call(),
    };
    let (status, text) = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => {
            (response.status(), response.into_string().unwrap_or_default())
        }
        Err(ureq::Error::Transport(_)) => (0, String::new()),
    };
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    UserReply { status, phase: body["phase"].as_str().unwrap_or_default().to_owned() }
}

/// Repeats `attempt` until `wanted` accepts its outcome, and returns the outcome.
///
/// # Panics
///
/// Panics after two minutes, with `what` and the last outcome.
pub fn retry_until<T: std::fmt::Debug>(
    what: &str,
    mut attempt: impl FnMut() -> T,
    wanted: impl Fn(&T) -> bool,
) -> T {
    let begin = Instant::now();
    loop {
        let outcome = attempt();
        if wanted(&outcome) {
            return outcome;
        }
        assert!(begin.elapsed() < MAX_WAIT, "{what}: last outcome {outcome:?}");
        thread::sleep(RETRY_INTERVAL);
    }
}
