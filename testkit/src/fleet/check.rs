//! A judge of the rules, from what passed between proxies, servers and the list alone.
//!
//! Owns the account of each request that a proxy took, of each send, and of what each proxy was told. It knows nothing
//! of how a gateway decides, and must never take anybody's word for what a server's data was: that comes from
//! the models.

use std::collections::HashMap;

use pipittack_core::api::{Class, Consistency, Idempotency, KeyScope, Outcome, Settings};

/// A rule that was broken, at a time, in words.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// When, in s.
    pub at: f64,
    /// Which rule.
    pub rule: Rule,
    /// What happened.
    pub what: String,
}

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, in time.
    Lost,
    /// Nothing runs again that must not.
    Doubled,
    /// Nothing new to a server that drains.
    Drained,
    /// No cold server pushed over.
    Fell,
    /// No read from data too old.
    Stale,
    /// No more attempts than are allowed.
    Attempts,
}

/// Of what pushed a cold server over, the part from proxies that knew of its start, over which they are to blame.
pub const TOLD_SHARE: f64 = 2.0 / 3.0;
/// Time in s past its deadline in which a final answer counts, beside the settings' own.
const SLACK: f64 = 0.05;

#[derive(Debug)]
struct Taken {
    class: usize,
    proxy: usize,
    arrived: f64,
    deadline: f64,
    ended: bool,
    /// Nobody waits for an answer any more.
    left: bool,
    sends: u32,
    /// Attempts that are out, and where.
    out: HashMap<u32, usize>,
    /// When the first attempt was sent that may have run, and where.
    may_have_run: Option<(f64, usize)>,
    /// The position that its data must have.
    mark: f64,
}

/// The judge.
#[derive(Debug)]
pub struct Checker {
    settings: Settings,
    requests: HashMap<u64, Taken>,
    /// When a proxy was told that a server drains or is gone.
    told: HashMap<(usize, usize), f64>,
    /// What each proxy's sessions have had acknowledged.
    marks: HashMap<(usize, u64), f64>,
    /// How often each write ran.
    ran: HashMap<u64, u32>,
    /// The zone of each server.
    zones: Vec<usize>,
    /// What was broken.
    pub broken: Vec<Broken>,
}

impl Checker {
    /// A judge for proxies with these settings.
    pub fn new(settings: Settings) -> Self {
        let (requests, ran) = (HashMap::new(), HashMap::new());
        let (told, marks) = (HashMap::new(), HashMap::new());
        Self { settings, requests, told, marks, ran, zones: Vec::new(), broken: Vec::new() }
    }

    /// A server stands in a zone.
    pub fn stands(&mut self, server: usize, zone: usize) {
        self.zones.resize(self.zones.len().max(server + 1), 0);
        self.zones[server] = zone;
    }

    /// Something was broken.
    pub fn breaks(&mut self, at: f64, rule: Rule, what: String) {
        self.broken.push(Broken { at, rule, what });
    }

    /// A proxy took a request. `brought` is the commit that came with it.
    pub fn took(
        &mut self,
        id: u64,
        proxy: usize,
        class: usize,
        session: u64,
        brought: Option<f64>,
        (now, deadline): (f64, f64),
    ) {
        let need = self.settings.classes[class].consistency;
        let mark = match need {
            Consistency::Linearizable => now,
            Consistency::Causal => {
                let kept = self.marks.get(&(proxy, session)).copied().unwrap_or(0.0);
                brought.unwrap_or(0.0).max(kept)
            }
            _ => 0.0,
        };
        let (out, may_have_run) = (HashMap::new(), None);
        let taken = Taken {
            class,
            proxy,
            arrived: now,
            deadline,
            ended: false,
            left: false,
            sends: 0,
            out,
            may_have_run,
            mark,
        };
        self.requests.insert(id, taken);
    }

    /// A proxy heard of a write's commit.
    pub fn acknowledged(&mut self, proxy: usize, session: u64, commit: f64) {
        let mark = self.marks.entry((proxy, session)).or_default();
        *mark = mark.max(commit);
    }

