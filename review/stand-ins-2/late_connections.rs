//! Bounded reads wait for connections that come up late, at replicas whose position is known from a probe alone.

#[path = "harness.rs"]
mod harness;

use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use harness::*;

/// Bound of the class `browse` of kigali-quotes, and the 50 ms by which each limit on sockets is longer.
const BOUND_MS: f64 = 1_500.0 + 50.0;
/// Every third connection comes up so late; the settings give up a connection after 250 ms.
const LATE_MS: u64 = 180;
/// Time from the moment in which the replicas stop to apply to the crowd of reads.
const CROWD_AFTER_MS: f64 = 1_450.0;
/// Time that a read takes at a data server.
const WORK_MS: u64 = 20;
const CROWD: usize = 16;
const ROUNDS: u64 = 4;

/// Until when the replicas hold requests of the class `report`, and the position at which they stand meanwhile.
#[derive(Clone, Copy)]
struct Held {
    position_ms: f64,
    until_ms: f64,
}

fn main() {
    run("late-connections", body)
}

fn body(case: &Arc<Case>) -> Result<i32, String> {
    let mut broken = 0;
    for round in 0..ROUNDS {
        broken += play(case, round)?;
    }
    case.log(&format!("{broken} reads were answered from data that was older than {BOUND_MS} ms when it was asked for"));
    Ok(if broken > 0 { BROKEN } else { KEPT })
}

/// Starts a proxy and plays one crowd of reads. Returns the number of stale ones.
fn play(case: &Arc<Case>, round: u64) -> Result<u32, String> {
    let held = shared(Held { position_ms: 0.0, until_ms: 0.0 });
    let stale = shared(Vec::<String>::new());
    let by_replicas = shared(0u32);
    let server = |index: usize| {
        let (case, held, stale, by_replicas) = (case.clone(), held.clone(), stale.clone(), by_replicas.clone());
        let trouble = case.trouble;
        DataServer::start(
            move |number| if trouble && number % 3 == 2 { LATE_MS } else { 0 },
            move |received| {
                let is_primary = index == 0;
                let held = *held.lock().unwrap();
                let position = |now: f64| match is_primary {
                    true => now,
                    // A replica applies the log 10 ms late, and nothing while it holds a report.
                    false if now < held.until_ms => held.position_ms,
                    false => now - 10.0,
                };
                let stood_at = position(received.at_ms);
                if received.text == "SHOW stats" {
                    let report = format!("x0={:.3},x1={}", stood_at / 1e3, u8::from(is_primary));
                    case.log(&format!("round {round}: data server {index}: probe, answered with {report}"));
                    let end = [command_complete(false), ready()].concat();
                    return received.stream.write_all(&[row_description(), row(report.as_bytes()), end].concat());
                }
                let is_write = received.text.starts_with("INSERT");
                if is_write && !is_primary {
                    let answer = [error("25006"), status(false, stood_at), ready()].concat();
                    return received.stream.write_all(&answer);
                }
                if !is_write && !is_primary {
                    let id = field(&received.text, "id").unwrap_or("-");
                    let age_ms = received.at_ms - stood_at;
                    let is_stale = age_ms > BOUND_MS;
                    *by_replicas.lock().unwrap() += 1;
                    if is_stale {
                        stale.lock().unwrap().push(id.to_owned());
                    }
                    case.log(&format!(
                        "round {round}: replica {index}: id={id} arrived, data {age_ms:.0} ms old{}",
                        if is_stale { ", too old" } else { "" }
                    ));
                }
                sleep_ms(WORK_MS);
                let end = [command_complete(is_write), status(is_primary, stood_at), ready()].concat();
                received.stream.write_all(&[row_description(), row(b"value"), end].concat())
            },
        )
    };
    let servers: Vec<_> = (0..3).map(server).collect();
    let entries = servers.iter().enumerate().map(|(index, server)| Entry {
        uid: format!("s-{index}"),
        address: server.address,
        zone: "kacyiru".into(),
        group: 1,
        state: "Ready".into(),
        mode: if index == 0 { "read-write" } else { "read-only" }.into(),
    });
    let discovery = Discovery::start(entries.collect(), |_, _, _| {});
    let listen = free_address();
    let name = format!("n{round}");
    let config = write_config(case, &name, listen, &discovery, &kigali_settings(3, 0));
    let mut proxy = start_proxy(case, &name, &config, free_address(), &state_folder(case, &format!("state-{round}")));
    proxy.wait_ready(Duration::from_secs(30))?;
    sleep_ms(500);

    let connect = || Client::connect(listen, Duration::from_secs(2)).map_err(|e| e.to_string());
    let mut first = connect()?;
    let crowd: Vec<_> = (0..CROWD).map(|_| connect()).collect::<Result<_, _>>()?;
    let held_at = unix_ms();
    *held.lock().unwrap() = Held { position_ms: held_at, until_ms: held_at + 1_900.0 };
    case.log(&format!("round {round}: both replicas hold two overlapping reports for 1.9 s and apply nothing meanwhile"));
    let wait_until = |at_ms: f64| std::thread::sleep(Duration::from_secs_f64(((at_ms - unix_ms()) / 1e3).max(0.0)));
    for after_ms in [900.0, 1_000.0] {
        wait_until(held_at + after_ms);
        let read = select(&new_id(), "k", "browse", 750, 1, "");
        let answer = first.ask(&read, Duration::from_secs(2));
        case.log(&format!("round {round}: client: a first read: {answer:?}"));
    }
    wait_until(held_at + CROWD_AFTER_MS);
    case.log(&format!("round {round}: {CROWD} clients send a read each"));
    let clients: Vec<_> = crowd
        .into_iter()
        .map(|mut client| {
            std::thread::spawn(move || {
                let id = new_id();
                let answer = client.ask(&select(&id, "k", "browse", 750, 1, ""), Duration::from_secs(2));
                (id, answer)
            })
        })
        .collect();
    let mut served_stale = 0;
    for client in clients {
        let (id, answer) = client.join().map_err(|_| "a client panicked".to_owned())?;
        // Only an answer counts: a client that got none of a stale attempt has seen no old data.
        let is_stale = matches!(answer, Answer::Served(_)) && stale.lock().unwrap().contains(&id);
        served_stale += u32::from(is_stale);
        let mark = if is_stale { ", from data that was too old" } else { "" };
        case.log(&format!("round {round}: client: id={id}: {answer:?}{mark}"));
    }
    if *by_replicas.lock().unwrap() == 0 {
        case.log(&format!("round {round}: no read went to a replica"));
    }
    Ok(served_stale)
}
