//! The non-blocking log writer.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use logs::QueueWriter;
use logs::queue::MAX_BATCH_LINES;
use logs::queue::QUEUE_CAPACITY;

/// A writer that blocks in each write until it receives a permit, then forwards the bytes.
struct GatedWriter {
    permits: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.permits.recv().is_err() || self.written.send(bytes.to_vec()).is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the count of a `log_lines_dropped` line, or `None` for any other line.
fn dropped_count(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("\"lines\":")?;
    rest.trim_end_matches('}').parse().ok()
}

#[test]
fn a_blocked_writer_loses_only_lines_beyond_the_queue_and_every_loss_is_reported() {
    const LINES: u64 = 5_000;
    let (permits, permit_receiver) = channel();
    let (written, lines) = channel();
    let mut writer = QueueWriter::start(GatedWriter {
        permits: permit_receiver,
        written,
    });
    for number in 0..LINES {
        let line = format!("{number}\n");
        writer
            .write_all(line.as_bytes())
            .expect("writes to the queue never fail");
    }
    let (mut received, mut dropped) = (0, 0);
    while received + dropped < LINES {
        permits.send(()).expect("the writer thread is running");
        let bytes = lines.recv().expect("the writer thread writes");
        for line in String::from_utf8(bytes)
            .expect("lines are valid UTF-8")
            .lines()
        {
            match dropped_count(line) {
                Some(count) => dropped += count,
                None => received += 1,
            }
        }
    }
    assert_eq!(received + dropped, LINES);
    let max_held =
        u64::try_from(QUEUE_CAPACITY + MAX_BATCH_LINES).expect("the maximum fits into 64 bits");
    assert!(
        received <= max_held,
        "{received} lines were held in memory while the writer was blocked"
    );
    assert_eq!(writer.unreported(), 0, "every dropped line is reported");
    assert_eq!(
        writer.dropped(),
        dropped,
        "the total equals the reported losses"
    );
}

#[test]
fn waiting_returns_once_every_line_is_written_and_gives_up_on_a_blocked_writer() {
    let (permits, permit_receiver) = channel();
    let (written, lines) = channel();
    let mut writer = QueueWriter::start(GatedWriter {
        permits: permit_receiver,
        written,
    });
    writer.write_all(b"last\n").expect("writes never fail");
    assert!(
        !writer.wait_until_written(Duration::from_millis(20)),
        "nothing is permitted"
    );
    // Requests that nobody awaits any more are answered without a line.
    for _ in 0..4 {
        permits.send(()).expect("the writer thread is running");
    }
    assert!(writer.wait_until_written(Duration::from_secs(30)));
    assert_eq!(lines.try_recv().as_deref(), Ok(&b"last\n"[..]));
}