    /// A proxy's process was told of a server by the list.
    pub fn listed(&mut self, proxy: usize, server: usize, healthy: bool, now: f64) {
        if healthy {
            self.told.remove(&(proxy, server));
        } else {
            self.told.entry((proxy, server)).or_insert(now);
        }
    }

    /// A proxy's process decided on an attempt.
    pub fn sent(&mut self, id: u64, server: usize, now: f64) {
        let Some(taken) = self.requests.get_mut(&id) else { return };
        let class: &Class = &self.settings.classes[taken.class];
        let mut faults = Vec::new();
        let mut fault =
            |rule, what: &str| faults.push((rule, format!("request {id} to server {server}: {what}")));
        if taken.ended && !taken.left {
            fault(Rule::Lost, "sent after its end");
        }
        if taken.sends >= self.settings.limits.max_attempts {
            fault(Rule::Attempts, "one attempt too many");
        }
        if !taken.out.is_empty() && !self.settings.limits.allow_hedging {
            fault(Rule::Doubled, "a second copy");
        }
        // What is still out may run.
        let out = taken.out.values().next().map(|first| (now, *first));
        match (class.idempotency, taken.may_have_run.or(out)) {
            (Idempotency::NonIdempotent, Some(_)) => {
                fault(Rule::Doubled, "sent again though it may have run")
            }
            (Idempotency::WithKey { scope, window }, Some((first, at))) => {
                let elsewhere = scope == KeyScope::Zone && self.zones.get(at) != self.zones.get(server);
                if elsewhere || now > first + window.as_secs_f64() {
                    fault(Rule::Doubled, "sent again where its repeat is not discarded");
                }
            }
            _ => {}
        }
        taken.out.insert(taken.sends, server);
        taken.sends += 1;
        for (rule, what) in faults {
            self.breaks(now, rule, what);
        }
    }

    /// An attempt's query was written to its server.
    pub fn written(&mut self, id: u64, server: usize, now: f64) {
        let Some(taken) = self.requests.get(&id) else { return };
        let grace = self.settings.rules.drain_grace_period.as_secs_f64() + SLACK;
        if self.told.get(&(taken.proxy, server)).is_some_and(|told| now > told + grace) {
            self.breaks(now, Rule::Drained, format!("request {id} to server {server}: sent past the grace"));
        }
    }

    /// A read was worked on from data of this position; `excused` where its server was primary and the proxy does not
    /// know better.
    pub fn read(&mut self, id: u64, sent: f64, position: f64, excused: bool, now: f64) {
        let Some(taken) = self.requests.get(&id) else { return };
        let needed = match self.settings.classes[taken.class].consistency {
            Consistency::BoundedStaleness(age) => sent - age.as_secs_f64(),
            Consistency::Causal | Consistency::Linearizable => taken.mark,
            Consistency::Write | Consistency::Eventual => return,
        };
        if position < needed && !excused {
            let what =
                format!("request {id} of proxy {}: data {:.3} s too old", taken.proxy, needed - position);
            self.breaks(now, Rule::Stale, what);
        }
    }

    /// A server ran a write.
    pub fn ran(&mut self, id: u64, class: usize, now: f64) {
        let times = self.ran.entry(id).or_default();
        *times += 1;
        if *times > 1 && self.settings.classes[class].idempotency == Idempotency::NonIdempotent {
            self.breaks(now, Rule::Doubled, format!("request {id} ran twice"));
        }
    }

    /// An attempt ended, as the proxy's process heard it.
    pub fn attempt_ended(&mut self, id: u64, attempt: u32, outcome: Outcome, sent: f64) {
        let Some(taken) = self.requests.get_mut(&id) else { return };
        let Some(server) = taken.out.remove(&attempt) else { return };
        if !outcome.rules_out_execution() {
            taken.may_have_run.get_or_insert((sent, server));
        }
    }

    /// An attempt at a server ended with this answer, as its server saw it.
    pub fn attempt_done(&mut self, id: u64, server: usize, outcome: Outcome, sent: f64) {
        let out = self.requests.get(&id).map(|taken| &taken.out);
        let attempt =
            out.and_then(|out| out.iter().find(|(_, at)| **at == server)).map(|(attempt, _)| *attempt);
        if let Some(attempt) = attempt {
            self.attempt_ended(id, attempt, outcome, sent);
        }
    }

