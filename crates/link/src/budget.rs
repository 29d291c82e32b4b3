//! Accounting of what clients make a process hold: connections, memory, and the progress of each
//! transfer. Pure: the caller passes the time, and carries out what is decided.
//!
//! A process has one [`Budget`] with a share for each port. A share that is used up by clients of
//! one port takes nothing from the others. See `docs/design/client-limits.md`.

use std::time::Duration;

use model::Map;
use model::Mono;

use crate::limits::LimitReason;
use crate::limits::ServerLimits;

/// Smallest rate of a transfer that counts as progress, in bytes per second.
const MIN_RATE: u64 = 4 << 10;
/// A transfer that is behind [`MIN_RATE`] by more than this is closed.
const MAX_LAG: Duration = Duration::from_secs(5);
/// A transfer that is behind by less than this is not closed for its memory, because a client on a
/// distant or lossy path may pause for that long.
const MIN_MEMORY_EVICTION_LAG: Duration = Duration::from_millis(250);
/// A connection that is behind by less than this is not closed to make room for another one. A few hundred
/// silent clients in the backlog delay a well-behaved one by this time for each batch that is accepted, and
/// the platform gives up a probe of readiness after a second.
const MIN_CONNECTION_EVICTION_LAG: Duration = Duration::from_millis(100);
/// Maximum number of connections of a port that are closed at a time to make room for new ones.
const MAX_EVICTIONS: usize = 16;
/// The memory reserved for connections as such is at most the share divided by this, so that bodies
/// and responses find room when all connections are taken.
const CONNECTION_DIVISOR: usize = 2;

/// Identifies an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Identifies a port of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PortId(usize);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waiting for the first byte of a request.
    Idle,
    /// Receiving the head of a request.
    Head,
    /// Receiving the body of a request.
    Body,
    /// The server is working on the request; nothing is expected of the client.
    Handler,
    /// Sending a response.
    Response,
}

/// What a port lacks for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// All connections are taken.
    Connections,
    /// Bodies and responses leave less than this much memory, in bytes.
    Memory(usize),
}

/// What a port uses at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PortUsage {
    /// Number of open connections.
    pub connections: usize,
    /// Reserved memory, in bytes.
    pub memory: usize,
    /// The highest value of `memory` so far.
    pub peak_memory: usize,
}

#[derive(Debug)]
struct Port {
    memory: usize,
    usage: PortUsage,
    /// The part of the used memory that is reserved for connections as such.
    connection_memory: usize,
}

#[derive(Debug)]
struct Connection {
    port: PortId,
    /// Memory reserved for as long as the connection is open.
    base: usize,
    /// All reserved memory.
    reserved: usize,
    phase: Phase,
    /// When the phase began.
    since: Mono,
    /// Until when the bytes transferred in this phase suffice at [`MIN_RATE`], in microseconds; never
    /// in the future, so that a fast start does not make up for a stall.
    paid_until_us: u64,
    /// Whether a request on the connection has been answered.
    has_served: bool,
    /// Whether the connection is to be closed.
    closing: bool,
}

impl Connection {
    const fn waits_for_client(&self) -> bool {
        !matches!(self.phase, Phase::Handler)
    }

    /// Returns by how much the client is behind [`MIN_RATE`].
    const fn lag(&self, now: Mono) -> Duration {
        Duration::from_micros((now.0 * 1_000).saturating_sub(self.paid_until_us))
    }

    /// Returns why the connection has to be closed, if it has to.
    fn overdue(&self, limits: &ServerLimits, now: Mono) -> Option<LimitReason> {
        let elapsed = now.since(self.since);
        match self.phase {
            Phase::Idle => (elapsed > limits.idle_timeout).then_some(LimitReason::Idle),
            Phase::Head => (elapsed > limits.header_timeout).then_some(LimitReason::HeadTimeout),
            Phase::Body if elapsed > limits.idle_timeout => Some(LimitReason::BodyTimeout),
            Phase::Body => (self.lag(now) > MAX_LAG).then_some(LimitReason::BodySlow),
            Phase::Response => (self.lag(now) > MAX_LAG).then_some(LimitReason::ResponseSlow),
            Phase::Handler => None,
        }
    }
}

/// The connections and the memory of all ports of a process.
#[derive(Debug, Default)]
pub struct Budget {
    ports: Vec<Port>,
    connections: Map<ConnectionId, Connection>,
    last_id: u64,
}

impl Budget {
    /// Adds a port whose clients may use this much memory, in bytes.
    pub fn add_port(&mut self, memory: usize) -> PortId {
        self.ports.push(Port {
            memory,
            usage: PortUsage::default(),
            connection_memory: 0,
        });
        PortId(self.ports.len() - 1)
    }

    /// Returns what a port uses.
    #[must_use]
    pub fn usage(&self, port: PortId) -> PortUsage {
        self.ports[port.0].usage
    }

    /// Returns what a port lacks for a connection that needs `base` bytes, or `None` if it can be
    /// opened.
    #[must_use]
    pub fn shortage(&self, port: PortId, base: usize, max_connections: usize) -> Option<Shortage> {
        let port = &self.ports[port.0];
        let connection_memory = port.connection_memory.saturating_add(base);
        if port.usage.connections >= max_connections
            || connection_memory > port.memory / CONNECTION_DIVISOR
        {
            return Some(Shortage::Connections);
        }
        let needed = port.usage.memory.saturating_add(base);
        (needed > port.memory).then(|| Shortage::Memory(needed - port.memory))
    }

