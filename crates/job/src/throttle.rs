//! Limits the CPU share of best-effort tasks beside services.
//!
//! Best-effort tasks increase the response times of services on the same executor, by amounts that
//! differ by image and change within seconds. Throttling takes effect at once and loses no work, so
//! it is preferred to stopping. Unless all of them are suspended, only tasks whose image is known
//! to increase the tail latency in question are throttled. See "Tasks that fill" in `docs/JOBS.md`.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use crate::fleet::ExecutorKey;
use crate::placement::MAX_CAUSED_LOG;
use crate::placement::caused_log;
use crate::scheduler::Event;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// The setpoint of a tail latency, as a fraction of its target.
const TARGET_FRACTION: f64 = 0.92;
/// The same for tasks that were placed under relaxed conditions.
const RELAXED_TARGET_FRACTION: f64 = 0.5;
/// The minimum contribution to a log tail latency for which a task is throttled.
const MIN_CAUSED_LOG: f64 = 0.03;
/// Changes of a CPU share below this many percentage points are not sent, except changes to 0 or
/// 100.
const MIN_CHANGE_PERCENT: u32 = 5;
/// The time until a report shows the whole effect of a change: the change itself and the
/// measurement window of a report.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// How much more than estimated the best-effort tasks on an executor may contribute to a log tail
/// latency.
const CAUSED_LOG_MARGIN: f64 = 0.3;
/// How long a tail latency may exceed its target before all best-effort tasks on the executor are
/// suspended, whatever the estimate for each of them, provided that together they may be the cause.
const SUSPEND_AFTER: Duration = Duration::from_millis(1_900);

/// How many reports in a row have to show a tail latency between its setpoint and its target, before
/// the target counts as met. Reports are rough, so that one of them may show a tail just over its
/// target as met.
const REPORTS_UNDER_TARGET: u32 = 2;

/// The tail latency of a service task on an executor.
struct TailLatency {
    key: TaskKey,
    image: Arc<str>,
    /// The logarithm of the tail latency divided by its setpoint.
    log_excess: f64,
}

/// A best-effort task on an executor.
struct BestEffortTask {
    key: TaskKey,
    cpu_percent: u32,
    /// Whether the current share is certain, see [`crate::task::Assignment::cpu_percent_known`].
    cpu_percent_known: bool,
    /// Whether the task was placed under relaxed conditions.
    relaxed: bool,
    /// The fraction of the executor's CPU that the task uses when it is not throttled.
    full_use: f64,
}

impl Scheduler {
    /// Adjusts the CPU shares of the best-effort tasks on an executor after a report from it.
    pub fn throttle_after_report(&mut self, executor_key: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(executor_key) else {
            return;
        };
        let keys: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let settled = now.since(executor.throttled_at) >= SETTLE_TIME;
        let tail_latencies = self.tail_latencies(&keys);
        let best_effort_tasks = self.best_effort_tasks_on(executor_key, &keys);
        let highest = tail_latencies
            .iter()
            .map(|tail_latency| tail_latency.log_excess)
            .fold(f64::NEG_INFINITY, f64::max);
        let over_target_for = self.over_target_duration(executor_key, highest, now);
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
        if changed && let Some(executor) = self.fleet.get_mut(executor_key) {
            executor.throttled_at = now;
        }
    }

    /// Limits the CPU share of a best-effort task that has just started to what its image causes
    /// where it may be placed without waiting, until a report shows the effect. Beside a service
    /// that exceeds its target, the task is suspended.
    pub(crate) fn throttle_at_start(&mut self, key: TaskKey, now: Mono) {
        let Some(cpu_percent) = self
            .initial_cpu_percent(key)
            .filter(|percent| *percent < 100)
        else {
            return;
        };
        self.set_cpu_share(key, cpu_percent);
        self.record_event(Event::Throttled {
            task: key,
            cpu_percent,
            over_target_for: Duration::ZERO,
        });
        let executor = self.task(key).and_then(|task| task.assignment());
        let executor = executor.map(|assignment| assignment.executor);
        if let Some(executor) = executor.and_then(|key| self.fleet.get_mut(key)) {
            executor.throttled_at = now;
        }
    }

    fn initial_cpu_percent(&self, key: TaskKey) -> Option<u32> {
        let step = self.step(key).filter(|step| step.best_effort)?;
        let executor = self.fleet.get(self.task(key)?.assignment()?.executor)?;
        if executor.over_target_since.is_some() {
            return Some(0);
        }
        let caused = caused_log(&self.interference, executor, step);
        Some(rounded(MAX_CAUSED_LOG / caused.max(f64::EPSILON) * 100.0))
    }

