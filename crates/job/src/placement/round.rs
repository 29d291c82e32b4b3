//! What a placement round has found out, so that it is not worked out again for each step.
//!
//! Under overload, hundreds of steps wait for executors that are full. Whatever needs at least as
//! much as a step that found no executor finds none either, until something ends.

use std::sync::Arc;

use model::Map;
use model::Set;
use model::Size;

use super::room::RoomIndex;
use crate::fleet::ExecutorKey;
use crate::plan::Queue;
use crate::relaxation::Wait;
use crate::scheduler::JobKey;
use crate::scheduler::TaskKey;
use crate::spec::StepSpec;

/// The state of one placement round.
#[derive(Debug)]
pub(crate) struct Round {
    /// What is free on the executors.
    pub(crate) room: RoomIndex,
    /// Needs for which no executor was found.
    unmet: Vec<Demand>,
    /// The tasks that an executor is reserved for, with their executors.
    pub(crate) reserved: Map<TaskKey, ExecutorKey>,
    /// The jobs of these tasks when the round began.
    pub(super) reserved_jobs: Set<JobKey>,
    /// Whether an executor was looked for to be reserved for short work. That takes a scan of all
    /// executors, and hundreds of steps may wait.
    pub(crate) has_reserved_for_short_work: bool,
    /// The CPU of the tasks that wait for a place near their data, in thousandths of a core, by
    /// service and rack.
    awaiting: Map<(Arc<str>, Arc<str>), u64>,
}

/// What a task needs from its executor.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    service: Arc<str>,
    label: Option<Arc<str>>,
    /// The image of a best-effort task, which some executors do not take beside their services.
    best_effort_image: Option<Arc<str>>,
    /// The resources that have to be free.
    allocated: Size,
    /// The CPU that has to be unused beside the other tasks, in thousandths of a core; 0 if the
    /// task is not best-effort.
    spare_cpu_millis: u64,
    /// How long a best-effort task has waited, by which the conditions for it are relaxed.
    pub(super) wait: Wait,
}

impl Round {
    /// Starts a round in which executors are reserved for these tasks.
    pub(super) fn new(reserved: Map<TaskKey, ExecutorKey>) -> Self {
        Self {
            room: RoomIndex::default(),
            unmet: Vec::new(),
            reserved_jobs: reserved.keys().map(|key| key.job).collect(),
            reserved,
            has_reserved_for_short_work: false,
            awaiting: Map::default(),
        }
    }

    /// Records that a task of a step waits for a place in a rack.
    pub(super) fn add_awaiting(&mut self, service: &Arc<str>, rack: &Arc<str>, step: &StepSpec) {
        let cpu_millis = self
            .awaiting
            .entry((service.clone(), rack.clone()))
            .or_default();
        *cpu_millis = cpu_millis.saturating_add(step.size.cpu_millis);
    }

    /// Returns for how many tasks of a step those would make room that wait for a place in a rack,
    /// all of which go first.
    pub(super) fn awaiting(&self, service: &Arc<str>, rack: &Arc<str>, step: &StepSpec) -> u32 {
        let key = (service.clone(), rack.clone());
        let cpu_millis = self.awaiting.get(&key).copied().unwrap_or(0);
        u32::try_from(cpu_millis.div_ceil(step.size.cpu_millis.max(1))).unwrap_or(u32::MAX - 1)
    }

    /// Returns whether an equal or smaller demand has found no executor in this round.
    pub(super) fn is_unmet(&self, demand: &Demand) -> bool {
        self.unmet.iter().any(|unmet| unmet.is_implied_by(demand))
    }

    /// Records a demand for which there is no executor.
    pub(super) fn add_unmet(&mut self, demand: Demand) {
        self.unmet.retain(|unmet| !demand.is_implied_by(unmet));
        self.unmet.push(demand);
    }
}

impl Demand {
    /// Returns the demand of a step, or `None` if more than its size and label limits the choice of
    /// executors.
    pub(super) fn new(queue: &Queue, step: &StepSpec) -> Option<Self> {
        if queue.advisor.is_some() || step.max_per_executor > 0 || step.gang {
            return None;
        }
        Some(Self {
            service: queue.service.clone(),
            label: step.label.clone(),
            best_effort_image: step.image.clone().filter(|_| step.best_effort),
            allocated: step.allocated_size(),
            spare_cpu_millis: if step.best_effort {
                step.size.cpu_millis
            } else {
                0
            },
            wait: Wait::NONE,
        })
    }

    /// Returns whether every executor that meets `larger` meets this demand as well.
    fn is_implied_by(&self, larger: &Self) -> bool {
        self.service == larger.service
            && self.best_effort_image == larger.best_effort_image
            && self
                .label
                .as_ref()
                .is_none_or(|label| larger.label.as_ref() == Some(label))
            && self.allocated.fits(&larger.allocated)
            && self.spare_cpu_millis <= larger.spare_cpu_millis
            && self.wait >= larger.wait
    }
}
