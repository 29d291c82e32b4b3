//! Log events: one line for each decision about a job and for each change in the state of the
//! process. `docs/OPERATIONS.md` shows how to trace a job from its id to the cause of its state.

use job::id::JobId;
use job::id::TaskId;
use job::usage::ServiceUsage;
use job::wait_reason::WaitingStep;
use link::budget::PortUsage;

/// Logs that a job was accepted and stored after `took_ms`.
pub fn accepted(id: JobId, queue: &str, took_ms: u64) {
    log::info!(event = "accepted", job = id.as_str(), queue, took_ms; "");
}

/// Logs that a submission was not accepted, with the HTTP status that tells whether the job can
/// have been stored nevertheless.
pub fn refused(id: JobId, queue: &str, reason: &str, status: u16, took_ms: u64) {
    log::info!(event = "refused", job = id.as_str(), queue, reason, status, took_ms; "");
}

/// Logs that jobs are refused because they cannot be done while they have value: how many since the
/// last line, how many callers are expected to retry, the queue whose jobs wait longest and the
/// work before them, as the time in milliseconds that the executors take for it. At most one line a second.
pub fn overload(queue: &str, refused: u64, returning: usize, ahead_ms: u64) {
    log::info!(event = "overload", queue, refused, returning, ahead_ms; "");
}

/// Logs the outcome of a caller's request to cancel a job.
pub fn cancelled(id: JobId, outcome: &str) {
    log::info!(event = "cancelled", job = id.as_str(), outcome; "");
}

/// Logs that a dependency became unavailable or available again.
pub fn dependency(name: &str, available: bool, detail: &str) {
    log::info!(event = "dependency", name, available, detail; "");
}

/// Logs how often a limit on the clients of a port was enforced since the line before, and what the
/// port uses.
pub fn clients_limited(port: &str, reason: &str, count: u64, usage: &PortUsage) {
    let PortUsage {
        connections,
        memory,
        peak_memory,
    } = *usage;
    log::warn!(
        event = "clients_limited", port, reason, count, connections, memory, peak_memory; ""
    );
}

/// Logs the version of the document that has just come into force, its number of queues and whether
/// it was read from the store or from the owner.
pub fn document(version: u64, queues: usize, source: &str) {
    log::info!(event = "document", version, queues, source; "");
}

/// Logs a problem of a document, which is in force nevertheless.
pub fn document_finding(version: u64, subject: &str, problem: &str) {
    log::warn!(event = "document_finding", version, subject, problem; "");
}

/// Logs how many problems a document has, and how many of them have a line of their own.
pub fn document_findings(version: u64, found: usize, logged: usize) {
    log::warn!(event = "document_findings", version, found, logged; "");
}

/// Logs a takeover: the epoch, the earlier owner, the stored jobs and the inherited tasks.
pub fn takeover(epoch: u64, earlier: &str, jobs: usize, inherited: usize, took_ms: u64) {
    log::info!(event = "takeover", epoch, earlier, jobs, inherited, took_ms; "");
}

/// Logs a claim of the ownership in succession of an epoch: its outcome, the round trip to the store
/// and the delay before it.
pub fn claim(earlier_epoch: u64, outcome: &str, round_trip_ms: u64, delay_ms: u64) {
    log::info!(event = "claim", earlier_epoch, outcome, round_trip_ms, delay_ms; "");
}

/// Logs that this host hands the ownership over to a stronger one.
pub fn handover(epoch: u64, successor: &str) {
    log::info!(event = "handover", epoch, successor; "");
}

/// Logs that this host suspects the owner of being dead, with the reason.
pub fn owner_suspected(epoch: u64, owner: &str, reason: &str) {
    log::info!(event = "owner_suspected", epoch, owner, reason; "");
}

/// Logs an unexpected error that ended a part of the process.
pub fn panicked(part: &str, error: &str) {
    log::error!(event = "panicked", part, error; "");
}

/// Logs that the owner's connection to a relay ended, with the error if it failed.
pub fn relay_closed(relay: &str, error: Option<&std::io::Error>) {
    let error = error.map_or_else(String::new, ToString::to_string);
    log::info!(event = "relay_closed", relay, error = error.as_str(); "");
}

