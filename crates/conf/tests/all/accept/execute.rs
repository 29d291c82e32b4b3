//! Executes the actions of the proposers in the model.

use std::sync::Arc;

use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Proposal;
use conf::accept::change::WriteResult;
use conf::accept::follower;
use conf::accept::message::Ack;
use conf::accept::message::Contact;
use conf::accept::message::Digest;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Member;
use conf::accept::row::RowCheck;
use conf::accept::row::Write;

use super::steps::WriteOutcome;
use super::world::BrokenRule;
use super::world::DAEMONS;
use super::world::Daemon;
use super::world::World;
use super::world::name;
use super::world::timeouts;

impl World {
    /// Starts the change with this index in the daemon with the same index.
    pub fn start_change(&mut self, index: usize) {
        self.budget.changes -= 1;
        let proposal = Proposal {
            op: format!("op-{index}").into(),
            text: Arc::from(format!("text-{index}")),
            by: String::new(),
            base: None,
            without: [].into(),
        };
        let (proposer, actions) =
            Proposer::start(name(index), proposal, timeouts(self.broken_rule), self.now);
        self.changes[index].proposer = Some(proposer);
        self.run_actions(index, actions);
    }

    /// Sends an event to the proposer of a change, if its daemon is alive.
    pub fn notify_proposer(&mut self, index: usize, event: Event) {
        let now = self.now;
        if !self.alive(index) {
            return;
        }
        if let Some(proposer) = &mut self.changes[index].proposer {
            let actions = proposer.handle(event, now);
            self.run_actions(index, actions);
        }
    }

    /// Executes the actions of a proposer. Reads are answered immediately; writes and messages are
    /// executed in steps of their own.
    fn run_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read => {
                    let view = self.reaches_store(index).then(|| self.view());
                    let sent = self.now;
                    self.notify_proposer(index, Event::Read { sent, view });
                }
                Action::Validate(_) => self.notify_proposer(index, Event::Validated(Vec::new())),
                Action::Write(write) => self.changes[index].write = Some(write),
                Action::ReadMembers if self.reaches_store(index) => {
                    let members = self.members();
                    self.notify_proposer(index, Event::Members(members));
                    self.acknowledge_for_all(index);
                }
                Action::ReadMembers | Action::Accepted { .. } => {}
                Action::End(outcome) => {
                    self.changes[index].proposer = None;
                    self.changes[index].messages.clear();
                    self.changes[index].outcome = Some(outcome);
                }
                message => {
                    let messages = &mut self.changes[index].messages;
                    if !messages.contains(&message) {
                        messages.push(message);
                    }
                }
            }
        }
    }

    fn members(&self) -> Vec<Member> {
        let member = |(index, daemon): (usize, &Daemon)| Member {
            daemon: name(index),
            incarnation: daemon.incarnation,
            key: format!("member/{index}"),
            row: daemon.row,
            unchanged_for: self.now.since(daemon.row_at),
            listed: self.broken_rule != BrokenRule::PassOverTwo,
        };
        self.daemons.iter().enumerate().map(member).collect()
    }

    /// Implements [`BrokenRule::CommitUnstaged`]: acknowledgements that no daemon has sent.
    fn acknowledge_for_all(&mut self, index: usize) {
        if self.broken_rule != BrokenRule::CommitUnstaged {
            return;
        }
        for daemon in 0..DAEMONS {
            let digest = Digest {
                daemon: name(daemon),
                incarnation: self.daemons[daemon].incarnation,
                ballot: self.ballot,
                version: self.current.version,
            };
            let contacts = Vec::new();
            self.notify_proposer(index, Event::Acked(Ack { digest, contacts }));
        }
    }

    /// Delivers the first message of a change, and its acknowledgement.
    pub fn deliver(&mut self, index: usize) {
        let message = self.changes[index].messages.remove(0);
        let (to, event) = match message {
            Action::Push { to, delta } => (to, follower::Event::Pushed { delta }),
            Action::Committed { to, ballot } => (to, follower::Event::Committed { ballot }),
            Action::Abandoned { to, ballot } => (to, follower::Event::Abandoned { ballot }),
            other => panic!("{other:?} is not a message"),
        };
        let to = (0..DAEMONS).find(|index| name(*index) == to);
        let to = to.expect("messages go to daemons");
        if !self.connected(index, to) {
            return;
        }
        self.notify(to, event);
        let contacts = self.daemons[to].contacts.iter().flatten();
        let contacts = contacts.map(|(digest, at)| Contact {
            digest: digest.clone(),
            age: self.now.since(*at),
        });
        let ack = Ack {
            contacts: contacts.collect(),
            digest: self.digest(to),
        };
        self.notify_proposer(index, Event::Acked(ack));
    }

    /// Executes the pending write of a change with the given outcome.
    pub fn write(&mut self, index: usize, outcome: WriteOutcome) {
        let Some(write) = self.changes[index].write.take() else {
            return;
        };
        let written = match outcome {
            WriteOutcome::Answered if !self.reaches_store(index) => WriteResult::Unknown,
            WriteOutcome::Answered if self.execute_write(&write) => WriteResult::Done,
            WriteOutcome::Answered => WriteResult::Conflict,
            WriteOutcome::AnswerLost => {
                self.budget.lost_answers -= 1;
                self.execute_write(&write);
                WriteResult::Unknown
            }
            WriteOutcome::Misreported => {
                self.budget.lost_answers -= 1;
                self.execute_write(&write);
                WriteResult::Conflict
            }
            WriteOutcome::Late => {
                self.budget.lost_answers -= 1;
                self.late = Some(write);
                WriteResult::Unknown
            }
        };
        self.notify_proposer(index, Event::Written(written));
    }

    /// Executes a transaction if its preconditions hold, and returns whether it took effect.
    pub fn execute_write(&mut self, write: &Write) -> bool {
        if !write.checks().iter().all(|check| self.check_passes(check)) {
            return false;
        }
        self.ballot = self.ballot.next();
        match write {
            Write::Stage { staged, .. } => self.staged = Some(staged.clone()),
            Write::Clear { .. } => self.staged = None,
            Write::Commit { current, .. } => {
                if current.version != self.current.version.next() {
                    self.fault = Some("versions do not follow each other");
                }
                self.staged = None;
                self.current = current.clone();
                self.current_row = self.current_row.next();
                self.committed_at = self.now;
            }
        }
        true
    }

    fn check_passes(&self, check: &RowCheck) -> bool {
        let actual = match check.key.as_str() {
            "doc/staged" => self.ballot,
            "doc/current" => self.current_row,
            key => {
                let index = (0..DAEMONS).find(|index| key == format!("member/{index}"));
                self.daemons[index.expect("only members are checked")].row
            }
        };
        actual == check.version
    }
}
