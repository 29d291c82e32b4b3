//! A model of the environment of the state machines: three daemons in two regions, the table, the
//! links between them, and the faults. Every step ([`super::steps`]) is one that can also happen in
//! reality.

use std::sync::Arc;
use std::time::Duration;

use conf::accept::Timeouts;
use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Outcome;
use conf::accept::follower::Follower;
use conf::accept::follower::ServingMode;
use conf::accept::message::Digest;
use conf::accept::proposer::Proposer;
use conf::accept::row::AcceptedDocument;
use conf::accept::row::StagedDocument;
use conf::accept::row::View;
use conf::accept::row::Write;
use model::Mono;
use model::id::DaemonId;
use model::id::DocVersion;
use model::id::Incarnation;
use model::id::RowVersion;

use super::steps::WriteOutcome;

/// The number of daemons: daemon 0 is in the store's region, daemons 1 and 2 are in the other one.
pub const DAEMONS: usize = 3;
/// The number of changes: change 0 is proposed by daemon 0, change 1 by daemon 1.
pub const CHANGES: usize = 2;
const TICK: Duration = Duration::from_secs(1);

/// The timeouts in ticks of a second, as short as their relative order allows.
pub const TIMEOUTS: Timeouts = Timeouts {
    isolation: Duration::from_secs(2),
    clock_margin: Duration::ZERO,
    in_doubt: TICK,
    stage: Duration::from_secs(4),
    collect: Duration::from_secs(3),
    resolve: TICK,
    propagation: TICK,
    retry_interval: TICK,
};

/// A rule of the protocol that is broken on purpose, to show that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BrokenRule {
    Nothing,
    /// A commit passes over any number of silent daemons.
    PassOverTwo,
    /// Daemons count as having staged a document that they have not staged.
    CommitUnstaged,
    /// A daemon serves all of the document in force, however long ago it was confirmed.
    NeverInDoubt,
    /// The table's rows are read in the wrong order.
    CurrentReadFirst,
    /// A staged document whose proposer has crashed is never cleared.
    NeverCleared,
}

/// How many changes, ticks and faults of each kind may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub changes: u8,
    pub ticks: u8,
    pub losses: u8,
    pub partitions: u8,
    pub outages: u8,
    pub crashes: u8,
    pub lost_answers: u8,
    pub pauses: u8,
    pub slow_reads: u8,
}

/// Which links a network partition interrupts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Partition {
    Nothing,
    /// Daemon 2 reaches neither the other daemons nor the store.
    Daemon2,
    /// The two regions cannot reach each other.
    Region,
}

/// One operator's change, with its pending write and undelivered messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub proposer: Option<Proposer>,
    pub write: Option<Write>,
    pub messages: Vec<Action>,
    pub outcome: Option<Outcome>,
}

/// One daemon and its heartbeat row in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Daemon {
    pub follower: Option<Follower>,
    pub incarnation: Incarnation,
    pub row: RowVersion,
    pub row_at: Mono,
    pub contacts: [Option<(Digest, Mono)>; DAEMONS],
    pub paused: bool,
}

/// A read in progress: a daemon has read one of the two rows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlowRead {
    pub daemon: usize,
    pub sent: Mono,
    /// Both rows at the time of the first read.
    pub view: View,
}

/// The state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub now: Mono,
    pub broken_rule: BrokenRule,
    pub budget: Budget,
    pub partition: Partition,
    pub outage: bool,
    pub daemons: [Daemon; DAEMONS],
    pub changes: [Change; CHANGES],
    pub ballot: RowVersion,
    pub staged: Option<StagedDocument>,
    pub current_row: RowVersion,
    pub current: AcceptedDocument,
    /// When the document in force was committed.
    pub committed_at: Mono,
    /// A write that was reported as unknown and has not taken effect yet.
    pub late: Option<Write>,
    pub slow_read: Option<SlowRead>,
    /// An invariant that was violated on the path to this state.
    pub fault: Option<&'static str>,
}

/// Longer than any run of the model.
const FOREVER: Duration = Duration::from_secs(100);

pub fn timeouts(broken_rule: BrokenRule) -> Timeouts {
    let mut timeouts = TIMEOUTS;
    match broken_rule {
        BrokenRule::NeverInDoubt => timeouts.in_doubt = FOREVER,
        BrokenRule::NeverCleared => timeouts.stage = FOREVER,
        BrokenRule::Nothing
        | BrokenRule::PassOverTwo
        | BrokenRule::CommitUnstaged
        | BrokenRule::CurrentReadFirst => {}
    }
    timeouts
}

pub fn name(index: usize) -> DaemonId {
    DaemonId::from(format!("d{index}"))
}

