//! Counters and histograms, in the text format that scrapers read.
//!
//! `docs/OPERATIONS.md` lists names, units and labels; all label values are words of this code or names
//! of queues in the document.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::node::Node;

/// How something went.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// A word for it.
    pub outcome: &'static str,
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabel {
    /// Its name in the document.
    pub queue: String,
}

/// Everything that is counted.
pub struct Metrics {
    registry: Registry,
    /// Submissions by outcome.
    pub submissions: Family<Outcome, Counter>,
    /// How long submissions took.
    pub submission_seconds: Histogram,
    /// Answers of the store, and calls without one.
    pub store_calls: Family<Outcome, Counter>,
    /// Answers of executors to orders to start.
    pub starts: Family<Outcome, Counter>,
    /// Runs that were lost, by cause.
    pub lost_runs: Family<Outcome, Counter>,
    /// Runs that failed.
    pub failed_runs: Counter,
    /// Jobs that ended, by state.
    pub jobs_ended: Family<Outcome, Counter>,
    /// How long jobs took from their arrival to their end.
    pub job_seconds: Histogram,
    /// How often this host became the owner.
    pub takeovers: Counter,
    owner_epoch: Gauge,
    pending: Family<QueueLabel, Gauge>,
    executors: Family<Outcome, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("fireflynotch"),
            submissions: Family::default(),
            submission_seconds: Histogram::new(exponential_buckets(0.002, 2.0, 12)),
            store_calls: Family::default(),
            starts: Family::default(),
            lost_runs: Family::default(),
            failed_runs: Counter::default(),
            jobs_ended: Family::default(),
            job_seconds: Histogram::new(exponential_buckets(0.1, 2.0, 14)),
            takeovers: Counter::default(),
            owner_epoch: Gauge::default(),
            pending: Family::default(),
            executors: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("submissions", "Submissions", self.submissions.clone());
        registry.register_with_unit(
            "submission",
            "Time to answer a submission",
            Unit::Seconds,
            self.submission_seconds.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register("starts", "Orders to start a task", self.starts.clone());
        registry.register("lost_runs", "Runs that were lost", self.lost_runs.clone());
        registry.register("failed_runs", "Runs that failed", self.failed_runs.clone());
        registry.register("jobs_ended", "Jobs that ended", self.jobs_ended.clone());
        registry.register_with_unit(
            "job",
            "Time from a job's arrival to its end",
            Unit::Seconds,
            self.job_seconds.clone(),
        );
        registry.register(
            "takeovers",
            "Times this host became the owner",
            self.takeovers.clone(),
        );
        registry.register(
            "owner_epoch",
            "Epoch under which this host owns the executors, 0 if it does not",
            self.owner_epoch.clone(),
        );
        registry.register(
            "pending_jobs",
            "Jobs that have not started",
            self.pending.clone(),
        );
        registry.register("executors", "Executors by state", self.executors.clone());
    }

    /// Returns everything as text.
    ///
    /// # Errors
    ///
    /// When the text cannot be written.
    pub fn text(&self, node: &Node) -> Result<String, std::fmt::Error> {
        self.read_state(node);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn read_state(&self, node: &Node) {
        self.pending.clear();
        self.executors.clear();
        let Some(owner) = node.owner() else {
            self.owner_epoch.set(0);
            return;
        };
        self.owner_epoch
            .set(i64::try_from(owner.epoch).unwrap_or(i64::MAX));
        for (queue, count) in owner.pending() {
            let label = QueueLabel {
                queue: queue.to_string(),
            };
            self.pending
                .get_or_create(&label)
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        for (_, executor) in owner.book.borrow().fleet.iter() {
            let outcome = match (executor.reachable, executor.listing.draining) {
                (false, _) => "unreachable",
                (true, true) => "draining",
                (true, false) => "ready",
            };
            self.executors.get_or_create(&Outcome { outcome }).inc();
        }
    }
}
