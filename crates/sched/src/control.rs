//! Keeps services to their targets by throttling batch, and by evicting it where that is not enough.
//!
//! Reports lag. Nothing is done on a worker twice before a report whose figures are all from after
//! the first action, and nothing on a single report unless it is far off. See `docs/POLICY.md`.

use std::time::Duration;

use model::Mono;

use crate::book::Book;
use crate::decision::Decision;
use crate::decision::Why;
use crate::interfere::Seat;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::room;
use crate::sched::Sched;
use crate::task::FULL_PERMILLE;
use crate::view;

/// How long an action takes to have its effect on a worker.
pub(crate) const SETTLE: Duration = Duration::from_secs(1);
/// How far a service may be over its limit before something is done.
const HOT: f64 = 1.12;
/// How far it has to be over its limit for one report to be enough.
const VERY_HOT: f64 = 1.3;
/// The part of the limit below which throttled tasks are given back processor time.
const CALM: f64 = 0.98;
/// The part of the limit that is aimed at.
const AIM: f64 = 1.04;
/// How many fresh reports are averaged before throttles are lifted.
const CALM_REPORTS: u32 = 2;
/// The lowest cap; below it a task holds its memory for nearly nothing.
const FLOOR_PERMILLE: u16 = 150;
/// Changes of a cap smaller than this are not worth a message.
const MIN_CHANGE_PERMILLE: u16 = 60;
/// How far processor time may be given back at once, as a factor.
const MAX_LIFT: f64 = 2.5;
/// How many fresh reports at the lowest caps are needed before a task is evicted.
const EVICT_REPORTS: u32 = 8;
/// The part of a worker's memory above which its tasks use too much, in percent.
const MEMORY_PRESSURE_PERCENT: u64 = 95;

/// The worst service on a worker.
#[derive(Clone, Copy, Debug)]
struct Worst {
    seat: Seat,
    /// The measured p99 over the limit.
    ratio: f64,
}

/// A batch task that can be throttled.
#[derive(Clone, Copy, Debug)]
struct Throttled {
    task: TaskKey,
    sensitivity: f64,
    permille: u16,
    wanted: u16,
}

impl Sched {
    /// Returns whether figures of `figures_at` show what the last action on a worker did.
    pub(crate) fn shows_effect(book: &Book, key: WorkerKey, figures_at: Mono) -> bool {
        let acted_at = book.workers[key].meter.acted_at;
        acted_at.is_none_or(|acted_at| figures_at >= acted_at.after(SETTLE))
    }

    /// Counts a fresh report as one with or without a service above its limit.
    pub(crate) fn count_report(&mut self, key: WorkerKey, now: Mono) {
        let worst = self.worst(key, now);
        let limit = self.policy.limit;
        let meter = &mut self.book.workers[key].meter;
        meter.fresh += 1;
        meter.pending = true;
        match worst {
            Some(worst) if worst.ratio > HOT * limit => meter.hot += 1,
            _ => meter.hot = 0,
        }
        if worst.is_some_and(|worst| worst.ratio > VERY_HOT * limit) {
            meter.hot = meter.hot.max(2);
        }
    }

    /// Acts on the workers that have a fresh report.
    pub(crate) fn control(&mut self, now: Mono, evictions: &mut usize, out: &mut Vec<Decision>) {
        for key in std::mem::take(&mut self.reported) {
            let Some(worker) = self.book.workers.get_mut(key) else {
                continue;
            };
            if !std::mem::take(&mut worker.meter.pending) {
                continue;
            }
            if self.relieve_memory(key, now, evictions, out) {
                continue;
            }
            let Some(worst) = self.worst(key, now) else {
                continue;
            };
            let meter = &self.book.workers[key].meter;
            let (hot, fresh) = (meter.hot, meter.fresh);
            if hot >= 2 {
                self.relieve(key, &worst, now, evictions, out);
            } else if fresh >= CALM_REPORTS && worst.ratio < CALM * self.policy.limit {
                self.lift(key, &worst, now, out);
            }
        }
    }

