//! What the cloud offers: machines of one type, in one zone, spot or not, and what they cost.
//!
//! Prices are those of the catalogue, an hour. Nothing here knows a partition.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::{MachineType, ScaleOutRequest};
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::users::JobSpec;

use crate::machines::resources::Resources;
use crate::scheduling::offer_allowed;

/// An offer counts as cheap up to this many times the lowest price for the job.
pub(super) const CHEAP: f64 = 1.5;

/// A kind of machine that can be asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl MachineOffer {
    pub(crate) fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        MachineOffer { machine_type: machine_type.to_owned(), zone: zone.to_owned(), spot }
    }

    /// What a request asks for.
    pub(super) fn of_request(request: &ScaleOutRequest) -> Self {
        MachineOffer::new(&request.machine_type, &request.zone, request.spot)
    }

    /// Whether a job may run on such machines, which are to be had where they are offered.
    pub(super) fn permits(&self, spec: &JobSpec) -> bool {
        offer_allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether tasks of a job can run on such machines.
    pub(super) fn suits(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.permits(spec) && types.get(&self.machine_type).is_some_and(|t| fits_empty(t, spec))
    }

    /// Whether such machines are known and cost about the type's lowest price.
    pub(super) fn is_cheap(&self, types: &BTreeMap<String, MachineType>) -> bool {
        types.get(&self.machine_type).is_some_and(|t| !is_dear(t, self.spot))
    }
}

/// Whether a claimed machine is cheap and can run tasks of a job.
pub(super) fn suits_cheaply(
    types: &BTreeMap<String, MachineType>,
    spec: &JobSpec,
    record: &MachineRecord,
) -> bool {
    types.get(&record.machine_type).is_some_and(|t| !is_dear(t, record.spot) && fits_empty(t, spec))
        && offer_allowed(spec, &record.machine_type, &record.zone, record.spot)
}

/// Whether a task of the job fits an empty machine of the type.
fn fits_empty(machine_type: &MachineType, spec: &JobSpec) -> bool {
    Resources::capacity_of(machine_type).fits(&Resources::required_by(spec))
}

/// Whether such machines cost far more than the type's lowest price.
pub(super) fn is_dear(machine_type: &MachineType, spot: bool) -> bool {
    price(machine_type, spot) > cheapest_price(machine_type) * CHEAP
}

/// What a machine costs an hour; infinite where it is not to be had as spot.
pub(super) fn price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot { machine_type.market_price.unwrap_or(f64::INFINITY) } else { machine_type.hourly }
}

/// The lowest price that machines of a type are to be had for.
pub(super) fn cheapest_price(machine_type: &MachineType) -> f64 {
    machine_type.market_price.unwrap_or(machine_type.hourly).min(machine_type.hourly)
}
