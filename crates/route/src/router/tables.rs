//! Application of updates of the document, the executors and the members.

use std::sync::Arc;
use std::time::Duration;

use conf::doc;
use conf::doc::Document;
use model::Mono;
use model::Set;
use model::id::UpstreamId;
use plat::hosts::ExecutorEntry;
use plat::hosts::HostState;

use super::Caller;
use super::Executor;
use super::Router;
use super::Upstream;
use crate::estimate::ExecutorLatency;
use crate::estimate::ServiceTime;
use crate::free_list::FreeList;
use crate::health::Health;
use crate::key::ExecutorKey;
use crate::key::UpstreamKey;
use crate::queue::FairQueue;
use crate::report::HandoverPhase;
use crate::retry_budget::RetryBudget;
use crate::update::ActiveDocument;
use crate::update::Member;
use crate::update::RouteUpdate;

/// Name of the document's entry whose weight all unknown callers share.
const UNKNOWN_CALLERS: &str = "other";
impl Router {
    /// Applies an update of the tables and re-evaluates the waiting requests.
    pub fn update(&mut self, update: RouteUpdate, now: Mono) {
        let mut divide = false;
        if let Some(document) = update.document
            && (document.version >= self.version || self.document.is_none())
        {
            self.apply_document(&document, now);
            divide = true;
        }
        if let Some(executors) = update.executors {
            self.apply_executors(executors);
            divide = true;
        }
        if let Some(members) = update.members {
            divide |= self.apply_members(members, now);
        }
        for id in &update.released {
            self.apply_release(id);
        }
        if divide {
            self.divide_slots(now);
        }
        self.reevaluate_waiting(now);
    }

    fn apply_document(&mut self, accepted: &ActiveDocument, now: Mono) {
        let document = Arc::clone(&accepted.document);
        self.version = accepted.version;
        self.routes.clear();
        for upstream in self.upstreams.values_mut() {
            upstream.listed &= document.upstreams.contains_key(&upstream.id);
        }
        for (id, entry) in &document.upstreams {
            let key = self.apply_upstream(id, entry, now);
            for route in &entry.routes {
                let route = route.trim_end_matches('/').to_owned();
                self.routes.insert(route, key);
            }
        }
        self.apply_callers(&document);
        self.document = Some(document);
    }

    fn apply_upstream(&mut self, id: &UpstreamId, entry: &doc::Upstream, now: Mono) -> UpstreamKey {
        let permille = self.cfg.limits.retry_budget_permille;
        let owned = entry.half == self.cfg.half;
        let known = self.upstream_keys.get(id).copied();
        let is_new = known.is_none_or(|key| self.upstreams[key].half.is_empty());
        let key = match known {
            Some(key) => key,
            None => {
                let key = self.upstreams.insert(new_upstream(id, permille));
                self.upstream_keys.insert(id.clone(), key);
                key
            }
        };
        let wait_until = now.after(self.cfg.limits.handover_timeout);
        let upstream = &mut self.upstreams[key];
        upstream.half = entry.half.as_str().to_owned();
        upstream.slots = entry.slots;
        upstream.deadline = Duration::from_millis(entry.deadline_ms);
        upstream.weight = entry.weight;
        upstream.listed = true;
        if is_new {
            // No earlier document named the upstream, although the executor list may have.
            upstream.phase = if owned {
                HandoverPhase::Owned
            } else {
                HandoverPhase::Foreign
            };
        } else {
            upstream.update_phase(owned, wait_until);
        }
        key
    }

    fn apply_callers(&mut self, document: &Document) {
        self.caller_keys.clear();
        for (id, entry) in &document.callers {
            if id.as_str() == UNKNOWN_CALLERS {
                self.callers[self.unknown_callers].weight = entry.weight;
                continue;
            }
            let key = self.callers.insert(Caller {
                weight: entry.weight,
            });
            self.caller_keys.insert(id.clone(), key);
        }
        let used: Set<_> = self
            .caller_keys
            .values()
            .chain([&self.unknown_callers])
            .chain(self.waiting.values().map(|waiting| &waiting.caller))
            .copied()
            .collect();
        self.callers.retain(|key, _| used.contains(&key));
    }

