//! A relay in memory that carries the calls for executors. It goes on when a host ends, and hands a call to
//! the process that has the executor's name when the call leaves the relay, if the call is meant for it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
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
use dispatch::dependencies::Target;
use futures::FutureExt;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::executor::FakeExecutor;
use crate::executor::Fleet;

/// How calls for an executor are carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carriage {
    /// Carried out after this time, whether or not the caller still waits.
    After(Duration),
    /// Never carried out nor answered.
    Lost,
}

type Delivery = Box<dyn FnOnce(&Fleet)>;

/// The calls that have been received and not carried out.
#[derive(Default)]
pub struct Relay {
    carriage: RefCell<BTreeMap<Arc<str>, Carriage>>,
    calls: RefCell<Vec<(Instant, Delivery)>>,
    /// Whether calls reach the next incarnation of an executor although they are not meant for it, as those of
    /// earlier releases do.
    pub any_incarnation: Cell<bool>,
    /// Number of calls carried out when their sender had ended, or later than its time limit.
    pub delivered_late: Cell<u64>,
}

impl Relay {
    /// Sets how calls for an executor are carried from now on, or that they go to it directly.
    pub fn set(&self, id: &str, carriage: Option<Carriage>) {
        let mut carriages = self.carriage.borrow_mut();
        match carriage {
            Some(carriage) => carriages.insert(id.into(), carriage),
            None => carriages.remove(id),
        };
    }

    /// Carries out the calls that are due.
    pub fn deliver(&self, fleet: &Fleet) {
        let now = Instant::now();
        let calls = std::mem::take(&mut *self.calls.borrow_mut());
        let (due, waiting): (Vec<_>, Vec<_>) = calls.into_iter().partition(|(at, _)| *at <= now);
        *self.calls.borrow_mut() = waiting;
        for (_, call) in due {
            call(fleet);
        }
    }
}

/// Carries one call. Returns `None` if there is no answer within `timeout`, and an outer `None` if the
/// executor is called directly.
async fn carry<T: 'static>(
    fleet: &Fleet,
    target: &Target,
    timeout: Duration,
    act: impl FnOnce(&Fleet, &FakeExecutor) -> T + 'static,
) -> Option<Option<T>> {
    let carriage = fleet.relay.carriage.borrow().get(&target.id).copied()?;
    fleet.calls.set(fleet.calls.get() + 1);
    let Carriage::After(delay) = carriage else {
        tokio::time::sleep(timeout).await;
        return Some(None);
    };
    let (answer, answered) = oneshot::channel();
    let called = target.clone();
    let delivery: Delivery = Box::new(move |fleet| {
        let Some(executor) = fleet.find_reachable(&called.id) else {
            return;
        };
        if !executor.is_meant(&called) && !fleet.relay.any_incarnation.get() {
            return;
        }
        let late = answer.is_closed() || delay > timeout;
        if late {
            let count = &fleet.relay.delivered_late;
            count.set(count.get() + 1);
        }
        // Nobody may wait for the answer any more.
        let _ = answer.send(act(fleet, &executor));
    });
    let due = Instant::now() + delay;
    fleet.relay.calls.borrow_mut().push((due, delivery));
    let answered = tokio::time::timeout(timeout, answered).await;
    Some(answered.ok().and_then(Result::ok))
}

const fn unanswered<T>() -> CommandReply<T> {
    CommandReply {
        outcome: CommandOutcome::Unanswered,
        clock_ms: None,
    }
}

fn poll(fleet: &Fleet, executor: &FakeExecutor, call: &PollRequest) -> Result<Report, PollError> {
    fleet.settle();
    if !executor.accepts_epoch(&call.target) {
        return Err(PollError::Fenced);
    }
    executor.acknowledge(fleet, call.acknowledged);
    if let Some(lease_deadline_ms) = call.lease_deadline_ms {
        executor.extend(lease_deadline_ms);
    }
    Ok(executor.report())
}

async fn start(fleet: Rc<Fleet>, call: &StartRequest) -> Option<CommandReply<StartAnswer>> {
    let own = call.clone();
    let act =
        move |fleet: &Fleet, executor: &FakeExecutor| executor.reply(executor.start(fleet, &own));
    let reply = carry(&fleet, &call.target, call.timeout, act).await?;
    Some(reply.unwrap_or(unanswered()))
}

async fn stop(fleet: Rc<Fleet>, call: &RunRequest) -> Option<CommandReply<bool>> {
    let own = call.clone();
    let act =
        move |fleet: &Fleet, executor: &FakeExecutor| executor.reply(executor.stop(fleet, &own));
    let reply = carry(&fleet, &call.target, call.timeout, act).await?;
    Some(reply.unwrap_or(unanswered()))
}

async fn carry_poll(fleet: Rc<Fleet>, call: &PollRequest) -> Option<Result<Report, PollError>> {
    let own = call.clone();
    let act = move |fleet: &Fleet, executor: &FakeExecutor| poll(fleet, executor, &own);
    let answer = carry(&fleet, &call.target, call.timeout, act).await?;
    Some(answer.unwrap_or(Err(PollError::Failed)))
}

/// Returns the calls of a host to executors, which the relay carries where it is set to.
pub fn relayed(fleet: &Rc<Fleet>, direct: Executors) -> Executors {
    let direct = Rc::new(direct);
    let (for_start, for_stop, for_poll) = (fleet.clone(), fleet.clone(), fleet.clone());
    let (start_directly, stop_directly, poll_directly) =
        (direct.clone(), direct.clone(), direct.clone());
    Executors {
        start: Box::new(move |call: StartRequest| {
            let (fleet, direct) = (for_start.clone(), start_directly.clone());
            async move {
                match start(fleet, &call).await {
                    Some(reply) => reply,
                    None => (direct.start)(call).await,
                }
            }
            .boxed_local()
        }),
        stop: Box::new(move |call: RunRequest| {
            let (fleet, direct) = (for_stop.clone(), stop_directly.clone());
            async move {
                match stop(fleet, &call).await {
                    Some(reply) => reply,
                    None => (direct.stop)(call).await,
                }
            }
            .boxed_local()
        }),
        set_cpu_share: Box::new(move |call| (direct.set_cpu_share)(call)),
        poll: Box::new(move |call: PollRequest| {
            let (fleet, direct) = (for_poll.clone(), poll_directly.clone());
            async move {
                match carry_poll(fleet, &call).await {
                    Some(answer) => answer,
                    None => (direct.poll)(call).await,
                }
            }
            .boxed_local()
        }),
    }
}
