//! Asks the advisor which executors may run a step, one request at a time.

use std::rc::Rc;
use std::sync::Arc;

use job::advice::AdviceRequest;

use super::Owner;
use crate::dependencies::AdviceError;
use crate::dependencies::GrantRequest;
use crate::events;
use crate::metrics::OutcomeLabel;
use crate::supervise::spawn_part;

/// Sends all pending requests to the advisor.
pub fn request_pending(owner: &Rc<Owner>) {
    if owner.shutdown.is_cancelled() {
        return;
    }
    let requests = owner.scheduler.borrow_mut().take_advice_requests();
    for advice_request in requests {
        spawn_part(owner, "advice", request(owner.clone(), advice_request));
    }
}

async fn request(owner: Rc<Owner>, advice_request: AdviceRequest) {
    // The advisor processes the requests of a host sequentially, so requests queue here instead of
    // occupying the advisor.
    let Ok(permit) = owner.advisor_slot.acquire().await else {
        return;
    };
    if owner.shutdown.is_cancelled() {
        return;
    }
    let sent = owner.now();
    let call = GrantRequest {
        job: advice_request.job,
        occurrence: advice_request.step.occurrence,
        step: advice_request.step.step,
        executors: executor_names(&advice_request),
        timeout: advice_request.timeout,
    };
    let result = (owner.node.dependencies.advisor.request)(call).await;
    drop(permit);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(AdviceError::NotConfigured) => "no_advisor",
        Err(AdviceError::Busy) => "busy",
        Err(AdviceError::Unanswered) => "unanswered",
    };
    let counter = &owner.node.metrics.advice;
    counter.get_or_create(&OutcomeLabel { outcome }).inc();
    let now = owner.now();
    let took = model::time::millis(now.since(sent));
    let (asked, granted) = (
        advice_request.executors.len(),
        result.as_ref().map_or(0, Vec::len),
    );
    events::advice(
        advice_request.job,
        advice_request.step.step,
        outcome,
        asked,
        granted,
        took,
    );
    owner.scheduler.borrow_mut().advice_answered(
        &advice_request,
        result.as_deref().ok(),
        sent,
        now,
    );
    owner.dispatch_pending();
}

fn executor_names(advice_request: &AdviceRequest) -> Vec<Arc<str>> {
    let executors = advice_request.executors.iter();
    executors.map(|(_, id)| id.clone()).collect()
}