/// Logs that this host no longer relays calls for the owner of an epoch, with the error if the
/// connection failed.
pub fn relay_session_ended(epoch: u64, error: Option<&std::io::Error>) {
    let error = error.map_or_else(String::new, ToString::to_string);
    log::info!(event = "relay_session_ended", epoch, error = error.as_str(); "");
}

/// Logs that this host no longer owns the executors, with the reason.
pub fn owner_ended(epoch: u64, reason: &str) {
    log::info!(event = "owner_ended", epoch, reason; "");
}

/// Logs the advisor's response for a step: how many executors were asked for and how many granted.
pub fn advice(id: JobId, step: u32, outcome: &str, asked: usize, granted: usize, took_ms: u64) {
    log::info!(event = "advice", job = id.as_str(), step, outcome, asked, granted, took_ms; "");
}

/// Logs that tasks of a step were assigned, with the deadline outlook and the slack that ranked the
/// step.
pub fn placed(id: JobId, step: u32, tasks: usize, chance: &str, slack_ms: u64) {
    log::info!(event = "placed", job = id.as_str(), step, tasks, chance, slack_ms; "");
}

/// Logs why tasks of a step are blocked, for a job that has been open for `age_ms`. `chance` is the
/// deadline outlook of the job's first ready step, and empty if no step is ready.
pub fn waiting(id: JobId, waiting: &WaitingStep, chance: &str, age_ms: u64) {
    let WaitingStep {
        step,
        tasks,
        reason,
        ..
    } = waiting;
    log::info!(event = "held", job = id.as_str(), step, tasks, reason, chance, age_ms; "");
}

/// Logs at debug level that an executor started a run.
pub fn run_started(task: TaskId, run: u64, executor: &str, took_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "run_started", job, step, index, run, executor, took_ms; "");
}

/// Logs at debug level that an executor reported the end of a run.
pub fn run_ended(task: TaskId, run: u64, executor: &str, outcome: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "run_ended", job, step, index, run, executor, outcome; "");
}

/// Logs at debug level that the CPU share of a best-effort task changed, and for how long the tail
/// latency of a latency-critical task on the same executor has exceeded its target.
pub fn throttled(task: TaskId, executor: &str, percent: u32, over_for_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "paced", job, step, index, executor, percent, over_for_ms; "");
}

/// Logs at debug level that a best-effort task leaves an executor on which it was throttled.
pub fn task_moved(task: TaskId, executor: &str, throttled_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "task_moved", job, step, index, executor, throttled_ms; "");
}

/// The end of a start or stop command that took long or had no answer.
pub struct CommandSummary<'e> {
    /// Name of the event: by whether the run was to start or to stop, and by whether the command was
    /// sent and its last attempt answered.
    pub event: &'e str,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Name of the executor.
    pub executor: &'e str,
    /// The executor's answer, or why the command is not sent any more.
    pub outcome: &'e str,
    /// Number of attempts, including those that were not sent because the executor was unreachable.
    pub attempts: u32,
    /// Number of attempts that were sent and not answered.
    pub unanswered: u32,
    /// Time from the decision until it was stored, in milliseconds.
    pub store_ms: u64,
    /// Time for which the command waited for a command slot of the executor, in milliseconds.
    pub slot_ms: u64,
    /// The rest of the time until the command ended, in milliseconds: its attempts and the pauses
    /// between them.
    pub answer_ms: u64,
}

/// Logs the end of a start or stop command that took long or had no answer.
pub fn command_ended(ended: &CommandSummary) {
    let CommandSummary {
        event,
        task,
        run,
        executor,
        outcome,
        attempts,
        unanswered,
        store_ms,
        slot_ms,
        answer_ms,
    } = *ended;
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(
        event, job, step, index, run, executor, outcome, attempts, unanswered, store_ms, slot_ms,
        answer_ms; ""
    );
}

/// Logs that a run failed, with the failures so far and the attempts allowed, if they are known.
pub fn run_failed(task: TaskId, run: u64, executor: &str, failures: u32, attempts: Option<u32>) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(event = "run_failed", job, step, index, run, executor, failures, attempts; "");
}

