//! Explains why a waiting task does not start, and why an assigned one has not started.
//!
//! The constraints are those of [`crate::placement`], checked one after the other. The first one
//! that leaves no executor is reported. This module makes no scheduling decisions.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use model::Mono;
use serde::Serialize;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::plan::Queue;
use crate::ranking::rank;
use crate::scheduler::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;
use crate::task::Phase;
use crate::task::StartState;
use crate::task::Task;

/// How long an assigned task may take to start before it is reported as overdue.
pub const OVERDUE_START: Duration = Duration::from_secs(2);

/// The reason why a task waits.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(tag = "limit", rename_all = "snake_case")]
pub enum WaitReason {
    /// The occurrence is not due yet.
    #[display("due in {due_in_ms} ms")]
    NotDue {
        /// The time until it is due, in milliseconds.
        #[serde(rename = "in_ms")]
        due_in_ms: u64,
    },
    /// A step that it depends on has not ended.
    #[display("step {step} has not ended")]
    EarlierStep {
        /// The index of that step.
        step: u32,
    },
    /// The task is in backoff after a run that failed or was lost.
    #[display("rests for {remaining_ms} ms after its last run")]
    #[serde(rename = "rests")]
    Backoff {
        /// The remaining backoff, in milliseconds.
        #[serde(rename = "for_ms")]
        remaining_ms: u64,
    },
    /// The current document does not contain the queue.
    #[display("queue {queue} is not in the document in force")]
    NoQueue {
        /// The name of the queue.
        queue: String,
    },
    /// The queue's advisor has granted none of the executors that could take the task.
    #[display("the advisor has granted none of {candidates} executors and denied {denied}")]
    #[serde(rename = "advice")]
    NotGranted {
        /// The number of executors that could take the task.
        #[serde(rename = "among")]
        candidates: usize,
        /// The number of these executors that the advisor has denied.
        denied: usize,
    },
    /// No executor of the service accepts tasks.
    #[display(
        "none of the {listed} executors of {service} takes tasks: {unreachable} do not answer, {draining} leave, {cooling_down} rest"
    )]
    NoExecutor {
        /// The name of the service.
        service: String,
        /// The number of listed executors of the service.
        listed: usize,
        /// The number of executors that do not answer.
        #[serde(rename = "away")]
        unreachable: usize,
        /// The number of reachable executors that drain.
        #[serde(rename = "leaving")]
        draining: usize,
        /// The number of executors in cooldown after refused starts or failures.
        #[serde(rename = "resting")]
        cooling_down: usize,
    },
    /// No executor that accepts tasks has the required label.
    #[display("none of {candidates} executors has the label {label}")]
    NoLabel {
        /// The required label.
        label: String,
        /// The number of executors that accept tasks.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// Every executor runs the maximum number of tasks of the step.
    #[display("each of {candidates} executors has the {max} tasks of the step that it may have")]
    #[serde(rename = "most_per_executor")]
    MaxPerExecutor {
        /// The maximum number of tasks of the step on one executor.
        #[serde(rename = "most")]
        max: u32,
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// The task exceeds the total capacity of every executor.
    #[display("larger than each of {candidates} executors")]
    TooLarge {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// No executor has enough free resources.
    #[display("no room on any of {candidates} executors")]
    #[serde(rename = "no_room")]
    NoCapacity {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// All executors with enough free resources are reserved for other, long-running tasks.
    #[display("each of {candidates} executors is kept for a task that lasts")]
    #[serde(rename = "kept")]
    Reserved {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// No executor has enough spare CPU for a best-effort task.
    #[display("none of {candidates} executors has enough processors to spare")]
    #[serde(rename = "no_spare")]
    NoSpareCpu {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// On every executor, the task would raise the tail latency of a service too much, or a service
    /// already exceeds its target.
    #[display("it would disturb the services on each of {candidates} executors")]
    #[serde(rename = "disturbs")]
    Interference {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// Each task of the gang fits on its own, but not all of them together.
    #[display("no room for all {tasks} tasks of the gang at once")]
    Gang {
        /// The number of tasks in the gang.
        tasks: u32,
    },
    /// There are enough resources, and the task is due in the next placement round.
    #[display("its turn is next")]
    NextRound,
    /// The task is assigned, and the store has not confirmed the assignment for a long time.
    #[display("given to {executor}, which has not been stored for {waited_ms} ms")]
    #[serde(rename = "unstored")]
    NotStored {
        /// The name of the executor.
        executor: Arc<str>,
        /// The time since the assignment, in milliseconds.
        #[serde(rename = "for_ms")]
        waited_ms: u64,
    },
    /// The task is assigned, and its start command waits for a command slot of the executor or for
    /// the executor's first answer.
    #[display("its start at {executor} has waited for {waited_ms} ms")]
    #[serde(rename = "start_pending")]
    StartPending {
        /// The name of the executor.
        executor: Arc<str>,
        /// The time since the assignment, in milliseconds.
        #[serde(rename = "for_ms")]
        waited_ms: u64,
    },
    /// The task is assigned, and the executor has left at least one start command unanswered.
    #[display("{executor} has not answered its start for {waited_ms} ms")]
    #[serde(rename = "start_unanswered")]
    StartUnanswered {
        /// The name of the executor.
        executor: Arc<str>,
        /// The time since the assignment, in milliseconds.
        #[serde(rename = "for_ms")]
        waited_ms: u64,
    },
}

/// A step with waiting tasks, and why they wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WaitingStep {
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The number of tasks that wait, or whose starts are overdue.
    pub tasks: u32,
    /// Why the first of these tasks does not start.
    #[serde(flatten)]
    pub wait_reason: WaitReason,
    /// The reason as a sentence.
    pub reason: String,
}

impl Scheduler {
    /// Returns the steps of a job that have waiting tasks, each with its wait reason, and after
    /// them the steps with overdue starts.
    #[must_use]
    pub fn waiting_steps(&self, job: &Job, now: Mono, unix_ms: u64) -> Vec<WaitingStep> {
        let mut steps = self.unassigned_steps(job, now, unix_ms);
        steps.extend(self.overdue_steps(job, now));
        steps
    }

    /// Returns the steps of a job with tasks that were assigned more than [`OVERDUE_START`] ago and
    /// have not started.
    #[must_use]
    pub fn overdue_steps(&self, job: &Job, now: Mono) -> Vec<WaitingStep> {
        let mut overdue: Vec<WaitingStep> = Vec::new();
        if job.state.is_final() {
            return overdue;
        }
        for (slot, task) in (0_u32..).zip(&job.tasks) {
            let Some(wait_reason) = self.overdue_start(task, now) else {
                continue;
            };
            let Some((occurrence, step, _)) = job.locate(slot) else {
                continue;
            };
            match overdue.last_mut() {
                Some(last) if (last.occurrence, last.step) == (occurrence, step) => last.tasks += 1,
                _ => overdue.push(WaitingStep {
                    occurrence,
                    step,
                    tasks: 1,
                    reason: wait_reason.to_string(),
                    wait_reason,
                }),
            }
        }
        overdue
    }

    /// Returns why the start of an assigned task is overdue, or `None` if it is not.
    fn overdue_start(&self, task: &Task, now: Mono) -> Option<WaitReason> {
        let assignment = task.assignment()?;
        let waited = now.since(assignment.assigned_at);
        if waited < OVERDUE_START {
            return None;
        }
        let executor = self.fleet.get(assignment.executor)?.listing.id.clone();
        let waited_ms = model::time::millis(waited);
        match assignment.start_state {
            StartState::Storing => Some(WaitReason::NotStored {
                executor,
                waited_ms,
            }),
            StartState::Sent if assignment.start_unanswered => Some(WaitReason::StartUnanswered {
                executor,
                waited_ms,
            }),
            StartState::Sent => Some(WaitReason::StartPending {
                executor,
                waited_ms,
            }),
            StartState::Confirmed(_) | StartState::Inherited => None,
        }
    }

    fn unassigned_steps(&self, job: &Job, now: Mono, unix_ms: u64) -> Vec<WaitingStep> {
        let Some(key) = self.find(job.id) else {
            return Vec::new();
        };
        let mut waiting: Vec<WaitingStep> = Vec::new();
        for (slot, task) in (0_u32..).zip(&job.tasks) {
            let Some((occurrence, step, _)) = job.locate(slot) else {
                continue;
            };
            if task.phase != Phase::Waiting || job.state.is_final() {
                continue;
            }
            match waiting.last_mut() {
                Some(last) if (last.occurrence, last.step) == (occurrence, step) => last.tasks += 1,
                _ => {
                    let wait_reason = self.wait_reason(TaskKey { job: key, slot }, now, unix_ms);
                    let wait_reason = wait_reason.unwrap_or(WaitReason::NextRound);
                    waiting.push(WaitingStep {
                        occurrence,
                        step,
                        tasks: 1,
                        reason: wait_reason.to_string(),
                        wait_reason,
                    });
                }
            }
        }
        waiting
    }

    /// Returns why a task waits, or `None` if it does not wait.
    #[must_use]
    pub fn wait_reason(&self, key: TaskKey, now: Mono, unix_ms: u64) -> Option<WaitReason> {
        let task = self.task(key)?;
        let job = self.job(key.job)?;
        if task.phase != Phase::Waiting || job.state.is_final() {
            return None;
        }
        let (occurrence, step, _) = job.locate(key.slot)?;
        let blocked = job
            .due_in_ms(occurrence, unix_ms)
            .map(|due_in_ms| WaitReason::NotDue { due_in_ms })
            .or_else(|| {
                let step = job.unfinished_dependency(occurrence, step)?;
                Some(WaitReason::EarlierStep { step })
            });
        if blocked.is_some() {
            return blocked;
        }
        if now < task.not_before {
            let remaining_ms = model::time::millis(task.not_before.since(now));
            return Some(WaitReason::Backoff { remaining_ms });
        }
        let Some(queue) = self.plan.queue(&job.queue) else {
            let queue = job.queue.to_string();
            return Some(WaitReason::NoQueue { queue });
        };
        Some(self.executor_wait_reason(key, job, queue, step, now))
    }

    fn executor_wait_reason(
        &self,
        key: TaskKey,
        job: &Job,
        queue: &Queue,
        step: u32,
        now: Mono,
    ) -> WaitReason {
        let step = &job.spec.steps[step as usize];
        let mut executors: Vec<(ExecutorKey, &Executor)> = self
            .fleet
            .iter()
            .filter(|(_, executor)| executor.listed && executor.listing.service == queue.service)
            .collect();
        let listed = executors.clone();
        executors.retain(|(_, executor)| executor.accepts_tasks(now));
        if executors.is_empty() {
            return no_executor(&queue.service, &listed, now);
        }
        for constraint in self.constraints(key, job, step, now) {
            let candidates = executors.len();
            executors
                .retain(|(executor_key, executor)| (constraint.admits)(*executor_key, executor));
            if executors.is_empty() {
                return (constraint.wait_reason)(candidates);
            }
        }
        if queue.advisor.is_some() {
            let candidates = executors.len();
            let denied = executors
                .iter()
                .filter(|(executor_key, _)| self.is_denied(key, *executor_key))
                .count();
            executors.retain(|(executor_key, _)| self.ticket(key, *executor_key, now).is_some());
            if executors.is_empty() {
                return WaitReason::NotGranted { candidates, denied };
            }
        }
        if step.gang {
            return WaitReason::Gang { tasks: step.count };
        }
        WaitReason::NextRound
    }

    /// Returns the placement constraints in the order in which they are checked.
    fn constraints<'b>(
        &'b self,
        key: TaskKey,
        job: &'b Job,
        step: &'b StepSpec,
        now: Mono,
    ) -> Vec<Constraint<'b>> {
        let label = step.label.as_deref().unwrap_or_default();
        let wait = self.counted_wait(key, step, now);
        vec![
            Constraint {
                wait_reason: Box::new(move |candidates| WaitReason::NoLabel {
                    label: label.to_owned(),
                    candidates,
                }),
                admits: Box::new(move |_, executor| label.is_empty() || executor.has_label(label)),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::MaxPerExecutor {
                    max: step.max_per_executor,
                    candidates,
                }),
                admits: Box::new(move |executor_key, _| {
                    self.within_max_per_executor(executor_key, job, key, step)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::TooLarge { candidates }),
                admits: Box::new(|_, executor| {
                    step.allocated_size().fits(&executor.listing.capacity)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::NoCapacity { candidates }),
                admits: Box::new(|_, executor| step.allocated_size().fits(&executor.free())),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::Reserved { candidates }),
                admits: Box::new(move |_, executor| {
                    executor
                        .reservation
                        .is_none_or(|reservation| reservation.task == key)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::NoSpareCpu { candidates }),
                admits: Box::new(move |_, executor| {
                    let relaxation = wait.relaxation_on(executor, now);
                    !step.best_effort || crate::placement::has_spare_cpu(executor, step, relaxation)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::Interference { candidates }),
                admits: Box::new(move |_, executor| {
                    let relaxation = wait.relaxation_on(executor, now);
                    self.score(executor, step, relaxation).is_some()
                }),
            },
        ]
    }

    /// Returns the deadline outlook of a job's first ready step as text.
    #[must_use]
    pub fn deadline_outlook(&self, job: &Job, now: Mono, unix_ms: u64) -> Option<String> {
        let key = self.find(job.id)?;
        let mut ready = Vec::new();
        job.ready_steps(key, unix_ms, &mut ready);
        let first = ready.first()?;
        Some(rank(self, job, *first, now, unix_ms).outlook.to_string())
    }
}

/// Decides whether an executor meets a constraint.
type Admits<'b> = Box<dyn Fn(ExecutorKey, &Executor) -> bool + 'b>;

/// A placement constraint.
struct Constraint<'b> {
    /// Builds the wait reason for a constraint that none of the given number of executors meets.
    wait_reason: Box<dyn Fn(usize) -> WaitReason + 'b>,
    /// Decides whether an executor meets the constraint.
    admits: Admits<'b>,
}

fn no_executor(service: &str, listed: &[(ExecutorKey, &Executor)], now: Mono) -> WaitReason {
    let count =
        |is: &dyn Fn(&Executor) -> bool| listed.iter().filter(|(_, executor)| is(executor)).count();
    WaitReason::NoExecutor {
        service: service.to_owned(),
        listed: listed.len(),
        unreachable: count(&|executor| !executor.reachable),
        draining: count(&|executor| executor.reachable && executor.listing.draining),
        cooling_down: count(&|executor| {
            executor.reachable && !executor.listing.draining && now < executor.not_before
        }),
    }
}
