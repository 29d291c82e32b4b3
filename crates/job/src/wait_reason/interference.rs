//! Explains a wait that is due to interference: which service a best-effort task would disturb
//! least.

use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use super::WaitReason;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::scheduler::Scheduler;
use crate::spec::StepSpec;

/// Stands for the image of a step that names none.
const NO_IMAGE: &str = "a task without an image";

/// The service that a best-effort task would disturb least, and the estimate of by how much.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display(
    "{image} disturbs {service} least, by {caused_thousandths} thousandths (deviation {deviation_thousandths})"
)]
pub struct LeastDisturbed {
    /// The image of the task, or a text that it names none.
    pub image: Arc<str>,
    /// The image of the service.
    pub service: Arc<str>,
    /// By how much the task would raise the logarithm of the service's tail latency, in thousandths.
    pub caused_thousandths: u64,
    /// The standard deviation of this estimate, in thousandths.
    pub deviation_thousandths: u64,
}

impl Scheduler {
    /// Returns the wait reason of a best-effort task that would disturb a service on each of these
    /// executors.
    pub(super) fn interference_reason(
        &self,
        candidates: &[(ExecutorKey, &Executor)],
        step: &StepSpec,
    ) -> WaitReason {
        let over_target = |executor: &Executor| executor.over_target_since.is_some();
        let most_disturbed = candidates
            .iter()
            .filter(|(_, executor)| !over_target(executor))
            .filter_map(|(_, executor)| self.most_disturbed(executor, step));
        WaitReason::Interference {
            candidates: candidates.len(),
            over_target: candidates.iter().filter(|(_, it)| over_target(it)).count(),
            least_disturbed: most_disturbed.min_by_key(|service| service.caused_thousandths),
        }
    }

    /// Returns the service on an executor that a best-effort task would disturb most.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    fn most_disturbed(&self, executor: &Executor, step: &StepSpec) -> Option<LeastDisturbed> {
        let image = step.image.as_ref();
        let capacity = executor.listing.capacity.cpu_millis.max(1) as f64;
        let cpu_fraction = step.size.cpu_millis as f64 / capacity;
        let services = executor.services.iter().map(|service| {
            let weight = self.interference.weight(Some(&service.image), image);
            let deviation = self.interference.upper_bound(Some(&service.image), image) - weight;
            LeastDisturbed {
                image: image.cloned().unwrap_or_else(|| NO_IMAGE.into()),
                service: service.image.clone(),
                caused_thousandths: thousandths(weight * cpu_fraction),
                deviation_thousandths: thousandths(deviation * cpu_fraction),
            }
        });
        services.max_by_key(|service| service.caused_thousandths)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
fn thousandths(value: f64) -> u64 {
    (value * 1_000.0).round().clamp(0.0, f64::from(u32::MAX)) as u64
}
