//! The classes that statements may name: those of the current settings and, for a grace period, those that a
//! reload removed.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::api::{Class, ClassId, Consistency, Settings};
use crate::net::server::PgDriver;

/// Time for which requests may still name a class after a reload has removed it; such requests may already
/// have been sent.
const REMOVED_CLASS_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A class and its id in the driver.
#[derive(Debug, Clone)]
pub struct ConfiguredClass {
    /// Id that the driver assigned.
    pub id: ClassId,
    /// Settings of the class.
    pub class: Class,
}

/// A class that a reload removed, until its grace period ends.
struct RemovedClass {
    entry: ConfiguredClass,
    expires_at: Instant,
}

/// The current and the recently removed classes, by name.
pub(super) struct ClassTable {
    current: HashMap<String, ConfiguredClass>,
    removed: HashMap<String, RemovedClass>,
}

impl ClassTable {
    pub(super) fn new(current: HashMap<String, ConfiguredClass>) -> Self {
        Self { current, removed: HashMap::new() }
    }

    /// Returns the class with this name. A current class takes precedence over a removed one.
    pub(super) fn get(&self, name: &str) -> Option<ConfiguredClass> {
        let removed = self.removed.get(name).filter(|removed| Instant::now() < removed.expires_at);
        self.current.get(name).or(removed.map(|removed| &removed.entry)).cloned()
    }

    /// Returns the longest deadline of a class of the current settings; zero without classes. A class that a reload
    /// removed does not count: the platform ends a process by the settings in force.
    pub(super) fn longest_deadline(&self) -> Duration {
        self.current.values().map(|entry| entry.class.deadline).max().unwrap_or_default()
    }

    /// Returns the shortest deadline of a class of writes; `None` without such a class.
    pub(super) fn shortest_write_deadline(&self) -> Option<Duration> {
        let removed = self.removed.values().map(|removed| &removed.entry);
        let classes = self.current.values().chain(removed).map(|entry| &entry.class);
        let writes = classes.filter(|class| class.consistency == Consistency::Write);
        writes.map(|class| class.deadline).min()
    }

    /// Applies new settings. `names` holds the names of the classes in the order of the settings. A class
    /// whose name and settings are unchanged keeps its id.
    pub(super) fn reconfigure(&mut self, driver: &PgDriver, settings: Settings, names: &[String]) {
        let classes = settings.classes.clone();
        let kept_ids: Vec<_> =
            names.iter().zip(&classes).map(|(name, class)| self.id_of_unchanged(name, class)).collect();
        self.mark_current_removed();
        let reserved: Vec<_> = self.removed.values().map(|removed| removed.entry.id).collect();
        let ids = driver.reconfigure(settings, &kept_ids, &reserved);
        let entries = ids.into_iter().zip(classes).map(|(id, class)| ConfiguredClass { id, class });
        self.current = names.iter().cloned().zip(entries).collect();
    }

    fn id_of_unchanged(&self, name: &str, class: &Class) -> Option<ClassId> {
        self.current.get(name).filter(|known| known.class == *class).map(|known| known.id)
    }

    fn mark_current_removed(&mut self) {
        let now = Instant::now();
        let expires_at = now + REMOVED_CLASS_GRACE_PERIOD;
        self.removed.retain(|_, removed| now < removed.expires_at);
        let current = std::mem::take(&mut self.current).into_iter();
        self.removed.extend(current.map(|(name, entry)| (name, RemovedClass { entry, expires_at })));
    }
}
