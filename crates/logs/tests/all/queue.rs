//! The writer that never blocks.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

use logs::QueueWriter;
use logs::queue::MAX_BATCH_LINES;
use logs::queue::QUEUE_CAPACITY;

/// Blocks in each write until it is let go on, and hands on what was written.
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

/// Returns how many lines were lost according to a line that tells of it.
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
            .expect("a write never fails");
    }
    let (mut received, mut lost) = (0, 0);
    while received + lost < LINES {
        permits.send(()).expect("the thread lives");
        let bytes = lines.recv().expect("the thread writes");
        for line in String::from_utf8(bytes).expect("lines are text").lines() {
            match dropped_count(line) {
                Some(count) => lost += count,
                None => received += 1,
            }
        }
    }
    assert_eq!(received + lost, LINES);
    let most = u64::try_from(QUEUE_CAPACITY + MAX_BATCH_LINES).expect("a small number");
    assert!(
        received <= most,
        "{received} lines were held while the writer blocked"
    );
    assert_eq!(writer.unreported(), 0, "nothing is left unreported");
    assert_eq!(writer.dropped(), lost, "what was dropped in all is counted");
}
