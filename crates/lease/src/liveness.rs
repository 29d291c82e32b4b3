//! Finds out from successive reads of the heartbeat rows which daemons have stopped.
//!
//! A heartbeat that stands still proves that a daemon could not write for a while, not that it is
//! dead: it may still act. Safety rests on epochs and leases alone, see `docs/TASKS.md`; this only
//! decides when a successor steps in.

use std::time::Duration;

use model::Map;
use model::Mono;
use model::id::DaemonId;
use model::id::Incarnation;

use crate::record::MemberRow;
use crate::record::Owner;
use crate::timing::HEARTBEAT_TIMEOUT;
use crate::timing::MAX_READ_GAP;

/// What was last read of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Observation {
    row: MemberRow,
    /// The value of [`LivenessMonitor::observed_time`] when the heartbeat last moved.
    changed_at: Duration,
    present: bool,
}

/// The heartbeats of all daemons, over the time for which reads succeeded.
#[derive(Clone, Debug, Default)]
pub struct LivenessMonitor {
    observations: Map<DaemonId, Observation>,
    observed_time: Duration,
    last_answered: Option<Mono>,
}

impl LivenessMonitor {
    /// Takes in a complete read of the heartbeat rows that was sent at `sent` and answered at
    /// `answered`.
    ///
    /// The row was read at some moment between the two, so only the span from the previous answer to
    /// this sending is certain to have passed between two reads. A span longer than
    /// [`MAX_READ_GAP`] does not count: neither the reader's pause nor an outage of the table says
    /// anything about the daemons.
    pub fn observe(
        &mut self,
        rows: impl IntoIterator<Item = MemberRow>,
        sent: Mono,
        answered: Mono,
    ) {
        if let Some(previous) = self.last_answered {
            let elapsed = sent.since(previous);
            if elapsed <= MAX_READ_GAP {
                self.observed_time += elapsed;
            }
        }
        self.last_answered = Some(answered);
        for seen in self.observations.values_mut() {
            seen.present = false;
        }
        for row in rows {
            self.record(row);
        }
    }

    fn record(&mut self, row: MemberRow) {
        let observed_time = self.observed_time;
        let seen = self
            .observations
            .entry(row.daemon.clone())
            .or_insert_with(|| Observation {
                row: row.clone(),
                changed_at: observed_time,
                present: true,
            });
        seen.present = true;
        let changed = (seen.row.incarnation, seen.row.beat) != (row.incarnation, row.beat);
        if changed {
            seen.changed_at = observed_time;
        }
        seen.row = row;
    }

    /// Returns for how long of the observed time a daemon's heartbeat has stood still; for a daemon
    /// that was never seen, the whole of it.
    #[must_use]
    pub fn stalled_for(&self, daemon: &DaemonId) -> Duration {
        let changed_at = self
            .observations
            .get(daemon)
            .map_or(Duration::ZERO, |seen| seen.changed_at);
        self.observed_time.saturating_sub(changed_at)
    }

    /// Returns whether an owner's heartbeat has lapsed, or it is an earlier life of its daemon.
    #[must_use]
    pub fn has_expired(&self, owner: &Owner) -> bool {
        let replaced = |seen: &Observation| seen.row.incarnation > owner.incarnation;
        self.observations.get(&owner.daemon).is_some_and(replaced)
            || self.stalled_for(&owner.daemon) >= HEARTBEAT_TIMEOUT
    }

    /// Returns the daemons whose heartbeat has not lapsed.
    pub fn live(&self) -> impl Iterator<Item = &MemberRow> {
        self.observations
            .values()
            .filter(|seen| seen.present && self.stalled_for(&seen.row.daemon) < HEARTBEAT_TIMEOUT)
            .map(|seen| &seen.row)
    }

    /// Returns what was last read of a daemon.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&MemberRow> {
        self.observations.get(daemon).map(|seen| &seen.row)
    }

    /// Returns which life of a daemon was last read.
    #[must_use]
    pub fn incarnation(&self, daemon: &DaemonId) -> Option<Incarnation> {
        self.member(daemon).map(|row| row.incarnation)
    }
}
