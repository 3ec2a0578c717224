//! Grant, renewal and loss of the lease.

use super::*;
use crate::testing::*;

impl Lease {
    /// A lease that is surely alive for a while and due to be renewed at once.
    pub(crate) fn held(id: u64, valid_until: Micros) -> Lease {
        Lease { id: Some(id), valid_until, ..Lease::default() }
    }

    /// Puts off or brings forward the next renewal.
    pub(crate) fn renew_at(&mut self, next_renewal_at: Micros) {
        self.next_renewal_at = next_renewal_at;
    }

    /// Changes until when the lease is surely alive.
    pub(crate) fn expire_at(&mut self, valid_until: Micros) {
        self.valid_until = valid_until;
    }
}

/// The calls of one poll.
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
fn one_call_at_a_time_and_a_pause_after_a_failure() {
    let config = core().config;
    let mut lease = Lease::default();
    assert_eq!(poll(&mut lease, NOW, &config), ["Grant { life_ms: 15000 }"]);
    assert!(poll(&mut lease, NOW + 60 * SECOND, &config).is_empty(), "its answer is awaited");
    let failed = lease.granted(NOW, NOW, &config, &Err(CallError::Unknown));
    assert_eq!((failed, lease.id()), (LeaseOutcome::Unchanged, None));
    assert!(poll(&mut lease, NOW + SECOND / 2 - 1, &config).is_empty());
    assert_eq!(poll(&mut lease, NOW + SECOND / 2, &config).len(), 1);
    let sent = NOW + SECOND / 2;
    let granted = lease.granted(NOW + SECOND, sent, &config, &Ok(StoreReply::Granted(7)));
    assert_eq!((granted, lease.id()), (LeaseOutcome::Regained, Some(7)));
    let due = sent + config.operator.lease_life / 6;
    assert!(poll(&mut lease, due - 1, &config).is_empty());
    assert_eq!(poll(&mut lease, due, &config), ["Renew { lease: 7 }"]);
    let failed = lease.renewed(due, due, 7, &config, &Err(CallError::Refused));
    assert_eq!((failed, lease.id()), (LeaseOutcome::Unchanged, Some(7)));
    assert!(poll(&mut lease, due + SECOND / 2 - 1, &config).is_empty());
    assert_eq!(poll(&mut lease, due + SECOND / 2, &config).len(), 1);
}

#[test]
fn a_lease_is_reckoned_from_the_sending_of_the_call() {
    let config = core().config;
    // 15 s, less the drift of the clocks and a second.
    let life = lower_drift_bound(config.operator.lease_life) - SECOND;
    assert!(life > 13 * SECOND && life < 14 * SECOND, "{life}");
    let mut lease = Lease::default();
    assert!(!lease.is_held(NOW));
    let granted = lease.granted(NOW + SECOND, NOW, &config, &Ok(StoreReply::Granted(1)));
    assert_eq!((granted, lease.regained_at()), (LeaseOutcome::Regained, NOW));
    assert!(lease.is_held(NOW + life - 1) && !lease.is_held(NOW + life));
    assert_eq!(lease.valid_until(), NOW + life);
    // (sending and answer of the renewal, in seconds; what it brings; since when the lease is held)
    for (sent, answered, outcome, regained_at) in [
        (2, 3, LeaseOutcome::Extended, 0),
        (30, 31, LeaseOutcome::Regained, 30),
        // An answer that comes too late for its own lease to be sure.
        (40, 60, LeaseOutcome::Regained, 40),
    ] {
        let (sent, answered) = (NOW + sent * SECOND, NOW + answered * SECOND);
        let renewed = lease.renewed(answered, sent, 1, &config, &Ok(StoreReply::Renewed));
        assert_eq!(renewed, outcome, "{sent}");
        assert_eq!(lease.regained_at(), NOW + regained_at * SECOND, "{sent}");
        assert_eq!(lease.valid_until(), sent + life, "{sent}");
    }
    assert!(!lease.is_held(NOW + 60 * SECOND));
    // An earlier renewal that is answered late shortens nothing.
    let until = lease.valid_until();
    let late = lease.renewed(until - 1, NOW, 1, &config, &Ok(StoreReply::Renewed));
    assert_eq!((late, lease.valid_until()), (LeaseOutcome::Extended, until));
}

#[test]
fn only_the_present_lease_can_end() {
    // (the lease that the answer is about, what became of the present one, 2)
    for (of, outcome, id) in [(1, LeaseOutcome::Unchanged, Some(2)), (2, LeaseOutcome::Ended, None)]
    {
        let config = core().config;
        let mut told = Lease::held(2, NOW + SECOND);
        assert_eq!(told.ended(NOW, of), outcome);
        let mut renewed = Lease::held(2, NOW + SECOND);
        assert_eq!(renewed.renewed(NOW, NOW, of, &config, &Ok(StoreReply::NoLease)), outcome);
        for lease in [told, renewed] {
            assert_eq!((lease.id(), lease.is_held(NOW)), (id, id.is_some()), "{of}");
        }
    }
    let mut lease = Lease::held(2, NOW + SECOND);
    lease.renew_at(NOW + 9 * SECOND);
    assert_eq!(lease.ended(NOW, 2), LeaseOutcome::Ended);
    assert_eq!(poll(&mut lease, NOW, &core().config).len(), 1, "the next is asked for at once");
}
