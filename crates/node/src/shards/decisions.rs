//! Applies the decisions of the scheduler through the owners of the shards.

use lease::owner::Event;
use model::Mono;
use model::Size;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use plat::hosts::HostState;
use sched::Budget;
use sched::Decision;

use crate::shards::driver::Driver;
use crate::shards::driver::PlannedStart;

/// Limits of one scheduling round. There is a round every 100 ms, and each start or eviction costs
/// the store two or three transactions of a few rows.
const BUDGET: Budget = Budget {
    starts: 6,
    evictions: 3,
};

impl Driver {
    /// Evicts the tasks of workers that are leaving. Called repeatedly until none is left, because
    /// an eviction may be refused while the table is unreachable or a write of the row is in
    /// progress.
    pub(super) fn evict_from_leaving_workers(&mut self, now: Mono) {
        let hosts = self.cx.hosts.borrow().clone();
        let leaving = hosts
            .workers
            .iter()
            .filter(|entry| entry.state == HostState::Leaving);
        for entry in leaving {
            let Some(owned) = self.owned.get(&entry.rack) else {
                continue;
            };
            let owner = &owned.owner;
            let on_worker = owner.tasks().filter(|row| row.worker() == Some(&entry.id));
            let certain = on_worker.filter(|row| !owner.is_in_doubt(&row.spec.task));
            let tasks: Vec<TaskId> = certain.map(|row| row.spec.task.clone()).collect();
            for task in tasks {
                self.drive(&entry.rack, Event::Evict(task), now);
            }
        }
    }

    /// Runs one scheduling round and passes its decisions to the owners. No task is started or
    /// evicted while the store is unreachable or the shards are being released.
    pub(super) fn run_scheduler(&mut self, now: Mono) {
        let budget = match self.store_reachable && !self.releasing {
            true => BUDGET,
            false => Budget {
                starts: 0,
                evictions: 0,
            },
        };
        for decision in self.sched.decide(now, budget) {
            match decision {
                Decision::Start {
                    task,
                    worker,
                    reserved,
                    ..
                } => {
                    self.start_task(&task, worker, reserved, now);
                }
                Decision::Throttle { task, permille, .. } => {
                    self.drive_task_owner(
                        &task,
                        Event::Throttle {
                            task: task.clone(),
                            permille,
                        },
                        now,
                    );
                }
                Decision::Evict { task, .. } => {
                    self.drive_task_owner(&task, Event::Evict(task.clone()), now);
                }
                Decision::HandOff { task, to_shard, .. } => {
                    self.drive_task_owner(
                        &task,
                        Event::HandOff {
                            task: task.clone(),
                            to: to_shard,
                        },
                        now,
                    );
                }
                Decision::Unrunnable { task, reason } => {
                    log::warn!(task = task.as_str(); "cannot run: {reason}");
                }
                Decision::Quarantine { worker, why } => {
                    log::warn!(worker = worker.as_str(); "quarantined: {why}");
                }
                Decision::Readmit { worker, why } => {
                    log::info!(worker = worker.as_str(); "used again: {why}");
                }
                Decision::Runnable { .. } => {}
            }
        }
    }

    /// Starts a task. If it is queued at another shard than that of its worker, it is handed off to
    /// that shard first.
    fn start_task(&mut self, task: &TaskId, worker: WorkerId, reserved: Size, now: Mono) {
        let Some(shard) = self.owned_shard_of(&worker) else {
            return self.sched.decision_failed(task, now);
        };
        if self.task_shards.get(task) == Some(&shard) {
            let event = Event::Start {
                task: task.clone(),
                worker,
                reserved,
            };
            return self.drive(&shard, event, now);
        }
        let event = Event::HandOff {
            task: task.clone(),
            to: shard.clone(),
        };
        self.planned_starts.insert(
            task.clone(),
            PlannedStart {
                shard,
                worker,
                reserved,
            },
        );
        self.drive_task_owner(task, event, now);
    }

    fn drive_task_owner(&mut self, task: &TaskId, event: Event, now: Mono) {
        match self.task_shards.get(task).cloned() {
            Some(shard) => self.drive(&shard, event, now),
            None => self.sched.decision_failed(task, now),
        }
    }

    fn owned_shard_of(&self, worker: &WorkerId) -> Option<ShardId> {
        let hosts = self.cx.hosts.borrow();
        let entry = hosts.workers.iter().find(|entry| entry.id == *worker)?;
        Some(entry.rack.clone()).filter(|shard| self.owned.contains_key(shard))
    }
}
