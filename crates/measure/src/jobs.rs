//! What the owner's decisions cost on the users' platform: `measure -- jobs`.
//!
//! The [`Scheduler`] is driven as the owner drives it, without store and executors: what calls cost is
//! measured by days on the users' bench and stands in `docs/CAPACITY.md`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::id::JobId;
use job::plan::Plan;
use job::plan::Queue;
use job::scheduler::ActiveRun;
use job::scheduler::Command;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::scheduler::StartAnswer;
use job::scheduler::Submission;
use job::scheduler::Timing;
use job::spec::JobSpec;
use job::spec::StepSpec;
use job::task::RunMetrics;
use model::Map;
use model::Mono;
use model::Size;

use crate::figure::Figure;

/// The executors of the users' largest deployment.
const EXECUTORS: u32 = 660;
/// How many jobs a figure is taken over; each has eight tasks.
const JOBS: u32 = 2_000;
const TASKS: u32 = 8;
/// Jobs that are open at the same time.
const OPEN: u32 = 40;

/// Processor time by what was done, in seconds, and how often.
#[derive(Default)]
struct Spent {
    submission: f64,
    placing: f64,
    storing: f64,
    starting: f64,
    ending: f64,
    looking: f64,
    starts: u32,
    looks: u32,
    record_bytes: usize,
    records: u32,
}

/// Runs the measurement.
#[must_use]
pub fn run() -> Vec<Figure> {
    let mut bench = Bench::new();
    for first in (0..JOBS).step_by(OPEN as usize) {
        bench.wave(first);
    }
    bench.look_at_all();
    let spent = &bench.spent;
    let each = |seconds: f64, count: u32| seconds * 1e6 / f64::from(count.max(1));
    let bytes = u32::try_from(spent.record_bytes).map_or(f64::NAN, f64::from);
    vec![
        Figure::reported("job-submission", each(spent.submission, JOBS), "us"),
        Figure::reported(
            "job-placing-a-start",
            each(spent.placing, spent.starts),
            "us",
        ),
        Figure::reported(
            "job-storing-a-start",
            each(spent.storing, spent.starts),
            "us",
        ),
        Figure::reported(
            "job-answer-to-a-start",
            each(spent.starting, spent.starts),
            "us",
        ),
        Figure::reported("job-end-of-a-run", each(spent.ending, spent.starts), "us"),
        Figure::reported(
            "job-look-without-news",
            each(spent.looking, spent.looks),
            "us",
        ),
        Figure::reported("job-record", bytes / f64::from(spent.records.max(1)), "B"),
    ]
}

struct Bench {
    book: Scheduler,
    now: Mono,
    spent: Spent,
    ends: Map<ExecutorKey, u64>,
}

impl Bench {
    fn new() -> Self {
        let spans = Timing {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_secs(1),
        };
        let mut book = Scheduler::new(plan(), spans);
        let listings = (0..EXECUTORS).map(|number| (listing(number), 1)).collect();
        book.update_executors(listings, Mono(1));
        Self {
            book,
            now: Mono(1),
            spent: Spent::default(),
            ends: Map::default(),
        }
    }

    /// Runs some jobs from their submission to their end.
    fn wave(&mut self, first: u32) {
        let begin = Instant::now();
        for number in first..first + OPEN {
            self.book.submit(submission(number), self.now);
        }
        self.spent.submission += begin.elapsed().as_secs_f64();
        let begin = Instant::now();
        while self.book.place(self.now, 0) > 0 {}
        self.spent.placing += begin.elapsed().as_secs_f64();
        self.store();
        let begin = Instant::now();
        let orders = self.book.take_commands();
        for order in &orders {
            if let Command::Start {
                key, run, executor, ..
            } = order
            {
                self.book.grant_lease(*executor, self.now);
                self.book
                    .start_answered(*key, *run, StartAnswer::Started, self.now);
                self.spent.starts += 1;
            }
        }
        self.spent.starting += begin.elapsed().as_secs_f64();
        self.end(&orders);
        self.store();
        self.now = self.now.after(Duration::from_millis(100));
    }

