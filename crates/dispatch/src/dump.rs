//! A diagnostic dump of the process: its view of the system, the age of that view, and why waiting
//! jobs are blocked.

use std::time::Duration;

use job::id::JobId;
use job::scheduler::Job;
use job::scheduler::Scheduler;
use job::wait_reason::WaitingStep;
use model::Mono;
use serde::Serialize;

use crate::admission::EstimateReport;
use crate::dependencies::RejectedEntry;
use crate::node::Node;
use crate::owner::Owner;
use crate::rows::OwnerRecord;

/// Maximum number of jobs and of executors that are listed; the counts are not limited.
const MAX_LISTED: usize = 500;

/// The state of a process.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Version of the document in force, if there is one.
    pub document_version: Option<u64>,
    /// Time since the store last answered, in milliseconds.
    pub store_silent_ms: u64,
    /// The owner of the executors, as last seen by this host.
    pub known_owner: Option<OwnerRecord>,
    /// The estimate by which this host refuses jobs; absent if it accepts all.
    pub admission: Option<EstimateReport>,
    /// The state of the owner, if this host owns the executors.
    pub owner: Option<OwnerDump>,
}

/// The state of the owner.
#[derive(Debug, Serialize)]
pub struct OwnerDump {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Age of the last transaction with which the store confirmed the ownership, in milliseconds.
    pub confirmed_ago_ms: u64,
    /// Number of jobs that have not ended.
    pub open_jobs: usize,
    /// The jobs that have not ended, in order of arrival.
    pub jobs: Vec<JobDump>,
    /// Number of jobs that this owner has refused because they could not be done in time.
    pub refused: u64,
    /// Number of refused callers that are expected to retry.
    pub returning_callers: usize,
    /// Number of executors known to the scheduler.
    pub known_executors: usize,
    /// Executors that accept no tasks at the moment, with the causes.
    #[serde(rename = "executors_away")]
    pub unavailable_executors: Vec<ExecutorDump>,
    /// Entries in the list of executors that name none which could be used, with the reasons.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rejected_entries: Vec<RejectedEntry>,
    /// Executors that are slow after their start.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub cold_executors: Vec<ColdExecutorDump>,
    /// What the owner knows of evacuations; absent in a deployment without them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuationsDump>,
}

/// An executor that is slow after its start.
#[derive(Debug, Serialize)]
pub struct ColdExecutorDump {
    /// Name of the executor.
    pub id: String,
    /// How much longer it stays slow, in milliseconds.
    pub remaining_ms: u64,
    /// Number of tasks assigned to it.
    pub tasks: usize,
}

/// What the owner knows of evacuations of data centres.
#[derive(Debug, Serialize)]
pub struct EvacuationsDump {
    /// Time since the latest answered read of the evacuations was sent, in milliseconds.
    pub read_ago_ms: u64,
    /// The evacuated data centres.
    pub data_centres: Vec<EvacuationDump>,
    /// Why evacuations cannot have the effect that operators expect.
    pub problems: Vec<EvacuationProblemDump>,
}

/// An evacuated data centre.
#[derive(Debug, Serialize)]
pub struct EvacuationDump {
    /// Name of the data centre.
    pub data_centre: String,
    /// Time since this owner first read of the evacuation, in milliseconds.
    pub since_ms: u64,
    /// Number of executors there.
    pub executors: usize,
    /// Number of tasks that are still assigned to them.
    pub tasks: usize,
    /// Number of start commands that this owner has withdrawn.
    pub withdrawn_starts: u64,
}

/// An evacuation that is obeyed although it cannot have the expected effect.
#[derive(Debug, Serialize)]
pub struct EvacuationProblemDump {
    /// What is wrong: `unknown_data_centre` or `no_executor_left`.
    pub problem: &'static str,
    /// Name of the data centre or of the service concerned.
    pub subject: String,
}

/// A job that has not ended.
#[derive(Debug, Serialize)]
pub struct JobDump {
    /// Id of the job.
    pub job: JobId,
    /// Name of its queue.
    pub queue: String,
    /// State as shown to callers.
    pub state: &'static str,
    /// Whether the store refuses the record of the job, so that none of its tasks starts.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub set_aside: bool,
    /// Time since its arrival, in milliseconds.
    pub age_ms: u64,
    /// Whether the first ready step can still meet the objective of the job when it starts now;
    /// absent if no step is ready.
    #[serde(rename = "chance")]
    pub deadline_outlook: Option<String>,
    /// Steps with waiting tasks and the reason why they are blocked.
    #[serde(rename = "held")]
    pub blocked_steps: Vec<WaitingStep>,
}

