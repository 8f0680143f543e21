//! Tests of `server_throughput`.

use super::*;

const CONFIG: EwmaConfig = EwmaConfig { max_weight: 10.0, decay_secs: 10.0, prior_weight: 2.0 };

#[test]
fn the_estimate_is_the_higher_rate_of_all_servers_and_of_primaries() {
    let mut throughput = ServerThroughput::new(100);
    assert!((throughput.per_server() - 0.02).abs() < 1e-9);
    // For 60 s, three primaries give 3 responses a second, and nine replicas 2 responses a second.
    for n in 0..300 {
        throughput.advance(0.2, WarmCapacity { all: 12.0, primaries: 3.0 }, &CONFIG);
        throughput.record_response(n % 5 < 3);
    }
    assert!((0.9..1.1).contains(&throughput.per_server()), "{}", throughput.per_server());
    assert!((4.5..5.5).contains(&throughput.total(&CONFIG)), "{}", throughput.total(&CONFIG));
    // Then one replica serves all requests, and four primaries none.
    for _ in 0..600 {
        throughput.advance(0.2, WarmCapacity { all: 5.0, primaries: 4.0 }, &CONFIG);
        throughput.record_response(false);
    }
    assert!((0.9..1.1).contains(&throughput.per_server()), "{}", throughput.per_server());
}
