//! Calls to the store that are made for users, and how many of them may be under way.
//!
//! Owns their number and nothing else. Every call that is begun here is counted until its answer is
//! noted, so that a store that gives no answer holds up so many requests at the most; further ones are
//! shed at once. A request under way may need a second call, which is never shed.

use quartzlever_wire::store::StoreCall;

use crate::calls::{JobReadPurpose, PendingStoreCall};
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::active_job_key;
use crate::store::write_budget::WriteBudget;

/// Users' requests under way beyond which new ones are shed at once.
const MAX_USER_CALLS: usize = 64;
/// Submissions are shed earlier, so that lookups and cancellations still pass.
const MAX_SUBMISSIONS: usize = 40;

/// The calls under way for users.
#[derive(Debug, Default)]
pub(crate) struct UserRequests {
    calls_in_flight: usize,
}

impl UserRequests {
    /// Whether a submission may be put to the store now.
    pub fn admits_submission(&self, budget: &WriteBudget) -> bool {
        self.calls_in_flight < MAX_SUBMISSIONS && !budget.exhausted()
    }

    /// Starts a call for a user.
    pub fn call(&mut self, call: StoreCall, pending: PendingStoreCall, outbox: &mut Outbox) {
        self.calls_in_flight += 1;
        outbox.call_store(CallPriority::User, call, pending);
    }

    /// A call has been answered.
    pub fn call_answered(&mut self) {
        self.calls_in_flight -= 1;
    }

    /// Reads a job for a request under way.
    pub fn read(&mut self, purpose: JobReadPurpose, outbox: &mut Outbox) {
        let call = StoreCall::Get(active_job_key(purpose.job()));
        self.call(call, PendingStoreCall::ReadActiveJob { purpose }, outbox);
    }

    /// Reads a job for a new request, unless too many calls of users are under way.
    pub fn read_or_reject(&mut self, purpose: JobReadPurpose, outbox: &mut Outbox) {
        if self.calls_in_flight >= MAX_USER_CALLS {
            return outbox.reject_retryable(purpose.request(), 503, "busy");
        }
        self.read(purpose, outbox);
    }
}

#[cfg(test)]
mod tests;
