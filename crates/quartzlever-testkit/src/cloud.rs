//! A fake cloud with one machine type, whose machines run as soon as they are launched.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, Instance, InstancePage, InstancePhase, MachineType,
    ScaleOutRequest,
};

/// A fake cloud with one machine type in any number of zones.
///
/// Scale-out requests are idempotent: a repeated request name returns the machines of the first.
#[derive(Debug)]
pub struct Cloud {
    /// The catalogue that it returns.
    pub catalogue: Catalogue,
    /// Machine names of each granted scale-out request, by request name.
    scale_outs: BTreeMap<String, Vec<String>>,
    /// Running machines by name.
    pub machines: BTreeMap<String, Instance>,
    /// Names of terminated machines.
    pub terminated: BTreeSet<String>,
    launched_count: u32,
    /// Maximum number of running machines.
    pub max_machines: usize,
    /// Maximum number of running spot machines. The catalogue lists the spot price whatever the
    /// limit.
    pub max_spot_machines: usize,
}

impl Cloud {
    /// Creates a cloud whose machines have `cpus` processors, with at most `max_machines` of them
    /// running.
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
            terminated: BTreeSet::new(),
            launched_count: 0,
            max_machines,
            max_spot_machines: usize::MAX,
        }
    }

    /// Executes one call. A listing is always a single page.
    pub fn call(&mut self, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::Catalogue => CloudReply::Catalogue(self.catalogue.clone()),
            CloudCall::ScaleOut(request) => self.scale_out(request),
            CloudCall::ScaleIn(machines) => {
                for machine in machines {
                    self.machines.remove(machine);
                    self.terminated.insert(machine.clone());
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
        let mut capacity = self.max_machines.saturating_sub(self.machines.len());
        if request.spot {
            let spot = self.machines.values().filter(|m| m.spot).count();
            capacity = capacity.min(self.max_spot_machines.saturating_sub(spot));
        }
        let count = (request.count as usize).min(capacity);
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let machines: Vec<String> = (0..count).map(|_| self.launch(request)).collect();
        self.scale_outs.insert(request.name.clone(), machines.clone());
        CloudReply::ScaledOut(machines)
    }

    /// Launches one machine and returns its name.
    fn launch(&mut self, request: &ScaleOutRequest) -> String {
        self.launched_count += 1;
        let name = format!("n-{:06}", self.launched_count);
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
