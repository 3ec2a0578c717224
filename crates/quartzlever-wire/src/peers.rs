//! The protocol between controllers: frames of a length (four bytes, most significant first) and a
//! `bincode` message.
//!
//! Variants and fields are told apart by their order alone, so the order is part of the format.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::users::Priority;

/// The largest frame that a peer may send, in bytes. The longest request is a steal, which tells
/// the room of each open machine: 80 bytes, so of 13,000 machines; the longest answer is a move, 48
/// KiB of records.
const MAX_FRAME: u32 = 1 << 20;

/// What one controller asks another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// How many ready tasks could move, and how long are the queues? Sent by an idle controller
    /// before it steals; answered by [`PeerAnswer::Counts`].
    Counts {
        /// Only tasks of this priority or above count.
        priority: Priority,
    },
    /// Hand over ready tasks to a partition of the asker; answered by [`PeerAnswer::Stolen`].
    Steal {
        /// The partition that the tasks are to move to.
        partition: String,
        /// The term under which the asker holds it.
        term: u64,
        /// Only tasks of this priority or above are wanted.
        priority: Priority,
        /// Where the asker could run tasks.
        thief: ThiefCapacity,
        /// Given by an asker that is not idle: it takes no more than evens out the two queues.
        load: Option<Load>,
    },
    /// The asker has tasks that should start now and nowhere to start them: whoever has free
    /// capacity may steal them without waiting out its interval.
    Saturated,
    /// The home node of a partition is up again and asks its present leader for it.
    HandBack {
        /// The partition.
        partition: String,
    },
    /// Do you reach the store? Answered by [`PeerAnswer::StoreConnectivity`].
    StoreConnectivity,
    /// Sent to the leader of a partition by a node that receives heartbeats of the partition's
    /// machines.
    MachinesSeen {
        /// The partition.
        partition: String,
        /// How many of its machines have lately reported to the asker.
        machines: u32,
    },
    /// Machines were rented for a partition and will report soon.
    ScaledOut {
        /// The partition.
        partition: String,
        /// The names of the machines.
        machines: Vec<String>,
    },
    /// The cancellation of a job has just been committed.
    Cancelled {
        /// The job's id.
        job: String,
        /// How many of its tasks had run to completion.
        done: u32,
    },
    /// Changes that the asker has just committed, for the log of the asked one; answered by
    /// [`PeerAnswer::Logged`]. Only controllers with recovery switched on send this, and then all
    /// have it.
    Logged(LoggedChanges),
}

/// Changes of a generation of records, as the log of one controller has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedChanges {
    /// The cluster's identity; changes of another cluster are not taken.
    pub cluster: String,
    /// The generation of the store's records: rises with each rebuild of a lost store.
    pub generation: u32,
    /// The revision at which the changes were committed.
    pub mod_revision: u64,
    /// Each key with its JSON text; without one it was deleted.
    pub changes: Vec<(String, Option<String>)>,
}

/// What an asking partition could run, so that the asked controller does not move what would only
/// wait there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ThiefCapacity {
    /// Free capacity of each open machine.
    pub free: Vec<FreeCapacity>,
}

/// How long a partition's queue is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Expected run time of the ready tasks, in processor-seconds.
    pub work: f64,
    /// Processors of the partition's machines.
    pub cpus: f64,
}

impl Load {
    /// Seconds until the queue is gone: never, where there is work and no machine. The sum of no
    /// processors is -0.0, and what was divided by it came out as the shortest queue of all or as
    /// the longest, as the compiler chose.
    pub fn drain_s(&self) -> f64 {
        if self.work <= 0.0 {
            0.0
        } else if self.cpus <= 0.0 {
            f64::INFINITY
        } else {
            self.work / self.cpus
        }
    }

    /// What has to move from this queue to another so that both last equally long, in
    /// processor-seconds.
    pub fn excess_over(&self, other: &Load) -> f64 {
        let cpus = self.cpus + other.cpus;
        if cpus <= 0.0 {
            return 0.0;
        }
        ((self.work * other.cpus - other.work * self.cpus) / cpus).max(0.0)
    }
}

/// Free capacity of one machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FreeCapacity {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free processors.
    pub cpus: f64,
    /// Free graphics processors.
    pub gpus: f64,
    /// Free memory.
    pub ram_gb: f64,
}

/// What the asked controller answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answer to [`PeerRequest::Counts`].
    Counts {
        /// Ready tasks that could move, of all partitions held.
        ready: u32,
        /// The load of the partition whose queue lasts longest.
        load: Load,
    },
    /// Answer to [`PeerRequest::Steal`]: the move is committed.
    Stolen {
        /// The moved jobs: id, modification revision and record (JSON) of each.
        jobs: Vec<(String, u64, String)>,
    },
    /// Answer to [`PeerRequest::StoreConnectivity`].
    StoreConnectivity {
        /// Whether the store has answered lately.
        reached: bool,
    },
    /// Nothing to move, or not able to.
    Nothing,
    /// Answer to [`PeerRequest::Logged`]: the changes are on the disk here too.
    Logged,
}

/// Writes one message as a frame.
pub fn send<T: Serialize>(out: &mut impl Write, message: &T) -> io::Result<()> {
    let body = bincode::serialize(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    out.write_all(&frame)
}

/// Reads one message; a frame over the limit or one that does not parse is an error.
pub fn receive<T: DeserializeOwned>(from: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > MAX_FRAME {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut body = vec![0; length as usize];
    from.read_exact(&mut body)?;
    bincode::deserialize(&body).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
