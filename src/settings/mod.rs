//! Reads the settings object and the proxy's configuration file, both JSON.
//!
//! The keys and words of both are spelled here and nowhere else. The settings object is the same in the
//! configuration file and in the simulator's first message. Keys that are not known are ignored. A key that
//! is absent has a neutral default, unless reading it is an error.

mod classes;
mod config;
mod engine;
mod error;
mod names;
mod reader;

use std::time::Duration;

use serde_json::Value;

pub use self::config::{Config, LoadedConfig, ResourceLimits, MIN_SOCKETS};
pub use self::error::ConfigError;
pub use self::names::NameTable;
pub use self::reader::millis;

use self::reader::ObjectReader;
use crate::api::Settings;

/// Settings of the connections to clients and servers, which the engine does not need.
#[derive(Debug, Clone)]
pub struct ConnectionSettings {
    /// The names behind the engine's indices.
    pub names: NameTable,
    /// Clock time in milliseconds from which the simulator's positions count.
    pub zero_ms: f64,
    /// Whether every response carries a replication position.
    pub responses_carry_position: bool,
    /// The names of the values in a load report, in order.
    pub load_report_columns: Vec<String>,
    /// Idle time after which servers close a connection; zero for never.
    pub server_idle_timeout: Duration,
}

/// Reads a settings object.
///
/// # Errors
///
/// Names the first key whose value cannot be used. The ranges of the engine's settings are not checked.
pub fn read(object: &Value) -> Result<(Settings, ConnectionSettings), ConfigError> {
    let mut names = NameTable::read(object)?;
    let object = ObjectReader(object);
    let settings = engine::read_settings(object, &mut names)?;
    let load_report_columns = object.object("Report").array("Columns").iter().filter_map(Value::as_str);
    let connections = ConnectionSettings {
        names,
        zero_ms: object.object("Domain").number_or("ZeroMs", 0.0)?,
        responses_carry_position: settings.responses_carry_position,
        load_report_columns: load_report_columns.map(str::to_owned).collect(),
        server_idle_timeout: object.object("Limits").duration("ConnIdleMs")?,
    };
    Ok((settings, connections))
}
