//! How tasks that fill are slowed down beside tasks that serve.
//!
//! The load pattern that this answers: tasks that fill lengthen the response times of services on
//! the same executor, by amounts that differ by image and change within seconds. Slowing down acts
//! at once and loses no work, so it comes before stopping; and only those are slowed down whose
//! image is known to lengthen the tail in question. See "Tasks that fill" in `docs/JOBS.md`.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::scheduler::Event;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// Above this part of its target a tail is brought down to it.
const TARGET_FRACTION: f64 = 0.92;
/// The part of a tail's logarithm that a task has to cause before it is slowed down for it.
const MIN_CAUSED_LOG: f64 = 0.03;
/// Smaller changes of a share are not worth an order, in percent, but for full speed and standstill.
const MIN_CHANGE_PERCENT: u32 = 5;
/// The time after a change until a report can show its whole effect: the change itself and a
/// report's window.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// What tasks that fill may cause of a tail's logarithm beyond what is known of them.
const CAUSED_LOG_MARGIN: f64 = 0.3;
/// How long a tail may stay above its target before everything that fills beside it stands still,
/// whatever is known of its image.
const SUSPEND_AFTER: Duration = Duration::from_millis(1_900);

/// A tail on an executor.
struct TailLatency {
    key: TaskKey,
    image: Arc<str>,
    /// The logarithm of the tail over the part of its target that is aimed at.
    log_excess: f64,
}

/// What one task that fills does.
struct BestEffortTask {
    key: TaskKey,
    cpu_percent: u32,
    /// Whether it is certain that it was told this share.
    cpu_percent_known: bool,
    /// Its use of the executor at full speed, as a part.
    full_use: f64,
}

impl Scheduler {
    /// Slows down or speeds up the tasks that fill on an executor, after a report from it.
    pub fn throttle_after_report(&mut self, at: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(at) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let settled = now.since(executor.throttled_at) >= SETTLE_TIME;
        let tail_latencies = self.tail_latencies(&keys);
        let best_effort_tasks = self.best_effort_tasks_on(at, &keys);
        let over_target = tail_latencies
            .iter()
            .any(|tail_latency| tail_latency.log_excess + TARGET_FRACTION.ln() > 0.0);
        let over_target_for = self.over_target_duration(at, over_target, now);
        if best_effort_tasks.is_empty() {
            return;
        }
        let suspend = over_target_for >= SUSPEND_AFTER
            && tail_latencies
                .iter()
                .any(|tail_latency| self.is_over_due_to(tail_latency, &best_effort_tasks));
        if !settled && !suspend {
            return;
        }
        let mut changed = false;
        for task in &best_effort_tasks {
            let cpu_percent = if suspend {
                0
            } else {
                self.target_cpu_percent(task, &best_effort_tasks, &tail_latencies)
            };
            if self.set_cpu_percent(task, cpu_percent) {
                changed = true;
                self.record_event(Event::Throttled {
                    task: task.key,
                    cpu_percent,
                    over_target_for,
                });
            }
        }
        if changed && let Some(executor) = self.fleet.get_mut(at) {
            executor.throttled_at = now;
        }
    }

    /// Returns whether a tail is over its target and may be under it without the tasks that fill, also
    /// where these have been slowed down and the newest report does not show it yet.
    fn is_over_due_to(
        &self,
        tail_latency: &TailLatency,
        best_effort_tasks: &[BestEffortTask],
    ) -> bool {
        let over_target = tail_latency.log_excess + TARGET_FRACTION.ln();
        let may_cause: f64 = best_effort_tasks
            .iter()
            .filter_map(|task| {
                let image = self.step(task.key)?.image.as_ref()?;
                let weight = self.interference.upper_bound(&tail_latency.image, image);
                Some(weight * task.full_use)
            })
            .sum();
        over_target > 0.0 && over_target <= may_cause + CAUSED_LOG_MARGIN
    }

