//! The load on a worker: its services and its batch tasks.

use std::time::Duration;

use model::Mono;
use model::Size;

use crate::cluster::Cluster;
use crate::interference::BatchUsage;
use crate::interference::ServiceLoad;
use crate::key::ClassKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;

/// The assumed load of a service without reports.
pub(crate) const DEFAULT_LOAD: f64 = 0.6;
/// The minimum assumed load of a service whose reports are missing.
const STALE_LOAD: f64 = 0.8;
/// The age at which figures count as missing.
const STALE_AFTER: Duration = Duration::from_secs(60);

/// Returns the services on a worker that have a target. Their loads are moved towards their recent
/// peaks by `peak_weight`, from 0 to 1.
pub(crate) fn services(
    cluster: &Cluster,
    key: WorkerKey,
    peak_weight: f64,
    now: Mono,
) -> Vec<(TaskKey, ServiceLoad)> {
    let worker = &cluster.workers[key];
    if worker.services == 0 {
        return Vec::new();
    }
    let measured_at = worker.tracker.measured_at;
    let is_stale = measured_at.is_some_and(|at| now.since(at) > STALE_AFTER);
    let service = |task_key: &TaskKey| {
        let task = cluster.tasks.get(*task_key)?;
        let run = task.run()?;
        let target_us = cluster.classes[task.class].target_us()?;
        let load = run.load().unwrap_or(DEFAULT_LOAD);
        let expected = load + (run.peak_load - load).max(0.0) * peak_weight;
        let load = if is_stale {
            expected.max(STALE_LOAD)
        } else {
            expected
        };
        let class = task.class;
        Some((
            *task_key,
            ServiceLoad {
                class,
                load,
                target_us,
            },
        ))
    };
    worker.tasks.iter().filter_map(service).collect()
}

/// Returns the processor time that batch tasks use on a worker, by class.
pub(crate) fn batch_usage(cluster: &Cluster, key: WorkerKey) -> Vec<BatchUsage> {
    let worker = &cluster.workers[key];
    let mut batch_usage = Vec::new();
    for task in &worker.tasks {
        let task = &cluster.tasks[*task];
        let Some(run) = task.run() else { continue };
        if !cluster.classes[task.class].is_service() {
            add_batch_usage(
                &mut batch_usage,
                task.class,
                cpu_fraction(run.cpu(), &worker.capacity),
            );
        }
    }
    batch_usage
}

/// Adds processor time to the usage of a batch class.
pub(crate) fn add_batch_usage(
    batch_usage: &mut Vec<BatchUsage>,
    class: ClassKey,
    cpu_fraction: f64,
) {
    match batch_usage.iter_mut().find(|known| known.class == class) {
        Some(known) => known.cpu_fraction += cpu_fraction,
        None => batch_usage.push(BatchUsage {
            class,
            cpu_fraction,
        }),
    }
}

/// Returns a processor time as a fraction of a worker's capacity.
pub(crate) fn cpu_fraction(cpu_millis: f64, capacity: &Size) -> f64 {
    cpu_millis / capacity.cpu_millis.max(1) as f64
}
