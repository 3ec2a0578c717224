//! Amounts of processors, graphics processors and memory. Plain arithmetic: it knows no machine and no task.

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;

/// Amounts of a machine, or what a task takes of one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

impl Resources {
    /// What one task of a job needs.
    pub fn required_by(spec: &JobSpec) -> Self {
        Resources { cpus: spec.cpus, gpus: spec.gpus, ram_gb: spec.ram_gb }
    }

    /// What an empty machine of a type has.
    pub fn capacity_of(machine_type: &MachineType) -> Self {
        Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram_gb }
    }

    /// Whether `need` fits into these resources, up to rounding.
    pub fn fits(&self, need: &Resources) -> bool {
        const SLACK: f64 = 1e-9;
        self.cpus + SLACK >= need.cpus
            && self.gpus + SLACK >= need.gpus
            && self.ram_gb + SLACK >= need.ram_gb
    }

    /// Takes what a task needs away.
    pub fn take(&mut self, need: &Resources) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.ram_gb -= need.ram_gb;
    }

    /// Gives back what a task needed.
    pub fn add(&mut self, need: &Resources) {
        self.cpus += need.cpus;
        self.gpus += need.gpus;
        self.ram_gb += need.ram_gb;
    }

    /// How many tasks of `need` fit.
    pub fn count(&self, need: &Resources) -> u32 {
        let by = |have: f64, want: f64| if want > 0.0 { have / want + 1e-9 } else { 1e6 };
        let most = by(self.cpus, need.cpus)
            .min(by(self.gpus, need.gpus))
            .min(by(self.ram_gb, need.ram_gb));
        most.max(0.0) as u32
    }
}
