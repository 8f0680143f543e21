//! Tests that an overloaded primary is distinguished from a dead primary in a large fleet, where each
//! instance sends few requests to a primary.

use std::time::Duration;

use pipittack_core::api::*;

use crate::common::*;

/// Number of groups besides group 1, each with a primary of its own.
const OTHER_GROUPS: u32 = 5;
/// Deadline of the clients: shorter than the silence after which a primary counts as lost.
const SHORT_DEADLINE: Duration = Duration::from_millis(900);
/// Response time that counts as late, because it exceeds half of the latency objective.
const LATE_RESPONSE: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(10);

/// Engine with the primaries of all groups, and their simulated response times.
struct Simulation {
    harness: Harness,
    /// Times at which attempts end, with the attempts and their outcomes.
    due: Vec<(Duration, SentAttempt, Outcome)>,
    /// Response time of the primaries of the other groups.
    other_response_time: Duration,
    /// Behavior of the primary of group 1.
    primary_behavior: Behavior,
    logs: Vec<String>,
}

#[derive(Clone, Copy)]
enum Behavior {
    RespondsAfter(Duration),
    /// The primary does not respond before the deadline of the client.
    Silent,
}

impl Simulation {
    fn new(other_response_time: Duration) -> Self {
        let mut harness = Harness::new(large_fleet_settings());
        let others = (1..=OTHER_GROUPS).flat_map(|n| {
            let group = GroupId(u64::from(n) + 1);
            let member = move |server, primary| Endpoint { group, ..endpoint(server, primary) };
            [member(10 * n, true), member(10 * n + 1, false)]
        });
        let list = endpoint_list().into_iter().chain(others).collect();
        harness.step(vec![Event::Endpoints(EndpointUpdate::Full(list))]);
        let primary_behavior = Behavior::RespondsAfter(other_response_time);
        Self { harness, due: Vec::new(), other_response_time, primary_behavior, logs: Vec::new() }
    }

    fn write(&mut self, group: u64) -> Vec<Action> {
        let request = self.harness.new_request(UNIQUE_WRITE);
        let request = Request { group: GroupId(group), time_left: SHORT_DEADLINE, ..request };
        let actions = self.harness.step(vec![Event::Request(request)]);
        self.record_actions(&actions);
        actions
    }

    /// Records the log lines, and schedules the ends of the attempts that were sent.
    fn record_actions(&mut self, actions: &[Action]) {
        let texts = actions.iter().filter_map(|action| match action {
            Action::Log(text) => Some(text.clone()),
            _ => None,
        });
        self.logs.extend(texts);
        for attempt in std::mem::take(&mut self.harness.in_flight) {
            let now = self.harness.now;
            let is_replica = [2, 3].contains(&attempt.server.0) || attempt.server.0 % 10 == 1;
            let end = match self.primary_behavior {
                _ if is_replica && attempt.server != PRIMARY => (now + STEP, attempt, Outcome::Misdirected),
                _ if attempt.server != PRIMARY => (now + self.other_response_time, attempt, Outcome::Success),
                Behavior::RespondsAfter(time) => (now + time, attempt, Outcome::Success),
                Behavior::Silent => (now + SHORT_DEADLINE, attempt, Outcome::Timeout),
            };
            self.due.push(end);
        }
    }

    /// Advances the clock and ends the attempts that are due.
    fn advance(&mut self, time: Duration) {
        let until = self.harness.now + time;
        while self.harness.now < until {
            let actions = self.harness.advance(STEP);
            self.record_actions(&actions);
            let now = self.harness.now;
            let (ended, open) = std::mem::take(&mut self.due).into_iter().partition(|(at, ..)| *at <= now);
            self.due = open;
            for (_, attempt, outcome) in ended {
                let role = match outcome {
                    Outcome::Success => Some(true),
                    Outcome::Misdirected => Some(false),
                    _ => None,
                };
                let actions = self.harness.end_attempt(attempt, outcome, role, ms(0));
                self.record_actions(&actions);
            }
        }
    }

    /// Sends one write to each group in turn, `interval` apart.
    fn write_to_all(&mut self, interval: Duration) {
        for group in 1..=u64::from(OTHER_GROUPS) + 1 {
            self.write(group);
            self.advance(interval);
        }
    }

    /// Returns whether group 1 has entered the phase without a primary.
    fn has_no_primary(&self) -> bool {
        self.logs.iter().any(|text| text.starts_with("group 1 entered phase without a primary"))
    }

    /// Makes the primary of group 1 silent and returns the time until it counts as lost.
    fn detection_time(&mut self, interval: Duration) -> Duration {
        self.primary_behavior = Behavior::Silent;
        let silent_since = self.harness.now;
        while !self.has_no_primary() {
            assert!(
                self.harness.now < silent_since + ms(60_000),
                "the loss of the primary is not detected within 60 s"
            );
            self.write(1);
            self.advance(interval);
        }
        self.harness.now - silent_since
    }
}

/// Guards against an overloaded primary that is taken for dead, whose writes were then rejected for seconds.
#[test]
fn one_timeout_is_not_a_primary_loss_while_all_primaries_respond_late() {
    let mut simulation = Simulation::new(LATE_RESPONSE);
    for _ in 0..4 {
        simulation.write_to_all(ms(100));
    }
    simulation.advance(ms(1000));
    assert!(!simulation.has_no_primary(), "{:?}", simulation.logs);
    simulation.primary_behavior = Behavior::Silent;
    simulation.write(1);
    simulation.advance(ms(50)); // a replica declines the write first
    simulation.primary_behavior = Behavior::RespondsAfter(LATE_RESPONSE);
    simulation.advance(SHORT_DEADLINE + ms(100));
    assert!(
        simulation.logs.iter().any(|text| text.contains("suspected")),
        "the write must time out at the primary"
    );
    assert!(!simulation.has_no_primary(), "{:?}", simulation.logs);
    simulation.advance(ms(500));
    let actions = simulation.write(1);
    assert_eq!((forwarded_to(&actions).len(), rejection_count(&actions)), (1, 0), "{:?}", simulation.logs);
}

/// Guards against a slower detection. The expected times are those of the earlier detector, which judged each
/// timeout without the responses of other primaries.
#[test]
fn a_dead_primary_is_detected_in_unchanged_time_while_other_primaries_respond_in_time() {
    let mut times = Vec::new();
    for offset_ms in [0, 70, 140, 210] {
        for interval_ms in [100, 300, 1000, 3000] {
            let mut simulation = Simulation::new(ms(20));
            for _ in 0..4 {
                simulation.write_to_all(ms(100));
            }
            simulation.advance(ms(offset_ms));
            times.push(simulation.detection_time(ms(interval_ms)));
        }
    }
    times.sort();
    assert_eq!((times[times.len() / 2], times[times.len() - 1]), (ms(1000), ms(3000)));
}
