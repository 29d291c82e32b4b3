//! Division of the slots of all executors among the members.

use model::Mono;
use model::Set;

use super::Executor;
use super::Router;
use crate::key::ExecutorKey;
use crate::key::UpstreamKey;
use crate::slots::eligible_members;
use crate::slots::quota;

impl Router {
    /// Divides the slots of all executors again. Lost slots are not used from now on; gained ones
    /// only after the settle delay, when their previous owner has received the change.
    pub(super) fn divide_slots(&mut self, now: Mono) {
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let executor = &self.executors[key];
            let upstream = &self.upstreams[executor.upstream];
            let owned = upstream.half == self.cfg.half.as_str() && upstream.listed;
            let share = if owned && executor.listed {
                let eligible = eligible_members(&self.members, &upstream.half, &executor.place);
                let eligible = eligible.into_iter();
                quota(&executor.id, upstream.slots, &self.cfg.daemon, eligible)
            } else {
                0
            };
            let gains_usable_at = self.gains_usable_at;
            let executor = &mut self.executors[key];
            if share <= executor.quota || gains_usable_at <= now {
                executor.quota = share;
                executor.gained = None;
            } else {
                executor.gained = Some((share, gains_usable_at));
            }
            self.refresh_executor(key);
        }
        self.update_holders();
    }

    /// Determines which members own slots of the upstreams of which this daemon owns none.
    fn update_holders(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.slot_holders.clear();
        }
        let owns_slots = |executor: &Executor| executor.quota > 0 || executor.gained.is_some();
        let with_own_slots: Set<UpstreamKey> = self
            .executors
            .values()
            .filter(|executor| owns_slots(executor) && !executor.cross_region)
            .map(|executor| executor.upstream)
            .collect();
        for executor in self.executors.values().filter(|executor| executor.listed) {
            if with_own_slots.contains(&executor.upstream) {
                continue;
            }
            let upstream = &mut self.upstreams[executor.upstream];
            let eligible = eligible_members(&self.members, &upstream.half, &executor.place);
            for (at, member) in self.members.iter().enumerate() {
                let owned_slots = || {
                    quota(
                        &executor.id,
                        upstream.slots,
                        &member.id,
                        eligible.iter().copied(),
                    )
                };
                if member.id != self.cfg.daemon
                    && !upstream.slot_holders.contains(&at)
                    && owned_slots() > 0
                {
                    upstream.slot_holders.push(at);
                }
            }
        }
    }

    /// Puts the slots into use whose settle delay has elapsed.
    pub(super) fn apply_gained_slots(&mut self, now: Mono) {
        if self.gains_usable_at > now {
            return;
        }
        let due: Vec<ExecutorKey> = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.gained.is_some_and(|(_, at)| at <= now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            if let Some((share, _)) = self.executors[key].gained.take() {
                self.executors[key].quota = share;
                self.refresh_executor(key);
            }
        }
    }
}
