//! The classes that statements may name: those in force, and for a while those that earlier settings had.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::api::{Class, ClassId, Settings};
use crate::net::server::PgDriver;

/// Time for which a class that new settings dropped may still be named by requests on their way.
const DROPPED_CLASS_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// A class with the id that it has in the driver.
#[derive(Debug, Clone)]
pub struct NamedClass {
    /// Its id.
    pub id: ClassId,
    /// Its settings.
    pub class: Class,
}

struct DroppedClass {
    named: NamedClass,
    expires_at: Instant,
}

/// Classes by name.
pub(super) struct ClassTable {
    current: HashMap<String, NamedClass>,
    dropped: HashMap<String, DroppedClass>,
}

impl ClassTable {
    pub(super) fn new(current: HashMap<String, NamedClass>) -> Self {
        Self { current, dropped: HashMap::new() }
    }

    /// The class of a name, if it is in force or was until a moment ago.
    pub(super) fn get(&self, name: &str) -> Option<NamedClass> {
        let dropped = self.dropped.get(name).filter(|dropped| Instant::now() < dropped.expires_at);
        self.current.get(name).or(dropped.map(|dropped| &dropped.named)).cloned()
    }

    /// Takes the classes of new settings, which go by `names`. A class that is what it was keeps its id.
    pub(super) fn reconfigure(&mut self, driver: &PgDriver, settings: Settings, names: &[String]) {
        let classes = settings.classes.clone();
        let kept: Vec<_> =
            names.iter().zip(&classes).map(|(name, class)| self.id_of_unchanged(name, class)).collect();
        self.drop_current();
        let reserved: Vec<_> = self.dropped.values().map(|dropped| dropped.named.id).collect();
        let ids = driver.reconfigure(settings, &kept, &reserved);
        let named = ids.into_iter().zip(classes).map(|(id, class)| NamedClass { id, class });
        self.current = names.iter().cloned().zip(named).collect();
    }

    fn id_of_unchanged(&self, name: &str, class: &Class) -> Option<ClassId> {
        self.current.get(name).filter(|known| known.class == *class).map(|known| known.id)
    }

    fn drop_current(&mut self) {
        let now = Instant::now();
        let expires_at = now + DROPPED_CLASS_GRACE_PERIOD;
        self.dropped.retain(|_, dropped| now < dropped.expires_at);
        let current = std::mem::take(&mut self.current).into_iter();
        self.dropped.extend(current.map(|(name, named)| (name, DroppedClass { named, expires_at })));
    }
}
