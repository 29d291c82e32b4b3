//! A stream of jobs of widely different sizes to one queue, more than can be served. Runs take time
//! and end by themselves; commands and reports arrive at once.

use std::time::Duration;

use job::id::JobId;
use job::placement::RoundBudget;
use job::scheduler::Command;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use model::Mono;
use model::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::Fixture;

/// The time between two placement rounds.
const ROUND_MS: u64 = 100;
/// The interval between reports of an executor on which nothing ends.
const REPORT_INTERVAL_MS: u64 = 500;
/// A job has value for this multiple of its objective.
const LATE_FACTOR: u64 = 3;

/// What the jobs of a stream are like, and how much of it can be served.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Number of executors with 64 cores.
    pub executors: usize,
    /// What may be placed in a round.
    pub budget: RoundBudget,
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// The mean number of tasks of a step.
    pub width: f64,
    /// The maximum number of steps, each of which follows the one before.
    pub steps: u32,
    /// The mean cores of a task.
    pub cores: f64,
    /// Whether the jobs are best-effort.
    pub best_effort: bool,
}

/// How many of the jobs ended before they had lost their value.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Of all.
    pub all: f64,
    /// Of the largest tenth.
    pub largest: f64,
    /// Of the fifth below it.
    pub large: f64,
}

#[derive(Clone, Copy, Debug)]
struct StreamJob {
    id: JobId,
    work: u64,
    submitted: Mono,
    value_until: Mono,
    is_served: bool,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    key: TaskKey,
    ends_at: Mono,
}

/// A scheduler whose jobs arrive as a [`Stream`].
pub struct StreamWorld {
    fixture: Fixture,
    stream: Stream,
    rng: SmallRng,
    jobs: Vec<StreamJob>,
    runs: Vec<Vec<Run>>,
    ends: Vec<u64>,
}

impl StreamWorld {
    pub fn new(stream: Stream, seed: u64) -> Self {
        Self {
            fixture: Fixture::new(stream.executors),
            stream,
            rng: SmallRng::seed_from_u64(seed),
            jobs: Vec::new(),
            runs: vec![Vec::new(); stream.executors],
            ends: vec![0; stream.executors],
        }
    }

    /// Lets jobs arrive for a minute and the time after it in which the last of them has value, and
    /// returns how many of those of the minute were served. The first seconds are not counted,
    /// because the fleet is idle when they begin.
    pub fn serve_a_minute(&mut self) -> Served {
        const COUNT_FROM_MS: u64 = 10_000;
        const MINUTE_MS: u64 = 60_000;
        const ALL_MS: u64 = 90_000;
        let begin = self.fixture.now;
        let per_round = self.stream.jobs_per_s * Duration::from_millis(ROUND_MS).as_secs_f64();
        let mut due = 0.0;
        for _ in 0..ALL_MS / ROUND_MS {
            due += per_round;
            while due >= 1.0 {
                due -= 1.0;
                self.submit();
            }
            self.round();
        }
        let counted = begin.0 + COUNT_FROM_MS..begin.0 + MINUTE_MS;
        let counted = |job: &&StreamJob| counted.contains(&job.submitted.0);
        let mut jobs: Vec<&StreamJob> = self.jobs.iter().filter(counted).collect();
        jobs.sort_by_key(|job| std::cmp::Reverse(job.work));
        let tenth = jobs.len() / 10;
        Served {
            all: served(&jobs),
            largest: served(&jobs[..tenth]),
            large: served(&jobs[tenth..3 * tenth]),
        }
    }

