//! Where the reads of a large fleet go.

use std::time::Duration;

use pipittack_core::api::*;

use crate::common::*;
use crate::load::*;

/// Where the requests of a fleet went.
#[derive(Default)]
struct ReadCounts {
    reads: usize,
    on_replicas: usize,
    /// Writes that a replica declined.
    declined_writes: usize,
}

/// Sends so many requests of a fleet to one group, one each 10 ms.
fn count_reads_on_replicas(instances: u32, requests: u64) -> ReadCounts {
    let mut settings = Settings { instance_count: instances, ..settings() };
    settings.classes[BOUNDED_READ.0].consistency = Consistency::BoundedStaleness(ms(3000));
    let mut fleet = fleet(&settings);
    let mix = ClassMix { writes: 30, eventual_reads: 5 };
    let mut counts = ReadCounts::default();
    for n in 0..requests {
        let caller = pseudo_random(2 * n, u64::from(instances)) as usize;
        fleet.iter_mut().for_each(|bench| bench.now += ms(10));
        let bench = &mut fleet[caller];
        let class = mix.class(2 * n + 1);
        let is_write = class == UNIQUE_WRITE;
        bench.call(class);
        counts.reads += usize::from(!is_write);
        while let Some(attempt) = bench.sent.first().copied() {
            let is_primary = attempt.server == PRIMARY;
            let is_declined = is_write && !is_primary;
            counts.on_replicas += usize::from(!is_write && !is_primary);
            counts.declined_writes += usize::from(is_declined);
            let outcome = if is_declined { Outcome::Misdirected } else { Outcome::Success };
            bench.end(outcome, Some(is_primary), if is_primary { ms(0) } else { ms(10) });
        }
    }
    counts
}

/// Otherwise no replica is known to be fresh, and the primary gets most reads.
#[test]
fn reads_of_a_large_fleet_reach_replicas_although_each_instance_seldom_gets_reports() {
    let ReadCounts { reads, on_replicas, declined_writes } = count_reads_on_replicas(100, 20_000);
    assert!(on_replicas * 2 >= reads, "{on_replicas} of {reads} on replicas");
    assert!(declined_writes * 4 <= reads, "{declined_writes} writes declined for {reads} reads");
    let ReadCounts { reads, on_replicas, declined_writes } = count_reads_on_replicas(3, 5_000);
    assert!(on_replicas * 10 >= reads * 9, "{on_replicas} of {reads} on replicas");
    assert_eq!(declined_writes, 0, "three instances get reports of all replicas anyway");
}

/// In the order of ids, all instances would send their first reads to the same replicas.
#[test]
fn instances_choose_among_replicas_without_reports_in_different_orders() {
    let replicas = 20;
    let list = || (1..=1 + replicas).map(|id| endpoint(id, id == 1)).collect();
    let mut attempts = vec![0; 2 + replicas as usize];
    for bench in &mut fleet(&large_fleet_settings()) {
        bench.step(vec![Event::Endpoints(EndpointUpdate::Full(list()))]);
        for _ in 0..2 {
            for server in forwarded_to(&bench.call(EVENTUAL_READ)) {
                attempts[server as usize] += 1;
            }
        }
    }
    let all = attempts.iter().sum::<usize>();
    let most = attempts.iter().max().copied().unwrap_or(0);
    assert!(all >= 180 && most * replicas as usize <= 4 * all, "{most} of {all} at one server: {attempts:?}");
}

