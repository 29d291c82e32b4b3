//! Carries out orders to executors.
//!
//! An order without an answer may still be carried out, seconds later. It is settled by sending it
//! again, by a look that shows the run, by a stop that the executor remembers, or by the end of the
//! lease, and by nothing else.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::TaskId;
use job::scheduler::Command;
use job::scheduler::StartAnswer;
use job::scheduler::TaskKey;
use job::task::RunNumber;
use tokio::sync::Semaphore;

use super::Owner;
use crate::events;
use crate::metrics;
use crate::outside::OrderReply;
use crate::outside::Outcome;
use crate::outside::RunCall;
use crate::outside::StartCall;

/// How many orders may be under way to one executor.
const ORDERS_AT_ONCE: usize = 2;
/// The pause before an order is sent again.
const RETRY: Duration = Duration::from_millis(150);
/// How long after it was sent an order without an answer may still be carried out.
const CARRIED_OUT_WITHIN: Duration = Duration::from_secs(12);
/// How often a share is told again in that time.
const REPEAT: Duration = Duration::from_secs(1);
/// How often a start that cannot be sent at all is tried before another executor is.
const START_TRIES: usize = 3;
/// How often a stop of a run that the book does not know is tried; the next look shows whether it
/// is still there.
const STRAY_STOP_TRIES: usize = 2;

/// Sends all orders that wait.
pub fn carry_out(owner: &Rc<Owner>) {
    if owner.stop.is_cancelled() {
        return;
    }
    let orders = owner.book.borrow_mut().take_commands();
    for order in orders {
        tokio::task::spawn_local(send(owner.clone(), order));
    }
}

async fn send(owner: Rc<Owner>, order: Command) {
    match order {
        Command::Start {
            key,
            task,
            run,
            executor,
            payload,
            checkpoint,
            ticket,
        } => {
            let start = Start {
                key,
                task,
                run,
                executor,
                payload,
                checkpoint,
                ticket,
            };
            owner.turn(executor, owner.start(start)).await;
        }
        Command::Stop {
            key,
            task,
            run,
            executor,
        } => {
            let stop = owner.stop_run(key, task, run, executor);
            owner.turn(executor, stop).await;
        }
        Command::Throttle {
            key,
            task,
            run,
            executor,
            cpu_percent: percent,
        } => {
            let pace = Pace {
                key,
                task,
                run,
                executor,
                percent,
            };
            owner.pace_run(pace).await;
        }
    }
    owner.after_event();
}

/// An order to start.
struct Start {
    key: TaskKey,
    task: TaskId,
    run: RunNumber,
    executor: ExecutorKey,
    payload: Arc<str>,
    checkpoint: Option<Arc<str>>,
    ticket: Option<Arc<str>>,
}

/// An order to work with a share of the processor time.
struct Pace {
    key: TaskKey,
    task: TaskId,
    run: RunNumber,
    executor: ExecutorKey,
    percent: u32,
}

impl Owner {
    fn gate(&self, executor: ExecutorKey) -> Rc<Semaphore> {
        self.gates
            .borrow_mut()
            .entry(executor)
            .or_insert_with(|| Rc::new(Semaphore::new(ORDERS_AT_ONCE)))
            .clone()
    }

    /// Makes calls to an executor when it is their turn.
    async fn turn<T>(&self, executor: ExecutorKey, calls: impl Future<Output = T>) -> Option<T> {
        let gate = self.gate(executor);
        let _permit = gate.acquire().await.ok()?;
        Some(calls.await)
    }

    /// Takes in what an executor said about its clock; ends the owner when it obeys another.
    fn note<T: Copy>(&self, executor: ExecutorKey, reply: &OrderReply<T>) -> Outcome<T> {
        if let Some(clock_ms) = reply.clock_ms {
            let now = self.now();
            self.book
                .borrow_mut()
                .command_answered(executor, clock_ms, now);
        }
        if matches!(reply.outcome, Outcome::Fenced) {
            self.end("an executor obeys a higher epoch");
        }
        reply.outcome
    }

