//! Runs the real program as a child process.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

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
        thread::spawn(move || lines.for_each(drop));
        Ok(Node { child, address })
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
