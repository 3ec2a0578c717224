//! Tests of the grant, renewal and loss of the lease.

use super::*;
use crate::testing::*;

impl Lease {
    /// Creates a lease that is valid until `valid_until` and due for renewal immediately.
    pub(crate) fn held(id: u64, valid_until: Micros) -> Lease {
        Lease { id: Some(id), valid_until, ..Lease::default() }
    }

    /// Sets the time of the next renewal.
    pub(crate) fn renew_at(&mut self, next_renewal_at: Micros) {
        self.next_renewal_at = next_renewal_at;
    }

    /// Sets the time until which the lease is certainly valid.
    pub(crate) fn expire_at(&mut self, valid_until: Micros) {
        self.valid_until = valid_until;
    }
}

/// Returns the lease calls that one poll makes.
fn poll(lease: &mut Lease, now: Micros, config: &Config) -> Vec<String> {
    let mut outbox = Outbox::new(LogLevel::Error, now);
    lease.poll(now, config, &mut outbox);
    let call = |effect| match effect {
        Effect::Store { call, call_priority: CallPriority::Lease, .. } => Some(format!("{call:?}")),
        _ => None,
    };
    outbox.take_effects().into_iter().filter_map(call).collect()
}

#[test]
fn at_most_one_lease_call_is_in_flight_and_a_failure_delays_the_next() {
    let config = core().config;
    let mut lease = Lease::default();
    assert_eq!(poll(&mut lease, NOW, &config), ["Grant { life_ms: 15000 }"]);
    assert!(
        poll(&mut lease, NOW + 60 * SECOND, &config).is_empty(),
        "the grant is still in flight"
    );
    let failed = lease.granted(NOW, NOW, &config, &Err(CallError::Unknown));
    assert_eq!((failed, lease.id()), (LeaseOutcome::Unchanged, None));
    assert!(poll(&mut lease, NOW + SECOND / 2 - 1, &config).is_empty());
    assert_eq!(poll(&mut lease, NOW + SECOND / 2, &config).len(), 1);
    let sent = NOW + SECOND / 2;
    let granted = lease.granted(NOW + SECOND, sent, &config, &Ok(StoreReply::Granted(7)));
    assert_eq!((granted, lease.id()), (LeaseOutcome::Regained, Some(7)));
    let due = sent + config.operator.lease_lifetime / 6;
    assert!(poll(&mut lease, due - 1, &config).is_empty());
    assert_eq!(poll(&mut lease, due, &config), ["Renew { lease: 7 }"]);
    let failed = lease.renewed(due, due, 7, &config, &Err(CallError::Refused));
    assert_eq!((failed, lease.id()), (LeaseOutcome::Unchanged, Some(7)));
    assert!(poll(&mut lease, due + SECOND / 2 - 1, &config).is_empty());
    assert_eq!(poll(&mut lease, due + SECOND / 2, &config).len(), 1);
}

#[test]
fn lease_validity_is_computed_from_the_time_the_call_was_sent() {
    let config = core().config;
    // 15 s, less clock drift and a margin of one second.
    let life = lower_drift_bound(config.operator.lease_lifetime) - SECOND;
    assert!(life > 13 * SECOND && life < 14 * SECOND, "{life}");
    let mut lease = Lease::default();
    assert!(!lease.is_held(NOW));
    let granted = lease.granted(NOW + SECOND, NOW, &config, &Ok(StoreReply::Granted(1)));
    assert_eq!((granted, lease.regained_at()), (LeaseOutcome::Regained, NOW));
    assert!(lease.is_held(NOW + life - 1) && !lease.is_held(NOW + life));
    assert_eq!(lease.valid_until(), NOW + life);
    // (seconds at which the renewal is sent and answered, its outcome, second of `regained_at`)
    for (sent, answered, outcome, regained_at) in [
        (2, 3, LeaseOutcome::Extended, 0),
        (30, 31, LeaseOutcome::Regained, 30),
        // The reply arrives after the validity that it confirms has passed.
        (40, 60, LeaseOutcome::Regained, 40),
    ] {
        let (sent, answered) = (NOW + sent * SECOND, NOW + answered * SECOND);
        let renewed = lease.renewed(answered, sent, 1, &config, &Ok(StoreReply::Renewed));
        assert_eq!(renewed, outcome, "{sent}");
        assert_eq!(lease.regained_at(), NOW + regained_at * SECOND, "{sent}");
        assert_eq!(lease.valid_until(), sent + life, "{sent}");
    }
    assert!(!lease.is_held(NOW + 60 * SECOND));
    // A late reply to an earlier renewal does not shorten the validity.
    let until = lease.valid_until();
    let late = lease.renewed(until - 1, NOW, 1, &config, &Ok(StoreReply::Renewed));
    assert_eq!((late, lease.valid_until()), (LeaseOutcome::Extended, until));
}

#[test]
fn a_report_about_an_earlier_lease_does_not_end_the_current_one() {
    // (lease that the reply concerns, outcome for the current lease 2, its number afterwards)
    for (of, outcome, id) in [(1, LeaseOutcome::Unchanged, Some(2)), (2, LeaseOutcome::Ended, None)]
    {
        let config = core().config;
        let mut reported = Lease::held(2, NOW + SECOND);
        assert_eq!(reported.ended(NOW, of), outcome);
        let mut renewed = Lease::held(2, NOW + SECOND);
        assert_eq!(renewed.renewed(NOW, NOW, of, &config, &Ok(StoreReply::NoLease)), outcome);
        for lease in [reported, renewed] {
            assert_eq!((lease.id(), lease.is_held(NOW)), (id, id.is_some()), "{of}");
        }
    }
    let mut lease = Lease::held(2, NOW + SECOND);
    lease.renew_at(NOW + 9 * SECOND);
    assert_eq!(lease.ended(NOW, 2), LeaseOutcome::Ended);
    assert_eq!(
        poll(&mut lease, NOW, &core().config).len(),
        1,
        "a new lease is requested immediately"
    );
}
