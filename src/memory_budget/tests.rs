//! Tests of `memory_budget`.

use rstest::rstest;

use super::{MemoryBudget, MIN_MEMORY_MB};

/// Number of clients that 1,024 descriptors admit.
const CLIENTS: usize = 856;

/// Guards against a part that is added to the budget and does not come out of the limit.
#[rstest]
#[case::least(MIN_MEMORY_MB)]
#[case::small(32)]
#[case::usual(192)]
#[case::large(2048)]
fn all_parts_together_stay_below_the_limit(#[case] memory_mb: u64) {
    let budget = MemoryBudget::with_clients(memory_mb, CLIENTS);
    assert!(budget.sum() <= budget.limit / 10 * 9, "{budget:?}, {} bytes", budget.sum());
    let is_least = memory_mb == MIN_MEMORY_MB;
    assert!(budget.max_clients >= if is_least { 600 } else { CLIENTS }, "{budget:?}");
}

/// Guards against a limit that leaves no memory for messages.
#[test]
fn fewer_clients_are_admitted_where_memory_is_short() {
    let budget = MemoryBudget::with_clients(MIN_MEMORY_MB, 10_000);
    assert!(budget.max_clients < 10_000);
    assert!(budget.pool >= budget.limit / 10 * 9 / 100 * 20, "{budget:?}");
}
