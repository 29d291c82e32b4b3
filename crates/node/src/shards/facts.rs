//! Keeps the scheduler's picture by what the owners tell, and carries its decisions to them.

use lease::owner::Cause;
use lease::owner::Event;
use lease::owner::Fact;
use lease::owner::Refusal;
use lease::owner::Submission;
use lease::record::Phase;
use lease::record::Priority;
use lease::record::TaskRow;
use model::Mono;
use model::Size;
use model::id::ShardId;
use model::id::TaskId;
use model::id::WorkerId;
use peer::summary::ShardRoom;
use peer::summary::TeamUse;
use plat::hosts::HostState;
use plat::worker::RunReport;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerReport;
use sched::Budget;
use sched::Decision;
use sched::facts::End;
use sched::facts::PeerShard;
use sched::facts::PeerSummary;
use sched::facts::Queued;
use sched::facts::ReportFacts;
use sched::facts::RunFacts;
use sched::facts::WorkerFacts;

use crate::shards::driver::Driver;
use crate::shards::driver::Planned;
use crate::shards::input::Reply;

/// What one round of decisions may set in motion; a round is 100 ms, and each start or eviction
/// costs the store two or three transactions of a few rows.
const BUDGET: Budget = Budget {
    starts: 6,
    evictions: 3,
};

impl Driver {
    /// Takes in what an owner told.
    pub(super) fn fact(&mut self, shard: &ShardId, fact: Fact) {
        let now = self.now();
        match fact {
            Fact::Queued { task } => self.queued(shard, &task, now),
            Fact::Started { task, worker, .. } => {
                let row = self.row(shard, &task).cloned();
                if let Some(Phase::Assigned { reserved, .. }) = row.map(|row| row.phase) {
                    self.homes.insert(task.clone(), shard.clone());
                    self.sched.assigned(&task, &worker, reserved, now);
                }
            }
            Fact::Requeued { task, cause } => {
                log::info!(task = task.as_str(), shard = shard.as_str(); "waits again: {cause}");
                let end = if cause == Cause::Failed {
                    End::Failed
                } else {
                    End::Stopped
                };
                self.sched.ended(&task, end, now);
                self.queued(shard, &task, now);
            }
            Fact::Ended { task, phase } => self.ended(shard, &task, &phase, now),
            Fact::Refused { task, why } => self.refused(shard, &task, why, now),
            Fact::Submitted { task, result } => self.answer(&task, &submitted(shard, result)),
            Fact::Cancelling { task } => self.answer(&task, &Reply::Done(shard.clone())),
            Fact::HandedOff { task, to } => self.handed_off(&task, &to),
            Fact::Reached { worker } | Fact::Freed { worker } => self.offer_worker(&worker, true),
            Fact::WorkerLapsed { worker } => {
                log::warn!(worker = worker.as_str(); "its last lease has lapsed");
                self.offer_worker(&worker, false);
            }
            Fact::Leaving { worker } => log::info!(worker = worker.as_str(); "is leaving"),
            Fact::Unreadable { key } => log::error!(key = key.as_str(); "a row cannot be read"),
        }
    }

    fn row(&self, shard: &ShardId, task: &TaskId) -> Option<&TaskRow> {
        self.running.get(shard)?.owner.task(task)
    }

    fn queued(&mut self, shard: &ShardId, task: &TaskId, now: Mono) {
        self.homes.insert(task.clone(), shard.clone());
        if let Some(planned) = self.planned.remove(task)
            && planned.shard == *shard
        {
            let Planned {
                worker, reserved, ..
            } = planned;
            let event = Event::Start {
                task: task.clone(),
                worker,
                reserved,
            };
            return self.drive(shard, event, now);
        }
        let Some(row) = self.row(shard, task) else {
            return;
        };
        let queued = queued_facts(row, now);
        self.sched.enqueue(queued);
    }

    /// Tells the scheduler of the tasks that an earlier owner of the shard has granted, so that their
    /// room is not given out again and counts for their teams.
    pub(super) fn adopt_granted(&mut self, shard: &ShardId, now: Mono) {
        let Some(running) = self.running.get(shard) else {
            return;
        };
        for row in running.owner.tasks() {
            if let Phase::Assigned { worker, reserved } = &row.phase {
                self.homes.insert(row.spec.task.clone(), shard.clone());
                self.sched.enqueue(queued_facts(row, now));
                self.sched.assigned(&row.spec.task, worker, *reserved, now);
            }
        }
    }

