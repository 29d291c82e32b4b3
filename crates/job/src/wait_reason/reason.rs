//! The reasons for which tasks wait, for people and for programs.

use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use super::interference::LeastDisturbed;

/// The reason why a task waits.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(tag = "limit", rename_all = "snake_case")]
pub enum WaitReason {
    /// The occurrence is not due yet.
    #[display("due in {due_in_ms} ms")]
    NotDue {
        /// The time until it is due, in milliseconds.
        #[serde(rename = "in_ms")]
        due_in_ms: u64,
    },
    /// A step that it depends on has not ended.
    #[display("step {step} has not ended")]
    EarlierStep {
        /// The index of that step.
        step: u32,
    },
    /// The task is in backoff after a run that failed or was lost.
    #[display("rests for {remaining_ms} ms after its last run")]
    #[serde(rename = "rests")]
    Backoff {
        /// The remaining backoff, in milliseconds.
        #[serde(rename = "for_ms")]
        remaining_ms: u64,
    },
    /// The current document does not contain the queue.
    #[display("queue {queue} is not in the document in force")]
    NoQueue {
        /// The name of the queue.
        queue: String,
    },
    /// The queue's advisor has granted none of the executors that could take the task.
    #[display("the advisor has granted none of {candidates} executors and denied {denied}")]
    #[serde(rename = "advice")]
    NotGranted {
        /// The number of executors that could take the task.
        #[serde(rename = "among")]
        candidates: usize,
        /// The number of these executors that the advisor has denied.
        denied: usize,
    },
    /// No executor of the service accepts tasks.
    #[display(
        "none of the {listed} executors of {service} takes tasks: {unreachable} do not answer, {draining} leave, {}{}{}{cooling_down} rest",
        evacuated_part(*evacuated),
        report_due_part(*report_due),
        entry_due_part(*entry_due)
    )]
    NoExecutor {
        /// The name of the service.
        service: String,
        /// The number of listed executors of the service.
        listed: usize,
        /// The number of executors that do not answer.
        #[serde(rename = "away")]
        unreachable: usize,
        /// The number of reachable executors that drain.
        #[serde(rename = "leaving")]
        draining: usize,
        /// The number of other reachable executors whose data centre is evacuated.
        #[serde(skip_serializing_if = "is_zero")]
        evacuated: usize,
        /// The number of executors that first have to report what has ended there
        /// ([`crate::fleet::Executor::report_due_since`]).
        #[serde(skip_serializing_if = "is_zero")]
        report_due: usize,
        /// The number of reachable executors that have restarted, or may have, and whose list entry is
        /// that of the earlier incarnation ([`crate::fleet::Executor::has_current_entry`]).
        #[serde(skip_serializing_if = "is_zero")]
        entry_due: usize,
        /// The number of executors in cooldown after refused starts or failures.
        #[serde(rename = "resting")]
        cooling_down: usize,
    },
    /// The executor list is too old to tell the free resources of executors that execute every start.
    #[display("the list of executors is {age_ms} ms old")]
    OldList {
        /// The age of the list, in milliseconds.
        age_ms: u64,
    },
    /// No executor that accepts tasks has the required label.
    #[display("none of {candidates} executors has the label {label}")]
    NoLabel {
        /// The required label.
        label: String,
        /// The number of executors that accept tasks.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// Every executor runs the maximum number of tasks of the step.
    #[display("each of {candidates} executors has the {max} tasks of the step that it may have")]
    #[serde(rename = "most_per_executor")]
    MaxPerExecutor {
        /// The maximum number of tasks of the step on one executor.
        #[serde(rename = "most")]
        max: u32,
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// The task exceeds the total capacity of every executor.
    #[display("larger than each of {candidates} executors")]
    TooLarge {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// No executor has enough free resources.
    #[display(
        "no room on any of {candidates} executors: {cpu_short} lack CPU, {memory_short} memory; of their CPU tasks that last hold {long_running_percent}%, short ones {batch_percent}%"
    )]
    #[serde(rename = "no_room")]
    NoCapacity {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
        /// The number of these executors with too little free CPU.
        cpu_short: usize,
        /// The number of these executors with too little free memory.
        memory_short: usize,
        /// The part of their CPU that is allocated to long-running tasks, in percent.
        #[serde(rename = "lasting_percent")]
        long_running_percent: u64,
        /// The part of their CPU that is allocated to short tasks that are not best-effort, in
        /// percent.
        batch_percent: u64,
    },
    /// All executors with enough free resources are reserved for another task, or kept for short work.
    #[display("each of {candidates} executors is kept for another task or for short work")]
    #[serde(rename = "kept")]
    Reserved {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// Every executor with room is slow after its start and has just received as many tasks as it may.
    #[display("each of {candidates} executors with room is cold and has just received tasks")]
    WarmingUp {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// Every executor has runs that have just started, or that may crash it, so that the task must
    /// not start beside them.
    #[display("executors have crashed under it or under tasks on each of {candidates} executors")]
    Isolated {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// No executor has enough spare CPU for a best-effort task.
    #[display("none of {candidates} executors has enough processors to spare")]
    #[serde(rename = "no_spare")]
    NoSpareCpu {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
    },
    /// On every executor, the task would raise the tail latency of a service too much, or a service
    /// already exceeds its target.
    #[display(
        "it would disturb the services on each of {candidates} executors: {over_target} are over a target{}",
        least_disturbed.as_ref().map(|least| format!(", elsewhere {least}")).unwrap_or_default()
    )]
    #[serde(rename = "disturbs")]
    Interference {
        /// The number of executors that met the preceding constraints.
        #[serde(rename = "among")]
        candidates: usize,
        /// The number of these executors where a service exceeds its target.
        over_target: usize,
        /// The service that would be disturbed least on one of the other executors; `None` if there
        /// are none.
        #[serde(rename = "least", skip_serializing_if = "Option::is_none")]
        least_disturbed: Option<LeastDisturbed>,
    },
    /// Each task of the gang fits on its own, but not all of them together.
    #[display("no room for all {tasks} tasks of the gang at once")]
    Gang {
        /// The number of tasks in the gang.
        tasks: u32,
    },
    /// There is room, and the task waits for room near its data, or in one rack for its whole gang.
    #[display("waits for room in rack {rack} for at most {remaining_ms} ms more")]
    Locality {
        /// The rack that it waits for.
        rack: Arc<str>,
        /// How much longer it waits at most, in milliseconds.
        #[serde(rename = "for_ms")]
        remaining_ms: u64,
    },
    /// There are enough resources, and the task is due in the next placement round.
    #[display("its turn is next")]
    NextRound,
    /// The task is assigned, and the store has not confirmed the assignment for a long time.
    #[display("given to {executor}, which has not been stored for {waited_ms} ms")]
    #[serde(rename = "unstored")]
    NotStored {
        /// The name of the executor.
        executor: Arc<str>,
        /// The time since the assignment, in milliseconds.
        #[serde(rename = "for_ms")]
        waited_ms: u64,
    },
    /// The task is assigned, and its start command waits for a command slot of the executor or for
    /// the executor's first answer.
    #[display("its start at {executor} has waited for {waited_ms} ms")]
    #[serde(rename = "start_pending")]
    StartPending {
        /// The name of the executor.
        executor: Arc<str>,
        /// The time since the assignment, in milliseconds.
        #[serde(rename = "for_ms")]
        waited_ms: u64,
    },
    /// The task is assigned, and the executor has left at least one start command unanswered.
    #[display("{executor} has not answered its start for {waited_ms} ms")]
    #[serde(rename = "start_unanswered")]
    StartUnanswered {
        /// The name of the executor.
        executor: Arc<str>,
        /// The time since the assignment, in milliseconds.
        #[serde(rename = "for_ms")]
        waited_ms: u64,
    },
}

impl WaitReason {
    /// Returns the name of the limit, as in the `limit` field of the serialized reason.
    #[must_use]
    pub const fn limit(&self) -> &'static str {
        match self {
            Self::NotDue { .. } => "not_due",
            Self::EarlierStep { .. } => "earlier_step",
            Self::Backoff { .. } => "rests",
            Self::NoQueue { .. } => "no_queue",
            Self::NotGranted { .. } => "advice",
            Self::NoExecutor { .. } => "no_executor",
            Self::OldList { .. } => "old_list",
            Self::NoLabel { .. } => "no_label",
            Self::MaxPerExecutor { .. } => "most_per_executor",
            Self::TooLarge { .. } => "too_large",
            Self::NoCapacity { .. } => "no_room",
            Self::Reserved { .. } => "kept",
            Self::WarmingUp { .. } => "warming_up",
            Self::Isolated { .. } => "isolated",
            Self::NoSpareCpu { .. } => "no_spare",
            Self::Interference { .. } => "disturbs",
            Self::Gang { .. } => "gang",
            Self::Locality { .. } => "locality",
            Self::NextRound => "next_round",
            Self::NotStored { .. } => "unstored",
            Self::StartPending { .. } => "start_pending",
            Self::StartUnanswered { .. } => "start_unanswered",
        }
    }
}

/// A step with waiting tasks, and why they wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WaitingStep {
    /// The occurrence of the job.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// The number of tasks that wait, or whose starts are overdue.
    pub tasks: u32,
    /// Why the first of these tasks does not start.
    #[serde(flatten)]
    pub wait_reason: WaitReason,
    /// The reason as a sentence.
    pub reason: String,
}

/// Returns the part of the text that names executors whose report is due, or nothing without any.
fn report_due_part(report_due: usize) -> String {
    if report_due == 0 {
        return String::new();
    }
    format!("{report_due} have yet to report, ")
}

/// Returns the part of the text that names executors whose list entry is due, or nothing without any.
fn entry_due_part(entry_due: usize) -> String {
    if entry_due == 0 {
        return String::new();
    }
    format!("{entry_due} have restarted and are not listed anew, ")
}

/// Returns what the text says of executors in evacuated data centres: nothing if there are none.
fn evacuated_part(evacuated: usize) -> String {
    if evacuated == 0 {
        return String::new();
    }
    format!("{evacuated} are in evacuated data centres, ")
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(count: &usize) -> bool {
    *count == 0
}
