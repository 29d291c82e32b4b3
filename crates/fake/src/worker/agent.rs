//! The agent of a fake worker as a state machine without a clock, tasks or sockets.

mod commands;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use model::Map;
use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::Epoch;
use model::id::TaskId;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

use super::ledger::RunEvent;
use super::program::InterferenceEffect;
use super::program::InterferenceModel;
use super::program::ProgramSelector;
use super::program::RunSpec;
use super::run::Run;
use crate::object::FakeObjects;

/// The maximum time for which the effects of the interference model are considered constant.
const INTERFERENCE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of latest reports whose time an agent remembers.
const MAX_TRACKED_REPORTS: usize = 64;
/// The position of the incarnation in the sequence number of a report; the lower bits count the
/// reports of an incarnation.
const INCARNATION_SHIFT: u32 = 32;

/// The resources and the behaviour of a worker.
#[derive(Clone)]
pub struct AgentConfig {
    /// The total resources of the worker.
    pub capacity: Size,
    /// The age of the usage figures in reports.
    pub lag: Duration,
    /// Selects the simulated behaviour of each run.
    pub programs: ProgramSelector,
    /// The interference between the tasks of the worker, if there is any.
    pub interference: Option<InterferenceModel>,
}

/// The agent of one worker.
pub struct Agent {
    config: AgentConfig,
    objects: FakeObjects,
    epoch: Epoch,
    report_sequence: u64,
    lease_until: Mono,
    report_times: BTreeMap<u64, Mono>,
    last_message: u64,
    runs: BTreeMap<TaskId, Run>,
    attempts: Map<TaskId, Attempt>,
    fail_on_start: bool,
    events: Vec<RunEvent>,
    now: Mono,
}

impl Agent {
    /// Creates an agent without runs and without a lease.
    #[must_use]
    pub fn new(config: AgentConfig, objects: FakeObjects, now: Mono) -> Self {
        Self {
            config,
            objects,
            epoch: Epoch::default(),
            report_sequence: 1 << INCARNATION_SHIFT,
            lease_until: now,
            report_times: BTreeMap::new(),
            last_message: 0,
            runs: BTreeMap::new(),
            attempts: Map::default(),
            fail_on_start: false,
            events: Vec::new(),
            now,
        }
    }

    /// Handles a message. A message whose sequence number is not above the last one of its epoch is
    /// late or a duplicate: it is answered with a report and has no other effect.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Fenced`] if the agent has seen a higher epoch; nothing was executed.
    pub fn handle_message(
        &mut self,
        message: &WorkerMessage,
        now: Mono,
    ) -> Result<WorkerReport, WorkerError> {
        self.advance(now);
        if message.epoch < self.epoch {
            return Err(WorkerError::Fenced { epoch: self.epoch });
        }
        if message.epoch > self.epoch {
            self.epoch = message.epoch;
            self.last_message = 0;
        }
        if message.sequence > self.last_message {
            self.last_message = message.sequence;
            self.renew_lease(message);
            for command in &message.commands {
                self.execute(command);
            }
            self.apply_due_changes();
        }
        Ok(self.report())
    }

    /// Advances the agent to `now`: progress and ends of runs, and expiry of the lease.
    pub fn advance(&mut self, now: Mono) {
        while self.now < now {
            let effects = self.effects();
            let next = self.next_change(&effects).min(now).max(self.now);
            self.progress(next, &effects);
            self.now = next;
            self.apply_due_changes();
        }
    }

    /// Simulates a failure of the host: all runs end immediately. The epoch and the attempts that
    /// the agent has seen are retained.
    pub fn crash(&mut self, now: Mono) {
        self.advance(now);
        let running = self.running();
        let ended = running
            .into_iter()
            .map(|task| RunEvent::Ended { task, at: now });
        self.events.extend(ended);
        self.runs.clear();
        self.report_times.clear();
        self.report_sequence =
            ((self.report_sequence >> INCARNATION_SHIFT) + 1) << INCARNATION_SHIFT;
        self.last_message = 0;
        self.lease_until = now;
    }

    /// Sets whether every run fails immediately after its start.
    pub const fn set_fail_on_start(&mut self, fails: bool) {
        self.fail_on_start = fails;
    }

    /// Returns the running tasks.
    #[must_use]
    pub fn running(&self) -> Vec<TaskId> {
        let running = self.runs.iter().filter(|(_, run)| run.is_running());
        running.map(|(task, _)| task.clone()).collect()
    }

