//! The real program as a child process.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// A running controller; ended with this value.
#[derive(Debug)]
pub struct Node {
    child: Child,
    /// Where it serves users and workers.
    pub address: SocketAddr,
}

impl Node {
    /// Starts the program with a settings file and waits until it names its port.
    pub fn start(program: &str, config: &Path) -> io::Result<Node> {
        Node::start_with(Path::new(program), config, None)
    }

    /// The same, with an operator's file.
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
            // Programs of earlier versions, which a rolling upgrade starts, say `serves`.
            let served = line.split_once("api_served ").and_then(|(_, f)| f.split_once("address="));
            if let Some((_, address)) = served.or_else(|| line.split_once("serves ")) {
                break address.trim().parse().map_err(io::Error::other)?;
            }
        };
        // What it logs after that is read, so that it never waits for a reader.
        thread::spawn(move || lines.for_each(drop));
        Ok(Node { child, address })
    }

    /// Whether a controller at this address says that it is ready.
    pub fn is_ready(address: SocketAddr) -> bool {
        let url = format!("http://{address}/ready");
        ureq::get(&url).timeout(Duration::from_secs(1)).call().is_ok()
    }

    /// The number of its process.
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
