//! What the metrics say of the state of a process at the moment at which they are asked for.

use std::sync::atomic::Ordering;

use job::fleet::Executor;
use job::task::Assignment;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::Outcome;
use super::QueueLabel;
use super::counts;
use crate::node::Node;
use crate::owner::Owner;

/// The part of an executor's tail, as a logarithm, that an image which fills all of it has to add
/// before the pair counts as disturbing.
const DISTURBS: f64 = 0.3;

/// Gauges, and counters that others keep.
#[derive(Default)]
pub(super) struct State {
    owner_epoch: Gauge,
    highest_epoch: Gauge,
    document_version: Gauge,
    store_silent_ms: Gauge,
    jobs_silent_ms: Gauge,
    pending: Family<QueueLabel, Gauge>,
    jobs_held: Gauge,
    executors: Family<Outcome, Gauge>,
    filling: Family<Outcome, Gauge>,
    pairs: Family<Outcome, Gauge>,
    log_lines: Family<Outcome, Counter>,
    log_bytes: Counter,
}

impl State {
    pub(super) fn register(&self, registry: &mut Registry) {
        counts(
            registry,
            "owner_epoch",
            "Epoch under which this host owns the executors, 0 if it does not",
            &self.owner_epoch,
        );
        counts(
            registry,
            "highest_epoch",
            "Highest epoch that this host has heard of",
            &self.highest_epoch,
        );
        counts(
            registry,
            "document_version",
            "Version of the document in force, 0 if there is none",
            &self.document_version,
        );
        counts(
            registry,
            "store_silent_milliseconds",
            "Time since the store answered any call",
            &self.store_silent_ms,
        );
        counts(
            registry,
            "jobs_silent_milliseconds",
            "Time since the store told the owner of jobs",
            &self.jobs_silent_ms,
        );
        counts(
            registry,
            "pending_jobs",
            "Jobs that have not started",
            &self.pending,
        );
        counts(
            registry,
            "jobs",
            "Jobs that the owner keeps, ended ones included",
            &self.jobs_held,
        );
        counts(registry, "executors", "Executors by state", &self.executors);
        counts(
            registry,
            "filling_tasks",
            "Tasks that fill, by their share",
            &self.filling,
        );
        counts(
            registry,
            "image_pairs",
            "Pairs of a serving and a filling image, by what was learned",
            &self.pairs,
        );
        counts(
            registry,
            "log_lines",
            "Log lines by what became of them",
            &self.log_lines,
        );
        counts(
            registry,
            "log_bytes",
            "Bytes of log lines written",
            &self.log_bytes,
        );
    }

    /// Reads everything anew.
    pub(super) fn read(&self, node: &Node) {
        let now = node.now();
        let since = |at| number(model::time::millis(now.since(at)));
        self.highest_epoch.set(number(node.highest_epoch.get()));
        let version = node.plan().map_or(0, |plan| plan.version);
        self.document_version.set(number(version));
        self.store_silent_ms.set(since(node.store_heard.get()));
        self.read_logs(node);
        self.pending.clear();
        self.executors.clear();
        self.filling.clear();
        self.pairs.clear();
        match node.owner() {
            Some(owner) => {
                self.jobs_silent_ms.set(since(owner.jobs_heard()));
                self.read_owner(&owner);
            }
            None => {
                self.owner_epoch.set(0);
                self.jobs_silent_ms.set(0);
                self.jobs_held.set(0);
            }
        }
    }

    fn read_logs(&self, node: &Node) {
        let logs = (node.outside.logs)();
        let lines = [
            ("written", logs.lines),
            ("left_out", logs.left_out),
            ("dropped", logs.dropped),
        ];
        for (outcome, count) in lines {
            let counter = self.log_lines.get_or_create(&Outcome { outcome });
            counter.inner().store(count, Ordering::Relaxed);
        }
        self.log_bytes.inner().store(logs.bytes, Ordering::Relaxed);
    }

    fn read_owner(&self, owner: &Owner) {
        self.owner_epoch.set(number(owner.epoch));
        for (queue, count) in owner.pending() {
            let queue = queue.to_string();
            let gauge = self.pending.get_or_create(&QueueLabel { queue });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let book = owner.book.borrow();
        self.jobs_held
            .set(i64::try_from(book.len()).unwrap_or(i64::MAX));
        for (_, executor) in book.fleet.iter() {
            let outcome = executor_state(executor);
            self.executors.get_or_create(&Outcome { outcome }).inc();
            if executor.over_target_since.is_some() {
                let outcome = "over_target";
                self.executors.get_or_create(&Outcome { outcome }).inc();
            }
            for task in &executor.tasks {
                let fills = book.step(*task).is_some_and(|step| step.best_effort);
                if let Some(at) = book.task(*task).and_then(|task| task.assignment())
                    && fills
                {
                    let outcome = share(at);
                    self.filling.get_or_create(&Outcome { outcome }).inc();
                }
            }
        }
        for pair in book.interference.learned() {
            let outcome = if pair.mean >= DISTURBS {
                "disturbs"
            } else {
                "harmless"
            };
            self.pairs.get_or_create(&Outcome { outcome }).inc();
        }
    }
}

const fn executor_state(executor: &Executor) -> &'static str {
    match (executor.reachable, executor.listing.draining) {
        (false, _) => "unreachable",
        (true, true) => "draining",
        (true, false) => "ready",
    }
}

const fn share(at: &Assignment) -> &'static str {
    match at.cpu_percent {
        0 => "standing",
        100.. => "full",
        _ => "slowed",
    }
}

fn number(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
