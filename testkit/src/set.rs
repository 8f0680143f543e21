//! A scripted replicated set on loopback: a primary and its replicas, with a log, acknowledgement by a replica
//! before an answer (or not), replicas that lag, and changes of primary of every kind.
//!
//! Owns the set's logs and, for each member, the account of every write that it ran. It must never forgive: what
//! a member ran stays in its account, also when its log is cut back. The failures are those that PostgreSQL's
//! documentation of streaming replication and failover describes; nothing happens that the script does not order.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::script::{message, read_message, row};

/// Time between two looks at what replicas have received.
const TICK: Duration = Duration::from_millis(2);

/// How a set behaves.
#[derive(Debug, Clone, Copy)]
pub struct Habits {
    /// A write is answered when a replica has it too.
    pub sync: bool,
    /// Requests that one member works on at a time.
    pub cores: usize,
    /// Work of one request.
    pub work: Duration,
    /// Time after which a replica has what its primary wrote.
    pub ship: Duration,
}

/// What a member's machine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Works.
    Up,
    /// Stands still with all its connections, as a stopped process does.
    Hung,
    /// Nothing comes in or goes out, while its work goes on.
    CutOff,
    /// Its process is gone.
    Dead,
}

/// What a member takes itself to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It takes writes and has followers.
    Primary,
    /// It follows.
    Replica,
    /// It has been deposed and does not know: it says that it is the primary, and nobody follows it.
    FalsePrimary,
}

/// A write in a log.
#[derive(Debug, Clone)]
struct Entry {
    id: Arc<str>,
    at_ms: u64,
}

struct Member {
    mode: Mode,
    role: Role,
    /// It takes no more writes, and hands over.
    yields: bool,
    /// It turns away whatever is new.
    drains: bool,
    log: Vec<Entry>,
    /// Up to when it has all commits, in Unix milliseconds.
    position_ms: u64,
    lag: Duration,
    running: usize,
    /// How often its process was started: what an earlier one held is gone.
    life: u32,
    streams: Vec<TcpStream>,
    /// How often it ran each write.
    ran: HashMap<Arc<str>, u32>,
    /// When it began its first write after it became the primary.
    first_write: Option<Instant>,
    promoted: Option<Instant>,
}

struct State {
    members: Vec<Member>,
    ended: bool,
}

struct Shared {
    habits: Habits,
    state: Mutex<State>,
    changed: Condvar,
    stop: AtomicBool,
}

/// The set. Dropping it ends its threads.
pub struct ReplicatedSet {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

/// What all members together have run, and what is in the log that survived.
#[derive(Debug, Default, Clone)]
pub struct Account {
    /// How often each write ran, over all members.
    pub ran: HashMap<String, u32>,
    /// How often each write is in the log of the present primary.
    pub kept: HashMap<String, u32>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl ReplicatedSet {
    /// One of so many members, the first of which is the primary.
    pub fn start(members: usize, habits: Habits) -> io::Result<Self> {
        let member = |i| Member {
            mode: Mode::Up,
            role: if i == 0 { Role::Primary } else { Role::Replica },
            yields: false,
            drains: false,
            log: Vec::new(),
            position_ms: unix_ms(),
            lag: Duration::ZERO,
            running: 0,
            life: 0,
            streams: Vec::new(),
            ran: HashMap::new(),
            first_write: None,
            promoted: None,
        };
        let state = State { members: (0..members).map(member).collect(), ended: false };
        let (state, changed, stop) = (Mutex::new(state), Condvar::new(), AtomicBool::new(false));
        let shared = Arc::new(Shared { habits, state, changed, stop });
        let mut addresses = Vec::new();
        for me in 0..members {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let shared = shared.clone();
            thread::spawn(move || listen(&listener, &shared, me));
        }
        let ticker = shared.clone();
        thread::spawn(move || {
            while !ticker.stop.load(Ordering::Relaxed) {
                ticker.ship();
                thread::sleep(TICK);
            }
        });
        Ok(Self { shared, addresses })
    }

    /// Where the members listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let done = change(&mut self.shared.lock());
        self.shared.changed.notify_all();
        done
    }

    /// The member that has followers, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.shared.lock().members.iter().position(|m| m.role == Role::Primary)
    }

