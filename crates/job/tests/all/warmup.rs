//! Slow start of cold executors: warm ones are preferred, a cold one gets no more in any second than what
//! warm ones get on average allows, and cold ones are used when warm ones are full.

use std::collections::BTreeMap;
use std::time::Duration;

use job::fleet::Listing;
use job::scheduler::Command;
use job::scheduler::Event;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::spec::StepSpec;
use job::wait_reason::WaitReason;
use job::warmup::ColdStarts;
use job::warmup::ServiceWarmth;
use job::warmup::WarmupLimits;
use model::Mono;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixture::Fixture;
use crate::fixture::listing;
use crate::fixture::step;

const LIMITS: WarmupLimits = WarmupLimits {
    overage_thousandths: 1_500,
    slack: 5,
};
const SECOND_MS: u64 = 1_000;

fn service(warm: usize) -> ServiceWarmth {
    ServiceWarmth::new(warm, 1)
}

/// Guards against tasks of warm executors that allow a cold one more than once, and against an allowance
/// that outlasts the window.
#[test]
fn each_task_counts_for_a_second_and_later_tasks_of_warm_executors_make_up_for_it() {
    let mut warm = service(2);
    let mut cold = ColdStarts::default();
    for taken in 0..5 {
        assert_eq!(cold.allowance(&warm, LIMITS, Mono(100)), 5 - taken);
        cold.add(&warm, Mono(100));
    }
    assert_eq!(cold.allowance(&warm, LIMITS, Mono(100)), 0);
    // Four tasks on two executors are two on average, which allow three more.
    for _ in 0..4 {
        warm.add_warm_task(LIMITS);
    }
    assert_eq!(cold.allowance(&warm, LIMITS, Mono(200)), 3);
    assert_eq!(cold.allowance(&warm, LIMITS, Mono(1_099)), 3);
    assert_eq!(cold.allowance(&warm, LIMITS, Mono(1_100)), 5);
    cold.add(&warm, Mono(200));
    assert_eq!(cold.allowance(&warm, LIMITS, Mono(200)), 2, "used once");
}

/// Guards against work that never starts with a slack of zero, or where no executor is warm.
#[test]
fn a_cold_executor_gets_something_whatever_the_limits_say() {
    let none = WarmupLimits {
        overage_thousandths: 0,
        slack: 0,
    };
    let cold = ColdStarts::default();
    assert_eq!(cold.allowance(&service(3), none, Mono(5)), 1);
    assert_eq!(cold.allowance(&service(0), LIMITS, Mono(5)), u64::MAX);
}

/// Returns by how many tasks a cold executor exceeded its limit in the worst of all windows of a second.
fn worst_excess(cold: &[u64], warm_tasks: &[u64], warm: usize) -> f64 {
    let begins = cold.iter().chain(warm_tasks);
    let begins = begins.flat_map(|at| [*at, (at + 1).saturating_sub(SECOND_MS)]);
    let in_window = |all: &[u64], begin: u64| {
        let inside = |at: &&u64| (begin..begin + SECOND_MS).contains(*at);
        all.iter().filter(inside).count() as f64
    };
    let excess = begins.map(|begin| {
        let mean = in_window(warm_tasks, begin) / warm as f64;
        in_window(cold, begin) - (1.5 * mean + 5.0)
    });
    excess.fold(f64::MIN, f64::max)
}

/// Guards against a limit that holds only in the latest second: one by the mean of that second, which is
/// simpler, is exceeded in other windows.
#[test]
fn no_order_of_starts_exceeds_the_limit_in_any_second() {
    let seed = 20_261_205;
    println!("seed {seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..200 {
        let executors = rng.random_range(1..6);
        let mut warm = service(executors);
        let mut cold = ColdStarts::default();
        let (mut cold_tasks, mut warm_tasks) = (Vec::new(), Vec::new());
        let mut now = 0;
        for _ in 0..80 {
            now += rng.random_range(0..300);
            if rng.random_bool(0.5) {
                for _ in 0..rng.random_range(0..12) {
                    warm.add_warm_task(LIMITS);
                    warm_tasks.push(now);
                }
            }
            let allowance = cold.allowance(&warm, LIMITS, Mono(now));
            for _ in 0..rng.random_range(0..=allowance) {
                cold.add(&warm, Mono(now));
                cold_tasks.push(now);
            }
        }
        let excess = worst_excess(&cold_tasks, &warm_tasks, executors);
        assert!(excess <= 0.0, "{excess}: {cold_tasks:?} {warm_tasks:?}");
    }
}