    fn worst(&self, key: WorkerKey, now: Mono) -> Option<Worst> {
        let seats = view::seats(&self.book, key, 0.0, now);
        let with_ratio = seats.into_iter().filter_map(|(task, seat)| {
            let ratio = self.book.tasks[task].run()?.ratio?;
            Some(Worst { seat, ratio })
        });
        with_ratio.max_by(|left, right| left.ratio.total_cmp(&right.ratio))
    }

    /// Evicts where tasks use nearly all memory that there is.
    fn relieve_memory(
        &mut self,
        key: WorkerKey,
        now: Mono,
        evictions: &mut usize,
        out: &mut Vec<Decision>,
    ) -> bool {
        let worker = &self.book.workers[key];
        let used: u64 = worker.tasks.iter().map(|task| self.memory_of(*task)).sum();
        let most = worker.capacity.memory_mib * MEMORY_PRESSURE_PERCENT / 100;
        if !worker.listed || used <= most || *evictions == 0 {
            return false;
        }
        let Some(task) = self.cheapest_victim(key) else {
            return false;
        };
        *evictions -= 1;
        self.evict(task, Why::Pressure, out);
        self.book.workers[key].meter.acted(now);
        true
    }

    fn memory_of(&self, task: TaskKey) -> u64 {
        let run = self.book.tasks[task].run();
        run.and_then(|run| run.usage)
            .map_or(0, |usage| usage.memory_mib)
    }

    fn cheapest_victim(&self, key: WorkerKey) -> Option<TaskKey> {
        let tasks = self.batch_on(key).into_iter();
        let cost = |task: &TaskKey| room::eviction_cost(&self.book.tasks[*task]);
        tasks.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }

    /// Returns the batch tasks on a worker that are not being evicted already.
    fn batch_on(&self, key: WorkerKey) -> Vec<TaskKey> {
        let tasks = self.book.workers[key].tasks.iter().copied();
        let staying = tasks.filter(|task| {
            let task = &self.book.tasks[*task];
            let evicting = task.run().is_none_or(|run| run.evicting);
            !evicting && !self.book.classes[task.class].is_service()
        });
        staying.collect()
    }

    /// Throttles so that the worst service is predicted to come below its limit; evicts where all
    /// that contributes is throttled as far as it goes.
    fn relieve(
        &mut self,
        key: WorkerKey,
        worst: &Worst,
        now: Mono,
        evictions: &mut usize,
        out: &mut Vec<Decision>,
    ) {
        let throttled = if self.cfg.throttling {
            self.retarget(key, worst, false)
        } else {
            Vec::new()
        };
        if self.throttle(&throttled, worst, true, out) {
            self.book.workers[key].meter.acted(now);
            return;
        }
        let meter = &self.book.workers[key].meter;
        let patient = self.cfg.throttling && meter.hot < EVICT_REPORTS;
        let excess = worst.ratio - self.policy.limit;
        if *evictions == 0 || patient || excess < self.policy.evict_excess {
            return;
        }
        if let Some(task) = self.most_relief(key, worst) {
            *evictions -= 1;
            let why = Why::Interference {
                ratio_permille: permille_of(worst.ratio),
            };
            self.evict(task, why, out);
            self.book.workers[key].meter.acted(now);
        }
    }

    /// Gives processor time back as far as the prediction allows.
    fn lift(&mut self, key: WorkerKey, worst: &Worst, now: Mono, out: &mut Vec<Decision>) {
        let throttled = self.retarget(key, worst, true);
        if self.throttle(&throttled, worst, false, out) {
            self.book.workers[key].meter.acted(now);
        }
    }

