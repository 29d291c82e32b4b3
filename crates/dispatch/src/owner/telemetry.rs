//! Reports the decisions of the scheduler as log lines and metrics.

use std::time::Duration;

use job::fleet::ExecutorKey;
use job::scheduler::Event;
use job::scheduler::Scheduler;

use super::Owner;
use crate::events;
use crate::metrics::DataCentreLabel;
use crate::metrics::Metrics;
use crate::metrics::OutcomeLabel;
use crate::metrics::QueueLabel;

impl Owner {
    /// Logs and counts the events that the scheduler has recorded since the last call.
    pub(super) fn log_events(&self) {
        let mut scheduler = self.scheduler.borrow_mut();
        let events = scheduler.take_events();
        for event in events {
            if let Event::Placed { tasks, rank, .. } = &event {
                self.load.count_placed(rank, *tasks);
            }
            log_event(&scheduler, &self.node.metrics, &event);
        }
    }
}

fn log_event(scheduler: &Scheduler, metrics: &Metrics, event: &Event) {
    match event {
        Event::Placed {
            job,
            step,
            tasks,
            rank,
        } => {
            if let Some(job) = scheduler.job(*job) {
                let outlook = rank.outlook.to_string();
                events::placed(job.id, *step, *tasks, &outlook, rank.slack_ms);
            }
        }
        Event::JobStarted { job, after_ms } => {
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
        Event::RunEnded {
            task,
            run,
            executor,
            outcome,
        } => {
            let outcome = outcome.as_str();
            metrics
                .run_ends
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            if let Some(id) = scheduler.task_id(*task) {
                events::run_ended(id, *run, executor_name(scheduler, *executor), outcome);
            }
        }
        Event::Throttled {
            task,
            cpu_percent,
            over_target_for,
        } => {
            if let Some(id) = scheduler.task_id(*task) {
                let executor = scheduler
                    .task(*task)
                    .and_then(|task| Some(task.assignment()?.executor));
                let executor = executor.map_or("", |executor| executor_name(scheduler, executor));
                events::throttled(
                    id,
                    executor,
                    *cpu_percent,
                    model::time::millis(*over_target_for),
                );
            }
        }
        Event::Moved {
            task,
            executor,
            throttled_for,
        } => {
            metrics.moved_tasks.inc();
            if let Some(id) = scheduler.task_id(*task) {
                let executor = executor_name(scheduler, *executor);
                events::task_moved(id, executor, model::time::millis(*throttled_for));
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
        Event::EndWithheld {
            task,
            run,
            executor,
            outcome,
        } => {
            let executor = executor_name(scheduler, *executor);
            events::end_withheld(*task, *run, executor, outcome.as_str());
        }
        Event::JobSetAside { job } => {
            if let Some(job) = scheduler.job(*job) {
                events::job_set_aside(job.id);
            }
        }
        Event::CheckpointsOmitted { job, checkpoints } => {
            if let Some(job) = scheduler.job(*job) {
                events::checkpoints_omitted(job.id, *checkpoints);
            }
        }
        Event::RecoveryBegan {
            executor,
            ends,
            tasks,
        } => {
            metrics.ack_recoveries.inc();
            events::recovery_began(executor_name(scheduler, *executor), *ends, *tasks);
        }
        Event::RecoveryEnded { executor, after_ms } => {
            events::recovery_ended(executor_name(scheduler, *executor), *after_ms);
        }
        Event::RunLost {
            task,
            run,
            executor,
            reason,
            seen_ms,
        } => {
            let outcome = reason.as_str();
            metrics
                .lost_runs
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            if let Some(id) = scheduler.task_id(*task) {
                let executor = executor_name(scheduler, *executor);
                events::run_lost(id, *run, executor, outcome, *seen_ms);
            }
        }
        Event::ExecutorCrashed { executor, suspects } => {
            events::executor_crashed(executor_name(scheduler, *executor), *suspects);
        }
        Event::KeptForShortWork { executor, stopped } => {
            events::kept_for_short_work(executor_name(scheduler, *executor), *stopped);
        }
        Event::TurnTaken {
            task,
            stopped,
            executor,
        } => {
            if let Some((task, stopped)) = scheduler.task_id(*task).zip(scheduler.task_id(*stopped))
            {
                events::turn_taken(task, stopped, executor_name(scheduler, *executor));
            }
        }
        Event::PlaceWaitEnded {
            task,
            rack,
            is_near,
            waited,
        } => {
            let outcome = if *is_near { "near" } else { "elsewhere" };
            metrics
                .place_wait_seconds
                .get_or_create(&OutcomeLabel { outcome })
                .observe(waited.as_secs_f64());
            if let Some(id) = scheduler.task_id(*task) {
                events::place_wait_ended(id, rack, *is_near, model::time::millis(*waited));
            }
        }
        Event::CooldownStarted {
            executor,
            task,
            reason,
        } => {
            if let Some(id) = scheduler.task_id(*task) {
                events::cooldown_started(executor_name(scheduler, *executor), id, reason.as_str());
            }
        }
        Event::RunStalled {
            task,
            executor,
            stalls,
            cause,
        } => {
            let outcome = cause.as_str();
            metrics
                .stalled_runs
                .get_or_create(&OutcomeLabel { outcome })
                .inc();
            if let Some(id) = scheduler.task_id(*task) {
                let executor = executor_name(scheduler, *executor);
                events::run_stalled(id, executor, *stalls, outcome);
            }
        }
        Event::TaskGivenUp {
            task,
            executor,
            crashes,
        } => {
            metrics.tasks_given_up.inc();
            if let Some(id) = scheduler.task_id(*task) {
                events::task_given_up(id, executor_name(scheduler, *executor), *crashes);
            }
        }
        Event::EvacuationBegan {
            data_centre,
            executors,
            tasks,
        } => events::evacuation_began(data_centre, *executors, *tasks),
        Event::EvacuationEnded {
            data_centre,
            lasted,
            tasks,
            withdrawn_starts,
        } => {
            let after_ms = model::time::millis(*lasted);
            events::evacuation_ended(data_centre, after_ms, *tasks, *withdrawn_starts);
        }
        Event::EvacuationProblemFound { problem } => {
            events::evacuation_problem(problem.as_str(), problem.subject());
        }
        Event::ExecutorCold {
            executor,
            remaining,
        } => {
            let remaining_ms = model::time::millis(*remaining);
            events::executor_cold(executor_name(scheduler, *executor), remaining_ms);
        }
        Event::StartWithdrawn { data_centre } => {
            let label = DataCentreLabel {
                data_centre: data_centre.to_string(),
            };
            metrics.withdrawn_starts.get_or_create(&label).inc();
        }
        Event::SuccessorAsked {
            executor,
            successor,
        } => {
            metrics.asked_successors.inc();
            let (executor, successor) = (
                executor_name(scheduler, *executor),
                executor_name(scheduler, *successor),
            );
            events::successor_asked(executor, successor);
        }
        Event::ExecutorReplaced {
            executor,
            successor,
            tasks,
        } => {
            let (executor, successor) = (
                executor_name(scheduler, *executor),
                executor_name(scheduler, *successor),
            );
            events::executor_replaced(executor, successor, *tasks);
        }
    }
}

fn executor_name(scheduler: &Scheduler, executor: ExecutorKey) -> &str {
    scheduler
        .fleet
        .get(executor)
        .map_or("", |executor| &executor.listing.id)
}
