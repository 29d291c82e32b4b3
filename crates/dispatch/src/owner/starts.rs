//! Sends start commands to executors.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::TaskId;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::task::RunNumber;
use model::Mono;
use tokio::sync::SemaphorePermit;

use super::Owner;
use super::calls::RELAY_RETRY_DELAY;
use super::command_slots::COMMAND_TIMEOUT;
use super::command_slots::CommandSlots;
use super::command_trace::CommandEnd;
use super::command_trace::CommandKind;
use super::command_trace::CommandTrace;
use super::commands::RETRY_DELAY;
use crate::dependencies::CommandOutcome;
use crate::dependencies::StartRequest;
use crate::events;
use crate::metrics;

/// How long a start command counts as in flight. One that takes longer is for an executor that does
/// not answer, which is no reason to send less to others.
const MAX_COUNTED: Duration = Duration::from_millis(400);
/// Number of attempts to send a start before another executor is chosen.
const MAX_START_ATTEMPTS: usize = 3;

/// Number of attempts without an answer in a row after which the next report decides: if it does not show
/// the run, the run is stopped, so that another executor can be chosen once the stop is answered.
const MAX_UNANSWERED_STARTS: usize = 3;

/// A command to start a run.
pub(super) struct StartRun {
    pub(super) key: TaskKey,
    pub(super) task: TaskId,
    pub(super) run: RunNumber,
    pub(super) executor: ExecutorKey,
    pub(super) payload: Arc<str>,
    pub(super) checkpoint: Option<Arc<str>>,
    pub(super) ticket: Option<Arc<str>>,
}

/// Sends a start command until it is answered or no longer wanted.
pub(super) async fn execute(owner: &Rc<Owner>, start: &StartRun) {
    let counted = CountedStart::new(owner);
    let mut sent = pin!(owner.execute_start(start, &counted));
    if tokio::time::timeout(MAX_COUNTED, &mut sent).await.is_err() {
        counted.release();
        sent.await;
    }
}

/// A start command that counts as in flight until it is released or dropped.
struct CountedStart {
    owner: Rc<Owner>,
    counted: Cell<bool>,
}

impl CountedStart {
    fn new(owner: &Rc<Owner>) -> Self {
        let in_flight = &owner.starts_in_flight;
        in_flight.set(in_flight.get() + 1);
        Self {
            owner: owner.clone(),
            counted: Cell::new(true),
        }
    }

    fn release(&self) {
        if self.counted.replace(false) {
            let in_flight = &self.owner.starts_in_flight;
            in_flight.set(in_flight.get() - 1);
        }
    }
}

impl Drop for CountedStart {
    fn drop(&mut self) {
        self.release();
    }
}

impl Owner {
    async fn execute_start(self: &Rc<Self>, start: &StartRun, counted: &CountedStart) {
        let now = self.now();
        let run = (start.task, start.run);
        let decided_at = self.assigned_at(start.key).unwrap_or(now);
        let mut trace =
            CommandTrace::new(CommandKind::Start, run, start.executor, now).decided_at(decided_at);
        let unsent = (start.key, start.run);
        self.unsent_starts.borrow_mut().insert(unsent);
        let end = self.start_run(start, counted, &mut trace).await;
        self.unsent_starts.borrow_mut().remove(&unsent);
        self.record_command_end(&trace, end);
    }

    fn assigned_at(&self, key: TaskKey) -> Option<Mono> {
        let scheduler = self.scheduler.borrow();
        Some(scheduler.task(key)?.assignment()?.assigned_at)
    }

