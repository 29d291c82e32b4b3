//! Quarantines workers on which distinct jobs fail, and readmits them.

use model::Mono;

use crate::decision::Decision;
use crate::decision::Reason;
use crate::health;
use crate::health::FailedJob;
use crate::health::FailedJobs;
use crate::health::Quarantine;
use crate::input::RunOutcome;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::sched::Sched;
use crate::task::Run;

/// A failed task whose memory usage reached this percentage of its reservation may have run out of
/// memory.
const MEMORY_EXHAUSTED_PERCENT: u64 = 95;

impl Sched {
    /// Records the outcome of a run as evidence for or against its worker.
    pub(crate) fn record_run_outcome(
        &mut self,
        key: TaskKey,
        run: &Run,
        outcome: RunOutcome,
        now: Mono,
    ) {
        let task = &self.cluster.tasks[key];
        let class = task.class;
        let Some(worker) = self.cluster.workers.get_mut(run.worker) else {
            return;
        };
        match outcome {
            RunOutcome::Stopped => self.cancel_probe(key, run),
            RunOutcome::Succeeded => {
                worker.health.record_success(key);
                self.cluster.classes[class].record_outcome(run.worker, false);
            }
            RunOutcome::Failed if may_have_exhausted_memory(run) => self.cancel_probe(key, run),
            RunOutcome::Failed => {
                let job = FailedJobs::hash(&task.id);
                worker.health.record_failure(FailedJob { job, class });
                if let Some(quarantine) = &mut worker.health.quarantine
                    && quarantine.probe == Some(key)
                {
                    quarantine.probe_failed(now);
                }
                self.cluster.classes[class].record_outcome(run.worker, true);
                self.failed_jobs.record(&task.id, run.worker);
                self.suspects.push(run.worker);
            }
        }
    }

    /// Lets another task be the probe, because the outcome of this one says nothing about the
    /// worker.
    pub(crate) fn cancel_probe(&mut self, key: TaskKey, run: &Run) {
        let worker = self.cluster.workers.get_mut(run.worker);
        let quarantine = worker.and_then(|worker| worker.health.quarantine.as_mut());
        if let Some(quarantine) = quarantine
            && quarantine.probe == Some(key)
        {
            quarantine.probe = None;
        }
    }

    /// Quarantines suspect workers up to the cap, and readmits workers whose probe has passed or
    /// against which too little evidence remains.
    pub(crate) fn quarantine(&mut self, now: Mono, decisions: &mut Vec<Decision>) {
        self.readmit(now, decisions);
        for key in std::mem::take(&mut self.suspects) {
            let Some(worker) = self.cluster.workers.get(key) else {
                continue;
            };
            let is_exempt = worker.health.quarantine.is_some() || !worker.listed;
            let is_cap_reached = self.quarantined.len() >= self.quarantine_cap();
            if is_exempt || is_cap_reached || self.evidence(key) < health::QUARANTINE_EVIDENCE {
                continue;
            }
            let worker = &mut self.cluster.workers[key];
            let jobs = u32::try_from(worker.health.failed_jobs.len()).unwrap_or(u32::MAX);
            worker.health.quarantine = Some(Quarantine::new(now, self.cfg.probe_after));
            self.quarantined.push(key);
            decisions.push(Decision::Quarantine {
                worker: worker.id.clone(),
                why: Reason::DistinctJobFailures { jobs },
            });
        }
    }

    /// Returns how many workers may be quarantined: a percentage of the fleet, but at least one of
    /// two or more workers.
    fn quarantine_cap(&self) -> usize {
        let listed = self.cluster.workers.values().filter(|worker| worker.listed);
        match listed.count() {
            0 | 1 => 0,
            count => (count * self.cfg.quarantine_percent / 100).max(1),
        }
    }

    /// Returns the evidence against a worker: the distinct jobs that failed there, each weighted by
    /// how rarely its class fails on other workers. A job that also failed elsewhere does not
    /// count.
    fn evidence(&self, key: WorkerKey) -> f64 {
        let failed = &self.cluster.workers[key].health.failed_jobs;
        let weights = failed.iter().map(|failed| {
            let failed_elsewhere = self
                .failed_jobs
                .workers(failed.job)
                .iter()
                .any(|worker| *worker != key);
            let class = self.cluster.classes.get(failed.class);
            match class {
                Some(class) if !failed_elsewhere => 1.0 - class.failure_rate_elsewhere(key),
                _ => 0.0,
            }
        });
        weights.sum()
    }

    fn readmit(&mut self, now: Mono, decisions: &mut Vec<Decision>) {
        for key in std::mem::take(&mut self.quarantined) {
            if !self.cluster.workers.contains_key(key) {
                continue;
            }
            let has_passed = self.probe_passed(key, now);
            if !has_passed && self.evidence(key) >= health::READMIT_EVIDENCE {
                self.quarantined.push(key);
                continue;
            }
            let worker = &mut self.cluster.workers[key];
            worker.health = health::Health::default();
            self.cluster.capacity_generation += 1;
            decisions.push(Decision::Readmit {
                worker: worker.id.clone(),
                why: if has_passed {
                    Reason::ProbePassed
                } else {
                    Reason::JobsFailElsewhere
                },
            });
        }
    }

    fn probe_passed(&self, key: WorkerKey, now: Mono) -> bool {
        let Some(quarantine) = &self.cluster.workers[key].health.quarantine else {
            return true;
        };
        let probe = quarantine
            .probe
            .and_then(|probe| self.cluster.tasks.get(probe));
        let has_run_long_enough = probe
            .and_then(|probe| probe.run())
            .is_some_and(|run| run.confirmed && now.since(run.started_at) >= health::PROBE_TIME);
        quarantine.probe_succeeded || has_run_long_enough
    }
}

const fn may_have_exhausted_memory(run: &Run) -> bool {
    run.peak.memory_mib * 100 >= run.reserved.memory_mib * MEMORY_EXHAUSTED_PERCENT
}
