//! Waits of tasks for a place near their data, see [`crate::locality`].

use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use model::Size;

use super::constraints::near_data;
use super::round::Round;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::locality::Decision;
use crate::locality::Openings;
use crate::locality::Place;
use crate::plan::Queue;
use crate::ranking::DeadlineOutlook;
use crate::ranking::Rank;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

/// The time from a decision to start a task until it runs: a placement round, a transaction and the
/// start command.
const START_TIME: Duration = Duration::from_millis(250);

/// What a task gains in the better place, and how much time it has.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceTiming {
    /// How long it is expected to run in the better place.
    pub(super) run: Duration,
    /// By how much longer it runs elsewhere.
    pub(super) gain: Duration,
    /// For how long it can wait and be in time in the better place.
    pub(super) slack: Duration,
}

/// A step whose tasks may wait for a place in a rack, in one round.
#[derive(Clone, Debug)]
pub(super) struct PlaceSearch {
    pub(super) service: Arc<str>,
    pub(super) rack: Arc<str>,
    timing: PlaceTiming,
    /// How often room for a task has become free, or `None` if the rack has no executor that could
    /// ever take it. Computed when it is first needed.
    openings: Option<Option<Openings>>,
    /// Whether a wait does not pay off for a task of the step. It does not for those after it either,
    /// which have more ahead of them.
    is_rejected: bool,
}

impl Scheduler {
    /// Returns whether places differ for the tasks of a step and whether its tasks may wait for a
    /// better one. Best-effort steps and those of queues with an advisor have conditions of their own,
    /// and a step that cannot be in time must not become later.
    pub(super) fn may_wait_for_place(&self, queue: &Queue, step: &StepSpec, rank: &Rank) -> bool {
        self.timing.remote_slowdown > 1.0
            && rank.outlook == DeadlineOutlook::InTime
            && !step.best_effort
            && queue.advisor.is_none()
    }

    /// Returns the search for a place near the data of a step, or `None` if its tasks do not wait
    /// for one. The rack is observed from now on.
    pub(super) fn place_search(
        &mut self,
        service: &Arc<str>,
        queue_name: &Arc<str>,
        step: &StepSpec,
        rank: &Rank,
        now: Mono,
    ) -> Option<PlaceSearch> {
        let rack = step.data_rack.as_ref()?;
        if !self.locality.keep_observing(service, rack, now) {
            let mut executors = self.fleet.iter();
            executors.find(|(_, executor)| {
                executor.listing.service == *service && executor.has_label(rack)
            })?;
            self.locality.observe(service, rack, now);
        }
        let timing = self.place_timing(queue_name, step, rank);
        Some(PlaceSearch {
            service: service.clone(),
            rack: rack.clone(),
            timing,
            openings: None,
            is_rejected: false,
        })
    }

    /// Returns what a task of a step gains in the right place, and how much time it has.
    pub(super) fn place_timing(
        &self,
        queue_name: &Arc<str>,
        step: &StepSpec,
        rank: &Rank,
    ) -> PlaceTiming {
        let run_ms = self.durations.expected_ms(queue_name, step);
        let run = Duration::from_millis(run_ms);
        let excess = self.timing.remote_slowdown - 1.0;
        let gain = Duration::try_from_secs_f64(run.as_secs_f64() * excess);
        // The slack of the rank depends on the estimate of the caller.
        let longer = Duration::from_millis(run_ms.saturating_sub(step.estimate_ms));
        let slack = Duration::from_millis(rank.slack_ms);
        PlaceTiming {
            run,
            gain: gain.unwrap_or(Duration::MAX),
            slack: slack.saturating_sub(longer).saturating_sub(START_TIME),
        }
    }

    /// Returns whether a task waits for a place near its data rather than start on this executor.
    pub(super) fn waits_near_data(
        &mut self,
        key: TaskKey,
        step: &StepSpec,
        executor: ExecutorKey,
        search: &mut PlaceSearch,
        round: &mut Round,
        now: Mono,
    ) -> bool {
        let executor = self.fleet.get(executor);
        if search.is_rejected || executor.is_none_or(|executor| near_data(executor, step)) {
            return false;
        }
        let place = self.place_near_data(key, step, search, round, now);
        let decision = place.map_or(Decision::Start, |place| (self.locality.rule)(&place));
        match decision {
            Decision::Wait(at_most) => {
                self.locality.wait(key, &search.rack, at_most, now);
                round.add_awaiting(&search.service, &search.rack, step);
                true
            }
            Decision::Start => {
                self.locality.end_wait(key);
                search.is_rejected = true;
                false
            }
        }
    }

    /// Returns what is known of the wait of a task, or `None` if it must not wait.
    fn place_near_data(
        &self,
        key: TaskKey,
        step: &StepSpec,
        search: &mut PlaceSearch,
        round: &Round,
        now: Mono,
    ) -> Option<Place> {
        let task = self.task(key)?;
        // What is left of a run that begins at a checkpoint is not known, and a task that failed
        // or is suspected looks for an executor by other rules.
        let is_new = task.checkpoint.is_none() && self.is_interchangeable(key);
        if !is_new || round.reserved.contains_key(&key) {
            return None;
        }
        let waited = self.locality.waited(key, now)?;
        let size = step.allocated_size();
        let openings = *search.openings.get_or_insert_with(|| {
            let mut executors = self.fleet.iter();
            let is_possible = executors.any(|(_, executor)| {
                executor.has_label(&search.rack)
                    && could_ever_take(executor, &search.service, step, now)
            });
            let (service, rack) = (&search.service, &search.rack);
            is_possible.then(|| self.locality.openings(service, rack, &size, now))
        });
        let ahead = round.awaiting(&search.service, &search.rack, step);
        Some(Place {
            task: key,
            run: search.timing.run,
            gain: search.timing.gain,
            needed: ahead + 1,
            openings: openings?,
            slack: search.timing.slack,
            waited,
        })
    }

    /// Returns whether a task takes this many times as long as near its data or in one rack, because
    /// of where it was assigned; 1 if it does not.
    pub(crate) fn run_factor(&self, key: TaskKey) -> f64 {
        let factor = self.timing.remote_slowdown;
        let Some(step) = self.step(key).filter(|_| factor > 1.0) else {
            return 1.0;
        };
        let executor_of = |key| {
            let assignment = self.task(key)?.assignment()?;
            self.fleet.get(assignment.executor)
        };
        let Some(executor) = executor_of(key) else {
            return 1.0;
        };
        let is_spread = step.gang && step.same_rack && {
            let mut members = self.members(key).into_iter().filter_map(executor_of);
            members.any(|member| member.rack != executor.rack)
        };
        if is_spread || !near_data(executor, step) {
            factor
        } else {
            1.0
        }
    }
}

/// Returns whether an executor could take a task of a step once the short tasks there have ended.
pub(super) fn could_ever_take(
    executor: &Executor,
    service: &str,
    step: &StepSpec,
    now: Mono,
) -> bool {
    let capacity = executor.listing.capacity;
    let long_running = Size::new(executor.long_running_cpu_millis, 0, 0);
    let left = capacity.saturating_sub(&long_running);
    let label = step.label.as_ref();
    &*executor.listing.service == service
        && executor.accepts_tasks(now)
        && label.is_none_or(|label| executor.has_label(label))
        && step.allocated_size().fits(&left)
}
