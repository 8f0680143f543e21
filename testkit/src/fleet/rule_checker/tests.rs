use super::*;
use pipittack_core::api::FailoverSettings;
use pipittack_core::api::*;
use std::time::Duration;

const WRITE: ClassId = ClassId(0);
const READ: ClassId = ClassId(1);

fn create_checker() -> RuleChecker {
    let ms = Duration::from_millis;
    let class = |idempotency, consistency| Class {
        priority_weight: 1.0,
        latency_objective: ms(500),
        latency_objective_work_factor: 0.0,
        deadline: ms(2000),
        late_weight: 0.0,
        idempotency,
        consistency,
        streaming: false,
    };
    RuleChecker::new(Settings {
        instance_index: 0,
        instance_count: 1,
        zone: ZoneId(0),
        min_step_interval: ms(5),
        classes: vec![
            class(Idempotency::NonIdempotent, Consistency::Write),
            class(Idempotency::Idempotent, Consistency::Causal),
        ],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        stale_read_policy: StaleReadPolicy::AnswerStale,
        responses_carry_position: true,
        session_tokens: SessionTokens::Tracked,
        listed_role: ListedRole::Static,
        load_reports: LoadReports::Never,
        health_checks_tell_role: false,
        discovery: DiscoveryMode::Subscribe,
        limits: Limits {
            max_attempts: 2,
            allow_cancel: true,
            allow_gossip: false,
            allow_health_checks: true,
            allow_hedging: false,
            send_retry_after: true,
            max_retry_after: ms(500),
            connect_timeout: ms(200),
            max_streams_per_connection: 1,
        },
        rules: ServiceRules {
            answer_grace_period: ms(50),
            poll_interval: ms(5000),
            initial_capacity_share: 0.2,
            warm_up: ms(10_000),
            overload_factor: 2.0,
            overload_duration: ms(1000),
            drain_grace_period: ms(1000),
            removed_may_serve: false,
        },
        prices: Prices {
            cross_zone: 0.0,
            health_check: 0.0,
            gossip: 0.0,
            wasted_work: 0.0,
            late_failure: 0.0,
        },
        failover: FailoverSettings::default(),
    })
}

/// Returns a request of session 7 that was accepted at 1 s with a deadline of 3 s.
fn request(class: ClassId) -> AcceptedRequest {
    AcceptedRequest {
        id: 1,
        proxy: 0,
        class,
        session: 7,
        token_commit: None,
        accepted_at: 1.0,
        deadline: 3.0,
    }
}

/// Returns the rules that are violated when `steps` follow a request that was accepted at 1 s with a deadline
/// of 3 s. Its session has a write that was committed at 0.9 s.
fn violations(class: ClassId, steps: impl FnOnce(&mut RuleChecker)) -> Vec<Rule> {
    let mut checker = create_checker();
    checker.write_acknowledged(0, 7, 0.9);
    checker.request_accepted(request(class));
    steps(&mut checker);
    checker.finish(9.0);
    checker.violations.iter().map(|violation| violation.rule).collect()
}

fn answer_request(checker: &mut RuleChecker) {
    checker.request_answered(1, FinalAnswer::Other, 2.0);
}

fn send_attempt(checker: &mut RuleChecker) {
    checker.attempt_sent(1, 4, 1.1);
}

/// Returns steps that send an attempt, end it with `outcome`, send a second attempt to another server, and
/// answer the request.
fn attempt_then_retry(outcome: Outcome) -> impl FnOnce(&mut RuleChecker) {
    move |checker: &mut RuleChecker| {
        send_attempt(checker);
        checker.attempt_ended(1, 0, outcome, 1.1);
        checker.attempt_sent(1, 5, 1.2);
        answer_request(checker);
    }
}

#[test]
fn a_request_needs_exactly_one_final_answer_by_its_deadline() {
    assert_eq!(violations(READ, answer_request), []);
    assert_eq!(violations(READ, |_| ()), [Rule::AnswerInTime]);
    assert_eq!(
        violations(READ, |checker| checker.request_answered(1, FinalAnswer::Other, 3.2)),
        [Rule::AnswerInTime]
    );
    assert_eq!(
        violations(READ, |checker| {
            answer_request(checker);
            answer_request(checker)
        }),
        [Rule::AnswerInTime]
    );
    assert_eq!(
        violations(READ, |checker| {
            answer_request(checker);
            send_attempt(checker)
        }),
        [Rule::AnswerInTime]
    );
}

