//! What a server has reported of its replication position and role.
//!
//! Owns the position, the lag and the time of the last response. Times and positions are seconds on the
//! engine's clock; position 0 means that none was reported. A position only grows, except where a server
//! reports for the first time that it is a replica: what it said as a primary may never have been true.

/// A server's report of its own state.
#[derive(Debug, Clone, Copy)]
pub(in crate::routing) struct StatusReport {
    /// When the report was true.
    pub valid_at: f64,
    /// When the attempt that brought it was sent, if an attempt did.
    pub sent_at: Option<f64>,
    /// Replication position.
    pub position: Option<f64>,
    /// Whether the server says that it is the primary.
    pub is_primary: Option<bool>,
}

/// What the replica set knows of a server's role.
#[derive(Debug, Clone, Copy)]
pub(in crate::routing) struct KnownRole {
    /// The set regards it as the primary.
    pub is_primary: bool,
    /// It was deposed and is not known to have noticed.
    pub is_deposed: bool,
}

/// A server's replication state.
#[derive(Default)]
pub(in crate::routing) struct ReplicationStatus {
    position: f64,
    lag_secs: f64,
    last_response_at: f64,
    replica_since: Option<f64>,
}

impl ReplicationStatus {
    /// The position that it reported last; 0 where it reported none.
    pub fn position(&self) -> f64 {
        self.position
    }

    /// How old its data was at its last report; infinite after a restart until it reports.
    pub fn lag_secs(&self) -> f64 {
        self.lag_secs
    }

    /// When it last responded.
    pub fn last_response_at(&self) -> f64 {
        self.last_response_at
    }

    /// When it reported that it is a replica, if that was its last report.
    pub fn reported_replica_at(&self) -> Option<f64> {
        self.replica_since
    }

    /// Whether nothing is known of its position since its start.
    pub fn is_unknown(&self) -> bool {
        self.position == 0.0 || self.lag_secs.is_infinite()
    }

    /// Its process may have restarted: its data counts as stale until it reports.
    pub fn restarted(&mut self) {
        self.lag_secs = f64::INFINITY;
    }

    /// It responded.
    pub fn response_received(&mut self, now: f64) {
        self.last_response_at = now;
    }

    /// Learns a report. `report.is_primary` is the role that counts; `known` is the set's view after it.
    pub fn record(&mut self, report: &StatusReport, known: KnownRole) {
        let first_as_replica = report.is_primary == Some(false) && self.replica_since.is_none();
        if report.is_primary == Some(true) && known.is_primary {
            self.replica_since = None;
        } else if report.is_primary == Some(false) && !known.is_primary {
            let since = self.replica_since.map_or(report.valid_at, |since| since.max(report.valid_at));
            self.replica_since = Some(since);
        }
        // A deposed primary that has not noticed reports the present as its position, which is wrong.
        let Some(position) = report.position.filter(|_| !known.is_deposed) else { return };
        self.position = if first_as_replica { position } else { self.position.max(position) };
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
