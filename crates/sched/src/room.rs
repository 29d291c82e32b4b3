//! Making room: whom to evict for an urgent task, and which worker to keep for a large one.

use std::time::Duration;

use model::Mono;
use model::Size;

use crate::book::Book;
use crate::key::Index;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::place;
use crate::place::Ask;
use crate::task::Task;
use crate::team;
use crate::worker::Worker;

/// What an eviction costs beside the work that is lost: the restart, in milliseconds of work.
const RESTART_COST_MS: u64 = 30_000;
/// What a task without any reported end is taken to run at least.
const UNKNOWN_RUN: Duration = Duration::from_secs(600);

/// Batch tasks on one worker whose eviction makes enough room.
#[derive(Clone, Debug)]
pub(crate) struct Victims {
    /// The worker.
    pub(crate) worker: WorkerKey,
    /// The tasks with the work that each loses, in milliseconds.
    pub(crate) tasks: Vec<(TaskKey, u64)>,
    cost: f64,
}

/// Returns what evicting a task costs, in milliseconds of one core.
///
/// A task that was evicted before costs more each time, so that none is evicted over and over; one
/// that is being evicted costs nothing more.
pub(crate) fn eviction_cost(task: &Task) -> f64 {
    let Some(run) = task.run() else {
        return f64::INFINITY;
    };
    if run.evicting {
        return 0.0;
    }
    let cores = run.reserved.cpu_millis as f64 / 1000.0;
    let again = f64::from(1 + task.evictions);
    (run.at_risk_ms() + RESTART_COST_MS) as f64 * cores.max(1.0) * again
}

/// Chooses the batch tasks whose eviction makes room for the task at the least cost; only those of
/// `half` where one is given, because the room is then needed in its share.
pub(crate) fn victims(
    book: &Book,
    ask: &Ask<'_>,
    half: Option<Index>,
    now: Mono,
) -> Option<Victims> {
    let class = &book.classes[ask.class];
    let mut best: Option<Victims> = None;
    for site in &class.sites {
        let pool = &book.pools[usize::from(site.0)];
        for key in pool.plain.iter().chain(&pool.accelerated) {
            let worker = &book.workers[*key];
            let eligible = worker.is_open()
                && worker
                    .hold
                    .is_none_or(|hold| hold.yields_to(ask.task, ask.urgent))
                && worker.health.admits(now, false)
                && class.rack_has_room(worker.rack)
                && ask.reservation.fits(&worker.capacity);
            if !eligible {
                continue;
            }
            let found = victims_on(book, ask, *key, half);
            best = match (best, found) {
                (Some(best), Some(found)) if found.cost < best.cost => Some(found),
                (None, found) => found,
                (best, _) => best,
            };
        }
    }
    best
}

/// Chooses tasks on one worker, the cheapest first, until there is room; then spares those that
/// turned out not to be needed.
fn victims_on(book: &Book, ask: &Ask<'_>, key: WorkerKey, half: Option<Index>) -> Option<Victims> {
    let worker = &book.workers[key];
    let mut candidates: Vec<(f64, TaskKey)> = worker
        .tasks
        .iter()
        .filter(|task| is_evictable(book, ask, **task, half))
        .map(|task| (eviction_cost(&book.tasks[*task]), *task))
        .collect();
    candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut chosen = Vec::new();
    let mut freed = Size::ZERO;
    for (cost, task) in candidates {
        if has_room(book, ask, worker, &freed) {
            break;
        }
        freed += reserved(book, task);
        chosen.push((cost, task));
    }
    if !has_room(book, ask, worker, &freed) {
        return None;
    }
    spare(book, ask, worker, &mut chosen, freed);
    let cost = chosen.iter().map(|(cost, _)| cost).sum();
    let with_loss = |(_, task): &(f64, TaskKey)| (*task, at_risk(book, *task));
    Some(Victims {
        worker: key,
        tasks: chosen.iter().map(with_loss).collect(),
        cost,
    })
}

