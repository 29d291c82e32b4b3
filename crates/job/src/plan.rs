//! What the operators decided: queues, and the services whose executors run their tasks.

use std::sync::Arc;
use std::time::Duration;

use model::Map;

/// One version of the operators' document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Rises with every change.
    pub version: u64,
    /// The queues, each under a host name and a path prefix of its own.
    pub queues: Vec<Queue>,
    /// The services by name.
    pub services: Map<Arc<str>, Service>,
    /// Limits on what callers send.
    pub limits: Limits,
}

/// A queue that callers submit to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name, which stays over versions.
    pub name: Arc<str>,
    /// The host name that callers address.
    pub host: Arc<str>,
    /// The path that its requests begin with.
    pub path_prefix: Arc<str>,
    /// The service whose executors run its tasks.
    pub service: Arc<str>,
    /// 0 goes first.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// How much longer than its longest chain of work a job may take, as a factor.
    pub stretch: f64,
    /// What a job may take on top.
    pub target: Duration,
    /// The advisor who alone knows which executors may run its tasks, if there is one.
    pub advisor: Option<Advisor>,
}

/// How an advisor answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advisor {
    /// How long it takes, however few executors it is asked about.
    pub base_latency: Duration,
    /// How much longer for each executor.
    pub latency_per_executor: Duration,
    /// How long its tickets are valid.
    pub ticket_ttl: Duration,
}

/// What is added for messages that are late.
const ADVICE_MARGIN: Duration = Duration::from_secs(1);

impl Advisor {
    /// Returns by when a question about so many executors should be answered.
    #[must_use]
    pub fn answer_timeout(&self, executors: usize) -> Duration {
        let executors = u32::try_from(executors).unwrap_or(u32::MAX);
        (self.base_latency + self.latency_per_executor.saturating_mul(executors)) * 2
            + ADVICE_MARGIN
    }
}

/// A pool of executors.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether its executors refuse a start that does not fit.
    pub refuses_overcommit: bool,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send the head of a request.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Plan {
    /// Returns the queue for a request, and what follows the prefix in its path.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.path_prefix)?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Returns the queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}
