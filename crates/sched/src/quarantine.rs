//! Puts workers that fail everything into quarantine, and takes them out again.

use model::Mono;

use crate::decision::Decision;
use crate::decision::Why;
use crate::facts::End;
use crate::health;
use crate::health::FailedJob;
use crate::health::FailedJobs;
use crate::health::Quarantine;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::sched::Sched;
use crate::task::Run;

/// A task whose use came to this part of the memory reserved for it, in percent, may have failed for
/// want of memory.
const SHORT_OF_MEMORY_PERCENT: u64 = 95;

impl Sched {
    /// Weighs the end of a run for and against its worker.
    pub(crate) fn judge(&mut self, key: TaskKey, run: &Run, end: End, now: Mono) {
        let task = &self.book.tasks[key];
        let class = task.class;
        let Some(worker) = self.book.workers.get_mut(run.worker) else {
            return;
        };
        match end {
            End::Stopped => self.drop_probe(key, run),
            End::Succeeded => {
                worker.health.record_success();
                if let Some(quarantine) = &mut worker.health.quarantine {
                    quarantine.passed = true;
                }
                self.book.classes[class].record_outcome(run.worker, false);
            }
            End::Failed if is_short_of_memory(run) => self.drop_probe(key, run),
            End::Failed => {
                let job = FailedJobs::hash(&task.id);
                worker.health.record_failure(FailedJob { job, class });
                if let Some(quarantine) = &mut worker.health.quarantine
                    && quarantine.probe == Some(key)
                {
                    quarantine.probe_failed(now);
                }
                self.book.classes[class].record_outcome(run.worker, true);
                self.jobs.record(&task.id, run.worker);
                self.suspects.push(run.worker);
            }
        }
    }

    /// Lets another task be the probe, because this one shows nothing.
    pub(crate) fn drop_probe(&mut self, key: TaskKey, run: &Run) {
        let worker = self.book.workers.get_mut(run.worker);
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
            let Some(worker) = self.book.workers.get(key) else {
                continue;
            };
            let known = worker.health.quarantine.is_some() || !worker.listed;
            let full = self.quarantined.len() >= self.quarantine_cap();
            if known || full || self.evidence(key) < health::BAD {
                continue;
            }
            let worker = &mut self.book.workers[key];
            let jobs = u32::try_from(worker.health.failed.len()).unwrap_or(u32::MAX);
            worker.health.quarantine = Some(Quarantine::new(now, self.cfg.probe_after));
            self.quarantined.push(key);
            out.push(Decision::Quarantine {
                worker: worker.id.clone(),
                why: Why::JobsFail { jobs },
            });
        }
    }

    /// Returns how many workers may be quarantined: a part of the fleet, but one of two at least.
    fn quarantine_cap(&self) -> usize {
        let listed = self.book.workers.values().filter(|worker| worker.listed);
        match listed.count() {
            0 | 1 => 0,
            count => (count * self.cfg.quarantine_percent / 100).max(1),
        }
    }

    /// Returns the evidence against a worker: distinct jobs that failed there, each counted by how
    /// little its class fails on other workers; a job that failed elsewhere too counts nothing.
    fn evidence(&self, key: WorkerKey) -> f64 {
        let failed = &self.book.workers[key].health.failed;
        let against = failed.iter().map(|failed| {
            let elsewhere = self.jobs.workers(failed.job).iter().any(|at| *at != key);
            let class = self.book.classes.get(failed.class);
            match class {
                Some(class) if !elsewhere => 1.0 - class.fails_elsewhere(key),
                _ => 0.0,
            }
        });
        against.sum()
    }

    fn readmit(&mut self, now: Mono, out: &mut Vec<Decision>) {
        for key in std::mem::take(&mut self.quarantined) {
            if !self.book.workers.contains_key(key) {
                continue;
            }
            let passed = self.probe_passed(key, now);
            if !passed && self.evidence(key) >= health::CLEARED {
                self.quarantined.push(key);
                continue;
            }
            let worker = &mut self.book.workers[key];
            worker.health = health::Health::default();
            self.book.room += 1;
            out.push(Decision::Readmit {
                worker: worker.id.clone(),
                why: if passed {
                    Why::ProbePassed
                } else {
                    Why::JobsBlamed
                },
            });
        }
    }

    fn probe_passed(&self, key: WorkerKey, now: Mono) -> bool {
        let Some(quarantine) = &self.book.workers[key].health.quarantine else {
            return true;
        };
        let probe = quarantine
            .probe
            .and_then(|probe| self.book.tasks.get(probe));
        let runs_long = probe
            .and_then(|probe| probe.run())
            .is_some_and(|run| run.confirmed && now.since(run.since) >= health::PROBE_RUN);
        quarantine.passed || runs_long
    }
}

const fn is_short_of_memory(run: &Run) -> bool {
    run.peak.memory_mib * 100 >= run.reserved.memory_mib * SHORT_OF_MEMORY_PERCENT
}
