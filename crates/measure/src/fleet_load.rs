//! CPU cost of an owner's decisions for a large fleet under sustained load: `measure -- fleet`.
//!
//! The benchmark drives the [`Scheduler`] through seconds of simulated time with simulated
//! executors: services fill part of each executor, short and best-effort jobs arrive steadily, each
//! executor is polled when a run ends and once a second, and changes are stored every 10 ms. Only
//! calls of the scheduler are timed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::id::TaskId;
use job::plan::Plan;
use job::plan::Queue;
use job::plan::Service;
use job::scheduler::ActiveRun;
use job::scheduler::Command;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::scheduler::StartAnswer;
use job::scheduler::Timing;
use job::spec::StepSpec;
use job::task::Phase;
use job::task::RunMetrics;
use job::task::RunNumber;
use model::Map;
use model::Mono;
use model::Size;

use crate::figure::Figure;
use crate::job_load;
use crate::job_load::mean_us;
use crate::job_load::queue;

/// Number of executors of the fleet.
const EXECUTORS: u32 = 1_800;
/// Number of queues of the document to which no job is submitted.
const UNUSED_QUEUES: u32 = 1_000;
/// Number of images from which the services are started.
const SERVICE_IMAGES: u32 = 16;
/// Number of images from which the best-effort tasks are started.
const BEST_EFFORT_IMAGES: u32 = 30;
/// Simulated duration of the load, in milliseconds.
const LOAD_MS: u64 = 6_000;
/// The load that the fleet can complete.
const STEADY: Mix = Mix {
    name: "1x",
    services: 250,
    service_size: Size::new(13_000, 26_000, 0),
    job_interval_ms: 22,
    placement_interval_ms: 4,
    batch,
};
/// Three times the load that the fleet can complete.
const OVERLOAD: Mix = Mix {
    name: "3x",
    job_interval_ms: STEADY.job_interval_ms / 3,
    ..STEADY
};
/// Services hold four fifths of the CPU, tasks are of many sizes, and hundreds of steps wait, so that
/// rounds are few and long.
const DENSE: Mix = Mix {
    name: "dense",
    services: 600,
    service_size: Size::new(6_500, 13_000, 0),
    job_interval_ms: 8,
    placement_interval_ms: 50,
    batch: varied_batch,
};
/// Interval between two executor lists, in milliseconds. Nothing is placed by an old one.
const LISTING_INTERVAL_MS: u64 = 1_000;
/// Interval between transactions, in milliseconds.
const STORE_INTERVAL_MS: u64 = 10;
/// Maximum interval between polls of an executor, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;
/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 2_000;

/// Seconds of processor time by part, and the number of operations.
#[derive(Default)]
struct Spent {
    placing: f64,
    rounds: u32,
    ticking: f64,
    ticks: u32,
    storing: f64,
    transactions: u32,
    starting: f64,
    starts: u32,
    reporting: f64,
    reports: u32,
    ends: u32,
    record_bytes: usize,
    /// Ready steps with waiting tasks at the begin of the rounds.
    waiting_steps: u32,
}

/// The work that the fleet receives.
#[derive(Clone, Copy)]
struct Mix {
    /// Name in the figures.
    name: &'static str,
    /// Number of long-running jobs, of 24 tasks each, that are submitted before the load begins.
    services: u32,
    /// Size of a task of a long-running job.
    service_size: Size,
    /// Interval between two other jobs, in milliseconds.
    job_interval_ms: u64,
    /// Interval between placement rounds, in milliseconds.
    placement_interval_ms: u64,
    /// Returns a step of a job that arrives at this time, in milliseconds.
    batch: fn(u64) -> StepSpec,
}

/// Runs the measurement with each mix.
#[must_use]
pub fn run() -> Vec<Figure> {
    let mut figures = Vec::new();
    for mix in [STEADY, OVERLOAD, DENSE] {
        let mut load = Load::new(mix);
        load.run();
        figures.extend(load.figures());
    }
    figures
}

