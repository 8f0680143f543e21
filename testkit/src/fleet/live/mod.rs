//! The same trial with processes: the built program, many times, against the modelled site on loopback sockets.
//!
//! Owns the clock, the world that all sockets share, and when each trouble comes. One thread serves all stand-ins; each proxy
//! reaches each server and the list at addresses of its own, which is how a link is known and can fail. It must
//! never tell a proxy what only the models know, nor leave a process behind.

mod clients;
mod config;
mod processes;
mod servers;
mod service;
mod wire;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

use super::check::Checker;
use super::links::{Far, Fault, Links, Way};
use super::load::{Load, Wish};
use super::plan::{End, Plan, Trouble};
use super::report::Report;
use super::site::{Effect, Site};
use clients::Front;
use processes::Processes;

/// Time at which a play begins: nothing may lie before zero.
const START: f64 = 1000.0;
/// Time in s that is left after the last request for all to be answered.
const SETTLES_S: f64 = 9.0;

/// A request that some client has asked.
struct Asked {
    wish: Wish,
}

/// All that the sockets share.
struct World {
    plan: Plan,
    clock: Clock,
    rng: Pcg64Mcg,
    site: Site,
    links: Links,
    load: Load,
    checker: Checker,
    report: Report,
    /// The zone of each proxy.
    zones: Vec<usize>,
    /// Requests by their ids.
    asked: HashMap<u64, Asked>,
    requests: u64,
    /// The commits of writes that no client has heard of yet.
    commits: HashMap<u64, f64>,
    /// Where each proxy reaches each server.
    endpoints: HashMap<(usize, usize), SocketAddr>,
    /// Where each proxy reaches the list service.
    services: Vec<SocketAddr>,
    fronts: Vec<Front>,
    processes: Processes,
    /// When each proxy was told that a former primary is none.
    denied: BTreeMap<(usize, usize), f64>,
    /// The starts of servers that the list has told each proxy.
    starts: HashMap<(usize, usize), f64>,
    /// The version of the list that each proxy was told last.
    memory: Vec<Option<usize>>,
    /// Work of new connections at each server in the present second.
    handshakes: HashMap<usize, (u64, f64)>,
    burst: (f64, f64),
    /// Something has changed that a connection may have to follow.
    changed: watch::Sender<u64>,
    /// Connections that were reset by hand: of whom, and when.
    resets: Vec<(Vec<usize>, Vec<Far>, f64)>,
}

/// The one clock: seconds of the trial, from [`START`] on.
#[derive(Debug, Clone, Copy)]
struct Clock {
    start: Instant,
    zero_unix_ms: f64,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let zero = unix.as_secs_f64() * 1e3 - START * 1e3;
        Self { start: Instant::now(), zero_unix_ms: zero.floor() }
    }

    fn now(&self) -> f64 {
        START + self.start.elapsed().as_secs_f64()
    }

    fn to_unix_ms(self, at: f64) -> f64 {
        self.zero_unix_ms + at * 1e3
    }

    async fn until(&self, at: f64) {
        let at = self.start + Duration::from_secs_f64((at - START).max(0.0));
        tokio::time::sleep_until(at.into()).await;
    }
}

/// The world, shared by all tasks of one thread.
#[derive(Clone)]
struct Shared(Rc<RefCell<World>>);

impl Shared {
    fn with<T>(&self, act: impl FnOnce(&mut World) -> T) -> T {
        act(&mut self.0.borrow_mut())
    }

    fn clock(&self) -> Clock {
        self.0.borrow().clock
    }

    fn now(&self) -> f64 {
        self.clock().now()
    }

    fn way(&self, proxy: usize, end: Far) -> Way {
        let world = self.0.borrow();
        world.links.way(proxy, end, world.clock.now())
    }

    /// Sees to what follows from something that befell the site.
    fn follow(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                // Who watches finds out by itself.
                Effect::Listed(..) | Effect::Died(..) => {}
                Effect::Elects(set, at) => {
                    let (shared, clock) = (self.clone(), self.clock());
                    spawn_local(async move {
                        clock.until(at).await;
                        let mut effects = Vec::new();
                        shared.with(|world| world.site.elect(set, clock.now(), &mut effects));
                        shared.follow(effects);
                    });
                }
            }
        }
        self.with(|world| {
            for (server, zone) in world.site.zones().into_iter().enumerate() {
                world.checker.stands(server, zone);
            }
            world.changed.send_modify(|n| *n += 1);
        });
    }
}

