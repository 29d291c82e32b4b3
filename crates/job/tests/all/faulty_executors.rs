//! Replays of loads with failures, of executors' own and of jobs that fail wherever they run.
//!
//! A load is a table of arrivals and faults; its outcome is counted by class of work. It is compared with
//! the simplest rule that could work: an executor rests for 4 s from the third failure of distinct jobs
//! without a success on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use job::fault_attribution::FailureEvidence;
use job::fleet::ExecutorKey;
use job::id::JobId;
use job::scheduler::CooldownReason;
use job::scheduler::EndedRun;
use job::scheduler::Event;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::plan;
use crate::fixture::step;

/// How often executors answer polls and tasks are placed, in milliseconds.
const STEP_MS: u64 = 250;
/// How soon a faulty executor fails what it starts, in milliseconds.
const FAULT_MS: u64 = 100;
/// The simplest rule: failed jobs without a success, and the cooldown after them in milliseconds.
const SIMPLE_JOBS: usize = 3;
const SIMPLE_COOLDOWN_MS: u64 = 4_000;

/// The faults of a load.
#[derive(Clone, Debug, Default)]
struct Faults {
    /// The executors that fail all that they start, until this time in milliseconds.
    executors: Vec<usize>,
    until_ms: u64,
    /// The jobs whose runs fail wherever they run, after a time in milliseconds that grows with the
    /// number of the run from the first value to the second.
    jobs: BTreeMap<u64, (u64, u64)>,
}

/// What became of a load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Outcome {
    succeeded: usize,
    failed: usize,
    /// The longest time for which a sound job had nothing running, in milliseconds.
    longest_wait_ms: u64,
    failed_runs_of_sound_jobs: usize,
    /// The executors that got a cooldown for failures.
    cooled_down: BTreeSet<usize>,
}

struct Replay {
    fixture: Fixture,
    executors: usize,
    faults: Faults,
    begin: u64,
    /// The runs with their numbers and when they started.
    runs: BTreeMap<(TaskKey, u64), u64>,
    ends: Vec<u64>,
    jobs: BTreeMap<u64, JobId>,
    idle_since: BTreeMap<u64, u64>,
    outcome: Outcome,
    /// Whether the simplest rule is used, and the jobs that have failed on each executor.
    simple: bool,
    simple_failed: Vec<BTreeSet<u64>>,
}

impl Replay {
    fn new(executors: usize, faults: Faults, simple: bool) -> Self {
        let mut fixture = Fixture::new(executors);
        fixture.scheduler.plan = plan(4);
        Self {
            begin: fixture.now.0,
            fixture,
            executors,
            faults,
            runs: BTreeMap::new(),
            ends: vec![0; executors],
            jobs: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            outcome: Outcome::default(),
            simple,
            simple_failed: vec![BTreeSet::new(); executors],
        }
    }

    fn submit(&mut self, number: u64, steps: Vec<StepSpec>) {
        let id = self.fixture.submit(number, steps);
        self.jobs.insert(number, id);
    }

    fn elapsed(&self) -> u64 {
        self.fixture.now.0 - self.begin
    }

    fn number_of(&self, key: TaskKey) -> u64 {
        let job = self.fixture.scheduler.job(key.job).expect("the job exists");
        let known = self.jobs.iter().find(|(_, id)| **id == job.id);
        *known.expect("the job was submitted").0
    }

    /// Returns how a run that started some time ago has ended, if it has.
    fn end_of(&self, number: usize, key: TaskKey, run: u64, since: u64) -> Option<RunOutcome> {
        let age = self.fixture.now.0 - since;
        let job = self.number_of(key);
        let step = self.fixture.scheduler.step(key).expect("the step exists");
        let is_faulty =
            self.faults.executors.contains(&number) && since < self.begin + self.faults.until_ms;
        if is_faulty {
            return (age >= FAULT_MS).then_some(RunOutcome::Failed);
        }
        if let Some((first, last)) = self.faults.jobs.get(&job) {
            // Spread without a random source.
            let part = (u64::from(key.slot) * 7 + run * 5 + job * 3) % 16;
            let after = first + (last - first) * part / 15;
            return (age >= after).then_some(RunOutcome::Failed);
        }
        (!step.long_running && age >= step.estimate_ms).then_some(RunOutcome::Done)
    }

