//! The quartzlever controller.

mod clock;
mod inbox;
mod node;
mod server;
mod settings;
mod thread_pool;

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use quartzlever_core::Weight;

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
    let Some(config) = arguments.config else {
        eprintln!("quartzlever: --config FILE is missing");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match settings::load(&config, arguments.operator.as_deref(), weight) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("quartzlever: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if let Some(Verb::Check) = arguments.verb {
        println!("{}: fine", config.display());
        return ExitCode::SUCCESS;
    }
    // Differs between processes of one node, also when one follows the other at once.
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(clock::wall());
    hasher.write_u32(std::process::id());
    match node::run(settings, hasher.finish()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("cannot run: {error}");
            ExitCode::FAILURE
        }
    }
}
