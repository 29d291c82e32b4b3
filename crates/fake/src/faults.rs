//! The switchboard of one stand-in's faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use plat::error::CallError;
use tokio::time::sleep;

/// One way for a call to go wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Carried out at once, answered only after this time.
    Slow(Duration),
    /// Refused explicitly and not carried out.
    Refused,
    /// The connection breaks without an answer; not carried out.
    LostBefore,
    /// Carried out, then the connection breaks without an answer.
    LostAfter,
    /// The connection breaks without an answer, and this much later the call is carried out.
    Late(Duration),
    /// Delivered and carried out twice; the second answer is given.
    Twice,
    /// Carried out; the answer carries the id of another request.
    WrongId,
    /// Carried out; the answer is that to the call before.
    OutOfOrder,
    /// Carried out; the connection breaks in the middle of the answer's body.
    CutShort,
    /// Carried out; the connection breaks after the answer's head.
    CutAfterHead,
    /// Taken, and neither carried out nor ever answered.
    Silent,
    /// Not there: calls without a socket are refused, connections are closed when they are made.
    ///
    /// To have connections refused, stop the server.
    Down,
    /// Carried out; the answer has this many bytes.
    Oversized(usize),
    /// Carried out; the answer is not of the contract's form.
    Garbage,
    /// Carried out; the answer says that something failed.
    Failure,
    /// Not carried out; the answer sends the caller to this address.
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

/// The faults of one stand-in, shared by all its clones.
///
/// An operation is the last segment of a call's path, such as `commit`.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<FaultState>>);

impl Faults {
    /// Sets a fault for the next `calls` calls, after those that are set already.
    pub fn set_next(&self, fault: Fault, calls: u32) {
        self.add(None, fault, Some(calls));
    }

    /// Sets a fault for the next `calls` calls of one operation.
    pub fn set_next_for(&self, op: &str, fault: Fault, calls: u32) {
        self.add(Some(op), fault, Some(calls));
    }

    /// Sets a fault until it is cleared.
    pub fn set(&self, fault: Fault) {
        self.add(None, fault, None);
    }

    /// Sets a fault of one operation until it is cleared.
    pub fn set_for(&self, op: &str, fault: Fault) {
        self.add(Some(op), fault, None);
    }

    /// Clears all faults; connections that went silent stay so.
    pub fn clear(&self) {
        self.lock().rules.clear();
    }

    /// Makes all connections that are open now silent for good, while new ones work.
    pub fn silence_open_connections(&self) {
        let mut state = self.lock();
        state.first_responsive = state.connections;
    }

    /// Returns how many calls have come in, with those that met a fault.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns how many connections have been made.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.lock().connections
    }

    /// Counts a call and returns the fault that it meets.
    pub(crate) fn take(&self, op: &str) -> Option<Fault> {
        let mut state = self.lock();
        state.calls += 1;
        let at = state.rules.iter().position(|rule| rule.matches(op))?;
        Some(state.consume(at))
    }

    /// Counts a connection and returns its number.
    pub(crate) fn connect(&self) -> u64 {
        let mut state = self.lock();
        state.connections += 1;
        state.connections - 1
    }

    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().first_responsive
    }

    /// Returns whether a connection that is being made meets [`Fault::Down`], which uses it up.
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
    /// Returns the fault of a rule, which is removed once it was met as often as was set.
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
        self.op.as_deref().is_none_or(|own| own == op)
    }
}

/// Carries out a call without a socket, as a client with this deadline would see it.
pub(crate) async fn inject<T, E: From<CallError>>(
    faults: &Faults,
    op: &str,
    deadline: Duration,
    apply: impl Fn() -> Result<T, E> + Send + 'static,
) -> Result<T, E> {
    let unknown = |why: &str| Err(CallError::Unknown(why.to_owned()).into());
    match faults.take(op) {
        None => apply(),
        Some(Fault::Slow(by)) => {
            let answer = apply();
            sleep(by.min(deadline)).await;
            if by < deadline {
                answer
            } else {
                unknown("deadline passed")
            }
        }
        Some(Fault::Refused) => Err(CallError::Refused("as set".to_owned()).into()),
        Some(Fault::Down) => Err(CallError::Refused("no connection".to_owned()).into()),
        Some(Fault::LostBefore) => unknown("no answer"),
        Some(Fault::Redirect(_)) => unknown("status 307"),
        Some(Fault::Late(by)) => {
            tokio::spawn(async move {
                sleep(by).await;
                drop(apply());
            });
            unknown("no answer")
        }
        Some(Fault::Twice) => {
            drop(apply());
            apply()
        }
        Some(Fault::Silent) => {
            sleep(deadline).await;
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
            unknown("no answer of use")
        }
    }
}
