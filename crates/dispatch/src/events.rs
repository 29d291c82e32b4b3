//! What is logged: one line for each decision that touches a job or changes what the process
//! believes. `docs/OPERATIONS.md` shows how to get from a job's name to its cause.

use job::id::JobId;
use job::id::TaskId;

/// Logs that a job was accepted.
pub fn accepted(id: JobId, queue: &str, took_ms: u64) {
    log::info!(event = "accepted", job = id.as_str(), queue, took_ms; "");
}

/// Logs that a job was refused, and whether it can have been stored.
pub fn refused(id: JobId, queue: &str, reason: &str, status: u16, took_ms: u64) {
    log::info!(event = "refused", job = id.as_str(), queue, reason, status, took_ms; "");
}

/// Logs that a caller cancelled a job.
pub fn cancelled(id: JobId, outcome: &str) {
    log::info!(event = "cancelled", job = id.as_str(), outcome; "");
}

/// Logs that a dependency was lost or is back.
pub fn dependency(name: &str, available: bool, detail: &str) {
    log::info!(event = "dependency", name, available, detail; "");
}

/// Logs which document is in force.
pub fn document(version: u64, queues: usize) {
    log::info!(event = "document", version, queues; "");
}

/// Logs a takeover and what was found.
pub fn takeover(epoch: u64, earlier: &str, jobs: usize, inherited: usize, took_ms: u64) {
    log::info!(event = "takeover", epoch, earlier, jobs, inherited, took_ms; "");
}

/// Logs that this host no longer owns the executors.
pub fn owner_ended(epoch: u64, reason: &str) {
    log::info!(event = "owner_ended", epoch, reason; "");
}

/// Logs what the advisor said about a step.
pub fn advice(id: JobId, step: u32, outcome: &str, asked: usize, granted: usize, took_ms: u64) {
    log::info!(event = "advice", job = id.as_str(), step, outcome, asked, granted, took_ms; "");
}

/// Logs that tasks of a step were assigned, and what put the step where it was in the order.
pub fn placed(id: JobId, step: u32, tasks: usize, chance: &str, slack_ms: u64) {
    log::info!(event = "placed", job = id.as_str(), step, tasks, chance, slack_ms; "");
}

/// Logs which limit holds back the tasks of a step of a job that has waited for long.
pub fn waiting(id: JobId, step: u32, tasks: u32, reason: &str, age_ms: u64) {
    log::info!(event = "held", job = id.as_str(), step, tasks, reason, age_ms; "");
}

/// Logs that an executor started a run; for finding faults.
pub fn run_started(task: TaskId, run: u64, executor: &str, took_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "run_started", job, step, index, run, executor, took_ms; "");
}

/// Logs that an executor listed the end of a run; for finding faults.
pub fn run_ended(task: TaskId, run: u64, executor: &str, outcome: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "run_ended", job, step, index, run, executor, outcome; "");
}

/// Logs that a task that fills was told another share, and for how long a tail beside it has been over
/// its target; for finding faults.
pub fn throttled(task: TaskId, executor: &str, percent: u32, over_for_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "paced", job, step, index, executor, percent, over_for_ms; "");
}

/// Logs that a run failed.
pub fn run_failed(task: TaskId, run: u64, executor: &str, failures: u32, attempts: u32) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(event = "run_failed", job, step, index, run, executor, failures, attempts; "");
}

/// Logs that a run was lost and its task waits again.
pub fn run_lost(task: TaskId, run: u64, executor: &str, why: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(event = "run_lost", job, step, index, run, executor, why; "");
}

/// Logs that a job has ended and is stored as such.
pub fn job_ended(id: JobId, state: &str, after_ms: u64, objective_ms: u64) {
    log::info!(event = "job_ended", job = id.as_str(), state, after_ms, objective_ms; "");
}

/// Logs that an executor stopped answering or answers again.
pub fn executor_reachability(id: &str, reachable: bool, tasks: usize) {
    log::info!(event = "executor", id, reachable, tasks; "");
}

/// Logs a row that cannot be read; it is passed over.
pub fn unreadable_row(table: &str, key: &str, error: &str) {
    log::warn!(event = "unreadable_row", table, key, error; "");
}
