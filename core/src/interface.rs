//! What the decision module is told and what it answers: settings, events and actions.
//!
//! Times are [`Duration`]s on the caller's own clock, whose zero is the caller's choice. Names do not occur:
//! classes, zones, tenants and machine kinds are indices into the caller's own tables.

use std::time::Duration;

use crate::failover::Tuning;
use crate::heritage::{Heritage, Word};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);
    };
}

id!(/// A client request, never used twice.
    RequestId(u64));
id!(/// A database server; stays the same over restarts of its process.
    ServerId(u32));
id!(/// A primary and its replicas.
    GroupId(u64));
id!(/// Index into [`Settings::classes`].
    ClassId(usize));
id!(/// Index into [`Settings::tenants`].
    TenantId(usize));
id!(/// A zone, by the caller's own numbering.
    ZoneId(usize));
id!(/// A machine kind, by the caller's own numbering.
    KindId(usize));
id!(/// Number of an attempt within its request, from 0 in the order of sending.
    Attempt(u32));
id!(/// A timer, chosen by the module.
    TimerId(u64));

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Repeatable,
    /// Again only where a repeat is discarded, and only for `window` from the first send that may have run.
    Keyed {
        /// Where a repeat is discarded.
        scope: DedupScope,
        /// How long it is remembered.
        window: Duration,
    },
    /// Never again once it may have run.
    Once,
}

/// Which servers discard the repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// Those in the zone of the server that had it first.
    Zone,
    /// Those of the request's own group.
    Group,
}

/// How recent the data must be that a class of requests works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Only the primary takes it.
    Write,
    /// All commits from before its arrival.
    Strong,
    /// All writes of its session.
    Causal,
    /// Data at most this old when it is sent.
    Bounded(Duration),
    /// Any member.
    Eventual,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Worth of one request.
    pub credit: f64,
    /// Time within which an answer earns its full worth.
    pub aim: Duration,
    /// How much the aim grows by each unit of the request's own work.
    pub aim_stretch: f64,
    /// Time after which the client gives up over all its tries.
    pub deadline: Duration,
    /// Share of the worth that a late answer earns.
    pub late_value: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// What data it needs.
    pub need: Need,
    /// Answers come as a stream.
    pub stream: bool,
}

/// One of those who share the cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all gateways, up to which its requests earn their full worth.
    pub quota_per_s: f64,
    /// Its share of the service.
    pub share: f64,
}

/// What a replica does with a read for which it is too far behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Checks {
    /// Answers from what it has.
    Silent,
    /// Turns it away at once.
    Bounce,
    /// Waits up to this long, then turns it away.
    Await(Duration),
}

/// Where the time of a session's last write comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionMarks {
    /// With each read.
    Brought,
    /// From the writes that this gateway saw answered.
    Kept,
}

/// How the list's role column follows the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleColumn {
    /// Some time late.
    Trailing,
    /// As it was at the start.
    Static,
    /// Not at all.
    Silent,
}

/// How servers report on themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// In every answer and probe result.
    Piggyback,
    /// In probe results only.
    Pull,
    /// Never.
    Silent,
}

/// How news of the server list arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// By itself.
    Automatic,
    /// After [`Action::Watch`] or [`Action::Fetch`] only.
    Subscribe,
}

/// What the site allows.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub attempts: u32,
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// [`Action::Tell`] is permitted.
    pub tell: bool,
    /// [`Action::Probe`] is permitted.
    pub probes: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Clients are shown retry-after hints.
    pub retry_after: bool,
    /// The longest hint that a client honours.
    pub max_retry_after: Duration,
    /// Time after which an unmade connection is a failed one.
    pub connect_timeout: Duration,
    /// Attempts that share a connection.
    pub streams_per_connection: u32,
}