    /// Passes the time until the next poll of all executors, then places tasks.
    fn pass(&mut self) {
        self.fixture.pass(STEP_MS);
        for number in 1..=self.executors {
            let mut ended: Vec<EndedRun> = Vec::new();
            for key in self.fixture.tasks_on(number) {
                let run = self
                    .fixture
                    .scheduler
                    .task(key)
                    .expect("the task exists")
                    .run;
                let now = self.fixture.now.0;
                let since = *self.runs.entry((key, run)).or_insert(now);
                let Some(outcome) = self.end_of(number, key, run, since) else {
                    continue;
                };
                let job = self.number_of(key);
                if outcome == RunOutcome::Failed && !self.faults.jobs.contains_key(&job) {
                    self.outcome.failed_runs_of_sound_jobs += 1;
                }
                self.ends[number - 1] += 1;
                ended.push(self.fixture.end(self.ends[number - 1], key, outcome));
                self.apply_simple_rule(number, job, outcome);
            }
            self.fixture.report(number, ended);
            if self.simple {
                self.forget_failures(number);
            }
        }
        self.fixture
            .list((1..=self.executors).map(listing).collect());
        self.record_cooldowns();
        self.fixture.start_all();
        self.record_waits();
    }

    fn apply_simple_rule(&mut self, number: usize, job: u64, outcome: RunOutcome) {
        if !self.simple {
            return;
        }
        let key = self.fixture.executor(number);
        let failed = &mut self.simple_failed[number - 1];
        if outcome == RunOutcome::Done {
            failed.clear();
            return;
        }
        failed.insert(job);
        if failed.len() >= SIMPLE_JOBS {
            let until = Mono(self.fixture.now.0 + SIMPLE_COOLDOWN_MS);
            let executor = self.fixture.scheduler.fleet.get_mut(key);
            executor.expect("the executor exists").not_before = until;
            self.outcome.cooled_down.insert(number);
        }
    }

    /// Leaves the scheduler without evidence of its own.
    fn forget_failures(&mut self, number: usize) {
        let key = self.fixture.executor(number);
        let executor = self.fixture.scheduler.fleet.get_mut(key);
        executor.expect("the executor exists").failures = FailureEvidence::default();
    }

    fn record_cooldowns(&mut self) {
        let keys: Vec<(usize, ExecutorKey)> = (1..=self.executors)
            .map(|number| (number, self.fixture.executor(number)))
            .collect();
        for event in self.fixture.scheduler.take_events() {
            if let Event::CooldownStarted {
                executor,
                reason: CooldownReason::Failures,
                ..
            } = event
            {
                let cooled = keys.iter().filter(|(_, key)| *key == executor);
                self.outcome
                    .cooled_down
                    .extend(cooled.map(|(number, _)| *number));
            }
        }
    }

    fn record_waits(&mut self) {
        let now = self.fixture.now.0;
        for (number, id) in &self.jobs {
            let key = self.fixture.scheduler.find(*id);
            let job = key.and_then(|key| self.fixture.scheduler.job(key));
            let idle = job.is_some_and(|job| {
                !job.state.is_final() && job.tasks.iter().all(|task| task.assignment().is_none())
            });
            if !idle || self.faults.jobs.contains_key(number) {
                self.idle_since.remove(number);
                continue;
            }
            let since = *self.idle_since.entry(*number).or_insert(now);
            let longest = &mut self.outcome.longest_wait_ms;
            *longest = (*longest).max(now - since);
        }
    }

    fn finish(mut self) -> Outcome {
        for (number, id) in &self.jobs {
            if self.faults.jobs.contains_key(number) {
                continue;
            }
            match self.fixture.scheduler.state(*id) {
                Some(JobState::Succeeded) => self.outcome.succeeded += 1,
                Some(JobState::Failed) => self.outcome.failed += 1,
                _ => {}
            }
        }
        self.outcome
    }
}

/// A short job of two steps.
fn short_job() -> Vec<StepSpec> {
    let second = StepSpec {
        after: vec![0],
        ..step(4, 2, 600)
    };
    vec![step(4, 2, 600), second]
}

/// Six services whose tasks fail 6 to 14 s after each start, and a sound short job each 3 s.
fn services_that_fail(simple: bool) -> Outcome {
    let faults = Faults {
        jobs: (1..=6).map(|job| (job, (6_000, 14_000))).collect(),
        ..Faults::default()
    };
    let mut replay = Replay::new(6, faults, simple);
    for job in 1..=6 {
        let service = StepSpec {
            long_running: true,
            ..step(12, 1, 0)
        };
        replay.submit(job, vec![service]);
    }
    let mut next = 100;
    while replay.elapsed() < 60_000 {
        if replay.elapsed() >= 10_000 && replay.elapsed().is_multiple_of(3_000) && next < 115 {
            replay.submit(next, short_job());
            next += 1;
        }
        replay.pass();
    }
    replay.finish()
}

