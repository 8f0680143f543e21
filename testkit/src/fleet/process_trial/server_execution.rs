//! Execution of statements by the server models, and the encoding of the responses.

use pipittack_core::api::{ClassId, Outcome, ServerStatus};
use rand::Rng;
use tokio::task::spawn_local;

use super::super::backends::{Completion, IncomingRequest, RequestAdmission};
use super::super::rule_checker::{ReplicaRead, Rule};
use super::super::server_model::ServerState;
use super::message_stream::{comment_value, error_message};
use super::state::{SharedTrial, TrialState};
use crate::wire::{message, row};

/// Time in seconds within which a proxy must have processed a response.
const RESPONSE_PROCESSING_S: f64 = 0.1;
/// Statement of a health check.
const HEALTH_CHECK_STATEMENT: &str = "SELECT 1";
/// Statement of a health check that requests a load report.
const LOAD_REPORT_STATEMENT: &str = "SHOW stats";

/// SQLSTATE of the response to a statement that no client sent.
const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE of a write at a replica.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE of the response to a request of a load report by a server that sends none.
const INSUFFICIENT_PRIVILEGE: &str = "42501";
/// SQLSTATE of a rejection by a server that drains or whose queue is full.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE of a failed execution.
const INTERNAL_ERROR: &str = "XX000";

/// Attempt that ended at its server, with the id of the try and the outcome.
#[derive(Debug, Clone, Copy)]
pub struct EndedAttempt {
    pub request: u64,
    pub outcome: Outcome,
}

/// Response of a server to a statement.
pub struct ServerResponse {
    body: Vec<u8>,
    pub status: ServerStatus,
    position_unix_ms: Option<f64>,
    /// The attempt that the response ends. `None` for a health check and for an unknown statement.
    pub attempt: Option<EndedAttempt>,
}

impl ServerResponse {
    /// Creates a response without the status of the server.
    fn without_status(body: Vec<u8>) -> Self {
        let status = ServerStatus { position: None, primary: None };
        Self { body, status, position_unix_ms: None, attempt: None }
    }

    /// Encodes the response as protocol messages, with the status of the server in `ParameterStatus`
    /// messages.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.body.clone();
        if let Some(primary) = self.status.primary {
            let mode: &[u8] = if primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" };
            bytes.extend(message(b'S', mode));
        }
        if let Some(ms) = self.position_unix_ms {
            bytes.extend(message(b'S', format!("wal_time\0{ms:.0}\0").as_bytes()));
        }
        bytes.extend(message(b'Z', b"I"));
        bytes
    }
}

/// Returns the id of the try from the comment of a statement.
pub fn request_id(text: &str) -> Option<u64> {
    comment_value(text, "id").and_then(|id| u64::from_str_radix(id, 16).ok())
}

/// Statement that a server has received.
pub struct ReceivedStatement {
    pub proxy: usize,
    /// Id of the process that sent the statement; `None` if it is not known yet.
    pub process: Option<u32>,
    pub server: usize,
    pub text: String,
}

/// Attempt that has reached a server.
#[derive(Clone)]
struct Attempt {
    shared: SharedTrial,
    proxy: usize,
    process: Option<u32>,
    server: usize,
    request: u64,
    class: ClassId,
    work_s: f64,
    sent_at: f64,
    /// Whether the server was primary at some time and the proxy had no time to learn that it no longer was.
    /// A stale read is then no violation.
    may_read_stale: bool,
}