    fn apply_executors(&mut self, entries: Vec<ExecutorEntry>) {
        for executor in self.executors.values_mut() {
            executor.listed = false;
        }
        for entry in entries {
            self.apply_executor(entry);
        }
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            self.refresh_executor(key);
            self.remove_if_unused(key);
        }
        self.count_executors();
    }

    fn apply_executor(&mut self, entry: ExecutorEntry) {
        let permille = self.cfg.limits.retry_budget_permille;
        let upstream = match self.upstream_keys.get(&entry.upstream) {
            Some(key) => *key,
            None => {
                let key = self
                    .upstreams
                    .insert(new_upstream(&entry.upstream, permille));
                self.upstream_keys.insert(entry.upstream.clone(), key);
                key
            }
        };
        let cross_region = entry.place.region != self.cfg.place.region;
        let leaving = entry.state == HostState::Leaving;
        let known = self.executor_keys.get(&entry.id).copied();
        if let Some(executor) = known.and_then(|key| self.executors.get_mut(key))
            && executor.upstream == upstream
            && executor.address == entry.address
            && executor.cross_region == cross_region
        {
            executor.listed = true;
            executor.leaving = leaving;
            return;
        }
        let id = entry.id.clone();
        let key = self.executors.insert(Executor {
            id: entry.id,
            upstream,
            address: entry.address,
            place: entry.place,
            cross_region,
            leaving,
            listed: true,
            quota: 0,
            gained: None,
            lent: 0,
            borrowed: 0,
            in_flight: 0,
            latency: ExecutorLatency::default(),
            health: Health::default(),
            counted_slots: 0,
        });
        self.executor_keys.insert(id, key);
    }

    fn count_executors(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.executor_count = 0;
        }
        let in_service = |executor: &&Executor| executor.listed && !executor.leaving;
        for executor in self.executors.values().filter(in_service) {
            self.upstreams[executor.upstream].executor_count += 1;
        }
    }

    /// Removes an executor that is no longer listed and not referenced by a send or loan.
    pub(super) fn remove_if_unused(&mut self, key: ExecutorKey) {
        let Some(executor) = self.executors.get(key) else {
            return;
        };
        if executor.listed || executor.in_flight + executor.lent + executor.borrowed > 0 {
            return;
        }
        let upstream = &mut self.upstreams[executor.upstream];
        upstream.ejected.retain(|ejected| *ejected != key);
        if self.executor_keys.get(&executor.id) == Some(&key) {
            self.executor_keys.remove(&executor.id);
        }
        self.executors.remove(key);
    }

    fn apply_members(&mut self, mut members: Vec<Member>, now: Mono) -> bool {
        members.sort_by(|left, right| left.id.cmp(&right.id));
        self.members_updated_at = now;
        if members == self.members {
            return false;
        }
        let division_inputs = |members: &[Member]| {
            let input =
                |member: &Member| (member.id.clone(), member.half.clone(), member.place.clone());
            members.iter().map(input).collect::<Vec<_>>()
        };
        if division_inputs(&members) != division_inputs(&self.members) {
            self.gains_usable_at = now.after(self.cfg.limits.settle_delay);
        }
        self.members = members;
        true
    }

    fn apply_release(&mut self, id: &UpstreamId) {
        if let Some(key) = self.upstream_keys.get(id) {
            let upstream = &mut self.upstreams[*key];
            if upstream.phase == HandoverPhase::Waiting {
                upstream.phase = HandoverPhase::Owned;
            }
        }
    }
}

impl Upstream {
    fn update_phase(&mut self, owned: bool, wait_until: Mono) {
        self.phase = match (self.phase, owned) {
            (HandoverPhase::Owned | HandoverPhase::Waiting, true) => self.phase,
            (_, true) => {
                self.wait_until = wait_until;
                HandoverPhase::Waiting
            }
            (HandoverPhase::Owned | HandoverPhase::Waiting, false) if self.in_flight > 0 => {
                HandoverPhase::Releasing
            }
            (HandoverPhase::Owned | HandoverPhase::Waiting, false) => HandoverPhase::Released,
            (_, false) => self.phase,
        };
    }
}

fn new_upstream(id: &UpstreamId, permille: u32) -> Upstream {
    Upstream {
        id: id.clone(),
        half: String::new(),
        slots: 0,
        deadline: Duration::ZERO,
        weight: 0,
        phase: HandoverPhase::Foreign,
        wait_until: Mono::ZERO,
        local_free: FreeList::default(),
        remote_free: FreeList::default(),
        local_slots: 0,
        remote_slots: 0,
        executor_count: 0,
        ejected: Vec::new(),
        slot_holders: Vec::new(),
        queue: FairQueue::default(),
        in_flight: 0,
        service_time: ServiceTime::default(),
        retry_budget: RetryBudget::new(permille),
        requests: 0,
        sends: 0,
        listed: false,
    }
}
