//! Tests of the search for the primary by strong reads.

use pipittack_core::api::*;

use crate::common::*;

/// Class of strong reads.
const STRONG_READ: ClassId = ClassId(5);

/// Returns settings with a class of strong reads. `health_checks_tell_role` says whether health checks are of use.
fn strong_settings(health_checks_tell_role: bool) -> Settings {
    with_strong_reads(Settings { health_checks_tell_role, ..settings() })
}

/// Adds a class of strong reads, and permits health checks.
fn with_strong_reads(mut settings: Settings) -> Settings {
    let strong = Class { consistency: Consistency::Linearizable, ..settings.classes[BOUNDED_READ.0] };
    settings.classes.push(strong);
    settings.limits.allow_health_checks = true;
    settings
}

/// Returns the servers that are checked by these actions.
fn checked_servers(actions: &[Action]) -> Vec<u32> {
    let checked = actions.iter().filter_map(|action| match action {
        Action::HealthCheck { server } => Some(server.0),
        _ => None,
    });
    checked.collect()
}

/// Ends an attempt at the primary with a response that says that the server is a replica.
fn depose_primary(harness: &mut Harness) {
    assert_eq!(forwarded_to(&harness.submit(STRONG_READ)), [1]);
    harness.end_oldest(Outcome::Success, Some(false), ms(0));
}

fn told(harness: &Harness, server: u32, is_primary: bool) -> Event {
    let status = ServerStatus { position: None, primary: Some(is_primary) };
    Event::StatusReported { server: ServerId(server), status, sent_at: harness.now }
}

/// Guards against strong reads that are rejected until a write finds the new primary.
#[test]
fn a_strong_read_without_a_primary_probes_the_members_and_is_sent_to_the_one_that_is_the_primary() {
    let mut harness = Harness::new(strong_settings(true));
    depose_primary(&mut harness);
    let actions = harness.submit(STRONG_READ);
    let (mut checked, mut sent) = (checked_servers(&actions), forwarded_to(&actions));
    for _ in 0..20 {
        let actions = harness.advance(ms(5));
        checked.extend(checked_servers(&actions));
        sent.extend(forwarded_to(&actions));
    }
    checked.sort_unstable();
    assert_eq!((&checked[..], &sent[..]), (&[1, 2, 3][..], &[][..]), "each member is probed once in 100 ms");
    let event = told(&harness, 3, true);
    assert_eq!(forwarded_to(&harness.step(vec![event])), [3]);
}

/// Guards against probes that cost the data servers work and tell nothing.
#[test]
fn a_strong_read_probes_no_member_with_a_primary_or_without_use() {
    let mut with_primary = Harness::new(strong_settings(true));
    assert_eq!(checked_servers(&with_primary.submit(STRONG_READ)), []);
    let mut without_use = Harness::new(strong_settings(false));
    depose_primary(&mut without_use);
    let mut actions = without_use.submit(STRONG_READ);
    (0..20).for_each(|_| actions.extend(without_use.advance(ms(5))));
    assert_eq!(checked_servers(&actions), []);
}

/// Submits strong reads for a second, and answers each probe with the role of a replica. Returns how often each server was
/// probed.
fn count_probes(harness: &mut Harness) -> [usize; 3] {
    let (mut checked, mut unanswered) = (Vec::<u32>::new(), Vec::<u32>::new());
    for _ in 0..200 {
        let events = unanswered.drain(..).map(|server| told(harness, server, false)).collect();
        let mut actions = harness.step(events);
        actions.extend(harness.submit(STRONG_READ));
        actions.extend(harness.advance(ms(5)));
        unanswered = checked_servers(&actions);
        checked.extend(&unanswered);
    }
    [1, 2, 3].map(|server| checked.iter().filter(|checked| **checked == server).count())
}

/// Guards against probes at the rate of the reads that wait.
#[test]
fn a_member_is_probed_every_250_ms_at_most_however_many_strong_reads_wait() {
    let mut harness = Harness::new(strong_settings(true));
    depose_primary(&mut harness);
    let counts = count_probes(&mut harness);
    assert!(counts.iter().all(|count| (3..=5).contains(count)), "{counts:?} probes in a second");
}

/// Guards against a fleet whose probes together overload a data server.
#[test]
fn an_instance_of_a_large_fleet_probes_a_member_once_a_second_at_most() {
    let settings = Settings { health_checks_tell_role: true, ..large_fleet_settings() };
    let mut harness = Harness::new(with_strong_reads(settings));
    depose_primary(&mut harness);
    let counts = count_probes(&mut harness);
    assert!(counts.iter().all(|count| (1..=2).contains(count)), "{counts:?} probes in a second");
}
