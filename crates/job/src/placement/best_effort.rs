//! Scores executors for best-effort tasks, and records the waits of such tasks and for which of them
//! the conditions were relaxed.

use model::Mono;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::interference::Interference;
use crate::relaxation::Relaxation;
use crate::relaxation::Wait;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

/// The percentage of its allocated CPU that a long-running task is assumed to use, because its
/// actual usage is unknown when other tasks are placed beside it.
const SERVICE_LOAD_PERCENT: u64 = 50;
/// The maximum increase of a log tail latency that a best-effort task may cause where it is placed.
pub(crate) const MAX_CAUSED_LOG: f64 = 0.08;
/// The weight of caused tail latency against spare CPU in the score of an executor.
const INTERFERENCE_COST: f64 = 4.0;
/// The weight of a service that exceeds its target against spare CPU in the score of an executor.
const OVER_TARGET_COST: f64 = 10.0;

impl Scheduler {
    /// Returns whether an executor meets the conditions for a best-effort task without relaxation.
    pub(super) fn is_undisturbed(&self, executor: &Executor, step: &StepSpec) -> bool {
        has_spare_cpu(executor, step, Relaxation::NONE)
            && self.score(executor, step, Relaxation::NONE).is_some()
    }

    /// Returns whether an executor other than `except` takes a best-effort task now without relaxed
    /// conditions.
    pub(crate) fn has_undisturbed_executor(
        &self,
        key: TaskKey,
        except: ExecutorKey,
        now: Mono,
    ) -> bool {
        let Some((step, service)) = self.step(key).zip(self.service_of(key)) else {
            return false;
        };
        self.fleet.iter().any(|(executor_key, _)| {
            executor_key != except
                && self
                    .assess_after(Wait::NONE, executor_key, &service, (key, step), now)
                    .is_some_and(|preference| preference.unrelaxed)
        })
    }

    /// Records that a step with a waiting task is ready.
    pub(super) fn begin_wait(&mut self, key: TaskKey, step: &StepSpec, now: Mono) {
        if step.best_effort
            && let Some(job) = self.job_mut(key.job)
        {
            job.begin_wait(key.slot, now);
        }
    }

    /// Returns whether the conditions for a best-effort task have to be relaxed for it on an
    /// executor.
    pub(super) fn needs_relaxation(&self, executor_key: ExecutorKey, step: &StepSpec) -> bool {
        let executor = self.fleet.get(executor_key);
        step.best_effort && executor.is_some_and(|executor| !self.is_undisturbed(executor, step))
    }

    /// Records whether the conditions were relaxed for a best-effort task that was assigned. If
    /// they were not, its step waits anew.
    pub(super) fn record_relaxation(
        &mut self,
        key: TaskKey,
        step: &StepSpec,
        relaxed: bool,
        now: Mono,
    ) {
        if !step.best_effort {
            return;
        }
        if !relaxed {
            if let Some(job) = self.job_mut(key.job) {
                job.restart_wait(key.slot, now);
            }
            return;
        }
        let Some(assignment) = self.assignment_mut(key) else {
            return;
        };
        assignment.relaxed = true;
        let executor = assignment.executor;
        if let Some(executor) = self.fleet.get_mut(executor) {
            executor.relaxed_at = Some(now);
            executor.relaxed_tasks += 1;
            executor.best_effort_cpu_millis -= step.size.cpu_millis;
        }
    }
}

/// Scores an executor for a best-effort task: executors with more spare CPU and less interference
/// are preferred. Returns `None` if the task would raise a tail latency too much or if a service
/// exceeds its target.
pub(super) fn best_effort_score(
    interference: &Interference,
    executor: &Executor,
    step: &StepSpec,
    relaxation: Relaxation,
) -> Option<f64> {
    let caused = caused_log(interference, executor, step);
    let over_target = executor.over_target_since.is_some();
    if caused > MAX_CAUSED_LOG * relaxation.limit_factor()
        || (over_target && !relaxation.is_complete())
    {
        return None;
    }
    let over_target_cost = if over_target { OVER_TARGET_COST } else { 0.0 };
    Some(spare_fraction(executor) - caused * INTERFERENCE_COST - over_target_cost)
}

/// Returns by how much a best-effort task that uses all the CPU it asks for is estimated to raise the
/// log tail latency of a service on an executor, for the service that it affects most.
#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
pub(crate) fn caused_log(interference: &Interference, executor: &Executor, step: &StepSpec) -> f64 {
    let capacity = executor.listing.capacity.cpu_millis.max(1);
    let cpu_fraction = step.size.cpu_millis as f64 / capacity as f64;
    if executor.services.is_empty() {
        return 0.0;
    }
    let image = step.image.as_ref();
    let image = image.and_then(|image| interference.image_key(image));
    executor
        .services
        .iter()
        .map(|service| interference.weight_of(service.key, image) * cpu_fraction)
        .fold(0.0, f64::max)
}

/// Returns whether an executor has the CPU that a best-effort task needs. Once the conditions do
/// not count any more, the task may share it with other best-effort tasks.
pub(crate) fn has_spare_cpu(executor: &Executor, step: &StepSpec, relaxation: Relaxation) -> bool {
    if relaxation.is_complete() {
        return cpu_left_by_others(executor) > 0;
    }
    spare_cpu(executor) >= step.size.cpu_millis
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
pub(super) fn spare_fraction(executor: &Executor) -> f64 {
    spare_cpu(executor) as f64 / executor.listing.capacity.cpu_millis.max(1) as f64
}

/// Returns the CPU in thousandths of a core that best-effort tasks can use beside the other tasks.
pub(crate) const fn spare_cpu(executor: &Executor) -> u64 {
    cpu_left_by_others(executor).saturating_sub(executor.best_effort_cpu_millis)
}

/// Returns the CPU in thousandths of a core that tasks that are not best-effort leave unused.
const fn cpu_left_by_others(executor: &Executor) -> u64 {
    let long_running_load = executor
        .long_running_cpu_millis
        .saturating_mul(SERVICE_LOAD_PERCENT)
        / 100;
    executor
        .listing
        .capacity
        .cpu_millis
        .saturating_sub(executor.batch_cpu_millis.saturating_add(long_running_load))
}
