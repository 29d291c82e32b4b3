//! Sends commands to executors; start commands are in `starts`.
//!
//! A command without an answer may still be executed seconds later. Only four things resolve it: an
//! answer when it is sent again, a poll that reports the run, a stop that the executor remembers,
//! or the end of the lease.

use std::rc::Rc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::TaskId;
use job::scheduler::Command;
use job::scheduler::TaskKey;
use job::task::RunNumber;

use super::Owner;
use super::calls::RELAY_RETRY_DELAY;
use super::command_slots::CommandSlots;
use super::command_trace::CommandEnd;
use super::command_trace::CommandKind;
use super::command_trace::CommandTrace;
use super::starts;
use super::starts::StartRun;
use crate::dependencies::CommandOutcome;
use crate::dependencies::CommandReply;
use crate::dependencies::RunRequest;
use crate::supervise::spawn_part;

/// Delay before a command is sent again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long after it was sent an unanswered command may still be executed.
pub(super) const MAX_COMMAND_DELAY: Duration = Duration::from_secs(12);
/// Interval at which a CPU share is sent again during that time.
const SHARE_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of attempts to stop a run that the scheduler does not know; the next poll shows whether
/// the run still exists.
const MAX_STRAY_STOP_ATTEMPTS: usize = 2;

/// Sends all pending commands.
pub fn send_pending(owner: &Rc<Owner>) {
    if !owner.may_send() {
        return;
    }
    let commands = owner.scheduler.borrow_mut().take_commands();
    for command in commands {
        spawn_part(owner, "commands", execute(owner.clone(), command));
    }
}

async fn execute(owner: Rc<Owner>, command: Command) {
    match command {
        Command::Start {
            key,
            task,
            run,
            executor,
            payload,
            checkpoint,
            ticket,
        } => {
            let start = StartRun {
                key,
                task,
                run,
                executor,
                payload,
                checkpoint,
                ticket,
            };
            starts::execute(&owner, &start).await;
        }
        Command::Stop {
            key,
            task,
            run,
            executor,
        } => {
            let stop = StopRun {
                key,
                task,
                run,
                executor,
            };
            owner.execute_stop(stop).await;
        }
        Command::Throttle {
            key,
            task,
            run,
            executor,
            cpu_percent,
        } => {
            let set_share = SetShare {
                key,
                task,
                run,
                executor,
                cpu_percent,
            };
            owner.set_cpu_share(set_share).await;
        }
    }
    owner.dispatch_pending();
}

/// A command to stop a run.
struct StopRun {
    /// The scheduler's key of the task; `None` for a run that is unknown to the scheduler.
    key: Option<TaskKey>,
    task: TaskId,
    run: RunNumber,
    executor: ExecutorKey,
}

/// A command to set the CPU share of a run.
struct SetShare {
    key: TaskKey,
    task: TaskId,
    run: RunNumber,
    executor: ExecutorKey,
    cpu_percent: u32,
}

impl Owner {
    pub(super) fn command_slots(&self, executor: ExecutorKey) -> Rc<CommandSlots> {
        let mut command_slots = self.command_slots.borrow_mut();
        command_slots.entry(executor).or_default().clone()
    }

    /// Records the executor's clock from the reply to a command that was meant for this incarnation; ends
    /// the ownership if the executor has seen a higher epoch.
    pub(super) fn record_reply<T: Copy>(
        self: &Rc<Self>,
        executor: ExecutorKey,
        incarnation: Option<u64>,
        reply: &CommandReply<T>,
    ) -> CommandOutcome<T> {
        if let Some(clock_ms) = reply.clock_ms {
            let now = self.now();
            self.scheduler
                .borrow_mut()
                .command_answered(executor, incarnation, clock_ms, now);
        }
        match reply.outcome {
            CommandOutcome::Fenced => self.end("an executor has seen a higher epoch"),
            CommandOutcome::OtherIncarnation => self.poll_once_more(executor),
            _ => {}
        }
        reply.outcome
    }

    async fn execute_stop(self: &Rc<Self>, stop: StopRun) {
        if self.withdraw_unsent_start(&stop) {
            return;
        }
        let pending = (stop.executor, stop.task, stop.run, stop.key.is_some());
        if !self.pending_stops.borrow_mut().insert(pending) {
            return;
        }
        let now = self.now();
        let run = (stop.task, stop.run);
        let mut trace = CommandTrace::new(CommandKind::Stop, run, stop.executor, now);
        let end = self.stop_run(&stop, &mut trace).await;
        self.pending_stops.borrow_mut().remove(&pending);
        self.record_command_end(&trace, end);
    }

