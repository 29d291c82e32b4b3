//! Reads the bodies of requests, within the memory of their port.

use std::ops::Deref;

use derive_more::Display;
use derive_more::Error;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::budget::Phase;
use crate::gate::Connection;
use crate::gate::Reservation;
use crate::limits::LimitReason;

/// First size of the buffer for a body, in bytes. It doubles as the body arrives, so that a client that
/// announces a large body and stops holds only what it has sent.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// A request whose body is still being received.
pub type IncomingRequest = Request<RequestBody>;

/// The body of a request, which is still being received.
pub struct RequestBody {
    incoming: Incoming,
    connection: Connection,
}

/// Why a body could not be read. The request has to be refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[display("the body is too large")]
    TooLarge,
    /// The body did not arrive in time, or too slowly.
    #[display("the body did not arrive in time")]
    TooSlow,
    /// There is no memory for the body at the moment.
    #[display("there are too many requests at the moment")]
    NoMemory,
    /// The connection failed, or the body is not valid.
    #[display("the body is incomplete")]
    Broken,
}

impl BodyError {
    /// Returns the status of the refusal.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

/// A complete body. Its memory is reserved until it is dropped.
pub struct ReceivedBody {
    data: Vec<u8>,
    memory: Reservation,
}

impl ReceivedBody {
    /// Reserves memory for what is made of the body. Returns false if there is none; the request has to
    /// be refused then.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        self.memory.grow(bytes)
    }

    /// Drops the bytes of the body. Returns what was reserved besides.
    #[must_use]
    pub fn into_reservation(self) -> Reservation {
        let Self { data, mut memory } = self;
        let bytes = data.capacity();
        drop(data);
        memory.shrink(bytes);
        memory
    }
}

impl Deref for ReceivedBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.data
    }
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, connection: Connection) -> Self {
        Self {
            incoming,
            connection,
        }
    }

    /// Reads the body completely. All servers read bodies through this function, which enforces the
    /// limits on their size, rate and duration.
    ///
    /// The parts are copied into one buffer: each part would otherwise keep the parser's whole buffer
    /// alive, so that a body in parts of a few bytes would take a thousand times its size.
    ///
    /// # Errors
    ///
    /// Returns why the request has to be refused.
    pub async fn read(mut self, max_bytes: usize) -> Result<ReceivedBody, BodyError> {
        if self.incoming.size_hint().lower() > max_bytes as u64 {
            self.connection.count(LimitReason::BodyTooLarge);
            return Err(BodyError::TooLarge);
        }
        self.connection.enter(Phase::Body);
        let result = self.read_parts(max_bytes).await;
        self.connection.enter(Phase::Handler);
        result
    }

    /// Returns why the body is not awaited any longer.
    fn cancelled(&self) -> BodyError {
        if self.connection.is_evicted() {
            BodyError::NoMemory
        } else {
            BodyError::TooSlow
        }
    }

    async fn read_parts(&mut self, max_bytes: usize) -> Result<ReceivedBody, BodyError> {
        let Some(memory) = self.connection.reserve(0) else {
            return Err(BodyError::NoMemory);
        };
        let mut body = ReceivedBody {
            data: Vec::new(),
            memory,
        };
        loop {
            let frame = tokio::select! {
                biased;
                () = self.connection.body_cancelled() => return Err(self.cancelled()),
                frame = self.incoming.frame() => frame,
            };
            let frame = match frame {
                None => return Ok(body),
                Some(frame) => frame.map_err(|_| BodyError::Broken)?,
            };
            let Some(part) = frame.data_ref() else {
                continue;
            };
            if part.len() > max_bytes - body.data.len() {
                self.connection.count(LimitReason::BodyTooLarge);
                return Err(BodyError::TooLarge);
            }
            let announced = self.incoming.size_hint().lower();
            let announced = usize::try_from(announced).unwrap_or(usize::MAX);
            make_room(&mut body, part.len(), announced, max_bytes)?;
            body.data.extend_from_slice(part);
        }
    }
}

/// Makes room for a part of a body. `announced` is how many more bytes are known to follow it.
fn make_room(
    body: &mut ReceivedBody,
    part: usize,
    announced: usize,
    max_bytes: usize,
) -> Result<(), BodyError> {
    let needed = body.data.len() + part;
    let capacity = body.data.capacity();
    if needed <= capacity {
        return Ok(());
    }
    let most = needed.saturating_add(announced).min(max_bytes);
    let exact = announced > 0;
    let doubled = needed.max(2 * capacity).max(FIRST_BUFFER_BYTES);
    let wanted = if exact { doubled.min(most) } else { doubled };
    // Both buffers exist while one is copied into the other.
    if !body.memory.grow(wanted) {
        return Err(BodyError::NoMemory);
    }
    let mut grown = Vec::with_capacity(wanted);
    grown.extend_from_slice(&body.data);
    let surplus = grown.capacity() - wanted;
    if surplus > 0 && !body.memory.grow(surplus) {
        return Err(BodyError::NoMemory);
    }
    body.data = grown;
    body.memory.shrink(capacity);
    Ok(())
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.incoming.is_end_stream() {
            self.connection.leave_body_unread();
        }
    }
}