    /// Stops a member, cuts it off, or kills its process, which resets its connections.
    pub fn strike(&self, member: usize, mode: Mode) {
        self.change(|state| {
            let m = &mut state.members[member];
            m.mode = mode;
            if mode == Mode::Dead {
                m.end_life();
            }
        });
    }

    /// Lets a member work again, as what `role` says. A cut or dead one's old connections end.
    pub fn revive(&self, member: usize, role: Role) {
        self.change(|state| {
            let m = &mut state.members[member];
            if m.mode == Mode::CutOff {
                m.end_life();
            }
            (m.mode, m.role, m.yields, m.drains) = (Mode::Up, role, false, false);
            if role == Role::Replica {
                state.follow(member);
            }
        });
    }

    /// Makes a false primary, or one that was one, a replica.
    pub fn demote(&self, member: usize) {
        self.change(|state| {
            state.members[member].role = Role::Replica;
            state.follow(member);
        });
    }

    /// The replica that is up and has most of the log becomes the primary. The one before it, if it is not up,
    /// does not hear of it. Gives its number; none where no replica is up.
    pub fn promote(&self) -> Option<usize> {
        self.change(|state| {
            let able = |m: &Member| m.mode == Mode::Up && m.role == Role::Replica;
            let most = state.members.iter().enumerate().filter(|(_, m)| able(m));
            let (chosen, _) = most.max_by_key(|(_, m)| m.log.len())?;
            for (i, m) in state.members.iter_mut().enumerate() {
                if i != chosen && m.role == Role::Primary {
                    m.role = if m.mode == Mode::Up { Role::Replica } else { Role::FalsePrimary };
                }
            }
            let m = &mut state.members[chosen];
            (m.role, m.yields, m.first_write, m.promoted) =
                (Role::Primary, false, None, Some(Instant::now()));
            // Before it takes writes, those that can be reached have all that it has.
            let log = m.log.clone();
            for m in state.members.iter_mut().filter(|m| able(m)) {
                m.log.clone_from(&log);
            }
            (0..state.members.len()).for_each(|i| state.follow(i));
            Some(chosen)
        })
    }

    /// The primary takes no more writes; `drains` if it takes nothing new at all.
    pub fn yield_primary(&self, member: usize, drains: bool) {
        self.change(|state| {
            let m = &mut state.members[member];
            (m.yields, m.drains) = (true, drains);
        });
    }

    /// Whether some replica has all that a member wrote.
    pub fn is_copied(&self, member: usize) -> bool {
        let state = self.shared.lock();
        let length = state.members[member].log.len();
        state
            .members
            .iter()
            .enumerate()
            .any(|(i, m)| i != member && m.mode == Mode::Up && m.log.len() >= length)
    }

    /// How much later than usual a replica has what its primary wrote.
    pub fn lag(&self, member: usize, lag: Duration) {
        self.change(|state| state.members[member].lag = lag);
    }

    /// The time between a member's promotion and the beginning of its first write since.
    pub fn first_write_after(&self, member: usize) -> Option<Duration> {
        let state = self.shared.lock();
        let m = &state.members[member];
        Some(m.first_write?.saturating_duration_since(m.promoted?))
    }

    /// Each member in a few words, for whoever looks for the cause of something.
    pub fn describe(&self) -> String {
        let state = self.shared.lock();
        let words = |m: &Member| {
            let (log, running, streams) = (m.log.len(), m.running, m.streams.len());
            format!("{:?} {:?}: {log} in its log, {running} at work, {streams} connections", m.mode, m.role)
        };
        state.members.iter().map(words).collect::<Vec<_>>().join("; ")
    }

    /// The accounts.
    pub fn account(&self) -> Account {
        let state = self.shared.lock();
        let mut account = Account::default();
        for (id, times) in state.members.iter().flat_map(|m| &m.ran) {
            *account.ran.entry(id.to_string()).or_default() += times;
        }
        let primary = state.members.iter().find(|m| m.role == Role::Primary);
        for entry in primary.map_or(&[][..], |m| &m.log) {
            *account.kept.entry(entry.id.to_string()).or_default() += 1;
        }
        account
    }
}

