//! Options of the server side.

use std::time::Duration;

use crate::api::{LoadReports, Settings};

/// Maximum idle time of a reusable connection, as a share of the servers' own idle timeout.
const MAX_IDLE_SHARE: f64 = 0.6;
/// Start timeout of attempts and health checks, as a share of the drain grace period. Later than that, the
/// server may have begun to drain without this proxy's knowledge, so the engine has to decide again.
const START_TIMEOUT_SHARE: f64 = 0.75;

/// Options of the server side, from the settings and the socket budget.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Largest number of sockets to data servers. Set at startup; a reload does not change it.
    pub max_sockets: usize,
    /// Time within which connecting and the startup exchange must be complete.
    pub connect_timeout: Duration,
    /// Idle time at or above which a connection is not reused; zero for no limit.
    pub max_idle_time: Duration,
    /// Whether health checks return load reports.
    pub health_checks_return_load_reports: bool,
    /// Time after its command within which an attempt must start to write its query, and within which a
    /// health check must be complete; `None` for no limit.
    pub start_timeout: Option<Duration>,
}

impl ServerOptions {
    /// Returns the options that follow from the settings. `server_idle_timeout` is the idle time after which
    /// servers close a connection.
    pub fn new(settings: &Settings, server_idle_timeout: Duration, max_sockets: usize) -> Self {
        let start_timeout = settings.rules.drain_grace_period.mul_f64(START_TIMEOUT_SHARE);
        Self {
            max_sockets,
            connect_timeout: settings.limits.connect_timeout,
            max_idle_time: server_idle_timeout.mul_f64(MAX_IDLE_SHARE),
            health_checks_return_load_reports: settings.load_reports == LoadReports::OnHealthCheck,
            start_timeout: Some(start_timeout).filter(|timeout| !timeout.is_zero()),
        }
    }
}
