//! The record of a run: one line for each event, with the seconds since the beginning.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    begun: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(2)
        });
        Self {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            begun: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
        let _ = file.flush();
    }
}
