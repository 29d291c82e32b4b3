//! The state of a process for those who look for a fault: what it believes, since when, and for each
//! waiting job the limit that holds it back now.

use job::book::Book;
use job::book::Job;
use job::hold::HeldStep;
use job::id::JobId;
use model::Mono;
use serde::Serialize;

use crate::node::Node;
use crate::owner::Owner;
use crate::rows::OwnerRecord;

/// The most jobs and executors that are listed; the counts are whole.
const MAX_LISTED: usize = 500;

/// What a process believes.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The host.
    pub host: String,
    /// Which life of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// How long it has run, in milliseconds.
    pub uptime_ms: u64,
    /// The version of the document in force.
    pub document_version: Option<u64>,
    /// How long ago the store answered last, in milliseconds.
    pub store_silent_ms: u64,
    /// Who owns the executors, as far as is known here.
    pub known_owner: Option<OwnerRecord>,
    /// What it knows as the owner.
    pub owner: Option<OwnerDump>,
}

/// What the owner knows.
#[derive(Debug, Serialize)]
pub struct OwnerDump {
    /// Its epoch.
    pub epoch: u64,
    /// How long ago the store confirmed it, in milliseconds.
    pub confirmed_ago_ms: u64,
    /// How many jobs have not ended.
    pub open_jobs: usize,
    /// The jobs that have not ended, in the order of their arrival.
    pub jobs: Vec<JobDump>,
    /// How many executors it knows.
    pub known_executors: usize,
    /// Executors that take no tasks now, and why.
    #[serde(rename = "executors_away")]
    pub unavailable_executors: Vec<ExecutorDump>,
}

/// One job that has not ended.
#[derive(Debug, Serialize)]
pub struct JobDump {
    /// Its name.
    pub job: JobId,
    /// Its queue.
    pub queue: String,
    /// How it stands.
    pub state: &'static str,
    /// How long ago it arrived, in milliseconds.
    pub age_ms: u64,
    /// What a start now could still earn.
    #[serde(rename = "chance")]
    pub deadline_outlook: Option<String>,
    /// Steps with tasks that wait, and what holds them back.
    #[serde(rename = "held")]
    pub blocked_steps: Vec<HeldStep>,
}

/// One executor that takes no tasks.
#[derive(Debug, Serialize)]
pub struct ExecutorDump {
    /// Its name.
    pub id: String,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How long it still rests after refused or failed starts, in milliseconds.
    #[serde(rename = "rests_ms")]
    pub cooldown_ms: u64,
    /// How many tasks are assigned to it.
    pub tasks: usize,
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
        .filter(|(_, executor)| !executor.takes_tasks(now));
    let unavailable = unavailable
        .take(MAX_LISTED)
        .map(|(_, executor)| ExecutorDump {
            id: executor.listing.id.to_string(),
            reachable: executor.reachable,
            draining: executor.listing.draining,
            cooldown_ms: millis_since(executor.not_before, now),
            tasks: executor.tasks.len(),
        });
    OwnerDump {
        epoch: owner.epoch,
        confirmed_ago_ms: millis_since(now, owner.confirmed_at()),
        open_jobs: scheduler.open_jobs().count(),
        jobs: jobs.collect(),
        known_executors: scheduler.fleet.iter().count(),
        unavailable_executors: unavailable.collect(),
    }
}

fn dump_job(scheduler: &Book, job: &Job, now: Mono, unix_ms: u64) -> JobDump {
    JobDump {
        job: job.id,
        queue: job.queue.to_string(),
        state: job.state.word(),
        age_ms: millis_since(now, job.arrived),
        deadline_outlook: scheduler.chance(job, now, unix_ms),
        blocked_steps: scheduler.held_steps(job, now, unix_ms),
    }
}

fn millis_since(later: Mono, earlier: Mono) -> u64 {
    model::time::millis(later.since(earlier))
}
