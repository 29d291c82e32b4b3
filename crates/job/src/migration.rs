//! Moves best-effort tasks that stay throttled to executors where they can work.
//!
//! A step ends with its slowest task. Beside a service over its target, a best-effort task may be
//! throttled or suspended for many seconds, and all steps that depend on its own wait with it. When
//! the service will be under its target again is unknown, so the time for which the task has been
//! throttled is the estimate of how long it still will be. Moving the task pays off once that
//! exceeds the cost of a restart with a margin. See "Throttled tasks" in
//! `docs/design/stragglers.md`.

use std::time::Duration;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::ranking;
use crate::scheduler::Event;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::task::StartState;

/// A task whose CPU share is below this percentage counts as throttled.
const LOW_CPU_PERCENT: u32 = 50;
/// The time to stop a run, to place its task again, to start it and to restore its checkpoint.
const RESTART_COST: Duration = Duration::from_millis(1_200);
/// How much longer than elsewhere a task is expected to take where it is before it moves, in
/// percent. Both times are estimates, and a needless move costs the work since the checkpoint.
const MARGIN_PERCENT: u32 = 150;
/// Each executor loses at most one task in this time on average, so that the tasks that move do not
/// arrive on the same few executors.
const MOVE_INTERVAL_PER_EXECUTOR: Duration = Duration::from_secs(5);

/// A run of a best-effort task whose CPU share is low.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ThrottledRun {
    /// How long the CPU share has been low.
    pub throttled_for: Duration,
    /// The CPU share in percent.
    pub cpu_percent: u32,
    /// The progress of the run in percent.
    pub progress: u32,
    /// The expected duration of a whole run at its full share.
    pub expected: Duration,
    /// Whether the task saves checkpoints, so that another run resumes from one.
    pub has_checkpoint: bool,
}

impl ThrottledRun {
    /// Returns whether the run would end sooner on another executor.
    #[must_use]
    pub fn should_move(&self) -> bool {
        self.time_if_kept() > self.time_if_moved() * MARGIN_PERCENT / 100
    }

    /// Returns the expected time until the run ends where it is.
    fn time_if_kept(&self) -> Duration {
        let recovers = self.throttled_for + self.remaining();
        let at_this_share = (self.remaining() * 100).checked_div(self.cpu_percent);
        at_this_share.map_or(recovers, |time| time.min(recovers))
    }

    /// Returns the expected time until a run on another executor ends.
    fn time_if_moved(&self) -> Duration {
        if self.has_checkpoint {
            RESTART_COST + self.remaining()
        } else {
            RESTART_COST + self.expected
        }
    }

    /// Returns the time for which the run would still work at its full share.
    fn remaining(&self) -> Duration {
        self.expected * 100_u32.saturating_sub(self.progress) / 100
    }
}

impl Scheduler {
    /// Stops best-effort tasks on an executor that would end sooner elsewhere, if another executor
    /// takes them without relaxed conditions.
    pub fn move_throttled(&mut self, executor_key: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(executor_key) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        for key in keys {
            let Some(run) = self.throttled_run(key, now) else {
                continue;
            };
            if now >= self.move_not_before
                && run.should_move()
                && self.has_value(key, now)
                && self.has_undisturbed_executor(key, executor_key, now)
            {
                self.move_run(key, executor_key, run.throttled_for, now);
            }
        }
    }

    /// Returns the run of a best-effort task if its CPU share is low, and records since when it is.
    fn throttled_run(&mut self, key: TaskKey, now: Mono) -> Option<ThrottledRun> {
        let step = self.step(key).filter(|step| step.best_effort)?;
        let job = self.job(key.job)?;
        let expected = Duration::from_millis(self.durations.expected_ms(&job.queue, step));
        let has_checkpoint = step.checkpoints;
        let assignment = self.assignment_mut(key)?;
        let is_running = matches!(assignment.start_state, StartState::Confirmed(_));
        if !is_running || assignment.stopping || assignment.cpu_percent >= LOW_CPU_PERCENT {
            assignment.throttled_since = None;
            return None;
        }
        let since = *assignment.throttled_since.get_or_insert(now);
        Some(ThrottledRun {
            throttled_for: now.since(since),
            cpu_percent: assignment.cpu_percent,
            progress: assignment.metrics?.progress,
            expected,
            has_checkpoint,
        })
    }

    /// Returns whether the job of a task can still be done in a time of value to its caller.
    fn has_value(&self, key: TaskKey, now: Mono) -> bool {
        self.job(key.job)
            .is_some_and(|job| job.age(now) < ranking::value_period(ranking::objective(self, job)))
    }

    /// Stops a run so that its task starts on another executor.
    fn move_run(&mut self, key: TaskKey, from: ExecutorKey, throttled_for: Duration, now: Mono) {
        let executors = u32::try_from(self.fleet.len()).unwrap_or(u32::MAX).max(1);
        self.move_not_before = now.after(MOVE_INTERVAL_PER_EXECUTOR / executors);
        self.set_failed_on(key, from);
        self.stop(key);
        self.record_event(Event::Moved {
            task: key,
            executor: from,
            throttled_for,
        });
    }
}
