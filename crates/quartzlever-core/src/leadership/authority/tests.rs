//! A lease and a view, each of which may end the right to act.

use super::*;
use crate::testing::*;

#[test]
fn neither_a_lease_nor_a_fresh_view_is_enough() {
    let mut config = core().config;
    config.workers.cancel = 40 * SECOND;
    let bound = config.max_view_age();
    // A lease that was regained by a renewal sent 20 s after `NOW`.
    let renewed = || {
        let mut lease = Lease::held(1, NOW);
        let sent = NOW + 20 * SECOND;
        let outcome = lease.renewed(sent, sent, 1, &config, &Ok(StoreReply::Renewed));
        assert_eq!(outcome, crate::leadership::lease::LeaseOutcome::Regained);
        lease
    };
    let until = renewed().valid_until();
    // (lease, the view's time, until when it may act)
    for (name, lease, view_as_of, expires_at) in [
        ("no lease", Lease::default(), NOW, 0),
        ("the lease ends first", Lease::held(1, NOW + SECOND), NOW, NOW + SECOND),
        ("the view ages first", Lease::held(1, NOW + 900 * SECOND), NOW, NOW + bound),
        ("a view from before the renewal", renewed(), NOW + 20 * SECOND - 1, 0),
        ("a view as late as the renewal", renewed(), NOW + 20 * SECOND, until),
    ] {
        let authority = Authority::new(&lease, view_as_of, &config);
        assert_eq!(authority.expires_at(), expires_at, "{name}");
        assert!(!authority.is_valid(expires_at), "{name}");
        assert_eq!(authority.is_valid(expires_at.saturating_sub(1)), expires_at > 0, "{name}");
    }
}
