//! Looks at executors that run something: extends their leases, hears of ends and of how tasks do.

use std::rc::Rc;
use std::time::Duration;

use job::fleet::ExecutorKey;

use super::Owner;
use crate::dependencies::PollError;
use crate::dependencies::PollRequest;
use crate::events;

/// How long an executor waits for an end before it answers.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The same where tasks that fill run beside tasks that serve, whose response times are watched.
const MIXED_POLL_WAIT: Duration = Duration::from_millis(500);
/// How long ends that are not stored yet may hold up the next look, which extends the leases.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(600);
/// How long orders under way may hold up the next look.
const MAX_COMMAND_WAIT: Duration = Duration::from_millis(300);
/// How often it is seen whether they were answered.
const COMMAND_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// The pause after a look that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Begins to look at each executor that has to be looked at.
pub fn ensure(owner: &Rc<Owner>) {
    if owner.shutdown.is_cancelled() {
        return;
    }
    let to_poll: Vec<ExecutorKey> = {
        let scheduler = owner.scheduler.borrow();
        let polled_executors = owner.polled_executors.borrow();
        scheduler
            .fleet
            .iter()
            .map(|(key, _)| key)
            .filter(|key| !polled_executors.contains(key) && needs_poll(&scheduler, *key))
            .collect()
    };
    for key in to_poll {
        owner.polled_executors.borrow_mut().insert(key);
        tokio::task::spawn_local(poll_until_idle(owner.clone(), key));
    }
}

/// An executor with nothing at work is not looked at, unless it has to be found out whether it
/// answers again.
fn needs_poll(scheduler: &job::book::Book, key: ExecutorKey) -> bool {
    scheduler.fleet.get(key).is_some_and(|executor| {
        let unreachable = executor.listed && !executor.reachable;
        let answers = !executor.listing.address.is_empty() && executor.clock.is_some();
        answers && (!executor.tasks.is_empty() || executor.has_untold_ends() || unreachable)
    })
}

async fn poll_until_idle(owner: Rc<Owner>, key: ExecutorKey) {
    while !owner.shutdown.is_cancelled() && needs_poll(&owner.scheduler.borrow(), key) {
        owner.wait_for_commit(key).await;
        owner.wait_for_commands(key).await;
        if owner.shutdown.is_cancelled() {
            break;
        }
        match owner.poll_once(key).await {
            Ok(()) => {}
            Err(PollError::Fenced) => owner.end("an executor obeys a higher epoch"),
            Err(PollError::WrongExecutor | PollError::Failed) => {
                owner.record_poll_failure(key);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
    owner.polled_executors.borrow_mut().remove(&key);
}

impl Owner {
    /// Ends that are listed again until they are acknowledged would answer the next look at once.
    async fn wait_for_commit(&self, key: ExecutorKey) {
        let limit = tokio::time::Instant::now() + MAX_COMMIT_WAIT;
        while self.has_unstored_ends(key) && !self.shutdown.is_cancelled() {
            let committed = self.committed.notified();
            if tokio::time::timeout_at(limit, committed).await.is_err() {
                return;
            }
        }
    }

    /// Ends cannot be acknowledged while an order is under way, and would be listed again at once.
    async fn wait_for_commands(&self, key: ExecutorKey) {
        let limit = tokio::time::Instant::now() + MAX_COMMAND_WAIT;
        while self.has_withheld_acknowledgement(key) && !self.shutdown.is_cancelled() {
            if tokio::time::Instant::now() >= limit {
                return;
            }
            tokio::time::sleep(COMMAND_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether an executor cannot be told yet of ends that are stored.
    fn has_withheld_acknowledgement(&self, key: ExecutorKey) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler.fleet.get(key).is_some_and(|executor| {
            executor.acknowledged > executor.told
                && scheduler.acknowledgement(key) < executor.acknowledged
        })
    }

    fn has_unstored_ends(&self, key: ExecutorKey) -> bool {
        self.scheduler
            .borrow()
            .fleet
            .get(key)
            .is_some_and(|executor| executor.heard > executor.acknowledged)
    }

    async fn poll_once(self: &Rc<Self>, key: ExecutorKey) -> Result<(), PollError> {
        let target = self.target(key).ok_or(PollError::Failed)?;
        let sent = self.now();
        let call = {
            let mut scheduler = self.scheduler.borrow_mut();
            let lease_deadline_ms = scheduler.grant(key, sent);
            PollRequest {
                target,
                lease_deadline_ms,
                acknowledged: scheduler.acknowledgement(key),
                wait: poll_wait(&scheduler, key),
            }
        };
        let acknowledged = call.acknowledged;
        let report = (self.node.dependencies.executors.poll)(call).await?;
        let now = self.now();
        {
            let mut scheduler = self.scheduler.borrow_mut();
            let was_reachable = scheduler
                .fleet
                .get(key)
                .is_some_and(|executor| executor.reachable);
            scheduler.report(key, &report, sent, now);
            scheduler.acknowledged(key, report.born_unix_ms.unwrap_or_default(), acknowledged);
            scheduler.learn_interference(key, now);
            scheduler.pace_after_report(key, now);
            scheduler.stop_stalled(key, now);
            if !was_reachable {
                log_reachability(&scheduler, key);
            }
        }
        self.dispatch_pending();
        Ok(())
    }

    fn record_poll_failure(self: &Rc<Self>, key: ExecutorKey) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let was_reachable = scheduler
            .fleet
            .get(key)
            .is_some_and(|executor| executor.reachable);
        scheduler.unreachable(key, now);
        if was_reachable {
            log_reachability(&scheduler, key);
        }
    }
}

fn log_reachability(scheduler: &job::book::Book, key: ExecutorKey) {
    if let Some(executor) = scheduler.fleet.get(key) {
        events::executor_reachability(
            &executor.listing.id,
            executor.reachable,
            executor.tasks.len(),
        );
    }
}

fn poll_wait(scheduler: &job::book::Book, key: ExecutorKey) -> Duration {
    let Some(executor) = scheduler.fleet.get(key) else {
        return POLL_WAIT;
    };
    if !executor.reachable || executor.heard > executor.acknowledged {
        return Duration::ZERO;
    }
    let first_poll = executor
        .tasks
        .iter()
        .any(|task| scheduler.is_inherited(*task));
    if first_poll {
        return Duration::ZERO;
    }
    if executor.lasting_cpu > 0 && executor.filling_cpu > 0 {
        return MIXED_POLL_WAIT;
    }
    POLL_WAIT
}
