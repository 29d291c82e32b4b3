//! Executors that are listed, answer, drain or become unreachable.

use std::time::Duration;

use model::Mono;

use super::LossReason;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ClockReading;
use crate::fleet::ExecutorKey;
use crate::fleet::Listing;
use crate::task::StartState;
use crate::task::Task;

/// How long an executor without tasks is remembered while the executor list holds an entry of an earlier
/// incarnation. An executor that still writes it then is the current one: its system clock was set back.
const STALE_ENTRY_TIMEOUT: Duration = Duration::from_secs(10);

impl Scheduler {
    /// Processes the whole executor list; each entry comes with the executor's clock in
    /// milliseconds. An entry of a service that the document does not name is set aside
    /// ([`Self::unnamed_entries`]).
    pub fn update_executors(&mut self, listings: Vec<(Listing, u64)>, now: Mono) {
        self.listed_at = now;
        for (_, executor) in self.fleet.iter_mut() {
            executor.listed = false;
        }
        for (listing, clock_ms) in self.set_unnamed_aside(listings) {
            self.update_executor(listing, clock_ms, now);
        }
        let removed: Vec<ExecutorKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| !executor.listed && executor.tasks.is_empty())
            .filter(|(_, executor)| !executor.leases_withheld)
            .filter(|(_, executor)| {
                let stale_since = executor.stale_entry_since;
                stale_since.is_none_or(|since| now.since(since) >= STALE_ENTRY_TIMEOUT)
            })
            .filter(|(_, executor)| {
                let mut losses = executor.unexplained_losses.iter();
                executor.is_replaced || !losses.any(|loss| loss.is_open(now))
            })
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            self.fleet.remove(key);
        }
        self.conclude_from_list(now);
    }

    /// Draws the conclusions from the list that concern several executors.
    pub(super) fn conclude_from_list(&mut self, now: Mono) {
        self.find_replaced_executors(now);
        self.ask_listed_successors(now);
        self.find_evacuation_problems();
        self.find_cold_services(now);
        if self.timing.remote_slowdown > 1.0 {
            crate::rack::assign_racks(&mut self.fleet);
        }
    }

    /// Processes an entry of the newest list, with the executor's clock in milliseconds when that was read.
    pub(super) fn update_executor(&mut self, listing: Listing, clock_ms: u64, now: Mono) {
        let read_at = self.listed_at;
        let key = self.fleet.intern(&listing.id);
        let started_unix_ms = listing.started_unix_ms;
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        if started_unix_ms < executor.newest_start_unix_ms() {
            executor.stale_entry_since.get_or_insert(now);
            return;
        }
        let known = executor.listing.started_unix_ms;
        if executor.tasks.is_empty() {
            if self.begin_incarnation(key, started_unix_ms) {
                let suspects = self.take_unexplained_losses(key);
                self.count_crash(key, &suspects);
            }
        } else if started_unix_ms > known {
            self.announce_incarnation(key, started_unix_ms, now);
        }
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        let started_unix_ms = executor.listing.started_unix_ms;
        if listing.draining && !executor.listing.draining {
            executor.draining_since = Some(now);
        }
        if listing.draining && listing.started_unix_ms == executor.listing.started_unix_ms {
            executor.announced_departure = true;
        }
        let known_address = &executor.listing.address;
        if !known_address.is_empty() && *known_address != listing.address {
            executor.address_changed_at = Some(now);
        }
        executor.entry_started_unix_ms = listing.started_unix_ms;
        executor.stale_entry_since = None;
        executor.listing = listing;
        executor.listing.started_unix_ms = started_unix_ms;
        executor.evacuated = self.evacuations.contains(&executor.listing.data_centre);
        executor.listed = true;
        if executor.clock.is_none() {
            executor.clock = Some(ClockReading {
                executor_ms: clock_ms,
                at: read_at,
            });
            self.silence.executor_answered(executor);
            if self.has_unlocated_runs {
                executor.report_due_since = Some(now);
            }
        }
        self.update_warmth(key, clock_ms, read_at);
    }

    /// Records that an executor answered a command, together with the reading of its clock. An answer of an
    /// `incarnation` that has ended is ignored: a deadline on its clock would give the present one the
    /// longest lease. If no incarnation is named, a clock that fell behind shows a new one. If one is, it
    /// shows that the answer came late, and its reading is ignored: leases computed from it would be too short.
    pub fn command_answered(
        &mut self,
        key: ExecutorKey,
        incarnation: Option<u64>,
        clock_ms: u64,
        now: Mono,
    ) {
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        if incarnation.is_some_and(|started| started != executor.listing.started_unix_ms) {
            return;
        }
        let reading = ClockReading {
            executor_ms: clock_ms,
            at: now,
        };
        let known = executor.clock;
        let is_behind = known.is_some_and(|known| !known.is_continued_by(&reading));
        if !is_behind || incarnation.is_none() {
            executor.clock = Some(reading);
        }
        executor.answered_at = now;
        self.silence.executor_answered(executor);
        executor.is_replaced = false;
        executor.asked_successors.clear();
        executor.unexplained_losses.clear();
        executor.failing_since = None;
        if is_behind && incarnation.is_none() {
            executor.incarnation_uncertain_since.get_or_insert(now);
            self.poll_candidates.push(key);
            self.assume_max_lease(key, now);
        }
    }

    /// Records that an executor has received the acknowledgement of its ended runs up to
    /// `sequence`.
    pub fn acknowledgement_confirmed(
        &mut self,
        key: ExecutorKey,
        started_unix_ms: u64,
        sequence: u64,
    ) {
        if let Some(executor) = self.fleet.get_mut(key)
            && executor.listing.started_unix_ms == started_unix_ms
        {
            executor.ends_acknowledged = executor.ends_acknowledged.max(sequence);
        }
    }

    /// Returns the sequence number up to which ended runs may be acknowledged to an executor.
    /// Returns 0 while a start command is in flight or the incarnation is uncertain, because a new
    /// incarnation would apply the number to its own ended runs. Returns 0 as well while the executor
    /// may list ends of inherited runs and the previous owner may repeat its start commands: an
    /// executor that starts anew would carry them out.
    #[must_use]
    pub fn acknowledgement(&self, key: ExecutorKey) -> u64 {
        let Some(executor) = self.fleet.get(key) else {
            return 0;
        };
        let in_flight = executor.tasks.iter().any(|task| {
            self.task(*task)
                .and_then(Task::assignment)
                .is_some_and(|assignment| {
                    matches!(
                        assignment.start_state,
                        StartState::Sent | StartState::Inherited
                    )
                })
        });
        let may_repeat = self.previous_owner_may_send && executor.had_inherited_tasks();
        if in_flight || may_repeat || executor.incarnation_uncertain_since.is_some() {
            return 0;
        }
        executor.ends_acknowledgeable()
    }

    /// Removes and returns the executors that may have to be polled because of changes since the
    /// last call. An executor may be listed more than once.
    pub fn take_poll_candidates(&mut self) -> Vec<ExecutorKey> {
        std::mem::take(&mut self.poll_candidates)
    }

    /// Records that a call to an executor failed.
    pub fn mark_unreachable(&mut self, key: ExecutorKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(key) {
            if executor.reachable && !executor.tasks.is_empty() {
                self.silence.mark_changed();
            }
            executor.reachable = false;
            executor.failing_since.get_or_insert(now);
            self.poll_candidates.push(key);
        }
    }

    /// Runs periodic work: releases the tasks of unreachable executors whose leases have expired,
    /// migrates tasks off draining executors, keeps executors for
    /// short work, lets long-running tasks take turns, removes ended jobs and waits for places from
    /// memory, and records which services have free capacity and which have cold executors.
    pub fn tick(&mut self, now: Mono) {
        self.previous_owner_may_send &= now < self.previous_owner_sends_until;
        self.retire(now);
        self.retry_set_aside(now);
        self.find_idle_services();
        self.find_cold_services(now);
        self.keep_executors_for_short_work(now);
        self.take_turns(now);
        self.tidy_place_waits(now);
        let expired: Vec<TaskKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| !executor.reachable && executor.leases_expire_at <= now)
            .flat_map(|(_, executor)| executor.tasks.iter().copied())
            .filter(|key| !self.is_storing(*key))
            .collect();
        for key in expired {
            self.record_unexplained_loss(key, now);
            self.note_silent_interruption(key, now);
            self.lose_run(key, LossReason::LeaseExpired, now);
        }
        self.release_replaced(now);
        self.recover_executors(now);
        let migrating: Vec<TaskKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| executor.listing.draining)
            .flat_map(|(_, executor)| executor.tasks.iter().copied())
            .filter(|key| self.should_migrate(*key, now))
            .collect();
        for key in migrating {
            self.stop(key);
        }
    }

    pub(super) fn is_storing(&self, key: TaskKey) -> bool {
        self.task(key)
            .and_then(|task| task.assignment())
            .is_none_or(|assignment| assignment.start_state == StartState::Storing)
    }

    /// Returns whether a task on a draining executor has to migrate because it is long-running or
    /// would not end before the executor shuts down.
    fn should_migrate(&self, key: TaskKey, now: Mono) -> bool {
        let Some(assignment) = self.task(key).and_then(|task| task.assignment()) else {
            return false;
        };
        let Some(job) = self.job(key.job) else {
            return false;
        };
        let Some(step) = self.step(key) else {
            return false;
        };
        if assignment.stopping || assignment.start_state == StartState::Storing {
            return false;
        }
        if step.long_running {
            return true;
        }
        let Some(executor) = self.fleet.get(assignment.executor) else {
            return false;
        };
        let since = executor.draining_since.unwrap_or(now);
        let time_left = executor
            .listing
            .drain_remaining
            .unwrap_or_default()
            .saturating_sub(now.since(since));
        let expected = Duration::from_millis(self.durations.expected_ms(&job.queue, step));
        let remaining = expected.saturating_sub(now.since(assignment.assigned_at));
        remaining > time_left && remaining > self.timing.stop_timeout
    }
}
