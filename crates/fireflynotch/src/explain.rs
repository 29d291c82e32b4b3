//! The timeline of one job, from the log lines of any number of processes.
//!
//! A log line contains the uptime of its process, and the `started` line of a process contains its
//! start time, so that the lines of several processes can be sorted by time. Lines dropped by a
//! logger and missing `started` lines are reported.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde_json::Map;
use serde_json::Value;

use crate::CommandOutput;
use crate::args::Explain;
use crate::exit::ExitStatus;

/// Events that concern all jobs and are shown between the first and the last line of the job.
const SHARED_EVENTS: [&str; 3] = ["takeover", "owner_ended", "dependency"];
/// Fields that are not printed as `name=value`: they have a column of their own or are omitted.
const EXCLUDED_FIELDS: [&str; 7] = [
    "event",
    "daemon",
    "uptime_ms",
    "level",
    "target",
    "job",
    "left_out",
];

/// One parsed log line.
struct LogLine {
    /// The time in milliseconds since the Unix epoch, or since the start of the process if no
    /// `started` line of the process precedes this one.
    at_ms: u64,
    daemon: String,
    event: String,
    job: Option<String>,
    dropped: u64,
    fields: Map<String, Value>,
}

/// Reads the log files, or standard input without any, and prints the timeline of a job.
#[must_use]
pub fn run(options: &Explain) -> CommandOutput {
    let mut text = String::new();
    for file in &options.logs {
        match std::fs::read_to_string(file) {
            Ok(log) => text.push_str(&log),
            Err(error) => {
                return CommandOutput::error(ExitStatus::BadInput, &format!("{file}: {error}"));
            }
        }
    }
    if options.logs.is_empty() {
        match std::io::read_to_string(std::io::stdin()) {
            Ok(log) => text = log,
            Err(error) => {
                return CommandOutput::error(
                    ExitStatus::BadInput,
                    &format!("standard input: {error}"),
                );
            }
        }
    }
    explain(&options.id, &text)
}

/// Returns the timeline of a job from the text of the logs.
#[must_use]
pub fn explain(id: &str, text: &str) -> CommandOutput {
    let (mut lines, processes_without_start) = parse_log(text);
    lines.sort_by_key(|line| line.at_ms);
    let names_job = |line: &LogLine| line.job.as_deref() == Some(id);
    let (Some(first), Some(last)) = (
        lines.iter().position(names_job),
        lines.iter().rposition(names_job),
    ) else {
        let message = format!(
            "{id}: no log line names this job; the log of the host that received it may be missing"
        );
        return CommandOutput::error(ExitStatus::NotDone, &message);
    };
    let begin_ms = lines[first].at_ms;
    let mut timeline = String::new();
    for line in &lines[first..=last] {
        if names_job(line) || SHARED_EVENTS.contains(&line.event.as_str()) {
            write_line(&mut timeline, line, begin_ms);
        }
    }
    let mut output = CommandOutput::success(timeline);
    for (event, count) in dropped_line_counts(&lines[first..=last]) {
        output = output.with_message(&format!("{count} lines of {event} were left out meanwhile"));
    }
    for daemon in processes_without_start {
        output = output.with_message(&format!(
            "the start of {daemon} is missing; its lines may be out of order"
        ));
    }
    output
}

/// Parses all lines that contain a JSON object, skipping any prefix before it. Returns them with the
/// names of the processes whose start is missing.
fn parse_log(text: &str) -> (Vec<LogLine>, Vec<String>) {
    let mut starts: BTreeMap<String, u64> = BTreeMap::new();
    let mut processes_without_start = Vec::new();
    let mut lines = Vec::new();
    for text in text.lines() {
        let Some(fields) = parse_object(text) else {
            continue;
        };
        let daemon = string_field(&fields, "daemon");
        let event = string_field(&fields, "event");
        let uptime = number_field(&fields, "uptime_ms");
        if event == "started" {
            starts.insert(
                daemon.clone(),
                number_field(&fields, "life").saturating_sub(uptime),
            );
        }
        let start = starts.get(&daemon).copied();
        if start.is_none() && !processes_without_start.contains(&daemon) {
            processes_without_start.push(daemon.clone());
        }
        lines.push(LogLine {
            at_ms: start.unwrap_or(0) + uptime,
            daemon,
            event,
            job: fields.get("job").and_then(Value::as_str).map(str::to_owned),
            dropped: number_field(&fields, "left_out"),
            fields,
        });
    }
    (lines, processes_without_start)
}

fn parse_object(text: &str) -> Option<Map<String, Value>> {
    let begin = text.find('{')?;
    serde_json::from_str(&text[begin..]).ok()
}

fn string_field(fields: &Map<String, Value>, name: &str) -> String {
    let value = fields.get(name).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}

fn number_field(fields: &Map<String, Value>, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or(0)
}

fn write_line(timeline: &mut String, line: &LogLine, begin_ms: u64) {
    let after_ms = line.at_ms - begin_ms;
    // Writing to a string cannot fail.
    let _ = write!(
        timeline,
        "{after_ms:>8} ms  {}  {}",
        line.daemon, line.event
    );
    for (name, value) in &line.fields {
        if !EXCLUDED_FIELDS.contains(&name.as_str()) {
            let text = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            let _ = write!(timeline, " {name}={text}");
        }
    }
    timeline.push('\n');
}

fn dropped_line_counts(lines: &[LogLine]) -> BTreeMap<&str, u64> {
    let mut counts = BTreeMap::new();
    for line in lines.iter().filter(|line| line.dropped > 0) {
        *counts.entry(line.event.as_str()).or_insert(0) += line.dropped;
    }
    counts
}
