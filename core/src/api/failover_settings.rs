//! Operators' settings for failover.

/// Limits and thresholds of write buffering; `docs/failover.md` describes each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverSettings {
    /// Maximum number of buffered writes over all replica sets.
    pub max_buffered_writes: usize,
    /// Maximum total size, in bytes, of the buffered statements over all replica sets.
    pub max_buffered_bytes: u64,
    /// Share of both limits that one replica set may use.
    pub max_share_per_set: f64,
    /// Multiple of a primary's mean response time that is included in the silence threshold, beyond which the
    /// primary is suspected.
    pub suspicion_factor: f64,
    /// Minimum probability that the replica set takes writes again before a write's deadline; with a lower
    /// one the write is rejected at once.
    pub min_recovery_chance: f64,
    /// Minimum probability that replaces `min_recovery_chance` once about half of the time from the write's
    /// arrival to its deadline has passed.
    pub min_late_recovery_chance: f64,
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self {
            max_buffered_writes: 2048,
            max_buffered_bytes: 32 << 20,
            max_share_per_set: 0.5,
            suspicion_factor: 1.0,
            min_recovery_chance: 0.002,
            min_late_recovery_chance: 0.6,
        }
    }
}

/// A failover setting is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{name} must be {expected}")]
pub struct InvalidFailoverSetting {
    /// Key of the setting in the operators' file.
    pub name: &'static str,
    /// Description of the valid values.
    pub expected: &'static str,
}

impl FailoverSettings {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range, with its valid values.
    pub fn validate(&self) -> Result<(), InvalidFailoverSetting> {
        let is_share = |value: f64| (0.0..=1.0).contains(&value);
        check(self.max_buffered_writes > 0, "hold-count", "a whole number of 1 or more")?;
        check(self.max_buffered_bytes > 0, "hold-bytes", "a whole number of 1 or more")?;
        let share = self.max_share_per_set;
        check(is_share(share) && share > 0.0, "hold-share", "a share over 0, up to 1")?;
        check((1.0..=100.0).contains(&self.suspicion_factor), "patience", "a number from 1 to 100")?;
        check(is_share(self.min_recovery_chance), "refuse-under", "a share from 0 to 1")?;
        check(is_share(self.min_late_recovery_chance), "hold-over", "a share from 0 to 1")
    }
}

fn check(is_valid: bool, name: &'static str, expected: &'static str) -> Result<(), InvalidFailoverSetting> {
    is_valid.then_some(()).ok_or(InvalidFailoverSetting { name, expected })
}
