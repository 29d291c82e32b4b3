//! Metrics that show the state of the process at the time of a scrape.

use std::sync::atomic::Ordering;

use job::fleet::Executor;
use job::task::Assignment;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::DataCentreLabel;
use super::OutcomeLabel;
use super::QueueLabel;
use super::clients::ClientMetrics;
use super::register;
use crate::node::Node;
use crate::owner::Owner;

/// A pair of images counts as interfering if the best-effort image, when it uses the whole
/// executor, adds at least this much to the natural logarithm of the tail latency.
const INTERFERENCE_THRESHOLD: f64 = 0.3;

/// Gauges, and counters that are maintained elsewhere.
#[derive(Default)]
pub(super) struct StateMetrics {
    owner_epoch: Gauge,
    highest_epoch: Gauge,
    document_version: Gauge,
    store_silent_ms: Gauge,
    jobs_silent_ms: Gauge,
    pending: Family<QueueLabel, Gauge>,
    known_jobs: Gauge,
    executors: Family<OutcomeLabel, Gauge>,
    evacuation_ms: Family<DataCentreLabel, Gauge>,
    evacuated_tasks: Family<DataCentreLabel, Gauge>,
    evacuations_age_ms: Gauge,
    best_effort_tasks: Family<OutcomeLabel, Gauge>,
    image_pairs: Family<OutcomeLabel, Gauge>,
    admission_wait_ms: Family<QueueLabel, Gauge>,
    returning_callers: Gauge,
    place_waits: Gauge,
    log_lines: Family<OutcomeLabel, Counter>,
    log_bytes: Counter,
    clients: ClientMetrics,
}

