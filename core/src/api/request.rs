//! A client request as the engine sees it.

use std::time::Duration;

use super::ids::{ClassId, GroupId, RequestId, TenantId};

/// A client request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The replica set it is for.
    pub group: GroupId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Time until the client abandons it.
    pub time_left: Duration,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Size of its statement in bytes, where that is known.
    pub statement_bytes: u64,
    /// Expected work, as time on a standard core.
    pub expected_work: Option<Duration>,
    /// The session.
    pub session: Option<String>,
    /// Time since the commit of the session's last write, where clients send it with each read.
    pub last_write_age: Option<Duration>,
}
