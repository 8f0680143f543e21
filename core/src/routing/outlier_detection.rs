//! Outlier detection: which servers don't respond.
//!
//! Each lost attempt is evidence against its server, the stronger the rarer such losses are in total, so that
//! dead, hung and partitioned servers are found where few requests show it and no server is blamed for a
//! fault that concerns all. The evidence adds up as log odds; any response clears it. Owns the shares of lost
//! attempts and of refused connections over all servers.

use std::fmt;

use crate::api::{Action, Outcome, Settings};
use crate::ewma::Ewma;
use crate::time::secs;

use super::attempt_result::Completion;
use super::fleet::is_large_fleet;
use super::server::{DownCause, DownState, Server, SuspicionChange};
use super::ATTEMPT_EWMA;

/// Weight of a loss that may be its connection's alone: two such losses are needed.
const WEAK_EVIDENCE_WEIGHT: f64 = 0.5;
/// Share of attempts without a response in normal operation.
const USUAL_LOST_SHARE: f64 = 0.03;
/// Largest share of lost attempts that the evidence is computed with.
const MAX_LOST_SHARE: f64 = 0.9;
/// Share of lost attempts above which the network is blamed, not the servers.
const NETWORK_FAULT_SHARE: f64 = 0.5;
/// A timeout counts as lost after the mean response time and this many deviations.
const LOST_AFTER_DEVIATIONS: f64 = 3.0;
/// Shortest time in seconds that a process needs to restart.
const MIN_RESTART_SECS: f64 = 1.0;
/// Share of attempts with a refused connection above which connections count as scarce.
const MAX_REFUSED_SHARE: f64 = 0.1;
/// A connection that fails within this part of the connect timeout was refused.
const REFUSAL_TIMEOUT_SHARE: f64 = 0.5;

/// What the detector has to know besides the completion.
pub(super) struct CompletionContext<'s> {
    /// The time, in seconds on the engine's clock.
    pub now: f64,
    /// The settings.
    pub settings: &'s Settings,
    /// Mean deviation of the class's response times, in seconds.
    pub deviation_secs: f64,
    /// The server is the primary of a group that is in no failover.
    pub is_steady_primary: bool,
    /// The share of late responses of all primaries, if the server is one and the fleet is large. An instance
    /// of a small fleet sees enough of each server to judge it by itself.
    pub primary_late_share: Option<f64>,
}

/// The evidence on which a server counts as down. Its [`fmt::Display`] is a line of the log.
struct DownEvidence<'e, 's> {
    server: &'e Server,
    end: &'e Completion,
    context: &'e CompletionContext<'s>,
    /// What the last attempt added to the suspicion.
    log_odds: f64,
    lost_share: f64,
}

