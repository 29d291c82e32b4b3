//! What a caller submits.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use model::Size;
use serde::Deserialize;
use serde::Serialize;

/// The most tasks that one job may have, over all steps and occurrences; its row in the store has to
/// hold the state of each.
pub const MAX_TASKS: usize = 1_000;
/// The longest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job as its caller wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What the executors are told to run; it is passed on as it is.
    pub payload: Arc<str>,
    /// The steps, in the order in which others refer to them.
    pub steps: Vec<StepSpec>,
    /// When and how often the steps run, for jobs that are due at set times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u32,
    /// What each task reserves.
    pub size: Size,
    /// A rough estimate of how long a task runs, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Earlier steps that must have ended well before this one starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks only work together and start at once.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the executor must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; elsewhere the tasks are slower.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of this step on one executor, 0 for no limit.
    #[serde(rename = "most_per_executor", skip_serializing_if = "is_default")]
    pub max_per_executor: u32,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the tasks save checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// The response time below which the tail of a service's task has to stay, in milliseconds.
    #[serde(rename = "tail_target_ms", skip_serializing_if = "is_default")]
    pub tail_latency_target_ms: u64,
    /// Whether the tasks live on the processor time that others leave, so that their processors are
    /// not counted against an executor's capacity.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// How many tasks of a lasting step may be away at once through our doing; without it there is
    /// no limit.
    #[serde(rename = "most_away", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// When a job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How many occurrences there are.
    pub times: u32,
}

/// Why a job cannot be accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidJob {
    /// There are no steps.
    #[display("steps: a job needs at least one step")]
    NoSteps,
    /// A step has no tasks.
    #[display("steps[{step}].count: a step needs at least one task")]
    NoTasks {
        /// The step.
        step: usize,
    },
    /// A step waits for one that is not before it.
    #[display("steps[{step}].after: {after} is no earlier step")]
    NotEarlier {
        /// The step.
        step: usize,
        /// What it refers to.
        after: u32,
    },
    /// The job is larger than its row may be.
    #[display("steps: {tasks} tasks in all, at most {MAX_TASKS} are possible")]
    TooManyTasks {
        /// How many it has.
        tasks: usize,
    },
    /// The payload is too long.
    #[display("spec: {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are possible")]
    PayloadTooLong {
        /// How many bytes it has.
        bytes: usize,
    },
}

impl JobSpec {
    /// Checks everything that can be said without knowing the executors.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, with its place.
    pub fn check(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() {
            return Err(InvalidJob::NoSteps);
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(InvalidJob::PayloadTooLong {
                bytes: self.payload.len(),
            });
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.count == 0 {
                return Err(InvalidJob::NoTasks { step });
            }
            if let Some(after) = spec.after.iter().find(|after| **after as usize >= step) {
                return Err(InvalidJob::NotEarlier {
                    step,
                    after: *after,
                });
            }
        }
        let tasks = self.task_count();
        if tasks > MAX_TASKS {
            return Err(InvalidJob::TooManyTasks { tasks });
        }
        Ok(())
    }

    /// Returns how often the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Returns the number of tasks of all occurrences.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.tasks_per_occurrence()
            .saturating_mul(self.occurrences() as usize)
    }

    /// Returns the estimated time of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        self.step_ends_ms().into_iter().max().unwrap_or(0)
    }

    /// Returns for each step the estimated time from the start of the job to the end of the step.
    #[must_use]
    pub fn step_ends_ms(&self) -> Vec<u64> {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .filter_map(|after| ends.get(*after as usize).copied())
                .max()
                .unwrap_or(0);
            ends.push(begin.saturating_add(step.estimate_ms));
        }
        ends
    }

    /// Returns whether any step runs until the job is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

impl Repeat {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let after = (occurrence as u64).saturating_mul(self.interval_ms);
        self.first_due_unix_ms.saturating_add(after)
    }
}

impl StepSpec {
    /// Returns what a task takes of an executor's capacity.
    #[must_use]
    pub const fn allocated_size(&self) -> Size {
        if self.best_effort {
            Size::new(0, self.size.memory_mib, self.size.accelerators)
        } else {
            self.size
        }
    }

    /// Returns whether the tasks serve requests of their own, whose tail is watched.
    #[must_use]
    pub const fn is_service(&self) -> bool {
        self.tail_latency_target_ms > 0
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
