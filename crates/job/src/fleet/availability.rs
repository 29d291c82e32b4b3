//! Whether an executor accepts tasks, and whether it needs polls.

use model::Mono;

use super::Executor;
use crate::task::Assignment;

impl Executor {
    /// Returns whether new tasks may be placed on the executor.
    #[must_use]
    pub fn accepts_tasks(&self, now: Mono) -> bool {
        self.listed
            && self.reachable
            && self.has_current_entry()
            && !self.listing.draining
            && !self.evacuated
            && now >= self.not_before
            && self.report_due_since.is_none()
            && !self.leases_withheld
            && self.can_list_another_end()
            && (self.recovery.is_none() || (self.tasks.is_empty() && now >= self.leases_expire_at))
    }

    /// Returns whether the list entry is that of the current incarnation, as far as is known. An
    /// executor may start again under its name as another kind, with other labels, another capacity or
    /// for another service. A poll shows the new incarnation, but not its kind, before the executor
    /// list does. While the list cannot be read, such an executor therefore gets no tasks.
    #[must_use]
    pub const fn has_current_entry(&self) -> bool {
        self.incarnation_uncertain_since.is_none()
            && self.entry_started_unix_ms >= self.listing.started_unix_ms
    }

    /// Returns whether the executor was chosen for a task by its present list entry, and that is the
    /// entry of the current incarnation.
    pub(crate) const fn is_still_chosen_by_entry(&self, assignment: &Assignment) -> bool {
        self.has_current_entry() && self.entry_started_unix_ms == assignment.entry_started_unix_ms
    }

    /// Returns the start time of the newest incarnation that the executor list or a poll has shown, in
    /// milliseconds since 1970.
    pub(crate) fn newest_start_unix_ms(&self) -> u64 {
        let announced = self.entry_started_unix_ms;
        announced.max(self.listing.started_unix_ms)
    }

    /// Returns whether the executor needs polls: it has tasks or ended runs to acknowledge, or it is
    /// listed and unreachable, may list the end of a run that was abandoned or may be a new incarnation.
    #[must_use]
    pub fn needs_poll(&self) -> bool {
        let is_due = !self.reachable
            || self.report_due_since.is_some()
            || self.incarnation_uncertain_since.is_some();
        !self.tasks.is_empty() || self.has_unacknowledged_ends() || (self.listed && is_due)
    }
}
