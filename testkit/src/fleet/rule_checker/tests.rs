use super::*;
use pipittack_core::api::FailoverSettings;
use pipittack_core::api::*;
use std::time::Duration;

const WRITE: ClassId = ClassId(0);
const READ: ClassId = ClassId(1);

fn checker() -> RuleChecker {
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

/// The rules that are violated when `steps` follow a request that was accepted at 1 s with a deadline of 3 s.
fn violations(class: ClassId, steps: impl FnOnce(&mut RuleChecker)) -> Vec<Rule> {
    let mut checker = checker();
    checker.write_acknowledged(0, 7, 0.9);
    checker.request_accepted(AcceptedRequest {
        id: 1,
        proxy: 0,
        class,
        session: 7,
        token_commit: None,
        accepted_at: 1.0,
        deadline: 3.0,
    });
    steps(&mut checker);
    checker.finish(9.0);
    checker.violations.iter().map(|violation| violation.rule).collect()
}

fn answer(checker: &mut RuleChecker) {
    checker.request_answered(1, FinalAnswer::Other, 2.0);
}

fn send(checker: &mut RuleChecker) {
    checker.attempt_sent(1, 4, 1.1);
}

/// Sends an attempt that ends with an outcome, and a retry, and answers the request.
fn retry_after(outcome: Outcome) -> impl FnOnce(&mut RuleChecker) {
    move |c: &mut RuleChecker| {
        send(c);
        c.attempt_ended(1, 0, outcome, 1.1);
        c.attempt_sent(1, 5, 1.2);
        answer(c);
    }
}

#[test]
fn a_request_needs_one_final_answer_in_time() {
    assert_eq!(violations(READ, answer), []);
    assert_eq!(violations(READ, |_| ()), [Rule::AnswerInTime]);
    assert_eq!(violations(READ, |c| c.request_answered(1, FinalAnswer::Other, 3.2)), [Rule::AnswerInTime]);
    assert_eq!(
        violations(READ, |c| {
            answer(c);
            answer(c)
        }),
        [Rule::AnswerInTime]
    );
    assert_eq!(
        violations(READ, |c| {
            answer(c);
            send(c)
        }),
        [Rule::AnswerInTime]
    );
}

#[test]
fn a_stale_read_is_a_violation_unless_the_proxy_could_not_know() {
    let read = |position, may_read_stale| {
        move |c: &mut RuleChecker| {
            send(c);
            c.read_executed(ReplicaRead { request: 1, sent_at: 1.1, position, may_read_stale }, 1.1);
            answer(c);
        }
    };
    assert_eq!(violations(READ, read(0.9, false)), []);
    assert_eq!(violations(READ, read(0.89, false)), [Rule::NoStaleRead]);
    assert_eq!(violations(READ, read(0.89, true)), []);
}

#[test]
fn a_draining_server_receives_no_statements_after_the_grace_period() {
    let written_to_draining = |at: f64| {
        move |c: &mut RuleChecker| {
            c.endpoint_listed(0, 4, EndpointState::Draining, 0.5);
            c.statement_written(1, 4, at);
            answer(c);
        }
    };
    assert_eq!(violations(READ, written_to_draining(1.5)), []);
    assert_eq!(violations(READ, written_to_draining(1.6)), [Rule::NoRequestsToDraining]);
}

#[test]
fn a_write_that_may_have_been_executed_is_not_repeated() {
    assert_eq!(violations(WRITE, retry_after(Outcome::Rejected)), []);
    assert_eq!(violations(WRITE, retry_after(Outcome::Reset)), [Rule::NoDuplicateExecution]);
    assert_eq!(violations(READ, retry_after(Outcome::Reset)), []);
    let rejected = |c: &mut RuleChecker| c.request_answered(1, FinalAnswer::Rejected, 2.0);
    assert_eq!(
        violations(WRITE, |c| {
            send(c);
            rejected(c)
        }),
        [Rule::NoDuplicateExecution]
    );
    let executed_twice = |c: &mut RuleChecker| {
        (0..2).for_each(|_| c.write_executed(1, WRITE, 2.0));
        answer(c);
    };
    assert_eq!(violations(WRITE, executed_twice), [Rule::NoDuplicateExecution]);
}

#[test]
fn the_number_of_attempts_is_limited() {
    let two_attempts = |c: &mut RuleChecker| {
        retry_after(Outcome::Rejected)(c);
        c.attempt_ended(1, 1, Outcome::Rejected, 1.2);
    };
    let three_attempts = |c: &mut RuleChecker| {
        (0..3).for_each(|n| {
            c.attempt_sent(1, 4, 1.1);
            c.attempt_ended(1, n, Outcome::Rejected, 1.1);
        });
        answer(c);
    };
    assert_eq!(violations(READ, two_attempts), []);
    assert_eq!(violations(READ, three_attempts), [Rule::MaxAttempts]);
}
