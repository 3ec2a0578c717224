//! Free room of a partition's machines, kept as an index so that no placement looks at machines that
//! have none.

use std::collections::{BTreeSet, HashMap};

use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::users::JobSpec;

use super::offer_allowed;

/// Machines of one type, zone and kind, by their free processors.
#[derive(Debug)]
struct Group {
    machine_type: String,
    zone: String,
    spot: bool,
    by_free_cpus: BTreeSet<(u32, String)>,
}

/// All machines of a partition that may get tasks.
#[derive(Debug, Default)]
pub struct FreeCapacityIndex {
    groups: Vec<Group>,
    places: HashMap<String, (usize, u32)>,
}

/// Processors in thousandths; rounded, so a need is looked for a little lower.
fn thousandths(cpus: f64) -> u32 {
    (cpus.max(0.0) * 1000.0).round().min(f64::from(u32::MAX)) as u32
}

impl FreeCapacityIndex {
    /// Notes how many processors of a machine are free.
    pub fn put(&mut self, machine: &str, record: &MachineRecord, cpus: f64) {
        let free = thousandths(cpus);
        if let Some((group, known)) = self.places.get_mut(machine) {
            if *known != free {
                let group = &mut self.groups[*group].by_free_cpus;
                group.remove(&(*known, machine.to_owned()));
                group.insert((free, machine.to_owned()));
                *known = free;
            }
            return;
        }
        let like = |g: &Group| {
            g.spot == record.spot && g.machine_type == record.machine_type && g.zone == record.zone
        };
        let group = self.groups.iter().position(like).unwrap_or_else(|| {
            self.groups.push(Group {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                by_free_cpus: BTreeSet::new(),
            });
            self.groups.len() - 1
        });
        self.groups[group].by_free_cpus.insert((free, machine.to_owned()));
        self.places.insert(machine.to_owned(), (group, free));
    }

    /// Forgets a machine that may not get tasks.
    pub fn remove(&mut self, machine: &str) {
        if let Some((group, free)) = self.places.remove(machine) {
            self.groups[group].by_free_cpus.remove(&(free, machine.to_owned()));
        }
    }

    /// Machines that the job may run on and that have the processors free; other amounts are for
    /// the caller to check.
    pub fn with<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a str> {
        let least = (thousandths(spec.cpus).saturating_sub(1), String::new());
        self.groups
            .iter()
            .filter(|g| offer_allowed(spec, &g.machine_type, &g.zone, g.spot))
            .flat_map(move |g| g.by_free_cpus.range(least.clone()..))
            .map(|(_, machine)| machine.as_str())
    }
}
