//! Outlier detection: finds servers that don't respond.
//!
//! Each lost attempt is evidence against its server. A lost attempt counts for more when the share of lost
//! attempts over all servers is low. Dead, hung and partitioned servers are therefore detected even if they
//! are sent few requests, and no server is blamed for a fault that affects all servers. The evidence is
//! summed up as log odds; any response resets the sum. Owns the shares of lost attempts and of refused
//! connections over all servers.

use std::fmt;

use crate::api::{Action, Outcome, Settings};
use crate::ewma::Ewma;
use crate::time::secs;

use super::attempt_completion::Completion;
use super::fleet::is_large_fleet;
use super::server::{DownCause, DownState, Server, SuspicionChange};
use super::ATTEMPT_EWMA;

/// Weight of a lost attempt that may be due to a fault of its connection alone. At this weight two such
/// losses are needed for a server to count as down.
const WEAK_EVIDENCE_WEIGHT: f64 = 0.5;
/// Share of attempts without a response in normal operation.
const USUAL_LOST_SHARE: f64 = 0.03;
/// Upper bound of the share of lost attempts from which the evidence is computed.
const MAX_LOST_SHARE: f64 = 0.9;
/// Share of lost attempts at or above which the fault is attributed to the network. A server that responds
/// again is then not assumed to have restarted.
const NETWORK_FAULT_SHARE: f64 = 0.5;
/// Number of deviations above the mean response time that an attempt must exceed for its timeout to count as
/// a lost attempt.
const MIN_LOST_DEVIATIONS: f64 = 3.0;
/// Shortest time in seconds that a process needs to restart.
const MIN_RESTART_SECS: f64 = 1.0;
/// Share of responses from servers that refused a connection shortly before, above which connections count as
/// scarce.
const MAX_REFUSED_SHARE: f64 = 0.1;
/// Share of the connect timeout within which a failed connection counts as refused.
const REFUSAL_TIMEOUT_SHARE: f64 = 0.5;

/// The data about an attempt's class and server that a [`Completion`] does not contain.
pub(super) struct CompletionContext<'s> {
    /// Current time in seconds on the engine's clock.
    pub now: f64,
    /// Settings of the engine.
    pub settings: &'s Settings,
    /// Mean deviation of the class's response times, in seconds.
    pub deviation_secs: f64,
    /// Whether the server is the primary of a group without a failover in progress.
    pub is_steady_primary: bool,
    /// Share of late responses of all primaries. `None` if the server is not a primary or the fleet is small:
    /// an instance of a small fleet sends each server enough requests to judge the server by itself.
    pub primaries_late_share: Option<f64>,
}

/// The evidence on which a server counts as down. Its [`fmt::Display`] form is a log line.
struct DownEvidence<'e, 's> {
    server: &'e Server,
    completion: &'e Completion,
    context: &'e CompletionContext<'s>,
    /// Log odds that the last attempt added to the suspicion.
    log_odds: f64,
    lost_share: f64,
}

impl fmt::Display for DownEvidence<'_, '_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { server, completion, context, log_odds, lost_share } = self;
        let millis = |secs: f64| (secs * 1e3).round();
        write!(
            formatter,
            "server {} stopped responding: outcome={:?} took_ms={} usual_ms={} deviation_ms={} \
             log_odds={:.2} suspicion={:.2} lost_share={:.3} last_response_ms={} \
             in_flight={} steady_primary={}",
            completion.server.0,
            completion.outcome,
            millis(completion.duration_secs),
            millis(completion.mean_secs),
            millis(context.deviation_secs),
            log_odds,
            server.suspicion(),
            lost_share,
            millis(context.now - server.replication().last_response_at()),
            server.load().in_flight(),
            context.is_steady_primary,
        )
    }
}

/// Detects servers that don't respond.
#[derive(Default)]
pub(super) struct OutlierDetector {
    lost_share: Ewma,
    refused_share: Ewma,
}

