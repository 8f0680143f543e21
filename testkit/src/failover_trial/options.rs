//! Options of a failover trial, its time scale and the proxy's configuration.
//!
//! The times of the platform, such as those of execution, failure detection, election and discovery, are
//! defined in platform milliseconds. A trial multiplies them by [`TrialOptions::scale`].

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::fault::FaultKind;
use crate::discovery_server::DiscoveryServer;

/// Latency objective and deadline of a request class, in platform milliseconds (before scaling).
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassTimes {
    /// Latency objective; a later response has less weight or none.
    pub(super) objective_ms: f64,
    /// Time that a client waits for a response, retries included.
    pub(super) deadline_ms: f64,
}

pub(super) const WRITE_TIMES: ClassTimes = ClassTimes { objective_ms: 600.0, deadline_ms: 3000.0 };
pub(super) const READ_TIMES: ClassTimes = ClassTimes { objective_ms: 500.0, deadline_ms: 1200.0 };
pub(super) const SESSION_READ_TIMES: ClassTimes = ClassTimes { objective_ms: 500.0, deadline_ms: 1500.0 };

/// Options of a failover trial.
#[derive(Debug, Clone)]
pub struct TrialOptions {
    /// Path of the proxy program.
    pub program: PathBuf,
    /// Folder for the proxy's configuration, logs and temporary files.
    pub folder: PathBuf,
    /// Number of rounds over all replica sets. A round injects one fault.
    pub rounds: usize,
    /// Number of replica sets that run concurrently.
    pub replica_set_count: usize,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Factor by which all times of the platform are multiplied.
    pub scale: f64,
    /// Time after a request's deadline at which the request counts as unanswered.
    pub response_slack: Duration,
    /// The only kind of fault to inject, or `None` for all kinds.
    pub only_kind: Option<FaultKind>,
    /// Whether to print the state of the replica set to standard error after each round.
    pub verbose: bool,
}

impl TrialOptions {
    /// Returns a time of the platform in the trial's scale.
    pub(super) fn scaled(&self, platform_ms: f64) -> Duration {
        Duration::from_secs_f64(platform_ms * self.scale / 1e3)
    }

    /// Returns a random time from a range of platform milliseconds, in the trial's scale.
    pub(super) fn random_duration(&self, rng: &mut Pcg64Mcg, range_ms: Range<f64>) -> Duration {
        self.scaled(rng.random_range(range_ms))
    }

    /// Returns the proxy's configuration as JSON, with `LISTEN` in place of the listen address.
    pub(super) fn proxy_config(&self, discovery: &DiscoveryServer) -> String {
        let scaled_ms = |platform_ms: f64| (platform_ms * self.scale).round();
        let (read, session_read, write) = (READ_TIMES, SESSION_READ_TIMES, WRITE_TIMES);
        serde_json::json!({
            "name": "trial", "listen": "LISTEN", "discovery": discovery.address.to_string(),
            "seed": format!("{:x}", self.seed), "limits": {"memory_mb": 192, "sockets": 4096},
            "known": serde_json::from_str::<serde_json::Value>(&discovery.full_list()).unwrap_or_default(),
            "settings": {
                "Classes": [
                    {"Name": "font-lookup", "Credit": 1, "OnTimeMs": scaled_ms(read.objective_ms),
                        "DeadlineMs": scaled_ms(read.deadline_ms), "Effect": "repeatable"},
                    {"Name": "own-changes", "Credit": 2, "OnTimeMs": scaled_ms(session_read.objective_ms),
                        "DeadlineMs": scaled_ms(session_read.deadline_ms), "LateValue": 0.2,
                        "Effect": "repeatable"},
                    {"Name": "usage-write", "Credit": 4, "OnTimeMs": scaled_ms(write.objective_ms),
                        "DeadlineMs": scaled_ms(write.deadline_ms), "LateValue": 0.5, "Effect": "once"},
                ],
                "Contract": {"AnswerSlackMs": 20, "AskEveryMs": 10000, "ColdShare": 0.27, "OverloadFactor": 2,
                    "OverloadForMs": 1000, "StopSendingWithinMs": 2000, "WarmUpMs": scaled_ms(2000.0)},
                "Discovery": "subscribe",
                "Domain": {"MaxAgeMs": [3000, 0, 0], "NeedsByClass": ["lag_bound", "causal", "mutate"],
                    "Positions": true, "ServerChecks": "silent", "SessionMarks": "brought",
                    "ShowsRole": "trailing"},
                "GroupSize": 1,
                "Limits": {"AttemptsCap": 6, "ConnIdleMs": 15000, "ConnectTimeoutMs": scaled_ms(250.0),
                    "MaxRetryAfterMs": scaled_ms(1000.0), "MayCancel": true, "Probes": false,
                    "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 1},
                "Report": {"Columns": [], "How": "silent"}, "TickMs": 5, "Zone": "north",
                "Zones": ["north", "south"],
            },
        })
        .to_string()
    }
}