/// Where the program is, and where trials may write.
#[derive(Debug, Clone)]
pub struct Place {
    /// The program.
    pub program: PathBuf,
    /// A folder of this trial's own.
    pub folder: PathBuf,
}

/// Plays a plan with processes. The logs of all stay in the folder.
pub fn play(plan: Plan, place: &Place) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, perform(plan, place))
}

async fn perform(plan: Plan, place: &Place) -> io::Result<Report> {
    std::fs::create_dir_all(&place.folder)?;
    rlimit::increase_nofile_limit(u64::MAX)?;
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let load_rng = Pcg64Mcg::seed_from_u64(rng.random());
    let load = Load::new(plan.load.clone(), plan.rate, plan.proxies, plan.sets, load_rng);
    let site = Site::new(&plan, START);
    let mut checker = Checker::new(plan.settings.clone());
    site.zones().into_iter().enumerate().for_each(|(server, zone)| checker.stands(server, zone));
    let memory = vec![site.remembered(START); plan.proxies];
    let processes = Processes::new(place.clone(), plan.proxies)?;
    let world = World {
        clock: Clock::start(),
        rng,
        site,
        links: Links::default(),
        load,
        checker,
        report: Report::of(plan.settings.classes.len()),
        zones: (0..plan.proxies).map(|proxy| proxy % plan.zones).collect(),
        asked: HashMap::new(),
        requests: 0,
        commits: HashMap::new(),
        endpoints: HashMap::new(),
        services: Vec::new(),
        fronts: (0..plan.proxies).map(|_| Front::default()).collect(),
        processes,
        denied: BTreeMap::new(),
        starts: HashMap::new(),
        memory,
        handshakes: HashMap::new(),
        burst: (1.0, 0.0),
        changed: watch::Sender::new(0),
        resets: Vec::new(),
        plan: plan.clone(),
    };
    let shared = Shared(Rc::new(RefCell::new(world)));
    for proxy in 0..plan.proxies {
        let address = service::listen(&shared, proxy)?;
        shared.with(|world| world.services.push(address));
        servers::listen_to(&shared, proxy)?;
    }
    // All sockets stand before anything starts, so that the clock begins with the first process.
    shared.with(|world| world.clock = Clock::start());
    for proxy in 0..plan.proxies {
        let (shared, at) =
            (shared.clone(), shared.with(|world| world.plan.start_s * world.rng.random::<f64>()));
        spawn_local(async move {
            let clock = shared.clock();
            clock.until(START + at).await;
            processes::start(&shared, proxy).await;
            clock.until(START + at + 0.05).await;
            clients::ask_on(&shared, proxy).await;
        });
    }
    for (at, trouble) in plan.troubles.clone() {
        let shared = shared.clone();
        spawn_local(async move {
            shared.clock().until(START + at).await;
            befall(&shared, trouble).await;
        });
    }
    let clock = shared.clock();
    clock.until(START + plan.length_s + SETTLES_S).await;
    shared.with(|world| {
        let unwell = world.processes.end_all();
        let end = clock.now();
        world.checker.end(end);
        let mut report = std::mem::take(&mut world.report);
        (report.calls, report.calls_failed) = (world.site.list.calls, world.site.list.failed);
        report.call_longest_s = world.site.list.longest_s;
        (report.cold_most, report.fell) = (world.site.pushed_most(), world.site.fell);
        report.broken = world.checker.told(START);
        report.broken.extend(unwell);
        Ok(report)
    })
}

