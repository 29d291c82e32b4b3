//! The complete system in one process on the loopback interface: a fake platform, and three daemons
//! in two regions and two halves.
//!
//! It applies a document, sends requests, runs tasks, evicts and resumes some of them, hands over
//! an upstream under load, drains one daemon and kills another, and prints the outcome of every
//! request and task. The exit code is 0 if all guarantees held. With `--stay` it then keeps running
//! and prints the addresses of the daemons, so that the client and the console can be tried against
//! it.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use conf::api::ApplyReply;
use conf::api::Submission;
use conf::api::TaskState;
use fake::worker::Program;
use fake::worker::RunSpec;
use measure::system::DaemonPlan;
use measure::system::ExecutorPlan;
use measure::system::FakePlatform;
use measure::system::System;
use measure::system::TOKEN;
use measure::system::callers::Callers;
use measure::system::callers::Counts;
use measure::system::callers::Load;
use measure::system::client;
use measure::system::three_daemons;
use measure::system::wait_until;
use measure::system::workers_in_racks;
use model::Priority;
use model::Size;
use model::id::TaskId;
use model::place::Place;
use plat::hosts::HostState;
use tokio::time::sleep;

/// Seed of all random choices.
const SEED: u64 = 20_261_203;
/// Upstream that is handed over.
const PARTS: &str = "parts";
/// Capacity of each worker.
const WORKER_CAPACITY: Size = Size::new(8000, 16_384, 0);
/// Number of batch tasks to run.
const TASKS: usize = 24;
/// Maximum time for a step of the run.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the document, with the upstream `parts` in the half `parts_half`.
fn document(parts_half: &str) -> String {
    r#"{
    // The two halves of the organisation.
    "halves": { "noord": { "share_percent": 60 }, "zuid": { "share_percent": 40 } },
    "regions": {
        "vlaanderen": { "data_centres": ["limburg", "antwerpen"] },
        "wallonie": { "data_centres": ["namur"] }
    },
    "upstreams": {
        "planning": { "half": "noord", "routes": ["/plan"] },
        "parts": { "half": "PARTS_HALF", "routes": ["/parts"] }
    },
    "teams": { "fleet": { "half": "noord", "quota": { "cpu_millis": 28000, "memory_mib": 57344 } } },
    "classes": { "fleet-check": { "kind": "batch", "half": "noord" } },
    "sharing": { "tail_weight": 6, "throughput_weight": 2, "evictions_weight": 2 }
}
"#
    .replace("PARTS_HALF", parts_half)
}

fn daemons() -> Vec<DaemonPlan> {
    three_daemons(["noord", "zuid"])
}

fn executors() -> Vec<ExecutorPlan> {
    let executor = |upstream: &str, data_centre: &str, number: usize| {
        ExecutorPlan::new(
            &format!("{upstream}-{number}"),
            upstream,
            Place::new("vlaanderen", data_centre),
        )
    };
    vec![
        executor("planning", "limburg", 1),
        executor("planning", "antwerpen", 2),
        executor("planning", "limburg", 3),
        executor(PARTS, "antwerpen", 1),
        executor(PARTS, "limburg", 2),
        executor(PARTS, "antwerpen", 3),
    ]
}

