//! Configuration reload on SIGHUP. Either all files take effect, or nothing changes.
//!
//! [`Reloader`] owns the current configuration. The listen address, the admin API's address, the resource
//! limits, the name and the seed are also read, but take effect only when a process starts.

use std::net::SocketAddr;

use pipittack::api::Settings;
use pipittack::net::client::ClientService;
use pipittack::net::discovery::SharedEndpointRegistry;
use pipittack::net::driver::ServerCommand;
use pipittack::net::server::PgDriver;
use pipittack::settings::{Config, ConnectionSettings, LoadedConfig};
use tokio::sync::watch;

use crate::config_files::{ConfigFiles, LoadError};

/// Reason why a reload changed nothing.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The files cannot be loaded, or the configuration file lacks a key that a reload needs.
    #[error("configuration unchanged: {0}")]
    Load(#[from] LoadError),
}

/// The current configuration and the components that a reload updates.
pub struct Reloader<'f> {
    pub files: &'f ConfigFiles,
    pub current: Config,
    /// Sends the address of the discovery service to the discovery task.
    pub discovery_address: watch::Sender<SocketAddr>,
    pub clients: ClientService,
    pub driver: PgDriver,
    pub registry: SharedEndpointRegistry,
}

impl Reloader<'_> {
    /// Loads the files and applies their settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be loaded. The current configuration is unchanged in that case.
    pub fn reload(&mut self) -> Result<(), ReloadError> {
        let LoadedConfig { config, settings, connections } = self.files.load_replacement(&self.current)?;
        let same_address = config.discovery == self.current.discovery;
        log::info!(
            "configuration reloaded: {} classes, at most {} attempts, discovery address {}: {}",
            settings.classes.len(),
            settings.limits.max_attempts,
            if same_address { "unchanged" } else { "changed" },
            config.discovery
        );
        self.current = config;
        self.update_discovery_address();
        self.apply(settings, connections);
        Ok(())
    }

    fn update_discovery_address(&self) {
        let new_address = self.current.discovery;
        self.discovery_address
            .send_if_modified(|address| std::mem::replace(address, new_address) != new_address);
    }

    fn apply(&self, mut settings: Settings, connections: ConnectionSettings) {
        // The registry keeps its zone ids across reloads, so the zone's id is looked up there by name.
        let zone_name = connections.names.zone_name(settings.zone).unwrap_or_default();
        settings.zone = self.registry.borrow_mut().zone(zone_name);
        let command = ServerCommand::Reconfigure(Box::new(settings.clone()), connections.server_idle_timeout);
        self.driver.send_command(command);
        self.clients.reconfigure(settings, connections.names.classes());
    }
}
