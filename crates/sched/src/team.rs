//! Teams and halves, their usage and their limits.

use conf::doc;
use model::Size;
use model::id::TeamId;

use crate::key::Index;
use crate::key::LaneKey;
use crate::key::TaskKey;

/// Weighted shares are compared as integers in billionths.
const SHARE_UNITS: f64 = 1e9;

/// A team that submits tasks.
#[derive(Debug)]
pub(crate) struct Team {
    /// The name of the team.
    pub(crate) id: TeamId,
    /// The rules of the document; `None` while the document does not list the team.
    pub(crate) rules: Option<doc::Team>,
    /// The half that the team belongs to.
    pub(crate) half: Index,
    /// The resources reserved for its tasks at this daemon.
    pub(crate) used: Size,
    /// The resources reserved for its tasks at other daemons, by their last summaries.
    pub(crate) used_elsewhere: Size,
    /// The lanes that contain its waiting tasks.
    pub(crate) lanes: Vec<LaneKey>,
}

impl Team {
    /// Creates a team that the document does not list.
    pub(crate) const fn new(id: TeamId, half: Index) -> Self {
        Self {
            id,
            rules: None,
            half,
            used: Size::ZERO,
            used_elsewhere: Size::ZERO,
            lanes: Vec::new(),
        }
    }

    /// Returns the resources reserved for its tasks at all daemons.
    pub(crate) fn total_used(&self) -> Size {
        self.used + self.used_elsewhere
    }

    /// Returns its dominant share of `total` divided by its weight, in billionths.
    pub(crate) fn weighted_share(&self, total: &Size) -> u64 {
        let weight = self.rules.as_ref().map_or(1, |rules| rules.weight.max(1));
        (self.total_used().dominant_share(total) / f64::from(weight) * SHARE_UNITS) as u64
    }
}

/// One half of the organisation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Half {
    /// The percentage of the total capacity that its tasks may use.
    pub(crate) percent: u8,
    /// The resources reserved for its tasks at this daemon.
    pub(crate) used: Size,
    /// The resources reserved for its tasks at other daemons.
    pub(crate) used_elsewhere: Size,
    /// A waiting task for which a part of the share is reserved, and the size of that part.
    pub(crate) reserved: Option<(TaskKey, Size)>,
}

/// Returns a percentage of a size, rounded down.
pub(crate) const fn percent_of(size: &Size, percent: u8) -> Size {
    Size::new(
        size.cpu_millis * percent as u64 / 100,
        size.memory_mib * percent as u64 / 100,
        size.accelerators * percent as u64 / 100,
    )
}