/// Executes a statement, and returns the response. Returns `None` if the server never responds.
pub async fn execute(shared: SharedTrial, statement: ReceivedStatement) -> Option<ServerResponse> {
    let ReceivedStatement { proxy, process, server, text } = statement;
    if text == HEALTH_CHECK_STATEMENT || text == LOAD_REPORT_STATEMENT {
        return health_check(&shared, server, &text).await;
    }
    let sent_at = shared.now();
    let sent_request = shared.with(|trial| {
        let request = request_id(&text)?;
        let client_request = trial.client_requests.get(&request)?;
        Some((request, client_request.class, client_request.work_s))
    });
    let Some((request, class, work_s)) = sent_request else {
        shared.with(|trial| {
            let description = format!("server {server} received a statement that no client sent: {text}");
            trial.fleet.checker.report_violation(sent_at, Rule::AnswerInTime, description);
        });
        return Some(ServerResponse::without_status(error_message(PROTOCOL_VIOLATION)));
    };
    let may_read_stale = shared.with(|trial| may_read_stale(trial, proxy, server, sent_at));
    let attempt = Attempt { shared, proxy, process, server, request, class, work_s, sent_at, may_read_stale };
    let admission = attempt.admit();
    attempt.shared.sleep_one_way(proxy, server, 1.0).await;
    match admission {
        RequestAdmission::NoResponse => None,
        RequestAdmission::NotPrimary => {
            Some(attempt.rejection_response(Outcome::Misdirected, error_message(READ_ONLY_TRANSACTION)))
        }
        RequestAdmission::Rejected => {
            Some(attempt.rejection_response(Outcome::Rejected, error_message(TOO_MANY_CONNECTIONS)))
        }
        RequestAdmission::Crashed { informed_share } => {
            attempt.crash_server(informed_share);
            None
        }
        RequestAdmission::Executing { starts_at, ends_at } => {
            // The execution continues even if its proxy closes the connection.
            let execution = spawn_local(attempt.clone().execute(starts_at, ends_at));
            let completion = execution.await.ok().flatten()?;
            Some(attempt.execution_response(completion))
        }
    }
}

/// Returns whether a server was primary at some time, and no response that the proxy must have processed has
/// informed the proxy that the server is not primary.
fn may_read_stale(trial: &TrialState, proxy: usize, server: usize, now: f64) -> bool {
    let informed_at = trial.not_primary_since.get(&(proxy, server));
    let informed = informed_at.is_some_and(|at| at + RESPONSE_PROCESSING_S < now);
    trial.fleet.backends.servers[server].was_primary && !informed
}

impl Attempt {
    /// Passes the attempt to the model of its server, and records it in the report and the rule checker.
    fn admit(&self) -> RequestAdmission {
        self.shared.with(|trial| {
            let known_start = trial.known_starts.get(&(self.proxy, self.server)).copied();
            let request = IncomingRequest {
                class: self.class,
                work_s: self.work_s,
                sender_informed: trial.fleet.is_informed_of_start(self.server, known_start),
            };
            let fleet = &mut trial.fleet;
            fleet.report.attempts += 1;
            if !fleet.is_write(self.class) && fleet.backends.is_primary(self.server) {
                fleet.report.reads_at_primaries += 1;
            }
            fleet.checker.process_sent_attempt(self.request, self.server, self.process, self.sent_at);
            fleet.checker.statement_written(self.request, self.server, self.sent_at);
            fleet.backends.admit(self.server, request, self.sent_at)
        })
    }

    /// Returns the response to an attempt that was not executed, with the current status of the server.
    fn rejection_response(&self, outcome: Outcome, body: Vec<u8>) -> ServerResponse {
        let status = self.shared.with(|trial| trial.fleet.backends.status(self.server, trial.clock.now()));
        self.new_response(outcome, body, status)
    }

    fn new_response(&self, outcome: Outcome, body: Vec<u8>, status: ServerStatus) -> ServerResponse {
        self.shared.with(|trial| {
            trial.fleet.report.attempt_ended(outcome);
            let position_unix_ms = status.position.map(|at| trial.clock.to_unix_ms(at.as_secs_f64()));
            let attempt = Some(EndedAttempt { request: self.request, outcome });
            ServerResponse { body, status, position_unix_ms, attempt }
        })
    }

    /// Returns the response to an attempt that was executed. A successful response contains the id of the
    /// try.
    fn execution_response(&self, completion: Completion) -> ServerResponse {
        let Completion { outcome, status } = completion;
        let body = if outcome == Outcome::Success {
            row(format!("{:x}", self.request).as_bytes())
        } else {
            error_message(INTERNAL_ERROR)
        };
        self.new_response(outcome, body, status)
    }

