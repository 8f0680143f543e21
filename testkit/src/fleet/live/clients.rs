//! Clients behind a front: each proxy has its own, who keep their connections and open more when all are busy.
//!
//! Owns the connections to proxies and what each request was answered. A request that crossed the close of its
//! connection comes again, once, on a new one. It must never take an answer for more than it says, nor ask a
//! proxy that the front has not taken in.

use std::io;
use std::time::Duration;

use pipittack_core::api::*;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::super::check::Rule;
use super::super::load::Wish;
use super::config::class_name;
use super::wire::{field, value, Wire};
use super::{Asked, Shared, START};
use crate::wire::{query, startup};

/// Time between looks of the front for a proxy that it has not taken in.
const LOOK: Duration = Duration::from_millis(20);
/// Time in s for which the front goes on with a proxy that nobody reaches any more.
const NOTICES_S: f64 = 1.0;
/// Time in s past its own in which a client still takes an answer.
const WAITS_S: f64 = 0.5;

/// What the front knows of one proxy.
#[derive(Default)]
pub struct Front {
    /// Clients are sent there.
    pub open: bool,
    /// Since when nobody reaches it.
    pub unreached: Option<f64>,
    /// Connections that stand idle.
    pub idle: Vec<Wire>,
}

/// What a request was answered.
enum Answer {
    Served(Vec<u8>),
    Refused(Option<Duration>),
    Failed,
}

/// Why there was none.
enum Lost {
    /// Nobody listened.
    Unheard,
    /// The connection ended before a byte of it came.
    Crossed,
    /// It ended within it, or again before it.
    Unanswered,
    /// Nothing came in time.
    Late,
}