/// Arrivals for ten seconds, and how many executors are cold for how long.
struct Load {
    name: &'static str,
    warm: usize,
    cold: usize,
    cold_ms: u64,
    /// Tasks of a minute that run on the warm executors from the beginning.
    long: u32,
    /// Tasks that arrive in each 100 ms, repeated.
    arrivals: &'static [u32],
}

const LOADS: [Load; 5] = [
    Load {
        name: "calm",
        warm: 4,
        cold: 2,
        cold_ms: 10_000,
        long: 0,
        arrivals: &[10],
    },
    Load {
        name: "bursts",
        warm: 4,
        cold: 2,
        cold_ms: 10_000,
        long: 0,
        arrivals: &[480, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
    },
    Load {
        name: "more than warm executors can do",
        warm: 2,
        cold: 4,
        cold_ms: 10_000,
        long: 0,
        arrivals: &[40],
    },
    Load {
        name: "a data centre returns while work waits",
        warm: 3,
        cold: 3,
        cold_ms: 3_000,
        long: 0,
        arrivals: &[30],
    },
    Load {
        name: "a data centre returns while warm executors are full of long work",
        warm: 3,
        cold: 3,
        cold_ms: 4_000,
        long: 90,
        arrivals: &[6],
    },
];

/// What a replay has shown.
#[derive(Debug)]
struct Outcome {
    /// Starts on warm and on cold executors.
    warm: usize,
    cold: usize,
    /// The worst excess of a cold executor over its limit.
    excess: f64,
    /// Tasks that have not started at the end.
    waiting: usize,
}

/// How cold executors are treated.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// With the limits.
    Limited,
    /// Like warm ones, which is the simplest.
    LikeWarm,
    /// They get nothing, which is as simple.
    Unused,
}

/// Executors of 32 cores on which a task of one core takes 500 ms, and three times as long while they are
/// cold.
struct Replay {
    fixture: Fixture,
    load: &'static Load,
    policy: Policy,
    begin: u64,
    /// When tasks have started, by the number of the executor.
    starts: BTreeMap<usize, Vec<u64>>,
    running: Vec<(u64, usize, TaskKey)>,
    sequences: BTreeMap<usize, u64>,
}

/// Returns the properties of an executor that is cold for this long.
fn executor(number: usize, cold_ms: u64) -> Listing {
    Listing {
        capacity: model::Size::new(32_000, 128_000, 0),
        cold_remaining: Duration::from_millis(cold_ms),
        ..listing(number)
    }
}

impl Replay {
    fn new(load: &'static Load, policy: Policy) -> Self {
        let mut fixture = Fixture::new(0);
        fixture.scheduler.timing.warmup = (policy == Policy::Limited).then_some(LIMITS);
        Self {
            begin: fixture.now.0,
            fixture,
            load,
            policy,
            starts: BTreeMap::new(),
            running: Vec::new(),
            sequences: BTreeMap::new(),
        }
    }

    fn elapsed(&self) -> u64 {
        self.fixture.now.0 - self.begin
    }

    fn is_cold(&self, number: usize) -> bool {
        number > self.load.warm && self.elapsed() < self.load.cold_ms
    }

    fn list(&mut self) {
        let remaining = self.load.cold_ms.saturating_sub(self.elapsed());
        let numbers = 1..=self.load.warm + self.load.cold;
        let is_left_out = |number| self.policy == Policy::Unused && self.is_cold(number);
        let listed = numbers.filter(|number| !is_left_out(*number));
        let listings = listed.map(|number| {
            let is_cold_at_first = number > self.load.warm;
            let listing = executor(number, if is_cold_at_first { remaining } else { 0 });
            (listing, self.fixture.now.0)
        });
        let listings = listings.collect();
        let now = self.fixture.now;
        self.fixture.scheduler.update_executors(listings, now);
    }

