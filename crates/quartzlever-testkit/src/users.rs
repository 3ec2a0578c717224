//! Users of a test: they submit, look up and cancel at a controller of their choice, repeat as the
//! protocol says, and tell the checker what they asked and what they were told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_wire::users::JobSpec;
use serde_json::Value;

use crate::fleet::Fleet;
use crate::rules::UserRequest;

const PATIENCE: Duration = Duration::from_secs(2);
const RETRY: Duration = Duration::from_millis(500);
/// Far longer than any takeover; a test that waits for so long has found a fault.
const DEADLINE: Duration = Duration::from_secs(120);

/// What a user was told.
#[derive(Clone, Debug)]
pub struct UserReply {
    /// Status of the answer; 0 without one.
    pub status: u16,
    /// Phase of the job; empty if the answer names none.
    pub phase: String,
}

/// Asks controllers as users do.
#[derive(Clone)]
pub struct Users {
    fleet: Arc<Fleet>,
}

impl Users {
    /// Users who tell the checker of this fleet what they ask.
    pub fn new(fleet: Arc<Fleet>) -> Users {
        Users { fleet }
    }

    /// Submits a job.
    pub fn submit(&self, controller: SocketAddr, spec: &JobSpec) -> UserReply {
        let body = serde_json::to_string(spec).expect("a job is JSON");
        self.ask(controller, UserRequest::Submit, &spec.id, Some(spec), Some(&body))
    }

    /// Asks what has become of a job.
    pub fn look_up(&self, controller: SocketAddr, job: &str) -> UserReply {
        self.ask(controller, UserRequest::Lookup, job, None, None)
    }

    /// Cancels a job.
    pub fn cancel(&self, controller: SocketAddr, job: &str) -> UserReply {
        self.ask(controller, UserRequest::Cancel, job, None, Some(""))
    }

    fn ask(
        &self,
        controller: SocketAddr,
        asked: UserRequest,
        job: &str,
        spec: Option<&JobSpec>,
        body: Option<&str>,
    ) -> UserReply {
        let sent = self.fleet.rules(|rules, now| {
            rules.asked(asked, job, spec);
            now
        });
        let base = format!("http://{controller}/v2/runs");
        let request = match asked {
            UserRequest::Submit => ureq::post(&base),
            UserRequest::Lookup => ureq::get(&format!("{base}/{job}")),
            UserRequest::Cancel => ureq::post(&format!("{base}/{job}/abort")),
        };
        let told = send(request, body);
        self.fleet.rules(|rules, now| {
            rules.answered(now, sent, asked, job, told.status, &told.phase);
        });
        told
    }
}

fn send(request: ureq::Request, body: Option<&str>) -> UserReply {
    let request = request.timeout(PATIENCE);
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

/// Repeats something until its outcome is as wanted; far too late, the test fails.
pub fn until<T: std::fmt::Debug>(
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
        assert!(begin.elapsed() < DEADLINE, "{what}: last {outcome:?}");
        thread::sleep(RETRY);
    }
}