/// Short jobs, of which each fifth fails wherever it runs, and no sound work in between on many of the
/// executors.
fn jobs_that_fail(simple: bool) -> Outcome {
    let faults = Faults {
        jobs: (0..24).map(|job| (1_000 + 5 * job, (200, 600))).collect(),
        ..Faults::default()
    };
    let mut replay = Replay::new(6, faults, simple);
    let mut next = 1_000;
    while replay.elapsed() < 60_000 {
        if replay.elapsed().is_multiple_of(500) && next < 1_100 {
            replay.submit(next, vec![step(1, 2, 400)]);
            next += 1;
        }
        replay.pass();
    }
    replay.finish()
}

/// Some of the executors fail all that they start for 10 s, beside short jobs.
fn faulty_executors(executors: usize, faulty: &[usize], simple: bool) -> Outcome {
    let faults = Faults {
        executors: faulty.to_vec(),
        until_ms: 10_000,
        ..Faults::default()
    };
    let mut replay = Replay::new(executors, faults, simple);
    let mut next = 100;
    while replay.elapsed() < 30_000 {
        if replay.elapsed().is_multiple_of(500) && next < 140 {
            replay.submit(next, short_job());
            next += 1;
        }
        replay.pass();
    }
    replay.finish()
}

/// Guards against executors that rest for jobs that fail wherever they run, so that sound jobs have no
/// capacity.
#[test]
fn services_that_fail_everywhere_put_no_executor_into_cooldown() {
    let simple = services_that_fail(true);
    assert!(simple.longest_wait_ms >= 3_000, "{simple:?}");
    let outcome = services_that_fail(false);
    assert_eq!(outcome.cooled_down, BTreeSet::new(), "{outcome:?}");
    assert_eq!(outcome.succeeded, 15, "{outcome:?}");
    assert!(outcome.longest_wait_ms <= STEP_MS, "{outcome:?}");
}

/// Guards against executors that rest because jobs that fail everywhere happen to follow each other.
#[test]
fn short_jobs_that_fail_everywhere_put_no_executor_into_cooldown() {
    let outcome = jobs_that_fail(false);
    assert_eq!(outcome.cooled_down, BTreeSet::new(), "{outcome:?}");
    assert_eq!(outcome.succeeded, 80, "{outcome:?}");
}

/// Guards against an attribution so careful that a faulty executor, which is always empty, takes all work.
/// Two that fail the same jobs must not excuse each other.
#[test]
fn executors_that_fail_all_that_they_start_get_a_cooldown_and_no_others_do() {
    for (executors, faulty) in [
        (12, &[1][..]),
        (12, &[3, 7]),
        (12, &[2, 5, 11]),
        (6, &[2, 4]),
        (2, &[1]),
    ] {
        let simple = faulty_executors(executors, faulty, true);
        let outcome = faulty_executors(executors, faulty, false);
        let expected: BTreeSet<usize> = faulty.iter().copied().collect();
        assert_eq!(outcome.cooled_down, expected, "{outcome:?}");
        assert_eq!(outcome.succeeded, 40, "{outcome:?}, simple {simple:?}");
        // A few runs more or less follow from the order of the placements.
        let limit = simple.failed_runs_of_sound_jobs * 6 / 5;
        assert!(
            outcome.failed_runs_of_sound_jobs <= limit,
            "{outcome:?}, simple {simple:?}"
        );
    }
}

/// Guards against a cooldown that leaves healthy jobs without any executor that has the label they need.
#[test]
fn the_only_executor_with_a_needed_label_gets_no_cooldown() {
    for (executors, with_label) in [(1, 1), (4, 1)] {
        let mut fixture = Fixture::new(executors);
        fixture.scheduler.plan = plan(4);
        let listings = (1..=executors).map(|number| {
            let mut listing = listing(number);
            if number <= with_label {
                listing.labels.push("b".into());
            }
            listing
        });
        fixture.list(listings.collect());
        let mut sequence = 0;
        for number in 1..=8 {
            let labelled = StepSpec {
                label: Some("b".into()),
                ..step(1, 1, 1_000)
            };
            fixture.submit(number, vec![labelled]);
            fixture.start_all();
            let tasks = fixture.tasks_on(1);
            assert!(!tasks.is_empty(), "job {number} of {executors} executors");
            let ends = tasks.iter().map(|key| {
                sequence += 1;
                fixture.end(sequence, *key, RunOutcome::Failed)
            });
            let ends = ends.collect();
            fixture.report(1, ends);
            fixture.pass(100);
        }
    }
}
