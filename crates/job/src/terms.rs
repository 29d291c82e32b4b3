//! The terms of a queue: attempts, priority and objective of its jobs.
//!
//! The document in force decides about the jobs of the queues that it has. A job whose queue it lacks
//! keeps the terms under which it was accepted, which are stored with the job, so that each owner
//! knows them. None of its tasks starts until a document has the queue again.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::plan::Queue;

/// The attempts, priority and objective that a queue gives its jobs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// How many runs of a task may fail before its job fails.
    #[serde(rename = "a")]
    pub attempts: u32,
    /// The priority of the queue; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u32,
    /// The part of the objective that scales with the job, see [`Queue::stretch`].
    #[serde(rename = "s")]
    pub stretch: f64,
    /// The part of the objective that is the same for all jobs, in milliseconds.
    #[serde(rename = "t")]
    pub target_ms: u64,
}

impl From<&Queue> for Terms {
    fn from(queue: &Queue) -> Self {
        Self {
            attempts: queue.attempts,
            priority: queue.priority,
            stretch: queue.stretch,
            target_ms: model::time::millis(queue.target),
        }
    }
}

impl Terms {
    /// Returns the terms of a job: those of its queue, or those under which it was accepted if the
    /// document in force lacks the queue. `None` if neither is known.
    #[must_use]
    pub fn in_force(queue: Option<&Queue>, accepted: Option<Self>) -> Option<Self> {
        queue.map(Self::from).or(accepted)
    }

    /// Returns the part of the objective that is the same for all jobs.
    #[must_use]
    pub const fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }
}
