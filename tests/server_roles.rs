//! Roles that data servers tell, against the built program.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{load_report, ready_for_query, row};
use support::*;

/// Number of clients that send strong reads.
const CLIENTS: usize = 3;
/// Time for which the clients send before the primary is lost.
const SERVING_TIME: Duration = Duration::from_millis(500);
/// Time from the loss of the primary to the promotion of the replica.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// Time from the promotion by which the strong reads are served again.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(1);
/// Time for which the clients send after that.
const LAST_PERIOD: Duration = Duration::from_millis(500);
/// Time that a read gives the proxy, in milliseconds.
const TIMEOUT_MS: u64 = 400;

/// Returns a configuration with strong reads in place of the bounded ones, and with health checks.
fn config() -> String {
    EXAMPLE_CONFIG.replace(r#""lag_bound""#, r#""strong""#).replace(r#""Probes": false"#, r#""Probes": true"#)
}

fn strong_read(id: &str) -> String {
    read_statement_with_id(id, TIMEOUT_MS).replace("c=own-changes", "c=font-lookup")
}

/// Starts a replica that is the primary as soon as the flag is set.
fn start_promoted_server(is_primary: Arc<AtomicBool>) -> ScriptedServer {
    ScriptedServer::start(ServerRole::Replica, move |_| {
        let status = load_report(is_primary.load(Ordering::SeqCst), 0);
        Reply::Raw([row(b"v"), status, ready_for_query()].concat())
    })
}

/// Sends strong reads until `ends_at`. Returns the start of each read that was served.
fn served_reads(mut connection: Client, client: usize, ends_at: Instant) -> Vec<Instant> {
    let mut served = Vec::new();
    for number in 0.. {
        let sent_at = Instant::now();
        if sent_at >= ends_at {
            break;
        }
        let response = connection.request(&strong_read(&format!("{client}-{number}")));
        if message_kinds(&response) == "TDCZ" {
            served.push(sent_at);
        }
        thread::sleep(Duration::from_millis(10));
    }
    served
}

/// Guards against strong reads that are rejected until a write finds the new primary: where no write comes, that is for
/// ever. A read must not search itself, as a replica would answer it from old data.
#[test]
fn strong_reads_alone_find_a_new_primary_by_health_checks() {
    let old_primary = ScriptedServer::start(ServerRole::Primary, |_| Reply::Row(b"v".to_vec()));
    let is_promoted = Arc::new(AtomicBool::new(false));
    let replica = start_promoted_server(is_promoted.clone());
    let endpoints =
        [old_primary.endpoint("a", "read-write", "Ready"), replica.endpoint("b", "read-only", "Ready")];
    let proxy = start_proxy_with_config(&config(), &endpoints, None);

    let promoted_at = Instant::now() + SERVING_TIME + PROMOTION_TIME;
    let searched_until = promoted_at + MAX_SEARCH_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let connection = Client::connect(&proxy);
            thread::spawn(move || served_reads(connection, client, searched_until + LAST_PERIOD))
        })
        .collect();
    thread::sleep(SERVING_TIME);
    drop(old_primary);
    thread::sleep(promoted_at.saturating_duration_since(Instant::now()));
    let is_read = |statement: &&String| statement.contains("oid = 'k'");
    assert_eq!(replica.statements().iter().filter(is_read).count(), 0, "reads before the promotion");
    is_promoted.store(true, Ordering::SeqCst);

    for (client, thread) in clients.into_iter().enumerate() {
        let served = thread.join().expect("a client does not panic");
        let before = served.iter().filter(|at| **at < promoted_at - PROMOTION_TIME).count();
        let after = served.iter().filter(|at| **at >= searched_until).count();
        println!("client {client}: {before} reads served before the loss, {after} after the search");
        assert!(
            before > 10 && after > 10,
            "client {client}: {before} before the loss, {after} after the search"
        );
    }
}
