//! Detection of stalled tasks.
//!
//! Some executors hang or become several times slower while they continue to answer calls. A task
//! on such an executor would be late, and a new run of it elsewhere would end earlier. The task is
//! therefore stopped and started again elsewhere. Long-running tasks and gangs are not checked. See
//! "Slow executors" in `docs/JOBS.md` and `docs/design/fault-attribution.md`.

use std::time::Duration;

use model::Mono;

use crate::fault_attribution::StallCause;
use crate::fleet::ExecutorKey;
use crate::placement::near_data;
use crate::scheduler::CooldownReason;
use crate::scheduler::Event;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// The minimum time between two reports for an assessment; progress over a shorter time is too
/// small.
const MIN_INTERVAL: Duration = Duration::from_millis(450);
/// The minimum gain in percent after which a new interval begins. Over a smaller one the rounding of
/// the reported progress hides how fast a task is.
const MIN_GAIN: u32 = 4;
/// A task without any progress for less than this is not stalled.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A task without any progress for less than this multiple of the time in which one percent is expected
/// is not stalled. Estimates can be off by a factor of two, and reports round progress down.
const NO_PROGRESS_FACTOR: u32 = 8;
/// A task is too slow when its remaining time exceeds this multiple of the expected duration of a
/// whole run, plus [`RESTART_COST`].
const SLOWDOWN_FACTOR: u32 = 2;
/// How many times as long a task may take that is not near its data, or whose step is to be in one
/// rack. The platform's [`Timing::remote_slowdown`] is 1.5 to 3.
///
/// [`Timing::remote_slowdown`]: crate::scheduler::Timing::remote_slowdown
const REMOTE_FACTOR: u32 = 3;
/// The time it takes to stop a task and start it again.
const RESTART_COST: Duration = Duration::from_millis(400);
/// How long no task is placed on an executor on which tasks of several jobs have stalled.
const EXECUTOR_COOLDOWN: Duration = Duration::from_millis(2_500);
/// How long a task that has stalled does not start on the same executor. A restart there at once would
/// use up its stops while an executor that hangs is the only one with room.
const SAME_EXECUTOR_BACKOFF: Duration = Duration::from_millis(2_500);
/// Tasks with a lower CPU share, in percent, are not checked, because they are throttled.
const MIN_CPU_PERCENT: u32 = 100;
/// How often a task is stopped because it stalled. A task that has stalled this often is slow for a
/// reason of its own, and each further restart would only discard its progress.
const MAX_STALL_STOPS: u32 = 3;

/// A task's progress in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSample {
    /// The progress in percent, rounded down.
    pub progress: u32,
    /// When the progress was reported.
    pub at: Mono,
}

/// The progress of a run over the interval that is being assessed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressWindow {
    /// The progress at the start of the interval.
    pub start: ProgressSample,
    /// The highest progress, with the first report of it.
    pub latest: ProgressSample,
}

/// What is expected of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// The duration of a whole run; zero if nothing is known about it.
    pub duration: Duration,
    /// Whether a low rate of progress counts as stalled, and not only a complete lack of it.
    pub compare_rate: bool,
}

/// The assessment of a task's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough information yet.
    Undecided,
    /// The task progresses as expected.
    Healthy,
    /// The task is slower than expected, but a restart would not help.
    Slow,
    /// The task is so slow that another run would end earlier, if the executor is the cause.
    TooSlow,
    /// The task makes no progress.
    Stalled,
}

impl ProgressWindow {
    /// Creates a window that starts with a sample.
    #[must_use]
    pub const fn new(sample: ProgressSample) -> Self {
        Self {
            start: sample,
            latest: sample,
        }
    }

    /// Assesses the progress up to a further sample.
    #[must_use]
    pub fn assess(&self, current: ProgressSample, expected: Expectation) -> Verdict {
        if current.progress <= self.latest.progress
            && current.at.since(self.latest.at) >= no_progress_timeout(expected.duration)
        {
            return Verdict::Stalled;
        }
        let interval = current.at.since(self.start.at);
        let gained = current.progress.saturating_sub(self.start.progress);
        if interval < MIN_INTERVAL || gained == 0 {
            return Verdict::Undecided;
        }
        // Both ends of the interval are rounded down, so that nearly one percent more may be gained.
        let left = 100_u32.saturating_sub(current.progress);
        let remaining = interval.saturating_mul(left) / (gained + 1);
        let limit = expected.duration.saturating_mul(SLOWDOWN_FACTOR) + RESTART_COST;
        if expected.compare_rate && remaining > limit {
            Verdict::TooSlow
        } else if gained < MIN_GAIN {
            Verdict::Undecided
        } else if interval.saturating_mul(100) / gained <= limit {
            Verdict::Healthy
        } else {
            Verdict::Slow
        }
    }

