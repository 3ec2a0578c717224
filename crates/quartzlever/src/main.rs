//! The quartzlever controller.
//!
//! Modules use each other in one direction only. From the lowest to the highest, each uses only those
//! before it:
//!
//! 1. `clock`, `exit_status`, `log`, `random`, `thread_pool`: nothing of this program but `clock`.
//! 2. `settings`: what the program is told at its start.
//! 3. `responder`: sockets and answers; `inbox`: the queues to the core's thread.
//! 4. `server`: connections of users and workers.
//! 5. `recovery`: the store behind the guard and the log; it uses nothing of 3 and 4.
//! 6. `node`: the core's thread, and the threads that carry out its effects.
//! 7. `main`: the arguments; it starts everything, and no module uses it.

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
mod thread_pool;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use quartzlever_core::LogLevel;

use exit_status::BAD_SETTINGS;
use log::ProgramEvent;
use recovery::commands::{self, CommandError};
use recovery::{Directory, Recovery};
use settings::Settings;

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

/// The exit status of a command at the terminal.
fn status_of(outcome: Result<(), CommandError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ CommandError::Directory(_)) => bad_settings(error),
        Err(error) => {
            eprintln!("quartzlever: {error}");
            ExitCode::FAILURE
        }
    }
}

fn bad_settings(error: impl Into<Box<dyn Error>>) -> ExitCode {
    eprintln!("quartzlever: {}", error.into());
    ExitCode::from(BAD_SETTINGS)
}

fn main() -> ExitCode {
    let Arguments { config, operator, verb } = Arguments::parse();
    let log_level = log_level();
    start_logging(log_level);
    if let Some(Verb::Snapshot { verb }) = verb {
        return show_snapshots(&verb);
    }
    let Some(config) = config else { return bad_settings("--config FILE is missing") };
    let settings = match settings::load(&config, operator.as_deref(), log_level) {
        Ok(settings) => settings,
        Err(error) => return bad_settings(error),
    };
    let recovery = settings.recovery.as_ref();
    let directory = match recovery.map(|own| Directory::open(&own.directory)).transpose() {
        Ok(directory) => directory,
        Err(error) => return bad_settings(error),
    };
    match verb {
        Some(Verb::Check) => {
            println!("{}: fine", config.display());
            ExitCode::SUCCESS
        }
        Some(Verb::Rebuild { .. }) => rebuild_dry_run(&settings),
        _ => run(settings, directory),
    }
}

fn show_snapshots(verb: &SnapshotVerb) -> ExitCode {
    status_of(match verb {
        SnapshotVerb::List { directory } => commands::list(directory),
        SnapshotVerb::Verify { directory } => commands::verify(directory),
        SnapshotVerb::Show { directory } => commands::show(directory),
    })
}

fn rebuild_dry_run(settings: &Settings) -> ExitCode {
    let Some(recovery) = &settings.recovery else {
        return bad_settings("recovery: not switched on by --operator FILE");
    };
    let (directory, node) = (&recovery.directory, &settings.core.node);
    status_of(commands::rebuild_dry_run(directory, &settings.state, node))
}

fn run(settings: Settings, directory: Option<Directory>) -> ExitCode {
    let recovery = match directory.map(Directory::lock).transpose() {
        Ok(directory) => directory.zip(settings.recovery.clone()),
        Err(error) => return bad_settings(error),
    };
    let recovery = recovery.map(|(directory, settings)| Recovery { settings, directory });
    // Differs between processes of one node, also when one follows the other at once.
    let seed = random::random_number();
    match node::run(settings, recovery, seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            ProgramEvent::CannotRun { reason: &error }.log();
            ExitCode::FAILURE
        }
    }
}
