//! The owner's state of all jobs, and the commands and rows that follow from each event.
//!
//! A [`Scheduler`] is notified of events ([`Scheduler::submit`], [`Scheduler::cancel`],
//! [`Scheduler::report`], ...) and collects the resulting work: commands to executors
//! ([`Scheduler::take_commands`]) and rows to be stored ([`Scheduler::take_batch`]). A start
//! command is released only once the row with the assignment is stored. Ended runs are acknowledged
//! to their executor only once the rows that they changed are stored. See `docs/JOBS.md`.

mod allocation;
mod capacity;
mod commands;
mod cooldown;
mod crashes;
mod evacuation;
mod event;
mod executors;
mod gang;
mod incarnation;
mod job;
mod late_end;
mod leases;
mod places;
mod recovery;
mod replacement;
mod report;
mod restore;
mod retire;
mod set_aside;
mod silence;
mod store;
mod store_queue;
mod transitions;
mod unnamed;
mod warmup;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;
use model::Set;
use slotmap::SlotMap;
use slotmap::new_key_type;

pub use self::commands::Command;
pub use self::commands::StartAnswer;
pub use self::crashes::UnexplainedLoss;
pub use self::event::CooldownReason;
pub use self::event::Event;
pub use self::event::LossReason;
pub use self::job::Job;
pub use self::job::JobState;
pub use self::late_end::AbandonedRun;
pub use self::report::ActiveRun;
pub use self::report::EndedRun;
pub use self::report::Report;
pub use self::report::RunOutcome;
pub use self::restore::Submission;
pub use self::retire::ExpiredJob;
pub use self::store::Batch;
pub use self::store::EndedJob;
pub use self::store::UnstoredEnds;
use self::store_queue::StorePlace;
pub use self::store_queue::StorePoint;
use self::store_queue::StoreQueue;
use crate::admission::backlog::WorkFlow;
use crate::advice::AdviceCache;
use crate::advice::AdviceRequest;
use crate::durations::Durations;
use crate::evacuation::EvacuationProblem;
use crate::evacuation::Evacuations;
use crate::fault_attribution::FailedOn;
use crate::fleet::ExecutorKey;
use crate::fleet::Fleet;
use crate::fleet::Listing;
use crate::id::JobId;
use crate::id::TaskId;
use crate::interference::Interference;
use crate::locality::Locality;
use crate::plan::Plan;
use crate::short_work::ExpectedShortWork;
use crate::short_work::ShortDemand;
use crate::short_work::Shortages;
use crate::size_share::SizeShare;
use crate::spec::StepSpec;
use crate::task::StartState;
use crate::task::Task;
use crate::terms::Terms;
use crate::warmup::ServiceWarmth;
use crate::warmup::WarmupLimits;

/// The maximum size of a job's record in bytes where the rows of the store hold 65,536 bytes.
pub const DEFAULT_MAX_RECORD_BYTES: usize = 60 << 10;

new_key_type! {
    /// Identifies a job in the [`Scheduler`].
    pub struct JobKey;
}

/// Identifies a task in the [`Scheduler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobKey,
    /// The task's index among all tasks of the job.
    pub slot: u32,
}

/// A step of one occurrence whose tasks can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyStep {
    /// The job that the step belongs to.
    pub job: JobKey,
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The slot of the step's first task.
    pub first_slot: u32,
}

/// Timing parameters of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The duration of the lease that each call grants to the runs on an executor.
    pub lease: Duration,
    /// The longest lease that an executor accepts, however late the requested deadline is on its
    /// clock.
    pub max_lease: Duration,
    /// The time within which an executor stops a run.
    pub stop_timeout: Duration,
    /// How much work cold executors get, or `None` if they are treated like warm ones.
    pub warmup: Option<WarmupLimits>,
    /// How many times as long a task takes in another rack than its data, and a gang with
    /// [`StepSpec::same_rack`] in more than one rack. At 1 and below, places make no difference.
    pub remote_slowdown: f64,
}

