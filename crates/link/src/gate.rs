//! The budget of a process as its servers use it, with the signals that close connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use model::Clock;
use model::Map;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::budget::Budget;
use crate::budget::ConnectionId;
use crate::budget::Phase;
use crate::budget::PortId;
use crate::budget::PortUsage;
use crate::budget::Shortage;
use crate::limits::LimitReason;
use crate::limits::ServerLimits;

/// The budget of a process. Clones refer to the same one.
#[derive(Clone)]
pub struct Gate(Rc<Inner>);

struct Inner {
    budget: RefCell<Budget>,
    clock: Clock,
    signals: RefCell<Map<ConnectionId, Signals>>,
    ports: RefCell<Vec<PortState>>,
}

/// How the task of a connection learns that it is to end.
#[derive(Clone, Default)]
struct Signals {
    /// The connection is closed without a response.
    abort: CancellationToken,
    /// The body is not awaited any longer, so that the request is answered.
    body: CancellationToken,
    /// Whether the body is not awaited because others need the memory or the connection.
    evicted: Rc<Cell<bool>>,
}

struct PortState {
    name: &'static str,
    id: PortId,
    counts: Map<LimitReason, u64>,
}

/// The limits that a port has enforced and what it uses.
#[derive(Clone, Debug)]
pub struct PortStats {
    /// Name of the port.
    pub name: &'static str,
    /// What the port uses.
    pub usage: PortUsage,
    /// How often each limit was enforced; limits that never were are absent.
    pub counts: Map<LimitReason, u64>,
}

impl Default for Gate {
    fn default() -> Self {
        Self(Rc::new(Inner {
            budget: RefCell::default(),
            clock: Clock::start(),
            signals: RefCell::default(),
            ports: RefCell::default(),
        }))
    }
}

impl Gate {
    /// Adds a port whose clients may use this much memory, in bytes. `name` is shown in logs and
    /// metrics.
    #[must_use]
    pub fn port(&self, name: &'static str, memory: usize) -> Port {
        let id = self.0.budget.borrow_mut().add_port(memory);
        self.0.ports.borrow_mut().push(PortState {
            name,
            id,
            counts: Map::default(),
        });
        Port {
            gate: self.clone(),
            id,
            index: self.0.ports.borrow().len() - 1,
            closed: Rc::new(Notify::new()),
            is_full: Rc::default(),
        }
    }

    /// Returns what each port uses and has refused or closed.
    #[must_use]
    pub fn stats(&self) -> Vec<PortStats> {
        let budget = self.0.budget.borrow();
        let ports = self.0.ports.borrow();
        ports
            .iter()
            .map(|port| PortStats {
                name: port.name,
                usage: budget.usage(port.id),
                counts: port.counts.clone(),
            })
            .collect()
    }
}

/// A port of a gate. Clones refer to the same one.
#[derive(Clone)]
pub struct Port {
    gate: Gate,
    id: PortId,
    index: usize,
    closed: Rc<Notify>,
    /// Whether there was no room for another connection when the server last looked.
    is_full: Rc<Cell<bool>>,
}

impl Port {
    /// Counts a limit that was enforced, for logs and metrics.
    pub fn count(&self, reason: LimitReason) {
        let mut ports = self.gate.0.ports.borrow_mut();
        *ports[self.index].counts.entry(reason).or_insert(0) += 1;
    }

    /// Returns what the port uses.
    #[must_use]
    pub fn usage(&self) -> PortUsage {
        self.gate.0.budget.borrow().usage(self.id)
    }

    /// Returns what the port lacks for another connection, and closes slow connections for it.
    pub(crate) fn make_room(&self, limits: &ServerLimits) -> Option<Shortage> {
        let base = limits.connection_bytes();
        let budget = self.gate.0.budget.borrow();
        let shortage = budget.shortage(self.id, base, limits.max_connections);
        drop(budget);
        self.is_full.set(shortage.is_some());
        if let Some(shortage) = shortage {
            self.evict(shortage);
        }
        shortage
    }

    /// Opens a connection, unless something is lacking.
    pub(crate) fn open(&self, limits: &ServerLimits) -> Option<Connection> {
        let now = self.gate.0.clock.now();
        let mut budget = self.gate.0.budget.borrow_mut();
        let base = limits.connection_bytes();
        let id = budget
            .open(self.id, base, limits.max_connections, now)
            .ok()?;
        drop(budget);
        let signals = Signals::default();
        let mut all = self.gate.0.signals.borrow_mut();
        all.insert(id, signals.clone());
        drop(all);
        Some(Connection(Rc::new(ConnectionState {
            port: self.clone(),
            id,
            signals,
            response_bytes: Cell::new(0),
            written: Cell::new(false),
            body_unread: Cell::new(false),
        })))
    }

    /// Waits until a connection is closed.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Closes the connections that have exceeded a limit.
    pub(crate) fn close_overdue(&self, limits: &ServerLimits) {
        let now = self.gate.0.clock.now();
        let mut budget = self.gate.0.budget.borrow_mut();
        let overdue = budget.overdue(self.id, limits, now);
        drop(budget);
        for (id, reason) in overdue {
            self.count(reason);
            self.signal(id, false);
        }
    }