/// An executor that accepts no tasks.
#[derive(Debug, Serialize)]
pub struct ExecutorDump {
    /// Name of the executor.
    pub id: String,
    /// Whether its last poll was answered.
    pub reachable: bool,
    /// Whether it accepts no more tasks because it is about to shut down.
    pub draining: bool,
    /// Whether its data centre is evacuated.
    pub evacuated: bool,
    /// Remaining cooldown after refused or failed starts, in milliseconds.
    #[serde(rename = "rests_ms")]
    pub cooldown_ms: u64,
    /// Number of tasks assigned to it.
    pub tasks: usize,
    /// Whether it first has to report what has ended there since contact with it was lost.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub report_due: bool,
    /// Whether it has restarted, or may have, and its list entry is that of the earlier incarnation.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub entry_due: bool,
    /// Number of the ends that it lists, counted from the first one that must not be acknowledged.
    pub withheld_ends: usize,
}

/// Returns the state of a process.
#[must_use]
pub fn dump(node: &Node) -> Dump {
    let now = node.now();
    Dump {
        host: node.identity.host.clone(),
        incarnation: node.identity.incarnation,
        uptime_ms: now.0,
        document_version: node.plan().map(|plan| plan.version),
        store_silent_ms: millis_since(now, node.store_answered_at.get()),
        known_owner: node.known_owner.borrow().clone(),
        admission: node.admission_estimate(),
        owner: node.owner().map(|owner| dump_owner(node, &owner, now)),
    }
}

fn dump_owner(node: &Node, owner: &Owner, now: Mono) -> OwnerDump {
    let scheduler = owner.scheduler.borrow();
    let unix_ms = (node.unix_ms)();
    let jobs = scheduler.open_jobs().take(MAX_LISTED);
    let jobs = jobs.map(|(_, job)| dump_job(&scheduler, job, now, unix_ms));
    let unavailable = scheduler
        .fleet
        .iter()
        .filter(|(_, executor)| !executor.accepts_tasks(now));
    let unavailable = unavailable
        .take(MAX_LISTED)
        .map(|(_, executor)| ExecutorDump {
            id: executor.listing.id.to_string(),
            reachable: executor.reachable,
            draining: executor.listing.draining,
            evacuated: executor.evacuated,
            cooldown_ms: millis_since(executor.not_before, now),
            tasks: executor.tasks.len(),
            report_due: executor.report_due_since.is_some(),
            entry_due: executor.listed && !executor.has_current_entry(),
            withheld_ends: executor.listed_withheld_ends(),
        });
    let executors = scheduler.fleet.iter().map(|(_, executor)| executor);
    let cold = executors.filter(|executor| executor.is_cold(now));
    let cold = cold.take(MAX_LISTED).map(|executor| ColdExecutorDump {
        id: executor.listing.id.to_string(),
        remaining_ms: millis_since(executor.cold_until, now),
        tasks: executor.tasks.len(),
    });
    let rejected_entries = owner.rejected_entries.borrow();
    let rejected = rejected_entries.present().iter();
    let (refused, returning_callers) = owner.admission_counts();
    OwnerDump {
        refused,
        returning_callers,
        epoch: owner.epoch,
        confirmed_ago_ms: millis_since(now, owner.confirmed_at()),
        open_jobs: scheduler.open_jobs().count(),
        jobs: jobs.collect(),
        known_executors: scheduler.fleet.iter().count(),
        unavailable_executors: unavailable.collect(),
        rejected_entries: rejected.take(MAX_LISTED).cloned().collect(),
        cold_executors: cold.collect(),
        evacuations: owner
            .evacuations_age()
            .map(|age| dump_evacuations(&scheduler, age, now)),
    }
}

fn dump_evacuations(scheduler: &Scheduler, age: Duration, now: Mono) -> EvacuationsDump {
    let evacuated = scheduler.evacuations().iter().take(MAX_LISTED);
    let data_centres = evacuated.map(|(data_centre, evacuation)| {
        let (executors, tasks) = scheduler.load_of_data_centre(data_centre);
        EvacuationDump {
            data_centre: data_centre.to_string(),
            since_ms: millis_since(now, evacuation.since),
            executors,
            tasks,
            withdrawn_starts: evacuation.withdrawn_starts,
        }
    });
    let problems = scheduler.evacuation_problems().iter().take(MAX_LISTED);
    let problems = problems.map(|problem| EvacuationProblemDump {
        problem: problem.as_str(),
        subject: problem.subject().to_string(),
    });
    EvacuationsDump {
        read_ago_ms: model::time::millis(age),
        data_centres: data_centres.collect(),
        problems: problems.collect(),
    }
}

fn dump_job(scheduler: &Scheduler, job: &Job, now: Mono, unix_ms: u64) -> JobDump {
    JobDump {
        job: job.id,
        queue: job.queue.to_string(),
        state: job.state.as_str(),
        set_aside: job.set_aside,
        age_ms: model::time::millis(job.age(now)),
        deadline_outlook: scheduler.deadline_outlook(job, now, unix_ms),
        blocked_steps: scheduler.waiting_steps(job, now, unix_ms),
    }
}

fn millis_since(later: Mono, earlier: Mono) -> u64 {
    model::time::millis(later.since(earlier))
}
