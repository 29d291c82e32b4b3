//! Asks the advisor which executors may run a step, one question after the other.

use std::rc::Rc;
use std::sync::Arc;

use job::advice::AdviceRequest;

use super::Owner;
use crate::events;
use crate::metrics::Outcome;
use crate::outside::AdviceCall;
use crate::outside::AdviceError;

/// Asks all questions that wait.
pub fn ask_all(owner: &Rc<Owner>) {
    if owner.stop.is_cancelled() {
        return;
    }
    let questions = owner.book.borrow_mut().take_advice_requests();
    for question in questions {
        tokio::task::spawn_local(ask(owner.clone(), question));
    }
}

async fn ask(owner: Rc<Owner>, question: AdviceRequest) {
    // The advisor takes the questions of a host in turn; whoever waits here costs it nothing.
    let Ok(turn) = owner.asking.acquire().await else {
        return;
    };
    if owner.stop.is_cancelled() {
        return;
    }
    let sent = owner.now();
    let call = AdviceCall {
        job: question.job,
        occurrence: question.step.occurrence,
        step: question.step.step,
        executors: names(&question),
        timeout: question.timeout,
    };
    let result = (owner.node.outside.advisor.ask)(call).await;
    drop(turn);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(AdviceError::None) => "no_advisor",
        Err(AdviceError::Busy) => "busy",
        Err(AdviceError::Unanswered) => "unanswered",
    };
    let counter = &owner.node.metrics.advice;
    counter.get_or_create(&Outcome { outcome }).inc();
    let now = owner.now();
    let took = model::time::millis(now.since(sent));
    let (asked, granted) = (
        question.executors.len(),
        result.as_ref().map_or(0, Vec::len),
    );
    events::advice(
        question.job,
        question.step.step,
        outcome,
        asked,
        granted,
        took,
    );
    owner
        .book
        .borrow_mut()
        .advice_answered(&question, result.as_deref().ok(), sent, now);
    owner.after_event();
}

fn names(question: &AdviceRequest) -> Vec<Arc<str>> {
    let executors = question.executors.iter();
    executors.map(|(_, id)| id.clone()).collect()
}
