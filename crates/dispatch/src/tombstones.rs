//! Cancellations of jobs that are not stored.
//!
//! A submission whose write got no answer may be stored seconds later. A cancellation that finds no job
//! therefore leaves a tombstone, the row of a cancellation without a job, before it is answered. Each
//! submission expects that there is none. See "Late writes" in `docs/design/bounded-rows.md`.

use std::time::Duration;

use job::id::JobId;
use model::Map;
use model::Mono;

/// Time after which no write of a submission can take effect any more; up to 6 s were observed.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(30);
/// A tombstone older than this may be removed before a write on its way takes effect, so that another
/// cancellation writes it again.
pub const RENEW_AFTER: Duration = Duration::from_secs(15);
/// With more tombstones than this, those that no late write needs any more are removed early.
const MAX_TOMBSTONES: usize = 4_096;
/// Tombstones that a host may write in a second on average, so that a flood of cancellations leaves
/// the store's writes to others.
const WRITES_PER_SECOND: u64 = 8;
/// Tombstones that a host may write at once.
const MAX_BURST: u64 = 40;

/// Limits the tombstones that a host writes: a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct WriteBudget {
    /// Thousandths of a write that are available.
    milli_writes: u64,
    updated: Mono,
}

impl Default for WriteBudget {
    fn default() -> Self {
        Self {
            milli_writes: MAX_BURST * 1_000,
            updated: Mono::ZERO,
        }
    }
}

impl WriteBudget {
    /// Takes one write if there is one.
    pub fn take(&mut self, now: Mono) -> bool {
        let elapsed_ms = model::time::millis(now.since(self.updated));
        let earned = elapsed_ms.saturating_mul(WRITES_PER_SECOND);
        self.milli_writes = self
            .milli_writes
            .saturating_add(earned)
            .min(MAX_BURST * 1_000);
        self.updated = now;
        let is_free = self.milli_writes >= 1_000;
        if is_free {
            self.milli_writes -= 1_000;
        }
        is_free
    }
}

/// The tombstones that the owner has seen and has to remove when they expire.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    by_id: Map<JobId, Tombstone>,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// The version of the row.
    version: u64,
    /// When this owner first saw this version.
    seen: Mono,
}

impl Tombstones {
    /// Records a tombstone. One that was written again is kept for the whole time again.
    pub fn add(&mut self, id: JobId, version: u64, now: Mono) {
        let seen = Tombstone { version, seen: now };
        let known = self.by_id.entry(id).or_insert(seen);
        if known.version < version {
            *known = seen;
        }
    }

    /// Forgets a tombstone whose row is gone or belongs to a job.
    pub fn remove(&mut self, id: JobId) {
        self.by_id.remove(&id);
    }

    /// Forgets all tombstones but those that are still stored.
    pub fn retain(&mut self, mut is_stored: impl FnMut(JobId) -> bool) {
        self.by_id.retain(|id, _| is_stored(*id));
    }

    /// Returns whether there is a tombstone for a job.
    #[must_use]
    pub fn contains(&self, id: JobId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Returns up to `limit` tombstones to be removed, with the versions of their rows, the oldest
    /// first. They are kept for `retention`, or only for as long as a late write is possible while
    /// there are too many.
    #[must_use]
    pub fn expired(&self, retention: Duration, limit: usize, now: Mono) -> Vec<(JobId, u64)> {
        let mut by_age: Vec<(Mono, JobId, u64)> = self
            .by_id
            .iter()
            .map(|(id, tombstone)| (tombstone.seen, *id, tombstone.version))
            .collect();
        by_age.sort_unstable();
        let excess = by_age.len().saturating_sub(MAX_TOMBSTONES);
        let retention = retention.max(MAX_WRITE_DELAY);
        let expired = by_age.into_iter().enumerate().take_while(|(index, entry)| {
            let age = now.since(entry.0);
            age >= retention || (*index < excess && age >= MAX_WRITE_DELAY)
        });
        expired
            .take(limit)
            .map(|(_, (_, id, version))| (id, version))
            .collect()
    }
}
