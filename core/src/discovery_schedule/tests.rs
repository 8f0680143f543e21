//! A fleet's calls to one discovery service, stepped through by themselves.

use super::*;
use crate::api::FailoverSettings;
use crate::api::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Discovery answers so many calls a second, one after another; who waits longer than that has failed.
const BEARS: f64 = 15.0;
const FAILS_AFTER: f64 = 2.0;

fn settings(gateways: u32) -> Settings {
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
    let contract = ServiceRules {
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
        instance_count: gateways,
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
        discovery: DiscoveryMode::Subscribe,
        limits,
        rules: contract,
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

/// All start at once; discovery is down at first. Gives the calls while it was up, those of them that failed,
/// and when the last one was told, in s after the service came up.
fn start(gateways: u32, holds: bool, down: f64) -> (usize, usize, f64) {
    let settings = settings(gateways);
    let mut rng = Pcg64Mcg::seed_from_u64(u64::from(gateways));
    let mut all = vec![DiscoverySchedule::default(); gateways as usize];
    if holds {
        all.iter_mut().for_each(DiscoverySchedule::list_cached);
    }
    let mut ends: Vec<Option<(f64, bool)>> = vec![None; all.len()];
    let (mut free_at, mut calls, mut failed, mut last) = (0.0, 0, 0, 0.0);
    for tick in 0..40_000 {
        let now = f64::from(tick) * 0.01;
        for (one, end) in all.iter_mut().zip(&mut ends) {
            if let Some((_, well)) = end.take_if(|(at, _)| *at <= now) {
                if well {
                    one.update_received(now);
                    last = now - down;
                } else {
                    one.call_failed(now, &settings, || rng.random());
                }
            }
            if end.is_none() && one.is_call_due(now, &settings, || rng.random()) {
                let wait = f64::max(free_at, now) + 1.0 / BEARS - now;
                let (up, well) = (now >= down, wait <= FAILS_AFTER);
                free_at = if up { now + wait } else { free_at };
                calls += usize::from(up);
                failed += usize::from(up && !well);
                *end = Some((if up { now + wait.min(FAILS_AFTER) } else { now + 0.01 }, up && well));
            }
        }
    }
    assert!(all.iter().all(|one| one.watching), "one was never told");
    (calls, failed, last)
}

/// Guards against a service that works on nothing but calls that have failed: 705 calls of 200, of which 633
/// failed, and most of the fleet without a list for good.
#[test]
fn a_fleet_that_holds_no_list_is_told_as_fast_as_the_service_can() {
    for (gateways, down) in [(1, 0.0), (8, 0.0), (200, 0.0), (1000, 0.0), (3000, 0.0), (200, 20.0)] {
        let (calls, failed, last) = start(gateways, false, down);
        let n = gateways as usize;
        assert!(calls * 10 <= n * 12 && failed * 100 <= n, "{gateways}: {calls} calls, {failed} failed");
        assert!(last <= 1.3 * f64::from(gateways) / BEARS + 6.0, "{gateways}: {last} s");
    }
}

/// Guards against a jam that feeds itself: who holds a list has to hear of its changes in time, and more call
/// then than are answered.
#[test]
fn a_fleet_that_holds_a_list_gets_over_its_own_calls() {
    for (gateways, told) in [(100, 10.0), (200, 40.0), (300, 100.0), (400, 150.0), (1000, 400.0)] {
        let (calls, _, last) = start(gateways, true, 0.0);
        assert!(calls < 3 * gateways as usize, "{gateways}: {calls} calls");
        assert!(last <= told, "{gateways}: {last} s");
    }
}

/// Guards against a call made just before discovery returns, a pause after it, and a call that fails in the
/// jam of its return: a change counts as told 6 s after discovery could be reached, whatever failed before.
#[test]
fn two_calls_fit_into_the_time_after_which_a_change_counts_as_told() {
    for ask_every in [2_000, 10_000, 60_000] {
        let mut settings = settings(10);
        settings.rules.poll_interval = Duration::from_millis(ask_every);
        let (mut one, mut now) = (DiscoverySchedule::default(), 0.0);
        one.list_cached();
        let next = |one: &mut DiscoverySchedule, now: &mut f64| {
            let since = *now;
            while !one.is_call_due(*now, &settings, || 1.0) {
                *now += 0.01;
            }
            *now - since
        };
        for _ in 0..20 {
            next(&mut one, &mut now);
            one.call_failed(now, &settings, || 1.0);
        }
        // It is back right after the last one failed; the next call fails after a wait for its turn, and one
        // more is due.
        let first = next(&mut one, &mut now);
        one.call_failed(now + 0.4, &settings, || 1.0);
        now += 0.4;
        let second = next(&mut one, &mut now);
        assert!(first + 0.4 + second <= 5.5, "{ask_every}: {first} s and {second} s");
    }
}
