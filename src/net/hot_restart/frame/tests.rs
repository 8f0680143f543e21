//! Frames of a hot restart, recorded at commit 985872a: the format that a predecessor and a successor of
//! different builds share.

use std::os::fd::AsFd;

use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

use super::{receive, send, Frame, FrameError, FrameKind};
use crate::net::hot_restart::test_support::{send_raw, HELLO, STATE_FULL};

/// A frame as it was recorded: its header, and what follows that.
struct Recorded {
    kind: FrameKind,
    header: &'static [u8; 9],
    content: &'static [u8],
    has_descriptor: bool,
}

const RECORDED: [Recorded; 9] = [
    Recorded {
        kind: FrameKind::Hello,
        header: b"G\0\0\0\x1b\xf6\x17\xc0\xe6",
        content: HELLO,
        has_descriptor: false,
    },
    Recorded { kind: FrameKind::Listener, header: b"D\0\0\0\0\0\0\0\0", content: b"", has_descriptor: true },
    Recorded {
        kind: FrameKind::PeerChannel,
        header: b"W\0\0\0\0\0\0\0\0",
        content: b"",
        has_descriptor: true,
    },
    Recorded {
        kind: FrameKind::HandoverState,
        header: b"S\0\0\x03\x84A\0\xc8\xb7",
        content: STATE_FULL,
        has_descriptor: false,
    },
    Recorded { kind: FrameKind::Ready, header: b"R\0\0\0\0\0\0\0\0", content: b"", has_descriptor: false },
    Recorded {
        kind: FrameKind::ClientLimit,
        header: b"P\0\0\0\x04\xa4\xb8\xe6\x95",
        content: b"\0\0\x03\xe8",
        has_descriptor: false,
    },
    Recorded {
        kind: FrameKind::ServesInParallel,
        header: b"A\0\0\0\0\0\0\0\0",
        content: b"",
        has_descriptor: false,
    },
    Recorded {
        kind: FrameKind::Client,
        header: b"C\0\0\0\x01\xa5\x05\xdf\x1b",
        content: b"\x01",
        has_descriptor: true,
    },
    Recorded {
        kind: FrameKind::Client,
        header: b"C\0\0\0\x01\xd2\x02\xef\x8d",
        content: b"\0",
        has_descriptor: true,
    },
];

impl Recorded {
    fn bytes(&self) -> Vec<u8> {
        [self.header, self.content].concat()
    }
}

/// The raw bytes of one frame that the code sends.
async fn written(recorded: &Recorded) -> Vec<u8> {
    let (sender, mut receiver) = UnixStream::pair().expect("a pair of sockets");
    let descriptor = recorded.has_descriptor.then(|| sender.as_fd());
    send(&sender, recorded.kind, recorded.content, descriptor).await.expect("an open stream");
    drop(sender);
    let mut bytes = Vec::new();
    receiver.read_to_end(&mut bytes).await.expect("an end");
    bytes
}

/// What the code reads from raw bytes.
async fn read(bytes: &[u8], has_descriptor: bool) -> Result<Frame, FrameError> {
    let (sender, receiver) = UnixStream::pair().expect("a pair of sockets");
    send_raw(&sender, bytes, has_descriptor);
    drop(sender);
    Ok(receive(&receiver).await?.expect("a frame"))
}

#[tokio::test]
async fn recorded_frames_are_written_byte_for_byte() {
    for recorded in &RECORDED {
        assert_eq!(written(recorded).await, recorded.bytes(), "{:?}", recorded.kind);
    }
}

#[tokio::test]
async fn recorded_frames_are_read() {
    for recorded in &RECORDED {
        let frame = read(&recorded.bytes(), recorded.has_descriptor).await.expect("readable bytes");
        assert_eq!(frame.kind, recorded.kind);
        assert_eq!(frame.payload, recorded.content);
        assert_eq!(frame.descriptor.is_some(), recorded.has_descriptor);
    }
}

#[tokio::test]
async fn frames_that_need_a_descriptor_are_refused_without_one() {
    for recorded in RECORDED.iter().filter(|recorded| recorded.has_descriptor) {
        let result = read(&recorded.bytes(), false).await;
        assert!(matches!(result, Err(FrameError::MissingDescriptor)), "{:?}: {result:?}", recorded.kind);
    }
}

#[tokio::test]
async fn frames_of_unknown_kind_with_wrong_checksum_or_too_long_are_refused() {
    let unknown_kind = read(b"X\0\0\0\0\0\0\0\0", false).await;
    assert!(matches!(unknown_kind, Err(FrameError::UnknownKind(b'X'))), "{unknown_kind:?}");
    let wrong_checksum = read(b"R\0\0\0\0\0\0\0\x01", false).await;
    assert!(matches!(wrong_checksum, Err(FrameError::Checksum)), "{wrong_checksum:?}");
    let too_long = read(b"R\x01\0\0\x01\0\0\0\0", false).await;
    assert!(matches!(too_long, Err(FrameError::TooLong)), "{too_long:?}");
}

#[tokio::test]
async fn recorded_client_limit_is_a_big_endian_number() {
    let recorded =
        RECORDED.iter().find(|recorded| recorded.kind == FrameKind::ClientLimit).expect("a recorded frame");
    let frame = read(&recorded.bytes(), false).await.expect("readable bytes");
    assert_eq!(frame.payload_as_u32().ok(), Some(1000));
    assert_eq!(1000u32.to_be_bytes(), recorded.content);
}
