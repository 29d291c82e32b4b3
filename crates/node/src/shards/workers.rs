//! Informs the scheduler of the workers that accept tasks, and of their usage reports.

use model::Size;
use model::id::ShardId;
use model::id::WorkerId;
use plat::hosts::HostState;
use plat::worker::RunReport;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerReport;
use sched::input::RunStatus;
use sched::input::UsageReport;
use sched::input::WorkerSpec;

use crate::shards::driver::Driver;
use crate::shards::input::Reply;

impl Driver {
    /// Passes a worker's usage report to the scheduler; the owner receives the answer separately.
    pub(super) fn handle_worker_answer(
        &mut self,
        shard: &ShardId,
        worker: &WorkerId,
        answer: &Result<WorkerReport, WorkerError>,
    ) {
        let now = self.now();
        if let (Ok(report), true) = (answer, self.owned.contains_key(shard)) {
            self.sched.report(worker, &usage_report(report), now);
        }
    }

    /// Updates a worker in the scheduler if the host list has it. One that does not accept tasks is
    /// marked as leaving.
    pub(super) fn update_worker(&mut self, worker: &WorkerId, accepts_tasks: bool) {
        let hosts = self.cx.hosts.borrow().clone();
        if let Some(entry) = hosts.workers.iter().find(|entry| entry.id == *worker) {
            self.sched.upsert_worker(WorkerSpec {
                id: entry.id.clone(),
                place: entry.place.clone(),
                rack: entry.rack.clone(),
                capacity: entry.capacity,
                leaving: entry.state == HostState::Leaving || !accepts_tasks,
            });
        }
    }

    /// Updates the workers of a shard in the scheduler as its owner sees them now.
    pub(super) fn update_shard_workers(&mut self, shard: &ShardId) {
        let Some(owned) = self.owned.get(shard) else {
            return;
        };
        let now = self.now();
        let owner = &owned.owner;
        let has_room = |worker: &WorkerId| owner.free(worker, now) != Size::ZERO;
        let workers: Vec<(WorkerId, bool)> = owner
            .workers()
            .map(|worker| (worker.clone(), has_room(worker)))
            .collect();
        for (worker, accepts_tasks) in workers {
            self.update_worker(&worker, accepts_tasks);
        }
    }

    /// Updates all workers in the scheduler after the host list has changed.
    pub(super) fn update_all_workers(&mut self) {
        let hosts = self.cx.hosts.borrow().clone();
        let listed: model::Set<&WorkerId> = hosts.workers.iter().map(|entry| &entry.id).collect();
        let known: Vec<WorkerId> = self
            .owned
            .values()
            .flat_map(|owned| owned.owner.workers().cloned())
            .collect();
        for worker in known.iter().filter(|worker| !listed.contains(worker)) {
            self.sched.remove_worker(worker);
        }
        for shard in self.owned_shard_ids() {
            self.update_shard_workers(&shard);
        }
    }

    /// Removes a shard that is no longer owned here, with its tasks and workers.
    pub(super) fn remove_shard(&mut self, shard: &ShardId) {
        let Some(owned) = self.owned.remove(shard) else {
            return;
        };
        for row in owned.owner.tasks() {
            self.sched.cancelled(&row.spec.task);
            self.task_shards.remove(&row.spec.task);
            if let Some(replies) = self.pending_replies.remove(&row.spec.task) {
                replies
                    .into_iter()
                    .for_each(|reply| drop(reply.send(Reply::Unknown)));
            }
        }
        for worker in owned.owner.workers() {
            self.sched.remove_worker(worker);
        }
    }
}

fn usage_report(report: &WorkerReport) -> UsageReport {
    let running = report
        .runs
        .iter()
        .filter(|run| run.state == RunState::Running);
    let status = |run: &RunReport| RunStatus {
        task: run.task.clone(),
        usage: run.usage,
        checkpoint: run.checkpoint.clone(),
        progress_ms: run.progress_ms,
        p99_us: run.p99_us,
        throttle_permille: run.throttle_permille,
    };
    UsageReport {
        sequence: report.sequence,
        age_ms: report.age_ms,
        runs: running.map(status).collect(),
    }
}
