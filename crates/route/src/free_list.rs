//! The executors of an upstream that have a free slot, with sampling in constant time.

use model::Map;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::key::ExecutorKey;

/// A set of executors with insertion, removal and random sampling in constant time.
#[derive(Debug, Default)]
pub struct FreeList {
    keys: Vec<ExecutorKey>,
    index: Map<ExecutorKey, usize>,
}

impl FreeList {
    /// Inserts an executor if it is `free` and removes it otherwise.
    pub fn set_free(&mut self, key: ExecutorKey, free: bool) {
        match (free, self.index.get(&key).copied()) {
            (true, None) => {
                self.index.insert(key, self.keys.len());
                self.keys.push(key);
            }
            (false, Some(position)) => self.remove_at(key, position),
            _ => {}
        }
    }

    fn remove_at(&mut self, key: ExecutorKey, position: usize) {
        self.keys.swap_remove(position);
        self.index.remove(&key);
        if let Some(moved) = self.keys.get(position) {
            self.index.insert(*moved, position);
        }
    }

    /// Returns a random executor, or `None` if the set is empty.
    pub fn sample(&self, rng: &mut SmallRng) -> Option<ExecutorKey> {
        if self.keys.is_empty() {
            return None;
        }
        Some(self.keys[rng.random_range(..self.keys.len())])
    }

    /// Iterates over the executors in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = ExecutorKey> + '_ {
        self.keys.iter().copied()
    }

    /// Returns the number of executors.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