    /// Adds a sample with its verdict.
    pub fn add(&mut self, sample: ProgressSample, verdict: Verdict) {
        if sample.progress > self.latest.progress {
            self.latest = sample;
        }
        if matches!(verdict, Verdict::Healthy | Verdict::Slow) {
            self.start = sample;
        }
    }
}

/// Returns for how long a task that is expected to take `expected` in all may make no progress.
fn no_progress_timeout(expected: Duration) -> Duration {
    NO_PROGRESS_TIMEOUT.max((expected / 100).saturating_mul(NO_PROGRESS_FACTOR))
}

impl Scheduler {
    /// Stops tasks on an executor whose progress in the newest report has stalled.
    pub fn stop_stalled(&mut self, executor_key: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(executor_key) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let mut stalled = Vec::new();
        for key in keys {
            if let Some((verdict, since)) = self.assess_progress(executor_key, key, now) {
                stalled.push((key, verdict, since));
            }
        }
        for (key, verdict, since) in stalled {
            self.handle_stall(executor_key, key, (verdict, since), now);
        }
    }

    /// Returns whether a task does not start on an executor yet because it has stalled there.
    pub(crate) fn has_just_stalled_on(
        &self,
        key: TaskKey,
        executor_key: ExecutorKey,
        now: Mono,
    ) -> bool {
        self.task(key)
            .is_some_and(|task| now < task.stalled_until && task.failed_on == Some(executor_key))
    }

    /// Assesses a task's progress in the newest report. Returns the verdict if the task is stalled or
    /// too slow, and since when.
    fn assess_progress(
        &mut self,
        executor_key: ExecutorKey,
        key: TaskKey,
        now: Mono,
    ) -> Option<(Verdict, Mono)> {
        let mut expected = self.expected_progress(executor_key, key)?;
        let assignment = self.assignment_mut(key)?;
        expected.compare_rate &= !assignment.is_slow_by_itself;
        let metrics = assignment.metrics?;
        if assignment.stopping || assignment.cpu_percent < MIN_CPU_PERCENT {
            assignment.progress = None;
            return None;
        }
        let current = ProgressSample {
            progress: metrics.progress,
            at: now,
        };
        let window = assignment
            .progress
            .get_or_insert(ProgressWindow::new(current));
        let verdict = window.assess(current, expected);
        window.add(current, verdict);
        let since = window.start.at;
        if verdict == Verdict::Healthy
            && expected.compare_rate
            && let Some(executor) = self.fleet.get_mut(executor_key)
        {
            executor.stalls.record_progress(now);
        }
        matches!(verdict, Verdict::TooSlow | Verdict::Stalled).then_some((verdict, since))
    }

    /// Returns what is expected of a task, or `None` if its progress is not assessed.
    fn expected_progress(&self, executor_key: ExecutorKey, key: TaskKey) -> Option<Expectation> {
        let job = self.job(key.job)?;
        let step = self.step(key)?;
        let stalls = self.task(key)?.stalls;
        if step.long_running || step.gang || stalls >= MAX_STALL_STOPS {
            return None;
        }
        let executor = self.fleet.get(executor_key)?;
        // The learned duration is a mean over all tasks of the queue, of which some take far longer.
        let usual_ms = self.durations.expected_ms(&job.queue, step);
        let usual = Duration::from_millis(usual_ms.max(step.estimate_ms));
        let is_near = !step.same_rack && near_data(executor, step);
        Some(Expectation {
            duration: usual.saturating_mul(if is_near { 1 } else { REMOTE_FACTOR }),
            // A task that is slow on a second executor as well is slow by itself.
            compare_rate: !step.best_effort && !usual.is_zero() && stalls == 0,
        })
    }

    /// Stops a task that is stalled or too slow, unless it is slow by itself: a few tasks in a hundred
    /// take several times as long as others like them, and would again.
    fn handle_stall(
        &mut self,
        executor_key: ExecutorKey,
        key: TaskKey,
        (verdict, since): (Verdict, Mono),
        now: Mono,
    ) {
        let Some(executor) = self.fleet.get_mut(executor_key) else {
            return;
        };
        let cause = executor.stalls.record_stall(key.job, since, now);
        if verdict == Verdict::TooSlow && cause == StallCause::Task {
            if let Some(assignment) = self.assignment_mut(key) {
                assignment.is_slow_by_itself = true;
            }
            return;
        }
        if cause == StallCause::Executor {
            let until = now.after(EXECUTOR_COOLDOWN);
            self.cool_down(executor_key, key, CooldownReason::Stalled, until, now);
        }
        let stalls = self.count_stall(key, now.after(SAME_EXECUTOR_BACKOFF));
        self.record_event(Event::RunStalled {
            task: key,
            executor: executor_key,
            stalls,
            cause,
        });
        self.set_failed_on(key, executor_key);
        self.stop(key);
    }
}