    fn ended(&mut self, shard: &ShardId, task: &TaskId, phase: &Phase, now: Mono) {
        match phase {
            Phase::Succeeded => self.sched.ended(task, End::Succeeded, now),
            Phase::Failed { reason } => {
                log::warn!(task = task.as_str(); "given up: {reason}");
                self.sched.ended(task, End::Failed, now);
            }
            _ => self.sched.cancelled(task),
        }
        self.homes.remove(task);
        self.planned.remove(task);
        self.answer(task, &Reply::Done(shard.clone()));
    }

    fn refused(&mut self, shard: &ShardId, task: &TaskId, why: Refusal, now: Mono) {
        self.planned.remove(task);
        self.sched.abandoned(task, now);
        if matches!(why, Refusal::ByTable | Refusal::UnknownTask) {
            // It may be the write of whoever asked, or another one on the same row; or the task has
            // been handed to another shard meanwhile.
            self.answer(task, &Reply::Unknown);
        }
        if why == Refusal::NoRoom {
            self.relist_shard(shard);
        }
    }

    fn handed_off(&mut self, task: &TaskId, to: &ShardId) {
        let planned = self.planned.contains_key(task);
        if !planned {
            self.sched.cancelled(task);
        }
        self.homes.remove(task);
        if self.running.contains_key(to) {
            self.read_tasks(to, false);
        } else {
            self.planned.remove(task);
            self.tell_owner(to);
        }
    }

    /// Takes the tasks off workers that are leaving, again and again until none is left: an eviction
    /// may be refused while the table is away or a write of the row is under way.
    pub(super) fn empty_leaving(&mut self, now: Mono) {
        let hosts = self.cx.hosts.borrow().clone();
        let leaving = hosts
            .workers
            .iter()
            .filter(|entry| entry.state == HostState::Leaving);
        for entry in leaving {
            let Some(running) = self.running.get(&entry.rack) else {
                continue;
            };
            let owner = &running.owner;
            let there = owner.tasks().filter(|row| row.worker() == Some(&entry.id));
            let settled = there.filter(|row| !owner.is_in_doubt(&row.spec.task));
            let tasks: Vec<TaskId> = settled.map(|row| row.spec.task.clone()).collect();
            for task in tasks {
                self.drive(&entry.rack, Event::Evict(task), now);
            }
        }
    }

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

