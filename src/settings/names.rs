//! Maps names of classes, tenants, zones and machine kinds to the indices by which the routing engine knows
//! them.

use serde_json::Value;

use super::error::ConfigError;
use crate::api::{ClassId, MachineKindId, TenantId, ZoneId};

/// Names of classes, tenants, zones and machine kinds, by index. The names in the settings come first.
/// Endpoint lists may add zones and machine kinds.
#[derive(Debug, Clone)]
pub struct NameTable {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

impl NameTable {
    /// Reads the names in a settings object.
    pub(super) fn read(settings: &Value) -> Result<Self, ConfigError> {
        let string = |entry: &Value| entry.as_str().map(str::to_owned);
        let name_of_object = |entry: &Value| entry.get("Name").and_then(string);
        Ok(Self {
            classes: read_names(settings, "Classes", name_of_object)?,
            tenants: read_names(settings, "Tenants", name_of_object)?,
            zones: read_names(settings, "Zones", string)?,
            machine_kinds: read_names(settings, "Kinds", string)?,
        })
    }

    /// Returns the class of the given name; `None` if the settings have no such class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        find_index(&self.classes, name).map(ClassId)
    }

    /// Returns the names of the classes, by index.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Returns the name of a zone; `None` if the table does not have the zone.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.get(zone.0).map(String::as_str)
    }

    /// Returns the tenant of the given name; `None` if the settings have no such tenant.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        find_index(&self.tenants, name).map(TenantId)
    }

    /// Returns the zone of the given name. A new name is added with the next index.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(find_or_insert(&mut self.zones, name))
    }

    /// Returns the machine kind of the given name. A new name is added with the next index.
    pub fn machine_kind(&mut self, name: &str) -> MachineKindId {
        MachineKindId(find_or_insert(&mut self.machine_kinds, name))
    }
}

fn read_names(
    settings: &Value,
    key: &'static str,
    name_of: impl Fn(&Value) -> Option<String>,
) -> Result<Vec<String>, ConfigError> {
    let entries = settings.get(key).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    entries.iter().map(|entry| name_of(entry).ok_or(ConfigError::UnnamedEntry { key })).collect()
}

fn find_index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

fn find_or_insert(names: &mut Vec<String>, name: &str) -> usize {
    find_index(names, name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