impl StateMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        register(
            registry,
            "owner_epoch",
            "Epoch under which this host owns the executors, 0 if it does not",
            &self.owner_epoch,
        );
        register(
            registry,
            "highest_epoch",
            "Highest epoch that this host has heard of",
            &self.highest_epoch,
        );
        register(
            registry,
            "document_version",
            "Version of the document in force, 0 if there is none",
            &self.document_version,
        );
        register(
            registry,
            "store_silent_milliseconds",
            "Time since the store answered any call",
            &self.store_silent_ms,
        );
        register(
            registry,
            "jobs_silent_milliseconds",
            "Time since the store told the owner of jobs",
            &self.jobs_silent_ms,
        );
        register(
            registry,
            "pending_jobs",
            "Jobs that have not started",
            &self.pending,
        );
        register(
            registry,
            "jobs",
            "Jobs that the owner keeps, ended ones included",
            &self.known_jobs,
        );
        register(registry, "executors", "Executors by state", &self.executors);
        register(
            registry,
            "evacuation_milliseconds",
            "Time since the owner read that a data centre is evacuated",
            &self.evacuation_ms,
        );
        register(
            registry,
            "evacuated_tasks",
            "Tasks in evacuated data centres",
            &self.evacuated_tasks,
        );
        register(
            registry,
            "evacuations_age_milliseconds",
            "Time since the owner last read which data centres are evacuated",
            &self.evacuations_age_ms,
        );
        register(
            registry,
            "admission_wait_milliseconds",
            "Work before the largest jobs of a queue, as the time that the executors take for it",
            &self.admission_wait_ms,
        );
        register(
            registry,
            "returning_callers",
            "Refused callers that the owner expects to come back",
            &self.returning_callers,
        );
        register(
            registry,
            "filling_tasks",
            "Tasks that fill, by their share",
            &self.best_effort_tasks,
        );
        register(
            registry,
            "image_pairs",
            "Pairs of a serving and a filling image, by what was learned",
            &self.image_pairs,
        );
        register(
            registry,
            "tasks_waiting_for_place",
            "Tasks that wait for a place in a rack",
            &self.place_waits,
        );
        register(
            registry,
            "log_lines",
            "Log lines by what became of them",
            &self.log_lines,
        );
        register(
            registry,
            "log_bytes",
            "Bytes of log lines written",
            &self.log_bytes,
        );
        self.clients.register(registry);
    }

    /// Sets all values to the current state.
    pub(super) fn update(&self, node: &Node) {
        let now = node.now();
        let since = |at| gauge_value(model::time::millis(now.since(at)));
        self.highest_epoch
            .set(gauge_value(node.highest_epoch.get()));
        let version = node.plan().map_or(0, |plan| plan.version);
        self.document_version.set(gauge_value(version));
        self.store_silent_ms
            .set(since(node.store_answered_at.get()));
        self.update_logs(node);
        self.clients.update(&node.gate);
        self.pending.clear();
        self.executors.clear();
        self.evacuation_ms.clear();
        self.evacuated_tasks.clear();
        self.admission_wait_ms.clear();
        self.best_effort_tasks.clear();
        self.image_pairs.clear();
        match node.owner() {
            Some(owner) => {
                self.jobs_silent_ms.set(since(owner.jobs_synced_at()));
                self.update_owner(&owner);
            }
            None => {
                self.owner_epoch.set(0);
                self.jobs_silent_ms.set(0);
                self.evacuations_age_ms.set(0);
                self.known_jobs.set(0);
                self.returning_callers.set(0);
                self.place_waits.set(0);
            }
        }
    }

    fn update_admission(&self, owner: &Owner) {
        let (_, returning) = owner.admission_counts();
        self.returning_callers
            .set(i64::try_from(returning).unwrap_or(i64::MAX));
        let report = owner.admission_estimate();
        let queues = report.map_or_else(Vec::new, |report| report.estimate.queues);
        for queue in queues {
            let ahead = queue.rows.iter().map(|row| row.ahead_ms).max();
            let label = QueueLabel {
                queue: queue.queue.to_string(),
            };
            let gauge = self.admission_wait_ms.get_or_create(&label);
            gauge.set(gauge.get().max(gauge_value(ahead.unwrap_or(0))));
        }
    }

    fn update_logs(&self, node: &Node) {
        let logs = (node.dependencies.logs)();
        let lines = [
            ("written", logs.lines),
            ("left_out", logs.rate_limited),
            ("dropped", logs.dropped),
        ];
        for (outcome, count) in lines {
            let counter = self.log_lines.get_or_create(&OutcomeLabel { outcome });
            counter.inner().store(count, Ordering::Relaxed);
        }
        self.log_bytes.inner().store(logs.bytes, Ordering::Relaxed);
    }

    fn update_evacuations(&self, owner: &Owner) {
        let age = owner.evacuations_age().unwrap_or_default();
        self.evacuations_age_ms
            .set(gauge_value(model::time::millis(age)));
        let scheduler = owner.scheduler.borrow();
        let now = owner.node.now();
        for (data_centre, evacuation) in scheduler.evacuations().iter() {
            let label = DataCentreLabel {
                data_centre: data_centre.to_string(),
            };
            let since = model::time::millis(now.since(evacuation.since));
            let (_, tasks) = scheduler.load_of_data_centre(data_centre);
            self.evacuation_ms
                .get_or_create(&label)
                .set(gauge_value(since));
            self.evacuated_tasks
                .get_or_create(&label)
                .set(i64::try_from(tasks).unwrap_or(i64::MAX));
        }
    }

    fn update_owner(&self, owner: &Owner) {
        self.update_evacuations(owner);
        self.owner_epoch.set(gauge_value(owner.epoch));
        for (queue, count) in owner.pending() {
            let queue = queue.to_string();
            let gauge = self.pending.get_or_create(&QueueLabel { queue });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        self.update_admission(owner);
        let scheduler = owner.scheduler.borrow();
        self.known_jobs
            .set(i64::try_from(scheduler.len()).unwrap_or(i64::MAX));
        let waiting = scheduler.locality.waiting();
        self.place_waits
            .set(i64::try_from(waiting).unwrap_or(i64::MAX));
        let rejected = owner.rejected_entries.borrow().present().len();
        let outcome = "rejected";
        self.executors
            .get_or_create(&OutcomeLabel { outcome })
            .set(i64::try_from(rejected).unwrap_or(i64::MAX));
        for (_, executor) in scheduler.fleet.iter() {
            let outcome = executor_label(executor);
            self.executors
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            if executor.is_cold(owner.node.now()) {
                let outcome = "cold";
                self.executors
                    .get_or_create(&OutcomeLabel { outcome })
                    .inc();
            }
            if executor.over_target_since.is_some() {
                let outcome = "over_target";
                self.executors
                    .get_or_create(&OutcomeLabel { outcome })
                    .inc();
            }
            for task in &executor.tasks {
                let best_effort = scheduler.step(*task).is_some_and(|step| step.best_effort);
                if let Some(assignment) = scheduler.task(*task).and_then(|task| task.assignment())
                    && best_effort
                {
                    let outcome = share_label(assignment);
                    self.best_effort_tasks
                        .get_or_create(&OutcomeLabel { outcome })
                        .inc();
                }
            }
        }
        for pair in scheduler.interference.learned() {
            let outcome = if pair.mean >= INTERFERENCE_THRESHOLD {
                "disturbs"
            } else {
                "harmless"
            };
            self.image_pairs
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
        }
    }
}

const fn executor_label(executor: &Executor) -> &'static str {
    match (executor.reachable, executor.listing.draining) {
        (false, _) => "unreachable",
        (true, true) => "draining",
        (true, false) if executor.evacuated => "evacuated",
        (true, false) => "ready",
    }
}

const fn share_label(assignment: &Assignment) -> &'static str {
    match assignment.cpu_percent {
        0 => "standing",
        100.. => "full",
        _ => "slowed",
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
