//! Executors whose process has ended and was followed by another one at the same address.
//!
//! A process that crashed and one that cannot be reached are alike at first: both are silent. A
//! later process at the same address is what tells them apart, because two processes cannot listen
//! there at the same time. Only its own answer shows that there is one. An entry in the executor list
//! does not: anyone who can write to the store may have written it.

use model::Map;
use model::Mono;

use super::Event;
use super::LossReason;
use super::Scheduler;
use super::TaskKey;
use crate::fleet::Executor;
use crate::fleet::ExecutorKey;
use crate::fleet::Presence;

/// How many processes are logged as asked for each silent executor.
const MAX_LOGGED_SUCCESSORS: usize = 4;

/// A silent executor, and an executor that may have followed it.
#[derive(Clone, Copy)]
struct Succession {
    earlier: ExecutorKey,
    later: ExecutorKey,
}

impl Scheduler {
    /// Releases the tasks of the silent executors at whose address a later process has answered. Nothing
    /// runs there any more, and no command can start anything, because it names the executor that it is
    /// for.
    pub(super) fn find_replaced_executors(&mut self, now: Mono) {
        for Succession { earlier, later } in self.proven_successions() {
            let Some(executor) = self.fleet.get_mut(earlier) else {
                continue;
            };
            if std::mem::replace(&mut executor.is_replaced, true) {
                continue;
            }
            let tasks = executor.tasks.len();
            self.record_event(Event::ExecutorReplaced {
                executor: earlier,
                successor: later,
                tasks,
            });
            let mut suspects = self.suspects_on(earlier);
            suspects.extend(self.take_unexplained_losses(earlier));
            self.release_replaced(now);
            self.count_crash(earlier, &suspects);
        }
    }

    /// Has each executor polled that is listed as a later process at the address of a silent one. Until it
    /// answers, it gets no tasks, and those of the silent executor wait for its leases to expire.
    pub(super) fn ask_listed_successors(&mut self, now: Mono) {
        for Succession { earlier, later } in self.listed_successions(now) {
            let Some(successor) = self.fleet.get_mut(later) else {
                continue;
            };
            // A poll on its way may have been sent before this one was listed.
            successor.report_due_since.get_or_insert(now);
            self.poll_candidates.push(later);
            self.record_asked_successor(earlier, later);
        }
    }

    /// Records that an executor is asked whether it has followed another one, once for each pair.
    fn record_asked_successor(&mut self, earlier: ExecutorKey, later: ExecutorKey) {
        let Some(id) = self.fleet.get(later).map(|it| it.listing.id.clone()) else {
            return;
        };
        let Some(executor) = self.fleet.get_mut(earlier) else {
            return;
        };
        let asked = &mut executor.asked_successors;
        if asked.len() >= MAX_LOGGED_SUCCESSORS || asked.contains(&id) {
            return;
        }
        asked.push(id);
        self.record_event(Event::SuccessorAsked {
            executor: earlier,
            successor: later,
        });
    }

    /// Releases the tasks of replaced executors. A task whose assignment is being stored is released
    /// after that.
    pub(super) fn release_replaced(&mut self, now: Mono) {
        let lost: Vec<TaskKey> = self
            .fleet
            .iter()
            .filter(|(_, executor)| executor.is_replaced)
            .flat_map(|(_, executor)| executor.tasks.iter().copied())
            .filter(|key| !self.is_storing(*key))
            .collect();
        for key in lost {
            self.lose_run(key, LossReason::ExecutorRestarted, now);
        }
    }

    /// Returns the silent executors at whose address a later process has answered since.
    fn proven_successions(&self) -> Vec<Succession> {
        self.successions(|later| later.presence.clone())
    }

    /// Returns the silent executors that another one has followed if the executor list is right. One that
    /// has tasks is left out: it is polled anyway, and must be granted leases.
    fn listed_successions(&self, now: Mono) -> Vec<Succession> {
        self.successions(|later| {
            (later.listed && later.tasks.is_empty()).then(|| Presence {
                address: later.listing.address.clone(),
                started_unix_ms: later.listing.started_unix_ms,
                asked_at: now,
            })
        })
    }

    /// Returns the silent executors that have a successor at their address. `presence` gives the address and
    /// the start of a possible successor.
    fn successions(&self, presence: impl Fn(&Executor) -> Option<Presence>) -> Vec<Succession> {
        let is_silent = |executor: &Executor| {
            let has_lost = !executor.tasks.is_empty() || !executor.unexplained_losses.is_empty();
            !executor.reachable && !executor.is_replaced && has_lost
        };
        let mut silent: Map<&str, Vec<(ExecutorKey, &Executor)>> = Map::default();
        for (key, executor) in self.fleet.iter().filter(|(_, it)| is_silent(it)) {
            let address = executor.address_of_incarnation();
            silent.entry(address).or_default().push((key, executor));
        }
        let mut successions = Vec::new();
        if silent.is_empty() {
            return successions;
        }
        for (later, executor) in self.fleet.iter() {
            let Some(presence) = presence(executor) else {
                continue;
            };
            let followed = silent.get(&*presence.address).into_iter().flatten();
            let followed =
                followed.filter(|(key, earlier)| *key != later && presence.follows(earlier));
            successions.extend(followed.map(|(earlier, _)| Succession {
                earlier: *earlier,
                later,
            }));
        }
        successions
    }
}
