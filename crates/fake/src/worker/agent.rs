//! The agent of a stand-in worker as a state machine: no clock, no task, no socket.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use model::Map;
use model::Mono;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::Epoch;
use model::id::TaskId;
use plat::worker::Command;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;

use super::ledger::Fact;
use super::program::Beginning;
use super::program::Disturbance;
use super::program::Ending;
use super::program::Interference;
use super::program::Programs;
use super::run::Run;
use super::run::Stopping;
use crate::object::FakeObjects;

/// The longest span over which a hidden interference is taken as constant.
const INTERFERENCE_STEP: Duration = Duration::from_secs(1);
/// How many of its last reports an agent knows the time of.
const REPORTS_KNOWN: usize = 64;
/// The bits of a report's number below those that count the lives of the agent.
const LIFE_SHIFT: u32 = 32;

/// What a worker has and how it behaves.
#[derive(Clone)]
pub struct AgentConfig {
    /// What it has.
    pub capacity: Size,
    /// How old the usage figures of its reports are.
    pub lag: Duration,
    /// What its tasks truly do.
    pub programs: Programs,
    /// How its tasks disturb each other, if they do.
    pub interference: Option<Interference>,
}

/// The agent of one worker.
pub struct Agent {
    cfg: AgentConfig,
    objects: FakeObjects,
    epoch: Epoch,
    sequence: u64,
    lease_until: Mono,
    sent: BTreeMap<u64, Mono>,
    message: u64,
    runs: BTreeMap<TaskId, Run>,
    attempts: Map<TaskId, Attempt>,
    fails_starts: bool,
    facts: Vec<Fact>,
    now: Mono,
}

impl Agent {
    /// Makes an agent that runs nothing and has no lease.
    #[must_use]
    pub fn new(cfg: AgentConfig, objects: FakeObjects, now: Mono) -> Self {
        Self {
            cfg,
            objects,
            epoch: Epoch::default(),
            sequence: 1 << LIFE_SHIFT,
            lease_until: now,
            sent: BTreeMap::new(),
            message: 0,
            runs: BTreeMap::new(),
            attempts: Map::default(),
            fails_starts: false,
            facts: Vec::new(),
            now,
        }
    }

