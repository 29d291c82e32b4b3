//! Ingests usage reports of the workers, which are delayed and may be missing, late or out of
//! order.

use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::WorkerId;

use crate::control::SETTLING_TIME;
use crate::input::RunStatus;
use crate::input::UsageReport;
use crate::interference::BatchUsage;
use crate::interference::ServiceLoad;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::sched::Sched;
use crate::sizes::PeakUsage;
use crate::task::FULL_PERMILLE;
use crate::task::Run;
use crate::worker_load;

/// The factor by which a service's recent peak load decays with each report.
const PEAK_DECAY: f64 = 0.99;
/// The weight of a new measurement in the moving average of a service's p99 ratio.
const RATIO_WEIGHT: f64 = 0.5;
/// The age at which a run has shown its peaks, so that they are recorded before it ends.
const SAMPLED_RUN_AGE: Duration = Duration::from_secs(300);
/// How often the peaks of a running service are recorded again, because its load varies over the
/// day.
const SERVICE_SAMPLE_INTERVAL: Duration = Duration::from_secs(1800);

impl Sched {
    /// Ingests a usage report of a worker; a report that is not newer than the last one is dropped.
    pub fn report(&mut self, worker: &WorkerId, report: &UsageReport, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.cluster.worker_key(worker) else {
            return;
        };
        let measured_at = Mono(now.0.saturating_sub(report.age_ms));
        let tracker = &mut self.cluster.workers[key].tracker;
        if !tracker.accept(report.sequence, measured_at) {
            return;
        }
        let runs: Vec<(TaskKey, &RunStatus)> = report
            .runs
            .iter()
            .filter_map(|status| Some((self.find_run(key, status)?, status)))
            .collect();
        for (task, status) in &runs {
            self.record_usage(*task, status, measured_at, now);
        }
        self.cluster.recompute_workers(Some(key));
        if self.cfg.learning {
            self.learn_interference(key, &runs);
        }
        if Self::shows_effect(&self.cluster, key, measured_at) {
            self.record_ratios(key, &runs);
            self.count_report(key, now);
            self.reported.push(key);
        }
    }

    fn find_run(&self, key: WorkerKey, status: &RunStatus) -> Option<TaskKey> {
        let task = self.cluster.task_key(&status.task)?;
        let run = self.cluster.tasks[task].run()?;
        (run.worker == key).then_some(task)
    }

    fn record_usage(&mut self, key: TaskKey, status: &RunStatus, measured_at: Mono, now: Mono) {
        let task = &mut self.cluster.tasks[key];
        let declared = task.declared;
        let class = task.class;
        let is_service = self.cluster.classes[class].is_service();
        let Some(run) = task.run_mut() else {
            return;
        };
        update_run(run, status, measured_at);
        let is_due = match run.sampled_at {
            None => now.since(run.started_at) >= SAMPLED_RUN_AGE,
            Some(at) => is_service && now.since(at) >= SERVICE_SAMPLE_INTERVAL,
        };
        if is_due && run.peak != Size::ZERO && self.cfg.learning {
            run.sampled_at = Some(now);
            let peak = PeakUsage {
                usage: run.peak,
                declared,
                reserved: run.reserved,
            };
            self.cluster.classes[class].sizes.record(&peak);
        }
    }

    /// Updates the interference model from the services and batch tasks of one report.
    fn learn_interference(&mut self, key: WorkerKey, runs: &[(TaskKey, &RunStatus)]) {
        let mut batch_usage: Vec<BatchUsage> = Vec::new();
        let capacity = self.cluster.workers[key].capacity;
        for (task, status) in runs {
            let class = self.cluster.tasks[*task].class;
            if !self.cluster.classes[class].is_service() {
                let cpu = worker_load::cpu_fraction(status.usage.cpu_millis as f64, &capacity);
                worker_load::add_batch_usage(&mut batch_usage, class, cpu);
            }
        }
        for (task, status) in runs {
            if let (Some(p99_us), Some(service_load)) = (status.p99_us, self.service_load(*task)) {
                self.interference
                    .observe(&service_load, &batch_usage, p99_us);
            }
        }
    }

    fn service_load(&self, key: TaskKey) -> Option<ServiceLoad> {
        let task = &self.cluster.tasks[key];
        Some(ServiceLoad {
            class: task.class,
            load: task.run()?.load()?,
            target_us: self.cluster.classes[task.class].target_us()?,
        })
    }

    /// Averages the p99 ratio of each service over the reports since the last action on the worker.
    fn record_ratios(&mut self, key: WorkerKey, runs: &[(TaskKey, &RunStatus)]) {
        let is_first_report = self.cluster.workers[key].tracker.fresh_reports == 0;
        for (task, status) in runs {
            let class = self.cluster.tasks[*task].class;
            let target_us = self.cluster.classes[class].target_us();
            let run = self.cluster.tasks[*task].run_mut();
            if let (Some(p99_us), Some(target_us), Some(run)) = (status.p99_us, target_us, run) {
                let measured = p99_us.max(1) as f64 / target_us.max(1) as f64;
                let previous = run.p99_ratio.filter(|_| !is_first_report);
                run.p99_ratio = Some(previous.map_or(measured, |mean| {
                    mean.powf(1.0 - RATIO_WEIGHT) * measured.powf(RATIO_WEIGHT)
                }));
            }
        }
    }
}

fn update_run(run: &mut Run, status: &RunStatus, measured_at: Mono) {
    run.confirmed = true;
    run.usage = Some(status.usage);
    // Usage is too low in a window that began before the run or in which the run was throttled.
    let unthrottled = run
        .unthrottled_since
        .is_some_and(|since| measured_at >= since.after(SETTLING_TIME))
        && status.throttle_permille >= FULL_PERMILLE;
    let observed = Size::new(
        if unthrottled {
            status.usage.cpu_millis
        } else {
            0
        },
        status.usage.memory_mib,
        status.usage.accelerators,
    );
    run.peak = run.peak.max(&observed);
    let load = run.load().unwrap_or(0.0);
    run.peak_load = load.max(run.peak_load * PEAK_DECAY);
    if status.checkpoint != run.checkpoint {
        run.checkpoint.clone_from(&status.checkpoint);
        run.checkpointed_ms = run.progress_ms;
    }
    run.progress_ms = run.progress_ms.max(status.progress_ms);
}
