//! Executors crash and start again under their id as another kind. A step that requires the label of
//! one kind must not start on the other.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Accepted;
use crate::executor::Executor;
use crate::executor::Kind;
use crate::hosts;
use crate::hosts::Hosts;
use crate::record::Record;
use crate::store::Store;

/// Half of them are of kind a at first, the others of kind b.
const EXECUTORS: usize = 14;
const CRASHES: usize = 10;
const CRASH_INTERVAL: Duration = Duration::from_millis(6_000);
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(1_000);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"q","host":"cases.example","path_prefix":"/q/","service":"s","priority":0,"attempts":4,"stretch":2.0,"target_completion_ms":1000}],"services":[{"name":"s","enforces_capacity":true}],"limits":{}}"#;
/// Jobs with an even number require kind a, the others kind b.
const JOBS: [&str; 2] = [
    r#"{"spec":"x","steps":[{"count":1,"cpu":16000,"mem_mb":1000,"estimated_ms":1000,"required_label":"kind-a"}]}"#,
    r#"{"spec":"x","steps":[{"count":1,"cpu":16000,"mem_mb":1000,"estimated_ms":1000,"required_label":"kind-b"}]}"#,
];
const LABELS: [&str; 2] = ["kind-a", "kind-b"];

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match try_run(record, trouble) {
        Ok(0) => Verdict::Held,
        Ok(broken) => Verdict::Broken(broken),
        Err(why) => Verdict::CouldNotRun(why),
    }
}

fn try_run(record: &Record, trouble: bool) -> Result<usize, String> {
    let network = hosts::network();
    let store = Store::new();
    let store_address = format!("{network}.200:8169");
    store
        .serve(&store_address)
        .map_err(|error| error.to_string())?;
    store.put("op", "config", CONFIG);
    let kind = Arc::new(Kind {
        service: "s",
        work: WORK,
        slots: 4,
    });
    let mut executors = Vec::new();
    for number in 0..EXECUTORS {
        let address = format!("{network}.{}:8721", 20 + number);
        let rack = format!("r{}", number / 7);
        let place = (LABELS[number % 2], rack.as_str(), "z1");
        let executor = Executor::start(
            &format!("w{number}"),
            &address,
            place,
            &kind,
            &store,
            record,
        );
        executors.push(executor.map_err(|error| error.to_string())?);
    }
    let mut hosts = Hosts::start(3, &network, &store_address)?;
    let fronts: Vec<String> = hosts.hosts.iter().map(|host| host.front.clone()).collect();
    std::thread::sleep(Duration::from_secs(3));
    let accepted = Accepted::default();
    let begun = Instant::now();
    let mut number = 0;
    let mut crashes = 0;
    while begun.elapsed() < CRASH_INTERVAL * (CRASHES as u32 + 1) {
        if begun.elapsed() >= SUBMIT_INTERVAL * number as u32 {
            number += 1;
            client::submit(&fronts, number, JOBS[number % 2], &accepted, record);
        }
        let due = CRASH_INTERVAL * (crashes as u32 + 1);
        if trouble && crashes < CRASHES && begun.elapsed() >= due {
            let executor = executors[crashes].clone();
            crashes += 1;
            std::thread::spawn(move || {
                let label = executor.label();
                let other = LABELS.iter().find(|other| **other != label);
                executor.crash(false);
                std::thread::sleep(DOWN_TIME);
                executor.restart(true, other.unwrap_or(&""));
            });
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let until = Instant::now() + Duration::from_secs(14);
    let ids = accepted.ids();
    let mut counts = std::collections::BTreeMap::new();
    for id in &ids {
        let state = client::final_state(&fronts, id, until);
        *counts.entry(state).or_insert(0) += 1;
    }
    let mut broken = 0;
    let mut before_poll = 0;
    for executor in &executors {
        for start in executor.starts() {
            let id = start.task.split('.').next().unwrap_or_default();
            let number = usize::from_str_radix(id, 16).unwrap_or(0);
            let required = LABELS[number % 2];
            if start.label == required {
                continue;
            }
            if start.after_poll {
                broken += 1;
            } else {
                before_poll += 1;
            }
            record.line(&format!(
                "{}: {} run {} requires {required} and started on an executor with {}, {} the first poll of its life",
                if start.after_poll { "BROKEN" } else { "not counted" },
                start.task,
                start.run,
                start.label,
                if start.after_poll { "after" } else { "before" },
            ));
        }
    }
    record.line(&format!("{} accepted jobs: {counts:?}", ids.len()));
    record.line(&format!(
        "{broken} starts without the label, {before_poll} more before the first poll"
    ));
    for text in hosts.ended() {
        record.line(&text);
    }
    if ids.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(broken)
}
