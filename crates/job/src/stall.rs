//! Timed tasks that stand still or are far slower than their like.
//!
//! The load pattern that this answers: some executors hang, or turn several times slower, while they
//! answer calls as ever. A task there would be late, and one of its like elsewhere would be done before it,
//! so it is stopped and starts again elsewhere. See "Slow executors" in `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use crate::book::Book;
use crate::book::TaskKey;
use crate::fleet::ExecutorKey;

/// Two reports that are closer show too little progress to judge by.
const SHORTEST: Duration = Duration::from_millis(450);
/// A task without any progress for so long stands still.
const STANDS_STILL: Duration = Duration::from_millis(1_000);
/// What is left at a task's pace has to be so many times what a whole run is expected to take.
const SLOWER_TIMES: u64 = 2;
/// And so much on top, for the stop and the new start.
const RESTART: Duration = Duration::from_millis(400);
/// How long an executor on which a task stood still or was slow gets no more tasks.
const AVOIDED: Duration = Duration::from_millis(2_500);
/// Below this share of its processor time a task is slow because it was told to be, in percent.
const LEAST_SHARE: u32 = 100;

/// A task's progress when it was last judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Judged {
    /// Its progress, in percent.
    pub progress: u32,
    /// When that was reported.
    pub at: Mono,
}

/// What progress between two reports means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is too early to say.
    Open,
    /// It goes on as expected, or nothing would be gained.
    Sound,
    /// It stands still, or is too slow.
    Stalled,
}

/// Judges a task by its progress since it was last judged; `expected` is how long a whole run takes.
#[must_use]
pub fn judge(
    earlier: Judged,
    progress: u32,
    expected: Duration,
    by_rate: bool,
    now: Mono,
) -> Verdict {
    let span = now.since(earlier.at);
    if span < SHORTEST {
        return Verdict::Open;
    }
    let gained = progress.saturating_sub(earlier.progress);
    if gained == 0 {
        return if span >= STANDS_STILL {
            Verdict::Stalled
        } else {
            Verdict::Open
        };
    }
    let left = span * (100_u32.saturating_sub(progress)) / gained;
    let bearable = expected * u32::try_from(SLOWER_TIMES).unwrap_or(1) + RESTART;
    if by_rate && left > bearable {
        Verdict::Stalled
    } else {
        Verdict::Sound
    }
}

impl Book {
    /// Stops tasks on an executor that its newest report shows as standing still or far too slow.
    pub fn stop_stalled(&mut self, at: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(at) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        for key in keys {
            if self.is_stalled(key, now) {
                self.avoid(at, key, now);
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
        if step.lasting || step.gang {
            return false;
        }
        let expected = Duration::from_millis(self.durations.expect(&job.queue, step));
        let by_rate = !step.fills;
        let Some(assignment) = self.assignment_mut(key) else {
            return false;
        };
        let Some(seen) = assignment.seen else {
            return false;
        };
        if assignment.stopping || assignment.percent < LEAST_SHARE {
            assignment.judged = None;
            return false;
        }
        let current = Judged {
            progress: seen.progress,
            at: now,
        };
        let earlier = *assignment.judged.get_or_insert(current);
        match judge(earlier, seen.progress, expected, by_rate, now) {
            Verdict::Open => false,
            Verdict::Sound => {
                assignment.judged = Some(current);
                false
            }
            Verdict::Stalled => true,
        }
    }

    fn avoid(&mut self, at: ExecutorKey, key: TaskKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(at) {
            executor.not_before = executor.not_before.max(now.after(AVOIDED));
        }
        self.set_failed_on(key, at);
    }
}