/// The front looks whether a proxy answers an empty query, and takes it in then.
pub async fn look(shared: Shared, proxy: usize) {
    loop {
        if shared.with(|world| world.fronts[proxy].open) {
            return;
        }
        let address = shared.with(|world| world.processes.address(proxy));
        let greeted = tokio::time::timeout(Duration::from_secs(1), greet(address)).await;
        if matches!(greeted, Ok(Ok(()))) {
            shared.with(|world| {
                let front = &mut world.fronts[proxy];
                (front.open, front.unreached) = (true, None);
            });
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn connect(address: std::net::SocketAddr) -> io::Result<Wire> {
    let wire = Wire::new(TcpStream::connect(address).await?)?;
    wire.write(&startup()).await?;
    Ok(wire)
}

async fn greet(address: std::net::SocketAddr) -> io::Result<()> {
    let mut wire = connect(address).await?;
    wire.write(&query("")).await?;
    loop {
        match wire.message().await? {
            (b'I', _) => return Ok(()),
            (b'E', _) => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
    }
}

/// The clients of a proxy ask for as long as the trial lasts.
pub async fn ask_on(shared: &Shared, proxy: usize) {
    let clock = shared.clock();
    loop {
        let (pause, over) = shared.with(|world| {
            let times = if clock.now() < world.burst.1 { world.burst.0 } else { 1.0 };
            let over = clock.now() > START + world.plan.length_s;
            (world.load.pause(proxy, times), over)
        });
        if over {
            return;
        }
        clock.until(clock.now() + pause).await;
        let wish = shared.with(|world| {
            let wish = world.load.draw(proxy, clock.now(), &world.plan.settings);
            let class = world.plan.settings.classes[wish.class.0].clone();
            world.report.asked(&wish, &class, wish.asked - START);
            wish
        });
        spawn_local(ask(shared.clone(), wish));
    }
}

/// One request, over all its tries.
async fn ask(shared: Shared, mut wish: Wish) {
    let clock = shared.clock();
    loop {
        wish.tries += 1;
        let refused = try_once(&shared, &wish).await;
        let at = shared.with(|world| {
            let class = world.plan.settings.classes[wish.class.0].clone();
            match refused {
                Tried::Over => None,
                Tried::Refused(hint) => world.load.again(&wish, &class, Some(hint), clock.now()),
                Tried::Failed => world.load.again(&wish, &class, None, clock.now()),
            }
        });
        let Some(at) = at else { return };
        clock.until(at).await;
    }
}

enum Tried {
    Over,
    Refused(Option<Duration>),
    Failed,
}

async fn try_once(shared: &Shared, wish: &Wish) -> Tried {
    let clock = shared.clock();
    let (id, text, open) = shared.with(|world| {
        world.report.tries += 1;
        world.requests += 1;
        let id = world.requests;
        let class = &world.plan.settings.classes[wish.class.0];
        let brought = world.plan.settings.session_tokens == SessionTokens::FromClient;
        let mark = wish.mark.filter(|_| brought && class.consistency == Consistency::Causal);
        let after = mark.map_or(String::new(), |mark| format!(",after={:.0}", clock.to_unix_ms(mark).ceil()));
        let left = ((wish.until - clock.now()) * 1e3).max(1.0);
        let retry = if wish.tries > 1 { ",r=1" } else { "" };
        let (name, set, key) = (class_name(wish.class), wish.set, wish.session);
        let comment = format!("/* id={id:x},c={name},d={left:.0},cluster={set}{after}{retry} */");
        let text = if class.consistency == Consistency::Write {
            format!(r"INSERT INTO objects (oid, body) VALUES ('{key:x}', '\x00') RETURNING body {comment}")
        } else {
            format!("SELECT body FROM objects WHERE oid = '{key:x}' {comment}")
        };
        world.asked.insert(id, Asked { wish: wish.clone() });
        (id, text, world.fronts[wish.proxy].open)
    });
    if !open {
        shared.with(|world| world.report.unheard += 1);
        return Tried::Failed;
    }
    let asked_at = clock.now();
    let done = converse(shared, wish, id, &text).await;
    let now = clock.now();
    let tried = shared.with(|world| {
        // What a process owes while it stands still it can't give, and what one had that was killed is nobody's promise.
        let stood = now > wish.until && world.processes.was_stalled(wish.proxy, asked_at);
        let struck = world.processes.was_struck(wish.proxy, asked_at);
        if stood || (struck && done.is_err()) || matches!(done, Err(Lost::Unheard)) {
            world.checker.left(id);
        } else if done.is_ok() {
            world.checker.answered(id, matches!(done, Ok(Answer::Refused(_))), now);
        }
        match done {
            Ok(Answer::Served(body)) => {
                if !String::from_utf8_lossy(&body).contains(&format!("{id:x}")) {
                    let what = format!("request {id}: served with what was made for another");
                    world.checker.breaks(now, Rule::Lost, what);
                }
                let class = world.plan.settings.classes[wish.class.0].clone();
                world.report.served(wish, &class, now, wish.asked - START);
                let start =
                    world.processes.start_of(wish.proxy).and_then(|at| world.report.starts.get_mut(at));
                if let Some(start) = start {
                    start.served.get_or_insert(now - START - start.at);
                }
                Tried::Over
            }
            Ok(Answer::Refused(hint)) => {
                world.report.refused += 1;
                Tried::Refused(hint)
            }
            Ok(Answer::Failed) => {
                world.report.failed += 1;
                Tried::Failed
            }
            Err(lost) => {
                world.report.unheard += 1;
                let front = &mut world.fronts[wish.proxy];
                if matches!(lost, Lost::Unheard) {
                    let since = *front.unreached.get_or_insert(now);
                    if now - since > NOTICES_S {
                        front.open = false;
                        front.idle.clear();
                        spawn_local(look(shared.clone(), wish.proxy));
                    }
                }
                Tried::Failed
            }
        }
    });
    shared.with(|world| {
        if !matches!(tried, Tried::Failed) {
            world.fronts[wish.proxy].unreached = None;
        }
    });
    tried
}

/// Asks on a kept connection or a new one; what crossed the close of a kept one comes again.
async fn converse(shared: &Shared, wish: &Wish, id: u64, text: &str) -> Result<Answer, Lost> {
    let kept = shared.with(|world| world.fronts[wish.proxy].idle.pop());
    if let Some(wire) = kept {
        match exchange(shared, wire, wish, id, text).await {
            Err(Lost::Crossed) => {}
            other => return other,
        }
    }
    let address = shared.with(|world| world.processes.address(wish.proxy));
    let wire = connect(address).await.map_err(|_| Lost::Unheard)?;
    let start = |world: &mut super::World| {
        let now = world.clock.now();
        let at = world.processes.start_of(wish.proxy);
        if let Some(start) = at.and_then(|at| world.report.starts.get_mut(at)) {
            start.asked.get_or_insert(now - START - start.at);
        }
    };
    shared.with(start);
    match exchange(shared, wire, wish, id, text).await {
        Err(Lost::Crossed) => Err(Lost::Unanswered),
        other => other,
    }
}

async fn exchange(shared: &Shared, mut wire: Wire, wish: &Wish, id: u64, text: &str) -> Result<Answer, Lost> {
    let clock = shared.clock();
    wire.write(&query(text)).await.map_err(|_| Lost::Crossed)?;
    shared.with(|world| {
        let brought = value(text, "after").is_some();
        let mark = wish.mark.filter(|_| brought);
        let class = wish.class.0;
        world.checker.took(id, wish.proxy, class, wish.session, mark, (clock.now(), wish.until));
    });
    let mut answer = None;
    loop {
        let read = tokio::select! {
            read = wire.message() => read,
            () = clock.until(wish.until + WAITS_S) => return Err(Lost::Late),
        };
        let (kind, body) = match read {
            Ok(read) => read,
            Err(_) if answer.is_none() && wire.is_empty() => return Err(Lost::Crossed),
            Err(_) => return Err(Lost::Unanswered),
        };
        match kind {
            b'D' => {
                acknowledge(shared, wish, id);
                answer = Some(Answer::Served(body));
            }
            b'E' => answer = Some(refusal(&body)),
            b'Z' if answer.is_some() => break,
            _ => {}
        }
    }
    shared.with(|world| {
        let front = &mut world.fronts[wish.proxy];
        if front.open {
            front.idle.push(wire);
        }
    });
    answer.ok_or(Lost::Unanswered)
}

/// A write was acknowledged: from now on its session's reads must see it.
fn acknowledge(shared: &Shared, wish: &Wish, id: u64) {
    shared.with(|world| {
        let Some(commit) = world.commits.remove(&id) else { return };
        let now = world.clock.now();
        world.checker.acknowledged(wish.proxy, wish.session, commit);
        world.load.acknowledged(wish, commit, now);
    });
}

/// What an ErrorResponse promises.
fn refusal(body: &[u8]) -> Answer {
    let code = field(body, b'C').unwrap_or_default();
    if matches!(&*code, "53300" | "57P03") {
        let hint = field(body, b'D').and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        return Answer::Refused(hint);
    }
    Answer::Failed
}
