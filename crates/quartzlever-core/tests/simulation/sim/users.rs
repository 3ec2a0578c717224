//! Users, who submit, look up and cancel jobs, and retry until they get an answer.

use super::*;

impl Simulation {
    /// Sends a request of a user to a node, and returns the number under which the answer will be
    /// found in `answers`.
    pub fn send_request(&mut self, n: usize, make: impl FnOnce(u64) -> Command) -> u64 {
        self.last_request += 1;
        let id = self.last_request;
        self.requests.insert(id, (n, self.epochs[n]));
        let delay = self.draw_latency();
        let epoch = self.epochs[n];
        self.schedule(delay, Message::ToNode(n, epoch, Box::new(make(id))));
        id
    }

    /// Sends a request whose answer is checked against the rules.
    pub(super) fn send_checked_request(
        &mut self,
        n: usize,
        request: UserRequest,
        job: &str,
        make: impl FnOnce(u64) -> Command,
    ) -> u64 {
        let id = self.send_request(n, make);
        self.user_requests.insert(id, (request, job.to_owned(), self.now));
        id
    }

    /// Submits a job at a node, and returns the number of the request.
    pub fn submit(&mut self, n: usize, spec: JobSpec) -> u64 {
        let job = spec.id.clone();
        self.rules.record_request(UserRequest::Submit, &job, Some(&spec));
        self.send_checked_request(n, UserRequest::Submit, &job, |id| Command::Submit {
            id,
            spec: Box::new(spec),
        })
    }

    /// Looks up a job at a node, and returns the number of the request.
    pub fn lookup(&mut self, n: usize, job: &str) -> u64 {
        let name = job.to_owned();
        self.send_checked_request(n, UserRequest::Lookup, job, |id| Command::Lookup {
            id,
            job: name,
        })
    }

    /// Cancels a job at a node, and returns the number of the request.
    pub fn cancel(&mut self, n: usize, job: &str) -> u64 {
        self.rules.record_request(UserRequest::Cancel, job, None);
        let name = job.to_owned();
        self.send_checked_request(n, UserRequest::Cancel, job, |id| Command::Cancel {
            id,
            job: name,
        })
    }

    /// Looks up a job and repeats its submission at all nodes at once.
    pub fn query_all_nodes(&mut self, job: &str) {
        for n in 0..self.names.len() {
            self.lookup(n, job);
            if let Some(spec) = self.rules.specs.get(job).cloned() {
                self.submit(n, spec);
            }
        }
    }

    /// Advances the time until a request is answered, and returns the status and body; returns
    /// `None` after `within`.
    pub fn wait_for_answer(&mut self, id: u64, within: Micros) -> Option<(u16, serde_json::Value)> {
        let end = self.now + within;
        while self.now < end && !self.answers.contains_key(&id) {
            self.run(STEP);
        }
        self.answers.remove(&id)
    }

    /// Submits a job at one node after another until it is accepted or rejected, and returns the
    /// status; returns 0 after 60 attempts.
    pub fn submit_until_accepted(&mut self, mut n: usize, spec: &JobSpec) -> u16 {
        for _ in 0..60 {
            let id = self.submit(n, spec.clone());
            if let Some((status @ (200 | 201 | 400 | 422), _)) =
                self.wait_for_answer(id, 5 * SECOND)
            {
                return status;
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        0
    }

    /// Cancels a job at one node after another until that is confirmed, and returns the job's
    /// phase; returns `None` after 60 attempts.
    pub fn cancel_until_confirmed(&mut self, mut n: usize, job: &str) -> Option<String> {
        for _ in 0..60 {
            let id = self.cancel(n, job);
            if let Some((200, body)) = self.wait_for_answer(id, 5 * SECOND) {
                return Some(body["phase"].as_str().unwrap_or("").to_owned());
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        None
    }
}
