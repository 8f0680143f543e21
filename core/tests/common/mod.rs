//! A small cluster to drive the module with: one group, server 1 the primary, 2 and 3 its replicas.
#![allow(dead_code)] // each test file uses a part of this

use std::time::Duration;

use pipittack_core::interface::*;
use pipittack_core::Gateway;

pub const LOOK: ClassId = ClassId(0);
pub const OWN: ClassId = ClassId(1);
pub const POST: ClassId = ClassId(2);
pub const ONCE: ClassId = ClassId(3);
pub const ANY: ClassId = ClassId(4);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings() -> Settings {
    let class = |effect, need| Class {
        credit: 1.0,
        aim: ms(500),
        aim_stretch: 0.0,
        deadline: ms(2000),
        late_value: 0.0,
        effect,
        need,
        stream: false,
    };
    let keyed = Effect::Keyed { scope: DedupScope::Group, window: ms(1500) };
    Settings {
        index: 0,
        gateways: 1,
        zone: ZoneId(0),
        tick: ms(5),
        classes: vec![
            class(Effect::Repeatable, Need::Bounded(ms(1000))),
            class(Effect::Repeatable, Need::Causal),
            Class { late_value: 0.5, ..class(keyed, Need::Write) },
            Class { late_value: 0.5, ..class(Effect::Once, Need::Write) },
            class(Effect::Repeatable, Need::Eventual),
        ],
        tenants: Vec::new(),
        over_share_worth: 1.0,
        checks: Checks::Silent,
        positions: true,
        session_marks: SessionMarks::Brought,
        role_column: RoleColumn::Trailing,
        reports: Reports::Silent,
        discovery: Discovery::Automatic,
        limits: Limits {
            attempts: 6,
            cancel: true,
            tell: false,
            probes: false,
            second_copies: false,
            retry_after: true,
            max_retry_after: ms(1000),
            connect_timeout: ms(250),
            streams_per_connection: 8,
        },
        contract: Contract {
            answer_slack: ms(20),
            ask_every: ms(10_000),
            cold_share: 0.2,
            warm_up: ms(15_000),
            overload_factor: 2.5,
            overload_for: ms(1500),
            stop_within: ms(250),
            only_draining_binds: false,
        },
        prices: Prices { cross_zone: 0.0, probe: 0.0, peer: 0.0, waste: 0.0, late_fail: 0.0 },
        failover: Default::default(),
    }
}

pub fn entry(server: u32, head: bool) -> Entry {
    Entry {
        server: ServerId(server),
        zone: ZoneId(0),
        kind: KindId(0),
        group: GroupId(1),
        head,
        health: Health::Healthy,
        rating: 1.0,
        started: None,
    }
}

/// A gateway under test, its clock and what it still has out.
pub struct Bench {
    pub gateway: Gateway,
    pub now: Duration,
    next: u64,
    pub sent: Vec<(RequestId, u32, ServerId)>,
    /// The class of each request.
    pub kinds: std::collections::BTreeMap<RequestId, ClassId>,
    counts: std::collections::BTreeMap<RequestId, u32>,
}

impl Bench {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let gateway = Gateway::new(settings, seed).expect("valid settings");
        let mut bench = Self {
            gateway,
            now: ms(100_000),
            next: 0,
            sent: Vec::new(),
            kinds: Default::default(),
            counts: Default::default(),
        };
        let list = vec![entry(1, true), entry(2, false), entry(3, false)];
        bench.step(vec![Event::View(View::Remembered(list))]);
        bench
    }

    pub fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.step(self.now, events, &mut actions);
        for action in &actions {
            if let Action::Send { request, server, .. } = action {
                let count = self.counts.entry(*request).or_default();
                self.sent.push((*request, *count, *server));
                *count += 1;
            }
        }
        actions
    }

    pub fn pass(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.step(Vec::new())
    }

    pub fn request(&mut self, class: ClassId) -> Request {
        self.next += 1;
        self.kinds.insert(RequestId(self.next), class);
        Request {
            id: RequestId(self.next),
            class,
            group: GroupId(1),
            tenant: None,
            time_left: ms(2000),
            retry: false,
            bytes: 100,
            cost: None,
            session: Some("s".into()),
            wrote_ago: None,
        }
    }

    /// Lets a request of a class arrive.
    pub fn call(&mut self, class: ClassId) -> Vec<Action> {
        let request = self.request(class);
        self.step(vec![Event::Request(request)])
    }

    /// Ends the oldest attempt that is out; `primary` is what the answer says of its server.
    pub fn end(&mut self, outcome: Outcome, primary: Option<bool>, behind: Duration) -> Vec<Action> {
        let (request, attempt, server) = self.sent.remove(0);
        self.end_of(request, attempt, server, outcome, primary, behind)
    }

    pub fn end_of(
        &mut self,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        primary: Option<bool>,
        behind: Duration,
    ) -> Vec<Action> {
        let note = primary.map(|p| Note { position: Some(self.now - behind), primary: Some(p) });
        self.step(vec![Event::Ended(Ended {
            request,
            attempt: Attempt(attempt),
            server,
            outcome,
            rtt: ms(10),
            complete: outcome == Outcome::Ok,
            note,
            report: None,
        })])
    }

    /// Lets every member tell where it stands: the replicas so far behind the primary.
    pub fn hear_all(&mut self, behind: Duration) {
        for _ in 0..60 {
            self.call(ANY);
            self.now += ms(10);
            while let Some((_, _, server)) = self.sent.first().copied() {
                let primary = server == ServerId(1);
                self.end(Outcome::Ok, Some(primary), if primary { ms(0) } else { behind });
            }
        }
        for server in [2, 3] {
            let report =
                Report { position: Some(self.now - behind), primary: Some(false), ..Report::default() };
            let probed = Event::Probed { server: ServerId(server), ok: true, report: Some(report) };
            self.step(vec![probed]);
        }
    }
}

/// Where the actions send something.
pub fn targets(actions: &[Action]) -> Vec<u32> {
    let target = |a: &Action| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

pub fn refusals(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Refuse { .. })).count()
}

pub fn failures(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}
