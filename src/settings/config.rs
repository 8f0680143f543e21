//! The configuration file.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use super::error::ConfigError;
use super::ConnectionSettings;
use crate::api::{DiscoveryMode, Settings};
use crate::endpoint_list::EndpointList;

/// Smallest number of open file descriptors with which a proxy process can work.
pub const MIN_SOCKETS: usize = 64;

/// Interval between calls to discovery if the settings give none, as where lists come unasked.
const DEFAULT_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Optional keys that a replacement of the file must have if the file has them.
const KEPT_KEYS: [&str; 2] = ["name", "limits"];

/// Limits on the resources of a proxy process.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Maximum memory of the process, in megabytes (10^6 bytes).
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1024 }
    }
}

/// Content of a configuration file. Unknown keys are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// Name of the proxy instance. It appears in the log, in the names of files in the state directory and in
    /// the handover to a successor.
    #[serde(default)]
    pub name: String,
    /// Address at which the proxy listens for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the admin API; `None` for no admin API, unless the command line sets its address.
    #[serde(default, rename = "ops")]
    pub admin: Option<SocketAddr>,
    /// Seed of the routing engine's random number generator, in hexadecimal.
    pub seed: String,
    /// Limits on the resources of the process.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// Endpoint list from an earlier run, in the format of the discovery service.
    #[serde(default, rename = "known")]
    pub cached_endpoints: Option<EndpointList>,
    settings: Value,
    /// Keys among [`KEPT_KEYS`] that the file has.
    #[serde(skip)]
    kept_keys: Vec<&'static str>,
}

/// A validated configuration file and the settings in it.
#[derive(Debug, Clone)]
pub struct LoadedConfig {
    /// Content of the configuration file.
    pub config: Config,
    /// Settings of the routing engine. [`Config::parse`] leaves the failover settings at their defaults.
    pub settings: Settings,
    /// Settings of the connections to clients and data servers.
    pub connections: ConnectionSettings,
}

impl Config {
    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a configuration, or if a value in it is invalid.
    pub fn parse(text: &str) -> Result<LoadedConfig, ConfigError> {
        let content: Value = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let mut config: Self = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        config.kept_keys = KEPT_KEYS.into_iter().filter(|key| content.get(*key).is_some()).collect();
        let (mut settings, connections) = super::read(&config.settings)?;
        watch_discovery(&mut settings);
        // Over sockets, every response of a data server ends with its role.
        settings.health_checks_tell_role = true;
        settings.validate()?;
        config.seed()?;
        if config.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets);
        }
        Ok(LoadedConfig { config, settings, connections })
    }

    /// Parses and validates the text of a configuration file that replaces this configuration.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::parse`] does. Also returns an error if the text lacks a key of this
    /// configuration's settings, or `name` or `limits` although this configuration has them, so that a file
    /// that is only partly written is rejected. Other optional keys take effect only at the start and may be
    /// missing.
    pub fn parse_replacement(&self, text: &str) -> Result<LoadedConfig, ConfigError> {
        let replacement: Value = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let missing_key = self.kept_keys.iter().find(|key| replacement.get(**key).is_none());
        if let Some(key) = missing_key {
            return Err(ConfigError::MissingKey { key: (*key).to_owned() });
        }
        let settings = replacement.get("settings").unwrap_or(&Value::Null);
        match find_missing_key(&self.settings, settings, "settings") {
            Some(key) => Err(ConfigError::MissingKey { key }),
            None => Self::parse(text),
        }
    }

    /// Returns the seed as a number.
    ///
    /// # Errors
    ///
    /// Returns an error if the seed is not a hexadecimal 64-bit number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::InvalidSeed)
    }
}

/// Lets the engine ask for lists also where the settings say that these come unasked. Over sockets, a list comes only
/// on a watch that the proxy has opened.
fn watch_discovery(settings: &mut Settings) {
    settings.discovery = DiscoveryMode::Subscribe;
    if settings.rules.poll_interval.is_zero() {
        settings.rules.poll_interval = DEFAULT_POLL_INTERVAL;
    }
}

/// Returns the path of a key of `current` that `updated` lacks. `path` is the path of both values. Nested
/// objects are also compared; for arrays see [`find_missing_entry_key`].
fn find_missing_key(current: &Value, updated: &Value, path: &str) -> Option<String> {
    match (current, updated) {
        (Value::Null, _) => None,
        (Value::Object(current), Value::Object(updated)) => current.iter().find_map(|(key, value)| {
            let new_value = updated.get(key).unwrap_or(&Value::Null);
            find_missing_key(value, new_value, &format!("{path}.{key}"))
        }),
        (Value::Array(current), Value::Array(updated)) => find_missing_entry_key(current, updated, path),
        (Value::Object(_) | Value::Array(_), _) | (_, Value::Null) => Some(path.to_owned()),
        _ => None,
    }
}

/// Returns the path of a key that every entry of `current` has and an entry of `updated` lacks.
fn find_missing_entry_key(current: &[Value], updated: &[Value], path: &str) -> Option<String> {
    let first = current.first().and_then(Value::as_object)?;
    let in_every_entry = |key: &&String| current.iter().all(|entry| entry.get(key.as_str()).is_some());
    let required: Vec<_> = first.keys().filter(in_every_entry).collect();
    let lacks = |entry: &Value, key: &str| entry.get(key).is_none_or(Value::is_null);
    let missing = updated.iter().find_map(|entry| required.iter().find(|key| lacks(entry, key)));
    missing.map(|key| format!("{path}.{key}"))
}
