//! Request and response bodies, streamed with bounded memory.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use salvo::http::ReqBody;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::exchange::Exchange;
use crate::decision::SendOutcome;

/// Body of a request to an executor or a peer.
pub(super) enum RequestBody {
    /// No body.
    Empty,
    /// A buffered body that can be sent again.
    Full(Bytes),
    /// A streamed body that can be sent only once.
    Stream {
        /// Body of the caller's request.
        body: ReqBody,
        /// Remaining number of bytes that the body may have.
        left: u64,
    },
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream { body, left } => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                let Some(Ok(frame)) = frame else {
                    return Poll::Ready(frame);
                };
                let size = frame.data_ref().map_or(0, Bytes::len) as u64;
                let Some(remaining) = left.checked_sub(size) else {
                    return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
                };
                *left = remaining;
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Full(bytes) => bytes.is_empty(),
            Self::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream { body, .. } => body.size_hint(),
        }
    }
}

/// Body of a response to the caller.
///
/// A connection error or an idle timeout of the executor is returned as an error, so that the
/// server aborts the response instead of completing it. The slot is released at the end of the
/// body. If the caller disconnects before, the rest is read in the background, because the executor
/// continues to work on the request.
pub(super) struct ResponseBody {
    incoming: Option<Incoming>,
    exchange: Option<Exchange>,
    send_outcome: SendOutcome,
    idle_timeout: Duration,
    idle_timer: Pin<Box<Sleep>>,
    timer_running: bool,
}

impl ResponseBody {
    pub(super) fn new(
        incoming: Incoming,
        exchange: Exchange,
        send_outcome: SendOutcome,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            incoming: Some(incoming),
            exchange: Some(exchange),
            send_outcome,
            idle_timeout,
            idle_timer: Box::pin(tokio::time::sleep(idle_timeout)),
            timer_running: false,
        }
    }

    fn complete(&mut self) {
        self.incoming = None;
        if let Some(exchange) = self.exchange.take() {
            exchange.complete(self.send_outcome);
        }
    }

    fn fail(&mut self) {
        self.incoming = None;
        if let Some(exchange) = self.exchange.take() {
            exchange.fail();
        }
    }

    fn poll_idle_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.timer_running {
            self.timer_running = true;
            let at = Instant::now() + self.idle_timeout;
            self.idle_timer.as_mut().reset(at);
        }
        self.idle_timer.as_mut().poll(cx)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(incoming) = &mut self.incoming else {
            return Poll::Ready(None);
        };
        match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.timer_running = false;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.fail();
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                ready!(self.poll_idle_timer(cx));
                self.fail();
                let timeout = io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the executor sent no data within the idle timeout",
                );
                Poll::Ready(Some(Err(timeout.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming
            .as_ref()
            .map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let (Some(incoming), Some(exchange)) = (self.incoming.take(), self.exchange.take()) else {
            return;
        };
        if incoming.is_end_stream() {
            exchange.complete(self.send_outcome);
        } else {
            exchange.drain(incoming);
        }
    }
}
