//! The protocol between controllers. A frame is the length of the message (four bytes, big-endian)
//! followed by the message in `bincode`.
//!
//! `bincode` identifies variants and fields by their order alone, so the order is part of the
//! format.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::users::Priority;

/// The maximum length of a message in a frame, in bytes. The longest request is a steal: it lists
/// the free capacity of each machine that accepts tasks, at 80 bytes each, so of up to 13,000
/// machines. The longest answer is a move, with 48 KiB of records.
const MAX_FRAME_BYTES: u32 = 1 << 20;

/// A request of one controller to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks how many ready tasks could move and how long the queues are. A thief sends it before it
    /// steals. Answered by [`PeerAnswer::Counts`].
    Counts {
        /// Lowest priority of the tasks to count.
        priority: Priority,
    },
    /// Asks to move ready tasks to a partition of the sender. Answered by [`PeerAnswer::Stolen`].
    Steal {
        /// The partition that the tasks move to.
        partition: String,
        /// The sender's term of that partition.
        term: u64,
        /// Lowest priority of the tasks to move.
        priority: Priority,
        /// Capacity of the sender's partition for the tasks.
        capacity: ThiefCapacity,
        /// Load of the sender's partition if it is not idle: it takes no more tasks than balance
        /// the two queues. `None` for an idle partition.
        load: Option<Load>,
    },
    /// Reports that the sender has tasks that should start now but no capacity for them. A
    /// controller with free capacity may steal them without waiting for its next interval.
    Saturated,
    /// Asks the leader of a partition to hand it back. Sent by the partition's home node when it is
    /// up again.
    HandBack {
        /// The partition.
        partition: String,
    },
    /// Asks whether the receiver reaches the store. Answered by [`PeerAnswer::StoreConnectivity`].
    StoreConnectivity,
    /// Reports to the leader of a partition that the sender receives heartbeats of the partition's
    /// machines.
    MachinesSeen {
        /// The partition.
        partition: String,
        /// Number of its machines that have recently sent heartbeats to the sender.
        machines: u32,
    },
    /// Reports that machines were launched for a partition and will soon send heartbeats.
    ScaledOut {
        /// The partition.
        partition: String,
        /// The names of the machines.
        machines: Vec<String>,
    },
    /// Reports that the cancellation of a job has just been committed.
    Cancelled {
        /// Id of the job.
        job: String,
        /// Number of its tasks that had run to completion.
        done: u32,
    },
    /// Sends changes that the sender has just committed, for the receiver's log. Answered by
    /// [`PeerAnswer::Logged`]. Only controllers with recovery enabled send this, and recovery is
    /// enabled on all controllers or none.
    LogChanges(LoggedChanges),
}

/// Changes to the records of one generation, as a controller logs them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedChanges {
    /// Identity of the cluster; a receiver ignores changes of another cluster.
    pub cluster: String,
    /// Generation of the store's records, which rises with each rebuild of a lost store.
    pub generation: u32,
    /// Revision at which the changes were committed.
    pub mod_revision: u64,
    /// Each changed key with its JSON text, or with `None` if it was deleted.
    pub changes: Vec<(String, Option<String>)>,
}

/// The capacity of a partition that steals. The victim moves no tasks that would only wait there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ThiefCapacity {
    /// For an idle partition, the free capacity of each machine that accepts tasks, including what
    /// the preemption of lower priorities would free. Otherwise the whole capacity of each machine
    /// type that the partition has, with separate entries for each zone and for spot and on-demand
    /// instances.
    pub free: Vec<FreeCapacity>,
}

/// The queue of a partition and the processors that work it off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Expected run time of the ready tasks, in processor-seconds.
    pub work: f64,
    /// Number of processors of the partition's machines.
    pub cpus: f64,
}

impl Load {
    /// Returns the seconds until the queue is empty: infinity if there is work but no processor.
    ///
    /// A sum over no machines is -0.0. A division by it makes the queue the shortest or the longest
    /// of all, depending on the compiler, so that case is handled without a division.
    pub fn drain_s(&self) -> f64 {
        if self.work <= 0.0 {
            0.0
        } else if self.cpus <= 0.0 {
            f64::INFINITY
        } else {
            self.work / self.cpus
        }
    }

    /// Returns the work that has to move from this queue to the other so that both take equally
    /// long to drain, in processor-seconds. It is 0 if the other queue takes longer.
    pub fn work_to_balance(&self, other: &Load) -> f64 {
        let cpus = self.cpus + other.cpus;
        if cpus <= 0.0 {
            return 0.0;
        }
        ((self.work * other.cpus - other.work * self.cpus) / cpus).max(0.0)
    }
}

/// The free capacity of a machine, or the whole capacity of a machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FreeCapacity {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Number of free processors.
    pub cpus: f64,
    /// Number of free graphics processors.
    pub gpus: f64,
    /// Free memory.
    pub ram_gb: f64,
}

/// The answer of a controller to a peer's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answer to [`PeerRequest::Counts`].
    Counts {
        /// Number of ready tasks that could move, in all partitions that the controller leads.
        ready: u32,
        /// Load of the partition whose queue takes longest to drain.
        load: Load,
    },
    /// Answer to [`PeerRequest::Steal`]: the move is committed.
    Stolen {
        /// Id, modification revision and record (JSON) of each moved job.
        jobs: Vec<(String, u64, String)>,
    },
    /// Answer to [`PeerRequest::StoreConnectivity`].
    StoreConnectivity {
        /// Whether the store has answered recently.
        reached: bool,
    },
    /// Acknowledges a request that has no other answer, or reports that the request was not carried
    /// out: nothing could be moved, the changes were not logged, or the core did not answer in
    /// time.
    Empty,
    /// Answer to [`PeerRequest::LogChanges`]: the receiver has accepted the changes for its log.
    /// They are on its disk, unless the disk has failed or is too slow.
    Logged,
}

/// Writes one message as a frame.
///
/// # Errors
/// An error of the writer, or of the encoding.
pub fn send<T: Serialize>(out: &mut impl Write, message: &T) -> io::Result<()> {
    let body = bincode::serialize(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    out.write_all(&frame)
}

/// Reads one message.
///
/// # Errors
/// An error of the reader, or [`io::ErrorKind::InvalidData`] for a frame that is too long or whose
/// message does not parse.
pub fn receive<T: DeserializeOwned>(from: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"),
        ));
    }
    let mut body = vec![0; length as usize];
    from.read_exact(&mut body)?;
    bincode::deserialize(&body).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
