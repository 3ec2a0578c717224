//! Tests of the classification of failed calls.

use quartzlever_wire::CallError::{self, Refused, Throttled, Unknown};
use ureq::ErrorKind;

use super::{CallPolicy, classify_transport_error};

/// A caller may repeat a refused call under another name or elsewhere. A status that leaves the
/// outcome open must therefore not be classified as a refusal, or the call may be carried out
/// twice.
#[test]
fn a_status_is_classified_by_whether_the_call_was_carried_out() {
    // (status, class for the store, for the cloud, for a worker)
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
        assert_eq!((CallPolicy::STORE.classify_status)(status), store, "store: {status}");
        assert_eq!((CallPolicy::STORE_WATCH.classify_status)(status), store, "watch: {status}");
        assert_eq!((CallPolicy::CLOUD.classify_status)(status), cloud, "cloud: {status}");
        assert_eq!((CallPolicy::WORKERS.classify_status)(status), worker, "worker: {status}");
    }
}

#[test]
fn only_a_failure_to_connect_counts_as_not_carried_out() {
    let connect_failures = [ErrorKind::ConnectionFailed, ErrorKind::Dns, ErrorKind::InvalidUrl];
    for kind in connect_failures {
        assert_eq!(classify_transport_error(kind), Refused, "{kind}");
    }
    for kind in [ErrorKind::Io, ErrorKind::BadStatus, ErrorKind::BadHeader] {
        assert_eq!(classify_transport_error(kind), Unknown, "{kind}");
    }
}
