//! Counters and histograms, in the text format that scrapers read.
//!
//! `docs/OPERATIONS.md` lists names, units and labels; all label values are words of this code or names
//! of queues in the document. What is counted as it happens is here, what is read off the process when
//! it is asked in `state.rs`.

mod state;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use self::state::StateMetrics;
use crate::node::Node;

/// The shortest time that histograms of answers tell apart, in seconds, and by which factor their
/// bounds grow.
const LATENCY_BUCKETS: (f64, f64, u16) = (0.002, 2.0, 12);
/// The same for what takes as long as a job.
const JOB_BUCKETS: (f64, f64, u16) = (0.1, 2.0, 14);

/// How something went, or in which state it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
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
    state: StateMetrics,
    /// Submissions by outcome.
    pub submissions: Family<OutcomeLabel, Counter>,
    /// How long submissions took.
    pub submission_seconds: Histogram,
    /// Answers of the store, and calls without one.
    pub store_calls: Family<OutcomeLabel, Counter>,
    /// How long the owner took to hear of jobs.
    pub feed_seconds: Histogram,
    /// How long jobs waited for their first start.
    pub first_start_seconds: Family<QueueLabel, Histogram, fn() -> Histogram>,
    /// Answers of executors to orders to start.
    pub starts: Family<OutcomeLabel, Counter>,
    /// Questions to the advisor by what became of them.
    pub advice: Family<OutcomeLabel, Counter>,
    /// Ends of runs that executors listed.
    pub run_ends: Family<OutcomeLabel, Counter>,
    /// Runs that were lost, by cause.
    pub lost_runs: Family<OutcomeLabel, Counter>,
    /// Runs that failed.
    pub failed_runs: Counter,
    /// Jobs that ended, by state.
    pub jobs_ended: Family<OutcomeLabel, Counter>,
    /// How long jobs took from their arrival to their end.
    pub job_seconds: Histogram,
    /// How often this host became the owner.
    pub takeovers: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("fireflynotch"),
            state: StateMetrics::default(),
            submissions: Family::default(),
            submission_seconds: histogram(LATENCY_BUCKETS),
            store_calls: Family::default(),
            feed_seconds: histogram(LATENCY_BUCKETS),
            first_start_seconds: Family::new_with_constructor(|| histogram(LATENCY_BUCKETS)),
            starts: Family::default(),
            advice: Family::default(),
            run_ends: Family::default(),
            lost_runs: Family::default(),
            failed_runs: Counter::default(),
            jobs_ended: Family::default(),
            job_seconds: histogram(JOB_BUCKETS),
            takeovers: Counter::default(),
        };
        metrics.register_all();
        metrics.state.register(&mut metrics.registry);
        metrics
    }
}

impl Metrics {
    fn register_all(&mut self) {
        let registry = &mut self.registry;
        register(registry, "submissions", "Submissions", &self.submissions);
        register(
            registry,
            "store_calls",
            "Calls to the store",
            &self.store_calls,
        );
        register(registry, "starts", "Orders to start a task", &self.starts);
        register(registry, "advice", "Questions to the advisor", &self.advice);
        register(
            registry,
            "run_ends",
            "Ends of runs that executors listed",
            &self.run_ends,
        );
        register(
            registry,
            "lost_runs",
            "Runs that were lost",
            &self.lost_runs,
        );
        register(
            registry,
            "failed_runs",
            "Runs that failed",
            &self.failed_runs,
        );
        register(registry, "jobs_ended", "Jobs that ended", &self.jobs_ended);
        register(
            registry,
            "takeovers",
            "Times this host became the owner",
            &self.takeovers,
        );
        let mut register_duration = |name, help, metric: &Histogram| {
            registry.register_with_unit(name, help, Unit::Seconds, metric.clone());
        };
        register_duration(
            "submission",
            "Time to answer a submission",
            &self.submission_seconds,
        );
        register_duration(
            "feed",
            "Time from a job's acceptance until the owner heard of it",
            &self.feed_seconds,
        );
        register_duration(
            "job",
            "Time from a job's arrival to its end",
            &self.job_seconds,
        );
        registry.register_with_unit(
            "first_start",
            "Time from a job's arrival to its first start",
            Unit::Seconds,
            self.first_start_seconds.clone(),
        );
    }

    /// Returns everything as text.
    ///
    /// # Errors
    ///
    /// When the text cannot be written.
    pub fn encode(&self, node: &Node) -> Result<String, std::fmt::Error> {
        self.state.update(node);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn histogram((first, factor, count): (f64, f64, u16)) -> Histogram {
    Histogram::new(exponential_buckets(first, factor, count))
}

fn register(registry: &mut Registry, name: &str, help: &str, metric: &(impl Metric + Clone)) {
    registry.register(name, help, metric.clone());
}
