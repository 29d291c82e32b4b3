//! Taking in the document, the executors and the members.

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
use crate::budget::Budget;
use crate::estimate::Latency;
use crate::estimate::Service;
use crate::health::Health;
use crate::key::ExecutorKey;
use crate::key::Ticket;
use crate::key::UpstreamKey;
use crate::pool::FreeList;
use crate::queue::FairQueue;
use crate::report::Phase;
use crate::slots::quota;
use crate::slots::sharers;
use crate::verdict::Reason;
use crate::verdict::Verdict;
use crate::view::InForce;
use crate::view::Member;
use crate::view::RouteUpdate;

/// The name of the entry in the document whose weight unknown callers share.
const OTHER: &str = "other";
/// What a caller is told to wait when the upstream of its request went away.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Takes in changes of the tables and re-evaluates the requests that wait for them.
    pub fn update(&mut self, update: RouteUpdate, now: Mono) {
        let mut divide = false;
        if let Some(document) = update.document
            && (document.version >= self.version || self.document.is_none())
        {
            self.take_document(&document, now);
            divide = true;
        }
        if let Some(executors) = update.executors {
            self.take_executors(executors);
            divide = true;
        }
        if let Some(members) = update.members {
            divide |= self.take_members(members, now);
        }
        for id in &update.released {
            self.take_release(id);
        }
        if divide {
            self.divide(now);
        }
        self.reconsider(now);
    }

    fn take_document(&mut self, accepted: &InForce, now: Mono) {
        let document = Arc::clone(&accepted.document);
        self.version = accepted.version;
        self.routes.clear();
        for upstream in self.upstreams.values_mut() {
            upstream.present &= document.upstreams.contains_key(&upstream.id);
        }
        for (id, entry) in &document.upstreams {
            let key = self.take_upstream(id, entry, now);
            for route in &entry.routes {
                let route = route.trim_end_matches('/').to_owned();
                self.routes.insert(route, key);
            }
        }
        self.take_callers(&document);
        self.document = Some(document);
    }

    fn take_upstream(&mut self, id: &UpstreamId, entry: &doc::Upstream, now: Mono) -> UpstreamKey {
        let permille = self.cfg.limits.retry_permille;
        let ours = entry.half == self.cfg.half;
        let known = self.upstream_names.get(id).copied();
        let is_new = known.is_none_or(|key| self.upstreams[key].half.is_empty());
        let key = match known {
            Some(key) => key,
            None => {
                let key = self.upstreams.insert(new_upstream(id, permille));
                self.upstream_names.insert(id.clone(), key);
                key
            }
        };
        let wait_until = now.after(self.cfg.limits.handover_wait);
        let upstream = &mut self.upstreams[key];
        upstream.half = entry.half.as_str().to_owned();
        upstream.slots = entry.slots;
        upstream.deadline = Duration::from_millis(entry.deadline_ms);
        upstream.weight = entry.weight;
        upstream.present = true;
        if is_new {
            // Executors may have been listed before any document named their upstream.
            upstream.phase = if ours { Phase::Owned } else { Phase::Foreign };
        } else {
            upstream.change_hands(ours, wait_until);
        }
        key
    }

    fn take_callers(&mut self, document: &Document) {
        self.caller_names.clear();
        for (id, entry) in &document.callers {
            if id.as_str() == OTHER {
                self.callers[self.other].weight = entry.weight;
                continue;
            }
            let key = self.callers.insert(Caller {
                weight: entry.weight,
            });
            self.caller_names.insert(id.clone(), key);
        }
        let used: Set<_> = self
            .caller_names
            .values()
            .chain([&self.other])
            .chain(self.waiting.values().map(|waiting| &waiting.caller))
            .copied()
            .collect();
        self.callers.retain(|key, _| used.contains(&key));
    }

    fn take_executors(&mut self, entries: Vec<ExecutorEntry>) {
        for executor in self.executors.values_mut() {
            executor.present = false;
        }
        for entry in entries {
            self.take_executor(entry);
        }
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            self.refresh(key);
            self.forget_if_gone(key);
        }
        self.count_executors();
    }

    fn take_executor(&mut self, entry: ExecutorEntry) {
        let permille = self.cfg.limits.retry_permille;
        let upstream = match self.upstream_names.get(&entry.upstream) {
            Some(key) => *key,
            None => {
                let key = self
                    .upstreams
                    .insert(new_upstream(&entry.upstream, permille));
                self.upstream_names.insert(entry.upstream.clone(), key);
                key
            }
        };
        let far = entry.place.region != self.cfg.place.region;
        let leaving = entry.state == HostState::Leaving;
        let known = self.executor_names.get(&entry.id).copied();
        if let Some(executor) = known.and_then(|key| self.executors.get_mut(key))
            && executor.upstream == upstream
            && executor.address == entry.address
            && executor.far == far
        {
            executor.present = true;
            executor.leaving = leaving;
            return;
        }
        let id = entry.id.clone();
        let key = self.executors.insert(Executor {
            id: entry.id,
            upstream,
            address: entry.address,
            place: entry.place,
            far,
            leaving,
            present: true,
            own: 0,
            gained: None,
            lent: 0,
            borrowed: 0,
            in_flight: 0,
            latency: Latency::default(),
            health: Health::default(),
            counted: 0,
        });
        self.executor_names.insert(id, key);
    }

    fn count_executors(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.executors = 0;
        }
        let stays = |one: &&Executor| one.present && !one.leaving;
        for executor in self.executors.values().filter(stays) {
            self.upstreams[executor.upstream].executors += 1;
        }
    }

    /// Removes an executor that is no longer listed once nothing refers to it.
    pub(super) fn forget_if_gone(&mut self, key: ExecutorKey) {
        let Some(executor) = self.executors.get(key) else {
            return;
        };
        if executor.present || executor.in_flight + executor.lent + executor.borrowed > 0 {
            return;
        }
        let upstream = &mut self.upstreams[executor.upstream];
        upstream.ejected.retain(|ejected| *ejected != key);
        if self.executor_names.get(&executor.id) == Some(&key) {
            self.executor_names.remove(&executor.id);
        }
        self.executors.remove(key);
    }

    fn take_members(&mut self, mut members: Vec<Member>, now: Mono) -> bool {
        members.sort_by(|left, right| left.id.cmp(&right.id));
        self.view_at = now;
        if members == self.members {
            return false;
        }
        let names = |members: &[Member]| {
            let shares = |one: &Member| (one.id.clone(), one.half.clone(), one.place.clone());
            members.iter().map(shares).collect::<Vec<_>>()
        };
        if names(&members) != names(&self.members) {
            self.settled_at = now.after(self.cfg.limits.settle);
        }
        self.members = members;
        true
    }

    fn take_release(&mut self, id: &UpstreamId) {
        if let Some(key) = self.upstream_names.get(id) {
            let upstream = &mut self.upstreams[*key];
            if upstream.phase == Phase::Waiting {
                upstream.phase = Phase::Owned;
            }
        }
    }

    /// Divides the slots of all executors anew. Lost slots are no longer used from now on; gained
    /// ones rest until their former holder has heard of the change.
    fn divide(&mut self, now: Mono) {
        let keys: Vec<ExecutorKey> = self.executors.keys().collect();
        for key in keys {
            let executor = &self.executors[key];
            let upstream = &self.upstreams[executor.upstream];
            let ours = upstream.half == self.cfg.half.as_str() && upstream.present;
            let share = if ours && executor.present {
                let among = sharers(&self.members, &upstream.half, &executor.place);
                let among = among.into_iter();
                quota(&executor.id, upstream.slots, &self.cfg.daemon, among)
            } else {
                0
            };
            let settled_at = self.settled_at;
            let executor = &mut self.executors[key];
            if share <= executor.own || settled_at <= now {
                executor.own = share;
                executor.gained = None;
            } else {
                executor.gained = Some((share, settled_at));
            }
            self.refresh(key);
        }
        self.find_holders();
    }

    /// Notes, for upstreams of which this daemon holds no slot, which members do.
    fn find_holders(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.holders.clear();
        }
        let gains = |one: &Executor| one.own > 0 || one.gained.is_some();
        let held: Set<UpstreamKey> = self
            .executors
            .values()
            .filter(|one| gains(one) && !one.far)
            .map(|one| one.upstream)
            .collect();
        for executor in self.executors.values().filter(|one| one.present) {
            if held.contains(&executor.upstream) {
                continue;
            }
            let upstream = &mut self.upstreams[executor.upstream];
            let among = sharers(&self.members, &upstream.half, &executor.place);
            for (at, member) in self.members.iter().enumerate() {
                let holds = || {
                    quota(
                        &executor.id,
                        upstream.slots,
                        &member.id,
                        among.iter().copied(),
                    )
                };
                if member.id != self.cfg.daemon && !upstream.holders.contains(&at) && holds() > 0 {
                    upstream.holders.push(at);
                }
            }
        }
    }

    pub(super) fn settle(&mut self, now: Mono) {
        if self.settled_at > now {
            return;
        }
        let due: Vec<ExecutorKey> = self
            .executors
            .iter()
            .filter(|(_, one)| one.gained.is_some_and(|(_, at)| at <= now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            if let Some((share, _)) = self.executors[key].gained.take() {
                self.executors[key].own = share;
                self.refresh(key);
            }
        }
    }

    /// Decides anew about the requests that wait: those held for a change of the tables, and those
    /// in the queues of upstreams that this daemon no longer serves, or nobody does.
    fn reconsider(&mut self, now: Mono) {
        let mut again: Vec<Ticket> = std::mem::take(&mut self.held);
        for upstream in self.upstreams.values_mut() {
            let serves = matches!(upstream.phase, Phase::Owned | Phase::Waiting);
            if !serves || !upstream.present || upstream.executors == 0 {
                while let Some(ticket) = upstream.queue.pop(now) {
                    again.push(ticket);
                }
            }
        }
        for ticket in again {
            self.reconsider_one(ticket, now);
        }
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            self.dispatch(key, now);
        }
    }

    fn reconsider_one(&mut self, ticket: Ticket, now: Mono) {
        let Some(old) = self.waiting.get(ticket) else {
            return;
        };
        let (deadline, give_up) = (old.deadline, old.give_up);
        let mut req = old.arrival.clone();
        if req.path.is_empty() {
            let verdict = self.refuse(Reason::NoOwner, RETRY_AFTER);
            return self.resolve(ticket, verdict);
        }
        req.patience = Some(deadline.since(now));
        match self.arrive(&req, now) {
            Verdict::Wait(new) => self.keep_ticket(ticket, new, give_up),
            verdict => self.resolve(ticket, verdict),
        }
    }

    /// Lets a waiting request keep its ticket although it was taken in anew under another.
    fn keep_ticket(&mut self, ticket: Ticket, new: Ticket, give_up: Mono) {
        let Some(mut waiting) = self.waiting.remove(new) else {
            return;
        };
        match waiting.upstream {
            Some(key) => self.upstreams[key].queue.rename(waiting.place, ticket),
            None => {
                waiting.give_up = waiting.give_up.min(give_up);
                self.held.retain(|held| *held != new);
                self.held.push(ticket);
            }
        }
        self.waiting[ticket] = waiting;
    }
}

impl Upstream {
    fn change_hands(&mut self, ours: bool, wait_until: Mono) {
        self.phase = match (self.phase, ours) {
            (Phase::Owned | Phase::Waiting, true) => self.phase,
            (_, true) => {
                self.wait_until = wait_until;
                Phase::Waiting
            }
            (Phase::Owned | Phase::Waiting, false) if self.in_flight > 0 => Phase::Releasing,
            (Phase::Owned | Phase::Waiting, false) => Phase::Released,
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
        phase: Phase::Foreign,
        wait_until: Mono::ZERO,
        near: FreeList::default(),
        far: FreeList::default(),
        near_slots: 0,
        far_slots: 0,
        executors: 0,
        ejected: Vec::new(),
        holders: Vec::new(),
        queue: FairQueue::default(),
        in_flight: 0,
        service: Service::default(),
        budget: Budget::new(permille),
        requests: 0,
        sends: 0,
        present: false,
    }
}
