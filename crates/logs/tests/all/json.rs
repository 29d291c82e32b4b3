use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use log::LevelFilter;
use log::Log;
use log::Record;
use logs::Control;
use logs::JsonLogger;
use logs::Policy;
use model::Clock;
use serde_json::Value;

/// A writer to memory; clones share the contents.
#[derive(Clone, Default)]
pub struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Buffer {
    /// Returns all text written so far.
    pub fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Buffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test(start_paused = true)]
async fn a_line_is_one_json_object_with_the_records_fields() {
    let buffer = Buffer::default();
    let logger = JsonLogger::new(
        Control::new(Policy::with_level(LevelFilter::Info)),
        "d1".into(),
        Clock::start(),
        buffer.clone(),
    );
    let pairs = [
        ("shard", log::kv::Value::from("rack \"1\"\n")),
        ("epoch", 7_u64.into()),
    ];
    logger.log(
        &Record::builder()
            .args(format_args!("taken\nover"))
            .level(log::Level::Warn)
            .target("lease")
            .key_values(&pairs)
            .build(),
    );
    logger.log(&Record::builder().level(log::Level::Debug).build());
    let text = buffer.text();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines.len(),
        1,
        "the debug line is filtered out and the line break in the message is escaped"
    );
    let line: Value = serde_json::from_str(lines[0]).unwrap();
    assert_eq!(line["message"], "taken\nover");
    assert_eq!(line["shard"], "rack \"1\"\n");
    assert_eq!(line["epoch"], 7);
    assert_eq!(line["level"], "warn");
    assert_eq!(line["daemon"], "d1");
}
