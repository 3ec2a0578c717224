//! The quartzlever controller.
//!
//! Modules depend on each other in one direction only. From the lowest layer to the highest, each
//! uses only the layers before it:
//!
//! 1. `clock`, `exit_status`, `log`, `random`, `thread_pool`: use nothing of this program but `clock`.
//! 2. `settings`: the settings files.
//! 3. `responder`: sockets and HTTP answers; `step_watch`: reports of slow steps of the core; `inbox`:
//!    the command queues of the core's thread.
//! 4. `server`: HTTP connections of users and workers.
//! 5. `recovery`: access to the store through the guard and the recovery log; uses nothing of 3 and 4.
//! 6. `node`: the core's thread, and the threads that execute its effects.
//! 7. `main`: the command line; starts everything, and no module uses it.

mod clock;
mod exit_status;
mod inbox;
mod log;
mod node;
mod random;
mod recovery;
mod responder;
mod server;
mod settings;
mod step_watch;
mod thread_pool;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use quartzlever_core::LogLevel;

use exit_status::INVALID_SETTINGS;
use log::ProgramEvent;
use recovery::commands::{self, CommandError};
use recovery::{Directory, Recovery};
use settings::Settings;

/// A cluster scheduler with adaptive work stealing.
///
/// Logs go to standard error; the environment variable LOG_LEVEL (error, info, debug) sets their
/// level.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The operator's settings file (YAML); every setting in it is optional.
    #[arg(long, value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    #[command(subcommand)]
    verb: Option<Verb>,
}

#[derive(Subcommand)]
enum Verb {
    /// Checks the settings files without starting a controller.
    Check,
    /// Inspects the snapshots and logs in a recovery directory.
    Snapshot {
        #[command(subcommand)]
        verb: SnapshotVerb,
    },
    /// Reports what a rebuild of lost state would do.
    Rebuild {
        /// Confirms that nothing is changed: this command only reports, and controllers rebuild by
        /// themselves when needed.
        #[arg(long, required = true)]
        dry_run: bool,
    },
}

#[derive(Subcommand)]
enum SnapshotVerb {
    /// Prints one line for each snapshot and its log.
    List { directory: PathBuf },
    /// Checks every file; exits with status 1 if one is unusable.
    Verify { directory: PathBuf },
    /// Shows the state that the files hold together.
    Show { directory: PathBuf },
}

fn log_level() -> LogLevel {
    match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LogLevel::Debug,
        Ok("error") => LogLevel::Error,
        _ => LogLevel::Info,
    }
}

fn start_logging(log_level: LogLevel) {
    let level = match log_level {
        LogLevel::Error => tracing::Level::ERROR,
        LogLevel::Info => tracing::Level::INFO,
        LogLevel::Debug => tracing::Level::DEBUG,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_target(false)
        .with_ansi(false)
        .init();
}

/// Returns the exit status for the outcome of a command, and prints its error if there is one.
fn exit_code(outcome: Result<(), CommandError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ CommandError::Directory(_)) => fail_with_invalid_settings(error),
        Err(error) => {
            eprintln!("quartzlever: {error}");
            ExitCode::FAILURE
        }
    }
}

fn fail_with_invalid_settings(error: impl Into<Box<dyn Error>>) -> ExitCode {
    eprintln!("quartzlever: {}", error.into());
    ExitCode::from(INVALID_SETTINGS)
}

fn main() -> ExitCode {
    let Arguments { config, operator, verb } = Arguments::parse();
    let log_level = log_level();
    start_logging(log_level);
    if let Some(Verb::Snapshot { verb }) = verb {
        return show_snapshots(&verb);
    }
    let Some(config) = config else {
        return fail_with_invalid_settings("--config FILE is required");
    };
    let settings = match settings::load(&config, operator.as_deref(), log_level) {
        Ok(settings) => settings,
        Err(error) => return fail_with_invalid_settings(error),
    };
    let recovery = settings.recovery.as_ref();
    let directory = match recovery.map(|recovery| Directory::open(&recovery.directory)).transpose()
    {
        Ok(directory) => directory,
        Err(error) => return fail_with_invalid_settings(error),
    };
    match verb {
        Some(Verb::Check) => {
            println!("{}: the settings are valid", config.display());
            ExitCode::SUCCESS
        }
        Some(Verb::Rebuild { .. }) => rebuild_dry_run(&settings),
        _ => run(settings, directory),
    }
}

fn show_snapshots(verb: &SnapshotVerb) -> ExitCode {
    exit_code(match verb {
        SnapshotVerb::List { directory } => commands::list(directory),
        SnapshotVerb::Verify { directory } => commands::verify(directory),
        SnapshotVerb::Show { directory } => commands::show(directory),
    })
}

fn rebuild_dry_run(settings: &Settings) -> ExitCode {
    let Some(recovery) = &settings.recovery else {
        return fail_with_invalid_settings(
            "recovery is not enabled: it needs a `recovery` section in the file given by --operator",
        );
    };
    let (directory, node) = (&recovery.directory, &settings.core.node);
    exit_code(commands::rebuild_dry_run(directory, &settings.state, node))
}

fn run(settings: Settings, directory: Option<Directory>) -> ExitCode {
    let recovery = match directory.map(Directory::lock).transpose() {
        Ok(directory) => directory.zip(settings.recovery.clone()),
        Err(error) => return fail_with_invalid_settings(error),
    };
    let recovery = recovery.map(|(directory, settings)| Recovery { settings, directory });
    // Differs between successive processes of a node, even if one starts right after the other.
    let seed = random::random_number();
    match node::run(settings, recovery, seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            ProgramEvent::CannotRun { reason: &error }.log();
            ExitCode::FAILURE
        }
    }
}
