//! Lending of unused slots to other daemons of the half, and borrowing from them.

use std::time::Duration;

use model::Mono;
use model::id::DaemonId;
use slotmap::SlotMap;

use super::Executor;
use super::Router;
use crate::key::ExecutorKey;
use crate::key::UpstreamKey;
use crate::report::HandoverPhase;
use crate::slots::LoanEntry;
use crate::slots::SlotCount;
use crate::slots::SlotLoan;
use crate::slots::SlotRequest;

/// Slots are requested when fewer than this share of the available ones are free, in percent.
const HEADROOM_PERCENT: u32 = 15;
/// Maximum number of slots that one peer lends at a time, which bounds the size of messages.
const MAX_LOAN: u16 = 32;
/// Share of its slots that a lender reserves for itself, in percent.
const RESERVE_PERCENT: u32 = 15;

impl Router {
    /// Returns the slot requests to send to the peers of the half now. There must be only one
    /// outstanding request to a peer; pass its response to [`Router::borrow`] with the time before
    /// the request was sent.
    ///
    /// This returns idle borrowed slots: the lender counts only those listed as busy as lent once
    /// it has received the request.
    pub fn slot_requests(&mut self, now: Mono) -> Vec<(DaemonId, SlotRequest)> {
        let peers: Vec<DaemonId> = self
            .members
            .iter()
            .filter(|member| member.half == self.cfg.half && member.id != self.cfg.daemon)
            .filter(|member| member.place.region == self.cfg.place.region)
            .map(|member| member.id.clone())
            .collect();
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        let mut slot_requests = Vec::new();
        self.expire_loans(now);
        for key in keys {
            let busy: Vec<Vec<SlotCount>> = peers
                .iter()
                .map(|peer| self.return_idle(peer, key))
                .collect();
            let wanted = self.slots_to_request(key, peers.len());
            for (peer, busy) in peers.iter().zip(busy) {
                let busy_count: u16 = busy.iter().map(|slot| slot.count).sum();
                let wanted = wanted.min(MAX_LOAN.saturating_sub(busy_count));
                if wanted > 0 || busy_count > 0 {
                    let request = SlotRequest {
                        borrower: self.cfg.daemon.clone(),
                        upstream: self.upstreams[key].id.clone(),
                        wanted,
                        busy,
                    };
                    slot_requests.push((peer.clone(), request));
                }
            }
        }
        slot_requests
    }

    /// Returns how many slots to request from each peer, after idle ones were returned.
    fn slots_to_request(&self, key: UpstreamKey, peers: usize) -> u16 {
        let upstream = &self.upstreams[key];
        if peers == 0 || upstream.phase != HandoverPhase::Owned {
            return 0;
        }
        let headroom = upstream.local_slots * HEADROOM_PERCENT / 100;
        let needed =
            upstream.in_flight + headroom + u32::try_from(upstream.queue.len()).unwrap_or(0);
        let missing = needed.saturating_sub(upstream.local_slots) as usize;
        u16::try_from(missing.div_ceil(peers)).unwrap_or(u16::MAX)
    }

    fn return_idle(&mut self, lender: &DaemonId, key: UpstreamKey) -> Vec<SlotCount> {
        let mut busy = Vec::new();
        let mut changed = Vec::new();
        for entry in &mut self.borrowed {
            let executor = &mut self.executors[entry.executor];
            if entry.peer != *lender || executor.upstream != key {
                continue;
            }
            let own = executor.quota.saturating_sub(executor.lent);
            let used = executor.in_flight.saturating_sub(own).min(entry.count);
            executor.borrowed -= entry.count - used;
            entry.count = used;
            changed.push(entry.executor);
            if used > 0 {
                busy.push(SlotCount {
                    executor: executor.id.clone(),
                    count: used,
                });
            }
        }
        self.borrowed.retain(|entry| entry.count > 0);
        for executor in changed {
            self.refresh_executor(executor);
        }
        busy
    }

    /// Handles a slot request: extends the loan of slots that are busy at the borrower, and lends
    /// unused ones.
    pub fn lend(&mut self, request: &SlotRequest, now: Mono) -> SlotLoan {
        let lease = self.cfg.limits.loan_lease;
        let mut loan = SlotLoan {
            lender: self.cfg.daemon.clone(),
            upstream: request.upstream.clone(),
            lease_ms: model::time::millis(lease),
            slots: Vec::new(),
        };
        let Some(key) = self.upstream_keys.get(&request.upstream).copied() else {
            return loan;
        };
        self.remove_lent(&request.borrower, key);
        let expires_at = now.after(lease);
        for slot in &request.busy {
            if let Some(executor) = self.executor_keys.get(&slot.executor).copied() {
                self.add_lent(&request.borrower, executor, slot.count, expires_at);
                loan.slots.push(slot.clone());
            }
        }
        let lent = self.spare_slots(key).div_ceil(2).min(request.wanted);
        for executor in self.unused_slots(key, lent) {
            self.add_lent(&request.borrower, executor, 1, expires_at);
            loan.slots.push(SlotCount {
                executor: self.executors[executor].id.clone(),
                count: 1,
            });
        }
        loan
    }

