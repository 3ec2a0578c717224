//! Steps of leadership that concern more than one component: what the lease means for partitions.

use quartzlever_wire::store::StoreReply;
use quartzlever_wire::{CallError, Micros};

use crate::events::LogEvent;
use crate::leadership::authority::Authority;
use crate::leadership::lease::LeaseOutcome;
use crate::messages::LogLevel;
use crate::router::Core;

impl Core {
    /// Whether this process surely holds its lease.
    pub(crate) fn holds_lease(&self) -> bool {
        self.lease.is_held(self.now)
    }

    fn authority(&self) -> Authority {
        Authority::new(&self.lease, self.cache.view_as_of, &self.config)
    }

    /// Until when this process may act for its partitions.
    pub(crate) fn authority_expires_at(&self) -> Micros {
        self.authority().expires_at()
    }

    /// Whether this process may act for its partitions.
    pub(crate) fn may_act(&self) -> bool {
        self.authority().is_valid(self.now)
    }

    pub(crate) fn lease_granted(&mut self, sent: Micros, result: &Result<StoreReply, CallError>) {
        let outcome = self.lease.granted(self.now, sent, &self.config, result);
        self.apply_lease_outcome(outcome);
    }

    pub(crate) fn lease_renewed(
        &mut self,
        sent: Micros,
        lease: u64,
        result: &Result<StoreReply, CallError>,
    ) {
        let outcome = self.lease.renewed(self.now, sent, lease, &self.config, result);
        self.apply_lease_outcome(outcome);
    }

    /// The store says that a lease has ended.
    pub(crate) fn lease_ended(&mut self, lease: u64) {
        let outcome = self.lease.ended(self.now, lease);
        self.apply_lease_outcome(outcome);
    }

    fn apply_lease_outcome(&mut self, outcome: LeaseOutcome) {
        match outcome {
            LeaseOutcome::Unchanged | LeaseOutcome::Extended => {}
            LeaseOutcome::Regained => {
                // The store may have been away, and its leases with their full time again: nobody is
                // called silent for what was not answered meanwhile.
                self.reachability.listening_since = self.now;
            }
            LeaseOutcome::Ended => {
                // The lease is gone, and with it the announcement and every partition.
                self.cluster.forget_node(&self.config.node);
                let partitions = self.partitions.len();
                self.outbox.log(LogLevel::Info, || LogEvent::LeaseLost { partitions });
                self.partitions.clear();
            }
        }
    }
}
