//! What the decision module remembers: plain data, times in seconds. What is done with it is in `decide.rs`.

use crate::api::{ClassId, Endpoint, GroupId, Outcome, Request, ServerId, ServiceRules, ZoneId};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::ewma::Ewma;
use crate::failover::{AttemptLog, ReplicaSet};

/// A server that gives no answers: what is known of its state, and when it is tried again.
pub(crate) struct DownState {
    pub since: f64,
    pub trial_at: f64,
    pub pause: f64,
    /// A probe came back, so a read may be tried.
    pub probed: bool,
    /// Its process was seen to be dead.
    pub dead: bool,
}

/// Time in s until a server that is down gets a trial.
pub(crate) const TRIAL_FIRST: f64 = 0.3;

impl DownState {
    /// Its first trial comes soon.
    pub fn soon(now: f64, dead: bool) -> Self {
        Self { since: now, trial_at: now + TRIAL_FIRST, pause: TRIAL_FIRST, probed: false, dead }
    }
}

#[derive(Default)]
pub(crate) struct Server {
    pub zone: ZoneId,
    pub group: GroupId,
    pub rating: f64,
    pub listed: bool,
    /// Listed as draining, or gone where that binds.
    pub barred: bool,
    /// Taken out by the operators.
    pub out_by_hand: bool,
    pub head: bool,
    pub position: f64,
    pub heard: f64,
    /// How old its data was when it last told.
    pub lag: f64,
    /// Told by an answer, and when.
    pub replica_at: Option<f64>,
    pub in_flight: f64,
    /// Expected time of what is in flight.
    pub load: f64,
    pub oldest: f64,
    /// Attempts given up on that may still be worked on there: until when, and their expected time.
    pub ghosts: Vec<(f64, f64)>,
    pub slowness: Ewma,
    pub errors: Ewma,
    pub hold_until: f64,
    /// When it last refused a connection.
    pub refused_at: f64,
    pub probing: bool,
    /// When its position was last asked for.
    pub asked: f64,
    /// Evidence that it gives no answers, as log odds.
    pub doubt: f64,
    pub down: Option<DownState>,
    pub started: Option<f64>,
    pub budget: f64,
    pub window: ConcurrencyLimit,
}

#[derive(Default)]
pub(crate) struct Group {
    /// How many of its reads of late were answered in time, and the share of reads that is turned away.
    pub in_time: Ewma,
    pub shed: f64,
    /// Share of its primary's answers that came late.
    pub late: Ewma,
    /// In id order.
    pub members: Vec<ServerId>,
    /// Who its primary is, and the change that is under way.
    pub set: ReplicaSet,
    pub writes_waiting: usize,
    /// When a request last waited here in vain.
    pub shed_at: f64,
    pub waiting: usize,
}

pub(crate) struct OpenRequest {
    pub request: Request,
    pub arrived: f64,
    pub aim: f64,
    pub deadline: f64,
    /// Position that a session or strong read must see.
    pub token: f64,
    pub attempts: u32,
    /// The limit on them when it came.
    pub most_attempts: u32,
    pub out: u32,
    /// What has become of its attempts.
    pub fate: AttemptLog,
    pub turned_away: Vec<ServerId>,
    pub failed_at: Option<ServerId>,
    pub over_share: bool,
    pub streaming: bool,
    /// A replica was asked for its position for it.
    pub asked: bool,
}

/// How an attempt ended.
pub(crate) struct AttemptResult {
    pub outcome: Outcome,
    pub took: f64,
    /// It is the server's doing.
    pub blamed: bool,
    /// The answer says that its server is the primary.
    pub primary: bool,
}

impl OpenRequest {
    pub fn new(
        request: Request,
        arrived: f64,
        aim: f64,
        deadline: f64,
        token: f64,
        over_share: bool,
        most_attempts: u32,
    ) -> Self {
        Self {
            arrived,
            aim,
            deadline,
            token,
            attempts: 0,
            most_attempts,
            out: 0,
            fate: AttemptLog::default(),
            turned_away: Vec::new(),
            failed_at: None,
            over_share,
            streaming: false,
            asked: false,
            request,
        }
    }
}

pub(crate) struct InFlightAttempt {
    pub server: ServerId,
    pub class: ClassId,
    /// Whose write it is, where this proxy keeps marks.
    pub session: Option<String>,
    pub sent: f64,
    pub expected: f64,
}

#[derive(Default, Clone)]
pub(crate) struct TenantMeter {
    pub errors: Ewma,
    pub rate: f64,
    pub at: f64,
}

/// When things are to be done next.
#[derive(Default)]
pub(crate) struct Clock {
    pub judged: f64,
    pub elapsed: f64,
    /// How long the gateway stood still before this step.
    pub stood: f64,
    pub timer: Option<f64>,
    pub timers: u64,
}

/// What one gateway tells another of an attempt.
pub(crate) struct GossipMessage {
    pub server: ServerId,
    /// Its time by the usual time of its class.
    pub ratio: f64,
    pub flags: u8,
}

impl GossipMessage {
    /// The server's id, low byte first, the ratio in eighths, the flags.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.server.0.to_le_bytes().to_vec();
        bytes.extend([(self.ratio * 8.0).clamp(0.0, 255.0) as u8, self.flags]);
        bytes
    }

    /// Nothing for bytes that no gateway would send.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let &[a, b, c, d, eighths, flags] = bytes else { return None };
        let server = ServerId(u32::from_le_bytes([a, b, c, d]));
        Some(Self { server, ratio: f64::from(eighths) / 8.0, flags })
    }
}

impl Server {
    /// One that was just listed; `share` is the part of its work that comes through this gateway.
    pub fn new(entry: &Endpoint, now: f64, share: f64) -> Self {
        let window = ConcurrencyLimit::new(now, share);
        let Endpoint { zone, group, .. } = *entry;
        Self { zone, group, budget: 1.0, oldest: f64::INFINITY, window, ..Self::default() }
    }

    /// The share of its capacity that it has at least.
    pub fn cold(&self, now: f64, contract: &ServiceRules) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        contract.min_capacity_share(now - started).max(0.01)
    }

    /// Nothing new may go there: the list says so, or the operators do.
    pub fn closed(&self) -> bool {
        self.barred || self.out_by_hand
    }

    /// For how long it has owed an answer without a word, in s.
    pub fn silence(&self, now: f64) -> f64 {
        (now - self.oldest.max(self.heard)).max(0.0)
    }

    /// Frees places, and forgets which attempt is the oldest, which is to be found anew.
    pub fn refresh(&mut self, now: f64) {
        self.oldest = f64::INFINITY;
        self.release(now);
    }

    /// Frees the places of attempts that have ended.
    pub fn release(&mut self, now: f64) {
        for (_, load) in self.ghosts.extract_if(.., |g| g.0 <= now) {
            (self.in_flight, self.load) = ((self.in_flight - 1.0).max(0.0), (self.load - load).max(0.0));
        }
    }
}
