//! What the hosts send to executors: a count and a record of the calls of each host, and cuts between a host
//! and an executor that both live.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dispatch::dependencies::CommandOutcome;
use dispatch::dependencies::CommandReply;
use dispatch::dependencies::Executors;
use dispatch::dependencies::PollError;
use dispatch::dependencies::PollRequest;
use dispatch::dependencies::RunRequest;
use dispatch::dependencies::StartRequest;
use futures::FutureExt;

use crate::executor::Fleet;

/// Time until a poll over a cut path fails.
const POLL_FAILURE_DELAY: Duration = Duration::from_millis(700);

/// The calls by the hosts that send them.
#[derive(Default)]
pub struct Callers {
    calls: RefCell<BTreeMap<String, u64>>,
    cuts: RefCell<BTreeSet<(String, Arc<str>)>>,
    /// Whether the starts and polls are recorded.
    pub recorded: Cell<bool>,
    /// The recorded starts.
    pub starts: RefCell<Vec<StartRequest>>,
    /// The recorded polls.
    pub polls: RefCell<Vec<PollRequest>>,
}

impl Callers {
    /// Returns the number of calls that a host has sent to executors.
    pub fn calls_of(&self, host: &str) -> u64 {
        self.calls.borrow().get(host).copied().unwrap_or_default()
    }

    /// Cuts the path from a host to an executor, or restores it.
    pub fn cut(&self, host: &str, executor: &str, is_cut: bool) {
        let path = (host.to_owned(), executor.into());
        if is_cut {
            self.cuts.borrow_mut().insert(path);
        } else {
            self.cuts.borrow_mut().remove(&path);
        }
    }

    /// Counts a call. Returns whether its path is cut.
    fn count(&self, host: &str, executor: &Arc<str>) -> bool {
        *self.calls.borrow_mut().entry(host.to_owned()).or_default() += 1;
        let path = (host.to_owned(), executor.clone());
        self.cuts.borrow().contains(&path)
    }
}

/// Returns the reply to a command over a cut path, as that to one for an executor out of reach.
async fn cut<T>(timeout: Duration) -> CommandReply<T> {
    tokio::time::sleep(timeout).await;
    CommandReply {
        outcome: CommandOutcome::NotSent,
        clock_ms: None,
    }
}

/// Returns the calls of this host.
pub fn called_by(fleet: &Rc<Fleet>, host: &str, calls: Executors) -> Executors {
    let Executors {
        start,
        stop,
        set_cpu_share,
        poll,
    } = calls;
    let caller = || (fleet.clone(), host.to_owned());
    let (of_start, of_stop, of_share, of_poll) = (caller(), caller(), caller(), caller());
    Executors {
        start: Box::new(move |call: StartRequest| {
            let (fleet, host) = &of_start;
            if fleet.callers.recorded.get() {
                fleet.callers.starts.borrow_mut().push(call.clone());
            }
            if fleet.callers.count(host, &call.target.id) {
                return cut(call.timeout).boxed_local();
            }
            start(call)
        }),
        stop: Box::new(move |call: RunRequest| {
            let (fleet, host) = &of_stop;
            if fleet.callers.count(host, &call.target.id) {
                return cut(call.timeout).boxed_local();
            }
            stop(call)
        }),
        set_cpu_share: Box::new(move |(call, percent): (RunRequest, u32)| {
            let (fleet, host) = &of_share;
            if fleet.callers.count(host, &call.target.id) {
                return cut(call.timeout).boxed_local();
            }
            set_cpu_share((call, percent))
        }),
        poll: Box::new(move |call: PollRequest| {
            let (fleet, host) = &of_poll;
            if fleet.callers.recorded.get() {
                fleet.callers.polls.borrow_mut().push(call.clone());
            }
            if fleet.callers.count(host, &call.target.id) {
                return async {
                    tokio::time::sleep(POLL_FAILURE_DELAY).await;
                    Err(PollError::Failed)
                }
                .boxed_local();
            }
            poll(call)
        }),
    }
}