    /// A proxy closed the connection on which an attempt was out.
    pub fn gave_up(&mut self, id: u64, server: usize, now: f64) {
        self.attempt_done(id, server, Outcome::Timeout, now);
    }

    /// A request got its final answer; `refused` if that promises that it may be asked again.
    pub fn answered(&mut self, id: u64, refused: bool, now: f64) {
        let Some(taken) = self.requests.get_mut(&id) else { return };
        let late = now > taken.deadline + self.settings.rules.answer_grace_period.as_secs_f64() + SLACK;
        let ran = taken.may_have_run.is_some() || !taken.out.is_empty();
        let effect = self.settings.classes[taken.class].idempotency;
        // Where every server drops the repeat, or it may be repeated anyway, a refusal is harmless.
        let harmless = match effect {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => scope == KeyScope::All || !ran,
            Idempotency::NonIdempotent => !ran,
        };
        let (twice, waited) = (taken.ended, now - taken.arrived);
        taken.ended = true;
        if twice {
            self.breaks(now, Rule::Lost, format!("request {id}: a second final answer"));
        }
        if late {
            self.breaks(now, Rule::Lost, format!("request {id}: answered after {waited:.3} s"));
        }
        if refused && !harmless {
            self.breaks(now, Rule::Doubled, format!("request {id}: refused though it may have run"));
        }
    }

    /// Its client went away, or its proxy was killed: nothing is owed any more.
    pub fn left(&mut self, id: u64) {
        if let Some(taken) = self.requests.get_mut(&id) {
            (taken.ended, taken.left) = (true, true);
        }
    }

    /// All is over: what was taken long ago and got no answer is lost.
    pub fn end(&mut self, now: f64) {
        let slack = self.settings.rules.answer_grace_period.as_secs_f64() + SLACK;
        let lost: Vec<_> =
            self.requests.iter().filter(|(_, t)| !t.ended && now > t.deadline + slack).collect();
        let mut lost: Vec<_> = lost.into_iter().map(|(id, t)| (*id, t.arrived, t.proxy)).collect();
        lost.sort_by_key(|(id, ..)| *id);
        for (id, arrived, proxy) in lost {
            let what =
                format!("request {id} of proxy {proxy}, taken {:.3} s before: no answer", now - arrived);
            self.breaks(now, Rule::Lost, what);
        }
    }

    /// What was broken, in words; times count from `start`.
    pub fn told(&self, start: f64) -> Vec<String> {
        let words = |b: &Broken| format!("{:?} at {:.3} s: {}", b.rule, b.at - start, b.what);
        self.broken.iter().map(words).collect()
    }

