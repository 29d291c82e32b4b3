//! The operators' configuration: queues, and the services whose executors run their tasks.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Deref;
use model::Map;
use serde::Deserialize;
use serde::Serialize;

/// One version of the operators' document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The version of the document; it increases with every change.
    pub version: u64,
    /// The queues. No two share both host name and path prefix.
    pub queues: Queues,
    /// The services by name.
    pub services: Map<Arc<str>, Service>,
    /// Limits on requests of callers.
    pub limits: Limits,
}

/// The queues of a document, found by name. A document may have thousands of them, and placement
/// looks up the queue of each waiting step.
#[derive(Clone, Debug, Default, PartialEq, Deref, Serialize, Deserialize)]
#[serde(from = "Vec<Queue>", into = "Vec<Queue>")]
pub struct Queues {
    #[deref]
    queues: Vec<Queue>,
    positions: Map<Arc<str>, usize>,
}

impl FromIterator<Queue> for Queues {
    fn from_iter<I: IntoIterator<Item = Queue>>(queues: I) -> Self {
        queues.into_iter().collect::<Vec<Queue>>().into()
    }
}

impl From<Vec<Queue>> for Queues {
    fn from(queues: Vec<Queue>) -> Self {
        let names = queues.iter().map(|queue| queue.name.clone());
        Self {
            positions: names.zip(0..).collect(),
            queues,
        }
    }
}

impl From<Queues> for Vec<Queue> {
    fn from(queues: Queues) -> Self {
        queues.queues
    }
}

impl Queues {
    /// Returns the queue with this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Queue> {
        self.queues.get(*self.positions.get(name)?)
    }
}

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name, which is stable across document versions.
    pub name: Arc<str>,
    /// The host name that callers address.
    pub host: Arc<str>,
    /// The path prefix of requests for the queue.
    pub path_prefix: Arc<str>,
    /// The service whose executors run the queue's tasks.
    pub service: Arc<str>,
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// How many runs of a task may fail before its job fails.
    pub attempts: u32,
    /// The part of the objective that scales with the job: a factor on the estimated time of its
    /// critical path.
    pub stretch: f64,
    /// The part of the objective that is the same for all jobs, added to the scaled time.
    pub target: Duration,
    /// The advisor that decides which executors may run the queue's tasks, if there is one.
    pub advisor: Option<Advisor>,
}

/// The timing of an advisor's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advisor {
    /// The part of the response time that does not depend on the number of executors.
    pub base_latency: Duration,
    /// The additional response time for each executor in a request.
    pub latency_per_executor: Duration,
    /// How long granted tickets are valid.
    pub ticket_ttl: Duration,
}

/// Added to the expected response time for network delays.
const ADVICE_MARGIN: Duration = Duration::from_secs(1);

impl Advisor {
    /// Returns the timeout for a request about this many executors: twice the expected response
    /// time plus a margin.
    #[must_use]
    pub fn answer_timeout(&self, executors: usize) -> Duration {
        let executors = u32::try_from(executors).unwrap_or(u32::MAX);
        (self.base_latency + self.latency_per_executor.saturating_mul(executors)) * 2
            + ADVICE_MARGIN
    }
}

/// A pool of executors.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Whether the executors reject a start that exceeds their free capacity.
    pub refuses_overcommit: bool,
}

/// The maximum size of a header section that the servers accept, whatever a document allows, in
/// bytes.
pub const MAX_HEADER_BYTES: usize = 64 << 10;

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which a caller has to send the header section of a request.
    pub header_timeout: Duration,
    /// The time after which an idle connection is closed.
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
    /// Returns the queue for a request, and the part of the path after the queue's prefix. The
    /// longest matching prefix wins.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.path_prefix)?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Returns whether the document names a service, on its own or as that of a queue.
    #[must_use]
    pub fn names_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
            || self.queues.iter().any(|queue| &*queue.service == service)
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.find(name)
    }
}
