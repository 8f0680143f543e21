//! The `pipittack` program: runs the subcommand on the command line. The exit code is non-zero if it fails.

mod bootstrap;
mod cli;
mod components;
mod config_files;
mod listeners;
mod logger;
mod memory_budget;
mod reload;
mod signals;
mod socket_budget;

use std::error::Error;
use std::process::ExitCode;

use clap::Parser;
use pipittack::settings::LoadedConfig;

use crate::cli::{Cli, Command};
use crate::config_files::{ConfigFiles, LoadError};

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pipittack: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Version => println!("pipittack {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig { files } => check_config(&files)?,
        Command::Serve { options, log_level } => bootstrap::run(&options, log_level)?,
    }
    Ok(())
}

fn check_config(files: &ConfigFiles) -> Result<(), LoadError> {
    let LoadedConfig { config, settings, .. } = files.load()?;
    if config.limits.memory_mb < memory_budget::MIN_MEMORY_MB {
        eprintln!("pipittack: {}", memory_budget::low_limit_text(config.limits.memory_mb));
    }
    println!("{}: {} classes, listens at {}", config.name, settings.classes.len(), config.listen);
    Ok(())
}
