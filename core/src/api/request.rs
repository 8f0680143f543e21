//! Client requests as the engine receives them.

use std::time::Duration;

use super::ids::{ClassId, GroupId, RequestId, TenantId};

/// Client request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Replica set that the request is for.
    pub group: GroupId,
    /// Tenant that sent the request; `None` if the service has no tenants.
    pub tenant: Option<TenantId>,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// Whether the client marked the request as a retry. The engine does not use it.
    pub is_retry: bool,
    /// Size of the statement in bytes; 0 if unknown.
    pub statement_bytes: u64,
    /// Expected work, as processing time on a standard core; `None` if unknown. The engine does not use it.
    pub expected_work: Option<Duration>,
    /// Session that the request belongs to, if any.
    pub session: Option<String>,
    /// Time since the commit of the session's last write; `None` unless the client sends it.
    pub last_write_age: Option<Duration>,
}
