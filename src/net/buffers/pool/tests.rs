//! Tests of `pool`.

use super::super::{BufferPool, Purpose, BUFFER_BYTES};
use super::BUFFER_COST_BYTES;

/// Number of buffers of the pool under test.
const POOL_BUFFERS: usize = 100;

fn pool() -> BufferPool {
    BufferPool::new(POOL_BUFFERS * BUFFER_COST_BYTES)
}

/// Guards against a charge that ends before its bytes go: they were moved to another chain.
#[test]
fn a_charge_stays_with_its_buffers_until_they_are_released() {
    let pool = pool();
    let mut chain = pool.chain();
    assert!(chain.try_reserve(10 * BUFFER_BYTES, Purpose::ReadAhead));
    chain.extend(&[1; 10 * BUFFER_BYTES]);
    let message = chain.split_to(8 * BUFFER_BYTES);
    chain.drop_reservation();
    assert_eq!(pool.usage().read_ahead_bytes, 9 * BUFFER_COST_BYTES);
    drop(chain);
    assert_eq!(pool.usage().read_ahead_bytes, 7 * BUFFER_COST_BYTES);
    drop(message);
    assert_eq!(pool.usage().read_ahead_bytes, 0);
}

/// Guards against purposes that together use more than the pool.
#[test]
fn all_purposes_together_stay_within_the_pool() {
    let pool = pool();
    let first = pool.try_reserve(70, Purpose::VeryLongMessage).expect("the only one may have three quarters");
    assert!(pool.try_reserve(1, Purpose::VeryLongMessage).is_none(), "more than the share of the purpose");
    let requests = pool.try_reserve(30, Purpose::Request).expect("the rest is free");
    assert!(pool.try_reserve(1, Purpose::Answer).is_none(), "more than the pool");
    drop(first);
    assert!(pool.try_reserve(1, Purpose::Answer).is_some());
    drop(requests);
}

/// Guards against a process that uses the buffers of the other process of a hot restart.
#[test]
fn a_process_reserves_no_more_than_its_share() {
    let pool = pool();
    pool.set_share(0.5);
    assert!(pool.try_reserve(38, Purpose::Request).is_none());
    assert!(pool.try_reserve(37, Purpose::Request).is_some());
    pool.set_share(1.0);
    assert!(pool.try_reserve(75, Purpose::Request).is_some());
}

/// Guards against the predecessor of a hot restart that keeps the memory of buffers which it no longer uses, because
/// clients that have stopped hold single buffers beside them.
#[test]
fn the_memory_of_released_buffers_returns_to_the_system_beside_stopped_clients() {
    let pool = BufferPool::new(16 << 20);
    let (mut stopped, mut answers) = (Vec::new(), Vec::new());
    for _ in 0..160 {
        let mut chain = pool.chain();
        chain.extend(&[1]);
        stopped.push(chain);
        let mut chain = pool.chain();
        assert!(chain.try_reserve(12 * BUFFER_BYTES, Purpose::Answer));
        chain.extend(&[1; 12 * BUFFER_BYTES]);
        answers.push(chain);
    }
    let in_use = pool.usage().allocated_bytes;
    pool.set_returns_idle_memory(true);
    drop(answers);
    let allocated = pool.usage().allocated_bytes;
    assert!(allocated <= in_use / 3, "{allocated} of {in_use} bytes are still allocated");
}
