//! Polls executors that have tasks: extends their leases and receives ended runs and the progress
//! of running ones.

use std::rc::Rc;
use std::time::Duration;

use job::fleet::ExecutorKey;
use job::scheduler::Report;
use job::scheduler::Scheduler;
use model::Mono;

use super::Owner;
use super::calls::RELAY_RETRY_DELAY;
use super::pacing;
use crate::dependencies::CallFuture;
use crate::dependencies::PollError;
use crate::dependencies::PollRequest;
use crate::dependencies::Target;
use crate::events;
use crate::lease_events;
use crate::node::SendTime;
use crate::supervise::spawn_part;

/// How long an executor waits for a run to end before it answers.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// The same on executors where best-effort tasks run beside long-running ones. It is shorter
/// because the response times of services among them are monitored.
const MIXED_POLL_WAIT: Duration = Duration::from_millis(500);
/// How long ended runs that are not stored yet may delay the next poll, which extends the leases.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(600);
/// How long commands in flight may delay the next poll.
const MAX_COMMAND_WAIT: Duration = Duration::from_millis(300);
/// Interval of checks whether these commands were answered.
const COMMAND_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between polls of an executor that lists ends which must not be acknowledged. It answers
/// each poll at once, because polls only wait while no end is listed.
const WITHHELD_ENDS_INTERVAL: Duration = Duration::from_millis(250);
/// How much longer an answer usually takes at most than the wait that its poll requests, before the
/// executor counts as unreachable.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);
/// Upper limit of this margin, which doubles with each answer that comes later. An executor that answers
/// each poll is not silent, however slow the way to it is.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(2_800);
/// How long after a late answer the margin stays longer. Answers that list ends come before the wait is
/// over, so that they do not show that the way has become faster.
const LONGER_MARGIN_DURATION: Duration = Duration::from_secs(30);
/// How long a late answer is still awaited. An executor counts an end as reported once it has sent
/// the answer, so that answers are processed even if the executor is considered unreachable.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a failed poll.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long after its latest answer an executor still counts as reachable while relays fail. Each
/// poll extends its leases, which have to lapse before its tasks may start elsewhere.
const MAX_RELAY_SILENCE: Duration = Duration::from_millis(2_500);

/// Starts polling the executors that need it because of recent changes.
pub fn ensure(owner: &Rc<Owner>) {
    let candidates = owner.scheduler.borrow_mut().take_poll_candidates();
    start(owner, candidates);
}

/// Starts polling each executor that needs it.
pub fn ensure_all(owner: &Rc<Owner>) {
    let all = {
        let scheduler = owner.scheduler.borrow();
        scheduler.fleet.iter().map(|(key, _)| key).collect()
    };
    start(owner, all);
}

fn start(owner: &Rc<Owner>, candidates: Vec<ExecutorKey>) {
    if !owner.may_send() {
        return;
    }
    for key in candidates {
        let needed = needs_poll(&owner.scheduler.borrow(), key);
        if needed && owner.polled_executors.borrow_mut().insert(key) {
            spawn_part(owner, "polls", poll_until_idle(owner.clone(), key));
        }
    }
}

/// Returns whether an executor needs polls and can be called.
fn needs_poll(scheduler: &Scheduler, key: ExecutorKey) -> bool {
    scheduler.fleet.get(key).is_some_and(|executor| {
        let is_known = !executor.listing.address.is_empty() && executor.clock.is_some();
        is_known && executor.needs_poll()
    })
}

