//! Replays of loads as tables of arrivals and faults, with callers that come back after a refusal.
//! Runs take time and end by themselves; commands and reports arrive at once.

use std::sync::Arc;
use std::time::Duration;

use job::admission::Admission;
use job::admission::OBSERVATION_INTERVAL;
use job::admission::decision::Admit;
use job::admission::decision::JobTerms;
use job::id::JobId;
use job::plan::Plan;
use job::plan::Queue;
use job::scheduler::Command;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::Submission;
use job::scheduler::TaskKey;
use job::spec::JobSpec;
use job::spec::StepSpec;
use model::Mono;
use model::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission_load::Load;
use crate::admission_load::Outcome;
use crate::admission_load::Policy;
use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::plan;

/// The time between two placement rounds.
const ROUND_MS: u64 = 100;
/// The interval between reports of an executor on which nothing ends.
const REPORT_INTERVAL_MS: u64 = 500;
/// How often a caller submits a job at most.
const MAX_ATTEMPTS: u32 = 5;
/// When a caller comes back that a fixed limit refused: what hosts without a store answer.
const FIXED_RETRY_MS: u64 = 1_000;
/// The CPU of an executor, in thousandths of a core.
const EXECUTOR_CPU_MILLIS: f64 = 64_000.0;
/// How long callers go on after the last arrival.
const AFTERMATH_MS: u64 = 90_000;

struct WorldJob {
    id: JobId,
    caller: usize,
    spec: Arc<JobSpec>,
    first_at: Mono,
    objective: Duration,
    attempts: u32,
    next_attempt: Option<Mono>,
    accepted: bool,
    last_refused: Option<Mono>,
    ended_at: Option<Mono>,
    succeeded: bool,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    key: TaskKey,
    ends_at: Mono,
}

struct World {
    fixture: Fixture,
    load: Load,
    policy: Policy,
    admission: Admission,
    rng: SmallRng,
    jobs: Vec<WorldJob>,
    runs: Vec<Vec<Run>>,
    ends: Vec<u64>,
    observed_at: Mono,
    begin: Mono,
    due: Vec<f64>,
    returned_at: Vec<Mono>,
}

/// Replays a load. Returns the outcome by caller.
pub fn replay(load: Load, policy: Policy, seed: u64) -> Vec<Outcome> {
    let mut world = World::new(load, policy, seed);
    let end = load.phases.last().expect("a phase").0;
    for at in (0..end + AFTERMATH_MS).step_by(usize::try_from(ROUND_MS).expect("small")) {
        world.round(at);
    }
    world.outcomes()
}

/// Returns a plan with a queue for each caller.
fn plan_of(load: Load) -> Arc<Plan> {
    let mut plan = (*plan(3)).clone();
    let queue = plan.queues[0].clone();
    plan.queues = (0..load.callers.len())
        .map(|caller| Queue {
            name: queue_name(caller),
            path_prefix: format!("/{caller}/").into(),
            ..queue.clone()
        })
        .collect();
    Arc::new(plan)
}

fn queue_name(caller: usize) -> Arc<str> {
    format!("q{caller}").into()
}

impl World {
    fn new(load: Load, policy: Policy, seed: u64) -> Self {
        let mut fixture = Fixture::new(load.executors);
        fixture.scheduler.plan = plan_of(load);
        Self {
            begin: fixture.now,
            observed_at: fixture.now,
            fixture,
            load,
            policy,
            admission: Admission::default(),
            rng: SmallRng::seed_from_u64(seed),
            jobs: Vec::new(),
            runs: vec![Vec::new(); load.executors],
            ends: vec![0; load.executors],
            due: vec![0.0; load.callers.len()],
            returned_at: Vec::new(),
        }
    }

    fn round(&mut self, at: u64) {
        self.fixture.pass(ROUND_MS);
        let now = self.fixture.now;
        for number in 1..=self.runs.len() {
            if self.is_cut_off(number, at) {
                let executor = self.fixture.executor(number);
                self.fixture.scheduler.mark_unreachable(executor, now);
                let cut_at = self.load.cut_off.map_or(0, |(_, from, _)| from);
                if at >= cut_at + model::time::millis(LEASE) {
                    self.runs[number - 1].clear();
                }
            } else {
                self.report(number, now);
            }
        }
        self.fixture.scheduler.tick(now);
        if now.since(self.observed_at) >= OBSERVATION_INTERVAL {
            self.observed_at = now;
            let backlog = self.fixture.scheduler.take_backlog(now);
            self.admission.observe(&backlog, now);
        }
        self.fixture.place();
        while self.fixture.scheduler.has_changes() {
            self.fixture.store();
        }
        for command in self.fixture.scheduler.take_commands() {
            self.execute(&command, now);
        }
        // What is free now, waiting work cannot use.
        self.arrive(at);
        self.attempt_all(now);
        for job in self.jobs.iter_mut().filter(|job| job.ended_at.is_none()) {
            let state = self.fixture.scheduler.state(job.id);
            if state.is_some_and(JobState::is_final) {
                job.ended_at = Some(now);
                job.succeeded = state == Some(JobState::Succeeded);
            }
        }
    }