#[test]
fn a_stale_read_is_a_violation_unless_the_proxy_could_not_know_of_the_lost_primary_role() {
    let execute_read = |position, may_read_stale| {
        move |checker: &mut RuleChecker| {
            send_attempt(checker);
            checker.read_executed(ReplicaRead { request: 1, sent_at: 1.1, position, may_read_stale }, 1.1);
            answer_request(checker);
        }
    };
    assert_eq!(violations(READ, execute_read(0.9, false)), []);
    assert_eq!(violations(READ, execute_read(0.89, false)), [Rule::NoStaleRead]);
    assert_eq!(violations(READ, execute_read(0.89, true)), []);
}

#[test]
fn a_statement_to_a_draining_server_after_the_grace_period_is_a_violation() {
    let write_statement = |at: f64| {
        move |checker: &mut RuleChecker| {
            checker.endpoint_listed(0, 4, EndpointState::Draining, 0.5);
            checker.statement_written(1, 4, at);
            answer_request(checker);
        }
    };
    assert_eq!(violations(READ, write_statement(1.5)), []);
    assert_eq!(violations(READ, write_statement(1.6)), [Rule::NoRequestsToDraining]);
}

#[test]
fn a_retry_or_rejection_of_a_write_that_may_have_been_executed_is_a_violation() {
    assert_eq!(violations(WRITE, attempt_then_retry(Outcome::Rejected)), []);
    assert_eq!(violations(WRITE, attempt_then_retry(Outcome::Reset)), [Rule::NoDuplicateExecution]);
    assert_eq!(violations(READ, attempt_then_retry(Outcome::Reset)), []);
    let reject_request = |checker: &mut RuleChecker| checker.request_answered(1, FinalAnswer::Rejected, 2.0);
    assert_eq!(
        violations(WRITE, |checker| {
            send_attempt(checker);
            reject_request(checker)
        }),
        [Rule::NoDuplicateExecution]
    );
    let execute_twice = |checker: &mut RuleChecker| {
        (0..2).for_each(|_| checker.write_executed(1, WRITE, 2.0));
        answer_request(checker);
    };
    assert_eq!(violations(WRITE, execute_twice), [Rule::NoDuplicateExecution]);
}

#[test]
fn an_attempt_above_the_maximum_number_is_a_violation() {
    let two_attempts = |checker: &mut RuleChecker| {
        attempt_then_retry(Outcome::Rejected)(checker);
        checker.attempt_ended(1, 1, Outcome::Rejected, 1.2);
    };
    let three_attempts = |checker: &mut RuleChecker| {
        (0..3).for_each(|attempt| {
            checker.attempt_sent(1, 4, 1.1);
            checker.attempt_ended(1, attempt, Outcome::Rejected, 1.1);
        });
        answer_request(checker);
    };
    assert_eq!(violations(READ, two_attempts), []);
    assert_eq!(violations(READ, three_attempts), [Rule::MaxAttempts]);
}

/// Guards against a checker that forgets a possible execution when the client sends the request again.
#[test]
fn a_write_that_may_have_been_executed_must_not_be_sent_again_by_its_client() {
    let send_again = |class, outcome| {
        move |checker: &mut RuleChecker| {
            send_attempt(checker);
            checker.attempt_ended_at_server(1, 4, outcome, 1.1);
            checker.request_accepted(AcceptedRequest { accepted_at: 1.2, ..request(class) });
            answer_request(checker);
        }
    };
    assert_eq!(violations(WRITE, send_again(WRITE, Outcome::Rejected)), []);
    assert_eq!(violations(WRITE, send_again(WRITE, Outcome::Timeout)), [Rule::NoDuplicateExecution]);
    assert_eq!(violations(READ, send_again(READ, Outcome::Timeout)), []);
    let send_again_in_flight = |checker: &mut RuleChecker| {
        send_attempt(checker);
        checker.request_accepted(AcceptedRequest { accepted_at: 1.2, ..request(WRITE) });
        answer_request(checker);
    };
    assert_eq!(violations(WRITE, send_again_in_flight), [Rule::NoDuplicateExecution]);
}