/// An executor of the simulation.
#[derive(Default)]
struct SimulatedExecutor {
    runs: BTreeMap<TaskId, (RunNumber, u64)>,
    ended: Vec<EndedRun>,
    sequence: u64,
    polled_at: u64,
}

struct Load {
    mix: Mix,
    scheduler: Scheduler,
    now_ms: u64,
    executors: Map<ExecutorKey, SimulatedExecutor>,
    spent: Spent,
}

impl Load {
    fn new(mix: Mix) -> Self {
        let timing = Timing {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(6),
            stop_timeout: Duration::from_millis(200),
            warmup: None,
            remote_slowdown: 1.0,
        };
        let mut scheduler = Scheduler::new(plan(), timing);
        scheduler.update_executors(listings(), Mono(1));
        let keys: Vec<ExecutorKey> = scheduler.fleet.iter().map(|(key, _)| key).collect();
        let mut load = Self {
            mix,
            scheduler,
            now_ms: 1,
            executors: keys
                .into_iter()
                .map(|key| (key, SimulatedExecutor::default()))
                .collect(),
            spent: Spent::default(),
        };
        for number in 0..mix.services {
            let step = services(number, mix.service_size);
            load.submit(u64::from(number), step);
        }
        while load.place() > 0 {}
        while load.store() {}
        load.send_starts();
        load.spent = Spent::default();
        load
    }

    fn run(&mut self) {
        let mix = self.mix;
        let end = self.now_ms + LOAD_MS;
        while self.now_ms < end {
            self.now_ms += 1;
            if self.now_ms.is_multiple_of(LISTING_INTERVAL_MS) {
                self.scheduler
                    .update_executors(listings(), Mono(self.now_ms));
            }
            if self.now_ms.is_multiple_of(mix.job_interval_ms) {
                self.submit(1_000_000 + self.now_ms, (mix.batch)(self.now_ms));
            }
            if self.now_ms.is_multiple_of(mix.placement_interval_ms) {
                self.count_waiting_steps();
                self.place();
            }
            if self.now_ms.is_multiple_of(STORE_INTERVAL_MS) {
                self.store();
                self.send_starts();
                self.tick();
            }
            self.poll();
            self.scheduler.take_events();
        }
    }

    fn figures(&self) -> Vec<Figure> {
        let load = self.mix.name;
        let spent = &self.spent;
        let total = spent.placing + spent.storing + spent.starting + spent.reporting;
        let seconds = Duration::from_millis(LOAD_MS).as_secs_f64();
        let bytes = u32::try_from(spent.record_bytes).map_or(f64::NAN, f64::from);
        let figure =
            |name: &str, value, unit| Figure::reported(format!("fleet-{load}-{name}"), value, unit);
        vec![
            figure("starts", f64::from(spent.starts) / seconds, "1/s"),
            figure("ends", f64::from(spent.ends) / seconds, "1/s"),
            figure("reports", f64::from(spent.reports) / seconds, "1/s"),
            figure(
                "waiting-steps",
                f64::from(spent.waiting_steps) / f64::from(spent.rounds),
                "1",
            ),
            figure("round", mean_us(spent.placing, spent.rounds), "us"),
            figure(
                "placing-a-start",
                mean_us(spent.placing, spent.starts),
                "us",
            ),
            figure(
                "transaction",
                mean_us(spent.storing, spent.transactions),
                "us",
            ),
            figure("tick", mean_us(spent.ticking, spent.ticks), "us"),
            figure("records", bytes / seconds / 1e6, "MB/s"),
            figure(
                "answer-to-a-start",
                mean_us(spent.starting, spent.starts),
                "us",
            ),
            figure("report", mean_us(spent.reporting, spent.reports), "us"),
            figure("processor", total / seconds, "cores"),
        ]
    }

    fn submit(&mut self, number: u64, step: StepSpec) {
        let second = StepSpec {
            after: vec![0],
            ..step.clone()
        };
        let steps = if step.long_running {
            vec![step]
        } else {
            vec![step, second]
        };
        let submission = job_load::submission(number, "payload", steps);
        self.scheduler.submit(submission, Mono(self.now_ms));
    }