/// Figures of the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Contract {
    /// How far past a try's deadline its final answer still counts.
    pub answer_slack: Duration,
    /// Without a subscription, the longest pause between questions to discovery.
    pub ask_every: Duration,
    /// Share of its capacity that a server has at least when it starts.
    pub cold_share: f64,
    /// Time after which it has all of it.
    pub warm_up: Duration,
    /// Multiple of its present capacity at which a cold server falls over...
    pub overload_factor: f64,
    /// ...when sent that much for so long.
    pub overload_for: Duration,
    /// Time within which sends to a draining server must have stopped.
    pub stop_within: Duration,
    /// Only an entry seen draining binds; one that is gone doesn't.
    pub only_draining_binds: bool,
}

impl Contract {
    /// The share of its capacity that a server has at least, so many seconds after its start.
    pub fn capacity_after(&self, seconds: f64) -> f64 {
        let part = seconds.max(0.0) / self.warm_up.as_secs_f64().max(1e-3);
        (self.cold_share + (1.0 - self.cold_share) * part).min(1.0)
    }
}

/// Prices of the means that the module may use, in shares of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Prices {
    /// An attempt in another zone, for each request.
    pub cross_zone: f64,
    /// A probe, for each request.
    pub probe: f64,
    /// A full message (256 bytes) to another gateway, for each request.
    pub peer: f64,
    /// Server work that served no answer.
    pub waste: f64,
    /// Worth that ends unserved after its aim.
    pub late_fail: f64,
}

/// All that a gateway is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This gateway's number among them.
    pub index: u32,
    /// How many gateways there are.
    pub gateways: u32,
    /// The zone it stands in.
    pub zone: ZoneId,
    /// Least time between two steps.
    pub tick: Duration,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's quota, as a share of its class's.
    pub over_share_worth: f64,
    /// What a replica does when it is behind.
    pub checks: Checks,
    /// Whether every answer carries a position.
    pub positions: bool,
    /// Where session tokens come from.
    pub session_marks: SessionMarks,
    /// The list's role column.
    pub role_column: RoleColumn,
    /// Load reports.
    pub reports: Reports,
    /// The server list.
    pub discovery: Discovery,
    /// What is allowed.
    pub limits: Limits,
    /// Figures of the rules.
    pub contract: Contract,
    /// Prices.
    pub prices: Prices,
    /// How changes of primary are met.
    pub failover: Tuning,
}

/// Settings that no gateway can work with.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no classes.
    #[error("no classes of requests")]
    NoClasses,
    /// A figure is not a finite number, or outside its range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Checks that every figure can be worked with.
    pub fn validate(&self) -> Result<(), SettingsError> {
        fn within(name: &'static str, value: f64, low: f64, high: f64) -> Result<(), SettingsError> {
            let fits = value.is_finite() && (low..=high).contains(&value);
            fits.then_some(()).ok_or(SettingsError::OutOfRange(name))
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for class in &self.classes {
            within("a class's credit", class.credit, 0.0, f64::MAX)?;
            within("a class's late value", class.late_value, 0.0, 1.0)?;
            within("a class's aim stretch", class.aim_stretch, 0.0, f64::MAX)?;
            within("a class's deadline", class.deadline.as_secs_f64(), 1e-6, f64::MAX)?;
        }
        for tenant in &self.tenants {
            within("a tenant's quota", tenant.quota_per_s, 0.0, f64::MAX)?;
            within("a tenant's share", tenant.share, 0.0, f64::MAX)?;
        }
        within("the number of gateways", f64::from(self.gateways), 1.0, f64::MAX)?;
        within("the worth past a share", self.over_share_worth, 0.0, f64::MAX)?;
        within("the attempt limit", f64::from(self.limits.attempts), 1.0, f64::MAX)?;
        within("the cold share", self.contract.cold_share, 0.0, 1.0)?;
        within("the overload factor", self.contract.overload_factor, 0.0, f64::MAX)?;
        if let Some((name, _)) = self.failover.fault() {
            return Err(SettingsError::OutOfRange(name));
        }
        for price in [self.prices.cross_zone, self.prices.probe, self.prices.waste, self.prices.late_fail] {
            within("a price", price, 0.0, f64::MAX)?;
        }
        Ok(())
    }
}

