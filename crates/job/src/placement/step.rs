//! Places the tasks of one step.

use std::sync::Arc;

use model::Mono;

use super::place_wait::PlaceSearch;
use super::pool::CandidatePool;
use super::room::Need;
use super::round::Demand;
use super::round::Round;
use super::score::is_bounded_by_spare_cpu;
use crate::fleet::ExecutorKey;
use crate::plan::Queue;
use crate::ranking::DeadlineOutlook;
use crate::ranking::Rank;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

/// What the tasks of a step share in the choice of their executors.
#[derive(Debug)]
struct SharedChoice {
    service: Arc<str>,
    /// What each task needs, or `None` if more than that limits the choice.
    demand: Option<Demand>,
    /// The executors with their suitability, once they have been assessed.
    pool: Option<CandidatePool>,
    /// The rack in which its tasks may wait for a place, if there is one.
    place: Option<PlaceSearch>,
}

impl SharedChoice {
    fn new(queue: &Queue, step: &StepSpec) -> Self {
        Self {
            service: queue.service.clone(),
            demand: Demand::new(queue, step),
            pool: None,
            place: None,
        }
    }
}

impl Scheduler {
    /// Assigns the waiting tasks of a step until one finds no executor. Returns how many it assigned.
    pub(super) fn place_step(
        &mut self,
        ready: ReadyStep,
        rank: &Rank,
        round: &mut Round,
        now: Mono,
    ) -> usize {
        let Some(job) = self.job(ready.job) else {
            return 0;
        };
        let spec = job.spec.clone();
        let step = &spec.steps[ready.step as usize];
        if step.gang {
            return self.place_gang(ready, step, rank, &round.room, now);
        }
        let Some(queue) = self.plan.queue(&job.queue) else {
            return 0;
        };
        let mut choice = SharedChoice::new(queue, step);
        if step.data_rack.is_some() && self.may_wait_for_place(queue, step, rank) {
            let (service, name) = (queue.service.clone(), queue.name.clone());
            choice.place = self.place_search(&service, &name, step, rank, now);
        }
        // A task with a reserved executor may start although those before it have none.
        let has_reserved_tasks = round.reserved_jobs.contains(&ready.job);
        let mut is_unmet = false;
        let mut placed = 0;
        for slot in ready.first_slot..ready.first_slot + step.count {
            let key = TaskKey {
                job: ready.job,
                slot,
            };
            if !self.may_start(key, now) || (is_unmet && !round.reserved.contains_key(&key)) {
                continue;
            }
            self.begin_wait(key, step, now);
            let Some(executor) = self.choose_executor(key, step, &mut choice, round, now) else {
                self.request_advice(ready, key, now);
                self.reserve_executor_for(key, step, rank.outlook, round, now);
                if self.is_isolated(key, step) {
                    continue;
                }
                if !has_reserved_tasks {
                    break;
                }
                is_unmet = true;
                continue;
            };
            if let Some(search) = &mut choice.place
                && self.waits_near_data(key, step, executor, search, round, now)
            {
                self.return_to_pool(executor, key, step, &mut choice, now);
                continue;
            }
            self.place_task(key, step, executor, rank, now);
            placed += 1;
            if placed >= rank.max_tasks() as usize {
                break;
            }
            self.return_to_pool(executor, key, step, &mut choice, now);
        }
        placed
    }

    /// Returns the executor for a task: the one reserved for it, or else the best one.
    fn choose_executor(
        &self,
        key: TaskKey,
        step: &StepSpec,
        choice: &mut SharedChoice,
        round: &mut Round,
        now: Mono,
    ) -> Option<ExecutorKey> {
        if let Some(demand) = &mut choice.demand {
            demand.wait = self.counted_wait(key, step, now);
        }
        let shared = choice.demand.as_ref();
        let Some(demand) = shared.filter(|_| self.is_interchangeable(key)) else {
            return self.best_executor(key, step, &round.room, None, now);
        };
        let wait = demand.wait;
        let assess =
            |executor| self.assess_after(wait, executor, &choice.service, (key, step), now);
        let reserved = round.reserved.get(&key).copied();
        if let Some(reserved) = reserved.filter(|executor| assess(*executor).is_some()) {
            return Some(reserved);
        }
        if round.is_unmet(demand) {
            return None;
        }
        let pool = choice.pool.get_or_insert_with(|| {
            if is_bounded_by_spare_cpu(step, wait) {
                let rooms = round.room.of_service(&self.fleet, &choice.service, now);
                CandidatePool::bounded(rooms, Need::new(step, wait), !step.best_effort, assess)
            } else {
                CandidatePool::new(self.candidates_with_room(key, step, &round.room, now))
            }
        });
        let best = pool.take_best(assess);
        if best.is_none() {
            round.add_unmet(demand.clone());
        }
        best
    }

    /// Assigns a task to an executor and records what that says of waits and kept executors.
    fn place_task(
        &mut self,
        key: TaskKey,
        step: &StepSpec,
        executor: ExecutorKey,
        rank: &Rank,
        now: Mono,
    ) {
        let relaxed = self.needs_relaxation(executor, step);
        self.assign(key, executor, now);
        if rank.outlook == DeadlineOutlook::InTime {
            self.record_short_work(executor, now);
        }
        self.record_relaxation(key, step, relaxed, now);
    }

    /// Adds an executor that was taken from the pool to it again, if it can take another task.
    fn return_to_pool(
        &self,
        executor: ExecutorKey,
        key: TaskKey,
        step: &StepSpec,
        choice: &mut SharedChoice,
        now: Mono,
    ) {
        if let Some(pool) = &mut choice.pool
            && let Some(preference) = self.assess(executor, &choice.service, key, step, now)
        {
            pool.add(executor, preference);
        }
    }
}
