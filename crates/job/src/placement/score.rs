//! How well tasks fit executors, by kind of work.

use super::best_effort::best_effort_score;
use super::best_effort::spare_fraction;
use crate::fleet::Executor;
use crate::relaxation::Relaxation;
use crate::relaxation::Wait;
use crate::scheduler::Scheduler;
use crate::short_work::is_kept;
use crate::spec::StepSpec;

impl Scheduler {
    /// Returns how well a task fits an executor, where higher is better, or `None` if the executor
    /// must not take it now.
    pub(crate) fn score(
        &self,
        executor: &Executor,
        step: &StepSpec,
        relaxation: Relaxation,
    ) -> Option<f64> {
        if step.best_effort {
            best_effort_score(&self.interference, executor, step, relaxation)
        } else if step.is_service() {
            Some(self.service_score(executor, step))
        } else {
            Some(short_work_score(executor))
        }
    }

    /// Scores an executor for a service task. Services with the same image are placed together, so
    /// that each best-effort image finds executors where it causes no interference, and services
    /// are packed, so that some executors run none.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn service_score(&self, executor: &Executor, step: &StepSpec) -> f64 {
        let mut same_image = 0.0;
        let mut other_images = 0.0;
        for service in &executor.services {
            if step.image.as_ref() == Some(&service.image) {
                same_image += service.cpu_millis as f64;
            } else {
                other_images += service.cpu_millis as f64;
            }
        }
        let capacity = executor.listing.capacity.cpu_millis.max(1) as f64;
        (same_image - other_images) / capacity
    }
}

/// Returns whether the score of an executor for a task whose step has waited that long is at most its
/// spare CPU, except for short work on executors that are kept for it, and decides between executors
/// that are equal otherwise.
pub(super) fn is_bounded_by_spare_cpu(step: &StepSpec, wait: Wait) -> bool {
    let is_scored_by_spare_cpu = step.best_effort || !step.is_service();
    is_scored_by_spare_cpu && step.data_rack.is_none() && !wait.relaxes()
}

/// Scores an executor for a short task that is not best-effort: executors with the most spare CPU
/// first, but those kept for short work before them and the fullest of these first, so that large
/// tasks find room on the others.
fn short_work_score(executor: &Executor) -> f64 {
    let spare = spare_fraction(executor);
    if is_kept(executor) {
        2.0 - spare
    } else {
        spare
    }
}
