//! The executors that can take the tasks of one step, best first.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::Arc;

use super::Preference;
use super::room::Need;
use super::room::Room;
use crate::fleet::ExecutorKey;

/// An executor with its suitability when it was last assessed.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    preference: Preference,
    executor: ExecutorKey,
}

/// The candidates of a step whose tasks are interchangeable.
///
/// An executor is assessed at most once for the step and not once for each of its tasks. An assignment
/// changes only the executor that it uses, so that only the best candidate is assessed again. Where
/// spare CPU bounds the score, executors are assessed in its order and only until none of the others
/// can be better than the best one.
#[derive(Debug)]
pub(super) struct CandidatePool {
    heap: BinaryHeap<Candidate>,
    /// The executors that are not assessed yet, or none.
    ahead: Option<Ahead>,
}

/// Executors in the order of their spare CPU, the most first.
#[derive(Debug)]
struct Ahead {
    rooms: Arc<[Room]>,
    /// The index of the next one to be assessed.
    next: usize,
    need: Need,
    /// Whether executors that are kept for short work are left out.
    skips_kept: bool,
}

impl CandidatePool {
    /// Creates a pool from the executors that can take a task now.
    pub(super) fn new(candidates: Vec<(ExecutorKey, Preference)>) -> Self {
        let candidates = candidates
            .into_iter()
            .map(|(executor, preference)| Candidate {
                preference,
                executor,
            });
        Self {
            heap: candidates.collect(),
            ahead: None,
        }
    }

    /// Creates a pool for tasks whose score on each of these executors is at most its spare CPU, as a
    /// fraction. Executors that are kept for short work are assessed at once if `kept_first`, because
    /// their score exceeds that.
    pub(super) fn bounded(
        rooms: Arc<[Room]>,
        need: Need,
        kept_first: bool,
        assess: impl Fn(ExecutorKey) -> Option<Preference>,
    ) -> Self {
        let mut pool = Self::new(Vec::new());
        if kept_first {
            let kept = rooms.iter().filter(|room| room.is_kept);
            for room in kept.filter(|room| need.is_met_by(room)) {
                if let Some(preference) = assess(room.executor) {
                    pool.add(room.executor, preference);
                }
            }
        }
        pool.ahead = Some(Ahead {
            rooms,
            next: 0,
            need,
            skips_kept: kept_first,
        });
        pool
    }

    /// Removes and returns the best executor. `assess` returns the current suitability of an
    /// executor, or `None` if it cannot take another task.
    pub(super) fn take_best(
        &mut self,
        assess: impl Fn(ExecutorKey) -> Option<Preference>,
    ) -> Option<ExecutorKey> {
        loop {
            self.assess_ahead(&assess);
            let candidate = self.heap.pop()?;
            let Some(preference) = assess(candidate.executor) else {
                continue;
            };
            if preference.compare(&candidate.preference) != Ordering::Less {
                return Some(candidate.executor);
            }
            self.add(candidate.executor, preference);
        }
    }

    /// Assesses further executors while one of them may be better than the best candidate.
    fn assess_ahead(&mut self, assess: impl Fn(ExecutorKey) -> Option<Preference>) {
        let Some(ahead) = &mut self.ahead else {
            return;
        };
        while let Some(room) = ahead.rooms.get(ahead.next) {
            if self.heap.peek().is_some_and(|best| best.precedes(room)) {
                return;
            }
            ahead.next += 1;
            if (ahead.skips_kept && room.is_kept) || !ahead.need.is_met_by(room) {
                continue;
            }
            if let Some(preference) = assess(room.executor) {
                self.heap.push(Candidate {
                    preference,
                    executor: room.executor,
                });
            }
        }
    }

    /// Adds an executor with its current suitability.
    pub(super) fn add(&mut self, executor: ExecutorKey, preference: Preference) {
        self.heap.push(Candidate {
            preference,
            executor,
        });
    }
}

impl Candidate {
    /// Returns whether the candidate is better than an executor can be whose score is at most its
    /// spare CPU.
    fn precedes(&self, room: &Room) -> bool {
        let by_score = self.preference.score.total_cmp(&room.spare_fraction);
        self.preference.is_limited_by_score_only()
            && by_score.then(self.executor.cmp(&room.executor)) == Ordering::Greater
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.preference
            .compare(&other.preference)
            .then(self.executor.cmp(&other.executor))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}
