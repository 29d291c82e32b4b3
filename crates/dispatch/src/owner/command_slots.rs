//! Limits the concurrent commands to an executor.

use std::cell::Cell;
use std::time::Duration;

use model::Mono;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::futures::Notified;

use crate::dependencies::CommandOutcome;

/// Maximum number of concurrent starts and changes of CPU shares at one executor.
const MAX_CONCURRENT_COMMANDS: usize = 2;
/// Maximum number of concurrent stops at one executor.
const MAX_CONCURRENT_STOPS: usize = 2;
/// Time limit for the answer to a command; ten times the round trip within a region.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(700);
/// How often the time limit of stops and of changes of CPU shares is doubled at most, once for each
/// attempt in a row without an answer.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Number of start attempts in a row without an answer after which starts count as hanging at an
/// executor. One answer may be lost.
const UNANSWERED_STARTS_BEFORE_HANG: u32 = 2;
/// How long starts count as hanging after the last attempt without an answer. The next start after
/// that time shows whether they still do.
const HANG_DURATION: Duration = Duration::from_secs(1);

/// The command slots of one executor.
///
/// Stops have slots of their own: a start that the executor does not answer holds a slot for the
/// time limit of the call, and a stop must not wait for it.
pub struct CommandSlots {
    commands: Semaphore,
    stops: Semaphore,
    /// Notified when starts that wait for a slot may no longer be wanted.
    starts_changed: Notify,
    /// Number of start attempts without an answer since the last one with an answer.
    unanswered_starts: Cell<u32>,
    /// Until when starts count as hanging.
    starts_hang_until: Cell<Mono>,
    /// Number of doublings of the time limit for the next stop or change of a CPU share.
    timeout_doublings: Cell<u32>,
}

impl Default for CommandSlots {
    fn default() -> Self {
        Self {
            commands: Semaphore::new(MAX_CONCURRENT_COMMANDS),
            stops: Semaphore::new(MAX_CONCURRENT_STOPS),
            starts_changed: Notify::new(),
            unanswered_starts: Cell::new(0),
            starts_hang_until: Cell::new(Mono::ZERO),
            timeout_doublings: Cell::new(0),
        }
    }
}

impl CommandSlots {
    /// Waits for a slot for one call that starts a run or sets its CPU share. The slots are never
    /// closed, so that there is always a permit in the end.
    pub async fn for_command(&self) -> Option<SemaphorePermit<'_>> {
        self.commands.acquire().await.ok()
    }

    /// Waits for a slot for one call that stops a run.
    pub async fn for_stop(&self) -> Option<SemaphorePermit<'_>> {
        self.stops.acquire().await.ok()
    }

    /// Makes the starts that wait for a slot check whether they are still wanted.
    pub fn notify_starts(&self) {
        self.starts_changed.notify_waiters();
    }

    /// Returns a future that is ready once [`Self::notify_starts`] is called after this call.
    pub fn starts_changed(&self) -> Notified<'_> {
        self.starts_changed.notified()
    }

    /// Records that the executor answered a start.
    pub fn record_answered_start(&self) {
        self.unanswered_starts.set(0);
        self.starts_hang_until.set(Mono::ZERO);
    }

    /// Records that the executor left a start without an answer. Returns until when starts count as
    /// hanging, if they do.
    pub fn record_unanswered_start(&self, now: Mono) -> Option<Mono> {
        self.unanswered_starts.set(self.unanswered_starts.get() + 1);
        if self.unanswered_starts.get() < UNANSWERED_STARTS_BEFORE_HANG {
            return None;
        }
        let until = now.after(HANG_DURATION);
        self.starts_hang_until.set(until);
        self.notify_starts();
        Some(until)
    }

    /// Returns whether starts hang at the executor.
    pub fn starts_hang(&self, now: Mono) -> bool {
        now < self.starts_hang_until.get()
    }

    /// Returns the time limit for the next stop or change of a CPU share.
    ///
    /// A call that is broken off may not be executed at all. Over a link that is full, answers may
    /// take longer than the usual limit, and a command that is broken off each time never takes
    /// effect. A start keeps to the limit, because its task can go elsewhere.
    pub fn timeout(&self) -> Duration {
        COMMAND_TIMEOUT * 2_u32.pow(self.timeout_doublings.get())
    }

    /// Adapts the time limit to the outcome of an attempt: longer without an answer, and the usual
    /// one again after an answer that was in time for it.
    pub fn record_attempt<T>(&self, outcome: &CommandOutcome<T>, took: Duration) {
        match outcome {
            CommandOutcome::Unanswered => {
                let doublings = self.timeout_doublings.get() + 1;
                self.timeout_doublings
                    .set(doublings.min(MAX_TIMEOUT_DOUBLINGS));
            }
            CommandOutcome::Answered(_) if took < COMMAND_TIMEOUT => self.timeout_doublings.set(0),
            _ => {}
        }
    }
}
