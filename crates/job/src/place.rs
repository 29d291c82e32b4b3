//! Which waiting tasks start now, and where.

use model::Mono;

use crate::book::Book;
use crate::book::Job;
use crate::book::ReadyStep;
use crate::book::TaskKey;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::order::Rank;
use crate::order::rank;
use crate::spec::StepSpec;
use crate::task::Phase;

/// The part of its reserved processors that a task that serves uses, in percent, as long as nothing
/// is known of it.
const SERVING_LOAD_PERCENT: u64 = 50;
/// The most tasks that one round assigns, so that a round stays short.
const MOST_A_ROUND: usize = 200;

impl Book {
    /// Assigns waiting tasks to executors, best first. Returns how many were assigned.
    pub fn place(&mut self, now: Mono, unix_ms: u64) -> usize {
        let mut steps: Vec<(Rank, ReadyStep)> = self
            .ready_steps(unix_ms)
            .into_iter()
            .filter_map(|ready| Some((rank(self, self.job(ready.job)?, ready, now), ready)))
            .collect();
        steps.sort_by_key(|(rank, ready)| (*rank, ready.first_slot));
        let mut placed = 0;
        for (_, ready) in steps {
            placed += self.place_step(ready, now);
            if placed >= MOST_A_ROUND {
                break;
            }
        }
        placed
    }

    fn place_step(&mut self, ready: ReadyStep, now: Mono) -> usize {
        let Some(job) = self.job(ready.job) else {
            return 0;
        };
        let spec = job.spec.clone();
        let step = &spec.steps[ready.step as usize];
        if step.gang {
            return self.place_gang(ready, step, now);
        }
        let mut placed = 0;
        for slot in ready.first_slot..ready.first_slot + step.count {
            let key = TaskKey {
                job: ready.job,
                slot,
            };
            if !self.may_start(key, now) {
                continue;
            }
            let Some(executor) = self.best_executor(key, step, now) else {
                break;
            };
            let percent = self
                .fleet
                .get(executor)
                .map_or(100, |executor| executor.pacing.percent);
            self.assign(key, executor, if step.fills { percent } else { 100 }, now);
            placed += 1;
        }
        placed
    }

    fn place_gang(&mut self, ready: ReadyStep, step: &StepSpec, now: Mono) -> usize {
        let keys: Vec<TaskKey> = (ready.first_slot..ready.first_slot + step.count)
            .map(|slot| TaskKey {
                job: ready.job,
                slot,
            })
            .collect();
        if keys.iter().any(|key| !self.may_start(*key, now)) {
            return 0;
        }
        let mut places = Vec::new();
        for key in &keys {
            let Some(executor) = self.best_executor(*key, step, now) else {
                break;
            };
            self.reserve(*key, executor);
            places.push((*key, executor));
        }
        for (key, executor) in &places {
            self.unreserve(*key, *executor);
        }
        if places.len() < keys.len() {
            return 0;
        }
        self.assign_gang(&places, now);
        places.len()
    }

    fn may_start(&self, key: TaskKey, now: Mono) -> bool {
        self.task(key)
            .is_some_and(|task| task.phase == Phase::Waiting && now >= task.not_before)
    }

    fn best_executor(&self, key: TaskKey, step: &StepSpec, now: Mono) -> Option<ExecutorKey> {
        let job = self.job(key.job)?;
        let service = &self.plan.queue(&job.queue)?.service;
        let failed_on = self.task(key)?.failed_on;
        self.fleet
            .iter()
            .filter(|(_, executor)| executor.listing.service == *service)
            .filter(|(_, executor)| executor.takes_tasks(now))
            .filter(|(at, executor)| self.can_take(*at, executor, job, key, step))
            .max_by_key(|(at, executor)| {
                (
                    Some(*at) != failed_on,
                    near_data(executor, step),
                    score(executor, step),
                )
            })
            .map(|(at, _)| at)
    }

    fn can_take(
        &self,
        at: ExecutorKey,
        executor: &Executor,
        job: &Job,
        key: TaskKey,
        step: &StepSpec,
    ) -> bool {
        step.counted().fits(&executor.free())
            && step
                .label
                .as_ref()
                .is_none_or(|label| executor.has_label(label))
            && (!step.fills || has_spare(executor, step))
            && (step.most_per_executor == 0
                || self.same_step_on(at, job, key) < step.most_per_executor)
    }

    /// Returns how many tasks of the same step and occurrence are on an executor.
    fn same_step_on(&self, at: ExecutorKey, job: &Job, key: TaskKey) -> u32 {
        let Some(place) = job.locate(key.slot) else {
            return 0;
        };
        let Some(executor) = self.fleet.get(at) else {
            return 0;
        };
        let alike = executor
            .tasks
            .iter()
            .filter(|other| other.job == key.job)
            .filter_map(|other| job.locate(other.slot))
            .filter(|other| (other.0, other.1) == (place.0, place.1))
            .count();
        u32::try_from(alike).unwrap_or(u32::MAX)
    }
}

fn near_data(executor: &Executor, step: &StepSpec) -> bool {
    step.data_rack
        .as_ref()
        .is_none_or(|rack| executor.has_label(rack))
}

/// Returns the processors in thousandths that tasks which fill can have beside the others.
fn spare_cpu(executor: &Executor) -> u64 {
    let serving = executor.lasting_cpu * SERVING_LOAD_PERCENT / 100;
    let left = executor
        .listing
        .capacity
        .cpu_millis
        .saturating_sub(executor.wanted_cpu + serving);
    (left * u64::from(executor.pacing.percent) / 100).saturating_sub(executor.filling_cpu)
}

fn has_spare(executor: &Executor, step: &StepSpec) -> bool {
    spare_cpu(executor) >= step.size.cpu_millis
}

/// Returns how well a task fits; larger is better. Tasks are spread by the processors that are left.
fn score(executor: &Executor, step: &StepSpec) -> u64 {
    if step.fills {
        spare_cpu(executor)
    } else {
        executor.free().cpu_millis.min(spare_cpu(executor))
    }
}
