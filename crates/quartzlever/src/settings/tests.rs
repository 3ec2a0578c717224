//! Tests of the exact one-line error messages of each file, and of settings that follow from both
//! files.

use super::*;

const PLATFORM_FILE: &str = r#"
node_name = "one"
site = "a"
api_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
a_new_field = true
[[seeds]]
node_name = "two"
addr = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[params]
zones = ["a"]
[[params.teams]]
name = "free"
cpus = 1.0
[[params.objectives]]
kind = "of a later version"
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 20.0
[params.state]
rps = 500.0
write_rps = 400.0
value_kb = 16.0
txn_ops = 24
[params.cloud]
rps = 50.0
"#;

fn error_message(result: Result<impl std::fmt::Debug, SettingsError>) -> String {
    result.expect_err("invalid settings").to_string()
}

#[test]
fn errors_in_the_platform_file_name_the_field_and_the_violation() {
    for (valid, invalid, message) in [
        (
            "\"one\"",
            "\"o/ne\"",
            "node_name: must be 1 to 100 printable ASCII characters without spaces or \
             slashes, is \"o/ne\"",
        ),
        (
            "\"two\"",
            "\"\"",
            "seeds.node_name: must be 1 to 100 printable ASCII characters without spaces or \
             slashes, is \"\"",
        ),
        ("\"two\"", "\"one\"", "seeds.node_name: duplicate name: \"one\""),
        ("\"127.0.0.1:3\"", "\"here\"", "seeds.addr: not an IP address with a port: \"here\""),
        ("\"127.0.0.1:4\"", "\"\"", "external.cloud: not an IP address with a port: \"\""),
        ("\"127.0.0.1:5\"", "\"x:1\"", "external.state: not an IP address with a port: \"x:1\""),
        ("[\"a\"]", "[]", "params.zones: must name at least one zone"),
        (
            "cpus = 1.0",
            "cpus = -1.5",
            "params.teams.free.cpus: must be from 0 to 1000000000, is -1.5",
        ),
        (
            "report_s = 1.0",
            "report_s = nan",
            "params.workers.report_s: must be from 0.1 to 3600, is NaN",
        ),
        ("rps = 500.0", "rps = 0.5", "params.state.rps: must be from 1 to 1000000000, is 0.5"),
        ("txn_ops = 24", "txn_ops = 1", "params.state.txn_ops: must be from 2 to 1000000, is 1"),
        ("rps = 50.0", "rps = inf", "params.cloud.rps: must be from 0.1 to 1000000000, is inf"),
        (
            "site = \"a\"",
            "site = \"a b\"",
            "site: must be 1 to 100 printable ASCII characters without spaces or \
             slashes, is \"a b\"",
        ),
        ("site = \"a\"", "site = 1", "invalid type: integer `1`, expected a string (line 3)"),
        (
            "txn_ops = 24",
            "txn_ops = 24\nnext = { rps = 0.1 }",
            "params.state.next.rps: must be from 1 to 1000000000, is 0.1",
        ),
        (
            "[params.cloud]",
            "[params.machine_limits]\nsockets = 9\n[params.cloud]",
            "params.machine_limits.sockets: must be from 64 to 10000000, is 9",
        ),
    ] {
        let text = PLATFORM_FILE.replace(valid, invalid);
        assert_ne!(text, PLATFORM_FILE, "{valid}");
        assert_eq!(error_message(platform::parse("f.toml", &text)), format!("f.toml: {message}"));
    }
}

#[test]
fn errors_in_the_operator_file_name_the_field_and_the_violation() {
    for (text, message) in [
        ("peers_asked: 0", "peers_asked: must be from 1 to 1000, is 0"),
        ("steal_fraction: 1.5", "steal_fraction: must be from 0.01 to 1, is 1.5"),
        ("idle_boots: -1", "idle_boots: must be from 0 to 1000, is -1"),
        ("price_cap: 0.5", "price_cap: must be from 1 to 1000, is 0.5"),
        ("hold_life_s: 1", "lease_life_s: must be from 3 to 300, is 1"),
        ("progress_write_s: 0", "progress_write_s: must be from 0.05 to 60, is 0"),
        ("steal_start_s: 5\nsteal_cap_s: 4", "steal_cap_s: must not be below steal_start_s"),
        (
            "recovery: { directory: d, gather_s: 0 }",
            "recovery.gather_s: must be from 1 to 600, is 0",
        ),
        (
            "recovery: { directory: d, log_mb: 4, most_mb: 7 }",
            "recovery.most_mb: must be at least twice log_mb",
        ),
    ] {
        assert_eq!(error_message(operator::parse("f.yaml", text)), format!("f.yaml: {message}"));
    }
}

#[test]
fn an_empty_operator_file_gives_the_defaults() {
    let settings = operator::parse("f.yaml", "").expect("an empty file is valid");
    assert_eq!(settings.core.peers_asked, quartzlever_core::Operator::default().peers_asked);
    assert!(settings.recovery.is_none());
}

#[test]
fn the_lower_of_a_present_and_a_future_limit_applies() {
    let text = PLATFORM_FILE.replace(
        "txn_ops = 24",
        "txn_ops = 24\nnext = { rps = 100.0, write_rps = 900.0, value_kb = 8.0, txn_ops = 12 }",
    );
    let platform = platform::parse("f.toml", &text).expect("valid settings");
    assert_eq!(platform.store_rps, 100.0);
    assert_eq!(platform.store_write_rps, 400.0);
    assert_eq!(platform.value_bytes, 8 * 1024);
    assert_eq!(platform.present_value_bytes, 16 * 1024);
    assert_eq!(platform.txn_ops, 12);
    assert_eq!(platform.machine_capacity, usize::MAX);
    assert!(platform.objectives.is_empty());
}

#[test]
fn requests_of_recovery_reduce_the_request_limit_of_the_cores() {
    for (rps, with_recovery) in [("500.0", 496.0), ("6.0", 3.0)] {
        let text = PLATFORM_FILE.replace("rps = 500.0", &format!("rps = {rps}"));
        let parse = || platform::parse("f.toml", &text).expect("valid settings");
        let operator =
            operator::parse("f.yaml", "recovery: { directory: d }").expect("valid settings");
        let without = combine(parse(), OperatorSettings::default(), LogLevel::Info);
        assert_eq!(without.core.store_rps, rps.parse::<f64>().expect("a number"));
        assert_eq!(combine(parse(), operator, LogLevel::Info).core.store_rps, with_recovery);
    }
}
