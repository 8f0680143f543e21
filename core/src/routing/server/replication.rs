//! Replication position and role that a server has reported.
//!
//! Owns the position, the lag and the time of the last response. Times and positions are seconds on the
//! engine's clock; position 0 means that the server has reported none. The position never decreases, except
//! when a server first reports that it is a replica: a position that it reported as a primary may have been
//! wrong.

/// State that a server reports about itself.
#[derive(Debug, Clone, Copy)]
pub(in crate::routing) struct StatusReport {
    /// Time at which the reported state was true.
    pub valid_at: f64,
    /// Time at which the attempt was sent whose response carried the report; `None` if the report arrived
    /// otherwise.
    pub sent_at: Option<f64>,
    /// Replication position; `None` if not reported.
    pub position: Option<f64>,
    /// Whether the server claims to be the primary; `None` if not reported.
    pub is_primary: Option<bool>,
}

/// Role of a server according to its replica set.
#[derive(Debug, Clone, Copy)]
pub(in crate::routing) struct KnownRole {
    /// Whether the replica set regards the server as the primary.
    pub is_primary: bool,
    /// Whether the server was the primary and may not know of its deposition.
    pub is_deposed: bool,
}

/// Replication state of a server.
#[derive(Default)]
pub(in crate::routing) struct ReplicationStatus {
    position: f64,
    lag_secs: f64,
    last_response_at: f64,
    reported_replica_at: Option<f64>,
}

impl ReplicationStatus {
    /// Returns the last reported position; 0 if the server has reported none.
    pub fn position(&self) -> f64 {
        self.position
    }

    /// Returns the age of the server's data at its last report, in seconds; infinite from a restart until the
    /// next report.
    pub fn lag_secs(&self) -> f64 {
        self.lag_secs
    }

    /// Returns the time of the last response; 0 if there was none.
    pub fn last_response_at(&self) -> f64 {
        self.last_response_at
    }

    /// Returns when the server last reported that it is a replica; `None` if it has not, or has become the
    /// primary since.
    pub fn reported_replica_at(&self) -> Option<f64> {
        self.reported_replica_at
    }

    /// Returns whether the server has reported no position since its process started.
    pub fn is_position_unknown(&self) -> bool {
        self.position == 0.0 || self.lag_secs.is_infinite()
    }

    /// Marks the server's data as stale until its next report, because its process may have restarted.
    pub fn restarted(&mut self) {
        self.lag_secs = f64::INFINITY;
    }

    /// Records the time of a response.
    pub fn response_received(&mut self, now: f64) {
        self.last_response_at = now;
    }

    /// Records a report, in which `is_primary` is `None` for a claim that the caller ignores. `known` is the
    /// server's role in the replica set once the report has been applied there.
    pub fn record(&mut self, report: &StatusReport, known: KnownRole) {
        let is_first_replica_report = report.is_primary == Some(false) && self.reported_replica_at.is_none();
        if report.is_primary == Some(true) && known.is_primary {
            self.reported_replica_at = None;
        } else if report.is_primary == Some(false) && !known.is_primary {
            let reported_at =
                self.reported_replica_at.map_or(report.valid_at, |previous| previous.max(report.valid_at));
            self.reported_replica_at = Some(reported_at);
        }
        // A deposed primary that is unaware of its deposition reports the current time as its position, which
        // is wrong.
        let Some(position) = report.position.filter(|_| !known.is_deposed) else { return };
        self.position = if is_first_replica_report { position } else { self.position.max(position) };
        if report.valid_at >= self.last_response_at {
            self.last_response_at = report.valid_at;
            self.lag_secs = (report.valid_at - position).max(0.0);
        }
    }
}

#[cfg(test)]
impl ReplicationStatus {
    /// Sets the reported position.
    pub fn set_position(&mut self, position: f64) {
        self.position = position;
    }
}
