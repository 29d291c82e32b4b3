//! The specification of a job, as submitted by a caller.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use model::Size;
use serde::Deserialize;
use serde::Serialize;

/// The maximum number of tasks in one job, over all steps and occurrences. The job's row in the
/// store has to hold the state of each task.
pub const MAX_TASKS: usize = 1_000;
/// The maximum length of the payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// The specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The payload for the executors, which is passed on unchanged.
    pub payload: Arc<str>,
    /// The steps. Steps refer to each other by index.
    pub steps: Vec<StepSpec>,
    /// The schedule of a job that runs at set times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task needs.
    pub size: Size,
    /// The caller's estimate of a task's duration, in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indexes of earlier steps that must succeed before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether the tasks only work together and have to start at once.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the tasks are slower when they are spread over racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the executor must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// The rack that holds the data; tasks are slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// The maximum number of this step's tasks on one executor; 0 means no limit.
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
    /// The image that the tasks run. Tasks with the same image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// The tail latency target of a service's tasks, in milliseconds; 0 if the tasks are not a
    /// service.
    #[serde(rename = "tail_target_ms", skip_serializing_if = "is_default")]
    pub tail_latency_target_ms: u64,
    /// Whether the tasks are best-effort: they use spare CPU, and their CPU is not counted against
    /// an executor's capacity.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub best_effort: bool,
    /// The maximum number of tasks of a long-running step that the scheduler may make unavailable
    /// at once; `None` means no limit.
    #[serde(rename = "most_away", skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

/// The schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub times: u32,
}

/// The reason why a job specification is invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidJob {
    /// The job has no steps.
    #[display("steps: a job needs at least one step")]
    NoSteps,
    /// A step has no tasks.
    #[display("steps[{step}].count: a step needs at least one task")]
    NoTasks {
        /// The index of the step.
        step: usize,
    },
    /// A step depends on one that does not precede it.
    #[display("steps[{step}].after: {after} is no earlier step")]
    NotEarlier {
        /// The index of the step.
        step: usize,
        /// The index that it depends on.
        after: u32,
    },
    /// The job has more tasks than its row can hold.
    #[display("steps: {tasks} tasks in all, at most {MAX_TASKS} are possible")]
    TooManyTasks {
        /// The number of tasks in the job.
        tasks: usize,
    },
    /// The payload is too long.
    #[display("spec: {bytes} bytes, at most {MAX_PAYLOAD_BYTES} are possible")]
    PayloadTooLong {
        /// The length of the payload in bytes.
        bytes: usize,
    },
}

impl JobSpec {
    /// Validates everything that does not depend on the executors.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with its location.
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

    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times.max(1))
    }

    /// Returns the number of tasks in one occurrence.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Returns the index of a task among all tasks of the job.
    #[must_use]
    pub fn slot(&self, occurrence: u32, step: u32, index: u32) -> u32 {
        let earlier_steps = self.steps.iter().take(step as usize);
        let before: u32 = earlier_steps.map(|step| step.count).sum();
        let each = u32::try_from(self.tasks_per_occurrence()).unwrap_or(u32::MAX);
        occurrence * each + before + index
    }

    /// Returns the number of tasks in all occurrences.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.tasks_per_occurrence()
            .saturating_mul(self.occurrences() as usize)
    }

    /// Returns the estimated duration of the longest chain of dependent steps, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        self.step_ends_ms().into_iter().max().unwrap_or(0)
    }

    /// Returns for each step the estimated time from the start of the job to the end of the step,
    /// in milliseconds.
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

    /// Returns whether any step is long-running.
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
    /// Returns how many tasks of this step an executor may have that has room for this many.
    pub(crate) fn within_max_per_executor(&self, tasks: u32) -> u32 {
        match self.max_per_executor {
            0 => tasks,
            max => tasks.min(max),
        }
    }

    /// Returns the resources that a task takes from an executor's capacity.
    #[must_use]
    pub const fn allocated_size(&self) -> Size {
        if self.best_effort {
            Size::new(0, self.size.memory_mib, self.size.accelerators)
        } else {
            self.size
        }
    }

    /// Returns whether the tasks are a service, whose tail latency is monitored.
    #[must_use]
    pub const fn is_service(&self) -> bool {
        self.tail_latency_target_ms > 0
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
