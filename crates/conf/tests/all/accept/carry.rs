//! How the small world carries out what proposers ask for.

use std::sync::Arc;

use conf::accept::change::Action;
use conf::accept::change::Event;
use conf::accept::change::Proposal;
use conf::accept::change::Written;
use conf::accept::follower;
use conf::accept::message::Ack;
use conf::accept::message::Digest;
use conf::accept::message::Heard;
use conf::accept::proposer::Proposer;
use conf::accept::quorum::Member;
use conf::accept::row::RowCheck;
use conf::accept::row::Write;

use super::world::Broken;
use super::world::DAEMONS;
use super::world::Daemon;
use super::world::Fate;
use super::world::World;
use super::world::bounds;
use super::world::name;

impl World {
    pub fn begin(&mut self, index: usize) {
        self.budget.changes -= 1;
        let proposal = Proposal {
            op: format!("op-{index}").into(),
            text: Arc::from(format!("text-{index}")),
            by: String::new(),
            base: None,
            without: [].into(),
        };
        let (proposer, actions) =
            Proposer::start(name(index), proposal, bounds(self.broken), self.now);
        self.changes[index].proposer = Some(proposer);
        self.act(index, actions);
    }

    pub fn propose(&mut self, index: usize, event: Event) {
        let now = self.now;
        if !self.alive(index) {
            return;
        }
        if let Some(proposer) = &mut self.changes[index].proposer {
            let actions = proposer.handle(event, now);
            self.act(index, actions);
        }
    }

    /// Reads are answered at once; writes and messages wait for a step of their own.
    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read => {
                    let view = self.reaches_store(index).then(|| self.view());
                    let sent = self.now;
                    self.propose(index, Event::Read { sent, view });
                }
                Action::Validate(_) => self.propose(index, Event::Validated(Vec::new())),
                Action::Write(write) => self.changes[index].write = Some(write),
                Action::ReadMembers if self.reaches_store(index) => {
                    let members = self.members();
                    self.propose(index, Event::Members(members));
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
            still_for: self.now.since(daemon.row_at),
            listed: self.broken != Broken::PassOverTwo,
        };
        self.daemons.iter().enumerate().map(member).collect()
    }

    /// The broken rule: acknowledgements that nobody has given.
    fn acknowledge_for_all(&mut self, index: usize) {
        if self.broken != Broken::CommitUnstaged {
            return;
        }
        for daemon in 0..DAEMONS {
            let digest = Digest {
                daemon: name(daemon),
                incarnation: self.daemons[daemon].incarnation,
                ballot: self.ballot,
                version: self.current.version,
            };
            let heard = Vec::new();
            self.propose(index, Event::Acked(Ack { digest, heard }));
        }
    }

    pub fn deliver(&mut self, index: usize) {
        let message = self.changes[index].messages.remove(0);
        let (to, event) = match message {
            Action::Push { to, news } => (to, follower::Event::Pushed { news }),
            Action::Committed { to, ballot } => (to, follower::Event::Committed { ballot }),
            Action::Abandoned { to, ballot } => (to, follower::Event::Abandoned { ballot }),
            other => panic!("{other:?} is no message"),
        };
        let to = (0..DAEMONS).find(|index| name(*index) == to);
        let to = to.expect("messages go to daemons");
        if !self.connected(index, to) {
            return;
        }
        self.tell(to, event);
        let heard = self.daemons[to].heard.iter().flatten();
        let heard = heard.map(|(digest, at)| Heard {
            digest: digest.clone(),
            age: self.now.since(*at),
        });
        let ack = Ack {
            heard: heard.collect(),
            digest: self.digest(to),
        };
        self.propose(index, Event::Acked(ack));
    }

    pub fn write(&mut self, index: usize, fate: Fate) {
        let Some(write) = self.changes[index].write.take() else {
            return;
        };
        let written = match fate {
            Fate::Answered if !self.reaches_store(index) => Written::Unknown,
            Fate::Answered if self.carry_out(&write) => Written::Done,
            Fate::Answered => Written::Conflict,
            Fate::AnswerLost => {
                self.budget.lost_answers -= 1;
                self.carry_out(&write);
                Written::Unknown
            }
            Fate::Misreported => {
                self.budget.lost_answers -= 1;
                self.carry_out(&write);
                Written::Conflict
            }
            Fate::Late => {
                self.budget.lost_answers -= 1;
                self.late = Some(write);
                Written::Unknown
            }
        };
        self.propose(index, Event::Written(written));
    }

    /// Carries a transaction out, if its checks hold.
    pub fn carry_out(&mut self, write: &Write) -> bool {
        if !write.checks().iter().all(|check| self.holds(check)) {
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

    fn holds(&self, check: &RowCheck) -> bool {
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
