//! Case 2: bad clients send hundreds of commands at once, at full speed, and read what they are sent. The usual clients'
//! requests must still get their final answers in time.
//!
//! With TROUBLE=1 there are bad clients for 10 s, with TROUBLE=0 there are none.

#[path = "../lib/standins.rs"]
mod standins;

use standins::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BAD_CLIENTS: u64 = 24;
/// Commands that a bad client sends at once.
const COMMANDS: usize = 400;
const USUAL_CLIENTS: u64 = 8;
const SECONDS: u64 = 10;
/// Up to half a second after its time an answer only earns nothing, and every time limit is 50 ms longer.
const SLACK_MS: f64 = 550.0;

struct Asked {
    id: String,
    d_ms: u64,
    took_ms: f64,
    answer: Answer,
}

fn main() {
    start_watchdog();
    let folder = case_folder();
    let record = Record::create(&folder);
    let state_dir = StateDir::create();
    let code = run(&record, &state_dir);
    drop(state_dir);
    finish(code)
}

fn run(record: &Record, state_dir: &StateDir) -> i32 {
    let trouble = with_trouble();
    record.say(format!("TROUBLE={}: {} bad clients", u8::from(trouble), if trouble { BAD_CLIENTS } else { 0 }));
    let set = ReplicaSet::start(3, SetOptions::default(), record);
    let discovery = Discovery::start(entries_of(&set, 1, &["hall-north", "hall-south"]), record);
    let listen = free_address();
    let config = state_dir.0.join("config.json");
    write_config(&config, listen, &discovery, &Limits { memory_mb: 96, sockets: 512 }, &windhoek_settings());
    let mut proxy =
        Proxy::start(&config, listen, discovery.address, &state_dir.0, &state_dir.0.join("proxy.log"));
    if !proxy.wait_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    record.say("the proxy is ready");
    let stop = Flag::default();
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let usual: Vec<_> =
        (0..USUAL_CLIENTS).map(|number| spawn_usual(listen, &stop, number, &asked, record)).collect();
    sleep_ms(1500);
    let stop_bad = Flag::default();
    let bad_answers = Arc::new(AtomicU64::new(0));
    if trouble {
        record.say("the bad clients begin");
        (0..BAD_CLIENTS).for_each(|_| spawn_bad(listen, &stop_bad, &bad_answers));
    }
    for _ in 0..SECONDS * 5 {
        sleep_ms(200);
        if !proxy.is_running() {
            record.say("the proxy has ended by itself");
            return BROKEN;
        }
    }
    stop.store(true, Ordering::SeqCst);
    stop_bad.store(true, Ordering::SeqCst);
    record.say("the bad clients end");
    usual.into_iter().for_each(|client| drop(client.join()));
    let asked = asked.lock().unwrap();
    let is_lost = |asked: &&Asked| {
        let is_answer = matches!(asked.answer, Answer::Served(_) | Answer::Refused(_) | Answer::Failed(_));
        !is_answer || asked.took_ms > asked.d_ms as f64 + SLACK_MS
    };
    let lost: Vec<_> = asked.iter().filter(is_lost).collect();
    for request in lost.iter().take(10) {
        record.say(format!(
            "LOST: {}: the client waits {} ms; after {:.0} ms: {}",
            request.id,
            request.d_ms,
            request.took_ms,
            request.answer.brief()
        ));
    }
    record.say(format!(
        "the usual clients sent {} requests, {} of them got no answer within their time and {SLACK_MS} ms; the bad \
         clients got {} bytes",
        asked.len(),
        lost.len(),
        bad_answers.load(Ordering::SeqCst)
    ));
    match (asked.len(), lost.len()) {
        (0..20, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

/// A usual client: one request after another on a connection that it keeps.
fn spawn_usual(
    listen: SocketAddr,
    stop: &Flag,
    number: u64,
    asked: &Arc<Mutex<Vec<Asked>>>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (stop, asked, record) = (stop.clone(), asked.clone(), record.clone());
    thread::spawn(move || {
        let Ok(mut client) = Client::connect(listen) else { return };
        while !stop.load(Ordering::SeqCst) {
            let id = new_id();
            let key = format!("licence{number}");
            let (text, d_ms) = match number % 4 {
                0 => (write_text(&key, b"used", &id, "usage-write", 1300), 1300),
                1 => (read_text(&key, &id, "own-changes", 1500, ""), 1500),
                _ => (read_text(&key, &id, "font-lookup", 1200, ""), 1200),
            };
            let sent_at = unix_ms();
            let answer = client.ask(&text, Duration::from_secs(15));
            let took_ms = unix_ms() - sent_at;
            record.line(format!("client {number}: {id}: {} after {took_ms:.0} ms", answer.brief()));
            let is_end = matches!(answer, Answer::Closed(_) | Answer::None);
            asked.lock().unwrap().push(Asked { id, d_ms, took_ms, answer });
            if is_end {
                return;
            }
            sleep_ms(100);
        }
    })
}

/// A bad client: it sends commands of a class that does not exist, at full speed, and reads what it is sent.
fn spawn_bad(listen: SocketAddr, stop: &Flag, bytes_read: &Arc<AtomicU64>) {
    let (stop, bytes_read) = (stop.clone(), bytes_read.clone());
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let Ok(mut client) = Client::connect(listen) else {
                sleep_ms(50);
                continue;
            };
            let Ok(mut reading) = client.stream.try_clone() else { return };
            let bytes_read = bytes_read.clone();
            thread::spawn(move || {
                let mut buffer = [0; 65536];
                let _ = reading.set_read_timeout(None);
                while let Ok(count @ 1..) = reading.read(&mut buffer) {
                    bytes_read.fetch_add(count as u64, Ordering::SeqCst);
                }
            });
            let one = query_message(&read_text("x", &new_id(), "no-such-class", 500, ""));
            let commands = one.repeat(COMMANDS);
            while !stop.load(Ordering::SeqCst) && client.stream.write_all(&commands).is_ok() {}
            client.close();
        }
    });
}
