//! What operators may set about failovers.

/// Limits and thresholds of write buffering; `docs/failover.md` describes each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverSettings {
    /// Largest number of buffered writes, over all replica sets.
    pub max_buffered_writes: usize,
    /// Largest number of bytes of their statements, over all replica sets.
    pub max_buffered_bytes: u64,
    /// Share of both limits that one replica set may use.
    pub max_share_per_set: f64,
    /// Silence of a primary, in multiples of its usual response time, after which it is suspected.
    pub suspicion_factor: f64,
    /// A write is rejected at once where the chance of a primary before its deadline is lower than this.
    pub min_recovery_chance: f64,
    /// Past half of its time, a write stays buffered only where that chance is at least this.
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

/// A failover setting that is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{name} must be {expected}")]
pub struct InvalidFailoverSetting {
    /// Its key in the operators' file.
    pub name: &'static str,
    /// The values that are valid.
    pub expected: &'static str,
}

impl FailoverSettings {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    ///
    /// Names the first setting that is not, with the values that are valid.
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