    fn count_waiting_steps(&mut self) {
        let mut waiting = self.scheduler.ready_steps(0);
        waiting.retain(|ready| {
            let job = self.scheduler.job(ready.job);
            let first = ready.first_slot as usize;
            job.is_some_and(|job| {
                let count = job.spec.steps[ready.step as usize].count as usize;
                job.tasks[first..first + count]
                    .iter()
                    .any(|task| task.phase == Phase::Waiting)
            })
        });
        self.spent.waiting_steps += u32::try_from(waiting.len()).unwrap_or(u32::MAX);
    }

    fn tick(&mut self) {
        let started = Instant::now();
        self.scheduler.tick(Mono(self.now_ms));
        self.spent.ticking += started.elapsed().as_secs_f64();
        self.spent.ticks += 1;
    }

    fn place(&mut self) -> usize {
        let started = Instant::now();
        let placed = self.scheduler.place(Mono(self.now_ms), 0);
        self.spent.placing += started.elapsed().as_secs_f64();
        self.spent.rounds += 1;
        placed
    }

    fn store(&mut self) -> bool {
        let started = Instant::now();
        let batch = self.scheduler.take_batch(90, usize::MAX);
        let bytes: usize = batch.rows.iter().map(|(_, row)| row.len()).sum();
        let changed = !batch.rows.is_empty();
        self.scheduler.batch_stored(batch, Mono(self.now_ms));
        self.spent.storing += started.elapsed().as_secs_f64();
        self.spent.record_bytes += bytes;
        self.spent.transactions += 1;
        changed
    }

    fn send_starts(&mut self) {
        for command in self.scheduler.take_commands() {
            let Command::Start {
                key,
                task,
                run,
                executor,
                ..
            } = command
            else {
                continue;
            };
            let started = Instant::now();
            self.scheduler.grant_lease(executor, Mono(self.now_ms));
            self.scheduler
                .command_answered(executor, None, self.now_ms, Mono(self.now_ms));
            self.scheduler
                .start_answered(key, run, StartAnswer::Started, Mono(self.now_ms));
            self.spent.starting += started.elapsed().as_secs_f64();
            self.spent.starts += 1;
            let lasts = self
                .scheduler
                .step(key)
                .is_some_and(|step| step.long_running);
            let ends = if lasts {
                u64::MAX
            } else {
                self.now_ms + RUN_MS
            };
            if let Some(executor) = self.executors.get_mut(&executor) {
                executor.runs.insert(task, (run, ends));
            }
        }
    }

    fn poll(&mut self) {
        let now_ms = self.now_ms;
        for (key, executor) in &mut self.executors {
            executor.end_due_runs(now_ms);
            let idle = now_ms - executor.polled_at < POLL_INTERVAL_MS;
            if executor.ended.is_empty() && idle {
                continue;
            }
            let acknowledged = self.scheduler.acknowledgement(*key);
            executor.ended.retain(|end| end.sequence > acknowledged);
            if executor.ended.is_empty() && idle {
                continue;
            }
            if now_ms - executor.polled_at < STORE_INTERVAL_MS {
                continue;
            }
            executor.polled_at = now_ms;
            let report = executor.report(now_ms);
            let now = Mono(now_ms);
            let started = Instant::now();
            self.scheduler.grant_lease(*key, now);
            self.scheduler.report(*key, &report, now, now);
            self.scheduler
                .acknowledgement_confirmed(*key, 1_000, acknowledged);
            self.scheduler.learn_interference(*key, now);
            self.scheduler.throttle_after_report(*key, now);
            self.scheduler.move_throttled(*key, now);
            self.scheduler.stop_stalled(*key, now);
            self.spent.reporting += started.elapsed().as_secs_f64();
            self.spent.reports += 1;
            self.spent.ends += u32::try_from(report.ended.len()).unwrap_or(u32::MAX);
        }
    }
}

