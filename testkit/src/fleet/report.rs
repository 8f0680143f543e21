//! What came of a trial, counted.
//!
//! Owns the figures and how they are read; stepped trials and those with processes give the same ones, but for what one of
//! them can't see. It must never be told by a proxy.

use std::collections::BTreeMap;

use pipittack_core::api::{Class, Outcome};
use serde::Serialize;

use super::load::Wish;

/// How one start of a process went, in s after it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Start {
    /// When it was, in s of the trial.
    pub at: f64,
    /// When the list service had told it.
    pub told: Option<f64>,
    /// When the first request was asked of it, and when the first one was served.
    pub asked: Option<f64>,
    /// See `asked`.
    pub served: Option<f64>,
}

/// What came of a trial.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Worth asked for, and served within the classes' aims.
    pub offered: f64,
    /// See `offered`.
    pub served: f64,
    /// The same by class.
    pub classes: Vec<(f64, f64)>,
    /// The same by second.
    pub seconds: Vec<(f64, f64)>,
    /// Tries of clients, those that were refused, those that failed, and those whose proxy was not there.
    pub tries: usize,
    /// See `tries`.
    pub refused: usize,
    /// See `tries`.
    pub failed: usize,
    /// See `tries`.
    pub unheard: usize,
    /// Attempts, and those at primaries for reads.
    pub attempts: usize,
    /// See `attempts`.
    pub reads_at_primaries: usize,
    /// New connections to servers.
    pub handshakes: usize,
    /// The largest part of what a server could do that went into them in one second.
    pub handshake_share: f64,
    /// Probes.
    pub probes: usize,
    /// How attempts ended.
    pub outcomes: BTreeMap<String, usize>,
    /// Calls for the list, those that failed while the service was up, and the longest wait of one that was answered.
    pub calls: usize,
    /// See `calls`.
    pub calls_failed: usize,
    /// See `calls`.
    pub call_longest_s: f64,
    /// Processes that were started.
    pub starts: Vec<Start>,
    /// The most that a cold server was sent, as a part of what pushes it over.
    pub cold_most: f64,
    /// Cold servers that fell over.
    pub fell: usize,
    /// Broken rules.
    pub broken: Vec<String>,
}

impl Report {
    /// One with so many classes, and nothing in it.
    pub fn of(classes: usize) -> Self {
        Self { classes: vec![(0.0, 0.0); classes], ..Self::default() }
    }

    /// A client asks for something for the first time, so many s into the trial.
    pub fn asked(&mut self, wish: &Wish, class: &Class, at: f64) {
        self.offered += class.priority_weight;
        self.classes[wish.class.0].0 += class.priority_weight;
        let second = at.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, (0.0, 0.0));
        }
        self.seconds[second].0 += class.priority_weight;
    }

    /// It is served at `now`; `at` is when it was asked, in s of the trial.
    pub fn served(&mut self, wish: &Wish, class: &Class, now: f64, at: f64) {
        let in_time = now <= wish.asked + class.latency_objective.as_secs_f64();
        let worth = class.priority_weight * if in_time { 1.0 } else { class.late_weight };
        self.served += worth;
        self.classes[wish.class.0].1 += worth;
        if let Some(second) = self.seconds.get_mut(at.max(0.0) as usize) {
            second.1 += worth;
        }
    }

    /// An attempt ended.
    pub fn ended(&mut self, outcome: Outcome) {
        *self.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
    }

    /// The share of the worth that was served.
    pub fn share(&self) -> f64 {
        self.served / self.offered.max(1e-9)
    }

    /// The share between two seconds.
    pub fn share_between(&self, from: usize, to: usize) -> f64 {
        let part = self.seconds.get(from..to.min(self.seconds.len())).unwrap_or_default();
        let (offered, served) = part.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        served / f64::max(offered, 1e-9)
    }

    /// When the last process had been told of the list, in s after its start; none where one never was.
    pub fn last_told(&self) -> Option<f64> {
        self.starts.iter().map(|start| start.told).try_fold(0.0, |most, told| Some(f64::max(most, told?)))
    }

    /// The share of the starts that served so soon after the first request was asked of them.
    pub fn served_within(&self, seconds: f64) -> f64 {
        let asked: Vec<_> = self.starts.iter().filter_map(|s| Some((s.asked?, s.served))).collect();
        let soon = asked.iter().filter(|(asked, served)| served.is_some_and(|at| at - asked <= seconds));
        soon.count() as f64 / asked.len().max(1) as f64
    }
}
