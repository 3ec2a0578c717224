//! The protocol between controllers and the cloud: the catalogue, scale-out, scale-in and the list
//! of instances.
//!
//! Prices are per hour, in the currency of the catalogue.

use serde::{Deserialize, Serialize};

/// A machine type of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Number of processors.
    pub cpus: f64,
    /// Number of graphics processors.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    pub ram_gb: f64,
    /// Size of the local disk that caches images.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// Rate at which an image is pulled, in gigabytes per second.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Price of an on-demand instance.
    pub hourly: f64,
    /// Price of a spot instance; absent if the type has none.
    #[serde(default)]
    pub market_price: Option<f64>,
    /// Usual time from the request until an instance is up.
    #[serde(default)]
    pub ready_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "bays")]
    pub zones: Vec<String>,
}

/// Answer of `/catalog`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// All machine types.
    #[serde(rename = "chassis")]
    pub types: Vec<MachineType>,
}

/// A request to launch instances. It is idempotent by its name: a repetition launches nothing more,
/// so a name must never be used for a different request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOutRequest {
    /// Name of the request, chosen by the controller.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "bay")]
    pub zone: String,
    /// Whether to launch spot instances.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of instances to launch; the cloud may launch fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the answer to a scale-out and the body of a scale-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// The state of an instance, as the cloud lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstancePhase {
    /// The instance boots.
    Starting,
    /// The instance is up.
    Running,
    /// The instance failed to boot or has failed since.
    Failed,
    /// A state that is unknown to this version.
    #[serde(other)]
    Other,
}

/// An instance in the list: a machine that is launched and not yet terminated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the machine.
    #[serde(rename = "ref")]
    pub name: String,
    /// Address and port of its worker; may be empty until it is up.
    #[serde(default)]
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "frame")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "bay")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the instance.
    pub phase: InstancePhase,
    /// Time since the launch.
    #[serde(default)]
    pub held_s: f64,
}

/// A page of the list of instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstancePage {
    /// Instances, ordered by name.
    #[serde(rename = "hosts")]
    pub instances: Vec<Instance>,
    /// Whether instances follow after the last of this page.
    #[serde(default)]
    pub has_next: bool,
}

/// A call of a controller to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Read the catalogue.
    Catalogue,
    /// Launch instances.
    ScaleOut(ScaleOutRequest),
    /// Terminate the instances with these names.
    ScaleIn(Vec<String>),
    /// Read a page of the list of instances.
    List {
        /// The last name of the previous page; `None` for the first page.
        from: Option<String>,
    },
}

/// The cloud's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The catalogue.
    Catalogue(Catalogue),
    /// Instances with these names are launched.
    ScaledOut(Vec<String>),
    /// The cloud has no capacity for the machine type in the zone, on demand or spot as requested,
    /// or rejects the request as malformed.
    NoCapacity,
    /// The instances are terminated.
    ScaledIn,
    /// A page of the list.
    Listed(InstancePage),
}
