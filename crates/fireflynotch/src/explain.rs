//! One job's story, from the log lines of any number of processes.
//!
//! A line's time is that of its process; the line that a process writes when it starts tells when that
//! was, so that lines of several processes can be put in one order. What is missing is said.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Map;
use serde_json::Value;

use crate::Ran;
use crate::args::Explain;
use crate::exit::Exit;

/// Events that touch all jobs and are shown while a job lives.
const SHARED: [&str; 3] = ["takeover", "owner_ended", "dependency"];
/// Fields that are shown in a column of their own, or to nobody.
const COLUMNS: [&str; 7] = [
    "event",
    "daemon",
    "uptime_ms",
    "level",
    "target",
    "job",
    "left_out",
];

/// One line of a log.
struct Line {
    /// Milliseconds since 1970, or since the start of its process if that is not known.
    at_ms: u64,
    daemon: String,
    event: String,
    job: Option<String>,
    left_out: u64,
    fields: Map<String, Value>,
}

/// Prints a job's story.
#[must_use]
pub fn run(options: &Explain) -> Ran {
    let mut text = String::new();
    for file in &options.logs {
        match std::fs::read_to_string(file) {
            Ok(log) => text.push_str(&log),
            Err(error) => return Ran::ended(Exit::BadInput, &format!("{file}: {error}")),
        }
    }
    if options.logs.is_empty() {
        match std::io::read_to_string(std::io::stdin()) {
            Ok(log) => text = log,
            Err(error) => return Ran::ended(Exit::BadInput, &format!("standard input: {error}")),
        }
    }
    explain(&options.id, &text)
}

/// Returns a job's story from the text of logs.
#[must_use]
pub fn explain(id: &str, text: &str) -> Ran {
    let (mut lines, unplaced) = read(text);
    lines.sort_by_key(|line| line.at_ms);
    let own = |line: &Line| line.job.as_deref() == Some(id);
    let (Some(first), Some(last)) = (lines.iter().position(own), lines.iter().rposition(own))
    else {
        let message =
            format!("{id}: no line names it; the host that was asked, or its log, is missing");
        return Ran::ended(Exit::NotDone, &message);
    };
    let begin = lines[first].at_ms;
    let mut story = String::new();
    for line in &lines[first..=last] {
        if own(line) || SHARED.contains(&line.event.as_str()) {
            write_line(&mut story, line, begin);
        }
    }
    let mut ran = Ran::done(story);
    for (event, count) in left_out(&lines[first..=last]) {
        ran = ran.note(&format!("{count} lines of {event} were left out meanwhile"));
    }
    for daemon in unplaced {
        ran = ran.note(&format!(
            "the start of {daemon} is missing; its lines may stand in the wrong place"
        ));
    }
    ran
}

/// Reads all lines that are JSON objects, whatever stands before them, and the names of processes
/// whose start is missing.
fn read(text: &str) -> (Vec<Line>, Vec<String>) {
    let mut starts: BTreeMap<String, u64> = BTreeMap::new();
    let mut unplaced = Vec::new();
    let mut lines = Vec::new();
    for text in text.lines() {
        let Some(fields) = object(text) else {
            continue;
        };
        let daemon = word(&fields, "daemon");
        let event = word(&fields, "event");
        let uptime = number(&fields, "uptime_ms");
        if event == "started" {
            starts.insert(
                daemon.clone(),
                number(&fields, "life").saturating_sub(uptime),
            );
        }
        let start = starts.get(&daemon).copied();
        if start.is_none() && !unplaced.contains(&daemon) {
            unplaced.push(daemon.clone());
        }
        lines.push(Line {
            at_ms: start.unwrap_or(0) + uptime,
            daemon,
            event,
            job: fields.get("job").and_then(Value::as_str).map(str::to_owned),
            left_out: number(&fields, "left_out"),
            fields,
        });
    }
    (lines, unplaced)
}

fn object(text: &str) -> Option<Map<String, Value>> {
    let begin = text.find('{')?;
    serde_json::from_str(&text[begin..]).ok()
}

fn word(fields: &Map<String, Value>, name: &str) -> String {
    let value = fields.get(name).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}

fn number(fields: &Map<String, Value>, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

fn write_line(story: &mut String, line: &Line, begin: u64) {
    let after = line.at_ms - begin;
    // Writing into a string does not fail.
    let _ = write!(story, "{after:>8} ms  {}  {}", line.daemon, line.event);
    for (name, value) in &line.fields {
        if !COLUMNS.contains(&name.as_str()) {
            let text = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(story, " {name}={text}");
        }
    }
    story.push('\n');
}

fn left_out(lines: &[Line]) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for line in lines.iter().filter(|line| line.left_out > 0) {
        *counts.entry(line.event.as_str()).or_insert(0) += line.left_out;
    }
    counts
}
