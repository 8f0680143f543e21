//! Link to the peer process while both processes serve during a hot restart.

use std::cell::RefCell;
use std::rc::Rc;

use crate::api::PeerMessage;

/// A link to the peer process.
pub trait PeerLink {
    /// Sends a message. If the message cannot be delivered, the link tells the peer before this returns, so
    /// that the peer treats the writes of this process as unknown.
    fn send(&self, message: &PeerMessage);
    /// Notifies the peer that no more messages follow.
    fn close(&self);
    /// Returns all messages that have arrived since the last call, in order.
    fn receive(&self) -> Vec<PeerMessage>;
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

    /// Returns all messages that have arrived since the last call; none without a peer.
    pub(super) fn receive(&self) -> Vec<PeerMessage> {
        self.link().map(|link| link.receive()).unwrap_or_default()
    }
}
