//! Executors that do not answer, as stored for a successor.
//!
//! A successor cannot know when an executor that does not answer it was last granted a lease. What
//! is stored tells it, because an owner grants no lease to an executor that the stored record
//! names, or that a write in flight names. It also tells which runs are suspected if such an executor
//! turns out to have crashed ([`super::crashes`]).

use std::time::Duration;

use model::Mono;
use model::Set;

use super::Scheduler;
use crate::authority::Witness;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::lease_record::MAX_SILENT_EXECUTORS;
use crate::lease_record::MAX_STORED_SUSPECTS;
use crate::lease_record::SilentExecutor;

/// Interval at which the record is written again while it names executors, because the time until their
/// leases expire is counted from the write.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The silent executors that are stored.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredSilence {
    stored: Set<ExecutorKey>,
    being_stored: Option<Set<ExecutorKey>>,
    /// Whether an executor has become silent or answers again since the latest write began.
    changed: bool,
    written_at: Mono,
}

impl StoredSilence {
    pub(super) const fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Records that an executor answers. If it may be stored as silent, the record has to change.
    pub(super) const fn executor_answered(&mut self, executor: &mut Executor) {
        executor.reachable = true;
        self.changed |= executor.leases_withheld;
    }

    fn names(&self, key: ExecutorKey) -> bool {
        let being_stored = self.being_stored.as_ref();
        self.stored.contains(&key) || being_stored.is_some_and(|keys| keys.contains(&key))
    }
}

impl Scheduler {
    /// Returns whether the silent executors have to be stored.
    #[must_use]
    pub fn is_silence_due(&self, now: Mono) -> bool {
        let silence = &self.silence;
        let is_old = now.since(silence.written_at) >= REFRESH_INTERVAL;
        silence.changed || (is_old && !silence.stored.is_empty())
    }

    /// Returns the silent executors as they are to be stored. From now on none of them is granted a lease.
    pub fn begin_storing_silence(&mut self, now: Mono) -> Vec<SilentExecutor> {
        let silent = self.fleet.iter().filter(|(_, it)| is_silent(it, now));
        let mut room = MAX_STORED_SUSPECTS;
        let (keys, silent): (Set<ExecutorKey>, Vec<SilentExecutor>) = silent
            .take(MAX_SILENT_EXECUTORS)
            .map(|(key, executor)| {
                let mut entry = silent_executor(executor, now);
                entry.suspects = self.suspected_runs(key);
                entry.suspects.truncate(room);
                room -= entry.suspects.len();
                (key, entry)
            })
            .unzip();
        self.silence.being_stored = Some(keys);
        self.silence.changed = false;
        self.silence.written_at = now;
        self.withhold_leases_of_silent();
        silent
    }

    /// Records that the silent executors are stored, or that the store refuses to.
    pub fn silence_stored(&mut self, is_stored: bool) {
        let keys = self.silence.being_stored.take();
        match keys.filter(|_| is_stored) {
            Some(keys) => self.silence.stored = keys,
            None => self.silence.mark_changed(),
        }
        self.withhold_leases_of_silent();
    }

    /// Records that a run on an executor is suspected from now on. If the executor is silent already,
    /// the record has to change.
    pub(super) fn mark_suspicion_changed(&mut self, key: ExecutorKey) {
        if self.fleet.get(key).is_some_and(|it| !it.reachable) {
            self.silence.mark_changed();
        }
    }

    fn withhold_leases_of_silent(&mut self) {
        let silence = &self.silence;
        for (key, executor) in self.fleet.iter_mut() {
            executor.leases_withheld = silence.names(key);
        }
    }

    /// Takes over what the previous owner has stored. Its record has been known at `read_at`.
    pub fn inherit_silence(&mut self, silent: &[SilentExecutor], read_at: Mono) {
        for entry in silent {
            let Some(key) = self.fleet.find(&entry.executor.id) else {
                continue;
            };
            self.silence.stored.insert(key);
            let Some(executor) = self.fleet.get_mut(key) else {
                continue;
            };
            executor.leases_withheld = true;
            if executor.listing.started_unix_ms == entry.executor.started_unix_ms {
                let until = read_at.after(Duration::from_millis(entry.lease_ms));
                executor.limit_inherited_leases(until);
                if executor.listing.address.is_empty() {
                    executor.listing.address = entry.address.clone();
                }
                self.inherit_suspects(key, &entry.suspects);
            }
        }
        // What follows is stored with the first assignments, so that an executor that has no tasks any
        // more is named no longer once it gets some.
        self.silence.changed = true;
    }
}

/// Returns whether the tasks of an executor wait for its leases to expire. One that an earlier owner has
/// stored is silent until it answers.
fn is_silent(executor: &Executor, now: Mono) -> bool {
    let is_unseen = executor.leases_withheld && executor.is_inherited_unseen();
    let is_silent = !executor.reachable || is_unseen;
    is_silent && !executor.tasks.is_empty() && executor.leases_expire_at > now
}

fn silent_executor(executor: &Executor, now: Mono) -> SilentExecutor {
    SilentExecutor {
        executor: Witness {
            id: executor.listing.id.clone(),
            started_unix_ms: executor.listing.started_unix_ms,
        },
        lease_ms: model::time::millis(executor.leases_expire_at.since(now)),
        address: executor.listing.address.clone(),
        suspects: Vec::new(),
    }
}
