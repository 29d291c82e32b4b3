//! Jobs with tasks that are slower away from their data and gangs that are slower in several racks.
//! Runs take time by where they are and end by themselves; commands and reports arrive at once.

use std::ops::Add;
use std::time::Duration;

use derive_more::Display;
use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::id::JobId;
use job::locality::Rule;
use job::scheduler::Command;
use job::scheduler::Event;
use job::scheduler::JobKey;
use job::scheduler::JobState;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use model::Map;
use model::Mono;
use model::Size;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::step;
use crate::locality_loads::note_near_start;
use crate::locality_loads::note_round;

/// The number of racks.
const RACKS: usize = 6;
/// The executors of each rack.
const EXECUTORS_PER_RACK: usize = 3;
const CORES: u64 = 16;
const ROUND_MS: u64 = 100;
const REPORT_INTERVAL_MS: u64 = 500;
/// Jobs arrive for this long.
const ARRIVALS_MS: u64 = 40_000;
/// The time after the arrivals in which the last jobs end.
const REST_MS: u64 = 20_000;
/// When what disturbs the load begins and ends.
const DISTURBED_MS: std::ops::Range<u64> = 8_000..28_000;

/// The kinds of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Tasks whose data is in one rack.
    Data,
    /// Gangs that are slower in more than one rack.
    Gang,
    /// Tasks that run equally well everywhere.
    Anywhere,
}

/// What happens to the first rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Most of the jobs with data want it for some time.
    Hot,
    /// Long-running tasks hold all of it.
    Full,
    /// Its executors disappear for some time.
    Lost,
}

/// A table of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub trouble: Trouble,
    /// Jobs a second, of which half have data and one in ten is a gang.
    pub jobs_per_s: f64,
    pub remote_slowdown: f64,
}

/// What became of the jobs of one class.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{in_time}/{late}/{worthless}")]
pub struct Ends {
    pub in_time: u32,
    /// Done by three times the objective.
    pub late: u32,
    /// Done later or never.
    pub worthless: u32,
}

/// What became of all jobs.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{data}, {gang}, {anywhere}; {waited_near}/{waited_elsewhere}")]
pub struct Outcome {
    pub data: Ends,
    pub gang: Ends,
    pub anywhere: Ends,
    /// Tasks that waited for a place and started there, and those that started elsewhere.
    pub waited_near: u32,
    pub waited_elsewhere: u32,
}

impl Ends {
    const fn jobs(&self) -> u32 {
        self.in_time + self.late + self.worthless
    }
}

impl Add for Ends {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            worthless: self.worthless + other.worthless,
        }
    }
}

impl Outcome {
    pub const fn in_time(&self) -> u32 {
        self.data.in_time + self.gang.in_time + self.anywhere.in_time
    }

    pub const fn jobs(&self) -> u32 {
        self.data.jobs() + self.gang.jobs() + self.anywhere.jobs()
    }
}

impl Add for Outcome {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            data: self.data + other.data,
            gang: self.gang + other.gang,
            anywhere: self.anywhere + other.anywhere,
            waited_near: self.waited_near + other.waited_near,
            waited_elsewhere: self.waited_elsewhere + other.waited_elsewhere,
        }
    }
}

#[derive(Clone, Debug)]
struct WorldJob {
    id: JobId,
    class: Class,
    submitted: Mono,
    objective_ms: u64,
    ended: Option<Mono>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    key: TaskKey,
    /// What is left of its time in the right place, in milliseconds.
    left_ms: f64,
}

/// A scheduler whose jobs arrive as a [`Load`].
pub struct LocalityWorld {
    fixture: Fixture,
    load: Load,
    rng: SmallRng,
    jobs: Vec<WorldJob>,
    /// How long each task of a job runs in the right place, in milliseconds.
    lengths: Map<JobKey, Vec<f64>>,
    runs: Vec<Vec<Run>>,
    ends: Vec<u64>,
    outcome: Outcome,
}

fn rack_of(number: usize) -> usize {
    (number - 1) / EXECUTORS_PER_RACK
}

fn listing_of(number: usize) -> Listing {
    Listing {
        labels: vec![format!("r1-{}", rack_of(number)).into(), "cpu".into()],
        data_centre: format!("dc{}", rack_of(number) % 2).into(),
        capacity: Size::new(CORES * 1_000, 64_000, 0),
        ..listing(number)
    }
}

impl LocalityWorld {
    /// Creates a world in which this rule decides about waits.
    pub fn new(load: Load, rule: Rule, seed: u64) -> Self {
        let executors = RACKS * EXECUTORS_PER_RACK;
        let mut fixture = Fixture::new(0);
        fixture.scheduler.timing.remote_slowdown = load.remote_slowdown;
        fixture.scheduler.locality.rule = rule;
        fixture.list((1..=executors).map(listing_of).collect());
        let mut world = Self {
            fixture,
            load,
            rng: SmallRng::seed_from_u64(seed),
            jobs: Vec::new(),
            lengths: Map::default(),
            runs: vec![Vec::new(); executors],
            ends: vec![0; executors],
            outcome: Outcome::default(),
        };
        if load.trouble == Trouble::Full {
            world.fill_first_rack();
        }
        world
    }

