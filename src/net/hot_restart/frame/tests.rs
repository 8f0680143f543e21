//! Compatibility of the frame format, which a predecessor and a successor of different builds share: compares
//! the code with frames that were recorded at commit 985872a.

use std::os::fd::AsFd;

use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

use super::{receive, send, Frame, FrameError, FrameKind};
use crate::net::hot_restart::test_support::{send_raw, HELLO, STATE_FULL};

/// A recorded frame: its header and its payload.
struct Recorded {
    kind: FrameKind,
    header: &'static [u8; 9],
    payload: &'static [u8],
    has_descriptor: bool,
}

const RECORDED: [Recorded; 9] = [
    Recorded {
        kind: FrameKind::Hello,
        header: b"G\0\0\0\x1b\xf6\x17\xc0\xe6",
        payload: HELLO,
        has_descriptor: false,
    },
    Recorded { kind: FrameKind::Listener, header: b"D\0\0\0\0\0\0\0\0", payload: b"", has_descriptor: true },
    Recorded {
        kind: FrameKind::PeerChannel,
        header: b"W\0\0\0\0\0\0\0\0",
        payload: b"",
        has_descriptor: true,
    },
    Recorded {
        kind: FrameKind::HandoverState,
        header: b"S\0\0\x03\x84A\0\xc8\xb7",
        payload: STATE_FULL,
        has_descriptor: false,
    },
    Recorded { kind: FrameKind::Ready, header: b"R\0\0\0\0\0\0\0\0", payload: b"", has_descriptor: false },
    Recorded {
        kind: FrameKind::ClientLimit,
        header: b"P\0\0\0\x04\xa4\xb8\xe6\x95",
        payload: b"\0\0\x03\xe8",
        has_descriptor: false,
    },
    Recorded {
        kind: FrameKind::ServesInParallel,
        header: b"A\0\0\0\0\0\0\0\0",
        payload: b"",
        has_descriptor: false,
    },
    Recorded {
        kind: FrameKind::Client,
        header: b"C\0\0\0\x01\xa5\x05\xdf\x1b",
        payload: b"\x01",
        has_descriptor: true,
    },
    Recorded {
        kind: FrameKind::Client,
        header: b"C\0\0\0\x01\xd2\x02\xef\x8d",
        payload: b"\0",
        has_descriptor: true,
    },
];

impl Recorded {
    fn bytes(&self) -> Vec<u8> {
        [self.header, self.payload].concat()
    }
}

/// Sends one frame and returns the raw bytes that were written to the stream.
async fn sent_bytes(recorded: &Recorded) -> Vec<u8> {
    let (sender, mut receiver) = UnixStream::pair().expect("socket pair is created");
    let descriptor = recorded.has_descriptor.then(|| sender.as_fd());
    send(&sender, recorded.kind, recorded.payload, descriptor).await.expect("frame is sent");
    drop(sender);
    let mut bytes = Vec::new();
    receiver.read_to_end(&mut bytes).await.expect("stream ends");
    bytes
}

/// Receives one frame from raw bytes.
async fn receive_bytes(bytes: &[u8], has_descriptor: bool) -> Result<Frame, FrameError> {
    let (sender, receiver) = UnixStream::pair().expect("socket pair is created");
    send_raw(&sender, bytes, has_descriptor);
    drop(sender);
    Ok(receive(&receiver).await?.expect("frame is received"))
}

#[tokio::test]
async fn sent_frames_equal_recorded_frames_byte_for_byte() {
    for recorded in &RECORDED {
        assert_eq!(sent_bytes(recorded).await, recorded.bytes(), "{:?}", recorded.kind);
    }
}

#[tokio::test]
async fn recorded_frames_are_received() {
    for recorded in &RECORDED {
        let frame =
            receive_bytes(&recorded.bytes(), recorded.has_descriptor).await.expect("frame is received");
        assert_eq!(frame.kind, recorded.kind);
        assert_eq!(frame.payload, recorded.payload);
        assert_eq!(frame.descriptor.is_some(), recorded.has_descriptor);
    }
}

#[tokio::test]
async fn frames_without_their_required_descriptor_are_rejected() {
    for recorded in RECORDED.iter().filter(|recorded| recorded.has_descriptor) {
        let result = receive_bytes(&recorded.bytes(), false).await;
        assert!(matches!(result, Err(FrameError::MissingDescriptor)), "{:?}: {result:?}", recorded.kind);
    }
}

#[tokio::test]
async fn frames_with_unknown_kind_wrong_checksum_or_excessive_length_are_rejected() {
    let unknown_kind = receive_bytes(b"X\0\0\0\0\0\0\0\0", false).await;
    assert!(matches!(unknown_kind, Err(FrameError::UnknownKind(b'X'))), "{unknown_kind:?}");
    let wrong_checksum = receive_bytes(b"R\0\0\0\0\0\0\0\x01", false).await;
    assert!(matches!(wrong_checksum, Err(FrameError::Checksum)), "{wrong_checksum:?}");
    let too_long = receive_bytes(b"R\x01\0\0\x01\0\0\0\0", false).await;
    assert!(matches!(too_long, Err(FrameError::TooLong)), "{too_long:?}");
}

#[tokio::test]
async fn client_limit_is_encoded_as_a_big_endian_number() {
    let recorded = RECORDED
        .iter()
        .find(|recorded| recorded.kind == FrameKind::ClientLimit)
        .expect("client limit frame is recorded");
    let frame = receive_bytes(&recorded.bytes(), false).await.expect("frame is received");
    assert_eq!(frame.payload_as_u32().ok(), Some(1000));
    assert_eq!(1000u32.to_be_bytes(), recorded.payload);
}
