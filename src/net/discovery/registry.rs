//! The current endpoint list, and the ids of its servers.
//!
//! A server's id is a hash of its name, so that all proxy instances order the servers in the same way. The id
//! of a removed server stays registered until the next update, so that the removal can be logged and reported
//! to the peer by name.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use super::error::DiscoveryError;
use super::list_log::{ListSource, StateCounts};
use crate::api::{Endpoint, EndpointState, EndpointUpdate, GroupId, ServerId, ZoneId};
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::net::driver::Clock;
use crate::settings::NameTable;

/// Largest number of server names that are kept to recognize servers that the list contains or contained.
const MAX_RECENTLY_LISTED: usize = 4096;
/// State of an entry whose server was removed from the list.
const REMOVED_STATE: &str = "Gone";

/// Stores the endpoint list, converts lists to updates for the routing engine, and maps ids to names.
pub struct EndpointRegistry {
    name_table: NameTable,
    clock: Clock,
    /// Names of the servers in the list and of those that the last update removed.
    names_by_id: BTreeMap<ServerId, String>,
    /// Servers that the last update removed.
    removed: Vec<ServerId>,
    /// Entries of the current list, by server name.
    endpoints_by_name: BTreeMap<String, ListedEndpoint>,
    /// Names of servers that the list contains or contained, oldest first.
    recently_listed: VecDeque<String>,
    /// Revision of the current list; 0 if the next watch must start with the complete list.
    revision: u64,
    /// Whether the service has confirmed the list since this process started.
    is_confirmed: bool,
}

/// The registry that discovery, the admin API and hot restart share.
pub type SharedEndpointRegistry = Rc<RefCell<EndpointRegistry>>;