    /// Handles a message. One whose sequence is not above the last one under its epoch is a late or
    /// repeated copy: it is answered with a report and has no other effect.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Fenced`] where a higher epoch is obeyed; nothing was done then.
    pub fn message(
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
            self.message = 0;
        }
        if message.sequence > self.message {
            self.message = message.sequence;
            self.renew(message);
            for command in &message.commands {
                self.obey(command);
            }
            self.settle();
        }
        Ok(self.report())
    }

    /// Brings the agent to `now`: progress, ends, and the lapse of its lease.
    pub fn advance(&mut self, now: Mono) {
        while self.now < now {
            let disturbances = self.disturbances();
            let next = self.next_change(&disturbances).min(now).max(self.now);
            self.progress(next, &disturbances);
            self.now = next;
            self.settle();
        }
    }

    /// Lets the host fail: all runs end at once; it keeps its epoch and the attempts it has seen.
    pub fn crash(&mut self, now: Mono) {
        self.advance(now);
        let running = self.running();
        let ended = running
            .into_iter()
            .map(|task| Fact::Ended { task, at: now });
        self.facts.extend(ended);
        self.runs.clear();
        self.sent.clear();
        self.sequence = ((self.sequence >> LIFE_SHIFT) + 1) << LIFE_SHIFT;
        self.message = 0;
        self.lease_until = now;
    }

    /// Sets whether every run fails as soon as it begins.
    pub const fn set_fails_starts(&mut self, fails: bool) {
        self.fails_starts = fails;
    }

    /// Returns the tasks that run now.
    #[must_use]
    pub fn running(&self) -> Vec<TaskId> {
        let running = self.runs.iter().filter(|(_, run)| run.is_running());
        running.map(|(task, _)| task.clone()).collect()
    }

    /// Returns what is reserved for the tasks that run now.
    #[must_use]
    pub fn reserved(&self) -> Size {
        let running = self.runs.values().filter(|run| run.is_running());
        running.map(|run| run.beginning.size).sum()
    }

    /// Returns the highest epoch seen.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the end of the lease.
    #[must_use]
    pub const fn lease_until(&self) -> Mono {
        self.lease_until
    }

    /// Takes what has happened since it was last asked.
    pub fn take_facts(&mut self) -> Vec<Fact> {
        std::mem::take(&mut self.facts)
    }

    /// Counts the lease from when the report was made that the message answers.
    fn renew(&mut self, message: &WorkerMessage) {
        if let Some(made) = self.sent.get(&message.last_report) {
            let until = made.after(Duration::from_millis(message.lease_ms));
            self.lease_until = self.lease_until.max(until);
            let until = self.lease_until;
            self.facts.push(Fact::Leased { until });
        }
    }

    fn obey(&mut self, command: &Command) {
        match command {
            Command::Start {
                task,
                attempt,
                class,
                size,
                checkpoint,
            } => {
                let beginning = Beginning {
                    task: task.clone(),
                    attempt: *attempt,
                    class: class.clone(),
                    size: *size,
                };
                self.start(beginning, checkpoint.as_ref());
            }
            Command::Stop {
                task,
                attempt,
                checkpoint,
            } => self.stop(task, *attempt, *checkpoint),
            Command::Throttle {
                task,
                attempt,
                permille,
            } => {
                if let Some(run) = self.run_mut(task, *attempt) {
                    run.throttle_permille = *permille;
                }
            }
            Command::Release { task, attempt } => {
                let ended = self
                    .run_mut(task, *attempt)
                    .is_some_and(|run| !run.is_running());
                if ended {
                    self.runs.remove(task);
                }
            }
        }
    }

    fn start(&mut self, beginning: Beginning, checkpoint: Option<&CheckpointId>) {
        let task = beginning.task.clone();
        if !self.is_newer(&task, beginning.attempt) {
            let now = self.now;
            let unlisted = || Run::never(beginning, now);
            self.runs.entry(task).or_insert_with(unlisted);
            return;
        }
        self.end(&task, RunState::Stopped);
        self.attempts.insert(task.clone(), beginning.attempt);
        if !(self.reserved() + beginning.size).fits(&self.cfg.capacity) {
            self.facts.push(Fact::Overcommitted { task: task.clone() });
            self.runs.insert(task, Run::never(beginning, self.now));
            return;
        }
        if self.lease_until <= self.now {
            self.runs.insert(task, Run::never(beginning, self.now));
            return;
        }
        let run = self.begin(beginning, checkpoint);
        self.runs.insert(task, run);
    }

    fn begin(&mut self, beginning: Beginning, checkpoint: Option<&CheckpointId>) -> Run {
        let task = beginning.task.clone();
        let attempt = beginning.attempt;
        let mut program = (self.cfg.programs)(&beginning);
        if self.fails_starts {
            program = program.ending(Ending::Fails(Duration::ZERO));
        }
        let mut run = Run::begin(beginning, program, self.now);
        if let Some(checkpoint) = checkpoint {
            match self.load(checkpoint) {
                Some(progress) => run.progress_ms = progress,
                None => self
                    .facts
                    .push(Fact::CheckpointMissing { task: task.clone() }),
            }
            run.checkpoint = Some(checkpoint.clone());
        }
        self.facts.push(Fact::Began {
            task,
            attempt,
            checkpoint: checkpoint.cloned(),
            at: self.now,
        });
        let until = self.lease_until;
        self.facts.push(Fact::Leased { until });
        run
    }

    /// Stops a run, or notes that it may never begin if its start has not come yet.
    fn stop(&mut self, task: &TaskId, attempt: Attempt, checkpoint: bool) {
        if self.is_newer(task, attempt) {
            self.end(task, RunState::Stopped);
            self.attempts.insert(task.clone(), attempt);
            let beginning = Beginning {
                task: task.clone(),
                attempt,
                class: ClassId::from(""),
                size: Size::ZERO,
            };
            self.runs
                .insert(task.clone(), Run::never(beginning, self.now));
            return;
        }
        let now = self.now;
        let run = self.run_mut(task, attempt);
        if let Some(run) = run.filter(|run| run.is_running() && run.stopping.is_none()) {
            let at = now.after(run.program.stop);
            run.stopping = Some(Stopping { at, checkpoint });
        }
    }

    fn is_newer(&self, task: &TaskId, attempt: Attempt) -> bool {
        self.attempts.get(task).is_none_or(|seen| attempt > *seen)
    }

    fn run_mut(&mut self, task: &TaskId, attempt: Attempt) -> Option<&mut Run> {
        let run = self.runs.get_mut(task)?;
        (run.beginning.attempt == attempt).then_some(run)
    }

    /// Ends all runs that are due, and all of them once the lease has lapsed.
    fn settle(&mut self) {
        let lapsed = self.lease_until <= self.now;
        for task in self.running() {
            let Some(due) = self.runs.get(&task).map(|run| run.due(self.now)) else {
                continue;
            };
            let due = if lapsed && due == RunState::Running {
                RunState::Stopped
            } else {
                due
            };
            if due != RunState::Running {
                self.end(&task, due);
            }
        }
        let disturbances = self.disturbances();
        let running = self.runs.values_mut().filter(|run| run.is_running());
        for (run, disturbance) in running.zip(disturbances) {
            run.sample(self.now, self.cfg.lag, disturbance);
        }
    }

    fn end(&mut self, task: &TaskId, state: RunState) {
        let Some(run) = self.runs.get_mut(task).filter(|run| run.is_running()) else {
            return;
        };
        run.state = state;
        let wanted = run.stopping.is_some_and(|stopping| stopping.checkpoint);
        if state == RunState::Stopped && wanted && run.program.checkpoints {
            store(&self.objects, run);
        }
        self.facts.push(Fact::Ended {
            task: task.clone(),
            at: self.now,
        });
    }

    fn disturbances(&self) -> Vec<Disturbance> {
        let running = self.runs.values().filter(|run| run.is_running());
        let views: Vec<_> = running.map(Run::view).collect();
        match &self.cfg.interference {
            Some(interference) => interference(&views, self.now),
            None => views
                .iter()
                .map(|view| Disturbance {
                    speed: 1.0,
                    p99_us: view.p99_us,
                })
                .collect(),
        }
    }

    fn next_change(&self, disturbances: &[Disturbance]) -> Mono {
        let running = self.runs.values().filter(|run| run.is_running());
        let ends = running.zip(disturbances).filter_map(|(run, disturbance)| {
            run.next_change(self.now, run.speed() * disturbance.speed)
        });
        let lapse = Some(self.lease_until).filter(|until| *until > self.now);
        let step = self.cfg.interference.is_some();
        let step = step.then(|| self.now.after(INTERFERENCE_STEP));
        let changes = ends.chain(lapse).chain(step);
        changes.min().unwrap_or(Mono(u64::MAX))
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
    fn progress(&mut self, until: Mono, disturbances: &[Disturbance]) {
        let span = until.since(self.now).as_millis() as f64;
        let running = self.runs.values_mut().filter(|run| run.is_running());
        for (run, disturbance) in running.zip(disturbances) {
            run.progress_ms += span * run.speed() * disturbance.speed;
        }
    }

    fn report(&mut self) -> WorkerReport {
        self.sequence += 1;
        self.sent.insert(self.sequence, self.now);
        if self.sent.len() > REPORTS_KNOWN {
            self.sent.pop_first();
        }
        let runs = self.runs.values();
        WorkerReport {
            epoch: self.epoch,
            sequence: self.sequence,
            age_ms: model::time::millis(self.cfg.lag),
            runs: runs.map(|run| run.report(self.now, self.cfg.lag)).collect(),
        }
    }

    fn load(&self, checkpoint: &CheckpointId) -> Option<f64> {
        let body = self.objects.get(checkpoint.as_str())?;
        serde_json::from_slice(&body).ok()
    }
}

/// Stores how far a run has come; if the store does not take it, the last checkpoint stands.
fn store(objects: &FakeObjects, run: &mut Run) {
    let Beginning { task, attempt, .. } = &run.beginning;
    let name = format!("checkpoint/{task}/{attempt}");
    let body = Bytes::from(run.progress_ms.to_string());
    if objects.put(&name, body) {
        run.checkpoint = Some(CheckpointId::from(name));
    }
}
