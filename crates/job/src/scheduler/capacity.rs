//! Services whose executors execute every start, whether it fits or not.
//!
//! The executor list is all that tells the capacity of such an executor, which may shrink while it
//! runs. See "Capacity" in `docs/JOBS.md`.

use std::time::Duration;

use model::Mono;

use super::Scheduler;
use crate::fleet::Executor;

/// How old the executor list may be when a task is placed by it.
const MAX_LIST_AGE: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Returns the time since the newest executor list arrived.
    pub(crate) fn list_age(&self, now: Mono) -> Duration {
        now.since(self.listed_at)
    }

    /// Returns whether the free resources of a service's executors are known well enough to place a
    /// task there.
    pub(crate) fn knows_capacity(&self, service: &str, now: Mono) -> bool {
        self.list_age(now) <= MAX_LIST_AGE || self.refuses_overcommit(service)
    }

    /// Returns whether the tasks assigned to an executor exceed its capacity although it would
    /// execute them all.
    pub(super) fn is_overcommitted(&self, executor: &Executor) -> bool {
        !executor.used.fits(&executor.listing.capacity)
            && !self.refuses_overcommit(&executor.listing.service)
    }

    fn refuses_overcommit(&self, service: &str) -> bool {
        let service = self.plan.services.get(service);
        service.is_some_and(|service| service.refuses_overcommit)
    }
}
