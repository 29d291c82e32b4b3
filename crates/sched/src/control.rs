//! Keeps services within their latency targets: throttles batch tasks first and evicts them if
//! throttling is not enough.
//!
//! Reports are delayed. The controller does not act on a worker again until a report covers only
//! time after its last action took effect, and it does not act on a single report unless the target
//! is missed by far. See `docs/POLICY.md`.

use std::time::Duration;

use model::Mono;

use crate::cluster::Cluster;
use crate::decision::Decision;
use crate::decision::Reason;
use crate::interference::ServiceLoad;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::preemption;
use crate::sched::Sched;
use crate::task::FULL_PERMILLE;
use crate::worker_load;

/// How long an action takes to show its effect on a worker.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(1);
/// The multiple of the limit above which a report counts as a violation.
const VIOLATION_FACTOR: f64 = 1.12;
/// The multiple of the limit above which a single report is enough to act.
const SEVERE_VIOLATION_FACTOR: f64 = 1.3;
/// The multiple of the limit below which throttles are relaxed.
const RELAX_FACTOR: f64 = 0.98;
/// The multiple of the limit that the caps are planned for.
const TARGET_FACTOR: f64 = 1.04;
/// How many fresh reports are averaged before throttles are relaxed.
const RELAX_REPORTS: u32 = 2;
/// The lowest cap; below it a task occupies its memory and makes hardly any progress.
const MIN_CAP_PERMILLE: u16 = 150;
/// The smallest change of a cap that is worth a message to the worker.
const MIN_CAP_CHANGE_PERMILLE: u16 = 60;
/// The maximum factor by which a cap is raised in one step.
const MAX_CAP_INCREASE: f64 = 2.5;
/// How many fresh reports in a row must show a violation, with caps at their lowest, before a task
/// is evicted.
const EVICT_REPORTS: u32 = 8;
/// The percentage of a worker's memory above which its tasks use too much.
const MEMORY_PRESSURE_PERCENT: u64 = 95;

/// The service on a worker with the highest p99 relative to its target.
#[derive(Clone, Copy, Debug)]
struct WorstService {
    service: ServiceLoad,
    /// The measured p99 divided by the target.
    ratio: f64,
}

/// The planned change of a batch task's cap.
#[derive(Clone, Copy, Debug)]
struct CapChange {
    task: TaskKey,
    sensitivity: f64,
    current_permille: u16,
    new_permille: u16,
}

impl Sched {
    /// Returns whether figures measured at `measured_at` show the effect of the last action on a
    /// worker.
    pub(crate) fn shows_effect(cluster: &Cluster, key: WorkerKey, measured_at: Mono) -> bool {
        let acted_at = cluster.workers[key].tracker.acted_at;
        acted_at.is_none_or(|acted_at| measured_at >= acted_at.after(SETTLING_TIME))
    }

    /// Counts a fresh report and whether it shows a service above its limit.
    pub(crate) fn count_report(&mut self, key: WorkerKey, now: Mono) {
        let worst = self.worst_service(key, now);
        let limit = self.policy.limit;
        let tracker = &mut self.cluster.workers[key].tracker;
        tracker.fresh_reports += 1;
        tracker.has_fresh_report = true;
        match worst {
            Some(worst) if worst.ratio > VIOLATION_FACTOR * limit => tracker.violations += 1,
            _ => tracker.violations = 0,
        }
        if worst.is_some_and(|worst| worst.ratio > SEVERE_VIOLATION_FACTOR * limit) {
            tracker.violations = tracker.violations.max(2);
        }
    }

    /// Acts on the workers that have a fresh report.
    pub(crate) fn control(
        &mut self,
        now: Mono,
        evictions: &mut usize,
        decisions: &mut Vec<Decision>,
    ) {
        for key in std::mem::take(&mut self.reported) {
            let Some(worker) = self.cluster.workers.get_mut(key) else {
                continue;
            };
            if !std::mem::take(&mut worker.tracker.has_fresh_report) {
                continue;
            }
            if self.relieve_memory_pressure(key, now, evictions, decisions) {
                continue;
            }
            let Some(worst) = self.worst_service(key, now) else {
                continue;
            };
            let tracker = &self.cluster.workers[key].tracker;
            let (violations, fresh_reports) = (tracker.violations, tracker.fresh_reports);
            if violations >= 2 {
                self.mitigate(key, &worst, now, evictions, decisions);
            } else if fresh_reports >= RELAX_REPORTS
                && worst.ratio < RELAX_FACTOR * self.policy.limit
            {
                self.relax(key, &worst, now, decisions);
            }
        }
    }