    /// Returns whether a tail latency exceeds its target and might meet it without the best-effort
    /// tasks. They are counted at full usage, because a recent throttle may not show in the newest
    /// report yet.
    fn is_over_due_to(
        &self,
        tail_latency: &TailLatency,
        best_effort_tasks: &[BestEffortTask],
    ) -> bool {
        let over_target = tail_latency.log_excess + TARGET_FRACTION.ln();
        let may_cause: f64 = best_effort_tasks
            .iter()
            .filter_map(|task| {
                let image = self.step(task.key)?.image.as_ref();
                let weight = self
                    .interference
                    .upper_bound(Some(&tail_latency.image), image);
                Some(weight * task.full_use)
            })
            .sum();
        over_target > 0.0 && over_target <= may_cause + CAUSED_LOG_MARGIN
    }

    /// Tracks whether any tail latency exceeds its target and returns for how long this has been
    /// so. `log_excess` is that of the highest one.
    fn over_target_duration(
        &mut self,
        executor_key: ExecutorKey,
        log_excess: f64,
        now: Mono,
    ) -> Duration {
        let Some(executor) = self.fleet.get_mut(executor_key) else {
            return Duration::ZERO;
        };
        if log_excess + TARGET_FRACTION.ln() > 0.0 {
            executor.reports_under_target = 0;
            return now.since(*executor.over_target_since.get_or_insert(now));
        }
        executor.reports_under_target += 1;
        if log_excess <= 0.0 || executor.reports_under_target >= REPORTS_UNDER_TARGET {
            executor.over_target_since = None;
        }
        executor
            .over_target_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    #[expect(clippy::cast_precision_loss, reason = "values are far below 2^52")]
    fn tail_latencies(&self, keys: &[TaskKey]) -> Vec<TailLatency> {
        keys.iter()
            .filter_map(|key| {
                let step = self.step(*key)?;
                let metrics = self.task(*key)?.assignment()?.metrics?;
                if !step.is_service() || metrics.tail_ms_or_cpu_millis == 0 {
                    return None;
                }
                let setpoint_ms = step.tail_latency_target_ms as f64 * TARGET_FRACTION;
                Some(TailLatency {
                    key: *key,
                    image: step.image.clone()?,
                    log_excess: (metrics.tail_ms_or_cpu_millis as f64 / setpoint_ms).ln(),
                })
            })
            .collect()
    }

    #[expect(clippy::cast_precision_loss, reason = "values are far below 2^52")]
    fn best_effort_tasks_on(
        &self,
        executor_key: ExecutorKey,
        keys: &[TaskKey],
    ) -> Vec<BestEffortTask> {
        let capacity = self
            .fleet
            .get(executor_key)
            .map_or(1, |executor| executor.listing.capacity.cpu_millis.max(1));
        keys.iter()
            .filter_map(|key| {
                let step = self.step(*key)?;
                let assignment = self.task(*key)?.assignment()?;
                step.best_effort.then(|| BestEffortTask {
                    key: *key,
                    cpu_percent: assignment.cpu_percent,
                    cpu_percent_known: assignment.cpu_percent_known,
                    relaxed: assignment.relaxed,
                    full_use: step.size.cpu_millis as f64 / capacity as f64,
                })
            })
            .collect()
    }

    /// Returns the interference weight of the images of two tasks.
    fn pair_weight(&self, service: TaskKey, best_effort: TaskKey) -> f64 {
        let image = |key| self.step(key).and_then(|step| step.image.as_ref());
        self.interference.weight(image(service), image(best_effort))
    }

    /// Returns the CPU share of a task. Tasks that were placed under relaxed conditions have a lower
    /// setpoint, but keep the share that they start with while the usual setpoint allows it, so that
    /// they end.
    fn target_cpu_percent(
        &self,
        task: &BestEffortTask,
        all: &[BestEffortTask],
        tail_latencies: &[TailLatency],
    ) -> u32 {
        let usual = self.cpu_percent_at(0.0, task, all, tail_latencies);
        if !task.relaxed {
            return usual;
        }
        let setpoint_log = (RELAXED_TARGET_FRACTION / TARGET_FRACTION).ln();
        let lower = self.cpu_percent_at(setpoint_log, task, all, tail_latencies);
        let initial = self.initial_cpu_percent(task.key).unwrap_or(0);
        lower.max(initial.min(usual))
    }

    /// Returns the CPU share at which all tail latencies are at a setpoint, if the shares of all
    /// tasks that increase them change by the same factor. `setpoint_log` is the logarithm of the
    /// setpoint relative to the usual one.
    fn cpu_percent_at(
        &self,
        setpoint_log: f64,
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
            let caused_at_full_share: f64 = all
                .iter()
                .map(|other| self.pair_weight(tail_latency.key, other.key) * other.full_use)
                .sum();
            let log_excess = tail_latency.log_excess - setpoint_log;
            let allowed = (caused - log_excess) / caused_at_full_share.max(f64::EPSILON);
            cpu_percent = cpu_percent.min(allowed * 100.0);
        }
        rounded(cpu_percent)
    }

    /// Sets the CPU share of a task. Returns `false` if the change is too small to be sent.
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
    reason = "the value is clamped first"
)]
fn rounded(cpu_percent: f64) -> u32 {
    cpu_percent.clamp(0.0, 100.0).round() as u32
}
