//! Property test of the service rules under random events, including late, lost,
//! duplicate and unknown events.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use pipittack_core::api::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Outcomes that the test gives to attempts.
const OUTCOMES: [Outcome; 7] = [
    Outcome::Success,
    Outcome::ServerError,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Misdirected,
];

/// State of a request, as seen on the network.
#[derive(Default)]
struct ObservedRequest {
    class: usize,
    attempt_count: u32,
    in_flight: BTreeMap<u32, ServerId>,
    may_have_executed: bool,
    final_answers: u32,
    deadline_ms: u64,
}

/// Number of times that the end of an attempt is reported.
#[derive(Clone, Copy)]
enum Delivery {
    Once,
    Twice,
}

/// Engine with a checker of its actions.
struct CheckedEngine {
    harness: Harness,
    requests: BTreeMap<RequestId, ObservedRequest>,
    draining: BTreeSet<ServerId>,
}

impl CheckedEngine {
    fn new(settings: Settings) -> Self {
        Self { harness: Harness::new(settings), requests: BTreeMap::new(), draining: BTreeSet::new() }
    }

    fn step(&mut self, events: Vec<Event>) {
        let actions = self.harness.step(events);
        self.check(actions);
    }

    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forward { request, server, .. } => self.check_attempt(request, server),
                Action::Reject { request, .. } => self.check_rejection(request),
                Action::Fail { request } => self.request(request).final_answers += 1,
                _ => {}
            }
        }
    }

    fn request(&mut self, id: RequestId) -> &mut ObservedRequest {
        self.requests.get_mut(&id).expect("the engine acts only on requests that have arrived")
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId) {
        let is_draining = self.draining.contains(&server);
        let request = self.request(id);
        assert_eq!(request.final_answers, 0, "no attempt may follow the final answer");
        assert!(request.in_flight.is_empty(), "a request may have only one attempt in flight");
        assert!(!is_draining, "no attempt may be sent to a draining server");
        let is_unique = request.class == UNIQUE_WRITE.0;
        assert!(!is_unique || !request.may_have_executed, "a unique write must not be executed twice");
        request.in_flight.insert(request.attempt_count, server);
        request.attempt_count += 1;
    }

    fn check_rejection(&mut self, id: RequestId) {
        let request = self.request(id);
        let is_write = request.class == UNIQUE_WRITE.0 || request.class == KEYED_WRITE.0;
        let was_not_executed = !request.may_have_executed && request.in_flight.is_empty();
        assert!(!is_write || was_not_executed, "a write that may have been executed must not be rejected");
        request.final_answers += 1;
    }

    fn submit(&mut self, class: usize) {
        let request = self.harness.new_request(ClassId(class));
        let deadline_ms = self.harness.now.as_millis() as u64 + 2000;
        let observed = ObservedRequest { class, deadline_ms, ..ObservedRequest::default() };
        self.requests.insert(request.id, observed);
        self.step(vec![Event::Request(request)]);
    }

    /// Ends the first attempt in flight of the request that `selector` selects.
    fn end_attempt(&mut self, selector: usize, outcome: Outcome, delivery: Delivery) {
        let has_attempt = |(_, request): &(&RequestId, &ObservedRequest)| !request.in_flight.is_empty();
        let open: Vec<_> = self.requests.iter().filter(has_attempt).map(|(id, _)| *id).collect();
        let Some(id) = open.get(selector % open.len().max(1)).copied() else { return };
        let request = self.request(id);
        let (number, server) = request.in_flight.pop_first().expect("an attempt in flight");
        request.may_have_executed |= !outcome.rules_out_execution();
        if outcome == Outcome::Success && request.final_answers == 0 {
            request.final_answers += 1;
        }
        let attempt = SentAttempt { request: id, number, server };
        let is_primary = outcome.is_response().then_some(server == PRIMARY);
        let count = match delivery {
            Delivery::Once => 1,
            Delivery::Twice => 2,
        };
        for _ in 0..count {
            let actions = self.harness.end_attempt(attempt, outcome, is_primary, ms(5));
            self.check(actions);
        }
    }

    /// Changes the state of the server that `selector` selects in the endpoint list.
    fn change_endpoint(&mut self, selector: u32, state: EndpointState) {
        let server = 1 + selector % 3;
        match state {
            EndpointState::Draining => self.draining.insert(ServerId(server)),
            _ => self.draining.remove(&ServerId(server)),
        };
        let started_at = (selector > 127).then_some(self.harness.now);
        let entry = Endpoint { state, started_at, ..endpoint(server, server == 1) };
        self.step(vec![Event::Endpoints(EndpointUpdate::Changes(vec![entry]))]);
    }

    /// Sends events about unknown requests, timers and servers, and events that may arrive at any time.
    fn send_unrelated_events(&mut self, selector: u8) {
        let checked = Event::HealthChecked {
            server: ServerId(u32::from(selector)),
            ok: selector.is_multiple_of(2),
            load_report: None,
        };
        self.step(vec![
            Event::Gossip { from: 3, bytes: vec![selector; usize::from(selector % 8)] },
            checked,
            Event::ClientDisconnected(RequestId(9_999_999)),
            Event::Timer(TimerId(u64::from(selector))),
        ]);
    }

    /// Advances the clock. Attempts time out at the deadlines of their requests.
    fn advance(&mut self, time_ms: u64) {
        let now_ms = self.harness.now.as_millis() as u64 + time_ms;
        self.harness.now = ms(now_ms);
        self.step(Vec::new());
        let is_overdue = |(_, request): &(&RequestId, &ObservedRequest)| {
            request.deadline_ms <= now_ms && !request.in_flight.is_empty()
        };
        let first_attempt = |(id, request): (&RequestId, &ObservedRequest)| {
            (*id, *request.in_flight.keys().next().expect("an attempt in flight"))
        };
        let overdue: Vec<_> = self.requests.iter().filter(is_overdue).map(first_attempt).collect();
        for (id, number) in overdue {
            let request = self.request(id);
            let server = request.in_flight.remove(&number).expect("an attempt in flight");
            request.may_have_executed = true;
            let attempt = SentAttempt { request: id, number, server };
            let actions = self.harness.end_attempt(attempt, Outcome::Timeout, None, ms(0));
            self.check(actions);
        }
    }

    fn apply_step(&mut self, kind: u8, selector: u8) {
        let index = usize::from(selector);
        let delivery = if selector.is_multiple_of(5) { Delivery::Twice } else { Delivery::Once };
        match kind {
            0..=3 => self.submit(index % 5),
            4..=7 => self.end_attempt(index, OUTCOMES[index % OUTCOMES.len()], delivery),
            8 => self.change_endpoint(u32::from(selector), EndpointState::Draining),
            9 => self.change_endpoint(u32::from(selector), EndpointState::Healthy),
            10 => self.send_unrelated_events(selector),
            _ => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn the_service_rules_hold_under_any_events(
        instance_count in prop_oneof![Just(1u32), Just(100)],
        steps in prop::collection::vec((0u8..12, any::<u8>(), 0u64..400), 1..200),
    ) {
        let mut settings = Settings { instance_count, ..settings() };
        settings.limits.allow_gossip = true;
        settings.limits.allow_health_checks = true;
        let mut engine = CheckedEngine::new(settings);
        for (kind, selector, time_ms) in steps {
            engine.apply_step(kind, selector);
            engine.advance(time_ms);
            let now_ms = engine.harness.now.as_millis() as u64;
            for (id, request) in &engine.requests {
                let answers = request.final_answers;
                prop_assert!(answers <= 1, "{id:?} has {answers} final answers");
                let is_open = request.deadline_ms > now_ms || !request.in_flight.is_empty();
                prop_assert!(answers == 1 || is_open, "{id:?} has no final answer after its deadline");
            }
        }
    }
}