    fn worst_service(&self, key: WorkerKey, now: Mono) -> Option<WorstService> {
        let services = worker_load::services(&self.cluster, key, 0.0, now);
        let measured = services.into_iter().filter_map(|(task, service)| {
            let ratio = self.cluster.tasks[task].run()?.p99_ratio?;
            Some(WorstService { service, ratio })
        });
        measured.max_by(|left, right| left.ratio.total_cmp(&right.ratio))
    }

    /// Evicts a batch task if the tasks of a worker use nearly all its memory; returns whether it
    /// did.
    fn relieve_memory_pressure(
        &mut self,
        key: WorkerKey,
        now: Mono,
        evictions: &mut usize,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let worker = &self.cluster.workers[key];
        let used: u64 = worker.tasks.iter().map(|task| self.memory_of(*task)).sum();
        let max = worker.capacity.memory_mib * MEMORY_PRESSURE_PERCENT / 100;
        if !worker.listed || used <= max || *evictions == 0 {
            return false;
        }
        let Some(task) = self.cheapest_eviction(key) else {
            return false;
        };
        *evictions -= 1;
        self.evict(task, Reason::MemoryPressure, decisions);
        self.cluster.workers[key].tracker.record_action(now);
        true
    }

    fn memory_of(&self, task: TaskKey) -> u64 {
        let run = self.cluster.tasks[task].run();
        run.and_then(|run| run.usage)
            .map_or(0, |usage| usage.memory_mib)
    }

    fn cheapest_eviction(&self, key: WorkerKey) -> Option<TaskKey> {
        let tasks = self.batch_on(key).into_iter();
        let cost = |task: &TaskKey| preemption::eviction_cost(&self.cluster.tasks[*task]);
        tasks.min_by(|left, right| cost(left).total_cmp(&cost(right)))
    }

    /// Returns the batch tasks on a worker that are not already being evicted.
    fn batch_on(&self, key: WorkerKey) -> Vec<TaskKey> {
        let tasks = self.cluster.workers[key].tasks.iter().copied();
        let candidates = tasks.filter(|task| {
            let task = &self.cluster.tasks[*task];
            let evicting = task.run().is_none_or(|run| run.evicting);
            !evicting && !self.cluster.classes[task.class].is_service()
        });
        candidates.collect()
    }

    /// Throttles batch tasks so that the worst service is predicted to return to
    /// [`TARGET_FACTOR`] times the limit. Evicts one if all contributing tasks are already
    /// throttled as far as possible.
    fn mitigate(
        &mut self,
        key: WorkerKey,
        worst: &WorstService,
        now: Mono,
        evictions: &mut usize,
        decisions: &mut Vec<Decision>,
    ) {
        let changes = if self.cfg.throttling {
            self.plan_caps(key, worst, false)
        } else {
            Vec::new()
        };
        if self.apply_caps(&changes, worst, true, decisions) {
            self.cluster.workers[key].tracker.record_action(now);
            return;
        }
        let tracker = &self.cluster.workers[key].tracker;
        let should_wait = self.cfg.throttling && tracker.violations < EVICT_REPORTS;
        let excess = worst.ratio - self.policy.limit;
        if *evictions == 0 || should_wait || excess < self.policy.eviction_excess {
            return;
        }
        if let Some(task) = self.best_eviction(key, worst) {
            *evictions -= 1;
            let why = Reason::Interference {
                ratio_permille: permille_of(worst.ratio),
            };
            self.evict(task, why, decisions);
            self.cluster.workers[key].tracker.record_action(now);
        }
    }

    /// Raises caps as far as the prediction for the worst service allows.
    fn relax(
        &mut self,
        key: WorkerKey,
        worst: &WorstService,
        now: Mono,
        decisions: &mut Vec<Decision>,
    ) {
        let changes = self.plan_caps(key, worst, true);
        if self.apply_caps(&changes, worst, false, decisions) {
            self.cluster.workers[key].tracker.record_action(now);
        }
    }

