//! Simulates the calls of a fleet of proxy instances to one discovery service.

use super::*;
use crate::api::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Rate at which the service answers calls, one after another, in calls a second.
const SERVICE_RATE: f64 = 15.0;
/// Rate of a service that has more than enough time for the calls of 200 instances.
const FAST_SERVICE_RATE: f64 = 50.0;
/// Time from the last line of a subscription to the end of the program's wait for the next one, in seconds.
const SUBSCRIPTION_TIMEOUT_SECS: f64 = 2.7;
/// Time in the queue after which a call fails, in seconds.
const CALL_TIMEOUT_SECS: f64 = 2.0;

fn settings(instance_count: u32) -> Settings {
    let ms = Duration::from_millis;
    let limits = Limits {
        max_attempts: 6,
        allow_cancel: true,
        allow_gossip: false,
        allow_health_checks: true,
        allow_hedging: false,
        send_retry_after: true,
        max_retry_after: ms(1000),
        connect_timeout: ms(250),
        max_streams_per_connection: 1,
    };
    let rules = ServiceRules {
        answer_grace_period: ms(20),
        poll_interval: ms(10_000),
        initial_capacity_share: 0.2,
        warm_up: ms(15_000),
        overload_factor: 2.0,
        overload_duration: ms(1000),
        drain_grace_period: ms(2000),
        removed_may_serve: false,
    };
    Settings {
        instance_index: 0,
        instance_count,
        zone: ZoneId(0),
        min_step_interval: ms(5),
        classes: Vec::new(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        stale_read_policy: StaleReadPolicy::AnswerStale,
        responses_carry_position: true,
        session_tokens: SessionTokens::FromClient,
        listed_role: ListedRole::Absent,
        load_reports: LoadReports::Never,
        health_checks_tell_role: false,
        discovery: DiscoveryMode::Subscribe,
        limits,
        rules,
        prices: Prices {
            cross_zone: 0.0,
            health_check: 0.0,
            gossip: 0.0,
            wasted_work: 0.0,
            late_failure: 0.0,
        },
        failover: FailoverSettings::default(),
    }
}

/// Results of the start of a fleet, from the time at which the service is up.
struct FleetStart {
    calls: usize,
    failed_calls: usize,
    /// Time of the last update that an instance received, in seconds after the service came up.
    last_update_secs: f64,
}

/// Call in progress.
#[derive(Clone)]
struct Call {
    ends_at: f64,
    succeeds: bool,
}

/// Starts all instances at once. The service is down for the first `down_secs` seconds.
fn start_fleet(instance_count: u32, has_list: bool, down_secs: f64) -> FleetStart {
    let mut schedules = vec![DiscoverySchedule::default(); instance_count as usize];
    if has_list {
        schedules.iter_mut().for_each(DiscoverySchedule::list_cached);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(instance_count));
    simulate(schedules, SERVICE_RATE, down_secs, &mut rng)
}

/// Breaks the subscriptions of all instances at once.
fn break_subscriptions(instance_count: u32, service_rate: f64) -> FleetStart {
    let settings = settings(instance_count);
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(instance_count));
    let subscribed = || subscribed_schedule(&settings);
    let mut schedules: Vec<_> = (0..instance_count).map(|_| subscribed()).collect();
    schedules.iter_mut().for_each(|schedule| schedule.call_failed(0.0, &settings, || rng.random()));
    simulate(schedules, service_rate, 0.0, &mut rng)
}

/// Returns the schedule of an instance with an open subscription.
fn subscribed_schedule(settings: &Settings) -> DiscoverySchedule {
    let mut schedule = DiscoverySchedule::default();
    assert!(schedule.is_call_due(-1.0, settings, || 0.0), "the first call is due at once at the earliest");
    schedule.update_received(-1.0);
    schedule
}

