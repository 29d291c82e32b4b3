//! Two fake workers on a paused clock.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fake::object::FakeObjects;
use fake::worker::AgentConfig;
use fake::worker::FakeWorker;
use fake::worker::FakeWorkers;
use fake::worker::InterferenceModel;
use fake::worker::Ledger;
use fake::worker::Program;
use model::Clock;
use model::Map;
use model::Size;
use model::id::Attempt;
use model::id::CheckpointId;
use model::id::ClassId;
use model::id::Epoch;
use model::id::TaskId;
use plat::worker::Command;
use plat::worker::RunReport;
use plat::worker::RunState;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;
use plat::worker::WorkerRequest;
use plat::worker::Workers;

pub(crate) const LEASE: Duration = Duration::from_secs(15);
pub(crate) const SIZE: Size = Size::new(1000, 1000, 0);
pub(crate) const LAG: Duration = Duration::from_secs(4);
pub(crate) const TASK: &str = "task-1";

/// Two workers with capacity for two tasks each, and the calls of a daemon to them.
pub(crate) struct Harness {
    pub(crate) ledger: Ledger,
    pub(crate) objects: FakeObjects,
    pub(crate) fake_workers: FakeWorkers,
    pub(crate) workers: Workers,
    senders: Mutex<Map<(u64, u16), SenderState>>,
}

/// The sequence numbers of the last message and the last received report of an owner.
#[derive(Clone, Copy, Default)]
struct SenderState {
    sequence: u64,
    last_report: u64,
}

impl Harness {
    pub(crate) fn new(program: Program) -> Self {
        Self::with(program, None)
    }

    pub(crate) fn with(program: Program, interference: Option<InterferenceModel>) -> Self {
        let ledger = Ledger::new(Clock::start());
        let objects = FakeObjects::new();
        let fake_workers = FakeWorkers::new();
        let config = AgentConfig {
            capacity: SIZE + SIZE,
            lag: LAG,
            programs: Arc::new(move |_| program.clone()),
            interference,
        };
        for number in [1, 2] {
            let name = format!("worker-{number}");
            let worker = FakeWorker::new(name, config.clone(), &ledger, &objects);
            fake_workers.add(address(number), worker);
        }
        let workers = fake_workers.direct();
        Self {
            ledger,
            objects,
            fake_workers,
            workers,
            senders: Mutex::default(),
        }
    }

    pub(crate) fn worker(&self, number: u16) -> FakeWorker {
        self.fake_workers
            .get(address(number))
            .expect("the worker exists")
    }

    /// Sends commands under epoch 1 and grants a lease.
    pub(crate) async fn send(
        &self,
        number: u16,
        commands: Vec<Command>,
    ) -> Result<WorkerReport, WorkerError> {
        self.send_under(1, number, commands).await
    }

    /// Sends commands as an owner does: with a sequence number, and with a lease that counts from
    /// the last received report. If there is none, a message without a lease requests it first.
    pub(crate) async fn send_under(
        &self,
        epoch: u64,
        number: u16,
        commands: Vec<Command>,
    ) -> Result<WorkerReport, WorkerError> {
        if self.sender_state(epoch, number).last_report == 0 {
            self.exchange(epoch, number, 0, Vec::new()).await?;
        }
        let lease_ms = model::time::millis(LEASE);
        self.exchange(epoch, number, lease_ms, commands).await
    }

    pub(crate) async fn exchange(
        &self,
        epoch: u64,
        number: u16,
        lease_ms: u64,
        commands: Vec<Command>,
    ) -> Result<WorkerReport, WorkerError> {
        let mut sender = self.sender_state(epoch, number);
        sender.sequence += 1;
        self.senders().insert((epoch, number), sender);
        let message = WorkerMessage {
            epoch: Epoch(epoch),
            sequence: sender.sequence,
            last_report: sender.last_report,
            lease_ms,
            commands,
        };
        let address = address(number);
        let answer = (self.workers.send)(WorkerRequest { address, message }).await;
        if let Ok(report) = &answer {
            sender.last_report = report.sequence;
            self.senders().insert((epoch, number), sender);
        }
        answer
    }

    fn sender_state(&self, epoch: u64, number: u16) -> SenderState {
        self.senders()
            .get(&(epoch, number))
            .copied()
            .unwrap_or_default()
    }

    fn senders(&self) -> std::sync::MutexGuard<'_, Map<(u64, u16), SenderState>> {
        self.senders
            .lock()
            .expect("no test panics while it holds the lock")
    }

    /// Sends commands to worker 1 and returns the report on its first task.
    pub(crate) async fn send_to_first(&self, commands: Vec<Command>) -> RunReport {
        let report = self.send(1, commands).await.expect("no fault is injected");
        report
            .runs
            .first()
            .cloned()
            .expect("the report contains a task")
    }

    pub(crate) async fn first_run_state(&self) -> RunState {
        self.send_to_first(Vec::new()).await.state
    }
}

pub(crate) const fn address(number: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), number)
}

pub(crate) fn start(task: &str, attempt: u32) -> Command {
    start_from(task, attempt, None)
}

pub(crate) fn start_from(task: &str, attempt: u32, checkpoint: Option<CheckpointId>) -> Command {
    Command::Start {
        task: TaskId::from(task),
        attempt: Attempt(attempt),
        class: ClassId::from("ice-jam"),
        size: SIZE,
        checkpoint,
    }
}

pub(crate) fn stop(attempt: u32, checkpoint: bool) -> Command {
    Command::Stop {
        task: TaskId::from(TASK),
        attempt: Attempt(attempt),
        checkpoint,
    }
}

pub(crate) fn throttle(permille: u16) -> Command {
    Command::Throttle {
        task: TaskId::from(TASK),
        attempt: Attempt(1),
        permille,
    }
}

pub(crate) fn release(attempt: u32) -> Command {
    Command::Release {
        task: TaskId::from(TASK),
        attempt: Attempt(attempt),
    }
}
