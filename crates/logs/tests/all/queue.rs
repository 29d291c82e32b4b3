//! The writer that never blocks.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;

use logs::QueueWriter;

/// Blocks in each write until it is let go on, and hands on what was written.
struct Gate {
    go_on: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.go_on.recv().is_err() || self.written.send(bytes.to_vec()).is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_writer_that_blocks_costs_lines_and_no_time_and_the_loss_is_told() {
    let (go_on, gate) = channel();
    let (written, lines) = channel();
    let mut writer = QueueWriter::start(Gate {
        go_on: gate,
        written,
    });
    for number in 0..5_000 {
        writeln!(writer, "{number}").expect("a write never fails");
    }
    let dropped = writer.dropped();
    assert!(dropped >= 2_900, "{dropped} of 5000 lines were dropped");
    let mut all = Vec::new();
    for _ in 0..10 {
        go_on.send(()).expect("the thread lives");
        if let Ok(bytes) = lines.recv_timeout(std::time::Duration::from_secs(5)) {
            all.extend(bytes);
        }
        if writer.dropped() == 0 && String::from_utf8_lossy(&all).contains("log_lines_dropped") {
            break;
        }
    }
    let text = String::from_utf8(all).expect("lines are text");
    assert!(
        text.contains(&format!(
            "\"event\":\"log_lines_dropped\",\"lines\":{dropped}"
        )),
        "the loss is told"
    );
}