/// Steps the schedules until all instances are subscribed. The service is down for the first `down_secs`
/// seconds.
fn simulate(
    mut schedules: Vec<DiscoverySchedule>,
    service_rate: f64,
    down_secs: f64,
    rng: &mut Pcg64Mcg,
) -> FleetStart {
    let settings = settings(schedules.len() as u32);
    let mut calls: Vec<Option<Call>> = vec![None; schedules.len()];
    let mut start = FleetStart { calls: 0, failed_calls: 0, last_update_secs: 0.0 };
    let mut service_free_at = 0.0;
    for tick in 0..40_000 {
        let now = f64::from(tick) * 0.01;
        for (schedule, call) in schedules.iter_mut().zip(&mut calls) {
            if let Some(ended) = call.take_if(|call| call.ends_at <= now) {
                if ended.succeeds {
                    schedule.update_received(now);
                    start.last_update_secs = now - down_secs;
                } else {
                    schedule.call_failed(now, &settings, || rng.random());
                }
            }
            if call.is_none() && schedule.is_call_due(now, &settings, || rng.random()) {
                let wait_secs = f64::max(service_free_at, now) + 1.0 / service_rate - now;
                let is_up = now >= down_secs;
                let is_in_time = wait_secs <= CALL_TIMEOUT_SECS;
                service_free_at = if is_up { now + wait_secs } else { service_free_at };
                start.calls += usize::from(is_up);
                start.failed_calls += usize::from(is_up && !is_in_time);
                let ends_at = if is_up { now + wait_secs.min(CALL_TIMEOUT_SECS) } else { now + 0.01 };
                *call = Some(Call { ends_at, succeeds: is_up && is_in_time });
            }
        }
    }
    assert!(schedules.iter().all(|schedule| schedule.is_subscribed), "every instance must receive an update");
    start
}

/// Guards against unspread calls: without a window, 200 instances made 705 calls, of which 633 failed, and
/// most instances received no list.
#[test]
fn a_fleet_without_a_list_receives_it_as_fast_as_the_service_answers() {
    for (instance_count, down_secs) in [(1, 0.0), (8, 0.0), (200, 0.0), (1000, 0.0), (3000, 0.0), (200, 20.0)]
    {
        let FleetStart { calls, failed_calls, last_update_secs } =
            start_fleet(instance_count, false, down_secs);
        let count = instance_count as usize;
        assert!(
            calls * 10 <= count * 12 && failed_calls * 100 <= count,
            "{count} instances: {calls} calls, {failed_calls} failed"
        );
        assert!(
            last_update_secs <= 1.3 * f64::from(instance_count) / SERVICE_RATE + 6.0,
            "{count} instances: last update after {last_update_secs} s"
        );
    }
}

/// Instances with a list must receive changes in time, so at first they call faster than the service answers.
#[test]
fn a_fleet_with_a_list_recovers_from_its_own_overload() {
    for (instance_count, max_secs) in [(100, 10.0), (200, 40.0), (300, 100.0), (400, 150.0), (1000, 400.0)] {
        let FleetStart { calls, last_update_secs, .. } = start_fleet(instance_count, true, 0.0);
        assert!(calls < 3 * instance_count as usize, "{instance_count} instances: {calls} calls");
        assert!(
            last_update_secs <= max_secs,
            "{instance_count} instances: last update after {last_update_secs} s"
        );
    }
}

/// An instance must receive an update within 6 s after the discovery service has recovered from an outage.
/// One call may fail just before the recovery, and the next call may fail because the service is overloaded
/// afterwards.
#[test]
fn two_calls_fit_into_the_notification_deadline() {
    for poll_interval_ms in [2_000, 10_000, 60_000] {
        let mut settings = settings(10);
        settings.rules.poll_interval = Duration::from_millis(poll_interval_ms);
        let (mut schedule, mut now) = (DiscoverySchedule::default(), 0.0);
        schedule.list_cached();
        let wait_for_call = |schedule: &mut DiscoverySchedule, now: &mut f64| {
            let started_at = *now;
            while !schedule.is_call_due(*now, &settings, || 1.0) {
                *now += 0.01;
            }
            *now - started_at
        };
        for _ in 0..20 {
            wait_for_call(&mut schedule, &mut now);
            schedule.call_failed(now, &settings, || 1.0);
        }
        // The discovery service recovers right after the last failure. The next call fails
        // after 0.4 s, and the call after that must still be within the deadline.
        let first_secs = wait_for_call(&mut schedule, &mut now);
        schedule.call_failed(now + 0.4, &settings, || 1.0);
        now += 0.4;
        let second_secs = wait_for_call(&mut schedule, &mut now);
        assert!(
            first_secs + 0.4 + second_secs <= 5.5,
            "poll interval of {poll_interval_ms} ms: calls after {first_secs} s and {second_secs} s"
        );
    }
}

