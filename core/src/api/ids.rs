//! Identifiers of requests, attempts and servers, and indices into the caller's tables.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    };
}

id!(/// Identifies a client request; never reused.
    RequestId(u64));
id!(/// Identifies a database server; unchanged when its process restarts.
    ServerId(u32));
id!(/// Identifies a replica set: a primary and its replicas.
    GroupId(u64));
id!(/// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(usize));
id!(/// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(usize));
id!(/// Index of a zone in the caller's table.
    ZoneId(usize));
id!(/// Index of a machine kind in the caller's table.
    MachineKindId(usize));
id!(/// Number of an attempt within its request, from 0 in sending order.
    AttemptNumber(u32));
id!(/// Identifies a timer; the engine chooses the number.
    TimerId(u64));

/// Identifies an attempt across all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub number: AttemptNumber,
}
