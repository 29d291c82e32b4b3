//! The invariants that hold in every state, and the definition of a final state.

use model::Size;
use model::id::TaskId;
use plat::worker::RunState;

use super::state::ModelState;
use super::state::TASKS;
use super::state::WORKER_CAPACITY;
use super::state::WORKERS;
use super::state::shard;
use crate::record::ShardRow;
use crate::record::TaskRow;
use crate::record::key;

impl ModelState {
    /// Checks the invariants of a task's row after a transaction.
    pub(super) fn check_row(&mut self, task: &str, before: Option<TaskRow>) {
        let after = self.row(task);
        let ended = self.job(task).is_some_and(|job| job.end.is_some());
        if before.is_some() && after.is_none() != ended {
            self.record_violation(format!("{task} was lost, or has ended but still has a row"));
        }
        let (Some(before), Some(after)) = (before, after) else {
            return;
        };
        if after.attempt < before.attempt || after.evictions < before.evictions {
            self.record_violation(format!("the row of {task} regressed"));
        }
        let resumes = after.evictions > before.evictions;
        if resumes && after.checkpoint.as_ref() != self.saved_checkpoints.get(&TaskId::from(task)) {
            self.record_violation(format!("{task} does not resume from its last checkpoint"));
        }
        if after.evictions > self.evict_requests {
            self.record_violation(format!("{task} resumes more often than it was evicted"));
        }
    }

    /// Returns the worker index, task and size of every running run.
    pub(super) fn running(&self) -> impl Iterator<Item = (usize, &TaskId, Size)> {
        let agents = self.agents.iter().enumerate();
        agents.flat_map(|(worker, agent)| {
            let runs = agent.runs().iter();
            let running = runs.filter(|(_, run)| run.state == RunState::Running);
            running.map(move |((task, _), run)| (worker, task, run.size))
        })
    }

    /// Checks the invariants of the runs on all workers.
    pub(super) fn check_runs(&mut self) {
        for task in TASKS {
            if self.running().filter(|run| run.1.as_str() == task).count() > 1 {
                self.record_violation(format!("{task} runs twice at once"));
            }
        }
        for worker in 0..WORKERS.len() {
            let runs = self.running().filter(|run| run.0 == worker);
            let used: Size = runs.map(|run| run.2).sum();
            if !used.fits(&WORKER_CAPACITY) {
                self.record_violation(format!("worker {worker} is overcommitted"));
            }
        }
    }

    pub(super) fn record_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    pub(super) fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Returns whether a daemon's owner has the epoch in the shard's row.
    pub(super) fn is_current(&self, daemon: usize) -> bool {
        let row: Option<ShardRow> = self.store.parsed(&key::shard(&shard()));
        let owner = self.daemons[daemon].owner.as_ref();
        owner.is_some_and(|owner| row.is_some_and(|row| row.epoch == owner.ownership().epoch))
    }

    /// Returns whether this state is final: every task has ended and nothing runs.
    pub(super) fn is_complete(&self) -> bool {
        let ended = |task: &str| self.job(task).is_some_and(|job| job.end.is_some());
        TASKS.into_iter().all(ended) && self.running().next().is_none()
    }
}
