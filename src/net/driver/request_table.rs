//! The requests that have no final response yet.
//!
//! Removing a request from the table gives the only handle to answer it, so that each request gets at most
//! one final response. Ids are assigned in the order of submission and never reused.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::request::{ClientHandle, Response};
use crate::api::{AttemptNumber, ClassId, RequestId};

/// A request in flight. Times are on the proxy's clock.
pub(super) struct OpenRequest<Q, A> {
    /// The id that its client gave it, for the log.
    pub(super) client_request_id: String,
    pub(super) query: Rc<Q>,
    pub(super) client: Option<Rc<dyn ClientHandle>>,
    pub(super) class: ClassId,
    /// How old the data that it reads may be, if its class bounds that.
    pub(super) staleness_bound: Option<Duration>,
    pub(super) submitted_at: Duration,
    pub(super) deadline: Duration,
    /// Attempts numbered so far, those included that were not sent.
    pub(super) attempts: u32,
    /// The limit on them when the request was submitted.
    pub(super) max_attempts: u32,
    /// The session whose write it is, if sessions are tracked.
    pub(super) writing_session: Option<Rc<str>>,
    pub(super) response: oneshot::Sender<Response<A>>,
}

impl<Q, A> OpenRequest<Q, A> {
    /// Numbers its next attempt.
    pub(super) fn next_attempt(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        number
    }

    /// Whether its attempt limit admits the attempt of this number.
    pub(super) fn allows_attempt(&self, number: AttemptNumber) -> bool {
        number.0 < self.max_attempts
    }

    /// Gives the client its final response. A client that no longer waits for it is not an error.
    pub(super) fn respond(self, response: Response<A>) {
        let _ = self.response.send(response);
    }
}

/// All requests in flight.
pub(super) struct RequestTable<Q, A> {
    open: HashMap<RequestId, OpenRequest<Q, A>>,
    last_id: u64,
}

impl<Q, A> RequestTable<Q, A> {
    pub(super) fn new() -> Self {
        Self { open: HashMap::new(), last_id: 0 }
    }

    /// Adds a request and assigns its id.
    pub(super) fn insert(&mut self, request: OpenRequest<Q, A>) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.open.insert(id, request);
        id
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest<Q, A>> {
        self.open.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<Q, A>> {
        self.open.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<OpenRequest<Q, A>> {
        self.open.remove(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// The class of each request.
    pub(super) fn classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        self.open.values().map(|request| request.class)
    }
}
