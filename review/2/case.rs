//! Case 2: a session writes a value and reads it back soon after. The read must see the write.
//!
//! With TROUBLE=1 the values are longer than 64 KiB, with TROUBLE=0 they are short. Nothing else differs.

#[path = "../lib/standins.rs"]
mod standins;

use standins::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Sessions that are played at the same time.
const WORKERS: usize = 4;
/// Sessions that each worker plays, one after another.
const SESSIONS: usize = 25;
/// Within the mean gaps of the site file (150 to 560 ms).
const GAP_MS: u64 = 160;
const LONG_VALUE_BYTES: usize = 200 * 1024;
const SHORT_VALUE_BYTES: usize = 1024;

fn main() {
    start_watchdog();
    let record = Record::create();
    let state_dir = StateDir::create();
    let code = run(&record, &state_dir);
    drop(state_dir);
    finish(code)
}

fn run(record: &Record, state_dir: &StateDir) -> i32 {
    let trouble = with_trouble();
    let value_bytes = if trouble { LONG_VALUE_BYTES } else { SHORT_VALUE_BYTES };
    record.say(format!("TROUBLE={}: values of {value_bytes} bytes", u8::from(trouble)));
    let set = ReplicaSet::start(
        3,
        SetOptions {
            work_ms: [("issue", 45), ("own-quote", 75), ("cover-check", 75), ("browse", 45), ("report", 780)]
                .map(|(class, ms)| (class.to_owned(), ms))
                .into(),
            default_work_ms: 45,
            ship_ms: 6.0,
            apply_speed: 2.1,
            blocking_class: Some("report".to_owned()),
            probes_report: true,
            ..SetOptions::default()
        },
        record,
    );
    for session in 0..WORKERS * SESSIONS {
        set.seed_value(&key_of(session), b"old value");
    }
    let discovery = Discovery::start(entries_of(&set, 1, &["kacyiru", "remera", "nyarutarama"]), record);
    let listen = free_address();
    let config = state_dir.0.join("config.json");
    let limits = Limits { memory_mb: 96, sockets: 512 };
    write_config(&config, listen, &discovery, &limits, &kigali_settings());
    let mut proxy =
        Proxy::start(&config, listen, discovery.address, &state_dir.0, &state_dir.0.join("proxy.log"));
    if !proxy.wait_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    record.say("the proxy is ready");
    let stop = Flag::default();
    let mut load: Vec<_> = (0..2).map(|_| spawn_load(listen, &stop, "browse", 750, 60)).collect();
    load.extend((0..2).map(|n| spawn_load(listen, &stop, "report", 8000, 150 + 200 * n)));
    sleep_ms(2500);

    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (set, record) = (set.clone(), record.clone());
            thread::spawn(move || {
                sleep_ms(60 * worker as u64);
                (worker * SESSIONS..(worker + 1) * SESSIONS)
                    .filter_map(|session| play_session(session, listen, value_bytes, &set, &record))
                    .collect::<Vec<bool>>()
            })
        })
        .collect();
    let verdicts: Vec<bool> = workers.into_iter().filter_map(|worker| worker.join().ok()).flatten().collect();
    let judged = verdicts.len();
    let stale = verdicts.iter().filter(|is_stale| **is_stale).count();
    stop.store(true, Ordering::SeqCst);
    load.into_iter().for_each(|thread| drop(thread.join()));
    if !proxy.is_running() {
        record.say("the proxy has ended by itself");
        return BROKEN;
    }
    record.say(format!("{judged} session reads were served, {stale} of them stale"));
    match (judged, stale) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

/// Writes a value of a session and reads it back. Returns whether the read was stale; `None` if the write or the read was
/// not served.
fn play_session(
    session: usize,
    listen: SocketAddr,
    value_bytes: usize,
    set: &ReplicaSet,
    record: &Record,
) -> Option<bool> {
    let key = key_of(session);
    let mut value = format!("new value of {key}").into_bytes();
    value.resize(value_bytes, b'.');
    let mut client = Client::connect(listen).ok()?;
    let write_id = new_id();
    let written = client.ask(&write_text(&key, &value, &write_id, "issue", 3000), Duration::from_secs(6));
    record.line(format!("client: write {write_id} of {key}: {}", written.brief()));
    if written != Answer::Served(value.clone()) {
        record.say(format!("the write {write_id} was not served, so its session is left out: {}", written.brief()));
        return None;
    }
    sleep_ms(GAP_MS);
    let read_id = new_id();
    let answer = client.ask(&read_text(&key, &read_id, "own-quote", 1500, ""), Duration::from_secs(4));
    record.line(format!("client: read {read_id} of {key}: {}", answer.brief()));
    let Answer::Served(seen) = answer else { return None };
    if seen == value {
        return Some(false);
    }
    let commit = set.commits.lock().unwrap().get(&write_id).copied().unwrap_or(0.0);
    let run = set.reads.lock().unwrap().get(&read_id).cloned()?;
    // A server that has been the primary is excused until it has told that it is a replica; this one never was.
    if run.server == 0 || run.was_primary || run.position >= commit {
        return None;
    }
    record.say(format!(
        "STALE: {read_id} of session {key} was answered by {}, which has never been the primary, from data of {:.0} ms \
         before the session's own write {write_id}, {GAP_MS} ms after that was answered: {:?}",
        set.name(run.server),
        commit - run.position,
        String::from_utf8_lossy(&seen[..seen.len().min(24)])
    ));
    Some(true)
}

fn key_of(session: usize) -> String {
    format!("member{session:02}")
}

/// Other clients: one request after another.
fn spawn_load(listen: SocketAddr, stop: &Flag, class: &'static str, d_ms: u64, pause_ms: u64) -> thread::JoinHandle<()> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut client = None;
        while !stop.load(Ordering::SeqCst) {
            if client.is_none() {
                client = Client::connect(listen).ok();
            }
            let Some(connected) = client.as_mut() else { return };
            let answer = connected.ask(&read_text("other", &new_id(), class, d_ms, ""), Duration::from_millis(d_ms + 600));
            if matches!(answer, Answer::Closed(_) | Answer::None) {
                client = None;
            }
            sleep_ms(pause_ms);
        }
    })
}
