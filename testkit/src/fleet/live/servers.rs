//! Data servers on sockets: each listens at an address of its own for each proxy.
//!
//! Owns connections to servers: what is read there goes to the model, and what the model says is written back after the time
//! that it takes. It must never answer where a link or a machine says nothing, and never forgives what was sent.

use std::io;

use pipittack_core::api::*;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::super::check::{Rule, TOLD_SHARE};
use super::super::links::Far;
use super::super::machine::State;
use super::super::site::Taken;
use super::wire::{value, Wire};
use super::{Shared, World};
use crate::wire::{message, row};

/// Time in s after which what an answer told counts as known.
const KNOWN_AFTER_S: f64 = 0.1;

/// Opens what listens for a proxy at servers that have come since the last time.
pub fn listen_to(shared: &Shared, proxy: usize) -> io::Result<()> {
    let servers = shared.with(|world| world.site.servers.len());
    for server in 0..servers {
        if shared.with(|world| world.endpoints.contains_key(&(proxy, server))) {
            continue;
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        shared.with(|world| world.endpoints.insert((proxy, server), address));
        let shared = shared.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let talk = Talk::new(&shared, proxy, server);
                spawn_local(talk.hold(stream));
            }
        });
    }
    Ok(())
}

/// One connection of a proxy to a server.
struct Talk {
    shared: Shared,
    proxy: usize,
    server: usize,
    /// The life of the server's process that took it, and when.
    life: u32,
    since: f64,
    changed: watch::Receiver<u64>,
    /// Something was lost on it: it is reset once the link or the machine is back.
    torn: bool,
}

/// Why a connection ends.
enum End {
    /// The other side closed, or broke it.
    Closed,
    /// It is reset from here.
    Broken,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

impl World {
    fn is_reset(&self, proxy: usize, server: usize, since: f64) -> bool {
        let hit = |(proxies, ends, at): &(Vec<usize>, Vec<Far>, f64)| {
            *at >= since && proxies.contains(&proxy) && ends.contains(&Far::Server(server))
        };
        self.resets.iter().any(hit)
    }
}

impl Talk {
    fn new(shared: &Shared, proxy: usize, server: usize) -> Self {
        let (life, changed) =
            shared.with(|world| (world.site.servers[server].machine.life, world.changed.subscribe()));
        Self { shared: shared.clone(), proxy, server, life, since: shared.now(), changed, torn: false }
    }

    /// How the way there is, and whether the server's machine works.
    fn stands(&self) -> (super::Way, State, bool) {
        let way = self.shared.way(self.proxy, Far::Server(self.server));
        self.shared.with(|world| {
            let s = &world.site.servers[self.server];
            let gone = s.gone || s.machine.life != self.life || s.machine.state == State::Dead;
            let broken = way.cut || gone || world.is_reset(self.proxy, self.server, self.since);
            (way, s.machine.state, broken)
        })
    }

    /// Waits until the connection is to be reset.
    async fn broken(&mut self) -> End {
        loop {
            let (way, state, broken) = self.stands();
            let back = way.is_open() && state != State::Silent;
            if broken || (self.torn && back) {
                return End::Broken;
            }
            // A link opens by time alone.
            let look = tokio::time::sleep(std::time::Duration::from_millis(50));
            tokio::select! {
                _ = self.changed.changed() => {}
                () = look, if self.torn => {}
            }
        }
    }

    /// Time in s that one way takes.
    fn one_way(&self) -> f64 {
        let way = self.shared.way(self.proxy, Far::Server(self.server)).slow_s;
        self.shared.with(|world| {
            let near = world.zones[self.proxy] == world.site.servers[self.server].zone;
            way + if near { world.plan.near_s } else { world.plan.far_s }
        })
    }

    async fn pass(&self, ways: f64) {
        let by = self.shared.now() + ways * self.one_way();
        self.shared.clock().until(by).await;
    }

    async fn hold(mut self, stream: TcpStream) {
        let Ok(mut wire) = Wire::new(stream) else { return };
        let mut connected = false;
        let end = match self.greet(&mut wire).await {
            Ok(took) => {
                connected = took;
                if took {
                    self.converse(&mut wire).await
                } else {
                    End::Closed
                }
            }
            Err(end) => end,
        };
        if connected {
            self.shared.with(|world| {
                let machine = &mut world.site.servers[self.server].machine;
                if machine.life == self.life {
                    machine.connections = machine.connections.saturating_sub(1);
                }
            });
        }
        if matches!(end, End::Broken) {
            wire.reset();
        }
    }

    /// Welcomes a proxy; false where there is no room for it.
    async fn greet(&mut self, wire: &mut Wire) -> Result<bool, End> {
        tokio::select! {
            end = self.broken() => return Err(end),
            read = wire.startup() => read?,
        }
        let (way, state, _) = self.stands();
        if way.out_lost || state == State::Silent {
            self.torn = true;
            return Err(self.broken().await);
        }
        let room = self.shared.with(|world| world.connects(self.server));
        let rtts = self.shared.with(|world| world.plan.handshake_rtts);
        self.pass(2.0 * rtts).await;
        if way.back_lost {
            self.torn = true;
            return Err(self.broken().await);
        }
        if !room {
            wire.write(&error("53300")).await?;
            return Ok(false);
        }
        wire.write(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).await?;
        Ok(true)
    }

