//! The plan of a failover trial: its options, the platform's times and the proxy's configuration.

use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::fault::FaultKind;
use crate::discovery_server::DiscoveryServer;

/// Time bounds of a request class, in platform milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassTimes {
    /// Latency objective: a later response has less value.
    pub(super) objective_ms: f64,
    /// How long clients wait.
    pub(super) max_wait_ms: f64,
}

pub(super) const WRITE_TIMES: ClassTimes = ClassTimes { objective_ms: 600.0, max_wait_ms: 3000.0 };
pub(super) const READ_TIMES: ClassTimes = ClassTimes { objective_ms: 500.0, max_wait_ms: 1200.0 };
pub(super) const SESSION_READ_TIMES: ClassTimes = ClassTimes { objective_ms: 500.0, max_wait_ms: 1500.0 };

/// What to run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Where it may write.
    pub folder: PathBuf,
    /// Rounds to run, over all sets. A round injects one fault.
    pub rounds: usize,
    /// Replica sets that run side by side.
    pub sets: usize,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Factor on all times of the platform.
    pub scale: f64,
    /// Time past a request's wait after which it counts as unanswered.
    pub response_slack: Duration,
    /// Injects only this fault.
    pub only: Option<FaultKind>,
    /// Prints the state of each set to standard error after each round.
    pub verbose: bool,
}

impl Plan {
    /// A time of the platform in the trial's scale.
    pub(super) fn scaled(&self, platform_ms: f64) -> Duration {
        Duration::from_secs_f64(platform_ms * self.scale / 1e3)
    }

    /// Draws a time from a range of platform milliseconds.
    pub(super) fn draw(&self, rng: &mut Pcg64Mcg, range_ms: Range<f64>) -> Duration {
        self.scaled(rng.random_range(range_ms))
    }

    /// The proxy's configuration, with `LISTEN` in place of its address.
    pub(super) fn proxy_config(&self, discovery: &DiscoveryServer) -> String {
        let ms = |platform_ms: f64| (platform_ms * self.scale).round();
        let (read, session_read, write) = (READ_TIMES, SESSION_READ_TIMES, WRITE_TIMES);
        serde_json::json!({
            "name": "trial", "listen": "LISTEN", "discovery": discovery.address.to_string(),
            "seed": format!("{:x}", self.seed), "limits": {"memory_mb": 192, "sockets": 4096},
            "known": serde_json::from_str::<serde_json::Value>(&discovery.full_list()).unwrap_or_default(),
            "settings": {
                "Classes": [
                    {"Name": "font-lookup", "Credit": 1, "OnTimeMs": ms(read.objective_ms),
                        "DeadlineMs": ms(read.max_wait_ms), "Effect": "repeatable"},
                    {"Name": "own-changes", "Credit": 2, "OnTimeMs": ms(session_read.objective_ms),
                        "DeadlineMs": ms(session_read.max_wait_ms), "LateValue": 0.2, "Effect": "repeatable"},
                    {"Name": "usage-write", "Credit": 4, "OnTimeMs": ms(write.objective_ms),
                        "DeadlineMs": ms(write.max_wait_ms), "LateValue": 0.5, "Effect": "once"},
                ],
                "Contract": {"AnswerSlackMs": 20, "AskEveryMs": 10000, "ColdShare": 0.27, "OverloadFactor": 2,
                    "OverloadForMs": 1000, "StopSendingWithinMs": 2000, "WarmUpMs": ms(2000.0)},
                "Discovery": "subscribe",
                "Domain": {"MaxAgeMs": [3000, 0, 0], "NeedsByClass": ["lag_bound", "causal", "mutate"],
                    "Positions": true, "ServerChecks": "silent", "SessionMarks": "brought",
                    "ShowsRole": "trailing"},
                "GroupSize": 1,
                "Limits": {"AttemptsCap": 6, "ConnIdleMs": 15000, "ConnectTimeoutMs": ms(250.0),
                    "MaxRetryAfterMs": ms(1000.0), "MayCancel": true, "Probes": false, "RetryAfter": true,
                    "SecondCopies": true, "StreamsPerConn": 1},
                "Report": {"Columns": [], "How": "silent"}, "TickMs": 5, "Zone": "north",
                "Zones": ["north", "south"],
            },
        })
        .to_string()
    }
}
