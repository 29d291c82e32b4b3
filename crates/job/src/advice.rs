//! Placement permissions for queues that have an external advisor.
//!
//! The advisor is slow and answers one request of a host at a time. A request therefore names only
//! the executors that rank best for the step. A grant is valid for a limited time, for all tasks of
//! the step and for one incarnation of an executor. A denial is permanent for that incarnation.

use std::sync::Arc;
use std::time::Duration;

use model::Map;
use model::Mono;

use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::id::JobId;
use crate::scheduler::JobKey;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;
use crate::scheduler::TaskKey;

/// The maximum number of executors in one request; each one increases the response time.
const MAX_EXECUTORS_PER_REQUEST: usize = 30;
/// The delay before an unanswered request is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Tickets are not used during the last `1 / TICKET_MARGIN_DIVISOR` of their validity, so that a
/// start command still arrives while its ticket is valid.
const TICKET_MARGIN_DIVISOR: u32 = 8;

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepKey {
    /// The job that the step belongs to.
    pub job: JobKey,
    /// The occurrence of the job, starting at 0.
    pub occurrence: u32,
    /// The index of the step in the job specification.
    pub step: u32,
}

/// A request to the advisor for permission to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The scheduler's key of the step.
    pub step: StepKey,
    /// The name of the job.
    pub job: JobId,
    /// The executors that permission is requested for, with their names.
    pub executors: Vec<(ExecutorKey, Arc<str>)>,
    /// The time after which the request counts as unanswered.
    pub timeout: Duration,
    /// How long tickets that are granted in response remain valid.
    pub ticket_ttl: Duration,
}

/// The advisor's permission to run a step on an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The name of the executor.
    pub executor: Arc<str>,
    /// The ticket that a start command has to present to the executor.
    pub ticket: Arc<str>,
}

/// A cached decision of the advisor about a step and an executor.
#[derive(Clone, Debug)]
enum CachedDecision {
    Granted { ticket: Arc<str>, until: Mono },
    Denied,
}

/// The advisor's decisions and pending requests for all steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceCache {
    steps: Map<StepKey, StepAdvice>,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    /// Decisions by executor and the start time of its incarnation.
    decisions: Map<(ExecutorKey, u64), CachedDecision>,
    in_flight: bool,
    not_before: Mono,
}

impl AdviceCache {
    fn ticket(
        &self,
        step: StepKey,
        executor_key: ExecutorKey,
        executor: &Executor,
        now: Mono,
    ) -> Option<&Arc<str>> {
        let incarnation = (executor_key, executor.listing.started_unix_ms);
        match self.steps.get(&step)?.decisions.get(&incarnation)? {
            CachedDecision::Granted { ticket, until } if now < *until => Some(ticket),
            CachedDecision::Granted { .. } | CachedDecision::Denied => None,
        }
    }

    fn is_denied(&self, step: StepKey, executor_key: ExecutorKey, executor: &Executor) -> bool {
        let incarnation = (executor_key, executor.listing.started_unix_ms);
        let decision = self
            .steps
            .get(&step)
            .and_then(|step| step.decisions.get(&incarnation));
        matches!(decision, Some(CachedDecision::Denied))
    }

    /// Removes all decisions about a job that is no longer held in memory.
    pub(crate) fn forget(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }
}

impl Scheduler {
    fn step_key(&self, key: TaskKey) -> Option<StepKey> {
        let (occurrence, step, _) = self.job(key.job)?.locate(key.slot)?;
        Some(StepKey {
            job: key.job,
            occurrence,
            step,
        })
    }

    /// Returns the ticket for starting a task on an executor, if one was granted and is still
    /// usable.
    pub(crate) fn ticket(
        &self,
        key: TaskKey,
        executor_key: ExecutorKey,
        now: Mono,
    ) -> Option<Arc<str>> {
        let step = self.step_key(key)?;
        let executor = self.fleet.get(executor_key)?;
        self.advice
            .ticket(step, executor_key, executor, now)
            .cloned()
    }

