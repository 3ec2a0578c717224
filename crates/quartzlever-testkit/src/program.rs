//! Runs the real program as a child process.

use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Violated invariants in the logs of all processes of this test program.
static VIOLATIONS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Reports whether a line of the log reports a violated invariant.
fn is_violation(line: &str) -> bool {
    line.contains("invariant_violated")
}

fn record_violation(line: String) {
    VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner).push(line);
}

/// Returns the lines with which controllers of this test program have reported violated invariants.
/// Logs that go to a file are not included.
pub fn reported_violations() -> Vec<String> {
    VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// A running controller process. Dropping the value kills the process.
#[derive(Debug)]
pub struct Node {
    child: Child,
    /// Address of its HTTP API for users and workers.
    pub address: SocketAddr,
}

impl Node {
    /// Starts the program with a settings file and waits until it logs the address of its API.
    ///
    /// Fails if the program cannot be started or exits before it serves its API.
    pub fn start(program: &str, config: &Path) -> io::Result<Node> {
        Node::start_with(Path::new(program), config, None)
    }

    /// Starts the program like [`Node::start`], optionally with an operator file.
    pub fn start_with(program: &Path, config: &Path, operator: Option<&Path>) -> io::Result<Node> {
        let mut command = Command::new(program);
        command.arg("--config").arg(config);
        if let Some(operator) = operator {
            command.arg("--operator").arg(operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(log).lines();
        let address = loop {
            let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            // Earlier versions, which the tests of a rolling upgrade start, log `serves ADDRESS`.
            let served = line.split_once("api_served ").and_then(|(_, f)| f.split_once("address="));
            if let Some((_, address)) = served.or_else(|| line.split_once("serves ")) {
                break address.trim().parse().map_err(io::Error::other)?;
            }
        };
        // Drains the rest of the log, so that the program never blocks on a full pipe.
        thread::spawn(move || {
            lines.map_while(Result::ok).filter(|line| is_violation(line)).for_each(record_violation)
        });
        Ok(Node { child, address })
    }

    /// Starts the program without waiting until it serves its API at `address`. Its log, from level
    /// `info`, is appended to the file `log`.
    pub fn spawn_logged(
        program: &Path,
        config: &Path,
        operator: &Path,
        log: &Path,
        address: SocketAddr,
    ) -> io::Result<Node> {
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.arg("--config").arg(config).arg("--operator").arg(operator);
        let child = command.env("LOG_LEVEL", "info").stderr(Stdio::from(log)).spawn()?;
        Ok(Node { child, address })
    }

    /// Stops the process, as a host does that is suspended. It continues after [`Node::resume`].
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets the process continue after [`Node::pause`].
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let process = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(process), signal).map_err(io::Error::from)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Reports whether the controller at this address answers `GET /ready` with success within a
    /// second.
    pub fn is_ready(address: SocketAddr) -> bool {
        let url = format!("http://{address}/ready");
        ureq::get(&url).timeout(Duration::from_secs(1)).call().is_ok()
    }

    /// Returns the id of the process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
