//! A writer that never blocks.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// The most lines that wait to be written.
pub const QUEUE_CAPACITY: usize = 2_000;
/// The most lines that are written together; they have left the queue and wait no less.
pub const MAX_BATCH_LINES: usize = 200;

/// Hands lines to a thread that writes them; each write has to be one line. A line that finds the
/// queue full is dropped and counted; the count is written as a line of its own as soon as there is
/// room.
#[derive(Clone, Debug)]
pub struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    dropped: AtomicU64,
    unreported: AtomicU64,
}

impl QueueWriter {
    /// Starts the thread.
    #[must_use]
    pub fn start<W: Write + Send + 'static>(writer: W) -> Self {
        let (tx, rx) = sync_channel(QUEUE_CAPACITY);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        std::thread::spawn(move || write_lines(&rx, writer, &shared.unreported));
        Self { lines: tx, counts }
    }

    /// Returns how many lines were dropped since the thread was started.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.counts.dropped.load(Ordering::Relaxed)
    }

    /// Returns how many lines were dropped and not yet told of.
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
    while let Ok(mut lines) = rx.recv() {
        for more in rx.try_iter().take(MAX_BATCH_LINES - 1) {
            lines.extend(more);
        }
        let lost = unreported.swap(0, Ordering::Relaxed);
        if lost > 0 {
            lines.extend(
                format!("{{\"event\":\"log_lines_dropped\",\"lines\":{lost}}}\n").into_bytes(),
            );
        }
        // There is nowhere left to report a failing log to.
        let _ = writer.write_all(&lines);
        let _ = writer.flush();
    }
}