    async fn start_run(
        self: &Rc<Self>,
        start: &StartRun,
        counted: &CountedStart,
        trace: &mut CommandTrace,
    ) -> CommandEnd {
        let command_slots = self.command_slots(start.executor);
        let mut failed_sends = 0;
        let mut unanswered = 0;
        let mut first_sent_at = None;
        loop {
            let slot_awaited_since = self.now();
            let slot = self.wait_for_start_slot(start, &command_slots).await;
            trace.add_slot_wait(self.now().since(slot_awaited_since));
            let slot = match slot {
                Ok(slot) => slot,
                Err(end) => {
                    self.abandon_start(start, end);
                    return end;
                }
            };
            self.unsent_starts
                .borrow_mut()
                .remove(&(start.key, start.run));
            let first_sent_at = *first_sent_at.get_or_insert(self.now());
            let outcome = self.try_start(start).await;
            drop(slot);
            trace.count_attempt(&outcome);
            counted.release();
            let (answer, end) = match outcome {
                CommandOutcome::Answered(answer) => {
                    command_slots.record_answered_start();
                    (answer, CommandEnd::Answered(outcome_label(outcome)))
                }
                CommandOutcome::Fenced => return CommandEnd::FENCED,
                CommandOutcome::NotSent | CommandOutcome::OtherIncarnation if unanswered > 0 => {
                    // An earlier attempt may have been executed. A report shows it, or the lease expires.
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
                CommandOutcome::NotSent
                | CommandOutcome::WrongExecutor
                | CommandOutcome::OtherIncarnation => {
                    failed_sends += 1;
                    if failed_sends < MAX_START_ATTEMPTS {
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    (StartAnswer::Unhealthy, CommandEnd::GIVEN_UP)
                }
                CommandOutcome::RelayFailed => {
                    self.record_start_answer(start, StartAnswer::Unanswered);
                    tokio::time::sleep(RELAY_RETRY_DELAY).await;
                    continue;
                }
                CommandOutcome::Unanswered => {
                    unanswered += 1;
                    self.record_unanswered_start(start, &command_slots);
                    if unanswered < MAX_UNANSWERED_STARTS {
                        if unanswered + 1 == MAX_UNANSWERED_STARTS {
                            self.relays.bypass(start.executor, self.now());
                        }
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    if let Err(end) = self
                        .wait_for_report(start, &command_slots, first_sent_at)
                        .await
                    {
                        self.abandon_start(start, end);
                        return end;
                    }
                    (StartAnswer::Unhealthy, CommandEnd::GIVEN_UP)
                }
            };
            self.record_start_answer(start, answer);
            return end;
        }
    }

    fn record_start_answer(&self, start: &StartRun, answer: StartAnswer) {
        let now = self.now();
        self.scheduler
            .borrow_mut()
            .start_answered(start.key, start.run, answer, now);
    }

    /// Records an attempt without an answer. If starts hang at the executor, it gets no more tasks
    /// for a while, and those that wait for their first attempt go elsewhere.
    fn record_unanswered_start(&self, start: &StartRun, command_slots: &CommandSlots) {
        self.record_start_answer(start, StartAnswer::Unanswered);
        if let Some(until) = command_slots.record_unanswered_start(self.now())
            && let Some(executor) = self.scheduler.borrow_mut().fleet.get_mut(start.executor)
        {
            executor.not_before = executor.not_before.max(until);
        }
    }

    /// Waits for a report requested after the first attempt, at `sent_at`. Returns an error if the run was confirmed or
    /// lost meanwhile, or should no longer start.
    async fn wait_for_report(
        &self,
        start: &StartRun,
        command_slots: &CommandSlots,
        sent_at: Mono,
    ) -> Result<(), CommandEnd> {
        while !self.has_report_since(start.executor, sent_at) {
            tokio::select! {
                () = self.shutdown.cancelled() => return Err(CommandEnd::OWNER_ENDED),
                () = command_slots.starts_changed() => {}
                () = tokio::time::sleep(RETRY_DELAY) => {}
            }
            self.check_start(start, command_slots)?;
        }
        Ok(())
    }

    fn has_report_since(&self, executor: ExecutorKey, since: Mono) -> bool {
        let requested = self.reports_requested.borrow().get(&executor).copied();
        requested.is_some_and(|requested| requested >= since)
    }

    /// Waits for a slot for one attempt. Returns an error as soon as the start should not be sent.
    async fn wait_for_start_slot<'s>(
        &self,
        start: &StartRun,
        command_slots: &'s CommandSlots,
    ) -> Result<SemaphorePermit<'s>, CommandEnd> {
        let mut slot = pin!(command_slots.for_command());
        loop {
            let changed = command_slots.starts_changed();
            self.check_start(start, command_slots)?;
            tokio::select! {
                biased;
                () = self.shutdown.cancelled() => return Err(CommandEnd::OWNER_ENDED),
                acquired = &mut slot => {
                    self.check_start(start, command_slots)?;
                    if !self.authority.borrow().may_start(self.node.boot_time()) {
                        // Another owner may have followed. This one ends, or is confirmed again.
                        drop(acquired);
                        tokio::time::sleep(RETRY_DELAY).await;
                        slot.set(command_slots.for_command());
                        continue;
                    }
                    if self.knows_evacuations(self.now()) {
                        return acquired.ok_or(CommandEnd::OWNER_ENDED);
                    }
                    // The next read decides whether the start is still wanted.
                    drop(acquired);
                    self.evacuations_read_again(command_slots).await;
                    slot.set(command_slots.for_command());
                }
                () = changed => {}
            }
        }
    }

    /// Returns an error if a start should not be sent.
    fn check_start(&self, start: &StartRun, slots: &CommandSlots) -> Result<(), CommandEnd> {
        if !self.may_send() {
            return Err(CommandEnd::OWNER_ENDED);
        }
        let scheduler = self.scheduler.borrow();
        if !scheduler.is_start_wanted(start.key, start.run) {
            return Err(CommandEnd::WITHDRAWN);
        }
        let unsent = self.unsent_starts.borrow();
        if slots.starts_hang(self.now()) && unsent.contains(&(start.key, start.run)) {
            return Err(CommandEnd::GIVEN_UP);
        }
        Ok(())
    }

    /// Processes the end of a start that is not sent any more.
    fn abandon_start(&self, start: &StartRun, end: CommandEnd) {
        match end {
            CommandEnd::WITHDRAWN => {
                let now = self.now();
                self.scheduler
                    .borrow_mut()
                    .withdraw_start(start.key, start.run, now);
            }
            CommandEnd::GIVEN_UP => self.record_start_answer(start, StartAnswer::Unhealthy),
            _ => {}
        }
    }

    /// Returns the deadline of the lease that a start command grants, or `None` if it must not be sent.
    fn grant_start_lease(&self, start: &StartRun, now: Mono) -> Option<u64> {
        if !self.authority.borrow().may_start(self.node.boot_time()) {
            return None;
        }
        let mut scheduler = self.scheduler.borrow_mut();
        self.limit_leases(&mut scheduler);
        scheduler.grant_start_lease(start.key, start.executor, now)
    }

    async fn try_start(self: &Rc<Self>, start: &StartRun) -> CommandOutcome<StartAnswer> {
        let target = self.target(start.executor).filter(|_| self.may_send());
        let Some(target) = target else {
            return CommandOutcome::NotSent;
        };
        let now = self.now();
        let lease_deadline_ms = self.grant_start_lease(start, now);
        let Some(lease_deadline_ms) = lease_deadline_ms else {
            // The executor is unreachable. Whether earlier copies of the command arrived becomes
            // known when it answers again, or no longer matters once the lease has expired.
            return CommandOutcome::NotSent;
        };
        let call = StartRequest {
            target,
            task: start.task,
            run: start.run,
            payload: start.payload.clone(),
            lease_deadline_ms,
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
            timeout: COMMAND_TIMEOUT,
        };
        let id = call.target.id.clone();
        let incarnation = call.target.incarnation;
        let reply = self.call_start(start.executor, call).await;
        self.check_lease(&id, "start", Some(lease_deadline_ms), reply.clock_ms);
        let outcome = self.record_reply(start.executor, incarnation, &reply);
        let answered_at = self.now();
        if matches!(outcome, CommandOutcome::Answered(_)) {
            let took = answered_at.since(now);
            let own_lag = self.processor_pace.get().lag();
            self.window
                .borrow_mut()
                .answered(took, own_lag, answered_at);
        }
        if matches!(outcome, CommandOutcome::Answered(StartAnswer::Started)) {
            let took = model::time::millis(self.now().since(now));
            events::run_started(start.task, start.run, &id, took);
        }
        let label = outcome_label(outcome);
        self.node
            .metrics
            .starts
            .get_or_create(&metrics::OutcomeLabel { outcome: label })
            .inc();
        outcome
    }
}

/// Returns the metric label for the outcome of a start.
const fn outcome_label(outcome: CommandOutcome<StartAnswer>) -> &'static str {
    match outcome {
        CommandOutcome::Answered(StartAnswer::Started) => "started",
        CommandOutcome::Answered(StartAnswer::NoRoom) => "no_room",
        CommandOutcome::Answered(StartAnswer::TooLate) => "too_late",
        CommandOutcome::Answered(StartAnswer::Superseded) => "superseded",
        CommandOutcome::Answered(StartAnswer::Unhealthy) => "unhealthy",
        CommandOutcome::Answered(StartAnswer::Invalid) => "invalid",
        CommandOutcome::Answered(StartAnswer::NoTicket) => "no_ticket",
        CommandOutcome::Fenced => "fenced",
        CommandOutcome::WrongExecutor => "elsewhere",
        CommandOutcome::OtherIncarnation => "other_incarnation",
        CommandOutcome::NotSent => "not_sent",
        CommandOutcome::RelayFailed => "relay_failed",
        CommandOutcome::Answered(StartAnswer::Unanswered) | CommandOutcome::Unanswered => {
            "unanswered"
        }
    }
}
