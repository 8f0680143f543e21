//! Configuration reload: on SIGHUP the files are read again, and all of them take effect or nothing does.
//!
//! Owns the configuration in force. The listener, the admin API's address, the resource limits, the name and
//! the seed are read as well, but take effect only when a process starts.

use std::net::SocketAddr;

use pipittack::api::Settings;
use pipittack::net::client::ClientService;
use pipittack::net::discovery::SharedEndpointRegistry;
use pipittack::net::driver::ServerCommand;
use pipittack::net::server::PgDriver;
use pipittack::settings::{Config, ConnectionSettings, LoadedConfig};
use tokio::sync::watch;

use crate::config_files::{ConfigFiles, LoadError};

/// Why a reload changed nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The files cannot replace the configuration in force.
    #[error("configuration unchanged: {0}")]
    Load(#[from] LoadError),
}

/// The configuration in force and the components that follow it.
pub struct Reloader<'f> {
    pub files: &'f ConfigFiles,
    pub current: Config,
    /// Tells the discovery task where the discovery service is.
    pub discovery_address: watch::Sender<SocketAddr>,
    pub clients: ClientService,
    pub driver: PgDriver,
    pub registry: SharedEndpointRegistry,
}

impl Reloader<'_> {
    /// Reads the files and applies them.
    ///
    /// # Errors
    ///
    /// Where a file cannot be used; the configuration in force then stays as it is.
    pub fn reload(&mut self) -> Result<(), ReloadError> {
        let LoadedConfig { config, settings, connections } = self.files.load_replacement(&self.current)?;
        let same_address = config.discovery == self.current.discovery;
        log::info!(
            "configuration reloaded: {} classes, {} attempts; discovery is {} at {}",
            settings.classes.len(),
            settings.limits.max_attempts,
            if same_address { "still" } else { "now" },
            config.discovery
        );
        self.current = config;
        self.update_discovery_address();
        self.apply(settings, connections);
        Ok(())
    }

    fn update_discovery_address(&self) {
        let new = self.current.discovery;
        self.discovery_address.send_if_modified(|address| std::mem::replace(address, new) != new);
    }

    fn apply(&self, mut settings: Settings, connections: ConnectionSettings) {
        // The registry's zones keep their numbers.
        let zone_name = connections.names.zone_name(settings.zone).unwrap_or_default();
        settings.zone = self.registry.borrow_mut().zone(zone_name);
        let command = ServerCommand::Reconfigure(Box::new(settings.clone()), connections.server_idle_timeout);
        self.driver.send_command(command);
        self.clients.reconfigure(settings, connections.names.classes());
    }
}
