//! Data centres that operators evacuate.
//!
//! While a data centre is evacuated, none of its executors accepts a task; what runs there goes on.
//! This module holds which data centres these are and finds out what has to be logged. The rule that
//! follows for an executor is [`crate::fleet::Executor::accepts_tasks`]. See
//! `docs/design/evacuation.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::Mono;
use model::Set;

use crate::fleet::Listing;

/// A data centre that is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// When this owner first read of the evacuation.
    pub since: Mono,
    /// The number of start commands that were withdrawn because of it.
    pub withdrawn_starts: u64,
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: BTreeMap<Arc<str>, Evacuation>,
}

/// What a change in the store says about a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationUpdate {
    /// The name of the data centre.
    pub data_centre: Arc<str>,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
}

/// A change of the evacuated data centres, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// An evacuation has begun.
    Began {
        /// The name of the data centre.
        data_centre: Arc<str>,
    },
    /// An evacuation has ended.
    Ended {
        /// The name of the data centre.
        data_centre: Arc<str>,
        /// What was known of the evacuation.
        evacuation: Evacuation,
    },
}

/// An evacuation that is obeyed although it cannot have the effect that the operators expect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvacuationProblem {
    /// No executor is listed in the data centre.
    UnknownDataCentre {
        /// The name of the data centre.
        data_centre: Arc<str>,
    },
    /// All listed executors of a service are in evacuated data centres.
    NoExecutorLeft {
        /// The name of the service.
        service: Arc<str>,
    },
}

impl EvacuationProblem {
    /// Returns the value used in logs and in the dump.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::UnknownDataCentre { .. } => "unknown_data_centre",
            Self::NoExecutorLeft { .. } => "no_executor_left",
        }
    }

    /// Returns the name of the data centre or service concerned.
    #[must_use]
    pub const fn subject(&self) -> &Arc<str> {
        match self {
            Self::UnknownDataCentre { data_centre } => data_centre,
            Self::NoExecutorLeft { service } => service,
        }
    }
}

impl Evacuations {
    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }

    /// Iterates over the evacuated data centres in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Evacuation)> {
        self.by_data_centre.iter()
    }

    /// Replaces the evacuated data centres by those of all rows. Returns what has changed.
    pub fn replace(&mut self, data_centres: &[Arc<str>], now: Mono) -> Vec<EvacuationChange> {
        let listed: Set<&Arc<str>> = data_centres.iter().collect();
        let ended = self.by_data_centre.keys().cloned();
        let mut updates: Vec<EvacuationUpdate> = ended
            .filter(|data_centre| !listed.contains(data_centre))
            .map(|data_centre| EvacuationUpdate {
                data_centre,
                is_evacuated: false,
            })
            .collect();
        updates.extend(data_centres.iter().map(|data_centre| EvacuationUpdate {
            data_centre: data_centre.clone(),
            is_evacuated: true,
        }));
        self.update(&updates, now)
    }

    /// Applies changes in the order in which the store made them. Returns what has changed.
    pub fn update(&mut self, updates: &[EvacuationUpdate], now: Mono) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for update in updates {
            let data_centre = update.data_centre.clone();
            if !update.is_evacuated {
                if let Some(evacuation) = self.by_data_centre.remove(&data_centre) {
                    changes.push(EvacuationChange::Ended {
                        data_centre,
                        evacuation,
                    });
                }
            } else if !self.contains(&data_centre) {
                let evacuation = Evacuation {
                    since: now,
                    withdrawn_starts: 0,
                };
                self.by_data_centre.insert(data_centre.clone(), evacuation);
                changes.push(EvacuationChange::Began { data_centre });
            }
        }
        changes
    }

    /// Counts a start command that was withdrawn because its executor's data centre is evacuated.
    pub fn count_withdrawn_start(&mut self, data_centre: &str) {
        if let Some(evacuation) = self.by_data_centre.get_mut(data_centre) {
            evacuation.withdrawn_starts += 1;
        }
    }

    /// Returns which evacuations cannot have the expected effect, given the listed executors.
    #[must_use]
    pub fn problems<'l>(
        &self,
        listed: impl Iterator<Item = &'l Listing>,
    ) -> BTreeSet<EvacuationProblem> {
        let mut problems = BTreeSet::new();
        if self.is_empty() {
            return problems;
        }
        let mut unknown: Set<&Arc<str>> = self.by_data_centre.keys().collect();
        let mut services: BTreeMap<&Arc<str>, bool> = BTreeMap::new();
        for listing in listed {
            let has_executor_left = services.entry(&listing.service).or_default();
            *has_executor_left |= !self.contains(&listing.data_centre);
            unknown.remove(&listing.data_centre);
        }
        let unknown = unknown.into_iter().cloned();
        problems.extend(
            unknown.map(|data_centre| EvacuationProblem::UnknownDataCentre { data_centre }),
        );
        let lost = services.into_iter().filter(|(_, is_left)| !is_left);
        problems.extend(lost.map(|(service, _)| EvacuationProblem::NoExecutorLeft {
            service: service.clone(),
        }));
        problems
    }
}

/// Returns how long after a read of the evacuations was sent its answer still permits starts, if no
/// task may start later than `deadline` after an evacuation was requested.
///
/// An evacuation that the answer does not contain may have been requested right after the read was
/// sent, and a start command may be carried out `max_delay` after it was sent. Half of the deadline is
/// left in any case, so that a short deadline does not end all starts.
#[must_use]
pub fn max_knowledge_age(deadline: Duration, max_delay: Duration) -> Duration {
    deadline - max_delay.min(deadline / 2)
}
