//! Link to the peer process while both processes serve during a hot restart.

use std::cell::RefCell;
use std::rc::Rc;

use crate::api::PeerMessage;

/// What has arrived from the peer process.
#[derive(Debug, Default)]
pub struct ReceivedFromPeer {
    /// Messages for the routing engine.
    pub messages: Vec<PeerMessage>,
    /// Ids of requests that the peer may have executed.
    pub executed_ids: Vec<String>,
}

/// A link to the peer process.
pub trait PeerLink {
    /// Sends a message. If the message cannot be delivered, the link tells the peer before this returns, so
    /// that the peer treats the writes of this process as unknown.
    fn send(&self, message: &PeerMessage);
    /// Notifies the peer that no more messages follow.
    fn close(&self);
    /// Notifies the peer that a request with this id may be executed from now on. Does nothing if the peer
    /// does not know of such ids.
    fn send_executed_id(&self, client_request_id: &str);
    /// Returns all that has arrived since the last call, in order.
    fn receive(&self) -> ReceivedFromPeer;
}

/// Holds the link to the peer process, if there is one. The slot is not borrowed while a method of the link
/// runs.
#[derive(Default)]
pub(super) struct PeerLinkSlot(RefCell<Option<Rc<dyn PeerLink>>>);

impl PeerLinkSlot {
    pub(super) fn connect(&self, link: Rc<dyn PeerLink>) {
        self.0.replace(Some(link));
    }

    pub(super) fn disconnect(&self) -> Option<Rc<dyn PeerLink>> {
        self.0.take()
    }

    pub(super) fn link(&self) -> Option<Rc<dyn PeerLink>> {
        self.0.borrow().clone()
    }

    /// Returns all that has arrived since the last call; nothing without a peer.
    pub(super) fn receive(&self) -> ReceivedFromPeer {
        self.link().map(|link| link.receive()).unwrap_or_default()
    }
}
