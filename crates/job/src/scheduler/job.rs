//! The state of a job.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::Mono;

use super::AbandonedRun;
use super::JobKey;
use super::ReadyStep;
use super::set_aside::JobEnd;
use super::store_queue::StorePlace;
use crate::fault_attribution::FailedOn;
use crate::id::JobId;
use crate::spec::JobSpec;
use crate::spec::StepSpec;
use crate::task::Phase;
use crate::task::Task;
use crate::terms::Terms;

/// The state of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.as_str())]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Succeeded,
    /// A task has reached the maximum number of failures.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns the name of the state.
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

    /// Returns whether the state can no longer change.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// A job and its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job's identifier.
    pub id: JobId,
    /// The name of the job's queue.
    pub queue: Arc<str>,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The terms under which the job was accepted, in force while the document lacks its queue. Of a
    /// job of an earlier release, those that its queue had when this owner learned of it.
    pub(super) terms: Option<Terms>,
    /// When this owner learned of the job.
    pub(super) submitted: Mono,
    /// The job's age at that time. It may exceed the time for which the owner has run.
    pub(super) age_when_submitted: Duration,
    /// The estimated work of all tasks, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
    /// The current state.
    pub state: JobState,
    /// The state as stored. Callers are told a final state only once it is stored.
    pub stored_state: JobState,
    /// The tasks, ordered by occurrence and step.
    pub tasks: Vec<Task>,
    /// The number of tasks that have not succeeded, by occurrence and step.
    pub(super) unfinished: Vec<u32>,
    /// Since when a task of a best-effort step waits for an executor, by occurrence and step;
    /// `None` before it is ready and after an executor has lost a task of it.
    pub(super) waits_since: Vec<Option<Mono>>,
    /// The number of waiting tasks.
    pub(super) waiting: u32,
    /// The version of the row that records the submission.
    pub(crate) row_version: u64,
    /// Runs that ended in a way that is unknown. Their ends may be reported late.
    pub(crate) abandoned: Vec<AbandonedRun>,
    /// The executors on which runs of the job have failed recently.
    pub(super) failed_on: FailedOn,
    /// Whether the job could be in time when its tasks were last placed.
    pub(crate) is_urgent: bool,
    /// Whether the job's record has to be written.
    pub(super) dirty: bool,
    /// Where the job waits for that.
    pub(super) store_place: StorePlace,
    /// Ends that changed the job since its record was last serialised.
    pub(super) unstored_ends: Vec<JobEnd>,
    /// Whether the store refuses the job's record, so that it is not written and no task starts.
    pub set_aside: bool,
}

impl Job {
    /// Returns whether a task is on an executor or has ended.
    pub(crate) fn has_begun(&self) -> bool {
        (self.waiting as usize) < self.tasks.len()
    }

    /// Returns the number of waiting tasks.
    pub(crate) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the index of a step's counter in `unfinished`.
    pub(super) fn group(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.spec.steps.len() + step as usize
    }

    /// Returns the time since the job arrived.
    #[must_use]
    pub fn age(&self, now: Mono) -> Duration {
        now.since(self.submitted) + self.age_when_submitted
    }