    /// Fills the warm executors with long tasks, before the others are listed.
    fn start_long_tasks(&mut self) {
        let listings = (1..=self.load.warm).map(|number| (executor(number, 0), 0));
        let listings = listings.collect();
        let now = self.fixture.now;
        self.fixture.scheduler.update_executors(listings, now);
        self.fixture
            .submit(1_000_000, vec![step(self.load.long, 1, 60_000)]);
        let started = self.fixture.start_all().len();
        assert_eq!(started, self.load.long as usize);
    }

    fn start_tasks(&mut self) {
        self.fixture.place();
        self.fixture.store();
        for command in self.fixture.scheduler.take_commands() {
            let Command::Start {
                key, run, executor, ..
            } = command
            else {
                panic!("expected a start, got {command:?}");
            };
            self.fixture.start_answered(key, run, StartAnswer::Started);
            let executor = self.fixture.scheduler.fleet.get(executor);
            let id = executor.expect("a known executor").listing.id.clone();
            let number = id[1..].parse().expect("the number of an executor");
            let duration = if self.is_cold(number) { 1_500 } else { 500 };
            let now = self.elapsed();
            self.starts.entry(number).or_default().push(now);
            self.running.push((now + duration, number, key));
        }
    }

    fn end_tasks(&mut self) {
        let now = self.elapsed();
        let mut ended: BTreeMap<usize, Vec<TaskKey>> = BTreeMap::new();
        self.running.retain(|(end, number, key)| {
            if *end <= now {
                ended.entry(*number).or_default().push(*key);
            }
            *end > now
        });
        for (number, keys) in ended {
            let sequence = self.sequences.entry(number).or_default();
            let mut ends = Vec::new();
            for key in keys {
                *sequence += 1;
                ends.push(self.fixture.end(*sequence, key, RunOutcome::Done));
            }
            self.fixture.report(number, ends);
        }
    }

    fn run(mut self) -> Outcome {
        let mut arrived = 0;
        if self.load.long > 0 {
            self.start_long_tasks();
        }
        for tick in 0..500 {
            if tick % 25 == 0 {
                self.list();
            }
            if tick % 5 == 0 {
                let index = (tick / 5) % self.load.arrivals.len();
                let count = self.load.arrivals[index];
                if count > 0 {
                    let number = u64::try_from(tick + 1).expect("a small number");
                    self.fixture.submit(number, vec![step(count, 1, 500)]);
                    arrived += count as usize;
                }
                let now = self.fixture.now;
                self.fixture.scheduler.tick(now);
            }
            self.start_tasks();
            self.fixture.pass(20);
            self.end_tasks();
        }
        self.outcome(arrived)
    }

    fn outcome(&self, arrived: usize) -> Outcome {
        let is_early = |at: &&u64| **at < self.load.cold_ms;
        let early = |numbers: std::ops::RangeInclusive<usize>| -> Vec<u64> {
            let starts = numbers.filter_map(|number| self.starts.get(&number));
            starts.flatten().filter(is_early).copied().collect()
        };
        let (warm, all) = (self.load.warm, self.load.warm + self.load.cold);
        let warm_starts = early(1..=warm);
        let excess = (warm + 1..=all)
            .map(|number| worst_excess(&early(number..=number), &warm_starts, warm));
        let started: usize = self.starts.values().map(Vec::len).sum();
        Outcome {
            warm: warm_starts.len(),
            cold: early(warm + 1..=all).len(),
            excess: excess.fold(f64::MIN, f64::max),
            waiting: arrived - started,
        }
    }
}

/// Replays loads under each policy.
#[test]
fn cold_executors_help_without_being_overloaded_whatever_the_load() {
    let mut exceeded = 0;
    for load in &LOADS {
        let [limited, like_warm, unused] = [Policy::Limited, Policy::LikeWarm, Policy::Unused]
            .map(|policy| Replay::new(load, policy).run());
        println!("{}: limited {limited:?}", load.name);
        println!("    like warm ones {like_warm:?}, unused {unused:?}");
        assert!(limited.excess <= 0.0, "{}: {limited:?}", load.name);
        assert!(limited.warm > 0, "{}: {limited:?}", load.name);
        assert!(limited.waiting <= unused.waiting, "{}", load.name);
        exceeded += usize::from(like_warm.excess > 0.0);
        if load.name == "calm" {
            assert_eq!(limited.cold, 0, "warm executors have room");
        } else {
            assert!(limited.cold > 0, "{}: {limited:?}", load.name);
        }
    }
    assert!(exceeded > 0, "no load needs a limit");
}