impl OutlierDetector {
    /// Processes the end of an attempt at a server.
    pub fn attempt_ended(
        &mut self,
        server: &mut Server,
        completion: &Completion,
        context: &CompletionContext,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let is_lost = match completion.outcome {
            Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Timeout => {
                completion.duration_secs > completion.mean_secs + MIN_LOST_DEVIATIONS * context.deviation_secs
            }
            _ => false,
        };
        let lost_share = self
            .lost_share
            .estimate(now, USUAL_LOST_SHARE, &ATTEMPT_EWMA)
            .clamp(USUAL_LOST_SHARE, MAX_LOST_SHARE);
        if is_lost || completion.outcome.is_response() {
            self.lost_share.record(now, f64::from(u8::from(is_lost)), &ATTEMPT_EWMA);
        }
        self.record_connection(server, completion, context, actions);
        if completion.outcome.is_response() {
            if let Some(down) = server.clear_suspicion() {
                record_recovery(server, &down, completion, context, lost_share, actions);
            }
        }
        let is_short_of_connections =
            completion.outcome == Outcome::ConnectFailed && server.responded_recently(now);
        if is_short_of_connections || completion.outcome == Outcome::Rejected {
            server.back_off(now);
        } else if is_lost {
            let lost_share =
                lost_share.max(primaries_late_share_for_timeout(completion, context)).min(MAX_LOST_SHARE);
            let log_odds = evidence_weight(server, completion, context) * (1.0 / lost_share).ln();
            let is_dead = completion.outcome != Outcome::Timeout;
            let cause = if is_dead { DownCause::Dead } else { DownCause::Unresponsive };
            if server.attempt_lost(now, log_odds, cause) == SuspicionChange::Down {
                let evidence = DownEvidence { server, completion, context, log_odds, lost_share };
                actions.push(Action::Log(evidence.to_string()));
            }
        }
    }

    /// Records whether connections are scarce, and closes idle connections if they are. A server that refuses
    /// a connection and responds shortly afterwards had run out of connections; a dead server takes longer to
    /// respond again. When connections are scarce, many instances that rarely send requests must not hold the
    /// connections of a few servers. Each connection that is closed costs one more handshake later.
    fn record_connection(
        &mut self,
        server: &mut Server,
        completion: &Completion,
        context: &CompletionContext,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let settings = context.settings;
        let refused_within_secs = REFUSAL_TIMEOUT_SHARE * secs(settings.limits.connect_timeout);
        if completion.outcome.is_response() {
            let was_short_of_connections = server.refused_connection_within(now, MIN_RESTART_SECS);
            self.refused_share.record(now, f64::from(u8::from(was_short_of_connections)), &ATTEMPT_EWMA);
        } else if completion.outcome == Outcome::ConnectFailed
            && completion.duration_secs < refused_within_secs
        {
            server.connection_refused(now);
        }
        let is_idle = server.load().in_flight() < 1.0;
        let refused_share = self.refused_share.estimate(now, 0.0, &ATTEMPT_EWMA);
        if is_idle && is_large_fleet(settings) && refused_share > MAX_REFUSED_SHARE {
            actions.push(Action::CloseIdleConnections { server: completion.server });
        }
    }
}

/// Records that a server that was down has responded. If the server was dead for long enough to have
/// restarted, its warm-up starts, because the endpoint list may report the start later. A server that still
/// reports to be the primary has not restarted.
fn record_recovery(
    server: &mut Server,
    down: &DownState,
    completion: &Completion,
    context: &CompletionContext,
    lost_share: f64,
    actions: &mut Vec<Action>,
) {
    let has_health_checks = context.settings.limits.allow_health_checks;
    let min_down_secs = if has_health_checks { MIN_RESTART_SECS } else { 2.0 * MIN_RESTART_SECS };
    let may_be_dead = down.cause() == DownCause::Dead || !has_health_checks;
    let has_restarted = may_be_dead && context.now - down.since() > min_down_secs;
    if has_restarted && completion.is_primary != Some(true) && lost_share < NETWORK_FAULT_SHARE {
        server.recovered_after_restart(context.now, context.settings);
        actions.push(Action::Log(format!("server {} responds again", completion.server.0)));
    }
}

/// Returns the share of late responses of all primaries for a timeout at a primary, else 0. If many primaries
/// respond late, they are overloaded, and a timeout at one of them does not show that it is dead. A failed
/// connection is not affected by this share.
fn primaries_late_share_for_timeout(completion: &Completion, context: &CompletionContext) -> f64 {
    let late_share = context.primaries_late_share.filter(|_| completion.outcome == Outcome::Timeout);
    late_share.unwrap_or(0.0)
}

/// Returns the weight of a lost attempt as evidence against its server. A broken connection is weak evidence,
/// and so is an attempt whose server has since responded to others. A timeout at a primary of a large fleet
/// is weak evidence as well: all instances send requests to that primary, and its silence is monitored
/// separately.
fn evidence_weight(server: &Server, completion: &Completion, context: &CompletionContext) -> f64 {
    let is_primary_timeout = is_large_fleet(context.settings)
        && context.is_steady_primary
        && completion.outcome == Outcome::Timeout;
    let has_responded_since = server.replication().last_response_at() > completion.sent_at;
    if completion.outcome == Outcome::Reset || has_responded_since || is_primary_timeout {
        WEAK_EVIDENCE_WEIGHT
    } else {
        1.0
    }
}
