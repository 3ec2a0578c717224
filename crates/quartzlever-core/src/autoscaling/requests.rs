//! Scale-out requests: sending requests for wanted machines to the cloud, and handling the replies.
//!
//! The name of a request is never used for another one, so a request can be repeated until it is
//! answered and is carried out only once.

use quartzlever_wire::cloud::{CloudCall, CloudReply, ScaleOutRequest};
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::{CallError, Micros, SECOND};

use super::demand::Wanted;
use super::offer::MachineOffer;
use super::policy::ScaleOutContext;
use super::{PendingInstance, RETRY_DELAY};
use crate::calls::{PendingCloudCall, PendingPeerCall};
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::store::cache::Cache;

/// How long a refused offer is not requested again.
pub(super) const REFUSAL_RETENTION: Micros = 10 * SECOND;
/// Maximum number of machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Maximum number of requests without a reply for one partition.
const MAX_PENDING_REQUESTS: usize = 4;

impl Core {
    /// Requests the machines that a partition lacks, and repeats the requests that are due.
    pub(super) fn scale_out(&mut self, name: &str) {
        let now = self.now;
        let warm_capacity = self.warm_capacity();
        let Some(types) = &self.types else { return };
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let mut requests = partition.fleet.take_due_retries(now);
        partition.fleet.remove_expired_refusals(now);
        let context = ScaleOutContext {
            config: &self.config,
            run_times: &self.run_times,
            types,
            claimed: self.cache.groups(),
            now,
        };
        let mut wanted = partition.plan_scale_out(&context);
        partition.add_warm_capacity(types, warm_capacity, &mut wanted, now);
        requests.extend(partition.create_requests(wanted, now));
        let term = partition.term;
        for request in requests {
            self.send_scale_out(name, term, request);
        }
    }

    fn send_scale_out(&mut self, name: &str, term: u64, request: ScaleOutRequest) {
        self.outbox.log(LogLevel::Info, || LogEvent::MachinesRequested {
            partition: name.to_owned(),
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            count: request.count,
        });
        let pending = PendingCloudCall::ScaleOut {
            partition: name.to_owned(),
            term,
            request: request.clone(),
        };
        self.call_cloud(CloudCall::ScaleOut(request), pending);
    }

    /// Handles the reply to a scale-out request, or its failure.
    pub(super) fn scale_out_replied(
        &mut self,
        name: &str,
        term: u64,
        request: ScaleOutRequest,
        result: Result<CloudReply, CallError>,
    ) {
        let now = self.now;
        let cache = &self.cache;
        let Some(partition) = self.partitions.get_mut(name).filter(|p| p.term == term) else {
            return;
        };
        match result {
            Ok(CloudReply::ScaledOut(machines)) => {
                partition.record_launch(cache, &request, &machines, now);
                self.announce_launch(name, &machines);
            }
            Ok(CloudReply::NoCapacity) => {
                partition.fleet.handle_refusal(&request, now);
                self.outbox.log(LogLevel::Info, || LogEvent::NoCapacity {
                    partition: name.to_owned(),
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                });
            }
            _ => partition.fleet.schedule_retry(&request.name, now + RETRY_DELAY),
        }
    }

    /// Notifies the peers of the machines that were launched for a partition, since the first
    /// heartbeat of a machine may go to any node.
    fn announce_launch(&mut self, name: &str, machines: &[String]) {
        for machine in machines {
            self.cloud.add_launch_hint(machine.clone(), name, self.now);
        }
        for node in self.config.nodes.iter().filter(|node| **node != self.config.node) {
            let request =
                PeerRequest::ScaledOut { partition: name.to_owned(), machines: machines.to_vec() };
            self.outbox.call_peer(node, request, PendingPeerCall::Notification);
        }
    }
}

impl Partition {
    /// Creates requests for the wanted machines, up to the limit of requests without a reply.
    fn create_requests(&mut self, wanted: Wanted, now: Micros) -> Vec<ScaleOutRequest> {
        let mut counts = Vec::new();
        for (offer, mut count) in wanted {
            while count > 0 {
                counts.push((offer.clone(), count.min(MAX_MACHINES_PER_REQUEST)));
                count -= count.min(MAX_MACHINES_PER_REQUEST);
            }
        }
        counts.truncate(MAX_PENDING_REQUESTS.saturating_sub(self.fleet.pending_requests().count()));
        let (name, term) = (&self.name, self.term);
        let issued = counts.into_iter().map(|(offer, count)| {
            let number = self.fleet.next_request_number();
            let MachineOffer { machine_type, zone, spot } = offer;
            // Never used for another request: the term is unique, and its leader uses each number
            // only once.
            let request = ScaleOutRequest {
                name: format!("{name}.{term}.{number}"),
                machine_type,
                zone,
                spot,
                count,
            };
            self.fleet.add_request(request.clone(), now);
            request
        });
        issued.collect()
    }

    /// Adds the launched machines to the pending instances, except those that have already been
    /// claimed or terminated. A shortfall counts as a refusal of the offer.
    fn record_launch(
        &mut self,
        cache: &Cache,
        request: &ScaleOutRequest,
        machines: &[String],
        now: Micros,
    ) {
        let fleet = &mut self.fleet;
        let requested_at = fleet.remove_request(&request.name).unwrap_or(now);
        let offer = MachineOffer::of_request(request);
        if (machines.len() as u32) < request.count {
            fleet.record_refusal(offer.clone(), now + REFUSAL_RETENTION);
        }
        for machine in machines {
            let has_come_up = self.machines.contains_key(machine) || cache.is_claimed(machine);
            if !has_come_up && !fleet.terminated.contains(machine) {
                fleet
                    .pending_instances
                    .add(machine, PendingInstance { offer: offer.clone(), requested_at });
            }
        }
    }
}
