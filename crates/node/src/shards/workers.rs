//! Tells the scheduler which workers take tasks, and what they report.

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
    /// Takes in a worker's report for the scheduler; the owner takes it in by itself.
    pub(super) fn worker_answered(
        &mut self,
        shard: &ShardId,
        worker: &WorkerId,
        answer: &Result<WorkerReport, WorkerError>,
    ) {
        let now = self.now();
        if let (Ok(report), true) = (answer, self.running.contains_key(shard)) {
            self.sched.report(worker, &report_facts(report), now);
        }
    }

    /// Tells the scheduler whether a worker takes tasks.
    pub(super) fn offer_worker(&mut self, worker: &WorkerId, takes_tasks: bool) {
        let hosts = self.cx.hosts.borrow().clone();
        if let Some(entry) = hosts.workers.iter().find(|entry| entry.id == *worker) {
            self.sched.upsert_worker(WorkerSpec {
                id: entry.id.clone(),
                place: entry.place.clone(),
                rack: entry.rack.clone(),
                capacity: entry.capacity,
                leaving: entry.state == HostState::Leaving || !takes_tasks,
            });
        }
    }

    /// Tells the scheduler of the workers of a shard as its owner sees them now.
    pub(super) fn relist_shard(&mut self, shard: &ShardId) {
        let Some(running) = self.running.get(shard) else {
            return;
        };
        let now = self.now();
        let owner = &running.owner;
        let open = |worker: &WorkerId| owner.free(worker, now) != Size::ZERO;
        let workers: Vec<(WorkerId, bool)> = owner
            .workers()
            .map(|worker| (worker.clone(), open(worker)))
            .collect();
        for (worker, takes_tasks) in workers {
            self.offer_worker(&worker, takes_tasks);
        }
    }

    /// Tells the scheduler of all workers after the host list has changed.
    pub(super) fn relist_workers(&mut self) {
        let hosts = self.cx.hosts.borrow().clone();
        let listed: model::Set<&WorkerId> = hosts.workers.iter().map(|entry| &entry.id).collect();
        let known: Vec<WorkerId> = self
            .running
            .values()
            .flat_map(|running| running.owner.workers().cloned())
            .collect();
        for worker in known.iter().filter(|worker| !listed.contains(worker)) {
            self.sched.remove_worker(worker);
        }
        for shard in self.running_shards() {
            self.relist_shard(&shard);
        }
    }

    /// Forgets a shard that is owned here no more.
    pub(super) fn forget_shard(&mut self, shard: &ShardId) {
        let Some(running) = self.running.remove(shard) else {
            return;
        };
        for row in running.owner.tasks() {
            self.sched.cancelled(&row.spec.task);
            self.homes.remove(&row.spec.task);
            if let Some(replies) = self.asked.remove(&row.spec.task) {
                replies
                    .into_iter()
                    .for_each(|reply| drop(reply.send(Reply::Unknown)));
            }
        }
        for worker in running.owner.workers() {
            self.sched.remove_worker(worker);
        }
    }
}

fn report_facts(report: &WorkerReport) -> UsageReport {
    let running = report
        .runs
        .iter()
        .filter(|run| run.state == RunState::Running);
    let facts = |run: &RunReport| RunStatus {
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
        runs: running.map(facts).collect(),
    }
}
