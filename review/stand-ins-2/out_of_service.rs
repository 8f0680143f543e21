//! The proxy is told to send its clients away, while a client keeps a few commands ahead on its connection.

#[path = "kit.rs"]
mod kit;
#[path = "settings.rs"]
mod settings;

use std::collections::VecDeque;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use kit::{call, select, sleep_ms, Answer, Client, Discovery, Group, Run, Server, Verdict};
use settings::{fonts, fonts_classes};

/// Time after the call in which clients have to be sent away, with the slack of time limits on sockets.
const SENT_AWAY_MS: u64 = 4050;
/// Time for which the client would go on.
const CLIENT_MS: u64 = 9000;

fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let group = Arc::new(Group::default());
    let servers: Vec<_> =
        (0..4).map(|n| Server::start(&format!("s-{n}"), &group, n == 0, false, record)).collect();
    let entries = servers.iter().enumerate().map(|(n, server)| {
        server.entry(0, "hall-north", "std-5core", if n == 0 { "read-write" } else { "read-only" })
    });
    let discovery = Discovery::start(entries.collect(), record);
    run.write_config(&discovery, (128, 512), &fonts(&fonts_classes()));
    let mut proxy = run.start_proxy("proxy");
    if !proxy.wait_ready(20) {
        return Err("the proxy is not ready".into());
    }
    let mut first = Client::connect(run.listen).map_err(|e| e.to_string())?;
    for n in 0..10 {
        let text = select("k", &format!("id=a{n},c=own-changes,d=1500,cluster=0"));
        first.send(&text).map_err(|e| e.to_string())?;
        let answer = first.answer(Duration::from_secs(4));
        record.line(&format!("client got id=a{n}: {}", answer.text()));
    }
    drop(first);

    // The commands that the client has out at once; one without the disruption.
    let depth = if run.trouble { 4 } else { 1 };
    let start = Instant::now();
    let client = {
        let (record, listen) = (record.clone(), run.listen);
        thread::spawn(move || -> Result<Vec<(u64, Answer)>, String> {
            let mut client = Client::connect(listen).map_err(|e| e.to_string())?;
            let mut out = VecDeque::new();
            let mut answers = Vec::new();
            let mut n = 0;
            while start.elapsed() < Duration::from_millis(CLIENT_MS) {
                while out.len() < depth {
                    let text = select("k", &format!("id=p{n},c=font-lookup,d=1200,cluster=0"));
                    if client.send(&text).is_err() {
                        break;
                    }
                    record.line(&format!("client wrote id=p{n}"));
                    out.push_back(n);
                    n += 1;
                }
                let answer = client.answer(Duration::from_secs(3));
                let id = out.pop_front().unwrap_or(n);
                record.line(&format!("client got id=p{id}: {}", answer.text()));
                let ended = matches!(answer, Answer::Closed | Answer::Nothing);
                answers.push((start.elapsed().as_millis() as u64, answer));
                if ended {
                    record.line("the connection has ended");
                    break;
                }
            }
            Ok(answers)
        })
    };
    sleep_ms(1000);
    let status = call(proxy.admin, "POST", "/control/out-of-service");
    let called_at = start.elapsed().as_millis() as u64;
    record.line(&format!("out-of-service answered: {status:?}"));
    if status != Some(200) {
        return Err("the call was not accepted".into());
    }
    let answers = client.join().map_err(|_| "the client failed")??;
    let limit = called_at + SENT_AWAY_MS;
    let late: Vec<_> =
        answers.iter().filter(|(at, answer)| *at > limit && matches!(answer, Answer::Served(_))).collect();
    if let Some((last, _)) = late.last() {
        record.line(&format!(
            "BROKEN: the client's connection was still open and got {} answers from {SENT_AWAY_MS} ms after the call on, \
             the last {} ms after it",
            late.len(),
            last - called_at
        ));
    }
    Ok(late.is_empty())
}

fn main() {
    kit::main("out-of-service", run);
}