    fn is_cut_off(&self, number: usize, at: u64) -> bool {
        let cut_off = self.load.cut_off;
        cut_off.is_some_and(|(executors, from, until)| {
            number <= executors && (from..until).contains(&at)
        })
    }

    /// Lets the jobs arrive that are due in this round.
    fn arrive(&mut self, at: u64) {
        if self.load.large_jobs.contains(&at) {
            let tasks = u32::try_from(self.load.executors).expect("few executors");
            let step = StepSpec {
                count: tasks,
                size: Size::new(60_000, 1_000, 0),
                estimate_ms: 3_000,
                ..StepSpec::default()
            };
            self.add_job(0, vec![step]);
        }
        let phase = self.load.phases.iter().find(|(until, _)| at < *until);
        let Some((_, factor)) = phase else {
            return;
        };
        let executors = u32::try_from(self.load.executors).expect("few executors");
        let capacity = f64::from(executors) * EXECUTOR_CPU_MILLIS * 100.0;
        for caller in 0..self.load.callers.len() {
            self.due[caller] += capacity * factor * self.load.callers[caller].part;
            while self.due[caller] > 0.0 {
                let steps = self.steps(caller);
                let work: f64 = steps.iter().map(work_of).sum();
                self.due[caller] -= work;
                self.add_job(caller, steps);
            }
        }
    }

    /// Returns the steps of a job whose width, cores and durations vary around their means.
    fn steps(&mut self, caller: usize) -> Vec<StepSpec> {
        let caller = self.load.callers[caller];
        let count = (caller.width * self.factor(0.7)).ceil().clamp(1.0, 120.0);
        let cores_millis = (4_000.0 * self.factor(0.4)).clamp(500.0, 30_000.0);
        (0..self.rng.random_range(1_u32..=2))
            .map(|index| StepSpec {
                count: u32::try_from(whole(count)).expect("a small number"),
                size: Size::new(whole(cores_millis), 1_000, 0),
                estimate_ms: whole(800.0 * self.factor(0.3)).min(2_000),
                best_effort: caller.best_effort,
                image: caller.best_effort.then(|| "batch".into()),
                after: index.checked_sub(1).into_iter().collect(),
                ..StepSpec::default()
            })
            .collect()
    }

