//! How much capacity lies idle once nothing more fits, against first fit and best fit.

use conf::doc::Kind;
use model::Mono;
use model::Size;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sched::Config;
use sched::input::QueuedTask;

use crate::figure::Figure;
use crate::placement::SEED;
use crate::placement::fleet;

const WORKERS: usize = 65;
/// More tasks than the fleet can hold.
const TASKS: usize = 3000;
const SEEDS: u64 = 5;

/// How much of each dimension lies idle, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
struct Idle {
    cpu: f64,
    memory: f64,
    accelerators: f64,
}

/// Measures the scheduler and both baselines on the same stream of tasks.
pub fn run() -> Vec<Figure> {
    let mut idle = [Idle::default(); 3];
    for seed in SEED..SEED + SEEDS {
        let tasks = task_stream(seed);
        let of = [
            pack_by_scheduler(seed, &tasks),
            pack_first_fit(&tasks),
            pack_best_fit(&tasks),
        ];
        for (sum, one) in idle.iter_mut().zip(of) {
            sum.cpu += one.cpu / SEEDS as f64;
            sum.memory += one.memory / SEEDS as f64;
            sum.accelerators += one.accelerators / SEEDS as f64;
        }
    }
    let [scheduled_idle, first, best] = idle;
    let less_idle_dimension = |idle: Idle| idle.cpu.min(idle.memory);
    vec![
        Figure::reported(
            "placement-idle-vs-first-fit",
            less_idle_dimension(scheduled_idle),
            "1",
        )
        .baseline(less_idle_dimension(first)),
        Figure::reported(
            "placement-idle-vs-best-fit",
            less_idle_dimension(scheduled_idle),
            "1",
        )
        .baseline(less_idle_dimension(best)),
        Figure::reported(
            "placement-idle-accelerators-vs-first-fit",
            scheduled_idle.accelerators,
            "1",
        )
        .baseline(first.accelerators),
        Figure::reported(
            "placement-idle-accelerators-vs-best-fit",
            scheduled_idle.accelerators,
            "1",
        )
        .baseline(best.accelerators),
    ]
}

fn task_stream(seed: u64) -> Vec<QueuedTask> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let task = |number| {
        let mut task = fleet::task(&mut rng, number, Kind::Batch, Mono(number as u64));
        task.class = "c1".into();
        task
    };
    (0..TASKS).map(task).collect()
}

fn pack_by_scheduler(seed: u64, tasks: &[QueuedTask]) -> Idle {
    let mut sched = fleet::sched(seed, WORKERS, Config::default());
    for task in tasks {
        sched.enqueue(task.clone());
        let decisions = sched.decide(task.submitted_at, fleet::UNLIMITED);
        fleet::confirm(&mut sched, &decisions, task.submitted_at);
    }
    let used = sched
        .dump()
        .workers
        .iter()
        .map(|worker| worker.reserved)
        .sum();
    idle(used)
}

fn pack_first_fit(tasks: &[QueuedTask]) -> Idle {
    pack(tasks, |free, size| {
        free.iter().position(|free| size.fits(free))
    })
}

fn pack_best_fit(tasks: &[QueuedTask]) -> Idle {
    pack(tasks, |free, size| {
        let fitting = (0..free.len()).filter(|at| size.fits(&free[*at]));
        let left = |at: &usize| {
            let left = free[*at].saturating_sub(size);
            left.dominant_share(&Size::new(64_000, 256_000, 4))
        };
        fitting.min_by(|one, other| left(one).total_cmp(&left(other)))
    })
}

fn pack(tasks: &[QueuedTask], choose: impl Fn(&[Size], &Size) -> Option<usize>) -> Idle {
    let mut free: Vec<Size> = fleet::workers(WORKERS)
        .iter()
        .map(|worker| worker.capacity)
        .collect();
    let total: Size = free.iter().copied().sum();
    for task in tasks {
        if let Some(at) = choose(&free, &task.declared) {
            free[at] = free[at].saturating_sub(&task.declared);
        }
    }
    let left: Size = free.iter().copied().sum();
    idle(total.saturating_sub(&left))
}

fn idle(used: Size) -> Idle {
    let total: Size = fleet::workers(WORKERS)
        .iter()
        .map(|worker| worker.capacity)
        .sum();
    let part = |used: u64, total: u64| 1.0 - used as f64 / total as f64;
    Idle {
        cpu: part(used.cpu_millis, total.cpu_millis),
        memory: part(used.memory_mib, total.memory_mib),
        accelerators: part(used.accelerators, total.accelerators),
    }
}
