//! The command line: subcommands, options, and the environment variables that set options.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use log::LevelFilter;

use crate::config_files::ConfigFiles;

/// Arguments of the `pipittack` program.
#[derive(Parser)]
#[command(name = "pipittack", version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of the `pipittack` program.
#[derive(Subcommand)]
pub enum Command {
    /// Run the proxy
    Serve {
        #[command(flatten)]
        options: ServeOptions,
        /// Least severe level to log: off, error, warn, info, debug or trace
        #[arg(long, env = "GW_LOG", default_value_t = LevelFilter::Info)]
        log_level: LevelFilter,
    },
    /// Check the configuration files without serving
    CheckConfig {
        #[command(flatten)]
        files: ConfigFiles,
    },
    /// Print the version
    Version,
}

/// Options of the `serve` subcommand.
#[derive(Args)]
pub struct ServeOptions {
    #[command(flatten)]
    pub files: ConfigFiles,
    /// Address of the admin API; overrides `ops` in the configuration file
    #[arg(long = "ops", env = "GW_OPS", value_name = "ADDRESS")]
    pub admin_address: Option<SocketAddr>,
    /// Directory for the hot restart sockets and the list of servers that are out of service; without it,
    /// hot restart is disabled and the list is lost when the process exits
    #[arg(long, env = "TMPDIR", value_name = "DIR")]
    pub state_dir: Option<PathBuf>,
}
