//! The endpoint list as it was last received, and the ids of its servers.
//!
//! Ids are hashes of names, so that all proxy instances order servers alike. The id of a server that was
//! removed stays known until the next update, so that its removal can still be logged and passed on by name.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use super::error::DiscoveryError;
use crate::api::{Endpoint, EndpointState, EndpointUpdate, GroupId, ServerId, ZoneId};
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::net::driver::Clock;
use crate::settings::NameTable;

/// How many names are kept of servers that the list has or had.
const MAX_RECENTLY_LISTED: usize = 4096;
/// The state of an entry whose server was removed from the list.
const REMOVED_STATE: &str = "Gone";

/// Converts endpoint lists to updates for the routing engine, and maps ids to names.
pub struct EndpointRegistry {
    name_table: NameTable,
    clock: Clock,
    names_by_id: BTreeMap<ServerId, String>,
    /// Servers that the last update removed.
    removed: Vec<ServerId>,
    /// The current list, by server name.
    cached: BTreeMap<String, ListedEndpoint>,
    /// The names that were listed last, the current ones included.
    recently_listed: VecDeque<String>,
    revision: u64,
    is_live: bool,
}

/// A registry that discovery and the admin API share.
pub type SharedEndpointRegistry = Rc<RefCell<EndpointRegistry>>;

/// An update of the endpoint list.
pub struct RegistryUpdate {
    /// The update for the routing engine.
    pub update: EndpointUpdate,
    /// The address of each server in it.
    pub addresses: Vec<(ServerId, SocketAddr)>,
}

impl EndpointRegistry {
    /// Creates a registry without a list.
    pub fn new(name_table: NameTable, clock: Clock) -> Self {
        Self {
            name_table,
            clock,
            names_by_id: BTreeMap::new(),
            removed: Vec::new(),
            cached: BTreeMap::new(),
            recently_listed: VecDeque::new(),
            revision: 0,
            is_live: false,
        }
    }

    /// Applies a list that the service sent.
    ///
    /// # Errors
    /// [`DiscoveryError::RevisionWentBack`] for changes whose revision is older than the cached one. They do
    /// not apply to the cached list, and the next watch starts with the complete list.
    pub fn apply(&mut self, list: EndpointList) -> Result<RegistryUpdate, DiscoveryError> {
        if !list.complete && list.revision < self.revision {
            let error = DiscoveryError::RevisionWentBack { cached: self.revision, received: list.revision };
            self.revision = 0;
            return Err(error);
        }
        self.is_live = true;
        let is_complete = list.complete;
        let (entries, addresses) = self.merge_list(list);
        let update =
            if is_complete { EndpointUpdate::Full(entries) } else { EndpointUpdate::Changes(entries) };
        Ok(RegistryUpdate { update, addresses })
    }

    /// Applies a list from the configuration or from the predecessor process.
    pub fn apply_cached(&mut self, list: EndpointList) -> RegistryUpdate {
        let (entries, addresses) = self.merge_list(list);
        RegistryUpdate { update: EndpointUpdate::Cached(entries), addresses }
    }

    /// Merges a list into the cached one. Returns its entries and their addresses.
    fn merge_list(&mut self, list: EndpointList) -> (Vec<Endpoint>, Vec<(ServerId, SocketAddr)>) {
        self.revision = list.revision;
        for id in self.removed.drain(..) {
            self.names_by_id.remove(&id);
        }
        if list.complete {
            self.cached.clear();
        }
        let mut addresses = Vec::new();
        let mut entries = Vec::new();
        for listed in list.endpoints {
            let server = self.register(&listed);
            addresses.push((server, listed.address));
            entries.push(self.endpoint(server, &listed));
        }
        self.note_removed(&entries, list.complete);
        (entries, addresses)
    }

    /// Updates the cached list, and gives the server an id.
    fn register(&mut self, listed: &ListedEndpoint) -> ServerId {
        if listed.state == REMOVED_STATE {
            self.cached.remove(&listed.name);
        } else {
            self.cached.insert(listed.name.clone(), listed.clone());
        }
        self.assign_id(&listed.name)
    }

    fn endpoint(&mut self, server: ServerId, listed: &ListedEndpoint) -> Endpoint {
        let started_unix_ms = Some(listed.started_unix_ms).filter(|unix_ms| *unix_ms > 0.0);
        Endpoint {
            server,
            zone: self.name_table.zone(&listed.zone),
            machine_kind: self.name_table.machine_kind(&listed.machine_kind),
            group: GroupId(listed.group),
            listed_primary: listed.role.as_deref() == Some("read-write"),
            state: match listed.state.as_str() {
                "Ready" => EndpointState::Healthy,
                REMOVED_STATE => EndpointState::Removed,
                // A server in an unknown state gets no new attempts.
                _ => EndpointState::Draining,
            },
            relative_capacity: listed.relative_capacity.unwrap_or(1.0),
            started_at: started_unix_ms.map(|unix_ms| self.clock.from_unix_ms(unix_ms)),
        }
    }

    fn note_removed(&mut self, entries: &[Endpoint], is_complete: bool) {
        let removed = entries.iter().filter(|entry| entry.state == EndpointState::Removed);
        self.removed.extend(removed.map(|entry| entry.server));
        if is_complete {
            let listed: BTreeSet<_> = entries.iter().map(|entry| entry.server).collect();
            self.removed.extend(self.names_by_id.keys().filter(|id| !listed.contains(id)));
        }
    }

    /// The number of the zone of this name.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.name_table.zone(name)
    }

    /// The current list.
    pub fn endpoint_list(&self) -> EndpointList {
        EndpointList {
            revision: self.revision,
            complete: true,
            endpoints: self.cached.values().cloned().collect(),
        }
    }

    /// The revision of the current list; 0 if the next watch must start with the complete list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// The ids and names of the servers in the list.
    pub fn names(&self) -> Vec<(u32, String)> {
        self.names_by_id.iter().map(|(id, name)| (id.0, name.clone())).collect()
    }

    /// The name of a server, if it is in the list.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.names_by_id.get(&server).map(String::as_str)
    }

    /// Whether the service itself has confirmed the list since the process started.
    pub fn is_live(&self) -> bool {
        self.is_live
    }

    /// Records that the service has confirmed the current list.
    pub(super) fn mark_live(&mut self) {
        self.is_live = true;
    }

    /// Whether the list has a server or had it recently.
    pub fn has_listed(&self, name: &str) -> bool {
        self.recently_listed.iter().any(|listed| listed == name)
    }

    /// The id of a server, listed or not: a hash of its name, or the next free number if another server has
    /// that one.
    pub fn server_id(&self, name: &str) -> ServerId {
        let mut id = ServerId(fnv1a(name));
        while self.names_by_id.get(&id).is_some_and(|other| other != name) {
            id = ServerId(id.0.wrapping_add(1));
        }
        id
    }

    fn assign_id(&mut self, name: &str) -> ServerId {
        let id = self.server_id(name);
        if self.names_by_id.insert(id, name.to_owned()).is_none() {
            log::info!("server {} is {name}", id.0);
            if !self.has_listed(name) {
                self.recently_listed.push_back(name.to_owned());
                let excess = self.recently_listed.len().saturating_sub(MAX_RECENTLY_LISTED);
                self.recently_listed.drain(..excess);
            }
        }
        id
    }
}

/// The 32-bit FNV-1a hash.
fn fnv1a(text: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