    /// Plans caps under which the worst service is predicted to reach [`TARGET_FACTOR`] times the
    /// limit while batch tasks do the most work: tasks that add the most tail latency per unit of
    /// processor time are throttled first.
    ///
    /// The prediction starts from the measured p99 and uses the learned interference for
    /// differences only.
    fn plan_caps(&self, key: WorkerKey, worst: &WorstService, relaxing: bool) -> Vec<CapChange> {
        let capacity = self.cluster.workers[key].capacity;
        let mut tasks: Vec<CapChange> = self
            .batch_on(key)
            .into_iter()
            .filter_map(|task| self.cap_change(task, worst, relaxing))
            .collect();
        tasks.sort_by(|left, right| right.sensitivity.total_cmp(&left.sensitivity));
        let fraction = |task: TaskKey, permille: u16| {
            let run = self.cluster.tasks[task].run();
            worker_load::cpu_fraction(run.map_or(0.0, |run| run.cpu_at(permille)), &capacity)
        };
        let mut log_excess = (worst.ratio / (TARGET_FACTOR * self.policy.limit)).ln();
        for task in &tasks {
            let change =
                fraction(task.task, task.new_permille) - fraction(task.task, task.current_permille);
            log_excess += task.sensitivity * change;
        }
        for task in &mut tasks {
            if log_excess <= 0.0 || task.sensitivity <= 0.0 {
                break;
            }
            let current = fraction(task.task, task.new_permille);
            let min_fraction = fraction(task.task, MIN_CAP_PERMILLE.min(task.new_permille));
            let target = (current - log_excess / task.sensitivity).max(min_fraction);
            log_excess -= task.sensitivity * (current - target);
            task.new_permille = self.permille_for(task.task, target, key);
        }
        tasks
    }

    fn cap_change(&self, key: TaskKey, worst: &WorstService, relaxing: bool) -> Option<CapChange> {
        let task = &self.cluster.tasks[key];
        let current_permille = task.run()?.cap_permille;
        let max = (f64::from(current_permille) * MAX_CAP_INCREASE) as u16;
        let new_permille = if relaxing {
            max.min(FULL_PERMILLE)
        } else {
            current_permille
        };
        let sensitivity = self
            .interference
            .sensitivity(&worst.service, task.class, 0.0);
        Some(CapChange {
            task: key,
            sensitivity,
            current_permille,
            new_permille,
        })
    }

    fn permille_for(&self, task: TaskKey, fraction: f64, key: WorkerKey) -> u16 {
        let Some(run) = self.cluster.tasks[task].run() else {
            return FULL_PERMILLE;
        };
        let cpu = fraction * self.cluster.workers[key].capacity.cpu_millis as f64;
        let permille = cpu / run.reserved.cpu_millis.max(1) as f64 * 1000.0;
        (permille as u16).clamp(MIN_CAP_PERMILLE, FULL_PERMILLE)
    }

    fn apply_caps(
        &mut self,
        changes: &[CapChange],
        worst: &WorstService,
        tightening: bool,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        let ratio_permille = permille_of(worst.ratio);
        let why = if tightening {
            Reason::Interference { ratio_permille }
        } else {
            Reason::Relief { ratio_permille }
        };
        let mut acted = false;
        for change in changes {
            let removes_cap =
                change.new_permille == FULL_PERMILLE && change.current_permille != FULL_PERMILLE;
            let is_small =
                change.new_permille.abs_diff(change.current_permille) < MIN_CAP_CHANGE_PERMILLE;
            if is_small && !removes_cap {
                continue;
            }
            let task = &mut self.cluster.tasks[change.task];
            let id = task.id.clone();
            if let Some(run) = task.run_mut() {
                run.cap_permille = change.new_permille;
                run.unthrottled_since = (change.new_permille >= FULL_PERMILLE).then_some(self.now);
                acted = true;
                decisions.push(Decision::Throttle {
                    task: id,
                    permille: change.new_permille,
                    why,
                });
            }
        }
        acted
    }

    /// Returns the batch task whose eviction helps the worst service most for its cost.
    fn best_eviction(&self, key: WorkerKey, worst: &WorstService) -> Option<TaskKey> {
        let benefit = |task: &TaskKey| {
            let task = &self.cluster.tasks[*task];
            let sensitivity = self
                .interference
                .sensitivity(&worst.service, task.class, 0.0);
            let cpu = task.run().map_or(0.0, |run| run.cpu());
            sensitivity * cpu / preemption::eviction_cost(task)
        };
        let tasks = self.batch_on(key).into_iter();
        let worthwhile = tasks.filter(|task| benefit(task) > 0.0);
        worthwhile.max_by(|left, right| benefit(left).total_cmp(&benefit(right)))
    }
}

fn permille_of(ratio: f64) -> u64 {
    (ratio * 1000.0) as u64
}
