//! The victim's side: what a node tells of its queues, and which of them a thief takes from.
//!
//! The paper's schedulers answer a request for their load, and a thief's request with half of their
//! ready tasks (2.3.1, algorithms 1 and 2; 2.3.3 (b)). Here only movable tasks count and go.

use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, ThiefCapacity};
use quartzlever_wire::users::Priority;

use super::cut::StealRequest;
use crate::calls::PendingPeerCall;
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::messages::RequestId;
use crate::partition::Partition;
use crate::router::Core;
use crate::stealing::thief::SATURATION_LIFETIME;

impl Core {
    /// How many tasks of this rank or below a thief could take here, and how long the longest queue is.
    pub(crate) fn answer_counts(&self, priority: Priority) -> PeerAnswer {
        let active = self.partitions.values().filter(|p| p.active());
        let ready = active.map(|p| p.movable_count(&self.config, priority)).sum();
        let load = self.longest_here(None).map_or(Load::default(), |(load, _)| load);
        PeerAnswer::Counts { ready, load }
    }

    /// A thief asks for tasks: they are cut off the longest queue if it has a queue of its own, else off
    /// the one with the most movable tasks.
    pub(crate) fn steal_requested(
        &mut self,
        id: RequestId,
        thief: String,
        term: u64,
        priority: Priority,
        room: ThiefCapacity,
        load: Option<Load>,
    ) {
        let most = self
            .partitions
            .values()
            .filter(|p| p.active() && p.name != thief)
            .max_by_key(|p| p.movable_count(&self.config, priority))
            .map(|p| p.name.clone());
        let longest = load.and_then(|_| self.longest_here(Some(&thief))).map(|(_, victim)| victim);
        match longest.or(most) {
            Some(victim) if self.may_act() => {
                let request = Some(id);
                self.steal_tasks(StealRequest {
                    request,
                    victim,
                    thief,
                    term,
                    priority,
                    room,
                    load,
                });
            }
            _ => self.answer_nothing(Some(id)),
        }
    }

    /// Tells a peer that asked, if any did, that it gets nothing.
    pub(super) fn answer_nothing(&mut self, request: Option<RequestId>) {
        if let Some(id) = request {
            self.outbox.answer_peer(id, PeerAnswer::Nothing);
        }
    }

    /// Tells the peers that tasks should start now and cannot.
    pub(crate) fn notify_saturated(&mut self) {
        let saturated = self.partitions.values().any(|p| p.saturated);
        if !saturated || self.now < self.stealing.next_saturation_notice_at {
            return;
        }
        self.stealing.next_saturation_notice_at = self.now + SATURATION_LIFETIME;
        for node in self.config.nodes.iter().filter(|node| **node != self.config.node) {
            self.outbox.ask_peer(node, PeerRequest::Saturated, PendingPeerCall::Notification);
        }
    }
}

/// Whether tasks of the job may go to another partition.
pub(super) fn is_movable(config: &Config, job: &PartitionJob, priority: Priority) -> bool {
    let spec = job.spec();
    // A limited team stays in its partition, zones are counted within one partition, and services stay put.
    job.is_record_settled()
        && spec.priority <= priority
        && !job.ready.is_empty()
        // Elsewhere it would fail on as many machines again.
        && !job.fails_everywhere()
        && !config.is_team_limited(&spec.team)
        && !spec.one_zone
        && !spec.spread
        && !spec.is_service()
}

impl Partition {
    /// Ready tasks that a thief could take.
    pub fn movable_count(&self, config: &Config, priority: Priority) -> u32 {
        let movable = self.jobs.values().filter(|j| is_movable(config, j, priority));
        movable.map(|j| j.ready.len()).sum()
    }
}
