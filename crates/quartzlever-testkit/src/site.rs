//! Settings files for several controllers, each on a loopback address of its own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

const API_PORT: u16 = 7100;
const PEER_PORT: u16 = 7200;

/// A group of controllers with their addresses and files.
///
/// The addresses depend on the name of the site and on the process id of the test, so that parallel
/// tests and runs do not share ports and a restarted controller finds its port free.
#[derive(Clone, Debug)]
pub struct Site {
    name: String,
    directory: PathBuf,
    nodes: Vec<String>,
    zones: Vec<String>,
    store_limits: String,
}

impl Site {
    /// Creates a site whose files are written to `directory`. `zones` holds the zone of each node,
    /// in the order of `nodes`; `store_limits` is appended to the `[params.state]` section of the
    /// settings.
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

    /// Returns the loopback address of a node: one byte from the process id, one from the name of
    /// the site, one from the index of the node.
    fn loopback(&self, node: usize) -> Ipv4Addr {
        let process_byte = 2 + (std::process::id() % 250) as u8;
        let hash = |hash: u8, byte: u8| hash.wrapping_mul(31).wrapping_add(byte);
        Ipv4Addr::new(127, process_byte, self.name.bytes().fold(7, hash), node as u8 + 1)
    }

    /// Returns the name and the API address of each node.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.map(|(n, name)| (name.clone(), (self.loopback(n), API_PORT).into())).collect()
    }

    /// Writes a file into the directory of the site, with the name of the site as prefix, and
    /// returns its path.
    pub fn write(&self, file: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.directory.join(format!("{}-{file}", self.name));
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Writes the settings file of a node and returns its path. `state` and `cloud` are the
    /// addresses of the store and the cloud.
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
