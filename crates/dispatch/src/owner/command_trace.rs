//! What a start or stop command waited for, from the decision to its end, for logs and metrics.

use std::time::Duration;

use job::fleet::ExecutorKey;
use job::id::TaskId;
use job::task::RunNumber;
use model::Mono;

use super::Owner;
use super::load::StartTimes;
use crate::dependencies::CommandOutcome;
use crate::events;
use crate::events::CommandSummary;
use crate::metrics::CommandOutcomeLabel;
use crate::metrics::CommandWaitLabel;

/// A command that took at least this long from the decision to its end is logged.
pub const DELAYED_COMMAND: Duration = Duration::from_secs(1);

/// Whether a command starts or stops a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// The command starts a run.
    Start,
    /// The command stops a run.
    Stop,
}

impl CommandKind {
    /// Returns the value used in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Stop => "stop",
        }
    }

    /// Returns the event of a log line. Lines are limited by event, so that the lines of one kind
    /// of command, of commands without an answer, or of commands that were not sent do not displace
    /// the others.
    const fn event(self, end: CommandEnd, attempts: u32) -> &'static str {
        match (self, end, attempts) {
            (Self::Start, CommandEnd::Answered(_), _) => "start_delayed",
            (Self::Start, CommandEnd::Abandoned(_), 0) => "start_unsent",
            (Self::Start, CommandEnd::Abandoned(_), _) => "start_unanswered",
            (Self::Stop, CommandEnd::Answered(_), _) => "stop_delayed",
            (Self::Stop, CommandEnd::Abandoned(_), 0) => "stop_unsent",
            (Self::Stop, CommandEnd::Abandoned(_), _) => "stop_unanswered",
        }
    }
}

/// How a command ended, with the value used in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandEnd {
    /// The executor answered the last attempt.
    Answered(&'static str),
    /// The command is not sent any more, and its last attempt has no answer.
    Abandoned(&'static str),
}

impl CommandEnd {
    /// This host is no longer the owner.
    pub const OWNER_ENDED: Self = Self::Abandoned("owner_ended");
    /// The command is no longer wanted, or its run is known to be gone.
    pub const WITHDRAWN: Self = Self::Abandoned("withdrawn");
    /// Too many attempts had no answer, or starts hang at the executor.
    pub const GIVEN_UP: Self = Self::Abandoned("given_up");
    /// The executor has seen a higher epoch.
    pub const FENCED: Self = Self::Answered("fenced");
}

/// The waits and attempts of one command so far.
#[derive(Clone, Debug)]
pub struct CommandTrace {
    kind: CommandKind,
    task: TaskId,
    run: RunNumber,
    executor: ExecutorKey,
    /// When the task was assigned, or when the run was to stop.
    decided_at: Mono,
    /// When the command could be sent: a start has to be stored first.
    issued_at: Mono,
    slot_wait: Duration,
    attempts: u32,
    unanswered: u32,
}

impl CommandTrace {
    /// Begins the trace of a command that may be sent from `issued_at` on.
    #[must_use]
    pub const fn new(
        kind: CommandKind,
        (task, run): (TaskId, RunNumber),
        executor: ExecutorKey,
        issued_at: Mono,
    ) -> Self {
        Self {
            kind,
            task,
            run,
            executor,
            decided_at: issued_at,
            issued_at,
            slot_wait: Duration::ZERO,
            attempts: 0,
            unanswered: 0,
        }
    }

    /// Sets when the command was decided, if that was before it could be sent.
    #[must_use]
    pub const fn decided_at(mut self, decided_at: Mono) -> Self {
        self.decided_at = decided_at;
        self
    }

    /// Adds a wait for a command slot.
    pub fn add_slot_wait(&mut self, waited: Duration) {
        self.slot_wait += waited;
    }

    /// Counts an attempt by its outcome.
    pub const fn count_attempt<T>(&mut self, outcome: &CommandOutcome<T>) {
        self.attempts += 1;
        if matches!(outcome, CommandOutcome::Unanswered) {
            self.unanswered += 1;
        }
    }

    /// Returns whether the end of the command is logged: it took long, an attempt had no answer, it
    /// was sent and ended without an answer, or it was given up.
    fn is_logged(&self, end: CommandEnd, took: Duration) -> bool {
        let abandoned = matches!(end, CommandEnd::Abandoned(_))
            && (self.attempts > 0 || end == CommandEnd::GIVEN_UP);
        took >= DELAYED_COMMAND || self.unanswered > 0 || abandoned
    }
}

impl Owner {
    /// Logs and counts the end of a command.
    pub(super) fn record_command_end(&self, trace: &CommandTrace, end: CommandEnd) {
        let now = self.now();
        let took = now.since(trace.decided_at);
        let stored = trace.issued_at.since(trace.decided_at);
        let answer = took.saturating_sub(stored + trace.slot_wait);
        let command = trace.kind.as_str();
        let metrics = &self.node.metrics;
        let (answered, outcome) = match end {
            CommandEnd::Answered(outcome) => (true, outcome),
            CommandEnd::Abandoned(outcome) => (false, outcome),
        };
        if answered {
            let waits = [
                ("store", stored),
                ("slot", trace.slot_wait),
                ("answer", answer),
            ];
            for (waited_for, wait) in waits {
                let label = CommandWaitLabel {
                    command,
                    waited_for,
                };
                let histogram = metrics.command_seconds.get_or_create(&label);
                histogram.observe(wait.as_secs_f64());
            }
            if trace.kind == CommandKind::Start {
                let times = StartTimes {
                    store: stored,
                    slot: trace.slot_wait,
                    answer,
                };
                self.load
                    .count_start(self.is_best_effort(trace.task), times);
            }
        } else {
            let label = CommandOutcomeLabel { command, outcome };
            metrics.unanswered_commands.get_or_create(&label).inc();
        }
        if !trace.is_logged(end, took) {
            return;
        }
        let scheduler = self.scheduler.borrow();
        let executor = scheduler.fleet.get(trace.executor);
        events::command_ended(&CommandSummary {
            event: trace.kind.event(end, trace.attempts),
            task: trace.task,
            run: trace.run,
            executor: executor.map_or("", |executor| &executor.listing.id),
            outcome,
            attempts: trace.attempts,
            unanswered: trace.unanswered,
            store_ms: model::time::millis(stored),
            slot_ms: model::time::millis(trace.slot_wait),
            answer_ms: model::time::millis(answer),
        });
    }
}
