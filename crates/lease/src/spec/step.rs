//! The steps of the model, and the states that result from them.

use model::id::Attempt;
use model::id::TaskId;
use plat::commit::TxnOutcome;
use plat::error::CallError;
use plat::worker::WorkerError;

use super::budget::BrokenRule;
use super::enabled::enabled;
use super::state::DelayedAnswer;
use super::state::ModelState;
use crate::Event;

/// A fault of a call. Each one is charged to [`Budget::network`](super::Budget::network).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is executed, but its answer is lost.
    LostAnswer,
    /// The caller receives no answer. The call may be executed later or never.
    Late,
    /// The call is executed, and a copy of it may be executed again later.
    Repeated,
    /// The call is executed, and its answer arrives later.
    LateAnswer,
}

/// A step of the model. The numbers are indices of daemons, workers and list entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon's first transaction is executed and answered.
    Commit(usize),
    /// A daemon's first transaction is subject to a fault.
    CommitFault(usize, Fault),
    /// A daemon's message to a worker is processed and answered.
    Message(usize, usize),
    /// A daemon's message to a worker is subject to a fault.
    MessageFault(usize, usize, Fault),
    /// A late copy of a message arrives.
    LateMessage(usize),
    /// A late copy of a transaction arrives.
    LateCommit(usize),
    /// A daemon receives a late answer.
    DeliverDelayedAnswer(usize),
    /// A run exits successfully.
    Finish(usize, TaskId, Attempt),
    /// A daemon claims the shard.
    TakeOver(usize),
    /// A daemon crashes.
    Crash(usize),
    /// A daemon pauses, together with its calls in flight.
    Pause(usize),
    /// A paused daemon resumes.
    Resume(usize),
    /// A daemon loses its connection to the table.
    LoseStore(usize),
    /// A daemon reaches the table again.
    RestoreStore(usize),
    /// A daemon and a worker cannot reach each other any more.
    Partition(usize, usize),
    /// All daemons and workers reach each other again.
    HealPartitions,
    /// A worker's host restarts.
    RestartWorker(usize),
    /// A worker's host fails permanently.
    KillWorker(usize),
    /// The scheduler of a daemon evicts a task.
    Evict(usize, &'static str),
    /// A daemon receives a request to cancel a task.
    Cancel(usize, &'static str),
    /// A daemon reads the shard's row.
    ReadShard(usize),
    /// A daemon starts to release the shard.
    ReleaseShard(usize),
    /// A fixed interval of time passes.
    Wait,
}

fn lost() -> CallError {
    CallError::Unknown("lost".to_owned())
}

/// Returns the state after a step.
pub(super) fn apply(state: &ModelState, step: &Step, broken: BrokenRule) -> ModelState {
    let mut state = state.clone();
    charge_budget(&mut state, step);
    match step.clone() {
        Step::Commit(daemon) => commit(&mut state, daemon, broken),
        Step::CommitFault(daemon, fault) => commit_fault(&mut state, daemon, fault, broken),
        Step::Message(daemon, worker) => message(&mut state, daemon, worker, broken),
        Step::MessageFault(daemon, worker, fault) => {
            message_fault(&mut state, daemon, worker, fault, broken);
        }
        Step::LateMessage(index) => {
            let (worker, message) = state.late_messages.remove(index);
            if state.dead != Some(worker) {
                let _ = state.receive(worker, &message, broken);
            }
        }
        Step::LateCommit(index) => {
            let txn = state.late_commits.remove(index);
            let _ = state.commit(&txn, broken);
        }
        Step::DeliverDelayedAnswer(daemon) => {
            let delayed = state.daemon(daemon).delayed_answers.remove(0);
            state.answer(daemon, delayed.worker, delayed.sequence, delayed.answer);
        }
        Step::Finish(worker, task, attempt) => state.finish_run(worker, &task, attempt),
        Step::TakeOver(daemon) => state.take_over(daemon, broken),
        Step::Crash(daemon) => crash(&mut state, daemon),
        Step::Pause(daemon) => state.daemon(daemon).paused = true,
        Step::Resume(daemon) => {
            state.daemon(daemon).paused = false;
            state.handle_event(daemon, Event::Tick);
        }
        Step::LoseStore(daemon) => store(&mut state, daemon, false),
        Step::RestoreStore(daemon) => store(&mut state, daemon, true),
        Step::Partition(daemon, worker) => {
            state.partitions.insert((daemon, worker));
        }
        Step::HealPartitions => state.partitions.clear(),
        Step::RestartWorker(worker) => state.restart_worker(worker),
        Step::KillWorker(worker) => state.kill_worker(worker),
        Step::Evict(daemon, task) => state.evict(daemon, task),
        Step::Cancel(daemon, task) => state.handle_event(daemon, Event::Cancel(TaskId::from(task))),
        Step::ReleaseShard(daemon) => state.handle_event(daemon, Event::ReleaseShard),
        Step::ReadShard(daemon) => state.read_shard(daemon),
        Step::Wait => state.advance_time(),
    }
    state
}

/// Subtracts a step from the budget.
fn charge_budget(state: &mut ModelState, step: &Step) {
    let budget = &mut state.budget;
    let counter = match step {
        Step::CommitFault(..) | Step::MessageFault(..) => &mut budget.network,
        Step::TakeOver(_) => {
            budget.takeovers = budget.takeovers.saturating_sub(1);
            return;
        }
        Step::Crash(_) => &mut budget.crashes,
        Step::Pause(_) => &mut budget.pauses,
        Step::LoseStore(_) => &mut budget.outages,
        Step::Partition(..) => &mut budget.partitions,
        Step::RestartWorker(_) => &mut budget.restarts,
        Step::KillWorker(_) => &mut budget.deaths,
        Step::Evict(..) => &mut budget.evictions,
        Step::Cancel(..) => &mut budget.cancellations,
        Step::Wait => {
            budget.waits = budget.waits.saturating_sub(1);
            return;
        }
        _ => return,
    };
    *counter = counter.saturating_sub(1);
    budget.total = budget.total.saturating_sub(1);
}

fn commit(state: &mut ModelState, daemon: usize, broken: BrokenRule) {
    if !state.daemons[daemon].store_unreachable {
        return state.deliver_commit(daemon, broken);
    }
    let op = state.daemon(daemon).commits.remove(0).op;
    let settled = TxnOutcome::Unknown;
    state.handle_event(daemon, Event::Settled { op, settled });
}

fn commit_fault(state: &mut ModelState, daemon: usize, fault: Fault, broken: BrokenRule) {
    let txn = state.daemon(daemon).commits.remove(0);
    match fault {
        Fault::LostAnswer => {
            let _ = state.commit(&txn, broken);
        }
        _ => state.late_commits.push(txn.clone()),
    }
    let settled = TxnOutcome::Unknown;
    state.handle_event(
        daemon,
        Event::Settled {
            op: txn.op,
            settled,
        },
    );
}

fn message(state: &mut ModelState, daemon: usize, worker: usize, broken: BrokenRule) {
    if state.reaches(daemon, worker) {
        return state.deliver_message(daemon, worker, broken);
    }
    let sequence = state.take_message(daemon, worker).sequence;
    state.answer(daemon, worker, sequence, Err(WorkerError::Call(lost())));
}

fn message_fault(
    state: &mut ModelState,
    daemon: usize,
    worker: usize,
    fault: Fault,
    broken: BrokenRule,
) {
    let message = state.take_message(daemon, worker);
    let sequence = message.sequence;
    if matches!(fault, Fault::Late | Fault::Repeated) {
        state.late_messages.push((worker, message.clone()));
    }
    let unanswered = Err(WorkerError::Call(lost()));
    let answer = match fault {
        Fault::Late => return state.answer(daemon, worker, sequence, unanswered),
        _ => state.receive(worker, &message, broken),
    };
    match fault {
        Fault::LostAnswer => state.answer(daemon, worker, sequence, unanswered),
        Fault::LateAnswer => state.daemon(daemon).delayed_answers.push(DelayedAnswer {
            worker,
            sequence,
            answer,
        }),
        _ => state.answer(daemon, worker, sequence, answer),
    }
}

/// Crashes a daemon. Its calls in flight may still arrive.
fn crash(state: &mut ModelState, daemon: usize) {
    let process = state.daemon(daemon);
    process.owner = None;
    process.delayed_answers.clear();
    let commits = std::mem::take(&mut process.commits);
    let messages = std::mem::take(&mut process.messages);
    state.late_commits.extend(commits);
    state.late_messages.extend(messages);
}

fn store(state: &mut ModelState, daemon: usize, reachable: bool) {
    state.daemon(daemon).store_unreachable = !reachable;
    state.handle_event(daemon, Event::StoreStatus { reachable });
}

/// Repairs all faults and returns the state after the next step towards a final state.
pub(super) fn recovery_step(state: &ModelState) -> ModelState {
    let unbroken = BrokenRule::None;
    let mut state = state.clone();
    state.partitions.clear();
    state.late_messages.clear();
    state.late_commits.clear();
    for daemon in 0..2 {
        if state.daemons[daemon].paused {
            state.daemon(daemon).paused = false;
            state.handle_event(daemon, Event::Tick);
        }
        if state.daemons[daemon].store_unreachable {
            store(&mut state, daemon, true);
        }
        if !state.daemons[daemon].delayed_answers.is_empty() {
            return apply(&state, &Step::DeliverDelayedAnswer(daemon), unbroken);
        }
        if !state.daemons[daemon].commits.is_empty() {
            return apply(&state, &Step::Commit(daemon), unbroken);
        }
        if let Some((worker, _)) = state.daemons[daemon].messages.first() {
            return apply(&state, &Step::Message(daemon, *worker), unbroken);
        }
    }
    if !(0..2).any(|daemon| state.is_current(daemon)) {
        let idle = (0..2).find(|daemon| state.daemons[*daemon].owner.is_none());
        return match idle {
            Some(daemon) => apply(&state, &Step::TakeOver(daemon), unbroken),
            None => apply(&state, &Step::ReadShard(0), unbroken),
        };
    }
    let finish = enabled(&state)
        .into_iter()
        .find(|step| matches!(step, Step::Finish(..)));
    apply(&state, &finish.unwrap_or(Step::Wait), unbroken)
}
