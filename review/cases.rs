//! The cases of the review.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::Record;
use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Route;
use crate::job::Plan;
use crate::job::Step;
use crate::store::Fate;

/// How long a job may have nothing running while a task's turn has come.
const MAX_STALL_MS: u64 = 3_000;
/// `finish_s` of the settings, in milliseconds.
const FINISH_MS: u64 = 14_000;

const ROUTE: Route = Route {
    name: "r-3hwrr6x",
    prefix: "/lohu930/",
    attempts: 4,
    timeout_ms: 3_000,
};
const OTHER_ROUTE: Route = Route {
    name: "r-73d3zji",
    prefix: "/pufi791/",
    attempts: 2,
    timeout_ms: 3_000,
};

pub fn play(case: &str, has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    match case {
        "wide" => wide(has_trouble, record),
        "route" => route(has_trouble, record),
        "late" => late(has_trouble, record),
        "cut" => cut(has_trouble, record),
        "flaky" => flaky(has_trouble, record),
        "long" => long(has_trouble, record),
        "gang" => gang(has_trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)
}

fn usual(_: &crate::json::Json) -> Fate {
    Fate::Usual
}

/// A short job as most clients send them.
fn short_job() -> Vec<Step> {
    let step = Step {
        count: 4,
        cpu: 2_000,
        mem_mb: 1_024,
        estimated_ms: 600,
        work_ms: 600,
        ..Step::default()
    };
    vec![
        step.clone(),
        Step {
            after: vec![0],
            ..step
        },
    ]
}

/// Hands in a short job each 500 ms, `count` in all, and returns their ids.
fn send_short_jobs(deployment: &Deployment, first: u64, count: u64) -> Vec<String> {
    let ids: Vec<String> = (first..first + count).map(id).collect();
    for id in &ids {
        deployment.submit(&ROUTE, id, short_job());
        pause(400);
    }
    ids
}

/// Waits for `finish_s` after the end of the traffic, asks for the jobs and returns a verdict on
/// those that were accepted and had nothing running for 3 s.
///
/// # Errors
///
/// Returns an error if no job was accepted.
fn judge_stalls(deployment: &Deployment, ids: &[String]) -> Result<Verdict, String> {
    pause(FINISH_MS);
    let mut stalled = Vec::new();
    let mut longest = 0;
    for id in ids {
        let (status, state) = deployment.state(&ROUTE, id);
        let summary = deployment.jobs.summary(id);
        longest = longest.max(summary.longest_stall_ms);
        if summary.accepted && summary.longest_stall_ms >= MAX_STALL_MS {
            stalled.push(format!(
                "{id} ({status} {state}, {} of {} tasks done, nothing running for {} ms)",
                summary.tasks_done, summary.tasks, summary.longest_stall_ms
            ));
        }
    }
    if !ids.iter().any(|id| deployment.jobs.summary(id).accepted) {
        return Err(String::from("no job was accepted"));
    }
    Ok(if stalled.is_empty() {
        Verdict::Held(format!(
            "{} jobs, the longest wait with room was {longest} ms",
            ids.len()
        ))
    } else {
        Verdict::Broken(format!(
            "{} of {} accepted jobs stalled: {}",
            stalled.len(),
            ids.len(),
            stalled.join(", ")
        ))
    })
}

/// One large job whose tasks save checkpoints, beside short jobs.
fn wide(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let deployment = Deployment::start(3, &["a"; 8], &[ROUTE], record, Box::new(usual))?;
    let count = if has_trouble { 1_000 } else { 500 };
    let study = Step {
        count,
        cpu: 100,
        mem_mb: 128,
        estimated_ms: 60_000,
        work_ms: 60_000,
        checkpointing: true,
        plan: Plan::FirstRunFails(9_000),
        ..Step::default()
    };
    let before = send_short_jobs(&deployment, 0, 4);
    if !deployment.submit(&ROUTE, &id(1_000), vec![study]) {
        return Ok(Verdict::Held(String::from(
            "the large job was not accepted",
        )));
    }
    pause(15_000);
    let after = send_short_jobs(&deployment, 100, 10);
    judge_stalls(&deployment, &[before, after].concat())
}

/// The operator removes a route and puts it back, while jobs of its queue run.
fn route(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let deployment =
        Deployment::start(3, &["a"; 6], &[ROUTE, OTHER_ROUTE], record, Box::new(usual))?;
    let job = id(1);
    let step = Step {
        count: 1,
        cpu: 4_000,
        mem_mb: 4_096,
        estimated_ms: 6_000,
        work_ms: 6_000,
        plan: Plan::FirstRunFails(4_000),
        ..Step::default()
    };
    pause(2_000);
    if !deployment.submit(&ROUTE, &job, vec![step]) {
        return Err(String::from("the job was not accepted"));
    }
    pause(1_000);
    if has_trouble {
        deployment.configure(4, &[OTHER_ROUTE]);
    } else {
        deployment.configure(
            4,
            &[
                Route {
                    timeout_ms: 3_500,
                    ..ROUTE
                },
                OTHER_ROUTE,
            ],
        );
    }
    pause(6_000);
    deployment.configure(9, &[ROUTE, OTHER_ROUTE]);
    pause(4_000);
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let (status, state) = deployment.state(&ROUTE, &job);
        let summary = deployment.jobs.summary(&job);
        let text = format!(
            "the job is shown as {state} ({status}) after {} ends `failed`; `attempts` is {}",
            summary.failed_ends, ROUTE.attempts
        );
        if state == "failed" && summary.failed_ends < ROUTE.attempts {
            return Ok(Verdict::Broken(text));
        }
        if state == "succeeded" {
            return Ok(Verdict::Held(text));
        }
        if Instant::now() > deadline {
            return Err(format!("{text}; it has not ended"));
        }
        pause(1_000);
    }
}