    async fn converse(&mut self, wire: &mut Wire) -> End {
        loop {
            let read = tokio::select! {
                end = self.broken() => return end,
                read = wire.message() => read,
            };
            let Ok((kind, body)) = read else { return End::Closed };
            if kind != b'Q' {
                return End::Closed;
            }
            let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            let (way, state, _) = self.stands();
            if way.out_lost || state == State::Silent {
                self.torn = true;
                return self.broken().await;
            }
            let said = answer(self.shared.clone(), self.proxy, self.server, text.clone());
            let said = tokio::select! {
                end = self.broken() => return end,
                () = wire.ended() => return self.left(&text),
                said = said => said,
            };
            let Some(said) = said else {
                // It takes what comes and says nothing.
                let end = tokio::select! {
                    end = self.broken() => end,
                    () = wire.ended() => End::Closed,
                };
                self.left(&text);
                return end;
            };
            self.pass(1.0).await;
            let (way, state, broken) = self.stands();
            if broken || way.back_lost || state != State::Up {
                self.torn = true;
                return self.broken().await;
            }
            self.told(&said);
            if wire.write(&said.bytes()).await.is_err() {
                return End::Closed;
            }
        }
    }

    /// The proxy has given an attempt up, which goes on here.
    fn left(&self, text: &str) -> End {
        let id = value(text, "id").and_then(|id| u64::from_str_radix(id, 16).ok());
        if let Some(id) = id {
            self.shared.with(|world| world.checker.gave_up(id, self.server, world.clock.now()));
        }
        End::Closed
    }

