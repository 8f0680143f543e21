use super::*;

#[test]
fn a_fault_affects_only_its_links_and_only_until_it_ends() {
    let mut links = LinkFaults::default();
    let ends = vec![LinkEnd::Server(1), LinkEnd::Discovery];
    links.inject(vec![0, 2], ends, LinkFault::DropResponses, 5.0);
    links.inject(vec![2], vec![LinkEnd::Server(1)], LinkFault::Delay(0.2), 9.0);
    let both = links.state(2, LinkEnd::Server(1), 4.0);
    assert_eq!(both, LinkState { responses_dropped: true, delay_s: 0.2, ..LinkState::default() });
    assert!(links.state(1, LinkEnd::Server(1), 4.0).is_open());
    assert!(links.state(0, LinkEnd::Server(0), 4.0).is_open());
    assert!(!links.state(0, LinkEnd::Discovery, 4.0).is_open());
    let delayed = LinkState { delay_s: 0.2, ..LinkState::default() };
    assert_eq!(links.state(2, LinkEnd::Server(1), 6.0), delayed);
}
