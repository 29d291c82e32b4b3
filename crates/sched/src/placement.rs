//! Chooses the worker that a task starts on.
//!
//! Workers are indexed by site and by whether they have accelerators. All workers with enough free
//! capacity get a cheap score for how well the task fills them. The best of them are scored in
//! full, including the effect of the task on the tail latency of services. See `docs/POLICY.md`.

use model::Mono;
use model::Size;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::class::Class;
use crate::cluster::Cluster;
use crate::cluster::Pool;
use crate::config::Config;
use crate::interference::InterferenceModel;
use crate::interference::ServiceLoad;
use crate::key::ClassKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::policy::Policy;
use crate::team;
use crate::worker::Worker;
use crate::worker_load;

/// The percentage of an accelerated worker's processors and memory that its free accelerators need.
const ACCELERATOR_NEED_PERCENT: u8 = 50;
/// The cost of placing a task without accelerators on a worker that has some.
const STRANDED_ACCELERATOR_COST: f64 = 4.0;
/// The cost of a worker on which the same job has failed.
const FAILED_JOB_COST: f64 = 8.0;
/// The cost for a service of each task of the same class on the rack.
const SAME_RACK_COST: f64 = 0.5;
/// The cost of the difference between the free fractions of processors and memory.
const IMBALANCE_COST: f64 = 0.5;
/// The bonus of a quarantined worker whose probe is due.
const PROBE_BONUS: f64 = 16.0;
/// The fraction of the limit up to which a predicted p99 costs nothing.
const FREE_TAIL_RATIO: f64 = 0.7;

/// A task to be placed and its requirements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRequest<'a> {
    /// The task to place.
    pub(crate) task: TaskKey,
    /// The class of the task.
    pub(crate) class: ClassKey,
    /// The size to reserve for the task.
    pub(crate) reservation: Size,
    /// Whether the task is urgent.
    pub(crate) urgent: bool,
    /// Whether the task may probe a quarantined worker.
    pub(crate) may_probe: bool,
    /// Whether the task has to leave processors and memory for free accelerators.
    pub(crate) preserves_accelerators: bool,
    /// The workers on which the task has failed.
    pub(crate) avoid: &'a [WorkerKey],
}

/// The state that a placement depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementContext<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) interference: &'a InterferenceModel,
    pub(crate) policy: &'a Policy,
    pub(crate) cfg: &'a Config,
    pub(crate) now: Mono,
}

/// Finds workers for tasks; reuses its buffer between calls.
#[derive(Debug, Default)]
pub(crate) struct Placer {
    feasible: Vec<(f64, WorkerKey)>,
}

impl Placer {
    /// Returns the best worker that can start the task now.
    pub(crate) fn find(
        &mut self,
        context: &PlacementContext<'_>,
        request: &PlacementRequest<'_>,
        rng: &mut SmallRng,
    ) -> Option<WorkerKey> {
        self.feasible.clear();
        let class = &context.cluster.classes[request.class];
        for site in &class.sites {
            let pool = &context.cluster.pools[site.0];
            self.scan(context, request, class, pool, rng);
        }
        self.best(context, request)
    }

    fn scan(
        &mut self,
        context: &PlacementContext<'_>,
        request: &PlacementRequest<'_>,
        class: &Class,
        pool: &Pool,
        rng: &mut SmallRng,
    ) {
        if request.reservation.accelerators == 0 {
            self.scan_list(context, request, class, &pool.plain, rng);
        }
        self.scan_list(context, request, class, &pool.accelerated, rng);
    }

    fn scan_list(
        &mut self,
        context: &PlacementContext<'_>,
        request: &PlacementRequest<'_>,
        class: &Class,
        workers: &[WorkerKey],
        rng: &mut SmallRng,
    ) {
        for key in workers {
            let worker = &context.cluster.workers[*key];
            if !admits(context, request, class, worker) {
                continue;
            }
            // Random tie-breaking keeps daemons with similar workers from making the same choices.
            let jitter = rng.random_range(0.0..1e-3);
            self.feasible
                .push((packing_score(request, class, worker, *key) + jitter, *key));
        }
    }

    fn best(
        &mut self,
        context: &PlacementContext<'_>,
        request: &PlacementRequest<'_>,
    ) -> Option<WorkerKey> {
        let max_scored = context.cfg.candidates.max(1);
        let shortlist = max_scored * 4;
        if self.feasible.len() > shortlist {
            self.feasible
                .select_nth_unstable_by(shortlist - 1, |left, right| left.0.total_cmp(&right.0));
            self.feasible.truncate(shortlist);
        }
        self.feasible
            .sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        let scored = self.feasible.iter().filter_map(|(packing, key)| {
            let tail = tail_cost(context, request, *key)?;
            Some((packing + tail, *key))
        });
        let best = scored
            .take(max_scored)
            .min_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, key)| key)
    }
}

/// Returns whether a worker can start the task now, apart from the tail latency of services.
fn admits(
    context: &PlacementContext<'_>,
    request: &PlacementRequest<'_>,
    class: &Class,
    worker: &Worker,
) -> bool {
    worker.is_schedulable()
        && request.reservation.fits(&worker.free())
        && worker.health.admits(context.now, request.may_probe)
        && class.rack_admits(worker.rack)
        && batch_fits(context.cluster, request, class, worker)
        && leaves_accelerators_usable(request, worker)
        && reservation_admits(context, request, class, worker)
}

