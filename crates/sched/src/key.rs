//! Compact keys into the arenas of the scheduler; names are translated to keys when input arrives.

use std::hash::Hash;

use model::Map;
use slotmap::new_key_type;

new_key_type! {
    /// The key of a worker.
    pub(crate) struct WorkerKey;
    /// The key of a task.
    pub(crate) struct TaskKey;
    /// The key of a class of tasks.
    pub(crate) struct ClassKey;
    /// The key of a team.
    pub(crate) struct TeamKey;
    /// The key of a lane of the queue.
    pub(crate) struct LaneKey;
}

/// An index into an [`Interner`]; used for sites, racks and halves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Index(pub(crate) usize);

/// A list of names that are never removed.
#[derive(Debug)]
pub(crate) struct Interner<T> {
    names: Vec<T>,
    indices: Map<T, Index>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            indices: Map::default(),
        }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// Returns the index of a name, adding the name if it is new.
    pub(crate) fn intern(&mut self, name: &T) -> Index {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = Index(self.names.len());
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// Returns the name at an index.
    pub(crate) fn get(&self, index: Index) -> &T {
        &self.names[index.0]
    }

    /// Returns all names with their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Index, &T)> {
        (0..).map(Index).zip(&self.names)
    }
}
