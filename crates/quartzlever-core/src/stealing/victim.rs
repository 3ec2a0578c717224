//! The victim's side: the counts that a node reports, and the queue that a thief steals from.
//!
//! The schedulers of the work-stealing design (docs/design.md) answer a request for their load, and
//! a thief's request with half of their ready tasks (2.3.1, algorithms 1 and 2; 2.3.3 (b)). Here
//! only movable tasks are counted and moved.

use quartzlever_wire::peers::{Load, PeerAnswer, PeerRequest, ThiefCapacity};
use quartzlever_wire::users::Priority;

use super::selection::StealRequest;
use crate::calls::PendingPeerCall;
use crate::config::Config;
use crate::jobs::partition_job::PartitionJob;
use crate::messages::RequestId;
use crate::partition::Partition;
use crate::router::Core;
use crate::stealing::thief::SATURATION_LIFETIME;

impl Core {
    /// Returns the answer to a count request: the number of tasks that a thief could steal here
    /// with this priority or above, and the load of the longest queue.
    pub(crate) fn answer_counts(&self, priority: Priority) -> PeerAnswer {
        let active = self.partitions.values().filter(|p| p.is_loaded());
        let ready = active.map(|p| p.movable_count(&self.config, priority)).sum();
        let load = self.longest_local_queue(None).map_or(Load::default(), |(load, _)| load);
        PeerAnswer::Counts { ready, load }
    }

    /// Handles a thief's request for tasks. They are removed from the longest queue if the thief
    /// has a queue of its own, and otherwise off the queue with the most movable tasks.
    pub(crate) fn steal_requested(
        &mut self,
        id: RequestId,
        thief: String,
        term: u64,
        priority: Priority,
        capacity: ThiefCapacity,
        load: Option<Load>,
    ) {
        let most_movable = self
            .partitions
            .values()
            .filter(|p| p.is_loaded() && p.name != thief)
            .max_by_key(|p| p.movable_count(&self.config, priority))
            .map(|p| p.name.clone());
        let longest =
            load.and_then(|_| self.longest_local_queue(Some(&thief))).map(|(_, victim)| victim);
        match longest.or(most_movable) {
            Some(victim) if self.may_act() => {
                let request = Some(id);
                self.steal_tasks(StealRequest {
                    request,
                    victim,
                    thief,
                    term,
                    priority,
                    capacity,
                    load,
                });
            }
            _ => self.answer_no_tasks(Some(id)),
        }
    }

    /// Answers a peer's request, if there is one, with no tasks.
    pub(super) fn answer_no_tasks(&mut self, request: Option<RequestId>) {
        if let Some(id) = request {
            self.outbox.answer_peer(id, PeerAnswer::Empty);
        }
    }

    /// Notifies the peers if tasks of a partition should start now and no capacity can be freed for
    /// them.
    pub(crate) fn notify_saturated(&mut self) {
        let saturated = self.partitions.values().any(|p| p.saturated);
        if !saturated || self.now < self.stealing.next_saturation_notice_at {
            return;
        }
        self.stealing.next_saturation_notice_at = self.now + SATURATION_LIFETIME;
        for node in self.config.nodes.iter().filter(|node| **node != self.config.node) {
            self.outbox.call_peer(node, PeerRequest::Saturated, PendingPeerCall::Notification);
        }
    }
}

/// Reports whether ready tasks of the job may move to another partition, to a thief that steals
/// tasks of this priority or above.
pub(super) fn is_movable(config: &Config, job: &PartitionJob, priority: Priority) -> bool {
    let spec = job.spec();
    // The limits of a team apply within one partition, zones are counted within one partition, and
    // services do not move.
    job.is_record_settled()
        && spec.priority <= priority
        && !job.ready.is_empty()
        // In another partition the job would fail on as many machines again.
        && !job.fails_everywhere()
        && !job.is_too_large_to_move()
        && !config.is_team_limited(&spec.team)
        && !spec.one_zone
        && !spec.spread
        && !spec.is_service()
}

impl Partition {
    /// Returns the number of ready tasks that a thief could steal with this priority or above.
    pub fn movable_count(&self, config: &Config, priority: Priority) -> u32 {
        let movable = self.jobs.values().filter(|j| is_movable(config, j, priority));
        movable.map(|j| j.ready.len()).sum()
    }
}