/// What the list says of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Takes requests.
    Healthy,
    /// Completes what it has; nothing new may be sent.
    Draining,
    /// Withdrawn.
    Gone,
}

/// An entry of the server list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Where it stands.
    pub zone: ZoneId,
    /// What machine it is.
    pub kind: KindId,
    /// The group it belongs to.
    pub group: GroupId,
    /// The list takes it for the primary.
    pub head: bool,
    /// State of its process.
    pub health: Health,
    /// Its size compared with the others'.
    pub rating: f64,
    /// When its process last started, where that was not long ago.
    pub started: Option<Duration>,
}

/// How a piece of news relates to the list in hand.
#[derive(Debug, Clone, PartialEq)]
pub enum View {
    /// The entries that changed.
    Changes(Vec<Entry>),
    /// The whole list.
    All(Vec<Entry>),
    /// The whole list as an earlier run of this gateway last had it.
    Remembered(Vec<Entry>),
    /// A call failed or the subscription broke.
    Refused,
}

/// A client request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Time until the client abandons this try.
    pub time_left: Duration,
    /// A repeat by the client, where clients mark them.
    pub retry: bool,
    /// Bytes of its statement, where that is known.
    pub bytes: u64,
    /// Expected work, as time on a standard core.
    pub cost: Option<Duration>,
    /// The session.
    pub session: Option<String>,
    /// Time since the commit of the session's last write, where reads bring it.
    pub wrote_ago: Option<Duration>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
}

impl Outcome {
    /// Whether the server was heard.
    pub fn answered(self) -> bool {
        matches!(self, Self::Ok | Self::Miss | Self::Full | Self::Error)
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot | Self::Miss)
    }
}

/// What an answer says of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Note {
    /// Up to when it has applied all commits; for a write that went through, its commit time.
    pub position: Option<Duration>,
    /// It is the primary; `None` where the answer doesn't tell.
    pub primary: Option<bool>,
}

/// A server's report on itself, somewhat aged.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Its position.
    pub position: Option<Duration>,
    /// It was the primary.
    pub primary: Option<bool>,
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests that wait for service.
    pub waiting: Option<f64>,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: Attempt,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub rtt: Duration,
    /// The request has ended, by this or earlier.
    pub complete: bool,
    /// What the answer says of the server.
    pub note: Option<Note>,
    /// The report that came with it.
    pub report: Option<Report>,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the server list.
    View(View),
    /// The operators took a server out by hand: whatever the list says, it drains until they call it back.
    Offline(ServerId),
    /// They called it back; its process may have started anew.
    Online(ServerId),
    /// New settings. They are for requests that come from now on: a class that an open request holds keeps its
    /// place in the table.
    Settings(Box<Settings>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    Ended(Ended),
    /// A streamed answer began: the attempt belongs to the client now.
    Started {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: Attempt,
    },
    /// A probe ended.
    Probed {
        /// The server probed.
        server: ServerId,
        /// It answered.
        ok: bool,
        /// The report that came back.
        report: Option<Report>,
    },
    /// Another process of this proxy handed over what it knew.
    Inherited(Box<Heritage>),
    /// Another process of this proxy, which serves as well, told something.
    Told(Word),
    /// A timer came due.
    Timer(TimerId),
    /// The client left.
    Left(RequestId),
    /// Another gateway sent a message.
    Peer {
        /// Its number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out.
        timeout: Duration,
    },
    /// Final answer: a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Final answer: failure, which promises nothing.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to changes of the list, or end that.
    Watch {
        /// Subscribe.
        on: bool,
    },
    /// Ask for the whole list once.
    Fetch,
    /// Close idle connections to a server.
    Close {
        /// The server.
        server: ServerId,
    },
    /// Send a message to another gateway, or to all.
    Tell {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Wake the module after some time.
    Timer {
        /// How long.
        after: Duration,
        /// Which one.
        id: TimerId,
    },
    /// A line for the staff.
    Log(String),
}