/// Logs that a run was lost and its task is queued again. `seen_ms` is how long the executor was
/// heard of after it had confirmed the run.
pub fn run_lost(task: TaskId, run: u64, executor: &str, why: &str, seen_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(event = "run_lost", job, step, index, run, executor, why, seen_ms; "");
}

/// Logs that an executor has crashed, with the number of tasks that may have caused it.
pub fn executor_crashed(id: &str, suspects: usize) {
    log::info!(event = "executor_crashed", id, suspects; "");
}

/// Logs that an executor is kept for short work, with the number of long-running tasks that are
/// stopped there.
pub fn kept_for_short_work(id: &str, stopped: usize) {
    log::info!(event = "kept_for_short", id, stopped; "");
}

/// Logs that a long-running task takes the place of another one.
pub fn turn_taken(task: TaskId, stopped: TaskId, executor: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    let (of, of_index) = (stopped.job.as_str(), stopped.index);
    log::info!(event = "turn_taken", job, step, index, of, of_index, executor; "");
}

/// Logs at debug level that a task starts which has waited for a place in a rack, and whether it
/// starts there.
pub fn place_wait_ended(task: TaskId, rack: &str, near: bool, waited_ms: u64) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::debug!(event = "place_wait_ended", job, step, index, rack, near, waited_ms; "");
}

/// Logs that no task is placed on an executor for some time because of what happened to a task.
pub fn cooldown_started(id: &str, task: TaskId, why: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(event = "executor_rests", id, job, step, index, why; "");
}

/// Logs that a run is stopped because it made too little progress, how often that happened to its task,
/// and whether the task or the executor is the cause.
pub fn run_stalled(task: TaskId, executor: &str, stalls: u32, cause: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::info!(event = "run_stalled", job, step, index, executor, stalls, cause; "");
}

/// Logs that a job fails because this number of executors have crashed in a row under one of its
/// tasks.
pub fn task_given_up(task: TaskId, executor: &str, crashes: u32) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::warn!(event = "task_given_up", job, step, index, executor, crashes; "");
}

/// Logs that an executor is listed as a later process at the address of a silent one, which only its own
/// answer proves.
pub fn successor_asked(id: &str, successor: &str) {
    log::info!(event = "successor_asked", id, successor; "");
}

/// Logs that the process of a silent executor has ended, because a later one has answered at its
/// address, with the number of tasks that were assigned to it.
pub fn executor_replaced(id: &str, successor: &str, tasks: usize) {
    log::info!(event = "executor_replaced", id, successor, tasks; "");
}

/// Logs that an end is not acknowledged, because its run was abandoned when its lease expired and
/// the task was started again before the executor reported the end.
pub fn end_withheld(task: TaskId, run: u64, executor: &str, outcome: &str) {
    let (job, step, index) = (task.job.as_str(), task.step, task.index);
    log::warn!(event = "end_withheld", job, step, index, run, executor, outcome; "");
}

/// Logs that a data centre is evacuated, or that this owner has read of it, with the number of
/// executors and of assigned tasks there.
pub fn evacuation_began(data_centre: &str, executors: usize, tasks: usize) {
    log::info!(event = "evacuation_began", data_centre, executors, tasks; "");
}

/// Logs that an evacuation has ended `after_ms` after this owner read of it, with the tasks still
/// assigned there and the starts that were withdrawn.
pub fn evacuation_ended(data_centre: &str, after_ms: u64, tasks: usize, withdrawn_starts: u64) {
    log::info!(event = "evacuation_ended", data_centre, after_ms, tasks, withdrawn_starts; "");
}

/// Logs that an evacuation cannot have the expected effect. `subject` is the unknown data centre or the
/// service that has no executor left.
pub fn evacuation_problem(problem: &str, subject: &str) {
    log::warn!(event = "evacuation_problem", problem, subject; "");
}

/// Logs that the evacuations were not read for `age_ms` and no task is started meanwhile, or that they
/// are known again.
pub fn evacuations_known(known: bool, age_ms: u64) {
    log::info!(event = "evacuations_known", known, age_ms; "");
}

