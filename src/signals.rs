//! The signals that a process handles: SIGTERM and SIGINT shut it down, SIGHUP reloads its configuration.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// A graceful shutdown.
    ShutDown,
    /// A reload of the configuration.
    Reload,
}

/// The installed signal handlers. From [`Self::install`] on, a signal no longer ends the process by itself.
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
    /// Where the system refuses one of them.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. Signals that arrived since the last call are not lost.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::ShutDown,
            _ = self.interrupt.recv() => SignalRequest::ShutDown,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