    /// Submits a job whose width, cores and durations vary around their means.
    fn submit(&mut self) {
        const MEAN_RUN_MS: f64 = 1_000.0;
        let stream = self.stream;
        let count = (stream.width * self.factor(0.7)).ceil().min(160.0);
        let cores_millis = (1_000.0 * stream.cores * self.factor(0.4)).min(60_000.0);
        let size = Size::new(whole(cores_millis), 1_000, 0);
        let steps: Vec<StepSpec> = (0..self.rng.random_range(1..=stream.steps))
            .map(|index| StepSpec {
                count: u32::try_from(whole(count)).expect("a small number"),
                size,
                estimate_ms: whole(MEAN_RUN_MS * self.factor(0.3)).min(2_000),
                best_effort: stream.best_effort,
                image: stream.best_effort.then(|| "batch".into()),
                after: index.checked_sub(1).into_iter().collect(),
                ..StepSpec::default()
            })
            .collect();
        let work = steps.iter().map(work_of).sum();
        let path_ms: u64 = steps.iter().map(|step| step.estimate_ms).sum();
        let value_ms = LATE_FACTOR * (2 * path_ms + 1_000);
        let number = u64::try_from(self.jobs.len() + 1).expect("few jobs");
        let now = self.fixture.now;
        self.jobs.push(StreamJob {
            id: self.fixture.submit(number, steps),
            work,
            submitted: now,
            value_until: now.after(Duration::from_millis(value_ms)),
            is_served: false,
        });
    }

    /// Returns a factor of roughly log-normal distribution with this deviation of its logarithm and
    /// a median of 1.
    fn factor(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random_range(-0.5..0.5)).sum();
        (sum * deviation).exp()
    }

    fn round(&mut self) {
        self.fixture.pass(ROUND_MS);
        let now = self.fixture.now;
        for number in 1..=self.runs.len() {
            self.report(number, now);
        }
        self.fixture.scheduler.tick(now);
        let budget = self.stream.budget;
        self.fixture.scheduler.place_within(budget, now, 0);
        while self.fixture.scheduler.has_changes() {
            self.fixture.store();
        }
        for command in self.fixture.scheduler.take_commands() {
            self.execute(&command, now);
        }
        for job in &mut self.jobs {
            if !job.is_served && job.value_until >= now {
                let state = self.fixture.scheduler.state(job.id);
                job.is_served = state == Some(JobState::Succeeded);
            }
        }
    }

    fn execute(&mut self, command: &Command, now: Mono) {
        let Command::Start {
            key, run, executor, ..
        } = *command
        else {
            return;
        };
        let fleet = &self.fixture.scheduler.fleet;
        let id = &fleet
            .get(executor)
            .expect("the executor is known")
            .listing
            .id;
        let number: usize = id[1..].parse().expect("executors are numbered");
        let step = self.fixture.scheduler.step(key).expect("the task exists");
        let ends_at = now.after(Duration::from_millis(step.estimate_ms));
        self.runs[number - 1].push(Run { key, ends_at });
        self.fixture.start_answered(key, run, StartAnswer::Started);
    }

    fn report(&mut self, number: usize, now: Mono) {
        let (ended, active): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs[number - 1])
            .into_iter()
            .partition(|run| run.ends_at <= now);
        self.runs[number - 1].clone_from(&active);
        if ended.is_empty() && now.0 % REPORT_INTERVAL_MS >= ROUND_MS {
            return;
        }
        let first = self.ends[number - 1] + 1;
        self.ends[number - 1] += u64::try_from(ended.len()).expect("few ends");
        let ended = (first..)
            .zip(&ended)
            .map(|(sequence, run)| self.fixture.end(sequence, run.key, RunOutcome::Done))
            .collect();
        let running = active.iter();
        let running = running.map(|run| self.fixture.running(run.key, 50, 0));
        let running = running.collect();
        self.fixture.report_rows(number, running, ended);
        let executor = self.fixture.executor(number);
        self.fixture.scheduler.grant_lease(executor, now);
    }
}

/// The work of a step, in thousandths of a core times milliseconds.
fn work_of(step: &StepSpec) -> u64 {
    u64::from(step.count) * step.size.cpu_millis * step.estimate_ms
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers are small and positive"
)]
const fn whole(number: f64) -> u64 {
    number as u64
}

#[expect(clippy::cast_precision_loss, reason = "there are few jobs")]
fn served(jobs: &[&StreamJob]) -> f64 {
    let served = jobs.iter().filter(|job| job.is_served).count();
    served as f64 / jobs.len().max(1) as f64
}
