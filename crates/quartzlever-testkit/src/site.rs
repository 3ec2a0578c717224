//! The settings of several controllers on loopback addresses of their own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

const API_PORT: u16 = 7100;
const PEER_PORT: u16 = 7200;

/// Controllers with their addresses and files. The addresses differ between tests and runs, so that a
/// process that is started again finds its port free.
#[derive(Clone, Debug)]
pub struct Site {
    name: String,
    directory: PathBuf,
    nodes: Vec<String>,
    zones: Vec<String>,
    store_limits: String,
}

impl Site {
    /// A site whose files are written to this directory; each node is in the zone of the same place.
    pub fn new(
        name: &str,
        directory: &Path,
        nodes: &[&str],
        zones: &[&str],
        store_limits: &str,
    ) -> Site {
        let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        Site {
            name: name.to_owned(),
            directory: directory.to_owned(),
            nodes: owned(nodes),
            zones: owned(zones),
            store_limits: store_limits.to_owned(),
        }
    }

    fn loopback(&self, node: usize) -> Ipv4Addr {
        let run = 2 + (std::process::id() % 250) as u8;
        let sum = |sum: u8, byte: u8| sum.wrapping_mul(31).wrapping_add(byte);
        Ipv4Addr::new(127, run, self.name.bytes().fold(7, sum), node as u8 + 1)
    }

    /// Where users and workers find each node.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.map(|(n, name)| (name.clone(), (self.loopback(n), API_PORT).into())).collect()
    }

    /// Writes a file of the site.
    pub fn write(&self, file: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.directory.join(format!("{}-{file}", self.name));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Writes a node's settings.
    pub fn write_settings(
        &self,
        node: usize,
        state: SocketAddr,
        cloud: SocketAddr,
    ) -> io::Result<PathBuf> {
        let mut seeds = String::new();
        for (n, name) in self.nodes.iter().enumerate().filter(|(n, _)| *n != node) {
            let address = self.loopback(n);
            seeds +=
                &format!("[[seeds]]\nnode_name = \"{name}\"\naddr = \"{address}:{PEER_PORT}\"\n");
        }
        let (name, zone, address) = (&self.nodes[node], &self.zones[node], self.loopback(node));
        let limits = &self.store_limits;
        let text = format!(
            r#"
node_name = "{name}"
site = "{zone}"
api_addr = "{address}:{API_PORT}"
internal_addr = "{address}:{PEER_PORT}"
{seeds}
[external]
cloud = "{cloud}"
state = "{state}"
[params]
zones = ["a", "b"]
[[params.teams]]
name = "free"
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 20.0
[params.cloud]
rps = 50.0
list_lag_s = 1.0
[params.state]
rps = 500.0
write_rps = 500.0
{limits}
"#
        );
        self.write(&format!("{node}.toml"), &text)
    }
}
