//! The calls to the in-memory executors and to their advisor, with the delays and faults that a test
//! has set.

use std::rc::Rc;
use std::time::Duration;

use dispatch::dependencies::AdvisorClient;
use dispatch::dependencies::CommandOutcome;
use dispatch::dependencies::CommandReply;
use dispatch::dependencies::Executors;
use dispatch::dependencies::GrantRequest;
use dispatch::dependencies::PollError;
use dispatch::dependencies::PollRequest;
use dispatch::dependencies::RunRequest;
use dispatch::dependencies::StartRequest;
use dispatch::dependencies::Target;
use futures::FutureExt;
use job::advice::Grant;
use job::scheduler::Report;
use job::scheduler::StartAnswer;
use tokio::time::Instant;

use crate::executor::FakeExecutor;
use crate::executor::Fleet;
use crate::executor::ticket;

/// Duration of a call to an executor.
const CALL_DELAY: Duration = Duration::from_millis(2);
/// Duration of a request to the advisor.
const ADVICE_DELAY: Duration = Duration::from_millis(200);
/// Time until a poll fails.
const POLL_FAILURE_DELAY: Duration = Duration::from_millis(700);

const fn without_clock<T>(outcome: CommandOutcome<T>) -> CommandReply<T> {
    CommandReply {
        outcome,
        clock_ms: None,
    }
}

/// Executes a command, immediately or with the configured delay.
async fn command<T: 'static>(
    fleet: Rc<Fleet>,
    target: Target,
    timeout: Duration,
    act: impl FnOnce(&Fleet, &FakeExecutor) -> CommandOutcome<T> + 'static,
) -> CommandReply<T> {
    fleet.calls.set(fleet.calls.get() + 1);
    tokio::time::sleep(CALL_DELAY).await;
    let Some(executor) = fleet.find_reachable(&target.id) else {
        if fleet.is_answered_by_another(&target) {
            return without_clock(CommandOutcome::WrongExecutor);
        }
        tokio::time::sleep(timeout).await;
        return without_clock(CommandOutcome::NotSent);
    };
    if !executor.is_meant(&target) {
        return without_clock(CommandOutcome::OtherIncarnation);
    }
    if let Some(delay) = executor.command_delay.get() {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            act(&fleet, &executor);
        });
        tokio::time::sleep(timeout).await;
        return without_clock(CommandOutcome::Unanswered);
    }
    if let Some(latency) = executor.command_latency.get() {
        tokio::time::sleep(latency.min(timeout)).await;
        if latency > timeout {
            return without_clock(CommandOutcome::Unanswered);
        }
    }
    let outcome = act(&fleet, &executor);
    executor.reply(outcome)
}

async fn start(fleet: Rc<Fleet>, call: StartRequest) -> CommandReply<StartAnswer> {
    let target = call.target.clone();
    let timeout = call.timeout;
    let executor = fleet.find(&target.id);
    if let Some(executor) = executor.filter(|executor| executor.hangs_starts.get()) {
        fleet.calls.set(fleet.calls.get() + 1);
        executor.hung_starts.borrow_mut().push(call.target.epoch);
        tokio::time::sleep(timeout).await;
        return without_clock(CommandOutcome::Unanswered);
    }
    let act = move |fleet: &Fleet, executor: &FakeExecutor| executor.start(fleet, &call);
    command(fleet, target, timeout, act).await
}

async fn poll(fleet: Rc<Fleet>, call: PollRequest) -> Result<Report, PollError> {
    fleet.calls.set(fleet.calls.get() + 1);
    tokio::time::sleep(CALL_DELAY).await;
    assert!(
        !fleet.poll_panics.take(),
        "the report makes its reader panic"
    );
    let Some(executor) = fleet.find_reachable(&call.target.id) else {
        if fleet.is_answered_by_another(&call.target) {
            return Err(PollError::WrongExecutor);
        }
        tokio::time::sleep(POLL_FAILURE_DELAY).await;
        return Err(PollError::Failed);
    };
    if !executor.is_meant(&call.target) {
        return Err(PollError::OtherIncarnation);
    }
    fleet.settle();
    if !executor.accepts_epoch(&call.target) {
        return Err(PollError::Fenced);
    }
    executor.acknowledge(&fleet, call.acknowledged);
    if let Some(lease_deadline_ms) = call.lease_deadline_ms {
        executor.extend(lease_deadline_ms);
    }
    let limit = Instant::now() + call.wait;
    loop {
        fleet.settle();
        let report = executor.report();
        if !report.ended.is_empty() || Instant::now() >= limit {
            let delay = executor.answer_delay.get();
            let answer = tokio::time::timeout(call.timeout, tokio::time::sleep(delay));
            return answer.await.map(|()| report).map_err(|_| PollError::Failed);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns an advisor that answers after `ADVICE_DELAY`.
pub fn advisor(fleet: &Rc<Fleet>) -> AdvisorClient {
    let fleet = fleet.clone();
    AdvisorClient {
        request: Box::new(move |call: GrantRequest| {
            let fleet = fleet.clone();
            async move {
                fleet.advice_requests.set(fleet.advice_requests.get() + 1);
                tokio::time::sleep(ADVICE_DELAY).await;
                let names = call.executors.iter().filter(|id| fleet.grants(id));
                Ok(names
                    .map(|id| Grant {
                        executor: id.clone(),
                        ticket: ticket(id),
                    })
                    .collect())
            }
            .boxed_local()
        }),
    }
}

/// Returns the calls with which a host reaches the executors.
pub fn executors(fleet: &Rc<Fleet>) -> Executors {
    let (to_start, to_stop) = (fleet.clone(), fleet.clone());
    let (to_set_share, to_poll) = (fleet.clone(), fleet.clone());
    Executors {
        start: Box::new(move |call: StartRequest| start(to_start.clone(), call).boxed_local()),
        stop: Box::new(move |call: RunRequest| {
            let target = call.target.clone();
            command(
                to_stop.clone(),
                target,
                call.timeout,
                move |fleet, executor| executor.stop(fleet, &call),
            )
            .boxed_local()
        }),
        set_cpu_share: Box::new(move |(call, percent): (RunRequest, u32)| {
            let target = call.target.clone();
            command(
                to_set_share.clone(),
                target,
                call.timeout,
                move |_, executor| {
                    let runs = executor.runs(call.task);
                    if runs {
                        executor.cpu_shares.borrow_mut().insert(call.task, percent);
                    }
                    CommandOutcome::Answered(runs)
                },
            )
            .boxed_local()
        }),
        poll: Box::new(move |call| poll(to_poll.clone(), call).boxed_local()),
    }
}
