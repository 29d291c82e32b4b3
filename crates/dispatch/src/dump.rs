//! The state of a process for those who look for a fault: what it believes, since when, and for each
//! waiting job the limit that holds it back now.

use job::id::JobId;
use job::scheduler::Job;
use job::scheduler::Scheduler;
use job::wait_reason::WaitingStep;
use model::Mono;
use serde::Serialize;

use crate::node::Node;
use crate::owner::Owner;
use crate::rows::OwnerRecord;

/// The most jobs and executors that are listed; the counts are whole.
const MOST_LISTED: usize = 500;

/// What a process believes.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The host.
    pub host: String,
    /// Which life of its process.
    pub life: u64,
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
    pub executors_away: Vec<ExecutorDump>,
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
    pub chance: Option<String>,
    /// Steps with tasks that wait, and what holds them back.
    pub held: Vec<WaitingStep>,
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
    pub rests_ms: u64,
    /// How many tasks are assigned to it.
    pub tasks: usize,
}

/// Returns the state of a process.
#[must_use]
pub fn dump(node: &Node) -> Dump {
    let now = node.now();
    Dump {
        host: node.identity.host.clone(),
        life: node.identity.life,
        uptime_ms: now.0,
        document_version: node.plan().map(|plan| plan.version),
        store_silent_ms: since(now, node.store_heard.get()),
        known_owner: node.known_owner.borrow().clone(),
        owner: node.owner().map(|owner| of_owner(node, &owner, now)),
    }
}

fn of_owner(node: &Node, owner: &Owner, now: Mono) -> OwnerDump {
    let book = owner.book.borrow();
    let unix_ms = (node.unix_ms)();
    let jobs = book.open_jobs().take(MOST_LISTED);
    let jobs = jobs.map(|(_, job)| of_job(&book, job, now, unix_ms));
    let away = book.fleet.iter().filter(|(_, one)| !one.accepts_tasks(now));
    let away = away.take(MOST_LISTED).map(|(_, one)| ExecutorDump {
        id: one.listing.id.to_string(),
        reachable: one.reachable,
        draining: one.listing.draining,
        rests_ms: since(one.not_before, now),
        tasks: one.tasks.len(),
    });
    OwnerDump {
        epoch: owner.epoch,
        confirmed_ago_ms: since(now, owner.confirmed()),
        open_jobs: book.open_jobs().count(),
        jobs: jobs.collect(),
        known_executors: book.fleet.iter().count(),
        executors_away: away.collect(),
    }
}

fn of_job(book: &Scheduler, job: &Job, now: Mono, unix_ms: u64) -> JobDump {
    JobDump {
        job: job.id,
        queue: job.queue.to_string(),
        state: job.state.as_str(),
        age_ms: since(now, job.arrived),
        chance: book.deadline_outlook(job, now, unix_ms),
        held: book.waiting_steps(job, now, unix_ms),
    }
}

fn since(later: Mono, earlier: Mono) -> u64 {
    model::time::millis(later.since(earlier))
}
