//! How tasks that fill are slowed down beside tasks that serve.
//!
//! The load pattern that this answers: tasks that fill lengthen the response times of services on
//! the same executor, by amounts that differ by image and change within seconds. Slowing down acts
//! at once and loses no work, so it comes before stopping. See "Tasks that fill" in `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use crate::book::Book;
use crate::book::TaskKey;
use crate::fleet::ExecutorKey;

/// Above this part of its target, in percent, a tail is brought down.
const HOT_PERCENT: u64 = 85;
/// Below this part of its target, in percent, there is room for more work beside it.
const CALM_PERCENT: u64 = 60;
/// The time after a change until a report can show its whole effect: the change itself and a
/// report's window.
const SETTLE: Duration = Duration::from_millis(700);
/// What is added to the share of tasks that fill when all tails are calm, in percent.
const STEP_UP: u32 = 20;
/// How long a tail may stay above its target before the tasks that fill stand still.
const STAND_STILL_AFTER: Duration = Duration::from_millis(1_800);

/// How the tasks that fill on one executor are slowed down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// The share of their processor time that they use, in percent.
    pub percent: u32,
    /// When it was changed last.
    pub changed: Mono,
    /// Since when a tail has been above its target.
    pub over_since: Option<Mono>,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            percent: 100,
            changed: Mono::ZERO,
            over_since: None,
        }
    }
}

impl Pacing {
    /// Returns the pacing after a report whose worst tail is at `tail_percent` of its target.
    #[must_use]
    pub fn after_report(self, tail_percent: u64, now: Mono) -> Self {
        let over_since = if tail_percent > 100 {
            self.over_since.or(Some(now))
        } else {
            None
        };
        let next = Self { over_since, ..self };
        let stands = over_since.is_some_and(|since| now.since(since) >= STAND_STILL_AFTER);
        if stands {
            return next.set(0, now);
        }
        if now.since(self.changed) < SETTLE && self.changed != Mono::ZERO {
            return next;
        }
        if tail_percent > HOT_PERCENT {
            return next.set(self.percent / 2, now);
        }
        if tail_percent < CALM_PERCENT && self.percent < 100 {
            return next.set((self.percent + STEP_UP).min(100), now);
        }
        next
    }

    const fn set(self, percent: u32, now: Mono) -> Self {
        Self {
            percent,
            changed: now,
            ..self
        }
    }
}

impl Book {
    /// Slows down or speeds up the tasks that fill on an executor, after a report from it.
    pub fn pace_after_report(&mut self, at: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(at) else {
            return;
        };
        let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let worst = tasks
            .iter()
            .filter_map(|key| self.tail_percent(*key))
            .max()
            .unwrap_or(0);
        let Some(executor) = self.fleet.get_mut(at) else {
            return;
        };
        executor.pacing = executor.pacing.after_report(worst, now);
        let percent = executor.pacing.percent;
        for key in tasks {
            self.bring_to(key, percent);
        }
    }

    fn tail_percent(&self, key: TaskKey) -> Option<u64> {
        let step = self.step(key)?;
        if !step.serves() {
            return None;
        }
        let seen = self.task(key)?.assignment()?.seen?;
        Some(seen.figure * 100 / step.tail_target_ms)
    }

    /// Tells a task that fills its share, unless its executor already shows it.
    fn bring_to(&mut self, key: TaskKey, percent: u32) {
        if !self.step(key).is_some_and(|step| step.fills) {
            return;
        }
        let differs = self
            .task(key)
            .and_then(|task| task.assignment())
            .is_some_and(|at| at.seen.is_some_and(|seen| seen.percent != percent));
        if differs {
            self.pace(key, percent);
        }
    }
}
