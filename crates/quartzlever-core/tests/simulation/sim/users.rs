//! Users: they submit, ask and cancel, and come back until they are answered.

use super::*;

impl Simulation {
    /// Sends a request of a user to a node; its answer will be under the returned number.
    pub fn request(&mut self, n: usize, make: impl FnOnce(u64) -> Command) -> u64 {
        self.request += 1;
        let id = self.request;
        self.requests.insert(id, (n, self.lives[n]));
        let delay = self.short();
        let life = self.lives[n];
        self.post(delay, Message::ToNode(n, life, Box::new(make(id))));
        id
    }

    pub(super) fn ask(
        &mut self,
        n: usize,
        asked: UserRequest,
        job: &str,
        make: impl FnOnce(u64) -> Command,
    ) -> u64 {
        let id = self.request(n, make);
        self.asked.insert(id, (asked, job.to_owned(), self.now));
        id
    }

    pub fn submit(&mut self, n: usize, spec: JobSpec) -> u64 {
        let job = spec.id.clone();
        self.rules.asked(UserRequest::Submit, &job, Some(&spec));
        self.ask(n, UserRequest::Submit, &job, |id| Command::Submit { id, spec: Box::new(spec) })
    }

    pub fn lookup(&mut self, n: usize, job: &str) -> u64 {
        let name = job.to_owned();
        self.ask(n, UserRequest::Lookup, job, |id| Command::Lookup { id, job: name })
    }

    pub fn cancel(&mut self, n: usize, job: &str) -> u64 {
        self.rules.asked(UserRequest::Cancel, job, None);
        let name = job.to_owned();
        self.ask(n, UserRequest::Cancel, job, |id| Command::Cancel { id, job: name })
    }

    /// Users ask at all nodes and repeat the submission, all at once.
    pub fn look_closely(&mut self, job: &str) {
        for n in 0..self.names.len() {
            self.lookup(n, job);
            if let Some(spec) = self.rules.specs.get(job).cloned() {
                self.submit(n, spec);
            }
        }
    }

    /// Waits until a user's request is answered.
    pub fn answer(&mut self, id: u64, within: Micros) -> Option<(u16, serde_json::Value)> {
        let end = self.now + within;
        while self.now < end && !self.answers.contains_key(&id) {
            self.run(STEP);
        }
        self.answers.remove(&id)
    }

    /// Submits until accepted, as users do.
    pub fn submit_until_accepted(&mut self, mut n: usize, spec: &JobSpec) -> u16 {
        for _ in 0..60 {
            let id = self.submit(n, spec.clone());
            if let Some((status @ (200 | 201 | 400 | 422), _)) = self.answer(id, 5 * SECOND) {
                return status;
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        0
    }

    /// Cancels until that is answered for good, as users do.
    pub fn cancel_until_confirmed(&mut self, mut n: usize, job: &str) -> Option<String> {
        for _ in 0..60 {
            let id = self.cancel(n, job);
            if let Some((200, body)) = self.answer(id, 5 * SECOND) {
                return Some(body["phase"].as_str().unwrap_or("").to_owned());
            }
            self.run(SECOND);
            n = (n + 1) % self.names.len();
        }
        None
    }
}
