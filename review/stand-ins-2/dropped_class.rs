//! A new configuration drops the class with the longest deadline. Later the proxy is restarted while servers hang.

#[path = "kit.rs"]
mod kit;
#[path = "settings.rs"]
mod settings;

use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{insert, select, sleep_ms, sleep_until, Answer, Client, Discovery, Group, Run, Server, Verdict};
use settings::{class, fonts, fonts_classes};

/// The longest deadline of the configuration in force at the restart.
const LONGEST_DEADLINE_MS: u64 = 1500;
/// A request that came later than this after SIGTERM must not be unanswered at SIGKILL.
const TAKEN_AFTER_MS: u128 = 750;
/// SIGKILL comes no sooner after SIGTERM: the longest deadline plus 0.7 s, and 50 ms of slack on sockets.
const KILL_AFTER_MS: u64 = LONGEST_DEADLINE_MS + 700 + 50;

fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let group = Arc::new(Group::default());
    let servers: Vec<_> =
        (0..4).map(|n| Server::start(&format!("s-{n}"), &group, n == 0, false, record)).collect();
    let entries = servers.iter().enumerate().map(|(n, server)| {
        server.entry(0, "hall-north", "std-5core", if n == 0 { "read-write" } else { "read-only" })
    });
    let discovery = Discovery::start(entries.collect(), record);
    let short = || {
        vec![
            class("font-lookup", "repeatable", 500, 1200, "lag_bound", 3000),
            class("own-changes", "repeatable", 500, 1500, "causal", 0),
            class("usage-note", "once", 400, 1500, "mutate", 0),
        ]
    };
    let limits = (128, 512);
    // Without the disruption, the proxy starts with the configuration that it otherwise gets by SIGHUP.
    let first = if run.trouble { fonts_classes() } else { short() };
    run.write_config(&discovery, limits, &fonts(&first));
    let mut proxy = run.start_proxy("proxy");
    if !proxy.wait_ready(20) {
        return Err("the proxy is not ready".into());
    }
    let ask = |client: &mut Client, id: &str| -> Result<Answer, String> {
        client
            .send(&select("k", &format!("id={id},c=own-changes,d=1500,cluster=0")))
            .map_err(|e| e.to_string())?;
        let answer = client.answer(Duration::from_secs(4));
        record.line(&format!("client got id={id}: {}", answer.text()));
        Ok(answer)
    };
    let mut client = Client::connect(run.listen).map_err(|e| e.to_string())?;
    for n in 0..10 {
        ask(&mut client, &format!("a{n}"))?;
    }
    if run.trouble {
        sleep_ms(1500);
        run.write_config(&discovery, limits, &fonts(&short()));
        proxy.signal("HUP");
    }
    sleep_ms(4000);
    for n in 10..20 {
        ask(&mut client, &format!("a{n}"))?;
    }

    // Two of four servers hang through the whole of the shutdown.
    for server in &servers[..2] {
        record.line(&format!("{} hangs", server.state.uid));
        server.state.hung.store(true, SeqCst);
    }
    // Clients that are connected before the signal send a request each 50 ms, on connections that stay open.
    let open: Vec<_> =
        (0..40).map(|_| Client::connect(run.listen)).collect::<Result<_, _>>().map_err(|e| e.to_string())?;
    proxy.signal("TERM");
    let start = Instant::now();
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for (n, mut client) in open.into_iter().enumerate() {
        let (record, unanswered) = (record.clone(), unanswered.clone());
        threads.push(thread::spawn(move || {
            sleep_until(start, 40 * n as u64);
            let text = insert(&format!("k{n}"), b"note", &format!("id=t{n},c=usage-note,d=1500,cluster=0"));
            let at = start.elapsed().as_millis();
            if client.send(&text).is_err() {
                return;
            }
            record.line(&format!("client wrote the last byte of id=t{n}, {at} ms after SIGTERM"));
            let answer = client.answer(Duration::from_secs(5));
            let ended = start.elapsed().as_millis();
            record.line(&format!("client got id=t{n}, {ended} ms after SIGTERM: {}", answer.text()));
            if answer == Answer::Closed || answer == Answer::Nothing {
                unanswered.lock().unwrap().push((n, at, ended));
            }
        }));
    }
    while start.elapsed() < Duration::from_millis(KILL_AFTER_MS) && !proxy.has_ended() {
        sleep_ms(2);
    }
    let ended_itself = proxy.has_ended();
    record.line(&format!(
        "{} ms after SIGTERM the process {}",
        start.elapsed().as_millis(),
        if ended_itself { "has ended" } else { "still runs" }
    ));
    proxy.kill();
    for thread in threads {
        let _ = thread.join();
    }
    // A request that a server has got was taken; one that crossed the close of its connection was not.
    let mut held = true;
    for (n, at, ended) in unanswered.lock().unwrap().iter() {
        let id = format!("t{n}");
        let was_forwarded =
            servers.iter().any(|server| server.state.arrived.lock().unwrap().contains_key(&id));
        if was_forwarded && *at > TAKEN_AFTER_MS {
            record.line(&format!(
                "BROKEN: id={id}, sent {at} ms after SIGTERM, was taken and got no answer, {ended} ms after"
            ));
            held = false;
        }
    }
    Ok(held)
}

fn main() {
    kit::main("shutdown", run);
}
