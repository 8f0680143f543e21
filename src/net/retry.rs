//! System calls that were interrupted by a signal, or found their socket not ready, and are to be made again.

use std::io;

/// Largest number of times that a call is made again at once.
const MAX_RETRIES: u32 = 16;

/// Returns whether the same call may succeed later: the socket was not ready, or a signal interrupted the call.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
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