    /// Returns a factor of roughly log-normal distribution with this deviation of its logarithm and
    /// a median of 1.
    fn factor(&mut self, deviation: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random_range(-0.5..0.5)).sum();
        (sum * deviation).exp()
    }

    fn add_job(&mut self, caller: usize, steps: Vec<StepSpec>) {
        let number = u64::try_from(self.jobs.len() + 1).expect("few jobs");
        let path_ms: u64 = steps.iter().map(|step| step.estimate_ms).sum();
        self.jobs.push(WorldJob {
            id: JobId::parse(&format!("{number:016x}")).expect("a valid id"),
            caller,
            spec: Arc::new(JobSpec {
                payload: "payload".into(),
                steps,
                repeat: None,
            }),
            first_at: self.fixture.now,
            // The queues of the fixture have a stretch of 2 and a target of 1 s.
            objective: Duration::from_millis(2 * path_ms + 1_000),
            attempts: 0,
            next_attempt: Some(self.fixture.now),
            accepted: false,
            last_refused: None,
            ended_at: None,
            succeeded: false,
        });
    }

    fn attempt_all(&mut self, now: Mono) {
        for index in 0..self.jobs.len() {
            if self.jobs[index].next_attempt.is_some_and(|at| at <= now) {
                self.attempt(index, now);
            }
        }
    }

    fn attempt(&mut self, index: usize, now: Mono) {
        let (id, spec) = (self.jobs[index].id, self.jobs[index].spec.clone());
        let queue = queue_name(self.jobs[index].caller);
        if self.jobs[index].attempts > 0 {
            self.returned_at.push(now);
        }
        let retry_ms = self.retry_after_ms(id, &queue, &spec, now);
        let job = &mut self.jobs[index];
        job.attempts += 1;
        job.next_attempt = None;
        let Some(retry_ms) = retry_ms else {
            job.accepted = true;
            let submission = Submission {
                id,
                queue,
                age_ms: 0,
                row_version: 1,
                terms: None,
                spec,
            };
            self.fixture.scheduler.submit(submission, now);
            return;
        };
        job.last_refused = Some(now);
        if job.attempts < MAX_ATTEMPTS {
            job.next_attempt = Some(now.after(Duration::from_millis(retry_ms)));
        }
    }

    /// Returns after which time a refused caller comes back, or `None` if the job is accepted.
    fn retry_after_ms(
        &mut self,
        id: JobId,
        queue: &Arc<str>,
        spec: &JobSpec,
        now: Mono,
    ) -> Option<u64> {
        match self.policy {
            Policy::None => None,
            Policy::MaxWaiting(limit) => {
                let waiting: usize = self.fixture.scheduler.pending().values().sum();
                (waiting >= limit).then_some(FIXED_RETRY_MS)
            }
            Policy::Admission => {
                let plan = self.fixture.scheduler.plan.clone();
                let queue = plan.queue(queue)?;
                let terms = JobTerms::new(queue, spec)?;
                let first = spec.steps.iter().filter(|step| step.after.is_empty());
                let scheduler = &self.fixture.scheduler;
                let has_room = scheduler.has_room_to_begin(&queue.service, first, now);
                match self.admission.admit(id, &terms, has_room, now) {
                    Admit::Accept => None,
                    Admit::Refuse { retry_after } => {
                        Some(model::time::millis(retry_after).div_ceil(1_000) * 1_000)
                    }
                }
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
        let id = &fleet.get(executor).expect("known").listing.id;
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
        let executor = self.fixture.executor(number);
        let fleet = &self.fixture.scheduler.fleet;
        let was_reachable = fleet
            .get(executor)
            .is_some_and(|executor| executor.reachable);
        if was_reachable && ended.is_empty() && now.0 % REPORT_INTERVAL_MS >= ROUND_MS {
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
        self.fixture.scheduler.grant_lease(executor, now);
    }

    fn outcomes(&self) -> Vec<Outcome> {
        let callers = 0..self.load.callers.len();
        callers.map(|caller| self.outcome(caller)).collect()
    }

    fn outcome(&self, caller: usize) -> Outcome {
        let mut outcome = Outcome::default();
        let mut refused_after: Vec<u64> = Vec::new();
        for job in self.jobs.iter().filter(|job| job.caller == caller) {
            outcome.jobs += 1;
            if !job.accepted {
                outcome.refused += 1;
                let last = job.last_refused.unwrap_or(job.first_at);
                refused_after.push(model::time::millis(last.since(job.first_at)));
                continue;
            }
            let took = job.ended_at.map(|at| at.since(job.first_at));
            match took.filter(|_| job.succeeded) {
                Some(took) if took <= job.objective => outcome.in_time += 1,
                Some(took) if took <= job.objective * 3 => outcome.late += 1,
                Some(_) => outcome.worthless += 1,
                None => outcome.never += 1,
            }
            if job.last_refused.is_some() && took.is_some_and(|took| took <= job.objective * 3) {
                outcome.served_after_refusal += 1;
            }
        }
        refused_after.sort_unstable();
        let median = refused_after.get(refused_after.len() / 2).copied();
        outcome.refused_after_ms = (
            median.unwrap_or(0),
            refused_after.last().copied().unwrap_or(0),
        );
        let mut waves: std::collections::BTreeMap<u64, usize> = std::collections::BTreeMap::new();
        for at in &self.returned_at {
            *waves.entry(at.since(self.begin).as_secs()).or_default() += 1;
        }
        outcome.largest_wave = waves.values().copied().max().unwrap_or(0);
        outcome.value = count(outcome.in_time) + count(outcome.late) / 2.0;
        outcome
    }
}

/// The work of a step, in thousandths of a core times milliseconds.
fn work_of(step: &StepSpec) -> f64 {
    let (cpu, ms) = (step.size.cpu_millis, step.estimate_ms);
    f64::from(step.count) * count(usize::try_from(cpu * ms).expect("a small number"))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers are small and positive"
)]
const fn whole(number: f64) -> u64 {
    number as u64
}

#[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
pub const fn count(number: usize) -> f64 {
    number as f64
}
