//! Takes in the workers' reports, which lag and may be missing, late or out of order.

use std::time::Duration;

use model::Mono;
use model::Size;
use model::id::WorkerId;

use crate::control::SETTLE;
use crate::facts::ReportFacts;
use crate::facts::RunFacts;
use crate::interfere::Pressure;
use crate::interfere::Seat;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::sched::Sched;
use crate::sizes::Peak;
use crate::task::FULL_PERMILLE;
use crate::task::Run;
use crate::view;

/// What is left of a service's recent peak load after each report.
const PEAK_DECAY: f64 = 0.99;
/// The weight of a new measurement in the mean of a service's ratio.
const MEAN_WEIGHT: f64 = 0.5;
/// A run of this age has shown its peaks and teaches sizes without having ended.
const TELLING_RUN: Duration = Duration::from_secs(300);
/// How often the peaks of a service are recorded again, because its load follows the day.
const SERVICE_RESAMPLED: Duration = Duration::from_secs(1800);

impl Sched {
    /// Takes in a worker's report; one that is older than a former one is dropped.
    pub fn report(&mut self, worker: &WorkerId, report: &ReportFacts, now: Mono) {
        self.now = self.now.max(now);
        let Some(key) = self.book.worker_key(worker) else {
            return;
        };
        let figures_at = Mono(now.0.saturating_sub(report.age_ms));
        let meter = &mut self.book.workers[key].meter;
        if !meter.accept(report.sequence, figures_at) {
            return;
        }
        let runs: Vec<(TaskKey, &RunFacts)> = report
            .runs
            .iter()
            .filter_map(|facts| Some((self.runs_on(key, facts)?, facts)))
            .collect();
        for (task, facts) in &runs {
            self.take_in(*task, facts, figures_at, now);
        }
        self.book.recount_all(Some(key));
        if self.cfg.learning {
            self.learn(key, &runs);
        }
        if Self::shows_effect(&self.book, key, figures_at) {
            self.measure(key, &runs);
            self.count_report(key, now);
            self.reported.push(key);
        }
    }

    fn runs_on(&self, key: WorkerKey, facts: &RunFacts) -> Option<TaskKey> {
        let task = self.book.task_key(&facts.task)?;
        let run = self.book.tasks[task].run()?;
        (run.worker == key).then_some(task)
    }

    fn take_in(&mut self, key: TaskKey, facts: &RunFacts, figures_at: Mono, now: Mono) {
        let task = &mut self.book.tasks[key];
        let declared = task.declared;
        let class = task.class;
        let is_service = self.book.classes[class].is_service();
        let Some(run) = task.run_mut() else {
            return;
        };
        update(run, facts, figures_at);
        let is_due = match run.sampled_at {
            None => now.since(run.since) >= TELLING_RUN,
            Some(at) => is_service && now.since(at) >= SERVICE_RESAMPLED,
        };
        if is_due && run.peak != Size::ZERO && self.cfg.learning {
            run.sampled_at = Some(now);
            let peak = Peak {
                usage: run.peak,
                declared,
                reserved: run.reserved,
            };
            self.book.classes[class].sizes.record(&peak);
        }
    }

    /// Learns the interference from what one report says of services and of the batch beside them.
    fn learn(&mut self, key: WorkerKey, runs: &[(TaskKey, &RunFacts)]) {
        let mut pressures: Vec<Pressure> = Vec::new();
        let capacity = self.book.workers[key].capacity;
        for (task, facts) in runs {
            let class = self.book.tasks[*task].class;
            if !self.book.classes[class].is_service() {
                let cpu = view::part(facts.usage.cpu_millis as f64, &capacity);
                view::add(&mut pressures, class, cpu);
            }
        }
        for (task, facts) in runs {
            if let (Some(p99_us), Some(seat)) = (facts.p99_us, self.seat(*task)) {
                self.interference.observe(&seat, &pressures, p99_us);
            }
        }
    }

    fn seat(&self, key: TaskKey) -> Option<Seat> {
        let task = &self.book.tasks[key];
        Some(Seat {
            class: task.class,
            load: task.run()?.load()?,
            target_us: self.book.classes[task.class].target_us()?,
        })
    }

    /// Averages the services' p99 over their targets since the last action.
    fn measure(&mut self, key: WorkerKey, runs: &[(TaskKey, &RunFacts)]) {
        let is_first = self.book.workers[key].meter.fresh == 0;
        for (task, facts) in runs {
            let class = self.book.tasks[*task].class;
            let target_us = self.book.classes[class].target_us();
            let run = self.book.tasks[*task].run_mut();
            if let (Some(p99_us), Some(target_us), Some(run)) = (facts.p99_us, target_us, run) {
                let measured = p99_us.max(1) as f64 / target_us.max(1) as f64;
                let former = run.ratio.filter(|_| !is_first);
                run.ratio = Some(former.map_or(measured, |mean| {
                    mean.powf(1.0 - MEAN_WEIGHT) * measured.powf(MEAN_WEIGHT)
                }));
            }
        }
    }
}

fn update(run: &mut Run, facts: &RunFacts, figures_at: Mono) {
    run.confirmed = true;
    run.usage = Some(facts.usage);
    // A window that began before the run, or in which it was throttled, shows too little use.
    let unthrottled = run
        .unthrottled_since
        .is_some_and(|since| figures_at >= since.after(SETTLE))
        && facts.throttle_permille >= FULL_PERMILLE;
    let seen = Size::new(
        if unthrottled {
            facts.usage.cpu_millis
        } else {
            0
        },
        facts.usage.memory_mib,
        facts.usage.accelerators,
    );
    run.peak = run.peak.max(&seen);
    let load = run.load().unwrap_or(0.0);
    run.peak_load = load.max(run.peak_load * PEAK_DECAY);
    if facts.checkpoint != run.checkpoint {
        run.checkpoint.clone_from(&facts.checkpoint);
        run.saved_ms = run.progress_ms;
    }
    run.progress_ms = run.progress_ms.max(facts.progress_ms);
}
