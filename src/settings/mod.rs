//! Reads the settings object and the proxy's configuration file, both JSON.
//!
//! Only this module knows the names of the keys and of their string values. The settings object has the same
//! format in the configuration file and in the simulator's `ENLIST` message. Unknown keys are ignored. An
//! absent key has a neutral default, or is an error if it is required.

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
pub use self::reader::duration_from_millis;

use self::reader::ObjectReader;
use crate::api::Settings;

/// Settings that the connections to clients and data servers need, and the routing engine does not.
#[derive(Debug, Clone)]
pub struct ConnectionSettings {
    /// Names of the classes, tenants, zones and machine kinds, which the routing engine knows by index.
    pub names: NameTable,
    /// Time on the simulator's clock, in milliseconds, from which its replication positions are counted.
    pub position_base_ms: f64,
    /// Whether every response carries a replication position.
    pub responses_carry_position: bool,
    /// Names of the columns of a load report, in order.
    pub load_report_columns: Vec<String>,
    /// Idle time after which data servers close a connection; zero if they never do.
    pub server_idle_timeout: Duration,
}

/// Reads a settings object.
///
/// # Errors
///
/// Returns an error that names the first key with an invalid value. Does not check whether the routing
/// engine's settings are in range; see [`Settings::validate`].
pub fn read(object: &Value) -> Result<(Settings, ConnectionSettings), ConfigError> {
    let mut names = NameTable::read(object)?;
    let object = ObjectReader(object);
    let settings = engine::read_settings(object, &mut names)?;
    let load_report_columns = object.object("Report").array("Columns").iter().filter_map(Value::as_str);
    let connections = ConnectionSettings {
        names,
        position_base_ms: object.object("Domain").number_or("ZeroMs", 0.0)?,
        responses_carry_position: settings.responses_carry_position,
        load_report_columns: load_report_columns.map(str::to_owned).collect(),
        server_idle_timeout: object.object("Limits").duration("ConnIdleMs")?,
    };
    Ok((settings, connections))
}