    /// Chooses the caps under which the worst service is predicted to reach the aim and the most
    /// batch work is done: those tasks are throttled first that lengthen the tail most for each unit
    /// of processor time.
    ///
    /// The prediction starts from what was measured and uses the learned pairs for differences only.
    fn retarget(&self, key: WorkerKey, worst: &Worst, lifting: bool) -> Vec<Throttled> {
        let capacity = self.book.workers[key].capacity;
        let mut tasks: Vec<Throttled> = self
            .batch_on(key)
            .into_iter()
            .filter_map(|task| self.throttled(task, worst, lifting))
            .collect();
        tasks.sort_by(|left, right| right.sensitivity.total_cmp(&left.sensitivity));
        let part = |task: TaskKey, permille: u16| {
            let run = self.book.tasks[task].run();
            view::part(run.map_or(0.0, |run| run.cpu_at(permille)), &capacity)
        };
        let mut log = (worst.ratio / (AIM * self.policy.limit)).ln();
        for task in &tasks {
            let change = part(task.task, task.wanted) - part(task.task, task.permille);
            log += task.sensitivity * change;
        }
        for task in &mut tasks {
            if log <= 0.0 || task.sensitivity <= 0.0 {
                break;
            }
            let now = part(task.task, task.wanted);
            let least = part(task.task, FLOOR_PERMILLE.min(task.wanted));
            let wanted = (now - log / task.sensitivity).max(least);
            log -= task.sensitivity * (now - wanted);
            task.wanted = self.permille_for(task.task, wanted, key);
        }
        tasks
    }

    fn throttled(&self, key: TaskKey, worst: &Worst, lifting: bool) -> Option<Throttled> {
        let task = &self.book.tasks[key];
        let permille = task.run()?.permille;
        let most = (f64::from(permille) * MAX_LIFT) as u16;
        let wanted = if lifting {
            most.min(FULL_PERMILLE)
        } else {
            permille
        };
        let sensitivity = self.interference.sensitivity(&worst.seat, task.class, 0.0);
        Some(Throttled {
            task: key,
            sensitivity,
            permille,
            wanted,
        })
    }

    fn permille_for(&self, task: TaskKey, part: f64, key: WorkerKey) -> u16 {
        let Some(run) = self.book.tasks[task].run() else {
            return FULL_PERMILLE;
        };
        let cpu = part * self.book.workers[key].capacity.cpu_millis as f64;
        let permille = cpu / run.reserved.cpu_millis.max(1) as f64 * 1000.0;
        (permille as u16).clamp(FLOOR_PERMILLE, FULL_PERMILLE)
    }

    fn throttle(
        &mut self,
        throttled: &[Throttled],
        worst: &Worst,
        tighten: bool,
        out: &mut Vec<Decision>,
    ) -> bool {
        let ratio_permille = permille_of(worst.ratio);
        let why = if tighten {
            Why::Interference { ratio_permille }
        } else {
            Why::Relief { ratio_permille }
        };
        let mut acted = false;
        for change in throttled {
            let to_full = change.wanted == FULL_PERMILLE && change.permille != FULL_PERMILLE;
            let small = change.wanted.abs_diff(change.permille) < MIN_CHANGE_PERMILLE;
            if small && !to_full {
                continue;
            }
            let task = &mut self.book.tasks[change.task];
            let id = task.id.clone();
            if let Some(run) = task.run_mut() {
                run.permille = change.wanted;
                run.unthrottled_since = (change.wanted >= FULL_PERMILLE).then_some(self.now);
                acted = true;
                out.push(Decision::Throttle {
                    task: id,
                    permille: change.wanted,
                    why,
                });
            }
        }
        acted
    }

    /// Returns the batch task whose end relieves the worst service most for what it costs.
    fn most_relief(&self, key: WorkerKey, worst: &Worst) -> Option<TaskKey> {
        let gain = |task: &TaskKey| {
            let task = &self.book.tasks[*task];
            let sensitivity = self.interference.sensitivity(&worst.seat, task.class, 0.0);
            let cpu = task.run().map_or(0.0, |run| run.cpu());
            sensitivity * cpu / room::eviction_cost(task)
        };
        let tasks = self.batch_on(key).into_iter();
        let worthwhile = tasks.filter(|task| gain(task) > 0.0);
        worthwhile.max_by(|left, right| gain(left).total_cmp(&gain(right)))
    }
}

fn permille_of(ratio: f64) -> u64 {
    (ratio * 1000.0) as u64
}