/// Returns whether batch tasks stay within their share of a worker that runs services.
///
/// Accelerators are not shared with services, so the share does not apply to them.
pub(crate) fn batch_fits(
    cluster: &Cluster,
    request: &PlacementRequest<'_>,
    class: &Class,
    worker: &Worker,
) -> bool {
    let batch = if class.is_service() {
        worker.batch_reserved
    } else if worker.services == 0 {
        return true;
    } else {
        worker.batch_reserved + request.reservation
    };
    let max_batch = team::percent_of(&worker.capacity, cluster.sharing.batch_percent);
    batch.cpu_millis <= max_batch.cpu_millis && batch.memory_mib <= max_batch.memory_mib
}

/// Returns whether a task has to leave processors and memory for free accelerators: it is not
/// urgent, needs none, and fits on some worker without accelerators.
pub(crate) fn preserves_accelerators(
    cluster: &Cluster,
    class: &Class,
    request: &PlacementRequest<'_>,
) -> bool {
    let pools = class.sites.iter().map(|site| &cluster.pools[site.0]);
    let mut plain = pools.flat_map(|pool| &pool.plain);
    !request.urgent
        && request.reservation.accelerators == 0
        && plain.any(|key| request.reservation.fits(&cluster.workers[*key].capacity))
}

/// Returns whether enough processors and memory remain for the free accelerators of a worker.
pub(crate) fn leaves_accelerators_usable(request: &PlacementRequest<'_>, worker: &Worker) -> bool {
    let total = worker.capacity.accelerators;
    if total == 0 || !request.preserves_accelerators {
        return true;
    }
    let free = worker.free();
    let needed = team::percent_of(&worker.capacity, ACCELERATOR_NEED_PERCENT);
    let remaining = free.saturating_sub(&request.reservation);
    remaining.cpu_millis >= needed.cpu_millis * free.accelerators / total
        && remaining.memory_mib >= needed.memory_mib * free.accelerators / total
}

/// Returns whether a task may start on a worker despite a reservation: it is reserved for this
/// task, yields to an urgent one, or the task is expected to end before it is needed.
pub(crate) fn reservation_admits(
    context: &PlacementContext<'_>,
    request: &PlacementRequest<'_>,
    class: &Class,
    worker: &Worker,
) -> bool {
    let Some(reservation) = &worker.reserved_for else {
        return true;
    };
    if reservation.allows(request.task, request.urgent) {
        return true;
    }
    let remaining = reservation.expected_at.since(context.now);
    let ends_in_time = |run_ms: u64| u128::from(run_ms) < remaining.as_millis();
    !request.urgent && class.sizes.run_p90_ms.is_some_and(ends_in_time)
}

/// Scores a worker by its remaining capacity and history; lower is better.
fn packing_score(
    request: &PlacementRequest<'_>,
    class: &Class,
    worker: &Worker,
    key: WorkerKey,
) -> f64 {
    let remaining = worker.free().saturating_sub(&request.reservation);
    let cpu = worker_load::cpu_fraction(remaining.cpu_millis as f64, &worker.capacity);
    let memory = remaining.memory_mib as f64 / worker.capacity.memory_mib.max(1) as f64;
    let mut score = cpu + memory + IMBALANCE_COST * (cpu - memory).abs();
    if worker.capacity.accelerators > 0 {
        score += if request.reservation.accelerators == 0 {
            STRANDED_ACCELERATOR_COST
        } else {
            remaining.accelerators as f64
        };
    }
    if class.is_service() {
        score += SAME_RACK_COST * f64::from(class.tasks_on_rack(worker.rack));
    }
    if request.avoid.contains(&key) {
        score += FAILED_JOB_COST;
    }
    if worker.health.quarantine.is_some() {
        score -= PROBE_BONUS;
    }
    score
}

/// Returns the cost of the task for the tail latency of services on a worker, or `None` if their
/// predicted p99 exceeds the limit.
pub(crate) fn tail_cost(
    context: &PlacementContext<'_>,
    request: &PlacementRequest<'_>,
    key: WorkerKey,
) -> Option<f64> {
    let class = &context.cluster.classes[request.class];
    let worker = &context.cluster.workers[key];
    let mut services = worker_load::services(
        context.cluster,
        key,
        context.policy.peak_weight,
        context.now,
    );
    let mut batch_usage = worker_load::batch_usage(context.cluster, key);
    if let Some(target_us) = class.target_us() {
        let load = worker_load::DEFAULT_LOAD;
        let class = request.class;
        services.push((
            request.task,
            ServiceLoad {
                class,
                load,
                target_us,
            },
        ));
    } else if !class.is_service() {
        let cpu =
            worker_load::cpu_fraction(request.reservation.cpu_millis as f64, &worker.capacity);
        worker_load::add_batch_usage(&mut batch_usage, request.class, cpu);
    }
    if services.is_empty() || batch_usage.is_empty() {
        return Some(0.0);
    }
    let ratio = |service: &ServiceLoad| {
        let caution = context.policy.caution;
        let log = context
            .interference
            .log_ratio(service, &batch_usage, caution);
        log.exp() / context.policy.limit
    };
    let worst = services
        .iter()
        .map(|(_, service)| ratio(service))
        .fold(0.0, f64::max);
    if worst > 1.0 && !class.is_service() && !request.urgent {
        return None;
    }
    Some(context.policy.tail_cost * (worst - FREE_TAIL_RATIO).max(0.0))
}
