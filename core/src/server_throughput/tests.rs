//! Tests of `server_throughput`.

use super::*;

const MEMORY: EwmaConfig = EwmaConfig { max_weight: 10.0, decay_secs: 10.0, prior_weight: 2.0 };

#[test]
fn the_busier_kind_of_server_tells_what_one_manages() {
    let mut pace = ServerThroughput::new(100);
    assert!((pace.per_server() - 0.02).abs() < 1e-9);
    // For 60 s: each second 3 answers of three primaries, and 2 of nine replicas.
    for n in 0..300 {
        pace.advance(0.2, (12.0, 3.0), &MEMORY);
        pace.record_response(n % 5 < 3);
    }
    assert!((0.9..1.1).contains(&pace.per_server()), "{}", pace.per_server());
    assert!((4.5..5.5).contains(&pace.total(&MEMORY)), "{}", pace.total(&MEMORY));
    // Where replicas serve most, they count.
    for _ in 0..600 {
        pace.advance(0.2, (5.0, 4.0), &MEMORY);
        pace.record_response(false);
    }
    assert!((0.9..1.1).contains(&pace.per_server()), "{}", pace.per_server());
}
