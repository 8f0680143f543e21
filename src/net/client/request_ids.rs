//! The ids that clients gave to their requests in flight. No two requests in flight may share one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tokio::net::TcpStream;

use super::connection_table::ConnectionNumber;
use crate::api::RequestId;
use crate::net::driver::ClientHandle;

/// Which request has an id.
struct Owner {
    connection: ConnectionNumber,
    request: RequestId,
    client: Rc<TcpStream>,
}

/// What is known of an id that a statement names.
pub(super) enum IdStatus {
    /// No request in flight has it.
    Free,
    /// A request has it whose client has closed its connection.
    Abandoned(RequestId),
    /// A request has it whose client is connected.
    InUse,
}

/// Ids of requests in flight.
#[derive(Default)]
pub(super) struct RequestIds(RefCell<HashMap<String, Owner>>);

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

    /// Gives an id to a request until the guard is dropped, or until another request takes it over.
    pub(super) fn claim(
        &self,
        id: String,
        connection: ConnectionNumber,
        request: RequestId,
        client: Rc<TcpStream>,
    ) -> IdGuard<'_> {
        self.0.borrow_mut().insert(id.clone(), Owner { connection, request, client });
        IdGuard { ids: self, id, connection }
    }
}

/// A request's id.
pub(super) struct IdGuard<'i> {
    ids: &'i RequestIds,
    id: String,
    connection: ConnectionNumber,
}

impl Drop for IdGuard<'_> {
    fn drop(&mut self) {
        let mut ids = self.ids.0.borrow_mut();
        if ids.get(&self.id).is_some_and(|owner| owner.connection == self.connection) {
            ids.remove(&self.id);
        }
    }
}
