//! The priority of a task.

use serde::Deserialize;
use serde::Serialize;

/// The scheduling priority of a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Waits for the fair share of its team.
    #[default]
    Normal,
    /// Starts within 2.5 s if any worker can run it, evicting batch tasks if necessary.
    Urgent,
}
