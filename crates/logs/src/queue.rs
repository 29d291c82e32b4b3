//! A non-blocking log writer with a bounded queue.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of lines in the queue.
pub const QUEUE_CAPACITY: usize = 2_000;
/// The maximum number of lines that the writer thread takes from the queue for one write.
///
/// They are held in addition to [`QUEUE_CAPACITY`] until the write has finished.
pub const MAX_BATCH_LINES: usize = 200;

/// Delay before another attempt to pass a message to the thread while the queue is full.
const FULL_QUEUE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Passes lines through a bounded queue to a thread that writes them.
///
/// Each call of `write` must contain exactly one complete line, and never blocks. If the queue is
/// full, the line is dropped and counted. The writer thread adds a `log_lines_dropped` line with
/// the count to its next write.
#[derive(Clone, Debug)]
pub struct QueueWriter {
    lines: SyncSender<Message>,
    counts: Arc<Counts>,
}

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    /// A complete line.
    Line(Vec<u8>),
    /// A request to report that everything before it has been written.
    Written(SyncSender<()>),
}

#[derive(Debug, Default)]
struct Counts {
    /// All dropped lines.
    dropped: AtomicU64,
    /// Dropped lines not yet covered by a `log_lines_dropped` line.
    unreported: AtomicU64,
}

impl QueueWriter {
    /// Starts a thread that writes to `writer`. It ends when all clones of the handle are dropped.
    #[must_use]
    pub fn start<W: Write + Send + 'static>(writer: W) -> Self {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        std::thread::spawn(move || write_lines(&rx, writer, &shared.unreported));
        Self { lines: tx, counts }
    }

    /// Blocks until all lines passed so far have been written, for use at the end of the process.
    /// Returns `false` if that takes longer than `timeout`.
    #[must_use]
    pub fn wait_until_written(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let (done, written) = sync_channel(1);
        while self.lines.try_send(Message::Written(done.clone())).is_err() {
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(FULL_QUEUE_RETRY_DELAY);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        written.recv_timeout(left).is_ok()
    }

    /// Returns the number of lines dropped since the thread was started.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of dropped lines that no `log_lines_dropped` line has reported yet.
    #[must_use]
    pub fn unreported(&self) -> u64 {
        self.counts.unreported.load(Ordering::Relaxed)
    }
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(Message::Line(line.to_vec())).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            self.counts.unreported.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(rx: &Receiver<Message>, mut writer: W, unreported: &AtomicU64) {
    while let Ok(first) = rx.recv() {
        let mut batch = Vec::new();
        let mut waiting = Vec::new();
        let more = rx.try_iter().take(MAX_BATCH_LINES - 1);
        for message in std::iter::once(first).chain(more) {
            match message {
                Message::Line(line) => batch.extend(line),
                Message::Written(done) => waiting.push(done),
            }
        }
        let dropped = unreported.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.extend(
                format!("{{\"event\":\"log_lines_dropped\",\"lines\":{dropped}}}\n").into_bytes(),
            );
        }
        // A failure to write the log cannot be reported anywhere else.
        let _ = writer.write_all(&batch);
        let _ = writer.flush();
        for done in waiting {
            // Nobody waits any more if the time limit has passed.
            let _ = done.try_send(());
        }
    }
}