/// The state of all jobs of one owner.
#[derive(Clone, Debug)]
pub struct Scheduler {
    /// The executors.
    pub fleet: Fleet,
    /// The current version of the operators' document; [`Self::set_plan`] replaces it.
    pub plan: Arc<Plan>,
    /// Learned task durations.
    pub durations: Durations,
    /// Learned interference between images.
    pub interference: Interference,
    /// The timing parameters.
    pub timing: Timing,
    jobs: SlotMap<JobKey, Job>,
    by_id: Map<JobId, JobKey>,
    open: Vec<JobKey>,
    /// The jobs whose records have to be written.
    dirty: StoreQueue,
    /// The largest record of a job that the store accepts, in bytes. [`DEFAULT_MAX_RECORD_BYTES`]
    /// unless the settings say otherwise.
    pub max_record_bytes: usize,
    /// The jobs that were set aside ([`Self::set_aside`]), each with the time, the earliest first.
    set_aside: Vec<(Mono, JobKey)>,
    /// The executors with ends whose effect is not stored.
    unstored_ends: Vec<ExecutorKey>,
    /// The executors that may have to be polled.
    poll_candidates: Vec<ExecutorKey>,
    /// The number of placement rounds so far whose budget had tasks that can wait.
    pub(crate) rounds: u64,
    /// How many rounds in a row before this one used up their budgets, less one; `None` if the latest
    /// did not.
    pub(crate) exhausted_rounds: Option<u64>,
    /// How long the best-effort step has waited that has waited longest of those whose job has no
    /// task on an executor, by service.
    pub(crate) unstarted_waits: Map<Arc<str>, Duration>,
    /// The services that less than half of the capacity of their executors was allocated to at the
    /// last [`Self::tick`].
    pub(crate) idle_services: Set<Arc<str>>,
    /// The short work that has found no room in the latest placement round, by service.
    pub(crate) shortages: Shortages,
    /// The turns of jobs of different sizes.
    pub(crate) size_share: SizeShare,
    /// The work that arrived and was completed since it was last taken.
    pub(crate) work_flow: WorkFlow,
    /// Until when no more executors are kept for short work because none was suitable.
    pub(crate) keep_not_before: Mono,
    /// Until when no throttled task is moved to another executor.
    pub(crate) move_not_before: Mono,
    /// The mean CPU that short work needs, in thousandths of a core, by service.
    pub(crate) short_demand: Map<Arc<str>, ShortDemand>,
    /// The short work that would run now if all had started as soon as it was ready.
    pub(crate) expected_short_work: Vec<ExpectedShortWork>,
    /// Since when each long-running task that had a run is without one.
    pub(crate) interrupted_since: Map<TaskKey, Mono>,
    /// The jobs of these tasks.
    pub(crate) interrupted_jobs: Set<JobKey>,
    commands: Vec<Command>,
    events: Vec<Event>,
    retired: retire::RetiredJobs,
    /// The observed racks and the tasks that wait for a place.
    pub locality: Locality,
    pub(crate) advice: AdviceCache,
    pub(crate) advice_requests: Vec<AdviceRequest>,
    /// The time after which no lease that this owner grants may end.
    pub grants_until: Mono,
    /// Whether calls may reach a later incarnation of an executor than they are meant for, as those of an owner of
    /// an earlier release do. A new incarnation may then hold the longest lease that executors accept.
    pub calls_may_stray: bool,
    /// The executors that are stored as silent.
    silence: silence::StoredSilence,
    /// Whether the previous owner may still send commands.
    previous_owner_may_send: bool,
    /// Until when the previous owner may still send commands.
    previous_owner_sends_until: Mono,
    /// Whether the stored record of a job has an abandoned run without the name of its executor, so
    /// that any executor may list the end.
    has_unlocated_runs: bool,
    /// When the newest executor list arrived.
    listed_at: Mono,
    /// The entries of this list whose service the document does not name.
    unnamed: Vec<(Listing, u64)>,
    /// The warm and cold executors by service, for the services that have cold ones.
    warmth: Map<Arc<str>, ServiceWarmth>,
    /// The evacuated data centres.
    evacuations: Evacuations,
    /// The problems of these evacuations that were last recorded.
    evacuation_problems: BTreeSet<EvacuationProblem>,
}

