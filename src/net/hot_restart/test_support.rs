//! Recorded payloads and a function to send raw bytes, shared by the tests of several modules.

use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::os::fd::AsFd;

use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use tokio::net::UnixStream;

pub(super) const HELLO: &[u8] = br#"{"version":2,"name":"gw-a"}"#;
pub(super) const STATE_FULL: &[u8] = include_bytes!("../../../tests/fixtures/handover/state_full.json");

/// Sends raw bytes, with a descriptor at the first byte if `has_descriptor` is set.
pub(super) fn send_raw(stream: &UnixStream, bytes: &[u8], has_descriptor: bool) {
    let descriptors = [stream.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if has_descriptor {
        assert!(control.push(SendAncillaryMessage::ScmRights(&descriptors)));
    }
    let sent = sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL);
    assert_eq!(sent.ok(), Some(bytes.len()));
}