    /// Opens a connection and reserves `base` bytes for it.
    ///
    /// # Errors
    ///
    /// Returns what is lacking.
    pub fn open(
        &mut self,
        port: PortId,
        base: usize,
        max_connections: usize,
        now: Mono,
    ) -> Result<ConnectionId, Shortage> {
        if let Some(shortage) = self.shortage(port, base, max_connections) {
            return Err(shortage);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            port,
            base,
            reserved: 0,
            phase: Phase::Idle,
            since: now,
            paid_until_us: now.0 * 1_000,
            has_served: false,
            closing: false,
        };
        self.connections.insert(id, connection);
        let port = &mut self.ports[port.0];
        port.usage.connections += 1;
        port.connection_memory += base;
        let reserved = self.reserve(id, base);
        debug_assert!(reserved, "the shortage was ruled out");
        Ok(id)
    }

    /// Reserves memory for a connection. Returns false, and reserves nothing, if the share of its port
    /// does not suffice.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        let port = &mut self.ports[connection.port.0];
        let used = port.usage.memory.saturating_add(bytes);
        if used > port.memory {
            return false;
        }
        connection.reserved += bytes;
        port.usage.memory = used;
        port.usage.peak_memory = port.usage.peak_memory.max(used);
        true
    }

    /// Releases memory of a connection. Closing a connection releases all of it, so that nothing is
    /// left to release afterwards.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            debug_assert!(bytes <= connection.reserved, "released more than reserved");
            let bytes = bytes.min(connection.reserved);
            connection.reserved -= bytes;
            self.ports[connection.port.0].usage.memory -= bytes;
        }
    }

    /// Removes a connection and releases all its memory.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            let port = &mut self.ports[connection.port.0];
            port.usage.connections -= 1;
            port.usage.memory -= connection.reserved;
            port.connection_memory -= connection.base;
        }
    }

    /// Records that a connection entered a phase.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Mono) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.has_served |= connection.phase == Phase::Response && phase == Phase::Idle;
            connection.phase = phase;
            connection.since = now;
            connection.paid_until_us = now.0 * 1_000;
        }
    }

    /// Returns the phase of a connection, or `None` if it is closed.
    #[must_use]
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Returns whether a connection is to be closed.
    #[must_use]
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_none_or(|connection| connection.closing)
    }

    /// Records that the client sent or took some bytes.
    pub fn progress(&mut self, id: ConnectionId, bytes: usize, now: Mono) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let paid_us = bytes as u64 * 1_000_000 / MIN_RATE;
            connection.paid_until_us = connection
                .paid_until_us
                .saturating_add(paid_us)
                .min(now.0 * 1_000);
        }
    }

    /// Returns the connections of a port that have exceeded a limit, with the limit, and marks them as
    /// closing. One that is already closing is returned again unless it is receiving a body, because the
    /// response to that body may stall as well.
    pub fn overdue(
        &mut self,
        port: PortId,
        limits: &ServerLimits,
        now: Mono,
    ) -> Vec<(ConnectionId, LimitReason)> {
        self.connections
            .iter_mut()
            .filter(|(_, connection)| connection.port == port)
            .filter(|(_, connection)| !connection.closing || connection.phase != Phase::Body)
            .filter_map(|(id, connection)| {
                let reason = connection.overdue(limits, now)?;
                connection.closing = true;
                Some((*id, reason))
            })
            .collect()
    }

    /// Returns the connections of a port to close so that others find room, slowest first, and marks
    /// them as closing.
    pub fn evict(&mut self, port: PortId, shortage: Shortage, now: Mono) -> Vec<ConnectionId> {
        match shortage {
            Shortage::Connections => self.evict_connection(port, now),
            Shortage::Memory(bytes) => self.evict_memory(port, bytes, now),
        }
    }

    /// Chooses the connection whose client has been behind for the longest time. Those that have served
    /// a request and wait for the next one are only chosen if there are no others.
    fn evict_connection(&mut self, port: PortId, now: Mono) -> Vec<ConnectionId> {
        let of_port = self.connections.iter().filter(|(_, it)| it.port == port);
        if of_port.filter(|(_, it)| it.closing).count() >= MAX_EVICTIONS {
            return Vec::new();
        }
        let slowest = self
            .candidates(port, MIN_CONNECTION_EVICTION_LAG, now)
            .max_by_key(|(id, connection)| {
                let is_kept_alive = connection.has_served && connection.phase == Phase::Idle;
                (!is_kept_alive, connection.lag(now), *id)
            })
            .map(|(id, _)| id);
        self.mark_closing(slowest.into_iter().collect())
    }

    /// Chooses as many of the slowest connections as hold this much memory, less what connections that
    /// are already closing hold.
    fn evict_memory(&mut self, port: PortId, bytes: usize, now: Mono) -> Vec<ConnectionId> {
        let mut freed: usize = self
            .connections
            .values()
            .filter(|connection| connection.port == port && connection.closing)
            .map(|connection| connection.reserved)
            .sum();
        let mut candidates: Vec<(Duration, ConnectionId, usize)> = self
            .candidates(port, MIN_MEMORY_EVICTION_LAG, now)
            .filter(|(_, connection)| connection.reserved > connection.base)
            .map(|(id, connection)| (connection.lag(now), id, connection.reserved))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let mut chosen = Vec::new();
        for (_, id, reserved) in candidates {
            if freed >= bytes {
                break;
            }
            freed += reserved;
            chosen.push(id);
        }
        self.mark_closing(chosen)
    }

    fn candidates(
        &self,
        port: PortId,
        min_lag: Duration,
        now: Mono,
    ) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        self.connections
            .iter()
            .filter(move |(_, connection)| {
                connection.port == port
                    && !connection.closing
                    && connection.waits_for_client()
                    && connection.lag(now) >= min_lag
            })
            .map(|(id, connection)| (*id, connection))
    }

    fn mark_closing(&mut self, ids: Vec<ConnectionId>) -> Vec<ConnectionId> {
        for id in &ids {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.closing = true;
            }
        }
        ids
    }
}
