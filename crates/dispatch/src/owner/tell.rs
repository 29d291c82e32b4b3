//! Tells of what the book decided: a line and a count each.

use std::time::Duration;

use job::fleet::ExecutorKey;
use job::scheduler::Event;
use job::scheduler::Scheduler;

use super::Owner;
use crate::events;
use crate::metrics::Metrics;
use crate::metrics::Outcome;
use crate::metrics::QueueLabel;

impl Owner {
    /// Logs and counts the decisions that have not been told of.
    pub(super) fn tell(&self) {
        let mut book = self.book.borrow_mut();
        let notes = book.take_events();
        for note in notes {
            tell(&book, &self.node.metrics, &note);
        }
    }
}

fn tell(book: &Scheduler, metrics: &Metrics, note: &Event) {
    match note {
        Event::Placed {
            job,
            step,
            tasks,
            rank,
        } => {
            if let Some(job) = book.job(*job) {
                let chance = rank.outlook.to_string();
                events::placed(job.id, *step, *tasks, &chance, rank.slack_ms);
            }
        }
        Event::JobStarted { job, after_ms } => {
            if let Some(job) = book.job(*job).filter(|job| job.spec.repeat.is_none()) {
                let queue = QueueLabel {
                    queue: job.queue.to_string(),
                };
                let span = Duration::from_millis(*after_ms);
                metrics
                    .first_start_seconds
                    .get_or_create(&queue)
                    .observe(span.as_secs_f64());
            }
        }
        Event::RunEnded {
            task,
            run,
            executor,
            outcome: kind,
        } => {
            let outcome = kind.as_str();
            metrics.run_ends.get_or_create(&Outcome { outcome }).inc();
            if let Some(id) = book.task_id(*task) {
                events::run_ended(id, *run, name(book, *executor), outcome);
            }
        }
        Event::Throttled {
            task,
            cpu_percent: percent,
            over_target_for: over_for,
        } => {
            if let Some(id) = book.task_id(*task) {
                let executor = book
                    .task(*task)
                    .and_then(|task| Some(task.assignment()?.executor));
                let executor = executor.map_or("", |executor| name(book, executor));
                events::paced(id, executor, *percent, model::time::millis(*over_for));
            }
        }
        Event::RunFailed {
            task,
            run,
            executor,
            failures,
            attempts,
        } => {
            metrics.failed_runs.inc();
            if let Some(id) = book.task_id(*task) {
                events::run_failed(id, *run, name(book, *executor), *failures, *attempts);
            }
        }
        Event::RunLost {
            task,
            run,
            executor,
            reason: why,
        } => {
            let outcome = why.as_str();
            metrics.lost_runs.get_or_create(&Outcome { outcome }).inc();
            if let Some(id) = book.task_id(*task) {
                events::run_lost(id, *run, name(book, *executor), outcome);
            }
        }
    }
}

fn name(book: &Scheduler, executor: ExecutorKey) -> &str {
    book.fleet
        .get(executor)
        .map_or("", |executor| &executor.listing.id)
}
