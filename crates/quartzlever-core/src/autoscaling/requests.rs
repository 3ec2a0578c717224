//! Requests for machines: how what is wanted is asked of the cloud, and what its replies bring.
//!
//! Each request has a name that is used for nothing else, before or after, so it can be repeated
//! until it is answered without being served twice.

use quartzlever_wire::cloud::{CloudCall, CloudReply, ScaleOutRequest};
use quartzlever_wire::peers::PeerRequest;
use quartzlever_wire::{CallError, Micros, SECOND};

use super::demand::Wanted;
use super::offer::MachineOffer;
use super::policy::Market;
use super::{PendingInstance, RETRY};
use crate::calls::{PendingCloudCall, PendingPeerCall};
use crate::events::LogEvent;
use crate::messages::LogLevel;
use crate::partition::Partition;
use crate::router::Core;
use crate::store::cache::Cache;

/// How long a refused kind of machine is not asked for again.
pub(super) const REFUSAL_REMEMBERED_FOR: Micros = 10 * SECOND;
/// The most machines in one request for them.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Requests for machines of one partition without an answer, at the most.
const MAX_PENDING_REQUESTS: usize = 4;

impl Core {
    /// Asks for the machines that a partition is missing, and again for what was not answered.
    pub(super) fn scale_out(&mut self, name: &str) {
        let now = self.now;
        let warm_capacity = self.warm_capacity();
        let Some(types) = &self.types else { return };
        let Some(partition) = self.partitions.get_mut(name) else { return };
        let mut requests = partition.autoscaling.take_due_retries(now);
        partition.autoscaling.forget_refusals(now);
        let market = Market {
            config: &self.config,
            run_times: &self.run_times,
            types,
            claimed: self.cache.groups(),
            now,
        };
        let mut wanted = partition.plan_scale_out(&market);
        partition.add_warm_capacity(types, warm_capacity, &mut wanted, now);
        requests.extend(partition.new_requests(wanted, now));
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
        let pending = PendingCloudCall::ScaleOutRequest {
            partition: name.to_owned(),
            term,
            request: request.clone(),
        };
        self.call_cloud(CloudCall::ScaleOut(request), pending);
    }

    /// The cloud has answered a request, or not.
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
                partition.scaled_out(cache, &request, &machines, now);
                self.announce_launch(name, &machines);
            }
            Ok(CloudReply::NoCapacity) => {
                partition.autoscaling.request_refused(&request, now);
                self.outbox.log(LogLevel::Info, || LogEvent::NoCapacity {
                    partition: name.to_owned(),
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                });
            }
            _ => partition.autoscaling.retry_request(&request.name, now + RETRY),
        }
    }

    /// Tells the peers which machines were rented for a partition: their first heartbeats may go to
    /// any node.
    fn announce_launch(&mut self, name: &str, machines: &[String]) {
        for machine in machines {
            self.cloud.note_launch(machine.clone(), name, self.now);
        }
        for node in self.config.nodes.iter().filter(|node| **node != self.config.node) {
            let request =
                PeerRequest::ScaledOut { partition: name.to_owned(), machines: machines.to_vec() };
            self.outbox.ask_peer(node, request, PendingPeerCall::Notification);
        }
    }
}

impl Partition {
    /// Requests for all that is wanted, as far as so many may wait for an answer.
    fn new_requests(&mut self, wanted: Wanted, now: Micros) -> Vec<ScaleOutRequest> {
        let mut counts = Vec::new();
        for (offer, mut count) in wanted {
            while count > 0 {
                counts.push((offer.clone(), count.min(MAX_MACHINES_PER_REQUEST)));
                count -= count.min(MAX_MACHINES_PER_REQUEST);
            }
        }
        counts.truncate(MAX_PENDING_REQUESTS.saturating_sub(self.autoscaling.requests().count()));
        let (name, term) = (&self.name, self.term);
        let issued = counts.into_iter().map(|(offer, count)| {
            let number = self.autoscaling.next_request_number();
            let MachineOffer { machine_type, zone, spot } = offer;
            // Never used before or after: the term is unique and the counter its leader's.
            let request = ScaleOutRequest {
                name: format!("{name}.{term}.{number}"),
                machine_type,
                zone,
                spot,
                count,
            };
            self.autoscaling.request_issued(request.clone(), now);
            request
        });
        issued.collect()
    }

    /// Machines were rented: they are awaited, unless they have come up already or are gone again.
    fn scaled_out(
        &mut self,
        cache: &Cache,
        request: &ScaleOutRequest,
        machines: &[String],
        now: Micros,
    ) {
        let fleet = &mut self.autoscaling;
        let since = fleet.request_answered(&request.name).unwrap_or(now);
        let offer = MachineOffer::of_request(request);
        if (machines.len() as u32) < request.count {
            fleet.refuse(offer.clone(), now + REFUSAL_REMEMBERED_FOR);
        }
        for machine in machines {
            if !cache.is_claimed(machine) && !fleet.terminated.contains(machine) {
                fleet
                    .pending_instances
                    .expect(machine, PendingInstance { offer: offer.clone(), since });
            }
        }
    }
}
