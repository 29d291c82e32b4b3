//! Which worker a task starts on.
//!
//! Workers are looked up by site and by whether they have accelerators. All that have room get a
//! cheap score by how well the task fills them; the best ones are scored in full, with what the task
//! would do to the tail of the services there. See `docs/POLICY.md`.

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

/// The part of an accelerated worker's processors and memory that its free accelerators need, in
/// percent.
const ACCELERATOR_NEED_PERCENT: u8 = 50;
/// What an accelerated worker costs a task without accelerators.
const STRANDED_ACCELERATOR_COST: f64 = 4.0;
/// What a worker costs on which the same job has failed.
const FAILED_JOB_COST: f64 = 8.0;
/// What each task of the same service on the rack costs a service.
const SAME_RACK_COST: f64 = 0.5;
/// What a difference between free processors and free memory costs.
const IMBALANCE_COST: f64 = 0.5;
/// What is gained by trying out a quarantined worker that is due.
const PROBE_BONUS: f64 = 16.0;
/// The part of the limit up to which a predicted tail costs nothing.
const FREE_TAIL_RATIO: f64 = 0.7;

/// A task that wants a place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRequest<'a> {
    /// The task.
    pub(crate) task: TaskKey,
    /// Its class.
    pub(crate) class: ClassKey,
    /// What to reserve for it.
    pub(crate) reservation: Size,
    /// Whether it is urgent.
    pub(crate) urgent: bool,
    /// Whether it may try out a quarantined worker.
    pub(crate) may_probe: bool,
    /// Whether it has to leave room for the free accelerators of a worker.
    pub(crate) preserves_accelerators: bool,
    /// Workers on which it has failed.
    pub(crate) avoid: &'a [WorkerKey],
}

/// What a placement looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementContext<'a> {
    pub(crate) cluster: &'a Cluster,
    pub(crate) interference: &'a InterferenceModel,
    pub(crate) policy: &'a Policy,
    pub(crate) cfg: &'a Config,
    pub(crate) now: Mono,
}

/// Finds places; keeps its buffer between calls.
#[derive(Debug, Default)]
pub(crate) struct Placer {
    feasible: Vec<(f64, WorkerKey)>,
}

impl Placer {
    /// Returns the best worker that can take the task now.
    pub(crate) fn find(
        &mut self,
        context: &PlacementContext<'_>,
        request: &PlacementRequest<'_>,
        rng: &mut SmallRng,
    ) -> Option<WorkerKey> {
        self.feasible.clear();
        let class = &context.cluster.classes[request.class];
        for site in &class.sites {
            let pool = &context.cluster.pools[usize::from(site.0)];
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
        list: &[WorkerKey],
        rng: &mut SmallRng,
    ) {
        for key in list {
            let worker = &context.cluster.workers[*key];
            if !admits(context, request, class, worker) {
                continue;
            }
            // Ties are broken at random, so that daemons with like workers do not march in step.
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

/// Returns whether a worker can take the task now.
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

/// Returns whether batch tasks stay within their part of a worker beside services.
///
/// Accelerators are not shared with services, so the part does not apply to them.
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
    let most = team::percent_of(&worker.capacity, cluster.sharing.batch_percent);
    batch.cpu_millis <= most.cpu_millis && batch.memory_mib <= most.memory_mib
}

/// Returns whether a task has to leave room for free accelerators: it is not urgent, needs none, and
/// some worker without any could hold it.
pub(crate) fn preserves_accelerators(
    cluster: &Cluster,
    class: &Class,
    request: &PlacementRequest<'_>,
) -> bool {
    let pools = class
        .sites
        .iter()
        .map(|site| &cluster.pools[usize::from(site.0)]);
    let mut plain = pools.flat_map(|pool| &pool.plain);
    !request.urgent
        && request.reservation.accelerators == 0
        && plain.any(|key| request.reservation.fits(&cluster.workers[*key].capacity))
}

/// Returns whether the free accelerators of a worker keep the processors and memory they need.
pub(crate) fn leaves_accelerators_usable(request: &PlacementRequest<'_>, worker: &Worker) -> bool {
    let all = worker.capacity.accelerators;
    if all == 0 || !request.preserves_accelerators {
        return true;
    }
    let free = worker.free();
    let needed = team::percent_of(&worker.capacity, ACCELERATOR_NEED_PERCENT);
    let left = free.saturating_sub(&request.reservation);
    left.cpu_millis >= needed.cpu_millis * free.accelerators / all
        && left.memory_mib >= needed.memory_mib * free.accelerators / all
}

/// Returns whether a worker is kept for no other task, or the task is over before that one starts.
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
    let left = reservation.expected_at.since(context.now);
    let over = |run_ms: u64| u128::from(run_ms) < left.as_millis();
    !request.urgent && class.sizes.run_p90_ms.is_some_and(over)
}

/// Scores by room alone; lower is better.
fn packing_score(
    request: &PlacementRequest<'_>,
    class: &Class,
    worker: &Worker,
    key: WorkerKey,
) -> f64 {
    let left = worker.free().saturating_sub(&request.reservation);
    let cpu = worker_load::cpu_fraction(left.cpu_millis as f64, &worker.capacity);
    let memory = left.memory_mib as f64 / worker.capacity.memory_mib.max(1) as f64;
    let mut score = cpu + memory + IMBALANCE_COST * (cpu - memory).abs();
    if worker.capacity.accelerators > 0 {
        score += if request.reservation.accelerators == 0 {
            STRANDED_ACCELERATOR_COST
        } else {
            left.accelerators as f64
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

/// Returns what the task costs the tail of services on a worker, or `None` where the predicted tail
/// forbids it.
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
