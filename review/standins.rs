//! Stand-ins and cases of the independent review. `standins CASE RECORD` plays a case, writes what
//! was sent, answered and run to RECORD, and exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod cases;
mod deployment;
mod executor;
mod http;
mod job;
mod json;
mod store;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start of the case, in milliseconds.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, text: &str) {
        let mut lines = self.lines.lock().unwrap();
        lines.push(format!("{:>7} {text}", self.started.elapsed().as_millis()));
    }
}

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record {
        started: Instant::now(),
        lines: Mutex::default(),
    });
    let verdict = cases::play(&case, has_trouble, &record);
    let (code, text) = match verdict {
        Ok(Verdict::Held(text)) => (0, format!("held: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("broken: {text}")),
        Err(text) => (2, format!("could not run: {text}")),
    };
    record.add(&text);
    println!("{text}");
    let lines = record.lines.lock().unwrap().join("\n");
    if let Err(error) = std::fs::write(&path, lines + "\n") {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