fn submission(number: usize) -> Submission {
    Submission {
        task: TaskId::from(format!("check-{number}")),
        team: "fleet".into(),
        class: "fleet-check".into(),
        priority: if number.is_multiple_of(8) {
            Priority::Urgent
        } else {
            Priority::Normal
        },
        size: Size::new(1000, 1024, 0),
        run_ms: Some(12_000),
        max_failures: None,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let stay = std::env::args().any(|argument| argument == "--stay");
    if std::env::var_os("FIREFLYNOTCH_LOG").is_some() {
        let control = logs::Control::default();
        let clock = model::Clock::start();
        // This fails only if a logger is already set, in which case the log lines are missing.
        let _ = logs::init(&control, "quickstart".into(), clock, std::io::stderr());
    }
    match run(stay).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

type Error = Box<dyn std::error::Error>;

async fn run(stay: bool) -> Result<bool, Error> {
    println!("seed {SEED}");
    let programs =
        Arc::new(|_: &RunSpec| Program::batch(Size::new(900, 900, 0), Duration::from_secs(12)));
    let lag = Duration::from_millis(500);
    let platform = FakePlatform::start(
        &workers_in_racks(2, WORKER_CAPACITY),
        &executors(),
        &daemons(),
        programs,
        lag,
    )
    .await?;
    println!("{} stand-ins listen on loopback", platform.server_count());
    for executor in &platform.executors {
        executor.set_delay(|_| Duration::from_millis(5));
    }
    let mut system = System::start(platform, &daemons(), SEED).await?;
    let operators = system.daemons[2].operators;
    step(
        "apply the document",
        apply(operators, "first", "noord").await,
    )?;

    let targets = Arc::new(Mutex::new(system.caller_addresses()));
    let load = |path: &str, seed: u64| Load {
        callers: 8,
        pause: Duration::from_millis(20),
        path: path.into(),
        non_idempotent_percent: 20,
        seed,
    };
    let plan = Callers::start(&load("/plan", SEED + 1), &targets);
    let parts = Callers::start(&load("/parts", SEED + 2), &targets);
    for number in 0..TASKS {
        submit(operators, number).await?;
    }
    let ledger = system.platform.ledger.clone();
    let all_started = wait_until(STEP_TIMEOUT, async || ledger.counts().started >= TASKS).await;
    step(
        "start the tasks",
        all_started
            .then_some(())
            .ok_or("not all tasks started".into()),
    )?;

    let workers = &system.platform.workers;
    let busiest = (0..workers.len())
        .max_by_key(|index| workers[*index].running().len())
        .unwrap_or(0);
    system
        .platform
        .hosts
        .change(|list| list.workers[busiest].state = HostState::Leaving);
    let leaving = workers[busiest].clone();
    let is_empty = wait_until(STEP_TIMEOUT, async || leaving.running().is_empty()).await;
    step(
        "empty a leaving worker",
        is_empty
            .then_some(())
            .ok_or("tasks are still running on it".into()),
    )?;

    step(
        "hand parts over to zuid",
        apply(operators, "handover", "zuid").await,
    )?;
    sleep(Duration::from_secs(4)).await;

    let stopped = system.remove("antwerpen-1");
    remove_target(&targets, stopped.callers);
    step(
        "stop antwerpen-1 as planned",
        stopped.stop().await.map_err(Into::into),
    )?;
    let killed = system.remove("limburg-1");
    let address = killed.callers;
    killed.kill();
    println!("dropped limburg-1");
    sleep(Duration::from_millis(500)).await;
    remove_target(&targets, address);
    system.add(&daemons()[0], SEED + 10).await?;
    println!("its host was replaced");
    let ready = wait_until(
        STEP_TIMEOUT,
        async || matches!(system.daemons.last(), Some(newest) if newest.is_ready().await),
    );
    step(
        "limburg-1 is ready again",
        ready.await.then_some(()).ok_or("it is not ready".into()),
    )?;
    *targets
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner) = system.caller_addresses();

    let ended = wait_until(STEP_TIMEOUT * 2, async || {
        let page = client::tasks(operators, TaskState::Succeeded).await;
        page.is_ok_and(|page| page.tasks.len() == TASKS)
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    let plan = plan.finish().await;
    let parts = parts.finish().await;
    let succeeded = client::tasks(operators, TaskState::Succeeded)
        .await?
        .tasks
        .len();
    let all_checks_passed = report(&system, &plan, &parts, succeeded) && ended;
    println!(
        "{}",
        if all_checks_passed {
            "all promises held"
        } else {
            "A PROMISE WAS BROKEN"
        }
    );
    if stay {
        for daemon in &system.daemons {
            println!(
                "{}: callers {}, operators {}",
                daemon.id, daemon.callers, daemon.operators
            );
        }
        println!("operators' token: {TOKEN}; interrupt to end");
        tokio::signal::ctrl_c().await?;
    }
    Ok(all_checks_passed)
}

/// Submits a task, retrying under the same id while its shard has no owner yet.
async fn submit(operators: std::net::SocketAddr, number: usize) -> Result<(), Error> {
    let submission = submission(number);
    let accepted = wait_until(STEP_TIMEOUT, async || {
        client::submit(operators, &submission).await.is_ok()
    });
    accepted
        .await
        .then_some(())
        .ok_or_else(|| format!("{} was not accepted", submission.task).into())
}

async fn apply(operators: std::net::SocketAddr, op: &str, half: &str) -> Result<(), Error> {
    match client::apply(operators, op, &document(half)).await? {
        ApplyReply::Accepted { pending, .. } if pending.is_empty() => Ok(()),
        other => Err(format!("{other:?}").into()),
    }
}

fn step(what: &str, result: Result<(), Error>) -> Result<(), Error> {
    match result {
        Ok(()) => {
            println!("done: {what}");
            Ok(())
        }
        Err(error) => Err(format!("{what}: {error}").into()),
    }
}

fn remove_target(targets: &Arc<Mutex<Vec<std::net::SocketAddr>>>, removed: std::net::SocketAddr) {
    let mut targets = targets
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    targets.retain(|target| *target != removed);
}

/// Prints the outcome of all requests and tasks; returns whether the guarantees held.
fn report(system: &System, plan: &Counts, parts: &Counts, succeeded: usize) -> bool {
    let runs = &system.platform.runs;
    let mut all_checks_passed = true;
    for (name, counts) in [("plan", plan), ("parts", parts)] {
        let false_not_run = counts
            .not_run_ids
            .iter()
            .filter(|id| runs.runs(id) > 0)
            .count();
        let run_twice = counts
            .non_idempotent_ids
            .iter()
            .filter(|id| runs.runs(id) > 1)
            .count();
        println!(
            "{name}: sent {} answered {} not-run {} unknown {} wrong {} | said not run but was {} \
             | once-only run twice {} | p50 {:.1} ms p99 {:.1} ms p99.9 {:.1} ms",
            counts.sent,
            counts.answered,
            counts.not_run,
            counts.unknown,
            counts.wrong,
            false_not_run,
            run_twice,
            quantile_ms(counts, 0.5),
            quantile_ms(counts, 0.99),
            quantile_ms(counts, 0.999),
        );
        for (reason, count) in &counts.reasons {
            println!("  {count} x {reason}");
        }
        all_checks_passed &=
            false_not_run == 0 && run_twice == 0 && counts.wrong == 0 && counts.answered > 0;
    }
    let tally = system.platform.ledger.counts();
    println!(
        "tasks: submitted {TASKS} succeeded {succeeded} lost {} | runs begun {} resumed {} doubled {} \
         overcommitted {} checkpoints missing {}",
        TASKS - succeeded,
        tally.started,
        tally.resumed,
        tally.overlapping,
        tally.overcommits,
        tally.missing_checkpoints,
    );
    all_checks_passed
        && succeeded == TASKS
        && tally.resumed > 0
        && tally.overlapping + tally.overcommits + tally.missing_checkpoints == 0
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies are far below 2^52 us"
)]
fn quantile_ms(counts: &Counts, quantile: f64) -> f64 {
    counts.latency_us.value_at_quantile(quantile) as f64 / 1000.0
}
