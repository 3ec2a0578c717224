//! Distribution of a job's ready tasks over its feasible machines.
//!
//! Pure: the free capacity, the starts that each machine may get and the zone constraints are
//! counted once before, so that the distribution of any number of tasks takes one step for each
//! start and for each machine.

use super::zones::ZoneCapacity;
use crate::machines::machine::Machine;
use crate::machines::resources::Resources;

/// What a feasible machine can take of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct MachineRoom {
    pub machine: String,
    pub zone: String,
    /// Number of tasks that fit into the free capacity.
    pub fitting: u32,
    /// Number of starts that the machine may get now.
    pub start_slots: u32,
}

impl MachineRoom {
    /// Returns what a machine can take of a job whose tasks need `need`.
    pub fn of(machine: &Machine, need: &Resources) -> Self {
        MachineRoom {
            machine: machine.name.clone(),
            zone: machine.record.zone.clone(),
            fitting: machine.free.count_fitting(need),
            start_slots: machine.start_slots(),
        }
    }

    fn startable(&self) -> u32 {
        self.fitting.min(self.start_slots)
    }
}

/// How the tasks of a job are spread over machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Spreading {
    /// One machine is filled after the other.
    FillEach,
    /// Each machine gets one task in each round.
    OnePerRound,
}

/// The starts on one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MachineStarts {
    /// Index of the machine in the list of rooms.
    pub room: usize,
    pub tasks: u32,
}

/// The result of a distribution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Distribution {
    /// The starts, in the order in which tasks are taken from the queue.
    pub starts: Vec<MachineStarts>,
    /// Number of tasks started.
    pub started: u32,
    /// Number of further tasks that have room on a machine and wait only until more starts are
    /// allowed.
    pub held_back: u32,
}

/// Distributes up to `wanted` tasks, of which at most `max_starts` start now, over machines in the
/// order of preference, and subtracts them from the rooms.
pub(super) fn distribute(
    rooms: &mut [MachineRoom],
    mut zones: ZoneCapacity,
    wanted: u32,
    max_starts: u32,
    spreading: Spreading,
) -> Distribution {
    let per_round = match spreading {
        Spreading::FillEach => u32::MAX,
        Spreading::OnePerRound => 1,
    };
    let mut starts = Vec::new();
    let mut left = wanted.min(max_starts);
    let mut with_room: Vec<usize> = (0..rooms.len()).collect();
    while left > 0 && !with_room.is_empty() {
        // A machine without room in one round has none in the next.
        with_room.retain(|&room| {
            let tasks = start_on(&mut rooms[room], &mut zones, left.min(per_round));
            if tasks > 0 {
                starts.push(MachineStarts { room, tasks });
                left -= tasks;
            }
            tasks > 0
        });
    }
    let started = starts.iter().map(|start| start.tasks).sum();
    let held_back = count_room(rooms, zones, wanted - started);
    Distribution { starts, started, held_back }
}

/// Starts up to `max_tasks` tasks on a machine. Returns their number.
fn start_on(room: &mut MachineRoom, zones: &mut ZoneCapacity, max_tasks: u32) -> u32 {
    let tasks = room.startable().min(zones.remaining(&room.zone)).min(max_tasks);
    room.fitting -= tasks;
    room.start_slots -= tasks;
    zones.start(&room.zone, tasks);
    tasks
}

/// Returns how many of `tasks` tasks have room on machines, whether or not these may get more
/// starts now.
fn count_room(rooms: &[MachineRoom], mut zones: ZoneCapacity, tasks: u32) -> u32 {
    let mut left = tasks;
    for room in rooms {
        if left == 0 {
            break;
        }
        let fitting = room.fitting.min(zones.remaining(&room.zone)).min(left);
        zones.start(&room.zone, fitting);
        left -= fitting;
    }
    tasks - left
}

#[cfg(test)]
mod tests;
