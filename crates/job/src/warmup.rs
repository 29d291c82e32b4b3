//! Slow start of cold executors.
//!
//! An executor is slow for a while after its start. It gets work according to what warm executors of
//! its service get, so that neither it nor the others are overloaded: warm ones are preferred, and in
//! any second a cold one gets at most a multiple of the tasks that a warm one gets on average, and a few
//! more. See `docs/design/evacuation.md`.

use std::time::Duration;

use model::Mono;

/// The time over which the tasks of cold and warm executors are compared.
const WINDOW: Duration = Duration::from_secs(1);
/// Fractions of tasks are counted in millionths.
const TASK: u64 = 1_000_000;

/// How much work a cold executor may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupLimits {
    /// The tasks that a cold executor may get, per thousand tasks that each warm executor of its service
    /// gets on average in the same second.
    pub overage_thousandths: u32,
    /// The tasks that it may get in a second besides. At least one is allowed, so that work proceeds
    /// while the warm executors are full.
    pub slack: u32,
}

/// The warm and cold executors of a service, and the tasks that the warm ones have received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceWarmth {
    /// The number of listed executors that are warm.
    pub warm: usize,
    /// The number of listed executors that are cold.
    pub cold: usize,
    /// What the tasks started on warm executors so far allow a cold one, in millionths of a task.
    credit: u64,
}

/// The tasks that a cold executor has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdStarts {
    /// The tasks of the latest window, oldest first.
    charges: Vec<Charge>,
    /// The credit of the service when the latest task was added.
    credit: u64,
}

/// A task that counts against the slack of a cold executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Charge {
    at: Mono,
    /// The part that later tasks of the warm executors have not offset, in millionths of a task.
    open: u64,
}

impl WarmupLimits {
    fn slack_millionths(self) -> u64 {
        u64::from(self.slack.max(1)) * TASK
    }
}

impl ServiceWarmth {
    /// Returns the state of a service with this number of warm and cold executors.
    #[must_use]
    pub const fn new(warm: usize, cold: usize) -> Self {
        Self {
            warm,
            cold,
            credit: 0,
        }
    }

    /// Records that a warm executor has received a task.
    pub fn add_warm_task(&mut self, limits: WarmupLimits) {
        let warm = u64::try_from(self.warm).unwrap_or(u64::MAX).max(1);
        let overage = u64::from(limits.overage_thousandths) * (TASK / 1_000);
        self.credit = self.credit.saturating_add(overage / warm);
    }
}

impl ColdStarts {
    /// Returns how many tasks the executor may take now.
    ///
    /// Each task counts against the slack for a second, and less once warm executors have received tasks
    /// after it. Tasks that they received before it do not count, so that the limit holds in each window
    /// of a second. Without a listed warm executor there is no limit.
    #[must_use]
    pub fn allowance(&self, service: &ServiceWarmth, limits: WarmupLimits, now: Mono) -> u64 {
        if service.warm == 0 {
            return u64::MAX;
        }
        let open = self.open_charges(service, now);
        let open: u64 = open.iter().map(|charge| charge.open).sum();
        limits.slack_millionths().saturating_sub(open) / TASK
    }

    /// Records that the executor has received a task.
    pub fn add(&mut self, service: &ServiceWarmth, now: Mono) {
        self.charges = self.open_charges(service, now);
        self.charges.push(Charge {
            at: now,
            open: TASK,
        });
        self.credit = service.credit;
    }

    /// Returns the charges of the window that later tasks of the warm executors have not offset.
    fn open_charges(&self, service: &ServiceWarmth, now: Mono) -> Vec<Charge> {
        let mut credit = service.credit.saturating_sub(self.credit);
        let recent = self.charges.iter();
        let recent = recent.filter(|charge| now.since(charge.at) < WINDOW);
        let remaining = recent.filter_map(|charge| {
            let covered = credit.min(charge.open);
            credit -= covered;
            let open = charge.open - covered;
            (open > 0).then_some(Charge { open, ..*charge })
        });
        remaining.collect()
    }
}
