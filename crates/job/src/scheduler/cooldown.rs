//! Cooldown of executors that are at fault for stalls or failures.

use std::sync::Arc;
use std::time::Duration;

use model::Mono;

use super::CooldownReason;
use super::Event;
use super::Scheduler;
use super::TaskKey;
use crate::fault_attribution::Pool;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;

/// How long no task is placed on an executor where several distinct jobs have failed.
const FAULTY_EXECUTOR_COOLDOWN: Duration = Duration::from_secs(4);

impl Scheduler {
    /// Records the failure of a job on an executor, which gets a cooldown if it is at fault rather than
    /// the jobs that failed there.
    pub(super) fn record_executor_failure(
        &mut self,
        key: TaskKey,
        executor_key: ExecutorKey,
        now: Mono,
    ) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let others = job.failed_on.record(executor_key, now);
        for other in &others {
            if let Some(other) = self.fleet.get_mut(*other) {
                other.failures.record_elsewhere(key.job, executor_key);
            }
        }
        let Some(executor) = self.fleet.get_mut(executor_key) else {
            return;
        };
        executor.failures.record_failure(key.job, others, now);
        let Some(executor) = self.fleet.get(executor_key) else {
            return;
        };
        let is_suspected = |other| {
            let other = self.fleet.get(other);
            other.is_some_and(|other| other.failures.is_suspected(now))
        };
        let is_at_fault = executor.failures.is_at_fault(is_suspected, now)
            && self
                .pool_of_service(executor_key, executor, now)
                .is_mostly_sound();
        if is_at_fault {
            let until = now.after(FAULTY_EXECUTOR_COOLDOWN);
            self.cool_down(executor_key, key, CooldownReason::Failures, until, now);
        }
    }

    /// Places no task on an executor until a time, unless too few others that could run the same tasks
    /// would be left.
    pub(crate) fn cool_down(
        &mut self,
        executor_key: ExecutorKey,
        key: TaskKey,
        reason: CooldownReason,
        until: Mono,
        now: Mono,
    ) {
        if !self.may_cool_down(executor_key, now) {
            return;
        }
        let Some(executor) = self.fleet.get_mut(executor_key) else {
            return;
        };
        executor.not_before = executor.not_before.max(until);
        executor.fault_cooldown_until = executor.fault_cooldown_until.max(until);
        self.record_event(Event::CooldownStarted {
            executor: executor_key,
            task: key,
            reason,
        });
    }

    /// Returns whether enough executors are left for the tasks of an executor's service, and for those
    /// that need a label of it.
    fn may_cool_down(&self, executor_key: ExecutorKey, now: Mono) -> bool {
        let Some(executor) = self.fleet.get(executor_key) else {
            return false;
        };
        let labels = self.needed_labels(executor);
        self.pool_of_service(executor_key, executor, now)
            .may_spare_one()
            && labels.iter().all(|label| {
                let has_label = |other: &Executor| other.has_label(label);
                self.pool(executor_key, executor, has_label, now)
                    .may_spare_one()
            })
    }

    /// Returns the labels of an executor that steps of open jobs need.
    fn needed_labels(&self, executor: &Executor) -> Vec<Arc<str>> {
        let steps = self.open_jobs().flat_map(|(_, job)| &job.spec.steps);
        let mut labels: Vec<Arc<str>> = steps
            .filter_map(|step| step.label.clone())
            .filter(|label| executor.has_label(label))
            .collect();
        labels.sort();
        labels.dedup();
        labels
    }

    fn pool_of_service(&self, key: ExecutorKey, executor: &Executor, now: Mono) -> Pool {
        self.pool(key, executor, |_| true, now)
    }

    /// Counts the executors of an executor's service that meet a condition and can be reached.
    fn pool(
        &self,
        key: ExecutorKey,
        executor: &Executor,
        is_included: impl Fn(&Executor) -> bool,
        now: Mono,
    ) -> Pool {
        let mut pool = Pool::default();
        let others = self.fleet.iter().filter(|(_, other)| {
            other.listed
                && other.reachable
                && !other.listing.draining
                && other.listing.service == executor.listing.service
                && is_included(other)
        });
        for (other_key, other) in others {
            pool.executors += 1;
            pool.suspected += usize::from(other.failures.is_suspected(now));
            let is_cooling_down = other_key != key && now < other.fault_cooldown_until;
            pool.cooling_down += usize::from(is_cooling_down);
        }
        pool
    }
}
