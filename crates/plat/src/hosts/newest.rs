//! Keeps the newest list of hosts seen.

use super::HostList;

/// The newest list of hosts seen.
///
/// Answers may come from replicas of the platform that lag behind each other, so an answer with a
/// lower revision is older than what is known already and must not undo it.
#[derive(Clone, Debug, Default)]
pub struct NewestHostList {
    list: Option<HostList>,
}

impl NewestHostList {
    /// Takes the list if it is newer than the one kept, and returns whether it was.
    pub fn update(&mut self, list: HostList) -> bool {
        let newer = self.revision().is_none_or(|seen| list.revision > seen);
        if newer {
            self.list = Some(list);
        }
        newer
    }

    /// Returns the list, if one was ever seen.
    #[must_use]
    pub const fn list(&self) -> Option<&HostList> {
        self.list.as_ref()
    }

    /// Returns the revision of the list, which the next request names.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.list.as_ref().map(|list| list.revision)
    }
}
