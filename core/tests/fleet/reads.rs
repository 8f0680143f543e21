//! Tests of the servers that a large fleet sends reads to.

use std::time::Duration;

use pipittack_core::api::*;

use crate::common::*;
use crate::load::*;

/// Counts of the requests of a fleet by destination.
#[derive(Default)]
struct ReadCounts {
    reads: usize,
    on_replicas: usize,
    /// Number of writes that a replica declined.
    declined_writes: usize,
}

/// Sends `requests` requests of a fleet to one group, one every 10 ms.
fn count_reads_on_replicas(instances: u32, requests: u64) -> ReadCounts {
    let mut settings = Settings { instance_count: instances, ..settings() };
    settings.classes[BOUNDED_READ.0].consistency = Consistency::BoundedStaleness(ms(3000));
    let mut fleet = new_fleet(&settings);
    let mix = ClassMix { writes: 30, eventual_reads: 5 };
    let mut counts = ReadCounts::default();
    for n in 0..requests {
        let receiving_instance = pseudo_random(2 * n, u64::from(instances)) as usize;
        fleet.iter_mut().for_each(|harness| harness.now += ms(10));
        let harness = &mut fleet[receiving_instance];
        let class = mix.class(2 * n + 1);
        let is_write = class == UNIQUE_WRITE;
        harness.submit(class);
        counts.reads += usize::from(!is_write);
        while let Some(attempt) = harness.in_flight.first().copied() {
            let is_primary = attempt.server == PRIMARY;
            let is_declined = is_write && !is_primary;
            counts.on_replicas += usize::from(!is_write && !is_primary);
            counts.declined_writes += usize::from(is_declined);
            let outcome = if is_declined { Outcome::Misdirected } else { Outcome::Success };
            harness.end_oldest(outcome, Some(is_primary), if is_primary { ms(0) } else { ms(10) });
        }
    }
    counts
}

/// Guards against a fleet in which no replica counts as fresh, so that the primary gets most reads.
#[test]
fn reads_of_a_large_fleet_reach_replicas_although_each_instance_seldom_gets_reports() {
    let ReadCounts { reads, on_replicas, declined_writes } = count_reads_on_replicas(100, 20_000);
    assert!(on_replicas * 2 >= reads, "{on_replicas} of {reads} on replicas");
    assert!(declined_writes * 4 <= reads, "{declined_writes} writes declined for {reads} reads");
    let ReadCounts { reads, on_replicas, declined_writes } = count_reads_on_replicas(3, 5_000);
    assert!(on_replicas * 10 >= reads * 9, "{on_replicas} of {reads} on replicas");
    assert_eq!(
        declined_writes, 0,
        "three instances get the positions of all replicas with responses, so no write probes a replica"
    );
}

/// If all instances used the order of ids, they would send their first reads to the same replicas.
#[test]
fn instances_choose_among_replicas_without_reports_in_different_orders() {
    let replicas = 20;
    let list = || (1..=1 + replicas).map(|id| endpoint(id, id == 1)).collect();
    let mut attempts = vec![0; 2 + replicas as usize];
    for harness in &mut new_fleet(&large_fleet_settings()) {
        harness.step(vec![Event::Endpoints(EndpointUpdate::Full(list()))]);
        for _ in 0..2 {
            for server in forwarded_to(&harness.submit(EVENTUAL_READ)) {
                attempts[server as usize] += 1;
            }
        }
    }
    let all = attempts.iter().sum::<usize>();
    let most = attempts.iter().max().copied().unwrap_or(0);
    assert!(all >= 180 && most * replicas as usize <= 4 * all, "{most} of {all} at one server: {attempts:?}");
}

