//! An executor of the model. It accepts calls of the highest epoch it has seen, runs tasks for as
//! long as its lease lasts, rejects runs that it has stopped, and lists ended runs until they are
//! acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use job::id::TaskId;
use job::scheduler::ActiveRun;
use job::scheduler::EndedRun;
use job::scheduler::Report;
use job::scheduler::RunOutcome;
use job::scheduler::StartAnswer;
use job::task::RunMetrics;
use job::task::RunNumber;
use model::Mono;

use crate::fixture::MAX_LEASE;

/// The state of an executor.
#[derive(Clone, Debug)]
pub struct Executor {
    /// The start time of its incarnation, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// The highest epoch that this incarnation has seen.
    pub epoch: u64,
    /// The active runs.
    pub running: BTreeMap<TaskId, RunNumber>,
    /// When all active runs are killed.
    pub lease_until: Mono,
    /// Ended runs that are not acknowledged.
    pub ended: Vec<EndedRun>,
    /// The highest run of each task that was stopped or has ended here; it is not started again.
    pub rejected: BTreeMap<TaskId, RunNumber>,
    /// Sequence numbers of ended runs that were not acknowledged before the lease expired.
    pub expired_ends: BTreeSet<u64>,
    /// Whether calls reach the executor.
    pub reachable: bool,
    /// When its clock was zero.
    pub clock_zero: Mono,
    /// How fast its clock runs, in percent of the right speed.
    pub clock_percent: u64,
    last_sequence: u64,
}

/// The response to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The command was executed.
    Accepted,
    /// The command was rejected: the run was stopped or has ended before.
    Superseded,
    /// The command was rejected: its lease had expired when it arrived.
    TooLate,
    /// The command was rejected: the executor has seen a higher epoch.
    Fenced,
    /// The command was rejected for a reason that says nothing of earlier copies.
    Refused(StartAnswer),
}

impl Executor {
    pub const fn new() -> Self {
        Self {
            started_unix_ms: 1_000,
            epoch: 0,
            running: BTreeMap::new(),
            lease_until: Mono::ZERO,
            ended: Vec::new(),
            rejected: BTreeMap::new(),
            expired_ends: BTreeSet::new(),
            reachable: true,
            clock_zero: Mono::ZERO,
            clock_percent: 100,
            last_sequence: 0,
        }
    }

    /// Checks the epoch of a call. `check_epoch` is false if the executors of the model ignore
    /// epochs.
    fn accepts_epoch(&mut self, epoch: u64, check_epoch: bool) -> bool {
        if check_epoch && epoch < self.epoch {
            return false;
        }
        self.epoch = self.epoch.max(epoch);
        true
    }

    /// Returns the reading of its clock.
    pub const fn clock_ms(&self, now: Mono) -> u64 {
        (now.0 - self.clock_zero.0) * self.clock_percent / 100
    }

    /// Returns when its clock shows `clock_ms`.
    const fn time_of(&self, clock_ms: u64) -> Mono {
        Mono(self.clock_zero.0 + (clock_ms * 100).div_ceil(self.clock_percent))
    }

    /// Extends the lease to a time on its own clock, but not beyond the longest lease.
    fn extend_lease(&mut self, deadline_ms: u64, now: Mono) {
        let longest = self.clock_ms(now) + model::time::millis(MAX_LEASE);
        let until = self.time_of(deadline_ms.min(longest));
        self.lease_until = self.lease_until.max(until);
    }

    /// Starts a run.
    pub fn start(
        &mut self,
        (task, run): (TaskId, RunNumber),
        (epoch, check_epoch): (u64, bool),
        deadline_ms: u64,
        now: Mono,
    ) -> Response {
        if !self.accepts_epoch(epoch, check_epoch) {
            return Response::Fenced;
        }
        if self.running.get(&task) == Some(&run) {
            self.extend_lease(deadline_ms, now);
            return Response::Accepted;
        }
        let newest = self.running.get(&task).max(self.rejected.get(&task));
        if newest.is_some_and(|newest| run <= *newest) {
            self.extend_lease(deadline_ms, now);
            return Response::Superseded;
        }
        if deadline_ms <= self.clock_ms(now) {
            return Response::TooLate;
        }
        self.extend_lease(deadline_ms, now);
        self.running.insert(task, run);
        Response::Accepted
    }

    /// Refuses a start command for a reason of its own, whether the run is there or not. A refusal
    /// for want of room extends the lease.
    pub fn refuse(
        &mut self,
        reason: StartAnswer,
        (epoch, check_epoch): (u64, bool),
        deadline_ms: u64,
        now: Mono,
    ) -> Response {
        if reason == StartAnswer::Unhealthy {
            return Response::Refused(reason);
        }
        if !self.accepts_epoch(epoch, check_epoch) {
            return Response::Fenced;
        }
        if reason == StartAnswer::NoRoom {
            self.extend_lease(deadline_ms, now);
        }
        Response::Refused(reason)
    }

    /// Stops a run. A run that is not active can no longer start afterwards.
    pub fn stop(
        &mut self,
        (task, run): (TaskId, RunNumber),
        (epoch, check_epoch): (u64, bool),
    ) -> Response {
        if !self.accepts_epoch(epoch, check_epoch) {
            return Response::Fenced;
        }
        let newest = self.rejected.entry(task).or_default();
        *newest = run.max(*newest);
        if self.running.get(&task) == Some(&run) {
            self.end(task, RunOutcome::Interrupted);
        }
        Response::Accepted
    }

    /// Answers a poll, which extends the lease and acknowledges ended runs.
    pub fn poll(
        &mut self,
        (epoch, check_epoch): (u64, bool),
        deadline_ms: Option<u64>,
        acknowledged: u64,
        now: Mono,
    ) -> Option<Report> {
        if !self.accepts_epoch(epoch, check_epoch) {
            return None;
        }
        if let Some(deadline_ms) = deadline_ms {
            self.extend_lease(deadline_ms, now);
        }
        self.ended.retain(|end| end.sequence > acknowledged);
        Some(Report {
            started_unix_ms: Some(self.started_unix_ms),
            clock_ms: self.clock_ms(now),
            running: self.running.iter().map(running).collect(),
            ended: self.ended.clone(),
        })
    }

    /// Ends a run.
    pub fn end(&mut self, task: TaskId, outcome: RunOutcome) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        let newest = self.rejected.entry(task).or_default();
        *newest = run.max(*newest);
        self.last_sequence += 1;
        self.ended.push(EndedRun {
            sequence: self.last_sequence,
            task: Some(task),
            run,
            outcome,
            checkpoint: None,
        });
    }

    /// Kills all active runs if the lease has expired. A lease that expires while nothing runs is
    /// not counted as expired: earlier ends then still count if they are acknowledged.
    pub fn pass(&mut self, now: Mono) {
        if self.lease_until <= now && !self.running.is_empty() {
            self.expired_ends
                .extend(self.ended.iter().map(|end| end.sequence));
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(task, RunOutcome::LeaseExpired);
            }
        }
    }

    /// Restarts the executor under the same name without any state.
    pub fn restart(&mut self, now: Mono) {
        let started_unix_ms = self.started_unix_ms + 1_000;
        *self = Self {
            started_unix_ms,
            clock_zero: now,
            clock_percent: self.clock_percent,
            reachable: self.reachable,
            ..Self::new()
        };
    }
}

fn running((task, run): (&TaskId, &RunNumber)) -> ActiveRun {
    ActiveRun {
        task: Some(*task),
        run: *run,
        checkpoint: None,
        metrics: RunMetrics {
            progress: 50,
            tail_ms_or_cpu_millis: 0,
        },
    }
}
