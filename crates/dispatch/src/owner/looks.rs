//! Looks at executors that run something: extends their leases, hears of ends and of how tasks do.

use std::rc::Rc;
use std::time::Duration;

use job::fleet::ExecutorKey;

use super::Owner;
use crate::events;
use crate::outside::LookCall;
use crate::outside::LookError;

/// How long an executor waits for an end before it answers.
const WAIT: Duration = Duration::from_millis(1_000);
/// The same where tasks that fill run beside tasks that serve, whose response times are watched.
const WATCHED_WAIT: Duration = Duration::from_millis(500);
/// How long ends that are not stored yet may hold up the next look, which extends the leases.
const STORE_WAIT: Duration = Duration::from_millis(600);
/// How long orders under way may hold up the next look.
const ANSWER_WAIT: Duration = Duration::from_millis(300);
/// How often it is seen whether they were answered.
const ANSWER_POLL: Duration = Duration::from_millis(15);
/// The pause after a look that failed.
const RETRY: Duration = Duration::from_millis(200);

/// Begins to look at each executor that has to be looked at.
pub fn ensure(owner: &Rc<Owner>) {
    if owner.stop.is_cancelled() {
        return;
    }
    let wanted: Vec<ExecutorKey> = {
        let book = owner.book.borrow();
        let looking = owner.looking.borrow();
        book.fleet
            .iter()
            .map(|(key, _)| key)
            .filter(|key| !looking.contains(key) && needs_look(&book, *key))
            .collect()
    };
    for key in wanted {
        owner.looking.borrow_mut().insert(key);
        tokio::task::spawn_local(look(owner.clone(), key));
    }
}

/// An executor with nothing at work is not looked at, unless it has to be found out whether it
/// answers again.
fn needs_look(book: &job::scheduler::Scheduler, key: ExecutorKey) -> bool {
    book.fleet.get(key).is_some_and(|executor| {
        let doubted = executor.listed && !executor.reachable;
        let answers = !executor.listing.address.is_empty() && executor.clock.is_some();
        answers && (!executor.tasks.is_empty() || executor.has_unacknowledged_ends() || doubted)
    })
}

async fn look(owner: Rc<Owner>, key: ExecutorKey) {
    while !owner.stop.is_cancelled() && needs_look(&owner.book.borrow(), key) {
        owner.wait_until_stored(key).await;
        owner.wait_until_answered(key).await;
        if owner.stop.is_cancelled() {
            break;
        }
        match owner.look_once(key).await {
            Ok(()) => {}
            Err(LookError::Fenced) => owner.end("an executor obeys a higher epoch"),
            Err(LookError::Elsewhere | LookError::Failed) => {
                owner.look_failed(key);
                tokio::time::sleep(RETRY).await;
            }
        }
    }
    owner.looking.borrow_mut().remove(&key);
}

impl Owner {
    /// Ends that are listed again until they are acknowledged would answer the next look at once.
    async fn wait_until_stored(&self, key: ExecutorKey) {
        let limit = tokio::time::Instant::now() + STORE_WAIT;
        while self.has_unstored_ends(key) && !self.stop.is_cancelled() {
            let stored = self.stored.notified();
            if tokio::time::timeout_at(limit, stored).await.is_err() {
                return;
            }
        }
    }

    /// Ends cannot be acknowledged while an order is under way, and would be listed again at once.
    async fn wait_until_answered(&self, key: ExecutorKey) {
        let limit = tokio::time::Instant::now() + ANSWER_WAIT;
        while self.withholds(key) && !self.stop.is_cancelled() {
            if tokio::time::Instant::now() >= limit {
                return;
            }
            tokio::time::sleep(ANSWER_POLL).await;
        }
    }

    /// Returns whether an executor cannot be told yet of ends that are stored.
    fn withholds(&self, key: ExecutorKey) -> bool {
        let book = self.book.borrow();
        book.fleet.get(key).is_some_and(|executor| {
            executor.ends_stored > executor.ends_acknowledged
                && book.acknowledgement(key) < executor.ends_stored
        })
    }

    fn has_unstored_ends(&self, key: ExecutorKey) -> bool {
        self.book
            .borrow()
            .fleet
            .get(key)
            .is_some_and(|executor| executor.ends_received > executor.ends_stored)
    }

    async fn look_once(self: &Rc<Self>, key: ExecutorKey) -> Result<(), LookError> {
        let target = self.target(key).ok_or(LookError::Failed)?;
        let sent = self.now();
        let call = {
            let mut book = self.book.borrow_mut();
            let deadline_ms = book.grant_lease(key, sent);
            LookCall {
                target,
                deadline_ms,
                acknowledged: book.acknowledgement(key),
                wait: wait(&book, key),
            }
        };
        let acknowledged = call.acknowledged;
        let report = (self.node.outside.executors.look)(call).await?;
        let now = self.now();
        {
            let mut book = self.book.borrow_mut();
            let was_reachable = book
                .fleet
                .get(key)
                .is_some_and(|executor| executor.reachable);
            book.report(key, &report, sent, now);
            book.acknowledgement_confirmed(
                key,
                report.started_unix_ms.unwrap_or_default(),
                acknowledged,
            );
            book.learn_interference(key, now);
            book.throttle_after_report(key, now);
            book.stop_stalled(key, now);
            if !was_reachable {
                log_executor(&book, key);
            }
        }
        self.after_event();
        Ok(())
    }

    fn look_failed(self: &Rc<Self>, key: ExecutorKey) {
        let now = self.now();
        let mut book = self.book.borrow_mut();
        let was_reachable = book
            .fleet
            .get(key)
            .is_some_and(|executor| executor.reachable);
        book.mark_unreachable(key, now);
        if was_reachable {
            log_executor(&book, key);
        }
    }
}

fn log_executor(book: &job::scheduler::Scheduler, key: ExecutorKey) {
    if let Some(executor) = book.fleet.get(key) {
        events::executor(
            &executor.listing.id,
            executor.reachable,
            executor.tasks.len(),
        );
    }
}

fn wait(book: &job::scheduler::Scheduler, key: ExecutorKey) -> Duration {
    let Some(executor) = book.fleet.get(key) else {
        return WAIT;
    };
    if !executor.reachable || executor.ends_received > executor.ends_stored {
        return Duration::ZERO;
    }
    let first_look = executor.tasks.iter().any(|task| book.is_inherited(*task));
    if first_look {
        return Duration::ZERO;
    }
    if executor.long_running_cpu_millis > 0 && executor.best_effort_cpu_millis > 0 {
        return WATCHED_WAIT;
    }
    WAIT
}
