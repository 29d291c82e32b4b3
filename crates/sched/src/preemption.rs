//! Frees capacity: chooses batch tasks to evict for an urgent task or a service, and a worker to
//! reserve for a large task.

use std::time::Duration;

use model::Mono;
use model::Size;

use crate::cluster::Cluster;
use crate::key::Index;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::placement;
use crate::placement::PlacementRequest;
use crate::task::Task;
use crate::team;
use crate::worker::Worker;

/// The cost of the restart after an eviction, in milliseconds of work.
const RESTART_COST_MS: u64 = 30_000;
/// The expected run time of a task if neither its class nor the task itself gives one.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(600);

/// Batch tasks on one worker whose eviction frees enough capacity.
#[derive(Clone, Debug)]
pub(crate) struct Victims {
    /// The worker that they run on.
    pub(crate) worker: WorkerKey,
    /// The tasks, with the work in milliseconds that each of them loses.
    pub(crate) tasks: Vec<(TaskKey, u64)>,
    cost: f64,
}

/// Returns the cost of evicting a task, in milliseconds of one core.
///
/// The cost grows with each earlier eviction, so that no task is evicted over and over. A task that
/// is already being evicted costs nothing.
pub(crate) fn eviction_cost(task: &Task) -> f64 {
    let Some(run) = task.run() else {
        return f64::INFINITY;
    };
    if run.evicting {
        return 0.0;
    }
    let cores = run.reserved.cpu_millis as f64 / 1000.0;
    let repeat_factor = f64::from(1 + task.evictions);
    (run.unsaved_ms() + RESTART_COST_MS) as f64 * cores.max(1.0) * repeat_factor
}

/// Chooses the batch tasks whose eviction lets the task start at the least cost. With `half`, only
/// tasks of that half are evicted, because its share is used up.
pub(crate) fn victims(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    half: Option<Index>,
    now: Mono,
) -> Option<Victims> {
    let class = &cluster.classes[request.class];
    let mut best: Option<Victims> = None;
    for site in &class.sites {
        let pool = &cluster.pools[site.0];
        for key in pool.plain.iter().chain(&pool.accelerated) {
            let worker = &cluster.workers[*key];
            let eligible = worker.is_schedulable()
                && worker
                    .reserved_for
                    .is_none_or(|reservation| reservation.allows(request.task, request.urgent))
                && worker.health.admits(now, false)
                && class.rack_admits(worker.rack)
                && request.reservation.fits(&worker.capacity);
            if !eligible {
                continue;
            }
            let candidate = victims_on(cluster, request, *key, half);
            best = match (best, candidate) {
                (Some(best), Some(candidate)) if candidate.cost < best.cost => Some(candidate),
                (None, candidate) => candidate,
                (best, _) => best,
            };
        }
    }
    best
}

/// Chooses tasks on one worker, the cheapest first, until the task fits, and then removes those
/// that turned out not to be needed.
fn victims_on(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    key: WorkerKey,
    half: Option<Index>,
) -> Option<Victims> {
    let worker = &cluster.workers[key];
    let mut candidates: Vec<(f64, TaskKey)> = worker
        .tasks
        .iter()
        .filter(|task| is_evictable(cluster, request, **task, half))
        .map(|task| (eviction_cost(&cluster.tasks[*task]), *task))
        .collect();
    candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut chosen = Vec::new();
    let mut freed = Size::ZERO;
    for (cost, task) in candidates {
        if fits_after_freeing(cluster, request, worker, &freed) {
            break;
        }
        freed += reserved(cluster, task);
        chosen.push((cost, task));
    }
    if !fits_after_freeing(cluster, request, worker, &freed) {
        return None;
    }
    remove_unneeded(cluster, request, worker, &mut chosen, freed);
    let cost = chosen.iter().map(|(cost, _)| cost).sum();
    let with_lost_work = |(_, task): &(f64, TaskKey)| (*task, unsaved_ms(cluster, *task));
    Some(Victims {
        worker: key,
        tasks: chosen.iter().map(with_lost_work).collect(),
        cost,
    })
}