impl Scheduler {
    /// Creates a scheduler without jobs.
    #[must_use]
    pub fn new(plan: Arc<Plan>, timing: Timing) -> Self {
        Self {
            fleet: Fleet::default(),
            plan,
            durations: Durations::default(),
            interference: Interference::default(),
            timing,
            jobs: SlotMap::with_key(),
            by_id: Map::default(),
            open: Vec::new(),
            dirty: StoreQueue::default(),
            max_record_bytes: DEFAULT_MAX_RECORD_BYTES,
            set_aside: Vec::new(),
            unstored_ends: Vec::new(),
            poll_candidates: Vec::new(),
            rounds: 0,
            exhausted_rounds: None,
            unstarted_waits: Map::default(),
            idle_services: Set::default(),
            shortages: Shortages::default(),
            size_share: SizeShare::default(),
            work_flow: WorkFlow::default(),
            keep_not_before: Mono::ZERO,
            move_not_before: Mono::ZERO,
            short_demand: Map::default(),
            expected_short_work: Vec::new(),
            interrupted_since: Map::default(),
            interrupted_jobs: Set::default(),
            commands: Vec::new(),
            events: Vec::new(),
            retired: retire::RetiredJobs::default(),
            locality: Locality::default(),
            advice: AdviceCache::default(),
            advice_requests: Vec::new(),
            grants_until: Mono(u64::MAX),
            calls_may_stray: false,
            silence: silence::StoredSilence::default(),
            previous_owner_may_send: false,
            previous_owner_sends_until: Mono::ZERO,
            has_unlocated_runs: false,
            listed_at: Mono::ZERO,
            unnamed: Vec::new(),
            warmth: Map::default(),
            evacuations: Evacuations::default(),
            evacuation_problems: BTreeSet::default(),
        }
    }

    /// Adds a job whose submission is stored. Returns the existing key if the job is already known,
    /// and `None` if it has ended and was removed from memory. A submission row with another version
    /// than the ended job's belongs to a new job under the same identifier.
    pub fn submit(&mut self, submission: Submission, now: Mono) -> Option<JobKey> {
        if let Some(key) = self.by_id.get(&submission.id) {
            return Some(*key);
        }
        if self
            .retired
            .is_retired(submission.id, submission.row_version)
        {
            return None;
        }
        self.retired.forget_reused(submission.id);
        let spec = submission.spec;
        let mut unfinished = Vec::with_capacity(spec.steps.len() * spec.occurrences() as usize);
        for _ in 0..spec.occurrences() {
            unfinished.extend(spec.steps.iter().map(|step| step.count));
        }
        let tasks = vec![Task::default(); spec.task_count()];
        let terms = submission.terms;
        let terms = terms.or_else(|| self.plan.queue(&submission.queue).map(Terms::from));
        let mut job = Job {
            work: 0,
            terms,
            id: submission.id,
            queue: submission.queue,
            submitted: now,
            age_when_submitted: Duration::from_millis(submission.age_ms),
            state: JobState::Queued,
            stored_state: JobState::Queued,
            waiting: u32::try_from(tasks.len()).unwrap_or(u32::MAX),
            tasks,
            waits_since: vec![None; unfinished.len()],
            unfinished,
            spec,
            row_version: submission.row_version,
            abandoned: Vec::new(),
            failed_on: FailedOn::default(),
            is_urgent: false,
            dirty: false,
            store_place: StorePlace::default(),
            unstored_ends: Vec::new(),
            set_aside: false,
        };
        job.work = job.remaining_work();
        self.size_share.add_job(&job.queue, &job.spec, job.work);
        if job.spec.repeat.is_none() && !job.spec.is_long_running() {
            let cell = self.cell_of(&job.queue, job.work);
            self.work_flow.add_arrived(cell, &job.spec);
        }
        let id = job.id;
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.open.push(key);
        Some(key)
    }

