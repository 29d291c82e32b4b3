//! Metrics in the Prometheus text format.
//!
//! `docs/OPERATIONS.md` lists names, units and labels. Label values are constants of the code or
//! names of queues in the document and of data centres. Counters and histograms that are updated as
//! events happen are defined here, values that are read at the time of a scrape in `state.rs`, and
//! those of the limits on clients in `clients.rs`.

mod clients;
mod state;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use self::state::StateMetrics;
use crate::node::Node;

/// Buckets for response times: the upper bound of the first bucket in seconds, the growth factor
/// and the number of buckets.
const LATENCY_BUCKETS: (f64, f64, u16) = (0.002, 2.0, 12);
/// Buckets for the duration of jobs, in the same format.
const JOB_BUCKETS: (f64, f64, u16) = (0.1, 2.0, 14);
/// Buckets for the waits of commands, in the same format.
const COMMAND_BUCKETS: (f64, f64, u16) = (0.004, 2.0, 13);

/// The `outcome` label: a result or a state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Value of the label, a constant of the code.
    pub outcome: &'static str,
}

/// The `queue` label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QueueLabel {
    /// Name of the queue in the document.
    pub queue: String,
}

/// The `table` label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TableLabel {
    /// Name of a table of the store, a constant of the code.
    pub table: &'static str,
}

/// The `data_centre` label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DataCentreLabel {
    /// Name of the data centre.
    pub data_centre: String,
}

/// The `limit` label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabel {
    /// Name of a wait reason, see [`job::wait_reason::WaitReason::limit`].
    pub limit: &'static str,
}

/// The labels of a command's wait.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CommandWaitLabel {
    /// `start` or `stop`.
    pub command: &'static str,
    /// What the command waited for: `store`, `slot` or `answer`.
    pub waited_for: &'static str,
}

