//! Reports the decisions of the scheduler as log lines and metrics.

use std::time::Duration;

use job::book::Book;
use job::book::Note;
use job::fleet::ExecutorKey;

use super::Owner;
use crate::events;
use crate::metrics::Metrics;
use crate::metrics::OutcomeLabel;
use crate::metrics::QueueLabel;

impl Owner {
    /// Logs and counts the events that the scheduler has recorded since the last call.
    pub(super) fn log_events(&self) {
        let mut scheduler = self.scheduler.borrow_mut();
        let events = scheduler.take_notes();
        for event in events {
            log_event(&scheduler, &self.node.metrics, &event);
        }
    }
}

fn log_event(scheduler: &Book, metrics: &Metrics, event: &Note) {
    match event {
        Note::Placed {
            job,
            step,
            tasks,
            rank,
        } => {
            if let Some(job) = scheduler.job(*job) {
                let chance = rank.chance.to_string();
                events::placed(job.id, *step, *tasks, &chance, rank.slack_ms);
            }
        }
        Note::Began { job, after_ms } => {
            if let Some(job) = scheduler.job(*job).filter(|job| job.spec.repeat.is_none()) {
                let queue = QueueLabel {
                    queue: job.queue.to_string(),
                };
                let wait = Duration::from_millis(*after_ms);
                metrics
                    .first_start_seconds
                    .get_or_create(&queue)
                    .observe(wait.as_secs_f64());
            }
        }
        Note::RunEnded {
            task,
            run,
            executor,
            kind,
        } => {
            let outcome = kind.word();
            metrics
                .run_ends
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            if let Some(id) = scheduler.task_id(*task) {
                events::run_ended(id, *run, executor_name(scheduler, *executor), outcome);
            }
        }
        Note::Paced {
            task,
            percent,
            over_for,
        } => {
            if let Some(id) = scheduler.task_id(*task) {
                let executor = scheduler
                    .task(*task)
                    .and_then(|task| Some(task.assignment()?.executor));
                let executor = executor.map_or("", |executor| executor_name(scheduler, executor));
                events::throttled(id, executor, *percent, model::time::millis(*over_for));
            }
        }
        Note::Failed {
            task,
            run,
            executor,
            failures,
            attempts,
        } => {
            metrics.failed_runs.inc();
            if let Some(id) = scheduler.task_id(*task) {
                events::run_failed(
                    id,
                    *run,
                    executor_name(scheduler, *executor),
                    *failures,
                    *attempts,
                );
            }
        }
        Note::Lost {
            task,
            run,
            executor,
            why,
        } => {
            let outcome = why.word();
            metrics
                .lost_runs
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            if let Some(id) = scheduler.task_id(*task) {
                events::run_lost(id, *run, executor_name(scheduler, *executor), outcome);
            }
        }
    }
}

fn executor_name(scheduler: &Book, executor: ExecutorKey) -> &str {
    scheduler
        .fleet
        .get(executor)
        .map_or("", |executor| &executor.listing.id)
}
