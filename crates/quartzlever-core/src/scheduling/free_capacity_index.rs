//! An index of a partition's machines by free processors, so that a placement visits only machines
//! with enough of them.

use std::collections::{BTreeSet, HashMap};

use quartzlever_wire::store::MachineRecord;
use quartzlever_wire::users::JobSpec;

use super::constraints_allow;

/// Machines of one type and zone, all spot instances or none, ordered by their free processors.
#[derive(Debug)]
struct Group {
    machine_type: String,
    zone: String,
    spot: bool,
    /// Free processors in thousandths, and the name of the machine.
    by_free_cpus: BTreeSet<(u32, String)>,
}

/// Machines of a partition that may get tasks, by their free processors.
#[derive(Debug, Default)]
pub struct FreeCapacityIndex {
    groups: Vec<Group>,
    /// By machine, its group and its free processors in thousandths.
    positions: HashMap<String, (usize, u32)>,
}

/// Converts processors to thousandths, rounded to the nearest. Lookups therefore start one
/// thousandth lower.
fn to_thousandths(cpus: f64) -> u32 {
    (cpus.max(0.0) * 1000.0).round().min(f64::from(u32::MAX)) as u32
}

impl FreeCapacityIndex {
    /// Sets the free processors of a machine, and adds it if it is not in the index.
    pub fn set_free_cpus(&mut self, machine: &str, record: &MachineRecord, cpus: f64) {
        let free = to_thousandths(cpus);
        if let Some((group, current)) = self.positions.get_mut(machine) {
            if *current != free {
                let group = &mut self.groups[*group].by_free_cpus;
                group.remove(&(*current, machine.to_owned()));
                group.insert((free, machine.to_owned()));
                *current = free;
            }
            return;
        }
        let matches_record = |g: &Group| {
            g.spot == record.spot && g.machine_type == record.machine_type && g.zone == record.zone
        };
        let group = self.groups.iter().position(matches_record).unwrap_or_else(|| {
            self.groups.push(Group {
                machine_type: record.machine_type.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
                by_free_cpus: BTreeSet::new(),
            });
            self.groups.len() - 1
        });
        self.groups[group].by_free_cpus.insert((free, machine.to_owned()));
        self.positions.insert(machine.to_owned(), (group, free));
    }

    /// Removes a machine that may not get tasks.
    pub fn remove(&mut self, machine: &str) {
        if let Some((group, free)) = self.positions.remove(machine) {
            self.groups[group].by_free_cpus.remove(&(free, machine.to_owned()));
        }
    }

    /// Returns the machines that the job's constraints allow and that have the processors of one
    /// task free. The caller checks GPUs and memory.
    pub fn machines_with_free_cpus<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = &'a str> {
        let lower_bound = (to_thousandths(spec.cpus).saturating_sub(1), String::new());
        self.groups
            .iter()
            .filter(|g| constraints_allow(spec, &g.machine_type, &g.zone, g.spot))
            .flat_map(move |g| g.by_free_cpus.range(lower_bound.clone()..))
            .map(|(_, machine)| machine.as_str())
    }
}