/// A trouble comes, and goes.
async fn befall(shared: &Shared, trouble: Trouble) {
    let (clock, mut effects) = (shared.clock(), Vec::new());
    let (servers, zones) = shared.with(|world| (world.site.zones(), world.zones.clone()));
    let now = clock.now();
    let proxies_of = |pick: super::plan::Pick| shared.with(|world| pick.of(&zones, &mut world.rng));
    let servers_of = |pick: super::plan::Pick| shared.with(|world| pick.of(&servers, &mut world.rng));
    match trouble {
        Trouble::Strike(pick, state, for_s) => {
            let mut struck = servers_of(pick);
            struck.retain(|s| shared.with(|world| world.site.strike(*s, state, now, &mut effects)));
            shared.follow(effects);
            clock.until(now + for_s).await;
            let mut effects = Vec::new();
            let again = |s: &usize| shared.with(|world| world.site.revive(*s, clock.now(), &mut effects));
            struck.iter().for_each(again);
            shared.follow(effects);
        }
        Trouble::Slow(pick, times, for_s) => {
            let slowed = servers_of(pick);
            slowed.iter().for_each(|s| shared.with(|world| world.site.slow(*s, times)));
            clock.until(now + for_s).await;
            slowed.iter().for_each(|s| shared.with(|world| world.site.slow(*s, 1.0)));
        }
        Trouble::Lag(set, times, for_s) => {
            shared.with(|world| world.site.lag(set, times));
            clock.until(now + for_s).await;
            shared.with(|world| world.site.lag(set, 1.0));
        }
        Trouble::ListDown(for_s) => {
            shared.with(|world| world.site.list.fail(now, for_s));
            shared.follow(effects);
        }
        Trouble::ListBack(age) => shared.with(|world| world.site.list.restore(now, age)),
        Trouble::Replace(pick, for_s) => {
            let mut drained = servers_of(pick);
            drained.retain(|s| shared.with(|world| world.site.drain(*s, now, &mut effects)));
            shared.follow(effects);
            clock.until(now + for_s).await;
            let mut effects = Vec::new();
            for server in drained {
                shared.with(|world| world.site.replace(server, clock.now(), &mut effects));
            }
            if let Err(e) = (0..zones.len()).try_for_each(|proxy| servers::listen_to(shared, proxy)) {
                shared.with(|world| world.report.broken.push(format!("the trial itself: {e}")));
            }
            shared.follow(effects);
        }
        Trouble::ByHand(pick, for_s) => {
            let out = servers_of(pick);
            processes::order(shared, &out, "offline").await;
            clock.until(now + for_s).await;
            let mut effects = Vec::new();
            for server in &out {
                shared.with(|world| world.site.restart(*server, clock.now(), &mut effects));
            }
            shared.follow(effects);
            processes::order(shared, &out, "online").await;
        }
        Trouble::Upgrade(pick) => {
            for proxy in proxies_of(pick) {
                spawn_local(processes::upgrade(shared.clone(), proxy));
            }
        }
        Trouble::Restart(pick, for_s) => {
            for proxy in proxies_of(pick) {
                spawn_local(processes::restart(shared.clone(), proxy, for_s));
            }
        }
        Trouble::Kill(pick, for_s) => {
            for proxy in proxies_of(pick) {
                spawn_local(processes::kill(shared.clone(), proxy, for_s));
            }
        }
        Trouble::Loop(pick, every, for_s) => {
            for proxy in proxies_of(pick) {
                let shared = shared.clone();
                spawn_local(async move {
                    while clock.now() < now + for_s {
                        processes::kill(shared.clone(), proxy, 0.1).await;
                        clock.until(clock.now() + every).await;
                    }
                });
            }
        }
        Trouble::Stall(pick, for_s) => {
            let proxies = proxies_of(pick);
            let stall = |stop| {
                let now = clock.now();
                shared.with(|world| proxies.iter().for_each(|p| world.processes.stall(*p, stop, now)));
            };
            stall(true);
            clock.until(now + for_s).await;
            stall(false);
        }
        Trouble::Reload(pick) => {
            let proxies = proxies_of(pick);
            proxies.iter().for_each(|proxy| shared.with(|world| world.processes.reload(*proxy)));
        }
        Trouble::Link(pick, end, fault, for_s) => {
            let proxies = proxies_of(pick);
            let ends = match end {
                End::List => vec![Far::List],
                End::Servers(pick) => servers_of(pick).into_iter().map(Far::Server).collect(),
            };
            shared.with(|world| {
                if fault == Fault::Reset {
                    world.resets.push((proxies.clone(), ends.clone(), now));
                }
                world.links.befall(proxies, ends, fault, now + for_s);
                world.changed.send_modify(|n| *n += 1);
            });
            clock.until(now + for_s).await;
            shared.with(|world| world.changed.send_modify(|n| *n += 1));
        }
        Trouble::Burst(times, for_s) => shared.with(|world| world.burst = (times, now + for_s)),
    }
}
