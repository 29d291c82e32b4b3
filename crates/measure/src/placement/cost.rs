//! Cost of a task start at the present and at the target size, and the scheduler's memory use.

use conf::doc::Kind;
use model::Mono;
use model::Size;
use model::id::TaskId;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sched::Config;
use sched::Decision;
use sched::Sched;
use sched::input::RunOutcome;
use sched::input::RunStatus;
use sched::input::UsageReport;
use tokio::time::Instant;

use crate::figure::Figure;
use crate::placement::SEED;
use crate::placement::fleet;

/// Workers, service tasks and batch tasks at the target size.
const TARGET_FLEET: (usize, usize, usize) = (660, 4200, 4400);
/// Workers, service tasks and batch tasks at present.
const CURRENT_FLEET: (usize, usize, usize) = (65, 413, 433);
/// Target for the cost of one placement in microseconds, from issue 5.
const COST_TARGET_US: f64 = 50.0;
/// Target for the scheduler's resident memory in MB, from issue 5.
const RESIDENT_TARGET_MB: f64 = 64.0;
/// Peak rate of task starts at the target size.
const STARTS_PER_S: usize = 35;
/// Simulated seconds that are measured.
const MEASURED_S: u64 = 200;

/// Measures memory and cost at the target size, then the cost at the present size.
pub fn run() -> Vec<Figure> {
    let before = resident_mb();
    let (mut sched, mut running) = filled_scheduler(TARGET_FLEET);
    let resident = resident_mb() - before;
    println!("# {} tasks run at 660 workers", running.len());
    let (target, target_worst) = cost(&mut sched, &mut running);
    let (mut sched, mut running) = filled_scheduler(CURRENT_FLEET);
    println!("# {} tasks run at 65 workers", running.len());
    let (current, current_worst) = cost(&mut sched, &mut running);
    vec![
        Figure::at_most("placement-cost-65-workers", current, "us", COST_TARGET_US),
        Figure::reported("placement-cost-65-workers-worst-round", current_worst, "us"),
        Figure::at_most("placement-cost-660-workers", target, "us", COST_TARGET_US),
        Figure::reported("placement-cost-660-workers-worst-round", target_worst, "us"),
        Figure::at_most(
            "placement-resident-660-workers",
            resident,
            "MB",
            RESIDENT_TARGET_MB,
        ),
    ]
}

fn filled_scheduler((workers, services, batch): (usize, usize, usize)) -> (Sched, Vec<TaskId>) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut sched = fleet::sched(SEED, workers, Config::default());
    let now = Mono::ZERO;
    let mut running = Vec::new();
    for (first, count, kind) in [(0, services, Kind::Service), (services, batch, Kind::Batch)] {
        for number in first..first + count {
            sched.enqueue(fleet::task(&mut rng, number, kind, now));
        }
        for second in 0..10 {
            let now = Mono(second * 2000);
            let decisions = sched.decide(now, fleet::UNLIMITED);
            let started = fleet::confirm(&mut sched, &decisions, now);
            report(&mut sched, &decisions, second + 1, now);
            running.extend(started);
        }
    }
    (sched, running)
}

/// Reports each started task once, so that the scheduler knows worker loads and co-located pairs.
fn report(sched: &mut Sched, decisions: &[Decision], sequence: u64, now: Mono) {
    let mut by_worker: model::Map<_, Vec<RunStatus>> = model::Map::default();
    for decision in decisions {
        if let Decision::Start {
            task,
            worker,
            reserved,
            ..
        } = decision
        {
            by_worker
                .entry(worker.clone())
                .or_default()
                .push(RunStatus {
                    task: task.clone(),
                    usage: Size::new(reserved.cpu_millis * 3 / 10, reserved.memory_mib / 2, 0),
                    checkpoint: None,
                    progress_ms: 0,
                    p99_us: Some(40_000),
                    throttle_permille: 1000,
                });
        }
    }
    for (worker, runs) in by_worker {
        let usage = UsageReport {
            sequence,
            age_ms: 0,
            runs,
        };
        sched.report(&worker, &usage, now);
    }
}

/// Returns the mean and the worst cost of a start in microseconds.
///
/// In each simulated second as many tasks end as arrive; a round of decisions runs every 250 ms.
fn cost(sched: &mut Sched, running: &mut Vec<TaskId>) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(SEED + 1);
    let mut number = 1_000_000;
    let (mut spent, mut starts, mut worst) = (0.0, 0_usize, 0.0_f64);
    for second in 0..MEASURED_S {
        for _ in 0..STARTS_PER_S {
            let ended_task = running.swap_remove(rng.random_range(0..running.len()));
            sched.ended(
                &ended_task,
                RunOutcome::Succeeded,
                Mono(20_000 + second * 1000),
            );
            let kind = [Kind::Batch, Kind::Service][usize::from(rng.random_range(0..2) == 0)];
            let now = Mono(20_000 + second * 1000);
            sched.enqueue(fleet::task(&mut rng, number, kind, now));
            number += 1;
        }
        for quarter in 0..4 {
            let now = Mono(20_000 + second * 1000 + quarter * 250);
            let timer = Instant::now();
            let decisions = sched.decide(now, fleet::UNLIMITED);
            let us = timer.elapsed().as_secs_f64() * 1e6;
            let started = fleet::confirm(sched, &decisions, now);
            spent += us;
            starts += started.len();
            if !started.is_empty() {
                worst = worst.max(us / started.len() as f64);
            }
            running.extend(started);
        }
    }
    println!("# {starts} starts, {} wait", sched.dump().queued);
    (spent / starts.max(1) as f64, worst)
}

/// Returns the resident set size of this process in MB.
fn resident_mb() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * PAGE_BYTES / 1e6
}
