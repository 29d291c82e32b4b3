//! Puts workers that fail everything into quarantine, and takes them out again.

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

/// A task whose use came to this part of the memory reserved for it, in percent, may have failed for
/// want of memory.
const MEMORY_EXHAUSTED_PERCENT: u64 = 95;

impl Sched {
    /// Weighs the end of a run for and against its worker.
    pub(crate) fn record_run_outcome(
        &mut self,
        key: TaskKey,
        run: &Run,
        end: RunOutcome,
        now: Mono,
    ) {
        let task = &self.cluster.tasks[key];
        let class = task.class;
        let Some(worker) = self.cluster.workers.get_mut(run.worker) else {
            return;
        };
        match end {
            RunOutcome::Stopped => self.cancel_probe(key, run),
            RunOutcome::Succeeded => {
                worker.health.record_success();
                if let Some(quarantine) = &mut worker.health.quarantine {
                    quarantine.probe_succeeded = true;
                }
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

    /// Lets another task be the probe, because this one shows nothing.
    pub(crate) fn cancel_probe(&mut self, key: TaskKey, run: &Run) {
        let worker = self.cluster.workers.get_mut(run.worker);
        let quarantine = worker.and_then(|worker| worker.health.quarantine.as_mut());
        if let Some(quarantine) = quarantine
            && quarantine.probe == Some(key)
        {
            quarantine.probe = None;
        }
    }

    /// Quarantines suspects as far as the cap allows, and readmits workers that are cleared.
    pub(crate) fn quarantine(&mut self, now: Mono, out: &mut Vec<Decision>) {
        self.readmit(now, out);
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
            out.push(Decision::Quarantine {
                worker: worker.id.clone(),
                why: Reason::DistinctJobFailures { jobs },
            });
        }
    }

    /// Returns how many workers may be quarantined: a part of the fleet, but one of two at least.
    fn quarantine_cap(&self) -> usize {
        let listed = self.cluster.workers.values().filter(|worker| worker.listed);
        match listed.count() {
            0 | 1 => 0,
            count => (count * self.cfg.quarantine_percent / 100).max(1),
        }
    }

    /// Returns the evidence against a worker: distinct jobs that failed there, each counted by how
    /// little its class fails on other workers; a job that failed elsewhere too counts nothing.
    fn evidence(&self, key: WorkerKey) -> f64 {
        let failed = &self.cluster.workers[key].health.failed_jobs;
        let weights = failed.iter().map(|failed| {
            let elsewhere = self
                .failed_jobs
                .workers(failed.job)
                .iter()
                .any(|at| *at != key);
            let class = self.cluster.classes.get(failed.class);
            match class {
                Some(class) if !elsewhere => 1.0 - class.failure_rate_elsewhere(key),
                _ => 0.0,
            }
        });
        weights.sum()
    }

    fn readmit(&mut self, now: Mono, out: &mut Vec<Decision>) {
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
            out.push(Decision::Readmit {
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
