//! The order in which the ready steps are placed in a round.

use model::Mono;

use crate::ranking::DeadlineOutlook;
use crate::ranking::Rank;
use crate::ranking::rank;
use crate::scheduler::ReadyStep;
use crate::scheduler::Scheduler;

/// In one of this many rounds, late steps that keep partial value precede best-effort steps that can
/// be in time, so that none waits until it has no value.
const LATE_ROUND_INTERVAL: u64 = 4;

impl Scheduler {
    /// Returns the ready steps with their ranks, first the ones to be placed first.
    pub(super) fn steps_in_order(&self, now: Mono, unix_ms: u64) -> Vec<(Rank, ReadyStep)> {
        let late_first = self.rounds.is_multiple_of(LATE_ROUND_INTERVAL);
        let mut steps: Vec<(Rank, ReadyStep)> = self
            .ready_steps(unix_ms)
            .into_iter()
            .filter_map(|ready| {
                Some((rank(self, self.job(ready.job)?, ready, now, unix_ms), ready))
            })
            .collect();
        steps.sort_by_key(|(rank, ready)| {
            let precedes = late_first && rank.outlook == DeadlineOutlook::Late;
            let class = if precedes {
                DeadlineOutlook::InTimeBestEffort
            } else {
                rank.outlook
            };
            let is_interrupted =
                rank.outlook == DeadlineOutlook::LongRunning && self.is_interrupted(ready.job);
            (class, !precedes, !is_interrupted, *rank, ready.first_slot)
        });
        self.share_by_size(steps)
    }
}
