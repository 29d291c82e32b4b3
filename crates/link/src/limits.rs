//! The limits of a server, and what is reported when one is exceeded.

use std::time::Duration;

use derive_more::Display;

/// Limits on the connections of a server. They may change while connections are open.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum number of open connections. Further ones wait in the backlog of the listener.
    pub max_connections: usize,
    /// Maximum time for a client to send the head of a request, from its first byte.
    pub header_timeout: Duration,
    /// Maximum time for a client to send the body of a request, and maximum time that a connection
    /// waits for a request.
    pub idle_timeout: Duration,
    /// Maximum size of the head of a request, in bytes. The parser's buffer has at least 8 KiB.
    pub max_header_bytes: usize,
}

/// The largest head that a server accepts whatever its limits say, in bytes.
pub const MAX_HEADER_BYTES: usize = 64 << 10;
/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Memory of a connection besides its buffers, in bytes: the task with the state of the parser and of
/// the handler, the table of headers (100 at most) and small responses.
const CONNECTION_OVERHEAD: usize = 16 << 10;

impl ServerLimits {
    /// Returns the size of the parser's buffer.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        self.max_header_bytes
            .clamp(MIN_BUFFER_BYTES, MAX_HEADER_BYTES)
    }

    /// Returns the memory that is reserved for a connection for as long as it is open. The buffer
    /// counts twice: `hyper` allocates another one while a part of the body refers to the first, and
    /// the names of headers are copied.
    #[must_use]
    pub fn connection_bytes(&self) -> usize {
        2 * self.buffer_bytes() + CONNECTION_OVERHEAD
    }
}

/// Why a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.as_str())]
pub enum LimitReason {
    /// Refused: the memory of the port does not suffice.
    Memory,
    /// Closed at once: all connections of the port are taken.
    Connections,
    /// Refused: the head is too large.
    HeadTooLarge,
    /// Refused: the body is too large.
    BodyTooLarge,
    /// Closed: the head did not arrive in time.
    HeadTimeout,
    /// Refused and closed: the body did not arrive in time.
    BodyTimeout,
    /// Refused and closed: the body arrived too slowly.
    BodySlow,
    /// Closed: the response was read too slowly.
    ResponseSlow,
    /// Closed: no request arrived for a while.
    Idle,
    /// Closed: the slowest connection, to make room for another one. A body is refused first.
    EvictedForConnection,
    /// Closed: the slowest connection, because others needed its memory. A body is refused first.
    EvictedForMemory,
}

impl LimitReason {
    /// Returns the value that logs and metrics show.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::BodySlow => "body_slow",
            Self::ResponseSlow => "response_slow",
            Self::Idle => "idle",
            Self::EvictedForConnection => "evicted_for_connection",
            Self::EvictedForMemory => "evicted_for_memory",
        }
    }
}
