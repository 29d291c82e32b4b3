//! CPU cost of a job owner's decisions: `measure -- jobs`.
//!
//! The benchmark drives the [`Scheduler`] as an owner does, but without store and executors. The
//! cost of calls to these is measured with the users' benchmark; `docs/CAPACITY.md` has the
//! figures.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::plan::Plan;
use job::scheduler::ActiveRun;
use job::scheduler::Command;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::scheduler::StartAnswer;
use job::scheduler::Submission;
use job::scheduler::Timing;
use job::spec::StepSpec;
use job::task::RunMetrics;
use model::Map;
use model::Mono;
use model::Size;

use crate::figure::Figure;
use crate::job_load;
use crate::job_load::mean_us;
use crate::job_load::queue;

/// Number of executors of the users' largest deployment.
const EXECUTORS: u32 = 660;
/// Number of jobs that each figure is averaged over.
const JOBS: u32 = 2_000;
/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 8;
/// Number of jobs that are open at a time.
const OPEN_JOBS: u32 = 40;

/// Elapsed time per operation in seconds, with the number of operations.
#[derive(Default)]
struct TimeSpent {
    submission: f64,
    placing: f64,
    storing: f64,
    starting: f64,
    ending: f64,
    polling: f64,
    starts: u32,
    polls: u32,
    record_bytes: usize,
    records: u32,
}

/// Runs the measurement.
#[must_use]
pub fn run() -> Vec<Figure> {
    let mut bench = Bench::new();
    for first in (0..JOBS).step_by(OPEN_JOBS as usize) {
        bench.run_jobs(first);
    }
    bench.poll_unchanged();
    let spent = &bench.spent;
    let bytes = u32::try_from(spent.record_bytes).map_or(f64::NAN, f64::from);
    vec![
        Figure::reported("job-submission", mean_us(spent.submission, JOBS), "us"),
        Figure::reported(
            "job-placing-a-start",
            mean_us(spent.placing, spent.starts),
            "us",
        ),
        Figure::reported(
            "job-storing-a-start",
            mean_us(spent.storing, spent.starts),
            "us",
        ),
        Figure::reported(
            "job-answer-to-a-start",
            mean_us(spent.starting, spent.starts),
            "us",
        ),
        Figure::reported(
            "job-end-of-a-run",
            mean_us(spent.ending, spent.starts),
            "us",
        ),
        Figure::reported(
            "job-look-without-news",
            mean_us(spent.polling, spent.polls),
            "us",
        ),
        Figure::reported("job-record", bytes / f64::from(spent.records.max(1)), "B"),
    ]
}

struct Bench {
    scheduler: Scheduler,
    now: Mono,
    spent: TimeSpent,
    /// Sequence number of the last ended run, by executor.
    last_sequence: Map<ExecutorKey, u64>,
}

impl Bench {
    fn new() -> Self {
        let timing = Timing {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(10),
            stop_timeout: Duration::from_secs(1),
            warmup: None,
            remote_slowdown: 1.0,
        };
        let mut scheduler = Scheduler::new(plan(), timing);
        let listings = (0..EXECUTORS).map(|number| (listing(number), 1)).collect();
        scheduler.update_executors(listings, Mono(1));
        Self {
            scheduler,
            now: Mono(1),
            spent: TimeSpent::default(),
            last_sequence: Map::default(),
        }
    }

    /// Runs [`OPEN_JOBS`] jobs from submission to completion.
    fn run_jobs(&mut self, first: u32) {
        let started = Instant::now();
        for number in first..first + OPEN_JOBS {
            self.scheduler.submit(submission(number), self.now);
        }
        self.spent.submission += started.elapsed().as_secs_f64();
        let started = Instant::now();
        while self.scheduler.place(self.now, 0) > 0 {}
        self.spent.placing += started.elapsed().as_secs_f64();
        self.store();
        let started = Instant::now();
        let commands = self.scheduler.take_commands();
        for command in &commands {
            if let Command::Start {
                key, run, executor, ..
            } = command
            {
                self.scheduler.grant_lease(*executor, self.now);
                self.scheduler
                    .start_answered(*key, *run, StartAnswer::Started, self.now);
                self.spent.starts += 1;
            }
        }
        self.spent.starting += started.elapsed().as_secs_f64();
        self.end(&commands);
        self.store();
        self.now = self.now.after(Duration::from_millis(100));
    }

    fn store(&mut self) {
        let started = Instant::now();
        while self.scheduler.has_changes() {
            let batch = self.scheduler.take_batch(90, usize::MAX);
            for (_, row) in &batch.rows {
                self.spent.record_bytes += row.len();
                self.spent.records += 1;
            }
            self.scheduler.batch_stored(batch, self.now);
        }
        self.spent.storing += started.elapsed().as_secs_f64();
    }

    fn end(&mut self, commands: &[Command]) {
        self.now = self.now.after(Duration::from_millis(100));
        let mut reports: Map<ExecutorKey, Report> = Map::default();
        for command in commands {
            if let Command::Start {
                task,
                run,
                executor,
                ..
            } = command
            {
                let sequence = self.last_sequence.entry(*executor).or_default();
                *sequence += 1;
                let report = reports.entry(*executor).or_default();
                report.started_unix_ms = Some(1_000);
                report.ended.push(EndedRun {
                    sequence: *sequence,
                    task: Some(*task),
                    run: *run,
                    outcome: RunOutcome::Done,
                    checkpoint: None,
                });
            }
        }
        let started = Instant::now();
        for (executor, report) in &reports {
            self.scheduler.report(*executor, report, self.now, self.now);
        }
        self.spent.ending += started.elapsed().as_secs_f64();
    }

    /// Starts tasks and then processes repeated reports that contain no change.
    fn poll_unchanged(&mut self) {
        for number in JOBS..JOBS + OPEN_JOBS {
            self.scheduler.submit(submission(number), self.now);
        }
        while self.scheduler.place(self.now, 0) > 0 {}
        self.store();
        let mut reports: Map<ExecutorKey, Report> = Map::default();
        for command in self.scheduler.take_commands() {
            if let Command::Start {
                task,
                run,
                executor,
                ..
            } = command
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
        let started = Instant::now();
        for _ in 0..20 {
            self.now = self.now.after(Duration::from_millis(500));
            for (executor, report) in &reports {
                self.scheduler.report(*executor, report, self.now, self.now);
                self.scheduler.learn_interference(*executor, self.now);
                self.scheduler.throttle_after_report(*executor, self.now);
                self.scheduler.move_throttled(*executor, self.now);
                self.scheduler.stop_stalled(*executor, self.now);
                self.spent.polls += 1;
            }
        }
        self.spent.polling += started.elapsed().as_secs_f64();
    }
}

fn plan() -> Arc<Plan> {
    Arc::new(Plan {
        version: 1,
        queues: vec![queue()].into(),
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
        count: TASKS_PER_JOB,
        size: Size::new(6_000, 12_000, 0),
        estimate_ms: 2_000,
        ..StepSpec::default()
    };
    job_load::submission(u64::from(number), "p", vec![step])
}
