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
        assert_eq!(authority.expires_at(), expires_at, "{name}");
        assert!(!authority.is_valid(expires_at), "{name}");
        assert_eq!(authority.is_valid(expires_at.saturating_sub(1)), expires_at > 0, "{name}");
    }
}
