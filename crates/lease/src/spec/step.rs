//! What can happen next, and what the state is then.

use model::id::Attempt;
use model::id::TaskId;
use plat::commit::TxnOutcome;
use plat::error::CallError;
use plat::worker::RunState;
use plat::worker::WorkerError;

use super::budget::Broken;
use super::world::Daemon;
use super::world::HeldAnswer;
use super::world::TASKS;
use super::world::World;
use crate::Event;

/// How a call can go wrong; each takes from the budget of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It was carried out, but the answer is lost.
    LostAnswer,
    /// Nothing is heard; it may be carried out later, or never.
    Late,
    /// It was carried out, and a copy may be carried out again later.
    Repeated,
    /// It was carried out, and the answer comes later.
    LateAnswer,
}

/// One thing that can happen next. Numbers are those of daemons, workers and entries of lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A daemon's first transaction is carried out and answered.
    Commit(usize),
    /// The same, with a fault.
    CommitFault(usize, Fault),
    /// A daemon's message to a worker is carried out and answered.
    Message(usize, usize),
    /// The same, with a fault.
    MessageFault(usize, usize, Fault),
    /// A late copy of a message arrives.
    LateMessage(usize),
    /// A late copy of a transaction arrives.
    LateCommit(usize),
    /// A daemon reads a late answer.
    ReadHeld(usize),
    /// A run ends by itself and succeeds.
    Finish(usize, TaskId, Attempt),
    /// A daemon takes the shard.
    TakeOver(usize),
    /// A daemon dies.
    Crash(usize),
    /// A daemon stands still, and what it has sent with it.
    Pause(usize),
    /// A daemon goes on.
    Resume(usize),
    /// A daemon loses the table.
    StoreAway(usize),
    /// A daemon reaches the table again.
    StoreBack(usize),
    /// A daemon and a worker lose each other.
    Cut(usize, usize),
    /// Daemons and workers reach each other again.
    Heal,
    /// A worker's host is started again.
    Restart(usize),
    /// A worker's host dies for good.
    Die(usize),
    /// The scheduler of a daemon evicts a task.
    Evict(usize, &'static str),
    /// Somebody cancels a task at a daemon.
    Cancel(usize, &'static str),
    /// A daemon reads the shard's row.
    ReadShard(usize),
    /// A daemon begins to give the shard back.
    GiveBack(usize),
    /// Time passes.
    Wait,
}

const COMMIT_FAULTS: [Fault; 2] = [Fault::LostAnswer, Fault::Late];
const MESSAGE_FAULTS: [Fault; 4] = [
    Fault::LostAnswer,
    Fault::Late,
    Fault::Repeated,
    Fault::LateAnswer,
];

fn lost() -> CallError {
    CallError::Unknown("lost".to_owned())
}

/// Everything that can happen next.
pub(super) fn enabled(world: &World) -> Vec<Step> {
    let mut steps = Vec::new();
    for daemon in 0..2 {
        calls(world, daemon, &mut steps);
        disturbances(world, daemon, &mut steps);
    }
    steps.extend((0..world.late_messages.len()).map(Step::LateMessage));
    steps.extend((0..world.late_commits.len()).map(Step::LateCommit));
    for (worker, agent) in world.agents.iter().enumerate() {
        for ((task, attempt), run) in agent.runs() {
            // One task may end at any moment, the other while no call is under way.
            let may_end = task.as_str() == TASKS[0] || is_quiet(world);
            if run.state == RunState::Running && may_end {
                steps.push(Step::Finish(worker, task.clone(), *attempt));
            }
        }
        if world.budget.all > 0 && world.dead.is_none() {
            let restart = (world.budget.restarts > 0).then_some(Step::Restart(worker));
            let die = (world.budget.deaths > 0).then_some(Step::Die(worker));
            steps.extend(restart.into_iter().chain(die));
        }
    }
    if !world.cuts.is_empty() {
        steps.push(Step::Heal);
    }
    if world.budget.waits > 0 && is_quiet(world) {
        steps.push(Step::Wait);
    }
    steps
}

/// Whether a daemon that runs has calls under way.
fn has_calls(daemon: &Daemon) -> bool {
    let calls = daemon.commits.len() + daemon.messages.len();
    !daemon.paused && calls > 0
}

/// Whether no daemon that runs waits for an answer. Calls are answered or given up within a wait.
fn is_quiet(world: &World) -> bool {
    let mut daemons = world.daemons.iter();
    !daemons.any(|daemon| has_calls(daemon) || (!daemon.paused && !daemon.held.is_empty()))
}

/// The calls under way. They are answered one after another, without delay unless a disturbance
/// delays them (a late call or answer, or a pause of the daemon that made them): what is bounded is
/// the number of delays, not their length.
fn calls(world: &World, daemon: usize, steps: &mut Vec<Step>) {
    let known = &world.daemons[daemon];
    if known.paused {
        return steps.push(Step::Resume(daemon));
    }
    if known.store_away {
        steps.push(Step::StoreBack(daemon));
    }
    let faulty = world.budget.network > 0 && world.budget.all > 0;
    if !known.held.is_empty() {
        steps.push(Step::ReadHeld(daemon));
    }
    if daemon == 1 && has_calls(&world.daemons[0]) {
        return;
    }
    if !known.commits.is_empty() {
        steps.push(Step::Commit(daemon));
        if faulty && !known.store_away {
            steps.extend(COMMIT_FAULTS.map(|fault| Step::CommitFault(daemon, fault)));
        }
        return;
    }
    if let Some((worker, _)) = known.messages.first() {
        steps.push(Step::Message(daemon, *worker));
        if faulty && world.reaches(daemon, *worker) {
            let faults = MESSAGE_FAULTS.map(|fault| Step::MessageFault(daemon, *worker, fault));
            steps.extend(faults);
        }
    }
}

fn disturbances(world: &World, daemon: usize, steps: &mut Vec<Step>) {
    let (known, budget) = (&world.daemons[daemon], &world.budget);
    if known.paused {
        return;
    }
    let Some(owner) = &known.owner else {
        if budget.takeovers > 0 && !known.store_away {
            steps.push(Step::TakeOver(daemon));
        }
        return;
    };
    if !known.store_away && !world.is_current(daemon) {
        steps.push(Step::ReadShard(daemon));
    }
    if budget.all == 0 {
        return;
    }
    if budget.crashes > 0 {
        steps.push(Step::Crash(daemon));
    }
    if budget.pauses > 0 {
        steps.push(Step::Pause(daemon));
    }
    if budget.outages > 0 && !known.store_away {
        steps.push(Step::StoreAway(daemon));
    }
    if budget.cuts > 0 && world.cuts.is_empty() {
        steps.extend((0..2).map(|worker| Step::Cut(daemon, worker)));
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

/// Carries out a step.
pub(super) fn take(world: &World, step: &Step, broken: Broken) -> World {
    let mut world = world.clone();
    spend(&mut world, step);
    match step.clone() {
        Step::Commit(daemon) => commit(&mut world, daemon, broken),
        Step::CommitFault(daemon, fault) => commit_fault(&mut world, daemon, fault, broken),
        Step::Message(daemon, worker) => message(&mut world, daemon, worker, broken),
        Step::MessageFault(daemon, worker, fault) => {
            message_fault(&mut world, daemon, worker, fault, broken);
        }
        Step::LateMessage(index) => {
            let (worker, message) = world.late_messages.remove(index);
            if world.dead != Some(worker) {
                let _ = world.receive(worker, &message, broken);
            }
        }
        Step::LateCommit(index) => {
            let txn = world.late_commits.remove(index);
            let _ = world.commit(&txn, broken);
        }
        Step::ReadHeld(daemon) => {
            let held = world.daemon(daemon).held.remove(0);
            world.answer(daemon, held.worker, held.sequence, held.answer);
        }
        Step::Finish(worker, task, attempt) => world.finish(worker, &task, attempt),
        Step::TakeOver(daemon) => world.take_over(daemon, broken),
        Step::Crash(daemon) => crash(&mut world, daemon),
        Step::Pause(daemon) => world.daemon(daemon).paused = true,
        Step::Resume(daemon) => {
            world.daemon(daemon).paused = false;
            world.tell(daemon, Event::Tick);
        }
        Step::StoreAway(daemon) => store(&mut world, daemon, false),
        Step::StoreBack(daemon) => store(&mut world, daemon, true),
        Step::Cut(daemon, worker) => {
            world.cuts.insert((daemon, worker));
        }
        Step::Heal => world.cuts.clear(),
        Step::Restart(worker) => world.restart(worker),
        Step::Die(worker) => world.die(worker),
        Step::Evict(daemon, task) => world.evict(daemon, task),
        Step::Cancel(daemon, task) => world.tell(daemon, Event::Cancel(TaskId::from(task))),
        Step::GiveBack(daemon) => world.tell(daemon, Event::GiveBack),
        Step::ReadShard(daemon) => world.read_shard(daemon),
        Step::Wait => world.wait(),
    }
    world
}

fn spend(world: &mut World, step: &Step) {
    let budget = &mut world.budget;
    let part = match step {
        Step::CommitFault(..) | Step::MessageFault(..) => &mut budget.network,
        Step::TakeOver(_) => {
            budget.takeovers = budget.takeovers.saturating_sub(1);
            return;
        }
        Step::Crash(_) => &mut budget.crashes,
        Step::Pause(_) => &mut budget.pauses,
        Step::StoreAway(_) => &mut budget.outages,
        Step::Cut(..) => &mut budget.cuts,
        Step::Restart(_) => &mut budget.restarts,
        Step::Die(_) => &mut budget.deaths,
        Step::Evict(..) => &mut budget.evictions,
        Step::Cancel(..) => &mut budget.cancellations,
        Step::Wait => {
            budget.waits = budget.waits.saturating_sub(1);
            return;
        }
        _ => return,
    };
    *part = part.saturating_sub(1);
    budget.all = budget.all.saturating_sub(1);
}

fn commit(world: &mut World, daemon: usize, broken: Broken) {
    if !world.daemons[daemon].store_away {
        return world.deliver_commit(daemon, broken);
    }
    let op = world.daemon(daemon).commits.remove(0).op;
    let settled = TxnOutcome::Unknown;
    world.tell(daemon, Event::Settled { op, settled });
}

fn commit_fault(world: &mut World, daemon: usize, fault: Fault, broken: Broken) {
    let txn = world.daemon(daemon).commits.remove(0);
    match fault {
        Fault::LostAnswer => {
            let _ = world.commit(&txn, broken);
        }
        _ => world.late_commits.push(txn.clone()),
    }
    let settled = TxnOutcome::Unknown;
    world.tell(
        daemon,
        Event::Settled {
            op: txn.op,
            settled,
        },
    );
}

fn message(world: &mut World, daemon: usize, worker: usize, broken: Broken) {
    if world.reaches(daemon, worker) {
        return world.deliver_message(daemon, worker, broken);
    }
    let sequence = world.take_message(daemon, worker).sequence;
    world.answer(daemon, worker, sequence, Err(WorkerError::Call(lost())));
}

fn message_fault(world: &mut World, daemon: usize, worker: usize, fault: Fault, broken: Broken) {
    let message = world.take_message(daemon, worker);
    let sequence = message.sequence;
    if matches!(fault, Fault::Late | Fault::Repeated) {
        world.late_messages.push((worker, message.clone()));
    }
    let unanswered = Err(WorkerError::Call(lost()));
    let answer = match fault {
        Fault::Late => return world.answer(daemon, worker, sequence, unanswered),
        _ => world.receive(worker, &message, broken),
    };
    match fault {
        Fault::LostAnswer => world.answer(daemon, worker, sequence, unanswered),
        Fault::LateAnswer => world.daemon(daemon).held.push(HeldAnswer {
            worker,
            sequence,
            answer,
        }),
        _ => world.answer(daemon, worker, sequence, answer),
    }
}

/// The daemon dies; what it has sent may still arrive.
fn crash(world: &mut World, daemon: usize) {
    let known = world.daemon(daemon);
    known.owner = None;
    known.held.clear();
    let commits = std::mem::take(&mut known.commits);
    let messages = std::mem::take(&mut known.messages);
    world.late_commits.extend(commits);
    world.late_messages.extend(messages);
}

fn store(world: &mut World, daemon: usize, reachable: bool) {
    world.daemon(daemon).store_away = !reachable;
    world.tell(daemon, Event::Store { reachable });
}

/// Lets everything work again and run on: the state after the next thing that is due.
pub(super) fn recover(world: &World) -> World {
    let nothing = Broken::Nothing;
    let mut world = world.clone();
    world.cuts.clear();
    world.late_messages.clear();
    world.late_commits.clear();
    for daemon in 0..2 {
        if world.daemons[daemon].paused {
            world.daemon(daemon).paused = false;
            world.tell(daemon, Event::Tick);
        }
        if world.daemons[daemon].store_away {
            store(&mut world, daemon, true);
        }
        if !world.daemons[daemon].held.is_empty() {
            return take(&world, &Step::ReadHeld(daemon), nothing);
        }
        if !world.daemons[daemon].commits.is_empty() {
            return take(&world, &Step::Commit(daemon), nothing);
        }
        if let Some((worker, _)) = world.daemons[daemon].messages.first() {
            return take(&world, &Step::Message(daemon, *worker), nothing);
        }
    }
    if !(0..2).any(|daemon| world.is_current(daemon)) {
        let idle = (0..2).find(|daemon| world.daemons[*daemon].owner.is_none());
        return match idle {
            Some(daemon) => take(&world, &Step::TakeOver(daemon), nothing),
            None => take(&world, &Step::ReadShard(0), nothing),
        };
    }
    let finish = enabled(&world)
        .into_iter()
        .find(|step| matches!(step, Step::Finish(..)));
    take(&world, &finish.unwrap_or(Step::Wait), nothing)
}
