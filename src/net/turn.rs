//! Bounds what a task does for one peer before all other tasks run.
//!
//! All tasks share one thread, and a peer may send as fast as the proxy reads. Every loop over a peer's input
//! therefore charges its work to the turn of its task: each system call, and each message. Reading, writing and
//! taking a message off a connection do so themselves, so that a loop cannot leave it out. Once a turn is used
//! up, the task yields: all other tasks and sockets are polled before it continues.
//!
//! The turn is the cooperative budget of the runtime, which each task gets anew whenever it is polled. This
//! module holds no state.

use tokio::task::coop;

/// Units of the runtime's budget that one system call costs. The runtime grants 128 units a turn.
const SYSTEM_CALL_UNITS: u32 = 4;
/// Units of the runtime's budget that one message costs. A turn handles at most 16 messages.
const MESSAGE_UNITS: u32 = 8;

/// Work for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// A system call: a read, a write, or an accepted connection.
    SystemCall,
    /// A message, a line or a frame that was received completely.
    Message,
}

/// Charges `work` to the turn of the current task. Yields first if the turn is used up.
pub async fn charge(work: Work) {
    let units = match work {
        Work::SystemCall => SYSTEM_CALL_UNITS,
        Work::Message => MESSAGE_UNITS,
    };
    for _ in 0..units {
        coop::consume_budget().await;
    }
}

#[cfg(test)]
mod tests;
