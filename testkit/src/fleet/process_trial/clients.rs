//! Clients that create requests, send them to the proxies through a load balancer, and retry them.
//!
//! Owns the state of each proxy in the load balancer. The load balancer sends requests only to admitted
//! proxies. It admits a proxy that has passed a health check.

use std::time::Duration;

use tokio::task::spawn_local;

use super::super::fleet_model::START_S;
use super::super::rule_checker::{FinalAnswer, Rule};
use super::super::workload::{ClientRequest, TryFailure};
use super::exchange::{exchange, health_check, ClientResponse, ExchangeError, Statement};
use super::message_stream::MessageStream;
use super::proxy_config::class_name;
use super::state::{SharedTrial, TrialState};

/// Interval between the health checks of a proxy that is not admitted.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in seconds after which the load balancer removes an unreachable proxy.
const UNREACHABLE_TIMEOUT_S: f64 = 1.0;

/// State of a proxy in the load balancer.
#[derive(Default)]
pub struct BalancerTarget {
    /// Whether the load balancer sends requests to the proxy.
    pub admitted: bool,
    /// Time in seconds of the first failed connection since the proxy was admitted or last served or rejected
    /// a request. `None` without such a failure.
    pub unreachable_since: Option<f64>,
    /// Idle connections of clients to the proxy.
    pub idle: Vec<MessageStream>,
}

