//! Output and exit status of the operator commands, and rejection of invalid recovery settings.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use crate::testbed::Testbed;

fn run_program(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_quartzlever");
    Command::new(program).args(arguments).output().expect("the program did not start")
}

/// Runs the program. Returns its exit status, its standard output followed by its standard error,
/// and the number of lines on standard error.
fn run_command(arguments: &[&str]) -> (Option<i32>, String, usize) {
    let output = run_program(arguments);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let error = text(&output.stderr);
    (output.status.code(), text(&output.stdout) + &error, error.lines().count())
}

/// Returns the path of the snapshot with the highest number.
fn newest_snapshot(directory: &Path) -> PathBuf {
    let entries = std::fs::read_dir(directory)
        .expect("cannot read the directory of the controller")
        .flatten();
    let is_snapshot = |path: &PathBuf| path.display().to_string().contains("snapshot-");
    entries
        .map(|entry| entry.path())
        .filter(is_snapshot)
        .max()
        .expect("no snapshot in the directory")
}

#[test]
fn operator_commands_report_the_state_of_the_recovery_files() {
    let mut bed = Testbed::start("commands", 60.0);
    let job = bed.submit(3);
    bed.await_done(&job);
    bed.submit(40);
    let directory = bed.directory(0).display().to_string();
    let [config, operator] = bed.files(0).map(|path| path.display().to_string());
    let dry_run =
        ["rebuild", "--dry-run", "--config", config.as_str(), "--operator", operator.as_str()];

    let (status, text, _) = run_command(&["snapshot", "verify", &directory]);
    assert_eq!(status, Some(0), "{text}");
    let (status, text, _) = run_command(&["snapshot", "show", &directory]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("surely has all") && text.contains("1 ended"), "{text}");
    let (status, text, _) = run_command(&dry_run);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("would not rebuild"), "{text}");

    // A second controller may not use the directory.
    let (status, text, lines) = run_command(&["--config", &config, "--operator", &operator]);
    assert_eq!((status, lines), (Some(2), 1), "{text}");
    assert!(text.contains("in use"), "{text}");

    bed.kill(&[0, 1, 2]);
    bed.store().lose_keys(|key| key.starts_with("over/"));
    let (status, text, _) = run_command(&dry_run);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("would rebuild: 1 lasting records are missing"), "{text}");

    let snapshot = newest_snapshot(bed.directory(0));
    let mut bytes = std::fs::read(&snapshot).expect("cannot read the snapshot");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&snapshot, bytes).expect("cannot write the snapshot");
    let (status, text, _) = run_command(&["snapshot", "verify", &directory]);
    assert_eq!(status, Some(1), "{text}");
    assert!(text.contains("wrong checksum"), "{text}");
    let (status, text, _) = run_command(&["snapshot", "list", &directory]);
    assert_eq!(status, Some(0), "{text}");
    assert!(text.contains("corrupt"), "{text}");
    // The controller starts from the previous snapshot and log.
    bed.start_nodes(&[0, 1, 2]);
    bed.await_ready();
    bed.finish();
}

#[test]
fn invalid_recovery_settings_are_reported_in_one_line() {
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let config = scratch.join("recovery-check.toml");
    let settings = include_str!("check.toml");
    std::fs::write(&config, settings).expect("cannot write the settings file");
    let config = config.display().to_string();
    let existing = scratch.display().to_string();
    let missing = format!("{existing}/no-such-directory");
    // (lines of the entry `recovery`, exit status, text on standard error)
    let cases = [
        (format!("directory: {existing}"), 0, ""),
        (format!("directory: {missing}"), 2, "no-such-directory"),
        (format!("directory: {config}"), 2, "recovery-check.toml"),
        ("gather_s: 5".into(), 2, "directory"),
        (format!("directory: {existing}\n  check_s: 0"), 2, "recovery.check_s"),
        (format!("directory: {existing}\n  audit_s: -1"), 2, "recovery.audit_s"),
        (format!("directory: {existing}\n  snapshot_s: .nan"), 2, "recovery.snapshot_s"),
        (format!("directory: {existing}\n  log_mb: 0"), 2, "recovery.log_mb"),
        (format!("directory: {existing}\n  log_mb: 8\n  most_mb: 9"), 2, "recovery.most_mb"),
        (format!("directory: {existing}\n  sync: never"), 2, "sync"),
    ];
    for (n, (entry, status, expected_text)) in cases.iter().enumerate() {
        let operator = scratch.join(format!("recovery-check-{n}.yaml"));
        std::fs::write(&operator, format!("recovery:\n  {entry}\n"))
            .expect("cannot write the operator file");
        let operator = operator.display().to_string();
        let (code, text, lines) =
            run_command(&["check", "--config", &config, "--operator", &operator]);
        assert_eq!(code, Some(*status), "{entry}: {text}");
        assert!(text.contains(expected_text), "{entry}: {text}");
        assert_eq!(lines, usize::from(*status != 0), "{entry}: {text}");
    }
    for arguments in [["snapshot", "list", &missing], ["snapshot", "show", &missing]] {
        let (code, text, lines) = run_command(&arguments);
        assert_eq!((code, lines), (Some(2), 1), "{arguments:?}: {text}");
    }
    let (code, text, _) = run_command(&["rebuild", "--dry-run", "--config", &config]);
    assert_eq!(code, Some(2), "{text}");
}
