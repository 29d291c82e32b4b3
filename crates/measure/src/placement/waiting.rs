//! Waiting time of urgent tasks on a full fleet, and of a large task behind a stream of small ones.

use std::time::Duration;

use conf::doc::Kind;
use model::Mono;
use model::Priority;
use model::Size;
use model::id::TaskId;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sched::Budget;
use sched::Config;
use sched::Decision;
use sched::Sched;
use sched::input::QueuedTask;
use sched::input::RunOutcome;

use crate::figure::Figure;
use crate::placement::SEED;
use crate::placement::fleet;

const WORKERS: usize = 65;
/// More tasks than fit on the fleet.
const TASKS: usize = 3000;
/// Urgent tasks that arrive together.
const URGENT_TASKS: usize = 50;
/// Time a worker needs to store a checkpoint and stop a task, in milliseconds.
const STOP_TIME_MS: u64 = 1000;
/// Interval between rounds of decisions, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 250;
/// Starts and evictions per round that the store's write rate allows.
const BUDGET_PER_ROUND: Budget = Budget {
    starts: 40,
    evictions: 40,
};
/// Target for the start of an urgent task in milliseconds; a users' requirement.
const URGENT_TARGET_MS: f64 = 2500.0;
/// Run time of a small task, in milliseconds.
const SMALL_RUN_MS: u64 = 60_000;
/// Time after which the large task is considered starved, in milliseconds.
const MAX_WAIT_MS: u64 = 1_800_000;

/// Measures both waiting times.
pub fn run() -> Vec<Figure> {
    let no_reservation = Config {
        reserve_after: Duration::MAX,
        ..Config::default()
    };
    let with_reservation = large_wait_ms(Config::default()) / 1000.0;
    let without_reservation = large_wait_ms(no_reservation) / 1000.0;
    vec![
        Figure::at_most(
            "placement-urgent-start",
            urgent_wait_ms(),
            "ms",
            URGENT_TARGET_MS,
        ),
        Figure::reported("placement-large-start-behind-small", with_reservation, "s")
            .baseline(without_reservation),
    ]
}

/// Returns the longest wait in milliseconds of urgent tasks that arrive together on a full fleet,
/// or NaN if some of them never start.
fn urgent_wait_ms() -> f64 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut sched = fleet::sched(SEED, WORKERS, Config::default());
    for number in 0..TASKS {
        sched.enqueue(fleet::task(&mut rng, number, Kind::Batch, Mono::ZERO));
    }
    let decisions = sched.decide(Mono::ZERO, fleet::UNLIMITED);
    fleet::confirm(&mut sched, &decisions, Mono::ZERO);
    let arrival = Mono(1000);
    for number in 0..URGENT_TASKS {
        let mut task = fleet::task(&mut rng, TASKS + number, Kind::Batch, arrival);
        task.priority = Priority::Urgent;
        task.task = TaskId::new(format!("urgent-{number}"));
        sched.enqueue(task);
    }
    let mut stopping: Vec<(u64, TaskId)> = Vec::new();
    let (mut started, mut worst, mut evictions) = (0, 0, 0);
    for round in 0..100 {
        let now = Mono(arrival.0 + round * ROUND_INTERVAL_MS);
        stopping.retain(|(at, task)| {
            let stops = *at <= now.0;
            if stops {
                sched.ended(task, RunOutcome::Stopped, now);
            }
            !stops
        });
        let decisions = sched.decide(now, BUDGET_PER_ROUND);
        for decision in &decisions {
            if let Decision::Evict { task, .. } = decision {
                stopping.push((now.0 + STOP_TIME_MS, task.clone()));
                evictions += 1;
            }
        }
        let urgent = fleet::confirm(&mut sched, &decisions, now);
        let urgent = urgent
            .iter()
            .filter(|task| task.as_str().starts_with("urgent"));
        let urgent = urgent.count();
        started += urgent;
        if urgent > 0 {
            worst = round * ROUND_INTERVAL_MS;
        }
    }
    println!("# {started} of {URGENT_TASKS} urgent tasks started after {evictions} evictions");
    if started < URGENT_TASKS {
        f64::NAN
    } else {
        worst as f64
    }
}

fn small_task(number: usize, now: Mono) -> QueuedTask {
    QueuedTask {
        task: TaskId::new(format!("small-{number}")),
        class: "c1".into(),
        declared: Size::new(4000, 8000, 0),
        run_ms: Some(SMALL_RUN_MS),
        team: format!("t{}", number % 100).as_str().into(),
        ..fleet::task(&mut SmallRng::seed_from_u64(SEED), number, Kind::Batch, now)
    }
}

/// Returns how long a task that needs a whole worker waits while small ones keep arriving, in
/// milliseconds.
fn large_wait_ms(cfg: Config) -> f64 {
    let mut sched = fleet::sched(SEED, WORKERS, cfg);
    let mut scheduled_ends: Vec<(u64, TaskId)> = Vec::new();
    let mut number = 0;
    for round in 0..MAX_WAIT_MS / ROUND_INTERVAL_MS {
        let now = Mono(round * ROUND_INTERVAL_MS);
        end_due_tasks(&mut sched, &mut scheduled_ends, now);
        while number < 1500 + round as usize * 6 {
            sched.enqueue(small_task(number, now));
            number += 1;
        }
        if round == 240 {
            let large = QueuedTask {
                task: "large".into(),
                class: "c3".into(),
                declared: fleet::WORKER_CAPACITY,
                ..small_task(number, now)
            };
            sched.enqueue(large);
        }
        let decisions = sched.decide(now, BUDGET_PER_ROUND);
        for task in fleet::confirm(&mut sched, &decisions, now) {
            if task.as_str() == "large" {
                return (now.0 - 240 * ROUND_INTERVAL_MS) as f64;
            }
            let spread = model::hash::stable_hash(task.as_str().as_bytes()) % 20_000;
            scheduled_ends.push((now.0 + SMALL_RUN_MS - spread, task));
        }
    }
    MAX_WAIT_MS as f64
}

fn end_due_tasks(sched: &mut Sched, scheduled_ends: &mut Vec<(u64, TaskId)>, now: Mono) {
    scheduled_ends.retain(|(at, task)| {
        let is_due = *at <= now.0;
        if is_due {
            sched.ended(task, RunOutcome::Succeeded, now);
        }
        !is_due
    });
}
