//! Case 3: a planned restart. Clients that keep their connections send many commands at once. Each request that the
//! proxy has taken must get its final answer before the process ends.
//!
//! With TROUBLE=1 the proxy gets SIGTERM, and SIGKILL 3.7 s later if it still runs. With TROUBLE=0 it gets no signal.

#[path = "../lib/standins.rs"]
mod standins;

use standins::*;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// Commands that a client sends at once: less than 8 KiB, which the proxy reads ahead.
const COMMANDS: usize = 50;
/// Time from SIGTERM to the commands. The connections are still open then, so the clients use them.
const SENT_AFTER_MS: u64 = 1200;
/// The longest deadline is 3 s; SIGKILL comes no sooner than that plus 0.7 s.
const KILL_AFTER_MS: u64 = 3700;
const DEADLINE_MS: u64 = 3000;

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
    record.say(format!("TROUBLE={}: {CLIENTS} clients send {COMMANDS} commands each", u8::from(trouble)));
    let set = ReplicaSet::start(
        3,
        SetOptions {
            default_work_ms: 86, // 62 to 110 ms
            ..SetOptions::default()
        },
        record,
    );
    let discovery = Discovery::start(entries_of(&set, 1, &["hall-north", "hall-south"]), record);
    let listen = free_address();
    let config = state_dir.0.join("config.json");
    write_config(&config, listen, &discovery, &Limits { memory_mb: 64, sockets: 512 }, &windhoek_settings());
    let mut proxy =
        Proxy::start(&config, listen, discovery.address, &state_dir.0, &state_dir.0.join("proxy.log"));
    if !proxy.wait_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    record.say("the proxy is ready");
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let Ok(mut client) = Client::connect(listen) else { return NOT_RUN };
        let text = write_text(&format!("licence{number}"), b"first", &new_id(), "usage-write", DEADLINE_MS);
        let answer = client.ask(&text, Duration::from_secs(5));
        if !matches!(answer, Answer::Served(_)) {
            record.say(format!("a first request was not served: {}", answer.brief()));
            return NOT_RUN;
        }
        clients.push(client);
    }
    if trouble {
        record.say("the proxy gets SIGTERM");
        proxy.signal(SIGTERM);
    }
    sleep_ms(SENT_AFTER_MS);
    let threads: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let record = record.clone();
            thread::spawn(move || send_commands(number, client, listen, &record))
        })
        .collect();
    if trouble {
        sleep_ms(KILL_AFTER_MS - SENT_AFTER_MS);
        let has_ended = !proxy.is_running();
        record.say(format!("{KILL_AFTER_MS} ms after SIGTERM: the process {}", if has_ended { "has ended" } else { "gets SIGKILL" }));
        if !has_ended {
            proxy.signal(9);
        }
    }
    let (mut sent, mut lost) = (0, 0);
    for thread in threads {
        let Ok(Some(result)) = thread.join() else { return NOT_RUN };
        sent += COMMANDS;
        lost += result;
    }
    if !trouble && !proxy.is_running() {
        record.say("the proxy has ended by itself");
        return BROKEN;
    }
    record.say(format!("{sent} requests were sent, {lost} of them got no answer"));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// Sends all commands at once and reads their answers in order. Returns the number of requests that were lost, or
/// `None` if the connection had been closed before the commands were sent.
fn send_commands(number: usize, mut client: Client, listen: SocketAddr, record: &Record) -> Option<usize> {
    let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
    let mut bytes = Vec::new();
    for id in &ids {
        bytes.extend(query_message(&write_text(&format!("licence{number}"), b"used", id, "usage-write", DEADLINE_MS)));
    }
    let sent_at = unix_ms();
    client.stream.write_all(&bytes).ok()?;
    record.line(format!("client {number} sent {} to {} ({} bytes)", ids[0], ids[COMMANDS - 1], bytes.len()));
    for (index, id) in ids.iter().enumerate() {
        let answer = client.answer(Duration::from_secs(8));
        record.line(format!("client {number}: {id}: {}, {:.0} ms", answer.brief(), unix_ms() - sent_at));
        match answer {
            Answer::Closed(_) | Answer::None if index == 0 => return None,
            Answer::Closed(_) | Answer::None => {
                // A request that crosses the end of its connection unread may be sent once more on a new connection.
                let mut lost = COMMANDS - index;
                if let Ok(mut again) = Client::connect(listen) {
                    let size = bytes.len() / COMMANDS;
                    let _ = again.stream.write_all(&bytes[index * size..]);
                    while lost > 0 && !matches!(again.answer(Duration::from_secs(4)), Answer::Closed(_) | Answer::None) {
                        lost -= 1;
                    }
                    record.line(format!("client {number} sent the rest once more: {lost} without an answer"));
                } else {
                    record.line(format!("client {number}: no new connection is taken"));
                }
                if lost == 0 {
                    return Some(0);
                }
                record.say(format!(
                    "LOST: client {number}: {index} of {COMMANDS} requests were answered, then the proxy closed the \
                     connection; {lost} requests, which it had taken {:.0} ms before, got no answer",
                    unix_ms() - sent_at
                ));
                return Some(lost);
            }
            _ => {}
        }
    }
    Some(0)
}
