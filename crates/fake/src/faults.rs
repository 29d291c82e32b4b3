//! Fault injection for a fake.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use plat::error::CallError;
use tokio::time::sleep;

/// A fault of a single call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Executed immediately; the response is delayed by this time.
    Slow(Duration),
    /// Refused explicitly and not executed.
    Refused,
    /// Not executed; the connection breaks without a response.
    LostBefore,
    /// Executed; the connection breaks without a response.
    LostAfter,
    /// The connection breaks without a response, and the call is executed after this delay.
    Late(Duration),
    /// Delivered and executed twice; the second response is returned.
    Twice,
    /// Executed; the response has the ID of another request.
    WrongId,
    /// Executed; the response is the one to the previous call.
    OutOfOrder,
    /// Executed; the connection breaks in the middle of the response body.
    CutShort,
    /// Executed; the connection breaks after the response headers.
    CutAfterHead,
    /// Accepted, but neither executed nor ever answered.
    Silent,
    /// Not available: calls without a socket are refused, connections are closed on accept.
    ///
    /// To refuse connections, stop the server.
    Down,
    /// Executed; the response body has this size in bytes.
    Oversized(usize),
    /// Executed; the response body does not match the contract.
    Garbage,
    /// Executed; the response reports a server error.
    Failure,
    /// Not executed; the response redirects to this URL.
    Redirect(String),
}

#[derive(Debug)]
struct FaultRule {
    op: Option<String>,
    fault: Fault,
    remaining: Option<u32>,
}

#[derive(Debug, Default)]
struct FaultState {
    rules: Vec<FaultRule>,
    calls: u64,
    connections: u64,
    first_responsive: u64,
}

/// The injected faults of a fake; clones share them.
///
/// Faults apply in the order in which they were set. An operation is the last segment of the path
/// of a call, such as `commit`.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<FaultState>>);

impl Faults {
    /// Sets a fault for `calls` calls, which follow those with an earlier fault.
    pub fn set_next(&self, fault: Fault, calls: u32) {
        self.add(None, fault, Some(calls));
    }

    /// Sets a fault for the next `calls` calls of an operation.
    pub fn set_next_for(&self, op: &str, fault: Fault, calls: u32) {
        self.add(Some(op), fault, Some(calls));
    }

    /// Sets a fault for all calls until it is cleared.
    pub fn set(&self, fault: Fault) {
        self.add(None, fault, None);
    }

    /// Sets a fault for all calls of an operation until it is cleared.
    pub fn set_for(&self, op: &str, fault: Fault) {
        self.add(Some(op), fault, None);
    }

    /// Clears all faults; connections that were silenced stay silent.
    pub fn clear(&self) {
        self.lock().rules.clear();
    }

    /// Stops responses on all open connections for good; new connections are not affected.
    pub fn silence_open_connections(&self) {
        let mut state = self.lock();
        state.first_responsive = state.connections;
    }

    /// Returns the number of received calls, including those with a fault.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the number of accepted connections.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.lock().connections
    }

    /// Counts a call and consumes the fault that applies to it.
    pub(crate) fn take(&self, op: &str) -> Option<Fault> {
        let mut state = self.lock();
        state.calls += 1;
        let at = state.rules.iter().position(|rule| rule.matches(op))?;
        Some(state.consume(at))
    }

    /// Counts a connection and returns its number, starting at 0.
    pub(crate) fn connect(&self) -> u64 {
        let mut state = self.lock();
        state.connections += 1;
        state.connections - 1
    }

    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().first_responsive
    }

    /// Returns whether a new connection must be closed because of [`Fault::Down`], and consumes the
    /// fault.
    pub(crate) fn drops_connection(&self) -> bool {
        let mut state = self.lock();
        let mut rules = state.rules.iter();
        let Some(at) = rules.position(|rule| rule.op.is_none()) else {
            return false;
        };
        let is_down = state.rules[at].fault == Fault::Down;
        if is_down {
            state.consume(at);
        }
        is_down
    }

    fn add(&self, op: Option<&str>, fault: Fault, remaining: Option<u32>) {
        if remaining == Some(0) {
            return;
        }
        let op = op.map(str::to_owned);
        self.lock().rules.push(FaultRule {
            op,
            fault,
            remaining,
        });
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultState {
    /// Returns the fault of a rule, and removes the rule after its last call.
    fn consume(&mut self, at: usize) -> Fault {
        let rule = &mut self.rules[at];
        let fault = rule.fault.clone();
        if let Some(remaining) = &mut rule.remaining {
            *remaining -= 1;
        }
        if rule.remaining == Some(0) {
            self.rules.remove(at);
        }
        fault
    }
}

impl FaultRule {
    fn matches(&self, op: &str) -> bool {
        self.op.as_deref().is_none_or(|rule_op| rule_op == op)
    }
}

/// Executes a call without a socket, with the outcome that a client with this timeout observes.
pub(crate) async fn inject<T, E: From<CallError>>(
    faults: &Faults,
    op: &str,
    timeout: Duration,
    apply: impl Fn() -> Result<T, E> + Send + 'static,
) -> Result<T, E> {
    let unknown = |reason: &str| Err(CallError::Unknown(reason.to_owned()).into());
    match faults.take(op) {
        None => apply(),
        Some(Fault::Slow(by)) => {
            let result = apply();
            sleep(by.min(timeout)).await;
            if by < timeout {
                result
            } else {
                unknown("deadline passed")
            }
        }
        Some(Fault::Refused) => Err(CallError::Refused("injected fault".to_owned()).into()),
        Some(Fault::Down) => Err(CallError::Refused("no connection".to_owned()).into()),
        Some(Fault::LostBefore) => unknown("no response"),
        Some(Fault::Redirect(_)) => unknown("status 307"),
        Some(Fault::Late(by)) => {
            tokio::spawn(async move {
                sleep(by).await;
                drop(apply());
            });
            unknown("no response")
        }
        Some(Fault::Twice) => {
            drop(apply());
            apply()
        }
        Some(Fault::Silent) => {
            sleep(timeout).await;
            unknown("deadline passed")
        }
        Some(
            Fault::LostAfter
            | Fault::WrongId
            | Fault::OutOfOrder
            | Fault::CutShort
            | Fault::CutAfterHead
            | Fault::Oversized(_)
            | Fault::Garbage
            | Fault::Failure,
        ) => {
            drop(apply());
            unknown("no usable response")
        }
    }
}
