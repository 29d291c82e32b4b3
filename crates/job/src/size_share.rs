//! Shares what is short between jobs of different sizes.
//!
//! Smaller jobs go first because more of them are then in time. With nothing else, the largest jobs
//! bear all of what is short, whatever it is. While steps wait that found no room or no budget in
//! the latest round, the steps of an outlook and a priority are therefore divided into classes by
//! the size of their job among the recent jobs of its queue. The classes take turns by stride
//! scheduling: what is placed of a job advances the pass of its class, and the class with the least
//! pass comes next. Within a class jobs that have begun go first, and smaller ones before larger
//! ones. The classes are defined by quantiles, so that their rates of arrival are known. See "Order"
//! in `docs/JOBS.md`.

use std::collections::VecDeque;
use std::sync::Arc;

use model::Map;
use model::Mono;

use crate::ranking::DeadlineOutlook;
use crate::ranking::Rank;
use crate::scheduler::Job;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::JobSpec;

/// The number of classes.
const CLASSES: usize = 3;
/// The part of a queue's jobs that is smaller than those of the second class, and of the third, in
/// percent.
const QUANTILES: [u64; CLASSES - 1] = [70, 90];
/// The rate at which jobs of each class are begun, if all classes are short, in percent of the rate
/// for the smallest. The users ask that larger jobs are served at half of the rate of all; fewer of
/// those that are begun end in time, because they need room for longer. Each percent more for them
/// costs several small jobs.
const RATES: [u64; CLASSES] = [100, 90, 95];
/// By how much a whole job of each class advances the pass of its class: the inverse of the class's
/// part of the arrivals and of its rate.
const STRIDES: [u64; CLASSES] = [
    stride(QUANTILES[0], RATES[0]),
    stride(QUANTILES[1] - QUANTILES[0], RATES[1]),
    stride(100 - QUANTILES[1], RATES[2]),
];
/// By how much a pass is behind the furthest one at most: a class that had nothing to place, or found
/// no room, does not take everything once it has.
const MAX_CREDIT: u64 = 2 * STRIDES[CLASSES - 1];
/// The number of recent jobs of a queue whose sizes are known.
const RECENT_JOBS: usize = 128;
/// With fewer jobs, all count as small.
const MIN_JOBS: usize = 10;
/// The quantiles are updated after this many jobs.
const UPDATE_INTERVAL: usize = 8;

const fn stride(arrivals_percent: u64, rate_percent: u64) -> u64 {
    100_000_000 * 100 / (arrivals_percent * rate_percent)
}

/// The passes of the classes by priority, and the sizes of recent jobs by queue.
#[derive(Clone, Debug)]
pub(crate) struct SizeShare {
    /// Only queues that have jobs.
    queues: Map<Arc<str>, RecentSizes>,
    /// Empty while no queue has jobs.
    passes: Map<u32, [u64; CLASSES]>,
    /// Whether steps that are shared found no room or no budget in the latest round. An owner begins
    /// with shares, because it does not know what its predecessor left.
    is_short: bool,
}

impl Default for SizeShare {
    fn default() -> Self {
        Self {
            queues: Map::default(),
            passes: Map::default(),
            is_short: true,
        }
    }
}

/// The work of the recent jobs of a queue.
#[derive(Clone, Debug, Default)]
struct RecentSizes {
    /// The number of jobs that are known at present.
    jobs: usize,
    works: VecDeque<u64>,
    since_update: usize,
    /// The largest work of each class but the last; `None` while too few jobs are known.
    limits: Option<[u64; CLASSES - 1]>,
}

impl RecentSizes {
    fn add(&mut self, work: u64) {
        self.jobs += 1;
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
        self.limits = Some(QUANTILES.map(|percent| quantile(&works, percent)));
    }

    fn class(&self, work: u64) -> usize {
        let limits = self.limits.iter().flatten();
        limits.filter(|limit| work > **limit).count()
    }
}

/// Returns the largest of the smallest `percent` of sorted numbers, of which there are some.
fn quantile(sorted: &[u64], percent: u64) -> u64 {
    let smaller = sorted.len() * usize::try_from(percent).unwrap_or(0) / 100;
    sorted[smaller.saturating_sub(1)]
}

