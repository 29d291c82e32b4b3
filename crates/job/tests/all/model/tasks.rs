//! Ends of the tasks of the model, which its executors bring about by themselves.

use job::id::TaskId;
use job::scheduler::RunOutcome;

use super::state::State;
use super::state::World;

impl State {
    /// Ends a task well, and with it the other members of its gang.
    pub(super) fn end_done(&mut self, at: usize, task: TaskId) {
        self.done.entry(task.step).or_insert(false);
        self.executors[at].end(task, RunOutcome::Done);
        if self.world == World::Gang {
            for executor in &mut self.executors {
                for member in executor.running.keys().copied().collect::<Vec<_>>() {
                    executor.end(member, RunOutcome::Done);
                }
            }
        }
    }

    /// Ends a task because of its own fault or its executor's.
    pub(super) fn end_failed(&mut self, at: usize, task: TaskId) {
        if let Some(run) = self.executors[at].running.get(&task) {
            self.failed.push((task, *run));
        }
        self.executors[at].end(task, RunOutcome::Failed);
    }

    /// Returns whether a running task can work: all members of its gang run, as the same run.
    pub(super) fn is_at_work(&self, at: usize, task: TaskId) -> bool {
        if self.world != World::Gang {
            return true;
        }
        let run = self.executors[at].running.get(&task);
        let other = self.other_member(task);
        self.executors
            .iter()
            .any(|executor| executor.running.get(&other) == run)
    }

    /// Returns whether another member of the same run was there and has ended.
    pub(super) fn is_broken(&self, at: usize, task: TaskId) -> bool {
        let other = self.other_member(task);
        let run = self.executors[at].running.get(&task).copied();
        let met = self
            .started
            .iter()
            .any(|(_, _, member, other_run)| *member == other && Some(*other_run) == run);
        self.world == World::Gang && met && !self.is_at_work(at, task)
    }

    /// Ends members of gangs that have waited too long for the others.
    pub(super) fn end_incomplete_gangs(&mut self) {
        for at in 0..2 {
            for task in self.executors[at]
                .running
                .keys()
                .copied()
                .collect::<Vec<_>>()
            {
                if self.is_at_work(at, task) {
                    continue;
                }
                if self.must_meet && !self.store.cancelled && !self.is_broken(at, task) {
                    self.record_violation(format!("{task:?} has waited alone"));
                }
                self.executors[at].end(task, RunOutcome::Interrupted);
            }
        }
    }

    /// Returns the other member of a gang.
    pub(super) fn other_member(&self, task: TaskId) -> TaskId {
        self.task(1 - task.index)
    }
}