/// The labels of a command by its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CommandOutcomeLabel {
    /// `start` or `stop`.
    pub command: &'static str,
    /// Why the command is not sent any more, a constant of the code.
    pub outcome: &'static str,
}

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    state: StateMetrics,
    /// Submissions by outcome.
    pub submissions: Family<OutcomeLabel, Counter>,
    /// Time to answer a submission.
    pub submission_seconds: Histogram,
    /// Calls to the store, by whether they were answered.
    pub store_calls: Family<OutcomeLabel, Counter>,
    /// Time from the acceptance of a job until the owner received it.
    pub feed_seconds: Histogram,
    /// Duration of a placement round, including the time for which the host ran nothing.
    pub placement_seconds: Histogram,
    /// Time from the arrival of a job to its first start, by queue. Repeating jobs are excluded.
    pub first_start_seconds: Family<QueueLabel, Histogram, fn() -> Histogram>,
    /// Commands to start a run, by the executor's answer.
    pub starts: Family<OutcomeLabel, Counter>,
    /// Time from the decision to start or stop a run to the executor's answer, by what it was
    /// spent on.
    pub command_seconds: Family<CommandWaitLabel, Histogram, fn() -> Histogram>,
    /// Start and stop commands that ended without an answer, by reason.
    pub unanswered_commands: Family<CommandOutcomeLabel, Counter>,
    /// Requests to the advisor by outcome.
    pub advice: Family<OutcomeLabel, Counter>,
    /// Ended runs reported by executors, by outcome.
    pub run_ends: Family<OutcomeLabel, Counter>,
    /// Lost runs by cause.
    pub lost_runs: Family<OutcomeLabel, Counter>,
    /// Runs that were stopped because they made too little progress, by cause.
    pub stalled_runs: Family<OutcomeLabel, Counter>,
    /// Failed runs.
    pub failed_runs: Counter,
    /// Best-effort tasks that left an executor on which they were throttled.
    pub moved_tasks: Counter,
    /// Tasks that were given up because executors crashed under them.
    pub tasks_given_up: Counter,
    /// Executors that were asked whether they have followed a silent one.
    pub asked_successors: Counter,
    /// Start commands withdrawn because of an evacuation, by data centre.
    pub withdrawn_starts: Family<DataCentreLabel, Counter>,
    /// Ended jobs by final state.
    pub jobs_ended: Family<OutcomeLabel, Counter>,
    /// Time from the arrival of a job to its end.
    pub job_seconds: Histogram,
    /// Age of the oldest job with a step that waits for a reason, in milliseconds. Covers the jobs
    /// of the latest round of log lines.
    pub oldest_wait_ms: Family<LimitLabel, Gauge>,
    /// Cancellations by outcome.
    pub cancellations: Family<OutcomeLabel, Counter>,
    /// Recoveries of executors from ends that must not be acknowledged.
    pub ack_recoveries: Counter,
    /// Rows that the store refused for good, by table.
    pub refused_rows: Family<TableLabel, Counter>,
    /// How long tasks waited for a place near their data or in one rack, by whether they started
    /// there.
    pub place_wait_seconds: Family<OutcomeLabel, Histogram, fn() -> Histogram>,
    /// Takeovers by this host.
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
            placement_seconds: histogram(LATENCY_BUCKETS),
            first_start_seconds: Family::new_with_constructor(|| histogram(LATENCY_BUCKETS)),
            starts: Family::default(),
            command_seconds: Family::new_with_constructor(|| histogram(COMMAND_BUCKETS)),
            unanswered_commands: Family::default(),
            advice: Family::default(),
            run_ends: Family::default(),
            lost_runs: Family::default(),
            stalled_runs: Family::default(),
            failed_runs: Counter::default(),
            moved_tasks: Counter::default(),
            tasks_given_up: Counter::default(),
            asked_successors: Counter::default(),
            withdrawn_starts: Family::default(),
            jobs_ended: Family::default(),
            job_seconds: histogram(JOB_BUCKETS),
            oldest_wait_ms: Family::default(),
            cancellations: Family::default(),
            ack_recoveries: Counter::default(),
            refused_rows: Family::default(),
            place_wait_seconds: Family::new_with_constructor(|| histogram(LATENCY_BUCKETS)),
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
        register(
            registry,
            "unanswered_commands",
            "Orders to start or stop a task that ended without an answer",
            &self.unanswered_commands,
        );
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
            "stalled_runs",
            "Runs that were stopped because they made too little progress",
            &self.stalled_runs,
        );
        register(
            registry,
            "failed_runs",
            "Runs that failed",
            &self.failed_runs,
        );
        register(
            registry,
            "moved_tasks",
            "Best-effort tasks that left an executor on which they were throttled",
            &self.moved_tasks,
        );
        register(
            registry,
            "tasks_given_up",
            "Tasks that were given up because executors crashed under them",
            &self.tasks_given_up,
        );
        register(
            registry,
            "asked_successors",
            "Executors listed at the address of a silent one that were asked whether they are there",
            &self.asked_successors,
        );
        register(
            registry,
            "withdrawn_starts",
            "Starts that were withdrawn because their data centre is evacuated",
            &self.withdrawn_starts,
        );
        register(registry, "jobs_ended", "Jobs that ended", &self.jobs_ended);
        register(
            registry,
            "oldest_wait_milliseconds",
            "Age of the oldest job that waits, by what its step waits for",
            &self.oldest_wait_ms,
        );
        register(
            registry,
            "cancellations",
            "Cancellations by outcome",
            &self.cancellations,
        );
        register(
            registry,
            "ack_recoveries",
            "Recoveries of executors from ends that must not be acknowledged",
            &self.ack_recoveries,
        );
        register(
            registry,
            "refused_rows",
            "Rows that the store refused for good",
            &self.refused_rows,
        );
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
            "placement",
            "Duration of a placement round of the owner",
            &self.placement_seconds,
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
        registry.register_with_unit(
            "place_wait",
            "Waits of tasks for a place in a rack, by where they started",
            Unit::Seconds,
            self.place_wait_seconds.clone(),
        );
        registry.register_with_unit(
            "command",
            "Time from the decision to start or stop a task to the answer, by what it waited for",
            Unit::Seconds,
            self.command_seconds.clone(),
        );
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the text cannot be formatted.
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