fn spare(
    book: &Book,
    ask: &Ask<'_>,
    worker: &Worker,
    chosen: &mut Vec<(f64, TaskKey)>,
    mut freed: Size,
) {
    let mut at = chosen.len();
    while at > 0 {
        at -= 1;
        let without = freed.saturating_sub(&reserved(book, chosen[at].1));
        if has_room(book, ask, worker, &without) {
            freed = without;
            chosen.remove(at);
        }
    }
}

fn is_evictable(book: &Book, ask: &Ask<'_>, key: TaskKey, half: Option<Index>) -> bool {
    let task = &book.tasks[key];
    let spared = task.is_urgent() && ask.urgent;
    let in_half = half.is_none_or(|half| book.teams[task.team].half == half);
    !book.classes[task.class].is_service() && !spared && in_half && task.run().is_some()
}

fn has_room(book: &Book, ask: &Ask<'_>, worker: &Worker, freed: &Size) -> bool {
    let room = worker.free() + *freed;
    let class = &book.classes[ask.class];
    let most = team::percent(&worker.capacity, book.sharing.batch_percent);
    let batch = worker.batch.saturating_sub(freed);
    let beside = if class.is_service() {
        batch.cpu_millis <= most.cpu_millis && batch.memory_mib <= most.memory_mib
    } else {
        place::batch_has_room(book, ask, class, worker) || {
            let batch = batch + ask.reservation;
            batch.cpu_millis <= most.cpu_millis && batch.memory_mib <= most.memory_mib
        }
    };
    ask.reservation.fits(&room) && beside
}

fn reserved(book: &Book, task: TaskKey) -> Size {
    let run = book.tasks[task].run();
    run.map_or(Size::ZERO, |run| run.reserved)
}

fn at_risk(book: &Book, task: TaskKey) -> u64 {
    let run = book.tasks[task].run();
    run.map_or(0, |run| run.at_risk_ms())
}

/// Returns the worker that will have room for a large task soonest, and when.
pub(crate) fn soonest(book: &Book, ask: &Ask<'_>, now: Mono) -> Option<(WorkerKey, Mono)> {
    let class = &book.classes[ask.class];
    let pools = class
        .sites
        .iter()
        .map(|site| &book.pools[usize::from(site.0)]);
    let keys = pools.flat_map(|pool| pool.plain.iter().chain(&pool.accelerated));
    let expected = keys.filter_map(|key| {
        let worker = &book.workers[*key];
        let eligible = worker.is_open()
            && worker.hold.is_none()
            && worker.health.admits(now, false)
            && class.rack_has_room(worker.rack)
            && (!ask.spares_accelerators || worker.capacity.accelerators == 0);
        let at = eligible
            .then(|| room_at(book, ask, worker, now))
            .flatten()?;
        Some((*key, at))
    });
    expected.min_by_key(|(_, at)| *at)
}

/// Returns when the batch tasks on a worker will have left enough room.
fn room_at(book: &Book, ask: &Ask<'_>, worker: &Worker, now: Mono) -> Option<Mono> {
    let mut ends: Vec<(Mono, TaskKey)> = worker
        .tasks
        .iter()
        .filter(|task| !book.classes[book.tasks[**task].class].is_service())
        .map(|task| (expected_end(book, &book.tasks[*task], now), *task))
        .collect();
    ends.sort();
    let mut freed = Size::ZERO;
    let mut at = now;
    for (end, task) in ends {
        if has_room(book, ask, worker, &freed) {
            return Some(at);
        }
        freed += reserved(book, task);
        at = end;
    }
    has_room(book, ask, worker, &freed).then_some(at)
}

/// Returns when a task should end: by the learned run time of its class, else by its own claim. A
/// task that has outlived that is taken to run for as long again.
fn expected_end(book: &Book, task: &Task, now: Mono) -> Mono {
    let Some(run) = task.run() else {
        return now;
    };
    let class = &book.classes[task.class];
    let claimed = class.sizes.run_high_ms.or(task.run_ms);
    let gone = now.since(run.since);
    let whole = claimed.map_or(UNKNOWN_RUN, Duration::from_millis);
    let left = whole.saturating_sub(gone);
    now.after(if left.is_zero() { gone } else { left })
}