    /// Returns the resources reserved for the running tasks.
    #[must_use]
    pub fn reserved(&self) -> Size {
        let running = self.runs.values().filter(|run| run.is_running());
        running.map(|run| run.spec.size).sum()
    }

    /// Returns the highest epoch that the agent has seen.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time at which the lease expires.
    #[must_use]
    pub const fn lease_until(&self) -> Mono {
        self.lease_until
    }

    /// Returns and clears the events since the last call.
    pub fn take_events(&mut self) -> Vec<RunEvent> {
        std::mem::take(&mut self.events)
    }

    /// Renews the lease, counted from the time of the report that the message answers.
    fn renew_lease(&mut self, message: &WorkerMessage) {
        if let Some(reported_at) = self.report_times.get(&message.last_report) {
            let until = reported_at.after(Duration::from_millis(message.lease_ms));
            self.lease_until = self.lease_until.max(until);
            let until = self.lease_until;
            self.events.push(RunEvent::LeaseRenewed { until });
        }
    }

    /// Ends all runs that are due, and every run once the lease has expired.
    fn apply_due_changes(&mut self) {
        let expired = self.lease_until <= self.now;
        for task in self.running() {
            let Some(state) = self.runs.get(&task).map(|run| run.state_at(self.now)) else {
                continue;
            };
            let state = if expired && state == RunState::Running {
                RunState::Stopped
            } else {
                state
            };
            if state != RunState::Running {
                self.end_run(&task, state);
            }
        }
        let effects = self.effects();
        let running = self.runs.values_mut().filter(|run| run.is_running());
        for (run, effect) in running.zip(effects) {
            run.record_sample(self.now, self.config.lag, effect);
        }
    }

    fn end_run(&mut self, task: &TaskId, state: RunState) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.is_running()) else {
            return;
        };
        run.state = state;
        let checkpoint_requested = run.stop_request.is_some_and(|request| request.checkpoint);
        if state == RunState::Stopped && checkpoint_requested && run.program.can_checkpoint {
            store_checkpoint(&self.objects, run);
        }
        self.events.push(RunEvent::Ended {
            task: task.clone(),
            at: self.now,
        });
    }

    fn effects(&self) -> Vec<InterferenceEffect> {
        let running = self.runs.values().filter(|run| run.is_running());
        let views: Vec<_> = running.map(Run::view).collect();
        match &self.config.interference {
            Some(interference) => interference(&views, self.now),
            None => views
                .iter()
                .map(|view| InterferenceEffect {
                    speed: 1.0,
                    p99_us: view.p99_us,
                })
                .collect(),
        }
    }

    fn next_change(&self, effects: &[InterferenceEffect]) -> Mono {
        let running = self.runs.values().filter(|run| run.is_running());
        let ends = running
            .zip(effects)
            .filter_map(|(run, effect)| run.next_change(self.now, run.speed() * effect.speed));
        let expiry = Some(self.lease_until).filter(|until| *until > self.now);
        let step = self.config.interference.is_some();
        let step = step.then(|| self.now.after(INTERFERENCE_UPDATE_INTERVAL));
        let changes = ends.chain(expiry).chain(step);
        changes.min().unwrap_or(Mono(u64::MAX))
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "durations are far below 2^52 ms"
    )]
    fn progress(&mut self, until: Mono, effects: &[InterferenceEffect]) {
        let elapsed_ms = until.since(self.now).as_millis() as f64;
        let running = self.runs.values_mut().filter(|run| run.is_running());
        for (run, effect) in running.zip(effects) {
            run.progress_ms += elapsed_ms * run.speed() * effect.speed;
        }
    }

    fn report(&mut self) -> WorkerReport {
        self.report_sequence += 1;
        self.report_times.insert(self.report_sequence, self.now);
        if self.report_times.len() > MAX_TRACKED_REPORTS {
            self.report_times.pop_first();
        }
        let runs = self.runs.values();
        WorkerReport {
            epoch: self.epoch,
            sequence: self.report_sequence,
            age_ms: model::time::millis(self.config.lag),
            runs: runs
                .map(|run| run.report(self.now, self.config.lag))
                .collect(),
        }
    }
}

/// Stores the progress of a run; if the store rejects it, the last checkpoint remains valid.
fn store_checkpoint(objects: &FakeObjects, run: &mut Run) {
    let RunSpec { task, attempt, .. } = &run.spec;
    let name = format!("checkpoint/{task}/{attempt}");
    let body = Bytes::from(run.progress_ms.to_string());
    if objects.put(&name, body) {
        run.checkpoint = Some(CheckpointId::from(name));
    }
}