    async fn start(&self, start: Start) {
        let mut unsent = 0;
        while !self.stop.is_cancelled() {
            if !self.book.borrow().is_start_wanted(start.key, start.run) {
                let now = self.now();
                self.book
                    .borrow_mut()
                    .withdraw_start(start.key, start.run, now);
                return;
            }
            let outcome = self.try_start(&start).await;
            let answer = match outcome {
                Outcome::Answered(answer) => answer,
                Outcome::Fenced => return,
                Outcome::NotSent | Outcome::Elsewhere => {
                    unsent += 1;
                    if unsent < START_TRIES {
                        tokio::time::sleep(RETRY).await;
                        continue;
                    }
                    StartAnswer::Unhealthy
                }
                Outcome::Unanswered => StartAnswer::Unanswered,
            };
            let now = self.now();
            self.book
                .borrow_mut()
                .start_answered(start.key, start.run, answer, now);
            if answer != StartAnswer::Unanswered {
                return;
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn try_start(&self, start: &Start) -> Outcome<StartAnswer> {
        let Some(target) = self.target(start.executor) else {
            return Outcome::NotSent;
        };
        let now = self.now();
        let deadline_ms = self.book.borrow_mut().grant_lease(start.executor, now);
        let Some(deadline_ms) = deadline_ms else {
            // It does not answer; whether earlier copies arrived shows when it does, or lapses.
            return Outcome::NotSent;
        };
        let call = StartCall {
            target,
            task: start.task,
            run: start.run,
            payload: start.payload.clone(),
            deadline_ms,
            checkpoint: start.checkpoint.clone(),
            ticket: start.ticket.clone(),
        };
        let id = call.target.id.clone();
        let reply = (self.node.outside.executors.start)(call).await;
        let outcome = self.note(start.executor, &reply);
        if matches!(outcome, Outcome::Answered(StartAnswer::Started)) {
            let took = model::time::millis(self.now().since(now));
            events::run_started(start.task, start.run, &id, took);
        }
        let word = word(outcome);
        self.node
            .metrics
            .starts
            .get_or_create(&metrics::Outcome { outcome: word })
            .inc();
        outcome
    }

    async fn stop_run(
        &self,
        key: Option<TaskKey>,
        task: TaskId,
        run: RunNumber,
        executor: ExecutorKey,
    ) {
        let mut tries = 0;
        while !self.stop.is_cancelled() {
            if key.is_some_and(|key| !self.is_assigned(key, run)) {
                return;
            }
            if let Some(target) = self.target(executor) {
                let call = RunCall { target, task, run };
                let reply = (self.node.outside.executors.stop)(call).await;
                match self.note(executor, &reply) {
                    Outcome::Answered(_) => {
                        let now = self.now();
                        if let Some(key) = key {
                            self.book.borrow_mut().stop_confirmed(key, run, now);
                        }
                        return;
                    }
                    Outcome::Fenced => return,
                    Outcome::Elsewhere | Outcome::NotSent | Outcome::Unanswered => {}
                }
            }
            tries += 1;
            if key.is_none() && tries >= STRAY_STOP_TRIES {
                return;
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    fn is_assigned(&self, key: TaskKey, run: RunNumber) -> bool {
        self.book
            .borrow()
            .task(key)
            .is_some_and(|task| task.run == run && task.assignment().is_some())
    }

    /// Tells a run its share until the executor has answered, as no report shows it. An order without
    /// an answer may be carried out later than newer ones, so that for a while the share that the run
    /// is to have by then is told again and again.
    async fn pace_run(&self, pace: Pace) {
        let mut late_until = None;
        while !self.stop.is_cancelled() {
            let Some(percent) = self.book.borrow().cpu_share(pace.key, pace.run) else {
                return;
            };
            if percent != pace.percent && late_until.is_none() {
                return;
            }
            let Some(target) = self.target(pace.executor) else {
                return;
            };
            let call = RunCall {
                target,
                task: pace.task,
                run: pace.run,
            };
            let sent = (self.node.outside.executors.pace)((call, percent));
            let Some(reply) = self.turn(pace.executor, sent).await else {
                return;
            };
            let pause = match self.note(pace.executor, &reply) {
                Outcome::Fenced | Outcome::Elsewhere => return,
                Outcome::Answered(_) if late_until.is_none_or(|until| self.now() >= until) => {
                    return;
                }
                Outcome::Answered(_) => REPEAT,
                Outcome::Unanswered => {
                    late_until = Some(self.now().after(CARRIED_OUT_WITHIN));
                    RETRY
                }
                Outcome::NotSent => RETRY,
            };
            tokio::time::sleep(pause).await;
        }
    }
}

/// Returns a word for an answer to an order to start.
const fn word(outcome: Outcome<StartAnswer>) -> &'static str {
    match outcome {
        Outcome::Answered(StartAnswer::Started) => "started",
        Outcome::Answered(StartAnswer::NoRoom) => "no_room",
        Outcome::Answered(StartAnswer::TooLate) => "too_late",
        Outcome::Answered(StartAnswer::Superseded) => "superseded",
        Outcome::Answered(StartAnswer::Unhealthy) => "unhealthy",
        Outcome::Answered(StartAnswer::Invalid) => "invalid",
        Outcome::Answered(StartAnswer::NoTicket) => "no_ticket",
        Outcome::Fenced => "fenced",
        Outcome::Elsewhere => "elsewhere",
        Outcome::NotSent => "not_sent",
        Outcome::Answered(StartAnswer::Unanswered) | Outcome::Unanswered => "unanswered",
    }
}
