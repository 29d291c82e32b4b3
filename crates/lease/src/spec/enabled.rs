//! The steps that are enabled in a state of the model.

use model::id::TaskId;
use plat::worker::RunState;

use super::state::Daemon;
use super::state::ModelState;
use super::state::TASKS;
use super::step::Fault;
use super::step::Step;

const COMMIT_FAULTS: [Fault; 2] = [Fault::LostAnswer, Fault::Late];
const MESSAGE_FAULTS: [Fault; 4] = [
    Fault::LostAnswer,
    Fault::Late,
    Fault::Repeated,
    Fault::LateAnswer,
];

/// Returns all steps that are enabled in a state.
pub(super) fn enabled(state: &ModelState) -> Vec<Step> {
    let mut steps = Vec::new();
    for daemon in 0..2 {
        enabled_calls(state, daemon, &mut steps);
        enabled_disturbances(state, daemon, &mut steps);
    }
    steps.extend((0..state.late_messages.len()).map(Step::LateMessage));
    steps.extend((0..state.late_commits.len()).map(Step::LateCommit));
    for (worker, agent) in state.agents.iter().enumerate() {
        for ((task, attempt), run) in agent.runs() {
            // One task may end at any time, the other only while no call is in flight.
            let may_end = task.as_str() == TASKS[0] || is_quiescent(state);
            if run.state == RunState::Running && may_end {
                steps.push(Step::Finish(worker, task.clone(), *attempt));
            }
        }
        if state.budget.total > 0 && state.dead.is_none() {
            let restart = (state.budget.restarts > 0).then_some(Step::RestartWorker(worker));
            let die = (state.budget.deaths > 0).then_some(Step::KillWorker(worker));
            steps.extend(restart.into_iter().chain(die));
        }
    }
    if !state.partitions.is_empty() {
        steps.push(Step::HealPartitions);
    }
    if state.budget.waits > 0 && is_quiescent(state) {
        steps.push(Step::Wait);
    }
    steps
}

/// Returns whether a daemon is running and has calls in flight.
fn has_calls(daemon: &Daemon) -> bool {
    let calls = daemon.commits.len() + daemon.messages.len();
    !daemon.paused && calls > 0
}

/// Returns whether no running daemon waits for an answer. Every call is answered or times out
/// within one [`Step::Wait`], so that time passes only in such states.
fn is_quiescent(state: &ModelState) -> bool {
    let mut daemons = state.daemons.iter();
    !daemons
        .any(|daemon| has_calls(daemon) || (!daemon.paused && !daemon.delayed_answers.is_empty()))
}

/// Adds the steps that answer the calls in flight.
///
/// Calls are answered one after another, without delay unless a disturbance delays them: a late
/// call or answer, or a pause of the calling daemon. The number of delays is bounded, but not their
/// duration.
fn enabled_calls(state: &ModelState, daemon: usize, steps: &mut Vec<Step>) {
    let process = &state.daemons[daemon];
    if process.paused {
        return steps.push(Step::Resume(daemon));
    }
    if process.store_unreachable {
        steps.push(Step::RestoreStore(daemon));
    }
    let faulty = state.budget.network > 0 && state.budget.total > 0;
    if !process.delayed_answers.is_empty() {
        steps.push(Step::DeliverDelayedAnswer(daemon));
    }
    if daemon == 1 && has_calls(&state.daemons[0]) {
        return;
    }
    if !process.commits.is_empty() {
        steps.push(Step::Commit(daemon));
        if faulty && !process.store_unreachable {
            steps.extend(COMMIT_FAULTS.map(|fault| Step::CommitFault(daemon, fault)));
        }
        return;
    }
    if let Some((worker, _)) = process.messages.first() {
        steps.push(Step::Message(daemon, *worker));
        if faulty && state.reaches(daemon, *worker) {
            let faults = MESSAGE_FAULTS.map(|fault| Step::MessageFault(daemon, *worker, fault));
            steps.extend(faults);
        }
    }
}

/// Adds the takeover and the disturbances of a daemon that the budget allows, and the read of the
/// shard's row by an owner that has been superseded.
fn enabled_disturbances(state: &ModelState, daemon: usize, steps: &mut Vec<Step>) {
    let (process, budget) = (&state.daemons[daemon], &state.budget);
    if process.paused {
        return;
    }
    let Some(owner) = &process.owner else {
        if budget.takeovers > 0 && !process.store_unreachable {
            steps.push(Step::TakeOver(daemon));
        }
        return;
    };
    if !process.store_unreachable && !state.is_current(daemon) {
        steps.push(Step::ReadShard(daemon));
    }
    if budget.total == 0 {
        return;
    }
    if budget.crashes > 0 {
        steps.push(Step::Crash(daemon));
    }
    if budget.pauses > 0 {
        steps.push(Step::Pause(daemon));
    }
    if budget.outages > 0 && !process.store_unreachable {
        steps.push(Step::LoseStore(daemon));
    }
    if budget.partitions > 0 && state.partitions.is_empty() {
        steps.extend((0..2).map(|worker| Step::Partition(daemon, worker)));
    }
    for task in TASKS {
        let granted = owner.task(&TaskId::from(task));
        if budget.evictions > 0 && granted.is_some_and(|row| row.worker().is_some()) {
            steps.push(Step::Evict(daemon, task));
        }
        if budget.cancellations > 0 && granted.is_some() {
            steps.push(Step::Cancel(daemon, task));
        }
    }
}
