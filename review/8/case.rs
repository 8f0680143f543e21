//! Three clients write large values, each in 2 s, and others write values of 96 KiB.

#[path = "../stand-ins-2/kit.rs"]
mod kit;
#[path = "../stand-ins-2/settings.rs"]
mod settings;

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{insert, query_message, sleep_ms, Answer, Client, Discovery, Group, Run, Server, Verdict};

/// Size in bytes of the large value, within the 4 MiB of the pages.
const LARGE_VALUE: usize = 4 * 1024 * 1024 - 1024;
/// Size in bytes of the other values.
const VALUE: usize = 96 * 1024;
/// Number of clients that write a large value.
const LARGE_WRITERS: usize = 3;
/// Time in which a large value is written, and the number of pieces in which it is written.
const LARGE_WRITE_MS: u64 = 2000;
const PIECES: usize = 100;
/// Time that the other clients wait for an answer: between 42 and 100 % of the class's 3 s.
const DEADLINE_MS: u64 = 1500;
/// Time after its deadline in which an answer only earns nothing, and the slack of time limits on sockets.
const SLACK_MS: u64 = 550;

fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let group = Arc::new(Group::default());
    let servers: Vec<_> =
        (0..3).map(|n| Server::start(&format!("s-{n}"), &group, n == 0, false, record)).collect();
    let entries = servers.iter().enumerate().map(|(n, server)| {
        server.entry(0, "hall-north", "std-5core", if n == 0 { "read-write" } else { "read-only" })
    });
    let discovery = Discovery::start(entries.collect(), record);
    run.write_config(&discovery, (32, 256), &settings::fonts(&settings::fonts_classes()));
    let mut proxy = run.start_proxy("proxy");
    if !proxy.wait_ready(20) {
        return Err("the proxy is not ready".into());
    }
    // The proxy learns the primary.
    let mut client = Client::connect(run.listen).map_err(|e| e.to_string())?;
    for n in 0..5 {
        client
            .send(&insert("k", b"v", &format!("id=w{n},c=usage-write,d=3000,cluster=0")))
            .map_err(|e| e.to_string())?;
        let answer = client.answer(Duration::from_secs(4));
        record.line(&format!("warm-up write w{n}: {}", answer.text()));
    }

    let mut large = Vec::new();
    for n in 0..LARGE_WRITERS {
        let (record, listen, trouble) = (record.clone(), run.listen, run.trouble);
        large.push(thread::spawn(move || -> Result<(), String> {
            let mut client = Client::connect(listen).map_err(|e| e.to_string())?;
            let fields = format!("id=large{n},c=usage-write,d=3000,cluster=0");
            let message = query_message(&insert(&format!("large{n}"), &vec![7; LARGE_VALUE], &fields));
            let started = Instant::now();
            record.line(&format!("client begins to write id=large{n}, {} bytes", message.len()));
            for piece in message.chunks(message.len().div_ceil(PIECES)) {
                client.stream.write_all(piece).map_err(|e| e.to_string())?;
                if trouble {
                    sleep_ms(LARGE_WRITE_MS / PIECES as u64);
                }
            }
            record.line(&format!(
                "client wrote the last byte of id=large{n} after {} ms",
                started.elapsed().as_millis()
            ));
            let answer = client.answer(Duration::from_secs(10));
            record.line(&format!("client got id=large{n}: {}", answer.text()));
            Ok(())
        }));
    }
    sleep_ms(400);
    // Ten clients write values of 96 KiB, one each 100 ms.
    let held = Arc::new(Mutex::new(true));
    let mut clients = Vec::new();
    for n in 0..10 {
        let (record, listen, held) = (record.clone(), run.listen, held.clone());
        clients.push(thread::spawn(move || -> Result<(), String> {
            let mut client = Client::connect(listen).map_err(|e| e.to_string())?;
            let fields = format!("id=b{n},c=usage-write,d={DEADLINE_MS},cluster=0");
            let message = query_message(&insert(&format!("b{n}"), &vec![n; VALUE], &fields));
            let begun = Instant::now();
            client.stream.write_all(&message).map_err(|e| e.to_string())?;
            let written = Instant::now();
            record.line(&format!(
                "client wrote the last byte of id=b{n}, {} bytes, in {} ms",
                message.len(),
                (written - begun).as_millis()
            ));
            let answer = client.answer(Duration::from_secs(12));
            let took = written.elapsed().as_millis() as u64;
            record.line(&format!("client got id=b{n} after {took} ms: {}", answer.text()));
            // A connection that is closed before its request is read is allowed; the client cannot tell.
            if answer != Answer::Closed && took > DEADLINE_MS + SLACK_MS {
                record.line(&format!(
                    "BROKEN: id=b{n} got no final answer within {DEADLINE_MS} + {SLACK_MS} ms"
                ));
                *held.lock().unwrap() = false;
            }
            Ok(())
        }));
        sleep_ms(100);
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")??;
    }
    large.into_iter().for_each(|client| drop(client.join()));
    let held = *held.lock().unwrap();
    Ok(held)
}

fn main() {
    kit::main("large-writes", run);
}
