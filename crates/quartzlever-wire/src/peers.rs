//! Controllers <-> controllers: frames of a length and a `bincode` message.

use std::io::{self, Read, Write};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::users::Priority;

/// The largest frame that a peer may send. The longest request is a steal, which tells the room of each
/// open machine: 80 bytes, so of 13,000 machines; the longest answer is a move, 48 KiB of records.
pub const MAX_FRAME: u32 = 1 << 20;

/// What one controller asks another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// How many ready tasks of this rank or above do you have?
    Counts { priority: Priority },
    /// Hand over ready tasks of this rank or above to `partition`, which the asker holds under `term`.
    /// With a load the asker is not idle, and takes no more than evens out the two.
    Steal {
        partition: String,
        term: u64,
        priority: Priority,
        thief: ThiefCapacity,
        load: Option<Load>,
    },
    /// The asker has tasks that should start now and nowhere to start them: whoever has room
    /// may come for them without waiting out its interval.
    Saturated,
    /// The home node of `partition` is up again and asks for it.
    HandBack { partition: String },
    /// Do you reach the store?
    StoreConnectivity,
    /// So many machines of `partition`, which the asked holds, have come to the asker of late.
    MachinesSeen { partition: String, machines: u32 },
    /// These machines were rented by `partition` and will report soon.
    ScaledOut { partition: String, hosts: Vec<String> },
    /// The cancellation of a job, with so many of its tasks done, has just been committed.
    Cancelled { job: String, done: u32 },
    /// Changes that the asker has just committed, for the asked one's log. Only controllers with recovery
    /// switched on say this, and then all have it.
    Logged(LoggedChanges),
}

/// Changes of a generation of records, as the log of one controller has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedChanges {
    pub cluster: String,
    pub generation: u32,
    pub mod_revision: u64,
    /// Each key with its JSON text; without one it was deleted.
    pub changes: Vec<(String, Option<String>)>,
}

/// What the thief could run, so that the victim does not move what would only wait there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ThiefCapacity {
    /// Free room by machine type, zone and kind.
    pub free: Vec<FreeCapacity>,
}

/// How long a partition's queue is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// What the ready tasks will take, in processor-seconds.
    pub work: f64,
    /// Processors of the partition's machines.
    pub cpus: f64,
}

impl Load {
    /// Seconds until the queue is gone: never, where there is work and no machine. The sum of no
    /// processors is -0.0, and what was divided by it came out as the shortest queue of all or as the
    /// longest, as the compiler chose.
    pub fn drain_s(&self) -> f64 {
        if self.work <= 0.0 {
            0.0
        } else if self.cpus <= 0.0 {
            f64::INFINITY
        } else {
            self.work / self.cpus
        }
    }

    /// What has to move from this queue to another so that both last equally long.
    pub fn excess_over(&self, other: &Load) -> f64 {
        let cpus = self.cpus + other.cpus;
        if cpus <= 0.0 {
            return 0.0;
        }
        ((self.work * other.cpus - other.work * self.cpus) / cpus).max(0.0)
    }
}

/// Free room on one machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FreeCapacity {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
}

/// What the asked controller answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Ready tasks that could move, over all partitions held, and the load of the partition whose queue
    /// lasts longest.
    Counts { ready: u32, load: Load },
    /// The move is committed; each row is a job's record (JSON) with its modification revision.
    Stolen { jobs: Vec<(String, u64, String)> },
    /// Whether the store has answered lately.
    StoreConnectivity { reached: bool },
    /// Nothing to move, or not able to.
    Nothing,
    /// The changes are on the disk here too.
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
