//! The order in which the changed jobs are stored.
//!
//! A transaction holds only so many rows, and the next one begins when it has ended. Under overload
//! a changed job waits for several of them. Jobs that are to be in time lose their whole value by
//! such a wait, so that they go first; the others keep a share of each transaction, because
//! executors list an end until it is stored.

use std::collections::VecDeque;

use super::JobKey;

/// Number of urgent rows that are taken for each other row, while both wait.
const URGENT_ROWS_PER_OTHER: u32 = 2;

/// The changed jobs that wait to be stored.
///
/// A job that becomes urgent while it waits is in both lanes. It is stored at the first of its
/// turns, and the second one is void unless the job has changed again.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreQueue {
    urgent: Lane,
    other: Lane,
    /// Number of urgent jobs taken since the last other one.
    urgent_since_other: u32,
}

/// Jobs in the order of their first change.
#[derive(Clone, Debug, Default)]
struct Lane {
    jobs: VecDeque<JobKey>,
    /// The number of jobs taken so far.
    taken: u64,
}

/// The lanes in which a job waits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StorePlace {
    urgent: bool,
    other: bool,
}

/// A point in the order of rows: everything that had changed when it was recorded is taken once
/// the queue has passed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorePoint {
    urgent: u64,
    other: u64,
}

impl Lane {
    fn take(&mut self) -> Option<JobKey> {
        let job = self.jobs.pop_front()?;
        self.taken += 1;
        Some(job)
    }

    fn end(&self) -> u64 {
        self.taken + self.jobs.len() as u64
    }
}

impl StoreQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of turns that are to come. A job that waits in both lanes has two.
    pub(super) fn len(&self) -> usize {
        self.urgent.jobs.len() + self.other.jobs.len()
    }

    /// Adds a changed job, unless it already waits in a lane that is as early.
    pub(super) fn add(&mut self, job: JobKey, is_urgent: bool, place: &mut StorePlace) {
        if place.urgent || (place.other && !is_urgent) {
            return;
        }
        if is_urgent {
            place.urgent = true;
            self.urgent.jobs.push_back(job);
        } else {
            place.other = true;
            self.other.jobs.push_back(job);
        }
    }

    /// Removes and returns the next job. `place` returns the lanes in which a job waits.
    pub(super) fn take<'p>(
        &mut self,
        place: impl FnOnce(JobKey) -> Option<&'p mut StorePlace>,
    ) -> Option<JobKey> {
        let others_turn = self.urgent_since_other >= URGENT_ROWS_PER_OTHER;
        if self.urgent.jobs.is_empty() || (others_turn && !self.other.jobs.is_empty()) {
            let job = self.other.take()?;
            self.urgent_since_other = 0;
            if let Some(place) = place(job) {
                place.other = false;
            }
            return Some(job);
        }
        let job = self.urgent.take()?;
        self.urgent_since_other = self.urgent_since_other.saturating_add(1);
        if let Some(place) = place(job) {
            place.urgent = false;
        }
        Some(job)
    }

    /// Returns the point after all jobs that wait now.
    pub(super) fn end(&self) -> StorePoint {
        StorePoint {
            urgent: self.urgent.end(),
            other: self.other.end(),
        }
    }

    /// Returns whether all jobs before a point have been taken.
    pub(super) const fn has_passed(&self, point: StorePoint) -> bool {
        self.urgent.taken >= point.urgent && self.other.taken >= point.other
    }
}