    /// Crashes the server because the attempt overloaded it.
    fn crash_server(&self, informed_share: f64) {
        let mut effects = Vec::new();
        self.shared.with(|trial| {
            let now = trial.clock.now();
            trial.fleet.checker.server_crashed(self.server, informed_share, now);
            trial.fleet.backends.crash(self.server, now, &mut effects);
        });
        self.shared.handle_effects(effects);
    }

    /// Executes the attempt between two times. Returns `None` if the server fails before the execution ends.
    async fn execute(self, starts_at: f64, ends_at: f64) -> Option<Completion> {
        let clock = self.shared.clock();
        let incarnation =
            self.shared.with(|trial| trial.fleet.backends.servers[self.server].model.incarnation);
        clock.sleep_until(starts_at).await;
        if !self.is_executing(incarnation) {
            return None;
        }
        self.read_data();
        clock.sleep_until(ends_at).await;
        if !self.is_executing(incarnation) {
            return None;
        }
        Some(self.finish_execution())
    }

    /// Returns whether the server is up in the incarnation that started the attempt.
    fn is_executing(&self, incarnation: u32) -> bool {
        self.shared.with(|trial| {
            let model = &trial.fleet.backends.servers[self.server].model;
            model.incarnation == incarnation && model.state == ServerState::Up
        })
    }

    /// Starts the execution. If the server is a replica, passes the position of the data to the rule checker.
    fn read_data(&self) {
        self.shared.with(|trial| {
            let now = trial.clock.now();
            let fleet = &mut trial.fleet;
            let position = fleet.backends.start_execution(self.server, self.class, self.work_s, now);
            if let Some(position) = position {
                let read = ReplicaRead {
                    request: self.request,
                    sent_at: self.sent_at,
                    position,
                    may_read_stale: self.may_read_stale,
                };
                fleet.checker.read_executed(read, now);
            }
        });
    }

    /// Ends the execution, and records the commit of a successful write.
    fn finish_execution(&self) -> Completion {
        self.shared.with(|trial| {
            let now = trial.clock.now();
            let fleet = &mut trial.fleet;
            let completion = fleet.backends.finish_execution(self.server, self.class, now);
            if fleet.is_write(self.class) && completion.outcome == Outcome::Success {
                fleet.checker.write_executed(self.request, self.class, now);
                if let Some(commit) = completion.status.position {
                    trial.unacknowledged_commits.insert(self.request, commit.as_secs_f64());
                }
            }
            completion
        })
    }
}

/// Responds to a health check, with a load report if the statement requests one. The response to such a
/// request is an error if servers send no load reports.
async fn health_check(shared: &SharedTrial, server: usize, text: &str) -> Option<ServerResponse> {
    let clock = shared.clock();
    let done_at = shared.with(|trial| {
        trial.fleet.report.health_checks += 1;
        let work_s = trial.fleet.plan.health_check_work_s;
        let model = &mut trial.fleet.backends.servers[server].model;
        (model.state == ServerState::Up).then(|| model.add_work(clock.now(), work_s))
    })?;
    clock.sleep_until(done_at).await;
    let body = shared.with(|trial| {
        let age_s = trial.fleet.plan.load_report_age_s * trial.fleet.rng.random::<f64>();
        let report = trial.fleet.backends.load_report(server, age_s, clock.now());
        if text != LOAD_REPORT_STATEMENT {
            return row(b"1");
        }
        let Some(report) = report else { return error_message(INSUFFICIENT_PRIVILEGE) };
        let position_s = report.position.map_or(0.0, |at| clock.to_unix_ms(at.as_secs_f64()) / 1e3);
        let primary = u8::from(report.primary == Some(true));
        row(format!("x0={position_s:.3},x1={primary}").as_bytes())
    });
    Some(ServerResponse::without_status(body))
}
