//! The invariants of the model.

use std::collections::BTreeSet;

use job::id::TaskId;
use job::record::JobRecord;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::task::RunNumber;

use super::state::ATTEMPTS;
use super::state::State;
use super::state::World;

impl State {
    /// Checks the invariants for the start of a task.
    pub(super) fn check_start(&mut self, at: usize, task: TaskId, run: RunNumber) {
        let other = &self.executors[1 - at];
        if other.running.contains_key(&task) {
            self.record_violation(format!("{task:?} runs on both executors"));
        }
        if self.done.get(&task.step) == Some(&true) && self.world != World::LongRunning {
            self.record_violation(format!("{task:?} starts after its end was acknowledged"));
        }
        if task.step == 1 && !self.done.contains_key(&0) {
            self.record_violation("the second step starts before the first has ended".to_owned());
        }
        if self.world == World::Gang {
            self.check_member(task, run);
        }
        self.failed_before.insert((task, run), self.failed.len());
        self.check_attempts();
        let started_unix_ms = self.executors[at].started_unix_ms;
        if !self.started.insert((at, started_unix_ms, task, run)) {
            self.record_violation(format!("{task:?} starts twice as run {run}"));
        }
    }

    /// Checks that no two members of a gang run as different runs.
    fn check_member(&mut self, task: TaskId, run: RunNumber) {
        let other = self.other_member(task);
        let runs_apart = self
            .executors
            .iter()
            .filter_map(|executor| executor.running.get(&other))
            .any(|other_run| *other_run != run);
        if runs_apart {
            self.record_violation(format!(
                "{task:?} starts as run {run} while the other member runs as another"
            ));
        }
    }

    /// Checks that no task was started after the maximum number of failures whose ends count, now
    /// that another start or another acknowledgement is known. A gang fails once with each run,
    /// whichever of its members fails.
    fn check_attempts(&mut self) {
        if self.world == World::LongRunning {
            return;
        }
        let late = self.failed_before.iter().find(|((task, run), before)| {
            let counted: BTreeSet<RunNumber> = self.failed[..**before]
                .iter()
                .filter(|(failed, earlier)| failed.step == task.step && earlier < run)
                .filter(|failure| self.failures_acknowledged.contains(failure))
                .map(|(_, earlier)| *earlier)
                .collect();
            counted.len() >= ATTEMPTS as usize
        });
        if let Some(((task, run), _)) = late {
            let (task, run) = (*task, *run);
            self.record_violation(format!(
                "{task:?} starts as run {run} after the maximum number of failures"
            ));
        }
    }

    /// Checks that a start command may be sent: the owner does not know that the job is cancelled.
    pub(super) fn check_send(&mut self, host: usize) {
        let owner = self.owners[host].as_ref();
        if owner.is_some_and(|owner| owner.cancel_received) {
            self.record_violation("a start is sent after the cancellation was known".to_owned());
        }
    }

    /// Checks that the state of the job in a stored record is true.
    pub(super) fn check_record(&mut self, row: &[u8]) {
        let record: JobRecord = serde_json::from_slice(row).expect("a valid record");
        let steps = match self.world {
            World::TwoSteps => 2,
            World::OneTask | World::SlowClock | World::Gang | World::LongRunning => 1,
        };
        let failed_runs: BTreeSet<(u32, RunNumber)> = self
            .failed
            .iter()
            .map(|(task, run)| (task.step, *run))
            .collect();
        let is_true = match record.state() {
            JobState::Queued | JobState::Running => true,
            JobState::Succeeded => self.done.len() == steps && self.world != World::LongRunning,
            JobState::Failed => (0..2).any(|step| {
                let failures = failed_runs.iter().filter(|(other, _)| *other == step);
                failures.count() >= ATTEMPTS as usize && self.world != World::LongRunning
            }),
            JobState::Cancelled => self.store.cancelled,
        };
        if !is_true {
            self.record_violation(format!(
                "the job is stored as {} without cause",
                record.state()
            ));
        }
    }

    /// Records which ends an acknowledgement makes count.
    pub(super) fn record_acknowledged(&mut self, at: usize, acknowledged: u64) {
        let ends = self.executors[at].ended.clone();
        let expired_ends = self.executors[at].expired_ends.clone();
        for end in ends.iter().filter(|end| end.sequence <= acknowledged) {
            if expired_ends.contains(&end.sequence) {
                // No owner could learn of this end before the lease expired, so it does not count.
                continue;
            }
            let Some(task) = end.task else { continue };
            match end.outcome {
                RunOutcome::Done if self.world == World::LongRunning => {}
                RunOutcome::Done => {
                    self.check_acknowledged_end(task, end.run);
                    self.done.insert(task.step, true);
                }
                RunOutcome::Failed => {
                    self.failures_acknowledged.insert((task, end.run));
                    self.check_attempts();
                }
                RunOutcome::Interrupted | RunOutcome::LeaseExpired => {}
            }
        }
    }

    /// Checks that a task, or a member of its gang, was not started again after an end that counts.
    fn check_acknowledged_end(&mut self, task: TaskId, run: RunNumber) {
        let started_later = self
            .started
            .iter()
            .any(|(_, _, other, later)| other.step == task.step && *later > run);
        if started_later {
            self.record_violation(format!(
                "the end of run {run} of {task:?} is acknowledged, but the task started again"
            ));
        }
    }
}
