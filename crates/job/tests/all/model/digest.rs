//! The identity of a state: two states with the same digest are explored once.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use job::fleet::ClockReading;
use job::fleet::Executor as KnownExecutor;
use job::scheduler::Report;
use job::scheduler::TaskKey;
use job::task::StartState;
use model::Mono;

use super::binding::Calls;
use super::state::LateCall;
use super::state::LateReport;
use super::state::Owner;
use super::state::SlowCall;
use super::state::State;
use super::state::World;
use super::state::job;

/// Times that only leases and clocks depend on are rounded down to multiples of this, in
/// milliseconds. A delayed poll takes a millisecond, so that events before it differ from events
/// after it; leases do not depend on milliseconds, as each step of time is longer and no lease ends
/// so close to one.
const ROUNDING_MS: u64 = 100;

/// How precisely two states have to agree.
#[derive(Clone, Copy)]
struct Precision {
    rounding_ms: u64,
}

impl Precision {
    /// Where clocks differ, milliseconds decide whether a lease has expired.
    const fn of(world: World) -> Self {
        let rounding_ms = match world {
            World::SlowClock => 1,
            World::TwoSteps | World::OneTask | World::Gang | World::LongRunning => ROUNDING_MS,
        };
        Self { rounding_ms }
    }

    const fn ms(self, ms: u64) -> u64 {
        ms - ms % self.rounding_ms
    }

    const fn time(self, time: Mono) -> Mono {
        Mono(self.ms(time.0))
    }
}

impl State {
    /// Returns a hash of the state.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.now.hash(&mut hasher);
        self.store.hash(&mut hasher);
        self.budget.hash(&mut hasher);
        self.takeovers.hash(&mut hasher);
        let precision = Precision::of(self.world);
        let mut executors = self.executors.clone();
        for executor in &mut executors {
            executor.lease_until = precision.time(executor.lease_until);
        }
        let late_calls: Vec<LateCall> = self
            .late_calls
            .iter()
            .map(|call| call.rounded(precision))
            .collect();
        let slow_calls: Vec<SlowCall> = self
            .slow_calls
            .iter()
            .map(|call| call.rounded(precision))
            .collect();
        let rest = (
            executors,
            late_calls,
            slow_calls,
            &self.late_writes,
            &self.done,
            (
                &self.failed,
                &self.failures_acknowledged,
                &self.failed_before,
            ),
            &self.started,
            &self.violation,
        );
        format!("{rest:?}").hash(&mut hasher);
        for owner in &self.owners {
            let text = owner.as_ref().map(|owner| owner.state_text(precision));
            text.hash(&mut hasher);
            if self.calls == Calls::Bound {
                let clocks = owner.as_ref().map(|owner| owner.clocks);
                clocks.map(|it| it.map(|(_, of)| of)).hash(&mut hasher);
            }
        }
        hasher.finish()
    }
}

impl LateCall {
    fn rounded(&self, precision: Precision) -> Self {
        Self {
            deadline_ms: self.deadline_ms.map(|ms| precision.ms(ms)),
            ..self.clone()
        }
    }
}

impl SlowCall {
    fn rounded(&self, precision: Precision) -> Self {
        Self {
            call: self.call.rounded(precision),
            response: self
                .response
                .map(|(response, clock_ms)| (response, precision.ms(clock_ms))),
            ..self.clone()
        }
    }
}

impl LateReport {
    fn rounded(&self, precision: Precision) -> Self {
        Self {
            report: Report {
                clock_ms: precision.ms(self.report.clock_ms),
                ..self.report.clone()
            },
            ..self.clone()
        }
    }
}

impl Owner {
    /// Returns everything that determines the owner's next actions, independent of the layout of
    /// its maps.
    fn state_text(&self, precision: Precision) -> String {
        let mut job = self
            .scheduler
            .find(job())
            .and_then(|key| self.scheduler.job(key))
            .cloned();
        for task in job.iter_mut().flat_map(|job| &mut job.tasks) {
            if let Some(assignment) = task.assignment_mut() {
                assignment.assigned_at = precision.time(assignment.assigned_at);
                // Only an unconfirmed start that is still wanted depends on the list entry, and only on
                // whether it is the present one, since later entries replace it for good.
                let entry = self.scheduler.fleet.get(assignment.executor);
                let present = entry.map(|entry| entry.entry_started_unix_ms);
                let is_unconfirmed = matches!(
                    assignment.start_state,
                    StartState::Storing | StartState::Sent
                );
                if !is_unconfirmed
                    || assignment.stopping
                    || present != Some(assignment.entry_started_unix_ms)
                {
                    assignment.entry_started_unix_ms = 0;
                }
            }
        }
        let executors: Vec<(KnownExecutor, Vec<TaskKey>)> = self
            .scheduler
            .fleet
            .iter()
            .map(|(_, executor)| {
                let mut tasks: Vec<TaskKey> = executor.tasks.iter().copied().collect();
                tasks.sort();
                let mut executor = executor.clone();
                executor.tasks.clear();
                // Only an executor at the same address depends on it, and no two share one.
                executor.presence = None;
                executor.leases_expire_at = precision.time(executor.leases_expire_at);
                executor.clock = executor.clock.map(|clock| ClockReading {
                    executor_ms: precision.ms(clock.executor_ms),
                    at: precision.time(clock.at),
                });
                executor.failing_since = executor.failing_since.map(|time| precision.time(time));
                (executor, tasks)
            })
            .collect();
        let scheduler = (job, executors, self.scheduler.state(super::state::job()));
        let write = self.write.as_ref().map(|write| {
            let sent = precision.time(write.sent);
            (
                write.expects,
                &write.record,
                &write.batch,
                write.applied,
                sent,
            )
        });
        let own = (
            self.epoch,
            self.row,
            precision.time(self.confirmed),
            write,
            &self.commands,
        );
        let reports: Vec<(LateReport, bool)> = self
            .reports
            .iter()
            .map(|late| (late.rounded(precision), self.has_newer_clock(late)))
            .collect();
        let rest = (
            reports,
            self.assumed.map(|time| precision.time(time)),
            self.cancel_received,
        );
        format!(
            "{scheduler:?} {own:?} {rest:?} {}",
            self.scheduler.has_changes()
        )
    }

    /// Returns whether the executor's clock was read after the poll of a late report was sent.
    fn has_newer_clock(&self, late: &LateReport) -> bool {
        let executor = self.scheduler.fleet.get(self.key(late.executor));
        executor
            .and_then(|executor| executor.clock)
            .is_some_and(|clock| clock.at > late.sent)
    }
}
