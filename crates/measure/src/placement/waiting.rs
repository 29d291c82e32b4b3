//! How long urgent tasks wait on a full fleet, and large ones behind a stream of small ones.

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
const TASKS: usize = 3000;
const URGENT: usize = 50;
/// How long a worker takes to store a checkpoint and stop, in milliseconds.
const STOP_MS: u64 = 1000;
/// How often decisions are taken, in milliseconds.
const ROUND_MS: u64 = 250;
/// What the store's writes allow in one round.
const BUDGET: Budget = Budget {
    starts: 40,
    evictions: 40,
};
/// The target for an urgent start in milliseconds, from the users' letter.
const URGENT_MS: f64 = 2500.0;
/// How long a small task runs, in milliseconds.
const SMALL_RUN_MS: u64 = 60_000;
/// When the wait of a large task is given up, in milliseconds.
const GIVE_UP_MS: u64 = 1_800_000;

/// Measures both.
pub fn run() -> Vec<Figure> {
    let never = Config {
        reserve_after: Duration::MAX,
        ..Config::default()
    };
    let held = large_wait_ms(Config::default()) / 1000.0;
    let without = large_wait_ms(never) / 1000.0;
    vec![
        Figure::at_most("placement-urgent-start", urgent_wait_ms(), "ms", URGENT_MS),
        Figure::reported("placement-large-start-behind-small", held, "s").baseline(without),
    ]
}

/// Returns the longest wait of urgent tasks that arrive together on a full fleet.
fn urgent_wait_ms() -> f64 {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut sched = fleet::sched(SEED, WORKERS, Config::default());
    for number in 0..TASKS {
        sched.enqueue(fleet::task(&mut rng, number, Kind::Batch, Mono::ZERO));
    }
    let decisions = sched.decide(Mono::ZERO, fleet::UNBOUNDED);
    fleet::confirm(&mut sched, &decisions, Mono::ZERO);
    let arrive = Mono(1000);
    for number in 0..URGENT {
        let mut task = fleet::task(&mut rng, TASKS + number, Kind::Batch, arrive);
        task.priority = Priority::Urgent;
        task.task = TaskId::new(format!("urgent-{number}"));
        sched.enqueue(task);
    }
    let mut stopping: Vec<(u64, TaskId)> = Vec::new();
    let (mut started, mut worst, mut evictions) = (0, 0, 0);
    for round in 0..100 {
        let now = Mono(arrive.0 + round * ROUND_MS);
        stopping.retain(|(at, task)| {
            let stops = *at <= now.0;
            if stops {
                sched.ended(task, RunOutcome::Stopped, now);
            }
            !stops
        });
        let decisions = sched.decide(now, BUDGET);
        for decision in &decisions {
            if let Decision::Evict { task, .. } = decision {
                stopping.push((now.0 + STOP_MS, task.clone()));
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
            worst = round * ROUND_MS;
        }
    }
    println!("# {started} of {URGENT} urgent tasks started after {evictions} evictions");
    if started < URGENT {
        f64::NAN
    } else {
        worst as f64
    }
}

fn small(number: usize, now: Mono) -> QueuedTask {
    QueuedTask {
        task: TaskId::new(format!("small-{number}")),
        class: "c1".into(),
        declared: Size::new(4000, 8000, 0),
        run_ms: Some(SMALL_RUN_MS),
        team: format!("t{}", number % 100).as_str().into(),
        ..fleet::task(&mut SmallRng::seed_from_u64(SEED), number, Kind::Batch, now)
    }
}

/// Returns how long a task of a whole worker waits while small ones keep coming.
fn large_wait_ms(cfg: Config) -> f64 {
    let mut sched = fleet::sched(SEED, WORKERS, cfg);
    let mut ends: Vec<(u64, TaskId)> = Vec::new();
    let mut number = 0;
    for round in 0..GIVE_UP_MS / ROUND_MS {
        let now = Mono(round * ROUND_MS);
        end_due(&mut sched, &mut ends, now);
        while number < 1500 + round as usize * 6 {
            sched.enqueue(small(number, now));
            number += 1;
        }
        if round == 240 {
            let large = QueuedTask {
                task: "large".into(),
                class: "c3".into(),
                declared: fleet::PLAIN,
                ..small(number, now)
            };
            sched.enqueue(large);
        }
        let decisions = sched.decide(now, BUDGET);
        for task in fleet::confirm(&mut sched, &decisions, now) {
            if task.as_str() == "large" {
                return (now.0 - 240 * ROUND_MS) as f64;
            }
            let spread = model::hash::stable_hash(task.as_str().as_bytes()) % 20_000;
            ends.push((now.0 + SMALL_RUN_MS - spread, task));
        }
    }
    GIVE_UP_MS as f64
}

fn end_due(sched: &mut Sched, ends: &mut Vec<(u64, TaskId)>, now: Mono) {
    ends.retain(|(at, task)| {
        let is_due = *at <= now.0;
        if is_due {
            sched.ended(task, RunOutcome::Succeeded, now);
        }
        !is_due
    });
}
