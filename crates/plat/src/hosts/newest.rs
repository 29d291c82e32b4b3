//! Stores the newest list of hosts.

use super::HostList;

/// The newest list of hosts received so far.
///
/// Responses may come from replicas of the platform that lag behind each other, so a response with
/// a lower revision is outdated and must not replace a newer list.
#[derive(Clone, Debug, Default)]
pub struct NewestHostList {
    list: Option<HostList>,
}

impl NewestHostList {
    /// Stores the list if it is newer than the current one, and returns whether it was.
    pub fn update(&mut self, list: HostList) -> bool {
        let newer = self.revision().is_none_or(|known| list.revision > known);
        if newer {
            self.list = Some(list);
        }
        newer
    }

    /// Returns the newest list, or `None` before the first one was received.
    #[must_use]
    pub const fn list(&self) -> Option<&HostList> {
        self.list.as_ref()
    }

    /// Returns the revision of the newest list, which the next request contains.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        self.list.as_ref().map(|list| list.revision)
    }
}