/// Logs that an executor is listed as slow after its start, and gets less work until it is warm.
pub fn executor_cold(id: &str, remaining_ms: u64) {
    log::info!(event = "executor_cold", id, remaining_ms; "");
}

/// Logs that the end of a job is stored.
pub fn job_ended(id: JobId, state: &str, after_ms: u64, objective_ms: u64) {
    log::info!(event = "job_ended", job = id.as_str(), state, after_ms, objective_ms; "");
}

/// Logs that an executor became unreachable or reachable, with its number of assigned tasks and the
/// time until its leases expire at the latest.
pub fn executor_reachability(id: &str, reachable: bool, tasks: usize, lease_ms: u64) {
    log::info!(event = "executor", id, reachable, tasks, lease_ms; "");
}

/// Logs an answer to a poll that came after the executor counted as unreachable, with the time since the
/// poll was sent and the number of ends that it lists.
pub fn late_answer(id: &str, took_ms: u64, ends: usize) {
    log::info!(event = "late_answer", id, took_ms, ends; "");
}

/// Logs that an executor gets no tasks until its lease has expired with a run on it, because it lists
/// `ends` ends, counted from the first one that must not be acknowledged.
pub fn recovery_began(id: &str, ends: usize, tasks: usize) {
    log::info!(event = "recovery_began", id, ends, tasks; "");
}

/// Logs that the lease has expired, so that ends on the executor can be acknowledged again.
pub fn recovery_ended(id: &str, after_ms: u64) {
    log::info!(event = "recovery_ended", id, after_ms; "");
}

/// Logs a row that the store refuses for good, so that it is not written.
pub fn refused_row(table: &str, key: &str) {
    log::error!(event = "refused_row", table, key; "");
}

/// Logs that a job is set aside because the store refuses its record.
pub fn job_set_aside(id: JobId) {
    log::error!(event = "job_set_aside", job = id.as_str(); "");
}

/// Logs that checkpoints were left out of the record of a job so that it fits a row.
pub fn checkpoints_omitted(id: JobId, checkpoints: usize) {
    log::warn!(event = "checkpoints_omitted", job = id.as_str(), checkpoints; "");
}

/// Logs that an entry in the list of executors names none that could be used.
pub fn executor_entry_rejected(key: &str, reason: &str) {
    log::warn!(event = "executor_entry_rejected", key, reason; "");
}

/// Logs a row that cannot be read and is skipped.
pub fn unreadable_row(table: &str, key: &str, error: &str) {
    log::warn!(event = "unreadable_row", table, key, error; "");
}

/// What the owner did in about a second, and what waits for it.
pub struct LoadSummary {
    /// The longest time by which a timer fired late, in milliseconds.
    pub timer_delay_ms: u64,
    /// Number of placement rounds.
    pub rounds: u32,
    /// Number of those in which no start fitted into the window.
    pub full_rounds: u32,
    /// Duration of all placement rounds together, in milliseconds.
    pub rounds_ms: u64,
    /// Duration of the longest placement round, in milliseconds.
    pub longest_round_ms: u64,
    /// Number of tasks placed that could meet their objective.
    pub in_time: usize,
    /// Number of best-effort tasks placed that could meet their objective.
    pub in_time_filling: usize,
    /// Number of tasks placed that had to miss it.
    pub late: usize,
    /// Number of tasks placed that no longer had any value.
    pub hopeless: usize,
    /// Number of long-running tasks placed.
    pub lasting: usize,
    /// Median time from the arrival of a job to the placement of a step that could meet its objective, in
    /// milliseconds.
    pub in_time_wait_ms: u64,
    /// The 90th percentile of that time.
    pub in_time_wait_p90_ms: u64,
    /// Number of jobs whose changes wait to be stored.
    pub unstored_jobs: usize,
    /// Number of tasks placed whose assignments are not stored.
    pub unstored_starts: usize,
    /// Number of transactions that took effect.
    pub transactions: u32,
    /// Number of rows of jobs in them.
    pub rows: usize,
    /// Size of these rows in bytes.
    pub row_bytes: usize,
    /// Median duration of a transaction, in milliseconds.
    pub transaction_ms: u64,
    /// Median time from the placement of a task that is not best-effort until it was stored, in
    /// milliseconds.
    pub store_ms: u64,
    /// The 90th percentile of that time.
    pub store_p90_ms: u64,
    /// Median time from the placement of a best-effort task until it was stored, in milliseconds.
    pub filling_store_ms: u64,
    /// The 90th percentile of that time.
    pub filling_store_p90_ms: u64,
    /// The 90th percentile of the time for which start commands waited for a command slot, in
    /// milliseconds.
    pub slot_p90_ms: u64,
    /// Median of the rest of the time until a start command was answered, in milliseconds.
    pub answer_ms: u64,
    /// The 90th percentile of that time.
    pub answer_p90_ms: u64,
    /// Number of start commands in flight.
    pub starts_in_flight: usize,
    /// Maximum number of start commands in flight.
    pub window: usize,
    /// Number of relays that take calls.
    pub relays: usize,
    /// Number of answered polls.
    pub polls: u32,
    /// Number of ends of runs that they reported.
    pub ends: usize,
    /// Median pause before a poll, in milliseconds.
    pub poll_pause_ms: u64,
    /// The 90th percentile of that pause.
    pub poll_pause_p90_ms: u64,
}

