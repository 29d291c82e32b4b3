//! A fake executor of an upstream.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use model::id::ExecutorId;
use plat::call::call;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::faults::Faults;
use crate::server;
use crate::server::Handler;
use crate::server::HandlerResponse;
use crate::server::Request;
use crate::server::Server;

mod ledger;

pub use self::ledger::RunLedger;

/// The reason given for refusing a request when all slots are in use.
pub const BUSY: &str = "busy";
/// The reason given for refusing a request while the executor is leaving.
pub const LEAVING: &str = "leaving";

/// The body of a response, by which a caller verifies that it is complete and belongs to its
/// request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The executor that ran the request.
    pub executor: ExecutorId,
    /// The ID of the request.
    pub id: String,
    /// The path of the request with its query.
    pub path: String,
    /// The size of the request body in bytes.
    pub received: usize,
    /// Padding of the size set with [`FakeExecutor::set_filler`].
    pub filler: String,
}

/// Returns the run time of a request.
pub type Delay = Arc<dyn Fn(&Request) -> Duration + Send + Sync>;

struct Shared {
    id: ExecutorId,
    slots: usize,
    delay: Mutex<Delay>,
    filler_bytes: AtomicUsize,
    max_connections: AtomicUsize,
    leaving: AtomicBool,
    running: AtomicUsize,
    max_running: AtomicUsize,
    ledger: RunLedger,
    faults: Faults,
}

/// A fake executor; clones share its state.
#[derive(Clone)]
pub struct FakeExecutor(Arc<Shared>);

impl FakeExecutor {
    /// Creates an executor with `slots` slots that records its runs in `ledger`.
    #[must_use]
    pub fn new(id: impl Into<ExecutorId>, slots: usize, ledger: &RunLedger) -> Self {
        Self(Arc::new(Shared {
            id: id.into(),
            slots,
            delay: Mutex::new(Arc::new(|_| Duration::ZERO)),
            filler_bytes: AtomicUsize::new(0),
            max_connections: AtomicUsize::new(usize::MAX),
            leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            max_running: AtomicUsize::new(0),
            ledger: ledger.clone(),
            faults: Faults::default(),
        }))
    }

    /// Returns the fault injection of the executor; the operation is the last segment of the path.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.0.faults
    }

    /// Sets the function that returns the run time of each request.
    pub fn set_delay(&self, delay: impl Fn(&Request) -> Duration + Send + Sync + 'static) {
        *self.delay() = Arc::new(delay);
    }

    /// Sets the size of the padding in each response, in bytes.
    pub fn set_filler(&self, bytes: usize) {
        self.0.filler_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Sets the connection limit of servers that are started afterwards.
    pub fn set_max_connections(&self, connections: usize) {
        self.0.max_connections.store(connections, Ordering::Relaxed);
    }

    /// Sets whether the executor is leaving and refuses new requests.
    pub fn set_leaving(&self, leaving: bool) {
        self.0.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns the number of requests that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.0.running.load(Ordering::Relaxed)
    }

    /// Returns the maximum number of requests that ran at the same time.
    #[must_use]
    pub fn max_running(&self) -> usize {
        self.0.max_running.load(Ordering::Relaxed)
    }

    /// Returns the request handler, without a socket and without injected faults.
    ///
    /// A run continues after its caller has disconnected, as it does in a real executor process.
    #[must_use]
    pub fn direct(&self) -> Handler {
        let executor = self.clone();
        call(move |req| {
            let run = tokio::spawn(executor.clone().handle(req));
            async move {
                let answer = run.await;
                answer.unwrap_or_else(|_| HandlerResponse::json(500, &"run failed"))
            }
        })
    }

    /// Starts an HTTP/1.1 server for the executor.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let connections = self.0.max_connections.load(Ordering::Relaxed);
        server::serve_with_connection_limit(
            connections,
            address,
            self.0.faults.clone(),
            self.direct(),
        )
        .await
    }

    async fn handle(self, req: Request) -> HandlerResponse {
        if self.0.leaving.load(Ordering::Relaxed) {
            return HandlerResponse::refused(503, LEAVING);
        }
        let Some(_slot) = Slot::try_acquire(&self.0) else {
            return HandlerResponse::refused(503, BUSY);
        };
        self.0.ledger.start(&req.id, &self.0.id);
        let delay = self.delay().clone();
        sleep(delay(&req)).await;
        self.0.ledger.finish(&req.id);
        self.echo(&req)
    }

    fn echo(&self, req: &Request) -> HandlerResponse {
        let filler = self.0.filler_bytes.load(Ordering::Relaxed);
        let echo = Echo {
            executor: self.0.id.clone(),
            id: req.id.clone(),
            path: req.path.clone(),
            received: Bytes::len(&req.body),
            filler: "x".repeat(filler),
        };
        HandlerResponse::json(200, &echo)
    }

    fn delay(&self) -> MutexGuard<'_, Delay> {
        self.0.delay.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot in use, which is freed on drop.
struct Slot(Arc<Shared>);

impl Slot {
    fn try_acquire(shared: &Arc<Shared>) -> Option<Self> {
        let more = |running| (running < shared.slots).then_some(running + 1);
        let before = shared
            .running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more)
            .ok()?;
        shared.max_running.fetch_max(before + 1, Ordering::Relaxed);
        Some(Self(shared.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
