//! Every decision of the splitter. Its types, events and actions are in `core/src/interface.rs`.
//!
//! The ordinary path: each server has a window of in-flight attempts, set once a period from a parabola
//! fitted to throughput over concurrency; what exceeds the windows waits in the queue, what exceeds the queue
//! is refused; a read goes to the less busy of two random replicas that are fresh enough. All else in this
//! file is an exception for when that breaks; `docs/design.md` says when each one acts.

mod position_probe;
mod snapshot;
mod state;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::api::*;
use crate::concurrency_limit::{ConcurrencyLimit, INITIAL_LIMIT, MIN_LIMIT};
use crate::discovery_schedule::DiscoverySchedule;
use crate::ewma::{Ewma, EwmaConfig};
use crate::failover::*;
use crate::latency_estimate::LatencyEstimate;
use crate::primary_read_admission::{PrimaryAttempt, PrimaryReadAdmission};
use crate::request_cost::RequestCosts;
use crate::server_throughput::{ServerThroughput, WarmCapacity};
use crate::session_tokens::SessionTokenStore;
use crate::time::secs;
use position_probe::{probe, scout, PositionDemand, ProbeDecision};
use state::*;

// Times are in seconds throughout this file.
const QUEUE_PER_WINDOW: f64 = 3.0; // waiting requests for each place in the group's windows
const PRESSED: f64 = 1.0; // s for which a wait in vain shows that the queue is too long
const SPILL: f64 = 2.0; // times as busy as the primary a replica is before a read is kept from it
const GOOD_SHARE: f64 = 0.7; // of the reads answered in time, under which fewer are let in
const PASS_LEAST: f64 = 0.08; // share of reads that is let in at least, to learn from
const PASS_DOWN: f64 = 0.85; // step of that share for each answer while too few are in time...
const PEER_SPEND: f64 = 0.002; // of the service that messages may cost, at one told end a request
const PEERS_MOST: f64 = 8.0; // told of each end
const TOLD_READ: u8 = 1;
const TOLD_GOOD: u8 = 2;
const PASS_UP: f64 = 1.06; // ...and otherwise
const MIX_KEPT: f64 = 0.99; // memory of the mix of read classes, for each read
const WRITE_SHARE: f64 = 0.5; // of the primary's window that reads leave to writes

const SPENT: (f64, f64) = (0.1, 0.75); // s behind, and part of the aim in which its answer must be expected
const ROUNDED: f64 = 0.001; // s by which a commit may be told too late
const GAIN_CLASS: f64 = 0.03; // weight of one answer in a class's mean time
/// A gauge averages over 10 answers, forgets in 10 s, and weighs what is usual like 2 answers of its own.
const MEMORY: EwmaConfig = EwmaConfig { max_weight: 10.0, decay_secs: 10.0, prior_weight: 2.0 };

const DOUBT_MOST: f64 = 2.0; // log odds against a server from which on it is down
const WEAK_EVIDENCE: f64 = 0.5; // weight of a loss that may be its connection's alone: two are needed
const LOST_USUAL: f64 = 0.03; // share of attempts that end without an answer in good times
const ERRORS_OWN: f64 = 0.15; // of a tenant's answers that are errors, at least, for them to be its own doing
const TRIAL_SHARE: f64 = 0.05; // of a gateway's requests that are spent on trials of one server
const JUDGE_EVERY: f64 = 0.05; // s between looks at all servers
const DEAD_LEAST: f64 = 1.0; // s that a process needs to start anew
const STOOD_LEAST: f64 = 0.1; // s past its timer after which a gateway is taken to have stood still
const REFUSED_SHARE: f64 = 0.1; // of attempts, over which connections are taken to be short
const GHOST_MOST: f64 = 2.0; // s that an attempt given up on keeps its place
const TRIAL_MOST: f64 = 2.0; // s between later trials
const PLACED_WITHIN: f64 = 0.49; // of a read's time, after which it is given up where no server takes it
const RETRY_SHARE: f64 = 0.2; // further attempts for each request, after which only the first is made
const RETRY_BURST: f64 = 20.0; // saved up at most
const COLD_SAVED: f64 = 2.0; // usual requests that one saves up, lest it waste its part if it sends little
const COLD_MARGIN: f64 = 0.7; // part of the cold budget that is used

/// One gateway: fed with events, it answers with actions.
pub struct RoutingEngine {
    pub(crate) cfg: Settings,
    rng: Pcg64Mcg,
    clock: Clock,
    subscription: DiscoverySchedule,
    pub(crate) now: f64,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    out_by_hand: BTreeSet<ServerId>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pending: BTreeMap<RequestId, OpenRequest>,
    flights: BTreeMap<(RequestId, u32), InFlightAttempt>,
    times: Vec<LatencyEstimate>,
    meters: Vec<TenantMeter>,
    pub(crate) sessions: SessionTokenStore,
    retries: f64,
    crowd: bool, // the floors of all gateways' windows together are more than a server should hold
    pace: ServerThroughput,
    work: RequestCosts,
    relief: PrimaryReadAdmission,
    in_time: Ewma,
    refused: Ewma,
    lost: Ewma,                  // share of attempts that ended without an answer
    forecast: FailoverDurations, // of how long changes of primary take
    mix: Vec<f64>,               // how often each class of reads was asked for of late
}