    /// Cancels a job at the request of its caller. Returns whether the job is known.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(key) = self.by_id.get(&id).copied() else {
            return self.retired.state(id).is_some();
        };
        if self.jobs.get(key).is_some_and(|job| !job.state.is_final()) {
            self.end_job(key, JobState::Cancelled);
        }
        true
    }

    /// Returns the state that callers are told: a final state is visible only once it is stored,
    /// except for a cancellation.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let Some(job) = self.by_id.get(&id).and_then(|key| self.jobs.get(*key)) else {
            return self.retired.state(id);
        };
        if !job.state.is_final()
            || job.stored_state == job.state
            || job.state == JobState::Cancelled
        {
            return Some(job.state);
        }
        Some(JobState::Running)
    }

    /// Returns the number of jobs that have not started, by queue.
    #[must_use]
    pub fn pending(&self) -> Map<Arc<str>, usize> {
        let mut pending = Map::default();
        for key in &self.open {
            if let Some(job) = self.jobs.get(*key)
                && job.state == JobState::Queued
            {
                *pending.entry(job.queue.clone()).or_default() += 1;
            }
        }
        pending
    }

    /// Returns the number of jobs held in memory, including ended ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len() + self.retired.len()
    }

    /// Returns whether no jobs are held in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the job with this key.
    #[must_use]
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    pub(crate) fn job_mut(&mut self, key: JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    /// Returns the key of the job with this identifier.
    #[must_use]
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    /// Iterates over the jobs that have not ended or whose end is not stored yet, in the order in
    /// which they were added.
    pub fn open_jobs(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        self.open
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(*key)?)))
    }

    /// Returns the identifier of a task.
    #[must_use]
    pub fn task_id(&self, key: TaskKey) -> Option<TaskId> {
        let job = self.jobs.get(key.job)?;
        let (occurrence, step, index) = job.locate(key.slot)?;
        Some(TaskId {
            job: job.id,
            occurrence,
            step,
            index,
        })
    }

    /// Returns the key of the task with this identifier.
    #[must_use]
    pub fn task_key(&self, id: TaskId) -> Option<TaskKey> {
        let key = *self.by_id.get(&id.job)?;
        let job = self.jobs.get(key)?;
        let spec = job.spec.steps.get(id.step as usize)?;
        if id.index >= spec.count || id.occurrence >= job.spec.occurrences() {
            return None;
        }
        let slot = job.first_slot(id.occurrence, id.step) + id.index;
        Some(TaskKey { job: key, slot })
    }

    /// Returns the task with this key.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.jobs.get(key.job)?.tasks.get(key.slot as usize)
    }

    /// Returns the terms of a job, or `None` if neither the document nor the job's submission has them.
    #[must_use]
    pub fn terms(&self, job: &Job) -> Option<Terms> {
        Terms::in_force(self.plan.queue(&job.queue), job.terms)
    }

    /// Returns the specification of the step that a task belongs to.
    #[must_use]
    pub fn step(&self, key: TaskKey) -> Option<&StepSpec> {
        let job = self.jobs.get(key.job)?;
        let (_, step, _) = job.locate(key.slot)?;
        job.spec.steps.get(step as usize)
    }

    /// Returns whether a task was assigned by a previous owner and its executor has not been polled
    /// yet.
    #[must_use]
    pub fn is_inherited(&self, key: TaskKey) -> bool {
        self.task(key)
            .and_then(Task::assignment)
            .is_some_and(|assignment| assignment.start_state == StartState::Inherited)
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.jobs.get_mut(key.job)?.tasks.get_mut(key.slot as usize)
    }

    /// Removes and returns the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn record_event(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns the steps that are due, have no unfinished dependencies and belong to jobs with
    /// waiting tasks.
    #[must_use]
    pub fn ready_steps(&self, unix_ms: u64) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        for (key, job) in self.open_jobs() {
            if job.waiting > 0 && !job.state.is_final() && !job.set_aside {
                job.ready_steps(key, unix_ms, &mut ready);
            }
        }
        ready
    }
}
