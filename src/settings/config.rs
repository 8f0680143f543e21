//! The proxy's configuration file.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use super::error::ConfigError;
use super::ConnectionSettings;
use crate::api::Settings;
use crate::endpoint_list::EndpointList;

/// Smallest limit on descriptors with which a proxy can work.
pub const MIN_SOCKETS: usize = 64;

/// Limits on a process's resources.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1024 }
    }
}

/// The content of a configuration file. Keys that are not known are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Config {
    /// The proxy's name, for its log.
    #[serde(default)]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// Address of the admin API; without it there is none.
    #[serde(default, rename = "ops")]
    pub admin: Option<SocketAddr>,
    /// Seed of the engine's random numbers, in hex.
    pub seed: String,
    /// Limits on the process's resources.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// The endpoint list as of an earlier run, in the form that discovery sends.
    #[serde(default, rename = "known")]
    pub cached_endpoints: Option<EndpointList>,
    settings: Value,
}

/// A configuration file with its settings, all checked.
#[derive(Debug, Clone)]
pub struct LoadedConfig {
    /// The file itself.
    pub config: Config,
    /// Settings of the routing engine.
    pub settings: Settings,
    /// Settings of the connections around it.
    pub connections: ConnectionSettings,
}

impl Config {
    /// Reads the text of a configuration file.
    ///
    /// # Errors
    ///
    /// Where the text is not a configuration, or a value cannot be used.
    pub fn read(text: &str) -> Result<LoadedConfig, ConfigError> {
        let config: Self = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let (settings, connections) = super::read(&config.settings)?;
        settings.validate()?;
        config.seed()?;
        if config.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets);
        }
        Ok(LoadedConfig { config, settings, connections })
    }

    /// Reads the text of a configuration file that replaces this one.
    ///
    /// # Errors
    ///
    /// As [`Self::read`], and where a key of this configuration is missing, so that a file that is not yet
    /// written to its end is refused. Keys that only a start needs may be missing.
    pub fn read_replacement(&self, text: &str) -> Result<LoadedConfig, ConfigError> {
        let replacement: Value = serde_json::from_str(text).map_err(ConfigError::Malformed)?;
        let missing_key = ["name", "limits"].into_iter().find(|key| replacement.get(*key).is_none());
        if let Some(key) = missing_key {
            return Err(ConfigError::MissingKey { key: key.to_owned() });
        }
        let settings = replacement.get("settings").unwrap_or(&Value::Null);
        match find_missing_key(&self.settings, settings, "settings") {
            Some(key) => Err(ConfigError::MissingKey { key }),
            None => Self::read(text),
        }
    }

    /// The seed as a number.
    ///
    /// # Errors
    ///
    /// Where it is not a hex number of 64 bits.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::InvalidSeed)
    }
}

/// A key of `before` that `after` lacks, with the keys of the objects around it. Inner objects are compared
/// as well; for arrays see [`find_missing_entry_key`].
fn find_missing_key(before: &Value, after: &Value, path: &str) -> Option<String> {
    match (before, after) {
        (Value::Null, _) => None,
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            let replacement = after.get(key).unwrap_or(&Value::Null);
            find_missing_key(value, replacement, &format!("{path}.{key}"))
        }),
        (Value::Array(before), Value::Array(after)) => find_missing_entry_key(before, after, path),
        (Value::Object(_) | Value::Array(_), _) | (_, Value::Null) => Some(path.to_owned()),
        _ => None,
    }
}

/// A key that every entry of `before` has and some entry of `after` lacks.
fn find_missing_entry_key(before: &[Value], after: &[Value], path: &str) -> Option<String> {
    let first = before.first().and_then(Value::as_object)?;
    let in_every_entry = |key: &&String| before.iter().all(|entry| entry.get(key.as_str()).is_some());
    let required: Vec<_> = first.keys().filter(in_every_entry).collect();
    let lacks = |entry: &Value, key: &str| entry.get(key).is_none_or(Value::is_null);
    let missing = after.iter().find_map(|entry| required.iter().find(|key| lacks(entry, key)));
    missing.map(|key| format!("{path}.{key}"))
}