    fn fill_first_rack(&mut self) {
        let services = StepSpec {
            long_running: true,
            label: Some("r1-0".into()),
            ..step(u32::try_from(EXECUTORS_PER_RACK).expect("few"), CORES, 0)
        };
        self.fixture.submit(1_000_000, vec![services]);
        self.round();
    }

    /// Lets all jobs arrive and returns what became of them.
    pub fn replay(mut self) -> Outcome {
        let begin = self.fixture.now.0;
        let per_round = self.load.jobs_per_s * Duration::from_millis(ROUND_MS).as_secs_f64();
        let mut due = 0.0;
        for at_ms in (0..ARRIVALS_MS + REST_MS).step_by(100) {
            if at_ms < ARRIVALS_MS {
                due += per_round * self.rng.random_range(0.0..2.0);
            }
            while due >= 1.0 {
                due -= 1.0;
                self.submit(DISTURBED_MS.contains(&at_ms));
            }
            self.round();
            let elapsed = self.fixture.now.0 - begin;
            if elapsed.is_multiple_of(500) {
                self.list(DISTURBED_MS.contains(&elapsed));
            }
        }
        for job in &self.jobs {
            let took = job.ended.map(|ended| ended.since(job.submitted));
            let took_ms = took.map_or(u64::MAX, |took| {
                u64::try_from(took.as_millis()).unwrap_or(u64::MAX)
            });
            let ends = match job.class {
                Class::Data => &mut self.outcome.data,
                Class::Gang => &mut self.outcome.gang,
                Class::Anywhere => &mut self.outcome.anywhere,
            };
            if took_ms <= job.objective_ms {
                ends.in_time += 1;
            } else if took_ms <= 3 * job.objective_ms {
                ends.late += 1;
            } else {
                ends.worthless += 1;
            }
        }
        self.outcome
    }

    fn is_lost(&self, number: usize, is_disturbed: bool) -> bool {
        self.load.trouble == Trouble::Lost && is_disturbed && rack_of(number) == 0
    }

    /// Lists the executors. Those of a lost rack have announced that they leave, so that their tasks
    /// go elsewhere at once.
    fn list(&mut self, is_disturbed: bool) {
        let listings = (1..=self.runs.len()).map(|number| Listing {
            draining: self.is_lost(number, is_disturbed),
            ..listing_of(number)
        });
        self.fixture.list(listings.collect());
    }

    fn submit(&mut self, is_disturbed: bool) {
        let class = match self.rng.random_range(0..10) {
            0 => Class::Gang,
            1..=5 => Class::Data,
            _ => Class::Anywhere,
        };
        let wants_hot =
            self.load.trouble == Trouble::Hot && is_disturbed && self.rng.random_range(0..10) < 7;
        let wants_first = matches!(self.load.trouble, Trouble::Full | Trouble::Lost)
            && self.rng.random_range(0..10) < 3;
        let rack = if wants_hot || wants_first {
            0
        } else {
            self.rng.random_range(0..RACKS)
        };
        let run_ms = self.rng.random_range(600..2_000);
        let is_gang = class == Class::Gang;
        let spec = StepSpec {
            gang: is_gang,
            same_rack: is_gang,
            data_rack: (class == Class::Data).then(|| format!("r1-{rack}").into()),
            ..step(
                if is_gang {
                    6
                } else {
                    self.rng.random_range(1..5)
                },
                4,
                run_ms,
            )
        };
        let steps = if class == Class::Gang {
            vec![spec]
        } else {
            let second = StepSpec {
                after: vec![0],
                ..spec.clone()
            };
            vec![spec, second]
        };
        let objective_ms = 2 * run_ms * u64::try_from(steps.len()).expect("two") + 1_000;
        let number = u64::try_from(self.jobs.len() + 1).expect("few jobs");
        let id = self.fixture.submit(number, steps);
        let key = self.fixture.scheduler.find(id).expect("the job exists");
        let tasks = self
            .fixture
            .scheduler
            .job(key)
            .expect("the job exists")
            .tasks
            .len();
        // Estimates of callers are off by a quarter at most.
        let estimate: f64 = u32::try_from(run_ms).expect("short").into();
        let lengths = (0..tasks).map(|_| estimate * self.rng.random_range(0.75..1.25));
        let lengths = lengths.collect();
        self.lengths.insert(key, lengths);
        self.jobs.push(WorldJob {
            id,
            class,
            submitted: self.fixture.now,
            objective_ms,
            ended: None,
        });
    }

