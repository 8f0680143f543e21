//! Events that the caller passes to the engine.

use std::time::Duration;

use super::attempt::{AttemptEnded, LoadReport, ServerStatus};
use super::endpoint::EndpointUpdate;
use super::ids::{AttemptNumber, RequestId, ServerId, TimerId};
use super::peer_message::PeerMessage;
use super::request::Request;
use super::settings::Settings;
use super::snapshot::StateSnapshot;

/// An event that the caller observed.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Discovery sent an update.
    Endpoints(EndpointUpdate),
    /// Operators took a server out of service. It drains, regardless of its state in the endpoint list, until
    /// they return it to service.
    TakenOutOfService(ServerId),
    /// Operators returned a server to service. Its process may have restarted in the meantime.
    ReturnedToService(ServerId),
    /// New settings, which apply to requests that arrive from now on. They must keep the index of every class
    /// that open requests use.
    Settings(Box<Settings>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A write of a session was committed at this time or earlier, as its response says after the attempt has
    /// ended.
    WriteCommitted {
        /// Name of the session.
        session: String,
        /// Commit position, or an upper bound of it.
        commit: Duration,
    },
    /// A server sent its status in the response to a health check, or in the end of a response that arrived
    /// after its attempt had ended.
    StatusReported {
        /// Server that sent the status.
        server: ServerId,
        /// Status that the server sent.
        status: ServerStatus,
        /// Time at which the attempt or the health check was sent.
        sent_at: Duration,
    },
    /// The first part of a streamed response was forwarded to the client, so the request can no longer be
    /// retried.
    StreamStarted {
        /// Request whose response is streamed.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: AttemptNumber,
    },
    /// A health check ended.
    HealthChecked {
        /// Server that was checked.
        server: ServerId,
        /// Whether the server passed the check.
        ok: bool,
        /// Load report that arrived with the response, if any.
        load_report: Option<LoadReport>,
    },
    /// The predecessor process of this proxy instance handed over its state.
    SnapshotReceived(Box<StateSnapshot>),
    /// The peer process, which serves for the same proxy instance, sent a message, the channel to it changed
    /// state, or this process was paused.
    PeerMessage(PeerMessage),
    /// A timer expired.
    Timer(TimerId),
    /// The client closed its connection.
    ClientDisconnected(RequestId),
    /// Another proxy instance sent a gossip message.
    Gossip {
        /// Index of the sender.
        from: u32,
        /// Encoded message.
        bytes: Vec<u8>,
    },
}
