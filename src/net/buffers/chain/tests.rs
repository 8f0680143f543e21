//! Tests of `chain`.

use rstest::rstest;

use super::super::test_support::Random;
use super::super::{BufferPool, Purpose, BUFFER_BYTES};

/// Number of operations on a chain for each seed.
const OPERATIONS: usize = 4000;
/// Largest number of bytes that an operation appends or removes.
const MAX_OPERATION_BYTES: u64 = 3 * BUFFER_BYTES as u64;

fn content(chain: &super::BufferChain) -> Vec<u8> {
    let mut bytes = Vec::new();
    chain.copy(0..chain.len(), &mut bytes);
    bytes
}

/// Guards against bytes that are lost, repeated or moved by one of the operations, in whatever order they come.
#[rstest]
fn a_chain_holds_the_same_bytes_as_a_vector(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let pool = BufferPool::new(1 << 20);
    let mut random = Random(seed);
    let mut chain = pool.chain();
    let mut expected = Vec::new();
    let mut next_byte = 0u8;
    for _ in 0..OPERATIONS {
        let count = random.below(MAX_OPERATION_BYTES as usize);
        match random.below(6) {
            0 | 1 => {
                let bytes: Vec<_> = (0..count).map(|index| next_byte.wrapping_add(index as u8)).collect();
                next_byte = next_byte.wrapping_add(101);
                chain.extend(&bytes);
                expected.extend(bytes);
            }
            2 => {
                let front = chain.split_to(count);
                let expected_front: Vec<_> = expected.drain(..count.min(expected.len())).collect();
                assert_eq!(content(&front), expected_front);
            }
            3 => {
                chain.remove_front(count);
                expected.drain(..count.min(expected.len()));
            }
            4 => {
                let start = random.below(expected.len() + 1);
                let end = expected.len().min(start + count);
                chain.remove(start..end);
                expected.drain(start..end);
            }
            _ => {
                let len = expected.len().saturating_sub(count / 2);
                chain.truncate(len);
                expected.truncate(len);
            }
        }
        assert_eq!(content(&chain), expected);
        assert_eq!(chain.len(), expected.len());
    }
    drop(chain);
    assert_eq!(pool.idle_buffers() * BUFFER_BYTES, pool.usage().allocated_bytes);
}

/// Guards against a chain that reads into more memory than was reserved for it.
#[test]
fn a_chain_is_full_behind_its_first_buffer_until_more_is_reserved() {
    let pool = BufferPool::new(1 << 20);
    let mut chain = pool.chain();
    chain.extend(&[7; BUFFER_BYTES]);
    assert!(chain.is_full());
    assert!(chain.try_reserve(2 * BUFFER_BYTES, Purpose::Answer));
    assert_eq!(chain.free_bytes(), 2 * BUFFER_BYTES);
    chain.remove_front(BUFFER_BYTES - 4);
    assert_eq!(chain.free_bytes(), 3 * BUFFER_BYTES - 4);
}
