//! The fake cloud: machines of one type, up as soon as they are rented.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, Instance, InstancePage, InstancePhase, MachineType,
    ScaleOutRequest,
};

/// A fake cloud of one machine type in any number of zones. It remembers the names of requests.
#[derive(Debug)]
pub struct Cloud {
    /// What it answers when asked for the catalogue.
    pub catalogue: Catalogue,
    /// The machines of each request by its name.
    scale_outs: BTreeMap<String, Vec<String>>,
    /// Rented machines by name.
    pub machines: BTreeMap<String, Instance>,
    /// Names that were returned.
    pub gone: BTreeSet<String>,
    count: u32,
    /// The most machines that it rents at once.
    pub max_machines: usize,
    /// The most spot machines that it rents at once; their price is in the catalogue all the same.
    pub max_spot_machines: usize,
}

impl Cloud {
    /// A cloud of machines with so many processors, of which it rents so many at once.
    pub fn new(cpus: f64, zones: &[&str], max_machines: usize) -> Self {
        let machine_type = MachineType {
            name: "m".into(),
            cpus,
            gpus: 0.0,
            ram_gb: 64.0,
            cache_gb: 50.0,
            pull_gb_per_s: 1.0,
            hourly: 1.0,
            market_price: Some(0.4),
            ready_s: 2.0,
            zones: zones.iter().map(|z| (*z).to_owned()).collect(),
        };
        Cloud {
            catalogue: Catalogue { types: vec![machine_type] },
            scale_outs: BTreeMap::new(),
            machines: BTreeMap::new(),
            gone: BTreeSet::new(),
            count: 0,
            max_machines,
            max_spot_machines: usize::MAX,
        }
    }

    /// Carries out one call. A list is one page.
    pub fn call(&mut self, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::Catalogue => CloudReply::Catalogue(self.catalogue.clone()),
            CloudCall::ScaleOut(request) => self.scale_out(request),
            CloudCall::ScaleIn(machines) => {
                for machine in machines {
                    self.machines.remove(machine);
                    self.gone.insert(machine.clone());
                }
                CloudReply::ScaledIn
            }
            CloudCall::List { .. } => CloudReply::Listed(InstancePage {
                instances: self.machines.values().cloned().collect(),
                has_next: false,
            }),
        }
    }

    fn scale_out(&mut self, request: &ScaleOutRequest) -> CloudReply {
        if let Some(machines) = self.scale_outs.get(&request.name) {
            return CloudReply::ScaledOut(machines.clone());
        }
        let mut room = self.max_machines.saturating_sub(self.machines.len());
        if request.spot {
            let spot = self.machines.values().filter(|m| m.spot).count();
            room = room.min(self.max_spot_machines.saturating_sub(spot));
        }
        let count = (request.count as usize).min(room);
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let machines: Vec<String> = (0..count).map(|_| self.rent(request)).collect();
        self.scale_outs.insert(request.name.clone(), machines.clone());
        CloudReply::ScaledOut(machines)
    }

    /// Adds one machine and gives its name.
    fn rent(&mut self, request: &ScaleOutRequest) -> String {
        self.count += 1;
        let name = format!("n-{:06}", self.count);
        let instance = Instance {
            name: name.clone(),
            address: format!("{name}:9000"),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            phase: InstancePhase::Running,
            held_s: 1.0,
        };
        self.machines.insert(name.clone(), instance);
        name
    }
}
