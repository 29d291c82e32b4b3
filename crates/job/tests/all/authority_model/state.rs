//! The state of the model, and the effect of each event.

use std::time::Duration;

use job::authority;
use job::authority::Authority;
use job::authority::Witness;
use model::Mono;

use super::calls::LatePoll;
use crate::fixture::LEASE;

/// The executor whose leases matter; the others only accept epochs.
pub const TARGET: usize = 0;
pub const EXECUTORS: usize = 4;
pub const OWNERS: usize = 3;
pub const STEP: Duration = Duration::from_millis(1_700);
/// How long an owner continues without the store, as in the crate `dispatch`.
pub const MAX_UNCONFIRMED: Duration = Duration::from_secs(10);

/// The witnesses that an owner may choose in the place of the first three executors.
pub const OTHER_WITNESSES: [[bool; EXECUTORS]; 2] =
    [[true, false, false, true], [false, false, true, true]];

/// A rule that the system violates, to show that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// Leases are extended as if the owner were always entitled to.
    IgnoreHorizon,
    /// A later incarnation of a witness counts.
    IgnoreIncarnations,
    /// An owner obeys only the new witnesses while their write is in flight.
    ForgetOldWitnesses,
    /// An owner changes the witnesses while earlier owners may go on.
    ChangeUnsettled,
    /// A successor trusts the answer of an owner whose predecessors may go on.
    TrustUnsettled,
    /// A commit whose answer was lost confirms the owner when its outcome is known.
    ConfirmLate,
    /// A later incarnation accepts a deadline that was computed for the clock of an earlier one.
    UnboundCalls,
    /// A call that is in flight when an executor starts anew reaches the next incarnation.
    UnboundInFlight,
}

