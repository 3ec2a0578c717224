//! The version in production, built from the repository's own history, so that a test can run it
//! beside the present one.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Why the version in production could not be built.
#[derive(Debug, thiserror::Error)]
pub enum BuildError {
    /// The settings name no commit.
    #[error("deploy/service.toml names no commit as `production`")]
    NotNamed,
    /// The repository does not have the commit.
    #[error(
        "this clone lacks the commit {0} that deploy/service.toml names as `production`: \
         fetch the whole history (`git fetch --unshallow`) and run the test again"
    )]
    NoSuchCommit(String),
    /// A command has failed.
    #[error("{step} failed: {output}")]
    Step {
        /// The command.
        step: &'static str,
        /// What it wrote to its error output.
        output: String,
    },
    /// A command could not be started, or a file not be made.
    #[error("cannot start {step}: {error}")]
    Start {
        /// The command.
        step: &'static str,
        /// Why.
        error: io::Error,
    },
    /// The settings could not be read.
    #[error("cannot read {path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
}

/// Builds the commit that `deploy/service.toml` names, below `target`, and gives the program. What
/// was built before is taken as it is.
pub fn build(repository: &Path, target: &Path) -> Result<PathBuf, BuildError> {
    let commit = production_commit(repository)?;
    let known = git(repository).args(["cat-file", "-e", &format!("{commit}^{{commit}}")]).output();
    if !known.is_ok_and(|output| output.status.success()) {
        return Err(BuildError::NoSuchCommit(commit));
    }
    let folder = target.join(format!("production-{commit}"));
    let source = folder.join("source");
    if !source.exists() {
        unpack(repository, &commit, &folder)?;
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(&source).args(["build", "--locked", "--target-dir"]);
    run("cargo build", command.arg(folder.join("build")))?;
    Ok(folder.join("build/debug/quartzlever"))
}

fn production_commit(repository: &Path) -> Result<String, BuildError> {
    let path = repository.join("deploy/service.toml");
    let text = std::fs::read_to_string(&path).map_err(|error| BuildError::Read { path, error })?;
    let value = text.lines().find_map(|line| line.strip_prefix("production = \""));
    let commit = value.and_then(|value| value.strip_suffix('"')).ok_or(BuildError::NotNamed)?;
    Ok(commit.to_owned())
}

fn git(repository: &Path) -> Command {
    let mut command = Command::new("git");
    command.arg("-C").arg(repository);
    command
}

/// Writes the commit's files below `folder`; they appear under their final name at once.
fn unpack(repository: &Path, commit: &str, folder: &Path) -> Result<(), BuildError> {
    let unfinished = folder.join(format!("unpacking-{}", std::process::id()));
    let start = |error| BuildError::Start { step: "unpacking", error };
    std::fs::create_dir_all(&unfinished).map_err(start)?;
    let archive = unfinished.join("source.tar");
    let mut pack = git(repository);
    run("git archive", pack.args(["archive", "-o"]).arg(&archive).arg(commit))?;
    let files = unfinished.join("source");
    std::fs::create_dir_all(&files).map_err(start)?;
    run("tar", Command::new("tar").arg("-xf").arg(&archive).arg("-C").arg(&files))?;
    std::fs::rename(&files, folder.join("source")).map_err(start)
}

fn run(step: &'static str, command: &mut Command) -> Result<(), BuildError> {
    let output =
        command.stdin(Stdio::null()).output().map_err(|error| BuildError::Start { step, error })?;
    if output.status.success() {
        return Ok(());
    }
    let output = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(BuildError::Step { step, output })
}
