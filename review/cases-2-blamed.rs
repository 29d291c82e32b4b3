//! Executors lose power one after another and are back a second later. No task ever fails, so that no
//! job may be shown as failed.

use std::collections::BTreeMap;
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

const EXECUTORS: usize = 20;
/// How many of them are off at the same time: 15 of 100.
const OFF_AT_ONCE: usize = 3;
const LOSSES: usize = 45;
const LOSS_INTERVAL: Duration = Duration::from_millis(2_000);
const OFF_TIME: Duration = Duration::from_millis(1_000);
/// A job is not counted if so many executors have lost power while they ran the same task of it: the
/// users allow that a task under which executors crash is given up.
const EXCUSED_LOSSES: usize = 3;
const SUBMIT_INTERVAL: Duration = Duration::from_millis(90);
const WORK: Duration = Duration::from_millis(2_000);
const CONFIG: &str = r#"{"version":3,"routes":[{"name":"q","host":"cases.example","path_prefix":"/q/","service":"s","priority":0,"attempts":4,"stretch":2.0,"target_completion_ms":1000}],"services":[{"name":"s","enforces_capacity":true}],"limits":{}}"#;
const JOB: &str =
    r#"{"spec":"x","steps":[{"count":10,"cpu":2000,"mem_mb":1000,"estimated_ms":2000}]}"#;

pub fn run(record: &Record, trouble: bool, seed: u64) -> Verdict {
    match try_run(record, trouble, seed) {
        Ok(0) => Verdict::Held,
        Ok(broken) => Verdict::Broken(broken),
        Err(why) => Verdict::CouldNotRun(why),
    }
}

fn try_run(record: &Record, trouble: bool, seed: u64) -> Result<usize, String> {
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
        slots: 32,
    });
    let mut executors = Vec::new();
    for number in 0..EXECUTORS {
        let address = format!("{network}.{}:8721", 20 + number);
        let rack = format!("r{}", number / 7);
        let place = ("a", rack.as_str(), "z1");
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
    let end = LOSS_INTERVAL * LOSSES as u32;
    let mut number = 0;
    let mut losses = 0;
    let mut random = seed;
    while begun.elapsed() < end {
        if begun.elapsed() >= SUBMIT_INTERVAL * number as u32 {
            number += 1;
            client::submit(&fronts, number, JOB, &accepted, record);
        }
        if trouble && losses < LOSSES && begun.elapsed() >= LOSS_INTERVAL * losses as u32 {
            losses += 1;
            lose_power(&executors, &mut random);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let until = Instant::now() + Duration::from_secs(14);
    let mut broken = 0;
    let mut counts = BTreeMap::new();
    let ids = accepted.ids();
    for id in &ids {
        let state = client::final_state(&fronts, id, until);
        *counts.entry(state.clone()).or_insert(0) += 1;
        if state == "failed" {
            let runs = runs_of(&executors, id);
            let text = format!(
                "{id} was accepted and is shown as failed; of its {} runs none failed, and {} of one task at most were lost",
                runs.started, runs.most_lost
            );
            if runs.most_lost < EXCUSED_LOSSES {
                broken += 1;
                record.line(&format!("BROKEN: {text}"));
            } else {
                record.line(&format!("not counted: {text}"));
            }
        }
    }
    record.line(&format!("{} accepted jobs: {counts:?}", ids.len()));
    for text in hosts.ended() {
        record.line(&text);
    }
    if ids.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(broken)
}

struct Runs {
    started: usize,
    /// The most runs of one task that were lost because their executor lost power.
    most_lost: usize,
}

fn runs_of(executors: &[Arc<Executor>], job: &str) -> Runs {
    let mut runs = Runs {
        started: 0,
        most_lost: 0,
    };
    let mut lost = BTreeMap::new();
    for executor in executors {
        let starts = executor.starts();
        runs.started += starts
            .iter()
            .filter(|start| start.task.starts_with(job))
            .count();
        for task in executor
            .lost()
            .into_iter()
            .filter(|task| task.starts_with(job))
        {
            *lost.entry(task).or_insert(0) += 1;
        }
    }
    runs.most_lost = lost.into_values().max().unwrap_or(0);
    runs
}

fn lose_power(executors: &[Arc<Executor>], random: &mut u64) {
    let mut chosen = Vec::new();
    while chosen.len() < OFF_AT_ONCE {
        *random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let index = (*random >> 33) as usize % executors.len();
        if !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    for index in chosen {
        let executor = executors[index].clone();
        executor.crash(true);
        std::thread::spawn(move || {
            std::thread::sleep(OFF_TIME);
            let gone = executor.id();
            executor.restart(false, "a");
            executor.expire_entry_of_last_life(gone);
        });
    }
}
