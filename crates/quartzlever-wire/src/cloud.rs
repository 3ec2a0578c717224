//! Controllers -> cloud: catalogue, renting, returning, listing.

use serde::{Deserialize, Serialize};

/// One machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub ram_gb: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    #[serde(default)]
    pub market_price: Option<f64>,
    #[serde(default)]
    pub ready_s: f64,
    #[serde(rename = "bays")]
    pub zones: Vec<String>,
}

/// Answer of `/catalog`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    #[serde(rename = "chassis")]
    pub types: Vec<MachineType>,
}

/// A request for machines. Its name must never be used for another request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    #[serde(rename = "hire")]
    pub name: String,
    #[serde(rename = "frame")]
    pub machine_type: String,
    #[serde(rename = "bay")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

/// A list of machine names: what was rented, or what is to be returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostNames {
    pub hosts: Vec<String>,
}

/// The state of a rented machine as the cloud lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstancePhase {
    Starting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

/// One machine in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    #[serde(rename = "ref")]
    pub name: String,
    #[serde(default)]
    pub address: String,
    #[serde(rename = "frame")]
    pub machine_type: String,
    #[serde(rename = "bay")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub phase: InstancePhase,
    #[serde(default)]
    pub held_s: f64,
}

/// A page of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstancePage {
    pub hosts: Vec<Instance>,
    #[serde(default)]
    pub has_next: bool,
}

/// A call to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    Catalogue,
    ScaleOut(ScaleOutRequest),
    Return(Vec<String>),
    List { from: Option<String> },
}

/// What the cloud answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Catalogue(Catalogue),
    ScaledOut(Vec<String>),
    NoCapacity,
    ScaledIn,
    Listed(InstancePage),
}
