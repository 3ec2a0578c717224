use quartzlever_wire::CallError::{self, Refused, Throttled, Unknown};
use ureq::ErrorKind;

use super::{CallPolicy, transport_failure};

/// What a caller takes for certainly not carried out it may do again under another name or
/// elsewhere, so a status must never be taken for a refusal by accident.
#[test]
fn a_status_says_whether_the_call_was_carried_out() {
    // (status, at the store, at the cloud, at a worker)
    let cases: &[(u16, CallError, CallError, CallError)] = &[
        (200, Unknown, Refused, Unknown),
        (302, Unknown, Refused, Unknown),
        (400, Refused, Refused, Refused),
        (404, Refused, Refused, Unknown),
        (409, Refused, Refused, Unknown),
        (429, Throttled, Refused, Unknown),
        (499, Refused, Refused, Unknown),
        (500, Unknown, Refused, Unknown),
        (502, Unknown, Refused, Unknown),
        (503, Refused, Refused, Unknown),
        (504, Unknown, Refused, Unknown),
    ];
    for &(status, store, cloud, worker) in cases {
        assert_eq!((CallPolicy::STORE.status)(status), store, "store: {status}");
        assert_eq!((CallPolicy::STORE_WATCH.status)(status), store, "watch: {status}");
        assert_eq!((CallPolicy::CLOUD.status)(status), cloud, "cloud: {status}");
        assert_eq!((CallPolicy::WORKERS.status)(status), worker, "worker: {status}");
    }
}

#[test]
fn only_a_connection_that_was_not_made_carries_nothing_out() {
    let not_made = [ErrorKind::ConnectionFailed, ErrorKind::Dns, ErrorKind::InvalidUrl];
    for kind in not_made {
        assert_eq!(transport_failure(kind), Refused, "{kind}");
    }
    for kind in [ErrorKind::Io, ErrorKind::BadStatus, ErrorKind::BadHeader] {
        assert_eq!(transport_failure(kind), Unknown, "{kind}");
    }
}