    fn store(&mut self) {
        let begin = Instant::now();
        while self.book.has_changes() {
            let batch = self.book.take_batch(90);
            for (_, row) in &batch.rows {
                self.spent.record_bytes += row.len();
                self.spent.records += 1;
            }
            self.book.batch_stored(batch, self.now);
        }
        self.spent.storing += begin.elapsed().as_secs_f64();
    }

    fn end(&mut self, orders: &[Command]) {
        self.now = self.now.after(Duration::from_millis(100));
        let mut reports: Map<ExecutorKey, Report> = Map::default();
        for order in orders {
            if let Command::Start {
                task,
                run,
                executor,
                ..
            } = order
            {
                let number = self.ends.entry(*executor).or_default();
                *number += 1;
                let report = reports.entry(*executor).or_default();
                report.started_unix_ms = Some(1_000);
                report.ended.push(EndedRun {
                    sequence: *number,
                    task: Some(*task),
                    run: *run,
                    outcome: RunOutcome::Done,
                    checkpoint: None,
                });
            }
        }
        let begin = Instant::now();
        for (executor, report) in &reports {
            self.book.report(*executor, report, self.now, self.now);
        }
        self.spent.ending += begin.elapsed().as_secs_f64();
    }

    /// Starts tasks everywhere and takes in reports that say nothing new.
    fn look_at_all(&mut self) {
        for number in JOBS..JOBS + OPEN {
            self.book.submit(submission(number), self.now);
        }
        while self.book.place(self.now, 0) > 0 {}
        self.store();
        let mut reports: Map<ExecutorKey, Report> = Map::default();
        for order in self.book.take_commands() {
            if let Command::Start {
                task,
                run,
                executor,
                ..
            } = order
            {
                let report = reports.entry(executor).or_default();
                report.started_unix_ms = Some(1_000);
                report.running.push(ActiveRun {
                    task: Some(task),
                    run,
                    checkpoint: None,
                    metrics: RunMetrics {
                        progress: 1,
                        tail_ms_or_cpu_millis: 900,
                    },
                });
            }
        }
        let begin = Instant::now();
        for _ in 0..20 {
            self.now = self.now.after(Duration::from_millis(500));
            for (executor, report) in &reports {
                self.book.report(*executor, report, self.now, self.now);
                self.book.learn_interference(*executor, self.now);
                self.book.throttle_after_report(*executor, self.now);
                self.book.stop_stalled(*executor, self.now);
                self.spent.looks += 1;
            }
        }
        self.spent.looking += begin.elapsed().as_secs_f64();
    }
}

fn plan() -> Arc<Plan> {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/queue/".into(),
        service: "service".into(),
        priority: 0,
        attempts: 3,
        stretch: 2.0,
        target: Duration::from_secs(1),
        advisor: None,
    };
    Arc::new(Plan {
        version: 1,
        queues: vec![queue],
        ..Plan::default()
    })
}

fn listing(number: u32) -> Listing {
    Listing {
        id: format!("e{number}").into(),
        address: "10.0.0.1:80".into(),
        service: "service".into(),
        capacity: Size::new(64_000, 256_000, 0),
        started_unix_ms: 1_000,
        ..Listing::default()
    }
}

fn submission(number: u32) -> Submission {
    let step = StepSpec {
        count: TASKS,
        size: Size::new(6_000, 12_000, 0),
        estimate_ms: 2_000,
        ..StepSpec::default()
    };
    Submission {
        id: JobId::parse(&format!("{number:016x}")).expect("a name"),
        queue: "queue".into(),
        age_ms: 0,
        spec: Arc::new(JobSpec {
            payload: "p".into(),
            steps: vec![step],
            repeat: None,
        }),
        row_version: u64::from(number),
    }
}