fn remove_unneeded(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    worker: &Worker,
    chosen: &mut Vec<(f64, TaskKey)>,
    mut freed: Size,
) {
    let mut at = chosen.len();
    while at > 0 {
        at -= 1;
        let without = freed.saturating_sub(&reserved(cluster, chosen[at].1));
        if fits_after_freeing(cluster, request, worker, &without) {
            freed = without;
            chosen.remove(at);
        }
    }
}

fn is_evictable(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    key: TaskKey,
    half: Option<Index>,
) -> bool {
    let task = &cluster.tasks[key];
    let is_protected = task.is_urgent() && request.urgent;
    let in_half = half.is_none_or(|half| cluster.teams[task.team].half == half);
    !cluster.classes[task.class].is_service() && !is_protected && in_half && task.run().is_some()
}

fn fits_after_freeing(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    worker: &Worker,
    freed: &Size,
) -> bool {
    let available = worker.free() + *freed;
    let class = &cluster.classes[request.class];
    let max_batch = team::percent_of(&worker.capacity, cluster.sharing.batch_percent);
    let batch = worker.batch_reserved.saturating_sub(freed);
    let fits_batch_share = if class.is_service() {
        batch.cpu_millis <= max_batch.cpu_millis && batch.memory_mib <= max_batch.memory_mib
    } else {
        placement::batch_fits(cluster, request, class, worker) || {
            let batch = batch + request.reservation;
            batch.cpu_millis <= max_batch.cpu_millis && batch.memory_mib <= max_batch.memory_mib
        }
    };
    request.reservation.fits(&available) && fits_batch_share
}

fn reserved(cluster: &Cluster, task: TaskKey) -> Size {
    let run = cluster.tasks[task].run();
    run.map_or(Size::ZERO, |run| run.reserved)
}

fn unsaved_ms(cluster: &Cluster, task: TaskKey) -> u64 {
    let run = cluster.tasks[task].run();
    run.map_or(0, |run| run.unsaved_ms())
}

/// Returns the worker that is expected to have enough free capacity for a large task first, and
/// when.
pub(crate) fn earliest_available(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    now: Mono,
) -> Option<(WorkerKey, Mono)> {
    let class = &cluster.classes[request.class];
    let pools = class.sites.iter().map(|site| &cluster.pools[site.0]);
    let keys = pools.flat_map(|pool| pool.plain.iter().chain(&pool.accelerated));
    let expected = keys.filter_map(|key| {
        let worker = &cluster.workers[*key];
        let eligible = worker.is_schedulable()
            && worker.reserved_for.is_none()
            && worker.health.admits(now, false)
            && class.rack_admits(worker.rack)
            && (!request.preserves_accelerators || worker.capacity.accelerators == 0);
        let at = eligible
            .then(|| available_at(cluster, request, worker, now))
            .flatten()?;
        Some((*key, at))
    });
    expected.min_by_key(|(_, at)| *at)
}

/// Returns when enough batch tasks on a worker are expected to have ended.
fn available_at(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    worker: &Worker,
    now: Mono,
) -> Option<Mono> {
    let mut ends: Vec<(Mono, TaskKey)> = worker
        .tasks
        .iter()
        .filter(|task| !cluster.classes[cluster.tasks[**task].class].is_service())
        .map(|task| (expected_end(cluster, &cluster.tasks[*task], now), *task))
        .collect();
    ends.sort();
    let mut freed = Size::ZERO;
    let mut at = now;
    for (end, task) in ends {
        if fits_after_freeing(cluster, request, worker, &freed) {
            return Some(at);
        }
        freed += reserved(cluster, task);
        at = end;
    }
    fits_after_freeing(cluster, request, worker, &freed).then_some(at)
}

/// Returns when a task is expected to end: by the learned run time of its class, otherwise by its
/// declared run time. A task that has already run for longer is expected to run for as long again.
fn expected_end(cluster: &Cluster, task: &Task, now: Mono) -> Mono {
    let Some(run) = task.run() else {
        return now;
    };
    let class = &cluster.classes[task.class];
    let expected_ms = class.sizes.run_p90_ms.or(task.run_ms);
    let elapsed = now.since(run.started_at);
    let run_time = expected_ms.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
    let remaining = run_time.saturating_sub(elapsed);
    now.after(if remaining.is_zero() {
        elapsed
    } else {
        remaining
    })
}
