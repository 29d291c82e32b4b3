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
/// Which kind of work goes first in consecutive rounds, while rounds end before all work was tried
/// because no more may start at once. `None` keeps the usual order. Each kind that waits has a
/// share of the starts in this way, whatever keeps the owner from making more of them.
const TURNS: [Option<DeadlineOutlook>; 8] = [
    None,
    Some(DeadlineOutlook::LongRunning),
    None,
    Some(DeadlineOutlook::InTimeBestEffort),
    None,
    Some(DeadlineOutlook::LongRunning),
    None,
    Some(DeadlineOutlook::Late),
];

impl Scheduler {
    /// Returns the ready steps with their ranks, first the ones to be placed first.
    pub(super) fn steps_in_order(&self, now: Mono, unix_ms: u64) -> Vec<(Rank, ReadyStep)> {
        let late_first = self.rounds.is_multiple_of(LATE_ROUND_INTERVAL);
        let turn = self.turn();
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
            let has_turn = turn == Some(rank.outlook);
            let is_interrupted =
                rank.outlook == DeadlineOutlook::LongRunning && self.is_interrupted(ready.job);
            (
                !has_turn,
                class,
                !precedes,
                !is_interrupted,
                *rank,
                ready.first_slot,
            )
        });
        self.share_by_size(steps)
    }

    /// Returns the kind of work that goes first in this round, if it has a turn.
    fn turn(&self) -> Option<DeadlineOutlook> {
        let rounds = self.exhausted_rounds?;
        TURNS[(rounds % TURNS.len() as u64) as usize]
    }

    /// Records whether the budget of a round was used up.
    pub(super) fn record_exhaustion(&mut self, exhausted: bool) {
        self.exhausted_rounds = if exhausted {
            Some(self.exhausted_rounds.map_or(0, |rounds| rounds + 1))
        } else {
            None
        };
    }
}
