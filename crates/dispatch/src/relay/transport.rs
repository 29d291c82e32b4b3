//! Frames of messages over a connection.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::Notify;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use super::message::Frame;

/// How long messages are collected before they are sent together.
const BATCH_TIME: Duration = Duration::from_millis(4);
/// Interval of frames without messages while there is nothing to send.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(100);
/// Intervals without a frame after which the other side counts as lost.
const MAX_SILENT_INTERVALS: u32 = 4;
/// Maximum number of messages in a frame.
pub(super) const MAX_FRAME_MESSAGES: usize = 1_000;
/// Maximum size of a received frame, in bytes. Hosts with little memory set a lower one.
pub(crate) const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum size of a frame with more than one message that is sent, in bytes. Messages that collect in a
/// burst, such as starts with long payloads, would otherwise exceed what a small host accepts, end the
/// session, and collect again.
const MAX_SENT_FRAME_BYTES: usize = 512 << 10;

/// Messages that wait to be sent.
pub(super) struct Outbox<M> {
    queue: RefCell<Vec<M>>,
    ready: Notify,
    /// When the latest received frame was sent, on the clock of the other side.
    received_ms: Cell<u64>,
}

impl<M> Default for Outbox<M> {
    fn default() -> Self {
        Self {
            queue: RefCell::default(),
            ready: Notify::new(),
            received_ms: Cell::new(0),
        }
    }
}

impl<M> Outbox<M> {
    /// Adds a message.
    pub(super) fn push(&self, message: M) {
        self.queue.borrow_mut().push(message);
        self.ready.notify_one();
    }

    /// Records when a received frame was sent, for the frames that are sent from now on.
    pub(super) fn acknowledge(&self, sent_ms: u64) {
        self.received_ms.set(sent_ms);
    }

    fn take(&self) -> Vec<M> {
        let mut queue = self.queue.borrow_mut();
        let rest = if queue.len() > MAX_FRAME_MESSAGES {
            self.ready.notify_one();
            queue.split_off(MAX_FRAME_MESSAGES)
        } else {
            Vec::new()
        };
        std::mem::replace(&mut *queue, rest)
    }
}

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_codec()
}

/// Sends the messages of an outbox until the connection fails. `now_ms` reads the clock.
///
/// # Errors
///
/// Returns why it failed.
pub(super) async fn send<M: Serialize>(
    outbox: &Outbox<M>,
    now_ms: impl Fn() -> u64,
    writer: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let mut frames = FramedWrite::new(writer, codec(MAX_FRAME_BYTES));
    loop {
        let ready = outbox.ready.notified();
        if tokio::time::timeout(KEEPALIVE_INTERVAL, ready)
            .await
            .is_ok()
        {
            tokio::time::sleep(BATCH_TIME).await;
        }
        // The messages still to be sent, in parts; the last part goes next.
        let mut parts = vec![outbox.take()];
        while let Some(messages) = parts.pop() {
            let mut frame = Frame {
                sent_ms: now_ms(),
                received_ms: outbox.received_ms.get(),
                messages,
            };
            let bytes = postcard::to_stdvec(&frame).map_err(io::Error::other)?;
            if bytes.len() > MAX_SENT_FRAME_BYTES && frame.messages.len() > 1 {
                let second = frame.messages.split_off(frame.messages.len() / 2);
                parts.push(second);
                parts.push(frame.messages);
            } else {
                frames.send(Bytes::from(bytes)).await?;
            }
        }
    }
}

/// Passes received frames of limited size to `process` until the connection fails, the other side is
/// silent or `process` returns false.
///
/// # Errors
///
/// Returns why it failed.
pub(super) async fn receive<M: DeserializeOwned>(
    reader: impl AsyncRead + Unpin,
    max_frame_bytes: usize,
    mut process: impl FnMut(Frame<M>) -> bool,
) -> io::Result<()> {
    let mut frames = FramedRead::new(reader, codec(max_frame_bytes));
    let mut silent_intervals = 0;
    loop {
        // Intervals are counted instead of the time since the last frame, so that a process that was
        // paused or is busy reads what has arrived before it concludes anything.
        let next = tokio::time::timeout(KEEPALIVE_INTERVAL, frames.next()).await;
        let Ok(next) = next else {
            silent_intervals += 1;
            if silent_intervals >= MAX_SILENT_INTERVALS {
                return Err(io::ErrorKind::TimedOut.into());
            }
            continue;
        };
        silent_intervals = 0;
        let Some(bytes) = next else {
            return Ok(());
        };
        let frame = postcard::from_bytes(&bytes?).map_err(io::Error::other)?;
        if !process(frame) {
            return Ok(());
        }
    }
}