    fn round(&mut self) {
        self.fixture.pass(ROUND_MS);
        note_round(Duration::from_millis(ROUND_MS));
        let now = self.fixture.now;
        // The end of one member of a gang is the end of the job, which may be forgotten by now.
        let scheduler = &self.fixture.scheduler;
        for runs in &mut self.runs {
            runs.retain(|run| scheduler.step(run.key).is_some());
        }
        for number in 1..=self.runs.len() {
            self.report(number, now);
        }
        self.fixture.scheduler.tick(now);
        self.fixture.place();
        while self.fixture.scheduler.has_changes() {
            self.fixture.store();
        }
        for command in self.fixture.scheduler.take_commands() {
            self.execute(&command);
        }
        for event in self.fixture.scheduler.take_events() {
            match event {
                Event::PlaceWaitEnded { is_near: true, .. } => self.outcome.waited_near += 1,
                Event::PlaceWaitEnded { is_near: false, .. } => self.outcome.waited_elsewhere += 1,
                _ => {}
            }
        }
        for job in self.jobs.iter_mut().filter(|job| job.ended.is_none()) {
            let state = self.fixture.scheduler.state(job.id);
            job.ended = (state == Some(JobState::Succeeded)).then_some(now);
        }
    }

    fn number_of(&self, executor: ExecutorKey) -> usize {
        let executor = self.fixture.scheduler.fleet.get(executor);
        let id = executor.expect("a known executor").listing.id.clone();
        id[1..].parse().expect("executors are numbered")
    }

    fn execute(&mut self, command: &Command) {
        match *command {
            Command::Start {
                key, run, executor, ..
            } => {
                let number = self.number_of(executor);
                let left_ms = self.length_of(key);
                self.runs[number - 1].push(Run { key, left_ms });
                if self.is_near(key, number) {
                    note_near_start(key.job);
                }
                self.fixture.start_answered(key, run, StartAnswer::Started);
            }
            Command::Stop {
                key: Some(key),
                executor,
                ..
            } => {
                let number = self.number_of(executor);
                let runs = &mut self.runs[number - 1];
                let Some(position) = runs.iter().position(|run| run.key == key) else {
                    return;
                };
                runs.remove(position);
                self.report_ends(number, &[key], RunOutcome::Interrupted);
            }
            _ => {}
        }
    }

    fn length_of(&self, key: TaskKey) -> f64 {
        let slot = usize::try_from(key.slot).expect("few tasks");
        let lengths = self.lengths.get(&key.job);
        lengths.map_or(1_000.0, |lengths| lengths[slot])
    }

    /// Returns whether a task is where its data is, or its gang in one rack.
    fn is_near(&self, key: TaskKey, number: usize) -> bool {
        let step = self.fixture.scheduler.step(key).expect("the task exists");
        let is_spread = step.same_rack
            && self.runs.iter().zip(1..).any(|(runs, other)| {
                let is_elsewhere = rack_of(other) != rack_of(number);
                is_elsewhere && runs.iter().any(|run| run.key.job == key.job)
            });
        let rack = format!("r1-{}", rack_of(number));
        let has_data = step.data_rack.as_ref().is_none_or(|name| **name == *rack);
        has_data && !is_spread
    }

    fn report(&mut self, number: usize, now: Mono) {
        let speeds: Vec<f64> = self.runs[number - 1]
            .iter()
            .map(|run| {
                if self.is_near(run.key, number) {
                    1.0
                } else {
                    1.0 / self.load.remote_slowdown
                }
            })
            .collect();
        let round_ms = f64::from(u32::try_from(ROUND_MS).expect("short"));
        for (run, speed) in self.runs[number - 1].iter_mut().zip(speeds) {
            run.left_ms -= round_ms * speed;
        }
        let runs = std::mem::take(&mut self.runs[number - 1]);
        let (ended, active): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.left_ms <= 0.0);
        self.runs[number - 1] = active;
        if ended.is_empty() && now.0 % REPORT_INTERVAL_MS >= ROUND_MS {
            return;
        }
        let ended: Vec<TaskKey> = ended.iter().map(|run| run.key).collect();
        self.report_ends(number, &ended, RunOutcome::Done);
    }

    fn report_ends(&mut self, number: usize, ended: &[TaskKey], outcome: RunOutcome) {
        let first = self.ends[number - 1] + 1;
        self.ends[number - 1] += u64::try_from(ended.len()).expect("few ends");
        let ended = (first..)
            .zip(ended)
            .map(|(sequence, key)| self.fixture.end(sequence, *key, outcome))
            .collect();
        let running = self.runs[number - 1].iter();
        let running = running
            .map(|run| {
                let length = self.length_of(run.key);
                self.fixture
                    .running(run.key, percent(1.0 - run.left_ms / length), 0)
            })
            .collect();
        self.fixture.report_rows(number, running, ended);
        let executor = self.fixture.executor(number);
        let now = self.fixture.now;
        self.fixture.scheduler.grant_lease(executor, now);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the part is between 0 and 1"
)]
fn percent(part: f64) -> u32 {
    (part.clamp(0.0, 0.99) * 100.0) as u32
}
