//! Table of the requests that have no final response yet.
//!
//! The sender of the response is part of the table's entry. Only the removal of the entry gives access to the
//! sender, so a request gets at most one final response. Ids are assigned in the order of submission and
//! never reused.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::request::{ClientHandle, Response};
use crate::api::{AttemptNumber, ClassId, GroupId, RequestId};

/// A request in flight. Times are on the proxy's clock.
pub(super) struct OpenRequest<Q, R> {
    /// Id that the client assigned.
    pub(super) client_request_id: String,
    pub(super) query: Rc<Q>,
    pub(super) client: Option<Rc<dyn ClientHandle>>,
    pub(super) class: ClassId,
    pub(super) group: GroupId,
    /// Largest permitted age of the data that the request reads; `None` if the class has no bound.
    pub(super) staleness_bound: Option<Duration>,
    pub(super) submitted_at: Duration,
    pub(super) deadline: Duration,
    /// Number of attempts so far, including attempts that were numbered but not sent.
    pub(super) attempts: u32,
    /// Attempt limit of the settings that were in force when the request was submitted.
    pub(super) max_attempts: u32,
    /// Session of the write; `None` for a read, or if session tokens are not tracked.
    pub(super) writing_session: Option<Rc<str>>,
    pub(super) response: oneshot::Sender<Response<R>>,
}

impl<Q, R> OpenRequest<Q, R> {
    /// Returns the number of the next attempt and counts that attempt.
    pub(super) fn next_attempt(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        number
    }

    /// Returns whether the attempt limit admits the attempt with this number.
    pub(super) fn allows_attempt(&self, number: AttemptNumber) -> bool {
        number.0 < self.max_attempts
    }

    /// Sends the final response to the client. Ignores a client that no longer waits for it.
    pub(super) fn respond(self, response: Response<R>) {
        let _ = self.response.send(response);
    }
}

/// All requests in flight, by id.
pub(super) struct RequestTable<Q, R> {
    open: HashMap<RequestId, OpenRequest<Q, R>>,
    last_id: u64,
}

impl<Q, R> RequestTable<Q, R> {
    pub(super) fn new() -> Self {
        Self { open: HashMap::new(), last_id: 0 }
    }

    /// Adds a request. Returns the id that the table assigns to it.
    pub(super) fn insert(&mut self, request: OpenRequest<Q, R>) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.open.insert(id, request);
        id
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest<Q, R>> {
        self.open.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<Q, R>> {
        self.open.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<OpenRequest<Q, R>> {
        self.open.remove(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns the class of each request.
    pub(super) fn classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        self.open.values().map(|request| request.class)
    }
}