impl SizeShare {
    /// Records the work of a job that arrived.
    pub(crate) fn add_job(&mut self, queue: &Arc<str>, spec: &JobSpec, work: u64) {
        if !has_size(spec) {
            return;
        }
        match self.queues.get_mut(queue) {
            Some(sizes) => sizes.add(work),
            None => {
                let mut sizes = RecentSizes::default();
                sizes.add(work);
                self.queues.insert(queue.clone(), sizes);
            }
        }
    }

    /// Drops what is known of a queue with its last job.
    pub(crate) fn remove_job(&mut self, queue: &Arc<str>, spec: &JobSpec) {
        let Some(sizes) = self.queues.get_mut(queue).filter(|_| has_size(spec)) else {
            return;
        };
        sizes.jobs = sizes.jobs.saturating_sub(1);
        if sizes.jobs == 0 {
            self.queues.remove(queue);
        }
        if self.queues.is_empty() {
            self.passes.clear();
        }
    }

    fn class(&self, job: &Job) -> usize {
        self.class_of(&job.queue, job.work)
    }

    /// Returns the class of a job of this queue with this work.
    pub(crate) fn class_of(&self, queue: &Arc<str>, work: u64) -> usize {
        let sizes = self.queues.get(queue);
        sizes.map_or(0, |sizes| sizes.class(work))
    }

    /// Returns the largest work of each class of a queue but the last; empty while too few jobs are
    /// known.
    pub(crate) fn class_limits(&self, queue: &Arc<str>) -> Vec<u64> {
        let limits = self.queues.get(queue).and_then(|sizes| sizes.limits);
        limits.map_or_else(Vec::new, Vec::from)
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

/// A step that waits for the turn of its class.
#[derive(Clone, Copy, Debug)]
struct SharedStep {
    step: (Rank, ReadyStep),
    /// By how much it advances the pass of the class.
    charge: u64,
}

/// Returns whether a job belongs to a class. The work of one that lasts says nothing.
fn has_size(spec: &JobSpec) -> bool {
    !spec.steps.iter().any(|step| step.long_running)
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

    /// Returns whether a step that is shared still waits after its turn in a round.
    pub(crate) fn is_short_of(&self, ready: ReadyStep, rank: &Rank, now: Mono) -> bool {
        let Some(job) = self.job(ready.job).filter(|_| is_shared(rank.outlook)) else {
            return false;
        };
        let count = job.spec.steps[ready.step as usize].count;
        let slots = ready.first_slot..ready.first_slot + count;
        let mut keys = slots.map(|slot| TaskKey {
            job: ready.job,
            slot,
        });
        keys.any(|key| self.may_start(key, now) && self.locality.wait_of(key).is_none())
    }

    /// Records whether steps that are shared found no room or no budget in a round.
    pub(crate) const fn set_short(&mut self, is_short: bool) {
        self.size_share.is_short = is_short;
    }

    /// Puts the steps in the order in which their size classes take turns. They are in order
    /// otherwise.
    pub(crate) fn share_by_size(&self, steps: Vec<(Rank, ReadyStep)>) -> Vec<(Rank, ReadyStep)> {
        if !self.size_share.is_short {
            return steps;
        }
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
        // What has begun goes on first, because a job that has not ended is worth nothing.
        let mut classes: [[VecDeque<SharedStep>; 2]; CLASSES] = Default::default();
        for (rank, ready) in run {
            let Some(job) = self.job(ready.job) else {
                continue;
            };
            let class = self.size_share.class(job);
            let count = job.spec.steps[ready.step as usize].count.min(job.waiting());
            classes[class][usize::from(!job.has_begun())].push_back(SharedStep {
                step: (*rank, *ready),
                charge: charge(job, *ready, class, count),
            });
        }
        let mut classes = classes.map(|[mut begun, mut others]| {
            begun.append(&mut others);
            begun
        });
        for _ in 0..run.len() {
            let waiting = (0..CLASSES).filter(|class| !classes[*class].is_empty());
            let Some(next) = waiting.min_by_key(|class| passes[*class]) else {
                return;
            };
            if let Some(next_step) = classes[next].pop_front() {
                passes[next] = passes[next].saturating_add(next_step.charge);
                shared.push(next_step.step);
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