/// The incarnations of the executors that are witnesses.
pub type Witnesses = [Option<u8>; EXECUTORS];

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Executor {
    pub(super) incarnation: u8,
    pub(super) epoch: u8,
    pub(super) lease_until: u64,
    /// The epoch of the owner that granted the latest lease.
    pub(super) granted_by: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    sent: u64,
    row: u8,
    witnesses: Option<Witnesses>,
    applied: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Owner {
    pub(super) ended: bool,
    pub(super) confirmed: u64,
    /// The incarnation that has accepted a call, and when that was sent.
    pub(super) accepted: [Option<(u8, u64)>; EXECUTORS],
    pub(super) row: u8,
    pub(super) witnesses: Witnesses,
    pub(super) write: Option<Write>,
    pub(super) row_read_at: u64,
    pub(super) earlier_settled: bool,
    pub(super) settled: bool,
    pub(super) end: Option<(u64, u64)>,
    /// The incarnation of the target whose clock deadlines are computed for.
    pub(super) target: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    pub steps: u8,
    pub owners: u8,
    pub polls: u8,
    pub late_polls: u8,
    pub commits: u8,
    pub lost_answers: u8,
    pub restarts: u8,
    pub target_restarts: u8,
    pub changes: u8,
    pub answers: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: u64,
    /// The owner's row: its version, the witnesses, and whether its writer was settled.
    pub(super) row: (u8, Witnesses, bool),
    pub(super) owners: [Option<Owner>; OWNERS],
    pub(super) executors: [Executor; EXECUTORS],
    /// The row as a host that may claim has read it first, and when.
    pub(super) read: Option<(u8, u64)>,
    pub(super) late: Option<LatePoll>,
    pub(super) budget: Budget,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Pass,
    Commit(usize),
    CommitWithoutAnswer(usize),
    Confirm(usize),
    ChangeWitnesses(usize, [bool; EXECUTORS]),
    Poll(usize, usize),
    SendLatePoll(usize, usize),
    DeliverLatePoll,
    /// An owner learns from the executor list, or from an answer, of the target's next incarnation.
    LearnIncarnation(usize),
    Restart(usize),
    ReadRow,
    Claim,
    Answer(usize),
}

pub fn witness(executor: usize, incarnation: u8) -> Witness {
    Witness {
        id: format!("e{executor}").into(),
        started_unix_ms: u64::from(incarnation) + 1,
    }
}

pub fn list(witnesses: &Witnesses) -> Vec<Witness> {
    let all = witnesses.iter().enumerate();
    all.filter_map(|(at, incarnation)| Some(witness(at, (*incarnation)?)))
        .collect()
}

impl Owner {
    pub(super) fn authority(&self, mutation: Mutation) -> Authority {
        let mut authority = Authority::new(Mono(self.confirmed), list(&self.witnesses));
        if let Some(next) = self.write.and_then(|write| write.witnesses) {
            authority.begin_change(list(&next));
            if mutation == Mutation::ForgetOldWitnesses {
                authority.end_change(true);
            }
        }
        for (at, accepted) in self.accepted.iter().enumerate() {
            if let Some((incarnation, sent)) = accepted {
                let counted = match mutation {
                    Mutation::IgnoreIncarnations => self.witnesses[at].unwrap_or(*incarnation),
                    _ => *incarnation,
                };
                let witness = witness(at, counted);
                authority.accepted(&witness.id, witness.started_unix_ms, Mono(*sent));
            }
        }
        authority
    }
}

impl State {
    pub fn new(budget: Budget) -> Self {
        let witnesses = [Some(0), Some(0), Some(0), None];
        let owner = Owner {
            witnesses,
            settled: true,
            earlier_settled: true,
            row: 1,
            ..Owner::default()
        };
        Self {
            now: 0,
            row: (1, witnesses, true),
            owners: [Some(owner), None, None],
            executors: [Executor::default(); EXECUTORS],
            read: None,
            late: None,
            budget,
        }
    }

    pub fn events(&self, mutation: Mutation) -> Vec<Event> {
        let mut events = Vec::new();
        let budget = &self.budget;
        if budget.steps > 0 {
            events.push(Event::Pass);
        }
        for (at, owner) in self.owners.iter().enumerate() {
            let Some(owner) = owner.filter(|owner| !owner.ended) else {
                continue;
            };
            if owner.write.is_some() {
                events.push(Event::Confirm(at));
            } else {
                if budget.commits > 0 {
                    events.push(Event::Commit(at));
                }
                if budget.lost_answers > 0 {
                    events.push(Event::CommitWithoutAnswer(at));
                }
                let may_change = owner.settled || mutation == Mutation::ChangeUnsettled;
                if budget.changes > 0 && may_change {
                    events.extend(OTHER_WITNESSES.map(|named| Event::ChangeWitnesses(at, named)));
                }
            }
            for executor in (0..EXECUTORS).filter(|it| self.matters(at, *it)) {
                if budget.polls > 0 {
                    events.push(Event::Poll(at, executor));
                }
                if budget.late_polls > 0 && self.late.is_none() {
                    events.push(Event::SendLatePoll(at, executor));
                }
            }
            if owner.target < self.executors[TARGET].incarnation {
                events.push(Event::LearnIncarnation(at));
            }
            if budget.answers > 0 && at + 1 < OWNERS && self.owners[at + 1].is_some() {
                events.push(Event::Answer(at));
            }
        }
        if self.late.is_some() {
            events.push(Event::DeliverLatePoll);
        }
        if budget.restarts > 0 {
            events.extend([1, 2].map(Event::Restart));
        }
        if budget.target_restarts > 0 {
            events.push(Event::Restart(TARGET));
        }
        if budget.owners > 0 {
            events.push(match self.read {
                Some((version, _)) if version == self.row.0 => Event::Claim,
                _ => Event::ReadRow,
            });
        }
        events
    }

    /// Returns whether a poll of an executor can matter to an owner.
    fn matters(&self, at: usize, executor: usize) -> bool {
        let owner = self.owners[at];
        let named = owner.is_some_and(|owner| {
            let next = owner.write.and_then(|write| write.witnesses);
            let is_next = next.is_some_and(|next| next[executor].is_some());
            owner.witnesses[executor].is_some() || is_next
        });
        executor == TARGET || named
    }

    /// Returns the same state with the executors 1 and 2, which are alike, in a fixed order.
    fn normalized(self) -> Self {
        let mut swapped = self;
        swapped.executors.swap(1, 2);
        swapped.row.1.swap(1, 2);
        for owner in swapped.owners.iter_mut().flatten() {
            owner.accepted.swap(1, 2);
            owner.witnesses.swap(1, 2);
            if let Some(next) = owner
                .write
                .as_mut()
                .and_then(|write| write.witnesses.as_mut())
            {
                next.swap(1, 2);
            }
        }
        if let Some(late) = &mut swapped.late {
            late.executor = [0, 2, 1, 3][late.executor];
        }
        let key = |state: &Self| {
            let owners = state.owners.map(|it| it.map(|it| it.accepted[1]));
            let executor = state.executors[1];
            let late = state.late.map(|late| late.executor);
            (executor.incarnation, executor.epoch, owners, late)
        };
        if key(&swapped) < key(&self) {
            swapped
        } else {
            self
        }
    }

    /// Returns the state after an event, or the violation.
    pub fn after(&self, event: Event, mutation: Mutation) -> Result<Self, String> {
        let mut next = *self;
        match event {
            Event::Pass => {
                next.budget.steps -= 1;
                next.now += model::time::millis(STEP);
                for owner in next.owners.iter_mut().flatten() {
                    let unconfirmed = Mono(next.now).since(Mono(owner.confirmed));
                    owner.ended |= unconfirmed > MAX_UNCONFIRMED;
                    owner.settled |= owner.end.is_some_and(|(sends, _)| next.now >= sends);
                }
            }
            Event::Commit(at) => {
                next.budget.commits -= 1;
                next.begin_write(at, None);
                next.finish_write(at, mutation);
            }
            Event::CommitWithoutAnswer(at) => {
                next.budget.lost_answers -= 1;
                next.begin_write(at, None);
            }
            Event::ChangeWitnesses(at, named) => {
                next.budget.changes -= 1;
                let known = next.known_incarnations(at);
                let witnesses = std::array::from_fn(|it| named[it].then_some(known[it]));
                next.begin_write(at, Some(witnesses));
            }
            Event::Confirm(at) => next.finish_write(at, mutation),
            Event::Poll(at, executor) => {
                next.budget.polls -= 1;
                let poll = next.poll(at, executor, mutation);
                next.deliver(poll, mutation)?;
            }
            Event::SendLatePoll(at, executor) => {
                next.budget.late_polls -= 1;
                next.late = Some(next.poll(at, executor, mutation));
            }
            Event::DeliverLatePoll => {
                if let Some(poll) = next.late.take() {
                    next.deliver(poll, mutation)?;
                }
            }
            Event::LearnIncarnation(at) => {
                if let Some(owner) = &mut next.owners[at] {
                    owner.target += 1;
                }
            }
            Event::Restart(executor) => {
                match executor {
                    TARGET => next.budget.target_restarts -= 1,
                    _ => next.budget.restarts -= 1,
                }
                next.executors[executor] = Executor {
                    incarnation: next.executors[executor].incarnation + 1,
                    ..Executor::default()
                };
            }
            Event::ReadRow => next.read = Some((next.row.0, next.now)),
            Event::Claim => next.claim(),
            Event::Answer(at) => next.answer(at, mutation)?,
        }
        Ok(next.normalized())
    }

    /// Returns the incarnations of the executors as an owner knows them.
    fn known_incarnations(&self, at: usize) -> [u8; EXECUTORS] {
        let mut known = self.executors.map(|executor| executor.incarnation);
        known[TARGET] = self.owners[at].map_or(known[TARGET], |owner| owner.target);
        known
    }

    /// Sends a commit, which takes effect at once if the row is as expected.
    fn begin_write(&mut self, at: usize, witnesses: Option<Witnesses>) {
        let Some(owner) = &mut self.owners[at] else {
            return;
        };
        let applied = self.row.0 == owner.row;
        if applied {
            let stored = witnesses.unwrap_or(owner.witnesses);
            self.row = (self.row.0 + 1, stored, owner.settled);
        }
        owner.write = Some(Write {
            sent: self.now,
            row: owner.row + 1,
            witnesses,
            applied,
        });
    }

    /// Learns the outcome of a commit, or that another owner has followed.
    fn finish_write(&mut self, at: usize, mutation: Mutation) {
        let (now, row) = (self.now, self.row.0);
        let Some(owner) = &mut self.owners[at] else {
            return;
        };
        let Some(write) = owner.write.take() else {
            return;
        };
        if !write.applied || row != write.row {
            owner.ended = true;
            return;
        }
        owner.row = write.row;
        owner.witnesses = write.witnesses.unwrap_or(owner.witnesses);
        owner.confirmed = match mutation {
            Mutation::ConfirmLate => now,
            _ => owner.confirmed.max(write.sent),
        };
    }

    fn claim(&mut self) {
        self.budget.owners -= 1;
        let Some((_, row_read_at)) = self.read.take() else {
            return;
        };
        let at = self.owners.iter().flatten().count();
        if at == OWNERS {
            return;
        }
        let (version, witnesses, earlier_settled) = self.row;
        self.row = (version + 1, witnesses, false);
        self.owners[at] = Some(Owner {
            confirmed: self.now,
            row: version + 1,
            witnesses,
            row_read_at,
            earlier_settled,
            ..Owner::default()
        });
    }

    /// Lets an owner answer its successor, and end.
    fn answer(&mut self, at: usize, mutation: Mutation) -> Result<(), String> {
        self.budget.answers -= 1;
        let now = Mono(self.now);
        if let Some(owner) = &mut self.owners[at] {
            owner.ended = true;
        }
        if let Some(successor) = &mut self.owners[at + 1] {
            let is_proof = successor.earlier_settled || mutation == Mutation::TrustUnsettled;
            if successor.end.is_none() && is_proof {
                successor.end = Some((now.0, authority::expiry(now, LEASE).0));
            }
        }
        self.check()
    }

    /// No lease that an earlier owner granted outlasts what a successor has concluded.
    pub(super) fn check(&self) -> Result<(), String> {
        let target = self.executors[TARGET];
        for (at, owner) in self.owners.iter().enumerate() {
            let Some((_, leases_until)) = owner.and_then(|owner| owner.end) else {
                continue;
            };
            if usize::from(target.granted_by) <= at && target.lease_until > leases_until {
                return Err(format!(
                    "epoch {} counts on {leases_until}, epoch {} granted {}",
                    at + 1,
                    target.granted_by,
                    target.lease_until
                ));
            }
        }
        Ok(())
    }
}
