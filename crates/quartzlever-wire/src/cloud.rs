//! The protocol between controllers and the cloud: catalogue, scale-out, return, list of machines.
//!
//! Prices are in the currency of the catalogue per hour.

use serde::{Deserialize, Serialize};

/// One machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Processors.
    pub cpus: f64,
    /// Graphics processors.
    #[serde(default)]
    pub gpus: f64,
    /// Memory.
    pub ram_gb: f64,
    /// Local disk for images.
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    /// How fast an image is pulled, in gigabytes a second.
    #[serde(default)]
    pub pull_gb_per_s: f64,
    /// Price on demand.
    pub hourly: f64,
    /// Price as a spot machine; absent if there are none of this type.
    #[serde(default)]
    pub market_price: Option<f64>,
    /// Usual time from the request until a machine is up.
    #[serde(default)]
    pub ready_s: f64,
    /// Zones that have this type.
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

/// A request for machines. A repetition under the same name rents nothing more, so a name must
/// never be used for another request.
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
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many machines are wanted; the cloud may give fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Names of machines: the answer to a scale-out, or the body of a return.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// The state of a rented machine as the cloud lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstancePhase {
    /// It boots.
    Starting,
    /// It is up.
    Running,
    /// It did not come up, or has broken down.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Other,
}

/// One rented machine in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The machine's name.
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
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state.
    pub phase: InstancePhase,
    /// How long it has been rented.
    #[serde(default)]
    pub held_s: f64,
}

/// A page of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstancePage {
    /// Rented machines, in the order of their names.
    #[serde(rename = "hosts")]
    pub instances: Vec<Instance>,
    /// Whether machines follow after the last of this page.
    #[serde(default)]
    pub has_next: bool,
}

/// A call of a controller to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudCall {
    /// Read the catalogue.
    Catalogue,
    /// Rent machines.
    ScaleOut(ScaleOutRequest),
    /// Return the machines of these names.
    ScaleIn(Vec<String>),
    /// Read a page of the list of rented machines.
    List {
        /// The last name of the page before; none for the first page.
        from: Option<String>,
    },
}

/// What the cloud answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The catalogue.
    Catalogue(Catalogue),
    /// Machines of these names are rented.
    ScaledOut(Vec<String>),
    /// The cloud has no machine of that type, zone and kind, or never will.
    NoCapacity,
    /// The machines are returned.
    ScaledIn,
    /// A page of the list.
    Listed(InstancePage),
}