    /// Lets the scheduler decide and carries its decisions to the owners.
    pub(super) fn decide(&mut self, now: Mono) {
        let budget = match self.store_reachable && !self.giving_back {
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
                    self.start(&task, worker, reserved, now);
                }
                Decision::Throttle { task, permille, .. } => {
                    self.drive_task(
                        &task,
                        Event::Throttle {
                            task: task.clone(),
                            permille,
                        },
                        now,
                    );
                }
                Decision::Evict { task, .. } => {
                    self.drive_task(&task, Event::Evict(task.clone()), now);
                }
                Decision::HandOff { task, to_shard, .. } => {
                    self.drive_task(
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

    /// Starts a task; one that waits at another shard than its worker's is moved there first.
    fn start(&mut self, task: &TaskId, worker: WorkerId, reserved: Size, now: Mono) {
        let Some(shard) = self.shard_of(&worker) else {
            return self.sched.abandoned(task, now);
        };
        if self.homes.get(task) == Some(&shard) {
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
        self.planned.insert(
            task.clone(),
            Planned {
                shard,
                worker,
                reserved,
            },
        );
        self.drive_task(task, event, now);
    }

    fn drive_task(&mut self, task: &TaskId, event: Event, now: Mono) {
        match self.homes.get(task).cloned() {
            Some(shard) => self.drive(&shard, event, now),
            None => self.sched.abandoned(task, now),
        }
    }

    fn shard_of(&self, worker: &WorkerId) -> Option<ShardId> {
        let hosts = self.cx.hosts.borrow();
        let entry = hosts.workers.iter().find(|entry| entry.id == *worker)?;
        Some(entry.rack.clone()).filter(|shard| self.running.contains_key(shard))
    }

    /// Tells the scheduler whether a worker takes tasks.
    fn offer_worker(&mut self, worker: &WorkerId, takes_tasks: bool) {
        let hosts = self.cx.hosts.borrow().clone();
        if let Some(entry) = hosts.workers.iter().find(|entry| entry.id == *worker) {
            self.sched.upsert_worker(WorkerFacts {
                id: entry.id.clone(),
                place: entry.place.clone(),
                rack: entry.rack.clone(),
                capacity: entry.capacity,
                leaving: entry.state == HostState::Leaving || !takes_tasks,
            });
        }
    }

    /// Tells the scheduler of the workers of a shard as its owner sees them now.
    fn relist_shard(&mut self, shard: &ShardId) {
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

    /// Puts the document in force into the scheduler.
    pub(super) fn set_document(&mut self) {
        let doc = self.cx.doc.borrow().clone();
        if let Some(doc) = doc {
            self.sched.set_document(&doc.document);
        }
    }

    /// Tells the other daemons of the room here and takes in what they tell.
    pub(super) fn exchange_summaries(&mut self, now: Mono) {
        let own = self.cx.settings.daemon.clone();
        let summary = self.sched.summary(&own);
        let mut view = self.cx.view();
        let crate::cx::View {
            members, gossip, ..
        } = &mut *view;
        let peers: Vec<PeerSummary> = gossip
            .summaries(members, now)
            .map(|(daemon, told)| peer_facts(daemon, told))
            .collect();
        gossip.update(&own, |told| {
            told.capacity = summary.capacity;
            told.shards = summary.shards.into_iter().map(room).collect();
            told.teams = summary
                .teams
                .into_iter()
                .map(|(team, used)| TeamUse { team, used })
                .collect();
        });
        drop(view);
        self.sched.set_peers(peers);
    }
}

/// Words what became of a submission.
pub(super) fn submitted(shard: &ShardId, result: Submission) -> Reply {
    match result {
        Submission::Accepted | Submission::Repeated => Reply::Done(shard.clone()),
        Submission::Conflict => Reply::Refused(result.to_string()),
        Submission::NotAccepted(why) => Reply::Refused(why.to_string()),
    }
}

fn queued_facts(row: &TaskRow, now: Mono) -> Queued {
    Queued {
        task: row.spec.task.clone(),
        team: row.spec.team.clone(),
        class: row.spec.class.clone(),
        priority: match row.spec.priority {
            Priority::Normal => sched::Priority::Normal,
            Priority::Urgent => sched::Priority::Urgent,
        },
        declared: row.spec.size,
        run_ms: row.spec.run_ms,
        checkpoint: row.checkpoint.clone(),
        progress_ms: 0,
        failures: row.failures,
        evictions: row.evictions,
        submitted_at: now,
    }
}

fn report_facts(report: &WorkerReport) -> ReportFacts {
    let running = report
        .runs
        .iter()
        .filter(|run| run.state == RunState::Running);
    let facts = |run: &RunReport| RunFacts {
        task: run.task.clone(),
        usage: run.usage,
        checkpoint: run.checkpoint.clone(),
        progress_ms: run.progress_ms,
        p99_us: run.p99_us,
        throttle_permille: run.throttle_permille,
    };
    ReportFacts {
        sequence: report.sequence,
        age_ms: report.age_ms,
        runs: running.map(facts).collect(),
    }
}

fn room(shard: PeerShard) -> ShardRoom {
    ShardRoom {
        shard: shard.shard,
        place: shard.place,
        largest: shard.largest,
        free: shard.free,
    }
}

fn peer_facts(daemon: &model::id::DaemonId, told: &peer::summary::Summary) -> PeerSummary {
    let shard = |room: &ShardRoom| PeerShard {
        shard: room.shard.clone(),
        place: room.place.clone(),
        largest: room.largest,
        free: room.free,
    };
    PeerSummary {
        daemon: daemon.clone(),
        teams: told
            .teams
            .iter()
            .map(|one| (one.team.clone(), one.used))
            .collect(),
        capacity: told.capacity,
        shards: told.shards.iter().map(shard).collect(),
    }
}
