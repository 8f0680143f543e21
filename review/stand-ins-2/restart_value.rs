//! A planned restart (SIGTERM) while a data server gives a value of 4 MiB in pieces.

#[path = "harness.rs"]
mod harness;

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use harness::*;

const VALUE_BYTES: usize = 4 << 20;
const PIECE_BYTES: usize = 32 * 1024;
/// 128 pieces: the value takes a little over 6 s.
const PIECE_INTERVAL_MS: u64 = 48;
/// Time from the request to SIGTERM.
const TERM_AFTER_MS: u64 = 1_000;
/// Time from SIGTERM to SIGKILL: the pages allow no less than 3.7 s here and set no upper bound.
const KILL_AFTER: Duration = Duration::from_secs(12);

fn main() {
    run("restart-value", body)
}

fn body(case: &Arc<Case>) -> Result<i32, String> {
    let given = shared((0usize, false));
    let server = |index: usize| {
        let (case, given) = (case.clone(), given.clone());
        DataServer::start(
            |_| 0,
            move |received| {
                let is_primary = index == 0;
                let id = field(&received.text, "id").unwrap_or("-").to_owned();
                let is_write = received.text.starts_with("INSERT");
                if is_write && !is_primary {
                    let answer = [error("25006"), status(false, unix_ms()), ready()].concat();
                    return received.stream.write_all(&answer);
                }
                if !received.text.contains("'large'") {
                    let end = [command_complete(is_write), status(is_primary, unix_ms()), ready()].concat();
                    return received.stream.write_all(&[row_description(), row(b"small"), end].concat());
                }
                case.log(&format!("data server {index}: id={id} runs, {VALUE_BYTES} bytes in pieces"));
                received.stream.write_all(&[row_description(), row_head(VALUE_BYTES)].concat())?;
                let piece = vec![b'x'; PIECE_BYTES];
                for number in 1..=VALUE_BYTES / PIECE_BYTES {
                    if let Err(e) = received.stream.write_all(&piece) {
                        case.log(&format!("data server {index}: id={id} cannot give piece {number}: {e}"));
                        return Err(e);
                    }
                    given.lock().unwrap().0 = number * PIECE_BYTES;
                    sleep_ms(PIECE_INTERVAL_MS);
                }
                given.lock().unwrap().1 = true;
                case.log(&format!("data server {index}: id={id} has given all"));
                received.stream.write_all(
                    &[command_complete(false), status(is_primary, unix_ms()), ready()].concat(),
                )
            },
        )
    };
    let servers: Vec<_> = (0..3).map(server).collect();
    let entries = servers.iter().enumerate().map(|(index, server)| Entry {
        uid: format!("s-{index}"),
        address: server.address,
        zone: "hall-north".into(),
        group: 1,
        state: "Ready".into(),
        mode: if index == 0 { "read-write" } else { "read-only" }.into(),
    });
    let discovery = Discovery::start(entries.collect(), |_, _, _| {});
    let listen = free_address();
    let config = write_config(case, "n0", listen, &discovery, &windhoek_settings(3, 0));
    let mut proxy = start_proxy(case, "n0", &config, free_address(), &state_folder(case, "state"));
    proxy.wait_ready(Duration::from_secs(30))?;

    let mut client = Client::connect(listen, Duration::from_secs(2)).map_err(|e| e.to_string())?;
    for number in 0..4 {
        let write = insert(&new_id(), &format!("k{number}"), "usage-write", 3000, 1);
        let answer = client.ask(&write, Duration::from_secs(4));
        case.log(&format!("client: a first write: {answer:?}"));
        let read = select(&new_id(), "k", "font-lookup", 1200, 1, "");
        let answer = client.ask(&read, Duration::from_secs(4));
        if !matches!(answer, Answer::Served(_)) {
            return Err(format!("a small read was not served: {answer:?}"));
        }
    }

    let id = new_id();
    let statement = select(&id, "large", "font-lookup", 1200, 1, "");
    case.log(&format!("client sends: {statement}"));
    client.send(&statement).map_err(|e| e.to_string())?;
    let reader = std::thread::spawn(move || client.answer(Duration::from_secs(20)));
    sleep_ms(TERM_AFTER_MS);
    if given.lock().unwrap().0 == 0 {
        return Err("the data server has not begun to give the value".into());
    }
    let mut ended = None;
    if case.trouble {
        case.log("platform: SIGTERM to the proxy");
        signal(proxy.pid, "TERM");
        let term_at = Instant::now();
        while term_at.elapsed() < KILL_AFTER && ended.is_none() {
            ended = proxy.ended();
            sleep_ms(10);
        }
        match &ended {
            Some(status) => {
                let (bytes, all) = *given.lock().unwrap();
                let after = term_at.elapsed().as_secs_f64();
                case.log(&format!(
                    "platform: the proxy ended by itself {after:.2} s after SIGTERM ({status}); the data server had \
                     given {bytes} bytes, all: {all}"
                ));
            }
            None => {
                case.log("platform: SIGKILL to the proxy");
                signal(proxy.pid, "KILL");
            }
        }
    }
    let answer = reader.join().map_err(|_| "the reader panicked".to_owned())?;
    case.log(&format!("client: id={id}: {answer:?}"));
    Ok(match answer {
        Answer::Served(VALUE_BYTES) => KEPT,
        // What SIGKILL finds unanswered is excused: the request came before SIGTERM.
        _ if ended.is_none() && case.trouble => KEPT,
        _ => BROKEN,
    })
}
