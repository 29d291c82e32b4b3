//! A small fleet and a scheduler whose store and executors respond as a test requires.

use std::sync::Arc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::fleet::Listing;
use job::id::JobId;
use job::plan::Advisor;
use job::plan::Plan;
use job::plan::Queue;
use job::plan::Service;
use job::record::JobRecord;
use job::scheduler::ActiveRun;
use job::scheduler::Command;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::Scheduler;
use job::scheduler::StartAnswer;
use job::scheduler::Submission;
use job::scheduler::TaskKey;
use job::scheduler::Timing;
use job::spec::JobSpec;
use job::spec::StepSpec;
use job::task::RunMetrics;
use job::task::RunNumber;
use model::Map;
use model::Mono;
use model::Size;

/// The lease duration in the tests.
pub const LEASE: Duration = Duration::from_secs(5);
/// The longest lease that the executors in the tests accept.
pub const MAX_LEASE: Duration = Duration::from_secs(10);
/// The name of the only queue.
pub const QUEUE: &str = "queue";

/// A scheduler and the current time.
pub struct Fixture {
    pub scheduler: Scheduler,
    pub now: Mono,
}

/// Returns a plan with one queue and one service.
pub fn plan(attempts: u32) -> Arc<Plan> {
    let queue = Queue {
        name: QUEUE.into(),
        host: "host".into(),
        path_prefix: "/queue/".into(),
        service: "service".into(),
        priority: 0,
        attempts,
        stretch: 2.0,
        target: Duration::from_secs(1),
        advisor: None,
    };
    let mut services = Map::default();
    let service = Service {
        refuses_overcommit: true,
    };
    services.insert("service".into(), service);
    Arc::new(Plan {
        version: 1,
        queues: vec![queue].into(),
        services,
        ..Plan::default()
    })
}

/// Returns the same plan with an advisor whose tickets are valid for four seconds.
pub fn advised_plan() -> Arc<Plan> {
    let mut plan = (*plan(2)).clone();
    let mut queue = plan.queues[0].clone();
    queue.advisor = Some(Advisor {
        base_latency: Duration::from_millis(200),
        latency_per_executor: Duration::from_millis(10),
        ticket_ttl: Duration::from_secs(4),
    });
    plan.queues = vec![queue].into();
    Arc::new(plan)
}

/// Returns the properties of an executor with 64 cores.
pub fn listing(number: usize) -> Listing {
    Listing {
        id: format!("e{number}").into(),
        address: format!("10.0.0.{number}:80").into(),
        service: "service".into(),
        data_centre: "dc".into(),
        labels: vec!["r1".into()],
        capacity: Size::new(64_000, 256_000, 0),
        started_unix_ms: 1_000,
        draining: false,
        drain_remaining: None,
        cold_remaining: Duration::ZERO,
    }
}

