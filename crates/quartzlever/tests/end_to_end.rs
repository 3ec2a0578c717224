//! One real controller process with a fake store, a fake cloud and fake workers on loopback
//! addresses, and the check of settings files.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quartzlever_testkit::fleet::{Behaviour, Fleet};
use quartzlever_testkit::program::{Node, reported_violations};
use quartzlever_testkit::rules::RuleChecker;
use quartzlever_testkit::{Cloud, Store, http};
use quartzlever_wire::SECOND;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzlever");

fn settings(state: &str, cloud: &str) -> String {
    format!(
        r#"
node_name = "one"
site = "a"
api_addr = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
a_new_field = true
[external]
cloud = "{cloud}"
state = "{state}"
[params]
zones = ["a"]
[[params.teams]]
name = "free"
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 20.0
[params.state]
rps = 500.0
write_rps = 500.0
value_kb = 16.0
txn_ops = 24
[params.cloud]
rps = 50.0
list_lag_s = 1.0
"#
    )
}

/// Writes a file into the scratch directory of the tests and returns its path.
fn write_scratch_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("cannot write the scratch file");
    path
}

fn start(config: &Path) -> Node {
    Node::start(PROGRAM, config).expect("the program did not start")
}

/// Sends an HTTP request. Returns the status, 0 without a response, and the JSON body, `Null` if
/// the body is not JSON.
fn call(method: &str, url: &str, body: Option<&str>) -> (u16, Value) {
    let request = ureq::request(method, url).timeout(Duration::from_secs(5));
    let result = match body {
        Some(body) => request.send_string(body),
        None => request.call(),
    };
    match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => {
            let status = response.status();
            let text = response.into_string().unwrap_or_default();
            (status, serde_json::from_str(&text).unwrap_or(Value::Null))
        }
        Err(_) => (0, Value::Null),
    }
}

