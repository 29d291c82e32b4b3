//! A class of tasks: the document's rules, learned sizes, and where its runs failed lately.

use std::collections::VecDeque;

use conf::doc;
use conf::doc::Kind;
use model::Map;
use model::Set;
use model::Size;
use model::id::ClassId;
use model::place::Place;

use crate::key::Index;
use crate::key::WorkerKey;
use crate::sizes::SizeEstimator;

/// How many outcomes of a class are remembered to tell bad jobs from bad workers.
const MAX_OUTCOMES: usize = 32;

/// One class.
#[derive(Debug)]
pub(crate) struct Class {
    /// The name.
    pub(crate) id: ClassId,
    /// What the document says of it; `None` while it does not name it.
    pub(crate) rules: Option<doc::Class>,
    /// The sites that it may run at.
    pub(crate) sites: Vec<Index>,
    /// The largest capacity at these sites, in each dimension.
    pub(crate) max_capacity: Size,
    /// The learned sizes.
    pub(crate) sizes: SizeEstimator,
    /// How many of its tasks each rack holds.
    pub(crate) tasks_per_rack: Map<Index, u32>,
    outcomes: VecDeque<(WorkerKey, bool)>,
}

impl Class {
    /// Makes a class that the document does not name.
    pub(crate) fn new(id: ClassId) -> Self {
        Self {
            id,
            rules: None,
            sites: Vec::new(),
            max_capacity: Size::ZERO,
            sizes: SizeEstimator::new(),
            tasks_per_rack: Map::default(),
            outcomes: VecDeque::new(),
        }
    }

    /// Returns whether its tasks serve requests.
    pub(crate) fn is_service(&self) -> bool {
        let kind = self.rules.as_ref().map(|rules| rules.kind);
        kind == Some(Kind::Service)
    }

    /// Returns the p99 that its answers should keep to, for services that have one.
    pub(crate) fn target_us(&self) -> Option<u64> {
        let rules = self.rules.as_ref()?;
        rules.p99_target_us.filter(|_| rules.kind == Kind::Service)
    }

    /// Returns whether the document lets it run at a place.
    pub(crate) fn allows(&self, place: &Place) -> bool {
        let Some(rules) = &self.rules else {
            return false;
        };
        let region = rules.regions.is_empty() || rules.regions.contains(&place.region);
        let data_centre =
            rules.data_centres.is_empty() || rules.data_centres.contains(&place.data_centre);
        region && data_centre
    }

    /// Returns whether a rack may take one more of its tasks.
    pub(crate) fn rack_admits(&self, rack: Index) -> bool {
        let most = self.rules.as_ref().and_then(|rules| rules.max_per_rack);
        most.is_none_or(|most| self.tasks_on_rack(rack) < most)
    }

    /// Returns how many of its tasks a rack holds.
    pub(crate) fn tasks_on_rack(&self, rack: Index) -> u32 {
        self.tasks_per_rack.get(&rack).copied().unwrap_or(0)
    }

    /// Remembers how a run on a worker ended.
    pub(crate) fn record_outcome(&mut self, worker: WorkerKey, failed: bool) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((worker, failed));
    }

    /// Estimates the chance that a run fails on a worker other than `worker`, counting workers
    /// and not runs, so that one bad worker weighs no more than another; 0.5 when nothing is known.
    pub(crate) fn failure_rate_elsewhere(&self, worker: WorkerKey) -> f64 {
        let others = |failed: bool| {
            let of = |(at, outcome): &&(WorkerKey, bool)| *at != worker && *outcome == failed;
            let workers: Set<WorkerKey> = self.outcomes.iter().filter(of).map(|o| o.0).collect();
            workers.len() as f64
        };
        let failed = others(true);
        (failed + 0.5) / (failed + others(false) + 1.0)
    }
}