/// Returns a step of short tasks.
pub fn step(count: u32, cores: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        size: Size::new(cores * 1_000, 1_000, 0),
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Returns a step of service tasks.
pub fn service(count: u32, cores: u64, image: &str) -> StepSpec {
    StepSpec {
        long_running: true,
        image: Some(image.into()),
        tail_latency_target_ms: 50,
        ..step(count, cores, 0)
    }
}

/// Returns a step of best-effort tasks.
pub fn best_effort(count: u32, cores: u64, image: &str) -> StepSpec {
    StepSpec {
        best_effort: true,
        image: Some(image.into()),
        ..step(count, cores, 2_000)
    }
}

impl Fixture {
    /// Creates a fixture with this number of executors.
    pub fn new(executors: usize) -> Self {
        let timing = Timing {
            lease: LEASE,
            max_lease: MAX_LEASE,
            stop_timeout: Duration::from_millis(900),
            warmup: None,
            remote_slowdown: 1.0,
        };
        let mut fixture = Self {
            scheduler: Scheduler::new(plan(2), timing),
            now: Mono(10_000),
        };
        fixture.list((1..=executors).map(listing).collect());
        fixture
    }

    /// Returns a new owner that restores the only job from the record that this one would store.
    pub fn successor(&mut self) -> Self {
        let batch = self.scheduler.take_batch(100, usize::MAX);
        assert_eq!(batch.rows.len(), 1, "one row");
        self.successor_of(&batch.rows)
    }

    /// Returns a new owner that restores all jobs with unstored changes.
    pub fn successor_of_all(&mut self) -> Self {
        let batch = self.scheduler.take_batch(100, usize::MAX);
        self.successor_of(&batch.rows)
    }

    /// Returns a new owner that restores the jobs of these rows, in this order.
    pub fn successor_of(&self, rows: &[(JobId, Vec<u8>)]) -> Self {
        let mut next = Self {
            scheduler: Scheduler::new(plan(2), self.scheduler.timing),
            now: Mono(5_000),
        };
        for (id, row) in rows {
            let record: JobRecord = serde_json::from_slice(row).expect("a valid record");
            let mut submission = self.submission(*id);
            submission.row_version = record.row_version.unwrap_or(submission.row_version);
            next.scheduler.restore(submission, &record, next.now);
        }
        next
    }

    /// Returns the submission of a job as a successor reads it.
    pub fn submission(&self, id: JobId) -> Submission {
        let key = self.scheduler.find(id).expect("the job exists");
        let job = self.scheduler.job(key).expect("the job exists");
        Submission {
            id,
            queue: QUEUE.into(),
            age_ms: 0,
            spec: job.spec.clone(),
            row_version: 1,
            terms: None,
        }
    }

    /// Passes an executor list to the scheduler.
    pub fn list(&mut self, listings: Vec<Listing>) {
        let listings = listings.into_iter().map(|listing| (listing, 500)).collect();
        self.scheduler.update_executors(listings, self.now);
    }

    /// Advances the time.
    pub fn pass(&mut self, ms: u64) {
        self.now = Mono(self.now.0 + ms);
    }

    /// Submits a job with these steps.
    pub fn submit(&mut self, number: u64, steps: Vec<StepSpec>) -> JobId {
        let id = JobId::parse(&format!("{number:016x}")).expect("a valid job identifier");
        let submission = Submission {
            id,
            queue: QUEUE.into(),
            age_ms: 0,
            row_version: number,
            terms: None,
            spec: Arc::new(JobSpec {
                payload: "payload".into(),
                steps,
                repeat: None,
            }),
        };
        self.scheduler.submit(submission, self.now);
        id
    }

    /// Runs a placement round.
    pub fn place(&mut self) -> usize {
        self.scheduler.place(self.now, 0)
    }

    /// Stores all changes.
    pub fn store(&mut self) {
        let batch = self.scheduler.take_batch(100, usize::MAX);
        self.scheduler.batch_stored(batch, self.now);
    }

    /// Runs a placement round, stores the assignments and confirms all starts. Returns the start
    /// commands.
    pub fn start_all(&mut self) -> Vec<Command> {
        self.place();
        self.store();
        let commands = self.scheduler.take_commands();
        for command in &commands {
            if let Command::Start { key, run, .. } = command {
                self.start_answered(*key, *run, StartAnswer::Started);
            }
        }
        commands
    }

    /// Passes the answer to a start command to the scheduler.
    pub fn start_answered(&mut self, key: TaskKey, run: RunNumber, answer: StartAnswer) {
        self.scheduler.start_answered(key, run, answer, self.now);
    }

    /// Runs a placement round and stores the assignments. Returns the only start command, which
    /// remains unanswered.
    pub fn only_start(&mut self) -> (TaskKey, RunNumber) {
        self.place();
        self.store();
        let commands = self.scheduler.take_commands();
        match &commands[..] {
            [Command::Start { key, run, .. }] => (*key, *run),
            _ => panic!("expected one start command, got {commands:?}"),
        }
    }

    /// Returns the key of an executor.
    pub fn executor(&self, number: usize) -> ExecutorKey {
        self.scheduler
            .fleet
            .find(&format!("e{number}"))
            .expect("the executor is listed")
    }

    /// Returns the tasks on an executor in the order of their keys.
    pub fn tasks_on(&self, number: usize) -> Vec<TaskKey> {
        let executor = self.executor(number);
        let mut tasks: Vec<TaskKey> = self
            .scheduler
            .fleet
            .get(executor)
            .expect("the executor is listed")
            .tasks
            .iter()
            .copied()
            .collect();
        tasks.sort();
        tasks
    }

    /// Returns the tasks of the job with this number in the order of their slots.
    pub fn tasks_of_job(&self, number: u64) -> Vec<TaskKey> {
        let id = JobId::parse(&format!("{number:016x}")).expect("a valid job identifier");
        let job = self.scheduler.find(id).expect("the job exists");
        let tasks = self.scheduler.job(job).map_or(0, |job| job.tasks.len());
        let slots = 0..u32::try_from(tasks).expect("a small job");
        slots.map(|slot| TaskKey { job, slot }).collect()
    }

    /// Returns a report entry for an active run of a task.
    pub fn running(&self, key: TaskKey, progress: u32, tail_ms_or_cpu_millis: u64) -> ActiveRun {
        ActiveRun {
            task: self.scheduler.task_id(key),
            run: self.scheduler.task(key).expect("the task exists").run,
            checkpoint: None,
            metrics: RunMetrics {
                progress,
                tail_ms_or_cpu_millis,
            },
        }
    }

    /// Returns a report entry for an ended run of a task.
    pub fn end(&self, sequence: u64, key: TaskKey, outcome: RunOutcome) -> EndedRun {
        EndedRun {
            sequence,
            task: self.scheduler.task_id(key),
            run: self.scheduler.task(key).expect("the task exists").run,
            outcome,
            checkpoint: None,
        }
    }

    /// Reports these ended runs, and all other tasks assigned to the executor as active.
    pub fn report(&mut self, number: usize, ended: Vec<EndedRun>) {
        let running = self
            .tasks_on(number)
            .into_iter()
            .filter(|key| {
                let id = self.scheduler.task_id(*key);
                !ended.iter().any(|end| end.task == id)
            })
            .map(|key| self.running(key, 50, 0))
            .collect();
        self.report_rows(number, running, ended);
    }

    /// Reports exactly these active and ended runs.
    pub fn report_rows(&mut self, number: usize, running: Vec<ActiveRun>, ended: Vec<EndedRun>) {
        let executor = self.executor(number);
        let report = Report {
            started_unix_ms: Some(1_000),
            clock_ms: self.now.0,
            running,
            ended,
        };
        self.scheduler.report(executor, &report, self.now, self.now);
    }
}
