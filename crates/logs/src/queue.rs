//! A non-blocking log writer with a bounded queue.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// The maximum number of lines in the queue.
pub const QUEUE_CAPACITY: usize = 2_000;
/// The maximum number of lines that the writer thread takes from the queue for one write.
///
/// They are held in addition to [`QUEUE_CAPACITY`] until the write has finished.
pub const MAX_BATCH_LINES: usize = 200;

/// Passes lines through a bounded queue to a thread that writes them.
///
/// Each call of `write` must contain exactly one complete line, and never blocks. If the queue is
/// full, the line is dropped and counted. The writer thread adds a `log_lines_dropped` line with
/// the count to its next write.
#[derive(Clone, Debug)]
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
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
        if self.lines.try_send(line.to_vec()).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            self.counts.unreported.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(rx: &Receiver<Vec<u8>>, mut writer: W, unreported: &AtomicU64) {
    while let Ok(mut batch) = rx.recv() {
        for line in rx.try_iter().take(MAX_BATCH_LINES - 1) {
            batch.extend(line);
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
    }
}
