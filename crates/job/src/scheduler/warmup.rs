//! Slow start of cold executors, as the scheduler applies it.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;

use super::Event;
use super::Scheduler;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::task::Phase;
use crate::task::StartState;
use crate::warmup::ServiceWarmth;

/// A start that takes longer than this no longer counts in the window of its executor's received tasks,
/// and may reach the executor together with later ones.
const USUAL_START: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Records how long an executor stays cold by its newest list entry, which the executor wrote at
    /// `clock_ms` on its clock. An entry that is read again does not begin the time anew.
    pub(super) fn update_warmth(&mut self, key: ExecutorKey, clock_ms: u64, now: Mono) {
        let is_limited = self.timing.warmup.is_some();
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        let remaining = executor.listing.cold_remaining;
        let entry = (executor.listing.started_unix_ms, clock_ms, remaining);
        if executor.warmth_entry == Some(entry) {
            return;
        }
        executor.warmth_entry = Some(entry);
        let was_cold = executor.is_cold(now);
        executor.cold_until = if is_limited && !remaining.is_zero() {
            now.after(remaining)
        } else {
            Mono::ZERO
        };
        if executor.is_cold(now) && !was_cold {
            executor.cold_starts = crate::warmup::ColdStarts::default();
            self.record_event(Event::ExecutorCold {
                executor: key,
                remaining,
            });
        }
    }

    /// Counts the warm and cold executors of the services with cold ones.
    pub(super) fn find_cold_services(&mut self, now: Mono) {
        let any_cold = self.fleet.iter().any(|(_, one)| one.is_cold(now));
        if !any_cold {
            self.warmth.clear();
            return;
        }
        let counts = self
            .fleet
            .sum_by_service(|warmth: &mut ServiceWarmth, executor| {
                if executor.is_cold(now) {
                    warmth.cold += 1;
                } else {
                    warmth.warm += 1;
                }
            });
        let mut current: Map<Arc<str>, ServiceWarmth> = Map::default();
        for (service, counted) in counts.into_iter().filter(|(_, one)| one.cold > 0) {
            let mut warmth = self.warmth.get(&service).copied().unwrap_or_default();
            warmth.warm = counted.warm;
            warmth.cold = counted.cold;
            current.insert(service, warmth);
        }
        self.warmth = current;
    }

    /// Returns whether an executor is warm, or may take another task although it is cold.
    pub(crate) fn admits_when_cold(&self, executor: &Executor, now: Mono) -> bool {
        if !executor.is_cold(now) {
            return true;
        }
        let warmth = self.warmth.get(&executor.listing.service);
        let Some((limits, warmth)) = self.timing.warmup.zip(warmth) else {
            return true;
        };
        let allowance = executor.cold_starts.allowance(warmth, limits, now);
        allowance > self.uncounted_starts(executor, now)
    }

    /// Returns the number of tasks that are on their way to an executor and do not count for the latest
    /// second: those of a gang that is being placed, and starts that take long.
    fn uncounted_starts(&self, executor: &Executor, now: Mono) -> u64 {
        let tasks = executor.tasks.iter().filter_map(|key| self.task(*key));
        let uncounted = tasks.filter(|task| match &task.phase {
            Phase::Assigned(assignment) => {
                let is_on_its_way = matches!(
                    assignment.start_state,
                    StartState::Storing | StartState::Sent
                );
                is_on_its_way && now.since(assignment.assigned_at) >= USUAL_START
            }
            Phase::Waiting => true,
            Phase::Done => false,
        });
        uncounted.map(|_| 1).sum()
    }

    /// Records that an executor receives a task.
    pub(super) fn record_new_task(&mut self, key: ExecutorKey, now: Mono) {
        let Some(limits) = self.timing.warmup else {
            return;
        };
        let Some(executor) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(warmth) = self.warmth.get_mut(&executor.listing.service) else {
            return;
        };
        if executor.is_cold(now) {
            executor.cold_starts.add(warmth, now);
        } else {
            warmth.add_warm_task(limits);
        }
    }
}
