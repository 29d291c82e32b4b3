//! Lets long-running tasks take turns when there is no room for all of them.
//!
//! A long-running task that lost its run may find no room for as long as others hold it, because
//! nothing ends there by itself. After some seconds it takes the place of a task that has run for
//! long, which waits for its own turn then. So each service lacks a small part of its tasks instead
//! of some services lacking them for good. Tasks that never ran wait for room, because a service that
//! has begun goes before one that has not. See "Scarce capacity" in `docs/JOBS.md`.

use std::time::Duration;

use model::Map;
use model::Mono;
use model::Size;

use crate::fleet::ExecutorKey;
use crate::reservation::Reservation;
use crate::scheduler::Event;
use crate::scheduler::JobKey;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::short_work::is_kept;
use crate::spec::StepSpec;
use crate::task::Task;

/// How long a long-running task is without a run before it takes the place of another one.
const TURN_AFTER: Duration = Duration::from_secs(6);
/// How long a task is known to run at least before it gives way to another long-running one.
const MIN_RUN: Duration = Duration::from_secs(2);
/// How long an executor is reserved for a task whose turn it is.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum percentage of executors that are reserved for turns at the same time.
const MAX_RESERVED_PERCENT: usize = 25;

/// A long-running task that may give way to another one.
#[derive(Clone, Copy, Debug)]
struct Place {
    /// Since when it runs.
    since: Mono,
    task: TaskKey,
    executor: ExecutorKey,
    /// What is free there once it has stopped.
    room: Size,
}

impl Scheduler {
    /// Reserves executors for interrupted services that have waited for their turn, and stops the
    /// tasks whose places they take.
    pub(crate) fn take_turns(&mut self, now: Mono) {
        self.note_interrupted_services(now);
        let reserved = self.fleet.iter();
        let reserved: Vec<TaskKey> = reserved
            .filter_map(|(_, executor)| Some(executor.reservation?.task))
            .collect();
        let mut due: Vec<(Mono, TaskKey)> = self
            .interrupted_since
            .iter()
            .filter(|(key, since)| {
                now.since(**since) >= TURN_AFTER
                    && !reserved.contains(key)
                    && self.may_start(**key, now)
            })
            .map(|(key, since)| (*since, *key))
            .collect();
        if due.is_empty() {
            return;
        }
        due.sort();
        let limit = (self.fleet.len_without_evacuated() * MAX_RESERVED_PERCENT / 100).max(1);
        let mut places = self.places(now);
        for (_, key) in due.into_iter().take(limit.saturating_sub(reserved.len())) {
            self.take_turn(key, &mut places, now);
        }
    }

    /// Records that a task is without a run since its executor became silent, which was at least the
    /// duration of a lease ago. A successor does not know for how long before.
    pub(crate) fn note_silent_interruption(&mut self, key: TaskKey, now: Mono) {
        if !self.is_long_running(key) {
            return;
        }
        let assignment = self.task(key).and_then(Task::assignment);
        let executor = assignment.and_then(|assignment| self.fleet.get(assignment.executor));
        let silent_since = executor.and_then(|executor| executor.failing_since);
        let lease_ago = now.before(self.timing.lease).unwrap_or(Mono::ZERO);
        let since = silent_since.map_or(lease_ago, |since| since.min(lease_ago));
        self.interrupted_since.insert(key, since);
    }

    /// Records that a task was without a run when this owner began. For how long is unknown, so that it
    /// is expected to have waited for half of the time to its turn.
    pub(crate) fn note_inherited_interruption(&mut self, key: TaskKey, now: Mono) {
        if self.is_interrupted_service(key) {
            let since = now.before(TURN_AFTER / 2).unwrap_or(Mono::ZERO);
            self.interrupted_since.insert(key, since);
        }
    }

    /// Records since when each interrupted service task is without a run.
    fn note_interrupted_services(&mut self, now: Mono) {
        let mut since: Map<TaskKey, Mono> = Map::default();
        for key in self.interrupted_services() {
            let known = self.interrupted_since.get(&key).copied();
            since.insert(key, known.unwrap_or(now));
        }
        self.interrupted_jobs = since.keys().map(|key| key.job).collect();
        self.interrupted_since = since;
    }

    fn interrupted_services(&self) -> Vec<TaskKey> {
        let mut interrupted = Vec::new();
        for (job_key, job) in self.open_jobs() {
            if job.set_aside || !job.has_waiting_tasks() || !job.spec.is_long_running() {
                continue;
            }
            let slots = 0..u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
            let keys = slots.map(|slot| TaskKey { job: job_key, slot });
            interrupted.extend(keys.filter(|key| self.is_interrupted_service(*key)));
        }
        interrupted
    }

    /// Returns whether a task of a long-running job waits for its turn.
    pub(crate) fn has_interrupted_services(&self) -> bool {
        !self.interrupted_since.is_empty()
    }

    /// Returns whether a job has tasks that were interrupted.
    pub(crate) fn is_interrupted(&self, job: JobKey) -> bool {
        self.interrupted_jobs.contains(&job)
    }

    /// Gives a task the place of one that has run longest of those in whose place it fits.
    fn take_turn(&mut self, key: TaskKey, places: &mut Vec<Place>, now: Mono) {
        let Some(needed) = self.step(key).map(StepSpec::allocated_size) else {
            return;
        };
        let index = places
            .iter()
            .position(|place| needed.fits(&place.room) && self.may_replace(key, place, now));
        let Some(index) = index else {
            return;
        };
        let place = places.remove(index);
        places.retain(|other| other.executor != place.executor);
        if let Some(executor) = self.fleet.get_mut(place.executor) {
            executor.reservation = Some(Reservation {
                task: key,
                until: now.after(RESERVATION_TIMEOUT),
            });
        }
        self.record_event(Event::TurnTaken {
            task: key,
            stopped: place.task,
            executor: place.executor,
        });
        self.stop(place.task);
    }

    /// Returns the long-running tasks that have run long enough to give way, first the one that has
    /// run longest.
    fn places(&self, now: Mono) -> Vec<Place> {
        let executors = self.fleet.iter().filter(|(_, executor)| {
            executor.accepts_tasks(now) && !is_kept(executor) && executor.reservation.is_none()
        });
        let mut places = Vec::new();
        for (executor_key, executor) in executors {
            for task in &executor.tasks {
                let since = self.running_since(*task);
                let since = since.filter(|since| now.since(*since) >= MIN_RUN);
                if let Some(since) = since.filter(|_| self.is_long_running(*task)) {
                    places.push(Place {
                        since,
                        task: *task,
                        executor: executor_key,
                        room: executor.free() + self.allocated_to(&[*task]),
                    });
                }
            }
        }
        places.sort_by_key(|place| (place.since, place.task));
        places
    }

    /// Returns whether a task may run instead of another one if there is enough room.
    fn may_replace(&self, key: TaskKey, place: &Place, now: Mono) -> bool {
        let Some(executor) = self.fleet.get(place.executor) else {
            return false;
        };
        let job = self.job(key.job);
        let queue = job.and_then(|job| self.plan.queue(&job.queue));
        let (Some(job), Some(queue), Some(step)) = (job, queue, self.step(key)) else {
            return false;
        };
        place.task.job != key.job
            && executor.listing.service == queue.service
            && self.meets_constraints(place.executor, executor, job, key, step)
            && self.is_preemptible(place.task, key, now)
    }
}