    fn evict(&self, shortage: Shortage) {
        let now = self.gate.0.clock.now();
        let mut budget = self.gate.0.budget.borrow_mut();
        let evicted = budget.evict(self.id, shortage, now);
        drop(budget);
        for id in evicted {
            self.count(match shortage {
                Shortage::Connections => LimitReason::EvictedForConnection,
                Shortage::Memory(_) => LimitReason::EvictedForMemory,
            });
            self.signal(id, true);
        }
    }

    /// Tells the task of a connection that it is to end. A request whose body is being received is
    /// still answered.
    fn signal(&self, id: ConnectionId, evicted: bool) {
        let signals = self.gate.0.signals.borrow().get(&id).cloned();
        let phase = self.gate.0.budget.borrow().phase(id);
        match (signals, phase) {
            (Some(signals), Some(Phase::Body)) => {
                signals.evicted.set(evicted);
                signals.body.cancel();
            }
            (Some(signals), _) => signals.abort.cancel(),
            (None, _) => {}
        }
    }
}

/// An open connection. Clones refer to the same one; it is closed when the last one is dropped.
#[derive(Clone)]
pub(crate) struct Connection(Rc<ConnectionState>);

struct ConnectionState {
    port: Port,
    id: ConnectionId,
    signals: Signals,
    /// Memory that is reserved for the response.
    response_bytes: Cell<usize>,
    /// Whether a part of the response was written.
    written: Cell<bool>,
    /// Whether the client may still be sending a body that nobody reads.
    body_unread: Cell<bool>,
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        let gate = &self.port.gate.0;
        gate.budget.borrow_mut().close(self.id);
        gate.signals.borrow_mut().remove(&self.id);
        self.port.closed.notify_one();
    }
}

impl Connection {
    fn budget(&self) -> std::cell::RefMut<'_, Budget> {
        self.0.port.gate.0.budget.borrow_mut()
    }

    pub(crate) fn enter(&self, phase: Phase) {
        let now = self.0.port.gate.0.clock.now();
        self.budget().enter(self.0.id, phase, now);
    }

    pub(crate) fn phase(&self) -> Option<Phase> {
        self.budget().phase(self.0.id)
    }

    fn is_closing(&self) -> bool {
        self.budget().is_closing(self.0.id)
    }

    pub(crate) fn progress(&self, bytes: usize) {
        let now = self.0.port.gate.0.clock.now();
        self.budget().progress(self.0.id, bytes, now);
    }

    pub(crate) fn count(&self, reason: LimitReason) {
        self.0.port.count(reason);
    }

    /// Waits until the connection is to be closed without a response.
    pub(crate) async fn aborted(&self) {
        self.0.signals.abort.cancelled().await;
    }

    /// Waits until the body is not to be awaited any longer.
    pub(crate) async fn body_cancelled(&self) {
        self.0.signals.body.cancelled().await;
    }

    /// Returns whether the connection is to end with this response: it is to be closed anyway, its client
    /// may still be sending a body, or others wait for a connection, of which clients that are always
    /// active would otherwise keep theirs.
    pub(crate) fn is_last_response(&self) -> bool {
        self.is_closing() || self.has_unread_body() || self.0.port.is_full.get()
    }

    /// Returns whether the connection has to close because others need its memory or a connection.
    pub(crate) fn is_evicted(&self) -> bool {
        self.0.signals.evicted.get()
    }

    /// Reserves memory until the returned value is dropped. Slow connections are closed if there is
    /// none, for the benefit of later requests.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.try_reserve(bytes).then(|| Reservation {
            connection: self.clone(),
            bytes,
        })
    }

    fn try_reserve(&self, bytes: usize) -> bool {
        let reserved = self.budget().reserve(self.0.id, bytes);
        if !reserved {
            self.count(LimitReason::Memory);
            self.0.port.evict(Shortage::Memory(bytes));
        }
        reserved
    }

    /// Reserves memory for a response until it is written. Returns false if there is none.
    pub(crate) fn reserve_response(&self, bytes: usize) -> bool {
        let reserved = self.try_reserve(bytes);
        if reserved {
            self.0.response_bytes.set(bytes);
        }
        reserved
    }

    /// Records that the response is known and is going to be written.
    pub(crate) fn begin_response(&self) {
        self.0.written.set(false);
        self.enter(Phase::Response);
    }

    /// Records that bytes were written to the client.
    pub(crate) fn wrote(&self, bytes: usize) {
        self.0.written.set(true);
        self.progress(bytes);
    }

    /// Records that all bytes that were to be written have been.
    pub(crate) fn flushed(&self) {
        if self.0.written.get() && self.phase() == Some(Phase::Response) {
            let bytes = self.0.response_bytes.take();
            self.budget().release(self.0.id, bytes);
            self.enter(Phase::Idle);
        }
    }

    /// Records that the body of the request is not read to its end.
    pub(crate) fn leave_body_unread(&self) {
        self.0.body_unread.set(true);
    }

    pub(crate) fn has_unread_body(&self) -> bool {
        self.0.body_unread.get()
    }
}

/// Memory that is reserved until this is dropped.
pub struct Reservation {
    connection: Connection,
    bytes: usize,
}

impl Reservation {
    /// Reserves more memory. Returns false if there is none.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let reserved = self.connection.try_reserve(bytes);
        if reserved {
            self.bytes += bytes;
        }
        reserved
    }

    /// Releases a part of the memory.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let id = self.connection.0.id;
        self.connection.budget().release(id, bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let id = self.connection.0.id;
        self.connection.budget().release(id, self.bytes);
    }
}
