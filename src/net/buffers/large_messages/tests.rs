//! Tests of `large_messages`.

use super::super::pool::{BufferPool, BUFFER_COST_BYTES};
use super::super::purpose::Purpose;
use super::super::reservation::BufferReservation;
use super::super::test_support::Random;
use super::STEP_BUFFERS;

/// Number of buffers of the pool under test.
const POOL_BUFFERS: usize = 4000;
/// Number of sequences of messages.
const SEEDS: u64 = 40;
/// Number of messages of a sequence, and of those that are received at the same time.
const MESSAGES: usize = 200;
const MAX_CONCURRENT: usize = 40;
/// Largest number of rounds that a sequence may take.
const MAX_ROUNDS: usize = 20_000;

fn pool() -> BufferPool {
    BufferPool::new(POOL_BUFFERS * BUFFER_COST_BYTES)
}

/// A message that is received, and the rounds for which it is in flight once it is complete.
struct Message {
    reservation: BufferReservation,
    rounds_in_flight: usize,
}

/// Reserves all buffers of a message; returns `None` if a step is not admitted.
fn receive(pool: &BufferPool, buffers: usize) -> Option<BufferReservation> {
    let mut reservation = pool.begin_large_message(buffers)?;
    while reservation.has_further_steps() {
        if !reservation.try_next_step() {
            return None;
        }
    }
    Some(reservation)
}

/// Guards against messages that each hold a part of the buffers and wait for each other: whatever their lengths and the
/// order of their steps, all are received, and they stay within the limit. Very long messages come in between, and at
/// times another process uses half of the pool.
#[test]
fn large_messages_never_block_each_other() {
    (1..=SEEDS).for_each(receive_messages_of_seed);
}

fn receive_messages_of_seed(seed: u64) {
    let pool = pool();
    let mut random = Random(seed);
    let (mut begun, mut completed) = (0, 0);
    let mut messages: Vec<Message> = Vec::new();
    let mut very_long: Vec<BufferReservation> = Vec::new();
    for _ in 0..MAX_ROUNDS {
        if begun < MESSAGES && messages.len() < MAX_CONCURRENT {
            let buffers = 1 + random.below(POOL_BUFFERS / 3);
            pool.set_share(1.0);
            let reservation = pool.begin_large_message(buffers).expect("the pool is large enough");
            messages.push(Message { reservation, rounds_in_flight: random.below(5) });
            begun += 1;
        }
        if random.below(20) == 0 {
            very_long.extend(pool.try_reserve(1 + random.below(POOL_BUFFERS / 2), Purpose::VeryLongMessage));
        }
        if random.below(10) == 0 {
            very_long.pop();
        }
        if random.below(50) == 0 {
            pool.set_share(0.5);
        }
        let index = random.below(messages.len());
        for offset in 0..messages.len() {
            let count = messages.len();
            let message = &mut messages[(index + offset) % count];
            if message.reservation.has_further_steps() {
                message.reservation.try_next_step();
            }
        }
        messages.retain_mut(|message| {
            if message.reservation.has_further_steps() {
                return true;
            }
            let is_done = message.rounds_in_flight == 0;
            completed += usize::from(is_done);
            message.rounds_in_flight = message.rounds_in_flight.saturating_sub(1);
            !is_done
        });
        assert!(pool.total_reserved() <= POOL_BUFFERS);
        if completed == MESSAGES {
            return;
        }
    }
    panic!("seed {seed}: {completed} of {MESSAGES} messages were received");
}

/// Guards against long messages that leave no buffers to shorter ones.
#[test]
fn longer_messages_leave_buffers_to_shorter_ones() {
    let pool = pool();
    let mut long: Vec<_> = (0..10).filter_map(|_| pool.begin_large_message(POOL_BUFFERS / 4)).collect();
    while long.iter_mut().any(BufferReservation::try_next_step) {}
    assert!(receive(&pool, POOL_BUFFERS / 20).is_some());
}

/// Guards against a very long message that takes the buffers with which a large one could be completed.
#[test]
fn a_very_long_message_leaves_buffers_to_those_that_have_begun() {
    let pool = pool();
    let mut message = pool.begin_large_message(POOL_BUFFERS / 2).expect("the pool is large enough");
    assert!(message.try_next_step());
    assert!(pool.try_reserve(POOL_BUFFERS / 2, Purpose::VeryLongMessage).is_none());
    while message.has_further_steps() {
        assert!(message.try_next_step());
    }
}

/// Guards against complete messages that exceed the queues of their data servers.
#[test]
fn a_part_of_the_messages_is_complete_at_a_time() {
    let pool = pool();
    let buffers = 2 * STEP_BUFFERS;
    let complete: Vec<_> = std::iter::from_fn(|| receive(&pool, buffers)).collect();
    assert_eq!(complete.len(), POOL_BUFFERS * 3 / 10 / buffers);
    let mut waiting = pool.begin_large_message(buffers).expect("the pool is large enough");
    assert!(waiting.try_next_step() && !waiting.try_next_step());
    drop(complete);
    assert!(waiting.try_next_step());
}
