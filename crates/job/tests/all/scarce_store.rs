//! A replay of a load whose changes arise faster than the store takes them.

use std::sync::Arc;
use std::time::Duration;

use job::id::JobId;
use job::scheduler::Batch;
use job::scheduler::Command;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::spec::StepSpec;

use crate::fixture::Fixture;
use crate::fixture::best_effort;
use crate::fixture::plan;
use crate::fixture::step;

/// Number of executors; their room suffices for all jobs.
const EXECUTORS: usize = 40;
/// Time that passes between two steps of the simulation, in milliseconds.
const STEP_MS: u64 = 20;
/// Duration of a transaction, in milliseconds. The next one begins when it ends.
const TRANSACTION_MS: u64 = 100;
/// The most rows of a transaction.
const ROWS: usize = 10;
/// Intervals between two jobs of a kind, in milliseconds.
const SHORT_INTERVAL_MS: u64 = 240;
const WIDE_INTERVAL_MS: u64 = 40;
/// How long jobs are submitted, and how much longer the simulation lasts, in milliseconds.
const LOAD_MS: u64 = 12_000;
const FINISH_MS: u64 = 6_000;
/// The objective of a job: this multiple of its critical path and this time.
const STRETCH: f64 = 1.5;
const TARGET: Duration = Duration::from_millis(500);
/// Jobs of a kind have to be in time at least once for this many times that others are.
const MAX_DISPARITY: usize = 2;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Short,
    Wide,
}

struct SubmittedJob {
    id: JobId,
    kind: Kind,
    objective_ends_ms: u64,
    in_time: bool,
}

/// An owner with a slow store, and executors that answer at once.
struct ScarceStore {
    fixture: Fixture,
    jobs: Vec<SubmittedJob>,
    /// The runs on each executor and when they end.
    runs: Vec<Vec<(TaskKey, u64)>>,
    sequences: Vec<u64>,
    /// The transaction that is on its way.
    batch: Batch,
}

impl ScarceStore {
    fn new() -> Self {
        let mut fixture = Fixture::new(EXECUTORS);
        let mut plan = (*plan(2)).clone();
        let mut queue = plan.queues[0].clone();
        queue.stretch = STRETCH;
        queue.target = TARGET;
        plan.queues = vec![queue].into();
        fixture.scheduler.plan = Arc::new(plan);
        Self {
            fixture,
            jobs: Vec::new(),
            runs: vec![Vec::new(); EXECUTORS],
            sequences: vec![0; EXECUTORS],
            batch: Batch::default(),
        }
    }

    fn run(&mut self) {
        for elapsed_ms in
            (0..LOAD_MS + FINISH_MS).step_by(usize::try_from(STEP_MS).expect("a small number"))
        {
            if elapsed_ms < LOAD_MS {
                self.submit(elapsed_ms);
            }
            if elapsed_ms.is_multiple_of(TRANSACTION_MS) {
                self.store();
                self.start();
            }
            self.end_runs();
            self.fixture.place();
            self.record_ended_jobs();
            self.fixture.pass(STEP_MS);
        }
    }

    fn submit(&mut self, elapsed_ms: u64) {
        if elapsed_ms.is_multiple_of(SHORT_INTERVAL_MS) {
            self.submit_job(Kind::Short, &step(4, 4, 1_000));
        }
        if elapsed_ms.is_multiple_of(WIDE_INTERVAL_MS) {
            self.submit_job(Kind::Wide, &best_effort(10, 1, "fill"));
        }
    }

    /// Submits a job of two equal steps, one after the other.
    fn submit_job(&mut self, kind: Kind, first: &StepSpec) {
        let second = StepSpec {
            after: vec![0],
            ..first.clone()
        };
        let path_ms = first.estimate_ms + second.estimate_ms;
        let objective = Duration::from_millis(path_ms).mul_f64(STRETCH) + TARGET;
        let number = self.jobs.len() as u64 + 1;
        let id = self.fixture.submit(number, vec![first.clone(), second]);
        self.jobs.push(SubmittedJob {
            id,
            kind,
            objective_ends_ms: self.fixture.now.after(objective).0,
            in_time: false,
        });
    }

    /// Ends the transaction that is on its way and begins the next one.
    fn store(&mut self) {
        let scheduler = &mut self.fixture.scheduler;
        scheduler.batch_stored(std::mem::take(&mut self.batch), self.fixture.now);
        self.batch = scheduler.take_batch(ROWS, usize::MAX);
    }

    fn start(&mut self) {
        let now = self.fixture.now;
        for command in self.fixture.scheduler.take_commands() {
            let Command::Start {
                key, run, executor, ..
            } = command
            else {
                continue;
            };
            let scheduler = &mut self.fixture.scheduler;
            scheduler.start_answered(key, run, StartAnswer::Started, now);
            let estimate_ms = scheduler.step(key).map_or(0, |step| step.estimate_ms);
            // Runs of a step end one after another, within their estimate.
            let took_ms = estimate_ms / 2 + estimate_ms * u64::from(key.slot % 10) / 20;
            let number = (1..=EXECUTORS).find(|number| self.fixture.executor(*number) == executor);
            let number = number.expect("the executor is listed");
            self.runs[number - 1].push((key, now.0 + took_ms));
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.fixture.now.0;
        for number in 1..=EXECUTORS {
            let runs = &mut self.runs[number - 1];
            let due: Vec<TaskKey> = runs
                .extract_if(.., |(_, ends_ms)| *ends_ms <= now_ms)
                .map(|(key, _)| key)
                .collect();
            if due.is_empty() {
                continue;
            }
            let mut ended = Vec::new();
            for key in due {
                self.sequences[number - 1] += 1;
                let sequence = self.sequences[number - 1];
                ended.push(self.fixture.end(sequence, key, RunOutcome::Done));
            }
            self.fixture.report(number, ended);
        }
    }

    fn record_ended_jobs(&mut self) {
        let scheduler = &self.fixture.scheduler;
        let now_ms = self.fixture.now.0;
        for job in &mut self.jobs {
            let succeeded = scheduler.state(job.id) == Some(JobState::Succeeded);
            job.in_time |= succeeded && now_ms <= job.objective_ends_ms;
        }
    }

    /// Returns the number of jobs of a kind, and how many of them were in time.
    fn count(&self, kind: Kind) -> (usize, usize) {
        let jobs = || self.jobs.iter().filter(|job| job.kind == kind);
        (jobs().count(), jobs().filter(|job| job.in_time).count())
    }
}

/// SHORT at scale: one kind of job earned nearly nothing, because each change of its jobs waited
/// behind the changes of all others.
#[test]
fn short_jobs_are_in_time_while_changes_of_wide_jobs_wait_for_the_store() {
    let mut load = ScarceStore::new();
    load.run();
    let (short, short_in_time) = load.count(Kind::Short);
    let (wide, wide_in_time) = load.count(Kind::Wide);
    assert!(
        short_in_time * wide * MAX_DISPARITY >= wide_in_time * short,
        "in time: {short_in_time} of {short} short jobs, {wide_in_time} of {wide} wide jobs"
    );
    assert!(
        wide_in_time * short * MAX_DISPARITY >= short_in_time * wide,
        "in time: {short_in_time} of {short} short jobs, {wide_in_time} of {wide} wide jobs"
    );
}