impl World {
    pub fn new(broken_rule: BrokenRule, budget: Budget) -> Self {
        let current = AcceptedDocument {
            version: DocVersion(1),
            text: Arc::from("first"),
            by: String::new(),
            op: "op-first".into(),
            recent: Vec::new(),
        };
        let timeouts = timeouts(broken_rule);
        let daemon = |index| Daemon {
            follower: Some(Follower::new(name(index), Incarnation(1), timeouts)),
            incarnation: Incarnation(1),
            row: RowVersion(0),
            row_at: Mono::ZERO,
            contacts: [None, None, None],
            paused: false,
        };
        let change = || Change {
            proposer: None,
            write: None,
            messages: Vec::new(),
            outcome: None,
        };
        let mut world = Self {
            now: Mono::ZERO,
            broken_rule,
            budget,
            partition: Partition::Nothing,
            outage: false,
            daemons: [daemon(0), daemon(1), daemon(2)],
            changes: [change(), change()],
            ballot: RowVersion(0),
            staged: None,
            current_row: RowVersion(1),
            current,
            committed_at: Mono::ZERO,
            late: None,
            slow_read: None,
            fault: None,
        };
        (0..DAEMONS).for_each(|index| world.poll(index));
        world
    }

    /// Returns the state after all faults have ended and the model has run for up to `ticks`.
    #[must_use]
    pub fn after_recovery(&self, ticks: u8) -> Self {
        let mut world = self.clone();
        world.partition = Partition::Nothing;
        world.outage = false;
        for index in 0..DAEMONS {
            world.daemons[index].paused = false;
            if world.daemons[index].follower.is_none() {
                world.restart(index);
            }
        }
        world.run_until_settled(ticks)
    }

    /// Returns the state after a run without further faults, once settled or after `ticks`.
    #[must_use]
    pub fn run_until_settled(&self, ticks: u8) -> Self {
        let mut world = self.clone();
        for _ in 0..ticks {
            if world.is_settled() {
                break;
            }
            world.budget.ticks = 1;
            world.tick();
            for index in 0..CHANGES {
                while world.changes[index].write.is_some() {
                    world.write(index, WriteOutcome::Answered);
                }
                while !world.changes[index].messages.is_empty() {
                    world.deliver(index);
                }
            }
        }
        world
    }

    /// Returns whether every change has ended, no document is staged, and every daemon serves the
    /// latest document.
    pub fn is_settled(&self) -> bool {
        let settled = |daemon: &Daemon| {
            daemon.follower.as_ref().is_some_and(|follower| {
                let latest = follower.version() == self.current.version;
                latest
                    && follower.serving_mode(self.now) == ServingMode::InForce
                    && follower.staged.is_none()
            })
        };
        let ended = |change: &Change| change.proposer.is_none();
        self.daemons.iter().all(settled) && self.changes.iter().all(ended) && self.staged.is_none()
    }

    /// Drops contacts that are too old to matter, so that equivalent states compare as equal.
    pub fn drop_old_contacts(&mut self) {
        let old = |at: Mono, now: Mono| now.since(at) > TIMEOUTS.isolation;
        for daemon in &mut self.daemons {
            for contacts in &mut daemon.contacts {
                contacts.take_if(|(_, at)| old(*at, self.now));
            }
        }
    }

    pub fn alive(&self, index: usize) -> bool {
        self.daemons[index].follower.is_some() && !self.daemons[index].paused
    }

    pub fn reaches_store(&self, index: usize) -> bool {
        let partition = match self.partition {
            Partition::Nothing => false,
            Partition::Daemon2 => index == 2,
            Partition::Region => index > 0,
        };
        self.alive(index) && !self.outage && !partition
    }

    pub fn connected(&self, left: usize, right: usize) -> bool {
        let partition = match self.partition {
            Partition::Nothing => false,
            Partition::Daemon2 => left == 2 || right == 2,
            Partition::Region => (left == 0) != (right == 0),
        };
        self.alive(left) && self.alive(right) && (left == right || !partition)
    }

    pub fn view(&self) -> View {
        View {
            ballot: self.ballot,
            staged: self.staged.clone(),
            current_row: self.current_row,
            current: Some(self.current.clone()),
        }
    }

    /// Advances the time by a tick: undelivered messages are lost, and every daemon that can polls
    /// the table and exchanges digests with its peers.
    pub fn tick(&mut self) {
        self.budget.ticks -= 1;
        self.now = self.now.after(TICK);
        self.changes
            .iter_mut()
            .for_each(|change| change.messages.clear());
        for index in 0..DAEMONS {
            self.poll(index);
        }
        for index in 0..DAEMONS {
            for peer in (0..DAEMONS).filter(|peer| *peer != index) {
                self.exchange(index, peer);
            }
        }
        for index in 0..CHANGES {
            self.notify_proposer(index, Event::Tick);
        }
    }

    pub fn digest(&self, index: usize) -> Digest {
        let follower = self.daemons[index].follower.as_ref();
        follower.expect("the daemon is alive").digest()
    }

    pub fn crash(&mut self, index: usize) {
        self.budget.crashes -= 1;
        self.slow_read.take_if(|read| read.daemon == index);
        self.daemons[index].follower = None;
        self.daemons[index].contacts = [None, None, None];
        if let Some(change) = self.changes.get_mut(index)
            && change.proposer.take().is_some()
        {
            // A write in flight may still take effect.
            if self.late.is_none() {
                self.late = change.write.take();
            }
            change.write = None;
            change.messages.clear();
            change.outcome = change.outcome.take().or(Some(Outcome::Unknown));
        }
    }

    pub fn restart(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.incarnation = daemon.incarnation.next();
        let follower = Follower::new(name(index), daemon.incarnation, timeouts(self.broken_rule));
        daemon.follower = Some(follower);
    }
}
