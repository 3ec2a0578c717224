//! Tests the routes and the errors for wrong methods and paths.

use super::*;

#[test]
fn a_route_is_found_by_method_and_path() {
    let job = || "req-1".to_owned();
    for (method, target, route) in [
        ("GET", "/ready", Route::Ready),
        ("GET", "/ready?now", Route::Ready),
        ("POST", "//hello", Route::Heartbeat),
        ("POST", "/v2/runs", Route::Submit),
        ("POST", "/v2/runs?x=/y", Route::Submit),
        ("GET", "/v2/runs/req-1", Route::Lookup(job())),
        ("GET", "/v2/runs/req-1?x", Route::Lookup(job())),
        ("POST", "/v2/runs/req-1/abort", Route::Cancel(job())),
        ("POST", "/ready", METHOD_NOT_ALLOWED),
        ("GET", "/hello", METHOD_NOT_ALLOWED),
        ("GET", "/v2/runs", METHOD_NOT_ALLOWED),
        ("POST", "/v2/runs/req-1", METHOD_NOT_ALLOWED),
        ("POST", "/v2/runs/ /", NO_SUCH_PATH),
        ("GET", "/v2/runs/ ", UNKNOWN_JOB),
        ("POST", "/v2/runs//abort", UNKNOWN_JOB),
        ("GET", "/v2/runs//abort", METHOD_NOT_ALLOWED),
        ("GET", "/v2/runs/", NO_SUCH_PATH),
        ("GET", "/v2/runs//", NO_SUCH_PATH),
        ("GET", "/v2/runs/req-1/", NO_SUCH_PATH),
        ("POST", "/v2/runs/req-1/abort/", NO_SUCH_PATH),
        ("GET", "/v2/runs/req-1/other", NO_SUCH_PATH),
        ("GET", "/v2/runsreq-1", NO_SUCH_PATH),
        ("GET", "/v2", NO_SUCH_PATH),
        ("GET", "", NO_SUCH_PATH),
    ] {
        assert_eq!(Route::parse(method, target), route, "{method} {target}");
    }
}
