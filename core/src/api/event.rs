//! What the engine is fed.

use super::attempt::{AttemptEnded, LoadReport};
use super::endpoint::EndpointUpdate;
use super::ids::{AttemptNumber, RequestId, ServerId, TimerId};
use super::peer_message::PeerMessage;
use super::request::Request;
use super::settings::Settings;
use super::snapshot::StateSnapshot;

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Discovery reported.
    Endpoints(EndpointUpdate),
    /// Operators took a server out of service: it drains, whatever the endpoint list says, until they return
    /// it.
    TakenOutOfService(ServerId),
    /// Operators returned a server to service; its process may have been restarted.
    ReturnedToService(ServerId),
    /// New settings for requests that come from now on. A class that an open request has keeps its index.
    Settings(Box<Settings>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The first part of a streamed response was passed on: the request can't be retried any more.
    StreamStarted {
        /// Its request.
        request: RequestId,
        /// Its number.
        attempt: AttemptNumber,
    },
    /// A health check ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// It answered.
        ok: bool,
        /// The load report that came back.
        load_report: Option<LoadReport>,
    },
    /// The predecessor process of this instance handed over its state.
    SnapshotReceived(Box<StateSnapshot>),
    /// The peer process of this instance, which serves as well, sent a message.
    PeerMessage(PeerMessage),
    /// A timer came due.
    Timer(TimerId),
    /// The client closed its connection.
    ClientGone(RequestId),
    /// Another proxy instance sent a gossip message.
    Gossip {
        /// Its index.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
