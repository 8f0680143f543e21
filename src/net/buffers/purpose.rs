//! What buffers are reserved for.

/// Length in bytes of the shortest message that counts as long.
const LONG_MESSAGE_BYTES: usize = 8 * 1024;
/// Length in bytes of the shortest message that counts as large.
const LARGE_MESSAGE_BYTES: usize = 128 * 1024;
/// Largest number of bytes that the kernel of a client keeps for it until they are sent: Linux's default of
/// `tcp_wmem`.
pub const MAX_CLIENT_SEND_BUFFER_BYTES: usize = 4 << 20;
/// Length in bytes of the shortest message that counts as very long. Its client cannot write its last byte before
/// the proxy reads a part, since it exceeds the socket buffers.
const VERY_LONG_MESSAGE_BYTES: usize = MAX_CLIENT_SEND_BUFFER_BYTES + (1 << 20);

/// How much of a message has arrived when its buffers are reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// All of it is in the proxy or in the kernel's socket buffer.
    Complete,
    /// A part may never arrive.
    Partial,
}

/// What buffers are reserved for. Each purpose may fill only its own share of the pool, so that none starves another
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A client's message that needs a few buffers.
    ShortMessage,
    /// A client's message of 8 to 128 KiB.
    LongMessage,
    /// A client's message of 128 KiB to 5 MiB.
    LargeMessage,
    /// A client's message of 5 MiB or more.
    VeryLongMessage,
    /// What a client sends while a request of its is in flight.
    ReadAhead,
    /// What a data server sends.
    Answer,
    /// State of a request in flight, outside the pool.
    Request,
}

impl Purpose {
    pub(super) const ALL: [Self; 7] = [
        Self::ShortMessage,
        Self::LongMessage,
        Self::LargeMessage,
        Self::VeryLongMessage,
        Self::ReadAhead,
        Self::Answer,
        Self::Request,
    ];

    /// Returns the purpose of a client's message of this length in bytes.
    pub fn of_message(bytes: usize) -> Self {
        match bytes {
            VERY_LONG_MESSAGE_BYTES.. => Self::VeryLongMessage,
            LARGE_MESSAGE_BYTES.. => Self::LargeMessage,
            LONG_MESSAGE_BYTES.. => Self::LongMessage,
            _ => Self::ShortMessage,
        }
    }

    /// Returns the purposes whose buffers are taken out of a limit of theirs together, this one included.
    pub(super) fn competing(self) -> &'static [Self] {
        match self {
            Self::LargeMessage | Self::VeryLongMessage => &[Self::LargeMessage, Self::VeryLongMessage],
            Self::ShortMessage => &[Self::ShortMessage],
            Self::LongMessage => &[Self::LongMessage],
            Self::ReadAhead => &[Self::ReadAhead],
            Self::Answer => &[Self::Answer],
            Self::Request => &[Self::Request],
        }
    }

    /// Returns the share of the pool that this purpose may fill. Large messages have limits of their own
    /// (`large_messages`); the sum of the others is 1.
    pub(super) fn max_share(self) -> f64 {
        match self {
            Self::ShortMessage | Self::LongMessage => 0.1,
            Self::LargeMessage | Self::VeryLongMessage | Self::Request => 0.3,
            Self::ReadAhead => 0.06,
            Self::Answer => 0.14,
        }
    }
}
