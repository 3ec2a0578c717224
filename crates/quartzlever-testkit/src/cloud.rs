//! The cloud: rents without end, remembers the names of requests.

use std::collections::{BTreeMap, BTreeSet};

use quartzlever_wire::cloud::{
    Catalogue, CloudCall, CloudReply, Instance, InstancePage, InstancePhase, MachineType,
};

/// A cloud of one machine type in any number of zones.
#[derive(Debug)]
pub struct Cloud {
    pub catalogue: Catalogue,
    scale_outs: BTreeMap<String, Vec<String>>,
    pub machines: BTreeMap<String, Instance>,
    /// Names that were returned.
    pub gone: BTreeSet<String>,
    count: u32,
    pub most: usize,
    /// The most machines that it lets on short notice; their price is in the catalogue all the same.
    pub most_spot: usize,
}

impl Cloud {
    pub fn new(cpus: f64, zones: &[&str], most: usize) -> Self {
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
            most,
            most_spot: usize::MAX,
        }
    }

    pub fn call(&mut self, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::Catalogue => CloudReply::Catalogue(self.catalogue.clone()),
            CloudCall::ScaleOut(request) => {
                if let Some(hosts) = self.scale_outs.get(&request.name) {
                    return CloudReply::ScaledOut(hosts.clone());
                }
                let mut room = self.most.saturating_sub(self.machines.len());
                if request.spot {
                    let spot = self.machines.values().filter(|m| m.spot).count();
                    room = room.min(self.most_spot.saturating_sub(spot));
                }
                let count = (request.count as usize).min(room);
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let mut hosts = Vec::new();
                for _ in 0..count {
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
                    hosts.push(name);
                }
                self.scale_outs.insert(request.name.clone(), hosts.clone());
                CloudReply::ScaledOut(hosts)
            }
            CloudCall::Return(hosts) => {
                for host in hosts {
                    self.machines.remove(host);
                    self.gone.insert(host.clone());
                }
                CloudReply::ScaledIn
            }
            CloudCall::List { .. } => CloudReply::Listed(InstancePage {
                hosts: self.machines.values().cloned().collect(),
                has_next: false,
            }),
        }
    }
}
