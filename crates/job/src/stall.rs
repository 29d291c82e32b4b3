//! Timed tasks that stand still or are far slower than their like.
//!
//! The load pattern that this answers: some executors hang, or turn several times slower, while they
//! answer calls as ever. A task there would be late, and one of its like elsewhere would be done before it,
//! so it is stopped and starts again elsewhere. See "Slow executors" in `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// Two reports that are closer show too little progress to judge by.
const MIN_INTERVAL: Duration = Duration::from_millis(450);
/// A task without any progress for so long stands still.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// What is left at a task's pace has to be so many times what a whole run is expected to take.
const SLOWDOWN_FACTOR: u64 = 2;
/// And so much on top, for the stop and the new start.
const RESTART_COST: Duration = Duration::from_millis(400);
/// How long an executor on which a task stood still or was slow gets no more tasks.
const EXECUTOR_COOLDOWN: Duration = Duration::from_millis(2_500);
/// Below this share of its processor time a task is slow because it was told to be, in percent.
const MIN_CPU_PERCENT: u32 = 100;

/// A task's progress when it was last judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSample {
    /// Its progress, in percent.
    pub progress: u32,
    /// When that was reported.
    pub at: Mono,
}

/// What progress between two reports means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is too early to say.
    Undecided,
    /// It goes on as expected, or nothing would be gained.
    Healthy,
    /// It stands still, or is too slow.
    Stalled,
}

/// Judges a task by its progress since it was last judged; `expected` is how long a whole run takes.
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
    let left = interval * (100_u32.saturating_sub(progress)) / gained;
    let bearable = expected * u32::try_from(SLOWDOWN_FACTOR).unwrap_or(1) + RESTART_COST;
    if compare_rate && left > bearable {
        Verdict::Stalled
    } else {
        Verdict::Healthy
    }
}

impl Scheduler {
    /// Stops tasks on an executor that its newest report shows as standing still or far too slow.
    pub fn stop_stalled(&mut self, at: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(at) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        for key in keys {
            if self.is_stalled(key, now) {
                self.start_cooldown(at, key, now);
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
        let compare_rate = !step.best_effort;
        let Some(assignment) = self.assignment_mut(key) else {
            return false;
        };
        let Some(seen) = assignment.metrics else {
            return false;
        };
        if assignment.stopping || assignment.cpu_percent < MIN_CPU_PERCENT {
            assignment.progress_sample = None;
            return false;
        }
        let current = ProgressSample {
            progress: seen.progress,
            at: now,
        };
        let earlier = *assignment.progress_sample.get_or_insert(current);
        match assess_progress(earlier, seen.progress, expected, compare_rate, now) {
            Verdict::Undecided => false,
            Verdict::Healthy => {
                assignment.progress_sample = Some(current);
                false
            }
            Verdict::Stalled => true,
        }
    }

    fn start_cooldown(&mut self, at: ExecutorKey, key: TaskKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(at) {
            executor.not_before = executor.not_before.max(now.after(EXECUTOR_COOLDOWN));
        }
        self.set_failed_on(key, at);
    }
}
