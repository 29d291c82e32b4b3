//! Limits the concurrent commands to an executor.

use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::futures::Notified;

/// Maximum number of concurrent starts and changes of CPU shares at one executor.
const MAX_CONCURRENT_COMMANDS: usize = 2;
/// Maximum number of concurrent stops at one executor.
const MAX_CONCURRENT_STOPS: usize = 2;

/// The command slots of one executor.
///
/// Stops have slots of their own: a start that the executor does not answer holds a slot for the
/// time limit of the call, and a stop must not wait for it.
pub struct CommandSlots {
    commands: Semaphore,
    stops: Semaphore,
    /// Notified when starts that wait for a slot may no longer be wanted.
    starts_changed: Notify,
}

impl Default for CommandSlots {
    fn default() -> Self {
        Self {
            commands: Semaphore::new(MAX_CONCURRENT_COMMANDS),
            stops: Semaphore::new(MAX_CONCURRENT_STOPS),
            starts_changed: Notify::new(),
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
}