    /// Returns for how long the step of a task has waited.
    pub(crate) fn waited(&self, slot: u32, now: Mono) -> Duration {
        let since = self.waits_since.get(self.group_of(slot));
        since
            .copied()
            .flatten()
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Begins the wait of a task's step, unless it waits already. Returns whether it did not.
    pub(crate) fn begin_wait(&mut self, slot: u32, now: Mono) -> bool {
        let group = self.group_of(slot);
        let Some(since) = self.waits_since.get_mut(group) else {
            return false;
        };
        let begins = since.is_none();
        since.get_or_insert(now);
        begins
    }

    /// Begins the wait of a task's step anew.
    pub(crate) fn restart_wait(&mut self, slot: u32, now: Mono) {
        let group = self.group_of(slot);
        if let Some(since) = self.waits_since.get_mut(group) {
            *since = Some(now);
        }
    }

    /// Ends the wait of a task's step because a task of it has lost its executor.
    pub(crate) fn end_wait(&mut self, slot: u32) {
        let group = self.group_of(slot);
        if let Some(since) = self.waits_since.get_mut(group) {
            *since = None;
        }
    }

    /// Returns the index of the counters of a task's step.
    pub(super) fn group_of(&self, slot: u32) -> usize {
        let located = self.locate(slot);
        located.map_or(usize::MAX, |(occurrence, step, _)| {
            self.group(occurrence, step)
        })
    }

    /// Returns whether any task has an executor.
    pub(crate) fn has_assigned_tasks(&self) -> bool {
        self.unfinished.iter().sum::<u32>() > self.waiting
    }

    /// Returns whether any task is waiting to be started.
    #[must_use]
    pub const fn has_waiting_tasks(&self) -> bool {
        self.waiting > 0 && !self.state.is_final()
    }

    /// Returns the slot of the first task of a step.
    #[must_use]
    pub fn first_slot(&self, occurrence: u32, step: u32) -> u32 {
        self.spec.slot(occurrence, step, 0)
    }

    /// Returns the occurrence, step and index of the task in a slot.
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

    /// Returns a step that has not ended and that the given step depends on.
    pub(crate) fn unfinished_dependency(&self, occurrence: u32, step: u32) -> Option<u32> {
        self.unfinished_dependency_of(occurrence, self.spec.steps.get(step as usize)?)
    }

    /// Returns the time until an occurrence is due, in milliseconds, or `None` if it is due.
    pub(crate) fn due_in_ms(&self, occurrence: u32, unix_ms: u64) -> Option<u64> {
        let due = self.spec.repeat?.due_unix_ms(occurrence);
        (unix_ms < due).then(|| due - unix_ms)
    }

    /// Returns the estimated remaining work, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn remaining_work(&self) -> u64 {
        let steps = self.spec.steps.iter().cycle();
        self.unfinished
            .iter()
            .zip(steps)
            .map(|(unfinished, step)| {
                u64::from(*unfinished)
                    .saturating_mul(step.size.cpu_millis)
                    .saturating_mul(step.estimate_ms)
            })
            .fold(0, u64::saturating_add)
    }

    /// Returns the index of the first step of the first occurrence that has not ended.
    pub(crate) fn first_unfinished_step(&self) -> Option<u32> {
        let first = self
            .unfinished
            .iter()
            .position(|unfinished| *unfinished > 0);
        let step = first? % self.spec.steps.len();
        u32::try_from(step).ok()
    }

    /// Returns the steps of the first occurrence, each with the number of its tasks that wait.
    pub(crate) fn waiting_tasks_by_step(&self) -> impl Iterator<Item = (&StepSpec, u32)> {
        let mut first = 0;
        self.spec.steps.iter().map(move |step| {
            let slots = first..first + step.count as usize;
            first = slots.end;
            let tasks = self.tasks.get(slots).unwrap_or_default();
            let waiting = tasks.iter().filter(|task| task.phase == Phase::Waiting);
            (step, u32::try_from(waiting.count()).unwrap_or(u32::MAX))
        })
    }

    /// Returns the estimated duration from the start of this step to the end of the job, in
    /// milliseconds.
    #[must_use]
    pub fn critical_path_from(&self, step: u32) -> u64 {
        let mut longest = vec![0_u64; self.spec.steps.len()];
        for (index, spec) in self.spec.steps.iter().enumerate().rev() {
            longest[index] = longest[index].saturating_add(spec.estimate_ms);
            for after in &spec.after {
                let before = *after as usize;
                longest[before] = longest[before].max(longest[index]);
            }
        }
        longest.get(step as usize).copied().unwrap_or(0)
    }
}