/// Logs what the owner did in about a second, and what waits for it.
pub fn owner_load(load: &LoadSummary) {
    let LoadSummary {
        timer_delay_ms,
        rounds,
        full_rounds,
        rounds_ms,
        longest_round_ms,
        in_time,
        in_time_filling,
        late,
        hopeless,
        lasting,
        in_time_wait_ms,
        in_time_wait_p90_ms,
        unstored_jobs,
        unstored_starts,
        transactions,
        rows,
        row_bytes,
        transaction_ms,
        store_ms,
        store_p90_ms,
        filling_store_ms,
        filling_store_p90_ms,
        slot_p90_ms,
        answer_ms,
        answer_p90_ms,
        starts_in_flight,
        window,
        relays,
        polls,
        ends,
        poll_pause_ms,
        poll_pause_p90_ms,
    } = *load;
    log::info!(
        event = "owner_load", timer_delay_ms, rounds, full_rounds, rounds_ms, longest_round_ms, in_time,
        in_time_filling, late, hopeless, lasting, in_time_wait_ms, in_time_wait_p90_ms, unstored_jobs,
        unstored_starts, transactions, rows, row_bytes, transaction_ms, store_ms, store_p90_ms,
        filling_store_ms, filling_store_p90_ms, slot_p90_ms, answer_ms, answer_p90_ms,
        starts_in_flight, window, relays, polls, ends, poll_pause_ms, poll_pause_p90_ms; ""
    );
}

/// Logs who holds the CPU of a service's executors and who waits for it, in whole cores.
pub fn usage(service: &str, usage: &ServiceUsage) {
    let cores = |cpu_millis: u64| cpu_millis / 1_000;
    log::info!(
        event = "usage", service,
        executors = usage.executors,
        cpu = cores(usage.capacity.cpu_millis),
        cpu_lasting = cores(usage.long_running_cpu_millis),
        cpu_batch = cores(usage.batch_cpu_millis),
        cpu_free = cores(usage.free.cpu_millis),
        cpu_kept = cores(usage.kept_cpu_millis),
        cpu_kept_free = cores(usage.kept_free_cpu_millis),
        memory_free_percent = usage.free.memory_mib * 100 / usage.capacity.memory_mib.max(1),
        in_time_waiting = usage.in_time.tasks,
        in_time_cpu = cores(usage.in_time.cpu_millis),
        in_time_fit = usage.in_time.fitting_executors,
        late_waiting = usage.late.tasks,
        late_cpu = cores(usage.late.cpu_millis),
        late_fit = usage.late.fitting_executors,
        lasting_waiting = usage.long_running.tasks,
        lasting_cpu = cores(usage.long_running.cpu_millis),
        lasting_fit = usage.long_running.fitting_executors; ""
    );
}
