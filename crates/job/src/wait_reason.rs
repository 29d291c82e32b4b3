//! What holds a waiting task back now, for those who ask why it does not start.
//!
//! The questions are those of [`crate::place`], asked one after the other: the first that leaves no
//! executor is the answer. Nothing is decided here.

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

/// What holds a task back.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(tag = "limit", rename_all = "snake_case")]
pub enum WaitReason {
    /// Its time has not come.
    #[display("due in {due_in_ms} ms")]
    NotDue {
        /// How long until then, in milliseconds.
        #[serde(rename = "in_ms")]
        due_in_ms: u64,
    },
    /// A step before it has not ended.
    #[display("step {step} has not ended")]
    EarlierStep {
        /// The step.
        step: u32,
    },
    /// Its last run failed or was lost, and it rests.
    #[display("rests for {remaining_ms} ms after its last run")]
    #[serde(rename = "rests")]
    Backoff {
        /// How much longer, in milliseconds.
        #[serde(rename = "for_ms")]
        remaining_ms: u64,
    },
    /// The document in force has no such queue.
    #[display("queue {queue} is not in the document in force")]
    NoQueue {
        /// The queue.
        queue: String,
    },
    /// The advisor of its queue has granted none of the executors that could take it.
    #[display("the advisor has granted none of {considered} executors and denied {denied}")]
    #[serde(rename = "advice")]
    NotGranted {
        /// How many executors could take it.
        #[serde(rename = "among")]
        considered: usize,
        /// How many of them the advisor has denied.
        denied: usize,
    },
    /// No executor of its service takes tasks.
    #[display(
        "none of the {listed} executors of {service} takes tasks: {unreachable} do not answer, {draining} leave, {cooling_down} rest"
    )]
    NoExecutor {
        /// The service.
        service: String,
        /// How many executors it has.
        listed: usize,
        /// How many do not answer.
        #[serde(rename = "away")]
        unreachable: usize,
        /// How many are about to leave.
        #[serde(rename = "leaving")]
        draining: usize,
        /// How many rest after they refused or failed starts.
        #[serde(rename = "resting")]
        cooling_down: usize,
    },
    /// No executor that takes tasks has the label.
    #[display("none of {considered} executors has the label {label}")]
    NoLabel {
        /// The label.
        label: String,
        /// How many executors take tasks.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// Every executor has as many tasks of the step as it may.
    #[display("each of {considered} executors has the {max} tasks of the step that it may have")]
    #[serde(rename = "most_per_executor")]
    MaxPerExecutor {
        /// The limit.
        #[serde(rename = "most")]
        max: u32,
        /// How many executors were left.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// No executor could hold it, even empty.
    #[display("larger than each of {considered} executors")]
    TooLarge {
        /// How many executors were left.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// No executor has room.
    #[display("no room on any of {considered} executors")]
    NoRoom {
        /// How many executors were left.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// Executors with room are kept for tasks that last and have waited for longer.
    #[display("each of {considered} executors is kept for a task that lasts")]
    #[serde(rename = "kept")]
    Reserved {
        /// How many executors were left.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// No executor leaves enough of its processors to tasks that fill.
    #[display("none of {considered} executors has enough processors to spare")]
    #[serde(rename = "no_spare")]
    NoSpareCpu {
        /// How many executors were left.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// It would disturb what serves on each executor.
    #[display("it would disturb the services on each of {considered} executors")]
    #[serde(rename = "disturbs")]
    Interference {
        /// How many executors were left.
        #[serde(rename = "among")]
        considered: usize,
    },
    /// Each task of its gang has room, but not all of them together.
    #[display("no room for all {tasks} tasks of the gang at once")]
    Gang {
        /// How many they are.
        tasks: u32,
    },
    /// There is room, and its turn comes with the next round.
    #[display("its turn is next")]
    NextRound,
}

/// What holds a step back, and how the step stands in the order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WaitingStep {
    /// Which occurrence of the job.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// How many of its tasks wait.
    pub tasks: u32,
    /// What holds the first of them back.
    #[serde(flatten)]
    pub wait_reason: WaitReason,
    /// The same as a sentence.
    pub reason: String,
}

impl Scheduler {
    /// Returns for each step of a job with waiting tasks what holds it back.
    #[must_use]
    pub fn waiting_steps(&self, job: &Job, now: Mono, unix_ms: u64) -> Vec<WaitingStep> {
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

    /// Returns what holds a task back; none if it does not wait.
    #[must_use]
    pub fn wait_reason(&self, key: TaskKey, now: Mono, unix_ms: u64) -> Option<WaitReason> {
        let task = self.task(key)?;
        let job = self.job(key.job)?;
        if task.phase != Phase::Waiting || job.state.is_final() {
            return None;
        }
        let (occurrence, step, _) = job.locate(key.slot)?;
        let turn = job
            .due_in_ms(occurrence, unix_ms)
            .map(|due_in_ms| WaitReason::NotDue { due_in_ms })
            .or_else(|| {
                let step = job.unfinished_dependency(occurrence, step)?;
                Some(WaitReason::EarlierStep { step })
            });
        if turn.is_some() {
            return turn;
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
        let mut candidates: Vec<(ExecutorKey, &Executor)> = self
            .fleet
            .iter()
            .filter(|(_, executor)| executor.listed && executor.listing.service == queue.service)
            .collect();
        let listed = candidates.clone();
        candidates.retain(|(_, executor)| executor.accepts_tasks(now));
        if candidates.is_empty() {
            return no_executor(&queue.service, &listed, now);
        }
        for constraint in self.constraints(key, job, step) {
            let considered = candidates.len();
            candidates.retain(|(at, executor)| (constraint.admits)(*at, executor));
            if candidates.is_empty() {
                return (constraint.wait_reason)(considered);
            }
        }
        if queue.advisor.is_some() {
            let considered = candidates.len();
            let denied = candidates
                .iter()
                .filter(|(at, _)| self.is_denied(key, *at))
                .count();
            candidates.retain(|(at, _)| self.ticket(key, *at, now).is_some());
            if candidates.is_empty() {
                return WaitReason::NotGranted { considered, denied };
            }
        }
        if step.gang {
            return WaitReason::Gang { tasks: step.count };
        }
        WaitReason::NextRound
    }

    /// Returns the limits in the order in which they are asked about.
    fn constraints<'b>(
        &'b self,
        key: TaskKey,
        job: &'b Job,
        step: &'b StepSpec,
    ) -> Vec<Constraint<'b>> {
        let label = step.label.as_deref().unwrap_or_default();
        vec![
            Constraint {
                wait_reason: Box::new(move |considered| WaitReason::NoLabel {
                    label: label.to_owned(),
                    considered,
                }),
                admits: Box::new(move |_, executor| label.is_empty() || executor.has_label(label)),
            },
            Constraint {
                wait_reason: Box::new(|considered| WaitReason::MaxPerExecutor {
                    max: step.max_per_executor,
                    considered,
                }),
                admits: Box::new(move |at, _| self.within_max_per_executor(at, job, key, step)),
            },
            Constraint {
                wait_reason: Box::new(|considered| WaitReason::TooLarge { considered }),
                admits: Box::new(|_, executor| {
                    step.allocated_size().fits(&executor.listing.capacity)
                }),
            },
            Constraint {
                wait_reason: Box::new(|considered| WaitReason::NoRoom { considered }),
                admits: Box::new(|_, executor| step.allocated_size().fits(&executor.free())),
            },
            Constraint {
                wait_reason: Box::new(|considered| WaitReason::Reserved { considered }),
                admits: Box::new(move |_, executor| {
                    executor
                        .reservation
                        .is_none_or(|reservation| reservation.task == key)
                }),
            },
            Constraint {
                wait_reason: Box::new(|considered| WaitReason::NoSpareCpu { considered }),
                admits: Box::new(|_, executor| {
                    !step.best_effort || crate::placement::has_spare_cpu(executor, step)
                }),
            },
            Constraint {
                wait_reason: Box::new(|considered| WaitReason::Interference { considered }),
                admits: Box::new(|_, executor| self.score(executor, step).is_some()),
            },
        ]
    }

    /// Returns the chance that a job's first waiting step has, in a word.
    #[must_use]
    pub fn deadline_outlook(&self, job: &Job, now: Mono, unix_ms: u64) -> Option<String> {
        let key = self.find(job.id)?;
        let mut ready = Vec::new();
        job.ready_steps(key, unix_ms, &mut ready);
        let first = ready.first()?;
        Some(rank(self, job, *first, now, unix_ms).outlook.to_string())
    }
}

/// Whether an executor could take a task.
type Admits<'b> = Box<dyn Fn(ExecutorKey, &Executor) -> bool + 'b>;

/// One limit.
struct Constraint<'b> {
    /// What it is called when it leaves none of so many executors.
    wait_reason: Box<dyn Fn(usize) -> WaitReason + 'b>,
    /// Whether an executor could take the task as far as it goes.
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