async fn poll_until_idle(owner: Rc<Owner>, key: ExecutorKey) {
    let begun = owner.now();
    while owner.may_send() && needs_poll(&owner.scheduler.borrow(), key) {
        let paused_at = owner.now();
        owner.wait_for_commit(key).await;
        owner.wait_for_commands(key).await;
        owner.load.count_poll_pause(owner.now().since(paused_at));
        if !owner.may_send() {
            break;
        }
        let polled_at = tokio::time::Instant::now();
        match owner.poll_once(key).await {
            Ok(()) if owner.has_withheld_ends(key) => {
                tokio::time::sleep(WITHHELD_ENDS_INTERVAL).await;
            }
            Ok(()) => {}
            Err(PollError::Fenced) => owner.end("an executor has seen a higher epoch"),
            Err(PollError::RelayFailed) if owner.has_answered_lately(key, begun) => {
                tokio::time::sleep(RELAY_RETRY_DELAY).await;
            }
            Err(
                PollError::WrongExecutor
                | PollError::OtherIncarnation
                | PollError::Failed
                | PollError::RelayFailed,
            ) => {
                let had_relay = owner.relays.bypass(key, owner.now());
                if had_relay && owner.has_answered_lately(key, begun) {
                    // Asked directly, the executor may answer: only its path to the relay may be cut.
                    tokio::time::sleep(RELAY_RETRY_DELAY).await;
                } else {
                    owner.record_poll_failure(key);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        let interval = owner.poll_interval();
        if !interval.is_zero() {
            tokio::time::sleep_until(polled_at + interval).await;
        }
    }
    owner.polled_executors.borrow_mut().remove(&key);
}

/// A poll whose answer is awaited.
#[derive(Clone, Copy)]
struct SentPoll {
    executor: ExecutorKey,
    sent: SendTime,
    /// The sequence number up to which the poll acknowledges ended runs.
    acknowledged: u64,
    /// The deadline of the lease that the poll grants.
    lease_deadline_ms: Option<u64>,
}

impl Owner {
    /// Waits until reported ends are stored. Unacknowledged ends would be reported again, and the
    /// next poll would return at once.
    async fn wait_for_commit(&self, key: ExecutorKey) {
        let limit = tokio::time::Instant::now() + MAX_COMMIT_WAIT;
        while self.has_unstored_ends(key) && !self.shutdown.is_cancelled() {
            let committed = self.committed.notified();
            if tokio::time::timeout_at(limit, committed).await.is_err() {
                return;
            }
        }
    }

    /// Waits until commands in flight are answered. Ends cannot be acknowledged before that, so
    /// they would be reported again and the next poll would return at once.
    async fn wait_for_commands(&self, key: ExecutorKey) {
        let limit = tokio::time::Instant::now() + MAX_COMMAND_WAIT;
        while self.has_withheld_acknowledgement(key) && !self.shutdown.is_cancelled() {
            if tokio::time::Instant::now() >= limit {
                return;
            }
            tokio::time::sleep(COMMAND_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether there are stored ends that cannot be acknowledged to the executor yet.
    fn has_withheld_acknowledgement(&self, key: ExecutorKey) -> bool {
        let scheduler = self.scheduler.borrow();
        scheduler.fleet.get(key).is_some_and(|executor| {
            let acknowledgeable = executor.ends_acknowledgeable();
            acknowledgeable > executor.ends_acknowledged
                && scheduler.acknowledgement(key) < acknowledgeable
        })
    }

    /// Returns whether an executor has answered so recently that the failure of a relay says nothing
    /// about it. One that was idle was not asked before its polls have begun.
    fn has_answered_lately(&self, key: ExecutorKey, begun: Mono) -> bool {
        let now = self.now();
        let scheduler = self.scheduler.borrow();
        let executor = scheduler.fleet.get(key);
        executor
            .is_some_and(|executor| now.since(executor.answered_at.max(begun)) <= MAX_RELAY_SILENCE)
    }

    fn has_withheld_ends(&self, key: ExecutorKey) -> bool {
        let scheduler = self.scheduler.borrow();
        let executor = scheduler.fleet.get(key);
        executor.is_some_and(|executor| !executor.withheld_ends.is_empty())
    }

    /// Returns the minimum interval between two polls of an executor.
    fn poll_interval(&self) -> Duration {
        let polled = self.polled_executors.borrow().len();
        let poll_bytes = if self.relays.are_in_use() {
            pacing::RELAYED_POLL_BYTES
        } else {
            pacing::POLL_BYTES
        };
        let link_mbps = self.node.identity.capacity.link_mbps;
        pacing::poll_interval(polled, poll_bytes, link_mbps)
    }

    /// Returns how long an executor may wait for a run to end before it answers.
    fn poll_wait(&self, scheduler: &Scheduler, key: ExecutorKey) -> Duration {
        let usual = poll_wait(scheduler, key);
        let executor = scheduler.fleet.get(key);
        let is_over_target = executor.is_some_and(|executor| executor.over_target_since.is_some());
        let pace = self.processor_pace.get();
        pace.poll_wait(usual, is_over_target)
            .max(self.poll_interval())
    }

    fn has_unstored_ends(&self, key: ExecutorKey) -> bool {
        self.scheduler
            .borrow()
            .fleet
            .get(key)
            .is_some_and(|executor| executor.ends_received > executor.ends_stored)
    }

    async fn poll_once(self: &Rc<Self>, key: ExecutorKey) -> Result<(), PollError> {
        if !self.may_send() {
            return Err(PollError::Failed);
        }
        let target = self.target(key).ok_or(PollError::Failed)?;
        let sent = self.node.send_time();
        let call = {
            let mut scheduler = self.scheduler.borrow_mut();
            self.limit_leases(&mut scheduler);
            let lease_deadline_ms = scheduler.grant_lease(key, sent.mono);
            PollRequest {
                target,
                lease_deadline_ms,
                acknowledged: scheduler.acknowledgement(key),
                wait: self.poll_wait(&scheduler, key),
                timeout: LATE_ANSWER_TIMEOUT,
            }
        };
        let incarnation = call.target.incarnation;
        let result = self.send_poll(key, call, sent).await;
        if result != Err(PollError::OtherIncarnation) {
            return result;
        }
        self.poll_any_incarnation(key).await?;
        // An incarnation that is not later than the known one, because a clock was set back, cannot be called.
        let known = self.target(key).and_then(|target| target.incarnation);
        if known == incarnation { result } else { Ok(()) }
    }

    /// Polls whichever incarnation of an executor answers. A later one than the owner knows must receive
    /// neither a deadline nor an acknowledgement, so that the poll has none.
    pub(super) async fn poll_any_incarnation(
        self: &Rc<Self>,
        key: ExecutorKey,
    ) -> Result<(), PollError> {
        let target = Target {
            incarnation: None,
            ..self.target(key).ok_or(PollError::Failed)?
        };
        let call = PollRequest {
            target,
            lease_deadline_ms: None,
            acknowledged: 0,
            wait: Duration::ZERO,
            timeout: LATE_ANSWER_TIMEOUT,
        };
        let result = self.send_poll(key, call, self.node.send_time()).await;
        if result == Err(PollError::Fenced) {
            self.end("an executor has seen a higher epoch");
        }
        result
    }

    async fn send_poll(
        self: &Rc<Self>,
        key: ExecutorKey,
        call: PollRequest,
        sent: SendTime,
    ) -> Result<(), PollError> {
        let poll = SentPoll {
            executor: key,
            sent,
            acknowledged: call.acknowledged,
            lease_deadline_ms: call.lease_deadline_ms,
        };
        let expected_within = call.wait + self.answer_margin(key);
        let mut answer = self.call_poll(key, call);
        if let Ok(answer) = tokio::time::timeout(expected_within, &mut answer).await {
            self.process_report(poll, &answer?);
            return Ok(());
        }
        spawn_part(
            self,
            "late_answer",
            self.clone().await_late_answer(poll, answer),
        );
        Err(PollError::Failed)
    }

    /// Processes the answer to a poll that has taken too long. Meanwhile the executor is polled
    /// again, because the connection may be dead.
    async fn await_late_answer(
        self: Rc<Self>,
        poll: SentPoll,
        answer: CallFuture<Result<Report, PollError>>,
    ) {
        let answer = tokio::select! {
            () = self.shutdown.cancelled() => return,
            answer = answer => answer,
        };
        match answer {
            Ok(report) => {
                self.double_answer_margin(poll.executor);
                self.log_late_answer(poll, &report);
                self.process_report(poll, &report);
            }
            Err(PollError::Fenced) => self.end("an executor has seen a higher epoch"),
            Err(
                PollError::WrongExecutor
                | PollError::OtherIncarnation
                | PollError::Failed
                | PollError::RelayFailed,
            ) => {}
        }
    }

    /// Returns how much longer the answer to a poll may take than the wait that it requests.
    fn answer_margin(&self, key: ExecutorKey) -> Duration {
        let margins = self.answer_margins.borrow();
        let longer = margins.get(&key).filter(|(_, until)| self.now() < *until);
        longer.map_or(ANSWER_MARGIN, |(margin, _)| *margin)
    }

    fn double_answer_margin(&self, key: ExecutorKey) {
        let doubled = (self.answer_margin(key) * 2).min(MAX_ANSWER_MARGIN);
        let until = self.now().after(LONGER_MARGIN_DURATION);
        self.answer_margins
            .borrow_mut()
            .insert(key, (doubled, until));
    }

    fn log_late_answer(&self, poll: SentPoll, report: &Report) {
        let took = self.now().since(poll.sent.mono);
        if let Some(executor) = self.scheduler.borrow().fleet.get(poll.executor) {
            let took_ms = model::time::millis(took);
            events::late_answer(&executor.listing.id, took_ms, report.ended.len());
        }
    }

    fn process_report(self: &Rc<Self>, poll: SentPoll, report: &Report) {
        let SentPoll {
            executor: key,
            sent,
            acknowledged,
            lease_deadline_ms,
        } = poll;
        let now = self.now();
        self.load.count_poll(report.ended.len());
        self.record_acceptance(key, report, sent.boot);
        self.record_report_requested(key, sent.mono);
        {
            let mut scheduler = self.scheduler.borrow_mut();
            if let Some(executor) = scheduler.fleet.get(key) {
                let clock_ms = Some(report.clock_ms);
                self.check_lease(&executor.listing.id, "poll", lease_deadline_ms, clock_ms);
            }
            let was_reachable = scheduler
                .fleet
                .get(key)
                .is_some_and(|executor| executor.reachable);
            scheduler.report(key, report, sent.mono, now);
            scheduler.acknowledgement_confirmed(
                key,
                report.started_unix_ms.unwrap_or_default(),
                acknowledged,
            );
            scheduler.learn_interference(key, now);
            scheduler.throttle_after_report(key, now);
            scheduler.move_throttled(key, now);
            scheduler.stop_stalled(key, now);
            if !was_reachable {
                log_reachability(&scheduler, key, now);
            }
        }
        self.dispatch_pending();
    }

    /// Logs a call whose deadline was meant for the clock of an earlier incarnation. An owner may take a clock
    /// for a little ahead of its reading, but never by as much as the usual lease.
    pub(super) fn check_lease(
        &self,
        executor: &str,
        call: &str,
        deadline_ms: Option<u64>,
        clock_ms: Option<u64>,
    ) {
        let (Some(deadline_ms), Some(clock_ms)) = (deadline_ms, clock_ms) else {
            return;
        };
        let lease = Duration::from_millis(deadline_ms.saturating_sub(clock_ms));
        if lease > self.node.timing.lease * 2 {
            lease_events::lease_too_long(executor, call, deadline_ms, clock_ms);
        }
    }

    fn record_report_requested(&self, key: ExecutorKey, sent: Mono) {
        let mut requested = self.reports_requested.borrow_mut();
        let latest = requested.entry(key).or_default();
        *latest = sent.max(*latest);
    }

    /// Forgets what is known of the polls of executors that are gone.
    pub(super) fn forget_old_polls(&self) {
        let now = self.now();
        let scheduler = self.scheduler.borrow();
        let mut margins = self.answer_margins.borrow_mut();
        margins.retain(|_, (_, until)| now < *until);
        let mut requested = self.reports_requested.borrow_mut();
        requested.retain(|key, _| scheduler.fleet.get(*key).is_some());
    }

    fn record_poll_failure(self: &Rc<Self>, key: ExecutorKey) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let was_reachable = scheduler
            .fleet
            .get(key)
            .is_some_and(|executor| executor.reachable);
        scheduler.mark_unreachable(key, now);
        if was_reachable {
            log_reachability(&scheduler, key, now);
        }
        if self.is_lease_row_due(&scheduler) {
            self.commit_requested.notify_one();
        }
    }
}

fn log_reachability(scheduler: &Scheduler, key: ExecutorKey, now: Mono) {
    if let Some(executor) = scheduler.fleet.get(key) {
        events::executor_reachability(
            &executor.listing.id,
            executor.reachable,
            executor.tasks.len(),
            model::time::millis(executor.leases_expire_at.since(now)),
        );
    }
}

fn poll_wait(scheduler: &Scheduler, key: ExecutorKey) -> Duration {
    let Some(executor) = scheduler.fleet.get(key) else {
        return POLL_WAIT;
    };
    if !executor.reachable
        || executor.report_due_since.is_some()
        || executor.ends_received > executor.ends_stored
    {
        return Duration::ZERO;
    }
    let first_poll = executor
        .tasks
        .iter()
        .any(|task| scheduler.is_inherited(*task));
    if first_poll {
        return Duration::ZERO;
    }
    if executor.is_mixed() {
        return MIXED_POLL_WAIT;
    }
    POLL_WAIT
}