/// An update of the endpoint list.
pub struct RegistryUpdate {
    /// The update for the routing engine.
    pub update: EndpointUpdate,
    /// Addresses of the servers in the update.
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
            endpoints_by_name: BTreeMap::new(),
            recently_listed: VecDeque::new(),
            revision: 0,
            is_confirmed: false,
        }
    }

    /// Applies a list that the service sent.
    ///
    /// # Errors
    ///
    /// Returns [`DiscoveryError::RevisionWentBack`] for changes whose revision is older than that of the
    /// current list. Such changes are not applied, and the next watch starts with the complete list.
    pub fn apply(&mut self, list: EndpointList) -> Result<RegistryUpdate, DiscoveryError> {
        if !list.complete && list.revision < self.revision {
            let error = DiscoveryError::RevisionWentBack { cached: self.revision, received: list.revision };
            self.revision = 0;
            return Err(error);
        }
        self.is_confirmed = true;
        let is_complete = list.complete;
        let source = if is_complete { ListSource::Full } else { ListSource::Changes };
        let (entries, addresses) = self.merge_list(list, source);
        let update =
            if is_complete { EndpointUpdate::Full(entries) } else { EndpointUpdate::Changes(entries) };
        Ok(RegistryUpdate { update, addresses })
    }

    /// Applies a list from the configuration or from the predecessor, which the service has not confirmed.
    pub fn apply_cached(&mut self, list: EndpointList) -> RegistryUpdate {
        let (entries, addresses) = self.merge_list(list, ListSource::Cached);
        RegistryUpdate { update: EndpointUpdate::Cached(entries), addresses }
    }

    /// Merges a list into the current list. Returns the entries of the given list and their addresses.
    fn merge_list(
        &mut self,
        list: EndpointList,
        source: ListSource,
    ) -> (Vec<Endpoint>, Vec<(ServerId, SocketAddr)>) {
        let previous_revision = std::mem::replace(&mut self.revision, list.revision);
        for id in self.removed.drain(..) {
            self.names_by_id.remove(&id);
        }
        if list.complete {
            self.endpoints_by_name.clear();
        }
        let known_before = self.names_by_id.len();
        let mut addresses = Vec::new();
        let mut entries = Vec::new();
        for listed in list.endpoints {
            let server = self.register(&listed);
            addresses.push((server, listed.address));
            entries.push(self.convert_endpoint(server, &listed));
        }
        let added = self.names_by_id.len() - known_before;
        self.record_removed(&entries, list.complete);
        let removed = self.removed.len();
        log::debug!(
            "endpoint list received: kind={source} revision={} previous_revision={previous_revision} {} \
             added={added} removed={removed} total={}",
            self.revision,
            StateCounts::of(&entries),
            self.endpoints_by_name.len(),
        );
        (entries, addresses)
    }

    /// Updates the current list with an entry, and returns the server's id.
    fn register(&mut self, listed: &ListedEndpoint) -> ServerId {
        if listed.state == REMOVED_STATE {
            self.endpoints_by_name.remove(&listed.name);
        } else {
            self.endpoints_by_name.insert(listed.name.clone(), listed.clone());
        }
        self.assign_id(&listed.name)
    }

    /// Converts an entry of the list to an endpoint for the routing engine.
    fn convert_endpoint(&mut self, server: ServerId, listed: &ListedEndpoint) -> Endpoint {
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
                // `Terminating`, or a state that this build does not know: the server gets no new attempts.
                _ => EndpointState::Draining,
            },
            relative_capacity: listed.relative_capacity.unwrap_or(1.0),
            started_at: started_unix_ms.map(|unix_ms| self.clock.from_unix_ms(unix_ms)),
        }
    }

    /// Records the servers that an update removes: those marked as removed, and those that a complete list
    /// does not contain.
    fn record_removed(&mut self, entries: &[Endpoint], is_complete: bool) {
        let removed = entries.iter().filter(|entry| entry.state == EndpointState::Removed);
        self.removed.extend(removed.map(|entry| entry.server));
        if is_complete {
            let listed: BTreeSet<_> = entries.iter().map(|entry| entry.server).collect();
            self.removed.extend(self.names_by_id.keys().filter(|id| !listed.contains(id)));
        }
    }

    /// Returns the id of the zone with this name. Adds the name to the name table if it is new.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.name_table.zone(name)
    }

    /// Returns the current list.
    pub fn endpoint_list(&self) -> EndpointList {
        EndpointList {
            revision: self.revision,
            complete: true,
            endpoints: self.endpoints_by_name.values().cloned().collect(),
        }
    }

    /// Returns the revision of the current list; 0 if the next watch must start with the complete list.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the ids and names of the servers in the list, including those that the last update removed.
    pub fn server_names(&self) -> Vec<(u32, String)> {
        self.names_by_id.iter().map(|(id, name)| (id.0, name.clone())).collect()
    }

    /// Returns the name of a server, or `None` if the server is neither in the list nor among those that the
    /// last update removed.
    pub fn server_name(&self, server: ServerId) -> Option<&str> {
        self.names_by_id.get(&server).map(String::as_str)
    }

    /// Returns whether the service has confirmed the list since this process started.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Records that the service has confirmed the current list.
    pub(super) fn mark_confirmed(&mut self) {
        self.is_confirmed = true;
    }

    /// Returns whether the list contains a server with this name, or contained one recently.
    pub fn has_listed(&self, name: &str) -> bool {
        self.recently_listed.iter().any(|listed| listed == name)
    }

    /// Returns the id of a server, listed or not: the hash of its name, or the next free number if that id
    /// belongs to another server.
    pub fn server_id(&self, name: &str) -> ServerId {
        let mut id = ServerId(fnv1a(name));
        while self.names_by_id.get(&id).is_some_and(|other| other != name) {
            id = ServerId(id.0.wrapping_add(1));
        }
        id
    }

    /// Registers the id of a listed server and returns it.
    fn assign_id(&mut self, name: &str) -> ServerId {
        let id = self.server_id(name);
        if self.names_by_id.insert(id, name.to_owned()).is_none() {
            log::info!("server id {} assigned to {name}", id.0);
            if !self.has_listed(name) {
                self.recently_listed.push_back(name.to_owned());
                let excess = self.recently_listed.len().saturating_sub(MAX_RECENTLY_LISTED);
                self.recently_listed.drain(..excess);
            }
        }
        id
    }
}

/// Returns the 32-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
