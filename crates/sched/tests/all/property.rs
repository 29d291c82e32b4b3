//! No worker is overcommitted, whatever is declared and in whatever order events occur.

use model::Mono;
use model::Priority;
use model::Size;
use model::id::TaskId;
use model::id::WorkerId;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use sched::Decision;
use sched::Sched;
use sched::input::QueuedTask;
use sched::input::RunOutcome;
use sched::input::UsageReport;

use crate::fixture;

const TESTS: u64 = 300;
const GEN_SIZE: usize = 120;
const CLASSES: [&str; 6] = ["plan", "crest", "study", "check", "quiet", "unknown"];
const TEAMS: [&str; 4] = ["a", "b", "c", "unknown"];
/// Capacities small enough for a few tasks to compete, one of them with accelerators.
const CAPACITIES: [Size; 3] = [
    Size::new(8_000, 16_000, 0),
    Size::new(4_000, 32_000, 2),
    Size::new(16_000, 8_000, 0),
];

#[derive(Clone, Debug)]
enum Event {
    Enqueue {
        task: u8,
        size: (u16, u16, u8),
        urgent: bool,
        failures: u8,
    },
    End {
        task: u8,
        how: u8,
    },
    Cancel(u8),
    FailDecision(u8),
    Report {
        worker: u8,
        sequence: u8,
        usage: Vec<(u8, u16, u16)>,
    },
    Leave(u8),
    Remove(u8),
    Return(u8),
    Decide {
        starts: u8,
        later_ms: u16,
    },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let task = u8::arbitrary(g) % 40;
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Enqueue {
                task,
                size: Arbitrary::arbitrary(g),
                urgent: u8::arbitrary(g) % 5 == 0,
                failures: u8::arbitrary(g) % 3 / 2,
            },
            6 => Self::End {
                task,
                how: Arbitrary::arbitrary(g),
            },
            7 => Self::Cancel(task),
            8 => Self::FailDecision(task),
            9 => Self::Report {
                worker: Arbitrary::arbitrary(g),
                sequence: Arbitrary::arbitrary(g),
                usage: Arbitrary::arbitrary(g),
            },
            10 => Self::Leave(Arbitrary::arbitrary(g)),
            11 => Self::Remove(Arbitrary::arbitrary(g)),
            12 => Self::Return(Arbitrary::arbitrary(g)),
            _ => Self::Decide {
                starts: u8::arbitrary(g) % 8,
                later_ms: Arbitrary::arbitrary(g),
            },
        }
    }
}

fn name(task: u8) -> TaskId {
    TaskId::new(format!("t{}", task % 40))
}

fn queued(task: u8, size: (u16, u16, u8), urgent: bool, failures: u8) -> QueuedTask {
    let huge_bits = if task.is_multiple_of(7) { u64::MAX } else { 0 };
    let declared = Size::new(
        u64::from(size.0 / 4) | huge_bits,
        u64::from(size.1 / 2),
        u64::from(size.2 % 4),
    );
    QueuedTask {
        priority: if urgent {
            Priority::Urgent
        } else {
            Priority::Normal
        },
        team: TEAMS[usize::from(size.2) % TEAMS.len()].into(),
        failures: failures.into(),
        ..fixture::task(
            name(task).as_str(),
            CLASSES[usize::from(task) % CLASSES.len()],
            declared,
        )
    }
}

fn worker(number: u8) -> sched::input::WorkerSpec {
    let number = usize::from(number) % CAPACITIES.len();
    fixture::worker(&format!("w{number}"), "r", CAPACITIES[number])
}

fn apply(sched: &mut Sched, event: &Event, now: &mut Mono, decisions: &mut Vec<Decision>) {
    match event {
        Event::Enqueue {
            task,
            size,
            urgent,
            failures,
        } => {
            sched.enqueue(queued(*task, *size, *urgent, *failures));
        }
        Event::End { task, how } => {
            let end = [
                RunOutcome::Succeeded,
                RunOutcome::Failed,
                RunOutcome::Stopped,
            ][usize::from(*how) % 3];
            sched.ended(&name(*task), end, *now);
        }
        Event::Cancel(task) => sched.cancelled(&name(*task)),
        Event::FailDecision(task) => sched.decision_failed(&name(*task), *now),
        Event::Report {
            worker: number,
            sequence,
            usage,
        } => {
            let run = |(task, cpu, memory): &(u8, u16, u16)| {
                let size = Size::new(u64::from(*cpu), u64::from(*memory), 0);
                fixture::usage(name(*task).as_str(), size)
            };
            let report = UsageReport {
                sequence: u64::from(*sequence),
                age_ms: 500,
                runs: usage.iter().map(run).collect(),
            };
            sched.report(&worker(*number).id, &report, *now);
        }
        Event::Leave(number) => {
            let mut spec = worker(*number);
            spec.leaving = true;
            sched.upsert_worker(spec);
        }
        Event::Remove(number) => sched.remove_worker(&worker(*number).id),
        Event::Return(number) => sched.upsert_worker(worker(*number)),
        Event::Decide { starts, later_ms } => {
            *now = Mono(now.0 + u64::from(*later_ms));
            let budget = sched::Budget {
                starts: usize::from(*starts),
                evictions: 2,
            };
            decisions.extend(sched.decide(*now, budget));
        }
    }
}

fn within_capacity(sched: &Sched) -> bool {
    let dump = sched.dump();
    let mut listed = dump
        .workers
        .iter()
        .filter(|worker| worker.capacity != Size::ZERO);
    listed.all(|worker| worker.reserved.fits(&worker.capacity))
}

/// Checks the decisions by themselves: each start goes to a known worker and fits its capacity.
fn starts_fit(decisions: &[Decision]) -> bool {
    decisions.iter().all(|decision| match decision {
        Decision::Start {
            worker, reserved, ..
        } => {
            let number = worker.as_str()[1..].parse::<usize>().unwrap_or(0);
            worker == &WorkerId::new(format!("w{number}")) && reserved.fits(&CAPACITIES[number])
        }
        _ => true,
    })
}

#[test]
fn no_worker_is_overcommitted_whatever_is_declared() {
    fn property(events: Vec<Event>) -> bool {
        let mut sched = fixture::fleet(&fixture::document(), 0, Size::ZERO);
        for number in 0..3 {
            sched.upsert_worker(worker(number));
        }
        let mut now = Mono::ZERO;
        let mut decisions = Vec::new();
        events.iter().all(|event| {
            apply(&mut sched, event, &mut now, &mut decisions);
            within_capacity(&sched) && starts_fit(&decisions)
        })
    }
    println!("seed {}", fixture::SEED);
    QuickCheck::new()
        .tests(TESTS)
        .rng(Gen::from_size_and_seed(GEN_SIZE, fixture::SEED))
        .quickcheck(property as fn(Vec<Event>) -> bool);
}

#[test]
fn the_same_events_and_seed_give_the_same_decisions() {
    fn property(events: Vec<Event>) -> bool {
        let decide = || {
            let mut sched = fixture::fleet(&fixture::document(), 3, CAPACITIES[0]);
            let mut now = Mono::ZERO;
            let mut decisions = Vec::new();
            for event in &events {
                apply(&mut sched, event, &mut now, &mut decisions);
            }
            decisions
        };
        decide() == decide()
    }
    println!("seed {}", fixture::SEED);
    QuickCheck::new()
        .tests(TESTS)
        .rng(Gen::from_size_and_seed(GEN_SIZE, fixture::SEED))
        .quickcheck(property as fn(Vec<Event>) -> bool);
}
