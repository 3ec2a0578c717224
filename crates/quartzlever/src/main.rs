//! The quartzlever controller.

mod clock;
mod inbox;
mod node;
mod recovery;
mod server;
mod settings;
mod thread_pool;

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use quartzlever_core::Weight;

use recovery::commands::{self, CommandError};
use recovery::{Directory, Recovery};

/// A cluster scheduler by adaptive work stealing.
///
/// Logs go to standard error; the variable LOG_LEVEL (error, info, debug) says how much.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The operator's own settings (YAML), all of them optional.
    #[arg(long, value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Checks the settings without starting.
    Check,
    /// Shows what a directory of snapshots holds.
    Snapshot {
        #[command(subcommand)]
        verb: SnapshotVerb,
    },
    /// Tells what would become of lost state.
    Rebuild {
        /// Only tells; a controller rebuilds by itself when it has to.
        #[arg(long, required = true)]
        dry_run: bool,
    },
}

#[derive(Subcommand)]
enum SnapshotVerb {
    /// A line for each snapshot with its log.
    List { directory: PathBuf },
    /// Checks every file; status 1 if one cannot be used.
    Verify { directory: PathBuf },
    /// What the files hold together.
    Show { directory: PathBuf },
}

const BAD_SETTINGS: u8 = 2;
/// Exit status of a program that is older than what all controllers have agreed on.
pub(crate) const UNKNOWN_VERSION: u8 = 3;

fn weight() -> Weight {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => Weight::Debug,
        Ok("error") => Weight::Error,
        _ => Weight::Info,
    }
}

/// A number that no other process, and no other call, draws.
pub(crate) fn random_number() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(clock::wall());
    hasher.write_u32(std::process::id());
    hasher.finish()
}

/// The exit status of a command at the terminal.
fn status_of(outcome: Result<(), CommandError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ CommandError::Directory(_)) => bad_settings(&error),
        Err(error) => {
            eprintln!("quartzlever: {error}");
            ExitCode::FAILURE
        }
    }
}

fn bad_settings(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("quartzlever: {error}");
    ExitCode::from(BAD_SETTINGS)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let weight = weight();
    let level = match weight {
        Weight::Error => tracing::Level::ERROR,
        Weight::Info => tracing::Level::INFO,
        Weight::Debug => tracing::Level::DEBUG,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_target(false)
        .with_ansi(false)
        .init();
    if let Some(Verb::Snapshot { verb }) = &arguments.verb {
        return status_of(match verb {
            SnapshotVerb::List { directory } => commands::list(directory),
            SnapshotVerb::Verify { directory } => commands::verify(directory),
            SnapshotVerb::Show { directory } => commands::show(directory),
        });
    }
    let Some(config) = arguments.config else {
        eprintln!("quartzlever: --config FILE is missing");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match settings::load(&config, arguments.operator.as_deref(), weight) {
        Ok(settings) => settings,
        Err(error) => return bad_settings(&error),
    };
    let directory = settings.recovery.as_ref().map(|r| Directory::open(&r.directory)).transpose();
    let directory = match directory {
        Ok(directory) => directory,
        Err(error) => return bad_settings(&error),
    };
    if let Some(Verb::Check) = arguments.verb {
        println!("{}: fine", config.display());
        return ExitCode::SUCCESS;
    }
    if let Some(Verb::Rebuild { .. }) = arguments.verb {
        let Some(recovery) = &settings.recovery else {
            eprintln!("quartzlever: recovery: not switched on by --operator FILE");
            return ExitCode::from(BAD_SETTINGS);
        };
        let (directory, node) = (&recovery.directory, &settings.core.node);
        return status_of(commands::rebuild_dry_run(directory, &settings.state, node));
    }
    let recovery = match directory.map(Directory::lock).transpose() {
        Ok(directory) => directory.zip(settings.recovery.clone()),
        Err(error) => return bad_settings(&error),
    };
    let recovery = recovery.map(|(directory, settings)| Recovery { settings, directory });
    // Differs between processes of one node, also when one follows the other at once.
    match node::run(settings, recovery, random_number()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}