#[test]
fn attempts_before_a_second_acceptance_count_as_executions_and_not_as_hedged_requests() {
    let attempts_around_acceptance = |class| {
        move |checker: &mut RuleChecker| {
            send_attempt(checker);
            checker.request_accepted(AcceptedRequest { accepted_at: 1.2, ..request(class) });
            checker.attempt_sent(1, 5, 1.3);
            answer_request(checker);
        }
    };
    assert_eq!(violations(READ, attempts_around_acceptance(READ)), []);
    assert_eq!(
        violations(WRITE, attempts_around_acceptance(WRITE)),
        [Rule::NoDuplicateExecution, Rule::NoDuplicateExecution]
    );
}

/// Guards against a proxy that closes the connection of a request that it has read.
#[test]
fn a_connection_that_ends_without_an_answer_is_a_violation_unless_the_statement_may_be_unread() {
    let close = UnansweredClose {
        written_at: 1.0,
        end: ConnectionEnd::Closed,
        connection: ConnectionUse::Reused,
        process_killed: false,
        process_paused: false,
    };
    let close_at =
        |at: f64, close| move |checker: &mut RuleChecker| checker.closed_without_answer(1, close, at);
    assert_eq!(violations(READ, close_at(1.1, close)), []);
    assert_eq!(violations(READ, close_at(1.21, close)), [Rule::AnswerInTime]);
    let new = UnansweredClose { connection: ConnectionUse::New, ..close };
    assert_eq!(violations(READ, close_at(1.1, new)), [Rule::AnswerInTime]);
    let reset = UnansweredClose { end: ConnectionEnd::Reset, ..close };
    assert_eq!(violations(READ, close_at(1.21, reset)), [Rule::AnswerInTime]);
    let killed = UnansweredClose { process_killed: true, ..close };
    assert_eq!(violations(READ, close_at(1.21, killed)), []);
    let paused = UnansweredClose { process_paused: true, ..close };
    assert_eq!(violations(READ, close_at(1.21, paused)), []);
    let close_after_attempt = |checker: &mut RuleChecker| {
        send_attempt(checker);
        close_at(1.1, paused)(checker);
    };
    assert_eq!(violations(READ, close_after_attempt), [Rule::AnswerInTime]);
    let attempt_after_close = |checker: &mut RuleChecker| {
        close_at(1.1, close)(checker);
        send_attempt(checker);
    };
    assert_eq!(violations(READ, attempt_after_close), [Rule::AnswerInTime]);
}

#[test]
fn a_violation_names_the_events_of_its_request() {
    let mut checker = create_checker();
    checker.request_accepted(request(WRITE));
    checker.process_sent_attempt(1, 4, Some(77), 1.1);
    checker.attempt_abandoned(1, 4, 1.2);
    checker.request_accepted(AcceptedRequest { accepted_at: 1.3, ..request(WRITE) });
    let description = &checker.violations[0].description;
    for event in
        ["statement written", "attempt sent to server 4 by process 77", "attempt at server 4 abandoned"]
    {
        assert!(description.contains(event), "{description}");
    }
}

/// A pause of the trial excuses no late answer, but the violation names it.
#[test]
fn a_late_answer_names_the_longest_pause_of_the_trial_since_its_request() {
    let mut checker = create_checker();
    let pause = |length_s, ended_at| TrialPause { ended_at, length_s, ..TrialPause::default() };
    checker.trial_paused(pause(0.9, 0.95));
    checker.request_accepted(request(READ));
    checker.trial_paused(pause(0.25, 2.0));
    checker.trial_paused(pause(0.1, 3.0));
    checker.request_answered(1, FinalAnswer::Other, 3.2);
    let description = &checker.violations[0].description;
    assert!(description.contains("longest pause of the trial 0.250 s"), "{description}");
}
