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
use crate::timing::HEARTBEAT_LAPSE;
use crate::timing::MAX_READ_GAP;

/// What was last read of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    row: MemberRow,
    /// The value of [`Watch::observed`] when the heartbeat last moved.
    moved: Duration,
    listed: bool,
}

/// The heartbeats of all daemons, over the time for which reads succeeded.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    seen: Map<DaemonId, Seen>,
    observed: Duration,
    answered: Option<Mono>,
}

impl Watch {
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
        if let Some(previous) = self.answered {
            let span = sent.since(previous);
            if span <= MAX_READ_GAP {
                self.observed += span;
            }
        }
        self.answered = Some(answered);
        for seen in self.seen.values_mut() {
            seen.listed = false;
        }
        for row in rows {
            self.note(row);
        }
    }

    fn note(&mut self, row: MemberRow) {
        let observed = self.observed;
        let seen = self.seen.entry(row.daemon.clone()).or_insert_with(|| Seen {
            row: row.clone(),
            moved: observed,
            listed: true,
        });
        seen.listed = true;
        let moved = (seen.row.incarnation, seen.row.beat) != (row.incarnation, row.beat);
        if moved {
            seen.moved = observed;
        }
        seen.row = row;
    }

    /// Returns for how long of the observed time a daemon's heartbeat has stood still; for a daemon
    /// that was never seen, the whole of it.
    #[must_use]
    pub fn still(&self, daemon: &DaemonId) -> Duration {
        let moved = self
            .seen
            .get(daemon)
            .map_or(Duration::ZERO, |seen| seen.moved);
        self.observed.saturating_sub(moved)
    }

    /// Returns whether an owner's heartbeat has lapsed, or it is an earlier life of its daemon.
    #[must_use]
    pub fn has_lapsed(&self, owner: &Owner) -> bool {
        let replaced = |seen: &Seen| seen.row.incarnation > owner.incarnation;
        self.seen.get(&owner.daemon).is_some_and(replaced)
            || self.still(&owner.daemon) >= HEARTBEAT_LAPSE
    }

    /// Returns the daemons whose heartbeat has not lapsed.
    pub fn live(&self) -> impl Iterator<Item = &MemberRow> {
        self.seen
            .values()
            .filter(|seen| seen.listed && self.still(&seen.row.daemon) < HEARTBEAT_LAPSE)
            .map(|seen| &seen.row)
    }

    /// Returns what was last read of a daemon.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&MemberRow> {
        self.seen.get(daemon).map(|seen| &seen.row)
    }

    /// Returns which life of a daemon was last read.
    #[must_use]
    pub fn incarnation(&self, daemon: &DaemonId) -> Option<Incarnation> {
        self.member(daemon).map(|row| row.incarnation)
    }
}
