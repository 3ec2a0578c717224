//! Amounts of CPUs, GPUs and memory, and the arithmetic on them.

use quartzlever_wire::cloud::MachineType;
use quartzlever_wire::users::JobSpec;

/// Tolerance for rounding errors of the floating-point amounts.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Number of tasks that fit with regard to a resource that they do not need.
const UNLIMITED_TASKS: f64 = 1e6;

/// The resources of a machine, or those that a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

impl Resources {
    /// Returns the resources that one task of a job needs.
    pub fn required_by(spec: &JobSpec) -> Self {
        Resources { cpus: spec.cpus, gpus: spec.gpus, ram_gb: spec.ram_gb }
    }

    /// Returns the resources of an empty machine of a type.
    pub fn capacity_of(machine_type: &MachineType) -> Self {
        Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, ram_gb: machine_type.ram_gb }
    }

    /// Reports whether `need` fits into these resources, up to rounding errors.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpus + ROUNDING_TOLERANCE >= need.cpus
            && self.gpus + ROUNDING_TOLERANCE >= need.gpus
            && self.ram_gb + ROUNDING_TOLERANCE >= need.ram_gb
    }

    /// Subtracts the resources that `tasks` tasks of `need` need.
    pub fn subtract_tasks(&mut self, need: &Resources, tasks: u32) {
        let tasks = f64::from(tasks);
        self.cpus -= need.cpus * tasks;
        self.gpus -= need.gpus * tasks;
        self.ram_gb -= need.ram_gb * tasks;
    }

    /// Subtracts the resources that a task needs.
    pub fn subtract(&mut self, need: &Resources) {
        self.subtract_tasks(need, 1);
    }

    /// Adds the resources that `tasks` tasks of `need` need.
    pub fn add_tasks(&mut self, need: &Resources, tasks: u32) {
        let tasks = f64::from(tasks);
        self.cpus += need.cpus * tasks;
        self.gpus += need.gpus * tasks;
        self.ram_gb += need.ram_gb * tasks;
    }

    /// Adds the resources that a task needed.
    pub fn add(&mut self, need: &Resources) {
        self.add_tasks(need, 1);
    }

    /// Returns the number of tasks of `need` that fit.
    pub fn count_fitting(&self, need: &Resources) -> u32 {
        let tasks_by = |available: f64, needed: f64| {
            if needed > 0.0 { available / needed + ROUNDING_TOLERANCE } else { UNLIMITED_TASKS }
        };
        let max_tasks = tasks_by(self.cpus, need.cpus)
            .min(tasks_by(self.gpus, need.gpus))
            .min(tasks_by(self.ram_gb, need.ram_gb));
        max_tasks.max(0.0) as u32
    }
}
