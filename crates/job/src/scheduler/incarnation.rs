//! Incarnations of executors: a process that starts anew under the name of an earlier one knows
//! nothing of it.

use model::Mono;

use super::LossReason;
use super::Report;
use super::Scheduler;
use super::TaskKey;
use crate::fault_attribution::FailureEvidence;
use crate::fault_attribution::StallEvidence;
use crate::fleet::ClockReading;
use crate::fleet::ExecutorKey;
use crate::task::StartState;

impl Scheduler {
    /// Processes the incarnation in a report that was requested at `sent`. Returns `false` if the
    /// report must be ignored because it is from an earlier incarnation.
    pub(super) fn accept_report(
        &mut self,
        key: ExecutorKey,
        report: &Report,
        sent: Mono,
        now: Mono,
    ) -> bool {
        let Some(executor) = self.fleet.get_mut(key) else {
            return false;
        };
        let earlier = executor.listing.started_unix_ms;
        let started_unix_ms = report.started_unix_ms.unwrap_or(earlier);
        if started_unix_ms < earlier {
            return false;
        }
        self.silence.executor_answered(executor);
        executor.is_replaced = false;
        executor.asked_successors.clear();
        executor.answered_at = now;
        if let Some(started_unix_ms) = report.started_unix_ms {
            executor.record_presence(started_unix_ms, sent);
        }
        executor.failing_since = None;
        if executor
            .incarnation_uncertain_since
            .is_some_and(|since| since < sent)
        {
            executor.incarnation_uncertain_since = None;
        }
        if executor.report_due_since.is_some_and(|since| since <= sent) {
            executor.report_due_since = None;
        }
        let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        let mut suspects = self.suspects_missing_in(key, report);
        suspects.extend(self.take_unexplained_losses(key));
        if self.begin_incarnation(key, started_unix_ms) && earlier != 0 {
            self.assume_max_lease(key, now);
        }
        if let Some(executor) = self.fleet.get_mut(key) {
            // The reading in a late report may be seconds old. Leases computed from it would be too
            // short.
            let has_newer = executor.clock.is_some_and(|clock| clock.at > sent);
            if !has_newer {
                executor.clock = Some(ClockReading {
                    executor_ms: report.clock_ms,
                    at: now,
                });
            }
        }
        if earlier != 0 && started_unix_ms > earlier {
            for task in tasks {
                self.lose_with_incarnation(task, report, sent, now);
            }
            self.count_crash(key, &suspects);
        }
        true
    }

    /// Returns the tasks that may have crashed an earlier incarnation of an executor and that a report
    /// of the present one does not contain.
    fn suspects_missing_in(&self, key: ExecutorKey, report: &Report) -> Vec<TaskKey> {
        let mut suspects = self.suspects_on(key);
        suspects.retain(|key| {
            let run = self.task(*key).map(|task| task.run);
            let id = self.task_id(*key).zip(run);
            id.is_some_and(|(id, run)| !report.contains(id, run))
        });
        suspects
    }

    /// Records that the executor list contains a new incarnation. Only a poll shows which tasks it
    /// runs.
    pub(super) fn announce_incarnation(
        &mut self,
        key: ExecutorKey,
        started_unix_ms: u64,
        now: Mono,
    ) {
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        if started_unix_ms > executor.entry_started_unix_ms {
            self.assume_max_lease(key, now);
        }
    }

    /// Starts a new incarnation of an executor and discards the state of the previous one. Returns
    /// `false` if the incarnation is not newer.
    pub(super) fn begin_incarnation(&mut self, key: ExecutorKey, started_unix_ms: u64) -> bool {
        let Some(executor) = self.fleet.get_mut(key) else {
            return false;
        };
        if started_unix_ms <= executor.listing.started_unix_ms {
            return false;
        }
        executor.listing.started_unix_ms = started_unix_ms;
        executor.clock = None;
        executor.ends_acknowledged = 0;
        executor.ends_stored = 0;
        executor.ends_received = 0;
        executor.unstored_ends = None;
        executor.withheld_ends.clear();
        executor.unstorable_ends.clear();
        executor.failures = FailureEvidence::default();
        executor.stalls = StallEvidence::default();
        executor.recovery = None;
        executor.announced_departure = false;
        executor.failing_since = None;
        self.forget_runs_of_earlier_incarnations(key, started_unix_ms);
        true
    }

    /// Forgets the abandoned runs on earlier incarnations of an executor, whose ends are listed nowhere
    /// any more.
    fn forget_runs_of_earlier_incarnations(&mut self, key: ExecutorKey, started_unix_ms: u64) {
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        let abandoned = std::mem::take(&mut executor.abandoned);
        let jobs = &self.jobs;
        let (kept, lost): (Vec<_>, Vec<_>) = abandoned.into_iter().partition(|(task, run)| {
            let job = jobs.get(task.job);
            let abandoned = job.and_then(|job| job.abandoned_run(task.slot, *run));
            let started = abandoned.and_then(|abandoned| abandoned.executor_started_unix_ms);
            started.is_some_and(|started| started >= started_unix_ms)
        });
        if kept.is_empty() {
            executor.report_due_since = None;
        }
        executor.abandoned = kept;
        for (task, run) in lost {
            self.forget_abandoned(task, run);
        }
    }

    /// Releases a task that a new incarnation of its executor does not run. A start command sent to
    /// the previous incarnation may still reach the new one if calls may stray; such a run is stopped there
    /// first. A
    /// start that was confirmed after the report was requested may have been confirmed by the new
    /// incarnation.
    fn lose_with_incarnation(&mut self, key: TaskKey, report: &Report, sent: Mono, now: Mono) {
        let Some(id) = self.task_id(key) else {
            return;
        };
        let Some((run, assignment)) = self
            .task(key)
            .and_then(|task| Some((task.run, task.assignment()?)))
        else {
            return;
        };
        if report.contains(id, run) {
            return;
        }
        let may_arrive = assignment.start_state == StartState::Sent || assignment.start_unanswered;
        match assignment.start_state {
            StartState::Storing => {}
            StartState::Confirmed(since) if since >= sent => {}
            _ if may_arrive => {
                // A confirmation by the previous incarnation does not apply to the new one.
                if let Some(assignment) = self.assignment_mut(key) {
                    assignment.start_state = StartState::Sent;
                }
                self.stop(key);
            }
            _ => self.lose_run(key, LossReason::ExecutorRestarted, now),
        }
    }
}