/// How long the store's answers are lost.
const LOSS_TIME: Duration = Duration::from_millis(1_200);
/// How much later the store does the writes whose answers are lost.
const LATE_BY: Duration = Duration::from_millis(5_800);
/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `stable_window_ms` of the settings.
const STABLE: Duration = Duration::from_millis(4_000);

/// Clients that got no acceptance cancel their jobs, and the store does the writes later.
fn late(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let begins = Arc::new(std::sync::Mutex::new(None::<Instant>));
    let writes = std::sync::atomic::AtomicU32::new(0);
    let seen = begins.clone();
    let fate = move |_: &crate::json::Json| {
        let begun = *seen.lock().unwrap();
        if !begun.is_some_and(|at| at.elapsed() < LOSS_TIME) {
            return Fate::Usual;
        }
        // Three writes in ten lose their answers.
        let number = writes.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if matches!(number % 10, 1 | 4 | 7) {
            Fate::LostAndLate(LATE_BY)
        } else {
            Fate::Usual
        }
    };
    let deployment = Arc::new(Deployment::start(
        3,
        &["a"; 6],
        &[ROUTE],
        record,
        Box::new(fate),
    )?);
    pause(6_000);
    if has_trouble {
        record.add("the store begins to lose answers");
        *begins.lock().unwrap() = Some(Instant::now());
    }
    let clients: Vec<_> = (0..18)
        .map(|number| {
            let deployment = deployment.clone();
            std::thread::spawn(move || hand_in_or_cancel(&deployment, number))
        })
        .collect();
    let cancelled: Vec<(String, Instant)> = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten())
        .collect();
    pause(12_000);
    let mut broken = Vec::new();
    for (job, at) in &cancelled {
        let summary = deployment.jobs.summary(job);
        let (status, state) = deployment.state(&ROUTE, job);
        // The store is stable again a while after the disruption.
        let stable = begins
            .lock()
            .unwrap()
            .map(|begun| begun + LOSS_TIME + STABLE);
        let late_starts = summary
            .starts
            .iter()
            .filter(|start| **start > *at + CANCEL && stable.is_none_or(|from| **start > from))
            .count();
        if late_starts > 0 {
            let last = summary
                .starts
                .iter()
                .max()
                .map_or(0, |start| (*start - *at).as_millis());
            broken.push(format!("{job}: {late_starts} starts, up to {last} ms after its cancelling was answered; shown as {status} {state}"));
        }
    }
    if broken.is_empty() {
        Ok(Verdict::Held(format!(
            "{} jobs were cancelled and none started later",
            cancelled.len()
        )))
    } else {
        Ok(Verdict::Broken(broken.join("; ")))
    }
}

/// Hands a job in once. A client without an acceptance cancels it and leaves; so does each ninth
/// client in any case. Returns the job and when its cancelling was answered with 2xx or 410.
fn hand_in_or_cancel(deployment: &Deployment, number: u64) -> Option<(String, Instant)> {
    pause(60 * number);
    let job = id(number);
    let body = deployment.jobs.add(&job, short_job());
    let path = format!("{}{job}", ROUTE.prefix);
    let answer = deployment.call("POST", &path, &body);
    if let Some((200..=299, _)) = answer {
        deployment.jobs.accepted(&job);
        if number % 9 != 8 {
            return None;
        }
    }
    for _ in 0..5 {
        let answer = deployment.call("DELETE", &path, "");
        if let Some((200..=299 | 410, _)) = answer {
            deployment.jobs.cancelled(&job);
            return Some((job, Instant::now()));
        }
        pause(300);
    }
    None
}

/// How long an executor is cut off.
const CUT_TIME: Duration = Duration::from_millis(5_500);

/// An executor is cut off once. Later it runs many short tasks that only it may run.
fn cut(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let labels = ["b", "a", "a", "a", "a", "a"];
    let deployment = Deployment::start(3, &labels, &[ROUTE], record, Box::new(usual))?;
    pause(2_000);
    // Two tasks on each executor, which end within the cut.
    let step = Step {
        count: 12,
        cpu: 32_000,
        mem_mb: 8_192,
        estimated_ms: 3_000,
        work_ms: 3_000,
        ..Step::default()
    };
    deployment.submit(&ROUTE, &id(1), vec![step]);
    pause(1_500);
    if has_trouble {
        deployment.executors.set_cut(0, true);
    }
    std::thread::sleep(CUT_TIME);
    if has_trouble {
        deployment.executors.set_cut(0, false);
    }
    pause(6_000);
    let mut ids = vec![id(1)];
    for number in 100..124 {
        let step = Step {
            count: 40,
            cpu: 1_000,
            mem_mb: 512,
            estimated_ms: 300,
            work_ms: 300,
            label: String::from("b"),
            ..Step::default()
        };
        deployment.submit(&ROUTE, &id(number), vec![step]);
        ids.push(id(number));
        pause(700);
    }
    record.add(&format!(
        "the executor with label b lists {} ends",
        deployment.executors.listed_ends(0)
    ));
    judge_stalls(&deployment, &ids)
}