impl Drop for ReplicatedSet {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.change(|state| {
            state.ended = true;
            state.members.iter_mut().for_each(Member::end_life);
        });
        for address in &self.addresses {
            let _ = TcpStream::connect(address); // wakes the listener, which then ends
        }
    }
}

impl Member {
    /// Ends all connections, and with them what is at work for them.
    fn end_life(&mut self) {
        (self.life, self.running) = (self.life + 1, 0);
        for stream in self.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl State {
    /// Cuts a replica's log back to what it shares with the primary's.
    fn follow(&mut self, member: usize) {
        let Some(primary) = self.members.iter().position(|m| m.role == Role::Primary) else { return };
        if self.members[member].role != Role::Replica {
            return;
        }
        let shared = {
            let pairs = self.members[member].log.iter().zip(&self.members[primary].log);
            pairs.take_while(|(a, b)| a.id == b.id).count()
        };
        self.members[member].log.truncate(shared);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of the set panics")
    }

    /// Waits until a member is up, in the same life; none if that life is over.
    fn up(&self, me: usize, life: u32) -> Option<MutexGuard<'_, State>> {
        self.wait(self.lock(), |state| {
            let m = &state.members[me];
            if state.ended || m.life != life {
                return Some(false);
            }
            (m.mode == Mode::Up).then_some(true)
        })
    }

    fn wait<'s>(
        &'s self,
        mut state: MutexGuard<'s, State>,
        done: impl Fn(&State) -> Option<bool>,
    ) -> Option<MutexGuard<'s, State>> {
        loop {
            match done(&state) {
                Some(true) => return Some(state),
                Some(false) => return None,
                None => state = self.changed.wait(state).expect("no thread of the set panics"),
            }
        }
    }

    /// Replicas that are up receive and apply what their primary has written, if it can be reached.
    fn ship(&self) {
        let mut state = self.lock();
        let Some(primary) = state.members.iter().position(|m| m.role == Role::Primary) else { return };
        if state.members[primary].mode != Mode::Up {
            return;
        }
        let now = unix_ms();
        let State { members, .. } = &mut *state;
        let log = std::mem::take(&mut members[primary].log);
        for m in members.iter_mut().filter(|m| m.role == Role::Replica && m.mode == Mode::Up) {
            let until = now.saturating_sub((self.habits.ship + m.lag).as_millis() as u64);
            m.position_ms = m.position_ms.max(until);
            let next =
                log.get(m.log.len()..).unwrap_or_default().iter().take_while(|e| e.at_ms <= until).cloned();
            m.log.extend(next);
        }
        members[primary].log = log;
        members[primary].position_ms = now;
        drop(state);
        self.changed.notify_all();
    }
}

fn listen(listener: &TcpListener, shared: &Arc<Shared>, me: usize) {
    for stream in listener.incoming().flatten() {
        let mut state = shared.lock();
        if state.ended {
            return;
        }
        let m = &mut state.members[me];
        if m.mode == Mode::Dead {
            continue; // closes it at once: nobody listens
        }
        let life = m.life;
        m.streams.extend(stream.try_clone());
        drop(state);
        let shared = shared.clone();
        thread::spawn(move || {
            let _ = converse(&stream, &shared, me, life);
            let _ = stream.shutdown(Shutdown::Both);
            let own = stream.peer_addr().ok();
            let gone = |s: &TcpStream| s.peer_addr().is_err() || s.peer_addr().ok() == own;
            shared.lock().members[me].streams.retain(|s| !gone(s));
        });
    }
}

/// What a statement says of itself.
struct Asked {
    write: bool,
    id: Arc<str>,
    until: Instant,
}

fn asked(text: &str) -> Option<Asked> {
    let value = |name: &str| {
        let comment = text.rsplit_once("/*")?.1;
        let pair = comment.split([',', ' ', '*']).find_map(|pair| pair.strip_prefix(name));
        pair?.strip_prefix('=')
    };
    let left = Duration::from_millis(value("d")?.parse().ok()?);
    let write = text.trim_start().get(..6)?.eq_ignore_ascii_case("insert");
    Some(Asked { write, id: value("id")?.into(), until: Instant::now() + left })
}

