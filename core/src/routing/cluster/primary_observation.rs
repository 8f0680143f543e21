//! Watches how long each group's primary has been silent.

use crate::api::{Action, Settings};
use crate::failover::{Phase, PrimaryLossCause, PrimaryLossEvidence, PrimaryObservation, SilenceThreshold};

use super::Cluster;
use crate::routing::in_flight::InFlightTable;
use crate::routing::server::{DownCause, DownState, Server};

impl Cluster {
    /// Compares the silence of each primary with its threshold and logs changes of the failover phase.
    /// `slowest_mean_secs` is the mean response time, in seconds, of the slowest class.
    pub fn observe_primaries(
        &mut self,
        now: f64,
        settings: &Settings,
        in_flight: &InFlightTable,
        slowest_mean_secs: f64,
        actions: &mut Vec<Action>,
    ) {
        for (group_id, group) in self.groups.iter_mut() {
            let Some(primary_id) = group.replica_set().observed_primary() else { continue };
            let Some(server) = self.servers.get(&primary_id) else { continue };
            let queued_writes = group.queued_writes();
            let set = group.replica_set_mut();
            let unanswered = in_flight.unanswered_at(primary_id, |sent_at| set.counts_as_unanswered(sent_at));
            let silence_threshold = SilenceThreshold {
                typical_response_secs: slowest_mean_secs,
                slowdown: 1.0 / server.warm_up().capacity_share(now, &settings.rules),
                suspicion_factor: settings.failover.suspicion_factor,
                unanswered: unanswered.count,
            };
            let observation = PrimaryObservation {
                last_response_at: server.replication().last_response_at(),
                oldest_unanswered_at: unanswered.oldest_sent_at,
                is_down: !server.is_up(),
                silence_threshold,
                queued_writes,
            };
            let Some(phase) = set.observe_primary(now, &observation) else { continue };
            let mut log_line =
                format!("group {} entered phase {phase}, {queued_writes} writes buffered", group_id.0);
            if matches!(set.phase(), Phase::Suspected { .. } | Phase::NoPrimary { .. }) {
                let cause = loss_cause(server);
                let evidence = PrimaryLossEvidence {
                    server: primary_id,
                    cause,
                    cause_count: self.primary_losses.record(cause),
                    observation,
                    response_times: set.response_times(),
                    now,
                };
                log_line += &format!(": {evidence}");
            }
            actions.push(Action::Log(log_line));
        }
    }
}

fn loss_cause(primary: &Server) -> PrimaryLossCause {
    match primary.down().map(DownState::cause) {
        None => PrimaryLossCause::Silent,
        Some(DownCause::Dead) => PrimaryLossCause::Dead,
        Some(DownCause::Unresponsive) => PrimaryLossCause::Unresponsive,
    }
}
