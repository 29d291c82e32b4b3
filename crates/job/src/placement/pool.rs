//! The executors that can take the tasks of one step, best first.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::Preference;
use crate::fleet::ExecutorKey;

/// An executor with its suitability when it was last assessed.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    preference: Preference,
    executor: ExecutorKey,
}

/// The candidates of a step whose tasks are interchangeable.
///
/// All executors are assessed once for the step and not once for each of its tasks. An assignment
/// changes only the executor that it uses, so that only the best candidate is assessed again.
#[derive(Debug)]
pub(super) struct CandidatePool {
    heap: BinaryHeap<Candidate>,
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
        }
    }

    /// Removes and returns the best executor. `assess` returns the current suitability of an
    /// executor, or `None` if it cannot take another task.
    pub(super) fn take_best(
        &mut self,
        assess: impl Fn(ExecutorKey) -> Option<Preference>,
    ) -> Option<ExecutorKey> {
        while let Some(candidate) = self.heap.pop() {
            let Some(preference) = assess(candidate.executor) else {
                continue;
            };
            if preference.compare(&candidate.preference) != Ordering::Less {
                return Some(candidate.executor);
            }
            self.add(candidate.executor, preference);
        }
        None
    }

    /// Adds an executor with its current suitability.
    pub(super) fn add(&mut self, executor: ExecutorKey, preference: Preference) {
        self.heap.push(Candidate {
            preference,
            executor,
        });
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
