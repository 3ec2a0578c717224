//! Store calls made for users, and the limits on how many may be in flight.
//!
//! Owns only the count. Every call started here is counted until its answer is noted, so that a
//! store that does not answer blocks a bounded number of requests; further ones are rejected at
//! once. A request in progress may need a second call, which is never rejected.

use quartzlever_wire::store::StoreCall;

use crate::calls::{JobReadPurpose, PendingStoreCall};
use crate::messages::CallPriority;
use crate::outbox::Outbox;
use crate::store::active_job_key;
use crate::store::write_budget::WriteBudget;

/// Number of calls in flight at which new user requests are rejected.
const MAX_USER_CALLS: usize = 64;
/// Number of calls in flight at which submissions are rejected. It is below [`MAX_USER_CALLS`] so
/// that lookups and cancellations still pass.
const MAX_SUBMISSIONS: usize = 40;

/// Counts the store calls in flight for users.
#[derive(Debug, Default)]
pub(crate) struct UserRequests {
    calls_in_flight: usize,
}

impl UserRequests {
    /// Reports whether a submission may be sent to the store now.
    pub fn admits_submission(&self, budget: &WriteBudget) -> bool {
        self.calls_in_flight < MAX_SUBMISSIONS && !budget.is_exhausted()
    }

    /// Sends a call for a user, regardless of the limits.
    pub fn start_call(&mut self, call: StoreCall, pending: PendingStoreCall, outbox: &mut Outbox) {
        self.calls_in_flight += 1;
        outbox.call_store(CallPriority::User, call, pending);
    }

    /// Notes that a call was answered.
    pub fn call_answered(&mut self) {
        self.calls_in_flight -= 1;
    }

    /// Reads a job's record for a request in progress.
    pub fn read(&mut self, purpose: JobReadPurpose, outbox: &mut Outbox) {
        let call = StoreCall::Get(active_job_key(purpose.job()));
        self.start_call(call, PendingStoreCall::ReadActiveJob { purpose }, outbox);
    }

    /// Reads a job's record for a new request, or rejects the request as retryable if
    /// [`MAX_USER_CALLS`] calls are in flight.
    pub fn read_or_reject(&mut self, purpose: JobReadPurpose, outbox: &mut Outbox) {
        if self.calls_in_flight >= MAX_USER_CALLS {
            return outbox.reject_retryable(purpose.request(), 503, "busy");
        }
        self.read(purpose, outbox);
    }
}

#[cfg(test)]
mod tests;
