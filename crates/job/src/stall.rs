//! Detection of stalled tasks.
//!
//! Some executors hang or become several times slower while they continue to answer calls. A task
//! on such an executor would be late, and a new run of it elsewhere would end earlier. The task is
//! therefore stopped and started again elsewhere. Long-running tasks and gangs are not checked. See
//! "Slow executors" in `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::scheduler::CooldownReason;
use crate::scheduler::Event;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// The minimum time between two reports for an assessment; progress over a shorter time is too
/// small.
const MIN_INTERVAL: Duration = Duration::from_millis(450);
/// A task without any progress for this long is stalled.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A task is too slow when its remaining time exceeds this multiple of the expected duration of a
/// whole run, plus [`RESTART_COST`].
const SLOWDOWN_FACTOR: u64 = 2;
/// The time it takes to stop a task and start it again.
const RESTART_COST: Duration = Duration::from_millis(400);
/// How long no task is placed on an executor after a task stalled there.
const EXECUTOR_COOLDOWN: Duration = Duration::from_millis(2_500);
/// Tasks with a lower CPU share, in percent, are not checked, because they are throttled.
const MIN_CPU_PERCENT: u32 = 100;

/// A task's progress at the time of its latest assessment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSample {
    /// The progress in percent.
    pub progress: u32,
    /// When the progress was reported.
    pub at: Mono,
}

/// The assessment of a task's progress between two reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough information yet.
    Undecided,
    /// The task progresses as expected, or a restart would not help.
    Healthy,
    /// The task makes no progress, or is too slow.
    Stalled,
}

/// Assesses a task's progress since the sample `earlier`. `expected` is the expected duration of a
/// whole run. Without `compare_rate`, only a complete lack of progress counts as stalled.
#[must_use]
pub fn assess_progress(
    earlier: ProgressSample,
    progress: u32,
    expected: Duration,
    compare_rate: bool,
    now: Mono,
) -> Verdict {
    let interval = now.since(earlier.at);
    if interval < MIN_INTERVAL {
        return Verdict::Undecided;
    }
    let gained = progress.saturating_sub(earlier.progress);
    if gained == 0 {
        return if interval >= NO_PROGRESS_TIMEOUT {
            Verdict::Stalled
        } else {
            Verdict::Undecided
        };
    }
    let remaining = interval * (100_u32.saturating_sub(progress)) / gained;
    let limit = expected * u32::try_from(SLOWDOWN_FACTOR).unwrap_or(1) + RESTART_COST;
    if compare_rate && remaining > limit {
        Verdict::Stalled
    } else {
        Verdict::Healthy
    }
}

impl Scheduler {
    /// Stops tasks on an executor whose progress in the newest report has stalled.
    pub fn stop_stalled(&mut self, executor_key: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(executor_key) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        for key in keys {
            if self.is_stalled(key, now) {
                self.start_cooldown(executor_key, key, now);
                self.stop(key);
            }
        }
    }

    fn is_stalled(&mut self, key: TaskKey, now: Mono) -> bool {
        let Some(job) = self.job(key.job) else {
            return false;
        };
        let Some(step) = self.step(key) else {
            return false;
        };
        if step.long_running || step.gang {
            return false;
        }
        let expected = Duration::from_millis(self.durations.expected_ms(&job.queue, step));
        let expected = expected.mul_f64(self.run_factor(key));
        let compare_rate = !step.best_effort;
        let Some(assignment) = self.assignment_mut(key) else {
            return false;
        };
        let Some(metrics) = assignment.metrics else {
            return false;
        };
        if assignment.stopping || assignment.cpu_percent < MIN_CPU_PERCENT {
            assignment.progress_sample = None;
            return false;
        }
        let current = ProgressSample {
            progress: metrics.progress,
            at: now,
        };
        let earlier = *assignment.progress_sample.get_or_insert(current);
        match assess_progress(earlier, metrics.progress, expected, compare_rate, now) {
            Verdict::Undecided => false,
            Verdict::Healthy => {
                assignment.progress_sample = Some(current);
                false
            }
            Verdict::Stalled => true,
        }
    }

    fn start_cooldown(&mut self, executor_key: ExecutorKey, key: TaskKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(executor_key) {
            executor.not_before = executor.not_before.max(now.after(EXECUTOR_COOLDOWN));
        }
        self.record_event(Event::CooldownStarted {
            executor: executor_key,
            task: key,
            reason: CooldownReason::Stalled,
        });
        self.set_failed_on(key, executor_key);
    }
}
