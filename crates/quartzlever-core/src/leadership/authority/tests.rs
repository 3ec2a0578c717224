//! Tests that both the lease and the view bound the authority to act.

use super::*;
use crate::testing::*;

#[test]
fn authority_requires_both_a_valid_lease_and_a_fresh_view() {
    let mut config = core().config;
    config.workers.cancel = 40 * SECOND;
    let max_view_age = config.max_view_age();
    // A lease regained by a renewal that was sent 20 s after `NOW`.
    let renewed = || {
        let mut lease = Lease::held(1, NOW);
        let sent = NOW + 20 * SECOND;
        let outcome = lease.renewed(sent, sent, 1, &config, &Ok(StoreReply::Renewed));
        assert_eq!(outcome, crate::leadership::lease::LeaseOutcome::Regained);
        lease
    };
    let until = renewed().valid_until();
    // (name, lease, time of the view, expected expiry of the authority)
    for (name, lease, view_as_of, expires_at) in [
        ("no lease", Lease::default(), NOW, 0),
        ("the lease expires first", Lease::held(1, NOW + SECOND), NOW, NOW + SECOND),
        (
            "the view becomes too old first",
            Lease::held(1, NOW + 900 * SECOND),
            NOW,
            NOW + max_view_age,
        ),
        ("a view from before the renewal", renewed(), NOW + 20 * SECOND - 1, 0),
        ("a view from the time of the renewal", renewed(), NOW + 20 * SECOND, until),
    ] {
        let authority = Authority::new(&lease, view_as_of, &config);
        assert!(authority.permit(5, expires_at).is_err(), "{name}");
        let permit = authority.permit(5, expires_at.saturating_sub(1));
        let deadline = permit.map_or(0, Permit::deadline);
        assert_eq!(deadline, expires_at, "{name}");
    }
}

#[test]
fn a_lease_is_renewed_only_while_its_expiry_ends_every_attempt_in_time() {
    let mut config = core().config;
    config.workers.cancel = 40 * SECOND;
    let max_view_age = config.max_view_age();
    let lease = Lease::held(1, NOW + 900 * SECOND);
    let view_as_of = NOW + 20 * SECOND;
    let now = NOW + 21 * SECOND;
    let permit = Authority::new(&lease, view_as_of, &config).permit(5, now);
    let deadline = view_as_of + max_view_age;
    let too_old = now - max_view_age;
    // (earliest end of an attempt's job, expected deadline of the renewal or refusal)
    for (ended_at, expected) in [
        (None, Ok(deadline)),
        (Some(view_as_of), Ok(deadline)),
        (Some(view_as_of + 1), Ok(deadline)),
        (Some(NOW + 1), Ok(NOW + 1 + max_view_age)),
        (Some(too_old + 1), Ok(now + 1)),
        (Some(too_old), Err(Refusal::EndNotConfirmed { age: max_view_age })),
        (Some(0), Err(Refusal::EndNotConfirmed { age: now })),
    ] {
        let renewal = permit.and_then(|permit| permit.renew_lease(ended_at, now));
        assert_eq!(renewal.map(Permit::deadline), expected, "{ended_at:?}");
    }
}

#[test]
fn a_heartbeat_is_handled_only_with_loaded_records_and_without_a_later_term() {
    let config = core().config;
    let authority = Authority::new(&Lease::held(1, NOW + SECOND), NOW, &config);
    // (whether the records are loaded, the worker's fencing token, the highest token that this
    // leader has used for it, the expected refusal)
    for (is_loaded, fencing_token, issued_token, refusal) in [
        (true, 4, 5, None),
        (true, 5, 5, None),
        (true, 6, 5, Some(Refusal::LaterTerm { fencing_token: 6 })),
        (true, 6, 9, None),
        (true, 9, 9, None),
        (true, 10, 9, Some(Refusal::LaterTerm { fencing_token: 10 })),
        (false, 5, 5, Some(Refusal::NotLoaded)),
    ] {
        let context = HeartbeatContext { term: 5, is_loaded, fencing_token, issued_token };
        assert_eq!(authority.permit_heartbeat(context, NOW).err(), refusal);
        let expired = authority.permit_heartbeat(context, NOW + SECOND);
        assert_eq!(expired.err(), Some(Refusal::LeaseExpired));
    }
}

/// A token at or above that of a later term would let this leader command its successor's machines.
#[test]
fn no_fencing_token_reaches_that_of_a_later_term() {
    // (revision at which the partition's key was written, revision of the cache, whether the cache is
    // loaded; highest token of term 5)
    for (mod_revision, revision, loaded, expected) in [
        (Some(5), 9, true, 9),
        (Some(5), 3, true, 5),
        (Some(5), 9, false, 5),
        (Some(7), 9, true, 5),
        (None, 9, true, 5),
    ] {
        let keys = mod_revision.map(|mod_revision| ("one", "one", mod_revision));
        let mut core = core_with_cache(keys.as_slice());
        core.cache.advance_to(revision);
        core.cache.set_loaded(loaded);
        let token = highest_fencing_token("one", 5, &core.cache);
        assert_eq!(token, expected, "key at {mod_revision:?}, cache at {revision}, {loaded}");
    }
}
