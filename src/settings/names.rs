//! The names behind the engine's indices of classes, tenants, zones and machine kinds.

use serde_json::Value;

use super::error::ConfigError;
use crate::api::{ClassId, MachineKindId, TenantId, ZoneId};

/// Names by index. The settings' names come first; an endpoint list may add zones and machine kinds.
#[derive(Debug, Clone)]
pub struct NameTable {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

impl NameTable {
    /// The names in a settings object.
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

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        find(&self.classes, name).map(ClassId)
    }

    /// The names of the classes, by index.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The name of a zone, if it has one.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.get(zone.0).map(String::as_str)
    }

    /// The tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        find(&self.tenants, name).map(TenantId)
    }

    /// The zone with this name; a new name gets the next index.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(find_or_add(&mut self.zones, name))
    }

    /// The machine kind with this name; a new name gets the next index.
    pub fn kind(&mut self, name: &str) -> MachineKindId {
        MachineKindId(find_or_add(&mut self.machine_kinds, name))
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

fn find(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn find_or_add(names: &mut Vec<String>, name: &str) -> usize {
    find(names, name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}
