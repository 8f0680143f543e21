//! Settings of the data servers' side.

use std::time::Duration;

use crate::api::{LoadReports, Settings};

/// Share of the servers' own idle timeout after which a connection is not reused.
const MAX_IDLE_SHARE: f64 = 0.6;
/// Share of the drain grace period after which an attempt or a health check that has not begun is decided on
/// again: its server may drain by now, unnoticed.
const START_TIMEOUT_SHARE: f64 = 0.75;

/// What the data servers' side is set up with.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Largest number of sockets to data servers.
    pub max_sockets: usize,
    /// Time within which a connection must be up.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is not reused; zero for no limit.
    pub max_idle: Duration,
    /// Whether health checks return load reports.
    pub health_checks_report: bool,
    /// Time within which an attempt or a health check must begin after it was decided on, where the settings
    /// bound it.
    pub start_timeout: Option<Duration>,
}

impl ServerOptions {
    /// What the settings say, with a budget of sockets. Servers close connections after
    /// `server_idle_timeout`.
    pub fn new(settings: &Settings, server_idle_timeout: Duration, max_sockets: usize) -> Self {
        let start_timeout = settings.rules.drain_grace_period.mul_f64(START_TIMEOUT_SHARE);
        Self {
            max_sockets,
            connect_timeout: settings.limits.connect_timeout,
            max_idle: server_idle_timeout.mul_f64(MAX_IDLE_SHARE),
            health_checks_report: settings.load_reports == LoadReports::OnHealthCheck,
            start_timeout: Some(start_timeout).filter(|timeout| !timeout.is_zero()),
        }
    }
}
