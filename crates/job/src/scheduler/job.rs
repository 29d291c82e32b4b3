//! One job and how it stands.

use std::sync::Arc;

use derive_more::Display;
use model::Mono;

use super::JobKey;
use super::ReadyStep;
use crate::id::JobId;
use crate::spec::JobSpec;
use crate::spec::StepSpec;
use crate::task::Task;

/// How a job stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.as_str())]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended well.
    Succeeded,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns a word for it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns whether nothing more will happen.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The name of its queue.
    pub queue: Arc<str>,
    /// What it consists of.
    pub spec: Arc<JobSpec>,
    /// When it arrived, by this owner's clock.
    pub arrived: Mono,
    /// How it stands.
    pub state: JobState,
    /// How it stands according to the store, which is what callers are told of a final state.
    pub stored_state: JobState,
    /// Its tasks, occurrence by occurrence and step by step.
    pub tasks: Vec<Task>,
    /// How many tasks of each occurrence and step have not ended well.
    pub(super) unfinished: Vec<u32>,
    /// Tasks that wait.
    pub(super) waiting: u32,
    /// The version of the row that says that it was accepted.
    pub(super) row_version: u64,
    /// Whether its record has to be written.
    pub(super) dirty: bool,
}

impl Job {
    /// Returns the place of a step's count among those of all occurrences.
    pub(super) fn group(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.spec.steps.len() + step as usize
    }

    /// Returns whether any of its tasks waits to be started.
    #[must_use]
    pub const fn has_waiting_tasks(&self) -> bool {
        self.waiting > 0 && !self.state.is_final()
    }

    /// Returns the slot of the first task of a step.
    #[must_use]
    pub fn first_slot(&self, occurrence: u32, step: u32) -> u32 {
        let before: u32 = self.spec.steps[..step as usize]
            .iter()
            .map(|step| step.count)
            .sum();
        let each = u32::try_from(self.spec.tasks_per_occurrence()).unwrap_or(u32::MAX);
        occurrence * each + before
    }

    /// Returns occurrence, step and index of a task.
    #[must_use]
    pub fn locate(&self, slot: u32) -> Option<(u32, u32, u32)> {
        let each = u32::try_from(self.spec.tasks_per_occurrence()).ok()?;
        let occurrence = slot.checked_div(each)?;
        let mut index = slot % each;
        for (step, spec) in (0_u32..).zip(&self.spec.steps) {
            if index < spec.count {
                return Some((occurrence, step, index));
            }
            index -= spec.count;
        }
        None
    }

    pub(crate) fn ready_steps(&self, job: JobKey, unix_ms: u64, ready: &mut Vec<ReadyStep>) {
        for occurrence in 0..self.spec.occurrences() {
            if self.due_in_ms(occurrence, unix_ms).is_some() {
                return;
            }
            for (step, spec) in (0_u32..).zip(&self.spec.steps) {
                let open = self.unfinished[self.group(occurrence, step)] > 0;
                if open && self.unfinished_dependency_of(occurrence, spec).is_none() {
                    ready.push(ReadyStep {
                        job,
                        occurrence,
                        step,
                        first_slot: self.first_slot(occurrence, step),
                    });
                }
            }
        }
    }

    fn unfinished_dependency_of(&self, occurrence: u32, spec: &StepSpec) -> Option<u32> {
        let mut after = spec.after.iter().copied();
        after.find(|after| self.unfinished[self.group(occurrence, *after)] > 0)
    }

    /// Returns an earlier step that has not ended and that a step waits for.
    pub(crate) fn unfinished_dependency(&self, occurrence: u32, step: u32) -> Option<u32> {
        self.unfinished_dependency_of(occurrence, self.spec.steps.get(step as usize)?)
    }

    /// Returns how long it is until an occurrence is due, in milliseconds; none if it is.
    pub(crate) fn due_in_ms(&self, occurrence: u32, unix_ms: u64) -> Option<u64> {
        let due = self.spec.repeat?.due_unix_ms(occurrence);
        (unix_ms < due).then(|| due - unix_ms)
    }

    /// Returns the estimated work that is left, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn remaining_work(&self) -> u64 {
        let steps = self.spec.steps.iter().cycle();
        self.unfinished
            .iter()
            .zip(steps)
            .map(|(unfinished, step)| {
                u64::from(*unfinished) * step.size.cpu_millis * step.estimate_ms
            })
            .sum()
    }

    /// Returns the estimated time of work from the start of this step on, in milliseconds.
    #[must_use]
    pub fn critical_path_from(&self, step: u32) -> u64 {
        let mut longest = vec![0_u64; self.spec.steps.len()];
        for (at, spec) in self.spec.steps.iter().enumerate().rev() {
            longest[at] += spec.estimate_ms;
            for after in &spec.after {
                let before = *after as usize;
                longest[before] = longest[before].max(longest[at]);
            }
        }
        longest.get(step as usize).copied().unwrap_or(0)
    }
}
