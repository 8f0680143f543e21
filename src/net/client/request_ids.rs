//! Client-assigned ids of the requests in flight. No two requests in flight may have the same id.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::net::TcpStream;

use super::connection_table::ConnectionId;
use crate::api::RequestId;
use crate::net::driver::ClientHandle;

/// Request that has an id, and its connection.
struct IdOwner {
    connection: ConnectionId,
    request: RequestId,
    client: Rc<TcpStream>,
}

/// Status of an id that a statement names.
pub(super) enum IdStatus {
    /// No request in flight has the id.
    Free,
    /// A request in flight has the id, and its client has closed the connection.
    Abandoned(RequestId),
    /// A request in flight has the id, and its client is connected.
    InUse,
}

/// Table of the ids of requests in flight.
#[derive(Default)]
pub(super) struct RequestIds(RefCell<HashMap<String, IdOwner>>);

impl RequestIds {
    pub(super) fn len(&self) -> usize {
        self.0.borrow().len()
    }

    pub(super) fn status(&self, id: &str) -> IdStatus {
        match self.0.borrow().get(id) {
            None => IdStatus::Free,
            Some(owner) if owner.client.is_disconnected() => IdStatus::Abandoned(owner.request),
            Some(_) => IdStatus::InUse,
        }
    }

    /// Registers the id of a request until the guard is dropped, or until another request registers the id.
    pub(super) fn register(
        &self,
        id: String,
        connection: ConnectionId,
        request: RequestId,
        client: Rc<TcpStream>,
    ) -> IdGuard<'_> {
        self.0.borrow_mut().insert(id.clone(), IdOwner { connection, request, client });
        IdGuard { ids: self, id, connection }
    }
}

/// Removes the id of a request when dropped, unless another connection's request has registered the id.
pub(super) struct IdGuard<'i> {
    ids: &'i RequestIds,
    id: String,
    connection: ConnectionId,
}

impl Drop for IdGuard<'_> {
    fn drop(&mut self) {
        let mut ids = self.ids.0.borrow_mut();
        if ids.get(&self.id).is_some_and(|owner| owner.connection == self.connection) {
            ids.remove(&self.id);
        }
    }
}
