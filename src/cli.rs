//! The command line: subcommands, flags and the environment variables that stand in for flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use log::LevelFilter;

use crate::config_files::ConfigFiles;

/// The command line.
#[derive(Parser)]
#[command(name = "pipittack", version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run the proxy
    Serve {
        #[command(flatten)]
        options: ServeOptions,
        /// The least severe level that is logged
        #[arg(long, env = "GW_LOG", default_value_t = LevelFilter::Info)]
        log_level: LevelFilter,
    },
    /// Read and check a configuration without serving it
    CheckConfig {
        #[command(flatten)]
        files: ConfigFiles,
    },
    /// Print the version
    Version,
}

/// What a proxy process is started with.
#[derive(Args)]
pub struct ServeOptions {
    #[command(flatten)]
    pub files: ConfigFiles,
    /// Address of the admin API, in place of `ops` in the configuration
    #[arg(long = "ops", env = "GW_OPS", value_name = "ADDRESS")]
    pub admin_address: Option<SocketAddr>,
    /// Directory for hot restarts and for the list of servers that are out of service; without it, neither
    /// works across processes
    #[arg(long, env = "TMPDIR", value_name = "DIR")]
    pub state_dir: Option<PathBuf>,
}