/// Repeats a call, with a pause of 100 ms, until `wanted` accepts its status and body.
///
/// # Panics
///
/// Panics after 400 calls, with `what` and the last result.
fn until(
    what: &str,
    mut send: impl FnMut() -> (u16, Value),
    wanted: impl Fn(&(u16, Value)) -> bool,
) {
    let mut last = (0, Value::Null);
    for _ in 0..400 {
        last = send();
        if wanted(&last) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("{what}: {last:?}");
}

/// Returns the body of a submission of a batch job.
fn job_body(id: &str, tasks: u32) -> String {
    json!({
        "ref": id, "jobclass": "c", "owner": "free", "shape": "batch", "rank": "standard",
        "shards": tasks, "cpus": 2.0, "gpus": 0, "ram_gb": 1.0, "bundle": "img", "size_gb": 0.5,
        "together": false, "apart": false, "loaners": true,
        "expect_s": 1.0, "snapshot_s": 0.0, "flush_s": 0.0
    })
    .to_string()
}

#[test]
fn jobs_survive_a_controller_kill() {
    let begin = Instant::now();
    let store = http::serve_store(Arc::new(Mutex::new(Store::default())), begin)
        .expect("cannot serve the store");
    let unreachable = ("one".to_owned(), "127.0.0.1:1".parse().expect("a valid address"));
    let controllers = Arc::new(Mutex::new(vec![unreachable]));
    let heartbeat_interval = Duration::from_millis(100);
    let slow_calls = Duration::ZERO;
    let behaviour =
        Behaviour { heartbeat_interval, slow_calls, lease: 10 * SECOND, run_time: SECOND };
    let rules = RuleChecker::new(20 * SECOND, Vec::new());
    let fleet = Fleet::new(rules, controllers.clone(), behaviour, begin);
    let cloud = fleet.serve_cloud(Cloud::new(8.0, &["a"], 3)).expect("cannot serve the cloud");
    let config = write_scratch_file("one.toml", &settings(&store.to_string(), &cloud.to_string()));
    let node = start(&config);
    *controllers.lock().expect("lock") = vec![("one".to_owned(), node.address)];
    let base = format!("http://{}", node.address);
    until("controller ready", || call("GET", &format!("{base}/ready"), None), |a| a.0 == 200);

    let runs = format!("{base}/v2/runs");
    until(
        "submission accepted",
        || call("POST", &runs, Some(&job_body("req-1", 3))),
        |a| a.0 == 201,
    );
    assert_eq!(
        call("POST", &runs, Some(&job_body("req-1", 3))).0,
        200,
        "a repeated submission is recognised"
    );
    let first = format!("{runs}/req-1");
    until("job done", || call("GET", &first, None), |a| a.1["phase"] == "done" && a.1["done"] == 3);

    // (method, path, body, status)
    let long_body = format!("{{\"ref\":\"{}\"}}", "x".repeat(70_000));
    for (method, path, body, status) in [
        ("GET", "/v2/runs/req-77", None, 404),
        ("GET", "/v2/runs/nonsense", None, 404),
        ("GET", "/elsewhere", None, 404),
        ("POST", "/ready", Some("{}"), 405),
        ("GET", "/v2/runs", None, 405),
        ("POST", "/v2/runs", Some("{"), 400),
        ("POST", "/v2/runs", Some(long_body.as_str()), 400),
        ("POST", "/hello", Some("{\"host\":1}"), 400),
        ("POST", "/v2/runs/req-77/abort", Some(""), 404),
    ] {
        assert_eq!(call(method, &format!("{base}{path}"), body).0, status, "{method} {path}");
    }

    until(
        "submission accepted",
        || call("POST", &runs, Some(&job_body("req-2", 12))),
        |a| a.0 == 201,
    );
    drop(node);
    let node = start(&config);
    *controllers.lock().expect("lock") = vec![("one".to_owned(), node.address)];
    let runs = format!("http://{}/v2/runs", node.address);
    let (first, second) = (format!("{runs}/req-1"), format!("{runs}/req-2"));
    until("job found after the restart", || call("GET", &first, None), |a| a.0 == 200);
    assert_eq!(
        call("GET", &first, None).1["phase"],
        "done",
        "a done job stays done after the restart"
    );
    until("job done", || call("GET", &second, None), |a| a.1["phase"] == "done");
    let (status, answer) = call("POST", &format!("{second}/abort"), Some(""));
    assert_eq!((status, &answer["phase"]), (200, &json!("done")), "a done job cannot be cancelled");
    assert_eq!(reported_violations(), Vec::<String>::new());
}

#[test]
fn invalid_settings_are_reported_in_one_line() {
    let valid = settings("127.0.0.1:1", "127.0.0.1:2");
    let limits = |fields: &str| format!("{valid}[params.machine_limits]\n{fields}\n");
    let next = |fields: &str| format!("{valid}[params.state.next]\n{fields}\n");
    // (name, settings, operator file, exit status, text on standard error)
    let cases: &[(&str, String, &str, i32, &str)] = &[
        ("valid", valid.clone(), "steal_fraction: 0.5\n", 0, ""),
        ("empty operator file", valid.clone(), "", 0, ""),
        ("missing field", valid.replace("site = \"a\"", ""), "", 2, "site"),
        ("bad address", valid.replace("127.0.0.1:1\"", "nowhere\""), "", 2, "external.state"),
        ("out of range", valid.replace("lease_s = 10.0", "lease_s = -1.0"), "", 2, "lease_s"),
        (
            "zero cancellation time",
            valid.replace("cancel_s = 20.0", "cancel_s = 0.0"),
            "",
            2,
            "cancel_s",
        ),
        ("no cancellation time given", valid.replace("cancel_s = 20.0", ""), "", 2, "cancel_s"),
        ("previous name of a field", valid.clone(), "hold_life_s: 20\n", 0, ""),
        ("zero lease", valid.clone(), "lease_life_s: 0\n", 2, "lease_life_s"),
        ("announced store limit", next("value_kb = 2.0\ntxn_ops = 8"), "", 0, ""),
        ("announced store limit out of range", next("txn_ops = 1"), "", 2, "state.next.txn_ops"),
        ("wrong type", valid.replace("rps = 500.0", "rps = \"many\""), "", 2, "string"),
        ("zero CPU limit", limits("cpu_share = 0.0"), "", 2, "machine_limits.cpu_share"),
        ("negative CPU limit", limits("cpu_share = -0.019"), "", 2, "machine_limits.cpu_share"),
        ("zero memory limit", limits("memory_mb = 0.0"), "", 2, "machine_limits.memory_mb"),
        ("small but sufficient limits", limits("cpu_share = 0.019\nmemory_mb = 85.0"), "", 0, ""),
        ("unknown key", valid.clone(), "steal_everything: true\n", 2, "steal_everything"),
        ("operator value out of range", valid.clone(), "steal_fraction: 7\n", 2, "steal_fraction"),
    ];
    for (n, (name, config, operator, code, expected_text)) in cases.iter().enumerate() {
        let config = write_scratch_file(&format!("check-{n}.toml"), config);
        let operator = write_scratch_file(&format!("check-{n}.yaml"), operator);
        let mut command = Command::new(PROGRAM);
        command.arg("check").arg("--config").arg(config).arg("--operator").arg(operator);
        let output = command.output().expect("the program did not start");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{name}: {error}");
        assert!(error.contains(expected_text), "{name}: {error}");
        assert_eq!(error.lines().count(), usize::from(*code != 0), "{name}: {error}");
    }
}
