//! Which executors may run the steps of a queue whose policy only an advisor knows.
//!
//! The advisor is slow and answers one question of a host at a time, so that it is asked about few
//! executors: those where the step would be placed best. What it granted holds for a while, for all
//! tasks of the step and for one life of an executor; what it denied is denied for good.

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

/// The most executors in one question; each makes the answer later.
const MAX_EXECUTORS_PER_REQUEST: usize = 30;
/// The pause after a question that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// A ticket is not used in the last part of its time, one part in so many, as an order takes a while.
const TICKET_MARGIN_DIVISOR: u32 = 8;

/// A step of an occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
}

/// A question to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step, in the book.
    pub step: StepKey,
    /// The name of its job.
    pub job: JobId,
    /// The executors that are asked about, by name.
    pub executors: Vec<(ExecutorKey, Arc<str>)>,
    /// How long the advisor may take.
    pub timeout: Duration,
    /// How long its tickets are valid.
    pub ticket_ttl: Duration,
}

/// That the advisor lets an executor run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The executor.
    pub executor: Arc<str>,
    /// What a start there has to show.
    pub ticket: Arc<str>,
}

/// What is known of an executor and a step.
#[derive(Clone, Debug)]
enum CachedDecision {
    Granted { ticket: Arc<str>, until: Mono },
    Denied,
}

/// All that the advisor has said.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceCache {
    steps: Map<StepKey, StepAdvice>,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    /// By executor and its life.
    decisions: Map<(ExecutorKey, u64), CachedDecision>,
    in_flight: bool,
    not_before: Mono,
}

impl AdviceCache {
    fn ticket(
        &self,
        step: StepKey,
        at: ExecutorKey,
        executor: &Executor,
        now: Mono,
    ) -> Option<&Arc<str>> {
        let incarnation = (at, executor.listing.started_unix_ms);
        match self.steps.get(&step)?.decisions.get(&incarnation)? {
            CachedDecision::Granted { ticket, until } if now < *until => Some(ticket),
            CachedDecision::Granted { .. } | CachedDecision::Denied => None,
        }
    }

    fn is_denied(&self, step: StepKey, at: ExecutorKey, executor: &Executor) -> bool {
        let incarnation = (at, executor.listing.started_unix_ms);
        let decisions = self
            .steps
            .get(&step)
            .and_then(|step| step.decisions.get(&incarnation));
        matches!(decisions, Some(CachedDecision::Denied))
    }

    /// Forgets what was said of a job that is let go of.
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

    /// Returns what a start of a task on an executor has to show, if the advisor granted it.
    pub(crate) fn ticket(&self, key: TaskKey, at: ExecutorKey, now: Mono) -> Option<Arc<str>> {
        let step = self.step_key(key)?;
        let executor = self.fleet.get(at)?;
        self.advice.ticket(step, at, executor, now).cloned()
    }

    /// Returns whether the advisor has denied an executor to a task's step.
    pub(crate) fn is_denied(&self, key: TaskKey, at: ExecutorKey) -> bool {
        let step = self.step_key(key);
        let executor = self.fleet.get(at);
        step.zip(executor)
            .is_some_and(|(step, executor)| self.advice.is_denied(step, at, executor))
    }

    /// Asks the advisor about the executors where a step that found no place would be placed best.
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
        if let Some(decisions) = self.advice.steps.get(&step)
            && (decisions.in_flight || now < decisions.not_before)
        {
            return None;
        }
        let job = self.job(step.job)?;
        let advisor = self.plan.queue(&job.queue)?.advisor?;
        let spec = &job.spec.steps[step.step as usize];
        let mut candidates = self.candidates(key, spec, now);
        candidates.retain(|(at, _)| !self.is_denied(key, *at));
        candidates.sort_by(|(_, left), (_, right)| right.compare(left));
        candidates.truncate(MAX_EXECUTORS_PER_REQUEST);
        let executors: Vec<(ExecutorKey, Arc<str>)> = candidates
            .iter()
            .filter_map(|(at, _)| Some((*at, self.fleet.get(*at)?.listing.id.clone())))
            .collect();
        (!executors.is_empty()).then(|| AdviceRequest {
            step,
            job: job.id,
            timeout: advisor.answer_timeout(executors.len()),
            executors,
            ticket_ttl: advisor.ticket_ttl,
        })
    }

    /// Returns the questions that are to be asked now.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice_requests)
    }

    /// Takes in what the advisor answered to a question that was asked at `sent`; nothing if it did not
    /// answer.
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
        let decisions = self.advice.steps.entry(request.step).or_default();
        decisions.in_flight = false;
        let Some(grants) = grants else {
            decisions.not_before = now.after(RETRY_DELAY);
            return;
        };
        let until = sent.after(request.ticket_ttl - request.ticket_ttl / TICKET_MARGIN_DIVISOR);
        for (at, id) in &request.executors {
            let Some(executor) = self.fleet.get(*at) else {
                continue;
            };
            let grant = grants.iter().find(|grant| grant.executor == *id);
            let decision = grant.map_or(CachedDecision::Denied, |grant| CachedDecision::Granted {
                ticket: grant.ticket.clone(),
                until,
            });
            let incarnation = (*at, executor.listing.started_unix_ms);
            decisions.decisions.insert(incarnation, decision);
        }
    }

    /// Takes in that an executor did not accept the ticket that a start showed.
    pub(crate) fn ticket_refused(&mut self, key: TaskKey, at: ExecutorKey) {
        let Some(step) = self.step_key(key) else {
            return;
        };
        if let Some(decisions) = self.advice.steps.get_mut(&step) {
            decisions
                .decisions
                .retain(|(executor, _), _| *executor != at);
        }
    }
}