    /// Forgets what is long over, so that memory stays bounded.
    pub fn forget(&mut self, before: f64) {
        self.requests.retain(|_, taken| !taken.ended || taken.deadline > before);
        let requests = &self.requests;
        self.ran.retain(|id, _| requests.contains_key(id));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pipittack_core::api::FailoverSettings;
    use pipittack_core::api::*;
    use std::time::Duration;

    const WRITE: usize = 0;
    const READ: usize = 1;

    fn checker() -> Checker {
        let ms = Duration::from_millis;
        let class = |effect, need| Class {
            priority_weight: 1.0,
            latency_objective: ms(500),
            latency_objective_stretch: 0.0,
            deadline: ms(2000),
            late_weight: 0.0,
            idempotency: effect,
            consistency: need,
            streaming: false,
        };
        Checker::new(Settings {
            instance_index: 0,
            instance_count: 1,
            zone: ZoneId(0),
            min_step_interval: ms(5),
            classes: vec![
                class(Idempotency::NonIdempotent, Consistency::Write),
                class(Idempotency::Idempotent, Consistency::Causal),
            ],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            stale_read_policy: StaleReadPolicy::AnswerStale,
            responses_carry_position: true,
            session_tokens: SessionTokens::Tracked,
            listed_role: ListedRole::Static,
            load_reports: LoadReports::Never,
            discovery: DiscoveryMode::Subscribe,
            limits: Limits {
                max_attempts: 2,
                allow_cancel: true,
                allow_gossip: false,
                allow_health_checks: true,
                allow_hedging: false,
                send_retry_after: true,
                max_retry_after: ms(500),
                connect_timeout: ms(200),
                max_streams_per_connection: 1,
            },
            rules: ServiceRules {
                answer_grace_period: ms(50),
                poll_interval: ms(5000),
                initial_capacity_share: 0.2,
                warm_up: ms(10_000),
                overload_factor: 2.0,
                overload_duration: ms(1000),
                drain_grace_period: ms(1000),
                removed_may_serve: false,
            },
            prices: Prices {
                cross_zone: 0.0,
                health_check: 0.0,
                gossip: 0.0,
                wasted_work: 0.0,
                late_failure: 0.0,
            },
            failover: FailoverSettings::default(),
        })
    }

    /// What breaks where `play` goes on from a request of a class that came at 1 s and waits up to 3 s.
    fn broken(class: usize, play: impl FnOnce(&mut Checker)) -> Vec<Rule> {
        let mut checker = checker();
        checker.acknowledged(0, 7, 0.9);
        checker.took(1, 0, class, 7, None, (1.0, 3.0));
        play(&mut checker);
        checker.end(9.0);
        checker.broken.iter().map(|broken| broken.rule).collect()
    }

    #[test]
    fn each_planted_fault_is_found_and_only_that() {
        let served = |c: &mut Checker| c.answered(1, false, 2.0);
        let sent = |c: &mut Checker| c.sent(1, 4, 1.1);
        assert_eq!(broken(READ, served), []);
        assert_eq!(broken(READ, |_| ()), [Rule::Lost]);
        assert_eq!(broken(READ, |c| c.answered(1, false, 3.2)), [Rule::Lost]);
        assert_eq!(broken(READ, |c| (served(c), served(c)).0), [Rule::Lost]);
        assert_eq!(broken(READ, |c| (served(c), sent(c)).0), [Rule::Lost]);
        let read = |position, excused| {
            move |c: &mut Checker| {
                sent(c);
                c.read(1, 1.1, position, excused, 1.1);
                served(c);
            }
        };
        assert_eq!(broken(READ, read(0.9, false)), []);
        assert_eq!(broken(READ, read(0.89, false)), [Rule::Stale]);
        assert_eq!(broken(READ, read(0.89, true)), []);
        let drained = |at: f64| {
            move |c: &mut Checker| {
                c.listed(0, 4, false, 0.5);
                c.written(1, 4, at);
                served(c);
            }
        };
        assert_eq!((broken(READ, drained(1.5)), broken(READ, drained(1.6))), (vec![], vec![Rule::Drained]));
        let again = |outcome| {
            move |c: &mut Checker| {
                sent(c);
                c.attempt_ended(1, 0, outcome, 1.1);
                c.sent(1, 5, 1.2);
                served(c);
            }
        };
        assert_eq!(
            (broken(WRITE, again(Outcome::Rejected)), broken(WRITE, again(Outcome::Reset))),
            (vec![], vec![Rule::Doubled])
        );
        assert_eq!(broken(READ, again(Outcome::Reset)), []);
        assert_eq!(broken(WRITE, |c| (sent(c), c.answered(1, true, 2.0)).0), [Rule::Doubled]);
        assert_eq!(
            broken(WRITE, |c| ((0..2).for_each(|_| c.ran(1, WRITE, 2.0)), served(c)).0),
            [Rule::Doubled]
        );
        let thrice = |c: &mut Checker| {
            again(Outcome::Rejected)(c);
            c.attempt_ended(1, 1, Outcome::Rejected, 1.2);
        };
        let four = |c: &mut Checker| {
            (0..3).for_each(|n| {
                c.sent(1, 4, 1.1);
                c.attempt_ended(1, n, Outcome::Rejected, 1.1);
            });
            served(c);
        };
        assert_eq!((broken(READ, thrice), broken(READ, four)), (vec![], vec![Rule::Attempts]));
    }
}