/// One executor fails all that it starts while gangs start.
fn gang(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let deployment = Deployment::start(3, &["a"; 12], &[OTHER_ROUTE], record, Box::new(usual))?;
    pause(2_000);
    if has_trouble {
        deployment.executors.set_grey(0, true);
    }
    let ids: Vec<String> = (0..5).map(id).collect();
    for job in &ids {
        let step = Step {
            count: 24,
            cpu: 4_000,
            mem_mb: 4_096,
            estimated_ms: 1_000,
            work_ms: 1_000,
            gang: true,
            ..Step::default()
        };
        deployment.submit(&OTHER_ROUTE, job, vec![step]);
        pause(1_200);
    }
    if has_trouble {
        deployment.executors.set_grey(0, false);
    }
    pause(FINISH_MS);
    let mut failed = Vec::new();
    for job in &ids {
        let (status, state) = deployment.state(&OTHER_ROUTE, job);
        let summary = deployment.jobs.summary(job);
        record.add(&format!(
            "{job}: {status} {state}, failed runs of the gang: {}",
            summary.failed_runs
        ));
        if state == "failed" && summary.failed_runs < OTHER_ROUTE.attempts {
            failed.push(format!(
                "{job} is shown as failed after {} failed runs of its gang",
                summary.failed_runs
            ));
        }
    }
    if failed.is_empty() {
        Ok(Verdict::Held(format!("{} gangs", ids.len())))
    } else {
        Ok(Verdict::Broken(format!(
            "`attempts` is {}: {}",
            OTHER_ROUTE.attempts,
            failed.join(", ")
        )))
    }
}

/// How many times as long some jobs take.
const LONG_FACTOR: u64 = 20;
/// Number of jobs that come within the time in which some of them take long.
const MIXED_JOBS: u64 = 120;
/// One job in this many takes long.
const LONG_INTERVAL: u64 = 20;
/// For 3 s one job in 20 takes 20 times as long as usual, some two minutes, and says so. Later, in a
/// calm system, only sound short jobs come.
fn long(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let labels = ["b", "a", "a", "a", "a", "a"];
    let deployment = Deployment::start(3, &labels, &[ROUTE], record, Box::new(usual))?;
    pause(2_000);
    let mut long_jobs = Vec::new();
    for number in 0..MIXED_JOBS {
        if number % LONG_INTERVAL == 0 {
            let usual_ms = 5_300 + 12 * number;
            let work_ms = usual_ms * if has_trouble { LONG_FACTOR } else { 1 };
            let step = Step {
                count: 1,
                cpu: 2_000,
                mem_mb: 2_048,
                estimated_ms: work_ms,
                work_ms,
                label: String::from("b"),
                ..Step::default()
            };
            deployment.submit(&ROUTE, &id(number), vec![step]);
            long_jobs.push(id(number));
        } else {
            deployment.submit(&ROUTE, &id(number), short_job());
        }
        pause(18);
    }
    record.add("the last job that takes long has come");
    std::thread::sleep(STABLE);
    deployment.jobs.forget_stalls();
    record.add("the system is calm");
    let short_jobs = send_short_jobs(&deployment, 1_000, 40);
    let verdict = judge_stalls(&deployment, &[long_jobs.clone(), short_jobs].concat())?;
    for job in &long_jobs {
        let summary = deployment.jobs.summary(job);
        record.add(&format!(
            "{job}: {} of {} tasks done after {} runs, of which {} ended `failed`",
            summary.tasks_done,
            summary.tasks,
            summary.starts.len(),
            summary.failed_ends
        ));
    }
    Ok(verdict)
}

/// Services whose tasks fail now and then, beside sound short jobs.
fn flaky(has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let deployment = Deployment::start(3, &["a"; 6], &[ROUTE], record, Box::new(usual))?;
    pause(2_000);
    for number in 0..6 {
        let step = Step {
            count: 12,
            cpu: 1_000,
            mem_mb: 2_048,
            estimated_ms: 300,
            startup_ms: 300,
            long_running: true,
            plan: if has_trouble {
                Plan::FailsBetween(6_000, 14_000)
            } else {
                Plan::Sound
            },
            ..Step::default()
        };
        deployment.submit(&ROUTE, &id(1_000 + number), vec![step]);
        pause(300);
    }
    pause(10_000);
    let mut ids = Vec::new();
    for number in 100..110 {
        deployment.submit(&ROUTE, &id(number), short_job());
        ids.push(id(number));
        pause(3_000);
    }
    judge_stalls(&deployment, &ids)
}
