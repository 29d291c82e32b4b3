//! Explains why a waiting task does not start, and why an assigned one has not started.
//!
//! The constraints are those of [`crate::placement`], checked one after the other. The first one
//! that leaves no executor is reported. This module makes no scheduling decisions.

mod interference;
mod reason;

use std::time::Duration;

use model::Mono;
use model::Size;

pub use self::interference::LeastDisturbed;
pub use self::reason::WaitReason;
pub use self::reason::WaitingStep;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::plan::Queue;
use crate::ranking::rank;
use crate::scheduler::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::short_work::is_kept;
use crate::spec::StepSpec;
use crate::task::Phase;
use crate::task::StartState;
use crate::task::Task;

/// How long an assigned task may take to start before it is reported as overdue.
pub const OVERDUE_START: Duration = Duration::from_secs(2);

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
        if !self.knows_capacity(&queue.service, now) {
            let age_ms = model::time::millis(self.list_age(now));
            return WaitReason::OldList { age_ms };
        }
        for constraint in self.constraints(key, job, step, now) {
            let mut admitting = executors.clone();
            admitting
                .retain(|(executor_key, executor)| (constraint.admits)(*executor_key, executor));
            if admitting.is_empty() {
                return (constraint.wait_reason)(&executors);
            }
            executors = admitting;
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
        if let Some(wait) = self.locality.wait_of(key).filter(|wait| now < wait.until) {
            return WaitReason::Locality {
                rack: wait.rack.clone(),
                remaining_ms: model::time::millis(wait.until.since(now)),
            };
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
                    candidates: candidates.len(),
                }),
                admits: Box::new(move |_, executor| label.is_empty() || executor.has_label(label)),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::MaxPerExecutor {
                    max: step.max_per_executor,
                    candidates: candidates.len(),
                }),
                admits: Box::new(move |executor_key, _| {
                    self.within_max_per_executor(executor_key, job, key, step)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::TooLarge {
                    candidates: candidates.len(),
                }),
                admits: Box::new(|_, executor| {
                    step.allocated_size().fits(&executor.listing.capacity)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| no_capacity(candidates, step)),
                admits: Box::new(|_, executor| step.allocated_size().fits(&executor.free())),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::Reserved {
                    candidates: candidates.len(),
                }),
                admits: Box::new(move |_, executor| {
                    !(step.long_running && is_kept(executor))
                        && self.admits_beside_reservation(executor, key, step)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::WarmingUp {
                    candidates: candidates.len(),
                }),
                admits: Box::new(move |_, executor| self.admits_when_cold(executor, now)),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::Isolated {
                    candidates: candidates.len(),
                }),
                admits: Box::new(move |_, executor| self.exposure(key, step, executor).is_some()),
            },
            Constraint {
                wait_reason: Box::new(|candidates| WaitReason::NoSpareCpu {
                    candidates: candidates.len(),
                }),
                admits: Box::new(move |_, executor| {
                    let relaxation = wait.relaxation_on(executor, now);
                    !step.best_effort || crate::placement::has_spare_cpu(executor, step, relaxation)
                }),
            },
            Constraint {
                wait_reason: Box::new(|candidates| self.interference_reason(candidates, step)),
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

/// Builds the wait reason for a constraint that no executor meets.
type Explains<'b> = Box<dyn Fn(&[(ExecutorKey, &Executor)]) -> WaitReason + 'b>;

/// A placement constraint.
struct Constraint<'b> {
    /// Builds the wait reason for a constraint that none of the given executors meets.
    wait_reason: Explains<'b>,
    /// Decides whether an executor meets the constraint.
    admits: Admits<'b>,
}

fn no_capacity(candidates: &[(ExecutorKey, &Executor)], step: &StepSpec) -> WaitReason {
    let needed = step.allocated_size();
    let count = |is_short: &dyn Fn(Size) -> bool| {
        let free = candidates.iter().map(|(_, executor)| executor.free());
        free.filter(|free| is_short(*free)).count()
    };
    let sum = |cpu_millis: &dyn Fn(&Executor) -> u64| -> u64 {
        let executors = candidates.iter();
        let amounts = executors.map(|(_, executor)| cpu_millis(executor));
        amounts.fold(0, u64::saturating_add)
    };
    let capacity = sum(&|executor| executor.listing.capacity.cpu_millis).max(1);
    let percent = |amount: u64| amount.saturating_mul(100) / capacity;
    WaitReason::NoCapacity {
        candidates: candidates.len(),
        cpu_short: count(&|free| free.cpu_millis < needed.cpu_millis),
        memory_short: count(&|free| free.memory_mib < needed.memory_mib),
        long_running_percent: percent(sum(&|executor| executor.long_running_cpu_millis)),
        batch_percent: percent(sum(&|executor| executor.batch_cpu_millis)),
    }
}

fn no_executor(service: &str, listed: &[(ExecutorKey, &Executor)], now: Mono) -> WaitReason {
    let count =
        |is: &dyn Fn(&Executor) -> bool| listed.iter().filter(|(_, executor)| is(executor)).count();
    WaitReason::NoExecutor {
        service: service.to_owned(),
        listed: listed.len(),
        unreachable: count(&|executor| !executor.reachable),
        draining: count(&|executor| executor.reachable && executor.listing.draining),
        evacuated: count(&|executor| {
            executor.reachable && !executor.listing.draining && executor.evacuated
        }),
        report_due: count(&|executor| executor.reachable && executor.report_due_since.is_some()),
        entry_due: count(&|executor| executor.reachable && !executor.has_current_entry()),
        cooling_down: count(&|executor| {
            executor.reachable
                && !executor.listing.draining
                && !executor.evacuated
                && now < executor.not_before
        }),
    }
}
