//! Teams and halves: what they hold and what they may hold.

use conf::doc;
use model::Size;
use model::id::TeamId;

use crate::key::Index;
use crate::key::LaneKey;
use crate::key::TaskKey;

/// Weighted shares are compared in billionths.
const SHARE_UNITS: f64 = 1e9;

/// One team.
#[derive(Debug)]
pub(crate) struct Team {
    /// The name.
    pub(crate) id: TeamId,
    /// What the document says of it; `None` while it does not name it.
    pub(crate) rules: Option<doc::Team>,
    /// Its half.
    pub(crate) half: Index,
    /// What its tasks hold here.
    pub(crate) used: Size,
    /// What its tasks hold at other daemons, by their last summaries.
    pub(crate) used_elsewhere: Size,
    /// Its lanes that hold tasks.
    pub(crate) lanes: Vec<LaneKey>,
}

impl Team {
    /// Makes a team that the document does not name.
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

    /// Returns what its tasks hold in all.
    pub(crate) fn total_used(&self) -> Size {
        self.used + self.used_elsewhere
    }

    /// Returns its dominant share of `whole` divided by its weight, in billionths.
    pub(crate) fn weighted_share(&self, total: &Size) -> u64 {
        let weight = self.rules.as_ref().map_or(1, |rules| rules.weight.max(1));
        (self.total_used().dominant_share(total) / f64::from(weight) * SHARE_UNITS) as u64
    }
}

/// One half of the organisation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Half {
    /// The part of the capacity that its tasks may take, in percent.
    pub(crate) percent: u8,
    /// What its tasks hold here.
    pub(crate) used: Size,
    /// What its tasks hold at other daemons.
    pub(crate) used_elsewhere: Size,
    /// A task for which a part of the share is kept free, and what it needs.
    pub(crate) reserved: Option<(TaskKey, Size)>,
}

/// Returns a part of a size in percent, rounded down.
pub(crate) const fn percent_of(size: &Size, percent: u8) -> Size {
    Size::new(
        size.cpu_millis * percent as u64 / 100,
        size.memory_mib * percent as u64 / 100,
        size.accelerators * percent as u64 / 100,
    )
}