/// Without gossip, load shedding pools the observations of the reads of all groups.
#[test]
fn an_overloaded_group_causes_no_rejection_of_reads_that_a_replica_of_another_group_can_serve() {
    let overloaded_server = ServerId(4);
    let mut settings = large_fleet_settings();
    settings.classes[BOUNDED_READ.0].consistency = Consistency::BoundedStaleness(ms(6000));
    let mut harness = Harness::new(settings);
    let mut list = endpoint_list();
    list.push(Endpoint { group: GroupId(2), ..endpoint(overloaded_server.0, true) });
    harness.step(vec![Event::Endpoints(EndpointUpdate::Full(list))]);
    harness.report_all(ms(10));
    let mut rejected = 0;
    let mut rejected_in_overloaded_group = 0;
    for round in 0..280 {
        for _ in 0..3 {
            let request = Request { group: GroupId(2), ..harness.new_request(BOUNDED_READ) };
            rejected_in_overloaded_group += rejection_count(&harness.step(vec![Event::Request(request)]));
        }
        harness.now += ms(400);
        if round % 10 == 9 {
            // Counts only this read: queued reads of the other group may be rejected in the same step.
            let request = harness.new_request(BOUNDED_READ);
            let id = request.id;
            let is_rejection =
                |action: &&Action| matches!(action, Action::Reject { request, .. } if *request == id);
            rejected += harness.step(vec![Event::Request(request)]).iter().filter(is_rejection).count();
        }
        harness.now += ms(10);
        while let Some(attempt) = harness.in_flight.pop() {
            let is_overloaded = attempt.server == overloaded_server;
            let outcome = if is_overloaded { Outcome::Timeout } else { Outcome::Success };
            let is_primary = Some(attempt.server == PRIMARY).filter(|_| !is_overloaded);
            harness.end_attempt(attempt, outcome, is_primary, ms(10));
        }
    }
    assert!(
        rejected_in_overloaded_group >= 280,
        "{rejected_in_overloaded_group} of 840 rejected in the overloaded group"
    );
    assert_eq!(rejected, 0, "none of 28 reads may be rejected in the group whose replicas have capacity");
}

/// Attempt that the primary is processing.
struct AttemptInService {
    done_at: Duration,
    sent_at: Duration,
    instance: usize,
    attempt: SentAttempt,
}

/// Shares of requests that are served within the latency objective.
struct InTimeShares {
    writes: f64,
    reads: f64,
}

/// Simulates a hundred instances that send a group 40 writes and 60 reads a second, which only
/// its primary may serve. The primary serves 60 requests a second in order of arrival. Counts
/// requests after the first 5 s.
fn in_time_shares_at_overloaded_primary() -> InTimeShares {
    let mut settings = large_fleet_settings();
    settings.classes[UNIQUE_WRITE.0].priority_weight = 4.0;
    let mut fleet = new_fleet(&settings);
    let mut free_at = ms(0);
    let mut in_service = Vec::new();
    let mut sent = [0.0; 2];
    let mut in_time = [0.0; 2];
    for step in 0..2_500u64 {
        let receiving_instance = pseudo_random(3 * step, 100) as usize;
        let class = if pseudo_random(3 * step + 1, 100) < 40 { UNIQUE_WRITE } else { BOUNDED_READ };
        for (instance, harness) in fleet.iter_mut().enumerate() {
            harness.now += ms(10);
            let now = harness.now;
            if instance == receiving_instance {
                sent[usize::from(class == UNIQUE_WRITE)] += one_if(step > 500);
                harness.submit(class);
            } else {
                harness.step(Vec::new());
            }
            for attempt in std::mem::take(&mut harness.in_flight) {
                // No replica reports its position, so a replica declines a write without a status.
                if attempt.server != PRIMARY {
                    harness.end_attempt(attempt, Outcome::Misdirected, None, ms(0));
                    continue;
                }
                free_at = free_at.max(now) + Duration::from_micros(16_667);
                in_service.push(AttemptInService { done_at: free_at, sent_at: now, instance, attempt });
            }
        }
        let now = fleet[0].now;
        for done in in_service.extract_if(.., |end| end.done_at <= now) {
            let harness = &mut fleet[done.instance];
            let is_write = harness.classes.get(&done.attempt.request) == Some(&UNIQUE_WRITE);
            in_time[usize::from(is_write)] += one_if(now - done.sent_at <= ms(500) && step > 500);
            harness.end_attempt(done.attempt, Outcome::Success, Some(true), ms(0));
        }
    }
    InTimeShares { writes: in_time[1] / sent[1], reads: in_time[0] / sent[0] }
}

/// A single instance has too few observations to see that the primary is slow.
#[test]
fn reads_leave_the_capacity_of_an_overloaded_primary_to_writes() {
    let InTimeShares { writes, reads } = in_time_shares_at_overloaded_primary();
    assert!(writes > 0.8, "{writes} of the writes in time, {reads} of the reads");
    assert!(
        reads > 0.1,
        "{reads} of the reads in time, although the primary has capacity besides {writes} of the writes"
    );
}
