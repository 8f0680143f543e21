//! System calls that were interrupted by a signal, or found their socket not ready, and are to be made again.

use std::io;
use std::time::Duration;

use rustix::io::Errno;

/// Largest number of times that a call is made again at once.
const MAX_RETRIES: u32 = 16;

/// Returns whether the same call may succeed later: the socket was not ready, or a signal interrupted the call.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Pause after an accept that failed for lack of descriptors or memory.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);
/// Pause after an accept that failed for another reason, which as a rule concerns one connection.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Waits after a failed `accept` before the next one, so that a loop over connections neither spins nor ends.
pub async fn pause_after_accept_error(error: &io::Error) {
    let pause = if is_resource_shortage(error) { SHORTAGE_PAUSE } else { ACCEPT_ERROR_PAUSE };
    tokio::time::sleep(pause).await;
}

/// Returns whether the process or the system lacks descriptors or memory.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Makes a system call that does not wait, and makes it again if a signal interrupts it.
///
/// # Errors
///
/// Returns the error of the call; `Interrupted` only if the call is interrupted again and again.
pub fn retry_if_interrupted<T>(mut system_call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut result = system_call();
    for _ in 0..MAX_RETRIES {
        match &result {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => result = system_call(),
            _ => break,
        }
    }
    result
}
