//! Failure detection from successive reads of the heartbeat rows.
//!
//! A stalled heartbeat proves that a daemon could not write for a while, not that it is dead: it
//! may still act. Safety depends on epochs and leases alone, see `docs/TASKS.md`; this module only
//! decides when a successor may claim its shards.

use std::time::Duration;

use model::Map;
use model::Mono;
use model::id::DaemonId;
use model::id::Incarnation;

use crate::record::MemberRow;
use crate::record::Owner;
use crate::timing::HEARTBEAT_TIMEOUT;
use crate::timing::MAX_READ_GAP;

/// The last heartbeat read of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Observation {
    row: MemberRow,
    /// The value of [`LivenessMonitor::observed_time`] when the heartbeat last changed.
    changed_at: Duration,
    /// Whether the last read contained the row.
    present: bool,
}

/// Tracks the heartbeats of all daemons.
///
/// Time advances only over intervals between successful reads, so that an outage of the table does
/// not make every daemon look dead.
#[derive(Clone, Debug, Default)]
pub struct LivenessMonitor {
    observations: Map<DaemonId, Observation>,
    /// The sum of all intervals between reads that count.
    observed_time: Duration,
    /// When the last read was answered.
    last_answered: Option<Mono>,
}

impl LivenessMonitor {
    /// Records a complete read of the heartbeat rows that was sent at `sent` and answered at
    /// `answered`.
    ///
    /// The rows were read at an unknown time between the two, so only the interval from the
    /// previous answer to this request certainly passed between the two reads. An interval longer
    /// than [`MAX_READ_GAP`] does not count: neither a pause of the reader nor an outage of the
    /// table is evidence about the daemons.
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
        for observation in self.observations.values_mut() {
            observation.present = false;
        }
        for row in rows {
            self.record(row);
        }
    }

    fn record(&mut self, row: MemberRow) {
        let observed_time = self.observed_time;
        let observation = self
            .observations
            .entry(row.daemon.clone())
            .or_insert_with(|| Observation {
                row: row.clone(),
                changed_at: observed_time,
                present: true,
            });
        observation.present = true;
        let heartbeat = |row: &MemberRow| (row.incarnation, row.heartbeat_count);
        let changed = heartbeat(&observation.row) != heartbeat(&row);
        if changed {
            observation.changed_at = observed_time;
        }
        observation.row = row;
    }

    /// Returns how much of the observed time has passed since a daemon's heartbeat last changed.
    ///
    /// For a daemon without any heartbeat row, this is the whole observed time.
    #[must_use]
    pub fn stalled_for(&self, daemon: &DaemonId) -> Duration {
        let changed_at = self
            .observations
            .get(daemon)
            .map_or(Duration::ZERO, |observation| observation.changed_at);
        self.observed_time.saturating_sub(changed_at)
    }

    /// Returns whether an owner's heartbeat has timed out or a newer incarnation of its daemon has
    /// been read.
    #[must_use]
    pub fn has_expired(&self, owner: &Owner) -> bool {
        let replaced = |observation: &Observation| observation.row.incarnation > owner.incarnation;
        self.observations.get(&owner.daemon).is_some_and(replaced)
            || self.stalled_for(&owner.daemon) >= HEARTBEAT_TIMEOUT
    }

    /// Returns the daemons in the last read whose heartbeat has not timed out.
    pub fn live(&self) -> impl Iterator<Item = &MemberRow> {
        self.observations
            .values()
            .filter(|observation| {
                observation.present && self.stalled_for(&observation.row.daemon) < HEARTBEAT_TIMEOUT
            })
            .map(|observation| &observation.row)
    }

    /// Returns the last heartbeat row read of a daemon.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&MemberRow> {
        self.observations
            .get(daemon)
            .map(|observation| &observation.row)
    }

    /// Returns the incarnation of a daemon in its last heartbeat row.
    #[must_use]
    pub fn incarnation(&self, daemon: &DaemonId) -> Option<Incarnation> {
        self.member(daemon).map(|row| row.incarnation)
    }
}
