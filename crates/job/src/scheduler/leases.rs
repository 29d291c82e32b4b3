//! The leases of executors: those that this owner grants, and those that a previous owner or another
//! incarnation may have left.

use std::time::Duration;

use model::Mono;

use super::Scheduler;
use crate::fleet::ClockReading;
use crate::fleet::ExecutorKey;

impl Scheduler {
    /// Returns the deadline, on the executor's clock, of the lease that a call sent now grants.
    ///
    /// An unreachable executor is granted no lease: each attempt would extend the lease that has to
    /// expire before its tasks may start elsewhere. Nor is one that may be stored as silent, because a
    /// successor counts on that. Nor is one that recovers from withheld ends while it
    /// is empty or has only a probe, because its lease has to expire ([`crate::ack_recovery`]), nor one
    /// whose next report may be the first to show such ends.
    pub fn grant_lease(&mut self, key: ExecutorKey, now: Mono) -> Option<u64> {
        let executor = self.fleet.get(key)?;
        let must_expire = executor
            .recovery
            .is_some_and(|recovery| recovery.probing || executor.tasks.is_empty());
        if must_expire || executor.report_due_since.is_some() {
            return None;
        }
        let lease = executor.lease_of_next_call(self.timing.lease);
        self.grant_lease_of(key, lease, now)
    }

    /// Like [`Self::grant_lease`], with a lease of this duration.
    pub(super) fn grant_lease_of(
        &mut self,
        key: ExecutorKey,
        lease: Duration,
        now: Mono,
    ) -> Option<u64> {
        let lease = lease.min(self.grants_until.since(now));
        let executor = self.fleet.get_mut(key)?;
        if !executor.reachable || executor.leases_withheld || lease.is_zero() {
            return None;
        }
        let clock = executor.clock?;
        let deadline = clock.deadline(now, lease);
        executor.extend_own_leases(clock.deadline_passed_at(deadline));
        Some(deadline)
    }

    /// Records that a previous owner may send commands until `sends_until`, and may have granted
    /// leases that expire by `until`.
    pub fn inherit_leases(&mut self, sends_until: Mono, until: Mono) {
        self.previous_owner_sends_until = sends_until;
        self.previous_owner_may_send = true;
        for (_, executor) in self.fleet.iter_mut() {
            if !executor.tasks.is_empty() {
                executor.inherited_leases_expire_at = until;
                executor.leases_expire_at = executor.leases_expire_at.max(until);
            }
        }
    }

    /// Records that the previous owner sends no commands after `stopped`, which may lie ahead, so that
    /// the leases it granted expire by `until`.
    ///
    /// A poll that was sent earlier does not prove that an inherited run cannot start any more: the
    /// previous owner may have sent its command after the executor answered, and a restarted
    /// executor would have accepted it.
    pub fn previous_owner_stopped(&mut self, stopped: Mono, until: Mono, now: Mono) {
        let sends_until = stopped.after(Duration::from_millis(1));
        self.previous_owner_sends_until = self.previous_owner_sends_until.min(sends_until);
        self.previous_owner_may_send &= stopped > now;
        for (_, executor) in self.fleet.iter_mut() {
            executor.limit_inherited_leases(until);
        }
        self.silence.mark_changed();
    }

    /// Extends the expiry of an executor's leases to the longest lease that an executor accepts, if a new
    /// incarnation may have received a deadline that was computed for the clock of the previous one. Only
    /// this maximum limits its lease then. A call that names its incarnation reaches no other
    /// (`docs/design/calls-to-one-incarnation.md`).
    pub(super) fn assume_max_lease(&mut self, key: ExecutorKey, now: Mono) {
        let names_incarnations = self
            .fleet
            .get(key)
            .is_some_and(|executor| executor.listing.started_unix_ms != 0);
        if names_incarnations && !self.calls_may_stray {
            return;
        }
        let longest = self.timing.max_lease;
        if let Some(executor) = self.fleet.get_mut(key) {
            let clock = ClockReading {
                executor_ms: 0,
                at: now,
            };
            let until = clock.deadline_passed_at(clock.deadline(now, longest));
            executor.extend_own_leases(until);
        }
    }
}
