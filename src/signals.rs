//! Signal handling: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Operation that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// A graceful shutdown (SIGTERM or SIGINT).
    ShutDown,
    /// A reload of the configuration (SIGHUP).
    Reload,
}

/// The installed signal handlers. After [`Self::install`], these signals no longer terminate the process by
/// default.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system rejects a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. A signal that arrives between two calls is not lost.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::ShutDown,
            _ = self.interrupt.recv() => SignalRequest::ShutDown,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
