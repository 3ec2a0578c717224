//! Builds the version in production from the repository's history, so that a test can run it
//! alongside the current one.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// An error in building the version in production.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// `deploy/service.toml` has no `production = "..."` line.
    #[error("deploy/service.toml has no `production = \"COMMIT\"` line")]
    NoProductionCommit,
    /// The repository lacks the commit.
    #[error(
        "this clone lacks the commit {0} that deploy/service.toml names as `production`: \
         fetch the whole history (`git fetch --unshallow`) and run the test again"
    )]
    NoSuchCommit(String),
    /// A command exited with an error.
    #[error("{step} failed: {output}")]
    StepFailed {
        /// Name of the command.
        step: &'static str,
        /// Its standard error output.
        output: String,
    },
    /// A command could not be started, or a file or directory could not be created.
    #[error("cannot run {step}: {error}")]
    StepNotStarted {
        /// Name of the command, or `unpacking` for files and directories.
        step: &'static str,
        /// The underlying error.
        error: io::Error,
    },
    /// `deploy/service.toml` could not be read.
    #[error("cannot read {path}: {error}")]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        error: io::Error,
    },
}

/// Builds the commit that `deploy/service.toml` names as `production` and returns the path of the
/// program.
///
/// Source and build output are kept under `target`, in a directory of the commit's own, and are
/// reused by later calls.
pub fn build(repository: &Path, target: &Path) -> Result<PathBuf, BuildError> {
    let commit = production_commit(repository)?;
    let found = git(repository).args(["cat-file", "-e", &format!("{commit}^{{commit}}")]).output();
    if !found.is_ok_and(|output| output.status.success()) {
        return Err(BuildError::NoSuchCommit(commit));
    }
    let directory = target.join(format!("production-{commit}"));
    let source = directory.join("source");
    if !source.exists() {
        unpack(repository, &commit, &directory)?;
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(&source).args(["build", "--locked", "--target-dir"]);
    run_step("cargo build", command.arg(directory.join("build")))?;
    Ok(directory.join("build/debug/quartzlever"))
}

/// Reads the commit that `deploy/service.toml` names as `production`.
fn production_commit(repository: &Path) -> Result<String, BuildError> {
    let path = repository.join("deploy/service.toml");
    let text =
        std::fs::read_to_string(&path).map_err(|error| BuildError::ReadSettings { path, error })?;
    let value = text.lines().find_map(|line| line.strip_prefix("production = \""));
    let commit =
        value.and_then(|value| value.strip_suffix('"')).ok_or(BuildError::NoProductionCommit)?;
    Ok(commit.to_owned())
}

fn git(repository: &Path) -> Command {
    let mut command = Command::new("git");
    command.arg("-C").arg(repository);
    command
}

/// Unpacks the commit's files into `directory/source`.
///
/// The directory is renamed into place when it is complete, so that an interrupted unpacking is not
/// mistaken for a finished one.
fn unpack(repository: &Path, commit: &str, directory: &Path) -> Result<(), BuildError> {
    let temporary = directory.join(format!("unpacking-{}", std::process::id()));
    let io_error = |error| BuildError::StepNotStarted { step: "unpacking", error };
    std::fs::create_dir_all(&temporary).map_err(io_error)?;
    let archive = temporary.join("source.tar");
    let mut archive_command = git(repository);
    run_step("git archive", archive_command.args(["archive", "-o"]).arg(&archive).arg(commit))?;
    let files = temporary.join("source");
    std::fs::create_dir_all(&files).map_err(io_error)?;
    run_step("tar", Command::new("tar").arg("-xf").arg(&archive).arg("-C").arg(&files))?;
    std::fs::rename(&files, directory.join("source")).map_err(io_error)
}

/// Runs a command to its end and returns its error output if it fails.
fn run_step(step: &'static str, command: &mut Command) -> Result<(), BuildError> {
    let output = command
        .stdin(Stdio::null())
        .output()
        .map_err(|error| BuildError::StepNotStarted { step, error })?;
    if output.status.success() {
        return Ok(());
    }
    let output = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(BuildError::StepFailed { step, output })
}
