//! Unused capacity once no further task fits, compared with first fit and best fit.

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
/// More tasks than fit on the fleet.
const TASKS: usize = 3000;
/// Number of seeds that the results are averaged over.
const SEEDS: u64 = 5;

/// Unused fraction of each resource, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
struct Idle {
    cpu: f64,
    memory: f64,
    accelerators: f64,
}

/// Measures the scheduler and both baselines on the same sequence of tasks.
pub fn run() -> Vec<Figure> {
    let mut idle = [Idle::default(); 3];
    for seed in SEED..SEED + SEEDS {
        let tasks = task_stream(seed);
        let results = [
            pack_by_scheduler(seed, &tasks),
            pack_first_fit(&tasks),
            pack_best_fit(&tasks),
        ];
        for (sum, one) in idle.iter_mut().zip(results) {
            sum.cpu += one.cpu / SEEDS as f64;
            sum.memory += one.memory / SEEDS as f64;
            sum.accelerators += one.accelerators / SEEDS as f64;
        }
    }
    let [scheduled_idle, first, best] = idle;
    let scarcer_resource = |idle: Idle| idle.cpu.min(idle.memory);
    vec![
        Figure::reported(
            "placement-idle-vs-first-fit",
            scarcer_resource(scheduled_idle),
            "1",
        )
        .baseline(scarcer_resource(first)),
        Figure::reported(
            "placement-idle-vs-best-fit",
            scarcer_resource(scheduled_idle),
            "1",
        )
        .baseline(scarcer_resource(best)),
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
        let fitting = (0..free.len()).filter(|index| size.fits(&free[*index]));
        let remaining = |index: &usize| {
            let left = free[*index].saturating_sub(size);
            left.dominant_share(&Size::new(64_000, 256_000, 4))
        };
        fitting.min_by(|one, other| remaining(one).total_cmp(&remaining(other)))
    })
}

fn pack(tasks: &[QueuedTask], choose: impl Fn(&[Size], &Size) -> Option<usize>) -> Idle {
    let mut free: Vec<Size> = fleet::workers(WORKERS)
        .iter()
        .map(|worker| worker.capacity)
        .collect();
    let total: Size = free.iter().copied().sum();
    for task in tasks {
        if let Some(index) = choose(&free, &task.declared) {
            free[index] = free[index].saturating_sub(&task.declared);
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
    let idle_fraction = |used: u64, total: u64| 1.0 - used as f64 / total as f64;
    Idle {
        cpu: idle_fraction(used.cpu_millis, total.cpu_millis),
        memory: idle_fraction(used.memory_mib, total.memory_mib),
        accelerators: idle_fraction(used.accelerators, total.accelerators),
    }
}
