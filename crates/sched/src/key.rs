//! Small keys into the arenas; names are mapped to them where facts come in.

use slotmap::new_key_type;

new_key_type! {
    /// A worker.
    pub(crate) struct WorkerKey;
    /// A task.
    pub(crate) struct TaskKey;
    /// A class of tasks.
    pub(crate) struct ClassKey;
    /// A team.
    pub(crate) struct TeamKey;
    /// A lane of the queue.
    pub(crate) struct LaneKey;
}

/// An index into a list of names that only grows: sites, racks and halves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Index(pub(crate) u16);

/// Names that are few and never forgotten.
#[derive(Debug)]
pub(crate) struct Interner<T> {
    names: Vec<T>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { names: Vec::new() }
    }
}

impl<T: Clone + PartialEq> Interner<T> {
    /// Returns the index of a name, adding it if it is new.
    pub(crate) fn intern(&mut self, name: &T) -> Index {
        let at = match self.names.iter().position(|known| known == name) {
            Some(at) => at,
            None => {
                self.names.push(name.clone());
                self.names.len() - 1
            }
        };
        Index(u16::try_from(at).unwrap_or(u16::MAX))
    }

    /// Returns the name at an index.
    pub(crate) fn get(&self, index: Index) -> &T {
        &self.names[usize::from(index.0)]
    }

    /// Returns all names with their index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Index, &T)> {
        (0..).map(Index).zip(&self.names)
    }
}
