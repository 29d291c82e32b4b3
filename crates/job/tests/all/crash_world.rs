//! Executors that crash when certain tasks start on them, and come back under another name at the
//! same address.

use std::time::Duration;

use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::id::JobId;
use job::id::TaskId;
use job::lease_record::LeaseRecord;
use job::scheduler::ActiveRun;
use job::scheduler::Command;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use job::task::RunMetrics;
use model::Map;
use model::Mono;

use crate::fixture::Fixture;
use crate::fixture::LEASE;
use crate::fixture::listing;

/// The time between two steps of the world, in milliseconds.
const STEP_MS: u64 = 100;
/// The interval between lists of the executors, in milliseconds.
const LIST_INTERVAL_MS: u64 = 1_000;
/// How long a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between reports of an executor, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

/// How an executor crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// A process under another name comes back after this time, in milliseconds.
    Renamed(u64),
    /// A process under the same name comes back after this time, in milliseconds.
    SameName(u64),
    /// The executor was only cut off, and answers again after this time, in milliseconds.
    CutOff(u64),
}

/// An address at which one process after the other listens.
#[derive(Clone, Debug)]
struct Place {
    number: usize,
    life: u32,
    started_unix_ms: u64,
    /// The runs that the process executes, with their start.
    runs: Vec<(TaskKey, u64, Mono)>,
    ends: u64,
    /// The runs that ended because another member of their gang did.
    broken: Vec<(TaskKey, u64)>,
    /// Until when the process is away, and how it returns.
    away: Option<(Mono, Return)>,
    draining: bool,
}

/// A scheduler, its executors and the tasks that crash them.
pub struct CrashWorld {
    pub fixture: Fixture,
    places: Vec<Place>,
    deadly: Vec<(JobId, u32)>,
    returns: Return,
    /// Whether executors announce that they leave before their process ends.
    drains: bool,
    /// The latest record of each job.
    stored: Map<JobId, Vec<u8>>,
    /// The latest row about leases.
    stored_leases: Vec<u8>,
    /// The number of starts of each task.
    pub starts: Map<TaskKey, u32>,
    /// The number of crashes during which each task was active.
    pub crashes: Map<TaskKey, u32>,
}

impl Place {
    fn id(&self) -> String {
        format!("e{}-{}", self.number, self.life)
    }

    fn end(&mut self, task: Option<TaskId>, run: u64, outcome: RunOutcome) -> EndedRun {
        self.ends += 1;
        EndedRun {
            sequence: self.ends,
            task,
            run,
            outcome,
            checkpoint: None,
        }
    }

    fn listing(&self) -> Listing {
        Listing {
            id: self.id().into(),
            started_unix_ms: self.started_unix_ms,
            draining: self.draining,
            ..listing(self.number)
        }
    }
}

impl CrashWorld {
    /// Creates a world with this number of executors, which return in this way.
    pub fn new(executors: usize, returns: Return) -> Self {
        let places = (1..=executors).map(|number| Place {
            number,
            life: 0,
            started_unix_ms: 1_000,
            runs: Vec::new(),
            ends: 0,
            broken: Vec::new(),
            away: None,
            draining: false,
        });
        let mut world = Self {
            fixture: Fixture::new(0),
            places: places.collect(),
            deadly: Vec::new(),
            returns,
            drains: false,
            stored: Map::default(),
            stored_leases: b"{}".to_vec(),
            starts: Map::default(),
            crashes: Map::default(),
        };
        world.list();
        world
    }

    /// Submits a job.
    pub fn submit(&mut self, number: u64, steps: Vec<StepSpec>) -> JobId {
        self.fixture.submit(number, steps)
    }

    /// Makes a task crash each executor that starts it.
    pub fn make_deadly(&mut self, job: JobId, slot: u32) -> TaskKey {
        self.deadly.push((job, slot));
        let job = self.fixture.scheduler.find(job).expect("the job exists");
        TaskKey { job, slot }
    }

    /// Crashes the executor on which a task runs.
    pub fn crash_below(&mut self, key: TaskKey) {
        let place = self.place_of(key).expect("the task runs");
        self.crash(place);
    }

    /// From now on each executor announces that it leaves before its process ends.
    pub const fn drain_all_when_they_end(&mut self) {
        self.drains = true;
    }

    /// Returns whether an executor runs the task.
    pub fn is_running(&self, key: TaskKey) -> bool {
        self.place_of(key).is_some()
    }

