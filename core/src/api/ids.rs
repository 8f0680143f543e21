//! Identifiers of requests, attempts, servers and of entries in the caller's tables.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    };
}

id!(/// A client request; never reused.
    RequestId(u64));
id!(/// A database server; stays the same over restarts of its process.
    ServerId(u32));
id!(/// A replica set: a primary and its replicas.
    GroupId(u64));
id!(/// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(usize));
id!(/// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(usize));
id!(/// A zone, by the caller's own numbering.
    ZoneId(usize));
id!(/// A machine kind, by the caller's own numbering.
    MachineKindId(usize));
id!(/// Number of an attempt within its request, from 0 in the order of sending.
    AttemptNumber(u32));
id!(/// A timer; the engine chooses the number.
    TimerId(u64));

/// Identifies one attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within it.
    pub number: AttemptNumber,
}