fn converse(mut stream: &TcpStream, shared: &Shared, me: usize, life: u32) -> io::Result<()> {
    let gone = || io::Error::from(io::ErrorKind::ConnectionAborted);
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut packet = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(10_000)];
    stream.read_exact(&mut packet)?;
    drop(shared.up(me, life).ok_or_else(gone)?);
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    while let Some((b'Q', body)) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
        let asked = asked(&text);
        // A request reaches a machine that is cut off never, and one that stands still once it goes on.
        drop(shared.up(me, life).ok_or_else(gone)?);
        let said = match asked {
            Some(asked) => answer(shared, me, life, &asked).ok_or_else(gone)?,
            None => error("08P01"),
        };
        let state = shared.up(me, life).ok_or_else(gone)?;
        let m = &state.members[me];
        let primary = m.role != Role::Replica && !m.yields;
        let position = if primary { unix_ms() } else { m.position_ms };
        drop(state);
        let mode = if primary { "mode\0read-write\0" } else { "mode\0read-only\0" };
        let position = format!("wal_time\0{position}\0");
        let told = [message(b'S', mode.as_bytes()), message(b'S', position.as_bytes())].concat();
        stream.write_all(&[said, told, message(b'Z', b"I")].concat())?;
    }
    Ok(())
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Serves one request; none if the process dies before.
fn answer(shared: &Shared, me: usize, life: u32, asked: &Asked) -> Option<Vec<u8>> {
    // What is not the primary's is turned away at once, and nothing runs.
    let state = shared.lock();
    let refused = |m: &Member| match asked.write {
        true if m.role == Role::Replica || m.yields => Some("25006"),
        _ => m.drains.then_some("53300"),
    };
    if let Some(code) = refused(&state.members[me]) {
        return Some(error(code));
    }
    let mut state = shared.wait(state, |state| {
        let m = &state.members[me];
        if state.ended || m.life != life {
            return Some(false);
        }
        (m.mode == Mode::Up && m.running < shared.habits.cores).then_some(true)
    })?;
    if Instant::now() > asked.until {
        return Some(error("53300")); // its time is over, and it is not begun
    }
    if let Some(code) = refused(&state.members[me]) {
        return Some(error(code));
    }
    let m = &mut state.members[me];
    m.running += 1;
    if asked.write && m.role == Role::Primary {
        m.first_write.get_or_insert_with(Instant::now);
    }
    drop(state);
    thread::sleep(shared.habits.work);
    let done = finish(shared, me, life, asked);
    let mut state = shared.lock();
    let m = &mut state.members[me];
    m.running = m.running.saturating_sub(usize::from(m.life == life));
    drop(state);
    shared.changed.notify_all();
    done
}

fn finish(shared: &Shared, me: usize, life: u32, asked: &Asked) -> Option<Vec<u8>> {
    // One that is cut off works on; only its answer stays with it.
    let mut state = shared.wait(shared.lock(), |state| {
        let m = &state.members[me];
        if state.ended || m.life != life {
            return Some(false);
        }
        matches!(m.mode, Mode::Up | Mode::CutOff).then_some(true)
    })?;
    if !asked.write {
        return Some(row(b"v"));
    }
    let m = &mut state.members[me];
    if m.role == Role::Replica {
        return Some(error("XX000")); // deposed while it worked
    }
    *m.ran.entry(asked.id.clone()).or_default() += 1;
    m.log.push(Entry { id: asked.id.clone(), at_ms: unix_ms() });
    let length = m.log.len();
    if shared.habits.sync {
        // Followers have it, or it is deposed before they do: then its end is an error.
        state = shared.wait(state, |state| {
            let m = &state.members[me];
            if state.ended || m.life != life {
                return Some(false);
            }
            let followed = m.role == Role::Primary && m.mode == Mode::Up;
            let has = |f: &Member| f.role == Role::Replica && f.mode == Mode::Up && f.log.len() >= length;
            let copied = followed && state.members.iter().any(has);
            let lost = m.role == Role::Replica;
            (copied || lost).then_some(true)
        })?;
        // It may be in the log that survived, but whoever was deposed can't say so.
        if state.members[me].role == Role::Replica {
            return Some(error("XX000"));
        }
    }
    Some(row(b"v"))
}