    fn place_of(&self, key: TaskKey) -> Option<usize> {
        let mut places = self.places.iter();
        places.position(|place| place.runs.iter().any(|run| run.0 == key))
    }

    /// Replaces the owner by a successor that reads what it has stored.
    pub fn take_over(&mut self) {
        let now = self.fixture.now;
        let earlier = std::mem::replace(&mut self.fixture, Fixture::new(0));
        self.fixture.now = now;
        for (id, row) in &self.stored {
            let record = serde_json::from_slice(row).expect("a valid record");
            let submission = earlier.submission(*id);
            self.fixture.scheduler.restore(submission, &record, now);
        }
        self.fixture.scheduler.inherit_leases(now, now.after(LEASE));
        let leases: LeaseRecord = serde_json::from_slice(&self.stored_leases).expect("a valid row");
        self.fixture.scheduler.inherit_silence(&leases.silent, now);
        self.list();
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Lets time pass until a condition holds. Panics if that takes longer than `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) {
        for _ in 0..limit_ms / STEP_MS {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("the condition does not hold within {limit_ms} ms");
    }

    fn step(&mut self) {
        self.fixture.pass(STEP_MS);
        let now = self.fixture.now;
        self.return_processes();
        if now.0.is_multiple_of(LIST_INTERVAL_MS) {
            self.list();
        }
        for place in 0..self.places.len() {
            if now.0.is_multiple_of(REPORT_INTERVAL_MS) || self.is_report_due(place) {
                self.report(place);
            }
        }
        self.fixture.scheduler.tick(now);
        self.fixture.place();
        self.store();
        for command in self.fixture.scheduler.take_commands() {
            self.execute(&command);
        }
    }

    fn store(&mut self) {
        let scheduler = &mut self.fixture.scheduler;
        let batch = scheduler.take_batch(100, usize::MAX);
        self.stored.extend(batch.rows.iter().cloned());
        scheduler.batch_stored(batch, self.fixture.now);
        if scheduler.is_silence_due(self.fixture.now) {
            let leases = LeaseRecord {
                witnesses: Vec::new(),
                silent: scheduler.begin_storing_silence(self.fixture.now),
            };
            self.stored_leases = serde_json::to_vec(&leases).expect("a row can be serialised");
            scheduler.silence_stored(true);
        }
    }

    fn return_processes(&mut self) {
        let now = self.fixture.now;
        for place in &mut self.places {
            let Some((until, returns)) = place.away else {
                continue;
            };
            if now < until {
                continue;
            }
            place.away = None;
            place.draining = false;
            match returns {
                Return::Renamed(_) => place.life += 1,
                Return::SameName(_) => {}
                Return::CutOff(ms) => {
                    if u128::from(ms) > LEASE.as_millis() {
                        place.runs.clear();
                    }
                    continue;
                }
            }
            place.started_unix_ms = now.0;
            place.ends = 0;
            place.broken.clear();
        }
    }

    fn list(&mut self) {
        let present = self.places.iter().filter(|place| place.away.is_none());
        let listings = present.map(Place::listing).collect();
        self.fixture.list(listings);
    }

    /// Returns whether the owner polls an executor at once, which it has not done yet in this step.
    fn is_report_due(&self, index: usize) -> bool {
        let key = self.key_of(index);
        let executor = key.and_then(|key| self.fixture.scheduler.fleet.get(key));
        executor
            .and_then(|executor| executor.report_due_since)
            .is_some_and(|since| since < self.fixture.now)
    }

    fn report(&mut self, index: usize) {
        let now = self.fixture.now;
        let Some(executor) = self.key_of(index) else {
            return;
        };
        if self.places[index].away.is_some() {
            self.fixture.scheduler.mark_unreachable(executor, now);
            return;
        }
        self.fixture.scheduler.grant_lease(executor, now);
        self.end_lone_members(index);
        let place = &mut self.places[index];
        let scheduler = &self.fixture.scheduler;
        let is_over = |key: TaskKey, since: Mono| {
            scheduler.step(key).is_none_or(|step| {
                !step.long_running && now.since(since).as_millis() >= u128::from(step.estimate_ms)
            })
        };
        let mut report = Report {
            started_unix_ms: Some(place.started_unix_ms),
            clock_ms: now.0,
            ..Report::default()
        };
        for (key, run) in std::mem::take(&mut place.broken) {
            let task = scheduler.task_id(key);
            report
                .ended
                .push(place.end(task, run, RunOutcome::Interrupted));
        }
        for (key, run, since) in std::mem::take(&mut place.runs) {
            let task = scheduler.task_id(key);
            if is_over(key, since) {
                report.ended.push(place.end(task, run, RunOutcome::Done));
                continue;
            }
            place.runs.push((key, run, since));
            report.running.push(ActiveRun {
                task,
                run,
                checkpoint: None,
                metrics: RunMetrics {
                    progress: 50,
                    tail_ms_or_cpu_millis: 0,
                },
            });
        }
        self.fixture
            .scheduler
            .report(executor, &report, Mono(now.0 - 1), now);
    }

    /// Ends runs of members of gangs of which not all members run.
    fn end_lone_members(&mut self, index: usize) {
        let (now, scheduler) = (self.fixture.now, &self.fixture.scheduler);
        let present = |key: TaskKey| {
            let runs = self.places.iter().flat_map(|place| &place.runs);
            u32::try_from(runs.filter(|run| run.0.job == key.job).count()).unwrap_or(0)
        };
        let (alone, others): (Vec<_>, Vec<_>) =
            self.places[index].runs.iter().copied().partition(|run| {
                let step = scheduler.step(run.0);
                let is_alone = step.is_some_and(|step| step.gang && present(run.0) < step.count);
                is_alone && now.since(run.2) >= GANG_TIMEOUT
            });
        let place = &mut self.places[index];
        place.runs = others;
        let alone = alone.into_iter().map(|(key, run, _)| (key, run));
        place.broken.extend(alone);
    }

    fn key_of(&self, index: usize) -> Option<ExecutorKey> {
        let id = self.places[index].id();
        self.fixture.scheduler.fleet.find(&id)
    }

    fn execute(&mut self, command: &Command) {
        let now = self.fixture.now;
        let place = (0..self.places.len())
            .find(|index| self.key_of(*index) == Some(command.executor()))
            .filter(|index| self.places[*index].away.is_none());
        match command {
            Command::Start { key, run, .. } => {
                let answer = match place {
                    Some(place) => self.start(place, *key, *run),
                    None => StartAnswer::Unanswered,
                };
                self.fixture
                    .scheduler
                    .start_answered(*key, *run, answer, now);
            }
            Command::Stop { key, run, .. } => {
                if let (Some(place), Some(key)) = (place, *key) {
                    self.places[place].runs.retain(|active| active.0 != key);
                    self.fixture.scheduler.stop_confirmed(key, *run, now);
                }
            }
            Command::Throttle { .. } => {}
        }
    }

    fn start(&mut self, place: usize, key: TaskKey, run: u64) -> StartAnswer {
        *self.starts.entry(key).or_default() += 1;
        let now = self.fixture.now;
        if let Some(executor) = self.key_of(place) {
            self.fixture.scheduler.grant_lease(executor, now);
        }
        self.places[place].runs.push((key, run, now));
        let job = self.fixture.scheduler.job(key.job).expect("the job exists");
        if self.deadly.contains(&(job.id, key.slot)) {
            self.crash(place);
        }
        StartAnswer::Started
    }

    /// Ends the runs of all other members of a gang.
    fn break_gang(&mut self, key: TaskKey) {
        let step = self.fixture.scheduler.step(key);
        if !step.is_some_and(|step| step.gang) {
            return;
        }
        for place in &mut self.places {
            let (members, others): (Vec<_>, Vec<_>) = std::mem::take(&mut place.runs)
                .into_iter()
                .partition(|run| run.0.job == key.job);
            place.runs = others;
            let broken = members.into_iter().map(|(key, run, _)| (key, run));
            place.broken.extend(broken);
        }
    }

    fn crash(&mut self, index: usize) {
        let now = self.fixture.now;
        let (Return::Renamed(ms) | Return::SameName(ms) | Return::CutOff(ms)) = self.returns;
        let returns = self.returns;
        if self.drains {
            self.places[index].draining = true;
            self.list();
        }
        let place = &mut self.places[index];
        place.away = Some((now.after(Duration::from_millis(ms)), returns));
        if !matches!(returns, Return::CutOff(_)) {
            for (key, _, _) in std::mem::take(&mut place.runs) {
                *self.crashes.entry(key).or_default() += 1;
                self.break_gang(key);
            }
        }
        if let Some(executor) = self.key_of(index) {
            self.fixture.scheduler.mark_unreachable(executor, now);
        }
    }
}