    /// Withdraws the start of the run to be stopped if it was never sent, so that there is nothing
    /// to stop. Otherwise, a start that waits to be sent again is no longer wanted.
    fn withdraw_unsent_start(&self, stop: &StopRun) -> bool {
        self.command_slots(stop.executor).notify_starts();
        let Some(key) = stop.key else {
            return false;
        };
        if !self.unsent_starts.borrow_mut().remove(&(key, stop.run)) {
            return false;
        }
        let now = self.now();
        self.scheduler
            .borrow_mut()
            .withdraw_start(key, stop.run, now);
        !self.is_assigned(key, stop.run)
    }

    async fn stop_run(self: &Rc<Self>, stop: &StopRun, trace: &mut CommandTrace) -> CommandEnd {
        let command_slots = self.command_slots(stop.executor);
        let mut attempts = 0;
        loop {
            let slot_awaited_since = self.now();
            let slot = command_slots.for_stop().await;
            trace.add_slot_wait(self.now().since(slot_awaited_since));
            if !self.may_send() {
                return CommandEnd::OWNER_ENDED;
            }
            if stop.key.is_some_and(|key| !self.is_assigned(key, stop.run)) {
                return CommandEnd::WITHDRAWN;
            }
            let outcome = self.try_stop(stop, &command_slots).await;
            drop(slot);
            trace.count_attempt(&outcome);
            match outcome {
                CommandOutcome::Answered(_) => {
                    let now = self.now();
                    if let Some(key) = stop.key {
                        self.scheduler
                            .borrow_mut()
                            .stop_confirmed(key, stop.run, now);
                    }
                    return CommandEnd::Answered("stopped");
                }
                CommandOutcome::Fenced => return CommandEnd::FENCED,
                CommandOutcome::WrongExecutor
                | CommandOutcome::OtherIncarnation
                | CommandOutcome::NotSent
                | CommandOutcome::Unanswered => {}
                CommandOutcome::RelayFailed => {
                    tokio::time::sleep(RELAY_RETRY_DELAY).await;
                    continue;
                }
            }
            attempts += 1;
            if stop.key.is_none() && attempts >= MAX_STRAY_STOP_ATTEMPTS {
                return CommandEnd::GIVEN_UP;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn try_stop(
        self: &Rc<Self>,
        stop: &StopRun,
        slots: &CommandSlots,
    ) -> CommandOutcome<bool> {
        let target = self.target(stop.executor).filter(|_| self.may_send());
        let Some(target) = target else {
            return CommandOutcome::NotSent;
        };
        let call = RunRequest {
            target,
            task: stop.task,
            run: stop.run,
            timeout: slots.timeout(),
        };
        let incarnation = call.target.incarnation;
        let sent = self.now();
        let reply = self.call_stop(stop.executor, call).await;
        slots.record_attempt(&reply.outcome, self.now().since(sent));
        self.record_reply(stop.executor, incarnation, &reply)
    }

    fn is_assigned(&self, key: TaskKey, run: RunNumber) -> bool {
        self.scheduler
            .borrow()
            .task(key)
            .is_some_and(|task| task.run == run && task.assignment().is_some())
    }

    /// Sends the CPU share of a run until the executor answers, because reports do not contain the
    /// share. An unanswered command may be executed after newer ones, so the current share is sent
    /// repeatedly until that is no longer possible.
    async fn set_cpu_share(self: &Rc<Self>, set_share: SetShare) {
        let mut resend_until = None;
        while !self.shutdown.is_cancelled() {
            let Some(cpu_percent) = self
                .scheduler
                .borrow()
                .cpu_share(set_share.key, set_share.run)
            else {
                return;
            };
            if cpu_percent != set_share.cpu_percent && resend_until.is_none() {
                return;
            }
            let Some(target) = self.target(set_share.executor) else {
                return;
            };
            let command_slots = self.command_slots(set_share.executor);
            let call = RunRequest {
                target,
                task: set_share.task,
                run: set_share.run,
                timeout: command_slots.timeout(),
            };
            let incarnation = call.target.incarnation;
            let sent = self.call_set_cpu_share(set_share.executor, call, cpu_percent);
            let slot = command_slots.for_command().await;
            if !self.may_send() {
                return;
            }
            let sent_at = self.now();
            let reply = sent.await;
            drop(slot);
            command_slots.record_attempt(&reply.outcome, self.now().since(sent_at));
            let pause = match self.record_reply(set_share.executor, incarnation, &reply) {
                CommandOutcome::Fenced | CommandOutcome::WrongExecutor => return,
                CommandOutcome::Answered(_)
                    if resend_until.is_none_or(|until| self.now() >= until) =>
                {
                    return;
                }
                CommandOutcome::Answered(_) => SHARE_RESEND_INTERVAL,
                CommandOutcome::Unanswered | CommandOutcome::RelayFailed => {
                    resend_until = Some(self.now().after(MAX_COMMAND_DELAY));
                    RETRY_DELAY
                }
                CommandOutcome::NotSent | CommandOutcome::OtherIncarnation => RETRY_DELAY,
            };
            tokio::time::sleep(pause).await;
        }
    }
}
