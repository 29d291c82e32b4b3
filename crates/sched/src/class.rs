//! A class of tasks: the rules of the document, learned sizes and recent run outcomes.

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

/// How many run outcomes of a class are stored to tell failing jobs from faulty workers.
const MAX_OUTCOMES: usize = 32;

/// A class of tasks.
#[derive(Debug)]
pub(crate) struct Class {
    /// The name in the document.
    pub(crate) id: ClassId,
    /// The rules of the document; `None` while the document does not list the class.
    pub(crate) rules: Option<doc::Class>,
    /// The sites where the document allows its tasks.
    pub(crate) sites: Vec<Index>,
    /// The largest worker capacity at these sites, in each dimension.
    pub(crate) max_capacity: Size,
    /// Learned sizes and run times, which replace declared sizes.
    pub(crate) sizes: SizeEstimator,
    /// The number of its tasks that start or run on each rack.
    pub(crate) tasks_per_rack: Map<Index, u32>,
    outcomes: VecDeque<(WorkerKey, bool)>,
}

impl Class {
    /// Creates a class that the document does not list.
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

    /// Returns whether its tasks are latency-critical services.
    pub(crate) fn is_service(&self) -> bool {
        let kind = self.rules.as_ref().map(|rules| rules.kind);
        kind == Some(Kind::Service)
    }

    /// Returns the p99 latency target in microseconds, for services that have one.
    pub(crate) fn target_us(&self) -> Option<u64> {
        let rules = self.rules.as_ref()?;
        rules.p99_target_us.filter(|_| rules.kind == Kind::Service)
    }

    /// Returns whether the document allows its tasks at a place.
    pub(crate) fn allows(&self, place: &Place) -> bool {
        let Some(rules) = &self.rules else {
            return false;
        };
        let region = rules.regions.is_empty() || rules.regions.contains(&place.region);
        let data_centre =
            rules.data_centres.is_empty() || rules.data_centres.contains(&place.data_centre);
        region && data_centre
    }

    /// Returns whether a rack may run one more of its tasks.
    pub(crate) fn rack_admits(&self, rack: Index) -> bool {
        let max = self.rules.as_ref().and_then(|rules| rules.max_per_rack);
        max.is_none_or(|max| self.tasks_on_rack(rack) < max)
    }

    /// Returns the number of its tasks on a rack.
    pub(crate) fn tasks_on_rack(&self, rack: Index) -> u32 {
        self.tasks_per_rack.get(&rack).copied().unwrap_or(0)
    }

    /// Records whether a run on a worker failed.
    pub(crate) fn record_outcome(&mut self, worker: WorkerKey, failed: bool) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((worker, failed));
    }

    /// Estimates the probability that a run fails on a worker other than `worker`. It counts
    /// workers rather than runs, so that one faulty worker weighs no more than another; the
    /// estimate is 0.5 without any data.
    pub(crate) fn failure_rate_elsewhere(&self, worker: WorkerKey) -> f64 {
        let workers_with = |failed: bool| {
            let matches =
                |(run_on, outcome): &&(WorkerKey, bool)| *run_on != worker && *outcome == failed;
            let workers: Set<WorkerKey> =
                self.outcomes.iter().filter(matches).map(|o| o.0).collect();
            workers.len() as f64
        };
        let failed = workers_with(true);
        (failed + 0.5) / (failed + workers_with(false) + 1.0)
    }
}
