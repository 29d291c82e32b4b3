//! Fake workers: their agents, the simulated tasks, and a ledger of the runs on all workers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use model::Map;
use model::Size;
use model::id::TaskId;
use model::id::WorkerId;
use plat::call::call;
use plat::error::CallError;
use plat::worker::CALL_TIMEOUT;
use plat::worker::WorkerError;
use plat::worker::WorkerMessage;
use plat::worker::WorkerReport;
use plat::worker::WorkerRequest;
use plat::worker::Workers;
use plat::worker::http::FencedResponse;
use plat::worker::http::MESSAGE_PATH;

use crate::faults::Faults;
use crate::faults::inject;
use crate::object::FakeObjects;
use crate::server;
use crate::server::HandlerResponse;
use crate::server::Request;
use crate::server::Server;

mod agent;
mod ledger;
mod program;
mod run;

pub use self::agent::Agent;
pub use self::agent::AgentConfig;
pub use self::ledger::Interval;
pub use self::ledger::Ledger;
pub use self::ledger::RunCounts;
pub use self::ledger::RunEvent;
pub use self::program::Completion;
pub use self::program::InterferenceEffect;
pub use self::program::InterferenceModel;
pub use self::program::Program;
pub use self::program::ProgramSelector;
pub use self::program::RunSpec;
pub use self::program::RunView;

struct Shared {
    id: WorkerId,
    agent: Mutex<Agent>,
    ledger: Ledger,
    faults: Faults,
}

/// A fake worker; clones share its state.
#[derive(Clone)]
pub struct FakeWorker(Arc<Shared>);

impl FakeWorker {
    /// Creates a worker that records its runs in `ledger` and stores checkpoints in `objects`.
    #[must_use]
    pub fn new(
        id: impl Into<WorkerId>,
        config: AgentConfig,
        ledger: &Ledger,
        objects: &FakeObjects,
    ) -> Self {
        let agent = Agent::new(config, objects.clone(), ledger.clock().now());
        Self(Arc::new(Shared {
            id: id.into(),
            agent: Mutex::new(agent),
            ledger: ledger.clone(),
            faults: Faults::default(),
        }))
    }

    /// Returns the ID of the worker.
    #[must_use]
    pub fn id(&self) -> &WorkerId {
        &self.0.id
    }

    /// Returns the fault injection of the worker; the operation is `message`.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.0.faults
    }

    /// Handles a message of an owner without injected faults.
    ///
    /// # Errors
    ///
    /// Returns [`WorkerError::Fenced`] if the worker has seen a higher epoch; nothing was executed.
    pub fn handle_message(&self, message: &WorkerMessage) -> Result<WorkerReport, WorkerError> {
        let now = self.0.ledger.clock().now();
        self.with_agent(|agent| agent.handle_message(message, now))
    }

    /// Returns the running tasks.
    #[must_use]
    pub fn running(&self) -> Vec<TaskId> {
        self.with_advanced_agent(|agent| agent.running())
    }

    /// Returns the resources reserved for the running tasks.
    #[must_use]
    pub fn reserved(&self) -> Size {
        self.with_advanced_agent(|agent| agent.reserved())
    }

    /// Sets whether every run fails immediately after its start.
    pub fn set_fail_on_start(&self, fails: bool) {
        self.with_agent(|agent| agent.set_fail_on_start(fails));
    }

    /// Simulates a failure of the host: all runs end, and calls fail until the faults are cleared.
    pub fn crash(&self) {
        let now = self.0.ledger.clock().now();
        self.with_agent(|agent| agent.crash(now));
        self.0.faults.set(crate::faults::Fault::Down);
    }

    /// Starts an HTTP server with the wire format of `plat::worker::http`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let worker = self.clone();
        server::serve(address, self.0.faults.clone(), move |req| {
            worker.handle(req)
        })
        .await
    }

    fn handle(&self, req: &Request) -> HandlerResponse {
        if req.path != MESSAGE_PATH {
            return HandlerResponse::refused(404, "no such path");
        }
        let message = match serde_json::from_slice(&req.body) {
            Ok(message) => message,
            Err(error) => return HandlerResponse::refused(400, &error.to_string()),
        };
        match self.handle_message(&message) {
            Ok(report) => HandlerResponse::json(200, &report),
            Err(WorkerError::Fenced { epoch }) => {
                HandlerResponse::json(409, &FencedResponse { epoch })
            }
            Err(WorkerError::Call(error)) => HandlerResponse::refused(503, &error.to_string()),
        }
    }

    async fn deliver(self, message: WorkerMessage) -> Result<WorkerReport, WorkerError> {
        let faults = self.0.faults.clone();
        let apply = move || self.handle_message(&message);
        inject(&faults, "message", CALL_TIMEOUT, apply).await
    }

    fn with_advanced_agent<T>(&self, f: impl FnOnce(&Agent) -> T) -> T {
        let now = self.0.ledger.clock().now();
        self.with_agent(|agent| {
            agent.advance(now);
            f(agent)
        })
    }

    fn with_agent<T>(&self, f: impl FnOnce(&mut Agent) -> T) -> T {
        let mut agent = self.0.agent.lock().unwrap_or_else(PoisonError::into_inner);
        let out = f(&mut agent);
        self.0.ledger.record(&self.0.id, agent.take_events());
        out
    }
}

/// Fake workers by their address; clones share the set.
#[derive(Clone, Default)]
pub struct FakeWorkers(Arc<Mutex<Map<SocketAddr, FakeWorker>>>);

impl FakeWorkers {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker under an address, which need not be reachable for calls without a socket.
    pub fn add(&self, address: SocketAddr, worker: FakeWorker) {
        self.lock().insert(address, worker);
    }

    /// Returns the worker with an address.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<FakeWorker> {
        self.lock().get(&address).cloned()
    }

    /// Advances all workers to the current time, so that the ledger contains all ended runs.
    pub fn advance(&self) {
        let workers: Vec<_> = self.lock().values().cloned().collect();
        for worker in workers {
            worker.with_advanced_agent(|_| ());
        }
    }

    /// Returns the client interface of a daemon without a socket.
    #[must_use]
    pub fn direct(&self) -> Workers {
        let workers = self.clone();
        Workers {
            send: call(move |to: WorkerRequest| {
                let worker = workers.get(to.address);
                async move {
                    match worker {
                        Some(worker) => worker.deliver(to.message).await,
                        None => Err(CallError::Refused("no connection".to_owned()).into()),
                    }
                }
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, FakeWorker>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