    /// What an answer tells counts as known from now on.
    fn told(&self, said: &Said) {
        let Some((id, outcome)) = said.attempt else { return };
        self.shared.with(|world| {
            let now = world.clock.now();
            world.checker.attempt_done(id, self.server, outcome, now);
            let key = (self.proxy, self.server);
            match said.note.primary {
                Some(false) => {
                    world.denied.entry(key).or_insert(now);
                }
                _ => {
                    world.denied.remove(&key);
                }
            }
        });
    }
}

impl World {
    /// A new connection at a server; false where it has no room for one.
    fn connects(&mut self, server: usize) -> bool {
        let (now, cost) = (self.clock.now(), self.plan.machine.handshake_s);
        self.report.handshakes += 1;
        let machine = &mut self.site.servers[server].machine;
        let spent = self.handshakes.entry(server).or_default();
        let second = now as u64;
        *spent = if spent.0 == second { (second, spent.1 + cost) } else { (second, cost) };
        self.report.handshake_share = self.report.handshake_share.max(spent.1 / machine.capacity(now));
        machine.connect(now)
    }
}

/// What a server says.
struct Said {
    body: Vec<u8>,
    note: ServerStatus,
    position_unix_ms: Option<f64>,
    /// Which request it was an attempt of, and how it ended.
    attempt: Option<(u64, Outcome)>,
}

impl Said {
    fn bytes(&self) -> Vec<u8> {
        let mut told = Vec::new();
        if let Some(primary) = self.note.primary {
            let mode: &[u8] = if primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" };
            told.extend(message(b'S', mode));
        }
        if let Some(ms) = self.position_unix_ms {
            told.extend(message(b'S', format!("wal_time\0{ms:.0}\0").as_bytes()));
        }
        [self.body.clone(), told, message(b'Z', b"I")].concat()
    }
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Serves one query; nothing where the server says nothing.
async fn answer(shared: Shared, proxy: usize, server: usize, text: String) -> Option<Said> {
    let clock = shared.clock();
    if text == "SELECT 1" || text == "SHOW stats" {
        return probe(&shared, server, text == "SHOW stats").await;
    }
    let id = value(&text, "id").and_then(|id| u64::from_str_radix(id, 16).ok());
    let known = shared.with(|world| {
        let asked = id.and_then(|id| world.asked.get(&id));
        asked.map(|asked| (id.unwrap_or(0), asked.wish.class, asked.wish.work_s))
    });
    let Some((id, class, work_s)) = known else {
        shared.with(|world| {
            let what = format!("server {server} got a statement that no client sent: {text}");
            world.checker.breaks(clock.now(), Rule::Lost, what);
        });
        let note = ServerStatus { position: None, primary: None };
        return Some(Said { body: error("08P01"), note, position_unix_ms: None, attempt: None });
    };
    let sent = clock.now();
    let (taken, excused) = shared.with(|world| {
        let s = &world.site.servers[server];
        let told_so = world.denied.get(&(proxy, server)).is_some_and(|at| at + KNOWN_AFTER_S < sent);
        let excused = s.was_primary && !told_so;
        world.report.attempts += 1;
        let write = world.plan.settings.classes[class.0].consistency == Consistency::Write;
        world.report.reads_at_primaries += usize::from(!write && world.site.is_primary(server));
        world.checker.sent(id, server, sent);
        world.checker.written(id, server, sent);
        let started = world.site.servers[server].machine.started;
        let known = world.starts.get(&(proxy, server)).copied().unwrap_or(0.0);
        let told = started.is_none_or(|started| known + 1e-6 > started);
        (world.site.take(server, class, work_s, told, sent), excused)
    });
    let way = Talk::new(&shared, proxy, server);
    way.pass(1.0).await;
    let said = |outcome: Outcome, body: Vec<u8>, note: Option<ServerStatus>| {
        shared.with(|world| {
            world.report.ended(outcome);
            let note = note.unwrap_or_else(|| world.site.note(server, world.clock.now()));
            let position_unix_ms = note.position.map(|at| world.clock.to_unix_ms(at.as_secs_f64()));
            Some(Said { body, note, position_unix_ms, attempt: Some((id, outcome)) })
        })
    };
    match taken {
        Taken::Nothing => None,
        Taken::Miss => said(Outcome::Misdirected, error("25006"), None),
        Taken::Full => said(Outcome::Rejected, error("53300"), None),
        Taken::Fell(told) => {
            let mut effects = Vec::new();
            shared.with(|world| {
                let now = world.clock.now();
                if told > TOLD_SHARE {
                    let what = format!("server {server} was cold and fell over, {told:.2} by those who knew");
                    world.checker.breaks(now, Rule::Fell, what);
                }
                world.site.falls(server, now, &mut effects);
            });
            shared.follow(effects);
            None
        }
        Taken::Runs(begins, ends) => {
            // What was begun goes on, whether its proxy waits or not.
            let work = Work { shared: shared.clone(), server, id, class, work_s, sent, excused };
            let (outcome, note) = spawn_local(work.run(begins, ends)).await.ok().flatten()?;
            let value = format!("{id:x}");
            let body = if outcome == Outcome::Success { row(value.as_bytes()) } else { error("XX000") };
            said(outcome, body, Some(note))
        }
    }
}

struct Work {
    shared: Shared,
    server: usize,
    id: u64,
    class: ClassId,
    work_s: f64,
    sent: f64,
    excused: bool,
}

impl Work {
    /// Works on a request; nothing where its server dies or stands still before it is done.
    async fn run(self, begins: f64, ends: f64) -> Option<(Outcome, ServerStatus)> {
        let (clock, shared) = (self.shared.clock(), &self.shared);
        let life = shared.with(|world| world.site.servers[self.server].machine.life);
        let works = || {
            shared.with(|world| {
                let machine = &world.site.servers[self.server].machine;
                machine.life == life && machine.state == State::Up
            })
        };
        clock.until(begins).await;
        if !works() {
            return None;
        }
        shared.with(|world| {
            let position = world.site.begin(self.server, self.class, self.work_s, clock.now());
            if let Some(position) = position {
                world.checker.read(self.id, self.sent, position, self.excused, clock.now());
            }
        });
        clock.until(ends).await;
        if !works() {
            return None;
        }
        shared.with(|world| {
            let now = clock.now();
            let done = world.site.finish(self.server, self.class, now);
            let write = world.plan.settings.classes[self.class.0].consistency == Consistency::Write;
            if write && done.outcome == Outcome::Success {
                world.checker.ran(self.id, self.class.0, now);
                if let Some(commit) = done.note.position {
                    world.commits.insert(self.id, commit.as_secs_f64());
                }
            }
            Some((done.outcome, done.note))
        })
    }
}

/// A probe; a report comes back where it asks for one and servers have any.
async fn probe(shared: &Shared, server: usize, wants_report: bool) -> Option<Said> {
    let clock = shared.clock();
    let done = shared.with(|world| {
        world.report.probes += 1;
        let work = world.plan.probe_s;
        let machine = &mut world.site.servers[server].machine;
        (machine.state == State::Up).then(|| machine.work(clock.now(), work))
    })?;
    clock.until(done).await;
    let note = ServerStatus { position: None, primary: None };
    let body = shared.with(|world| {
        let age = world.plan.report_s * rand::Rng::random::<f64>(&mut world.rng);
        let report = world.site.report(server, age, clock.now());
        match report.filter(|_| wants_report) {
            Some(report) => {
                let position = report.position.map_or(0.0, |at| clock.to_unix_ms(at.as_secs_f64()) / 1e3);
                let primary = u8::from(report.primary == Some(true));
                row(format!("x0={position:.3},x1={primary}").as_bytes())
            }
            None if wants_report => error("42501"),
            None => row(b"1"),
        }
    });
    Some(Said { body, note, position_unix_ms: None, attempt: None })
}