/// Without gossip, load shedding pools the reads of all groups.
#[test]
fn an_overloaded_group_causes_no_rejection_of_reads_that_a_replica_of_another_group_can_serve() {
    let overloaded_server = ServerId(4);
    let mut settings = large_fleet_settings();
    settings.classes[BOUNDED_READ.0].consistency = Consistency::BoundedStaleness(ms(6000));
    let mut bench = Bench::new(settings);
    let mut list = endpoint_list();
    list.push(Endpoint { group: GroupId(2), ..endpoint(overloaded_server.0, true) });
    bench.step(vec![Event::Endpoints(EndpointUpdate::Full(list))]);
    bench.report_all(ms(10));
    let mut rejected = 0;
    let mut rejected_in_overloaded_group = 0;
    for round in 0..280 {
        for _ in 0..3 {
            let request = Request { group: GroupId(2), ..bench.request(BOUNDED_READ) };
            rejected_in_overloaded_group += rejection_count(&bench.step(vec![Event::Request(request)]));
        }
        bench.now += ms(400);
        if round % 10 == 9 {
            // Only this read counts: queued reads of the other group may expire in the same step.
            let request = bench.request(BOUNDED_READ);
            let id = request.id;
            let is_rejection =
                |action: &&Action| matches!(action, Action::Reject { request, .. } if *request == id);
            rejected += bench.step(vec![Event::Request(request)]).iter().filter(is_rejection).count();
        }
        bench.now += ms(10);
        while let Some(attempt) = bench.sent.pop() {
            let is_overloaded = attempt.server == overloaded_server;
            let outcome = if is_overloaded { Outcome::Timeout } else { Outcome::Success };
            let is_primary = Some(attempt.server == PRIMARY).filter(|_| !is_overloaded);
            bench.end_attempt(attempt, outcome, is_primary, ms(10));
        }
    }
    assert!(
        rejected_in_overloaded_group >= 280,
        "{rejected_in_overloaded_group} of 840 rejected where all are late"
    );
    assert_eq!(rejected, 0, "of 28, rejected where a replica has capacity");
}

/// An attempt that the primary works on.
struct AttemptInService {
    done_at: Duration,
    sent_at: Duration,
    instance: usize,
    attempt: SentAttempt,
}

/// Shares of requests that are served within their latency objective.
struct InTimeShares {
    writes: f64,
    reads: f64,
}

/// A hundred instances send a group 40 writes and 60 reads a second that only its primary may serve. It serves 60 of
/// both, in the order in which they come. Counts from 5 s on.
fn overload_primary() -> InTimeShares {
    let mut settings = large_fleet_settings();
    settings.classes[UNIQUE_WRITE.0].priority_weight = 4.0;
    let mut fleet = fleet(&settings);
    let mut free_at = ms(0);
    let mut in_service = Vec::new();
    let mut sent = [0.0; 2];
    let mut in_time = [0.0; 2];
    for step in 0..2_500u64 {
        let caller = pseudo_random(3 * step, 100) as usize;
        let class = if pseudo_random(3 * step + 1, 100) < 40 { UNIQUE_WRITE } else { BOUNDED_READ };
        for (instance, bench) in fleet.iter_mut().enumerate() {
            bench.now += ms(10);
            let now = bench.now;
            if instance == caller {
                sent[usize::from(class == UNIQUE_WRITE)] += one_if(step > 500);
                bench.call(class);
            } else {
                bench.step(Vec::new());
            }
            for attempt in std::mem::take(&mut bench.sent) {
                // No replica reports its position, so a write that asks for it is declined without one.
                if attempt.server != PRIMARY {
                    bench.end_attempt(attempt, Outcome::Misdirected, None, ms(0));
                    continue;
                }
                free_at = free_at.max(now) + Duration::from_micros(16_667);
                in_service.push(AttemptInService { done_at: free_at, sent_at: now, instance, attempt });
            }
        }
        let now = fleet[0].now;
        for done in in_service.extract_if(.., |end| end.done_at <= now) {
            let bench = &mut fleet[done.instance];
            let is_write = bench.classes.get(&done.attempt.request) == Some(&UNIQUE_WRITE);
            in_time[usize::from(is_write)] += one_if(now - done.sent_at <= ms(500) && step > 500);
            bench.end_attempt(done.attempt, Outcome::Success, Some(true), ms(0));
        }
    }
    InTimeShares { writes: in_time[1] / sent[1], reads: in_time[0] / sent[0] }
}

/// No instance alone sees that the primary is slow.
#[test]
fn reads_leave_the_capacity_of_an_overloaded_primary_to_writes() {
    let InTimeShares { writes, reads } = overload_primary();
    assert!(writes > 0.8, "{writes} of the writes in time, {reads} of the reads");
    assert!(reads > 0.1, "{reads} of the reads in time where there is room beside {writes} of the writes");
}
