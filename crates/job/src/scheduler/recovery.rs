//! Recovery of executors that list ends which must not be acknowledged ([`crate::ack_recovery`]).

use std::time::Duration;

use model::Mono;

use super::Event;
use super::Scheduler;
use super::TaskKey;
use crate::ack_recovery;
use crate::ack_recovery::AckRecovery;
use crate::fleet::ExecutorKey;

impl Scheduler {
    /// Begins the recovery of an executor if it is due.
    pub(super) fn begin_due_recovery(&mut self, key: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        let (tasks, ends) = (executor.tasks.len(), executor.listed_withheld_ends());
        if executor.recovery.is_none() && ack_recovery::is_due(tasks, ends) {
            executor.recovery = Some(AckRecovery::new(now));
            self.record_event(Event::RecoveryBegan {
                executor: key,
                ends,
                tasks,
            });
        }
    }

    /// Returns whether an executor may list ends that no report has shown.
    pub(super) fn is_report_due(&self, key: ExecutorKey) -> bool {
        let executor = self.fleet.get(key);
        executor.is_some_and(|executor| executor.report_due_since.is_some())
    }

    /// Takes the only task on an executor for the probe of an earlier owner, if the executor lists ends
    /// that must not be acknowledged. This owner has granted it no lease yet, and a usual one would carry
    /// the probe to its end and keep other tasks away for as long.
    pub(super) fn resume_probe(&mut self, key: ExecutorKey, now: Mono) {
        let Some(executor) = self.fleet.get(key) else {
            return;
        };
        let mut tasks = executor.tasks.iter().copied();
        let (Some(task), None) = (tasks.next(), tasks.next()) else {
            return;
        };
        let is_due = executor.recovery.is_none() && executor.listed_withheld_ends() > 0;
        let loses_much = self
            .step(task)
            .is_none_or(|step| step.long_running || step.gang);
        if !is_due || loses_much || !self.is_inherited(task) {
            return;
        }
        if let Some(executor) = self.fleet.get_mut(key) {
            let mut recovery = AckRecovery::new(now);
            recovery.probing = true;
            executor.recovery = Some(recovery);
            let ends = executor.listed_withheld_ends();
            self.record_event(Event::RecoveryBegan {
                executor: key,
                ends,
                tasks: 1,
            });
        }
    }

    /// Begins recoveries that are due. Long-running tasks on executors that are to become empty move
    /// elsewhere, because they do not end by themselves, as far as their steps allow it.
    pub(super) fn recover_executors(&mut self, now: Mono) {
        let withheld: Vec<ExecutorKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| !executor.withheld_ends.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in withheld {
            self.begin_due_recovery(key, now);
            let Some(executor) = self.fleet.get(key) else {
                continue;
            };
            if executor.recovery.is_none_or(|recovery| recovery.probing) {
                continue;
            }
            let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
            for task in tasks {
                if self.is_long_running(task)
                    && self.running_since(task).is_some()
                    && self.may_be_unavailable(task, &[], now)
                {
                    self.stop(task);
                }
            }
        }
    }

    /// Ends the recovery of an executor whose lease has expired.
    pub(super) fn end_recovery(&mut self, key: ExecutorKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(key)
            && let Some(recovery) = executor.recovery.take()
        {
            let after_ms = model::time::millis(now.since(recovery.since));
            self.record_event(Event::RecoveryEnded {
                executor: key,
                after_ms,
            });
        }
    }

    /// Records that a task was assigned to an executor. A recovering executor gets one task only while
    /// it is empty, to let its lease expire.
    pub(super) fn note_probe(&mut self, key: ExecutorKey) {
        if let Some(executor) = self.fleet.get_mut(key)
            && let Some(recovery) = &mut executor.recovery
        {
            recovery.probing = true;
        }
    }

    /// Adapts the lease of the next probe: a shorter one after this one ended by itself, and a longer one
    /// if the lease had expired when the start command arrived (`too_late`). Does nothing if the task is
    /// no probe.
    pub(super) fn adapt_probe_lease(
        &mut self,
        key: TaskKey,
        executor: ExecutorKey,
        too_late: bool,
    ) {
        let Some(lease) = self.probe_lease(key, executor) else {
            return;
        };
        if let Some(executor) = self.fleet.get_mut(executor)
            && let Some(recovery) = &mut executor.recovery
        {
            if too_late {
                recovery.probe_too_late(lease);
            } else {
                recovery.probe_ended(lease);
            }
        }
    }

    /// Returns the lease of a probe, or `None` if the executor runs none.
    fn probe_lease(&self, key: TaskKey, executor: ExecutorKey) -> Option<Duration> {
        let recovery = self.fleet.get(executor)?.recovery?;
        let job = self.job(key.job)?;
        let expected = self.durations.expected_ms(&job.queue, self.step(key)?);
        let lease = recovery.probe_lease(Duration::from_millis(expected));
        recovery.probing.then_some(lease)
    }

    /// Returns the deadline, on the executor's clock, of the lease that the start command of a task
    /// grants when it is sent now.
    pub fn grant_start_lease(
        &mut self,
        key: TaskKey,
        executor: ExecutorKey,
        now: Mono,
    ) -> Option<u64> {
        match self.probe_lease(key, executor) {
            Some(lease) => self.grant_lease_of(executor, lease, now),
            None => self.grant_lease(executor, now),
        }
    }
}
