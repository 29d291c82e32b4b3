//! Shares what is short between jobs of different sizes.
//!
//! Smaller jobs go first because more of them are then in time. With nothing else, the largest jobs
//! bear all of what is short, whatever it is. Within an outlook and a priority, the steps are
//! therefore divided into classes by the size of their job among the recent jobs of its queue. The
//! classes take turns by stride scheduling: what is placed of a job advances the pass of its class,
//! and the class with the least pass comes next. Within a class smaller jobs go first. The classes
//! are defined by quantiles, so that their rates of arrival are known. See "Order" in
//! `docs/JOBS.md`.

use std::collections::VecDeque;
use std::sync::Arc;

use model::Map;

use crate::ranking::DeadlineOutlook;
use crate::ranking::Rank;
use crate::scheduler::Job;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;

/// The number of classes.
const CLASSES: usize = 3;
/// The part of a queue's jobs that is smaller than those of the second class, and of the third, in
/// percent.
const QUANTILES: [usize; CLASSES - 1] = [70, 90];
/// By how much a whole job of each class advances the pass of its class: the inverse of the class's
/// part of the arrivals, so that classes that are all short are served at the same rate.
const STRIDES: [u64; CLASSES] = [100_000_000 / 70, 100_000_000 / 20, 100_000_000 / 10];
/// By how much a pass is behind the furthest one at most: a class that had nothing to place, or found
/// no room, does not take everything once it has.
const MAX_CREDIT: u64 = 2 * STRIDES[CLASSES - 1];
/// The number of recent jobs of a queue whose sizes are known.
const RECENT_JOBS: usize = 128;
/// With fewer jobs, all count as small.
const MIN_JOBS: usize = 10;
/// The quantiles are updated after this many jobs.
const UPDATE_INTERVAL: usize = 8;

/// The passes of the classes by priority, and the sizes of recent jobs by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct SizeShare {
    queues: Map<Arc<str>, RecentSizes>,
    passes: Map<u32, [u64; CLASSES]>,
}

/// The work of the recent jobs of a queue.
#[derive(Clone, Debug, Default)]
struct RecentSizes {
    works: VecDeque<u64>,
    since_update: usize,
    /// The largest work of each class but the last; `None` while too few jobs are known.
    limits: Option<[u64; CLASSES - 1]>,
}

impl RecentSizes {
    fn add(&mut self, work: u64) {
        if self.works.len() == RECENT_JOBS {
            self.works.pop_front();
        }
        self.works.push_back(work);
        self.since_update += 1;
        if self.works.len() < MIN_JOBS
            || (self.limits.is_some() && self.since_update < UPDATE_INTERVAL)
        {
            return;
        }
        self.since_update = 0;
        let mut works: Vec<u64> = self.works.iter().copied().collect();
        works.sort_unstable();
        self.limits = Some(QUANTILES.map(|percent| works[(works.len() * percent / 100) - 1]));
    }

    fn class(&self, work: u64) -> usize {
        let limits = self.limits.iter().flatten();
        limits.filter(|limit| work > **limit).count()
    }
}

impl SizeShare {
    /// Records the work of a job that arrived.
    pub(crate) fn add_job(&mut self, queue: &Arc<str>, work: u64) {
        match self.queues.get_mut(queue) {
            Some(sizes) => sizes.add(work),
            None => {
                let mut sizes = RecentSizes::default();
                sizes.add(work);
                self.queues.insert(queue.clone(), sizes);
            }
        }
    }

    fn class(&self, job: &Job) -> usize {
        let sizes = self.queues.get(&job.queue);
        sizes.map_or(0, |sizes| sizes.class(job.work))
    }

    fn charge(&mut self, priority: u32, class: usize, charge: u64) {
        let passes = self.passes.entry(priority).or_default();
        passes[class] = passes[class].saturating_add(charge);
        let least = passes
            .iter()
            .max()
            .map_or(0, |most| most.saturating_sub(MAX_CREDIT));
        for pass in passes {
            *pass = (*pass).max(least);
        }
    }
}

/// Returns whether steps of an outlook are placed in turns of size classes.
const fn is_shared(outlook: DeadlineOutlook) -> bool {
    matches!(
        outlook,
        DeadlineOutlook::InTime | DeadlineOutlook::InTimeBestEffort | DeadlineOutlook::Late
    )
}

impl Scheduler {
    /// Records that tasks of a step have been placed.
    pub(crate) fn charge_size_class(&mut self, ready: ReadyStep, rank: &Rank, tasks: usize) {
        if !is_shared(rank.outlook) || tasks == 0 {
            return;
        }
        let Some(job) = self.job(ready.job) else {
            return;
        };
        let class = self.size_share.class(job);
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        let charge = charge(job, ready, class, tasks);
        self.size_share.charge(rank.priority, class, charge);
    }

    /// Puts the steps in the order in which their size classes take turns. They are in order
    /// otherwise.
    pub(crate) fn share_by_size(&self, steps: Vec<(Rank, ReadyStep)>) -> Vec<(Rank, ReadyStep)> {
        let mut shared = Vec::with_capacity(steps.len());
        for run in steps.chunk_by(|(one, _), (other, _)| {
            one.outlook == other.outlook && one.priority == other.priority
        }) {
            match run {
                [(rank, _), _, ..] if is_shared(rank.outlook) => self.interleave(run, &mut shared),
                _ => shared.extend_from_slice(run),
            }
        }
        shared
    }

    fn interleave(&self, run: &[(Rank, ReadyStep)], shared: &mut Vec<(Rank, ReadyStep)>) {
        let priority = run[0].0.priority;
        let mut passes = self.size_share.passes.get(&priority).copied();
        let passes = passes.get_or_insert_default();
        let mut classes: [VecDeque<((Rank, ReadyStep), u64)>; CLASSES] = Default::default();
        for (rank, ready) in run {
            let Some(job) = self.job(ready.job) else {
                continue;
            };
            let class = self.size_share.class(job);
            let count = job.spec.steps[ready.step as usize].count.min(job.waiting());
            classes[class].push_back(((*rank, *ready), charge(job, *ready, class, count)));
        }
        // What has begun goes on first, because a job that has not ended is worth nothing.
        for class in &mut classes {
            class
                .make_contiguous()
                .sort_by_key(|((_, ready), _)| !self.job(ready.job).is_some_and(Job::has_begun));
        }
        for _ in 0..run.len() {
            let waiting = (0..CLASSES).filter(|class| !classes[*class].is_empty());
            let Some(next) = waiting.min_by_key(|class| passes[*class]) else {
                return;
            };
            if let Some((step, charge)) = classes[next].pop_front() {
                passes[next] = passes[next].saturating_add(charge);
                shared.push(step);
            }
        }
    }
}

/// Returns by how much tasks of a step advance the pass of their job's class: by the part of the
/// class's stride that they are of the job's work.
fn charge(job: &Job, ready: ReadyStep, class: usize, tasks: u32) -> u64 {
    let step = &job.spec.steps[ready.step as usize];
    let work = u128::from(tasks)
        .saturating_mul(u128::from(step.size.cpu_millis))
        .saturating_mul(u128::from(step.estimate_ms))
        .min(u128::from(job.work));
    let charge = u128::from(STRIDES[class]).saturating_mul(work) / u128::from(job.work.max(1));
    u64::try_from(charge).map_or(STRIDES[class], |charge| charge.min(STRIDES[class]))
}
