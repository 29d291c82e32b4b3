//! Applies evacuations to the executors, and records what changes and which problems there are.

use std::collections::BTreeSet;
use std::sync::Arc;

use model::Mono;

use super::Event;
use super::Scheduler;
use crate::evacuation::EvacuationChange;
use crate::evacuation::EvacuationProblem;
use crate::evacuation::EvacuationUpdate;
use crate::evacuation::Evacuations;
use crate::fleet::ExecutorKey;

impl Scheduler {
    /// Returns the evacuated data centres.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns which evacuations cannot have the expected effect by the newest executor list.
    #[must_use]
    pub const fn evacuation_problems(&self) -> &BTreeSet<EvacuationProblem> {
        &self.evacuation_problems
    }

    /// Replaces the evacuated data centres by those of all rows. Returns whether anything changed.
    pub fn replace_evacuations(&mut self, data_centres: &[Arc<str>], now: Mono) -> bool {
        let changes = self.evacuations.replace(data_centres, now);
        self.apply_evacuation_changes(changes, now)
    }

    /// Applies changes of evacuations. Returns whether anything changed.
    pub fn update_evacuations(&mut self, updates: &[EvacuationUpdate], now: Mono) -> bool {
        let changes = self.evacuations.update(updates, now);
        self.apply_evacuation_changes(changes, now)
    }

    fn apply_evacuation_changes(&mut self, changes: Vec<EvacuationChange>, now: Mono) -> bool {
        if changes.is_empty() {
            return false;
        }
        let evacuations = &self.evacuations;
        for (_, executor) in self.fleet.iter_mut() {
            executor.evacuated = evacuations.contains(&executor.listing.data_centre);
        }
        for change in changes {
            self.record_evacuation(change, now);
        }
        self.find_evacuation_problems();
        true
    }

    fn record_evacuation(&mut self, change: EvacuationChange, now: Mono) {
        let event = match change {
            EvacuationChange::Began { data_centre } => {
                let (executors, tasks) = self.load_of_data_centre(&data_centre);
                Event::EvacuationBegan {
                    data_centre,
                    executors,
                    tasks,
                }
            }
            EvacuationChange::Ended {
                data_centre,
                evacuation,
            } => {
                let (_, tasks) = self.load_of_data_centre(&data_centre);
                Event::EvacuationEnded {
                    data_centre,
                    lasted: now.since(evacuation.since),
                    tasks,
                    withdrawn_starts: evacuation.withdrawn_starts,
                }
            }
        };
        self.record_event(event);
    }

    /// Returns the number of executors in a data centre and the number of tasks assigned to them.
    #[must_use]
    pub fn load_of_data_centre(&self, data_centre: &str) -> (usize, usize) {
        let executors = self.fleet.iter().map(|(_, executor)| executor);
        executors
            .filter(|executor| &*executor.listing.data_centre == data_centre)
            .fold((0, 0), |(executors, tasks), executor| {
                (executors + 1, tasks + executor.tasks.len())
            })
    }

    /// Finds out which evacuations cannot have the expected effect, and records those that are new.
    /// Nothing is known before the first executor list.
    pub(super) fn find_evacuation_problems(&mut self) {
        if self.listed_at == Mono::ZERO {
            return;
        }
        let executors = self.fleet.iter().map(|(_, executor)| executor);
        let listed = executors.filter(|executor| executor.listed);
        let problems = self
            .evacuations
            .problems(listed.map(|executor| &executor.listing));
        let new: Vec<EvacuationProblem> = problems
            .difference(&self.evacuation_problems)
            .cloned()
            .collect();
        for problem in new {
            self.record_event(Event::EvacuationProblemFound { problem });
        }
        self.evacuation_problems = problems;
    }

    /// Counts the withdrawal of a start if it is due to an evacuation.
    pub(super) fn count_withdrawn_start(&mut self, key: ExecutorKey) {
        let Some(executor) = self.fleet.get(key).filter(|executor| executor.evacuated) else {
            return;
        };
        let data_centre = executor.listing.data_centre.clone();
        self.evacuations.count_withdrawn_start(&data_centre);
        self.record_event(Event::StartWithdrawn { data_centre });
    }
}