impl SimulatedExecutor {
    fn end_due_runs(&mut self, now_ms: u64) {
        let due: Vec<(TaskId, RunNumber)> = self
            .runs
            .iter()
            .filter(|(_, (_, ends))| *ends <= now_ms)
            .map(|(task, (run, _))| (*task, *run))
            .collect();
        for (task, run) in due {
            self.runs.remove(&task);
            self.sequence += 1;
            self.ended.push(EndedRun {
                sequence: self.sequence,
                task: Some(task),
                run,
                outcome: RunOutcome::Done,
                checkpoint: None,
            });
        }
    }

    fn report(&self, now_ms: u64) -> Report {
        let running = self.runs.iter().map(|(task, (run, ends))| ActiveRun {
            task: Some(*task),
            run: *run,
            checkpoint: None,
            metrics: RunMetrics {
                progress: if *ends == u64::MAX {
                    100
                } else {
                    progress(*ends, now_ms)
                },
                tail_ms_or_cpu_millis: 30,
            },
        });
        Report {
            started_unix_ms: Some(1_000),
            clock_ms: now_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

/// Returns the progress in percent of a run that ends at `ends_ms`.
fn progress(ends_ms: u64, now_ms: u64) -> u32 {
    let left = ends_ms.saturating_sub(now_ms).min(RUN_MS);
    u32::try_from(100 - left * 100 / RUN_MS).unwrap_or(100)
}

fn plan() -> Arc<Plan> {
    let queue = queue();
    let unused = (0..UNUSED_QUEUES).map(|number| Queue {
        name: format!("unused-{number}").into(),
        ..queue.clone()
    });
    let queues: Vec<Queue> = unused.chain([queue.clone()]).collect();
    let mut services = Map::default();
    services.insert("service".into(), Service::default());
    Arc::new(Plan {
        version: 1,
        queues: queues.into(),
        services,
        ..Plan::default()
    })
}

fn listings() -> Vec<(Listing, u64)> {
    (0..EXECUTORS).map(|number| (listing(number), 1)).collect()
}

fn listing(number: u32) -> Listing {
    Listing {
        id: format!("i-{number:010x}").into(),
        address: format!("10.0.{}.{}:8625", number / 250, number % 250).into(),
        service: "service".into(),
        data_centre: "dc".into(),
        labels: vec![format!("r{}", number / 20).into()],
        capacity: Size::new(64_000, 256_000, 0),
        started_unix_ms: 1_000,
        ..Listing::default()
    }
}

fn services(number: u32, size: Size) -> StepSpec {
    StepSpec {
        count: 24,
        size,
        long_running: true,
        image: Some(format!("service-{}", number % SERVICE_IMAGES).into()),
        tail_latency_target_ms: 50,
        ..StepSpec::default()
    }
}

/// Returns a step of a job that arrives at this time: alternately short and best-effort tasks.
fn batch(now_ms: u64) -> StepSpec {
    let best_effort = now_ms.is_multiple_of(3);
    let image = format!("fill-{}", now_ms % u64::from(BEST_EFFORT_IMAGES));
    StepSpec {
        count: 40,
        size: Size::new(7_000, 13_000, 0),
        estimate_ms: RUN_MS,
        best_effort,
        image: best_effort.then(|| image.into()),
        ..StepSpec::default()
    }
}

/// Like [`batch`], of 1 to 30 tasks and of sizes that differ from job to job, half of them
/// best-effort.
fn varied_batch(now_ms: u64) -> StepSpec {
    let varied = now_ms.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let best_effort = varied.is_multiple_of(2);
    let image = format!("fill-{}", varied % u64::from(BEST_EFFORT_IMAGES));
    let cpu_millis = 1_000 + varied % 23 * 500;
    StepSpec {
        count: u32::try_from(1 + varied % 30).unwrap_or(1),
        size: Size::new(cpu_millis, cpu_millis * 2, 0),
        best_effort,
        image: best_effort.then(|| image.into()),
        ..batch(now_ms)
    }
}