/// Sends health checks to a proxy until one succeeds, and then admits the proxy.
pub async fn admit_when_ready(shared: SharedTrial, proxy: usize) {
    while !shared.with(|trial| trial.balancer_targets[proxy].admitted) {
        let address = shared.with(|trial| trial.processes.listen_address(proxy));
        let check_result = tokio::time::timeout(HEALTH_CHECK_TIMEOUT, health_check(address)).await;
        if matches!(check_result, Ok(Ok(()))) {
            shared.with(|trial| {
                trial.balancer_targets[proxy].admitted = true;
                trial.balancer_targets[proxy].unreachable_since = None;
            });
            return;
        }
        tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

/// Creates the requests of a proxy's clients until the end of the load.
pub async fn run_clients(shared: &SharedTrial, proxy: usize) {
    let clock = shared.clock();
    loop {
        let (interval, load_ended) = shared.with(|trial| {
            let now = clock.now();
            let factor = trial.fleet.burst_factor(now);
            let load_ended = now > START_S + trial.fleet.plan.duration_s;
            (trial.fleet.workload.draw_interarrival_time(proxy, factor), load_ended)
        });
        if load_ended {
            return;
        }
        clock.sleep_until(clock.now() + interval).await;
        let request = shared.with(|trial| trial.fleet.create_request(proxy, clock.now()));
        spawn_local(run_request(shared.clone(), request));
    }
}

/// Tries a request until it is served or its client gives up.
async fn run_request(shared: SharedTrial, mut request: ClientRequest) {
    let clock = shared.clock();
    loop {
        request.tries += 1;
        let Err(failure) = run_try(&shared, &request).await else { return };
        let retry_at = shared.with(|trial| trial.fleet.retry_at(&request, failure, clock.now()));
        let Some(retry_at) = retry_at else { return };
        clock.sleep_until(retry_at).await;
    }
}

/// Runs one try of a request: sends the statement, checks the answer and records the result in the report.
async fn run_try(shared: &SharedTrial, request: &ClientRequest) -> Result<(), TryFailure> {
    let clock = shared.clock();
    let (statement, admitted) = shared.with(|trial| {
        let statement = new_statement(trial, request);
        trial.client_requests.insert(statement.id, request.clone());
        (statement, trial.balancer_targets[request.proxy].admitted)
    });
    if !admitted {
        shared.with(|trial| trial.fleet.report.unreachable += 1);
        return Err(TryFailure::Failed);
    }
    let sent_at = clock.now();
    let result = exchange(shared, request, &statement).await;
    let now = clock.now();
    shared.with(|trial| {
        check_answer(trial, request, &statement, sent_at, &result);
        let outcome = match result {
            Ok(ClientResponse::Served(body)) => {
                request_served(trial, request, &statement, &body, now);
                Ok(())
            }
            Ok(ClientResponse::Rejected { retry_after }) => {
                trial.fleet.report.rejected += 1;
                Err(TryFailure::Rejected { retry_after })
            }
            Ok(ClientResponse::Failed) => {
                trial.fleet.report.failed += 1;
                Err(TryFailure::Failed)
            }
            Err(error) => {
                trial.fleet.report.unreachable += 1;
                if error == ExchangeError::ClosedBeforeResponse {
                    trial.fleet.report.closed_unanswered += 1;
                }
                if error == ExchangeError::Unreachable {
                    record_unreachable_proxy(shared, trial, request.proxy, now);
                }
                Err(TryFailure::Failed)
            }
        };
        if outcome != Err(TryFailure::Failed) {
            trial.balancer_targets[request.proxy].unreachable_since = None;
        }
        outcome
    })
}

/// Creates the statement for the next try of a request.
pub(super) fn new_statement(trial: &mut TrialState, request: &ClientRequest) -> Statement {
    trial.fleet.report.tries += 1;
    trial.last_request_id += 1;
    let id = trial.last_request_id;
    let token_commit = trial.fleet.token_commit(request);
    let after = token_commit
        .map_or(String::new(), |commit| format!(",after={:.0}", trial.clock.to_unix_ms(commit).ceil()));
    let time_left_ms = ((request.deadline - trial.clock.now()) * 1e3).max(1.0);
    let retry = if request.tries > 1 { ",r=1" } else { "" };
    let class = class_name(request.class);
    let set = request.set;
    let session = request.session;
    let comment = format!("/* id={id:x},c={class},d={time_left_ms:.0},cluster={set}{after}{retry} */");
    let text = if trial.fleet.is_write(request.class) {
        format!(r"INSERT INTO objects (oid, body) VALUES ('{session:x}', '\x00') RETURNING body {comment}")
    } else {
        format!("SELECT body FROM objects WHERE oid = '{session:x}' {comment}")
    };
    Statement { id, text, token_commit }
}

/// Passes the final answer of a try to the rule checker.
pub(super) fn check_answer(
    trial: &mut TrialState,
    request: &ClientRequest,
    statement: &Statement,
    sent_at: f64,
    result: &Result<ClientResponse, ExchangeError>,
) {
    let now = trial.clock.now();
    // A paused process cannot answer before the deadline. A request needs no answer if its process was killed
    // or was never reached.
    let paused = now > request.deadline && trial.processes.was_paused_since(request.proxy, sent_at);
    let killed = result.is_err() && trial.processes.was_killed_since(request.proxy, sent_at);
    let unreachable = matches!(result, Err(ExchangeError::Unreachable));
    if paused || killed || unreachable {
        trial.fleet.checker.request_abandoned(statement.id);
        return;
    }
    let answer = match result {
        Ok(ClientResponse::Rejected { .. }) => FinalAnswer::Rejected,
        Ok(_) => FinalAnswer::Other,
        // A connection that ended without a response has been recorded; the end of the trial reports the rest.
        Err(_) => return,
    };
    trial.fleet.checker.request_answered(statement.id, answer, now);
}

/// Records that a request was served, and checks that the response contains the id of the request.
fn request_served(
    trial: &mut TrialState,
    request: &ClientRequest,
    statement: &Statement,
    body: &[u8],
    now: f64,
) {
    let id = statement.id;
    let fleet = &mut trial.fleet;
    if !String::from_utf8_lossy(body).contains(&format!("{id:x}")) {
        let description = format!("request {id}: served with the response to another request");
        fleet.checker.report_violation(now, Rule::AnswerInTime, description);
    }
    fleet.request_served(request, now);
    if let Some(start) = trial.process_start_entry(request.proxy) {
        start.first_served.get_or_insert(now - START_S - start.started_at);
    }
}

/// Records that a proxy is unreachable. After the timeout, removes the proxy from the load balancer and
/// starts health checks that admit it again.
fn record_unreachable_proxy(shared: &SharedTrial, trial: &mut TrialState, proxy: usize, now: f64) {
    let target = &mut trial.balancer_targets[proxy];
    let since = *target.unreachable_since.get_or_insert(now);
    if now - since > UNREACHABLE_TIMEOUT_S {
        target.admitted = false;
        target.idle.clear();
        spawn_local(admit_when_ready(shared.clone(), proxy));
    }
}
