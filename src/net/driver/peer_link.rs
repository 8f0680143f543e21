//! The link to the peer process during a hot restart, while both processes serve.

use std::cell::RefCell;
use std::rc::Rc;

use crate::api::PeerMessage;

/// A link to the peer process.
pub trait PeerLink {
    /// Sends a message. If it cannot be delivered, the peer treats this process's writes as unknown by the
    /// time this returns.
    fn send(&self, message: &PeerMessage);
    /// Tells the peer that no more messages follow.
    fn close(&self);
    /// Takes all messages that have arrived.
    fn receive(&self) -> Vec<PeerMessage>;
}

/// Holds the link while there is a peer process. No borrow lasts while a link is called.
#[derive(Default)]
pub(super) struct PeerSlot(RefCell<Option<Rc<dyn PeerLink>>>);

impl PeerSlot {
    pub(super) fn connect(&self, link: Rc<dyn PeerLink>) {
        self.0.replace(Some(link));
    }

    pub(super) fn disconnect(&self) -> Option<Rc<dyn PeerLink>> {
        self.0.take()
    }

    pub(super) fn link(&self) -> Option<Rc<dyn PeerLink>> {
        self.0.borrow().clone()
    }

    /// Takes all messages that have arrived; none without a peer.
    pub(super) fn receive(&self) -> Vec<PeerMessage> {
        self.link().map(|link| link.receive()).unwrap_or_default()
    }
}