    /// Notes whether any tail is over its target and returns for how long one has been.
    fn over_target_duration(&mut self, at: ExecutorKey, over_target: bool, now: Mono) -> Duration {
        let Some(executor) = self.fleet.get_mut(at) else {
            return Duration::ZERO;
        };
        if !over_target {
            executor.over_target_since = None;
            return Duration::ZERO;
        }
        now.since(*executor.over_target_since.get_or_insert(now))
    }

    #[expect(clippy::cast_precision_loss, reason = "figures are far below 2^52")]
    fn tail_latencies(&self, keys: &[TaskKey]) -> Vec<TailLatency> {
        keys.iter()
            .filter_map(|key| {
                let step = self.step(*key)?;
                let seen = self.task(*key)?.assignment()?.metrics?;
                if !step.is_service() || seen.tail_ms_or_cpu_millis == 0 {
                    return None;
                }
                let aimed = step.tail_latency_target_ms as f64 * TARGET_FRACTION;
                Some(TailLatency {
                    key: *key,
                    image: step.image.clone()?,
                    log_excess: (seen.tail_ms_or_cpu_millis as f64 / aimed).ln(),
                })
            })
            .collect()
    }

    #[expect(clippy::cast_precision_loss, reason = "figures are far below 2^52")]
    fn best_effort_tasks_on(&self, at: ExecutorKey, keys: &[TaskKey]) -> Vec<BestEffortTask> {
        let capacity = self
            .fleet
            .get(at)
            .map_or(1, |executor| executor.listing.capacity.cpu_millis.max(1));
        keys.iter()
            .filter_map(|key| {
                let step = self.step(*key)?;
                let at = self.task(*key)?.assignment()?;
                step.best_effort.then(|| BestEffortTask {
                    key: *key,
                    cpu_percent: at.cpu_percent,
                    cpu_percent_known: at.cpu_percent_known,
                    full_use: step.size.cpu_millis as f64 / capacity as f64,
                })
            })
            .collect()
    }

    /// Returns the weight of a pair of tasks.
    fn pair_weight(&self, service: TaskKey, best_effort: TaskKey) -> f64 {
        let image = |key| self.step(key).and_then(|step| step.image.as_ref());
        match (image(service), image(best_effort)) {
            (Some(service), Some(best_effort)) => self.interference.weight(service, best_effort),
            _ => 0.0,
        }
    }

    /// Returns the share at which a task leaves all tails where they are aimed at, if all tasks that
    /// lengthen them change by the same factor.
    fn target_cpu_percent(
        &self,
        task: &BestEffortTask,
        all: &[BestEffortTask],
        tail_latencies: &[TailLatency],
    ) -> u32 {
        let mut cpu_percent = 100.0_f64;
        for tail_latency in tail_latencies {
            if self.pair_weight(tail_latency.key, task.key) * task.full_use < MIN_CAUSED_LOG {
                continue;
            }
            let caused: f64 = all
                .iter()
                .map(|other| {
                    self.pair_weight(tail_latency.key, other.key)
                        * other.full_use
                        * f64::from(other.cpu_percent)
                        / 100.0
                })
                .sum();
            let full: f64 = all
                .iter()
                .map(|other| self.pair_weight(tail_latency.key, other.key) * other.full_use)
                .sum();
            let allowed = (caused - tail_latency.log_excess) / full.max(f64::EPSILON);
            cpu_percent = cpu_percent.min(allowed * 100.0);
        }
        rounded(cpu_percent)
    }

    /// Tells a task its share. Returns whether that changes anything.
    fn set_cpu_percent(&mut self, task: &BestEffortTask, cpu_percent: u32) -> bool {
        let changes = cpu_percent.abs_diff(task.cpu_percent) >= MIN_CHANGE_PERCENT
            || (cpu_percent != task.cpu_percent && (cpu_percent == 100 || cpu_percent == 0))
            || !task.cpu_percent_known;
        if changes {
            self.set_cpu_share(task.key, cpu_percent);
        }
        changes
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped before"
)]
fn rounded(cpu_percent: f64) -> u32 {
    cpu_percent.clamp(0.0, 100.0).round() as u32
}
