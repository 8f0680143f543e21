//! Tests of the exchange with planted faults: proxies that break a rule, and a client that sends again.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

use super::super::clients::new_statement;
use super::super::process_table::ProcessTable;
use super::super::state::TrialState;
use super::super::{server_connections, TrialPaths};
use super::*;
use crate::fleet::scenario;

/// What a scripted proxy does with the statement that it has read.
#[derive(Clone, Copy)]
enum ProxyFault {
    /// Keeps the statement for a while, and closes the client's connection.
    ClosesWithoutAttempt,
    /// Closes the client's connection once it has sent the attempt.
    ClosesDuringAttempt,
    /// Sends the attempt a second time while the first one may be executed.
    SendsTwice,
    /// Closes the client's connection at once, as if it had not read the statement.
    ClosesUnread,
}

/// Time for which a scripted proxy holds a statement, and for which a server may execute an attempt.
const HOLD_TIME: Duration = Duration::from_millis(300);

/// Number of addresses that are tried for a proxy. Another test or process may take an address between its choice and
/// the test's listening there.
const MAX_ADDRESSES: usize = 20;

/// Returns a process table with one proxy, and the listener of the proxy.
fn listen_as_proxy(name: &str) -> (ProcessTable, std::net::TcpListener) {
    let folder = std::env::temp_dir().join(format!("exchange-{name}-{}", std::process::id()));
    let try_address = || {
        let paths = TrialPaths { program: "true".into(), folder: folder.clone() };
        let processes = ProcessTable::new(paths, 1).expect("the folder is writable");
        let listener = std::net::TcpListener::bind(processes.listen_address(0)).ok()?;
        Some((processes, listener))
    };
    let mut tries = (0..MAX_ADDRESSES).map(|_| try_address());
    tries.find_map(|listening| listening).expect("one of the chosen addresses is free")
}

/// Creates the state of a trial with one proxy and one server, which is the primary. Also returns the listener
/// of the proxy.
fn create_trial(name: &str) -> (SharedTrial, TcpListener) {
    let plan = scenario::parse("(fleet (proxies 1) (sets 1) (members 1) (load 0.1)) (length 1)")
        .expect("the scenario is valid");
    let (processes, listener) = listen_as_proxy(name);
    listener.set_nonblocking(true).expect("the listener is open");
    let listener = TcpListener::from_std(listener).expect("a runtime is entered");
    let shared = SharedTrial::new(TrialState::new(plan, processes));
    server_connections::listen(&shared, 0).expect("loopback is available");
    (shared, listener)
}

/// Creates a write that must not be executed twice, and its statement.
fn create_write(shared: &SharedTrial) -> (ClientRequest, Statement) {
    shared.with(|trial| loop {
        let now = trial.clock.now();
        let request = trial.fleet.create_request(0, now);
        let class = &trial.fleet.plan.settings.classes[request.class.0];
        if class.idempotency == Idempotency::NonIdempotent {
            let statement = new_statement(trial, &request);
            trial.client_requests.insert(statement.id, request.clone());
            return (request, statement);
        }
    })
}

/// Sends a statement to the server without waiting for the response.
async fn send_attempt(shared: &SharedTrial, text: &str) -> MessageStream {
    let address = shared.with(|trial| trial.server_addresses[&(0, 0)]);
    let mut stream = connect(address).await.expect("the server accepts");
    while stream.read_message().await.expect("the startup succeeds").0 != b'Z' {}
    stream.write_all(&query(text)).await.expect("the server reads");
    stream
}

/// Serves the clients of the proxy's address with a planted fault.
async fn run_proxy(shared: SharedTrial, listener: TcpListener, fault: ProxyFault) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut client = MessageStream::new(stream).expect("the client is connected");
        client.read_startup().await.expect("the client sends its startup");
        let (_, body) = client.read_message().await.expect("the client sends a statement");
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        match fault {
            ProxyFault::ClosesWithoutAttempt => tokio::time::sleep(HOLD_TIME).await,
            ProxyFault::ClosesUnread => {}
            ProxyFault::ClosesDuringAttempt => {
                let attempt = send_attempt(&shared, &text).await;
                drop(client);
                tokio::time::sleep(HOLD_TIME).await;
                drop(attempt);
                continue;
            }
            ProxyFault::SendsTwice => {
                let first = send_attempt(&shared, &text).await;
                let second = send_attempt(&shared, &text).await;
                tokio::time::sleep(HOLD_TIME).await;
                drop((first, second));
            }
        }
        drop(client);
    }
}

/// Sends a write on an idle connection to a proxy with a planted fault, `times` times with the same id, and
/// returns the descriptions of the violations.
fn violations(name: &str, fault: ProxyFault, times: usize) -> Vec<String> {
    violations_on(ConnectionUse::Reused, name, fault, times)
}

/// As [`violations`], on idle or on new connections.
fn violations_on(connection: ConnectionUse, name: &str, fault: ProxyFault, times: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (shared, listener) = create_trial(name);
        spawn_local(run_proxy(shared.clone(), listener, fault));
        let (request, statement) = create_write(&shared);
        for _ in 0..times {
            if connection == ConnectionUse::Reused {
                let address = shared.with(|trial| trial.processes.listen_address(0));
                let idle = connect(address).await.expect("the proxy accepts");
                shared.with(|trial| trial.balancer_targets[0].idle.push(idle));
            }
            let result = exchange(&shared, &request, &statement).await;
            assert_eq!(result.err(), Some(ExchangeError::ClosedBeforeResponse));
        }
        tokio::time::sleep(2 * HOLD_TIME).await;
        shared.with(|trial| trial.fleet.checker.descriptions(START_S))
    })
}

#[test]
fn a_statement_that_the_proxy_may_not_have_read_may_be_closed_and_sent_again() {
    assert_eq!(violations("unread", ProxyFault::ClosesUnread, 2), Vec::<String>::new());
}

#[test]
fn a_proxy_that_closes_a_new_connection_without_an_answer_is_reported() {
    let found = violations_on(ConnectionUse::New, "new", ProxyFault::ClosesUnread, 1);
    assert!(matches!(&found[..], [one] if one.starts_with("AnswerInTime")), "{found:?}");
}

#[test]
fn a_proxy_that_closes_a_connection_whose_statement_it_has_read_is_reported() {
    let found = violations("held", ProxyFault::ClosesWithoutAttempt, 1);
    assert!(matches!(&found[..], [one] if one.starts_with("AnswerInTime")), "{found:?}");
}

#[test]
fn a_proxy_that_closes_a_connection_during_an_attempt_is_reported() {
    let found = violations("attempt", ProxyFault::ClosesDuringAttempt, 1);
    assert!(matches!(&found[..], [one] if one.starts_with("AnswerInTime")), "{found:?}");
}

#[test]
fn a_proxy_that_sends_a_write_twice_is_reported() {
    let found = violations("twice", ProxyFault::SendsTwice, 1);
    let duplicates = found.iter().filter(|violation| violation.starts_with("NoDuplicateExecution"));
    assert!(duplicates.count() >= 2, "{found:?}");
}

#[test]
fn a_client_that_sends_a_write_again_after_an_attempt_is_reported() {
    let found = violations("again", ProxyFault::ClosesDuringAttempt, 2);
    let duplicates = found.iter().filter(|violation| violation.starts_with("NoDuplicateExecution"));
    assert!(duplicates.count() >= 2, "{found:?}");
}
