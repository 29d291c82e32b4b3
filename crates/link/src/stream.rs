//! A connection as `hyper` sees it, which reports progress.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Sleep;

use crate::budget::Phase;
use crate::gate::Connection;

/// For how long the rest of a refused body is read and discarded. If it stayed unread, closing would
/// reset the connection, and the client would lose the refusal.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// How much of a refused body is discarded, in bytes. A client that sends more is reset.
const LINGER_BYTES: usize = 256 << 10;
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// A connection that reports what is transferred.
pub(crate) struct MeteredStream<S> {
    stream: S,
    connection: Connection,
    linger: Option<Linger>,
    /// Whether the client has closed its side.
    read_closed: bool,
}

struct Linger {
    end: Pin<Box<Sleep>>,
    remaining: usize,
}

impl<S: AsyncRead + AsyncWrite + Unpin> MeteredStream<S> {
    pub(crate) const fn new(stream: S, connection: Connection) -> Self {
        Self {
            stream,
            connection,
            linger: None,
            read_closed: false,
        }
    }

    /// Discards the rest of a refused body, for a limited time.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            end: Box::pin(tokio::time::sleep(LINGER_TIME)),
            remaining: LINGER_BYTES,
        });
        let mut discarded = [0_u8; DISCARD_BUFFER_BYTES];
        while linger.remaining > 0 && linger.end.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    linger.remaining = linger.remaining.saturating_sub(buf.filled().len());
                }
                Poll::Ready(_) => break,
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let read = buf.filled().len() - before;
        self.read_closed |= read == 0;
        if read > 0 {
            match self.connection.phase() {
                Some(Phase::Idle) => self.connection.enter(Phase::Head),
                Some(Phase::Head | Phase::Body) => self.connection.progress(read),
                _ => {}
            }
        }
        Poll::Ready(result)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.connection.wrote(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.connection.wrote(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.connection.has_unread_body() && !self.read_closed {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
