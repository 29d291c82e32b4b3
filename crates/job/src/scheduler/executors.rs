//! Executors that appear, leave, start again, or cannot be reached.

use std::time::Duration;

use model::Mono;

use super::LossReason;
use super::Report;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::ClockReading;
use crate::fleet::ExecutorKey;
use crate::fleet::Listing;
use crate::task::StartState;
use crate::task::Task;

impl Scheduler {
    /// Takes in the whole list of executors, each with what its clock showed.
    pub fn update_executors(&mut self, listings: Vec<(Listing, u64)>, now: Mono) {
        for (_, executor) in self.fleet.iter_mut() {
            executor.listed = false;
        }
        for (listing, clock_ms) in listings {
            self.update_executor(listing, clock_ms, now);
        }
        let gone: Vec<ExecutorKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| !executor.listed && executor.tasks.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.fleet.remove(key);
        }
    }

    fn update_executor(&mut self, listing: Listing, clock_ms: u64, now: Mono) {
        let key = self.fleet.intern(&listing.id);
        let started_unix_ms = listing.started_unix_ms;
        let known = self
            .fleet
            .get(key)
            .map_or(0, |executor| executor.listing.started_unix_ms);
        if started_unix_ms < known {
            return;
        }
        let has_tasks = self
            .fleet
            .get(key)
            .is_some_and(|executor| !executor.tasks.is_empty());
        if !has_tasks {
            self.begin_incarnation(key, started_unix_ms);
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
        executor.listing = listing;
        executor.listing.started_unix_ms = started_unix_ms;
        executor.listed = true;
        if executor.clock.is_none() {
            executor.clock = Some(ClockReading {
                executor_ms: clock_ms,
                at: now,
            });
            executor.reachable = true;
        }
    }

    /// Takes in that an executor answered an order, and what its clock showed. The answer does not say
    /// which life gave it, but a clock that fell behind begins with another one.
    pub fn command_answered(&mut self, key: ExecutorKey, clock_ms: u64, now: Mono) {
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        let reading = ClockReading {
            executor_ms: clock_ms,
            at: now,
        };
        let known = executor.clock.replace(reading);
        executor.reachable = true;
        executor.failing_since = None;
        if known.is_some_and(|known| !known.is_continued_by(&reading)) {
            executor.incarnation_uncertain_since.get_or_insert(now);
            self.assume_max_lease(key, now);
        }
    }

    /// Takes in which life of an executor gave a report that was asked for at `sent`. Returns whether
    /// the report is worth anything: one of an earlier life is not.
    pub(super) fn accept_report(
        &mut self,
        key: ExecutorKey,
        report: &Report,
        sent: Mono,
        now: Mono,
    ) -> bool {
        let Some(executor) = self.fleet.get_mut(key) else {
            return false;
        };
        let earlier = executor.listing.started_unix_ms;
        let started_unix_ms = report.started_unix_ms.unwrap_or(earlier);
        if started_unix_ms < earlier {
            return false;
        }
        executor.reachable = true;
        executor.failing_since = None;
        if executor
            .incarnation_uncertain_since
            .is_some_and(|since| since < sent)
        {
            executor.incarnation_uncertain_since = None;
        }
        let tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
        if self.begin_incarnation(key, started_unix_ms) && earlier != 0 {
            self.assume_max_lease(key, now);
        }
        if let Some(executor) = self.fleet.get_mut(key) {
            executor.clock = Some(ClockReading {
                executor_ms: report.clock_ms,
                at: now,
            });
        }
        if earlier != 0 && started_unix_ms > earlier {
            for task in tasks {
                self.lose_with_incarnation(task, report, sent, now);
            }
        }
        true
    }

    /// Notes that the list tells of a new life of an executor. Which of the tasks it has, only a look
    /// tells.
    fn announce_incarnation(&mut self, key: ExecutorKey, started_unix_ms: u64, now: Mono) {
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        if started_unix_ms > executor.announced_start_unix_ms {
            executor.announced_start_unix_ms = started_unix_ms;
            self.assume_max_lease(key, now);
        }
    }

    /// Notes that an executor was told of ends up to a number, as they are stored.
    pub fn acknowledgement_confirmed(
        &mut self,
        key: ExecutorKey,
        started_unix_ms: u64,
        number: u64,
    ) {
        if let Some(executor) = self.fleet.get_mut(key)
            && executor.listing.started_unix_ms == started_unix_ms
        {
            executor.ends_acknowledged = executor.ends_acknowledged.max(number);
        }
    }

    /// Notes which life of an executor there is; what was known of an earlier one is void. Returns
    /// whether it is a new one.
    fn begin_incarnation(&mut self, key: ExecutorKey, started_unix_ms: u64) -> bool {
        let Some(executor) = self.fleet.get_mut(key) else {
            return false;
        };
        if started_unix_ms <= executor.listing.started_unix_ms {
            return false;
        }
        executor.listing.started_unix_ms = started_unix_ms;
        executor.clock = None;
        executor.ends_acknowledged = 0;
        executor.ends_stored = 0;
        executor.ends_received = 0;
        executor.failed_jobs.clear();
        executor.failing_since = None;
        true
    }

    /// Notes that a new life may have taken over a deadline that was meant for the clock of the life
    /// before, so that only the longest lease that executors grant bounds it.
    fn assume_max_lease(&mut self, key: ExecutorKey, now: Mono) {
        let longest = self.timing.max_lease;
        if let Some(executor) = self.fleet.get_mut(key) {
            let clock = ClockReading {
                executor_ms: 0,
                at: now,
            };
            let until = clock.deadline_passed_at(clock.deadline(now, longest));
            executor.leases_expire_at = executor.leases_expire_at.max(until);
        }
    }

    /// Returns the number of the newest end that an executor may be told is stored: none while an order
    /// is under way or its life is in doubt, since a new life would take the number for one of its own.
    #[must_use]
    pub fn acknowledgement(&self, key: ExecutorKey) -> u64 {
        let Some(executor) = self.fleet.get(key) else {
            return 0;
        };
        let under_way = executor.tasks.iter().any(|task| {
            self.task(*task)
                .and_then(Task::assignment)
                .is_some_and(|at| {
                    matches!(at.start_state, StartState::Sent | StartState::Inherited)
                })
        });
        if under_way || executor.incarnation_uncertain_since.is_some() {
            return 0;
        }
        executor.ends_stored
    }

    /// Releases a task that a new life of its executor does not have. An order to the earlier life may
    /// still reach the new one, and is stopped there; what was confirmed after the report was asked
    /// for may be the new life's.
    fn lose_with_incarnation(&mut self, key: TaskKey, report: &Report, sent: Mono, now: Mono) {
        let Some(id) = self.task_id(key) else {
            return;
        };
        let Some((run, at)) = self
            .task(key)
            .and_then(|task| Some((task.run, task.assignment()?)))
        else {
            return;
        };
        if report.contains(id, run) {
            return;
        }
        let may_arrive = at.start_state == StartState::Sent || at.start_unanswered;
        match at.start_state {
            StartState::Storing => {}
            StartState::Confirmed(since) if since >= sent => {}
            _ if may_arrive => {
                // That it was confirmed by the earlier life says nothing of the new one.
                if let Some(at) = self.assignment_mut(key) {
                    at.start_state = StartState::Sent;
                }
                self.stop(key);
            }
            _ => self.lose_run(key, LossReason::ExecutorRestarted, now),
        }
    }

    /// Notes that a call to an executor failed.
    pub fn mark_unreachable(&mut self, key: ExecutorKey, now: Mono) {
        if let Some(executor) = self.fleet.get_mut(key) {
            executor.reachable = false;
            executor.failing_since.get_or_insert(now);
        }
    }

    /// Returns the deadline, on the executor's clock, of the lease that a call sent now grants.
    ///
    /// An executor that does not answer is granted nothing: each try would extend the lease that has
    /// to lapse before its tasks may start elsewhere.
    pub fn grant_lease(&mut self, key: ExecutorKey, now: Mono) -> Option<u64> {
        let lease = self.timing.lease;
        let executor = self.fleet.get_mut(key)?;
        if !executor.reachable {
            return None;
        }
        let clock = executor.clock?;
        let deadline = clock.deadline(now, lease);
        executor.leases_expire_at = executor
            .leases_expire_at
            .max(clock.deadline_passed_at(deadline));
        Some(deadline)
    }

    /// Notes that an earlier owner may send orders until `sends_until`, and may have granted leases that
    /// run until `until`.
    pub fn inherit_leases(&mut self, sends_until: Mono, until: Mono) {
        self.previous_owner_sends_until = sends_until;
        for (_, executor) in self.fleet.iter_mut() {
            let inherited = executor.tasks.len();
            if inherited > 0 && executor.leases_expire_at < until {
                executor.leases_expire_at = until;
            }
        }
    }

    /// Notes that the earlier owner sends nothing any more: what it granted lapses by `until`.
    pub fn previous_owner_stopped(&mut self, until: Mono, assumed: Mono) {
        self.previous_owner_sends_until = Mono::ZERO;
        for (_, executor) in self.fleet.iter_mut() {
            if executor.leases_expire_at == assumed && until < assumed {
                executor.leases_expire_at = until;
            }
        }
    }

    /// Releases tasks of executors that cannot be reached and whose leases have certainly lapsed,
    /// moves tasks off executors that are about to leave, and lets go of jobs that have ended.
    pub fn tick(&mut self, now: Mono) {
        self.retire(now);
        let lapsed: Vec<TaskKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| !executor.reachable && executor.leases_expire_at <= now)
            .flat_map(|(_, executor)| executor.tasks.iter().copied())
            .filter(|key| !self.is_storing(*key))
            .collect();
        for key in lapsed {
            self.lose_run(key, LossReason::LeaseExpired, now);
        }
        let leaving: Vec<TaskKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| executor.listing.draining)
            .flat_map(|(_, executor)| executor.tasks.iter().copied())
            .filter(|key| self.should_migrate(*key, now))
            .collect();
        for key in leaving {
            self.stop(key);
        }
    }

    fn is_storing(&self, key: TaskKey) -> bool {
        self.task(key)
            .and_then(|task| task.assignment())
            .is_none_or(|at| at.start_state == StartState::Storing)
    }

    /// Returns whether a task on an executor that is about to leave would not end in time.
    fn should_migrate(&self, key: TaskKey, now: Mono) -> bool {
        let Some(at) = self.task(key).and_then(|task| task.assignment()) else {
            return false;
        };
        let Some(job) = self.job(key.job) else {
            return false;
        };
        let Some(step) = self.step(key) else {
            return false;
        };
        if at.stopping || at.start_state == StartState::Storing {
            return false;
        }
        if step.long_running {
            return true;
        }
        let Some(executor) = self.fleet.get(at.executor) else {
            return false;
        };
        let since = executor.draining_since.unwrap_or(now);
        let stays = executor
            .listing
            .drain_remaining
            .unwrap_or_default()
            .saturating_sub(now.since(since));
        let expected = Duration::from_millis(self.durations.expected_ms(&job.queue, step));
        let remaining = expected.saturating_sub(now.since(at.assigned_at));
        remaining > stays && remaining > self.timing.stop_timeout
    }

    /// Reserves a task's room on an executor.
    pub(crate) fn allocate(&mut self, key: TaskKey, executor: ExecutorKey) {
        let Some(step) = self.step(key) else {
            return;
        };
        let allocated_size = step.allocated_size();
        let cpu = step.size.cpu_millis;
        let (long_running, best_effort) = (step.long_running, step.best_effort);
        if let Some(executor) = self.fleet.get_mut(executor) {
            executor.tasks.insert(key);
            executor.used += allocated_size;
            if best_effort {
                executor.best_effort_cpu_millis += cpu;
            } else if long_running {
                executor.long_running_cpu_millis += cpu;
            } else {
                executor.batch_cpu_millis += cpu;
            }
        }
    }

    /// Gives a task's room back.
    pub(crate) fn deallocate(&mut self, key: TaskKey, executor: ExecutorKey) {
        let Some(step) = self.step(key) else {
            return;
        };
        let allocated_size = step.allocated_size();
        let cpu = step.size.cpu_millis;
        let (long_running, best_effort) = (step.long_running, step.best_effort);
        if let Some(executor) = self.fleet.get_mut(executor)
            && executor.tasks.remove(&key)
        {
            executor.used = executor.used.saturating_sub(&allocated_size);
            if best_effort {
                executor.best_effort_cpu_millis =
                    executor.best_effort_cpu_millis.saturating_sub(cpu);
            } else if long_running {
                executor.long_running_cpu_millis =
                    executor.long_running_cpu_millis.saturating_sub(cpu);
            } else {
                executor.batch_cpu_millis = executor.batch_cpu_millis.saturating_sub(cpu);
            }
        }
    }
}