    /// Returns whether the advisor has denied an executor to a task's step.
    pub(crate) fn is_denied(&self, key: TaskKey, executor_key: ExecutorKey) -> bool {
        let step = self.step_key(key);
        let executor = self.fleet.get(executor_key);
        step.zip(executor)
            .is_some_and(|(step, executor)| self.advice.is_denied(step, executor_key, executor))
    }

    /// Queues a request about the executors that would suit a step best. Called when no executor
    /// with a valid ticket can take the step.
    pub(crate) fn request_advice(&mut self, ready: ReadyStep, key: TaskKey, now: Mono) {
        let step = StepKey {
            job: ready.job,
            occurrence: ready.occurrence,
            step: ready.step,
        };
        let Some(request) = self.request(step, key, now) else {
            return;
        };
        self.advice.steps.entry(step).or_default().in_flight = true;
        self.advice_requests.push(request);
    }

    fn request(&self, step: StepKey, key: TaskKey, now: Mono) -> Option<AdviceRequest> {
        if let Some(step_advice) = self.advice.steps.get(&step)
            && (step_advice.in_flight || now < step_advice.not_before)
        {
            return None;
        }
        let job = self.job(step.job)?;
        let advisor = self.plan.queue(&job.queue)?.advisor?;
        let spec = &job.spec.steps[step.step as usize];
        let mut candidates = self.candidates(key, spec, now);
        candidates.retain(|(executor_key, _)| !self.is_denied(key, *executor_key));
        candidates.sort_by(|(_, left), (_, right)| right.compare(left));
        candidates.truncate(MAX_EXECUTORS_PER_REQUEST);
        let executors: Vec<(ExecutorKey, Arc<str>)> = candidates
            .iter()
            .filter_map(|(executor_key, _)| {
                Some((
                    *executor_key,
                    self.fleet.get(*executor_key)?.listing.id.clone(),
                ))
            })
            .collect();
        (!executors.is_empty()).then(|| AdviceRequest {
            step,
            job: job.id,
            timeout: advisor.answer_timeout(executors.len()),
            executors,
            ticket_ttl: advisor.ticket_ttl,
        })
    }

    /// Removes and returns the requests to be sent to the advisor.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice_requests)
    }

    /// Records the advisor's response to a request that was sent at `sent`. `grants` is `None` if
    /// the request was not answered.
    pub fn advice_answered(
        &mut self,
        request: &AdviceRequest,
        grants: Option<&[Grant]>,
        sent: Mono,
        now: Mono,
    ) {
        if self.job(request.step.job).is_none() {
            return;
        }
        let step_advice = self.advice.steps.entry(request.step).or_default();
        step_advice.in_flight = false;
        let Some(grants) = grants else {
            step_advice.not_before = now.after(RETRY_DELAY);
            return;
        };
        let until = sent.after(request.ticket_ttl - request.ticket_ttl / TICKET_MARGIN_DIVISOR);
        for (executor_key, id) in &request.executors {
            let Some(executor) = self.fleet.get(*executor_key) else {
                continue;
            };
            let grant = grants.iter().find(|grant| grant.executor == *id);
            let decision = grant.map_or(CachedDecision::Denied, |grant| CachedDecision::Granted {
                ticket: grant.ticket.clone(),
                until,
            });
            let incarnation = (*executor_key, executor.listing.started_unix_ms);
            step_advice.decisions.insert(incarnation, decision);
        }
    }

    /// Discards the tickets of an executor that rejected the ticket in a start command.
    pub(crate) fn ticket_refused(&mut self, key: TaskKey, executor_key: ExecutorKey) {
        let Some(step) = self.step_key(key) else {
            return;
        };
        if let Some(step_advice) = self.advice.steps.get_mut(&step) {
            step_advice
                .decisions
                .retain(|(executor, _), _| *executor != executor_key);
        }
    }
}
