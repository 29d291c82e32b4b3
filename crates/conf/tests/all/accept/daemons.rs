//! The daemons of the model: how they read the table and exchange digests.

use conf::accept::follower;
use conf::accept::row::View;
use conf::accept::row::Write;

use super::world::BrokenRule;
use super::world::SlowRead;
use super::world::World;

impl World {
    /// Sends an event to the follower of a daemon.
    pub fn notify(&mut self, index: usize, event: follower::Event) {
        let now = self.now;
        let Some(follower) = &mut self.daemons[index].follower else {
            return;
        };
        let before = follower.version();
        let actions = follower.handle(event, now);
        if follower.version() < before {
            self.fault = Some("a version went down");
        }
        for action in actions {
            match action {
                follower::Action::Apply(current) if current.version <= before => {
                    self.fault = Some("an old document was applied");
                }
                follower::Action::Clear { ballot } if self.reaches_store(index) => {
                    self.execute_write(&Write::Clear { ballot });
                }
                follower::Action::Apply(_) | follower::Action::Clear { .. } => {}
            }
        }
    }

    pub fn poll(&mut self, index: usize) {
        if !self.reaches_store(index) {
            return;
        }
        self.write_heartbeat(index);
        let (sent, view) = (self.now, self.view());
        self.notify(index, follower::Event::Polled { sent, view });
    }

    fn write_heartbeat(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.row = daemon.row.next();
        daemon.row_at = self.now;
    }

    /// Reads the first of the two rows; the second is read in a later step.
    pub fn read_first(&mut self, index: usize) {
        self.budget.slow_reads -= 1;
        self.write_heartbeat(index);
        self.slow_read = Some(SlowRead {
            daemon: index,
            sent: self.now,
            view: self.view(),
        });
    }

    pub fn read_second(&mut self) {
        let Some(read) = self.slow_read.take() else {
            return;
        };
        let (first, second) = match self.broken_rule {
            BrokenRule::CurrentReadFirst => (self.view(), read.view),
            _ => (read.view, self.view()),
        };
        let view = View {
            ballot: first.ballot,
            staged: first.staged,
            ..second
        };
        let sent = read.sent;
        self.notify(read.daemon, follower::Event::Polled { sent, view });
    }

    /// Sends a digest to a peer and handles the answer.
    pub fn exchange(&mut self, index: usize, peer: usize) {
        if !self.connected(index, peer) {
            return;
        }
        let now = self.now;
        let digest = self.digest(index);
        let Some(follower) = &self.daemons[peer].follower else {
            return;
        };
        let delta = follower.delta(&digest, now);
        self.daemons[peer].contacts[index] = Some((digest, now));
        self.notify(index, follower::Event::Answered { sent: now, delta });
    }
}
