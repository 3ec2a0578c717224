//! Settings files for several controllers, each on a loopback address of its own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

const API_PORT: u16 = 7100;
const PEER_PORT: u16 = 7200;

/// Times and teams in the settings of the controllers of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Interval between the heartbeats of a worker, in seconds.
    pub heartbeat_s: f64,
    /// Lease of a worker, in seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must end, in seconds.
    pub cancel_s: f64,
    /// Team besides "free", with its maximum number of processors.
    pub limited_team: Option<(String, f64)>,
}

impl Default for SiteSettings {
    fn default() -> Self {
        SiteSettings { heartbeat_s: 1.0, lease_s: 10.0, cancel_s: 20.0, limited_team: None }
    }
}

/// The addresses at which a controller finds the systems around it.
#[derive(Clone, Debug)]
pub struct Surroundings {
    /// Address of the store.
    pub state: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Addresses of the other controllers, by name.
    pub peers: Vec<(String, SocketAddr)>,
}

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
    settings: SiteSettings,
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
            settings: SiteSettings::default(),
        }
    }

    /// Returns the site with other times and teams.
    pub fn with_settings(self, settings: SiteSettings) -> Site {
        Site { settings, ..self }
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

    /// Returns the name of each node and the address at which it serves the other nodes.
    pub fn peer_addresses(&self) -> Vec<(String, SocketAddr)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.map(|(n, name)| (name.clone(), (self.loopback(n), PEER_PORT).into())).collect()
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
        let mut peers = self.peer_addresses();
        peers.remove(node);
        self.write_settings_for(node, &Surroundings { state, cloud, peers })
    }

    /// Writes the settings file of a node that finds the other systems at these addresses, and
    /// returns its path.
    pub fn write_settings_for(
        &self,
        node: usize,
        surroundings: &Surroundings,
    ) -> io::Result<PathBuf> {
        let Surroundings { state, cloud, peers } = surroundings;
        let mut seeds = String::new();
        for (name, address) in peers {
            seeds += &format!("[[seeds]]\nnode_name = \"{name}\"\naddr = \"{address}\"\n");
        }
        let SiteSettings { heartbeat_s, lease_s, cancel_s, limited_team } = &self.settings;
        let limited_team = limited_team.as_ref().map_or_else(String::new, |(team, cpus)| {
            format!("[[params.teams]]\nname = \"{team}\"\ncpus_max = {cpus:?}\n")
        });
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
{limited_team}
[params.workers]
report_s = {heartbeat_s:?}
lease_s = {lease_s:?}
cancel_s = {cancel_s:?}
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
