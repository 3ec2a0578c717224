//! Machine offers: machines of one type in one zone, on demand or spot, and their prices.
//!
//! Prices are those of the catalogue, per hour. Nothing here depends on partitions.

use std::collections::BTreeMap;

use quartzlever_wire::cloud::{MachineType, ScaleOutRequest};
use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::users::JobSpec;

use crate::machines::resources::Resources;
use crate::scheduling::constraints_allow;

/// Maximum ratio of a cheap price to the lowest price, of a machine type or per task of a job.
pub(super) const MAX_CHEAP_PRICE_RATIO: f64 = 1.5;

/// A kind of machine that can be requested from the cloud.
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

    /// Returns the offer that a request asks for.
    pub(super) fn of_request(request: &ScaleOutRequest) -> Self {
        MachineOffer::new(&request.machine_type, &request.zone, request.spot)
    }

    /// Reports whether a job may run on such machines, provided that the cloud has them in the
    /// zone.
    pub(super) fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        constraints_allow(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Reports whether tasks of a job can run on such machines.
    pub(super) fn can_run(&self, types: &BTreeMap<String, MachineType>, spec: &JobSpec) -> bool {
        self.is_allowed_for(spec)
            && types.get(&self.machine_type).is_some_and(|t| fits_empty_machine(t, spec))
    }

    /// Reports whether the machine type is known and the price is close to the lowest of the type.
    pub(super) fn is_cheap(&self, types: &BTreeMap<String, MachineType>) -> bool {
        types.get(&self.machine_type).is_some_and(|t| !is_expensive(t, self.spot))
    }
}

/// Reports whether a claimed machine is cheap and can run tasks of a job.
pub(super) fn can_run_cheaply(
    types: &BTreeMap<String, MachineType>,
    spec: &JobSpec,
    record: &MachineRecord,
) -> bool {
    types
        .get(&record.machine_type)
        .is_some_and(|t| !is_expensive(t, record.spot) && fits_empty_machine(t, spec))
        && constraints_allow(spec, &record.machine_type, &record.zone, record.spot)
}

/// Reports whether a task of the job fits an empty machine of the type.
fn fits_empty_machine(machine_type: &MachineType, spec: &JobSpec) -> bool {
    Resources::capacity_of(machine_type).fits(&Resources::required_by(spec))
}

/// Reports whether such machines cost more than `MAX_CHEAP_PRICE_RATIO` times the lowest price of
/// the type.
pub(super) fn is_expensive(machine_type: &MachineType, spot: bool) -> bool {
    hourly_price(machine_type, spot) > lowest_hourly_price(machine_type) * MAX_CHEAP_PRICE_RATIO
}

/// Returns the price per hour, which is infinite for spot machines of a type that has none.
pub(super) fn hourly_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot { machine_type.market_price.unwrap_or(f64::INFINITY) } else { machine_type.hourly }
}

/// Returns the lowest price per hour of a machine type, on demand or spot.
pub(super) fn lowest_hourly_price(machine_type: &MachineType) -> f64 {
    machine_type.market_price.unwrap_or(machine_type.hourly).min(machine_type.hourly)
}
