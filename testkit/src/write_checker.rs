//! Checks the rules on writes by comparing the responses that clients received with the writes that the data
//! servers executed.

use std::collections::HashMap;

use crate::client::{RequestRecord, Response};
use crate::replica_set::WriteLog;

#[cfg(test)]
mod tests;

/// Ids of the requests that violate a rule, by rule.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Violations {
    /// Writes that were executed more than once.
    pub duplicates: Vec<String>,
    /// Writes that were served, but not executed or not in the log of the current primary.
    pub lost_writes: Vec<String>,
    /// Writes that were rejected as not executed, but were executed.
    pub false_rejections: Vec<String>,
    /// Requests, reads included, that got no final response in time.
    pub unanswered: Vec<String>,
}

impl Violations {
    /// Returns whether no rule was violated.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the violations of another check.
    pub fn extend(&mut self, other: Self) {
        self.duplicates.extend(other.duplicates);
        self.lost_writes.extend(other.lost_writes);
        self.false_rejections.extend(other.false_rejections);
        self.unanswered.extend(other.unanswered);
    }
}

/// Checks the requests to one replica set against the write log of its members.
pub fn check_writes(records: &[RequestRecord], log: &WriteLog) -> Violations {
    let mut violations = Violations::default();
    let count = |counts: &HashMap<String, u32>, id: &str| counts.get(id).copied().unwrap_or(0);
    for RequestRecord { id, is_write, response, .. } in records {
        if *response == Response::Unanswered {
            violations.unanswered.push(id.clone());
        }
        if !is_write {
            continue;
        }
        let executions = count(&log.executions, id);
        let committed = count(&log.committed, id);
        if executions > 1 || committed > 1 {
            violations.duplicates.push(id.clone());
        }
        if *response == Response::Served && (executions == 0 || committed == 0) {
            violations.lost_writes.push(id.clone());
        }
        if matches!(response, Response::Rejected(_)) && executions > 0 {
            violations.false_rejections.push(id.clone());
        }
    }
    violations
}
