//! The invariants of the model.

use job::id::TaskId;
use job::scheduler::RunOutcome;
use job::task::RunNumber;

use super::state::State;

impl State {
    /// Checks the invariants for the start of a task.
    pub(super) fn check_start(&mut self, at: usize, task: TaskId, run: RunNumber) {
        let other = &self.executors[1 - at];
        if other.running.contains_key(&task) {
            self.record_violation(format!("{task:?} runs on both executors"));
        }
        if self.done.get(&task) == Some(&true) {
            self.record_violation(format!("{task:?} starts after its end was acknowledged"));
        }
        if task.step == 1 && !self.done.contains_key(&super::state::task(0)) {
            self.record_violation("the second step starts before the first has ended".to_owned());
        }
        if self.failed.get(&task).copied().unwrap_or(0) >= super::state::ATTEMPTS {
            self.record_violation(format!(
                "{task:?} starts after the maximum number of failures"
            ));
        }
        let started_unix_ms = self.executors[at].started_unix_ms;
        if !self.started.insert((at, started_unix_ms, task, run)) {
            self.record_violation(format!("{task:?} starts twice as run {run}"));
        }
    }

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
                RunOutcome::Done => {
                    self.check_acknowledged_end(task, end.run);
                    self.done.insert(task, true);
                }
                RunOutcome::Failed => *self.failed.entry(task).or_default() += 1,
                RunOutcome::Interrupted | RunOutcome::LeaseExpired => {}
            }
        }
    }

    /// Checks that a task was not started again after an end that counts.
    fn check_acknowledged_end(&mut self, task: TaskId, run: RunNumber) {
        let started_later = self
            .started
            .iter()
            .any(|(_, _, other, later)| *other == task && *later > run);
        if started_later {
            self.record_violation(format!(
                "the end of run {run} of {task:?} is acknowledged, but the task started again"
            ));
        }
    }
}