    /// Returns how many free slots this daemon can lend.
    fn spare_slots(&self, key: UpstreamKey) -> u16 {
        let upstream = &self.upstreams[key];
        if upstream.phase != HandoverPhase::Owned || !upstream.queue.is_empty() || self.draining {
            return 0;
        }
        let free = upstream.local_slots.saturating_sub(upstream.in_flight);
        let reserve = (upstream.local_slots * RESERVE_PERCENT).div_ceil(100);
        u16::try_from(free.saturating_sub(reserve)).unwrap_or(u16::MAX)
    }

    /// Returns executors with an unused slot, one entry per slot, spread evenly over the executors.
    fn unused_slots(&self, key: UpstreamKey, max: u16) -> Vec<ExecutorKey> {
        let upstream = &self.upstreams[key];
        let unused = |key: &ExecutorKey| {
            let executor = &self.executors[*key];
            let own = executor.quota.saturating_sub(executor.lent);
            own.saturating_sub(executor.in_flight)
        };
        let rounds = upstream.local_free.iter().map(|key| unused(&key)).max();
        (0..rounds.unwrap_or_default())
            .flat_map(|round| {
                upstream
                    .local_free
                    .iter()
                    .filter(move |key| unused(key) > round)
            })
            .take(usize::from(max))
            .collect()
    }

    fn add_lent(&mut self, peer: &DaemonId, executor: ExecutorKey, count: u16, expires_at: Mono) {
        self.lent.push(LoanEntry {
            peer: peer.clone(),
            executor,
            count,
            expires_at,
        });
        self.executors[executor].lent += count;
        self.refresh_executor(executor);
    }

    fn remove_lent(&mut self, peer: &DaemonId, key: UpstreamKey) {
        let changed = end_loans(
            &mut self.lent,
            &mut self.executors,
            |executor| &mut executor.lent,
            |entry, executor| entry.peer == *peer && executor.upstream == key,
        );
        for executor in changed {
            self.refresh_executor(executor);
        }
    }

    /// Adds the slots that a peer has lent. The lease runs from `requested_at`, the time before the
    /// request was sent.
    pub fn borrow(&mut self, loan: &SlotLoan, requested_at: Mono, now: Mono) {
        let Some(key) = self.upstream_keys.get(&loan.upstream).copied() else {
            return;
        };
        let expires_at = requested_at.after(Duration::from_millis(loan.lease_ms));
        if expires_at <= now || !self.members.iter().any(|member| member.id == loan.lender) {
            return;
        }
        self.remove_borrowed(&loan.lender, key);
        for slot in &loan.slots {
            let Some(executor) = self.executor_keys.get(&slot.executor).copied() else {
                continue;
            };
            self.borrowed.push(LoanEntry {
                peer: loan.lender.clone(),
                executor,
                count: slot.count,
                expires_at,
            });
            self.executors[executor].borrowed += slot.count;
            self.refresh_executor(executor);
        }
        self.dispatch(key, now);
    }

    fn remove_borrowed(&mut self, lender: &DaemonId, key: UpstreamKey) {
        let changed = end_loans(
            &mut self.borrowed,
            &mut self.executors,
            |executor| &mut executor.borrowed,
            |entry, executor| entry.peer == *lender && executor.upstream == key,
        );
        for executor in changed {
            self.refresh_executor(executor);
        }
    }

    pub(super) fn expire_loans(&mut self, now: Mono) {
        let executors = &mut self.executors;
        let expired = |entry: &LoanEntry, _: &Executor| entry.expires_at <= now;
        let mut changed = end_loans(
            &mut self.lent,
            executors,
            |executor| &mut executor.lent,
            expired,
        );
        changed.extend(end_loans(
            &mut self.borrowed,
            executors,
            |executor| &mut executor.borrowed,
            expired,
        ));
        for executor in changed {
            self.refresh_executor(executor);
            self.remove_if_unused(executor);
        }
    }
}

/// Removes the loans for which `ended` holds, subtracts their slots from those that `slots` counts at
/// their executors, and returns these executors.
fn end_loans(
    loans: &mut Vec<LoanEntry>,
    executors: &mut SlotMap<ExecutorKey, Executor>,
    slots: impl Fn(&mut Executor) -> &mut u16,
    ended: impl Fn(&LoanEntry, &Executor) -> bool,
) -> Vec<ExecutorKey> {
    let mut changed = Vec::new();
    loans.retain(|entry| {
        let executor = &mut executors[entry.executor];
        let ended = ended(entry, executor);
        if ended {
            *slots(executor) -= entry.count;
            changed.push(entry.executor);
        }
        !ended
    });
    changed
}