impl fmt::Display for DownEvidence<'_, '_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { server, end, context, log_odds, lost_share } = self;
        let millis = |secs: f64| (secs * 1e3).round();
        write!(
            formatter,
            "server {} stopped responding: outcome={:?} took_ms={} usual_ms={} deviation_ms={} \
             log_odds={:.2} suspicion={:.2} lost_share={:.3} last_response_ms={} \
             in_flight={} steady_primary={}",
            end.server.0,
            end.outcome,
            millis(end.took_secs),
            millis(end.usual_secs),
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

/// The detector.
#[derive(Default)]
pub(super) struct OutlierDetector {
    lost: Ewma,
    refused: Ewma,
}

impl OutlierDetector {
    /// An attempt at a server ended.
    pub fn attempt_ended(
        &mut self,
        server: &mut Server,
        end: &Completion,
        context: &CompletionContext,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let is_lost = match end.outcome {
            Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Timeout => {
                end.took_secs > end.usual_secs + LOST_AFTER_DEVIATIONS * context.deviation_secs
            }
            _ => false,
        };
        let lost_share =
            self.lost.estimate(now, USUAL_LOST_SHARE, &ATTEMPT_EWMA).clamp(USUAL_LOST_SHARE, MAX_LOST_SHARE);
        if is_lost || end.outcome.is_response() {
            self.lost.record(now, f64::from(u8::from(is_lost)), &ATTEMPT_EWMA);
        }
        self.record_connection(server, end, context, actions);
        if end.outcome.is_response() {
            if let Some(down) = server.clear_suspicion() {
                responded_again(server, &down, end, context, lost_share, actions);
            }
        }
        let is_short_of_connections = end.outcome == Outcome::ConnectFailed && server.responded_recently(now);
        if is_short_of_connections || end.outcome == Outcome::Rejected {
            server.back_off(now);
        } else if is_lost {
            let lost_share = lost_share.max(late_share_of_living(end, context)).min(MAX_LOST_SHARE);
            let log_odds = evidence_weight(server, end, context) * (1.0 / lost_share).ln();
            let is_dead = end.outcome != Outcome::Timeout;
            let cause = if is_dead { DownCause::Dead } else { DownCause::Unresponsive };
            if server.attempt_lost(now, log_odds, cause) == SuspicionChange::Down {
                let evidence = DownEvidence { server, end, context, log_odds, lost_share };
                actions.push(Action::Log(evidence.to_string()));
            }
        }
    }

    /// Learns whether connections are scarce. A server that refuses one and responds soon afterwards was
    /// short of them; a dead one takes longer. Where they are scarce, idle connections are closed, so that
    /// many instances that seldom send don't hold a few servers' connections. Each costs a further handshake.
    fn record_connection(
        &mut self,
        server: &mut Server,
        end: &Completion,
        context: &CompletionContext,
        actions: &mut Vec<Action>,
    ) {
        let now = context.now;
        let settings = context.settings;
        let refused_within_secs = REFUSAL_TIMEOUT_SHARE * secs(settings.limits.connect_timeout);
        if end.outcome.is_response() {
            let was_short = server.refused_connection_within(now, MIN_RESTART_SECS);
            self.refused.record(now, f64::from(u8::from(was_short)), &ATTEMPT_EWMA);
        } else if end.outcome == Outcome::ConnectFailed && end.took_secs < refused_within_secs {
            server.connection_refused(now);
        }
        let is_idle = server.load().in_flight() < 1.0;
        let refused_share = self.refused.estimate(now, 0.0, &ATTEMPT_EWMA);
        if is_idle && is_large_fleet(settings) && refused_share > MAX_REFUSED_SHARE {
            actions.push(Action::CloseIdleConnections { server: end.server });
        }
    }
}

/// A server that was down responded. If it was dead for long enough to have restarted, it warms up, although
/// the endpoint list may report the start later. A primary that still is one has not restarted.
fn responded_again(
    server: &mut Server,
    down: &DownState,
    end: &Completion,
    context: &CompletionContext,
    lost_share: f64,
    actions: &mut Vec<Action>,
) {
    let has_health_checks = context.settings.limits.allow_health_checks;
    let min_down_secs = if has_health_checks { MIN_RESTART_SECS } else { 2.0 * MIN_RESTART_SECS };
    let may_be_dead = down.cause() == DownCause::Dead || !has_health_checks;
    let has_restarted = may_be_dead && context.now - down.since() > min_down_secs;
    if has_restarted && end.is_primary != Some(true) && lost_share < NETWORK_FAULT_SHARE {
        server.recovered_after_restart(context.now, context.settings);
        actions.push(Action::Log(format!("server {} responds again", end.server.0)));
    }
}

/// How often a primary that lives responds as late as this attempt: where many primaries respond late, they
/// are overloaded, and a timeout at one of them is no sign of its death. A failed connection is judged by
/// itself.
fn late_share_of_living(end: &Completion, context: &CompletionContext) -> f64 {
    let late_share = context.primary_late_share.filter(|_| end.outcome == Outcome::Timeout);
    late_share.unwrap_or(0.0)
}

/// How much a lost attempt counts against its server. Weak evidence is a broken connection, an attempt whose
/// server has responded to others since, and a late response of a primary: all instances load it, and its
/// silence is watched separately.
fn evidence_weight(server: &Server, end: &Completion, context: &CompletionContext) -> f64 {
    let is_loaded_primary =
        is_large_fleet(context.settings) && context.is_steady_primary && end.outcome == Outcome::Timeout;
    let has_responded_since = server.replication().last_response_at() > end.sent_at;
    if end.outcome == Outcome::Reset || has_responded_since || is_loaded_primary {
        WEAK_EVIDENCE_WEIGHT
    } else {
        1.0
    }
}