fn cold_listing(number: usize, cold_ms: u64) -> Listing {
    Listing {
        cold_remaining: Duration::from_millis(cold_ms),
        ..listing(number)
    }
}

/// Gangs start together, so that all members that are placed on an executor count.
#[test]
fn the_members_of_a_gang_count_while_it_is_placed() {
    let mut fixture = Fixture::new(0);
    fixture.scheduler.timing.warmup = Some(LIMITS);
    fixture.list(vec![listing(1), cold_listing(2, 5_000)]);
    // No room for a member on the warm executor.
    fixture.submit(1, vec![step(1, 62, 60_000)]);
    fixture.start_all();
    let gang = |count| StepSpec {
        gang: true,
        ..step(count, 4, 1_000)
    };
    fixture.submit(2, vec![gang(6)]);
    assert_eq!(fixture.place(), 0);
    let key = fixture.tasks_of_job(2)[0];
    assert!(fixture.scheduler.wait_reason(key, fixture.now, 0).is_some());
    fixture.submit(3, vec![gang(5)]);
    assert_eq!(fixture.place(), 5);
    fixture.submit(4, vec![step(1, 4, 1_000)]);
    assert_eq!(fixture.place(), 0);
    let key = fixture.tasks_of_job(4)[0];
    let reason = fixture.scheduler.wait_reason(key, fixture.now, 0);
    assert_eq!(reason, Some(WaitReason::WarmingUp { candidates: 1 }));
}

/// Starts that wait for the store reach the executor together with later ones.
#[test]
fn starts_that_take_long_count_until_they_are_confirmed() {
    let mut fixture = Fixture::new(0);
    fixture.scheduler.timing.warmup = Some(LIMITS);
    fixture.list(vec![listing(1), cold_listing(2, 9_000)]);
    fixture.submit(1, vec![step(1, 62, 60_000)]);
    fixture.start_all();
    fixture.submit(2, vec![step(12, 1, 60_000)]);
    // Two more fit on the warm executor.
    assert_eq!(fixture.place(), 2 + 5);
    fixture.pass(2_500);
    assert_eq!(fixture.place(), 0, "not stored yet");
    fixture.start_all();
    assert_eq!(fixture.place(), 5);
}

/// Guards against an executor that stays cold because an old list entry is read again.
#[test]
fn an_executor_is_cold_for_as_long_as_its_entry_says_and_not_longer() {
    let mut fixture = Fixture::new(0);
    fixture.scheduler.timing.warmup = Some(LIMITS);
    for _ in 0..3 {
        // The same entry is read again and again.
        fixture.list(vec![listing(1), cold_listing(2, 2_500)]);
        fixture.pass(1_000);
    }
    let cold = fixture.scheduler.fleet.get(fixture.executor(2));
    assert!(!cold.expect("executor 2").is_cold(fixture.now));
    let events = fixture.scheduler.take_events().into_iter();
    let told = events.filter(|event| matches!(event, Event::ExecutorCold { .. }));
    assert_eq!(told.count(), 1);
    fixture.list(vec![listing(1), cold_listing(2, 400)]);
    let cold = fixture.scheduler.fleet.get(fixture.executor(2));
    assert!(cold.expect("executor 2").is_cold(fixture.now));
}

/// Guards against limits on cold executors where the settings have none.
#[test]
fn a_deployment_without_limits_treats_cold_executors_like_warm_ones() {
    let mut fixture = Fixture::new(0);
    fixture.list(vec![cold_listing(1, 9_000), cold_listing(2, 9_000)]);
    fixture.submit(1, vec![step(32, 4, 1_000)]);
    assert_eq!(fixture.place(), 32);
    assert!(
        fixture
            .scheduler
            .take_events()
            .iter()
            .all(|event| { !matches!(event, Event::ExecutorCold { .. }) })
    );
}