impl RoutingEngine {
    /// A gateway that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            times: settings.classes.iter().map(LatencyEstimate::initial).collect(),
            mix: vec![0.0; settings.classes.len()],
            meters: vec![TenantMeter::default(); settings.tenants.len()],
            clock: Clock::default(),
            subscription: DiscoverySchedule::default(),
            retries: (RETRY_BURST / f64::from(settings.instance_count)).max(1.0),
            pace: ServerThroughput::new(settings.instance_count),
            work: RequestCosts::new(&settings.classes),
            relief: PrimaryReadAdmission::default(),
            lost: Ewma::default(),
            refused: Ewma::default(),
            in_time: Ewma::default(),
            crowd: f64::from(settings.instance_count) * MIN_LIMIT > INITIAL_LIMIT,
            cfg: settings,
            servers: BTreeMap::new(),
            out_by_hand: BTreeSet::new(),
            groups: BTreeMap::new(),
            forecast: FailoverDurations::default(),
            pending: BTreeMap::new(),
            flights: BTreeMap::new(),
            sessions: SessionTokenStore::default(),
            now: 0.0,
        })
    }

    /// Learns from all events of a batch, then decides. Both happen at `now`.
    pub fn step(&mut self, now: Duration, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        let late = self.clock.timer.map_or(0.0, |t| secs(now) - t);
        self.clock.stood = if late > STOOD_LEAST { late } else { 0.0 };
        self.now = self.now.max(secs(now));
        self.sessions.start(self.now);
        events.into_iter().for_each(|event| self.learn(event, out));
        self.follow_list(out);
        self.judge(out);
        self.watch_primaries(out);
        self.dispatch(out);
        self.wake(out);
    }

    fn learn(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(view) => self.learn_view(view),
            Event::Settings(settings) => self.retune(*settings),
            Event::TakenOutOfService(server) => self.put_out(server),
            Event::ReturnedToService(server) => self.call_back(server),
            Event::Request(request) => self.accept(request, actions),
            Event::AttemptEnded(ended) => self.learn_outcome(ended, actions),
            Event::StreamStarted { request, .. } => {
                self.pending.entry(request).and_modify(|p| p.streaming = true);
            }
            Event::HealthChecked { server, ok, load_report: report } => self.learn_probe(server, ok, report),
            Event::SnapshotReceived(snapshot) => self.restore(*snapshot),
            Event::PeerMessage(word) => self.learn_word(word),
            Event::Timer(TimerId(id)) => {
                self.clock.timer = self.clock.timer.filter(|_| id != self.clock.timers)
            }
            Event::ClientGone(request) => {
                self.pending.remove(&request);
                self.call_off(request, actions);
            }
            Event::Gossip { bytes, .. } => self.learn_peer(&bytes),
        }
    }

    /// New settings. What was learned stays, but for that of classes which are no longer what they were.
    fn retune(&mut self, settings: Settings) {
        for (i, class) in settings.classes.iter().enumerate() {
            if self.cfg.classes.get(i) != Some(class) {
                self.work.reset_class(i, class);
                match self.times.get_mut(i) {
                    Some(time) => (*time, self.mix[i]) = (LatencyEstimate::initial(class), 0.0),
                    None => {
                        self.times.push(LatencyEstimate::initial(class));
                        self.mix.push(0.0);
                    }
                }
            }
        }
        self.meters.resize(settings.tenants.len(), TenantMeter::default());
        self.crowd = f64::from(settings.instance_count) * MIN_LIMIT > INITIAL_LIMIT;
        self.cfg = settings;
    }

    /// The operators took a server out: it drains, whatever the list says, until they call it back.
    fn put_out(&mut self, id: ServerId) {
        self.out_by_hand.insert(id);
        self.servers.entry(id).and_modify(|s| s.out_by_hand = true);
        self.groups.values_mut().for_each(|g| g.set.server_draining(id, self.now));
    }

    /// It may serve again. Its process may have started anew, so it counts as cold and behind.
    fn call_back(&mut self, id: ServerId) {
        let known = self.out_by_hand.remove(&id);
        let Some(server) = self.servers.get_mut(&id).filter(|_| known) else { return };
        (server.out_by_hand, server.down, server.doubt) = (false, None, 0.0);
        (server.started, server.budget, server.lag) = (Some(self.now), 1.0, f64::INFINITY);
        server.window = ConcurrencyLimit::new(self.now, 1.0 / f64::from(self.cfg.instance_count));
    }

    fn learn_view(&mut self, view: EndpointUpdate) {
        match view {
            EndpointUpdate::Changes(_) | EndpointUpdate::Full(_) => {
                self.subscription.update_received(self.now)
            }
            EndpointUpdate::Cached(_) => self.subscription.list_cached(),
            EndpointUpdate::Failed => {
                self.subscription.call_failed(self.now, &self.cfg, || self.rng.random())
            }
        }
        let (entries, full) = match view {
            EndpointUpdate::Failed => return,
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (entries, true),
        };
        let (now, only_draining) = (self.now, self.cfg.rules.removed_may_serve);
        let share = 1.0 / f64::from(self.cfg.instance_count);
        self.servers.values_mut().for_each(|s| s.listed &= !full);
        for entry in entries {
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(&entry, now, share));
            server.listed = entry.state != EndpointState::Removed;
            let gone = entry.state == EndpointState::Removed && (server.barred || !only_draining);
            server.barred = gone || entry.state == EndpointState::Draining;
            (server.zone, server.rating) = (entry.zone, entry.relative_capacity.max(1e-3));
            let warm_up = secs(self.cfg.rules.warm_up);
            if let Some(start) = entry.started_at.map(secs).filter(|s| now - s < warm_up) {
                if server.started.is_none_or(|known| start > known) {
                    // A random part of the first place: all gateways learn of a start at once.
                    (server.started, server.budget) = (Some(start), self.rng.random::<f64>());
                    server.lag = f64::INFINITY; // behind until it tells how far
                }
            }
            let group = self.groups.entry(server.group).or_default();
            if entry.listed_primary && !server.head && !server.closed() {
                group.set.primary_listed(entry.server, now, &mut self.forecast);
            }
            server.head = entry.listed_primary;
        }
        self.servers.retain(|_, s| s.listed || only_draining || s.in_flight > 0.0);
        self.groups.values_mut().for_each(|g| g.members.clear());
        for (id, server) in &mut self.servers {
            server.barred |= !server.listed && !only_draining;
            server.out_by_hand = self.out_by_hand.contains(id);
            let group = self.groups.entry(server.group).or_default();
            group.members.push(*id);
            if server.closed() && server.listed {
                group.set.server_draining(*id, now);
            } else if server.closed() {
                group.set.server_removed(*id, now);
            }
        }
        self.groups.values_mut().for_each(|g| g.set.retain_members(now, |id| g.members.contains(&id)));
    }

    fn accept(&mut self, request: Request, actions: &mut Vec<Action>) {
        let (now, class) = (self.now, &self.cfg.classes[request.class.0]);
        if self.pending.contains_key(&request.id) {
            return;
        }
        let token = match (class.consistency, self.cfg.session_tokens) {
            (Consistency::Causal, SessionTokens::FromClient) => {
                request.last_write_age.map_or(0.0, |ago| now - secs(ago))
            }
            (Consistency::Causal, SessionTokens::Tracked) => {
                self.sessions.required_position(request.session.as_deref(), now)
            }
            (Consistency::Linearizable, _) => now,
            _ => 0.0,
        };
        let mut over_share = false; // past its quota, as far as this gateway's part of the traffic tells
        if let Some(tenant) = request.tenant {
            let meter = &mut self.meters[tenant.0];
            (meter.rate, meter.at) = (meter.rate * (-(now - meter.at) / 2.0).exp() + 0.5, now);
            over_share =
                meter.rate * f64::from(self.cfg.instance_count) > self.cfg.tenants[tenant.0].quota_per_s;
        }
        let burst = (RETRY_BURST / f64::from(self.cfg.instance_count)).max(1.0);
        self.retries = (self.retries + RETRY_SHARE).min(burst);
        let deadline = now + secs(request.time_left);
        let aim = (now + secs(class.latency_objective)).min(deadline);
        let (id, group, place) = (request.id, request.group, request.class);
        let read = class.consistency != Consistency::Write;
        let shed = read && !self.admits(place, group);
        self.groups.entry(group).or_default();
        self.pending.insert(
            id,
            OpenRequest::new(request, now, aim, deadline, token, over_share, self.cfg.limits.max_attempts),
        );
        if (shed && !self.has_calm(id)) || (read && self.crowd && self.is_placeless(id)) {
            self.finish(id, None, actions);
        }
    }

    /// Whether the primary of a read's set has room for it beside the writes of all gateways.
    fn spares(&self, p: &OpenRequest) -> bool {
        let class = &self.cfg.classes[p.request.class.0];
        let late = self.groups.get(&p.request.group).map(|g| &g.late);
        late.is_none_or(|late| self.relief.admits(late, self.now, class, &self.cfg.classes, &MEMORY))
    }

    /// Whether only the primary could serve a read that has come, and has no room for it: best said at once.
    fn is_placeless(&self, id: RequestId) -> bool {
        let Some(p) = self.pending.get(&id) else { return false };
        let known = self.groups.get(&p.request.group).and_then(|g| g.set.primary());
        let Some(primary) = known.filter(|_| !self.spares(p)) else { return false };
        let required = self.required(p);
        !self.members(p.request.group).any(|(i, s)| i != primary && !s.closed() && s.position >= required)
    }

    /// Whether a replica that is fresh enough for a read, and was not slow, has room for it.
    fn has_calm(&self, id: RequestId) -> bool {
        let Some(p) = self.pending.get(&id) else { return false };
        let required = self.required(p);
        let primary = self.groups.get(&p.request.group).and_then(|g| g.set.primary());
        self.members(p.request.group).any(|(i, s)| {
            let calm = s.has_room(self.now) && s.slowness_at(self.now) < SPILL;
            primary != Some(i) && calm && s.position >= required && self.permitted(p, i, s)
        })
    }

    /// Where the floors of all gateways' windows together are more than a server should hold, no window
    /// bounds the fleet: then the share of reads let in follows the share answered in time, reads of most
    /// worth for each second of work first. Guards against servers that are late for all. Harms where
    /// reads were late for another cause, such as one sick server of two.
    fn admits(&mut self, class: ClassId, group: GroupId) -> bool {
        self.mix.iter_mut().for_each(|m| *m *= MIX_KEPT);
        self.mix[class.0] += 1.0;
        let value = |c: usize| self.cfg.classes[c].priority_weight / self.times[c].mean.max(1e-3);
        let above = self.mix.iter().enumerate().filter(|c| value(c.0) > value(class.0)).map(|c| c.1);
        let (above, all) = (above.sum::<f64>(), self.mix.iter().sum::<f64>());
        let pass = 1.0 - self.groups.get(&group).map_or(0.0, |g| g.shed);
        self.rng.random::<f64>() * self.mix[class.0] < pass * all - above || pass >= 1.0
    }

    fn adjust_pass(&mut self, group: GroupId, good: bool) {
        if !self.crowd {
            return;
        }
        // Where gateways can't tell each other, a read's end moves all groups, each by what is known of it.
        let (now, pooled) = (self.now, !self.cfg.limits.allow_gossip);
        self.in_time.record(now, f64::from(u8::from(good)), &MEMORY);
        let usual = if pooled { self.in_time.estimate(now, 1.0, &MEMORY) } else { 1.0 };
        for (id, load) in self.groups.iter_mut().filter(|(id, _)| pooled || **id == group) {
            if *id == group {
                load.in_time.record(now, f64::from(u8::from(good)), &MEMORY);
            }
            let good = load.in_time.estimate(now, usual, &MEMORY) >= GOOD_SHARE;
            let step = if good { PASS_UP } else { PASS_DOWN };
            load.shed = 1.0 - ((1.0 - load.shed) * step).clamp(PASS_LEAST, 1.0);
        }
    }

    /// Tells some other gateways how an attempt ended. Guards against each knowing too little of a server
    /// or group that all of them crowd. Harms by its price, and where one side's trouble is told to others.
    fn tell(&mut self, id: ServerId, ratio: f64, flags: u8, actions: &mut Vec<Action>) {
        if !(self.cfg.limits.allow_gossip && self.crowd) {
            return;
        }
        let bytes = GossipMessage { server: id, ratio, flags }.encode();
        let price = self.cfg.prices.gossip * bytes.len() as f64 / 256.0;
        for _ in 0..(PEER_SPEND / price.max(1e-9)).min(PEERS_MOST) as u32 {
            let to = self.rng.random_range(0..self.cfg.instance_count);
            if to != self.cfg.instance_index {
                actions.push(Action::Gossip { to: Some(to), bytes: bytes.clone() });
            }
        }
    }

    /// Learns from another gateway's attempt as from an own one, but for what one side alone may see: its
    /// word takes no server down, and settles no role, position or rule.
    fn learn_peer(&mut self, bytes: &[u8]) {
        let Some(GossipMessage { server, ratio, flags }) = GossipMessage::decode(bytes) else { return };
        let Some(server) = self.servers.get_mut(&server) else { return };
        server.slowness.record(self.now, ratio.min(10.0), &MEMORY);
        let group = server.group;
        if flags & TOLD_READ != 0 {
            self.adjust_pass(group, flags & TOLD_GOOD != 0);
        }
    }

    /// Takes a server's word on where it stands. `at` is when that was true, `sent` when it was asked.
    pub(crate) fn learn_stand(
        &mut self,
        id: ServerId,
        at: f64,
        sent: Option<f64>,
        note: (Option<f64>, Option<bool>),
    ) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let set = &mut self.groups.entry(server.group).or_default().set;
        let role = note.1.filter(|primary| !(*primary && server.closed()));
        let reported = RoleReport { server: id, observed_at: at, sent_at: sent };
        set.role_reported(role, reported, self.now, &mut self.forecast);
        // What one said of itself while it took itself for the primary may never have been true.
        let anew = role == Some(false) && server.replica_at.is_none();
        if role == Some(true) && set.primary() == Some(id) {
            server.replica_at = None;
        } else if role == Some(false) && set.primary() != Some(id) {
            server.replica_at = Some(server.replica_at.map_or(at, |t| t.max(at)));
        }
        // One that was deposed and does not know takes itself to be at the present, and is not.
        if let Some(position) = note.0.filter(|_| !set.is_deposed(id)) {
            server.position = if anew { position } else { server.position.max(position) };
            if at >= server.heard {
                (server.heard, server.lag) = (at, (at - position).max(0.0));
            }
        }
    }

    fn learn_report(&mut self, id: ServerId, report: Option<LoadReport>) {
        // It is as old as a primary's position in it; a replica's may be older still.
        let Some((report, position)) = report.and_then(|r| r.position.map(|p| (r, secs(p)))) else { return };
        let primary = report.primary.filter(|p| *p);
        self.learn_stand(id, position, None, (Some(position), primary));
    }

    fn learn_outcome(&mut self, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let (request, complete) = (ended.request, ended.request_complete);
        if let Some(flight) = self.flights.remove(&(request, ended.attempt.0)) {
            self.learn_end(ended, &flight, actions);
        }
        if complete {
            self.pending.remove(&request);
        }
    }

    fn learn_end(&mut self, ended: AttemptEnded, flight: &InFlightAttempt, actions: &mut Vec<Action>) {
        let AttemptEnded { request, attempt, server: id, outcome, status: note, load_report: report, .. } =
            ended;
        let now = self.now;
        let need = self.cfg.classes[flight.class.0].consistency;
        let note = note.unwrap_or(ServerStatus { position: None, primary: None });
        // Who turns a write away takes none, whatever it says of its role.
        let role = if outcome == Outcome::Misdirected && need == Consistency::Write {
            Some(false)
        } else {
            note.primary
        };
        // What this gateway stood still was nobody's time: an answer found after it counts without it.
        let (took, mean) = (now - flight.sent, self.times[flight.class.0].mean);
        let took = (took - self.clock.stood).max(took.min(mean));
        let blamed = self.blames(request, outcome);
        let end = AttemptResult { outcome, took, blamed, primary: role == Some(true) };
        self.learn_server(id, flight, &end, actions);
        let set = self.servers.get(&id).and_then(|s| self.groups.get_mut(&s.group));
        if let Some(group) = set.filter(|g| g.set.primary() == Some(id)) {
            let class = &self.cfg.classes[flight.class.0];
            let attempt = PrimaryAttempt { class, elapsed_secs: took, outcome };
            self.relief.record(&mut group.late, now, &attempt, &MEMORY);
        }
        let warm = |s: &&Server| outcome == Outcome::Success && s.cold(now, &self.cfg.rules) >= 1.0;
        if let Some(group) = self.servers.get(&id).filter(warm).map(|s| s.group) {
            self.pace.record_response(self.whole(group) == Some(id));
            self.work.record_response(flight.class.0, self.times[flight.class.0].mean, now);
        }
        if outcome.is_response() {
            self.servers.entry(id).and_modify(|s| s.heard = now);
            self.groups.values_mut().for_each(|g| g.set.response_received(id, outcome, flight.sent, took));
            // A commit is rounded up, and its server may not have got so far.
            let up = if outcome == Outcome::Success && need == Consistency::Write { ROUNDED } else { 0.0 };
            let position = note.position.map(|position| secs(position) - up);
            self.learn_stand(id, now, Some(flight.sent), (position, role));
        }
        self.learn_report(id, report);
        let wrote = flight.session.as_ref().filter(|_| outcome == Outcome::Success);
        if let Some((session, commit)) = wrote.zip(note.position) {
            self.sessions.record_write(session.clone(), secs(commit));
        }
        if need == Consistency::Write {
            self.learn_write_end(id, flight.sent, outcome == Outcome::Success, actions);
        }
        if matches!(outcome, Outcome::Success | Outcome::Timeout | Outcome::Rejected) {
            let read = need != Consistency::Write;
            let good = outcome == Outcome::Success
                && took <= secs(self.cfg.classes[flight.class.0].latency_objective);
            if let Some(group) = self.servers.get(&id).map(|s| s.group).filter(|_| read) {
                self.adjust_pass(group, good);
            }
            if outcome != Outcome::Rejected {
                let flags = if read { TOLD_READ } else { 0 } | if good { TOLD_GOOD } else { 0 };
                self.tell(id, took / mean.max(1e-3), flags, actions);
            }
        }
        let Some(p) = self.pending.get_mut(&request) else { return };
        p.out = p.out.saturating_sub(1);
        match outcome {
            Outcome::Misdirected => p.turned_away.push(id),
            _ => p.failed_at = Some(id),
        }
        p.fate.record_ended(attempt, outcome);
        if !blamed {
            self.finish(request, None, actions);
        }
    }

    /// A write ended. Where it is the first one served after a failover, those that are out at the primary
    /// before it get no answer any more, and their clients hear so at once: they may have run.
    fn learn_write_end(&mut self, id: ServerId, sent: f64, ok: bool, actions: &mut Vec<Action>) {
        let Some(group) = self.servers.get(&id).map(|s| s.group) else { return };
        let set = &mut self.groups.entry(group).or_default().set;
        if !ok {
            set.write_failed(sent);
            return;
        }
        let Some(before) = set.write_served(id, sent) else { return };
        let write = |p: &OpenRequest| self.cfg.classes[p.request.class.0].consistency == Consistency::Write;
        let doomed = self.pending.values().filter(|p| write(p) && p.fate.is_in_flight_at(before));
        for request in doomed.map(|p| p.request.id).collect::<Vec<_>>() {
            self.call_off(request, actions);
            self.finish(request, None, actions);
        }
    }

    fn call_off(&self, request: RequestId, actions: &mut Vec<Action>) {
        let out =
            self.flights.range((request, 0)..=(request, u32::MAX)).filter(|_| self.cfg.limits.allow_cancel);
        actions.extend(out.map(|(k, _)| Action::Cancel { request, attempt: AttemptNumber(k.1) }));
    }

    /// Whether an end is its server's doing. Guards against requests that fail anywhere: where a tenant's
    /// errors are many times the others', they follow the tenant, condemn no server and are not tried again.
    /// Harms a tenant whose groups alone are sick: its requests get their error at once.
    fn blames(&mut self, request: RequestId, outcome: Outcome) -> bool {
        let tenant = self.pending.get(&request).and_then(|p| p.request.tenant);
        let told = matches!(outcome, Outcome::Success | Outcome::ServerError);
        let Some(tenant) = tenant.filter(|_| told) else { return true };
        let now = self.now;
        self.meters[tenant.0].errors.record(
            now,
            f64::from(u8::from(outcome == Outcome::ServerError)),
            &MEMORY,
        );
        let errors = |m: &TenantMeter| m.errors.estimate(now, 0.0, &MEMORY);
        let others = self.meters.iter().enumerate().filter(|(i, _)| *i != tenant.0);
        let rest = others.fold((0.0, 0.1), |(e, n), (_, m)| (e + errors(m), n + 1.0));
        outcome == Outcome::Success
            || errors(&self.meters[tenant.0]) < (4.0 * rest.0 / rest.1).max(ERRORS_OWN)
    }

    /// What an attempt's end says of its server and of the ways there.
    fn learn_server(
        &mut self,
        id: ServerId,
        flight: &InFlightAttempt,
        end: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let (now, outcome, took, ok) = (self.now, end.outcome, end.took, end.outcome == Outcome::Success);
        let Some(server) = self.servers.get_mut(&id) else { return };
        // Guards against jams that feed themselves: work given up on is often still done, and keeps its
        // place in the window for as long again. Harms where servers drop such work at once.
        let ghost = matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        server.ghosts.push((if ghost { now + took.min(GHOST_MOST) } else { now }, flight.expected));
        server.release(now);
        // A time-out teaches too: if only quick answers did, time-outs would shrink themselves.
        let time = &mut self.times[flight.class.0];
        let usual = time.mean;
        if ok || (outcome == Outcome::Timeout && took > usual) {
            server.slowness.record(now, (took / usual.max(1e-4)).min(10.0), &MEMORY);
            if server.down.is_none() {
                let seen = took.min(6.0 * usual); // a few costly requests don't speak for the class
                time.deviation += GAIN_CLASS * ((seen - usual).abs() - time.deviation);
                time.mean += GAIN_CLASS * (seen - usual);
                let aim = secs(self.cfg.classes[flight.class.0].latency_objective);
                server.window.record_completion(ok && took <= 0.5 * aim);
            }
        }
        if end.blamed && !matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Misdirected) {
            let failed = matches!(outcome, Outcome::ServerError | Outcome::Rejected);
            server.errors.record(now, f64::from(u8::from(failed)), &MEMORY);
        }
        let lost = match outcome {
            Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Timeout => took > usual + 3.0 * self.times[flight.class.0].deviation,
            _ => false,
        };
        let common: f64 = self.lost.estimate(now, LOST_USUAL, &MEMORY).clamp(LOST_USUAL, 0.9);
        let refused = outcome == Outcome::ConnectFailed && took < 0.5 * secs(self.cfg.limits.connect_timeout);
        if lost || outcome.is_response() {
            self.lost.record(now, f64::from(u8::from(lost)), &MEMORY);
        }
        // One that refuses and soon answers again was short of connections; one that is dead takes longer.
        if outcome.is_response() {
            let short = server.refused_at > 0.0 && now - server.refused_at < DEAD_LEAST;
            self.refused.record(now, f64::from(u8::from(short)), &MEMORY);
        } else if refused {
            server.refused_at = now;
        }
        // Where connects are refused at once, an idle connection is given back. Guards against few busy
        // servers held by many gateways that seldom send. Harms by further handshakes.
        if server.in_flight < 1.0 && self.crowd && self.refused.estimate(now, 0.0, &MEMORY) > REFUSED_SHARE {
            actions.push(Action::CloseIdle { server: id });
        }
        if outcome.is_response() {
            server.doubt = 0.0;
            if let Some(down) = server.down.take() {
                // Dead for long enough to start anew, it is cold though the list tells late: unless it is
                // still the primary, or most attempts fail, which is the way there.
                let least = if self.cfg.limits.allow_health_checks { DEAD_LEAST } else { 2.0 * DEAD_LEAST };
                let dead = (down.dead || !self.cfg.limits.allow_health_checks) && now - down.since > least;
                if dead && !end.primary && common < 0.5 {
                    (server.started, server.budget) = (Some(now), 0.0);
                    server.window = ConcurrencyLimit::new(now, 1.0 / f64::from(self.cfg.instance_count));
                    actions.push(Action::Log(format!("server {} answers again", id.0)));
                }
            }
        }
        let short = outcome == Outcome::ConnectFailed && now - server.heard < 0.5 * TRIAL_FIRST;
        if short || outcome == Outcome::Rejected {
            server.hold_until = now + (0.1 / (1.0 - server.errors.estimate(now, 0.0, &MEMORY))).min(1.0);
            server.window.limit = (server.window.limit - 1.0).max(MIN_LIMIT);
        } else if lost {
            // Speaks against its server the more, the rarer such ends are. Guards against dead, hung and
            // cut off servers where few requests tell, and against blaming one for what ails all. A broken
            // connection alone condemns none, nor an attempt whose server has answered others since, nor a
            // late answer of a primary, which all gateways crowd and whose silence is watched.
            let set = self.groups.get(&server.group).map(|g| &g.set).filter(|_| self.crowd);
            let steady = set.is_some_and(|s| s.primary() == Some(id) && s.phase() == Phase::Steady);
            let crowded = steady && outcome == Outcome::Timeout;
            let weak = outcome == Outcome::Reset || server.heard > flight.sent || crowded;
            let weight = if weak { WEAK_EVIDENCE } else { 1.0 };
            server.doubt += weight * (1.0 / common).ln();
            if let Some(down) = &mut server.down {
                down.trial_at = down.trial_at.max(now + down.pause);
            } else if server.doubt > DOUBT_MOST {
                server.down = Some(DownState::soon(now, outcome != Outcome::Timeout));
                actions.push(Action::Log(format!("server {} gives no answers", id.0)));
            }
        }
    }

    fn learn_probe(&mut self, id: ServerId, ok: bool, report: Option<LoadReport>) {
        let (now, Some(server)) = (self.now, self.servers.get_mut(&id)) else { return };
        server.probing = false;
        if let Some(down) = &mut server.down {
            down.probed = ok;
            if !ok {
                (down.dead, down.pause) = (true, (down.pause * 2.0).min(TRIAL_MOST));
                down.trial_at = now + down.pause;
            }
        }
        self.learn_report(id, report);
    }

    fn follow_list(&mut self, actions: &mut Vec<Action>) {
        // Where the list must be asked for: subscribe, and take a missing answer for a failure.
        let subscribe = self.cfg.discovery == DiscoveryMode::Subscribe;
        if subscribe && self.subscription.is_call_due(self.now, &self.cfg, || self.rng.random()) {
            actions.push(Action::Watch { on: true });
        }
    }

    /// Ends periods, fills cold budgets, and probes where a probe is due.
    fn judge(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        for group in self.groups.values_mut() {
            (group.waiting, group.writes_waiting) = (0, 0);
        }
        for p in self.pending.values().filter(|p| p.out == 0) {
            let write = self.cfg.classes[p.request.class.0].consistency == Consistency::Write;
            let group = self.groups.entry(p.request.group).or_default();
            (group.waiting, group.writes_waiting) =
                (group.waiting + 1, group.writes_waiting + usize::from(write));
        }
        self.clock.elapsed = (now - self.clock.judged).min(1.0);
        if self.clock.elapsed < JUDGE_EVERY {
            return;
        }
        self.clock.judged = now;
        let told = self.servers.values().filter(|s| !s.closed()).map(|s| s.position);
        let behind = told.fold(f64::INFINITY, f64::min); // what all have passed can't matter any more
        self.sessions.forget_up_to(behind);
        self.servers.values_mut().for_each(|server| server.refresh(now));
        for flight in self.flights.values() {
            self.servers.entry(flight.server).and_modify(|s| s.oldest = s.oldest.min(flight.sent));
        }
        let pace = self.pace();
        let contract = &self.cfg.rules;
        for (&id, server) in &mut self.servers {
            let cold = server.cold(now, contract);
            if server.down.is_some() || cold < 1.0 {
                server.window.is_period_valid = false;
            }
            let waiting = self.groups.get(&server.group).map_or(0, |g| g.waiting);
            server.window.end_period_if_due(now, server.in_flight, waiting as f64);
            let rate = COLD_MARGIN * contract.overload_factor * cold * pace * server.rating;
            let most = (rate * secs(contract.overload_duration) * 0.5).max(COLD_SAVED);
            server.budget = (server.budget + rate * self.clock.elapsed).min(most);
            let trial = server.down.as_ref().is_some_and(|d| now >= d.trial_at && !d.probed);
            if trial
                && self.cfg.limits.allow_health_checks
                && !server.probing
                && server.listed
                && !server.out_by_hand
            {
                server.probing = true;
                actions.push(Action::HealthCheck { server: id });
            }
        }
    }

    /// The primary of a group with no member down. Where one is, others get more from this gateway alone.
    fn whole(&self, group: GroupId) -> Option<ServerId> {
        let down = self.members(group).any(|(_, s)| s.down.is_some());
        self.groups.get(&group)?.set.primary().filter(|_| !down)
    }

    /// Answers a second that this gateway gets from a warm server of rating 1: over all gateways that is what
    /// one manages, however few are taken to be up.
    fn pace(&mut self) -> f64 {
        let warm = |s: &&Server| !s.closed() && s.cold(self.now, &self.cfg.rules) >= 1.0;
        let rated: f64 = self.servers.values().filter(warm).map(|s| s.rating).sum();
        let primaries = self.groups.keys().filter_map(|g| self.servers.get(&self.whole(*g)?));
        let primaries: f64 = primaries.filter(warm).map(|s| s.rating).sum();
        self.pace.advance(self.clock.elapsed, WarmCapacity { all: rated, primaries }, &MEMORY);
        self.pace.per_server()
    }

    /// Looks at each group's primary: its silence, beside what is usual there and what it owes.
    fn watch_primaries(&mut self, actions: &mut Vec<Action>) {
        let (now, times) = (self.now, self.cfg.failover.suspicion_factor);
        let slowest = self.times.iter().max_by(|a, b| a.mean.total_cmp(&b.mean));
        for (id, Group { set, writes_waiting: waiting, .. }) in &mut self.groups {
            let server =
                set.watched_primary().and_then(|watched| Some((watched, self.servers.get(&watched)?)));
            let Some(((watched, server), time)) = server.zip(slowest) else { continue };
            let owed = self.flights.values().filter(|f| f.server == watched && set.is_response_owed(f.sent));
            let (owed, oldest) = owed
                .fold((0, None), |(n, first), f| (n + 1, Some(first.map_or(f.sent, |t: f64| t.min(f.sent)))));
            let (heard, down, cold) = (server.heard, server.down.is_some(), &self.cfg.rules);
            let patience = SilenceThreshold {
                typical_response_secs: time.mean,
                slowdown: 1.0 / server.cold(now, cold),
                suspicion_factor: times,
                unanswered: owed,
            };
            if let Some(phase) = set.observe_primary(
                now,
                &PrimaryObservation {
                    last_response: heard,
                    oldest_unanswered: oldest,
                    is_down: down,
                    silence_threshold: patience,
                    queued_writes: *waiting,
                },
            ) {
                actions.push(Action::Log(format!("group {} is {phase}; {waiting} writes wait", id.0)));
            }
        }
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let mut order: Vec<(f64, f64, RequestId)> =
            self.pending.values().filter(|p| p.out == 0 && !p.streaming).map(|p| self.rank(p)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let (mut queued, mut holding) = (BTreeMap::<GroupId, f64>::new(), BufferUsage::default());
        for (_, _, id) in order {
            let Some(p) = self.pending.get(&id) else { continue };
            let (group, bytes) = (p.request.group, p.request.statement_bytes);
            let write = self.cfg.classes[p.request.class.0].consistency == Consistency::Write;
            let stay = self.stay(p).filter(|_| write);
            let refused = stay.and_then(BufferDecision::retry_after_secs);
            if refused.is_some() || !self.may_send(p) || self.hopeless(p) {
                self.groups.entry(group).or_default().shed_at = self.now;
                self.finish(id, refused, actions);
                continue;
            }
            let choice = if write { self.choose_write(id) } else { self.choose_read(id, actions) };
            if let Some((server, timeout)) = choice {
                self.send(id, server, timeout, actions);
                continue;
            }
            let length = queued.entry(group).or_default();
            *length += f64::from(u8::from(stay.is_none()));
            let windows = self.members(group).filter(|(_, s)| !s.closed()).map(|(_, s)| s.window.limit);
            let room = QUEUE_PER_WINDOW * windows.sum::<f64>().max(INITIAL_LIMIT);
            let held = stay.is_none() || holding.try_reserve(group, bytes, &self.cfg.failover);
            if *length > room || !held {
                self.finish(id, None, actions);
            }
        }
    }

    fn rank(&self, p: &OpenRequest) -> (f64, f64, RequestId) {
        let class = &self.cfg.classes[p.request.class.0];
        let time = self.times[p.request.class.0].mean.max(1e-3);
        let late = self.now + 0.5 * time > p.aim;
        let share = if p.over_share { self.cfg.over_quota_weight } else { 1.0 };
        let worth = class.priority_weight * share * if late { class.late_weight } else { 1.0 };
        // Guards against serving all just too late: where reads wait in vain, the youngest has time left.
        let shed = self.groups.get(&p.request.group).map_or(0.0, |g| g.shed_at);
        let youngest = class.consistency != Consistency::Write && self.now - shed < PRESSED;
        let turn = if youngest { -p.arrived } else { p.arrived };
        // What a change of primary held goes out by its deadline.
        let held = |g: &Group| class.consistency == Consistency::Write && g.set.is_releasing();
        let held = self.groups.get(&p.request.group).is_some_and(held);
        (worth / time, if held { p.deadline } else { turn }, p.request.id)
    }

    fn hopeless(&self, p: &OpenRequest) -> bool {
        let class = &self.cfg.classes[p.request.class.0];
        let until = if class.late_weight > 0.0 { p.deadline } else { p.aim };
        // The estimate never shuts a class out by itself: a class that is never sent teaches nothing again.
        let time = &self.times[p.request.class.0];
        let mean = time.mean.min(0.8 * secs(class.latency_objective).min(p.deadline - p.arrived));
        self.now + time.min_time_left(mean, class.idempotency) >= until || self.unplaced(p)
    }

    /// A read where reads have just waited in vain, for near half its time. Guards against keeping its client
    /// from asking again: of such reads the youngest go ahead. Harms clients that never ask again.
    fn unplaced(&self, p: &OpenRequest) -> bool {
        let read = self.cfg.classes[p.request.class.0].consistency != Consistency::Write;
        let shed = self.groups.get(&p.request.group).map_or(0.0, |g| g.shed_at);
        let pressed = read && p.attempts == 0 && self.now - shed < PRESSED;
        pressed && self.now >= p.arrived + PLACED_WITHIN * (p.deadline - p.arrived)
    }

    /// Whether a write waits on where its group takes none; nothing where it takes some, or only pauses.
    fn stay(&self, p: &OpenRequest) -> Option<BufferDecision> {
        let outlook = self.groups.get(&p.request.group)?.set.recovery_forecast(self.now, &self.forecast)?;
        let takes = 0.8 * self.times[p.request.class.0].mean.min(p.deadline - p.arrived);
        let (arrived, deadline, reached) = (p.arrived, p.deadline, !p.turned_away.is_empty());
        let hold = BufferedWrite {
            arrived,
            deadline,
            service_secs: takes,
            was_declined: reached,
            forecast: outlook,
        };
        Some(hold.decide(self.now, &self.cfg.failover))
    }

    fn may_send(&self, p: &OpenRequest) -> bool {
        let class = &self.cfg.classes[p.request.class.0];
        let again = match (p.fate.first_possible_execution(), class.idempotency) {
            (None, _) => true,
            (Some(_), Idempotency::Idempotent) => self.retries >= 1.0,
            (Some(first), Idempotency::WithKey { window, .. }) => {
                self.now + 0.01 < first.sent_at + secs(window)
            }
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        again && p.attempts < p.most_attempts && self.now < p.deadline
    }

    /// Rules 2 to 5, just before a send: whether this server may have this request now.
    fn permitted(&self, p: &OpenRequest, id: ServerId, server: &Server) -> bool {
        let class = &self.cfg.classes[p.request.class.0];
        let zoned = matches!(class.idempotency, Idempotency::WithKey { scope: KeyScope::Zone, .. });
        let first = p.fate.first_possible_execution().and_then(|first| self.servers.get(&first.server));
        let scope = !zoned
            || p.fate.first_possible_execution().is_none()
            || first.is_some_and(|f| f.zone == server.zone);
        let cost = self.work.cost(p.request.class.0);
        let cold = server.cold(self.now, &self.cfg.rules) >= 1.0 || server.budget >= cost;
        let primary = self.groups.get(&server.group).and_then(|g| g.set.primary()) == Some(id);
        let current = self.cfg.stale_read_policy != StaleReadPolicy::AnswerStale
            || class.consistency == Consistency::Write
            || (primary && server.replica_at.is_none())
            || server.position >= self.required(p);
        server.group == p.request.group && !server.closed() && scope && cold && current
    }

    fn required(&self, p: &OpenRequest) -> f64 {
        match self.cfg.classes[p.request.class.0].consistency {
            Consistency::BoundedStaleness(age) => self.now - secs(age),
            _ => p.token,
        }
    }

    fn members(&self, group: GroupId) -> impl Iterator<Item = (ServerId, &Server)> + Clone {
        let ids = self.groups.get(&group).map_or(&[][..], |g| &g.members);
        ids.iter().filter_map(|i| Some((*i, self.servers.get(i)?)))
    }

    fn choose_write(&mut self, id: RequestId) -> Option<(ServerId, f64)> {
        let now = self.now;
        let p = self.pending.get(&id)?;
        let set = &self.groups.get(&p.request.group)?.set;
        if let Some((primary, server)) = set.writable_primary().and_then(|i| Some((i, self.servers.get(&i)?)))
        {
            let fits = set.admits_write() && server.has_room(now) && self.permitted(p, primary, server);
            if !fits {
                return None;
            }
            let first = p.attempts == 0 && p.most_attempts > 2 && set.phase() == Phase::Steady;
            let wanted = PositionDemand::new(&self.cfg, self.crowd, now).filter(|_| first);
            let replicas = self.members(p.request.group).filter(|m| m.0 != primary);
            let may = |id, s: &Server| !set.is_deposed(id) && s.has_room(now) && self.permitted(p, id, s);
            let asked = wanted.and_then(|wanted| scout(replicas, wanted, now, may, id.0));
            return Some((asked.unwrap_or(primary), self.timeout(p, server)));
        }
        // No primary: one write at a time asks the members in id order; after a round the next one waits.
        if !set.may_ask_for_primary(now) || p.attempts + 2 > p.most_attempts {
            return None;
        }
        let may = |m: &(ServerId, &Server)| m.1.has_room(now) && self.permitted(p, m.0, m.1);
        let (group, left) = (p.request.group, p.deadline - now);
        let members = self
            .members(group)
            .filter(may)
            .map(|(id, s)| InquiryCandidate { server: id, silence_secs: s.silence(now) });
        let members: Vec<_> = members.collect();
        Some((self.groups.get_mut(&group)?.set.next_to_ask(&members, now, &self.forecast)?, left))
    }

    fn choose_read(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<(ServerId, f64)> {
        let now = self.now;
        let (draw, other) = (self.rng.random::<u32>() as usize, self.rng.random::<u32>() as usize);
        let p = self.pending.get(&id)?;
        let class = &self.cfg.classes[p.request.class.0];
        let required = self.required(p);
        let group = self.groups.get(&p.request.group)?;
        let may = |(i, s): &(ServerId, &Server)| !p.turned_away.contains(i) && self.permitted(p, *i, s);
        let (up, down): (Vec<(ServerId, &Server)>, Vec<_>) =
            self.members(p.request.group).filter(may).partition(|(_, s)| s.down.is_none());
        // A server that is down gets one fresh read as a trial when its time has come, or any read soon
        // where no member of the group is up.
        let due = |d: &DownState| {
            let ready =
                p.attempts == 0 && now >= d.trial_at && (d.probed || !self.cfg.limits.allow_health_checks);
            ready || (up.is_empty() && now >= d.trial_at - d.pause + TRIAL_FIRST)
        };
        let due: Vec<_> = down.iter().filter(|(_, s)| s.down.as_ref().is_some_and(due)).collect();
        if class.idempotency == Idempotency::Idempotent && !due.is_empty() {
            let i = due[draw % due.len()].0;
            let timeout = (self.times[p.request.class.0].mean * 3.0).min(p.deadline - now);
            let rate = self.pace.total(&MEMORY);
            let down = self.servers.get_mut(&i)?.down.as_mut()?;
            down.pause = (down.pause * 2.0).min(TRIAL_MOST.max(1.0 / (TRIAL_SHARE * rate.max(0.1))));
            (down.trial_at, down.probed) = (now + down.pause, false);
            return Some((i, timeout));
        }
        // A silent primary gets a read, to see whether it answers.
        let canary = group
            .set
            .canary_target(now)
            .filter(|_| class.idempotency == Idempotency::Idempotent && p.attempts == 0);
        let canary = up.iter().find(|(i, s)| canary == Some(*i) && s.has_room(now)).copied();
        let busy = |s: &Server| self.busy(s, p);
        // Where replicas check, one is taken to be as far behind as when it last told: a wrong guess costs
        // a miss. Guards against all reads of a gateway that seldom hears ending at one member.
        let guess = self.cfg.stale_read_policy != StaleReadPolicy::AnswerStale;
        let fits = |s: &Server| s.position >= required || (guess && now - s.lag >= required);
        let primary = group.set.primary();
        let replica =
            |s: &(ServerId, &Server)| class.consistency != Consistency::Linearizable && primary != Some(s.0);
        let fresh: Vec<_> = up.iter().filter(|s| replica(s) && fits(s.1)).collect();
        let mut open: Vec<_> = fresh.iter().filter(|(_, s)| s.has_room(now)).collect();
        if open.len() > 1 {
            open.retain(|(i, _)| p.failed_at != Some(*i));
        }
        let mut chosen: Option<(ServerId, &Server)> = None;
        if !open.is_empty() {
            let (first, second) = (draw % open.len(), (1 + other % (open.len() - 1).max(1)) % open.len());
            open.rotate_left(first); // no two gateways go through them in one order
            let (a, b) = (open[0], open[second]);
            chosen = Some(if busy(b.1) < busy(a.1) { **b } else { **a });
            // One that has not told where it stands since its start comes first: until then it serves few.
            let unheard = |s: &Server| s.in_flight < 1.0 && (s.position == 0.0 || s.lag.is_infinite());
            chosen = open.iter().find(|s| !guess && unheard(s.1)).map(|s| ***s).or(chosen);
        }
        // What any member may serve goes where others' reads can't, and keeps that one from catching up.
        let spent = |s: &(ServerId, &Server)| {
            s.1.lag > SPENT.0 && busy(s.1) < SPENT.1 * secs(class.latency_objective)
        };
        let spent =
            open.iter().filter(|s| !self.crowd && class.consistency == Consistency::Eventual && spent(s));
        chosen = spent.max_by(|a, b| a.1.lag.total_cmp(&b.1.lag)).map(|s| ***s).or(chosen);
        if chosen.is_none() && fresh.is_empty() && guess {
            let ahead = up.iter().filter(|s| replica(s) && s.1.has_room(now) && now - s.1.heard > 1.0);
            chosen = ahead.max_by(|a, b| a.1.position.total_cmp(&b.1.position)).copied();
        }
        let replicas = self.members(p.request.group).filter(|s| replica(s) && s.1.has_room(now));
        let (seen, floor) = ((self.crowd, !fresh.is_empty(), p.asked), self.sessions.floor());
        let probing = probe(replicas, &self.cfg, seen, floor, now, draw);
        // The primary serves what no replica can, or only far later. Room is kept for writes: of many
        // gateways none sends it reads while it is slow, for the writes of all meet there.
        let pauses = matches!(group.set.phase(), Phase::Suspected { .. });
        let turn = group.writes_waiting == 0 || (chosen.is_none() && group.set.is_read_turn());
        let primary = up.iter().find(|(i, _)| primary == Some(*i) && !pauses).filter(|(_, s)| {
            let most = (s.window.limit * (1.0 - WRITE_SHARE)).max(1.0);
            let spare = !self.crowd || (s.slowness_at(now) < SPILL && self.spares(p));
            spare && s.has_room(now) && turn && s.in_flight < most
        });
        let warm = |s: &Server| s.cold(now, &self.cfg.rules) >= 1.0; // the cold warm up by work
        let far = |s: &Server, c: &Server| warm(c) && SPILL * busy(s) < busy(c);
        let relief = primary.filter(|(_, s)| chosen.is_none_or(|c| far(s, c.1)));
        let choice = canary.or(relief.copied()).or(chosen).map(|(i, s)| (i, self.timeout(p, s)));
        if let ProbeDecision::Ask(server, _) = probing {
            let s = self.servers.get_mut(&server)?;
            (s.probing, s.asked) = (true, now);
            self.pending.get_mut(&id)?.asked = true;
            actions.push(Action::HealthCheck { server });
        }
        choice.filter(|_| !matches!(probing, ProbeDecision::Waits | ProbeDecision::Ask(_, true)))
    }

    /// How long a further request would take there, with the price of another zone.
    fn busy(&self, s: &Server, p: &OpenRequest) -> f64 {
        let mine = self.times[p.request.class.0].mean;
        let cold = s.cold(self.now, &self.cfg.rules);
        let overdue =
            if s.oldest.is_finite() { (self.now - s.oldest.max(s.heard)) / (2.0 * mine) } else { 0.0 };
        let slowness = s.slowness_at(self.now).max(overdue).max(1.0) / cold;
        let sure = (1.0 - s.errors.estimate(self.now, 0.0, &MEMORY)).max(0.05).powi(3);
        let crossing = if s.zone == self.cfg.zone { 0.0 } else { self.cfg.prices.cross_zone };
        (s.load + mine) * slowness / sure
            + 2.0 * crossing * secs(self.cfg.classes[p.request.class.0].latency_objective)
    }

    /// A time-out beyond which an answer is unlikely to come, where the request could then go elsewhere.
    fn timeout(&self, p: &OpenRequest, server: &Server) -> f64 {
        let left = p.deadline - self.now;
        let class = &self.cfg.classes[p.request.class.0];
        let time = &self.times[p.request.class.0];
        let enough = (time.mean + 6.0 * time.deviation) * server.slowness_at(self.now).clamp(1.0, 3.0);
        let shedding = self.groups.get(&server.group).is_some_and(|g| g.shed > 0.05);
        match class.idempotency {
            Idempotency::NonIdempotent => left,
            _ if p.attempts > 1 || self.retries < 1.0 || shedding || class.streaming => left,
            _ => enough.min(left),
        }
    }

    fn send(&mut self, id: RequestId, to: ServerId, timeout: f64, actions: &mut Vec<Action>) {
        let now = self.now;
        let (Some(p), Some(server)) = (self.pending.get_mut(&id), self.servers.get_mut(&to)) else { return };
        let expected = self.times[p.request.class.0].mean;
        server.in_flight += 1.0;
        server.load += expected;
        server.oldest = server.oldest.min(now);
        server.window.peak_in_flight = server.window.peak_in_flight.max(server.in_flight);
        if server.cold(now, &self.cfg.rules) < 1.0 {
            server.budget -= self.work.cost(p.request.class.0);
        }
        if p.fate.first_possible_execution().is_some() {
            self.retries -= 1.0;
        }
        p.fate.record_sent(p.attempts, to, now);
        let write = self.cfg.classes[p.request.class.0].consistency == Consistency::Write;
        self.groups.entry(p.request.group).and_modify(|g| {
            if write {
                g.set.write_sent(to, now);
            } else {
                g.set.read_sent(to, now);
            }
        });
        let kept = write && self.cfg.session_tokens == SessionTokens::Tracked;
        let session = p.request.session.clone().filter(|_| kept);
        let flight = InFlightAttempt { server: to, class: p.request.class, session, sent: now, expected };
        self.flights.insert((id, p.attempts), flight);
        p.attempts += 1;
        p.out += 1;
        let timeout = Duration::from_secs_f64(timeout.max(0.001));
        actions.push(Action::Forward { request: id, server: to, timeout });
    }

    /// Gives the final answer, at once; `back`: in so many s its group is expected to take writes again.
    fn finish(&mut self, id: RequestId, back: Option<f64>, actions: &mut Vec<Action>) {
        let Some(p) = self.pending.remove(&id) else { return };
        if p.fate.retry_safety(self.cfg.classes[p.request.class.0].idempotency) == RetrySafety::Unknown {
            return actions.push(Action::Fail { request: id });
        }
        // What no late answer can earn is better not asked again soon; the rest is worth a second try.
        let (late, limits) = (self.cfg.classes[p.request.class.0].late_weight, &self.cfg.limits);
        let usual = limits.max_retry_after.mul_f64(if late > 0.0 { 0.5 } else { 1.0 });
        let retry_after_hint = back.map_or(usual, |back| retry_after_hint(back, limits.max_retry_after));
        actions.push(Action::Reject {
            request: id,
            retry_after: limits.send_retry_after.then_some(retry_after_hint),
        });
    }

    fn wake(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.pending.values().any(|p| p.out == 0);
        let soon = if waiting { 2.0 * secs(self.cfg.min_step_interval).max(0.005) } else { JUDGE_EVERY };
        let after = if self.pending.is_empty() { 0.2 } else { soon };
        let at = self.now + after;
        if self.clock.timer.is_none_or(|t| t > at + 0.001 || t < self.now) {
            self.clock.timers += 1;
            self.clock.timer = Some(at);
            let (after, id) = (Duration::from_secs_f64(after), TimerId(self.clock.timers));
            actions.push(Action::SetTimer { after, id });
        }
    }
}

impl Server {
    fn slowness_at(&self, now: f64) -> f64 {
        self.slowness.estimate(now, 1.0, &MEMORY)
    }

    fn has_room(&self, now: f64) -> bool {
        self.down.is_none() && self.in_flight < self.window.limit.floor() && now >= self.hold_until
    }
}