/// Guards against a restarted instance whose first call comes after the notification deadline. A removal from
/// just before its start then counts as known while the instance still sends requests to the removed server.
#[test]
fn a_restarted_instance_calls_before_the_notification_deadline() {
    for (instance_count, poll_interval_ms) in [(306, 10_000), (900, 10_000), (306, 60_000)] {
        let mut settings = settings(instance_count);
        settings.rules.poll_interval = Duration::from_millis(poll_interval_ms);
        let mut schedule = DiscoverySchedule::default();
        schedule.list_cached();
        assert!(!schedule.is_call_due(0.0, &settings, || 1.0));
        assert!(
            schedule.is_call_due(0.8 * NOTIFICATION_DEADLINE_SECS, &settings, || 1.0),
            "{instance_count} instances, poll interval of {poll_interval_ms} ms"
        );
    }
}

/// Guards against a fleet whose instances replace silent subscriptions after the notification deadline: of
/// 100 instances, about half were not informed 8 s after the silence.
#[test]
fn a_broken_subscription_is_replaced_before_the_notification_deadline() {
    for (instance_count, poll_interval_ms) in
        [(1, 10_000), (20, 10_000), (75, 10_000), (100, 10_000), (300, 10_000), (900, 10_000), (300, 60_000)]
    {
        let mut settings = settings(instance_count);
        settings.rules.poll_interval = Duration::from_millis(poll_interval_ms);
        for random in [0.0, 0.5, 1.0] {
            let mut schedule = subscribed_schedule(&settings);
            schedule.call_failed(0.0, &settings, || random);
            let due_secs = (0..2000).map(|tick| f64::from(tick) * 0.01);
            let mut due_secs = due_secs.filter(|now| schedule.is_call_due(*now, &settings, || random));
            let first_secs = due_secs.next().expect("a call is due");
            assert!(
                (0.25..=MAX_WINDOW_SHARE * NOTIFICATION_DEADLINE_SECS + 0.26).contains(&first_secs),
                "{instance_count} instances, poll interval of {poll_interval_ms} ms, random number {random}: \
                 call {first_secs} s after the break"
            );
        }
    }
}

/// Guards against requests to a draining server after its grace period, with a service that has time for all
/// calls.
#[test]
fn a_fleet_that_loses_all_subscriptions_is_informed_within_the_drain_grace_period() {
    for instance_count in [1, 20, 75, 100, 200] {
        let FleetStart { calls, failed_calls, last_update_secs } =
            break_subscriptions(instance_count, FAST_SERVICE_RATE);
        let settings = settings(instance_count);
        let max_secs = NOTIFICATION_DEADLINE_SECS + secs(settings.rules.drain_grace_period);
        assert_eq!((calls, failed_calls), (instance_count as usize, 0), "{instance_count} instances");
        assert!(
            SUBSCRIPTION_TIMEOUT_SECS + last_update_secs <= max_secs,
            "{instance_count} instances: last update {last_update_secs} s after the break"
        );
    }
}

/// Guards against retries that keep a slow service overloaded after all subscriptions have broken at once.
#[test]
fn a_fleet_that_loses_all_subscriptions_recovers_from_its_own_overload() {
    for (instance_count, max_secs) in [(75, 7.0), (100, 16.0), (200, 40.0), (300, 100.0), (900, 400.0)] {
        let FleetStart { calls, last_update_secs, .. } = break_subscriptions(instance_count, SERVICE_RATE);
        assert!(calls < 3 * instance_count as usize, "{instance_count} instances: {calls} calls");
        assert!(
            last_update_secs <= max_secs,
            "{instance_count} instances: last update after {last_update_secs} s"
        );
    }
}
